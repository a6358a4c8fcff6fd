#pragma once

#include <cstddef>

/// \brief How many of its descriptors a host gives to clients and callers.
namespace geraniumpond::frontend {

struct ConnectionBounds
{
  /// Connections of clients.
  std::size_t mClients = 0;
  /// Connections of operators, targets and directory clients, over all
  /// listeners.
  std::size_t mCallers = 0;
};

/// \brief Bounds of a process that may open this many descriptors; the rest is
/// for targets, other hosts and files.
[[nodiscard]] ConnectionBounds ConnectionBoundsFor(
  std::size_t aDescriptors) noexcept;

/// \brief Descriptors that the system lets this process open.
[[nodiscard]] std::size_t DescriptorLimit() noexcept;

} // namespace geraniumpond::frontend
