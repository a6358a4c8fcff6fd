#include <geraniumpond/quarantine.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::quarantine {

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr std::uint64_t kRequest = 17;
const std::set<std::string> kReleases = { "v1" };

Crash CrashAt(const std::string& aTarget, Micros aAt = kStart)
{
  return { aTarget, "v1", aAt };
}

void AddCrashes(State& aState, std::uint64_t aIdentity, int aCrashes)
{
  for (int i = 0; i < aCrashes; ++i) {
    RecordCrash(aState, aIdentity, CrashAt("t" + std::to_string(i)));
  }
}

Verdict VerdictAt(const State& aState, Micros aNow = kStart)
{
  return Evaluate(aState, kRequest, aNow, kReleases);
}

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(RequestIsSuspectedAfterOneCrashAndQuarantinedAfterThree);
  CPPUNIT_TEST(SameTargetCountsOnce);
  CPPUNIT_TEST(AnsweredRequestIsCleared);
  CPPUNIT_TEST(OnlyCrashesAfterAReleaseCount);
  CPPUNIT_TEST(CrashesSoonAfterAnAnswerDoNotCount);
  CPPUNIT_TEST(RequestThatBecomesHarmfulIsQuarantined);
  CPPUNIT_TEST(RequestIsTriedAgainOnANewRelease);
  CPPUNIT_TEST(RecordExpiresWithoutFurtherRequests);
  CPPUNIT_TEST(RequestThatIsStillSentStaysQuarantined);
  CPPUNIT_TEST(ManySuspectsDoNotEvictAQuarantinedRequest);
  CPPUNIT_TEST(RecentAnswersAreKeptForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestIsSuspectedAfterOneCrashAndQuarantinedAfterThree()
  {
    State state;
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Clear);
    AddCrashes(state, kRequest, 1);
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Suspected);
    AddCrashes(state, kRequest, 2);
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Suspected);
    AddCrashes(state, kRequest, 3);
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Quarantined);
  }

  void SameTargetCountsOnce()
  {
    State state;
    for (int i = 0; i < 5; ++i) {
      RecordCrash(state, kRequest, CrashAt("t"));
    }
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Suspected);
  }

  void AnsweredRequestIsCleared()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    RecordAnswer(state, kRequest, kStart + kSecond);
    CPPUNIT_ASSERT(VerdictAt(state, kStart + kSecond) == Verdict::Clear);
  }

  void OnlyCrashesAfterAReleaseCount()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    RecordRelease(state, kRequest, kStart + kSecond);
    const Micros later = kStart + 2 * kSecond;
    CPPUNIT_ASSERT(VerdictAt(state, later) == Verdict::Clear);
    RecordCrash(state, kRequest, CrashAt("t9", later));
    CPPUNIT_ASSERT(VerdictAt(state, later) == Verdict::Suspected);
  }

  void CrashesSoonAfterAnAnswerDoNotCount()
  {
    State state;
    RecordAnswer(state, kRequest, kStart - kSecond);
    AddCrashes(state, kRequest, 5);
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Clear);
  }

  void RequestThatBecomesHarmfulIsQuarantined()
  {
    State state;
    RecordAnswer(state, kRequest, kStart - 11 * kSecond);
    AddCrashes(state, kRequest, 3);
    CPPUNIT_ASSERT(VerdictAt(state) == Verdict::Quarantined);
  }

  void RequestIsTriedAgainOnANewRelease()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v1", "v2" }) ==
                   Verdict::Quarantined);
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v2" }) ==
                   Verdict::OnTrial);
    // A single crash of the new release suffices.
    RecordCrash(state, kRequest, { "t9", "v2", kStart });
    CPPUNIT_ASSERT(Evaluate(state, kRequest, kStart, { "v2" }) ==
                   Verdict::Quarantined);
  }

  void RecordExpiresWithoutFurtherRequests()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    CPPUNIT_ASSERT(VerdictAt(state, kStart + 600 * kSecond) ==
                   Verdict::Quarantined);
    CPPUNIT_ASSERT(VerdictAt(state, kStart + 601 * kSecond) == Verdict::Clear);
    Expire(state, kStart + 601 * kSecond);
    CPPUNIT_ASSERT(state.mRecords.empty());
  }

  void RequestThatIsStillSentStaysQuarantined()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    CPPUNIT_ASSERT(
      RenewEvidence(state, kRequest, kStart + 30 * kSecond).empty());
    for (Micros now = kStart; now < kStart + 3600 * kSecond;
         now += 100 * kSecond) {
      CPPUNIT_ASSERT(VerdictAt(state, now) == Verdict::Quarantined);
      (void)RenewEvidence(state, kRequest, now);
    }
    // Evidence that an operator released is not renewed.
    RecordRelease(state, kRequest, kStart + 3600 * kSecond);
    const Micros later = kStart + 3700 * kSecond;
    CPPUNIT_ASSERT(RenewEvidence(state, kRequest, later).empty());
    CPPUNIT_ASSERT(VerdictAt(state, later) == Verdict::Clear);
  }

  void ManySuspectsDoNotEvictAQuarantinedRequest()
  {
    State state;
    AddCrashes(state, kRequest, 3);
    for (std::uint64_t other = 100; other < 5100; ++other) {
      RecordCrash(state, other, CrashAt("t", kStart + kSecond));
    }
    CPPUNIT_ASSERT(VerdictAt(state, kStart + kSecond) == Verdict::Quarantined);
    CPPUNIT_ASSERT(state.mRecords.size() <= 1024);
    CPPUNIT_ASSERT(state.mDropped > 0);
  }

  void RecentAnswersAreKeptForAWhile()
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
