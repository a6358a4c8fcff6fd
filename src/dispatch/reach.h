#pragma once

#include "internal.h"

/// \brief Whether this host reaches the targets, by their answers.
namespace geraniumpond::dispatch {

/// \brief Records that a target of this service was asked for its load.
void RecordQuestion(Service& aService, Target& aTarget, Micros aNow) noexcept;
/// \brief Records an answer of any target of this service.
void RecordServiceAnswer(State& aState,
                         Service& aService,
                         Micros aNow,
                         Effects& aOut);
/// \brief Records that another host has reached this service's targets.
void RecordServedElsewhere(Service& aService, Micros aNow) noexcept;

/// \brief True if several targets of this service, or all, have been asked and
/// none has answered for longer than a probe is waited for.
[[nodiscard]] bool IsSilent(const Service& aService, Micros aNow) noexcept;
/// \brief True if it has been silent for so long that waiting is of no use.
[[nodiscard]] bool IsLost(const Service& aService, Micros aNow) noexcept;

} // namespace geraniumpond::dispatch
