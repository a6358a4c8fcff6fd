#pragma once

#include <geraniumpond/routing.h>

/// \brief Estimates of a target's latency and of other entries' work on it.
namespace geraniumpond::routing {

/// \brief Expected latency of an attempt of a kind, in microseconds.
[[nodiscard]] double ExpectedLatency(const TargetSet& aSet,
                                     const Target& aTarget,
                                     std::size_t aKind,
                                     Micros aNow) noexcept;

/// \brief Estimate of other entries' attempts in flight on a target, from the
/// last report and its age.
[[nodiscard]] double OthersInFlight(const TargetSet& aSet,
                                    const Target& aTarget,
                                    Micros aNow) noexcept;

[[nodiscard]] bool IsEjected(const Target& aTarget, Micros aNow) noexcept;

/// \brief True from an ejection until an attempt succeeds.
[[nodiscard]] bool OnProbation(const Target& aTarget) noexcept;

} // namespace geraniumpond::routing
