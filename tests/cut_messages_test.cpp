#include "edge/http_server.h"
#include "edge/target_client.h"
#include "fakes/free_address.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::edge {

namespace {

namespace net = Poco::Net;

constexpr const char* kSigned = "Request-Id: q1\r\nConnection: close\r\n";
constexpr const char* kHealthy = "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\n"
                                 "Target-Load: 0,0,4,100\r\n"
                                 "Connection: close\r\n"
                                 "Content-Length: 0\r\n\r\n";
constexpr const char* kPolicy =
  "[policy]\nversion = 1\nbase = 0\n\n"
  "[service s]\nhealth_path = /health\n\n"
  "[route r]\nhost = h.example\nprefix = /\nkind = unsafe\n"
  "timeout = 2s\nobjective = 1s\nattempts = 1\nbackends = s:1\n";

/// \brief Sends the first bytes of an answer, as many as the path of the
/// request says, and closes.
class CuttingTarget
{
public:
  explicit CuttingTarget(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
    , mServer(net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Serve(); })
  {
  }
  ~CuttingTarget()
  {
    mStop = true;
    mThread.join();
  }
  CuttingTarget(const CuttingTarget&) = delete;
  CuttingTarget& operator=(const CuttingTarget&) = delete;

  [[nodiscard]] net::SocketAddress Address() const { return mServer.address(); }

private:
  void Serve()
  {
    while (!mStop) {
      if (mServer.poll(Poco::Timespan(0, 10000), net::Socket::SELECT_READ)) {
        Answer(mServer.acceptConnection());
      }
    }
  }

  void Answer(net::StreamSocket aSocket) const
  {
    try {
      std::string request;
      char bytes[2048];
      while (request.find("\r\n\r\n") == std::string::npos) {
        const int count = aSocket.receiveBytes(bytes, sizeof(bytes));
        if (count <= 0) {
          return;
        }
        request.append(bytes, static_cast<std::size_t>(count));
      }
      const std::size_t path = request.find('/');
      const std::string answer =
        request.compare(path, 7, "/health") == 0
          ? kHealthy
          : mAnswer.substr(0, std::stoul(request.substr(path + 1)));
      aSocket.sendBytes(answer.data(), static_cast<int>(answer.size()));
      aSocket.shutdownSend();
    } catch (const Poco::Exception&) {
      // The host has closed the connection.
    }
  }

