#include "fakes/gateway_world.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Timestamp.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

namespace net = Poco::Net;
using fakes::GatewayLoad;
using fakes::GatewayWorld;

constexpr const char* kPolicy = "[policy]\nversion = 1\nbase = 0\n"
                                "[service s]\nhealth_path = /health\n"
                                "[route r]\nhost = h.example\nprefix = /\n"
                                "kind = safe\ntimeout = 2s\n"
                                "objective = 1s\nattempts = 1\n"
                                "backends = s:1\n";

} // namespace

/// \brief Targets that leave by a call that does not state their birth.
class WithdrawalTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WithdrawalTest);
  CPPUNIT_TEST(TargetThatLeavesIsRemoved);
  CPPUNIT_TEST(TargetThatLeavesOverItsFirstConnectionIsRemoved);
  CPPUNIT_TEST(DelayedCallOfAnEarlierIncarnationKeepsTheLaterOne);
  CPPUNIT_TEST(HostThatKnowsAnEarlierIncarnationRemovesTheLaterOne);
  CPPUNIT_TEST(HostThatKnowsAnEarlierIncarnationKeepsOneBornAfterTheCall);
  CPPUNIT_TEST(ForgedCallForAnUnknownIdBlocksNoAnnouncement);
  CPPUNIT_TEST(LogLineNamesTargetAndBound);
  CPPUNIT_TEST(CallsOverOldAndNewConnectionsBindTheirSenders);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mWorld.Settle(); }

  void TargetThatLeavesIsRemoved()
  {
    Announce(mBirth);
    Withdraw(mWorld.At(kFollower), mBirth + 60 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), RegisteredBirth());
  }

  // The clock of the host is somewhat behind the target's.
  void TargetThatLeavesOverItsFirstConnectionIsRemoved()
  {
    Announce(mBirth);
    Withdraw(mWorld.At(kFollower), mBirth - 200 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), RegisteredBirth());
  }

  void DelayedCallOfAnEarlierIncarnationKeepsTheLaterOne()
  {
    Announce(mBirth);
    Announce(mLaterBirth);
    Withdraw(mWorld.At(kFollower), mLaterBirth - kSecond);
    CPPUNIT_ASSERT_EQUAL(InMs(mLaterBirth), RegisteredBirth());
  }

  void HostThatKnowsAnEarlierIncarnationRemovesTheLaterOne()
  {
    Announce(mBirth);
    const State host = mWorld.At(kFollower);
    Announce(mLaterBirth);
    CPPUNIT_ASSERT_EQUAL(InMs(mBirth), BirthKnownTo(host));
    Withdraw(host, mLaterBirth + kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), RegisteredBirth());
  }

  void HostThatKnowsAnEarlierIncarnationKeepsOneBornAfterTheCall()
  {
    Announce(mBirth);
    const State host = mWorld.At(kFollower);
    Announce(mLaterBirth);
    Withdraw(host, mLaterBirth - kSecond);
    CPPUNIT_ASSERT_EQUAL(InMs(mLaterBirth), RegisteredBirth());
  }

  void ForgedCallForAnUnknownIdBlocksNoAnnouncement()
  {
    Withdraw(mWorld.At(kFollower), mLaterBirth);
    Announce(mBirth);
    CPPUNIT_ASSERT_EQUAL(InMs(mBirth), RegisteredBirth());
  }

  void LogLineNamesTargetAndBound()
  {
    State host = mWorld.At(kFollower);
    Event event;
    event.mNow = mWorld.Now();
    event.mBody = MakeCall(mBirth);
    (void)Step(host, event);
    event.mNow += 2 * kSecond;
    event.mBody = TimePassed{};
    const std::string line = WithdrawalLine(Step(host, event));
    CPPUNIT_ASSERT(line.find(" outcome=unavailable ") != std::string::npos);
    CPPUNIT_ASSERT(line.find(" target=x born_until_ms=") != std::string::npos);
  }

  void CallsOverOldAndNewConnectionsBindTheirSenders()
  {
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, "127.0.0.1:9"));
    net::HTTPClientSession first(host.CallAddress());
    net::HTTPClientSession second(host.CallAddress());
    first.setKeepAlive(true);
    second.setKeepAlive(true);
    CPPUNIT_ASSERT_EQUAL(200, AnnounceOver(first));
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(200, AnnounceOver(second));
    CPPUNIT_ASSERT_EQUAL(200, Call(first, "DELETE", ""));
    CPPUNIT_ASSERT_EQUAL(2, TargetsOf(host));
    CPPUNIT_ASSERT_EQUAL(200, Call(second, "DELETE", ""));
    CPPUNIT_ASSERT_EQUAL(1, TargetsOf(host));
    CPPUNIT_ASSERT_EQUAL(200, Call(second, "DELETE", ""));
  }

