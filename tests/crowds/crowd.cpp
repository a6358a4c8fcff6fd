#include "crowd.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace geraniumpond::crowds {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Longest time that a test waits for anything: it ends a test that would hang.
constexpr seconds kLongestWait{ 60 };
/// A crowd that nothing was sent to or received from for this long has settled.
constexpr milliseconds kSettledAfter{ 2000 };
constexpr milliseconds kDripInterval{ 100 };
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr std::size_t kKeptAnswer = 64;
constexpr int kUnreadBytes = 16 * 1024;
constexpr int kStatusOk = 200;

// A client that does not read leaves little to the system's buffers.
int Connect(const Poco::Net::SocketAddress& aTo, bool aReadsAnswers)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!aReadsAnswers) {
    ::setsockopt(
      descriptor, SOL_SOCKET, SO_RCVBUF, &kUnreadBytes, sizeof(kUnreadBytes));
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  (void)::connect(descriptor, aTo.addr(), aTo.length());
  return descriptor;
}

int StatusOf(const std::string& aAnswer)
{
  constexpr std::size_t kStatusAt = 9;
  return aAnswer.size() > kStatusAt ? std::atoi(aAnswer.c_str() + kStatusAt)
                                    : 0;
}

int TryRequest(const Poco::Net::SocketAddress& aTo, const std::string& aRequest)
{
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(aTo, Poco::Timespan(2, 0));
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    socket.sendBytes(aRequest.data(), static_cast<int>(aRequest.size()));
    std::array<char, kKeptAnswer> answer{};
    const int count =
      socket.receiveBytes(answer.data(), static_cast<int>(answer.size()));
    return StatusOf({ answer.data(), static_cast<std::size_t>(count) });
  } catch (const Poco::Exception&) {
    return 0;
  }
}

} // namespace

Crowd::Crowd(const Poco::Net::SocketAddress& aTo,
             std::size_t aCount,
             const Script& aScript)
  : mScript(aScript)
  , mSize(aScript.mStart.size() + aScript.mRepeated.size() * aScript.mTimes +
          aScript.mEnd.size())
{
  for (std::size_t i = 0; i < aCount; ++i) {
    Client client;
    client.mSocket = Connect(aTo, aScript.mReadsAnswers);
    mClients.push_back(client);
  }
}

Crowd::~Crowd()
{
  for (Client& client : mClients) {
    Close(client);
  }
}

void Crowd::Close(Client& aClient)
{
  if (aClient.mSocket >= 0) {
    ::close(aClient.mSocket);
    aClient.mSocket = -1;
  }
}

std::string_view Crowd::Next(std::size_t aSent) const
{
  std::size_t at = aSent;
  if (at < mScript.mStart.size()) {
    return std::string_view(mScript.mStart).substr(at);
  }
  at -= mScript.mStart.size();
  if (at < mScript.mRepeated.size() * mScript.mTimes) {
    return std::string_view(mScript.mRepeated)
      .substr(at % mScript.mRepeated.size());
  }
  at -= mScript.mRepeated.size() * mScript.mTimes;
  return std::string_view(mScript.mEnd).substr(at);
}

bool Crowd::Send(Client& aClient)
{
  bool moved = false;
  for (std::size_t piece = 0;
       piece < kPieceBytes && aClient.mSocket >= 0 && aClient.mSent < mSize;) {
    const std::string_view next = Next(aClient.mSent).substr(0, kPieceBytes);
    const ssize_t count =
      ::send(aClient.mSocket, next.data(), next.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      const bool isOpen = errno == EAGAIN || errno == EINTR ||
                          errno == ENOTCONN || errno == EINPROGRESS;
      // What was answered before a reset may still be read.
      aClient.mSent = isOpen ? aClient.mSent : mSize;
      break;
    }
    piece += static_cast<std::size_t>(count);
    aClient.mSent += static_cast<std::size_t>(count);
    moved = true;
  }
  return moved;
}

bool Crowd::Drip(Client& aClient)
{
  const auto now = steady_clock::now();
  if (mScript.mDrip.empty() || aClient.mSocket < 0 || aClient.mSent < mSize ||
      now - aClient.mDrippedAt < kDripInterval) {
    return false;
  }
  aClient.mDrippedAt = now;
  (void)::send(
    aClient.mSocket, mScript.mDrip.data(), mScript.mDrip.size(), MSG_NOSIGNAL);
  return false;
}

bool Crowd::Receive(Client& aClient)
{
  std::array<char, kPieceBytes> bytes{};
  if (aClient.mSocket < 0) {
    return false;
  }
  // A client that reads nothing only looks whether the connection is reset.
  const int flags = mScript.mReadsAnswers ? 0 : MSG_PEEK;
  const ssize_t count =
    ::recv(aClient.mSocket, bytes.data(), bytes.size(), flags);
  if (count > 0) {
    const std::size_t kept = kKeptAnswer - aClient.mAnswer.size();
    if (mScript.mReadsAnswers) {
      aClient.mAnswer.append(bytes.data(),
                             std::min(kept, static_cast<std::size_t>(count)));
    }
    return mScript.mReadsAnswers;
  }
  const bool isOpen = count < 0 && (errno == EAGAIN || errno == EINTR ||
                                    errno == ENOTCONN || errno == EINPROGRESS);
  if (!isOpen) {
    Close(aClient);
  }
  return !isOpen;
}

bool Crowd::PlayRound()
{
  bool moved = false;
  for (Client& client : mClients) {
    moved = Send(client) || moved;
    moved = Drip(client) || moved;
    moved = Receive(client) || moved;
  }
  return moved;
}

bool Crowd::IsSettled() const
{
  return std::all_of(
    mClients.begin(), mClients.end(), [this](const Client& aClient) {
      return aClient.mSocket < 0 ||
             (aClient.mSent >= mSize &&
              (!aClient.mAnswer.empty() || !mScript.mReadsAnswers));
    });
}

void Crowd::Play(const std::function<void()>& aWatch)
{
  const auto start = steady_clock::now();
  auto movedAt = start;
  while (steady_clock::now() - start < kLongestWait && !IsSettled() &&
         steady_clock::now() - movedAt < kSettledAfter) {
    if (PlayRound()) {
      movedAt = steady_clock::now();
    } else {
      std::this_thread::sleep_for(milliseconds(5));
    }
    aWatch();
  }
}

bool Crowd::PlayUntil(const std::function<bool()>& aCondition)
{
  const auto start = steady_clock::now();
  while (!aCondition()) {
    if (steady_clock::now() - start > kLongestWait) {
      return false;
    }
    if (!PlayRound()) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  return true;
}

std::size_t Crowd::Open() const
{
  return static_cast<std::size_t>(
    std::count_if(mClients.begin(), mClients.end(), [](const Client& aClient) {
      return aClient.mSocket >= 0;
    }));
}

std::size_t Crowd::Answered(int aStatus) const
{
  return static_cast<std::size_t>(std::count_if(
    mClients.begin(), mClients.end(), [aStatus](const Client& aClient) {
      return StatusOf(aClient.mAnswer) == aStatus;
    }));
}

int OrdinaryRequest(const Poco::Net::SocketAddress& aTo,
                    const std::string& aRequest)
{
  const auto start = steady_clock::now();
  int status = 0;
  while (status != kStatusOk && steady_clock::now() - start < kLongestWait) {
    status = TryRequest(aTo, aRequest);
    if (status != kStatusOk) {
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return status;
}

} // namespace geraniumpond::crowds
