#include "http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <sys/socket.h>
#include <utility>

namespace geraniumpond::frontend {

namespace {

constexpr int kBacklog = 512;
/// Connections accepted in one iteration before other descriptors are served.
constexpr std::size_t kMaxAcceptsPerIteration = 64;
/// Requests of one connection that are handled concurrently.
constexpr std::size_t kMaxPipelined = 16;
/// Unsent answer bytes at which reading from a slow client is paused.
constexpr std::size_t kMaxUnsent = 4 * 1024 * 1024;
/// Bytes of one connection that are read before others are served.
constexpr std::size_t kMaxReadAtOnce = 64 * 1024;
/// Bytes behind the requests that are handled at which reading is paused.
constexpr std::size_t kMaxUnread = 64 * 1024;
/// How often connections are checked for timeouts.
constexpr Micros kTimeoutCheckInterval = 250 * kMillisecond;
/// How long input is discarded before a connection is closed: closing a socket
/// with unread bytes resets the connection, and the last answer would be lost.
constexpr Micros kLingerTimeout = 1 * kSecond;

} // namespace

std::uint64_t NextExchangeId() noexcept
{
  static std::uint64_t last = 0;
  return ++last;
}

/// \brief One client's connection.
class HttpServer::Connection : public Handler
{
public:
  Connection(HttpServer& aServer,
             std::uint64_t aId,
             const Poco::Net::StreamSocket& aSocket,
             std::string aSender)
    : mServer(aServer)
    , mId(aId)
    , mSocket(aServer.mLoop, aSocket)
    , mSender(std::move(aSender))
    , mLastActivityAt(aServer.mNow)
    , mOpenedAt(aServer.mNoneWaitedAt)
  {
    mSocket.Watch(*this, false);
  }

  void OnPeerClosed() override
  {
    mPeerClosed = true;
    if (mIsReadingPaused) {
      Close();
    }
  }

  // A request that arrives together with the end of its connection is dropped:
  // its client gave up while the request waited here, and nobody would receive
  // the answer of a target.
  void OnReadable() override
  {
    const ReceiveResult received = mSocket.Receive(kMaxReadAtOnce);
    if (mLingering) {
      mSocket.Input().clear();
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

  void OnWritable() override
  {
    if (!mSocket.Flush()) {
      Close();
      return;
    }
    ContinueAfterSend();
  }

  void Respond(std::uint64_t aExchange,
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
      }
    }
    SendAnswered();
  }

  void CheckTimeouts(Micros aNow)
  {
    const policy::RequestLimits& limits = mServer.mLimits;
    if (mLingering) {
      if (aNow - mLastActivityAt > kLingerTimeout) {
        Close();
      }
      return;
    }
    if (!mPending.empty() || mSocket.Unsent() > 0) {
      return;
    }
    const bool partial = mReader.InBody() || !mSocket.Input().empty();
    const Micros bound = partial ? limits.mHeaderTimeout : limits.mIdleTimeout;
    if (aNow - mLastActivityAt <= bound) {
      return;
    }
    if (partial) {
      RejectMalformed(408, "request not whole in time");
    } else {
      BeginLingeringClose();
    }
  }

  void CloseIfIdle()
  {
    const bool partial = mReader.InBody() || !mSocket.Input().empty();
    if (!mLingering && mPending.empty() && mSocket.Unsent() == 0 && !partial) {
      BeginLingeringClose();
    }
  }

  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }
  [[nodiscard]] bool HasUnsentAnswers() const
  {
    return HasQueuedBytes() || mLingering;
  }
  [[nodiscard]] bool HasQueuedBytes() const { return mSocket.Unsent() > 0; }

private:
  struct Pending
  {
    std::uint64_t mExchange = 0;
    bool mHeadOnly = false;
    bool mClose = false;
    bool mAnswered = false;
    std::string mBytes;
    double mBytesPerSecond = 0;
  };

  // A request may be answered while it is handed on, which leads here again;
  // the loop then reads the next one.
  void ReadRequests()
  {
    if (mIsReadingRequests) {
      return;
    }
    mIsReadingRequests = true;
    while (MayReadRequest() && ReadRequest()) {
    }
    mIsReadingRequests = false;
    UpdateReading();
  }

