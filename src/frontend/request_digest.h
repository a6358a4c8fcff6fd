#pragma once

#include "http_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Digest of what a request holds beside its host name and path: its
/// method, its body, and the fields that tell who asks. Fields that change with
/// each try are left out.
[[nodiscard]] std::uint64_t ContentDigest(
  const HttpRequest& aRequest,
  const std::vector<std::string>& aCallerFields);

} // namespace geraniumpond::frontend
