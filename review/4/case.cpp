// Servers turn part of their requests away, with the answer of the wire page,
// which has no id. Some of them are faulty: they send a few of these answers a
// second time, late, where the next answer on the connection is expected. What
// is not idempotent must not run twice, and must not be refused though it has
// run.

#include "harness.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace review;

namespace {

constexpr int kMachines = 4;
constexpr int kDisks = 3;
constexpr int kServers = 5;
constexpr int kClients = 32;
constexpr int kDeadlineMs = 1500;
constexpr double kWork = 0.05;
/// Share of the requests that servers turn away, and for how long.
constexpr double kTurnedAway = 0.2;
constexpr double kTurnsAwayFor = 8.5;
/// Servers that send answers again, the share of these, and for how long.
constexpr int kFaultyServers = 3;
constexpr double kFaulty = 0.03;
constexpr double kFaultyFor = 5;
/// Both come several times.
constexpr int kTimes = 8;
constexpr double kPause = 1.5;

bool Play(bool aTrouble)
{
  Platform platform(kMachines, kDisks);
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(
      "i-" + std::to_string(i + 1),
      "desk",
      platform.Machines()[static_cast<std::size_t>(i % 3)].mZone,
      Address{ platform.StandInIp(i), 18080 },
      [](const Message&) {
        Sleep(kWork);
        return std::make_pair(200, std::string("filed\n"));
      }));
  }
  SetUp(platform,
        Configuration(
          1, 0, { { "/sign/", "unsafe", "1500ms", "desk" } }, { "desk" }),
        servers);

  std::mutex mutex;
  std::map<std::string, int> answers;
  std::vector<std::thread> clients;
  std::atomic<bool> stopping{ false };
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const Machine& machine =
        platform.Machines()[static_cast<std::size_t>(client % kMachines)];
      Connection connection;
      for (int i = 0; !stopping; ++i) {
        const std::string id =
          "sign-" + std::to_string(client) + "-" + std::to_string(i);
        Message answer;
        if ((connection.IsOpen() || connection.Open(machine.mIngress)) &&
            connection.Send(RequestBytes(
              "POST", "/sign/" + id, ClientFields(id, kDeadlineMs), "yes"))) {
          if (!connection.ReadAnswer(answer, 3) ||
              Field(answer.mFields, "Connection") == "close") {
            connection.Close();
          }
        }
        {
          const std::lock_guard<std::mutex> lock(mutex);
          answers[id] = answer.mStatus;
        }
        const std::string pause = Field(answer.mFields, "Retry-After");
        Sleep(pause.empty() ? 0 : std::min(0.1, std::stod(pause)));
      }
    });
  }
  for (int time = 0; time < kTimes; ++time) {
    for (int i = 0; i < kServers; ++i) {
      Server& server = *servers[static_cast<std::size_t>(i)];
      server.mTurnsAway = kTurnedAway;
      server.mRepeats = aTrouble && i < kFaultyServers ? kFaulty : 0;
    }
    Sleep(kFaultyFor);
    for (const std::unique_ptr<Server>& server : servers) {
      server->mRepeats = 0;
    }
    Sleep(kTurnsAwayFor - kFaultyFor);
    for (const std::unique_ptr<Server>& server : servers) {
      server->mTurnsAway = 0;
    }
    Sleep(kPause);
  }
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(2);

  std::map<std::string, std::vector<std::string>> ran;
  int turnedAway = 0;
  int repeated = 0;
  for (const std::unique_ptr<Server>& server : servers) {
    turnedAway += server->mTurnedAway;
    repeated += server->mRepeated;
    for (const Server::Run& run : server->Runs()) {
      ran[run.mRequest].push_back(server->Id());
    }
  }
  int twice = 0;
  int refused = 0;
  std::map<int, int> counts;
  for (const auto& [id, status] : answers) {
    ++counts[status];
    const auto runs = ran.find(id);
    if (runs == ran.end()) {
      continue;
    }
    if (runs->second.size() > 1) {
      ++twice;
      Record("request " + id + " ran at " + runs->second[0] + " and at " +
             runs->second[1] + "; answered " + std::to_string(status));
    }
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++refused;
      Record("request " + id + " was answered " + std::to_string(status) +
             ", and " + runs->second[0] + " has run it");
    }
  }
  for (const auto& [status, count] : counts) {
    Record("answered " + std::to_string(status) + ": " + std::to_string(count));
  }
  Record("requests: " + std::to_string(answers.size()) + ", run: " +
         std::to_string(ran.size()) + ", turned away: " +
         std::to_string(turnedAway) + ", such answers sent again: " +
         std::to_string(repeated));
  Record("run twice: " + std::to_string(twice) +
         ", refused as not run though run: " + std::to_string(refused));
  return twice == 0;
}

} // namespace

int main()
{
  return RunCase(Play);
}
