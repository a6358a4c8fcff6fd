#include "internal.h"

#include <algorithm>
#include <cmath>

// Statistics that a host learns of a service's targets from their answers and
// reports. Nothing is tuned to one deployment: initial values matter until
// about twenty answers have arrived, and old observations lose their weight
// within seconds.
namespace geraniumpond::dispatch {

namespace {

/// Smoothing gain: about twenty samples.
constexpr double kLearnGain = 0.05;
/// A single slow answer must not move an estimate by more than this factor.
constexpr double kMaxLatencyFactor = 4;
/// A concurrency below all slots must give this much more throughput: a smaller
/// gain is within the error of an estimate from twenty answers.
constexpr double kMinThroughputGain = 1.05;
/// Latency factor assumed for a full target before answers are known: between
/// targets that are unaffected by load and those that slow down. It weighs as
/// much as this many answers.
constexpr double kInitialLatencyFactor = 1.3;
constexpr int kInitialWeight = 2;
/// Ratio of two reported slownesses from which on the speed counts as changed.
constexpr double kSpeedChangeRatio = 1.2;
/// Speeds are assumed to last this long until changes are observed; a host sees
/// about a hundred pairs of reports a second.
constexpr double kInitialSpeedDuration = 400.0 * kMillisecond;
/// Reports further apart may hide changes in between.
constexpr Micros kMaxReportGap = 1 * kSecond;
/// Observed time that is kept: speeds of the last seconds count.
constexpr double kObservedTimeKept = 60.0 * kSecond;

// Until answers show it, using the last slot is never assumed to reduce
// throughput.
double InitialLatencyFactor(int aOccupancy, int aSlots) noexcept
{
  const bool fills = aOccupancy > 0 && aOccupancy + 1 >= aSlots;
  return fills ? std::min(kInitialLatencyFactor, 1 + 1.0 / aOccupancy) : 1;
}

std::size_t BucketOf(int aOccupancy, int aSlots) noexcept
{
  const auto buckets = static_cast<int>(kCurveBuckets);
  const int bucket = aOccupancy * buckets / std::max(1, aSlots);
  return static_cast<std::size_t>(std::clamp(bucket, 0, buckets - 1));
}

} // namespace

double LatencyFactorAt(const LoadCurve& aCurve,
                       int aOccupancy,
                       int aSlots) noexcept
{
  if (aOccupancy <= 0) {
    return 1;
  }
  const std::size_t bucket = BucketOf(aOccupancy, aSlots);
  double factor = InitialLatencyFactor(aOccupancy, aSlots);
  if (aCurve.mSampleCount[bucket] > 0) {
    factor = aCurve.mLatencyFactor[bucket];
  }
  for (std::size_t i = 1; i < bucket; ++i) {
    if (aCurve.mSampleCount[i] > 0) {
      factor = std::max(factor, aCurve.mLatencyFactor[i]);
    }
  }
  return std::max(1.0, factor);
}

// Queueing at the target is not included: a request queued there is later run
// with all slots occupied.
int EfficientLimit(const LoadCurve& aCurve, int aSlots) noexcept
{
  const double fullRate = aSlots / LatencyFactorAt(aCurve, aSlots - 1, aSlots);
  int best = aSlots;
  double bestRate = fullRate * kMinThroughputGain;
  for (int limit = 1; limit < aSlots; ++limit) {
    const double rate = limit / LatencyFactorAt(aCurve, limit - 1, aSlots);
    if (rate > bestRate) {
      best = limit;
      bestRate = rate;
    }
  }
  return best;
}

void LearnLatencyFactor(LoadCurve& aCurve,
                        int aOccupancy,
                        int aSlots,
                        double aRatio) noexcept
{
  const std::size_t bucket = BucketOf(aOccupancy, aSlots);
  double& factor = aCurve.mLatencyFactor[bucket];
  int& seen = aCurve.mSampleCount[bucket];
  if (seen == 0) {
    factor = InitialLatencyFactor(aOccupancy, aSlots);
  }
  ++seen;
  const double gain = std::max(kLearnGain, 1.0 / (seen + kInitialWeight));
  factor += gain * (std::min(aRatio, kMaxLatencyFactor) - factor);
}

void LearnSpeed(SpeedStatistics& aStatistics,
                const Report& aBefore,
                Micros aGap,
                const Report& aNow) noexcept
{
  aStatistics.mMean += kLearnGain * (aNow.mSlowness - aStatistics.mMean);
  if (aGap <= 0 || aGap > kMaxReportGap) {
    return;
  }
  const double ratio = aNow.mSlowness / aBefore.mSlowness;
  const bool changed =
    ratio > kSpeedChangeRatio || ratio * kSpeedChangeRatio < 1;
  aStatistics.mObservedTime += static_cast<double>(aGap);
  aStatistics.mChanges += changed ? 1 : 0;
  if (aStatistics.mObservedTime > kObservedTimeKept) {
    aStatistics.mObservedTime /= 2;
    aStatistics.mChanges /= 2;
  }
}

double MeanSpeedDuration(const SpeedStatistics& aStatistics) noexcept
{
  return (aStatistics.mObservedTime + kInitialSpeedDuration) /
         (aStatistics.mChanges + 1);
}

} // namespace geraniumpond::dispatch
