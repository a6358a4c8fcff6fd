#pragma once

#include "event_loop.h"
#include "link_pacer.h"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace geraniumpond::frontend {

/// \brief Result of a read.
enum class ReceiveResult
{
  Data,
  WouldBlock,
  /// The peer has closed the connection in an orderly way.
  End,
  Reset
};

/// \brief A connected or connecting socket on an event loop, with an input and
/// an output buffer.
class BufferedSocket
{
public:
  BufferedSocket(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket);
  ~BufferedSocket();
  BufferedSocket(const BufferedSocket&) = delete;
  BufferedSocket& operator=(const BufferedSocket&) = delete;

  /// \brief Registers a handler; has no effect without a descriptor.
  void Watch(Handler& aHandler, bool aWritable);

  /// \brief Reads the available bytes, up to `aMost`, into Input().
  [[nodiscard]] ReceiveResult Receive(
    std::size_t aMost = std::numeric_limits<std::size_t>::max());

  /// \brief Sends, and buffers what the socket does not accept; false if the
  /// connection is broken.
  [[nodiscard]] bool Send(std::string aBytes);

  /// \brief The same with a body that others share, which is sent from where it
  /// stands. Nothing else may be unsent.
  [[nodiscard]] bool Send(std::string aHead,
                          std::shared_ptr<const std::string> aBody);

  /// \brief Sends buffered bytes; false if the connection is broken.
  [[nodiscard]] bool Flush();

  /// \brief Sends what is buffered at the pace of the link from now on, until
  /// all of it is sent.
  void Pace(LinkPacer& aPacer) { mPacer = &aPacer; }

  /// \brief Error code of a finished connect; 0 if it succeeded.
  [[nodiscard]] int ConnectError() const;

  /// \brief Closes the sending direction.
  void ShutdownSend();
  void WatchReading(Reading aReading);
  void Close();

  [[nodiscard]] std::string& Input() noexcept { return mIn; }
  [[nodiscard]] const std::string& Input() const noexcept { return mIn; }
  [[nodiscard]] std::size_t Unsent() const noexcept
  {
    return mOut.size() + (mBody ? mBody->size() : 0) - mSent;
  }
  /// \brief Gives back memory that nothing needs any more.
  void ReleaseInput();
  /// \brief Bytes that the system has taken, over all messages.
  [[nodiscard]] std::uint64_t SentBytes() const noexcept { return mSentBytes; }
  [[nodiscard]] std::uint64_t ReceivedBytes() const noexcept
  {
    return mReceivedBytes;
  }
  /// \brief True while bytes wait for the peer to read.
  [[nodiscard]] bool IsBlocked() const noexcept { return mIsBlocked; }
  [[nodiscard]] bool Closed() const noexcept { return mClosed; }

private:
  [[nodiscard]] int Descriptor() const;
  /// \brief Sends up to `aMost` buffered bytes; the number of bytes, or -1 with
  /// errno set.
  [[nodiscard]] ssize_t SendSome(std::size_t aMost);

  EventLoop& mLoop;
  Poco::Net::StreamSocket mSocket;
  Handler* mHandler = nullptr;
  LinkPacer* mPacer = nullptr;
  bool mClosed = false;
  std::string mIn;
  std::string mOut;
  /// Sent behind mOut.
  std::shared_ptr<const std::string> mBody;
  /// Bytes of mOut and mBody that have been sent.
  std::size_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  std::uint64_t mReceivedBytes = 0;
  bool mIsBlocked = false;
};

} // namespace geraniumpond::frontend
