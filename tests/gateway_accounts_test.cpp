#include "fakes/handler_factory.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <memory>
#include <set>
#include <string>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kClientIp = "127.0.0.9";
constexpr const char* kSecondIp = "127.0.0.2";
/// Time in which a policy is in force after its acknowledgement, and two hosts
/// know each other.
constexpr milliseconds kInForce{ 2000 };
constexpr milliseconds kAcquainted{ 15000 };
constexpr double kSlowLinkMbps = 2;
/// Takes a noticeable time on the slow link.
constexpr std::size_t kPackBytes = 90000;

// Accounts a1, a2, ... with the keys key-1, key-2, ... and an account without
// any.
std::string PolicyText(int aVersion, const std::set<int>& aKeys)
{
  std::string text = "[policy]\nversion = " + std::to_string(aVersion) +
                     "\nbase = " + std::to_string(aVersion - 1) +
                     "\n[service s]\nhealth_path = /health\n";
  for (const std::string prefix : { "/", "/open/", "/pack/" }) {
    text += "[route r" + std::to_string(prefix.size()) +
            prefix.substr(0, prefix.size() - 1) + "]\nhost = h.example\n" +
            "prefix = " + prefix +
            "\nkind = " + (prefix == "/pack/" ? "download" : "unsafe") +
            "\ntimeout = 3s\nobjective = 2s\nattempts = 2\nbackends = s:1\n" +
            "public = " + (prefix == "/open/" ? "yes" : "no") + "\n";
  }
  for (const int key : aKeys) {
    text += "[account a" + std::to_string(key) + "]\nkeys = key-" +
            std::to_string(key) + "\n";
  }
  return text + "[account none]\n";
}

/// \brief A target that answers with the fields that it was sent.
class FieldsHandler : public net::HTTPRequestHandler
{
public:
  void handleRequest(net::HTTPServerRequest& aRequest,
                     net::HTTPServerResponse& aResponse) override
  {
    aResponse.set("Target-Id", "t1");
    aResponse.set("Target-Load", "0,0,4,100");
    std::string body;
    if (aRequest.getURI().rfind("/pack/", 0) == 0) {
      body.assign(kPackBytes, 'x');
      body += "\n";
    }
    if (aRequest.getURI() != "/health") {
      aResponse.set("Request-Id", aRequest.get("Request-Id", ""));
      for (const auto& [name, value] : aRequest) {
        body += name + ": " + value + "\n";
      }
    }
    aResponse.sendBuffer(body.data(), body.size());
  }
};

struct Answer
{
  net::HTTPResponse mHead;
  std::string mBody;

  [[nodiscard]] int Status() const
  {
    return static_cast<int>(mHead.getStatus());
  }
  [[nodiscard]] bool Has(const std::string& aText) const
  {
    return mBody.find(aText) != std::string::npos;
  }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// \brief A client with one connection, which comes from an address of its own.
class Client
{
public:
  Client(const net::SocketAddress& aHost, const std::string& aOwnIp)
  {
    net::StreamSocket socket(net::SocketAddress::IPv4);
    socket.impl()->bind(net::SocketAddress(aOwnIp, 0), true);
    socket.connect(aHost, Poco::Timespan(2, 0));
    mSession = std::make_unique<net::HTTPClientSession>(socket);
    mSession->setKeepAlive(true);
    mSession->setKeepAliveTimeout(Poco::Timespan(60, 0));
  }

  Answer Ask(const std::string& aPath, const Fields& aFields)
  {
    net::HTTPRequest request("GET", aPath, "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", "q" + std::to_string(++mLast));
    request.set("Patience-Ms", "2500");
    for (const auto& [name, value] : aFields) {
      request.add(name, value);
    }
    mSession->sendRequest(request);
    Answer answer;
    std::ostringstream text;
    Poco::StreamCopier::copyStream(mSession->receiveResponse(answer.mHead),
                                   text);
    answer.mBody = text.str();
    return answer;
  }

