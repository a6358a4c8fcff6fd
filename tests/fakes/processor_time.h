#pragma once

#include <ctime>

namespace geraniumpond::fakes {

/// \brief Processor time that this thread has used.
inline double ProcessorSeconds()
{
  timespec time{};
  (void)::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace geraniumpond::fakes
