#include "http_server.h"

#include "client_connection.h"

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
/// How often connections are checked for timeouts.
constexpr Micros kTimeoutCheckInterval = 250 * kMillisecond;
/// Time until connections are accepted again when no descriptor was free.
constexpr Micros kAcceptPause = 50 * kMillisecond;
constexpr int kUnavailable = 503;
/// Bodies that stop short are given up after a few seconds.
constexpr const char* kRefusedRetryAfter = "1";

} // namespace

std::uint64_t NextExchangeId() noexcept
{
  static std::uint64_t last = 0;
  return ++last;
}

HttpResponse RequestSink::Refuse(const HttpRequest&, const std::string& aReason)
{
  HttpResponse response =
    MakeResponse(kUnavailable, "text/plain", aReason + "\n");
  response.mFields.emplace_back("Retry-After", kRefusedRetryAfter);
  return response;
}

void RequestSink::OnAnswerGivenUp(const char*, std::uint64_t) {}

HttpServer::HttpServer(EventLoop& aLoop,
                       const std::string& aAddress,
                       RequestSink& aSink,
                       LinkPacer* aPacer,
                       ClientMemory* aMemory)
  : mLoop(aLoop)
  , mSink(aSink)
  , mPacer(aPacer)
  , mMemory(aMemory)
{
  mSocket.bind(Poco::Net::SocketAddress(aAddress), true);
  mSocket.listen(kBacklog);
  mSocket.setBlocking(false);
  mLoop.Add(mSocket.impl()->sockfd(), *this);
  if (mMemory != nullptr) {
    mMemory->Add(*this);
  }
}

HttpServer::~HttpServer()
{
  mLoop.Remove(mSocket.impl()->sockfd(), *this);
  if (mMemory != nullptr) {
    mMemory->Remove(*this);
  }
}

// Accepts all waiting connections up to a bound: iterations of a busy loop are
// long, and deadlines of clients pass unnoticed in the accept queue. Calls
// accept() directly because POCO throws when no connection waits.
void HttpServer::OnReadable()
{
  mSomeWait = true;
  for (std::size_t i = 0; i < kMaxAcceptsPerIteration; ++i) {
    if (mConnections.size() >= mMaxConnections && !MakeRoom()) {
      PauseAccepting(0);
      return;
    }
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    auto* sender = reinterpret_cast<sockaddr*>(&address);
    const int descriptor = ::accept(mSocket.impl()->sockfd(), sender, &length);
    if (descriptor < 0) {
      mSomeWait = errno != EAGAIN && errno != EWOULDBLOCK;
      // The socket stays readable while the process is out of descriptors.
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS) {
        (void)MakeRoom();
        PauseAccepting(kAcceptPause);
      }
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

bool HttpServer::MakeRoom()
{
  Connection* first = nullptr;
  for (const auto& [id, connection] : mConnections) {
    if (connection->IsGivenUpBefore(first)) {
      first = connection.get();
    }
  }
  if (first == nullptr) {
    return false;
  }
  first->GiveUpForAnother();
  return true;
}

void HttpServer::PauseAccepting(Micros aTime)
{
  mIsAcceptingPaused = true;
  mAcceptAgainAt = mNow + aTime;
  mLoop.WatchReading(mSocket.impl()->sockfd(), *this, Reading::Paused);
}

void HttpServer::ResumeAccepting()
{
  if (mIsAcceptingPaused && mNow >= mAcceptAgainAt) {
    mIsAcceptingPaused = false;
    mLoop.WatchReading(mSocket.impl()->sockfd(), *this, Reading::Bytes);
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

HttpServer::Connection* HttpServer::WithMostUnsent() const
{
  Connection* most = nullptr;
  for (const auto& [id, connection] : mConnections) {
    if (most == nullptr || connection->AnswerBytes() > most->AnswerBytes()) {
      most = connection.get();
    }
  }
  return most;
}

std::uint64_t HttpServer::MostUnsent() const
{
  const Connection* most = WithMostUnsent();
  return most == nullptr ? 0 : most->AnswerBytes();
}

void HttpServer::CloseMostUnsent()
{
  if (Connection* most = WithMostUnsent()) {
    most->GiveUpAnswer("answers_not_read");
  }
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
  const Moment tick{ aTimeOfDay, mStep };
  if (!mSomeWait) {
    mNoneWaited = mLastTick.mTimeOfDay == 0 ? tick : mLastTick;
  }
  mLastTick = tick;
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
  if (mConnections.size() < mMaxConnections) {
    ResumeAccepting();
  }
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
