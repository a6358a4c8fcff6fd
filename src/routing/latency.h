#pragma once

#include <geraniumpond/routing.h>

/// \brief What is known of a target's speed and of others' work on it.
namespace geraniumpond::routing {

/// \brief Expected latency of one attempt of a kind, in microseconds.
[[nodiscard]] double ExpectedLatency(const TargetSet& aSet,
                                     const Target& aTarget,
                                     std::size_t aKind,
                                     Micros aNow) noexcept;

/// \brief Other entries' work on a target, faded by the age of its report.
[[nodiscard]] double Others(const TargetSet& aSet,
                            const Target& aTarget,
                            Micros aNow) noexcept;

[[nodiscard]] bool IsEjected(const Target& aTarget, Micros aNow) noexcept;

/// \brief True from an ejection until one attempt has succeeded.
[[nodiscard]] bool OnProbation(const Target& aTarget) noexcept;

} // namespace geraniumpond::routing
