#pragma once

#include "fakes/fleet_simulation.h"

#include <geraniumpond/result.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

/// \brief Schedules of faults around a control group, drawn by seed: what was
/// acknowledged must be there after each, and the group must tolerate again
/// what its settings say.
namespace geraniumpond::fakes {

/// \brief What a step does.
enum class FleetFault
{
  /// A control host is told to stop, ends and starts again.
  Restart,
  /// A newcomer joins, then a control host is told to stop and goes for good.
  ReplacePlanned,
  /// A control host goes for good; a newcomer joins after a while.
  ReplaceLost,
  /// A control host loses power and its disk.
  LoseDisk,
  /// A process ends; its disk is as it was.
  Kill,
  /// A control host loses power: what it had not synced is gone.
  LosePower,
  /// All hosts lose power.
  LoseAllPower,
  /// All hosts lose power, one of them its disk.
  LoseAllPowerAndOneDisk,
  /// A control host is cut off from all others.
  IsolateHost,
  /// The control hosts are cut into two halves; others reach both.
  SplitControlHosts,
  /// Four in ten hosts without a disk are cut off from all control hosts.
  IsolateFromControl,
  Freeze,
  /// A disk answers nothing for a while.
  StallDisk,
  /// The settings name other seeds from the next start on.
  ReplaceSeeds,
  /// Faults end, and what is promised is checked.
  Settle,
};

/// \brief Lower-case name of a fault.
[[nodiscard]] const char* ToString(FleetFault aFault) noexcept;

/// \brief A fault of the fleet itself, to show that the checks find it.
enum class FleetDefect
{
  None,
  /// A loss of power takes what a disk had synced last.
  LosesSyncedWrites,
  /// Hosts think that no loss need be tolerated.
  ToleratesNoLoss,
  /// Leaders take it for granted that a quorum follows them.
  TrustsUnconfirmedLeader,
};

/// \brief The plant of a name; nothing for an unknown one.
[[nodiscard]] std::optional<FleetDefect> ParseFleetDefect(
  const std::string& aName);

/// \brief One step of a schedule.
struct FleetStep
{
  FleetFault mFault = FleetFault::Settle;
  /// Which of the hosts that fit.
  std::uint64_t mSelector = 0;
  Micros mDuration = 0;
  /// Time until the next step.
  Micros mPause = 0;
};

struct FleetSchedule
{
  std::uint64_t mSeed = 0;
  int mHostsWithDisk = 3;
  int mHostsWithoutDisk = 3;
  int mTolerated = 1;
  FleetDefect mDefect = FleetDefect::None;
  /// Operators read the policy all along.
  bool mReadPolicy = false;
  std::vector<FleetStep> mSteps;
};

/// \brief The schedule of a seed.
[[nodiscard]] FleetSchedule MakeFleetSchedule(std::uint64_t aSeed);

/// \brief Plays a schedule; what was broken, empty when nothing was. Lines that
/// the hosts log and the steps that are taken go to a stream where one is
/// given.
[[nodiscard]] std::string RunFleetSchedule(const FleetSchedule& aSchedule,
                                           std::ostream* aLog = nullptr);

/// \brief The smallest part of a failing schedule that was found to fail.
[[nodiscard]] FleetSchedule ShrinkFleetSchedule(FleetSchedule aSchedule);

/// \brief A step a line.
[[nodiscard]] std::string Describe(const FleetSchedule& aSchedule);

/// \brief Reads what Describe() writes; lines that begin with # are skipped.
[[nodiscard]] Result<FleetSchedule> ParseFleetSchedule(std::istream& aText);

} // namespace geraniumpond::fakes
