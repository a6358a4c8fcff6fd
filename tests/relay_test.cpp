#include "dispatch/internal.h"
#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;
using fakes::kRouteTimeout;

constexpr Micros kUntilSilent = 150 * kMillisecond;

AttemptEnd Answer(int aStatus)
{
  AttemptEnd end;
  end.mKind = EndKind::Answered;
  end.mStatus = aStatus;
  return end;
}

AttemptEnd NotRun(int aStatus)
{
  AttemptEnd end = Answer(aStatus);
  end.mNotRun = true;
  end.mMisdirected = aStatus == 421;
  return end;
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
  CPPUNIT_TEST(DeadTargetDoesNotSilenceAQuietService);
  CPPUNIT_TEST(LargeAnswerComesThroughAHostWithAFastLink);
  CPPUNIT_TEST(LargeAnswersComeOneAfterTheOther);
  CPPUNIT_TEST(HostWithAFastLinkThatFailsIsReplacedByThisOne);
  CPPUNIT_TEST(HostWithAFastLinkLeavesOneAttempt);
  CPPUNIT_TEST(SmallAndUnsafeRequestsStayHere);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHost = std::make_unique<DispatchHost>(3);
    mHost->mState.mRelayHosts = { "10.0.0.1:80", "10.0.0.2:80" };
  }

  void RequestThatNoTargetAnswersIsPassedOn()
  {
    mHost->Arrive("/unsafe/x");
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
    mHost->Advance(kUntilSilent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT(All<SendRequest>().empty());
  }

  void RelayedRequestIsNotPassedOnAgain()
  {
    mHost->Arrive("/safe/x", 0);
    mHost->Advance(kUntilSilent);
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
    CPPUNIT_ASSERT_EQUAL(421, mHost->OnlyReply().mStatus);
  }

  void HostWithoutAWayLeadsToAnotherHost()
  {
    mHost->Arrive("/unsafe/x");
    mHost->Advance(kUntilSilent);
    const std::string first = All<RelayRequest>().back().mAddress;
    mHost->EndLastRelay(NotRun(421));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<RelayRequest>().size());
    CPPUNIT_ASSERT(All<RelayRequest>().back().mAddress != first);
  }

  void RequestWithoutAnyWayIsRefusedAtOnce()
  {
    mHost->mState.mRelayHosts.clear();
    mHost->Arrive("/safe/x");
    mHost->Advance(400 * kMillisecond);
    mHost->mEffects.clear();
    mHost->Arrive("/safe/y");
    mHost->Advance(30 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->OnlyReply().mRetryAfter > 0);
  }

  void RefusalByTheOtherHostIsARefusal()
  {
    mHost->Arrive("/unsafe/x");
    mHost->Advance(kUntilSilent);
    mHost->EndLastRelay(NotRun(503));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->OnlyReply().mRetryAfter > 0);
  }

  void RequestWhoseHostBrokeOffIsABadGateway()
  {
    mHost->Arrive("/unsafe/x");
    mHost->Advance(kUntilSilent);
    mHost->EndLastRelay(AttemptEnd());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(502, mHost->OnlyReply().mStatus);
  }

  void AnswerThroughAnotherHostIsDelivered()
  {
    mHost->Arrive("/safe/x");
    mHost->Advance(kUntilSilent);
    mHost->EndLastRelay(Answer(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<DeliverAnswer>().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), RunningRequests(mHost->mState));
  }

  void TimeAtTheFirstHostCountsAtTheSecond()
  {
    mHost->Arrive("/safe/x", 300 * kMillisecond);
    const Request& request = mHost->mState.mRequests.begin()->second;
    CPPUNIT_ASSERT_EQUAL(mHost->mNow - 300 * kMillisecond + kRouteTimeout,
                         request.mDeadline);
    CPPUNIT_ASSERT_EQUAL(mHost->mNow, request.mObjectiveAt);
  }

  void DisconnectedClientCancelsTheAttemptAtTheOtherHost()
  {
    mHost->Arrive("/safe/x");
    mHost->Advance(kUntilSilent);
    HandleClientDisconnect(
      mHost->mState, mHost->mNow, mHost->mLastId, mHost->mEffects);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<CancelAttempt>().size());
  }

  void OwnDelayIsNotTakenForSilence()
  {
    mHost->Arrive("/safe/x");
    mHost->mNow += kUntilSilent;
    IgnoreOwnDelay(mHost->mState, mHost->mNow);
    Tick(mHost->mState, mHost->mNow, mHost->mEffects);
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
  }

  void DeadTargetDoesNotSilenceAQuietService()
  {
    DispatchHost host(8);
    host.Advance(2100 * kMillisecond);
    host.AnswerProbes();
    Probe(host.mState, host.mNow, host.mState.mTargets.at("t1"), host.mEffects);
    host.Advance(600 * kMillisecond);
    host.mEffects.clear();
    host.Arrive("/safe/x");
    host.AnswerProbes();
    CPPUNIT_ASSERT(host.All<RelayRequest>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.All<SendRequest>().size());
  }

  void LargeAnswerComesThroughAHostWithAFastLink()
  {
    NarrowTheLink();
    mHost->Arrive("/safe/x");
    const auto passedOn = All<RelayRequest>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), passedOn.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kFastHost), passedOn.front().mAddress);
    CPPUNIT_ASSERT_EQUAL(kLinkBytesPerSecond, passedOn.front().mBytesPerSecond);
    CPPUNIT_ASSERT(All<ProbeTarget>().empty());
    mHost->EndLastRelay(Answer(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<DeliverAnswer>().size());
    CPPUNIT_ASSERT_EQUAL(0.0, mHost->mState.mLargeBytes);
  }

  void LargeAnswersComeOneAfterTheOther()
  {
    NarrowTheLink();
    mHost->Arrive("/safe/x");
    mHost->Arrive("/safe/y");
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
    CPPUNIT_ASSERT(All<SendRequest>().empty());
    mHost->EndLastRelay(Answer(200));
    mHost->Advance(50 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<RelayRequest>().size());
  }

  // It refuses, breaks off, is not reached or does not reach the service.
  void HostWithAFastLinkThatFailsIsReplacedByThisOne()
  {
    AttemptEnd notSent;
    notSent.mKind = EndKind::NotSent;
    for (const AttemptEnd& end :
         { NotRun(503), NotRun(421), AttemptEnd(), notSent }) {
      setUp();
      NarrowTheLink();
      mHost->Arrive("/safe/x");
      mHost->EndLastRelay(end);
      mHost->AnswerProbes();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<RelayRequest>().size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<SendRequest>().size());
      CPPUNIT_ASSERT(All<ReplyToClient>().empty());
    }
  }

  void HostWithAFastLinkLeavesOneAttempt()
  {
    Arrival arrival;
    arrival.mId = 1;
    arrival.mHostName = "host";
    arrival.mPath = "/safe/x";
    arrival.mRelayedAfter = 0;
    arrival.mIsForFastLink = true;
    HandleArrival(mHost->mState, mHost->mNow, arrival, mHost->mEffects);
    CPPUNIT_ASSERT_EQUAL(1, mHost->mState.mRequests.at(1).mMaxAttempts);
  }

  void SmallAndUnsafeRequestsStayHere()
  {
    NarrowTheLink();
    mHost->Arrive("/unsafe/x");
    mHost->mState.mStatistics["safe"].mAnswerBytes = 1000;
    mHost->Arrive("/safe/x");
    mHost->AnswerProbes();
    CPPUNIT_ASSERT(All<RelayRequest>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), All<SendRequest>().size());
  }

private:
  // A link on which the usual answer takes a third of a second, and another
  // host with a fast one.
  void NarrowTheLink()
  {
    mHost->mState.mBounds.mLinkBytesPerSecond = kLinkBytesPerSecond;
    mHost->mState.mFastHosts = { kFastHost };
    for (const char* route : { "safe", "unsafe" }) {
      RouteStatistics& statistics = mHost->mState.mStatistics[route];
      statistics.mWork = 100 * kMillisecond;
      statistics.mAnswerBytes = 90000;
    }
  }

  static constexpr const char* kFastHost = "10.0.0.7:80";
  static constexpr double kLinkBytesPerSecond = 262500;

  template<class Kind>
  [[nodiscard]] std::vector<Kind> All() const
  {
    return mHost->All<Kind>();
  }

  std::unique_ptr<DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace geraniumpond::dispatch
