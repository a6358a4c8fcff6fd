#pragma once

#include <geraniumpond/policy.h>
#include <geraniumpond/settings.h>

#include <string>
#include <string_view>

namespace geraniumpond::policy {

/// \brief Checks the text of a policy file (INI) and reports every fault.
[[nodiscard]] Checked<TrafficPolicy> ParsePolicy(std::string_view aText,
                                                 const std::string& aFile);

/// \brief The same with the faults in one error.
[[nodiscard]] Result<TrafficPolicy> DecodePolicyFile(std::string_view aText);

} // namespace geraniumpond::policy
