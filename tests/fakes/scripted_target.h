#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace geraniumpond::fakes {

/// \brief What a target sends after it has read a request: a start, and a part
/// that it repeats until the caller closes.
struct Script
{
  std::string mStart;
  std::string mRepeated;
  /// How often; for ever if 0.
  std::size_t mTimes = 0;
};

/// \brief A target on loopback that plays a script on each connection.
class ScriptedTarget
{
public:
  /// \brief Script for a request, given its head.
  using Chooser = std::function<Script(const std::string&)>;

  explicit ScriptedTarget(const Script& aScript)
    : ScriptedTarget([aScript](const std::string&) { return aScript; })
  {
  }
  explicit ScriptedTarget(Chooser aChooser)
    : mChooser(std::move(aChooser))
    , mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Serve(); })
  {
  }
  ~ScriptedTarget()
  {
    mStop = true;
    mThread.join();
    for (std::thread& thread : mConnections) {
      thread.join();
    }
  }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  [[nodiscard]] std::string Address() const
  {
    return mServer.address().toString();
  }
  [[nodiscard]] std::size_t Sent() const { return mSent; }
  /// \brief Connections accepted so far.
  [[nodiscard]] std::size_t Connections() const { return mAccepted; }

private:
  void Serve()
  {
    while (!mStop) {
      if (mServer.poll(Poco::Timespan(0, 20000),
                       Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::StreamSocket socket = mServer.acceptConnection();
        ++mAccepted;
        mConnections.emplace_back([this, socket] { Play(socket); });
      }
    }
  }

  // Requests without a body, one after the other.
  void Play(Poco::Net::StreamSocket aSocket)
  {
    aSocket.setSendTimeout(Poco::Timespan(0, 100000));
    while (!mStop) {
      char request[4096];
      if (!aSocket.poll(Poco::Timespan(0, 20000),
                        Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      try {
        const int count = aSocket.receiveBytes(request, sizeof(request));
        if (count <= 0 ||
            !SendAnswer(
              aSocket,
              mChooser({ request, static_cast<std::size_t>(count) }))) {
          return;
        }
      } catch (const Poco::Exception&) {
        return;
      }
    }
  }

  bool SendAnswer(Poco::Net::StreamSocket& aSocket, const Script& aScript)
  {
    std::string repeated;
    while (!aScript.mRepeated.empty() && repeated.size() < kPieceBytes) {
      repeated += aScript.mRepeated;
    }
    const std::size_t limit = aScript.mTimes == 0
                                ? kMostSent
                                : aScript.mTimes * aScript.mRepeated.size();
    bool isOpen = Send(aSocket, aScript.mStart);
    for (std::size_t sent = 0; isOpen && sent < limit && !repeated.empty();) {
      const std::size_t size = std::min(repeated.size(), limit - sent);
      isOpen = Send(aSocket, repeated.substr(0, size));
      sent += size;
    }
    return isOpen;
  }

  // False once the caller has closed.
  bool Send(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
  {
    std::size_t at = 0;
    while (at < aBytes.size() && !mStop) {
      const ssize_t count = ::send(aSocket.impl()->sockfd(),
                                   aBytes.data() + at,
                                   aBytes.size() - at,
                                   MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN) {
        return false;
      }
      at += count > 0 ? static_cast<std::size_t>(count) : 0;
      mSent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return !mStop;
  }

  static constexpr std::size_t kPieceBytes = 64 * 1024;
  /// Far more than a host takes of one answer; the target then waits.
  static constexpr std::size_t kMostSent = 400 * 1024 * 1024;

  Chooser mChooser;
  Poco::Net::ServerSocket mServer;
  std::atomic<bool> mStop{ false };
  std::atomic<std::size_t> mSent{ 0 };
  std::atomic<std::size_t> mAccepted{ 0 };
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

} // namespace geraniumpond::fakes
