#pragma once

#include <geraniumpond/policy.h>
#include <geraniumpond/settings.h>

#include <string>
#include <string_view>

namespace geraniumpond::policy {

/// \brief Parses and validates the text of a policy file (INI); reports all
/// faults.
[[nodiscard]] Checked<TrafficPolicy> ParsePolicy(std::string_view aText,
                                                 const std::string& aFile);

/// \brief Like ParsePolicy(), with all faults joined in one error.
[[nodiscard]] Result<TrafficPolicy> DecodePolicyFile(std::string_view aText);

} // namespace geraniumpond::policy
