#include "client_connection.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpond::frontend {

namespace {

/// Requests of one connection that are handled concurrently.
constexpr std::size_t kMaxPipelined = 16;
/// Unsent answer bytes at which reading from a slow client is paused.
constexpr std::size_t kMaxUnsent = 4 * 1024 * 1024;
/// Bytes of one connection that are read before others are served.
constexpr std::size_t kMaxReadAtOnce = 64 * 1024;
/// The same where less than that may be held.
constexpr std::size_t kReadShortOfMemory = 4 * 1024;
/// Bytes behind the requests that are handled at which reading is paused.
constexpr std::size_t kMaxUnread = 64 * 1024;
/// How long input is discarded before a connection is closed: closing a socket
/// with unread bytes resets the connection, and the last answer would be lost.
constexpr Micros kLingerTimeout = 1 * kSecond;
/// Held of a request beside its bytes, some of which stand twice.
constexpr std::uint64_t kBytesPerRequest = 1024;
/// Slowest client, in bytes per second, that is waited for: one that is slower
/// would take days for a body of the largest size.
constexpr std::uint64_t kLeastBytesPerSecond = 256;
/// No request can be answered in time whose body takes longer: the longest
/// timeout of a route.
constexpr Micros kLongestBody = 600 * kSecond;

std::uint64_t LeastBytesIn(Micros aTime)
{
  return kLeastBytesPerSecond * static_cast<std::uint64_t>(aTime) / kSecond;
}

std::uint64_t HeldBytesOf(const HttpRequest& aRequest)
{
  std::uint64_t head = aRequest.mTarget.size();
  for (const auto& [name, value] : aRequest.mFields) {
    head += name.size() + value.size();
  }
  return kBytesPerRequest + 2 * head + aRequest.mBody.size();
}

} // namespace

HttpServer::Connection::Connection(HttpServer& aServer,
                                   std::uint64_t aId,
                                   const Poco::Net::StreamSocket& aSocket,
                                   std::string aSender)
  : mServer(aServer)
  , mId(aId)
  , mSocket(aServer.mLoop, aSocket)
  , mSender(std::move(aSender))
  , mLastActivityAt(aServer.mNow)
  , mOpened(aServer.mNoneWaited)
  , mSentAfterStep(mOpened.mStep)
  , mSending{ aServer.mNow, 0 }
{
  mSocket.Watch(*this, false);
}

void HttpServer::Connection::OnPeerClosed()
{
  mPeerClosed = true;
  if (mIsReadingPaused) {
    Close();
  }
}

// A request that arrives together with the end of its connection is dropped:
// its client gave up while the request waited here, and nobody would receive
// the answer of a target.
void HttpServer::Connection::OnReadable()
{
  const bool hasRoom = mServer.mMemory == nullptr ||
                       mServer.mMemory->MayHold(mHeldBytes + kMaxReadAtOnce);
  const ReceiveResult received =
    mSocket.Receive(hasRoom ? kMaxReadAtOnce : kReadShortOfMemory);
  if (mLingering) {
    DropInput();
    if (received == ReceiveResult::End || received == ReceiveResult::Reset) {
      Close();
    }
    return;
  }
  if (received == ReceiveResult::Data) {
    mLastActivityAt = mServer.mNow;
  }
  if (received == ReceiveResult::Reset || received == ReceiveResult::End ||
      mPeerClosed) {
    Close();
    return;
  }
  ReadRequests();
}

void HttpServer::Connection::UpdateHeld()
{
  std::uint64_t held =
    mSocket.Input().capacity() + mReader.HeldBytes() + AnswerBytes();
  for (const Pending& pending : mPending) {
    held += pending.mRequestBytes;
  }
  if (mSocket.Closed()) {
    held = 0;
  }
  if (mServer.mMemory != nullptr) {
    mServer.mMemory->Change(mHeldBytes, held);
  }
  mHeldBytes = held;
}

