#include "fakes/disk.h"

#include <geraniumpond/gateway.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::gateway {

namespace {

constexpr const char* kSelf = "10.0.0.1:1";

// The document is the limit of the only account, in requests a second.
Result<policy::TrafficPolicy> DecodeLimit(std::string_view aDocument)
{
  policy::TrafficPolicy policy;
  policy.mVersion = 1;
  accounts::Account account;
  account.mName = "one";
  account.mPerSecond = std::stod(std::string(aDocument));
  policy.mAccounts.emplace();
  policy.mAccounts->mAccounts.push_back(account);
  return policy;
}

} // namespace

/// \brief Where a policy has something to count over all hosts.
class GatewayRollupTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayRollupTest);
  CPPUNIT_TEST(AccountsWithALimitAreCounted);
  CPPUNIT_TEST(AccountsWithoutALimitAreNot);
  CPPUNIT_TEST(HostsThatDivideLimitsAreKnownWithThePolicy);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountsWithALimitAreCounted()
  {
    RunWithPolicy("5");
    const rollup::Totals* totals = fleet::NewestTotals(mState.mFleet);
    CPPUNIT_ASSERT(totals != nullptr);
    CPPUNIT_ASSERT_EQUAL(1U, totals->mSum.mHosts);
    CPPUNIT_ASSERT(mNow - totals->mToldAt < kSecond);
    CPPUNIT_ASSERT(!(mState.mTotalsUsed < totals->mStamp));
  }

  void AccountsWithoutALimitAreNot()
  {
    RunWithPolicy("0");
    CPPUNIT_ASSERT(fleet::NewestTotals(mState.mFleet) == nullptr);
  }

  void HostsThatDivideLimitsAreKnownWithThePolicy()
  {
    Start();
    Do(PutPolicy{ 1, "5" });
    while (mState.mDispatch.mPolicy == nullptr) {
      RunFor(10 * kMillisecond);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         mState.mDispatch.mQuota.mMembers.mDigests.size());
  }

private:
  void RunWithPolicy(const char* aDocument)
  {
    Start();
    Do(PutPolicy{ 1, aDocument });
    RunFor(3 * kSecond);
    CPPUNIT_ASSERT(mState.mDispatch.mPolicy != nullptr);
  }

  void Start()
  {
    Settings settings;
    settings.mFleet.mPeerAddress = kSelf;
    settings.mFleet.mControl = true;
    settings.mFleet.mIncarnation = 1;
    settings.mFleet.mSeeds = { kSelf };
    settings.mDecodePolicy = DecodeLimit;
    Effects effects;
    mState =
      Open(settings, fakes::FreshDisk({ kSelf }, true, 0), mNow, 1, effects);
    Perform(effects);
    RunFor(3 * kSecond);
  }

  void RunFor(Micros aTime)
  {
    for (const Micros end = mNow + aTime; mNow < end;) {
      mNow += 10 * kMillisecond;
      Do(TimePassed{});
    }
  }

  template<class Body>
  void Do(Body aBody)
  {
    Event event;
    event.mNow = mNow;
    event.mRandom = static_cast<std::uint64_t>(mNow);
    event.mBody = std::move(aBody);
    Perform(Step(mState, event));
  }

  void Perform(const Effects& aEffects)
  {
    for (const Effect& effect : aEffects) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        Do(DiskSynced{ persist->mWrite.mSequence });
      }
    }
  }

  State mState;
  Micros mNow = kSecond;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRollupTest);

} // namespace geraniumpond::gateway
