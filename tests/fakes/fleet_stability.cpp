#include "fakes/fleet_stability.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

/// Time in which hosts that were left alone hear of each other.
constexpr Micros kContact = 3 * kSecond;
/// Time in which a control host that is back, or new, has caught up.
constexpr Micros kCatchUp = 4 * kSecond;

} // namespace

FleetCalm::FleetCalm(FleetWorld& aWorld, int aTolerated)
  : mWorld(aWorld)
  , mTolerated(aTolerated)
{
}

void FleetCalm::Replace()
{
  mUnreplaced = std::max(0, mUnreplaced - 1);
  mReplacedAt.push_back(mWorld.mNow);
}

std::string FleetCalm::ConditionOf(const std::string& aAddress) const
{
  const FleetNode& node = mWorld.At(aAddress);
  return std::to_string(node.mAlive ? node.mSettings.mIncarnation : 0) +
         (node.mState.mStopping ? " stops" : "") +
         (mWorld.mCutOff.count(aAddress) != 0 ? " cut" : "") +
         (mWorld.mFrozen.count(aAddress) != 0 ? " frozen" : "") +
         (mWorld.mStalled.count(aAddress) != 0 ? " stalled" : "") +
         (mWorld.mCutFromControl.count(aAddress) != 0 ? " cut from control"
                                                      : "");
}

bool FleetCalm::IsThere(const std::string& aAddress) const
{
  return mWorld.At(aAddress).mAlive && mWorld.mCutOff.count(aAddress) == 0 &&
         mWorld.mFrozen.count(aAddress) == 0 &&
         mWorld.mStalled.count(aAddress) == 0;
}

Micros FleetCalm::Since(const std::string& aWho, const std::string& aCondition)
{
  Condition& known = mConditions[aWho];
  if (known.mText != aCondition) {
    known = { aCondition, mWorld.mNow };
  }
  return known.mSince;
}

bool FleetCalm::IsCalm(const std::string& aAddress)
{
  const Micros since = Since(aAddress, ConditionOf(aAddress));
  return mWorld.mNow - since > kContact &&
         !mWorld.At(aAddress).mState.mStopping &&
         mWorld.mCutFromControl.count(aAddress) == 0 && IsThere(aAddress);
}

bool FleetCalm::IsLost(const std::string& aAddress)
{
  const Micros since = Since(aAddress, ConditionOf(aAddress));
  return !IsThere(aAddress) || mWorld.mNow - since < kCatchUp;
}

bool FleetCalm::IsGroupCalm(const std::vector<std::string>& aControl,
                            const std::string& aCuts)
{
  std::string all = aCuts;
  int lost = mUnreplaced;
  for (const std::string& address : aControl) {
    all += ConditionOf(address) + ";";
    lost += IsLost(address) ? 1 : 0;
  }
  lost += static_cast<int>(
    std::count_if(mReplacedAt.begin(), mReplacedAt.end(), [this](Micros aAt) {
      return mWorld.mNow - aAt < kCatchUp;
    }));
  const Micros since = Since("group", all);
  return aCuts.empty() && lost <= mTolerated && mWorld.mNow - since > kContact;
}

} // namespace geraniumpond::fakes
