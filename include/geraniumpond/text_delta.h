#pragma once

#include <geraniumpond/result.h>

#include <string>

#include "impl/wire.h"

/// \brief Deltas between two versions of a deployment text, so that the size of
/// a message depends on the change and not on the whole file.
namespace geraniumpond::text_delta {

/// \brief The delta from `aBase` to `aNext`: the part between their common
/// prefix and suffix.
[[nodiscard]] wire::TextDelta MakeDelta(const std::string& aBase,
                                        const std::string& aNext);

/// \brief Applies a delta; Corrupt if `aBase` is not the text it was made from.
[[nodiscard]] Result<std::string> Apply(const std::string& aBase,
                                        const wire::TextDelta& aDelta);

} // namespace geraniumpond::text_delta
