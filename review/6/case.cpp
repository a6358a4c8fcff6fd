// An order of the operator to take a zone back is held up by a cut between the
// operator and one machine. The operator gets its acknowledgement from another
// machine, and later evacuates the zone again, which is acknowledged too. When
// the cut heals, the order that was held up arrives.

#include "harness.h"

#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

constexpr int kMachines = 5;
constexpr int kDisks = 3;
constexpr int kServers = 6;
constexpr const char* kZone = "zone-a";
/// The bound of the settings: after this nothing reaches the zone.
constexpr double kEvacuate = 5;
constexpr double kCutFor = 5.5;
/// One way between the operator and a machine, as on the customers' sheets.
constexpr double kOneWay = 0.0014;

/// The path between the operator and one machine. While it is cut, what is sent
/// is held up, and arrives in order when the cut heals.
class Path
{
public:
  Path(const Address& aAt, Address aTo)
    : mTo(std::move(aTo))
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(aAt.mPort));
    at.sin_addr.s_addr = AddressOf(aAt.mIp);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        ::listen(mListener, 16) != 0) {
      throw CannotRun{ "no address for the path" };
    }
    mThread = std::thread([this] { Run(); });
  }
  ~Path()
  {
    mStopping = true;
    mThread.join();
    ::close(mListener);
  }
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;

  void Cut(bool aCut) { mCut = aCut; }

private:
  static std::uint32_t AddressOf(const std::string& aIp)
  {
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
    unsigned d = 0;
    (void)std::sscanf(aIp.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
    return htonl((a << 24) | (b << 16) | (c << 8) | d);
  }

  void WaitWhileCut() const
  {
    while (mCut && !mStopping) {
      Sleep(0.01);
    }
    Sleep(kOneWay);
  }

  // One connection at a time, as the operator's calls are.
  void Run()
  {
    while (!mStopping) {
      pollfd waiting{ mListener, POLLIN, 0 };
      if (::poll(&waiting, 1, 50) != 1) {
        continue;
      }
      const int caller = ::accept(mListener, nullptr, nullptr);
      // The connection was open before the cut: only what is sent on it is held
      // up.
      Connection machine;
      if (caller < 0 || !machine.Open(mTo)) {
        continue;
      }
      char bytes[4096];
      const ssize_t count = ::recv(caller, bytes, sizeof(bytes), 0);
      if (count > 0) {
        WaitWhileCut();
        machine.Send(std::string(bytes, static_cast<std::size_t>(count)));
        // Only after the end of the caller's connection, which follows a round
        // trip later, or with the answer.
        Message answer;
        const bool answered = machine.ReadAnswer(answer, 2 * kOneWay);
        if (answered || machine.ReadAnswer(answer, IsOpen(caller) ? 1 : 0)) {
          Record("the held path: the machine answered " +
                 std::to_string(answer.mStatus));
          const std::string text =
            "HTTP/1.1 " + std::to_string(answer.mStatus) +
            " Status\r\nContent-Length: " +
            std::to_string(answer.mBody.size()) + "\r\n\r\n" + answer.mBody;
          (void)!::send(caller, text.data(), text.size(), MSG_NOSIGNAL);
        }
      }
      ::close(caller);
    }
  }

  static bool IsOpen(int aDescriptor)
  {
    char byte = 0;
    return ::recv(aDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  }

  Address mTo;
  int mListener = -1;
  std::atomic<bool> mCut{ false };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

int ByPath(const Address& aPath, const std::string& aCall)
{
  Machine machine;
  machine.mAdmin = aPath;
  return OrderOnce(machine, aCall, kZone, "", 1);
}

void MustAcknowledge(Platform& aPlatform,
                     const std::string& aCall,
                     const std::vector<int>& aMachines)
{
  int by = 0;
  if (Order(aPlatform, aCall, kZone, "", aMachines, 4, &by) != 200) {
    throw CannotRun{ aCall + " was not acknowledged" };
  }
  Record(aCall + " of " + kZone + " is acknowledged by " +
         aPlatform.Machines()[static_cast<std::size_t>(by)].mName);
}

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
        Sleep(0.02);
        return std::make_pair(200, std::string("ok\n"));
      }));
  }
  SetUp(platform,
        Configuration(1, 0, { { "/look/", "safe", "1500ms", "desk" } }, { "desk" }),
        servers);
  const std::vector<int> others = { 0, 1, 2, 3 };
  const Address at{ platform.StandInIp(40), 18090 };
  Path path(at, platform.Machines()[4].mAdmin);

  std::atomic<bool> stopping{ false };
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < kMachines; ++client) {
    clients.emplace_back([&, client] {
      Connection connection;
      for (int i = 0; !stopping; ++i) {
        const std::string id =
          "look-" + std::to_string(client) + "-" + std::to_string(i);
        Message answer;
        const Address& to =
          platform.Machines()[static_cast<std::size_t>(client)].mIngress;
        if (!(connection.IsOpen() || connection.Open(to)) ||
            !connection.Send(
              RequestBytes("GET", "/look/" + id, ClientFields(id, 1000))) ||
            !connection.ReadAnswer(answer, 2)) {
          connection.Close();
        }
        answered += answer.mStatus == 200 ? 1 : 0;
        Sleep(0.03);
      }
    });
  }

  MustAcknowledge(platform, "evacuations.start", others);
  Sleep(3);
  const double cutAt = Now();
  path.Cut(aTrouble);
  Record(aTrouble ? "the path between the operator and edge-5 is cut"
                  : "no cut");
  const int first = ByPath(at, "evacuations.end");
  Record("evacuations.end, sent to edge-5: " +
         (first == 0 ? std::string("no answer within a second")
                     : "answered " + std::to_string(first)));
  if (first != 200) {
    MustAcknowledge(platform, "evacuations.end", others);
  }
  Sleep(1.5);
  MustAcknowledge(platform, "evacuations.start", others);
  const double acknowledgedAt = Now();
  Sleep(cutAt + kCutFor - Now());
  path.Cut(false);
  Record("the cut has healed");
  Sleep(acknowledgedAt + kEvacuate + 5 - Now());
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int late = 0;
  for (const std::unique_ptr<Server>& server : servers) {
    for (const Server::Run& run : server->Runs()) {
      if (server->Zone() == kZone && run.mAt > acknowledgedAt + kEvacuate) {
        ++late;
        if (late <= 5) {
          Record("request " + run.mRequest + " reached " + server->Id() +
                 " in " + kZone + " " +
                 std::to_string(run.mAt - acknowledgedAt) +
                 " s after the acknowledgement");
        }
      }
    }
  }
  Record("answered: " + std::to_string(answered) +
         ", requests in the evacuated zone later than the bound: " +
         std::to_string(late));
  if (answered == 0) {
    throw CannotRun{ "no request was served" };
  }
  return late == 0;
}

} // namespace

int main()
{
  return RunCase(Play);
}