  [[nodiscard]] bool MayReadRequest() const
  {
    return !mSocket.Closed() && !mClosing && !mLingering && !mCloseAfterError &&
           !mLastRequestRead && mPending.size() < kMaxPipelined &&
           (!mServer.mStopping || mPending.empty());
  }

  // False if no whole request is left.
  bool ReadRequest()
  {
    const ReadStatus status = mReader.Read(mSocket.Input(), mServer.mLimits);
    if (mReader.TakeExpectContinue() && status == ReadStatus::Partial) {
      (void)mSocket.Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (status == ReadStatus::Malformed) {
      RejectMalformed(mReader.ErrorStatus(), mReader.ErrorReason());
    }
    if (status != ReadStatus::Complete) {
      return false;
    }
    HttpRequest request = mReader.Take();
    request.mSender = mSender;
    request.mOpenedAt = mOpenedAt;
    const std::uint64_t exchange = NextExchangeId();
    mPending.push_back(
      { exchange, request.mMethod == "HEAD", !request.mKeepAlive, false, "" });
    mLastRequestRead = !request.mKeepAlive;
    mServer.mExchanges[exchange] = this;
    mServer.mSink.OnRequest(exchange, std::move(request));
    return true;
  }

  // A client is not read further while it does not read its answers, or while
  // it sends on behind requests that are not answered. Every answer and every
  // byte that is sent leads here again.
  void UpdateReading()
  {
    if (mSocket.Closed()) {
      return;
    }
    // A head that is not whole yet stays within its own limit.
    const std::size_t mostUnread = mServer.mLimits.mMaxHeaderBytes + kMaxUnread;
    mIsReadingPaused = !mLingering && (mSocket.Unsent() > kMaxUnsent ||
                                       mSocket.Input().size() > mostUnread);
    mSocket.WatchReading(mIsReadingPaused ? Reading::End : Reading::Bytes);
  }

  void RejectMalformed(int aStatus, const std::string& aReason)
  {
    mServer.mSink.OnMalformed(aStatus, aReason);
    mCloseAfterError = true;
    HttpResponse response = MakeResponse(aStatus, "text/plain", aReason + "\n");
    mPending.push_back({ 0, false, true, true, "" });
    mPending.back().mBytes = Serialize(response, true, false);
    SendAnswered();
  }

  void SendAnswered()
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
    ContinueAfterSend();
  }

  void PaceIfLarge(const Pending& aPending)
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
  void DropPending()
  {
    const std::deque<Pending> dropped = std::exchange(mPending, {});
    for (const Pending& pending : dropped) {
      if (mServer.mExchanges.erase(pending.mExchange) != 0) {
        mServer.mSink.OnClientDisconnected(pending.mExchange);
      }
    }
  }

  void ContinueAfterSend()
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

  void BeginLingeringClose()
  {
    mLingering = true;
    mLastActivityAt = mServer.mNow;
    mSocket.Input().clear();
    mSocket.WatchReading(Reading::Bytes);
    mSocket.ShutdownSend();
  }

  void Close()
  {
    if (mSocket.Closed()) {
      return;
    }
    mSocket.Close();
    DropPending();
    mServer.Retire(*this);
  }

  HttpServer& mServer;
  std::uint64_t mId = 0;
  BufferedSocket mSocket;
  /// Address of the client.
  std::string mSender;
  RequestReader mReader;
  std::deque<Pending> mPending;
  Micros mLastActivityAt = 0;
  Micros mOpenedAt = 0;
  bool mLastRequestRead = false;
  bool mCloseAfterError = false;
  bool mClosing = false;
  bool mLingering = false;
  bool mPeerClosed = false;
  bool mIsReadingPaused = false;
  bool mIsReadingRequests = false;
};

HttpServer::HttpServer(EventLoop& aLoop,
                       const std::string& aAddress,
                       RequestSink& aSink,
                       LinkPacer* aPacer)
  : mLoop(aLoop)
  , mSink(aSink)
  , mPacer(aPacer)
{
  mSocket.bind(Poco::Net::SocketAddress(aAddress), true);
  mSocket.listen(kBacklog);
  mSocket.setBlocking(false);
  mLoop.Add(mSocket.impl()->sockfd(), *this);
}

HttpServer::~HttpServer()
{
  mLoop.Remove(mSocket.impl()->sockfd(), *this);
}

