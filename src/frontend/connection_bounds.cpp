#include "connection_bounds.h"

#include <algorithm>
#include <sys/resource.h>

namespace geraniumpond::frontend {

namespace {

constexpr std::size_t kClientsPart = 2;
constexpr std::size_t kCallersPart = 4;
/// What a process may open if the system sets no limit, or does not say.
constexpr std::size_t kUnlimited = 1024UL * 1024;

} // namespace

ConnectionBounds ConnectionBoundsFor(std::size_t aDescriptors) noexcept
{
  return { std::max<std::size_t>(1, aDescriptors / kClientsPart),
           std::max<std::size_t>(1, aDescriptors / kCallersPart) };
}

std::size_t DescriptorLimit() noexcept
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY || limit.rlim_cur == 0) {
    return kUnlimited;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace geraniumpond::frontend
