#include "internal.h"

#include <algorithm>
#include <cmath>

namespace geraniumpond::dispatch {

namespace {

/// A failing target is ranked as many times dearer at a failure share of 1.
constexpr double kFailureWeight = 8;
/// Smoothing of the failure share, and the time in which it halves.
constexpr double kFailureGain = 0.25;
constexpr Micros kFailureHalfLife = 4 * kSecond;
/// Crossing between data centres is as dear as this share of the work for a
/// small answer, and grows with its size: links between them are shared.
constexpr double kCrossingShare = 0.3;
constexpr double kCrossingBytes = 20000;
constexpr double kCrossingMax = 6;
/// An answer that takes longer than this on the own link is a large one.
constexpr Micros kSmallAnswerTime = 50 * kMillisecond;
/// Large answers that are on their way together take no longer than this on the
/// own link, unless one alone does: probes, policies and other answers wait
/// behind them.
constexpr Micros kLargeAnswersTime = 400 * kMillisecond;
/// A trip to another data centre and back.
constexpr Micros kCrossingTime = 3 * kMillisecond;

// An old report says as much as speeds that hold for their usual time let it.
double SlownessOf(const Target& aTarget,
                  const SpeedStatistics& aSpeeds,
                  Micros aNow) noexcept
{
  if (!aTarget.mReport) {
    return aSpeeds.mMean;
  }
  const double age = static_cast<double>(aNow - aTarget.mReportAt);
  const double trust = std::exp(-age / SpeedTime(aSpeeds));
  return aTarget.mReport->mSlowness * trust + aSpeeds.mMean * (1 - trust);
}

} // namespace

bool IsFresh(const Target& aTarget, Micros aNow) noexcept
{
  return aTarget.mReport && aNow - aTarget.mReportAt <= kFreshReport;
}

int Slots(const Target& aTarget) noexcept
{
  return std::max(1,
                  aTarget.mReport ? aTarget.mReport->mSlots : aTarget.mSlots);
}

int Occupancy(const Target& aTarget, Micros aNow) noexcept
{
  if (!aTarget.mReport || aNow - aTarget.mReportAt > 10 * kFreshReport) {
    return aTarget.mRunning;
  }
  const Report& report = *aTarget.mReport;
  return std::max(aTarget.mRunning,
                  report.mRunning + report.mWaiting + aTarget.mSentSince);
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
  if (aNow < aTarget.mWarmAt) {
    work *= service.mColdStretch;
  }
  const int slots = Slots(aTarget);
  const int occupancy = Occupancy(aTarget, aNow);
  double time = work;
  if (occupancy >= slots) {
    time += work * (occupancy - slots + 1) / slots;
  }
  time *= StretchAt(service.mCurve, occupancy, slots);
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

bool TellsOfRoom(const Report& aReport, const LoadCurve& aCurve) noexcept
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
  // Among equals the emptier one: the next request finds both usable.
  cost *= 1 + 0.05 * Occupancy(aTarget, aNow) / Slots(aTarget);
  return cost * (1 + kFailureWeight * FailureShare(aTarget, aNow));
}

double LargeBytes(const State& aState, const Need& aNeed) noexcept
{
  const double small = aState.mBounds.mLinkBytesPerSecond *
                       static_cast<double>(kSmallAnswerTime) / kSecond;
  return aNeed.mAnswerBytes > small ? aNeed.mAnswerBytes : 0;
}

bool FitsLink(const State& aState, const Need& aNeed) noexcept
{
  const double bytes = LargeBytes(aState, aNeed);
  const double most = aState.mBounds.mLinkBytesPerSecond *
                      static_cast<double>(kLargeAnswersTime) / kSecond;
  return bytes == 0 || aState.mLargeBytes == 0 ||
         aState.mLargeBytes + bytes <= most;
}

double FailureShare(const Target& aTarget, Micros aNow) noexcept
{
  const double age = static_cast<double>(aNow - aTarget.mFailedAt);
  return aTarget.mFailureShare * std::exp2(-age / kFailureHalfLife);
}

void NoteResult(Target& aTarget, bool aFailed, Micros aNow) noexcept
{
  const double share = FailureShare(aTarget, aNow);
  aTarget.mFailureShare = share + kFailureGain * ((aFailed ? 1 : 0) - share);
  aTarget.mFailedAt = aNow;
}

} // namespace geraniumpond::dispatch
