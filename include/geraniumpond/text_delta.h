#pragma once

#include <geraniumpond/result.h>

#include <string>

#include "impl/wire.h"

/// \brief Differences between two deployment texts, so that a change costs
/// messages in proportion to itself and not to the whole file.
namespace geraniumpond::text_delta {

/// \brief What turns `aBase` into `aNext`: one replaced middle part.
[[nodiscard]] wire::TextDelta Between(const std::string& aBase,
                                      const std::string& aNext);

/// \brief The text that results; Corrupt when the base is another one.
[[nodiscard]] Result<std::string> Apply(const std::string& aBase,
                                        const wire::TextDelta& aDelta);

} // namespace geraniumpond::text_delta
