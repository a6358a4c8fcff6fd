#pragma once

#include "fakes/fleet_simulation.h"

#include <cstdint>
#include <set>
#include <string>

/// \brief Measures the time from the acknowledgement of a change until it is in
/// force at all undisturbed hosts of a simulated fleet.
namespace geraniumpond::fakes {

/// \brief A fault of hosts without a disk while a change propagates.
enum class HostFault
{
  None,
  IsolatedFromControl,
  Suspended,
  LosePower,
};

/// \brief Name of a fault, for reports.
[[nodiscard]] const char* ToString(HostFault aFault) noexcept;

struct ChangeScenario
{
  int mDataCentres = 3;
  int mHostsWithoutDisk = 94;
  HostFault mFault = HostFault::None;
  /// Share of the hosts without a disk that have the fault; 0 for one relay.
  int mPercent = 0;
};

/// \brief Results over all changes of a measurement.
struct ChangeMeasurement
{
  /// Longest time until all hosts without a fault have the change.
  Micros mSlowest = 0;
  /// Queries for the control group's status, over all hosts and changes.
  std::uint64_t mGroupStatusQueries = 0;
  /// Most relays between a host and the control hosts.
  int mTreeDepth = 0;
};

/// \brief Starts a fleet and changes its policy `aChanges` times, each at a
/// random moment between two reports, just before or just after the fault
/// begins.
[[nodiscard]] ChangeMeasurement MeasureChanges(const ChangeScenario& aScenario,
                                               int aChanges,
                                               std::uint64_t aSeed);

} // namespace geraniumpond::fakes
