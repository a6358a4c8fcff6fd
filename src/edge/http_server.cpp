#include "http_server.h"

#include "forwarding.h"

#include <geraniumpond/hash.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <poll.h>

namespace geraniumpond::edge {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int kBadRequest = 400;
constexpr int kLengthRequired = 411;
constexpr int kTooLarge = 413;
constexpr int kUriTooLong = 414;
constexpr int kUnavailable = 503;
constexpr int kVersionNotSupported = 505;
constexpr std::size_t kMaxUri = 4096;
constexpr std::size_t kMaxLengthDigits = 15;
constexpr int kIdleSeconds = 60;
/// For the first byte of a connection, a whole head, and a piece of a body.
constexpr std::chrono::seconds kReadTime{ 15 };
constexpr std::chrono::seconds kAnyTime{ 0 };
/// Of a body that is read at a time.
constexpr std::size_t kPieceBytes = 4096;

bool IsToken(const std::string& aName)
{
  return !aName.empty() &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 ||
                  std::string("!#$%&'*+-.^_`|~")
                      .find(static_cast<char>(aChar)) != std::string::npos;
         });
}

std::size_t CountHeaders(const HTTPRequest& aRequest, const std::string& aName)
{
  return static_cast<std::size_t>(
    std::count_if(aRequest.begin(), aRequest.end(), [&](const auto& aField) {
      return Poco::icompare(aField.first, aName) == 0;
    }));
}

bool IsDigits(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxLengthDigits &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isdigit(aChar) != 0;
         });
}

// Request kinds are matched by path, so a path must not be normalized to a
// different one at the target.
bool IsNormalizedPath(const std::string& aUri)
{
  const std::string path = Poco::toLower(aUri.substr(0, aUri.find('?')));
  if (path.empty() || path[0] != '/') {
    return false;
  }
  for (const char* bad : { "/../", "/./", "//", "%2e", "%2f", "%5c", "\\" }) {
    if ((path + "/").find(bad) != std::string::npos &&
        (path.back() != '/' || path.find(bad) != std::string::npos)) {
      return false;
    }
  }
  return std::all_of(aUri.begin(), aUri.end(), [](unsigned char aChar) {
    return aChar > ' ' && aChar < 0x7f;
  });
}

RequestError CheckLength(const HTTPRequest& aRequest, std::uint64_t aMaxBody)
{
  const std::size_t lengths =
    CountHeaders(aRequest, HTTPMessage::CONTENT_LENGTH);
  if (CountHeaders(aRequest, HTTPMessage::TRANSFER_ENCODING) > 0) {
    return lengths > 0
             ? RequestError{ kBadRequest, "both length and transfer encoding" }
             : RequestError{ kLengthRequired, "a Content-Length is required" };
  }
  if (lengths > 1) {
    return { kBadRequest, "more than one Content-Length" };
  }
  const std::string length = aRequest.get(HTTPMessage::CONTENT_LENGTH, "0");
  if (!IsDigits(length)) {
    return { kBadRequest, "Content-Length is not a number" };
  }
  if (std::stoull(length) > aMaxBody) {
    return { kTooLarge, "body too large" };
  }
  return {};
}

// POCO takes a head that the end of the connection cuts off for a whole one;
// nobody waits for the answer to a whole one either.
bool HasPeerClosed(const Poco::Net::StreamSocket& aSocket)
{
  pollfd item{ aSocket.impl()->sockfd(), POLLRDHUP, 0 };
  return ::poll(&item, 1, 0) > 0;
}

class Connection : public Poco::Net::TCPServerConnection
{
public:
  Connection(const Poco::Net::StreamSocket& aSocket,
             const HttpListener::Options& aOptions,
             OpenConnections& aOpen)
    : TCPServerConnection(aSocket)
    , mOptions(aOptions)
    , mOpen(aOpen)
    , mParams(new Poco::Net::HTTPServerParams)
  {
    mParams->setKeepAlive(true);
    mParams->setMaxKeepAliveRequests(0);
    mParams->setKeepAliveTimeout(Poco::Timespan(kIdleSeconds, 0));
    mParams->setTimeout(Poco::Timespan(kReadTime.count(), 0));
  }

