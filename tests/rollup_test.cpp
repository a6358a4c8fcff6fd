#include <geraniumpond/rollup.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::rollup {

namespace {

const Key kKey = MakeKey(Subject::Account, 0x123456789abcdef0);
const Key kOther = MakeKey(Subject::Account, 0xfedcba9876543210);
constexpr Micros kStart = 100 * kSecond;
constexpr Micros kSilence = 1200 * kMillisecond;

Table Counting(std::uint32_t aCount)
{
  return { { kKey, { aCount } } };
}

Report ReportOf(std::uint32_t aCount, std::uint64_t aSequence, Micros aSentAt)
{
  Report report;
  report.mSum = { Counting(aCount), 1 };
  report.mIncarnation = 7;
  report.mSequence = aSequence;
  report.mSentAt = aSentAt;
  return report;
}

bool IsAnyReporter(const std::string& /*aAddress*/)
{
  return true;
}

std::uint32_t CountIn(const Sum& aSum)
{
  const Counts* counts = Find(aSum, kKey);
  return counts == nullptr ? 0 : counts->front();
}

std::uint32_t SumAt(const State& aState, Micros aNow)
{
  return CountIn(MakeReport(aState, aNow, IsAnyReporter).mSum);
}

Totals TotalsOf(std::uint64_t aTerm, std::uint64_t aSequence)
{
  Totals totals;
  totals.mStamp = { aTerm, aSequence };
  return totals;
}

} // namespace

/// \brief Sums of counts at one host of the tree.
class RollupTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RollupTest);
  CPPUNIT_TEST(OwnCountsAndThoseOfReportersAreAdded);
  CPPUNIT_TEST(LaterReportReplacesAnEarlierOne);
  CPPUNIT_TEST(EarlierReportThatComesLateIsIgnored);
  CPPUNIT_TEST(RestartedReporterIsTaken);
  CPPUNIT_TEST(SilentReporterDropsOut);
  CPPUNIT_TEST(ReporterThatMovedAwayIsNotAdded);
  CPPUNIT_TEST(ReportThatWaitedIsAsOldAsItIs);
  CPPUNIT_TEST(ClocksThatDriftDoNotSilenceAReporter);
  CPPUNIT_TEST(CycleIsRefused);
  CPPUNIT_TEST(SumStaysAtTheHighestNumber);
  CPPUNIT_TEST(OlderTotalsNeverReplaceNewerOnes);
  CPPUNIT_TEST(TotalsOfAPartAreTakenWhileThoseOfAllAreMissing);
  CPPUNIT_TEST(TotalsHoldWhatIsSelectedAndTheSilent);
  CPPUNIT_TEST(NothingIsDueWhereNothingIsCounted);
  CPPUNIT_TEST(ReportsKeepThePace);
  CPPUNIT_TEST(ReportsAreRareWhileNothingIsCounted);
  CPPUNIT_TEST(GrowthGoesAheadOfThePaceButNotAlways);
  CPPUNIT_TEST(UrgentReportIsPassedOnSoon);
  CPPUNIT_TEST_SUITE_END();

