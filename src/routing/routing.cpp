#include <geraniumpond/routing.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace geraniumpond::routing {

namespace {
// A failure counts as this many median latencies, so that a target that fails
// fast looks slow rather than idle.
constexpr double kFailurePenalty = 10.0;
// Latencies above this many medians fade back towards the median.
constexpr double kOutlier = 2.0;
constexpr double kDefaultLatency = 20.0 * kMillisecond;
// Part of an attempt's time that is always taken to remain.
constexpr double kLeastRemaining = 0.25;
// Scores within this fraction of the best are ties.
constexpr double kTie = 1e-9;
// A target is never held back below this share by its slow start.
constexpr double kSlowStartFloor = 0.1;

double Fade(Micros aAge, Micros aHalfLife) noexcept
{
  if (aAge <= 0) {
    return 1.0;
  }
  return std::exp2(-static_cast<double>(aAge) / static_cast<double>(aHalfLife));
}

double BaseLatency(const TargetSet& aSet) noexcept
{
  return aSet.mMedianLatency > 0 ? aSet.mMedianLatency : kDefaultLatency;
}

// An attempt that is already older than the smoothed latency is itself a
// sample: a target that has just become slow shows before any answer does.
double Latency(const TargetSet& aSet,
               const Target& aTarget,
               Micros aNow) noexcept
{
  const double base = BaseLatency(aSet);
  double latency = aTarget.mLatency > 0 ? aTarget.mLatency : base;
  const double usual = base * kOutlier;
  if (latency > usual && aTarget.mRunning.empty()) {
    const double fade =
      Fade(aNow - aTarget.mSampledAt, aSet.mRules.mLatencyHalfLife);
    latency = usual + (latency - usual) * fade;
  }
  if (!aTarget.mRunning.empty()) {
    const auto age =
      static_cast<double>(aNow - aTarget.mRunning.front().mStartedAt);
    latency = std::max(latency, age);
  }
  return latency;
}

double Others(const TargetSet& aSet,
              const Target& aTarget,
              Micros aNow) noexcept
{
  return aTarget.mOthers *
         Fade(aNow - aTarget.mReportedAt, aSet.mRules.mReportHalfLife);
}

// Share of its full work that a target that has just started may get.
double Warmth(const TargetSet& aSet,
              const Target& aTarget,
              Micros aNow) noexcept
{
  const Micros age = aNow - aTarget.mStartedAt;
  if (aSet.mRules.mSlowStart <= 0 || age >= aSet.mRules.mSlowStart) {
    return 1.0;
  }
  const double share = static_cast<double>(std::max<Micros>(age, 0)) /
                       static_cast<double>(aSet.mRules.mSlowStart);
  return std::max(kSlowStartFloor, share);
}

// Time until the oldest attempt here frees its slot. Service times are never
// known, so that some of the smoothed latency or of the age always remains.
double Remaining(const Target& aTarget,
                 double aOthers,
                 double aLatency,
                 Micros aNow) noexcept
{
  double remaining = aLatency;
  if (!aTarget.mRunning.empty()) {
    const auto age =
      static_cast<double>(aNow - aTarget.mRunning.front().mStartedAt);
    remaining =
      std::max(aLatency - age, kLeastRemaining * std::max(aLatency, age));
  }
  return std::min(remaining, aLatency / (aOthers + 1.0));
}

double ExpectedWait(const Target& aTarget,
                    double aWork,
                    double aSlots,
                    double aOthers,
                    double aLatency,
                    Micros aNow) noexcept
{
  const double excess = aWork - aSlots;
  if (excess <= 0) {
    return 0;
  }
  const double first = Remaining(aTarget, aOthers, aLatency, aNow);
  // Others' work is an estimate: less than one more than the slots hold means
  // that there may be a wait.
  return excess < 1 ? excess * first
                    : first + (excess - 1.0) / aSlots * aLatency;
}

bool IsEjected(const Target& aTarget, Micros aNow) noexcept
{
  return aTarget.mEjectedUntil > aNow;
}

// After its ejection a target is on probation until one attempt succeeds.
bool OnProbation(const Target& aTarget) noexcept
{
  return aTarget.mEjectedUntil > 0;
}

bool Excluded(const std::vector<std::string>& aExclude,
              const std::string& aId) noexcept
{
  return std::find(aExclude.begin(), aExclude.end(), aId) != aExclude.end();
}

void UpdateMedian(TargetSet& aSet)
{
  std::vector<double> samples;
  samples.reserve(aSet.mTargets.size());
  for (const Target& target : aSet.mTargets) {
    if (target.mLatency > 0) {
      samples.push_back(target.mLatency);
    }
  }
  if (samples.empty()) {
    return;
  }
  const auto middle =
    samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  aSet.mMedianLatency = *middle;
}

void Eject(TargetSet& aSet, Target& aTarget, Micros aNow)
{
  const double after =
    EjectedShare(aSet, aNow) + 1.0 / static_cast<double>(aSet.mTargets.size());
  if (after > aSet.mRules.mMaxEjected && !OnProbation(aTarget)) {
    return;
  }
  const Micros length = aSet.mRules.mEjection
                        << std::min(aTarget.mEjections, 4);
  aTarget.mEjectedUntil = aNow + std::min(length, aSet.mRules.mMaxEjection);
  ++aTarget.mEjections;
  aTarget.mFailures = 0;
}

void TakeSample(TargetSet& aSet, Target& aTarget, double aSample, Micros aNow)
{
  // The first samples count in full, so that a new target is known soon.
  const double weight =
    std::max(aSet.mRules.mSmoothing, 1.0 / (aTarget.mSamples + 1));
  const double known =
    aTarget.mSamples == 0 ? aSample : Latency(aSet, aTarget, aNow);
  aTarget.mLatency = known + weight * (aSample - known);
  aTarget.mSampledAt = aNow;
  aTarget.mSamples = std::min(aTarget.mSamples + 1, 1000);
  UpdateMedian(aSet);
}

void TakeFailure(TargetSet& aSet, Target& aTarget, double aSample, Micros aNow)
{
  const double slow = std::max(aSample, kFailurePenalty * BaseLatency(aSet));
  aTarget.mLatency = std::max(aTarget.mLatency, slow);
  aTarget.mSampledAt = aNow;
  ++aTarget.mFailures;
  if (aTarget.mProbing || aTarget.mFailures >= aSet.mRules.mFailuresToEject) {
    Eject(aSet, aTarget, aNow);
  }
}

void TakeSuccess(TargetSet& aSet, Target& aTarget, double aSample, Micros aNow)
{
  aTarget.mFailures = 0;
  if (OnProbation(aTarget)) {
    aTarget.mEjectedUntil = 0;
    aTarget.mEjections = 0;
    aTarget.mSamples = 0;
  }
  TakeSample(aSet, aTarget, aSample, aNow);
}

} // namespace

