#pragma once

#include "http_message.h"
#include "socket.h"

#include <Poco/Net/ServerSocket.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Takes what clients of an HttpServer do.
class RequestSink
{
public:
  RequestSink() = default;
  RequestSink(const RequestSink&) = delete;
  RequestSink& operator=(const RequestSink&) = delete;
  virtual ~RequestSink() = default;

  /// \brief A request is whole; it is answered by HttpServer::Respond().
  virtual void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) = 0;
  /// \brief The client left before its answer was sent.
  virtual void OnClientDisconnected(std::uint64_t aExchange) = 0;
  /// \brief A request was refused before it was whole.
  virtual void OnMalformed(int aStatus, const std::string& aReason) = 0;
};

/// \brief HTTP/1.1 for many connections in one event loop: pipelined requests
/// are taken side by side and answered in order.
class HttpServer : public Handler
{
public:
  HttpServer(EventLoop& aLoop, const std::string& aAddress, RequestSink& aSink);
  ~HttpServer() override;

  void SetLimits(const policy::RequestLimits& aLimits) { mLimits = aLimits; }

  /// \brief Answers an exchange; does nothing when its client has left.
  void Respond(std::uint64_t aExchange, const HttpResponse& aResponse);

  /// \brief From now on every answer ends its connection.
  void BeginStop() { mStopping = true; }
  /// \brief Ends connections without a request.
  void CloseIdle();

  /// \brief Ends connections that are idle or late; cheap.
  void Tick(Micros aNow);

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }
  /// \brief True while bytes of an answer wait to be sent, or a client has not
  /// yet taken the end of its connection.
  [[nodiscard]] bool HasUnsentAnswers() const;

  void OnReadable() override;
  void OnWritable() override {}

private:
  class Connection;
  friend class Connection;

  void Accept(const Poco::Net::StreamSocket& aSocket);
  void Retire(Connection& aConnection);

  EventLoop& mLoop;
  RequestSink& mSink;
  Poco::Net::ServerSocket mSocket;
  policy::RequestLimits mLimits;
  bool mStopping = false;
  Micros mNow = 0;
  Micros mSweptAt = 0;
  std::uint64_t mLastConnection = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  /// Ended connections, kept until no call on them is left on the stack.
  std::vector<std::unique_ptr<Connection>> mRetired;
  std::unordered_map<std::uint64_t, Connection*> mExchanges;
};

/// \brief Numbers exchanges; unique over all servers of the process.
[[nodiscard]] std::uint64_t NextExchangeId() noexcept;

} // namespace geraniumpond::frontend
