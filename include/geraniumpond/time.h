#pragma once

#include <cstdint>

namespace geraniumpond {

/// \brief A point in time or a duration, in microseconds.
///
/// The decision code never reads a clock; every event carries its time.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;
constexpr Micros kMinute = 60 * kSecond;

} // namespace geraniumpond
