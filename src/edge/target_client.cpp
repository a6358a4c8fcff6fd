#include "target_client.h"

#include "frontend/http_head.h"

#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <poll.h>

namespace geraniumpond::edge {

namespace {

constexpr std::size_t kMaxIdleConnections = 256;
constexpr std::size_t kMaxHead = 64 * 1024;
constexpr int kMaxInterimAnswers = 16;
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kUnavailable = 503;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxLine = 256;
constexpr std::size_t kMaxTrailers = 64;
constexpr int kKeepAliveSeconds = 3600;
// Connections that have been idle for longer are closed.
constexpr Micros kMaxIdleTime = kMinute;

// Nothing may arrive on an idle connection: readable data means that it was
// closed or that the target sent unexpected bytes.
bool HasNoPendingData(TargetSession& aSession)
{
  pollfd item{ aSession.socket().impl()->sockfd(), POLLIN, 0 };
  return ::poll(&item, 1, 0) == 0;
}

bool IsStatus(int aStatus)
{
  return aStatus >= kFirstStatus && aStatus <= kLastStatus;
}

void FillResponse(const frontend::ResponseHead& aHead,
                  Poco::Net::HTTPResponse& aResponse)
{
  aResponse.clear();
  aResponse.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  aResponse.setStatusAndReason(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aHead.mStatus),
    aHead.mReason);
  for (const auto& [name, value] : aHead.mFields) {
    aResponse.add(name, value);
  }
  if (!aHead.mKeepAlive) {
    aResponse.setKeepAlive(false);
  }
}

} // namespace

bool IsRefusal(const Poco::Net::HTTPResponse& aResponse)
{
  return aResponse.getStatus() == kUnavailable &&
         Poco::icompare(aResponse.get("Geraniumpond-Not-Run", ""), "yes") == 0;
}

TargetSession::TargetSession(const std::string& aHost, std::uint16_t aPort)
  : HTTPClientSession(aHost, aPort)
{
  setKeepAlive(true);
  setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
}

void TargetSession::Connect(Micros aTimeout)
{
  socket().connect(Poco::Net::SocketAddress(getHost(), getPort()),
                   Poco::Timespan(aTimeout));
  socket().setNoDelay(true);
}

int TargetSession::write(const char* aBuffer, std::streamsize aLength)
{
  // The base class reconnects and resends, which could run a request twice.
  // NOLINTNEXTLINE(bugprone-parent-virtual-call)
  return HTTPSession::write(aBuffer, aLength);
}

bool TargetSession::mustReconnect() const
{
  return false;
}

std::istream& TargetSession::receiveResponse(Poco::Net::HTTPResponse& aResponse)
{
  flushRequest();
  for (int i = 0; i < kMaxInterimAnswers; ++i) {
    const Result<frontend::ResponseHead> head =
      frontend::ParseResponseHead(ReadHead());
    if (!head) {
      throw Poco::Net::MessageException(head.error().mMessage);
    }
    if (!IsStatus(head.value().mStatus)) {
      throw Poco::Net::MessageException("the status of an answer is none");
    }
    if (head.value().mStatus >= kFirstFinalStatus) {
      FillResponse(head.value(), aResponse);
      mMayRepeatRefusal = mMayRepeatRefusal || IsRefusal(aResponse);
      return mNoBody;
    }
  }
  throw Poco::Net::MessageException("too many interim answers");
}

std::string TargetSession::ReadHead()
{
  std::string head;
  while (head.size() < kMaxHead) {
    const std::optional<char> next = NextByte();
    if (!next) {
      throw Poco::Net::NoMessageException("the head of an answer was cut off");
    }
    head.push_back(*next);
    if (*next == '\n' && head.size() >= kHeadEnd.size() &&
        head.compare(
          head.size() - kHeadEnd.size(), kHeadEnd.size(), kHeadEnd) == 0) {
      return head;
    }
  }
  throw Poco::Net::MessageException("the head of an answer is too large");
}

bool TargetSession::StartBody(const Poco::Net::HTTPResponse& aResponse,
                              bool aHeadOnly)
{
  const int status = aResponse.getStatus();
  const bool noBody = aHeadOnly || status == 204 || status == 304;
  const bool chunked = aResponse.getChunkedTransferEncoding();
  mReusable = aResponse.getKeepAlive();
  mInChunk = false;
  if (noBody) {
    mFraming = Framing::None;
    return true;
  }
  if (chunked && aResponse.hasContentLength()) {
    return false;
  }
  if (chunked) {
    mFraming = Framing::Chunked;
    return true;
  }
  if (aResponse.hasContentLength()) {
    mFraming = Framing::Length;
    mRemaining = static_cast<std::uint64_t>(aResponse.getContentLength64());
    return true;
  }
  // A body that ends when the connection closes cannot be distinguished from a
  // truncated one.
  return false;
}

