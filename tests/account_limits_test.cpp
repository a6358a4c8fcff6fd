#include "fakes/dispatch_host.h"
#include "fakes/processor_time.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;

constexpr const char* kKey = "key-a";
constexpr double kPerSecond = 10;

// Accounts a and b, one of which has the key.
std::shared_ptr<const policy::TrafficPolicy> PolicyWith(
  const std::string& aHolder,
  double aPerSecond)
{
  auto made = std::make_shared<policy::TrafficPolicy>(*fakes::TwoRoutePolicy());
  made->mAccounts.emplace();
  for (const std::string name : { "a", "b" }) {
    accounts::Account account;
    account.mName = name;
    account.mPerSecond = aPerSecond;
    account.mBurst = aPerSecond;
    const std::vector<std::string> keys = { name == aHolder ? kKey : "none" };
    CPPUNIT_ASSERT(accounts::Add(*made->mAccounts, account, keys).empty());
  }
  policy::BuildIndex(*made);
  return made;
}

} // namespace

/// \brief What a host counts in the limits of accounts, request by request.
class AccountLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AccountLimitsTest);
  CPPUNIT_TEST(RequestCountsFromItsArrivalUntilItIsGivenBack);
  CPPUNIT_TEST(RequestPassedOnCountsHereOnly);
  CPPUNIT_TEST(KeyThatMovesTakesItsWaitingRequestsAlong);
  CPPUNIT_TEST(LimitThatIsNewCountsRequestsThatWait);
  CPPUNIT_TEST(AccountAtItsLimitLeavesSecondAttemptsToOthers);
  CPPUNIT_TEST(LimitedAccountIsNamedInTheLog);
  CPPUNIT_TEST(NamingOfLimitedAccountsTakesTimeInProportion);
  CPPUNIT_TEST(OnlyRequestsOfLimitedAccountsAwaitTheFirstTotals);
  CPPUNIT_TEST(RequestsThatAwaitTotalsAreSentOnceTheyCome);
  CPPUNIT_TEST(RequestsForWhichNoTotalsComeAreToldToReturn);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHost = std::make_unique<DispatchHost>(3);
    mHost->mState.mQuota = quota::MakeState({}, mHost->mNow - kMinute);
    quota::SetHosts(
      mHost->mState.mQuota, mHost->mNow, rate_share::MakeMembers({ "h" }, "h"));
    Hear(0);
    Apply(PolicyWith("a", kPerSecond));
  }

  void RequestCountsFromItsArrivalUntilItIsGivenBack()
  {
    Arrive("/unsafe/x");
    CPPUNIT_ASSERT_EQUAL(1U, Waiting("a"));
    mHost->Advance(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT_EQUAL(0U, Waiting("a") + Used("a"));
  }

  void RequestPassedOnCountsHereOnly()
  {
    mHost->mState.mRelayHosts = { "10.0.0.1:80" };
    Arrive("/unsafe/x");
    mHost->Advance(150 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(1U, Used("a"));
    Arrival relayed;
    relayed.mPath = "/unsafe/y";
    relayed.mHasRelayFields = true;
    relayed.mIsFromHost = true;
    relayed.mRelayedAfter = 10 * kMillisecond;
    relayed.mAccount = "a";
    Arrive(relayed);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(1U, Used("a"));
  }

  void KeyThatMovesTakesItsWaitingRequestsAlong()
  {
    Arrive("/unsafe/x");
    Apply(PolicyWith("b", kPerSecond));
    CPPUNIT_ASSERT_EQUAL(0U, Waiting("a"));
    CPPUNIT_ASSERT_EQUAL(1U, Waiting("b"));
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         mHost->All<SendRequest>().at(0).mAccount);
    CPPUNIT_ASSERT_EQUAL(0U, Waiting("b"));
    CPPUNIT_ASSERT_EQUAL(1U, Used("b"));
  }

  void LimitThatIsNewCountsRequestsThatWait()
  {
    Apply(PolicyWith("a", 0));
    Arrive("/unsafe/x");
    Apply(PolicyWith("a", kPerSecond));
    CPPUNIT_ASSERT_EQUAL(1U, Waiting("a"));
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(1U, Used("a"));
  }

  void AccountAtItsLimitLeavesSecondAttemptsToOthers()
  {
    Arrive("/safe/x");
    mHost->AnswerProbes();
    Hear(1000);
    for (int i = 0; i < 30; ++i) {
      mHost->Advance(20 * kMillisecond);
      mHost->AnswerProbes();
    }
    CPPUNIT_ASSERT(mHost->mState.mQuota.mCounters.mExtraDenied > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    int taken = 0;
    for (const auto& slice :
         mHost->mState.mServices.at("service").mExtra.mSlices) {
      taken += slice.mExtra;
    }
    CPPUNIT_ASSERT_EQUAL(0, taken);
  }

  void LimitedAccountIsNamedInTheLog()
  {
    Hear(1000);
    Arrive("/unsafe/x");
    CPPUNIT_ASSERT_EQUAL(429, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->OnlyReply().mRetryAfter > 0);
    mHost->Advance(kSecond);
    int lines = 0;
    for (const LogLine& line : mHost->All<LogLine>()) {
      lines += line.mText.rfind("event=account_limited account=a ", 0) == 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, lines);
  }

  void NamingOfLimitedAccountsTakesTimeInProportion()
  {
    constexpr int kFew = 500;
    constexpr int kTimes = 10;
    // A factor of 3 allows for other load on the machine.
    constexpr double kMost = 3 * kTimes;
    const double few = SecondsToName(kFew);
    const double many = SecondsToName(kFew * kTimes);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(many) + " s, " + std::to_string(few) +
                             " s for a tenth",
                           many < kMost * few);
  }

  void OnlyRequestsOfLimitedAccountsAwaitTheFirstTotals()
  {
    const auto mayWait = PolicyWith("a", kPerSecond);
    auto open = std::make_shared<policy::TrafficPolicy>(*mayWait);
    for (policy::Route& route : open->mRoutes) {
      route.mPublic = true;
    }
    policy::BuildIndex(*open);
    auto unlimited = std::make_shared<policy::TrafficPolicy>(*mayWait);
    unlimited->mAccounts->mAccounts.front().mPerSecond = 0;
    Arrival relayed;
    relayed.mPath = "/unsafe/x";
    relayed.mHasRelayFields = true;
    relayed.mIsFromHost = true;
    relayed.mRelayedAfter = 10 * kMillisecond;
    relayed.mAccount = "a";
    Arrival keyed;
    keyed.mPath = "/unsafe/x";
    keyed.mKey = accounts::DigestOf(kKey);
    Arrival keyless;
    keyless.mPath = "/unsafe/x";
    ExpectSentAtOnce(mayWait, keyed, 0);
    ExpectSentAtOnce(mayWait, relayed, 1);
    ExpectSentAtOnce(open, keyed, 0);
    ExpectSentAtOnce(open, keyless, 1);
    ExpectSentAtOnce(unlimited, keyed, 1);
  }

  void RequestsThatAwaitTotalsAreSentOnceTheyCome()
  {
    AwaitTotals();
    Arrive("/unsafe/x");
    mHost->Advance(100 * kMillisecond);
    AdmitUnrouted(mHost->mState, mHost->mNow, mHost->mEffects);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
    Hear(0);
    AdmitUnrouted(mHost->mState, mHost->mNow, mHost->mEffects);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT_EQUAL(1U, Used("a"));
  }

  void RequestsForWhichNoTotalsComeAreToldToReturn()
  {
    AwaitTotals();
    Arrive("/unsafe/x");
    mHost->Advance(810 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->OnlyReply().mRetryAfter > 0);
  }

private:
  // The least of a few tries.
  double SecondsToName(int aAccounts)
  {
    double least = 1e9;
    for (int i = 0; i < 3; ++i) {
      setUp();
      auto policy =
        std::make_shared<policy::TrafficPolicy>(*PolicyWith("a", kPerSecond));
      for (int k = 0; k < aAccounts; ++k) {
        accounts::Account account;
        account.mName = "account-" + std::to_string(k);
        account.mPerSecond = kPerSecond;
        CPPUNIT_ASSERT(accounts::Add(*policy->mAccounts, account, {}).empty());
        mHost->mState.mQuota.mChanges.push_back(
          { quota::DigestOf(account.mName), true });
      }
      Apply(policy);
      const double before = fakes::ProcessorSeconds();
      mHost->Advance(200 * kMillisecond);
      least = std::min(least, fakes::ProcessorSeconds() - before);
      CPPUNIT_ASSERT(mHost->mState.mQuota.mChanges.empty());
      CPPUNIT_ASSERT(mHost->All<LogLine>().back().mText.find(
                       " account=account-") != std::string::npos);
    }
    return least;
  }

  // As on a host that has just started.
  void AwaitTotals()
  {
    setUp();
    mHost->mState.mQuota = quota::MakeState({}, mHost->mNow - kMinute);
    quota::SetHosts(
      mHost->mState.mQuota, mHost->mNow, rate_share::MakeMembers({ "h" }, "h"));
    mHost->mState.mPolicyExpectedUntil = mHost->mNow + 800 * kMillisecond;
  }

  void ExpectSentAtOnce(std::shared_ptr<const policy::TrafficPolicy> aPolicy,
                        const Arrival& aArrival,
                        std::size_t aSent)
  {
    AwaitTotals();
    Apply(std::move(aPolicy));
    Arrive(aArrival);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(aSent, mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
  }

  void Apply(std::shared_ptr<const policy::TrafficPolicy> aPolicy)
  {
    SetPolicy(mHost->mState, mHost->mNow, std::move(aPolicy));
    ApplyAccounts(mHost->mState, mHost->mNow, mHost->mEffects);
  }

  // All hosts have used this much of the window.
  void Hear(std::uint32_t aUsed)
  {
    mHost->Advance(kMillisecond);
    rollup::Totals totals;
    totals.mToldAt = mHost->mNow;
    totals.mSum.mHosts = 1;
    for (const char* name : { "a", "b" }) {
      totals.mSum.mTable[rollup::MakeKey(rollup::Subject::Account,
                                         quota::DigestOf(name))] = {
        aUsed, aUsed / 10, aUsed / 10, 1000000
      };
    }
    quota::SetTotals(mHost->mState.mQuota, mHost->mNow, totals);
  }

  void Arrive(const std::string& aPath)
  {
    Arrival arrival;
    arrival.mPath = aPath;
    arrival.mKey = accounts::DigestOf(kKey);
    Arrive(arrival);
  }

  void Arrive(Arrival aArrival)
  {
    aArrival.mId = ++mHost->mLastId;
    aArrival.mHostName = "host";
    aArrival.mPatience = 5 * kSecond;
    HandleArrival(mHost->mState, mHost->mNow, aArrival, mHost->mEffects);
  }

  [[nodiscard]] std::uint32_t Waiting(const std::string& aAccount) const
  {
    const auto& accounts = mHost->mState.mQuota.mAccounts;
    const auto found = accounts.find(quota::DigestOf(aAccount));
    return found == accounts.end() ? 0 : found->second.mWaiting;
  }

  [[nodiscard]] std::uint32_t Used(const std::string& aAccount) const
  {
    const auto& accounts = mHost->mState.mQuota.mAccounts;
    const auto found = accounts.find(quota::DigestOf(aAccount));
    std::uint32_t sent = 0;
    if (found != accounts.end()) {
      for (const quota::Slice& slice : found->second.mSlices) {
        sent += slice.mSent;
      }
    }
    return sent;
  }

  std::unique_ptr<DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountLimitsTest);

} // namespace geraniumpond::dispatch