// Accepts all waiting connections up to a bound: iterations of a busy loop are
// long, and deadlines of clients pass unnoticed in the accept queue. Calls
// accept() directly because POCO throws when no connection waits.
void HttpServer::OnReadable()
{
  mSomeWait = true;
  for (std::size_t i = 0; i < kMaxAcceptsPerIteration; ++i) {
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    auto* sender = reinterpret_cast<sockaddr*>(&address);
    const int descriptor = ::accept(mSocket.impl()->sockfd(), sender, &length);
    if (descriptor < 0) {
      mSomeWait = errno != EAGAIN && errno != EWOULDBLOCK;
      // No connection is left, it was reset already, or the process is out of
      // descriptors; the next call tries again.
      return;
    }
    const Poco::Net::StreamSocket socket(
      new Poco::Net::StreamSocketImpl(descriptor));
    try {
      Accept(socket, Poco::Net::SocketAddress(sender, length));
    } catch (const Poco::Exception&) {
      // The client has already reset the connection.
    }
  }
}

void HttpServer::Accept(const Poco::Net::StreamSocket& aSocket,
                        const Poco::Net::SocketAddress& aSender)
{
  Poco::Net::StreamSocket socket(aSocket);
  socket.setBlocking(false);
  socket.setNoDelay(true);
  const std::uint64_t id = ++mLastConnectionId;
  mConnections[id] =
    std::make_unique<Connection>(*this, id, socket, aSender.host().toString());
}

void HttpServer::Retire(Connection& aConnection)
{
  const auto found = mConnections.find(aConnection.Id());
  if (found != mConnections.end()) {
    mClosedConnections.push_back(std::move(found->second));
    mConnections.erase(found);
  }
}

void HttpServer::Respond(std::uint64_t aExchange,
                         const HttpResponse& aResponse,
                         double aBytesPerSecond)
{
  const auto found = mExchanges.find(aExchange);
  if (found != mExchanges.end()) {
    found->second->Respond(aExchange, aResponse, aBytesPerSecond);
  }
}

Micros HttpServer::NextTick() const noexcept
{
  Micros next = std::numeric_limits<Micros>::max();
  for (const auto& [id, pacer] : mClientPacers) {
    next = std::min(next, pacer->NextTick());
  }
  return next;
}

bool HttpServer::HasUnsentAnswers() const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second->HasUnsentAnswers();
    });
}

bool HttpServer::HasQueuedBytes() const
{
  return std::any_of(
    mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return aEntry.second->HasQueuedBytes();
    });
}

void HttpServer::CloseIdle()
{
  std::vector<Connection*> all;
  for (const auto& [id, connection] : mConnections) {
    all.push_back(connection.get());
  }
  for (Connection* connection : all) {
    connection->CloseIfIdle();
  }
}

// A handler may close its connection, whose pacer is then forgotten.
void HttpServer::TickClientPacers()
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, pacer] : mClientPacers) {
    if (pacer->NextTick() <= mNow) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    const auto found = mClientPacers.find(id);
    if (found != mClientPacers.end()) {
      found->second->Tick(mNow);
    }
  }
}

// A host that was suspended accepts connections long after they were opened.
// One that is accepted now was not waiting when the loop last looked, which was
// after the tick before the last.
void HttpServer::DateWaitingConnections(Micros aTimeOfDay)
{
  if (!mSomeWait) {
    mNoneWaitedAt = mTimeOfDay == 0 ? aTimeOfDay : mTimeOfDay;
  }
  mTimeOfDay = aTimeOfDay;
}

void HttpServer::Tick(Micros aNow, Micros aTimeOfDay)
{
  mNow = aNow;
  DateWaitingConnections(aTimeOfDay);
  for (const std::unique_ptr<Connection>& closed : mClosedConnections) {
    mClientPacers.erase(closed->Id());
  }
  mClosedConnections.clear();
  TickClientPacers();
  if (aNow < mTimeoutsCheckedAt + kTimeoutCheckInterval) {
    return;
  }
  mTimeoutsCheckedAt = aNow;
  std::vector<Connection*> all;
  for (const auto& [id, connection] : mConnections) {
    all.push_back(connection.get());
  }
  for (Connection* connection : all) {
    connection->CheckTimeouts(aNow);
  }
}

} // namespace geraniumpond::frontend
