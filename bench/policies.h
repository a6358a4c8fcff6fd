#pragma once

#include "emulation.h"

#include <string>

namespace geraniumpond::bench {

/// \brief A way of choosing targets that a run is made with.
enum class Policy
{
  Random,
  RoundRobin,
  LeastReported,
  LeastInFlight,
  /// Own work times smoothed latency, no waiting at the entry.
  PowerOfTwo,
  /// This project's reducers, one per entry.
  Reducer,
  /// One queue with perfect knowledge that refills a freed slot at once.
  Ideal,
};

[[nodiscard]] const char* ToString(Policy aPolicy) noexcept;

/// \brief Runs a scenario with a policy on fresh targets.
[[nodiscard]] Emulation RunPolicy(const Scenario& aScenario, Policy aPolicy);

} // namespace geraniumpond::bench
