#include "standins.h"

#include <csignal>

// Three machines without a disk are stopped in turn. Each has one client with
// an open connection, which sends one more download on it while the address of
// the machine may still be kept.
using namespace review;

namespace {

constexpr int kInstances = 8;
constexpr int kSlots = 4;
/// First of the machines that are stopped; the others have disks.
constexpr std::size_t kFirstStopped = 3;
/// Time between two stops.
constexpr double kGap = 1.3;
/// From the SIGTERM to the download. Some clients keep a response of the
/// directory for three times its ttl of 1.2 s.
constexpr double kRequestAfter = 3.4;
/// Time for which an instance works on the download, and its bytes.
constexpr double kWork = 1.0;
constexpr std::size_t kBytes = 90000;
/// The last sixth of the grace period of 6 s begins here; a request whose
/// instance is at work by then may be cut.
constexpr double kLastSixth = 5.0;

struct Outcome
{
  bool mIsAnswered = false;
  bool mIsCounted = false;
  bool mIsLost = false;
};

std::mutex gMutex;
std::map<std::string, double> gWorkEnds;

void RunClient(const Node& aNode, double aStopAfter, Outcome& aOut)
{
  Connection connection;
  Request first;
  first.mPath = "/lohu930/1";
  connection.Open(aNode.Ingress());
  connection.Send(first.Bytes());
  const int status = connection.Read(Now() + 3).Status();
  Record("client: %s to %s: status %d",
         first.mId.c_str(),
         aNode.Ingress().c_str(),
         status);
  Sleep(aStopAfter);
  const double stoppedAt = Now();
  if (HasTrouble()) {
    ::kill(aNode.mPid, SIGTERM);
    Record("platform: SIGTERM to the program of %s", aNode.mIp.c_str());
  }
  Sleep(kRequestAfter);
  Request request;
  request.mPath = "/pule252/1";
  request.mDeadlineMs = 5000;
  if (connection.HasEnded() || !connection.Send(request.Bytes())) {
    Record("client: the connection to %s was closed before the download",
           aNode.mIp.c_str());
    return;
  }
  const double sentAt = Now();
  Record("client: download %s sent to %s on its kept connection",
         request.mId.c_str(),
         aNode.mIp.c_str());
  const Message answer = connection.Read(sentAt + 5);
  double workEnd = 0;
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    const auto found = gWorkEnds.find(request.mId);
    workEnd = found == gWorkEnds.end() ? 0 : found->second - stoppedAt;
  }
  Record(
    "client: download %s: status %d, %zu of %s bytes, %s after %.3f s; its "
    "instance was done %.3f s after the SIGTERM",
    request.mId.c_str(),
    answer.Status(),
    answer.mBody.size(),
    answer.Field("Content-Length").c_str(),
    answer.mComplete ? "complete" : "connection ended",
    Now() - sentAt,
    workEnd);
  aOut.mIsAnswered = answer.mComplete && answer.Status() == 200;
  aOut.mIsCounted = workEnd > 0 && workEnd < kLastSixth;
  aOut.mIsLost = aOut.mIsCounted && !answer.mComplete && !answer.mTimedOut;
}

} // namespace

int main()
{
  const std::vector<Node> nodes = NodesFromEnvironment();
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<Instance>(
      "i-" + std::to_string(i),
      "huvo11a",
      InstanceIp(i),
      nodes[i % kFirstStopped].Zone(),
      kSlots,
      nodes,
      [](const Message& aRequest) {
        if (aRequest.mStart.find("/pule252/") == std::string::npos) {
          return Answer{ 0.1, "done\n" };
        }
        const std::lock_guard<std::mutex> lock(gMutex);
        gWorkEnds[aRequest.Field("Request-Id")] = Now() + kWork;
        return Answer{ kWork, std::string(kBytes, 'x') };
      }));
  }
  StartTraffic(nodes,
               { { "r-1", "/lohu930/", "safe", "2500ms", 2, "huvo11a" },
                 { "r-3", "/pule252/", "download", "5s", 2, "huvo11a" } });
  std::vector<Outcome> outcomes(nodes.size());
  std::vector<std::thread> clients;
  for (std::size_t i = kFirstStopped; i < nodes.size(); ++i) {
    const double after = kGap * static_cast<double>(i - kFirstStopped + 1);
    clients.emplace_back(
      [&, i, after] { RunClient(nodes[i], after, outcomes[i]); });
  }
  int lost = 0;
  int answered = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    clients[i].join();
    lost += outcomes[kFirstStopped + i].mIsLost ? 1 : 0;
    answered += outcomes[kFirstStopped + i].mIsAnswered ? 1 : 0;
  }
  Record("LOST %s: of %zu downloads %d came whole, %d were passed on to an "
         "instance and ended without a complete answer",
         lost > 0 ? "broken" : "held",
         clients.size(),
         answered,
         lost);
  std::_Exit(lost > 0 ? 1 : answered > 0 ? 0 : 2);
}
