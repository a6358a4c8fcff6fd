#pragma once

#include "frontend/client_memory.h"

#include <cstdint>
#include <mutex>

namespace geraniumpond::edge {

/// \brief What a host holds of the bodies of all its callers, at all listeners.
class BodyMemory
{
public:
  /// \brief Of a host with this much memory; a default if it is 0.
  explicit BodyMemory(std::uint64_t aMemoryBytes)
    : mMemory(frontend::MaxClientBytes(aMemoryBytes))
  {
  }

  /// \brief Lets a body grow; false, and no change, if it would hold too much.
  [[nodiscard]] bool Grow(std::uint64_t aBefore, std::uint64_t aNow);
  void Release(std::uint64_t aBytes);

private:
  std::mutex mMutex;
  frontend::ClientMemory mMemory;
};

/// \brief Bytes of one body, given back when it is destroyed.
class HeldBytes
{
public:
  HeldBytes() = default;
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  [[nodiscard]] bool Grow(BodyMemory& aMemory, std::uint64_t aNow);

private:
  BodyMemory* mMemory = nullptr;
  std::uint64_t mBytes = 0;
};

} // namespace geraniumpond::edge
