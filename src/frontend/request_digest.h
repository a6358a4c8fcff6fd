#pragma once

#include "http_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Digest of a request's method, its body, and the fields that identify
/// the caller. Host name, path, and fields that differ between retries are not
/// included.
[[nodiscard]] std::uint64_t ContentDigest(
  const HttpRequest& aRequest,
  const std::vector<std::string>& aCallerFields);

} // namespace geraniumpond::frontend
