#pragma once

#include "held_bytes.h"
#include "open_connections.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace geraniumpond::edge {

/// \brief What to do with the connection after a handler has responded.
enum class ConnectionAction
{
  KeepOpen,
  Close,
  Break
};

/// \brief An HTTP request with its response and connection.
struct Call
{
  Poco::Net::HTTPServerRequestImpl& mRequest;
  Poco::Net::HTTPServerResponseImpl& mResponse;
  Poco::Net::HTTPServerSession& mSession;
  BodyMemory& mMemory;
  OpenConnections& mOpen;
  std::uint64_t mConnection = 0;
};

/// \brief Why a request is rejected before it reaches a handler.
struct RequestError
{
  int mStatus = 0;
  std::string mReason;
};

/// \brief Validates the request's framing and path; status 0 if it is valid.
[[nodiscard]] RequestError CheckRequest(
  const Poco::Net::HTTPServerRequestImpl& aRequest,
  std::uint64_t aMaxBody);

/// \brief Outcome of reading a body.
enum class BodyResult
{
  Whole,
  CutOff,
  /// More is held for callers than there is memory.
  Refused
};

/// \brief Reads the body that the request announces, and counts it as held.
[[nodiscard]] BodyResult ReadBody(Call& aCall,
                                  std::string& aBody,
                                  HeldBytes& aHeld);

/// \brief Ends a call whose body is not whole: refuses one that was refused,
/// which was not handed on and never will be, and drops one that was cut off.
[[nodiscard]] ConnectionAction EndUnread(Call& aCall, BodyResult aBody);

/// \brief SHA-256 of the bearer token, or of the empty string without one.
[[nodiscard]] std::string TokenDigest(const Poco::Net::HTTPRequest& aRequest);

/// \brief Sends a complete response with a Content-Length.
void SendText(Call& aCall,
              int aStatus,
              const std::string& aType,
              const std::string& aBody);

/// \brief HTTP server with one thread per connection.
class HttpListener
{
public:
  using Handler = std::function<ConnectionAction(Call&)>;
  struct Options
  {
    std::string mAddress;
    int mMaxConnections = 100;
    /// Shared by the listeners of a host.
    std::shared_ptr<BodyMemory> mMemory = std::make_shared<BodyMemory>(0);
    std::function<std::uint64_t()> mMaxBody;
    Handler mHandler;
    std::function<void(const RequestError&)> mOnMalformed;
  };

  explicit HttpListener(Options aOptions);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// \brief Stops accepting connections and closes all open ones.
  void Stop();

private:
  Options mOptions;
  OpenConnections mOpen;
  Poco::ThreadPool mThreads;
  std::unique_ptr<Poco::Net::TCPServer> mServer;
};

} // namespace geraniumpond::edge
