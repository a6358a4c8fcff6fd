#pragma once

#include "dialect.h"

#include <map>
#include <optional>
#include <string>

/// \brief Operator calls about requests that crashed targets; the same in every
/// dialect.
namespace geraniumpond::frontend {

/// \brief Parses GET /quarantine and DELETE /quarantine/IDENTITY.
[[nodiscard]] std::optional<Call> ParseQuarantineCall(
  const std::string& aMethod,
  const std::string& aPath);

/// \brief Suspected and quarantined requests with their evidence, as JSON.
[[nodiscard]] std::string QuarantineJson(const quarantine::State& aState,
                                         Micros aNow);

/// \brief Sets the gauges of suspected and of quarantined requests.
void AddVerdictGauges(const quarantine::State& aState,
                      Micros aNow,
                      std::map<std::string, double>& aGauges);

} // namespace geraniumpond::frontend