// POCO's get() does not tell a byte from the end where characters have a sign.
std::optional<char> TargetSession::NextByte()
{
  if (buffered() == 0) {
    refill();
  }
  char next = 0;
  return buffered() > 0 && read(&next, 1) == 1 ? std::optional<char>(next)
                                               : std::nullopt;
}

// Bytes behind an answer would be taken for the next one.
bool TargetSession::Reusable() const
{
  return mReusable && buffered() == 0;
}

bool TargetSession::ReadLine(std::string& aLine)
{
  aLine.clear();
  while (aLine.size() < kMaxLine) {
    const std::optional<char> next = NextByte();
    if (!next) {
      return false;
    }
    if (*next == '\n') {
      if (!aLine.empty() && aLine.back() == '\r') {
        aLine.pop_back();
      }
      return true;
    }
    aLine.push_back(*next);
  }
  return false;
}

bool TargetSession::NextChunk()
{
  std::string line;
  if (mInChunk && (!ReadLine(line) || !line.empty())) {
    return false;
  }
  if (!ReadLine(line)) {
    return false;
  }
  const std::string digits = line.substr(0, line.find_first_of("; \t"));
  Poco::UInt64 size = 0;
  if (digits.empty() || !Poco::NumberParser::tryParseHex64(digits, size)) {
    return false;
  }
  mRemaining = size;
  mInChunk = true;
  return true;
}

bool TargetSession::SkipTrailers()
{
  std::string line;
  for (std::size_t i = 0; i < kMaxTrailers; ++i) {
    if (!ReadLine(line)) {
      return false;
    }
    if (line.empty()) {
      return true;
    }
  }
  return false;
}

BodyRead TargetSession::ReadBody(char* aBuffer, std::size_t& aSize)
{
  const std::size_t capacity = aSize;
  aSize = 0;
  if (mFraming == Framing::None ||
      (mFraming == Framing::Length && mRemaining == 0)) {
    return BodyRead::Done;
  }
  if (mFraming == Framing::Chunked && mRemaining == 0) {
    if (!NextChunk()) {
      return BodyRead::Broken;
    }
    if (mRemaining == 0) {
      return SkipTrailers() ? BodyRead::Done : BodyRead::Broken;
    }
  }
  const auto wanted = std::min<std::uint64_t>(capacity, mRemaining);
  const int count = read(aBuffer, static_cast<std::streamsize>(wanted));
  if (count <= 0) {
    return BodyRead::Broken;
  }
  aSize = static_cast<std::size_t>(count);
  mRemaining -= aSize;
  return BodyRead::More;
}

std::unique_ptr<TargetSession> SessionPool::Acquire(const std::string& aAddress,
                                                    const SessionNeeds& aNeeds,
                                                    Micros aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& idle = mIdle[aAddress];
  // All behind one that has been idle for too long have been for even longer.
  const auto tooOld =
    std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aSession) {
      return aNow - aSession->mLastUsed > kMaxIdleTime;
    });
  idle.erase(idle.begin(), tooOld.base());
  while (true) {
    const auto last =
      std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aSession) {
        return !aNeeds.mNoRepeatedRefusal || !aSession->MayRepeatRefusal();
      });
    if (last == idle.rend() || aNow - (*last)->mLastUsed > aNeeds.mMaxIdle) {
      return nullptr;
    }
    std::unique_ptr<TargetSession> session = std::move(*last);
    idle.erase(std::next(last).base());
    if (HasNoPendingData(*session)) {
      return session;
    }
  }
}

void SessionPool::Release(const std::string& aAddress,
                          std::unique_ptr<TargetSession> aSession,
                          Micros aNow)
{
  if (!aSession->Reusable()) {
    return;
  }
  aSession->mLastUsed = aNow;
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& idle = mIdle[aAddress];
  if (idle.size() >= kMaxIdleConnections) {
    idle.erase(idle.begin());
  }
  idle.push_back(std::move(aSession));
}

void SessionPool::CloseIdle(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIdle.erase(aAddress);
}

} // namespace geraniumpond::edge
