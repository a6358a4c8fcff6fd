#include <geraniumpond/fair_admission.h>

#include <algorithm>
#include <optional>

namespace geraniumpond::fair_admission {

namespace {

constexpr Micros kWindow = 1 * kSecond;
constexpr Micros kSlice = 200 * kMillisecond;
/// Sums older than this do not show the present load.
constexpr Micros kMaxAge = 1500 * kMillisecond;
/// Less urgent requests are never all refused.
constexpr double kMinShare = 0.2;
/// Shares of the urgent requests that lack room above which others are held
/// back, and below which they are admitted again.
constexpr double kHighLacking = 0.08;
constexpr double kLowLacking = 0.03;
/// A smaller number of requests may lack room by chance.
constexpr std::uint32_t kMinLacking = 8;
/// Intervals between two decreases, and between two increases, of a share: the
/// effect of a decrease shows in the sums after about this time.
constexpr Micros kLowerInterval = 700 * kMillisecond;
constexpr Micros kRaiseInterval = 300 * kMillisecond;
/// Requests by which the admitted ones are reduced for each one that lacks
/// room; the largest decrease of a share in one step; and its increase.
constexpr double kReductionPerLacking = 2;
constexpr double kMaxDecrease = 0.4;
constexpr double kIncrease = 0.04;

Demand& Current(Window& aWindow, Micros aNow)
{
  while (!aWindow.mSlices.empty() &&
         aNow - aWindow.mSlices.front().mStart >= kWindow) {
    aWindow.mSlices.pop_front();
  }
  if (aWindow.mSlices.empty() ||
      aNow - aWindow.mSlices.back().mStart >= kSlice) {
    aWindow.mSlices.push_back({ aNow, {} });
  }
  return aWindow.mSlices.back().mDemand;
}

double ShareOf(const Threshold& aThreshold, int aPriority)
{
  const auto found = aThreshold.mShares.find(aPriority);
  return found == aThreshold.mShares.end() ? 1 : found->second;
}

bool Lacks(const Demand& aDemand, double aShare)
{
  return aDemand.mLacking >= kMinLacking &&
         aDemand.mLacking > aShare * aDemand.mArrived;
}

Demand SumBefore(const Levels& aLevels, int aPriority)
{
  Demand sum;
  for (const auto& [priority, demand] : aLevels) {
    if (priority >= aPriority) {
      break;
    }
    sum.mArrived += demand.mArrived;
    sum.mLacking += demand.mLacking;
  }
  return sum;
}

// The least urgent priority that can still make room for more urgent ones.
std::optional<int> LevelToLower(const Threshold& aThreshold,
                                const Levels& aLevels)
{
  for (auto level = aLevels.rbegin(); level != aLevels.rend(); ++level) {
    if (level->second.mArrived > 0 &&
        ShareOf(aThreshold, level->first) > kMinShare &&
        Lacks(SumBefore(aLevels, level->first), kHighLacking)) {
      return level->first;
    }
  }
  return std::nullopt;
}

void Lower(Threshold& aThreshold, const Levels& aLevels, int aPriority)
{
  const double lacking = SumBefore(aLevels, aPriority).mLacking;
  const double step =
    std::min(kMaxDecrease,
             kReductionPerLacking * lacking / aLevels.at(aPriority).mArrived);
  aThreshold.mShares[aPriority] =
    std::max(kMinShare, ShareOf(aThreshold, aPriority) - step);
}

// The most urgent priority is admitted again first.
void Raise(Threshold& aThreshold, const Levels& aLevels)
{
  const auto first = aThreshold.mShares.begin();
  if (first == aThreshold.mShares.end() ||
      Lacks(SumBefore(aLevels, first->first), kLowLacking)) {
    return;
  }
  first->second += kIncrease;
  if (first->second >= 1) {
    aThreshold.mShares.erase(first);
  }
}

} // namespace

void CountArrival(Window& aWindow, Micros aNow)
{
  ++Current(aWindow, aNow).mArrived;
}

void CountLacking(Window& aWindow, Micros aNow)
{
  ++Current(aWindow, aNow).mLacking;
}

Demand DemandOf(const Window& aWindow, Micros aNow)
{
  Demand sum;
  for (const Window::Slice& slice : aWindow.mSlices) {
    if (aNow - slice.mStart < kWindow) {
      sum.mArrived += slice.mDemand.mArrived;
      sum.mLacking += slice.mDemand.mLacking;
    }
  }
  return sum;
}

bool UpdateThreshold(Threshold& aThreshold,
                     const Levels& aLevels,
                     Micros aToldAt,
                     Micros aNow)
{
  if (aToldAt <= aThreshold.mToldAt || aNow - aToldAt > kMaxAge) {
    return false;
  }
  if (aNow - aThreshold.mToldAt > kMaxAge) {
    // All have been admitted since.
    aThreshold.mShares.clear();
  }
  aThreshold.mToldAt = aToldAt;
  const std::map<int, double> before = aThreshold.mShares;
  const std::optional<int> level = LevelToLower(aThreshold, aLevels);
  const Micros changedAt =
    std::max(aThreshold.mRaisedAt, aThreshold.mLoweredAt);
  if (level && aNow - aThreshold.mLoweredAt >= kLowerInterval) {
    Lower(aThreshold, aLevels, *level);
    aThreshold.mLoweredAt = aNow;
  } else if (!level && aNow - changedAt >= kRaiseInterval) {
    Raise(aThreshold, aLevels);
    aThreshold.mRaisedAt = aNow;
  }
  return aThreshold.mShares != before;
}

double AdmittedShare(const Threshold& aThreshold, int aPriority, Micros aNow)
{
  if (aNow - aThreshold.mToldAt > kMaxAge) {
    return 1;
  }
  return ShareOf(aThreshold, aPriority);
}

} // namespace geraniumpond::fair_admission
