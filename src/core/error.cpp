#include <geraniumpond/result.h>

#include <array>

namespace geraniumpond {

namespace {

constexpr std::array<const char*, 10> kErrorCodeNames = {
  "invalid-argument", "not-found",  "conflict",          "unauthorized",
  "not-leader",       "overloaded", "deadline-exceeded", "unavailable",
  "corrupt",          "io",
};

} // namespace

const char* ToString(ErrorCode aCode) noexcept
{
  return kErrorCodeNames[static_cast<std::size_t>(aCode)];
}

} // namespace geraniumpond