bool HttpServer::Connection::MayHoldMore() const
{
  return mServer.mMemory == nullptr || mServer.mMemory->MayHold(mHeldBytes);
}

void HttpServer::Connection::OnWritable()
{
  if (!mSocket.Flush()) {
    Close();
    return;
  }
  UpdateHeld();
  ContinueAfterSend();
}

void HttpServer::Connection::Respond(std::uint64_t aExchange,
                                     const HttpResponse& aResponse,
                                     double aBytesPerSecond)
{
  for (Pending& pending : mPending) {
    if (pending.mExchange == aExchange) {
      // What was sent behind a closing answer counts as not read, so that no
      // answer closes before one that is owed.
      const bool isLast = &pending == &mPending.back();
      const bool close = pending.mClose || (mServer.mStopping && isLast);
      pending.mBytes = Serialize(aResponse, close, pending.mHeadOnly);
      pending.mClose = close;
      pending.mBytesPerSecond = aBytesPerSecond;
      pending.mAnswered = true;
      pending.mRequestBytes = 0;
    }
  }
  SendAnswered();
  UpdateHeld();
  if (mServer.mMemory != nullptr) {
    mServer.mMemory->GiveUpAnswers();
  }
}

HttpServer::Connection::Worth HttpServer::Connection::WorthNow() const
{
  if (mLingering) {
    return Worth::Closing;
  }
  if (!mPending.empty() || mSocket.Unsent() > 0) {
    return Worth::Handled;
  }
  return IsReadingMessage() ? Worth::Reading : Worth::Idle;
}

// The one that has been silent for longest.
bool HttpServer::Connection::IsGivenUpBefore(const Connection* aOther) const
{
  const Worth worth = WorthNow();
  if (worth == Worth::Handled) {
    return false;
  }
  if (aOther == nullptr) {
    return true;
  }
  const Worth other = aOther->WorthNow();
  return worth != other ? worth < other
                        : std::tie(mLastActivityAt, mId) <
                            std::tie(aOther->mLastActivityAt, aOther->mId);
}

std::uint64_t HttpServer::Connection::AnswerBytes() const
{
  std::uint64_t bytes = mSocket.Unsent();
  for (const Pending& pending : mPending) {
    bytes += pending.mBytes.size();
  }
  return bytes;
}

void HttpServer::Connection::GiveUpAnswer(const char* aReason)
{
  mServer.mSink.OnAnswerGivenUp(aReason, AnswerBytes());
  Close();
}

// What waits for the pace of the link is not held up by the client.
bool HttpServer::Connection::HasStalled(Micros aNow)
{
  if (!mSocket.IsBlocked()) {
    mSending = { aNow, mSocket.SentBytes() };
  }
  return HasStopped(
    mSending, mSocket.SentBytes(), aNow, mServer.mLimits.mIdleTimeout);
}

bool HttpServer::Connection::HasStopped(Progress& aProgress,
                                        std::uint64_t aBytes,
                                        Micros aNow,
                                        Micros aBound)
{
  if (aBytes >= aProgress.mBytes + LeastBytesIn(aBound)) {
    aProgress = { aNow, aBytes };
  }
  return aNow - aProgress.mSince > aBound;
}

void HttpServer::Connection::CheckTimeouts(Micros aNow)
{
  const policy::RequestLimits& limits = mServer.mLimits;
  if (mLingering) {
    if (aNow - mLastActivityAt > kLingerTimeout) {
      Close();
    }
    return;
  }
  if (HasStalled(aNow)) {
    GiveUpAnswer("answer_not_read");
    return;
  }
  if (!mPending.empty() || mSocket.Unsent() > 0) {
    mMessageSince = 0;
    return;
  }
  TimeMessage();
  if (IsReadingMessage()) {
    if (IsMessageLate(aNow)) {
      RejectMalformed(408, "request not whole in time");
    }
  } else if (aNow - mLastActivityAt > limits.mIdleTimeout) {
    BeginLingeringClose();
  }
}

