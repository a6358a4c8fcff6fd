#pragma once

#include <geraniumpond/settings.h>

#include <string>

namespace geraniumpond::edge {

/// \brief Runs one host until it is told to stop; the process's exit code.
[[nodiscard]] int RunHost(const Settings& aSettings,
                          const std::string& aRecordFile);

} // namespace geraniumpond::edge
