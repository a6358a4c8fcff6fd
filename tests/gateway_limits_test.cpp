#include "fakes/handler_factory.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;
using fakes::RunningGateway;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWindow{ 5000 };
/// The limit of the account "much", which its callers exceed by far.
constexpr int kPerSecond = 40;
constexpr int kBurst = 20;
constexpr std::size_t kBound = (kPerSecond * 5 + kBurst) * 11 / 10 + 20;
/// Pauses between the requests of one caller; each account has one at each
/// host.
constexpr milliseconds kMuchPause{ 10 };
constexpr milliseconds kLittlePause{ 100 };
constexpr milliseconds kReconnectPause{ 50 };
constexpr int kTargetThreads = 128;
constexpr milliseconds kReadyTime{ 10000 };
/// Hosts learn of each other.
constexpr milliseconds kAcquainted{ 3000 };

const char* const kPolicy = R"([policy]
version = 1
base = 0
[service s]
health_path = /health
[route r]
host = h.example
prefix = /
kind = safe
timeout = 2s
objective = 1s
attempts = 1
backends = s:1
[account much]
keys = key-much
per_second = 40
burst = 20
[account little]
keys = key-little
per_second = 200
burst = 100
)";

/// \brief When requests of the account "much" arrived at the target.
class Arrivals
{
public:
  void Add()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTimes.push_back(steady_clock::now());
  }

  [[nodiscard]] std::size_t WorstWindow() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::deque<steady_clock::time_point> window;
    std::size_t worst = 0;
    for (const steady_clock::time_point time : mTimes) {
      window.push_back(time);
      while (time - window.front() >= kWindow) {
        window.pop_front();
      }
      worst = std::max(worst, window.size());
    }
    return worst;
  }

  [[nodiscard]] std::size_t Count() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mTimes.size();
  }

private:
  mutable std::mutex mMutex;
  std::vector<steady_clock::time_point> mTimes;
};

class CountingHandler : public net::HTTPRequestHandler
{
public:
  explicit CountingHandler(Arrivals& aArrivals)
    : mArrivals(aArrivals)
  {
  }

  void handleRequest(net::HTTPServerRequest& aRequest,
                     net::HTTPServerResponse& aResponse) override
  {
    if (aRequest.get("Client-Account", "") == "much") {
      mArrivals.Add();
    }
    aResponse.set("Target-Id", "t1");
    aResponse.set("Target-Load", "0,0,64,100");
    if (aRequest.has("Request-Id")) {
      aResponse.set("Request-Id", aRequest.get("Request-Id"));
    }
    aResponse.sendBuffer("", 0);
  }

private:
  Arrivals& mArrivals;
};

