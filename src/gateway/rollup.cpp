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

void UseTotals(Context& aContext, const rollup::Totals& aTotals)
{
  dispatch::State& dispatch = aContext.mState.mDispatch;
  quota::SetTotals(dispatch.mQuota, aContext.mNow, aTotals);
  dispatch::Effects effects;
  dispatch::HandleDemandTotals(dispatch, aContext.mNow, aTotals, effects);
  dispatch::AdmitUnrouted(dispatch, aContext.mNow, effects);
  AppendEffects(aContext, std::move(effects));
}

bool IsTotalNeeded(const rollup::Key& aKey, const rollup::Counts& aCounts)
{
  return aKey.mSubject != rollup::Subject::Account || quota::Matters(aCounts);
}

} // namespace

void UpdateCounting(Context& aContext)
{
  State& state = aContext.mState;
  const auto& policy = state.mDispatch.mPolicy;
  const bool isWanted = policy && (policy::HasLimitedAccounts(*policy) ||
                                   state.mSettings.mFairAcrossHosts);
  fleet::SetCounting(state.mFleet, aContext.mNow, isWanted);
  fleet::SelectTotals(state.mFleet, IsTotalNeeded);
  fleet::SetLeastGrowth(state.mFleet, rollup::Subject::Account, kAccountGrowth);
}

// Silent hosts keep their part until they are forgotten.
void UpdateCountHosts(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mFleet.mCounts.mRollup.mWanted) {
    return;
  }
  const std::string& own = state.mSettings.mFleet.mPeerAddress;
  std::vector<std::string> hosts = { own };
  for (const auto& [address, host] : state.mFleet.mHosts) {
    if (!host.mGone && address != own) {
      hosts.push_back(address);
    }
  }
  quota::SetHosts(
    state.mDispatch.mQuota, aContext.mNow, rate_share::MakeMembers(hosts, own));
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
}

} // namespace geraniumpond::gateway
