#pragma once

#include "fakes/fleet_simulation.h"

#include <geraniumpond/result.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

/// \brief Random fault schedules for a simulated fleet, generated from a seed.
/// After each schedule every acknowledged change must be present, and the
/// control group must tolerate as many losses as its settings say.
namespace geraniumpond::fakes {

/// \brief The action of a schedule step. "Control hosts" are hosts with a disk.
enum class FleetFault
{
  /// A control host stops gracefully and starts again.
  Restart,
  /// A new control host joins, then another one stops gracefully for good.
  ReplacePlanned,
  /// A control host is lost for good; a new one joins after a delay.
  ReplaceLost,
  /// A control host loses power and the content of its disk.
  LoseDisk,
  /// A host's process is killed; its disk is unchanged.
  Kill,
  /// A control host loses power, and with it the writes that were not synced.
  LosePower,
  /// All hosts lose power.
  LoseAllPower,
  /// All hosts lose power, and one of them the content of its disk; with
  /// FleetSchedule::mLoseToleratedDisks as many as are tolerated, the leader's
  /// first.
  LoseAllPowerAndOneDisk,
  /// A control host is isolated from all other hosts.
  IsolateHost,
  /// The control hosts are partitioned in two; the other hosts reach both
  /// parts.
  SplitControlHosts,
  /// About 40 % of the hosts without a disk are isolated from all control
  /// hosts.
  IsolateFromControl,
  /// The process of a control host is suspended.
  Suspend,
  /// A control host's disk completes no sync for a while.
  StallDisk,
  /// The settings of all hosts name other seeds from their next start on.
  ReplaceSeeds,
  /// All faults end; the guarantees that hold after recovery are checked.
  Settle,
};

/// \brief Name of a fault as schedules spell it.
[[nodiscard]] const char* ToString(FleetFault aFault) noexcept;

/// \brief A defect that is injected to show that the checks detect it.
enum class FleetDefect
{
  None,
  /// A power loss also loses the entry that a disk synced last.
  LosesSyncedWrites,
  /// Hosts are configured to tolerate no loss.
  ToleratesNoLoss,
  /// Leaders assume that a quorum follows them, without a confirmation.
  TrustsUnconfirmedLeader,
  /// Evacuations are acknowledged before a quorum has them.
  AcknowledgesEarly,
  /// A late evacuation is not compared with what is in force.
  IgnoresRevisions,
};

/// \brief The defect of this name; nothing for an unknown name.
[[nodiscard]] std::optional<FleetDefect> ParseFleetDefect(
  const std::string& aName);

/// \brief One step of a schedule.
struct FleetStep
{
  FleetFault mFault = FleetFault::Settle;
  /// Selects one of the eligible hosts, modulo their number.
  std::uint64_t mSelector = 0;
  Micros mDuration = 0;
  /// Delay before the next step.
  Micros mPause = 0;
};

struct FleetSchedule
{
  std::uint64_t mSeed = 0;
  int mHostsWithDisk = 3;
  int mHostsWithoutDisk = 3;
  int mTolerated = 1;
  FleetDefect mDefect = FleetDefect::None;
  /// Operators read the policy throughout the run.
  bool mReadPolicy = false;
  /// Operators evacuate data centres throughout the run.
  bool mEvacuate = false;
  /// Losses of all power take as many disks as the group tolerates.
  bool mLoseToleratedDisks = false;
  std::vector<FleetStep> mSteps;
};

/// \brief Generates the schedule of a seed.
[[nodiscard]] FleetSchedule MakeFleetSchedule(std::uint64_t aSeed);

/// \brief Runs a schedule; returns the violated guarantee, or an empty string.
/// Writes the steps and the log lines of the hosts to `aLog` unless it is null.
[[nodiscard]] std::string RunFleetSchedule(const FleetSchedule& aSchedule,
                                           std::ostream* aLog = nullptr);

/// \brief Removes steps from a failing schedule while it still fails.
[[nodiscard]] FleetSchedule ShrinkFleetSchedule(FleetSchedule aSchedule);

/// \brief Text of a schedule: its settings in one line, then one line a step.
[[nodiscard]] std::string Describe(const FleetSchedule& aSchedule);

/// \brief Parses the text that Describe() writes; lines that start with # are
/// comments.
[[nodiscard]] Result<FleetSchedule> ParseFleetSchedule(std::istream& aText);

} // namespace geraniumpond::fakes
