#pragma once

#include <string>

namespace geraniumpond::edge {

/// \brief Sets up logs on standard error, as text or one JSON object a line.
void StartLogging(const std::string& aHost,
                  const std::string& aFormat,
                  const std::string& aLevel);

/// \brief Writes one line; levels are 0 debug, 1 info, 2 warning, 3 error.
void WriteLog(int aLevel, const std::string& aMessage);

} // namespace geraniumpond::edge
