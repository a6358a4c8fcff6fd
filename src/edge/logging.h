#pragma once

#include <string>

namespace geraniumpond::edge {

/// \brief Sets up logging to standard output, as text or one JSON object per
/// line.
///
/// Lines above a rate limit are dropped and counted, and so are lines that
/// would block because the reader of standard output is behind: logging never
/// blocks.
void StartLogging(const std::string& aHost,
                  const std::string& aFormat,
                  const std::string& aLevel);

/// \brief Logs one line; levels are 0 debug, 1 info, 2 warning, 3 error. A
/// message that starts with "event=" consists of key=value pairs.
void WriteLog(int aLevel, const std::string& aMessage);

} // namespace geraniumpond::edge
