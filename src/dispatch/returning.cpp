#include "internal.h"

#include <algorithm>
#include <cmath>

// Which requests are a client's later tries. Their objective counts from the
// first try, which a host cannot see; but a client says how long it still
// waits, and one that has waited already says less than others on its route.
namespace geraniumpond::dispatch {

namespace {

/// Smoothing of what is learnt of a route's first tries: some twenty requests.
constexpr double kPatienceGain = 0.05;
/// A return lies this many mean deviations below the mean of first tries: as
/// far below the least of evenly spread ones as that lies below the mean.
constexpr double kApart = 4;
/// Smoothing of the share of returns, and the share from which on clients have
/// changed their ways: each return follows a first try.
constexpr double kReturnGain = 0.02;
constexpr double kChangedShare = 0.6;

void Forget(PatienceStatistics& aLearnt) noexcept
{
  aLearnt = PatienceStatistics();
}

} // namespace

bool IsReturn(const PatienceStatistics& aLearnt,
              Micros aPatience,
              Micros aObjective) noexcept
{
  const double apart =
    std::max(static_cast<double>(aObjective), kApart * aLearnt.mDeviation);
  return aLearnt.mSeen > 0 && aPatience > 0 &&
         static_cast<double>(aPatience) < aLearnt.mMean - apart;
}

void LearnPatience(PatienceStatistics& aLearnt,
                   Micros aPatience,
                   Micros aObjective) noexcept
{
  if (aPatience <= 0) {
    return;
  }
  const bool isReturn = IsReturn(aLearnt, aPatience, aObjective);
  aLearnt.mReturnShare +=
    kReturnGain * ((isReturn ? 1 : 0) - aLearnt.mReturnShare);
  if (aLearnt.mReturnShare > kChangedShare) {
    Forget(aLearnt);
  } else if (isReturn) {
    return;
  }
  ++aLearnt.mSeen;
  const double gain = std::max(kPatienceGain, 1.0 / aLearnt.mSeen);
  const double off = static_cast<double>(aPatience) - aLearnt.mMean;
  aLearnt.mMean += gain * off;
  // The first one tells of no deviation.
  const double deviation = aLearnt.mSeen > 1 ? std::abs(off) : 0;
  aLearnt.mDeviation += gain * (deviation - aLearnt.mDeviation);
}

} // namespace geraniumpond::dispatch
