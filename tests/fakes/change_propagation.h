#pragma once

#include "fakes/fleet_simulation.h"

#include <cstdint>
#include <set>
#include <string>

/// \brief How long a change takes from its acknowledgement until it is in force
/// at every host of a fleet, while something is done to others.
namespace geraniumpond::fakes {

/// \brief What is done to hosts without a disk beside a change.
enum class HostFault
{
  None,
  IsolatedFromControl,
  Frozen,
  LosePower,
};

/// \brief Name of a fault, for tables.
[[nodiscard]] const char* ToString(HostFault aFault) noexcept;

struct ChangeScenario
{
  int mDataCentres = 3;
  int mHostsWithoutDisk = 94;
  HostFault mFault = HostFault::None;
  /// Of the hosts without a disk; 0 for one that others follow.
  int mPercent = 0;
};

/// \brief What was measured over some changes.
struct ChangeMeasurement
{
  /// RunUntil all hosts to which nothing was done have the change.
  Micros mSlowest = 0;
  /// Questions for the group's word, over all hosts and changes.
  std::uint64_t mGroupStatusQueries = 0;
  int mTreeDepth = 0;
};

/// \brief Founds a fleet and changes its policy so many times, at any moment
/// between two reports, just before or just after the fault begins.
[[nodiscard]] ChangeMeasurement MeasureChanges(const ChangeScenario& aScenario,
                                               int aChanges,
                                               std::uint64_t aSeed);

} // namespace geraniumpond::fakes
