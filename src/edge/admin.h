#pragma once

#include "http_server.h"
#include "runtime.h"

namespace geraniumpond::edge {

/// \brief Serves operators, targets and metrics on the admin address.
[[nodiscard]] After ServeAdmin(Runtime& aRuntime, Call& aCall);

} // namespace geraniumpond::edge
