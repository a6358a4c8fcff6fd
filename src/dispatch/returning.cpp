#include "internal.h"

#include <algorithm>
#include <cmath>

// Detects requests that are a client's retries. Their objective counts from the
// first try, which a host does not see. But clients state their remaining
// timeout, and a client that has already waited states less than others on its
// route.
namespace geraniumpond::dispatch {

namespace {

/// Smoothing gain of the statistics of a route's first tries: about twenty
/// requests.
constexpr double kPatienceGain = 0.05;
/// A retry's timeout lies this many mean deviations below the mean of first
/// tries. For a uniform distribution that is as far below its minimum as the
/// minimum is below the mean.
constexpr double kApart = 4;
/// Smoothing gain of the share of retries, and the share above which clients
/// are assumed to have changed their timeouts: normally each retry follows a
/// first try.
constexpr double kReturnGain = 0.02;
constexpr double kChangedShare = 0.6;

void ResetStatistics(PatienceStatistics& aLearnt) noexcept
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
  return aLearnt.mSampleCount > 0 && aPatience > 0 &&
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
    ResetStatistics(aLearnt);
  } else if (isReturn) {
    return;
  }
  ++aLearnt.mSampleCount;
  const double gain = std::max(kPatienceGain, 1.0 / aLearnt.mSampleCount);
  const double off = static_cast<double>(aPatience) - aLearnt.mMean;
  aLearnt.mMean += gain * off;
  // A single sample has no deviation.
  const double deviation = aLearnt.mSampleCount > 1 ? std::abs(off) : 0;
  aLearnt.mDeviation += gain * (deviation - aLearnt.mDeviation);
}

} // namespace geraniumpond::dispatch
