#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// \brief Selects a target for each attempt, from this entry's own
/// measurements and from load reports that decay with age.
namespace geraniumpond::routing {

/// \brief Outcome of an attempt, as routing distinguishes it.
enum class Verdict
{
  Good,
  Failed,
  Refused,
  Cancelled
};

/// \brief An attempt in flight on a target.
struct Running
{
  std::uint64_t mAttempt = 0;
  Micros mStartedAt = 0;
  /// Index of the kind among the service's kinds.
  std::size_t mKind = 0;
  bool mBulk = false;
};

/// \brief The work for which a target is selected.
struct AttemptSpec
{
  std::size_t mKind = 0;
  /// Bulk work uses free slots only, and never a target's last one.
  bool mBulk = false;
};

/// \brief The state that one entry keeps about one target.
struct Target
{
  std::string mId;
  std::string mAddress;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  int mSlots = 1;
  bool mDraining = false;
  /// Whether this entry prefers the target. Each target is assigned to one of
  /// the entries of its service, so that their first choices do not collide.
  bool mPreferred = true;
  Micros mStartedAt = 0;

  /// Attempts of this entry in flight, oldest first.
  std::deque<Running> mRunning;
  /// Smoothed ratio of latency to the kind's typical latency; 1 is average.
  double mSlowness = 1;
  Micros mSampledAt = 0;
  int mSamples = 0;

  /// Attempts of other entries in flight, according to the last report.
  double mOthersInFlight = 0;
  /// Average over many reports, towards which an old report decays.
  double mOthersAverage = 0;
  Micros mReportedAt = 0;

  int mFailures = 0;
  int mEjections = 0;
  Micros mEjectedUntil = 0;
  /// Set while an attempt probes a target after its ejection.
  bool mProbing = false;
};

/// \brief Parameters of target selection.
struct Rules
{
  /// Weight of a new latency sample.
  double mSmoothing = 0.1;
  /// Half-life of a report of other entries' work, which decays to their
  /// average work.
  Micros mReportHalfLife = 20 * kMillisecond;
  /// Half-life of the latency of an idle outlier.
  Micros mLatencyHalfLife = 1500 * kMillisecond;
  /// Consecutive failures that eject a target.
  int mFailuresToEject = 3;
  Micros mEjectionTime = 1500 * kMillisecond;
  Micros mMaxEjectionTime = 3 * kSecond;
  /// Largest share of targets ejected at the same time.
  double mMaxEjectedShare = 0.3;
  Micros mSlowStart = 10 * kSecond;
  /// Attempts beyond a target's slots that may queue at it.
  int mMaxQueued = 1;
  /// Added to the score of a target in another data centre.
  Micros mRemotePenalty = 3 * kMillisecond;
  /// Added for a target assigned to another entry, in typical latencies.
  double mNonPreferredPenalty = 1.5;
  /// Weight of work in flight on a target that still has free slots. Reports
  /// of other entries' work are late, so that an emptier target is safer.
  double mInFlightWeight = 0.5;
  /// Weight of the expected wait for a slot.
  double mWaitWeight = 2.0;
  /// Number of entries of the service, including this one.
  int mEntries = 1;
};

/// \brief An entry's state for the targets of one service.
struct TargetSet
{
  std::vector<Target> mTargets;
  std::string mDataCentre;
  Rules mRules;
  /// Typical latency of each kind in microseconds; 0 before the first sample.
  std::vector<double> mKindLatency;
};

/// \brief Index of the target with the lowest score, or nothing when none has
/// room.
///
/// `aExclude` lists the targets already tried for this request. `aRandom`
/// breaks ties, so that entries with the same state select different targets.
[[nodiscard]] std::optional<std::size_t> Pick(
  const TargetSet& aSet,
  Micros aNow,
  std::uint64_t aRandom,
  const AttemptSpec& aSpec,
  const std::vector<std::string>& aExclude);

/// \brief Cost in microseconds of one more attempt on a target; lower is
/// better.
[[nodiscard]] double Score(const TargetSet& aSet,
                           const Target& aTarget,
                           const AttemptSpec& aSpec,
                           Micros aNow) noexcept;

/// \brief Typical latency of a kind over all targets, in microseconds.
[[nodiscard]] double TypicalLatency(const TargetSet& aSet,
                                    std::size_t aKind) noexcept;

/// \brief True when a target accepts one more attempt from this entry.
[[nodiscard]] bool HasRoom(const TargetSet& aSet,
                           const Target& aTarget,
                           const AttemptSpec& aSpec,
                           Micros aNow) noexcept;

/// \brief Records that an attempt was sent.
void Begin(TargetSet& aSet,
           std::size_t aIndex,
           std::uint64_t aAttempt,
           const AttemptSpec& aSpec,
           Micros aNow);

/// \brief Records the end of an attempt and updates the target's statistics.
void Finish(TargetSet& aSet,
            const std::string& aTarget,
            std::uint64_t aAttempt,
            Verdict aVerdict,
            Micros aNow);

/// \brief Applies a target's report of its total work in flight.
void Report(TargetSet& aSet,
            const std::string& aTarget,
            std::uint32_t aInFlight,
            Micros aNow);

/// \brief The target with this id, or null.
[[nodiscard]] Target* Find(TargetSet& aSet, const std::string& aId) noexcept;

/// \brief Share of targets that are ejected, 0 to 1.
[[nodiscard]] double EjectedShare(const TargetSet& aSet, Micros aNow) noexcept;

/// \brief Total slots of the targets neither draining nor ejected.
[[nodiscard]] int Capacity(const TargetSet& aSet, Micros aNow) noexcept;

} // namespace geraniumpond::routing
