#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::fakes {

/// \brief The outgoing half of a host's network link: connections of clients
/// pass through it, and all answers share its speed, first come first served. A
/// connection holds up to 64 kB on the way.
class NarrowLink
{
public:
  NarrowLink(const Poco::Net::SocketAddress& aHost, double aMbps);
  ~NarrowLink();
  NarrowLink(const NarrowLink&) = delete;
  NarrowLink& operator=(const NarrowLink&) = delete;

  /// \brief Where clients connect.
  [[nodiscard]] Poco::Net::SocketAddress Address() const;

private:
  struct Link
  {
    Poco::Net::StreamSocket mClient;
    Poco::Net::StreamSocket mHost;
    std::size_t mQueued = 0;
  };
  struct Piece
  {
    std::shared_ptr<Link> mLink;
    std::string mBytes;
  };

  void Accept();
  void CarryRequests(const std::shared_ptr<Link>& aLink) const;
  void QueueAnswers(const std::shared_ptr<Link>& aLink);
  void SendAnswers();

  Poco::Net::SocketAddress mHost;
  double mBytesPerSecond = 0;
  Poco::Net::ServerSocket mServer;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Piece> mQueue;
  std::vector<std::thread> mThreads;
};

} // namespace geraniumpond::fakes