  void run() override
  {
    mId = mOpen.Add(socket());
    ServeAll();
    mOpen.Remove(mId);
  }

private:
  void ServeAll()
  {
    try {
      Poco::Net::HTTPServerSession session(socket(), mParams);
      const Poco::Timespan firstByte(kReadTime.count(), 0);
      if (!socket().poll(firstByte, Poco::Net::Socket::SELECT_READ)) {
        return;
      }
      while (session.hasMoreRequests()) {
        mOpen.SetState(mId, ConnectionState::Reading, kReadTime);
        if (!Serve(session)) {
          return;
        }
        mOpen.SetState(mId, ConnectionState::Idle, kAnyTime);
      }
    } catch (const Poco::Exception&) {
      // The caller has disconnected; no response can be sent.
    }
  }

  bool Serve(Poco::Net::HTTPServerSession& aSession)
  {
    Poco::Net::HTTPServerResponseImpl response(aSession);
    try {
      Poco::Net::HTTPServerRequestImpl request(response, aSession, mParams);
      if (HasPeerClosed(socket())) {
        return false;
      }
      mOpen.SetState(mId, ConnectionState::Handling, kAnyTime);
      response.setVersion(request.getVersion());
      response.setKeepAlive(request.getKeepAlive() && aSession.canKeepAlive());
      Call call{ request, response, aSession, *mOptions.mMemory, mOpen, mId };
      const RequestError requestError =
        CheckRequest(request, mOptions.mMaxBody());
      if (requestError.mStatus != 0) {
        return Reject(call, requestError);
      }
      if (request.getExpectContinue()) {
        response.sendContinue();
      }
      const ConnectionAction action = mOptions.mHandler(call);
      if (action == ConnectionAction::Break) {
        socket().shutdown();
      }
      return action == ConnectionAction::KeepOpen && response.getKeepAlive();
    } catch (const Poco::Net::NoMessageException&) {
      return false;
    } catch (const Poco::Net::MessageException& error) {
      RejectUnparsed(response, error.displayText());
      return false;
    }
  }

  bool Reject(Call& aCall, const RequestError& aError)
  {
    mOptions.mOnMalformed(aError);
    aCall.mResponse.setKeepAlive(false);
    aCall.mResponse.set("Geraniumpond-Outcome", "not-run");
    SendText(aCall, aError.mStatus, "text/plain", aError.mReason + "\n");
    return false;
  }

  void RejectUnparsed(Poco::Net::HTTPServerResponseImpl& aResponse,
                      const std::string& aReason)
  {
    mOptions.mOnMalformed({ kBadRequest, aReason });
    if (aResponse.sent()) {
      return;
    }
    const std::string body = "malformed request\n";
    aResponse.setVersion(HTTPMessage::HTTP_1_1);
    aResponse.setStatusAndReason(HTTPResponse::HTTP_BAD_REQUEST);
    aResponse.setKeepAlive(false);
    aResponse.set("Geraniumpond-Outcome", "not-run");
    aResponse.sendBuffer(body.data(), body.size());
  }

  const HttpListener::Options& mOptions;
  OpenConnections& mOpen;
  std::uint64_t mId = 0;
  Poco::Net::HTTPServerParams::Ptr mParams;
};

class Factory : public Poco::Net::TCPServerConnectionFactory
{
public:
  Factory(const HttpListener::Options& aOptions, OpenConnections& aOpen)
    : mOptions(aOptions)
    , mOpen(aOpen)
  {
  }

  Poco::Net::TCPServerConnection* createConnection(
    const Poco::Net::StreamSocket& aSocket) override
  {
    return new Connection(aSocket, mOptions, mOpen);
  }

private:
  const HttpListener::Options& mOptions;
  OpenConnections& mOpen;
};

} // namespace

