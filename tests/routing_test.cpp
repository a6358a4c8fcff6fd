#include <geraniumpond/routing.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::routing {

namespace {

Target NewTarget(int aNumber, int aSlots)
{
  Target target;
  target.mId = "t" + std::to_string(aNumber);
  target.mSlots = aSlots;
  return target;
}

TargetSet NewSet(int aTargets, int aSlots)
{
  TargetSet set;
  set.mRules.mSlowStart = 0;
  for (int i = 0; i < aTargets; ++i) {
    set.mTargets.push_back(NewTarget(i, aSlots));
  }
  return set;
}

// Reference implementation: the targets with room, sorted by score.
std::vector<std::string> ReferenceBest(const TargetSet& aSet,
                                       Micros aNow,
                                       const AttemptSpec& aSpec,
                                       const std::vector<std::string>& aExclude)
{
  std::vector<std::pair<double, std::string>> all;
  for (const Target& target : aSet.mTargets) {
    const bool excluded =
      std::count(aExclude.begin(), aExclude.end(), target.mId) != 0;
    if (!excluded && HasRoom(aSet, target, aSpec, aNow)) {
      all.emplace_back(Score(aSet, target, aSpec, aNow), target.mId);
    }
  }
  std::sort(all.begin(), all.end());
  std::vector<std::string> best;
  for (const auto& [score, id] : all) {
    if (score <= all.front().first * (1 + 1e-6)) {
      best.push_back(id);
    }
  }
  return best;
}

} // namespace

class RoutingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(PickMatchesTheReferenceOverRandomHistories);
  CPPUNIT_TEST(HasRoomDependsOnTheStateOfTheTarget);
  CPPUNIT_TEST(TiesAreBrokenAtRandom);
  CPPUNIT_TEST(StragglerIsAvoidedBeforeItAnswers);
  CPPUNIT_TEST(TargetThatFailsFastAttractsNoLoad);
  CPPUNIT_TEST(EjectedShareIsBounded);
  CPPUNIT_TEST(ProbationAllowsOneAttemptAndEndsWithASuccess);
  CPPUNIT_TEST(OldReportDecaysToTheAverage);
  CPPUNIT_TEST(SlowStartLimitsANewTarget);
  CPPUNIT_TEST(PreferredLocalTargetsComeFirstUntilTheyAreBusy);
  CPPUNIT_TEST_SUITE_END();

