#include "fakes/handler_factory.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;

constexpr const char* kPolicy = "[policy]\n"
                                "version = 1\n"
                                "base = 0\n"
                                "\n"
                                "[service s]\n"
                                "health_path = /health\n"
                                "\n"
                                "[route r]\n"
                                "host = h.example\n"
                                "prefix = /\n"
                                "kind = unsafe\n"
                                "timeout = 3s\n"
                                "objective = 2s\n"
                                "attempts = 1\n"
                                "backends = s:1\n";

/// \brief A target that says in its answer's body whether it saw the field of
/// requests that are passed on.
class EchoHandler : public net::HTTPRequestHandler
{
public:
  void handleRequest(net::HTTPServerRequest& aRequest,
                     net::HTTPServerResponse& aResponse) override
  {
    aResponse.set("Target-Id", "t1");
    aResponse.set("Target-Load", "0,0,4,100");
    aResponse.set("Request-Id", aRequest.get("Request-Id", ""));
    if (aRequest.getURI() == "/health") {
      aResponse.erase("Request-Id");
    }
    const std::string body =
      aRequest.has("Relayed-After-Ms") ? "passed on" : "plain";
    aResponse.sendBuffer(body.data(), body.size());
  }
};

struct Answer
{
  net::HTTPResponse mHead;
  std::string mBody;
};

Answer Relay(const fakes::RunningGateway& aHost)
{
  net::HTTPClientSession session(aHost.CallerAddress());
  net::HTTPRequest request("GET", "/x", "HTTP/1.1");
  request.setHost("h.example");
  request.set("Request-Id", "q1");
  request.set("Patience-Ms", "2000");
  request.set("Relayed-After-Ms", "15");
  session.sendRequest(request);
  Answer answer;
  std::ostringstream text;
  Poco::StreamCopier::copyStream(session.receiveResponse(answer.mHead), text);
  answer.mBody = text.str();
  return answer;
}

} // namespace

/// \brief A host to which another one passes requests on, with a real target.
class GatewayRelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayRelayTest);
  CPPUNIT_TEST(TargetGetsARelayedRequestLikeAnyOther);
  CPPUNIT_TEST(HostWithoutAWaySaysThatItDidNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void TargetGetsARelayedRequestLikeAnyOther()
  {
    net::HTTPServer target(
      new fakes::HandlerFactory([] { return new EchoHandler; }),
      net::ServerSocket(0),
      new net::HTTPServerParams);
    target.start();
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(
      host.Announce(kPolicy, "127.0.0.1:" + std::to_string(target.port())));
    const Answer answer = Relay(host);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(answer.mHead.getStatus()));
    CPPUNIT_ASSERT_EQUAL(std::string("plain"), answer.mBody);
    host.Stop();
    host.Join();
    target.stopAll(true);
  }

  void HostWithoutAWaySaysThatItDidNotRun()
  {
    // Connections are taken by the system, and nobody answers on them.
    const net::ServerSocket silent(net::SocketAddress("127.0.0.1", 0));
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, silent.address().toString()));
    const Answer answer = Relay(host);
    CPPUNIT_ASSERT_EQUAL(421, static_cast<int>(answer.mHead.getStatus()));
    CPPUNIT_ASSERT(answer.mHead.has("Not-Run"));
    CPPUNIT_ASSERT_EQUAL(std::string("q1"), answer.mHead.get("Request-Id"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRelayTest);

} // namespace geraniumpond::frontend
