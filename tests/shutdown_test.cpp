#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;
using fakes::kRouteTimeout;

constexpr Micros kLongShutdown = 5 * kSecond;
constexpr Micros kObjective = 300 * kMillisecond;
constexpr Micros kUsualWork = 200 * kMillisecond;
/// Somewhat longer than the timeout of the route.
constexpr Micros kShortShutdown = kRouteTimeout + 200 * kMillisecond;

} // namespace

/// \brief A host with three idle targets that shuts down.
class ShutdownTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(RequestThatTimesOutBeforeTheEndIsServed);
  CPPUNIT_TEST(RequestThatMayOutlastTheEndIsRefusedAsNotRun);
  CPPUNIT_TEST(RequestThatUsuallyEndsInTimeIsServedInTheFirstHalf);
  CPPUNIT_TEST(LateRequestOfARouteWithoutAnAnswerIsServedByWhatIsAssumed);
  CPPUNIT_TEST(LateRequestOfAKnownRouteIsTakenByItsDeadline);
  CPPUNIT_TEST(LateRequestOfARouteAddedSinceIsTakenByItsDeadline);
  CPPUNIT_TEST(RequestOfAnotherHostIsSentBackAsMisdirected);
  CPPUNIT_TEST(WorkMayTakeTwiceAsLongAsItUsuallyDoes);
  CPPUNIT_TEST(WaitingRequestIsRefusedOnceItMayOutlastTheEnd);
  CPPUNIT_TEST(WaitingRequestOfAnotherHostIsSentBack);
  CPPUNIT_TEST(BrokenRequestIsRepeatedIfItEndsInTime);
  CPPUNIT_TEST(RepeatedRequestThatMayHaveRunIsNotRefusedAsNotRun);
  CPPUNIT_TEST(RunningRequestIsLeftAlone);
  CPPUNIT_TEST(LargeAnswerIsServedIfItCanBeSentInTime);
  CPPUNIT_TEST(CutOffRequestsAreLoggedWithTheirStage);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mHost = std::make_unique<DispatchHost>(3); }

  void RequestThatTimesOutBeforeTheEndIsServed()
  {
    Begin(kLongShutdown);
    mHost->Advance(kLongShutdown - kRouteTimeout);
    Serve("/unsafe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
  }

  // Guards against requests that the exit cuts off at their targets.
  void RequestThatMayOutlastTheEndIsRefusedAsNotRun()
  {
    for (const char* path : { "/safe/a", "/unsafe/a" }) {
      setUp();
      Learn("safe", kUsualWork);
      Learn("unsafe", kUsualWork);
      Begin(kLongShutdown);
      mHost->Advance(kLongShutdown - kRouteTimeout + kMillisecond);
      Serve(path);
      const ReplyToClient reply = mHost->OnlyReply();
      CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"), reply.mReason);
      CPPUNIT_ASSERT(reply.mRetryAfter > 0);
      CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), RunningRequests(mHost->mState));
    }
  }

  void RequestThatUsuallyEndsInTimeIsServedInTheFirstHalf()
  {
    Begin(kShortShutdown);
    mHost->Advance(kShortShutdown / 2 - kMillisecond);
    Serve("/safe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    mHost->Advance(2 * kMillisecond);
    Serve("/safe/b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
  }

  void LateRequestOfARouteWithoutAnAnswerIsServedByWhatIsAssumed()
  {
    // Eight times a little over a third of the objective.
    constexpr Micros kLongest = 3 * kObjective;
    Begin(kLongShutdown);
    mHost->Advance(kLongShutdown - kLongest);
    Serve("/unsafe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    mHost->Advance(kObjective);
    Serve("/unsafe/b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
  }

  // Guards against requests that take far longer than others of their route.
  void LateRequestOfAKnownRouteIsTakenByItsDeadline()
  {
    Learn("safe", 10 * kMillisecond);
    Begin(kLongShutdown);
    mHost->Advance(kLongShutdown - kRouteTimeout);
    Serve("/safe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    mHost->Advance(kMillisecond);
    Serve("/safe/b");
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
  }

  // Guards against requests that the exit cuts off at slow or silent targets.
  void LateRequestOfARouteAddedSinceIsTakenByItsDeadline()
  {
    Begin(kLongShutdown);
    mHost->Advance(kLongShutdown - kRouteTimeout);
    AddRoute("added");
    Serve("/added/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    mHost->Advance(kMillisecond);
    Serve("/added/b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
  }

  void RequestOfAnotherHostIsSentBackAsMisdirected()
  {
    Begin(kLongShutdown);
    mHost->Advance(kLongShutdown - kRouteTimeout / 2);
    mHost->Arrive("/safe/a", 10 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(421, mHost->OnlyReply().mStatus);
  }

  // Guards against slow routes that are taken on shortly before the exit.
  void WorkMayTakeTwiceAsLongAsItUsuallyDoes()
  {
    constexpr Micros kWork = 400 * kMillisecond;
    Learn("safe", kWork);
    Begin(kShortShutdown);
    mHost->Advance(kShortShutdown - 2 * kWork - kMillisecond);
    Serve("/safe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    mHost->Advance(2 * kMillisecond);
    Serve("/safe/b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"),
                         mHost->OnlyReply().mReason);
  }

  // All targets are busy, so that it was sent to none.
  void WaitingRequestIsRefusedOnceItMayOutlastTheEnd()
  {
    AssertRefusedWhileItWaits(std::nullopt, 503);
  }

  void WaitingRequestOfAnotherHostIsSentBack()
  {
    AssertRefusedWhileItWaits(kMillisecond, 421);
  }

  void BrokenRequestIsRepeatedIfItEndsInTime()
  {
    Serve("/safe/a");
    const Micros now = mHost->mNow;
    // In the second half, in which new requests are taken by their deadline.
    BeginShutdown(mHost->mState,
                  { now - kLongShutdown, now + 500 * kMillisecond });
    AttemptEnd end;
    end.mKind = EndKind::Broken;
    mHost->EndLastSent(end);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
  }

  void RepeatedRequestThatMayHaveRunIsNotRefusedAsNotRun()
  {
    Serve("/safe/a");
    // Before a second attempt starts beside the first.
    Begin(20 * kMillisecond);
    mHost->Advance(15 * kMillisecond);
    AttemptEnd end;
    end.mKind = EndKind::Broken;
    mHost->EndLastSent(end);
    CPPUNIT_ASSERT_EQUAL(502, mHost->OnlyReply().mStatus);
  }

  void RunningRequestIsLeftAlone()
  {
    Serve("/unsafe/a");
    Begin(kShortShutdown / 2);
    mHost->Advance(kShortShutdown / 2);
    CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
    CPPUNIT_ASSERT(mHost->All<CancelAttempt>().empty());
  }

  void LargeAnswerIsServedIfItCanBeSentInTime()
  {
    mHost->mState.mBounds.mLinkBytesPerSecond = 500000;
    Learn("safe", 100 * kMillisecond);
    mHost->mState.mStatistics["safe"].mAnswerBytes = 400000;
    Begin(kLongShutdown);
    Serve("/safe/a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    // Its deadline is before the end, but not the end of sending.
    mHost->Advance(kLongShutdown - kRouteTimeout * 3 / 2);
    Serve("/safe/b");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"),
                         mHost->All<ReplyToClient>().back().mReason);
  }

  void CutOffRequestsAreLoggedWithTheirStage()
  {
    const Micros stopAt = mHost->mNow;
    mHost->Advance(70 * kMillisecond);
    Serve("/unsafe/a");
    mHost->mEffects.clear();
    LogCutOff(mHost->mState, mHost->mNow, stopAt, mHost->mEffects);
    const auto lines = mHost->All<LogLine>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines.size());
    CPPUNIT_ASSERT(
      lines.front().mText.find("stage=at_target after_stop_ms=70.0") !=
      std::string::npos);
  }

private:
  void Begin(Micros aSpan)
  {
    BeginShutdown(mHost->mState, { mHost->mNow, mHost->mNow + aSpan });
  }

  void AddRoute(const std::string& aName)
  {
    policy::TrafficPolicy policy = *mHost->mState.mPolicy;
    ++policy.mVersion;
    policy::Route route = policy.mRoutes.front();
    route.mName = aName;
    route.mPathPrefix = "/" + aName + "/";
    policy.mRoutes.push_back(route);
    policy::BuildIndex(policy);
    SetPolicy(mHost->mState,
              mHost->mNow,
              std::make_shared<const policy::TrafficPolicy>(std::move(policy)));
  }

  void Learn(const std::string& aRoute, Micros aWork)
  {
    mHost->mState.mStatistics[aRoute].mWork = static_cast<double>(aWork);
    mHost->mState.mStatistics[aRoute].mLearntAt = mHost->mNow;
  }

  void AssertRefusedWhileItWaits(std::optional<Micros> aRelayedAfter,
                                 int aStatus)
  {
    constexpr Micros kWork = 300 * kMillisecond;
    Learn("unsafe", kWork);
    Begin(kShortShutdown);
    mHost->Advance(kShortShutdown - 2 * kWork - 50 * kMillisecond);
    for (auto& [id, target] : mHost->mState.mTargets) {
      target.mReport = Report{ 8, 8, 2, 1 };
      target.mReportAt = mHost->mNow;
    }
    mHost->Arrive("/unsafe/a", aRelayedAfter);
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
    CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
    mHost->Advance(60 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(aStatus, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"),
                         mHost->OnlyReply().mReason);
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
  }

  void Serve(const std::string& aPath)
  {
    mHost->Arrive(aPath);
    mHost->AnswerProbes();
  }

  std::unique_ptr<DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

} // namespace geraniumpond::dispatch