public:
  void PickMatchesTheReferenceOverRandomHistories()
  {
    std::mt19937_64 random(11);
    for (int round = 0; round < 50; ++round) {
      TargetSet set = NewSet(2 + static_cast<int>(random() % 8), 2);
      std::vector<std::pair<std::string, std::uint64_t>> running;
      Micros now = kSecond;
      for (std::uint64_t step = 1; step < 200; ++step) {
        now += static_cast<Micros>(random() % (5 * kMillisecond));
        const AttemptSpec spec{ random() % 2, random() % 5 == 0 };
        std::vector<std::string> exclude;
        if (random() % 4 == 0) {
          exclude.push_back("t0");
        }
        const auto best = ReferenceBest(set, now, spec, exclude);
        const auto picked = Pick(set, now, random(), spec, exclude);
        CPPUNIT_ASSERT_EQUAL(best.empty(), !picked.has_value());
        if (picked) {
          const std::string id = set.mTargets[*picked].mId;
          CPPUNIT_ASSERT(std::count(best.begin(), best.end(), id) == 1);
          Begin(set, *picked, step, spec, now);
          running.emplace_back(id, step);
        }
        if (!running.empty() && random() % 2 == 0) {
          const std::size_t at = random() % running.size();
          Finish(set,
                 running[at].first,
                 running[at].second,
                 static_cast<Verdict>(random() % 4),
                 now);
          running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
          Report(set, "t1", static_cast<std::uint32_t>(random() % 5), now);
        }
      }
    }
  }

  void HasRoomDependsOnTheStateOfTheTarget()
  {
    struct Case
    {
      int mRunning;
      int mBulkRunning;
      bool mDraining;
      Micros mEjectedUntil;
      bool mUrgent;
      bool mBulk;
    };
    const Case cases[] = {
      { 0, 0, false, 0, true, true },   { 2, 0, false, 0, true, true },
      { 3, 0, false, 0, true, true },   { 4, 0, false, 0, true, false },
      { 5, 0, false, 0, false, false }, { 0, 3, false, 0, true, false },
      { 0, 0, true, 0, false, false },  { 0, 0, false, 200, false, false },
      { 0, 0, false, 50, true, true },  { 1, 0, false, 50, false, false },
    };
    for (const Case& entry : cases) {
      TargetSet set = NewSet(1, 4);
      Target& target = set.mTargets[0];
      target.mDraining = entry.mDraining;
      target.mEjectedUntil = entry.mEjectedUntil;
      for (int i = 0; i < entry.mRunning + entry.mBulkRunning; ++i) {
        target.mRunning.push_back({ 1, 0, 0, i >= entry.mRunning });
      }
      CPPUNIT_ASSERT_EQUAL(entry.mUrgent,
                           HasRoom(set, target, { 0, false }, 100));
      CPPUNIT_ASSERT_EQUAL(entry.mBulk, HasRoom(set, target, { 0, true }, 100));
    }
  }

  void TiesAreBrokenAtRandom()
  {
    const TargetSet set = NewSet(4, 2);
    std::mt19937_64 random(3);
    std::vector<int> counts(4);
    for (int i = 0; i < 4000; ++i) {
      ++counts[*Pick(set, 1, random(), {}, {})];
    }
    for (const int count : counts) {
      CPPUNIT_ASSERT(count > 800 && count < 1200);
    }
  }

  void StragglerIsAvoidedBeforeItAnswers()
  {
    TargetSet set = NewSet(4, 4);
    RecordAnswers(set);
    Begin(set, 0, 1000, {}, kSecond);
    // Ten typical latencies have passed without an answer.
    const Micros later = kSecond + 100 * kMillisecond;
    for (std::uint64_t i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(*Pick(set, later, i, {}, {}) != 0);
    }
  }

  void TargetThatFailsFastAttractsNoLoad()
  {
    TargetSet set = NewSet(4, 4);
    RecordAnswers(set);
    int harmed = 0;
    Micros now = kSecond;
    for (std::uint64_t i = 0; i < 500; ++i) {
      now += kMillisecond;
      const std::size_t target = *Pick(set, now, i, {}, {});
      Begin(set, target, 5000 + i, {}, now);
      harmed += target == 0 ? 1 : 0;
      Finish(set,
             set.mTargets[target].mId,
             5000 + i,
             target == 0 ? Verdict::Failed : Verdict::Good,
             now + (target == 0 ? 300 : 10 * kMillisecond));
    }
    CPPUNIT_ASSERT(harmed < 5);
  }

  void EjectedShareIsBounded()
  {
    TargetSet set = NewSet(10, 4);
    for (std::uint64_t i = 0; i < 200; ++i) {
      const std::size_t target = i % set.mTargets.size();
      Begin(set, target, i, {}, kSecond);
      Finish(set, set.mTargets[target].mId, i, Verdict::Failed, kSecond + 1);
    }
    CPPUNIT_ASSERT(EjectedShare(set, kSecond + 1) <= 0.3 + 1e-9);
    CPPUNIT_ASSERT(EjectedShare(set, kSecond + 1) > 0.2);
  }

  void ProbationAllowsOneAttemptAndEndsWithASuccess()
  {
    TargetSet set = NewSet(1, 4);
    Target& target = set.mTargets[0];
    target.mEjectedUntil = 500;
    target.mEjections = 1;
    CPPUNIT_ASSERT(!Pick(set, 499, 1, {}, {}));
    CPPUNIT_ASSERT(Pick(set, 500, 1, {}, {}).has_value());
    Begin(set, 0, 1, {}, 500);
    CPPUNIT_ASSERT(!Pick(set, 501, 1, {}, {}));
    Finish(set, "t0", 1, Verdict::Failed, 502);
    CPPUNIT_ASSERT(!Pick(set, 503, 1, {}, {}));
    const Micros expired = 502 + 2 * set.mRules.mMaxEjectionTime;
    Begin(set, 0, 2, {}, expired);
    Finish(set, "t0", 2, Verdict::Good, expired + 10);
    CPPUNIT_ASSERT_EQUAL(Micros(0), target.mEjectedUntil);
    CPPUNIT_ASSERT_EQUAL(0, target.mEjections);
  }

  void OldReportDecaysToTheAverage()
  {
    TargetSet set = NewSet(2, 4);
    for (int i = 0; i < 500; ++i) {
      Report(set, "t0", 2, kSecond);
    }
    Report(set, "t0", 8, kSecond);
    const double fresh = Score(set, set.mTargets[0], {}, kSecond);
    const double old = Score(set, set.mTargets[0], {}, 9 * kSecond);
    const double empty = Score(set, set.mTargets[1], {}, 9 * kSecond);
    CPPUNIT_ASSERT(fresh > old);
    CPPUNIT_ASSERT(old > empty);
  }

  void SlowStartLimitsANewTarget()
  {
    TargetSet set = NewSet(2, 8);
    set.mRules.mSlowStart = 10 * kSecond;
    set.mTargets[0].mStartedAt = 100 * kSecond;
    int cold = 0;
    for (std::uint64_t i = 0; i < 8; ++i) {
      const std::size_t target = *Pick(set, 101 * kSecond, i, {}, {});
      Begin(set, target, i, {}, 101 * kSecond);
      cold += target == 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(cold <= 2);
  }

  void PreferredLocalTargetsComeFirstUntilTheyAreBusy()
  {
    TargetSet set = NewSet(3, 2);
    RecordAnswers(set);
    set.mTargets[1].mPreferred = false;
    set.mTargets[2].mDataCentre = "far";
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), *Pick(set, kSecond, 1, {}, {}));
    Begin(set, 0, 900, {}, kSecond);
    Begin(set, 0, 901, {}, kSecond);
    CPPUNIT_ASSERT(*Pick(set, kSecond, 1, {}, {}) != 0);
  }

private:
  // Records a few answers of 10 ms for each target.
  static void RecordAnswers(TargetSet& aSet)
  {
    std::uint64_t attempt = 1;
    for (std::size_t i = 0; i < aSet.mTargets.size(); ++i) {
      for (int k = 0; k < 5; ++k) {
        Begin(aSet, i, attempt, {}, 0);
        Finish(aSet,
               aSet.mTargets[i].mId,
               attempt,
               Verdict::Good,
               10 * kMillisecond);
        ++attempt;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace geraniumpond::routing
