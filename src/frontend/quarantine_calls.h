#pragma once

#include "dialect.h"

#include <map>
#include <optional>
#include <string>

/// \brief An operator's view of requests under which targets ended; the same in
/// every dialect.
namespace geraniumpond::frontend {

/// \brief Reads GET /quarantine and DELETE /quarantine/IDENTITY.
[[nodiscard]] std::optional<Call> ParseQuarantineCall(
  const std::string& aMethod,
  const std::string& aPath);

/// \brief Suspected and quarantined requests with their evidence, as JSON.
[[nodiscard]] std::string QuarantineJson(const quarantine::State& aState,
                                         Micros aNow);

/// \brief Adds how many requests are suspected, and how many quarantined.
void AddVerdictGauges(const quarantine::State& aState,
                      Micros aNow,
                      std::map<std::string, double>& aGauges);

} // namespace geraniumpond::frontend
