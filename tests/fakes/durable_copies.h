#pragma once

#include "fakes/fleet_simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpond::fakes {

/// \brief Number of these hosts' disks whose synced part holds a policy
/// version, or a later state that contains it.
[[nodiscard]] int DurableCopies(const FleetSimulation& aSimulation,
                                const std::vector<std::string>& aHosts,
                                std::uint64_t aVersion);

} // namespace geraniumpond::fakes