/// \brief A caller of one account at one host, which does not wait as it is
/// told, and connects again when its host is gone.
class Caller
{
public:
  Caller(const net::SocketAddress& aHost,
         std::string aAccount,
         milliseconds aPause)
    : mHost(aHost)
    , mAccount(std::move(aAccount))
    , mPause(aPause)
    , mThread([this] { Run(); })
  {
  }
  ~Caller()
  {
    mStop = true;
    mThread.join();
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  [[nodiscard]] const std::string& Account() const { return mAccount; }

  std::atomic<int> mServed{ 0 };
  std::atomic<int> mLimited{ 0 };
  std::atomic<int> mLimitedWithoutDelay{ 0 };

private:
  void Run()
  {
    while (!mStop) {
      try {
        net::HTTPClientSession session(mHost);
        session.setKeepAlive(true);
        session.setTimeout(Poco::Timespan(1, 0));
        while (!mStop) {
          Ask(session);
          std::this_thread::sleep_for(mPause);
        }
      } catch (const Poco::Exception&) {
        std::this_thread::sleep_for(kReconnectPause);
      }
    }
  }

  void Ask(net::HTTPClientSession& aSession)
  {
    net::HTTPRequest request("GET", "/x", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Request-Id", mAccount + std::to_string(++mLast));
    request.set("Authorization", "Token key-" + mAccount);
    aSession.sendRequest(request);
    net::HTTPResponse response;
    std::ostringstream text;
    Poco::StreamCopier::copyStream(aSession.receiveResponse(response), text);
    const int status = response.getStatus();
    mServed += status == 200;
    mLimited += status == 429;
    mLimitedWithoutDelay += status == 429 && !response.has("Retry-After");
  }

  net::SocketAddress mHost;
  std::string mAccount;
  milliseconds mPause;
  int mLast = 0;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace

/// \brief Limits of accounts over real sockets: four hosts, one account far
/// beyond its limit through all of them at once, another far below.
class GatewayLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayLimitsTest);
  CPPUNIT_TEST(BoundHoldsOverHostsWhileOneIsKilledAndBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void BoundHoldsOverHostsWhileOneIsKilledAndBack()
  {
    // Each open connection takes a thread.
    Poco::ThreadPool threads(2, kTargetThreads);
    net::HTTPServer target(new fakes::HandlerFactory(
                             [this] { return new CountingHandler(mArrivals); }),
                           threads,
                           net::ServerSocket(0),
                           MakeParams());
    target.start();
    const RunningGateway founder;
    CPPUNIT_ASSERT(
      founder.Announce(kPolicy, "127.0.0.1:" + std::to_string(target.port())));
    std::vector<std::unique_ptr<RunningGateway>> hosts;
    for (const char* ip : { "127.0.0.2", "127.0.0.3", "127.0.0.4" }) {
      hosts.push_back(std::make_unique<RunningGateway>(founder, ip));
    }
    std::vector<net::SocketAddress> addresses = { founder.CallerAddress() };
    for (const auto& host : hosts) {
      addresses.push_back(host->CallerAddress());
    }
    for (const net::SocketAddress& address : addresses) {
      CPPUNIT_ASSERT(Serves(address));
    }
    std::this_thread::sleep_for(kAcquainted);

    std::vector<std::unique_ptr<Caller>> callers;
    for (const net::SocketAddress& address : addresses) {
      callers.push_back(std::make_unique<Caller>(address, "much", kMuchPause));
      callers.push_back(
        std::make_unique<Caller>(address, "little", kLittlePause));
    }
    std::this_thread::sleep_for(milliseconds(3000));
    hosts.back()->Kill();
    std::this_thread::sleep_for(milliseconds(1000));
    hosts.back() = std::make_unique<RunningGateway>(founder, "127.0.0.4");
    const std::size_t before = mArrivals.Count();
    std::this_thread::sleep_for(kWindow);

    const std::size_t after = mArrivals.Count();
    int limited = 0;
    for (const auto& caller : callers) {
      CPPUNIT_ASSERT(caller->mServed > 0);
      CPPUNIT_ASSERT_EQUAL(0, caller->mLimitedWithoutDelay.load());
      if (caller->Account() == "little") {
        CPPUNIT_ASSERT_EQUAL(0, caller->mLimited.load());
      } else {
        limited += caller->mLimited;
      }
    }
    CPPUNIT_ASSERT(limited > 0);
    const std::size_t worst = mArrivals.WorstWindow();
    const std::string counts = std::to_string(worst) + " in a window, " +
                               std::to_string(after - before) +
                               " in the last, " + std::to_string(limited) +
                               " refused";
    if (std::getenv("GERANIUMPOND_FIGURES") != nullptr) {
      std::fprintf(stderr, "\n%s", counts.c_str());
    }
    CPPUNIT_ASSERT_MESSAGE(counts, worst <= kBound);
    CPPUNIT_ASSERT_MESSAGE(counts, after - before >= kPerSecond * 5 * 9 / 10);
    callers.clear();
    hosts.clear();
    target.stopAll(true);
  }

private:
  static net::HTTPServerParams* MakeParams()
  {
    auto* params = new net::HTTPServerParams;
    params->setMaxThreads(kTargetThreads);
    return params;
  }

  // Asks until the host has a policy and a target.
  static bool Serves(const net::SocketAddress& aHost)
  {
    const Caller caller(aHost, "little", kLittlePause);
    const auto end = steady_clock::now() + kReadyTime;
    while (steady_clock::now() < end && caller.mServed == 0) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    return caller.mServed > 0;
  }

  Arrivals mArrivals;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLimitsTest);

} // namespace geraniumpond::frontend
