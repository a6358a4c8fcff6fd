#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace geraniumpond::edge {

/// \brief What the thread of a connection does.
enum class ConnectionState
{
  /// Waits for a request.
  Idle,
  /// Reads a head or a body.
  Reading,
  /// A request is handled.
  Handling
};

/// \brief The open connections of a listener, which has a thread for each.
/// Closes those whose clients take too long, and the ones that are missed least
/// where there are too many.
class OpenConnections
{
public:
  explicit OpenConnections(std::size_t aMost);
  ~OpenConnections();
  OpenConnections(const OpenConnections&) = delete;
  OpenConnections& operator=(const OpenConnections&) = delete;

  /// \brief Adds an idle connection. Where few threads are left, the one that
  /// has been idle for longest is closed, or else the one that has been read
  /// for longest.
  std::uint64_t Add(const Poco::Net::StreamSocket& aSocket);
  void Remove(std::uint64_t aId);
  /// \brief From now on the connection is in this state, for this long at most;
  /// 0 for any time.
  void SetState(std::uint64_t aId,
                ConnectionState aState,
                std::chrono::seconds aMost);
  void ShutdownAll();

private:
  using Clock = std::chrono::steady_clock;

  struct Entry
  {
    Poco::Net::StreamSocket mSocket;
    ConnectionState mState = ConnectionState::Idle;
    Clock::time_point mSince;
    Clock::time_point mUntil = Clock::time_point::max();
    bool mIsClosed = false;
  };

  void Run();
  void CloseLate();
  void MakeRoom();
  static void Shutdown(Entry& aEntry);

  const std::size_t mMost;
  std::mutex mMutex;
  std::condition_variable mStopChanged;
  bool mStopped = false;
  std::uint64_t mLast = 0;
  std::map<std::uint64_t, Entry> mEntries;
  std::thread mThread;
};

} // namespace geraniumpond::edge
