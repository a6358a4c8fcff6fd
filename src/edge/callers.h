#pragma once

#include "attempt.h"

namespace geraniumpond::edge {

/// \brief Serves one request of a caller: posts it to the reducer and performs
/// the resulting effects.
[[nodiscard]] ConnectionAction ServeCaller(AttemptContext& aContext,
                                           Call& aCall);

} // namespace geraniumpond::edge
