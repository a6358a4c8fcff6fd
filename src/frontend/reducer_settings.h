#pragma once

#include <geraniumpond/gateway.h>
#include <geraniumpond/gateway_settings.h>

#include <cstdint>

namespace geraniumpond::frontend {

/// \brief Speed of the host's network link, in bytes per second.
[[nodiscard]] double LinkBytesPerSecond(
  const GatewaySettings& aSettings) noexcept;

/// \brief Settings of the reducer, from those of the host.
[[nodiscard]] gateway::Settings ReducerSettings(
  const GatewaySettings& aSettings,
  gateway::PolicyDecoder aDecodePolicy,
  std::uint64_t aIncarnation);

} // namespace geraniumpond::frontend