  Answer AskWithKey(const std::string& aPath, int aKey)
  {
    return Ask(aPath,
               { { "Authorization", "Token key-" + std::to_string(aKey) } });
  }

private:
  std::unique_ptr<net::HTTPClientSession> mSession;
  int mLast = 0;
};

template<class Condition>
bool Within(milliseconds aTime, Condition aCondition)
{
  const auto end = steady_clock::now() + aTime;
  while (steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return aCondition();
}

} // namespace

/// \brief Client accounts over real sockets: what clients get, and what targets
/// and other hosts are told.
class GatewayAccountsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayAccountsTest);
  CPPUNIT_TEST(TargetIsToldTheAccountByTheHostAlone);
  CPPUNIT_TEST(KeysTakenAwayInSeriesBindOpenConnections);
  CPPUNIT_TEST(ForgedRelayFieldsAreRefused);
  CPPUNIT_TEST(RequestPassedOnKeepsItsAccount);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mTarget = std::make_unique<net::HTTPServer>(
      new fakes::HandlerFactory([] { return new FieldsHandler; }),
      net::ServerSocket(0),
      new net::HTTPServerParams);
    mTarget->start();
  }

  void tearDown() override { mTarget->stopAll(true); }

  void TargetIsToldTheAccountByTheHostAlone()
  {
    const fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(PolicyText(1, { 1 }), TargetAddress()));
    Client client(host.CallerAddress(), kClientIp);
    const Fields spoofed = { { "Client-Account", "evil" },
                             { "CLIENT-account", "evil" },
                             { "Client_Account", "evil" },
                             { "Authorization", "Token key-1" } };
    for (const char* path : { "/x", "/open/x" }) {
      const Answer answer = client.Ask(path, spoofed);
      CPPUNIT_ASSERT_EQUAL(200, answer.Status());
      CPPUNIT_ASSERT(answer.Has("Client-Account: a1\n"));
      CPPUNIT_ASSERT(!answer.Has("evil") && !answer.Has("key-1"));
    }
    const Answer open = client.Ask(
      "/open/x",
      { { "Client-Account", "evil" }, { "Authorization", "Token secret" } });
    CPPUNIT_ASSERT_EQUAL(200, open.Status());
    CPPUNIT_ASSERT(!open.Has("evil") && !open.Has("secret") &&
                   !open.Has("Client-Account"));
    CPPUNIT_ASSERT_EQUAL(401, client.Ask("/x", {}).Status());
    const Answer refused = client.AskWithKey("/x", 2);
    CPPUNIT_ASSERT_EQUAL(401, refused.Status());
    CPPUNIT_ASSERT(!refused.Has("key-2"));
    CPPUNIT_ASSERT_EQUAL(std::string("Token"),
                         refused.mHead.get("WWW-Authenticate"));
    CPPUNIT_ASSERT(host.Metrics().find("key-") == std::string::npos);
  }

  void KeysTakenAwayInSeriesBindOpenConnections()
  {
    const fakes::RunningGateway host;
    std::set<int> keys = { 1, 2, 3, 4 };
    CPPUNIT_ASSERT(host.Announce(PolicyText(1, keys), TargetAddress()));
    std::map<int, Client> clients;
    for (const int key : keys) {
      Client& client =
        clients.try_emplace(key, host.CallerAddress(), kClientIp).first->second;
      CPPUNIT_ASSERT_EQUAL(200, client.AskWithKey("/x", key).Status());
    }
    for (const int gone : { 3, 1, 4 }) {
      keys.erase(gone);
      CPPUNIT_ASSERT(
        host.Replace(PolicyText(5 - static_cast<int>(keys.size()), keys)));
      CPPUNIT_ASSERT(Within(kInForce, [&] {
        return clients.at(gone).AskWithKey("/x", gone).Status() == 401;
      }));
      for (const int key : keys) {
        CPPUNIT_ASSERT_EQUAL(200,
                             clients.at(key).AskWithKey("/x", key).Status());
      }
    }
  }

  void ForgedRelayFieldsAreRefused()
  {
    const fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(PolicyText(1, { 1 }), TargetAddress()));
    Client client(host.CallerAddress(), kClientIp);
    const Fields forged[] = {
      { { "Relayed-After-Ms", "1" }, { "Relayed-Account", "a1" } },
      { { "relayed-account", "a1" } },
      { { "Authorization", "Token key-1" }, { "RELAYED-After-ms", "1" } },
    };
    for (const Fields& fields : forged) {
      for (const char* path : { "/x", "/open/x" }) {
        const Answer answer = client.Ask(path, fields);
        CPPUNIT_ASSERT_EQUAL(503, answer.Status());
      }
    }
    CPPUNIT_ASSERT_EQUAL(200, client.AskWithKey("/x", 1).Status());
  }

  // The link of the first host is slow, so that downloads come through the
  // second one.
  void RequestPassedOnKeepsItsAccount()
  {
    const fakes::RunningGateway first(kSlowLinkMbps);
    CPPUNIT_ASSERT(first.Announce(PolicyText(1, { 1 }), TargetAddress()));
    const fakes::RunningGateway second(first, kSecondIp);
    Client client(first.CallerAddress(), kClientIp);
    Answer answer;
    CPPUNIT_ASSERT(Within(kAcquainted, [&] {
      answer = client.AskWithKey("/pack/x", 1);
      return second.Metrics().find("relayed_requests") != std::string::npos;
    }));
    CPPUNIT_ASSERT_EQUAL(200, answer.Status());
    CPPUNIT_ASSERT(answer.Has("Client-Account: a1\n"));
    CPPUNIT_ASSERT(!answer.Has("key-1") && !answer.Has("Relayed"));
    CPPUNIT_ASSERT(second.Metrics().find("not_from_a_host") ==
                   std::string::npos);
    // The second host believes the first one's address only.
    Client forger(second.CallerAddress(), kClientIp);
    CPPUNIT_ASSERT_EQUAL(
      503,
      forger
        .Ask("/pack/x",
             { { "Relayed-After-Ms", "1" }, { "Relayed-Account", "a1" } })
        .Status());
  }

private:
  [[nodiscard]] std::string TargetAddress() const
  {
    return "127.0.0.1:" + std::to_string(mTarget->port());
  }

  std::unique_ptr<net::HTTPServer> mTarget;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayAccountsTest);

} // namespace geraniumpond::frontend
