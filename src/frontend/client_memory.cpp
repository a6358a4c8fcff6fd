#include "client_memory.h"

#include "http_server.h"

#include <algorithm>

namespace geraniumpond::frontend {

namespace {

/// What the program takes without any client.
constexpr std::uint64_t kProcessBytes = 16ULL * 1024 * 1024;
/// A part of the rest is for what is decoded, and for the copy that sends an
/// answer.
constexpr std::uint64_t kMemoryParts = 2;
/// Of a host that does not know it, with room for a large body beside others.
constexpr std::uint64_t kUnknownMemory = 208ULL * 1024 * 1024;
/// A connection may hold this many times what is still free.
constexpr std::uint64_t kTimesFree = 16;

} // namespace

std::uint64_t MaxClientBytes(std::uint64_t aMemoryBytes) noexcept
{
  const std::uint64_t memory =
    aMemoryBytes == 0 ? kUnknownMemory : aMemoryBytes;
  const std::uint64_t process = std::min(kProcessBytes, memory / kMemoryParts);
  return (memory - process) / kMemoryParts;
}

// The more is held, the less each connection may hold: a single one gets nearly
// all, many large ones leave room for small ones, and it is those that go on
// taking that are refused. No order of the connections is needed for that.
bool ClientMemory::MayHold(std::uint64_t aBytes) const noexcept
{
  const std::uint64_t free =
    mHeldBytes < mMaxBytes ? mMaxBytes - mHeldBytes : 0;
  return aBytes <= kTimesFree * free;
}

void ClientMemory::Remove(HttpServer& aServer)
{
  mServers.erase(std::remove(mServers.begin(), mServers.end(), &aServer),
                 mServers.end());
}

void ClientMemory::GiveUpAnswers()
{
  while (mHeldBytes > mMaxBytes) {
    HttpServer* server = nullptr;
    std::uint64_t most = 0;
    for (HttpServer* one : mServers) {
      const std::uint64_t unsent = one->MostUnsent();
      if (unsent > most) {
        server = one;
        most = unsent;
      }
    }
    if (server == nullptr) {
      return;
    }
    server->CloseMostUnsent();
  }
}

} // namespace geraniumpond::frontend
