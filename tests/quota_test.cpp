#include <geraniumpond/quota.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace geraniumpond::quota {

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr Limit kLimit = { 10, 10 };
constexpr std::size_t kHosts = 40;

const std::uint64_t kAccount = DigestOf("orchard");
const rollup::Key kKey = rollup::MakeKey(rollup::Subject::Account, kAccount);

std::vector<std::string> Names()
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kHosts; ++i) {
    names.push_back("10.0.0." + std::to_string(i) + ":7");
  }
  return names;
}

rollup::Totals MakeTotals(Micros aToldAt,
                          std::uint32_t aUsed,
                          std::uint32_t aOffered,
                          std::uint32_t aHosts = kHosts)
{
  rollup::Totals totals;
  totals.mToldAt = aToldAt;
  totals.mSum.mHosts = aHosts;
  totals.mSum.mTable[kKey] = { aUsed, aOffered, aOffered, 1000000 };
  return totals;
}

// A host that has run for a while.
State MakeHost(std::size_t aIndex = 0)
{
  State state = MakeState({}, kStart - kMinute);
  SetHosts(state, kStart, rate_share::MakeMembers(Names(), Names()[aIndex]));
  return state;
}

bool Send(State& aState, Micros aNow)
{
  const bool admitted = Admit(aState, aNow, kAccount, kLimit, false).mAdmitted;
  if (admitted) {
    CountSent(aState, aNow, kAccount);
  }
  return admitted;
}

bool TakeExtra(State& aState, Micros aNow)
{
  const bool hasRoom = HasRoomForExtra(aState, aNow, kAccount, kLimit);
  if (hasRoom) {
    CountExtra(aState, aNow, kAccount);
  }
  return hasRoom;
}

rollup::Counts Told(const State& aState, Micros aNow)
{
  rollup::Table table;
  AddOwn(aState, aNow, table);
  return table[kKey];
}

} // namespace

class QuotaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(AccountWithoutALimitIsNotCounted);
  CPPUNIT_TEST(HostThatHasHeardNothingAdmitsNothing);
  CPPUNIT_TEST(AccountBelowItsLimitIsAdmitted);
  CPPUNIT_TEST(AccountFarBeyondItsLimitIsRefused);
  CPPUNIT_TEST(OlderTotalsAreDropped);
  CPPUNIT_TEST(TotalsOfFewHostsAreDoubtedForAWhile);
  CPPUNIT_TEST(RequestCountsWhileItWaitsAndAWindowAfterItIsSent);
  CPPUNIT_TEST(RequestThatIsNeverSentIsGivenBack);
  CPPUNIT_TEST(ExtraAttemptCountsAndIsDeniedAtTheLimit);
  CPPUNIT_TEST(SilentHostsStayWithinTheBoundTogether);
  CPPUNIT_TEST(HostThatForgotWhatItSentAdmitsNothingAlone);
  CPPUNIT_TEST(RefusedClientsAreToldDifferentDelays);
  CPPUNIT_TEST(StartAndEndOfALimitAreReportedOnce);
  CPPUNIT_TEST(IdleAccountIsForgotten);
  CPPUNIT_TEST(OnlyAccountsWithSomeLoadMatter);
  CPPUNIT_TEST(HostThatKnowsFewHostsTakesTheTotalsWord);
  CPPUNIT_TEST(FirstTotalsOfFewHostsDoNotLimitAccountsWithLittleLoad);
  CPPUNIT_TEST(TotalsThatCoverNoHostAdmitNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountWithoutALimitIsNotCounted()
  {
    State state = MakeHost();
    CPPUNIT_ASSERT(Admit(state, kStart, kAccount, {}, false).mAdmitted &&
                   state.mAccounts.empty());
  }

  // After a loss of all hosts the leader tells totals while it has heard few.
  void FirstTotalsOfFewHostsDoNotLimitAccountsWithLittleLoad()
  {
    constexpr std::uint32_t kHeard = 4;
    State state = MakeState({}, kStart);
    SetHosts(state, kStart, rate_share::MakeMembers(Names(), Names()[0]));
    rollup::Totals totals = MakeTotals(kStart, 0, 0, kHeard);
    totals.mSum.mTable.clear();
    SetTotals(state, kStart, totals);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(Send(state, kStart + i * 100 * kMillisecond));
    }
  }

  void TotalsThatCoverNoHostAdmitNothing()
  {
    State state = MakeHost();
    rollup::Totals totals = MakeTotals(kStart, 0, 0, 0);
    totals.mSum.mTable.clear();
    SetTotals(state, kStart, totals);
    CPPUNIT_ASSERT(!Send(state, kStart));
  }

  void HostThatHasHeardNothingAdmitsNothing()
  {
    State state = MakeHost();
    CPPUNIT_ASSERT(!Send(state, kStart));
  }

  void AccountBelowItsLimitIsAdmitted()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 30, 3));
    CPPUNIT_ASSERT(Send(state, kStart));
  }

  void AccountFarBeyondItsLimitIsRefused()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 200, 50));
    CPPUNIT_ASSERT(!Send(state, kStart));
  }

  void OlderTotalsAreDropped()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 200, 50));
    SetTotals(state, kStart, MakeTotals(kStart - kMillisecond, 0, 0));
    CPPUNIT_ASSERT(!Send(state, kStart));
  }

  void TotalsOfFewHostsAreDoubtedForAWhile()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 200, 50));
    const Micros later = kStart + 100 * kMillisecond;
    SetTotals(state, later, MakeTotals(later, 0, 0, 3));
    CPPUNIT_ASSERT(state.mCounters.mTotalsDoubted == 1 && !Send(state, later));
  }

  void RequestCountsWhileItWaitsAndAWindowAfterItIsSent()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 0, 0));
    (void)Admit(state, kStart, kAccount, kLimit, false);
    const Micros sent = kStart + 8 * kSecond;
    CPPUNIT_ASSERT_EQUAL(1U, Told(state, sent)[kUsed]);
    CountSent(state, sent, kAccount);
    CPPUNIT_ASSERT_EQUAL(1U, Told(state, sent + 4900 * kMillisecond)[kUsed]);
    CPPUNIT_ASSERT_EQUAL(0U, Told(state, sent + 5200 * kMillisecond)[kUsed]);
  }

  void RequestThatIsNeverSentIsGivenBack()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 0, 0));
    (void)Admit(state, kStart, kAccount, kLimit, false);
    GiveBack(state, kAccount);
    CPPUNIT_ASSERT_EQUAL(0U, Told(state, kStart)[kUsed]);
  }

  void ExtraAttemptCountsAndIsDeniedAtTheLimit()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 0, 0));
    CPPUNIT_ASSERT(TakeExtra(state, kStart));
    CPPUNIT_ASSERT_EQUAL(1U, Told(state, kStart)[kUsed]);
    const Micros later = kStart + 100 * kMillisecond;
    SetTotals(state, later, MakeTotals(later, 80, 50));
    CPPUNIT_ASSERT(!TakeExtra(state, later));
  }

  void SilentHostsStayWithinTheBoundTogether()
  {
    std::size_t sent = 30;
    for (std::size_t i = 0; i < kHosts; ++i) {
      State state = MakeHost(i);
      (void)Admit(state, kStart, kAccount, kLimit, false);
      SetTotals(state, kStart, MakeTotals(kStart, 30, 3));
      for (int k = 0; k < 400; ++k) {
        sent += Send(state, kStart + kSecond + k * kMillisecond) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(static_cast<double>(sent) <= Bound({}, kLimit));
  }

  void HostThatForgotWhatItSentAdmitsNothingAlone()
  {
    State state = MakeState({}, kStart);
    SetHosts(state, kStart, rate_share::MakeMembers(Names(), Names()[0]));
    SetTotals(state, kStart, MakeTotals(kStart, 0, 0));
    CPPUNIT_ASSERT(!Send(state, kStart + 2 * kSecond));
  }

  void RefusedClientsAreToldDifferentDelays()
  {
    std::set<Micros> delays;
    for (std::size_t i = 0; i < kHosts; ++i) {
      State state = MakeHost(i);
      SetTotals(state, kStart, MakeTotals(kStart, 200, 50));
      delays.insert(Admit(state, kStart, kAccount, kLimit, false).mRetryAfter);
    }
    CPPUNIT_ASSERT(delays.size() > kHosts / 2 && *delays.begin() > 0);
  }

  void StartAndEndOfALimitAreReportedOnce()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 200, 50));
    (void)Send(state, kStart);
    (void)Send(state, kStart);
    const std::vector<Change> started = TakeChanges(state);
    Tick(state, kStart + 6 * kSecond);
    const std::vector<Change> ended = TakeChanges(state);
    CPPUNIT_ASSERT(started.size() == 1 && started[0].mIsLimited &&
                   ended.size() == 1 && !ended[0].mIsLimited);
  }

  void IdleAccountIsForgotten()
  {
    State state = MakeHost();
    SetTotals(state, kStart, MakeTotals(kStart, 0, 0));
    (void)Send(state, kStart);
    Tick(state, kStart + 6 * kSecond);
    CPPUNIT_ASSERT(state.mAccounts.empty());
  }

  void HostThatKnowsFewHostsTakesTheTotalsWord()
  {
    State state = MakeHost();
    SetHosts(state, kStart, rate_share::MakeMembers({ "h" }, "h"));
    state.mHostCounts.clear();
    SetTotals(state, kStart, MakeTotals(kStart, 60, 5));
    CPPUNIT_ASSERT(Send(state, kStart));
    const Account& account = state.mAccounts.at(kAccount);
    // An equal part of the bound, in whole requests.
    const double part = Bound(state.mSettings, kLimit) / kHosts;
    CPPUNIT_ASSERT(account.mPlan.mOwnPart <= part + 1);
  }

  void OnlyAccountsWithSomeLoadMatter()
  {
    CPPUNIT_ASSERT(Matters({ 9, 9, 9, 250000 }) &&
                   !Matters({ 9, 9, 9, 249999 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);

} // namespace geraniumpond::quota
