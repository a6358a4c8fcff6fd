#include <geraniumpond/quarantine.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::quarantine {

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr std::uint64_t kRequest = 17;
const std::set<std::string> kReleases = { "v1" };

Crash At(const std::string& aTarget, Micros aAt = kStart)
{
  return { aTarget, "v1", aAt };
}

void Meet(State& aState, std::uint64_t aIdentity, int aCrashes)
{
  for (int i = 0; i < aCrashes; ++i) {
    RecordCrash(aState, aIdentity, At("t" + std::to_string(i)));
  }
}

Verdict JudgeAt(const State& aState, Micros aNow = kStart)
{
  return Evaluate(aState, kRequest, aNow, kReleases);
}

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(RequestIsSuspectedFromTheFirstAndRefusedFromTheThirdTarget);
  CPPUNIT_TEST(SameTargetCountsOnce);
  CPPUNIT_TEST(AnsweredRequestIsCleared);
  CPPUNIT_TEST(ReleasedRequestIsJudgedByWhatComesAfter);
  CPPUNIT_TEST(CrashesBesideARecentAnswerDoNotCount);
  CPPUNIT_TEST(RequestThatTurnsHarmfulIsFoundAfterItsLastAnswer);
  CPPUNIT_TEST(RequestIsTriedAgainOnceItsReleaseIsGone);
  CPPUNIT_TEST(RequestIsForgottenAfterATimeWithoutTries);
  CPPUNIT_TEST(RequestThatIsStillAskedForStaysRefused);
  CPPUNIT_TEST(ManyBystandersDoNotPushOutAQuarantinedRequest);
  CPPUNIT_TEST(AnswersAreRememberedForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestIsSuspectedFromTheFirstAndRefusedFromTheThirdTarget()
  {
    State state;
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Clear);
    Meet(state, kRequest, 1);
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Suspected);
    Meet(state, kRequest, 2);
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Suspected);
    Meet(state, kRequest, 3);
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Quarantined);
  }

  void SameTargetCountsOnce()
  {
    State state;
    for (int i = 0; i < 5; ++i) {
      RecordCrash(state, kRequest, At("t"));
    }
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Suspected);
  }

  void AnsweredRequestIsCleared()
  {
    State state;
    Meet(state, kRequest, 3);
    RecordAnswer(state, kRequest, kStart + kSecond);
    CPPUNIT_ASSERT(JudgeAt(state, kStart + kSecond) == Verdict::Clear);
  }

  void ReleasedRequestIsJudgedByWhatComesAfter()
  {
    State state;
    Meet(state, kRequest, 3);
    RecordRelease(state, kRequest, kStart + kSecond);
    const Micros later = kStart + 2 * kSecond;
    CPPUNIT_ASSERT(JudgeAt(state, later) == Verdict::Clear);
    RecordCrash(state, kRequest, At("t9", later));
    CPPUNIT_ASSERT(JudgeAt(state, later) == Verdict::Suspected);
  }

  void CrashesBesideARecentAnswerDoNotCount()
  {
    State state;
    RecordAnswer(state, kRequest, kStart - kSecond);
    Meet(state, kRequest, 5);
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Clear);
  }

  void RequestThatTurnsHarmfulIsFoundAfterItsLastAnswer()
  {
    State state;
    RecordAnswer(state, kRequest, kStart - 11 * kSecond);
    Meet(state, kRequest, 3);
    CPPUNIT_ASSERT(JudgeAt(state) == Verdict::Quarantined);
  }

  void RequestIsTriedAgainOnceItsReleaseIsGone()
  {
    State state;
    Meet(state, kRequest, 3);
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v1", "v2" }) ==
                   Verdict::Quarantined);
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v2" }) ==
                   Verdict::OnTrial);
    // A single crash of the new release suffices.
    RecordCrash(state, kRequest, { "t9", "v2", kStart });
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v2" }) ==
                   Verdict::Quarantined);
  }

  void RequestIsForgottenAfterATimeWithoutTries()
  {
    State state;
    Meet(state, kRequest, 3);
    CPPUNIT_ASSERT(JudgeAt(state, kStart + 600 * kSecond) ==
                   Verdict::Quarantined);
    CPPUNIT_ASSERT(JudgeAt(state, kStart + 601 * kSecond) == Verdict::Clear);
    Expire(state, kStart + 601 * kSecond);
    CPPUNIT_ASSERT(state.mRecords.empty());
  }

  void RequestThatIsStillAskedForStaysRefused()
  {
    State state;
    Meet(state, kRequest, 3);
    CPPUNIT_ASSERT(
      RenewEvidence(state, kRequest, kStart + 30 * kSecond).empty());
    for (Micros now = kStart; now < kStart + 3600 * kSecond;
         now += 100 * kSecond) {
      CPPUNIT_ASSERT(JudgeAt(state, now) == Verdict::Quarantined);
      (void)RenewEvidence(state, kRequest, now);
    }
    // Evidence that an operator released is not renewed.
    RecordRelease(state, kRequest, kStart + 3600 * kSecond);
    const Micros later = kStart + 3700 * kSecond;
    CPPUNIT_ASSERT(RenewEvidence(state, kRequest, later).empty());
    CPPUNIT_ASSERT(JudgeAt(state, later) == Verdict::Clear);
  }

  void ManyBystandersDoNotPushOutAQuarantinedRequest()
  {
    State state;
    Meet(state, kRequest, 3);
    for (std::uint64_t other = 100; other < 5100; ++other) {
      RecordCrash(state, other, At("t", kStart + kSecond));
    }
    CPPUNIT_ASSERT(JudgeAt(state, kStart + kSecond) == Verdict::Quarantined);
    CPPUNIT_ASSERT(state.mRecords.size() <= 1024);
    CPPUNIT_ASSERT(state.mDropped > 0);
  }

  void AnswersAreRememberedForAWhile()
  {
    State state;
    TrackRecentAnswer(state, kRequest, kStart);
    CPPUNIT_ASSERT_EQUAL(kStart, LastAnswer(state, kRequest));
    TrackRecentAnswer(state, 1, kStart + 11 * kSecond);
    CPPUNIT_ASSERT_EQUAL(kStart, LastAnswer(state, kRequest));
    TrackRecentAnswer(state, 1, kStart + 22 * kSecond);
    CPPUNIT_ASSERT_EQUAL(Micros(0), LastAnswer(state, kRequest));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace geraniumpond::quarantine