double Score(const TargetSet& aSet, const Target& aTarget, Micros aNow) noexcept
{
  const Rules& rules = aSet.mRules;
  const double slots = aTarget.mSlots * Warmth(aSet, aTarget, aNow);
  const double others = Others(aSet, aTarget, aNow);
  const double work =
    static_cast<double>(aTarget.mRunning.size()) + others + 1.0;
  const double latency = Latency(aSet, aTarget, aNow);
  double score = latency * (1.0 + rules.mCrowding * work / slots);
  score += rules.mWaitWeight *
           ExpectedWait(aTarget, work, slots, others, latency, aNow);
  if (!aTarget.mHome) {
    score += rules.mAwayPenalty * BaseLatency(aSet);
  }
  if (aTarget.mDataCentre != aSet.mDataCentre) {
    score += static_cast<double>(rules.mDistance);
  }
  return score;
}

bool HasRoom(const TargetSet& aSet, const Target& aTarget, Micros aNow) noexcept
{
  if (aTarget.mDraining || IsEjected(aTarget, aNow)) {
    return false;
  }
  if (OnProbation(aTarget)) {
    return aTarget.mRunning.empty();
  }
  const int room = aTarget.mSlots + aSet.mRules.mExtra;
  return static_cast<int>(aTarget.mRunning.size()) < room;
}

