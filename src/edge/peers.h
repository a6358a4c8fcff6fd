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

/// \brief A host's own address: the one advertised to other hosts, and the one
/// to bind if connections are forwarded to it; empty if both are the same.
struct PeerAddresses
{
  PeerAddresses(std::string aAdvertised, std::string aBind = "")
    : mAdvertised(std::move(aAdvertised))
    , mBind(std::move(aBind))
  {
  }

  std::string mAdvertised;
  std::string mBind;
};

/// \brief Messaging between hosts over ZeroMQ: one listening socket, and one
/// outgoing socket per peer that has not connected to this host.
///
/// Messages to a peer that was heard recently go over the connection that it
/// opened. Heartbeats detect dead connections, which are reestablished.
/// Outgoing connections are closed when nothing has been sent on them for a
/// while.
class Peers
{
public:
  /// Handles one received message; called on the messaging thread.
  using Handler = std::function<void(std::string_view)>;

  /// \brief Time without a sent message after which an outgoing connection is
  /// closed.
  static constexpr std::chrono::milliseconds kUnusedTimeout{ 10000 };

  Peers(const PeerAddresses& aOwn,
        Handler aHandler,
        std::chrono::milliseconds aUnusedTimeout = kUnusedTimeout);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  ~Peers();

  /// \brief Queues a message; never blocks.
  void Send(const std::string& aAddress, std::string aMessage);

  /// \brief Waits until the messaging thread has sent all queued messages and
  /// handled all received ones; false if this takes longer than `aTimeout`.
  bool WaitForIteration(std::chrono::microseconds aTimeout);

  /// \brief Returns and resets the longest time that a message has been queued
  /// before it was handed to its connection.
  [[nodiscard]] std::chrono::microseconds TakeLongestQueueTime();

  /// \brief Number of outgoing connections.
  [[nodiscard]] std::size_t OutgoingConnections() const noexcept
  {
    return mOutgoingCount;
  }

private:
  struct Sockets;

  void Run();
  void Wake();
  void SendQueued();
  void SendOnOutgoing(const std::string& aAddress, const std::string& aBytes);

  Handler mHandler;
  std::chrono::milliseconds mUnusedTimeout;
  std::atomic<std::size_t> mOutgoingCount{ 0 };
  std::unique_ptr<Sockets> mSockets;
  std::mutex mMutex;
  struct Queued
  {
    std::string mAddress;
    std::string mBytes;
    std::chrono::steady_clock::time_point mQueuedAt;
  };
  void RecordQueueTime(const std::deque<Queued>& aQueue);
  std::deque<Queued> mQueue;
  std::chrono::microseconds mLongestQueueTime{ 0 };
  /// Completed iterations of the messaging thread's loop.
  std::uint64_t mIterations = 0;
  std::condition_variable mIterationDone;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace geraniumpond::edge
