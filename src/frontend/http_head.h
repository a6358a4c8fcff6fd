#pragma once

#include "header_fields.h"

#include <geraniumpond/result.h>

#include <string>
#include <string_view>

/// \brief Heads of HTTP/1.1 messages: the start line and the header fields.
namespace geraniumpond::frontend {

struct RequestHead
{
  std::string mMethod;
  /// Path and query as received.
  std::string mTarget;
  HeaderFields mFields;
  /// The sender expects to use the connection again.
  bool mKeepAlive = true;
};

struct ResponseHead
{
  int mStatus = 0;
  std::string mReason;
  HeaderFields mFields;
  bool mKeepAlive = true;
};

/// \brief Parses a head that ends with its empty line.
[[nodiscard]] Result<RequestHead> ParseRequestHead(std::string_view aBytes);
[[nodiscard]] Result<ResponseHead> ParseResponseHead(std::string_view aBytes);

} // namespace geraniumpond::frontend