bool HttpServer::Connection::IsReadingMessage() const
{
  return mReader.InBody() || !mSocket.Input().empty();
}

void HttpServer::Connection::TimeMessage()
{
  if (!IsReadingMessage()) {
    mMessageSince = 0;
  } else if (mMessageSince == 0 || mIsTimingBody != mReader.InBody()) {
    mMessageSince = mServer.mNow;
    mIsTimingBody = mReader.InBody();
    mReceiving = { mServer.mNow, mSocket.ReceivedBytes() };
  }
}

// Bytes that merely come now and then would keep a request open for good.
bool HttpServer::Connection::IsMessageLate(Micros aNow)
{
  const Micros bound = mServer.mLimits.mHeaderTimeout;
  if (!mIsTimingBody) {
    return aNow - mMessageSince > bound;
  }
  return HasStopped(mReceiving, mSocket.ReceivedBytes(), aNow, bound) ||
         aNow - mMessageSince > kLongestBody;
}

void HttpServer::Connection::CloseIfIdle()
{
  if (!mLingering && mPending.empty() && mSocket.Unsent() == 0 &&
      !IsReadingMessage()) {
    BeginLingeringClose();
  }
}

bool HttpServer::Connection::HasUnsentAnswers() const
{
  return HasQueuedBytes() || mLingering;
}

// A request may be answered while it is handed on, which leads here again;
// the loop then reads the next one.
void HttpServer::Connection::ReadRequests()
{
  if (mIsReadingRequests) {
    return;
  }
  mIsReadingRequests = true;
  while (MayReadRequest() && ReadRequest()) {
  }
  mSocket.ReleaseInput();
  UpdateHeld();
  mIsReadingRequests = false;
  UpdateReading();
}

// Nothing is read behind a request whose answer closes the connection.
bool HttpServer::Connection::MayReadRequest() const
{
  if (mSocket.Closed() || mClosing || mLingering) {
    return false;
  }
  return mPending.empty() || (!mServer.mStopping && !mPending.back().mClose &&
                              mPending.size() < kMaxPipelined && MayHoldMore());
}