std::optional<std::size_t> Pick(const TargetSet& aSet,
                                Micros aNow,
                                std::uint64_t aRandom,
                                const std::vector<std::string>& aExclude)
{
  std::optional<std::size_t> best;
  double bestScore = std::numeric_limits<double>::infinity();
  std::uint64_t ties = 0;
  for (std::size_t i = 0; i < aSet.mTargets.size(); ++i) {
    const Target& target = aSet.mTargets[i];
    if (!HasRoom(aSet, target, aNow) || Excluded(aExclude, target.mId)) {
      continue;
    }
    const double score = Score(aSet, target, aNow);
    if (score < bestScore * (1.0 - kTie)) {
      best = i;
      bestScore = score;
      ties = 1;
      continue;
    }
    if (score <= bestScore * (1.0 + kTie)) {
      // Reservoir choice among equals, one random word for the whole scan.
      ++ties;
      aRandom = aRandom * 6364136223846793005ULL + 1442695040888963407ULL;
      if ((aRandom >> 33) % ties == 0) {
        best = i;
      }
    }
  }
  return best;
}

void Begin(TargetSet& aSet,
           std::size_t aIndex,
           std::uint64_t aAttempt,
           Micros aNow)
{
  Target& target = aSet.mTargets[aIndex];
  target.mRunning.push_back({ aAttempt, aNow });
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
  const auto running = std::find_if(
    target->mRunning.begin(),
    target->mRunning.end(),
    [&](const Running& aRunning) { return aRunning.mAttempt == aAttempt; });
  if (running == target->mRunning.end()) {
    return;
  }
  const auto sample = static_cast<double>(aNow - running->mStartedAt);
  target->mRunning.erase(running);
  switch (aVerdict) {
    case Verdict::Good:
      TakeSuccess(aSet, *target, sample, aNow);
      break;
    case Verdict::Failed:
      TakeFailure(aSet, *target, sample, aNow);
      break;
    case Verdict::Cancelled:
      // A loser of a hedge was at least this slow.
      if (sample > target->mLatency) {
        TakeSample(aSet, *target, sample, aNow);
      }
      break;
    case Verdict::Refused:
      // Full of other entries' work.
      target->mOthers =
        std::max(target->mOthers,
                 static_cast<double>(target->mSlots) -
                   static_cast<double>(target->mRunning.size()) + 1.0);
      target->mReportedAt = aNow;
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
  target->mOthers = std::max(0.0, static_cast<double>(aInFlight) - own);
  target->mReportedAt = aNow;
}

Target* Find(TargetSet& aSet, const std::string& aId) noexcept
{
  for (Target& target : aSet.mTargets) {
    if (target.mId == aId) {
      return &target;
    }
  }
  return nullptr;
}

double EjectedShare(const TargetSet& aSet, Micros aNow) noexcept
{
  if (aSet.mTargets.empty()) {
    return 0;
  }
  const auto ejected = std::count_if(
    aSet.mTargets.begin(), aSet.mTargets.end(), [&](const Target& aTarget) {
      return IsEjected(aTarget, aNow);
    });
  return static_cast<double>(ejected) /
         static_cast<double>(aSet.mTargets.size());
}

int Capacity(const TargetSet& aSet, Micros aNow) noexcept
{
  int slots = 0;
  for (const Target& target : aSet.mTargets) {
    if (!target.mDraining && !IsEjected(target, aNow)) {
      slots += target.mSlots;
    }
  }
  return slots;
}

} // namespace geraniumpond::routing
