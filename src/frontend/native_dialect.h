#pragma once

#include "dialect.h"

namespace geraniumpond::frontend {

/// \brief What a gateway speaks by itself; see docs/INTERFACES.md.
[[nodiscard]] Dialect NativeDialect();

} // namespace geraniumpond::frontend
