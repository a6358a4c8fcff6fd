#include "system_clock.h"

#include <chrono>
#include <ctime>
#include <random>

namespace geraniumpond::frontend {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr Micros kNanosecondsPerMicro = 1000;

} // namespace

Micros SteadyNow()
{
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
    .count();
}

Micros BootNow()
{
  timespec time{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &time);
  return time.tv_sec * kSecond + time.tv_nsec / kNanosecondsPerMicro;
}

Micros WallNow()
{
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
    .count();
}

std::uint64_t RandomUint64()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace geraniumpond::frontend
