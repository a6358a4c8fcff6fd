#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <string>
#include <utility>

namespace geraniumpond {

/// \brief Category of an Error.
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

/// \brief Lower-case name of a code, as used in answers and logs; stable.
[[nodiscard]] const char* ToString(ErrorCode aCode) noexcept;

/// \brief An error that the caller of a function can handle.
struct Error
{
  ErrorCode mCode = ErrorCode::InvalidArgument;
  std::string mMessage;
};

/// \brief A value or an Error; accessing the one that is absent terminates the
/// process.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \brief Creates the error of a Result.
[[nodiscard]] inline Error Fail(ErrorCode aCode, std::string aMessage)
{
  return Error{ aCode, std::move(aMessage) };
}

} // namespace geraniumpond
