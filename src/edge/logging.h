#pragma once

#include <string>

namespace geraniumpond::edge {

/// \brief Sets up logs on standard output, as text or one JSON object a line.
///
/// Lines beyond a steady rate are counted and left out, and so are lines that
/// the reader of standard output does not take at once: no caller waits.
void StartLogging(const std::string& aHost,
                  const std::string& aFormat,
                  const std::string& aLevel);

/// \brief Writes one line; levels are 0 debug, 1 info, 2 warning, 3 error. A
/// message of the form "event=..." holds key=value pairs of its own.
void WriteLog(int aLevel, const std::string& aMessage);

} // namespace geraniumpond::edge
