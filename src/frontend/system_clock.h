#pragma once

#include <geraniumpond/time.h>

#include <cstdint>

/// \brief The clocks of the system, in microseconds, and its random source.
namespace geraniumpond::frontend {

/// \brief Never set; stands still while the machine is suspended.
[[nodiscard]] Micros SteadyNow();
/// \brief Never set; advances also while the machine is suspended.
[[nodiscard]] Micros BootNow();
/// \brief Time of day since the Unix epoch.
[[nodiscard]] Micros WallNow();

[[nodiscard]] std::uint64_t RandomUint64();

} // namespace geraniumpond::frontend
