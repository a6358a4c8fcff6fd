#pragma once

#include "dialect.h"

#include <geraniumpond/gateway_settings.h>

namespace geraniumpond::frontend {

/// \brief Runs one gateway host until it is told to stop. Returns the exit
/// code.
int RunGateway(const GatewaySettings& aSettings, const Dialect& aDialect);

} // namespace geraniumpond::frontend
