#include "latency.h"

#include <algorithm>
#include <cmath>

namespace geraniumpond::routing {

namespace {

// Least slowness of a target after a failure, in typical latencies, so that a
// target that fails fast looks slow rather than idle.
constexpr double kFailurePenalty = 10.0;
// Slowness above this is an outlier and decays to this value while idle.
constexpr double kOutlierSlowness = 2.0;
constexpr double kDefaultLatency = 20.0 * kMillisecond;
// Weight of one sample in the typical latency of its kind.
constexpr double kTypicalLatencyWeight = 0.01;
// Weight of one report in the average work of other entries.
constexpr double kReportWeight = 0.05;
constexpr int kMaxSamples = 1000;
constexpr int kMaxDoublings = 4;
// Tolerance for rounding, so that a share equal to the limit is allowed: in
// floating point, 0.2 + 0.1 is slightly more than 0.3, although three ejected
// targets of ten do not exceed a limit of 0.3.
constexpr double kRoundingTolerance = 1e-9;

double Decay(Micros aAge, Micros aHalfLife) noexcept
{
  if (aAge <= 0) {
    return 1.0;
  }
  return std::exp2(-static_cast<double>(aAge) / static_cast<double>(aHalfLife));
}

// The age of the oldest attempt is a lower bound on its latency, so that a
// target that has just become slow is detected before it answers.
double Slowness(const TargetSet& aSet,
                const Target& aTarget,
                Micros aNow) noexcept
{
  double slowness = aTarget.mSlowness;
  if (aTarget.mRunning.empty()) {
    if (slowness > kOutlierSlowness) {
      const double fade =
        Decay(aNow - aTarget.mSampledAt, aSet.mRules.mLatencyHalfLife);
      slowness = kOutlierSlowness + (slowness - kOutlierSlowness) * fade;
    }
    return slowness;
  }
  const Running& oldest = aTarget.mRunning.front();
  const auto age = static_cast<double>(aNow - oldest.mStartedAt);
  return std::max(slowness, age / TypicalLatency(aSet, oldest.mKind));
}

void UpdateTypicalLatency(TargetSet& aSet, std::size_t aKind, double aSample)
{
  if (aSet.mKindLatency.size() <= aKind) {
    aSet.mKindLatency.resize(aKind + 1);
  }
  double& usual = aSet.mKindLatency[aKind];
  usual =
    usual <= 0 ? aSample : usual + kTypicalLatencyWeight * (aSample - usual);
}

void RecordSample(const TargetSet& aSet,
                  Target& aTarget,
                  double aSlowness,
                  Micros aNow)
{
  // The first samples are averaged equally, so that the estimate for a new
  // target converges quickly.
  const double weight =
    std::max(aSet.mRules.mSmoothing, 1.0 / (aTarget.mSamples + 1));
  const double known =
    aTarget.mSamples == 0 ? aSlowness : Slowness(aSet, aTarget, aNow);
  aTarget.mSlowness = known + weight * (aSlowness - known);
  aTarget.mSampledAt = aNow;
  aTarget.mSamples = std::min(aTarget.mSamples + 1, kMaxSamples);
}

void Eject(const TargetSet& aSet, Target& aTarget, Micros aNow)
{
  const double after =
    EjectedShare(aSet, aNow) + 1.0 / static_cast<double>(aSet.mTargets.size());
  if (after > aSet.mRules.mMaxEjectedShare + kRoundingTolerance &&
      !OnProbation(aTarget)) {
    return;
  }
  const Micros length = aSet.mRules.mEjectionTime
                        << std::min(aTarget.mEjections, kMaxDoublings);
  aTarget.mEjectedUntil = aNow + std::min(length, aSet.mRules.mMaxEjectionTime);
  ++aTarget.mEjections;
  aTarget.mFailures = 0;
}

void RecordFailure(const TargetSet& aSet,
                   Target& aTarget,
                   double aSlowness,
                   Micros aNow)
{
  aTarget.mSlowness =
    std::max({ aTarget.mSlowness, aSlowness, kFailurePenalty });
  aTarget.mSampledAt = aNow;
  ++aTarget.mFailures;
  if (aTarget.mProbing || aTarget.mFailures >= aSet.mRules.mFailuresToEject) {
    Eject(aSet, aTarget, aNow);
  }
}

void RecordSuccess(const TargetSet& aSet,
                   Target& aTarget,
                   double aSlowness,
                   Micros aNow)
{
  aTarget.mFailures = 0;
  if (OnProbation(aTarget)) {
    aTarget.mEjectedUntil = 0;
    aTarget.mEjections = 0;
    aTarget.mSamples = 0;
  }
  RecordSample(aSet, aTarget, aSlowness, aNow);
}

// A refusal shows that other entries' work fills the target.
void RecordRefusal(Target& aTarget, Micros aNow)
{
  const double free = static_cast<double>(aTarget.mSlots) -
                      static_cast<double>(aTarget.mRunning.size());
  aTarget.mOthersInFlight = std::max(aTarget.mOthersInFlight, free + 1.0);
  aTarget.mReportedAt = aNow;
}

} // namespace

double TypicalLatency(const TargetSet& aSet, std::size_t aKind) noexcept
{
  const bool known =
    aKind < aSet.mKindLatency.size() && aSet.mKindLatency[aKind] > 0;
  return known ? aSet.mKindLatency[aKind] : kDefaultLatency;
}

double ExpectedLatency(const TargetSet& aSet,
                       const Target& aTarget,
                       std::size_t aKind,
                       Micros aNow) noexcept
{
  return Slowness(aSet, aTarget, aNow) * TypicalLatency(aSet, aKind);
}

double OthersInFlight(const TargetSet& aSet,
                      const Target& aTarget,
                      Micros aNow) noexcept
{
  const double fade =
    Decay(aNow - aTarget.mReportedAt, aSet.mRules.mReportHalfLife);
  const double usual = aTarget.mOthersAverage;
  return usual + (aTarget.mOthersInFlight - usual) * fade;
}

bool IsEjected(const Target& aTarget, Micros aNow) noexcept
{
  return aTarget.mEjectedUntil > aNow;
}

bool OnProbation(const Target& aTarget) noexcept
{
  return aTarget.mEjectedUntil > 0;
}

void Begin(TargetSet& aSet,
           std::size_t aIndex,
           std::uint64_t aAttempt,
           const AttemptSpec& aSpec,
           Micros aNow)
{
  Target& target = aSet.mTargets[aIndex];
  target.mRunning.push_back({ aAttempt, aNow, aSpec.mKind, aSpec.mBulk });
  if (OnProbation(target)) {
    target.mProbing = true;
  }
}

void Finish(TargetSet& aSet,
            const std::string& aTarget,
            std::uint64_t aAttempt,
            Verdict aVerdict,
            Micros aNow)
{
  Target* target = Find(aSet, aTarget);
  if (target == nullptr) {
    return;
  }
  const auto found = std::find_if(
    target->mRunning.begin(),
    target->mRunning.end(),
    [&](const Running& aRunning) { return aRunning.mAttempt == aAttempt; });
  if (found == target->mRunning.end()) {
    return;
  }
  const Running running = *found;
  const auto sample = static_cast<double>(aNow - running.mStartedAt);
  target->mRunning.erase(found);
  if (aVerdict == Verdict::Good) {
    UpdateTypicalLatency(aSet, running.mKind, sample);
  }
  const double slowness = sample / TypicalLatency(aSet, running.mKind);
  switch (aVerdict) {
    case Verdict::Good:
      RecordSuccess(aSet, *target, slowness, aNow);
      break;
    case Verdict::Failed:
      RecordFailure(aSet, *target, slowness, aNow);
      break;
    case Verdict::Cancelled:
      // A cancelled attempt would have taken at least this long.
      if (slowness > target->mSlowness) {
        RecordSample(aSet, *target, slowness, aNow);
      }
      break;
    case Verdict::Refused:
      RecordRefusal(*target, aNow);
      break;
  }
  target->mProbing = target->mProbing && !target->mRunning.empty();
}

void Report(TargetSet& aSet,
            const std::string& aTarget,
            std::uint32_t aInFlight,
            Micros aNow)
{
  Target* target = Find(aSet, aTarget);
  if (target == nullptr) {
    return;
  }
  const double own = static_cast<double>(target->mRunning.size());
  target->mOthersInFlight = std::max(0.0, static_cast<double>(aInFlight) - own);
  target->mOthersAverage +=
    kReportWeight * (target->mOthersInFlight - target->mOthersAverage);
  target->mReportedAt = aNow;
}

} // namespace geraniumpond::routing
