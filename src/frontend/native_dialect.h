#pragma once

#include "dialect.h"

namespace geraniumpond::frontend {

/// \brief The gateway's own HTTP conventions; see docs/INTERFACES.md.
[[nodiscard]] Dialect NativeDialect();

} // namespace geraniumpond::frontend
