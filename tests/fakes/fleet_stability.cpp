#include "fakes/fleet_stability.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

/// Time within which undisturbed hosts exchange messages again.
constexpr Micros kContactTime = 3 * kSecond;
/// Time within which a restarted or new control host catches up.
constexpr Micros kCatchUpTime = 4 * kSecond;
/// Time within which a leader takes a lost voter out.
constexpr Micros kRemovalTime = 4 * kSecond;

} // namespace

FleetStability::FleetStability(FleetSimulation& aSimulation, int aTolerated)
  : mSimulation(aSimulation)
  , mTolerated(aTolerated)
{
}

void FleetStability::RecordReplacement()
{
  mUnreplaced = std::max(0, mUnreplaced - 1);
  mReplacedAt.push_back(mSimulation.mNow);
}

std::string FleetStability::ConditionOf(const std::string& aAddress) const
{
  const FleetNode& node = mSimulation.At(aAddress);
  return std::to_string(node.mAlive ? node.mSettings.mIncarnation : 0) +
         (node.mState.mStopping ? " stopping" : "") +
         (mSimulation.mIsolated.count(aAddress) != 0 ? " isolated" : "") +
         (mSimulation.mSuspended.count(aAddress) != 0 ? " suspended" : "") +
         (mSimulation.mStalledDisks.count(aAddress) != 0 ? " stalled" : "") +
         (mSimulation.mIsolatedFromControl.count(aAddress) != 0
            ? " isolated from control"
            : "");
}

bool FleetStability::IsReachable(const std::string& aAddress) const
{
  return mSimulation.At(aAddress).mAlive &&
         mSimulation.mIsolated.count(aAddress) == 0 &&
         mSimulation.mSuspended.count(aAddress) == 0 &&
         mSimulation.mStalledDisks.count(aAddress) == 0;
}

Micros FleetStability::UnchangedSince(const std::string& aKey,
                                      const std::string& aCondition)
{
  Condition& known = mConditions[aKey];
  if (known.mText != aCondition) {
    known = { aCondition, mSimulation.mNow };
  }
  return known.mSince;
}

bool FleetStability::IsHostStable(const std::string& aAddress)
{
  const Micros since = UnchangedSince(aAddress, ConditionOf(aAddress));
  return mSimulation.mNow - since > kContactTime &&
         !mSimulation.At(aAddress).mState.mStopping &&
         mSimulation.mIsolatedFromControl.count(aAddress) == 0 &&
         IsReachable(aAddress);
}

bool FleetStability::IsCountedAsLost(const std::string& aAddress)
{
  const Micros since = UnchangedSince(aAddress, ConditionOf(aAddress));
  return !IsReachable(aAddress) || mSimulation.mNow - since < kCatchUpTime;
}

// Without a leader nobody can take the voter out.
int FleetStability::RemovalsUnderWay()
{
  const Micros passed = mSimulation.mNow - mCheckedAt;
  mCheckedAt = mSimulation.mNow;
  const bool led = !mSimulation.Leader().empty();
  int underWay = 0;
  for (Micros& time : mRemovals) {
    time += led ? passed : 0;
    underWay += time < kRemovalTime ? 1 : 0;
  }
  return underWay;
}

bool FleetStability::IsGroupStable(const std::vector<std::string>& aControl,
                                   const std::string& aPartition)
{
  std::string all = aPartition;
  int lost = mUnreplaced + RemovalsUnderWay();
  for (const std::string& address : aControl) {
    all += ConditionOf(address) + ";";
    lost += IsCountedAsLost(address) ? 1 : 0;
  }
  lost += static_cast<int>(
    std::count_if(mReplacedAt.begin(), mReplacedAt.end(), [this](Micros aAt) {
      return mSimulation.mNow - aAt < kCatchUpTime;
    }));
  const Micros since = UnchangedSince("group", all);
  return aPartition.empty() && lost <= mTolerated &&
         mSimulation.mNow - since > kContactTime;
}

} // namespace geraniumpond::fakes