RequestError CheckRequest(const Poco::Net::HTTPServerRequestImpl& aRequest,
                          std::uint64_t aMaxBody)
{
  if (aRequest.getVersion() != HTTPMessage::HTTP_1_1) {
    return { kVersionNotSupported, "HTTP/1.1 only" };
  }
  if (aRequest.getURI().size() > kMaxUri) {
    return { kUriTooLong, "URI too long" };
  }
  if (!IsNormalizedPath(aRequest.getURI())) {
    return { kBadRequest, "path not allowed" };
  }
  const bool validNames =
    std::all_of(aRequest.begin(), aRequest.end(), [](const auto& aField) {
      return IsToken(aField.first);
    });
  if (!validNames || !HasFieldTexts(aRequest) ||
      !IsToken(aRequest.getMethod())) {
    return { kBadRequest, "malformed header" };
  }
  return CheckLength(aRequest, aMaxBody);
}

// Takes memory as the bytes come: many callers may announce much and send
// little.
BodyResult ReadBody(Call& aCall, std::string& aBody, HeldBytes& aHeld)
{
  if (!aCall.mRequest.hasContentLength()) {
    return BodyResult::Whole;
  }
  const auto length =
    static_cast<std::size_t>(aCall.mRequest.getContentLength64());
  std::istream& stream = aCall.mRequest.stream();
  std::array<char, kPieceBytes> piece{};
  while (aBody.size() < length) {
    const std::size_t wanted = std::min(piece.size(), length - aBody.size());
    aCall.mOpen.SetState(
      aCall.mConnection, ConnectionState::Reading, kReadTime);
    stream.read(piece.data(), static_cast<std::streamsize>(wanted));
    if (static_cast<std::size_t>(stream.gcount()) != wanted) {
      return BodyResult::CutOff;
    }
    if (!aHeld.Grow(aCall.mMemory, aBody.size() + wanted)) {
      return BodyResult::Refused;
    }
    aBody.reserve(length);
    aBody.append(piece.data(), wanted);
  }
  aCall.mOpen.SetState(aCall.mConnection, ConnectionState::Handling, kAnyTime);
  return BodyResult::Whole;
}

ConnectionAction EndUnread(Call& aCall, BodyResult aBody)
{
  if (aBody != BodyResult::Refused) {
    return ConnectionAction::Break;
  }
  aCall.mResponse.setKeepAlive(false);
  aCall.mResponse.set("Geraniumpond-Outcome", "not-run");
  aCall.mResponse.set("Retry-After", "1");
  aCall.mResponse.set("Geraniumpond-Retry-After-Ms", "1000");
  SendText(aCall, kUnavailable, "text/plain", "too much is held for callers\n");
  return ConnectionAction::Close;
}

std::string TokenDigest(const HTTPRequest& aRequest)
{
  constexpr std::size_t kPrefix = 7;
  const std::string value = aRequest.get("Authorization", "");
  const bool bearer = Poco::icompare(value.substr(0, kPrefix), "Bearer ") == 0;
  return Sha256Hex(bearer ? value.substr(kPrefix) : "");
}

void SendText(Call& aCall,
              int aStatus,
              const std::string& aType,
              const std::string& aBody)
{
  aCall.mResponse.setStatusAndReason(
    static_cast<HTTPResponse::HTTPStatus>(aStatus));
  aCall.mResponse.setContentType(aType);
  aCall.mResponse.sendBuffer(aBody.data(), aBody.size());
}

HttpListener::HttpListener(Options aOptions)
  : mOptions(std::move(aOptions))
  , mOpen(static_cast<std::size_t>(std::max(mOptions.mMaxConnections, 1)))
  , mThreads(2, std::max(mOptions.mMaxConnections, 2))
{
  const Poco::Net::SocketAddress address(mOptions.mAddress);
  Poco::Net::ServerSocket socket;
  // Without SO_REUSEPORT, so that a second process on the same port fails to
  // bind.
  socket.bind(address, true, false);
  socket.listen(1024);
  auto* params = new Poco::Net::TCPServerParams;
  params->setMaxThreads(mOptions.mMaxConnections);
  params->setMaxQueued(mOptions.mMaxConnections);
  mServer = std::make_unique<Poco::Net::TCPServer>(
    new Factory(mOptions, mOpen), mThreads, socket, params);
  mServer->start();
}

HttpListener::~HttpListener()
{
  Stop();
}

void HttpListener::Stop()
{
  mServer->stop();
  mOpen.ShutdownAll();
  mThreads.joinAll();
}

} // namespace geraniumpond::edge
