#include "internal.h"

#include <limits>

// Keys and names of accounts: how long they may be relied on without the
// control group, and which hosts may state them.
namespace geraniumpond::gateway {

void UpdateTrust(Context& aContext)
{
  State& state = aContext.mState;
  const Settings& settings = state.mSettings;
  state.mDispatch.mPolicyMayBeOutdated =
    !fleet::IsInTouch(state.mFleet, aContext.mNow);
  state.mDispatch.mKeysTrustedUntil =
    settings.mStrictRevocation
      ? accounts::TrustedUntil(fleet::ConfirmedAt(state.mFleet, aContext.mNow),
                               settings.mRevokeWithin)
      : std::numeric_limits<Micros>::max();
}

dispatch::Arrival WithSender(const State& aState, dispatch::Arrival aArrival)
{
  aArrival.mIsFromHost = aArrival.mHasRelayFields &&
                         fleet::IsHostAt(aState.mFleet, aArrival.mSender);
  return aArrival;
}

std::size_t AccountCount(const State& aState) noexcept
{
  const auto& policy = aState.mDispatch.mPolicy;
  return policy && policy->mAccounts ? policy->mAccounts->mAccounts.size() : 0;
}

} // namespace geraniumpond::gateway
