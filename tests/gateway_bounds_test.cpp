#include "fakes/running_gateway.h"
#include "fakes/scripted_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr int kSmallRequests = 60;
constexpr milliseconds kSmallWithin{ 300 };
/// Well before the route's timeout.
constexpr milliseconds kEndlessWithin{ 8000 };
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
                                "kind = safe\n"
                                "timeout = 15s\n"
                                "objective = 10s\n"
                                "attempts = 1\n"
                                "backends = s:1\n";

} // namespace

/// \brief Tests what one caller or target can make a whole host hold.
class GatewayBoundsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayBoundsTest);
  CPPUNIT_TEST(CallOfManyMegabytesIsRefusedByItsLength);
  CPPUNIT_TEST(EndlessAnswerIsABadGatewayAndHoldsUpNobody);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against memory that a document takes while it is
  // decoded, in the process that serves clients.
  void CallOfManyMegabytesIsRefusedByItsLength()
  {
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Replace("[policy]\nversion = 1\nbase = 0\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOfPut(host, 5 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOfPut(host, 64 * kMegabyte));
  }

  // Guards against a target that sends until it is closed: its callers waited
  // for the route's timeout, and the host took all that came.
  void EndlessAnswerIsABadGatewayAndHoldsUpNobody()
  {
    fakes::ScriptedTarget target(AnswerTo);
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, target.Address()));
    const auto start = steady_clock::now();
    std::thread endless([&] { mEndlessStatus = StatusOf(host, "/endless"); });
    int late = 0;
    for (int i = 0; i < kSmallRequests; ++i) {
      const auto before = steady_clock::now();
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(host, "/small"));
      late += steady_clock::now() - before > kSmallWithin ? 1 : 0;
    }
    endless.join();
    const auto took = steady_clock::now() - start;
    CPPUNIT_ASSERT_EQUAL(502, mEndlessStatus.load());
    CPPUNIT_ASSERT(took < kEndlessWithin);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late), late <= kSmallRequests / 10);
  }

private:
  static fakes::Script AnswerTo(const std::string& aRequest)
  {
    const std::size_t at = aRequest.find("Request-Id: ");
    const std::string id =
      at == std::string::npos
        ? ""
        : aRequest.substr(at, aRequest.find("\r\n", at) + 2 - at);
    const std::string head = "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\n"
                             "Target-Load: 0,0,8,100\r\n" +
                             id;
    if (aRequest.find("GET /endless") == 0) {
      return { head + "Transfer-Encoding: chunked\r\n\r\n",
               "8\r\nxxxxxxxx\r\n" };
    }
    return { head + "Content-Length: 0\r\n\r\n", "" };
  }

  static int StatusOf(const fakes::RunningGateway& aHost,
                      const std::string& aPath)
  {
    net::HTTPClientSession session(aHost.CallerAddress());
    session.setTimeout(Poco::Timespan(20, 0));
    net::HTTPRequest request("GET", aPath, "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", "q" + aPath.substr(1));
    session.sendRequest(request);
    net::HTTPResponse response;
    std::ostringstream body;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), body);
    return response.getStatus();
  }

  std::atomic<int> mEndlessStatus{ 0 };

  // Sends the head of a call only.
  static std::string StatusOfPut(const fakes::RunningGateway& aHost,
                                 std::size_t aLength)
  {
    net::StreamSocket socket(aHost.CallAddress());
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    const std::string head = "PUT /policy HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: " +
                             std::to_string(aLength) + "\r\n\r\n";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    char answer[64] = {};
    try {
      const int count = socket.receiveBytes(answer, sizeof(answer));
      return std::string(answer, static_cast<std::size_t>(count)).substr(9, 3);
    } catch (const Poco::TimeoutException&) {
      return "none";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayBoundsTest);

} // namespace geraniumpond::frontend
