#pragma once

#include "client_memory.h"
#include "http_message.h"
#include "socket.h"

#include <Poco/Net/ServerSocket.h>

#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Receives requests and events from the clients of an HttpServer.
class RequestSink
{
public:
  RequestSink() = default;
  RequestSink(const RequestSink&) = delete;
  RequestSink& operator=(const RequestSink&) = delete;
  virtual ~RequestSink() = default;

  /// \brief A request is complete. HttpServer::Respond() answers it.
  virtual void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) = 0;
  /// \brief The client disconnected before its answer was sent.
  virtual void OnClientDisconnected(std::uint64_t aExchange) = 0;
  /// \brief A request was rejected before it was complete.
  virtual void OnMalformed(int aStatus, const std::string& aReason) = 0;
  /// \brief A connection was closed whose client had not read its answers.
  virtual void OnAnswerGivenUp(const char* aReason, std::uint64_t aUnsent);
  /// \brief Refuses a request that has not been handed on, and never will be.
  [[nodiscard]] virtual HttpResponse Refuse(const HttpRequest& aRequest,
                                            const std::string& aReason);
};

/// \brief An HTTP/1.1 server on an event loop. Pipelined requests are handled
/// concurrently and answered in order.
class HttpServer : public Handler
{
public:
  /// \brief Large answers are sent at the pace of the link if there is one.
  /// Connections hold what `aMemory` allows, any amount without it.
  HttpServer(EventLoop& aLoop,
             const std::string& aAddress,
             RequestSink& aSink,
             LinkPacer* aPacer = nullptr,
             ClientMemory* aMemory = nullptr);
  ~HttpServer() override;

  void SetLimits(const policy::RequestLimits& aLimits) { mLimits = aLimits; }
  /// \brief Bounds the connections; for a new one beyond that the one that has
  /// been idle for longest is closed.
  void SetMaxConnections(std::size_t aCount) { mMaxConnections = aCount; }

  /// \brief Answers an exchange; has no effect if its client has disconnected.
  /// A large answer is sent at the pace of a link of this speed if one is
  /// given.
  void Respond(std::uint64_t aExchange,
               const HttpResponse& aResponse,
               double aBytesPerSecond = 0);

  /// \brief From now on closes each connection after the answers to the
  /// requests that it has read, or to the next one.
  void BeginStop() { mStopping = true; }
  /// \brief Closes connections that have no request in progress.
  void CloseIdle();

  /// \brief Closes connections that timed out. Cheap enough for every iteration
  /// of the loop.
  void Tick(Micros aNow) { Tick(aNow, aNow); }
  /// \brief The same where the time of day, by which connections are dated,
  /// is not the time of the loop.
  void Tick(Micros aNow, Micros aTimeOfDay);
  /// \brief The step of this host that follows all that was received so far.
  void SetStep(std::uint64_t aStep) noexcept { mStep = aStep; }
  /// \brief Earliest time at which an answer that is paced goes on.
  [[nodiscard]] Micros NextTick() const noexcept;

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }
  /// \brief True while bytes of an answer wait to be sent, or a connection has
  /// not been closed by its client yet.
  [[nodiscard]] bool HasUnsentAnswers() const;

  /// \brief True while bytes of an answer wait to be sent.
  [[nodiscard]] bool HasQueuedBytes() const;

  /// \brief The most bytes of answers that wait at one connection.
  [[nodiscard]] std::uint64_t MostUnsent() const;
  /// \brief Closes that connection.
  void CloseMostUnsent();

  void OnReadable() override;
  void OnWritable() override {}

private:
  class Connection;
  friend class Connection;

  void Accept(const Poco::Net::StreamSocket& aSocket,
              const Poco::Net::SocketAddress& aSender);
  void Retire(Connection& aConnection);
  /// \brief Closes a connection at which no request is handled; false if there
  /// is none.
  bool MakeRoom();
  void PauseAccepting(Micros aTime);
  void ResumeAccepting();
  [[nodiscard]] Connection* WithMostUnsent() const;
  void TickClientPacers();
  void DateWaitingConnections(Micros aTimeOfDay);

  /// \brief A moment by the two ways in which requests are dated.
  struct Moment
  {
    Micros mTimeOfDay = 0;
    std::uint64_t mStep = 0;
  };

  EventLoop& mLoop;
  RequestSink& mSink;
  LinkPacer* mPacer = nullptr;
  ClientMemory* mMemory = nullptr;
  Poco::Net::ServerSocket mSocket;
  policy::RequestLimits mLimits;
  bool mStopping = false;
  Micros mNow = 0;
  std::uint64_t mStep = 0;
  Moment mLastTick;
  /// No connection waited to be accepted then.
  Moment mNoneWaited;
  bool mSomeWait = false;
  Micros mTimeoutsCheckedAt = 0;
  std::size_t mMaxConnections = std::numeric_limits<std::size_t>::max();
  bool mIsAcceptingPaused = false;
  Micros mAcceptAgainAt = 0;
  std::uint64_t mLastConnectionId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  /// Closed connections, destroyed once none of their methods is on the stack.
  std::vector<std::unique_ptr<Connection>> mClosedConnections;
  std::unordered_map<std::uint64_t, Connection*> mExchanges;
  /// For clients on slower links than this host's, by connection.
  std::unordered_map<std::uint64_t, std::unique_ptr<LinkPacer>> mClientPacers;
};

/// \brief Returns a new exchange id, unique across all servers of the process.
[[nodiscard]] std::uint64_t NextExchangeId() noexcept;

} // namespace geraniumpond::frontend
