#pragma once

#include "http_message.h"

#include <geraniumpond/dispatch/targets.h>

#include <Poco/Timestamp.h>

#include <optional>
#include <string>

/// \brief Reads what targets say of themselves in the fields of answers.
namespace geraniumpond::frontend {

/// \brief Parses the rate limit that a target states in its answer. A repeated
/// field, or a value other than a finite non-negative number, is unreadable.
[[nodiscard]] dispatch::StatedLimit ParseLimit(const HeaderFields& aFields,
                                               const std::string& aName);

/// \brief Parses the time that a target's warm-up still takes; empty if it is
/// absent or invalid.
[[nodiscard]] std::optional<Micros> ParseWarmUp(const HeaderFields& aFields,
                                                const std::string& aName);

/// \brief Parses the rest that a target asks for with a refusal: seconds, or a
/// date. Anything else, or a repeated field, is unreadable.
[[nodiscard]] dispatch::StatedRest ParseRest(const HttpResponse& aResponse,
                                             const Poco::Timestamp& aNow);

/// \brief Parses the load field of an answer; empty if it is invalid.
[[nodiscard]] std::optional<dispatch::Report> ParseLoad(
  const std::string& aText);

} // namespace geraniumpond::frontend
