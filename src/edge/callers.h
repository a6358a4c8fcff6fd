#pragma once

#include "attempt.h"

namespace geraniumpond::edge {

/// \brief Serves one request of a caller: events in, effects performed.
[[nodiscard]] After ServeCaller(AttemptTools& aTools, Call& aCall);

} // namespace geraniumpond::edge
