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
constexpr double kRetryDeviations = 4;
/// Smoothing gain of the share of retries, and the share above which clients
/// are assumed to have changed their timeouts: normally each retry follows a
/// first try.
constexpr double kRetryShareGain = 0.02;
constexpr double kMaxRetryShare = 0.6;

void ResetStatistics(PatienceStatistics& aStatistics) noexcept
{
  aStatistics = PatienceStatistics();
}

} // namespace

bool IsClientRetry(const PatienceStatistics& aStatistics,
                   Micros aPatience,
                   Micros aObjective) noexcept
{
  const double apart = std::max(static_cast<double>(aObjective),
                                kRetryDeviations * aStatistics.mDeviation);
  return aStatistics.mSampleCount > 0 && aPatience > 0 &&
         static_cast<double>(aPatience) < aStatistics.mMean - apart;
}

void LearnPatience(PatienceStatistics& aStatistics,
                   Micros aPatience,
                   Micros aObjective) noexcept
{
  if (aPatience <= 0) {
    return;
  }
  const bool isReturn = IsClientRetry(aStatistics, aPatience, aObjective);
  aStatistics.mRetryShare +=
    kRetryShareGain * ((isReturn ? 1 : 0) - aStatistics.mRetryShare);
  if (aStatistics.mRetryShare > kMaxRetryShare) {
    ResetStatistics(aStatistics);
  } else if (isReturn) {
    return;
  }
  ++aStatistics.mSampleCount;
  const double gain = std::max(kPatienceGain, 1.0 / aStatistics.mSampleCount);
  const double off = static_cast<double>(aPatience) - aStatistics.mMean;
  aStatistics.mMean += gain * off;
  // A single sample has no deviation.
  const double deviation = aStatistics.mSampleCount > 1 ? std::abs(off) : 0;
  aStatistics.mDeviation += gain * (deviation - aStatistics.mDeviation);
}

bool IsReturn(const Request& aRequest) noexcept
{
  return aRequest.mObjectiveAt <= aRequest.mArrivedAt;
}

} // namespace geraniumpond::dispatch
