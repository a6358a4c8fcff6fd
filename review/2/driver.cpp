#include "standins.h"

// Clients send requests on kept connections to all nodes. The operator sends
// one configuration that cannot be read, and sends it again to the next node
// wherever it gets no answer.
using namespace review;

namespace {

constexpr int kInstances = 8;
constexpr int kSlots = 4;
constexpr int kClientsPerNode = 6;
/// Time for which an instance works on a request.
constexpr double kWork = 0.4;
/// Requests that one machine may leave without an answer by the rule.
constexpr int kAllowed = 3;
/// Brackets at the end of the configuration, about as many bytes.
constexpr std::size_t kBrackets = 1000000;

struct LostRequest
{
  std::string mNode;
  std::string mId;
};

std::mutex gMutex;
std::vector<LostRequest> gLost;
std::atomic<bool> gStop{ false };
std::atomic<int> gAnswered{ 0 };

// A request counts if it is not the first one of its connection, and the
// connection ended instead of bringing an answer.
void RecordUnanswered(const Node& aNode,
                      const Request& aRequest,
                      const Message& aAnswer,
                      bool aIsKept)
{
  Record("client: %s of a %s connection to %s has no answer, %s",
         aRequest.mId.c_str(),
         aIsKept ? "kept" : "new",
         aNode.Ingress().c_str(),
         aAnswer.mTimedOut ? "time ran out" : "the connection ended");
  if (aIsKept && !aAnswer.mTimedOut) {
    const std::lock_guard<std::mutex> lock(gMutex);
    gLost.push_back({ aNode.mIp, aRequest.mId });
  }
}

void RunClient(const Node& aNode, int aNumber)
{
  Connection connection;
  int sentBefore = 0;
  Sleep(0.05 * aNumber);
  while (!gStop) {
    if (!connection.IsOpen()) {
      sentBefore = 0;
      if (!connection.Open(aNode.Ingress())) {
        Sleep(0.1);
        continue;
      }
    }
    Request request;
    request.mPath = "/lohu930/" + std::to_string(aNumber);
    connection.Send(request.Bytes());
    const Message answer = connection.Read(Now() + 3);
    if (!answer.mComplete) {
      RecordUnanswered(aNode, request, answer, sentBefore > 0);
      connection.Close();
      continue;
    }
    ++gAnswered;
    ++sentBefore;
    if (answer.Field("Connection") == "close") {
      connection.Close();
    }
    Sleep(0.02);
  }
}

// A configuration like the first one that breaks off in a route.
std::string UnreadableConfiguration()
{
  return "{\"version\":7,\"base_version\":1,\"resources\":[{\"type\":"
         "\"routes\","
         "\"metadata\":{\"name\":\"r-1\"},\"spec\":" +
         std::string(kBrackets, '[');
}

} // namespace

int main()
{
  const std::vector<Node> nodes = NodesFromEnvironment();
  std::vector<std::unique_ptr<Instance>> instances;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(
      std::make_unique<Instance>("i-" + std::to_string(i),
                                 "huvo11a",
                                 InstanceIp(i),
                                 nodes[i % nodes.size()].Zone(),
                                 kSlots,
                                 nodes,
                                 [](const Message&) {
                                   return Answer{ kWork, "done\n" };
                                 }));
  }
  StartTraffic(nodes,
               { { "r-1", "/lohu930/", "safe", "2500ms", 2, "huvo11a" } });
  std::vector<std::thread> clients;
  for (const Node& node : nodes) {
    for (int i = 0; i < kClientsPerNode; ++i) {
      clients.emplace_back([&node, i] { RunClient(node, i); });
    }
  }
  Sleep(4);
  if (HasTrouble()) {
    const int status = PutConfiguration(nodes, UnreadableConfiguration(), 10);
    Record("operator: the unreadable configuration ends with status %d",
           status);
  }
  Sleep(4);
  gStop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::set<std::string> ran;
  for (const auto& instance : instances) {
    for (const std::string& id : instance->Runs()) {
      ran.insert(id);
    }
  }
  std::map<std::string, int> lost;
  int most = 0;
  for (const LostRequest& request : gLost) {
    if (ran.count(request.mId) != 0) {
      most = std::max(most, ++lost[request.mNode]);
    }
  }
  for (const auto& [node, count] : lost) {
    Record("%s passed %d requests of kept connections on to an instance and "
           "closed the connection without an answer",
           node.c_str(),
           count);
  }
  const bool isBroken = most > kAllowed;
  Record("LOST %s: at most %d such requests at one machine, %d are allowed; %d "
         "requests were answered",
         isBroken ? "broken" : "held",
         most,
         kAllowed,
         gAnswered.load());
  std::_Exit(isBroken ? 1 : gAnswered > 100 ? 0 : 2);
}
