#include "standins.h"

// Clients fetch a large response, send a safe request behind it while it is
// still coming, and, when both are answered, one more request on the same
// connection.
using namespace review;

namespace {

constexpr int kInstances = 8;
constexpr int kSlots = 4;
constexpr int kClients = 12;
/// Between the starts of two clients; each node serves one at a time.
constexpr double kGap = 0.5;
/// Time for which an instance works on a request.
constexpr double kWork = 0.1;
constexpr std::size_t kBytes = 16 * 1024 * 1024;
/// Timeout of the last request's route, in seconds, and its client's deadline.
constexpr double kTimeout = 1.5;
constexpr int kDeadlineMs = 3000;
/// After this time past the timeout a request counts by the rule, and the rule
/// is broken by eight, if they are over a quarter.
constexpr double kSlack = 0.5;
constexpr int kMany = 8;

std::atomic<int> gAnswered{ 0 };
std::atomic<int> gAtTimeout{ 0 };
std::atomic<int> gUnanswered{ 0 };
std::atomic<int> gFailed{ 0 };

bool ReadAnswer(Connection& aConnection, const Request& aRequest)
{
  const Message answer = aConnection.Read(Now() + 5);
  Record("client: %s: status %d, %zu bytes, %s",
         aRequest.mId.c_str(),
         answer.Status(),
         answer.mBody.size(),
         answer.mComplete ? "complete" : "not complete");
  return answer.mComplete && answer.Status() == 200 &&
         answer.Field("Connection") != "close";
}

void WaitForFirstBytes(const Connection& aConnection)
{
  pollfd wait{ aConnection.Descriptor(), POLLIN, 0 };
  (void)::poll(&wait, 1, 5000);
}

void RunClient(const Node& aNode)
{
  Connection connection;
  Request download;
  download.mPath = "/pule252/1";
  download.mDeadlineMs = 5000;
  Request lookup;
  lookup.mPath = "/lohu930/1";
  Request sign;
  sign.mMethod = "POST";
  sign.mPath = "/pufi791/1";
  sign.mDeadlineMs = kDeadlineMs;
  sign.mBody = "signed";
  connection.Open(aNode.Ingress());
  connection.Send(download.Bytes());
  WaitForFirstBytes(connection);
  Record("client: download %s begins to come from %s",
         download.mId.c_str(),
         aNode.Ingress().c_str());
  if (HasTrouble()) {
    connection.Send(lookup.Bytes());
    Record("client: %s sent behind it", lookup.mId.c_str());
  }
  bool isSound = ReadAnswer(connection, download);
  if (!HasTrouble()) {
    connection.Send(lookup.Bytes());
    Record("client: %s sent after it", lookup.mId.c_str());
  }
  isSound = ReadAnswer(connection, lookup) && isSound;
  if (!isSound || !connection.Send(sign.Bytes())) {
    ++gFailed;
    return;
  }
  const double sentAt = Now();
  Record("client: unsafe %s sent on the same connection", sign.mId.c_str());
  const Message answer = connection.Read(sentAt + kDeadlineMs / 1000.0);
  const double took = Now() - sentAt;
  Record("client: unsafe %s: status %d after %.3f s%s",
         sign.mId.c_str(),
         answer.Status(),
         took,
         answer.mTimedOut ? ", nothing came until its deadline" : "");
  ++(took > kTimeout ? gAtTimeout : gAnswered);
  gUnanswered += took > kTimeout + kSlack ? 1 : 0;
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
      nodes[i % nodes.size()].Zone(),
      kSlots,
      nodes,
      [](const Message& aRequest) {
        return aRequest.mStart.find("/pule252/") == std::string::npos
                 ? Answer{ kWork, "done\n" }
                 : Answer{ kWork, std::string(kBytes, 'x') };
      }));
  }
  StartTraffic(nodes,
               { { "r-1", "/lohu930/", "safe", "2500ms", 2, "huvo11a" },
                 { "r-2", "/pufi791/", "unsafe", "1500ms", 2, "huvo11a" },
                 { "r-3", "/pule252/", "download", "5s", 2, "huvo11a" } });
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&nodes, i] { RunClient(nodes[i % nodes.size()]); });
    Sleep(kGap);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const bool isBroken =
    gUnanswered >= kMany && gUnanswered * 2 > gAtTimeout.load();
  Record("CONFIG %s: %d answered before the timeout of their route, %d not; of "
         "these %d had no answer half a second later; %d were not sent",
         isBroken ? "broken" : "held",
         gAnswered.load(),
         gAtTimeout.load(),
         gUnanswered.load(),
         gFailed.load());
  std::_Exit(isBroken ? 1 : gAnswered > 0 ? 0 : 2);
}
