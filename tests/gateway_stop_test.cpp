#include "fakes/handler_factory.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <Poco/StreamCopier.h>

#include <chrono>
#include <sstream>
#include <thread>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;
using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 24 * 1024 * 1024;
constexpr std::size_t kPackBytes = 90000;
/// Time for which a target works on a pack: longer than a host that stops stays
/// without a request.
constexpr milliseconds kPackWork{ 1500 };
constexpr double kNarrowLinkMbps = 2.5;
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
                                "kind = download\n"
                                "timeout = 20s\n"
                                "objective = 10s\n"
                                "attempts = 1\n"
                                "backends = s:1\n";

/// \brief Answers health checks, and all other requests with a large body;
/// packs after some work.
class LargeAnswerHandler : public net::HTTPRequestHandler
{
public:
  void handleRequest(net::HTTPServerRequest& aRequest,
                     net::HTTPServerResponse& aResponse) override
  {
    aResponse.set("Target-Id", "t1");
    aResponse.set("Target-Load", "0,0,4,100");
    if (aRequest.getURI() == "/health") {
      aResponse.setContentLength(0);
      aResponse.send();
      return;
    }
    aResponse.set("Request-Id", aRequest.get("Request-Id", ""));
    const bool isPack = aRequest.getURI() == "/pack";
    if (isPack) {
      std::this_thread::sleep_for(kPackWork);
    }
    const std::string body(isPack ? kPackBytes : kAnswerBytes, 'x');
    aResponse.sendBuffer(body.data(), body.size());
  }
};

} // namespace

/// \brief Tests the graceful shutdown of a gateway host on loopback with one
/// target and a slow client.
class GatewayStopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayStopTest);
  CPPUNIT_TEST(LargeAnswerToASlowReaderIsWholeThoughTheHostStops);
  CPPUNIT_TEST(LastAnswerIsWholeThoughTheHostHasNothingElseToDo);
  CPPUNIT_TEST_SUITE_END();

public:
  void LargeAnswerToASlowReaderIsWholeThoughTheHostStops()
  {
    net::HTTPServer target(
      new fakes::HandlerFactory([] { return new LargeAnswerHandler; }),
      net::ServerSocket(0),
      new net::HTTPServerParams);
    target.start();
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(
      host.Announce(kPolicy, "127.0.0.1:" + std::to_string(target.port())));
    const std::size_t bytesRead = ReadSlowly(host);
    host.Join();
    target.stopAll(true);
    CPPUNIT_ASSERT_EQUAL(kAnswerBytes, bytesRead);
  }

  // Guards against an exit in the step that hands the last answer over: on a
  // narrow link it is sent in pieces, and all but the first were lost.
  void LastAnswerIsWholeThoughTheHostHasNothingElseToDo()
  {
    net::HTTPServer target(
      new fakes::HandlerFactory([] { return new LargeAnswerHandler; }),
      net::ServerSocket(0),
      new net::HTTPServerParams);
    target.start();
    fakes::RunningGateway host(kNarrowLinkMbps);
    CPPUNIT_ASSERT(
      host.Announce(kPolicy, "127.0.0.1:" + std::to_string(target.port())));
    net::HTTPClientSession session(host.CallerAddress());
    net::HTTPRequest request("GET", "/pack", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", "q1");
    session.sendRequest(request);
    std::this_thread::sleep_for(milliseconds(100));
    host.Stop();
    net::HTTPResponse response;
    std::ostringstream body;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), body);
    host.Join();
    target.stopAll(true);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
    CPPUNIT_ASSERT_EQUAL(kPackBytes, body.str().size());
  }

private:
  // Reads for at least two seconds, so that the host has sent its answer to the
  // socket and has nothing else to do long before the client has read it.
  static std::size_t ReadSlowly(fakes::RunningGateway& aHost)
  {
    net::HTTPClientSession session(aHost.CallerAddress());
    net::HTTPRequest request("GET", "/large", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", "q1");
    session.sendRequest(request);
    net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
    aHost.Stop();
    constexpr int kSteps = 40;
    std::string buffer(kAnswerBytes / kSteps, '\0');
    std::size_t bytesRead = 0;
    while (
      body.read(buffer.data(), static_cast<std::streamsize>(buffer.size())) ||
      body.gcount() > 0) {
      bytesRead += static_cast<std::size_t>(body.gcount());
      std::this_thread::sleep_for(milliseconds(50));
    }
    return bytesRead;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTest);

} // namespace geraniumpond::frontend
