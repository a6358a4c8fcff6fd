#include "fakes/fleet_stability.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

/// Time in which hosts that were left alone hear of each other.
constexpr Micros kContact = 3 * kSecond;
/// Time in which a control host that is back, or new, has caught up.
constexpr Micros kCatchUp = 4 * kSecond;

} // namespace

FleetCalm::FleetCalm(FleetSimulation& aSimulation, int aTolerated)
  : mSimulation(aSimulation)
  , mTolerated(aTolerated)
{
}

void FleetCalm::Replace()
{
  mUnreplaced = std::max(0, mUnreplaced - 1);
  mReplacedAt.push_back(mSimulation.mNow);
}

std::string FleetCalm::ConditionOf(const std::string& aAddress) const
{
  const FleetNode& node = mSimulation.At(aAddress);
  return std::to_string(node.mAlive ? node.mSettings.mIncarnation : 0) +
         (node.mState.mStopping ? " stops" : "") +
         (mSimulation.mIsolated.count(aAddress) != 0 ? " cut" : "") +
         (mSimulation.mFrozen.count(aAddress) != 0 ? " frozen" : "") +
         (mSimulation.mStalledDisks.count(aAddress) != 0 ? " stalled" : "") +
         (mSimulation.mIsolatedFromControl.count(aAddress) != 0
            ? " cut from control"
            : "");
}

bool FleetCalm::IsThere(const std::string& aAddress) const
{
  return mSimulation.At(aAddress).mAlive &&
         mSimulation.mIsolated.count(aAddress) == 0 &&
         mSimulation.mFrozen.count(aAddress) == 0 &&
         mSimulation.mStalledDisks.count(aAddress) == 0;
}

Micros FleetCalm::Since(const std::string& aWho, const std::string& aCondition)
{
  Condition& known = mConditions[aWho];
  if (known.mText != aCondition) {
    known = { aCondition, mSimulation.mNow };
  }
  return known.mSince;
}

bool FleetCalm::IsCalm(const std::string& aAddress)
{
  const Micros since = Since(aAddress, ConditionOf(aAddress));
  return mSimulation.mNow - since > kContact &&
         !mSimulation.At(aAddress).mState.mStopping &&
         mSimulation.mIsolatedFromControl.count(aAddress) == 0 &&
         IsThere(aAddress);
}

bool FleetCalm::IsLost(const std::string& aAddress)
{
  const Micros since = Since(aAddress, ConditionOf(aAddress));
  return !IsThere(aAddress) || mSimulation.mNow - since < kCatchUp;
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
      return mSimulation.mNow - aAt < kCatchUp;
    }));
  const Micros since = Since("group", all);
  return aCuts.empty() && lost <= mTolerated &&
         mSimulation.mNow - since > kContact;
}

} // namespace geraniumpond::fakes
