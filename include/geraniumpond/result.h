#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <string>
#include <utility>

namespace geraniumpond {

/// \brief What kind of outcome an Error is; see ToString().
enum class ErrorCode
{
  InvalidArgument,
  NotFound,
  Conflict,
  Unauthorized,
  NotLeader,
  Overloaded,
  DeadlineExceeded,
  Unavailable,
  Corrupt,
  Io,
};

/// \brief Stable lower-case name of a code, as used in answers and logs.
[[nodiscard]] const char* ToString(ErrorCode aCode) noexcept;

/// \brief An outcome that the caller of a function can act on.
struct Error
{
  ErrorCode mCode = ErrorCode::InvalidArgument;
  std::string mMessage;
};

/// \brief A value or an Error; reading the wrong one terminates the process.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \brief Makes the failed side of a Result.
[[nodiscard]] inline Error Fail(ErrorCode aCode, std::string aMessage)
{
  return Error{ aCode, std::move(aMessage) };
}

} // namespace geraniumpond
