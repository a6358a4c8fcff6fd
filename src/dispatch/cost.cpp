#include "internal.h"

#include <geraniumpond/link.h>

#include <algorithm>
#include <cmath>

namespace geraniumpond::dispatch {

namespace {

/// At a failure share of 1 the cost of a target is multiplied by 1 plus this.
constexpr double kFailureWeight = 8;
/// Smoothing gain of the failure share, and its half-life.
constexpr double kFailureGain = 0.25;
constexpr Micros kFailureHalfLife = 4 * kSecond;
/// Cost of crossing between data centres, as a share of the service time: this
/// much for a small answer, growing with the size of the answer because links
/// between data centres are shared.
constexpr double kCrossingShare = 0.3;
constexpr double kCrossingBytes = 20000;
constexpr double kCrossingMax = 6;
/// Concurrent large answers may occupy the host's link for no longer than this,
/// unless a single one does: probes, policies and other answers queue behind
/// them.
constexpr Micros kLargeAnswersTime = 400 * kMillisecond;
/// Round-trip time to another data centre.
constexpr Micros kCrossingTime = 3 * kMillisecond;

// The weight of an old report decreases with its age, relative to the mean time
// for which targets keep their speed.
double SlownessOf(const Target& aTarget,
                  const SpeedStatistics& aSpeeds,
                  Micros aNow) noexcept
{
  if (!aTarget.mReport) {
    return aSpeeds.mMean;
  }
  const double age = static_cast<double>(aNow - aTarget.mReportAt);
  const double trust = std::exp(-age / MeanSpeedDuration(aSpeeds));
  return aTarget.mReport->mSlowness * trust + aSpeeds.mMean * (1 - trust);
}

} // namespace

bool IsFresh(const Target& aTarget, Micros aNow) noexcept
{
  return aTarget.mReport && aNow - aTarget.mReportAt <= kMaxReportAge;
}

int Slots(const Target& aTarget) noexcept
{
  return std::max(1,
                  aTarget.mReport ? aTarget.mReport->mSlots : aTarget.mSlots);
}

int Occupancy(const Target& aTarget, Micros aNow) noexcept
{
  if (!aTarget.mReport || aNow - aTarget.mReportAt > 10 * kMaxReportAge) {
    return aTarget.mRunning;
  }
  const Report& report = *aTarget.mReport;
  return std::max(aTarget.mRunning,
                  report.mRunning + report.mWaiting + aTarget.mSentSinceReport);
}

bool HasFreeSlot(const Target& aTarget, Micros aNow) noexcept
{
  return Occupancy(aTarget, aNow) < Slots(aTarget);
}

Micros ExpectedTime(const Target& aTarget,
                    const Need& aNeed,
                    Micros aNow) noexcept
{
  const Service& service = *aNeed.mService;
  double work = static_cast<double>(aNeed.mWork) *
                SlownessOf(aTarget, service.mSpeeds, aNow);
  if (IsCold(aTarget, aNow)) {
    work *= service.mColdLatencyFactor;
  }
  const int slots = Slots(aTarget);
  const int occupancy = Occupancy(aTarget, aNow);
  double time = work;
  if (occupancy >= slots) {
    time += work * (occupancy - slots + 1) / slots;
  }
  time *= LatencyFactorAt(service.mCurve, occupancy, slots);
  if (aTarget.mDataCentre != aNeed.mDataCentre) {
    time += static_cast<double>(kCrossingTime);
  }
  return static_cast<Micros>(time);
}

bool IsUncrowded(const Target& aTarget,
                 const LoadCurve& aCurve,
                 Micros aNow) noexcept
{
  const int limit = EfficientLimit(aCurve, Slots(aTarget));
  return Occupancy(aTarget, aNow) + 1 <= limit;
}

bool ShowsSpareCapacity(const Report& aReport, const LoadCurve& aCurve) noexcept
{
  const int occupancy = aReport.mRunning + aReport.mWaiting;
  return aReport.mSlowness <= kUsualSlowness &&
         occupancy + 1 <= EfficientLimit(aCurve, aReport.mSlots);
}

double CostOf(const Target& aTarget, const Need& aNeed, Micros aNow) noexcept
{
  double cost = static_cast<double>(ExpectedTime(aTarget, aNeed, aNow));
  if (aTarget.mDataCentre != aNeed.mDataCentre) {
    const double share = std::min(
      kCrossingMax, kCrossingShare + aNeed.mAnswerBytes / kCrossingBytes);
    cost += share * static_cast<double>(aNeed.mWork);
  }
  // Prefer the less loaded of equal targets, so that the next request finds
  // both usable.
  cost *= 1 + 0.05 * Occupancy(aTarget, aNow) / Slots(aTarget);
  return cost * (1 + kFailureWeight * FailureShare(aTarget, aNow));
}

double LargeBytes(const State& aState, const Need& aNeed) noexcept
{
  const double small =
    link::SmallAnswerBytes(aState.mBounds.mLinkBytesPerSecond);
  return aNeed.mAnswerBytes > small ? aNeed.mAnswerBytes : 0;
}

bool FitsLink(const State& aState, const Need& aNeed) noexcept
{
  const double bytes = LargeBytes(aState, aNeed);
  const double maxBytes = aState.mBounds.mLinkBytesPerSecond *
                          static_cast<double>(kLargeAnswersTime) / kSecond;
  return bytes == 0 || aState.mLargeBytes == 0 ||
         aState.mLargeBytes + bytes <= maxBytes;
}

double FailureShare(const Target& aTarget, Micros aNow) noexcept
{
  const double age = static_cast<double>(aNow - aTarget.mFailedAt);
  return aTarget.mFailureShare * std::exp2(-age / kFailureHalfLife);
}

void RecordResult(Target& aTarget, bool aFailed, Micros aNow) noexcept
{
  const double share = FailureShare(aTarget, aNow);
  aTarget.mFailureShare = share + kFailureGain * ((aFailed ? 1 : 0) - share);
  aTarget.mFailedAt = aNow;
}

} // namespace geraniumpond::dispatch
