#include "internal.h"

// What this host counts, and what it learns of all hosts. Each module that
// counts adds its part to the own table and takes its part of the totals.
namespace geraniumpond::gateway {

namespace {

/// Growth that other hosts have to know of at once: requests of an account that
/// were offered in the last half second.
constexpr rollup::Counts kAccountGrowth = { 0, 3, 0, 0 };

rollup::Table OwnCounts(Context& aContext)
{
  rollup::Table table;
  const dispatch::State& dispatch = aContext.mState.mDispatch;
  quota::AddOwn(dispatch.mQuota, aContext.mNow, table);
  dispatch::AddOwnDemand(dispatch, aContext.mNow, table);
  return table;
}

// Only limits of accounts know how to use totals of a part.
void UseTotals(Context& aContext, const rollup::Totals& aTotals)
{
  dispatch::State& dispatch = aContext.mState.mDispatch;
  quota::SetTotals(dispatch.mQuota, aContext.mNow, aTotals);
  dispatch::Effects effects;
  if (!aTotals.mIsPart) {
    dispatch::HandleDemandTotals(dispatch, aContext.mNow, aTotals, effects);
  }
  dispatch::AdmitUnrouted(dispatch, aContext.mNow, effects);
  AppendEffects(aContext, std::move(effects));
}

bool IsTotalNeeded(const rollup::Key& aKey, const rollup::Counts& aCounts)
{
  return aKey.mSubject != rollup::Subject::Account || quota::Matters(aCounts);
}

} // namespace

void SetUpCounting(fleet::State& aFleet, Micros aNow, bool aWanted)
{
  fleet::SetCounting(aFleet, aNow, aWanted);
  fleet::SelectTotals(aFleet, IsTotalNeeded);
  fleet::SetLeastGrowth(aFleet, rollup::Subject::Account, kAccountGrowth);
}

rate_share::Members CountingHosts(const fleet::State& aFleet)
{
  const std::string& own = aFleet.mSettings.mPeerAddress;
  std::vector<std::string> hosts = { own };
  for (const auto& [address, host] : aFleet.mHosts) {
    if (!host.mGone && address != own) {
      hosts.push_back(address);
    }
  }
  return rate_share::MakeMembers(hosts, own);
}

void UpdateCounting(Context& aContext)
{
  State& state = aContext.mState;
  const auto& policy = state.mDispatch.mPolicy;
  const bool isWanted = policy && (policy::HasLimitedAccounts(*policy) ||
                                   state.mSettings.mFairAcrossHosts);
  SetUpCounting(state.mFleet, aContext.mNow, isWanted);
  // Without hosts nothing would be admitted, whatever the totals say.
  UpdateCountHosts(aContext);
}

void UpdateCountHosts(Context& aContext)
{
  State& state = aContext.mState;
  if (state.mFleet.mCounts.mRollup.mWanted) {
    quota::SetHosts(
      state.mDispatch.mQuota, aContext.mNow, CountingHosts(state.mFleet));
  }
}

void UpdateCounts(Context& aContext)
{
  fleet::State& fleet = aContext.mState.mFleet;
  if (fleet::AreCountsDue(fleet, aContext.mNow)) {
    fleet::SetCounts(fleet, aContext.mNow, OwnCounts(aContext));
  }
}

void UseNewTotals(Context& aContext)
{
  State& state = aContext.mState;
  const rollup::Totals* totals = fleet::NewestTotals(state.mFleet);
  if (totals != nullptr && state.mTotalsUsed < totals->mStamp) {
    state.mTotalsUsed = totals->mStamp;
    UseTotals(aContext, *totals);
  }
  const rollup::Totals* part = fleet::NewestPartTotals(state.mFleet);
  if (part != nullptr &&
      part->mToldAt > state.mDispatch.mQuota.mTotals.mToldAt) {
    UseTotals(aContext, *part);
  }
}

} // namespace geraniumpond::gateway
