#pragma once

#include <cstdint>
#include <vector>

/// \brief How much a host holds for its clients.
///
/// The load: clients on any number of connections, at any listener, that send
/// as much as they may and stop short of its end, or do not read what they
/// asked for, beside ordinary ones.
namespace geraniumpond::frontend {

class HttpServer;

/// \brief What all connections of clients, operators and targets hold together:
/// bytes that were read, requests that wait, and answers that are not sent.
class ClientMemory
{
public:
  explicit ClientMemory(std::uint64_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  /// \brief One holder has `aNow` bytes in place of `aBefore`.
  void Change(std::uint64_t aBefore, std::uint64_t aNow) noexcept
  {
    mHeldBytes = mHeldBytes - aBefore + aNow;
  }

  /// \brief Whether a connection that holds `aBytes`, counted already, may go
  /// on to hold more.
  [[nodiscard]] bool MayHold(std::uint64_t aBytes) const noexcept;

  /// \brief Closes connections with the most unsent bytes of answers while too
  /// much is held.
  void GiveUpAnswers();

  [[nodiscard]] std::uint64_t HeldBytes() const noexcept { return mHeldBytes; }

  void Add(HttpServer& aServer) { mServers.push_back(&aServer); }
  void Remove(HttpServer& aServer);

private:
  std::uint64_t mMaxBytes = 0;
  std::uint64_t mHeldBytes = 0;
  std::vector<HttpServer*> mServers;
};

/// \brief The most that a host with this much memory holds for its clients; a
/// default if it is 0.
[[nodiscard]] std::uint64_t MaxClientBytes(std::uint64_t aMemoryBytes) noexcept;

} // namespace geraniumpond::frontend
