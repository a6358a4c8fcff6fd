#pragma once

#include "event_loop.h"

#include <Poco/Net/StreamSocket.h>

#include <string>

namespace geraniumpond::frontend {

/// \brief How a read ended.
enum class ReceiveResult
{
  Data,
  WouldBlock,
  /// The other side has closed in order.
  End,
  Reset
};

/// \brief A connected or connecting socket in an event loop, with a buffer of
/// bytes each way.
class BufferedSocket
{
public:
  BufferedSocket(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket);
  ~BufferedSocket();
  BufferedSocket(const BufferedSocket&) = delete;
  BufferedSocket& operator=(const BufferedSocket&) = delete;

  /// \brief Starts to be called back; does nothing without a descriptor.
  void Watch(Handler& aHandler, bool aWritable);

  /// \brief Reads what is there into Input().
  [[nodiscard]] ReceiveResult Receive();

  /// \brief Sends, or keeps what the socket does not take; false when broken.
  [[nodiscard]] bool Send(std::string aBytes);

  /// \brief Sends what was kept; false when broken.
  [[nodiscard]] bool Flush();

  /// \brief Error of a connect that has ended; 0 when it succeeded.
  [[nodiscard]] int ConnectError() const;

  /// \brief Says that no more bytes follow.
  void ShutdownSend();
  void PauseReading(bool aPaused);
  void Close();

  [[nodiscard]] std::string& Input() noexcept { return mIn; }
  [[nodiscard]] std::size_t Unsent() const noexcept
  {
    return mOut.size() - mSent;
  }
  [[nodiscard]] bool Closed() const noexcept { return mClosed; }

private:
  [[nodiscard]] int Descriptor() const;

  EventLoop& mLoop;
  Poco::Net::StreamSocket mSocket;
  Handler* mHandler = nullptr;
  bool mClosed = false;
  std::string mIn;
  std::string mOut;
  std::size_t mSent = 0;
};

} // namespace geraniumpond::frontend
