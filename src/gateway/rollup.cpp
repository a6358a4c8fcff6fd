#include "internal.h"

#include <algorithm>

// What this host counts, and what it learns of all hosts. Each module that
// counts adds its part to the own table and takes its part of the totals.
namespace geraniumpond::gateway {

namespace {

rollup::Table OwnCounts(Context& /*aContext*/)
{
  return {};
}

void UseTotals(Context& /*aContext*/, const rollup::Totals& /*aTotals*/) {}

// Accounts without a limit are not counted.
bool CountsAccounts(const policy::TrafficPolicy& aPolicy)
{
  if (!aPolicy.mAccounts) {
    return false;
  }
  const auto& accounts = aPolicy.mAccounts->mAccounts;
  return std::any_of(
    accounts.begin(), accounts.end(), [](const accounts::Account& aAccount) {
      return aAccount.mPerSecond > 0;
    });
}

} // namespace

void UpdateCounting(Context& aContext)
{
  State& state = aContext.mState;
  const auto& policy = state.mDispatch.mPolicy;
  fleet::SetCounting(
    state.mFleet, aContext.mNow, policy && CountsAccounts(*policy));
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
