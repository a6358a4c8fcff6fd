#include "fakes/free_address.h"
#include "frontend/gateway_process.h"
#include "frontend/native_dialect.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/File.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <sstream>
#include <thread>

namespace geraniumpond::frontend {

namespace {

using fakes::FreeAddress;

namespace net = Poco::Net;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kAnswerBytes = 24 * 1024 * 1024;
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

/// \brief Answers health checks, and all other requests with a large body.
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
    const std::string body(kAnswerBytes, 'x');
    aResponse.sendBuffer(body.data(), body.size());
  }
};

class LargeAnswerHandlerFactory : public net::HTTPRequestHandlerFactory
{
public:
  net::HTTPRequestHandler* createRequestHandler(
    const net::HTTPServerRequest&) override
  {
    return new LargeAnswerHandler;
  }
};

int CallHost(const std::string& aAddress,
             const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody)
{
  const net::SocketAddress address(aAddress);
  net::HTTPClientSession session(address);
  session.setTimeout(Poco::Timespan(1, 0));
  net::HTTPRequest request(aMethod, aPath, "HTTP/1.1");
  request.setContentLength(static_cast<std::streamsize>(aBody.size()));
  session.sendRequest(request) << aBody;
  net::HTTPResponse response;
  std::ostringstream text;
  Poco::StreamCopier::copyStream(session.receiveResponse(response), text);
  return response.getStatus();
}

} // namespace

/// \brief Tests the graceful shutdown of a gateway host on loopback with one
/// target and a slow client.
class GatewayStopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayStopTest);
  CPPUNIT_TEST(LargeAnswerToASlowReaderIsWholeThoughTheHostStops);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFolder = Poco::TemporaryFile::tempName();
    Poco::File(mFolder).createDirectories();
    mSettings.mId = "h1";
    mSettings.mDataFolder = mFolder;
    mSettings.mFounding = true;
    mSettings.mCallerAddress = FreeAddress();
    mSettings.mPeerAddress = FreeAddress();
    mSettings.mCallAddresses = { FreeAddress() };
    mSettings.mMetricsAddress = FreeAddress();
    mSettings.mSeeds = { mSettings.mPeerAddress };
    mSettings.mStopGrace = 6 * kSecond;
    mSettings.mAnswerKeep = 100 * kMillisecond;
    mSettings.mLinkMbps = 1000;
    mSettings.mProbesPerTarget = 10;
  }

  void tearDown() override { Poco::File(mFolder).remove(true); }

  void LargeAnswerToASlowReaderIsWholeThoughTheHostStops()
  {
    net::HTTPServer target(new LargeAnswerHandlerFactory,
                           net::ServerSocket(0),
                           new net::HTTPServerParams);
    target.start();
    std::thread host([this] { Run(); });
    // Joins the thread also when an assertion fails: destroying a joinable
    // thread would terminate the process and hide the failure.
    const std::shared_ptr<void> joinOnExit(nullptr, [&](void*) {
      mStop = true;
      if (host.joinable()) {
        host.join();
      }
    });
    Announce("127.0.0.1:" + std::to_string(target.port()));
    const std::size_t bytesRead = ReadSlowly();
    host.join();
    target.stopAll(true);
    CPPUNIT_ASSERT_EQUAL(kAnswerBytes, bytesRead);
  }

private:
  void Run()
  {
    GatewayProcess process(mSettings, NativeDialect());
    const bool started = static_cast<bool>(process.Start());
    bool stopping = false;
    while (started && process.RunOnce()) {
      if (mStop && !stopping) {
        stopping = true;
        process.RequestStop();
      }
    }
  }

  // The host accepts calls once its single-member group has elected a leader.
  void Announce(const std::string& aTarget) const
  {
    const std::string& host = mSettings.mCallAddresses.front();
    const std::string record = R"({"service":"s","address":")" + aTarget +
                               R"(","slots":4,"sequence":1})";
    CPPUNIT_ASSERT(PutUntilAccepted(host, "/policy", kPolicy));
    CPPUNIT_ASSERT(PutUntilAccepted(host, "/targets/t1", record));
  }

  static bool PutUntilAccepted(const std::string& aHost,
                               const std::string& aPath,
                               const std::string& aBody)
  {
    const auto end = steady_clock::now() + std::chrono::seconds(10);
    while (steady_clock::now() < end) {
      try {
        if (CallHost(aHost, "PUT", aPath, aBody) == 200) {
          return true;
        }
      } catch (const Poco::Exception&) {
        // The host does not listen yet.
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  // Reads for at least two seconds, so that the host has sent its answer to the
  // socket and has nothing else to do long before the client has read it.
  std::size_t ReadSlowly()
  {
    const net::SocketAddress address(mSettings.mCallerAddress);
    net::HTTPClientSession session(address);
    net::HTTPRequest request("GET", "/large", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", "q1");
    session.sendRequest(request);
    net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
    mStop = true;
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

  std::string mFolder;
  GatewaySettings mSettings;
  std::atomic<bool> mStop{ false };
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTest);

} // namespace geraniumpond::frontend