private:
  static constexpr std::size_t kFollower = 9;

  static std::uint64_t InMs(Micros aTime)
  {
    return static_cast<std::uint64_t>(aTime / kMillisecond);
  }

  static gateway::Withdraw MakeCall(Micros aOpenedAt)
  {
    gateway::Withdraw call{ 1, {}, aOpenedAt };
    call.mRemoval.set_id("x");
    return call;
  }

  static std::string WithdrawalLine(const Effects& aEffects)
  {
    for (const Effect& effect : aEffects) {
      const auto* line = std::get_if<dispatch::LogLine>(&effect);
      if (line != nullptr &&
          line->mText.find("event=target_withdraw") != std::string::npos) {
        return line->mText;
      }
    }
    return "";
  }

  // The host's command goes to the group; the host itself learns nothing.
  template<class Body>
  void Submit(State aHost, Body aBody)
  {
    Event event;
    event.mNow = mWorld.Now();
    event.mBody = std::move(aBody);
    for (const Effect& effect : Step(aHost, event)) {
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send != nullptr && send->mMessage.has_submit()) {
        mWorld.Deliver(mWorld.LeaderHost(), send->mMessage);
      }
    }
    mWorld.Advance(kSecond);
  }

  void Announce(Micros aBirth)
  {
    gateway::Announce call;
    call.mOperation = 1;
    call.mRecord.set_id("x");
    call.mRecord.set_service("s");
    call.mRecord.set_address("10.99.0.1:80");
    call.mRecord.set_slots(1);
    call.mRecord.set_sequence(1);
    call.mRecord.set_born_ms(InMs(aBirth));
    Submit(mWorld.At(kFollower), call);
    CPPUNIT_ASSERT_EQUAL(InMs(aBirth), RegisteredBirth());
  }

  void Withdraw(const State& aHost, Micros aOpenedAt)
  {
    Submit(aHost, MakeCall(aOpenedAt));
  }

  static std::uint64_t BirthKnownTo(const State& aHost)
  {
    const auto& targets = aHost.mFleet.mCatalog.mTargets;
    const auto found = targets.find("x");
    return found == targets.end() ? 0 : found->second.born_ms();
  }

  [[nodiscard]] std::uint64_t RegisteredBirth() const
  {
    return BirthKnownTo(mWorld.At(mWorld.LeaderHost()));
  }

  static int Call(net::HTTPClientSession& aSession,
                  const std::string& aMethod,
                  const std::string& aBody)
  {
    net::HTTPRequest request(aMethod, "/targets/x", "HTTP/1.1");
    request.setKeepAlive(true);
    request.setContentLength(static_cast<std::streamsize>(aBody.size()));
    aSession.sendRequest(request) << aBody;
    net::HTTPResponse response;
    std::ostringstream text;
    Poco::StreamCopier::copyStream(aSession.receiveResponse(response), text);
    return response.getStatus();
  }

  static int AnnounceOver(net::HTTPClientSession& aSession)
  {
    const std::string birth =
      std::to_string(Poco::Timestamp().epochMicroseconds() / kMillisecond);
    return Call(aSession,
                "PUT",
                R"({"service":"s","address":"127.0.0.1:9","sequence":1,)"
                R"("born_ms":)" +
                  birth + "}");
  }

  static int TargetsOf(const fakes::RunningGateway& aHost)
  {
    net::HTTPClientSession session(aHost.CallAddress());
    net::HTTPRequest request("GET", "/metrics", "HTTP/1.1");
    session.sendRequest(request);
    net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    const std::string name = "\ngeraniumpond_targets ";
    const std::size_t at = text.find(name);
    CPPUNIT_ASSERT(at != std::string::npos);
    return std::stoi(text.substr(at + name.size()));
  }

  GatewayWorld mWorld{ GatewayLoad(), 3 };
  Micros mBirth = mWorld.Now() - 60 * kSecond;
  Micros mLaterBirth = mWorld.Now() - 10 * kSecond;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithdrawalTest);

} // namespace geraniumpond::gateway
