#include "fakes/handler_factory.h"
#include "fakes/narrow_link.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr double kLinkMbps = 2.1;
constexpr std::size_t kPackBytes = 90000;
constexpr int kPacks = 5;
constexpr milliseconds kPause{ 40 };
/// Of all small answers this share may take longer than kSmallWithin.
constexpr double kLateShare = 0.05;
constexpr milliseconds kSmallWithin{ 100 };
constexpr milliseconds kPackWithin{ 2000 };

constexpr const char* kPolicy = "[policy]\n"
                                "version = 1\n"
                                "base = 0\n"
                                "\n"
                                "[service s]\n"
                                "health_path = /health\n"
                                "\n"
                                "[route pack]\n"
                                "host = h.example\n"
                                "prefix = /pack/\n"
                                "kind = download\n"
                                "timeout = 5s\n"
                                "objective = 2s\n"
                                "attempts = 2\n"
                                "backends = s:1\n"
                                "\n"
                                "[route r]\n"
                                "host = h.example\n"
                                "prefix = /\n"
                                "kind = safe\n"
                                "timeout = 2s\n"
                                "objective = 400ms\n"
                                "attempts = 2\n"
                                "backends = s:1\n";

/// \brief A target with a large and a small answer.
class SizesHandler : public net::HTTPRequestHandler
{
public:
  void handleRequest(net::HTTPServerRequest& aRequest,
                     net::HTTPServerResponse& aResponse) override
  {
    aResponse.set("Target-Id", "t1");
    aResponse.set("Target-Load", "0,0,8,100");
    if (aRequest.has("Request-Id")) {
      aResponse.set("Request-Id", aRequest.get("Request-Id"));
    }
    const bool isPack = aRequest.getURI() == "/pack/1";
    const std::string body(isPack ? kPackBytes : 100, 'x');
    aResponse.sendBuffer(body.data(), body.size());
  }
};

struct Answer
{
  int mStatus = 0;
  std::size_t mBytes = 0;
  steady_clock::duration mTook{};
};

Answer Ask(net::HTTPClientSession& aSession,
           const std::string& aPath,
           const std::vector<std::pair<std::string, std::string>>& aFields = {})
{
  const auto start = steady_clock::now();
  net::HTTPRequest request("GET", aPath, "HTTP/1.1");
  request.setHost("h.example");
  request.set("Request-Id", "q1");
  request.set("Patience-Ms", "4000");
  for (const auto& [name, value] : aFields) {
    request.set(name, value);
  }
  aSession.sendRequest(request);
  net::HTTPResponse head;
  std::ostringstream text;
  Poco::StreamCopier::copyStream(aSession.receiveResponse(head), text);
  return { head.getStatus(), text.str().size(), steady_clock::now() - start };
}

} // namespace

/// \brief Large and small answers through a host with a slow link. A download
/// that is handed to its socket at once fills the link for a third of a second,
/// and all other answers wait behind it.
class GatewayNarrowLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayNarrowLinkTest);
  CPPUNIT_TEST(SmallAnswersDoNotWaitForDownloads);
  CPPUNIT_TEST(AnswerForAnotherHostComesAtItsPace);
  CPPUNIT_TEST_SUITE_END();

public:
  GatewayNarrowLinkTest()
    : mTarget(new fakes::HandlerFactory([] { return new SizesHandler; }),
              net::ServerSocket(0),
              new net::HTTPServerParams)
  {
  }

  void setUp() override { mTarget.start(); }
  void tearDown() override { mTarget.stopAll(true); }

  void SmallAnswersDoNotWaitForDownloads()
  {
    fakes::RunningGateway host(kLinkMbps);
    CPPUNIT_ASSERT(host.Announce(kPolicy, TargetAddress()));
    fakes::NarrowLink link(host.CallerAddress(), kLinkMbps);
    std::vector<Answer> packs;
    std::atomic<bool> done{ false };
    std::thread downloads([&] {
      net::HTTPClientSession session(link.Address());
      session.setKeepAlive(true);
      for (int i = 0; i < kPacks; ++i) {
        packs.push_back(Ask(session, "/pack/1"));
      }
      done = true;
    });
    std::vector<Answer> small;
    net::HTTPClientSession session(link.Address());
    session.setKeepAlive(true);
    while (!done) {
      small.push_back(Ask(session, "/x"));
      std::this_thread::sleep_for(kPause);
    }
    downloads.join();
    for (const Answer& pack : packs) {
      CPPUNIT_ASSERT_EQUAL(200, pack.mStatus);
      CPPUNIT_ASSERT_EQUAL(kPackBytes, pack.mBytes);
      CPPUNIT_ASSERT(pack.mTook < kPackWithin);
    }
    const auto late =
      std::count_if(small.begin(), small.end(), [](const Answer& aAnswer) {
        return aAnswer.mStatus != 200 || aAnswer.mTook > kSmallWithin;
      });
    CPPUNIT_ASSERT(small.size() > 20);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " of " +
                             std::to_string(small.size()) + " late",
                           static_cast<double>(late) <=
                             kLateShare * static_cast<double>(small.size()));
  }

  void AnswerForAnotherHostComesAtItsPace()
  {
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, TargetAddress()));
    net::HTTPClientSession session(host.CallerAddress());
    const Answer paced = Ask(
      session,
      "/pack/1",
      { { "Relayed-After-Ms", "5" }, { "Answer-Bytes-Per-Second", "262500" } });
    CPPUNIT_ASSERT_EQUAL(200, paced.mStatus);
    CPPUNIT_ASSERT_EQUAL(kPackBytes, paced.mBytes);
    CPPUNIT_ASSERT(paced.mTook > milliseconds(340));
    CPPUNIT_ASSERT(paced.mTook < milliseconds(900));
    net::HTTPClientSession direct(host.CallerAddress());
    CPPUNIT_ASSERT(Ask(direct, "/pack/1").mTook < milliseconds(200));
  }

private:
  [[nodiscard]] std::string TargetAddress() const
  {
    return "127.0.0.1:" + std::to_string(mTarget.port());
  }

  net::HTTPServer mTarget;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayNarrowLinkTest);

} // namespace geraniumpond::frontend
