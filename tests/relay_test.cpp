#include <geraniumpond/dispatch.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::dispatch {

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr Micros kTimeout = 1 * kSecond;
constexpr Micros kUntilSilent = 150 * kMillisecond;

policy::Route MakeRoute(const std::string& aPrefix, policy::RouteKind aKind)
{
  policy::Route route;
  route.mName = aPrefix;
  route.mHostName = "host";
  route.mPathPrefix = aPrefix;
  route.mKind = aKind;
  route.mTimeout = kTimeout;
  route.mObjective = 300 * kMillisecond;
  route.mAttempts = 2;
  route.mBackends = { { "service", 1 } };
  return route;
}

std::shared_ptr<const policy::TrafficPolicy> MakePolicy()
{
  auto made = std::make_shared<policy::TrafficPolicy>();
  made->mVersion = 1;
  made->mRoutes = { MakeRoute("/safe/", policy::RouteKind::Safe),
                    MakeRoute("/unsafe/", policy::RouteKind::Unsafe) };
  made->mServices["service"] = { "service", "/health", 100 };
  policy::BuildIndex(*made);
  return made;
}

} // namespace

/// \brief A host whose targets answer nothing, with two other hosts.
class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(RequestThatNoTargetAnswersIsPassedOn);
  CPPUNIT_TEST(RelayedRequestIsNotPassedOnAgain);
  CPPUNIT_TEST(HostWithoutAWayLeadsToAnotherHost);
  CPPUNIT_TEST(RequestWithoutAnyWayIsRefusedAtOnce);
  CPPUNIT_TEST(RefusalByTheOtherHostIsARefusal);
  CPPUNIT_TEST(RequestWhoseHostBrokeOffIsABadGateway);
  CPPUNIT_TEST(AnswerThroughAnotherHostIsDelivered);
  CPPUNIT_TEST(TimeAtTheFirstHostCountsAtTheSecond);
  CPPUNIT_TEST(DisconnectedClientCancelsTheAttemptAtTheOtherHost);
  CPPUNIT_TEST(OwnDelayIsNotTakenForSilence);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mNow = kStart;
    mState = State();
    mState.mHostId = "10.0.0.9:1";
    mState.mDataCentre = "dc";
    mState.mBounds = { 0.2, 60, 10 * kSecond, 100 };
    mState.mRelayHosts = { "10.0.0.1:80", "10.0.0.2:80" };
    SetPolicy(mState, mNow, MakePolicy());
    std::map<std::string, wire::TargetRecord> targets;
    for (const std::string id : { "t1", "t2", "t3" }) {
      wire::TargetRecord& target = targets[id];
      target.set_id(id);
      target.set_service("service");
      target.set_address("10.9.0.1:80");
      target.set_slots(2);
      target.set_sequence(1);
    }
    SetTargets(mState, mNow, targets, mEffects);
    mEffects.clear();
  }

  void RequestThatNoTargetAnswersIsPassedOn()
  {
    Arrive("/unsafe/x");
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
    Advance(kUntilSilent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT(All<SendRequest>().empty());
  }

  void RelayedRequestIsNotPassedOnAgain()
  {
    Arrive("/safe/x", 0);
    Advance(kUntilSilent);
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
    CPPUNIT_ASSERT_EQUAL(421, OnlyReply().mStatus);
  }

  void HostWithoutAWayLeadsToAnotherHost()
  {
    Arrive("/unsafe/x");
    Advance(kUntilSilent);
    const std::string first = All<RelayRequest>().back().mAddress;
    AttemptEnd end = EndOfRelay(EndKind::Answered, 421);
    end.mMisdirected = true;
    end.mNotRun = true;
    HandleAttemptEnd(mState, mNow, end, mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<RelayRequest>().size());
    CPPUNIT_ASSERT(All<RelayRequest>().back().mAddress != first);
  }

  void RequestWithoutAnyWayIsRefusedAtOnce()
  {
    mState.mRelayHosts.clear();
    Arrive("/safe/x");
    Advance(400 * kMillisecond);
    mEffects.clear();
    Arrive("/safe/y");
    CPPUNIT_ASSERT_EQUAL(503, OnlyReply().mStatus);
    CPPUNIT_ASSERT(OnlyReply().mRetryAfter > 0);
  }

  void RefusalByTheOtherHostIsARefusal()
  {
    Arrive("/unsafe/x");
    Advance(kUntilSilent);
    AttemptEnd end = EndOfRelay(EndKind::Answered, 503);
    end.mNotRun = true;
    HandleAttemptEnd(mState, mNow, end, mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(503, OnlyReply().mStatus);
    CPPUNIT_ASSERT(OnlyReply().mRetryAfter > 0);
  }

  void RequestWhoseHostBrokeOffIsABadGateway()
  {
    Arrive("/unsafe/x");
    Advance(kUntilSilent);
    HandleAttemptEnd(mState, mNow, EndOfRelay(EndKind::Broken, 0), mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(502, OnlyReply().mStatus);
  }

  void AnswerThroughAnotherHostIsDelivered()
  {
    Arrive("/safe/x");
    Advance(kUntilSilent);
    HandleAttemptEnd(
      mState, mNow, EndOfRelay(EndKind::Answered, 200), mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<DeliverAnswer>().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), RunningRequests(mState));
  }

  void TimeAtTheFirstHostCountsAtTheSecond()
  {
    Arrive("/safe/x", 300 * kMillisecond);
    const Request& request = mState.mRequests.begin()->second;
    CPPUNIT_ASSERT_EQUAL(mNow - 300 * kMillisecond + kTimeout,
                         request.mDeadline);
    CPPUNIT_ASSERT_EQUAL(mNow, request.mObjectiveAt);
  }

  void DisconnectedClientCancelsTheAttemptAtTheOtherHost()
  {
    Arrive("/safe/x");
    Advance(kUntilSilent);
    HandleClientDisconnect(mState, mNow, mLastId, mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<CancelAttempt>().size());
  }

  void OwnDelayIsNotTakenForSilence()
  {
    Arrive("/safe/x");
    mNow += kUntilSilent;
    IgnoreOwnDelay(mState, mNow);
    Tick(mState, mNow, mEffects);
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
  }

private:
  void Arrive(const std::string& aPath,
              std::optional<Micros> aRelayedAfter = std::nullopt)
  {
    Arrival arrival;
    arrival.mId = ++mLastId;
    arrival.mHostName = "host";
    arrival.mPath = aPath;
    arrival.mPatience = 5 * kSecond;
    arrival.mRelayedAfter = aRelayedAfter;
    HandleArrival(mState, mNow, arrival, mEffects);
  }

  void Advance(Micros aTime)
  {
    const Micros end = mNow + aTime;
    while (mNow < end) {
      mNow += kMillisecond;
      Tick(mState, mNow, mEffects);
    }
  }

  template<class Kind>
  [[nodiscard]] std::vector<Kind> All() const
  {
    std::vector<Kind> found;
    for (const Effect& effect : mEffects) {
      if (const auto* one = std::get_if<Kind>(&effect)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  [[nodiscard]] ReplyToClient OnlyReply() const
  {
    const auto replies = All<ReplyToClient>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), replies.size());
    return replies.front();
  }

  [[nodiscard]] AttemptEnd EndOfRelay(EndKind aKind, int aStatus) const
  {
    const RelayRequest sent = All<RelayRequest>().back();
    AttemptEnd end;
    end.mRequest = sent.mRequest;
    end.mAttempt = sent.mAttempt;
    end.mKind = aKind;
    end.mStatus = aStatus;
    return end;
  }

  Micros mNow = kStart;
  State mState;
  Effects mEffects;
  std::uint64_t mLastId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace geraniumpond::dispatch
