#pragma once

#include <cstdint>

namespace geraniumpond {

/// \brief A point in time or a duration, in microseconds.
///
/// Decisions never read a clock: every time is carried by an event.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;
constexpr Micros kMinute = 60 * kSecond;

} // namespace geraniumpond
