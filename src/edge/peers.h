#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace geraniumpond::edge {

/// \brief A host's own address: what others are told, and what is bound where
/// connections to it are forwarded; empty for the same.
struct PeerAddresses
{
  PeerAddresses(std::string aTold, std::string aBound = "")
    : mTold(std::move(aTold))
    , mBound(std::move(aBound))
  {
  }

  std::string mTold;
  std::string mBound;
};

/// \brief Messages between hosts over ZeroMQ: one socket in, one out per peer
/// that has not connected here itself.
///
/// A peer that was heard lately is answered on the connection that it opened;
/// heartbeats replace a connection that has gone silent. Connections of this
/// host's own are closed when nothing was sent on them for a while.
class Peers
{
public:
  /// Takes one message; called by the thread of this object.
  using Handler = std::function<void(std::string_view)>;

  /// \brief Time without a message after which an own connection is closed.
  static constexpr std::chrono::milliseconds kUnused{ 10000 };

  Peers(const PeerAddresses& aOwn,
        Handler aHandler,
        std::chrono::milliseconds aUnused = kUnused);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  ~Peers();

  /// \brief Queues a message; never blocks.
  void Send(const std::string& aAddress, std::string aMessage);

  /// \brief Waits until the thread has sent what is queued and handed over what
  /// has come, for `aMost` at the longest; false when it has not by then.
  bool WaitForTurn(std::chrono::microseconds aMost);

  /// \brief How long a message has waited at most, since the last call, to be
  /// handed to its connection.
  [[nodiscard]] std::chrono::microseconds TakeLongestWait();

  /// \brief Connections that this host opened itself.
  [[nodiscard]] std::size_t Connections() const noexcept { return mOpened; }

private:
  struct Sockets;

  void Run();
  void Wake();
  void SendQueued();

  Handler mHandler;
  std::chrono::milliseconds mUnused;
  std::atomic<std::size_t> mOpened{ 0 };
  std::unique_ptr<Sockets> mSockets;
  std::mutex mMutex;
  struct Queued
  {
    std::string mAddress;
    std::string mBytes;
    std::chrono::steady_clock::time_point mAt;
  };
  void NoteWait(const std::deque<Queued>& aQueue);
  std::deque<Queued> mQueue;
  std::chrono::microseconds mLongestWait{ 0 };
  /// Times that the thread has gone round.
  std::uint64_t mTurns = 0;
  std::condition_variable mTurned;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace geraniumpond::edge
