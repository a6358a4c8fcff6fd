#include "latency.h"

#include <algorithm>
#include <limits>

namespace geraniumpond::routing {

namespace {

// Smallest share of an attempt's latency that is assumed to remain.
constexpr double kMinRemainingShare = 0.25;
// Relative difference below which scores are ties.
constexpr double kTieTolerance = 1e-9;
// Smallest share of its slots that a target gets during its slow start.
constexpr double kSlowStartFloor = 0.1;

// Share of its slots that a target gets during its slow start.
double SlowStartShare(const TargetSet& aSet,
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

// Expected time until a slot becomes free. Service times are unknown, so that
// a share of the smoothed latency or of the age is always assumed to remain.
double Remaining(const TargetSet& aSet,
                 const Target& aTarget,
                 double aOthers,
                 double aLatency,
                 Micros aNow) noexcept
{
  double remaining = aLatency;
  if (!aTarget.mRunning.empty()) {
    const Running& oldest = aTarget.mRunning.front();
    const double usual = aTarget.mSlowness * TypicalLatency(aSet, oldest.mKind);
    const auto age = static_cast<double>(aNow - oldest.mStartedAt);
    remaining =
      std::max(usual - age, kMinRemainingShare * std::max(usual, age));
  }
  return std::min(remaining, aLatency / (aOthers + 1.0));
}

double SlotWait(const TargetSet& aSet,
                const Target& aTarget,
                double aExcess,
                double aSlots,
                double aLatency,
                Micros aNow) noexcept
{
  if (aExcess <= 0) {
    return 0;
  }
  const double others = OthersInFlight(aSet, aTarget, aNow);
  const double first = Remaining(aSet, aTarget, others, aLatency, aNow);
  // Other entries' work is an estimate, so that an excess below one attempt is
  // taken as the probability of a wait.
  return aExcess < 1 ? aExcess * first
                     : first + (aExcess - 1.0) / aSlots * aLatency;
}

bool Excluded(const std::vector<std::string>& aExclude,
              const std::string& aId) noexcept
{
  return std::find(aExclude.begin(), aExclude.end(), aId) != aExclude.end();
}

int BulkRunning(const Target& aTarget) noexcept
{
  return static_cast<int>(
    std::count_if(aTarget.mRunning.begin(),
                  aTarget.mRunning.end(),
                  [](const Running& aRunning) { return aRunning.mBulk; }));
}

} // namespace

double Score(const TargetSet& aSet,
             const Target& aTarget,
             const AttemptSpec& aSpec,
             Micros aNow) noexcept
{
  const Rules& rules = aSet.mRules;
  const double slots = aTarget.mSlots * SlowStartShare(aSet, aTarget, aNow);
  const double work = static_cast<double>(aTarget.mRunning.size()) +
                      OthersInFlight(aSet, aTarget, aNow) + 1.0;
  const double latency = ExpectedLatency(aSet, aTarget, aSpec.mKind, aNow);
  double score = latency * (1.0 + rules.mInFlightWeight * work / slots);
  score += rules.mWaitWeight *
           SlotWait(aSet, aTarget, work - slots, slots, latency, aNow);
  if (!aTarget.mPreferred) {
    score += rules.mNonPreferredPenalty * TypicalLatency(aSet, aSpec.mKind);
  }
  if (aTarget.mDataCentre != aSet.mDataCentre) {
    score += static_cast<double>(rules.mRemotePenalty);
  }
  return score;
}

bool HasRoom(const TargetSet& aSet,
             const Target& aTarget,
             const AttemptSpec& aSpec,
             Micros aNow) noexcept
{
  if (aTarget.mDraining || IsEjected(aTarget, aNow)) {
    return false;
  }
  if (OnProbation(aTarget)) {
    return aTarget.mRunning.empty();
  }
  const int running = static_cast<int>(aTarget.mRunning.size());
  if (aSpec.mBulk) {
    return running < aTarget.mSlots &&
           BulkRunning(aTarget) < std::max(aTarget.mSlots - 1, 1);
  }
  return running < aTarget.mSlots + aSet.mRules.mMaxQueued;
}

std::optional<std::size_t> Pick(const TargetSet& aSet,
                                Micros aNow,
                                std::uint64_t aRandom,
                                const AttemptSpec& aSpec,
                                const std::vector<std::string>& aExclude)
{
  std::optional<std::size_t> best;
  double bestScore = std::numeric_limits<double>::infinity();
  std::uint64_t ties = 0;
  for (std::size_t i = 0; i < aSet.mTargets.size(); ++i) {
    const Target& target = aSet.mTargets[i];
    if (!HasRoom(aSet, target, aSpec, aNow) || Excluded(aExclude, target.mId)) {
      continue;
    }
    const double score = Score(aSet, target, aSpec, aNow);
    if (score < bestScore * (1.0 - kTieTolerance)) {
      best = i;
      bestScore = score;
      ties = 1;
      continue;
    }
    if (score <= bestScore * (1.0 + kTieTolerance)) {
      // Reservoir sampling among ties; one seed serves the whole scan.
      ++ties;
      aRandom = aRandom * 6364136223846793005ULL + 1442695040888963407ULL;
      if ((aRandom >> 33) % ties == 0) {
        best = i;
      }
    }
  }
  return best;
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
