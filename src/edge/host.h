#pragma once

#include <geraniumpond/settings.h>

#include <string>

namespace geraniumpond::edge {

/// \brief Runs one host until it is stopped; returns the process exit code.
[[nodiscard]] int RunHost(const Settings& aSettings,
                          const std::string& aRecordFile);

} // namespace geraniumpond::edge