  std::string mAnswer;
  net::ServerSocket mServer;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

bool IsTakenForWhole(const CuttingTarget& aTarget,
                     const std::string& aMethod,
                     std::size_t aBytes)
{
  TargetSession session("127.0.0.1", aTarget.Address().port());
  try {
    session.Connect(kSecond);
    net::HTTPRequest request(
      aMethod, "/" + std::to_string(aBytes), net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    net::HTTPResponse response;
    session.receiveResponse(response);
    char bytes[64];
    std::size_t size = sizeof(bytes);
    return session.StartBody(response, aMethod == "HEAD") &&
           session.ReadBody(bytes, size) == BodyRead::Done;
  } catch (const Poco::Exception&) {
    return false;
  }
}

/// \brief A listener that counts the requests that its handler gets.
class CountingListener
{
public:
  CountingListener()
    : mAddress(fakes::FreeAddress())
    , mListener(Options())
  {
  }

  /// \brief Sends bytes, and closes behind them.
  void Send(const std::string& aBytes) { Exchange(aBytes, true); }

  /// \brief Sends bytes, and reads until the listener closes.
  void Ask(const std::string& aBytes) { Exchange(aBytes, false); }

  std::atomic<int> mHandled{ 0 };

private:
  void Exchange(const std::string& aBytes, bool aCloses) const
  {
    net::StreamSocket socket{ net::SocketAddress(mAddress) };
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    if (aCloses) {
      socket.shutdownSend();
    }
    char bytes[256];
    while (socket.receiveBytes(bytes, sizeof(bytes)) > 0) {
    }
  }

  HttpListener::Options Options()
  {
    HttpListener::Options options;
    options.mAddress = mAddress;
    options.mMaxBody = [] { return std::uint64_t{ 1000 }; };
    options.mHandler = [this](Call& aCall) {
      ++mHandled;
      SendText(aCall, 200, "text/plain", "ok\n");
      return ConnectionAction::Close;
    };
    options.mOnMalformed = [](const RequestError&) {};
    return options;
  }

  std::string mAddress;
  HttpListener mListener;
};

constexpr const char* kNoStatuses[] = { "000", "099", "600", "999" };

std::string HeadWithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " None\r\n" + kSigned +
         "Content-Length: 0\r\n\r\n";
}

} // namespace

/// \brief Tests messages whose sender closes in the middle of their head.
class CutMessagesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CutMessagesTest);
  CPPUNIT_TEST(AnswerWithACutHeadIsNotWholeAtTheOlderHost);
  CPPUNIT_TEST(ConnectionWithBytesBehindAnAnswerIsNotReused);
  CPPUNIT_TEST(AnswerWithACutHeadIsABadGatewayAtTheGateway);
  CPPUNIT_TEST(RequestWithACutHeadIsNotHandledByTheOlderHost);
  CPPUNIT_TEST(StatusOutsideTheProtocolIsNotAnAnswerAtTheOlderHost);
  CPPUNIT_TEST(StatusOutsideTheProtocolIsABadGatewayAtTheGateway);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnswerWithACutHeadIsNotWholeAtTheOlderHost()
  {
    struct Case
    {
      const char* mMethod;
      const char* mHead;
    };
    const Case cases[] = {
      { "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" },
      { "GET", "HTTP/1.1 204 No Content\r\n" },
      { "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n" },
    };
    for (const Case& one : cases) {
      const std::string head = std::string(one.mHead) + kSigned + "\r\n";
      const CuttingTarget target(head);
      std::vector<std::size_t> whole;
      for (std::size_t cut = 0; cut <= head.size(); ++cut) {
        if (IsTakenForWhole(target, one.mMethod, cut)) {
          whole.push_back(cut);
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.mHead, std::size_t(1), whole.size());
      CPPUNIT_ASSERT_EQUAL(head.size(), whole.front());
    }
  }

  // Guards against an answer that is taken for that of the next request.
  void ConnectionWithBytesBehindAnAnswerIsNotReused()
  {
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Name: "
                               "caf\xc3\xa9\xff\r\nContent-Length: 2\r\n\r\nok";
    const std::string behind = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const CuttingTarget target(answer + behind);
    for (const std::size_t bytes :
         { answer.size(), answer.size() + behind.size() }) {
      TargetSession session("127.0.0.1", target.Address().port());
      session.Connect(kSecond);
      net::HTTPRequest request(
        "GET", "/" + std::to_string(bytes), net::HTTPMessage::HTTP_1_1);
      session.sendRequest(request);
      net::HTTPResponse response;
      session.receiveResponse(response);
      CPPUNIT_ASSERT(session.StartBody(response, false));
      char body[64];
      std::size_t size = sizeof(body);
      CPPUNIT_ASSERT(session.ReadBody(body, size) == BodyRead::More);
      size = sizeof(body);
      CPPUNIT_ASSERT(session.ReadBody(body, size) == BodyRead::Done);
      CPPUNIT_ASSERT_EQUAL(bytes == answer.size(), session.Reusable());
    }
  }

  void AnswerWithACutHeadIsABadGatewayAtTheGateway()
  {
    const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kSigned +
                             "Content-Length: 0\r\n\r\n";
    const CuttingTarget target(head);
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, target.Address().toString()));
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      CPPUNIT_ASSERT_EQUAL(502, StatusOfCut(host, cut));
    }
    CPPUNIT_ASSERT_EQUAL(200, StatusOfCut(host, head.size()));
  }

  // Guards against a target in trouble whose status reaches the client, and
  // against the bytes behind it, which were taken for the answer.
  void StatusOutsideTheProtocolIsNotAnAnswerAtTheOlderHost()
  {
    for (const char* status : kNoStatuses) {
      const std::string head = HeadWithStatus(status);
      const std::string behind = std::string("HTTP/1.1 200 OK\r\n") + kSigned +
                                 "Content-Length: 0\r\n\r\n";
      const CuttingTarget target(head + behind);
      for (const std::size_t bytes :
           { head.size(), head.size() + behind.size() }) {
        for (const char* method : { "GET", "POST" }) {
          CPPUNIT_ASSERT_MESSAGE(status,
                                 !IsTakenForWhole(target, method, bytes));
        }
      }
    }
  }

  void StatusOutsideTheProtocolIsABadGatewayAtTheGateway()
  {
    for (const char* status : kNoStatuses) {
      const std::string head = HeadWithStatus(status);
      const CuttingTarget target(head);
      fakes::RunningGateway host;
      CPPUNIT_ASSERT(host.Announce(kPolicy, target.Address().toString()));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 502, StatusOfCut(host, head.size()));
    }
  }

  // Guards against requests that run without their body or with other fields.
  void RequestWithACutHeadIsNotHandledByTheOlderHost()
  {
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
                             "Content-Length: 0\r\n\r\n";
    CountingListener listener;
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      listener.Send(head.substr(0, cut));
    }
    CPPUNIT_ASSERT_EQUAL(0, listener.mHandled.load());
    listener.Ask(head);
    CPPUNIT_ASSERT_EQUAL(1, listener.mHandled.load());
  }

private:
  static int StatusOfCut(const fakes::RunningGateway& aHost, std::size_t aBytes)
  {
    net::HTTPClientSession session(aHost.CallerAddress());
    net::HTTPRequest request(
      "POST", "/" + std::to_string(aBytes), net::HTTPMessage::HTTP_1_1);
    request.setHost("h.example");
    request.set("Request-Id", "q1");
    request.setContentLength(0);
    session.sendRequest(request);
    net::HTTPResponse response;
    std::ostringstream body;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), body);
    return response.getStatus();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutMessagesTest);

} // namespace geraniumpond::edge
