// A server fails part of its non-idempotent requests after it has begun to work
// on them: with status 503, and without the field by which a server says that
// it has not run a request. The client must not be told that it has not run.

#include "harness.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr int kMachines = 4;
constexpr int kDisks = 3;
constexpr int kServers = 8;
constexpr int kClients = 8;
constexpr int kRequestsEach = 60;
constexpr int kDeadlineMs = 1500;
/// Share of the requests that the failing server fails.
constexpr double kFailing = 0.45;

bool Play(bool aTrouble)
{
  Platform platform(kMachines, kDisks);
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    const bool fails = aTrouble && i == 0;
    auto count = std::make_shared<std::atomic<int>>(0);
    const auto work = [fails, count](const Message&) {
      Sleep(0.04);
      constexpr int kEvery = 100;
      const int turn = (37 * ++*count) % kEvery;
      return fails && turn < kFailing * kEvery
               ? std::make_pair(503, std::string("the ledger is not there\n"))
               : std::make_pair(200, std::string("filed\n"));
    };
    servers.push_back(std::make_unique<Server>(
      "i-" + std::to_string(i + 1),
      "desk",
      platform.Machines()[static_cast<std::size_t>(i % 3)].mZone,
      Address{ platform.StandInIp(i), 18080 },
      work));
  }
  SetUp(platform,
        Configuration(1, 0, { { "/sign/", "unsafe", "1500ms", "desk" } }, { "desk" }),
        servers);

  std::mutex mutex;
  std::map<std::string, int> answers;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const Machine& machine =
        platform.Machines()[static_cast<std::size_t>(client % kMachines)];
      Connection connection;
      for (int i = 0; i < kRequestsEach; ++i) {
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
        const std::lock_guard<std::mutex> lock(mutex);
        answers[id] = answer.mStatus;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  // A request that was refused must not run later either.
  Sleep(2);

  std::map<std::string, std::string> ran;
  for (const std::unique_ptr<Server>& server : servers) {
    for (const Server::Run& run : server->Runs()) {
      ran[run.mRequest] = server->Id();
    }
  }
  std::map<int, int> counts;
  int broken = 0;
  for (const auto& [id, status] : answers) {
    ++counts[status];
    const bool isPromise =
      status == 503 || status == 429 || status == 408 || status == 421;
    if (isPromise && ran.count(id) != 0) {
      ++broken;
      Record("request " + id + " was answered " + std::to_string(status) +
             ", and server " + ran[id] + " has run it");
    }
  }
  for (const auto& [status, count] : counts) {
    Record("answered " + std::to_string(status) + ": " + std::to_string(count));
  }
  Record("requests sent: " + std::to_string(answers.size()) + ", run: " +
         std::to_string(ran.size()) + ", refused as not run though run: " +
         std::to_string(broken));
  return broken == 0;
}

} // namespace

int main()
{
  return RunCase(Play);
}
