#pragma once

#include "http_server.h"
#include "runtime.h"

namespace geraniumpond::edge {

/// \brief Handles requests of operators, targets and metric scrapers on the
/// admin address.
[[nodiscard]] ConnectionAction ServeAdmin(Runtime& aRuntime, Call& aCall);

} // namespace geraniumpond::edge