bool HttpServer::Connection::ReadRequest()
{
  const ReadStatus status = mReader.Read(mSocket.Input(), mServer.mLimits);
  if (mReader.TakeExpectContinue() && status == ReadStatus::Partial) {
    (void)mSocket.Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (status == ReadStatus::Malformed) {
    RejectMalformed(mReader.ErrorStatus(), mReader.ErrorReason());
  }
  UpdateHeld();
  const bool isBegun = status == ReadStatus::Complete || mReader.InBody() ||
                       !mSocket.Input().empty();
  if (status != ReadStatus::Malformed && isBegun && !MayHoldMore()) {
    Refuse(mReader.Request());
    return false;
  }
  if (status != ReadStatus::Complete) {
    return false;
  }
  mMessageSince = 0;
  HttpRequest request = mReader.Take();
  request.mSender = mSender;
  request.mOpenedAt = mOpened.mTimeOfDay;
  request.mSentAfterStep = mSentAfterStep;
  const std::uint64_t exchange = NextExchangeId();
  mPending.push_back(
    { exchange, request.mMethod == "HEAD", !request.mKeepAlive, false, "" });
  mPending.back().mRequestBytes = HeldBytesOf(request);
  UpdateHeld();
  mServer.mExchanges[exchange] = this;
  mServer.mSink.OnRequest(exchange, std::move(request));
  return true;
}

// A client is not read further while it does not read its answers, or while
// it sends on behind requests that are not answered. Every answer and every
// byte that is sent leads here again.
void HttpServer::Connection::UpdateReading()
{
  if (mSocket.Closed()) {
    return;
  }
  // A head that is not whole yet stays within its own limit.
  const std::size_t mostUnread = mServer.mLimits.mMaxHeaderBytes + kMaxUnread;
  mIsReadingPaused = !mLingering && (mSocket.Unsent() > kMaxUnsent ||
                                     mSocket.Input().size() > mostUnread ||
                                     (!mPending.empty() && !MayHoldMore()));
  mSocket.WatchReading(mIsReadingPaused ? Reading::End : Reading::Bytes);
}

void HttpServer::Connection::RejectMalformed(int aStatus,
                                             const std::string& aReason)
{
  mServer.mSink.OnMalformed(aStatus, aReason);
  AnswerAndClose(MakeResponse(aStatus, "text/plain", aReason + "\n"));
}

void HttpServer::Connection::Refuse(const HttpRequest& aRequest)
{
  AnswerAndClose(
    mServer.mSink.Refuse(aRequest, "too much is held for clients"));
}

// What was read is not needed any more, though it may have been a part only.
void HttpServer::Connection::AnswerAndClose(const HttpResponse& aResponse)
{
  mReader.Reset();
  DropInput();
  mPending.push_back({ 0, false, true, true, "" });
  mPending.back().mBytes = Serialize(aResponse, true, false);
  SendAnswered();
  UpdateHeld();
}

void HttpServer::Connection::SendAnswered()
{
  while (!mPending.empty() && mPending.front().mAnswered) {
    Pending pending = std::move(mPending.front());
    mPending.pop_front();
    mServer.mExchanges.erase(pending.mExchange);
    mLastActivityAt = mServer.mNow;
    PaceIfLarge(pending);
    if (!mSocket.Send(std::move(pending.mBytes))) {
      Close();
      return;
    }
    if (pending.mClose) {
      mClosing = true;
      DropPending();
      break;
    }
  }
  // A client that does not pipeline sends its next request after this answer.
  if (mPending.empty() && mSocket.Input().empty()) {
    mSentAfterStep = mServer.mStep;
  }
  ContinueAfterSend();
}

void HttpServer::Connection::PaceIfLarge(const Pending& aPending)
{
  LinkPacer* pacer = mServer.mPacer;
  if (aPending.mBytesPerSecond > 0) {
    std::unique_ptr<LinkPacer>& own = mServer.mClientPacers[mId];
    if (!own) {
      own = std::make_unique<LinkPacer>(aPending.mBytesPerSecond);
    }
    own->Tick(mServer.mNow);
    pacer = own.get();
  }
  if (pacer != nullptr && pacer->IsLarge(aPending.mBytes.size())) {
    mSocket.Pace(*pacer);
  }
}

// Requests behind the last answer of a connection will not be answered.
void HttpServer::Connection::DropPending()
{
  const std::deque<Pending> dropped = std::exchange(mPending, {});
  for (const Pending& pending : dropped) {
    if (mServer.mExchanges.erase(pending.mExchange) != 0) {
      mServer.mSink.OnClientDisconnected(pending.mExchange);
    }
  }
}

void HttpServer::Connection::ContinueAfterSend()
{
  if (mSocket.Closed() || mLingering) {
    return;
  }
  if (mClosing) {
    if (mSocket.Unsent() == 0) {
      BeginLingeringClose();
    }
    return;
  }
  ReadRequests();
}

void HttpServer::Connection::BeginLingeringClose()
{
  mLingering = true;
  mLastActivityAt = mServer.mNow;
  DropInput();
  UpdateHeld();
  mSocket.WatchReading(Reading::Bytes);
  mSocket.ShutdownSend();
}

void HttpServer::Connection::DropInput()
{
  mSocket.Input().clear();
  mSocket.ReleaseInput();
}

void HttpServer::Connection::Close()
{
  if (mSocket.Closed()) {
    return;
  }
  mSocket.Close();
  DropPending();
  UpdateHeld();
  mServer.Retire(*this);
}

} // namespace geraniumpond::frontend
