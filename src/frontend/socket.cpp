#include "socket.h"

#include <Poco/Net/SocketImpl.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace geraniumpond::frontend {

namespace {

constexpr std::size_t kReadBytes = 32 * 1024;
/// An empty buffer that has grown beyond this is given back: a host has
/// thousands of connections, most of them idle.
constexpr std::size_t kKeptCapacity = 4096;

void ReleaseIfLarge(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kKeptCapacity) {
    std::string().swap(aBuffer);
  }
}

} // namespace

BufferedSocket::BufferedSocket(EventLoop& aLoop,
                               const Poco::Net::StreamSocket& aSocket)
  : mLoop(aLoop)
  , mSocket(aSocket)
{
}

BufferedSocket::~BufferedSocket()
{
  Close();
}

int BufferedSocket::Descriptor() const
{
  return mSocket.impl()->sockfd();
}

void BufferedSocket::Watch(Handler& aHandler, bool aWritable)
{
  if (Descriptor() == POCO_INVALID_SOCKET) {
    return;
  }
  mHandler = &aHandler;
  mLoop.Add(Descriptor(), aHandler);
  if (aWritable) {
    mLoop.WatchWritable(Descriptor(), aHandler, true);
  }
}

// Calls recv() directly because POCO throws on a connection reset, which is a
// normal event here.
ReceiveResult BufferedSocket::Receive(std::size_t aMost)
{
  std::array<char, kReadBytes> bytes{};
  ReceiveResult result = ReceiveResult::WouldBlock;
  while (aMost > 0) {
    const std::size_t wanted = std::min(aMost, bytes.size());
    const ssize_t count = ::recv(Descriptor(), bytes.data(), wanted, 0);
    if (count > 0) {
      mIn.append(bytes.data(), static_cast<std::size_t>(count));
      aMost -= static_cast<std::size_t>(count);
      mReceivedBytes += static_cast<std::uint64_t>(count);
      result = ReceiveResult::Data;
      if (static_cast<std::size_t>(count) < wanted) {
        return result;
      }
      continue;
    }
    if (count == 0) {
      return ReceiveResult::End;
    }
    if (errno == EINTR) {
      continue;
    }
    const bool empty = errno == EAGAIN || errno == EWOULDBLOCK;
    return empty ? result : ReceiveResult::Reset;
  }
  return result;
}

bool BufferedSocket::Send(std::string aBytes)
{
  if (Unsent() == 0) {
    mOut = std::move(aBytes);
    mBody.reset();
    mSent = 0;
  } else {
    mOut += aBytes;
  }
  return Flush();
}

bool BufferedSocket::Send(std::string aHead,
                          std::shared_ptr<const std::string> aBody)
{
  mOut = std::move(aHead);
  mBody = std::move(aBody);
  mSent = 0;
  return Flush();
}

void BufferedSocket::ReleaseInput()
{
  ReleaseIfLarge(mIn);
}

ssize_t BufferedSocket::SendSome(std::size_t aMost)
{
  const bool isInBody = mSent >= mOut.size();
  const std::string& from = isInBody ? *mBody : mOut;
  const std::size_t at = isInBody ? mSent - mOut.size() : mSent;
  const std::size_t most = std::min(aMost, from.size() - at);
  ssize_t count = -1;
  do {
    count = ::send(Descriptor(), from.data() + at, most, MSG_NOSIGNAL);
  } while (count < 0 && errno == EINTR);
  const std::size_t sent = count > 0 ? static_cast<std::size_t>(count) : 0;
  mSent += sent;
  mSentBytes += sent;
  return count;
}

bool BufferedSocket::Flush()
{
  bool isPaced = false;
  while (Unsent() > 0) {
    const bool paces = mPacer != nullptr && mHandler != nullptr;
    const std::size_t most =
      paces ? mPacer->Take(*mHandler, Unsent()) : Unsent();
    if (most == 0) {
      isPaced = true;
      break;
    }
    const ssize_t count = SendSome(most);
    const std::size_t sent = count > 0 ? static_cast<std::size_t>(count) : 0;
    if (paces) {
      mPacer->Return(most - sent);
    }
    if (count > 0) {
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    }
    return false;
  }
  const bool left = Unsent() > 0;
  mIsBlocked = left && !isPaced;
  if (!left) {
    mOut.clear();
    ReleaseIfLarge(mOut);
    mBody.reset();
    mSent = 0;
    mPacer = nullptr;
  }
  if (mHandler != nullptr) {
    mLoop.WatchWritable(Descriptor(), *mHandler, left && !isPaced);
  }
  return true;
}

int BufferedSocket::ConnectError() const
{
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(Descriptor(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    return errno;
  }
  return error;
}

void BufferedSocket::ShutdownSend()
{
  (void)::shutdown(Descriptor(), SHUT_WR);
}

void BufferedSocket::WatchReading(Reading aReading)
{
  if (mHandler != nullptr) {
    mLoop.WatchReading(Descriptor(), *mHandler, aReading);
  }
}

void BufferedSocket::Close()
{
  if (mHandler != nullptr && mPacer != nullptr) {
    mPacer->Remove(*mHandler);
  }
  if (mHandler != nullptr) {
    mLoop.Remove(Descriptor(), *mHandler);
    mHandler = nullptr;
  }
  if (!mClosed) {
    mClosed = true;
    mSocket.close();
  }
}

} // namespace geraniumpond::frontend