public:
  void OwnCountsAndThoseOfReportersAreAdded()
  {
    SetOwn(mState, kStart, Counting(3));
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart));
    TakeReport(mState, kStart, "b", ReportOf(5, 1, kStart));
    const Report report = MakeReport(mState, kStart, IsAnyReporter);
    CPPUNIT_ASSERT_EQUAL(12U, CountIn(report.mSum));
    CPPUNIT_ASSERT_EQUAL(3U, report.mSum.mHosts);
    CPPUNIT_ASSERT_EQUAL(1U, report.mHeight);
  }

  void LaterReportReplacesAnEarlierOne()
  {
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart));
    TakeReport(mState, kStart, "a", ReportOf(9, 2, kStart));
    CPPUNIT_ASSERT_EQUAL(9U, SumAt(mState, kStart));
  }

  void EarlierReportThatComesLateIsIgnored()
  {
    TakeReport(mState, kStart, "a", ReportOf(9, 2, kStart));
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart));
    CPPUNIT_ASSERT_EQUAL(9U, SumAt(mState, kStart));
  }

  void RestartedReporterIsTaken()
  {
    TakeReport(mState, kStart, "a", ReportOf(9, 50, kStart));
    Report report = ReportOf(2, 1, kStart);
    report.mIncarnation = 8;
    TakeReport(mState, kStart, "a", report);
    CPPUNIT_ASSERT_EQUAL(2U, SumAt(mState, kStart));
  }

  void SilentReporterDropsOut()
  {
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart));
    CPPUNIT_ASSERT_EQUAL(4U, SumAt(mState, kStart + kSilence));
    CPPUNIT_ASSERT_EQUAL(0U, SumAt(mState, kStart + kSilence + 1));
    UpdateReporters(mState, kStart + kSilence + 1);
    CPPUNIT_ASSERT(!IsActive(mState));
  }

  void ReporterThatMovedAwayIsNotAdded()
  {
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart));
    TakeReport(mState, kStart, "b", ReportOf(5, 1, kStart));
    const Report report = MakeReport(
      mState, kStart, [](const std::string& aFrom) { return aFrom == "a"; });
    CPPUNIT_ASSERT_EQUAL(4U, CountIn(report.mSum));
  }

  // The sender's clock is 3,600 s ahead; this host is frozen for ten seconds
  // and then reads what waited for it.
  void ReportThatWaitedIsAsOldAsItIs()
  {
    const Micros ahead = 3600 * kSecond;
    TakeReport(mState, kStart, "a", ReportOf(4, 1, kStart + ahead));
    const Micros woken = kStart + 10 * kSecond;
    UpdateReporters(mState, woken);
    TakeReport(
      mState, woken, "a", ReportOf(8, 2, kStart + ahead + 200 * kMillisecond));
    CPPUNIT_ASSERT_EQUAL(0U, SumAt(mState, woken));
    TakeReport(mState, woken, "a", ReportOf(9, 3, woken + ahead));
    CPPUNIT_ASSERT_EQUAL(9U, SumAt(mState, woken));
  }

  // An hour with a sender whose clock loses 50 us in each second.
  void ClocksThatDriftDoNotSilenceAReporter()
  {
    Micros lost = 0;
    for (std::uint64_t i = 1; i <= 3600; ++i) {
      const Micros now = kStart + static_cast<Micros>(i) * kSecond;
      lost += 50;
      TakeReport(mState, now, "a", ReportOf(4, i, now - lost));
      CPPUNIT_ASSERT(now - mState.mParts.at("a").mSentAt < kMillisecond);
    }
  }

  void CycleIsRefused()
  {
    State other;
    SetOwn(mState, kStart, Counting(1));
    SetOwn(other, kStart, Counting(1));
    for (std::uint64_t i = 1; i <= 100; ++i) {
      const auto exchange = [&](State& aFrom, State& aTo) {
        Report report = MakeReport(aFrom, kStart, IsAnyReporter);
        report.mIncarnation = 7;
        report.mSequence = i;
        TakeReport(aTo, kStart, "other", report);
      };
      exchange(mState, other);
      exchange(other, mState);
      CPPUNIT_ASSERT(SumAt(mState, kStart) < 20);
    }
  }

  void SumStaysAtTheHighestNumber()
  {
    SetOwn(mState, kStart, Counting(0xfffffff0));
    TakeReport(mState, kStart, "a", ReportOf(0x20, 1, kStart));
    CPPUNIT_ASSERT_EQUAL(0xffffffffU, SumAt(mState, kStart));
  }

  void OlderTotalsNeverReplaceNewerOnes()
  {
    CPPUNIT_ASSERT(TakeTotals(mState, TotalsOf(3, 7)));
    CPPUNIT_ASSERT(!TakeTotals(mState, TotalsOf(3, 7)));
    CPPUNIT_ASSERT(!TakeTotals(mState, TotalsOf(3, 6)));
    CPPUNIT_ASSERT(!TakeTotals(mState, TotalsOf(2, 90)));
    CPPUNIT_ASSERT(TakeTotals(mState, TotalsOf(4, 1)));
  }

  void TotalsOfAPartAreTakenWhileThoseOfAllAreMissing()
  {
    const auto take = [&](Micros aToldAt, Micros aNow) {
      return TakePartTotals(
        mState, aNow, MakePartTotals(aToldAt, { Counting(3), 35 }, 141));
    };
    Totals all = TotalsOf(1, 1);
    all.mToldAt = kStart;
    CPPUNIT_ASSERT(!LacksTotals(mState, kStart) && TakeTotals(mState, all));
    const Micros soon = kStart + 400 * kMillisecond;
    CPPUNIT_ASSERT(!take(soon, soon));
    const Micros later = kStart + kSecond;
    CPPUNIT_ASSERT(LacksTotals(mState, later) && take(later, later));
    // The same word once more, and an older one.
    CPPUNIT_ASSERT(!take(later + kMillisecond, later + kMillisecond));
    CPPUNIT_ASSERT(!take(later - kMillisecond, later + kMillisecond));
    CPPUNIT_ASSERT(mState.mPartTotals->mIsPart);
    CPPUNIT_ASSERT_EQUAL(106U, mState.mPartTotals->mSilent);
    CPPUNIT_ASSERT(mState.mTotals->mStamp.mTerm == 1);
  }

  void TotalsHoldWhatIsSelectedAndTheSilent()
  {
    mState.mSelection = [](const Key&, const Counts& aCounts) {
      return aCounts.front() >= 10;
    };
    const Sum sum{ { { kKey, { 10 } }, { kOther, { 9 } } }, 5 };
    const Totals totals = MakeTotals(mState, kStart, sum, 7, { 1, 1 });
    CPPUNIT_ASSERT(Find(totals.mSum, kKey) != nullptr);
    CPPUNIT_ASSERT(Find(totals.mSum, kOther) == nullptr);
    CPPUNIT_ASSERT_EQUAL(2U, totals.mSilent);
  }

  void NothingIsDueWhereNothingIsCounted()
  {
    CPPUNIT_ASSERT(!IsDue(mState, kStart));
    CPPUNIT_ASSERT(NextLook(mState) > kStart + 3600 * kSecond);
  }

  void ReportsKeepThePace()
  {
    SetOwn(mState, kStart, Counting(5));
    CPPUNIT_ASSERT_EQUAL(50, SentIn(10 * kSecond, [](Micros) { return 5; }));
  }

  void ReportsAreRareWhileNothingIsCounted()
  {
    mState.mWanted = true;
    CPPUNIT_ASSERT_EQUAL(20, SentIn(8 * kSecond, [](Micros) { return 0; }));
  }

  void GrowthGoesAheadOfThePaceButNotAlways()
  {
    mState.mLeastGrowth.mBySubject.front() = { 8 };
    SetOwn(mState, kStart, Counting(5));
    CPPUNIT_ASSERT_EQUAL(1, SentIn(100 * kMillisecond, [](Micros aPassed) {
                           return aPassed < 50 * kMillisecond ? 5U : 6U;
                         }));
    CPPUNIT_ASSERT_EQUAL(1, SentIn(100 * kMillisecond, [](Micros aPassed) {
                           return aPassed < 50 * kMillisecond ? 6U : 40U;
                         }));
    std::uint32_t count = 40;
    const int sent = SentIn(10 * kSecond, [&](Micros) { return count *= 2; });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= 102);
  }

  void UrgentReportIsPassedOnSoon()
  {
    SetOwn(mState, kStart, Counting(5));
    CPPUNIT_ASSERT(IsDue(mState, kStart));
    MarkSent(mState, kStart, false);
    Report report = ReportOf(90, 1, kStart);
    report.mUrgent = true;
    TakeReport(mState, kStart + 60 * kMillisecond, "a", report);
    CPPUNIT_ASSERT(NextLook(mState) <= kStart + 80 * kMillisecond);
    CPPUNIT_ASSERT(IsDue(mState, kStart + 80 * kMillisecond));
  }

private:
  // Reports sent while the count follows a function of the time passed.
  template<class Count>
  int SentIn(Micros aTime, Count aCount)
  {
    int sent = 0;
    for (Micros passed = 0; passed < aTime; passed += 10 * kMillisecond) {
      const Micros now = mNow + passed;
      const std::uint32_t count = static_cast<std::uint32_t>(aCount(passed));
      SetOwn(mState, now, count == 0 ? Table() : Counting(count));
      if (IsDue(mState, now)) {
        ++sent;
        MarkSent(mState, now, count == 0);
      }
    }
    mNow += aTime;
    return sent;
  }

  State mState;
  Micros mNow = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RollupTest);

} // namespace geraniumpond::rollup
