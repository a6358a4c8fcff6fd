#include "standins.h"

// Clients send safe requests. Each has a header field whose value is an encoded
// word (RFC 2047): plain text without a line break, which holds the text of
// another request when it is decoded.
using namespace review;

namespace {

constexpr int kInstances = 8;
constexpr int kSlots = 4;
constexpr int kRequests = 20;
/// Time for which an instance works on a request.
constexpr double kWork = 0.05;

std::mutex gMutex;
/// Ids of the requests that clients sent.
std::set<std::string> gSent;
std::atomic<int> gAnswered{ 0 };

// In an encoded word, "=0D=0A" stands for a line break and "_" for a space.
std::string EncodedRequest(const std::string& aId)
{
  return "=?UTF-8?Q?a=0D=0A=0D=0APOST_/pufi791/smuggled_HTTP/1.1"
         "=0D=0AHost:_ficu95.example=0D=0ARequest-Id:_" +
         aId + "=0D=0AContent-Length:_0=0D=0A=0D=0A?=";
}

void SendRequest(const Node& aNode, int aNumber)
{
  Request request;
  request.mPath = "/lohu930/" + std::to_string(aNumber);
  const std::string inner = "feedfeed" + request.mId.substr(8);
  const std::string note = HasTrouble() ? EncodedRequest(inner) : "a";
  std::string bytes = request.Bytes();
  bytes.insert(bytes.size() - 2, "X-Note: " + note + "\r\n");
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gSent.insert(request.mId);
  }
  Connection connection;
  if (!connection.Open(aNode.Ingress()) || !connection.Send(bytes)) {
    return;
  }
  Record("client: %s sent to %s: GET %s, X-Note: %s",
         request.mId.c_str(),
         aNode.Ingress().c_str(),
         request.mPath.c_str(),
         note.c_str());
  const Message answer = connection.Read(Now() + 3);
  Record("client: %s: status %d", request.mId.c_str(), answer.Status());
  gAnswered += answer.mComplete ? 1 : 0;
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
               { { "r-1", "/lohu930/", "safe", "2500ms", 2, "huvo11a" },
                 { "r-2", "/pufi791/", "unsafe", "2500ms", 2, "huvo11a" } });
  for (int i = 0; i < kRequests; ++i) {
    SendRequest(nodes[i % nodes.size()], i);
    Sleep(0.1);
  }
  Sleep(0.5);
  int unasked = 0;
  for (const auto& instance : instances) {
    for (const std::string& id : instance->Runs()) {
      if (!id.empty() && gSent.count(id) == 0) {
        Record("instance %s ran %s, which no client sent",
               instance->Id().c_str(),
               id.c_str());
        ++unasked;
      }
    }
  }
  Record("UNASKED %s: of %d requests %d were answered; %d requests ran that no "
         "client sent",
         unasked > 0 ? "broken" : "held",
         kRequests,
         gAnswered.load(),
         unasked);
  std::_Exit(unasked > 0 ? 1 : gAnswered == kRequests ? 0 : 2);
}
