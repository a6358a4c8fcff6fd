#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// \brief Small stand-ins of clients, instances and the operator, on blocking
/// sockets of the loopback network. They follow the users' pages.
namespace review {

/// \brief Seconds since the start of the program.
inline double Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
    .count();
}

inline void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

/// \brief Appends one line with its time to the record of the case.
inline void Record(const char* aFormat, ...)
{
  static std::mutex mutex;
  static std::FILE* file = std::fopen(std::getenv("RECORD"), "a");
  const std::lock_guard<std::mutex> lock(mutex);
  std::fprintf(file, "%9.3f ", Now());
  va_list arguments;
  va_start(arguments, aFormat);
  std::vfprintf(file, aFormat, arguments);
  va_end(arguments);
  std::fputc('\n', file);
  std::fflush(file);
}

using Fields = std::vector<std::pair<std::string, std::string>>;

/// \brief A request or an answer.
struct Message
{
  std::string mStart;
  Fields mFields;
  std::string mBody;
  /// False if the connection ended before the message did.
  bool mComplete = false;
  /// False if nothing came at all.
  bool mStarted = false;
  bool mTimedOut = false;

  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
};

/// \brief One TCP connection.
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  bool Open(const std::string& aAddress, double aSeconds = 1)
  {
    Close();
    mInput.clear();
    sockaddr_in to = Parse(aAddress);
    mDescriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)::connect(mDescriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    pollfd wait{ mDescriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&wait, 1, static_cast<int>(aSeconds * 1000)) != 1 ||
        ::getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      Close();
      return false;
    }
    const int one = 1;
    (void)::setsockopt(
      mDescriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return true;
  }

  bool IsOpen() const { return mDescriptor >= 0; }
  int Descriptor() const { return mDescriptor; }

  void Close()
  {
    if (mDescriptor >= 0) {
      ::close(mDescriptor);
    }
    mDescriptor = -1;
  }

  /// \brief Sends all bytes; false if the connection ended or time ran out.
  bool Send(const std::string& aBytes, double aSeconds = 30)
  {
    const double until = Now() + aSeconds;
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = ::send(mDescriptor,
                                   aBytes.data() + sent,
                                   aBytes.size() - sent,
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      if (count < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
      }
      if (!Wait(POLLOUT, until)) {
        return false;
      }
    }
    return true;
  }

  /// \brief Reads one message. `aUntil` is a time of Now().
  Message Read(double aUntil)
  {
    Message message;
    std::size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(aUntil, message)) {
        message.mStarted = !mInput.empty();
        return message;
      }
    }
    message.mStarted = true;
    ParseHead(mInput.substr(0, end), message);
    mInput.erase(0, end + 4);
    const std::string length = message.Field("Content-Length");
    const std::size_t wanted =
      length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    if (message.Field("Transfer-Encoding") == "chunked") {
      message.mComplete = false;
      return message;
    }
    while (mInput.size() < wanted) {
      if (!Receive(aUntil, message)) {
        message.mBody = std::move(mInput);
        mInput.clear();
        return message;
      }
    }
    message.mBody = mInput.substr(0, wanted);
    mInput.erase(0, wanted);
    message.mComplete = true;
    return message;
  }

  /// \brief True if the peer has closed the connection or sent unasked bytes.
  bool HasEnded()
  {
    char byte = 0;
    const ssize_t count =
      ::recv(mDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  static sockaddr_in Parse(const std::string& aAddress)
  {
    const std::size_t colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
    ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    return address;
  }

private:
  bool Wait(short aEvents, double aUntil)
  {
    const double left = aUntil - Now();
    if (left <= 0) {
      return false;
    }
    pollfd wait{ mDescriptor, aEvents, 0 };
    return ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) > 0;
  }

  bool Receive(double aUntil, Message& aMessage)
  {
    char bytes[65536];
    while (true) {
      const ssize_t count =
        ::recv(mDescriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count > 0) {
        mInput.append(bytes, static_cast<std::size_t>(count));
        return true;
      }
      if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        return false;
      }
      if (!Wait(POLLIN, aUntil)) {
        aMessage.mTimedOut = true;
        return false;
      }
    }
  }

  static void ParseHead(const std::string& aHead, Message& aOut)
  {
    std::size_t at = aHead.find("\r\n");
    aOut.mStart = aHead.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = aHead.find("\r\n", begin);
      const std::string line = aHead.substr(begin, at - begin);
      const std::size_t colon = line.find(':');
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      aOut.mFields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
  }

  int mDescriptor = -1;
  std::string mInput;
};

/// \brief A new id for each attempt of a client.
inline std::string NewRequestId()
{
  static std::atomic<unsigned> last{ 0 };
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", 0x9c41d07b, ++last);
  return text;
}

struct Request
{
  std::string mMethod = "GET";
  std::string mPath;
  std::string mHost = "ficu95.example";
  std::string mId = NewRequestId();
  int mDeadlineMs = 2500;
  std::string mBody;

  std::string Bytes() const
  {
    std::string out = mMethod + " " + mPath + " HTTP/1.1\r\nHost: " + mHost +
                      "\r\nRequest-Id: " + mId +
                      "\r\nDeadline-Ms: " + std::to_string(mDeadlineMs) +
                      "\r\n";
    if (!mBody.empty()) {
      out += "Content-Length: " + std::to_string(mBody.size()) + "\r\n";
    }
    return out + "\r\n" + mBody;
  }
};

/// \brief One call to the interface of a node; status 0 without an answer.
inline Message Call(const std::string& aNode,
                    const std::string& aName,
                    const std::string& aBody,
                    double aSeconds = 1)
{
  Connection connection;
  if (!connection.Open(aNode)) {
    return {};
  }
  const std::string bytes =
    "POST /v1/rpc?call=" + aName + " HTTP/1.1\r\nHost: " + aNode +
    "\r\nContent-Type: application/json\r\nContent-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  const double until = Now() + aSeconds;
  if (!connection.Send(bytes, aSeconds)) {
    return {};
  }
  return connection.Read(until);
}

/// \brief True once a node answers that it is ready.
inline bool IsReady(const std::string& aReadiness)
{
  Connection connection;
  if (!connection.Open(aReadiness, 0.3) ||
      !connection.Send("GET /v1/ready HTTP/1.1\r\nHost: " + aReadiness +
                       "\r\n\r\n")) {
    return false;
  }
  return connection.Read(Now() + 0.5).Status() == 200;
}

/// \brief A node of the deployment, as the script passes it on.
struct Node
{
  std::string mIp;
  int mBasePort = 0;
  /// Process id of its program.
  int mPid = 0;

  std::string Ingress() const { return At(0); }
  std::string Readiness() const { return At(1); }
  std::string Admin() const { return At(2); }
  /// \brief Each node has a zone of its own, by the last number of its address.
  std::string Zone() const { return "z" + mIp.substr(mIp.rfind('.') + 1); }

private:
  std::string At(int aOffset) const
  {
    return mIp + ":" + std::to_string(mBasePort + aOffset);
  }
};

/// \brief Reads "ip:port:pid ip:port:pid ..." from the variable NODES.
inline std::vector<Node> NodesFromEnvironment()
{
  std::vector<Node> nodes;
  std::string text = std::getenv("NODES");
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find(' ', at), text.size());
    const std::string one = text.substr(at, end - at);
    const std::size_t first = one.find(':');
    const std::size_t second = one.rfind(':');
    if (first != std::string::npos) {
      nodes.push_back({ one.substr(0, first),
                        std::atoi(one.c_str() + first + 1),
                        std::atoi(one.c_str() + second + 1) });
    }
    at = end + 1;
  }
  return nodes;
}

/// \brief Loopback address of an instance.
inline std::string InstanceIp(int aNumber)
{
  return std::string(std::getenv("NET")) + "." + std::to_string(100 + aNumber);
}

inline bool HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// \brief What an instance answers to one request.
struct Answer
{
  /// Time from the start of the work to the answer.
  double mWork = 0.1;
  std::string mBody = "done\n";
};

/// \brief An instance of a service: it announces itself, runs `mSlots` requests
/// at once, queues a few, and rejects the others as not executed.
class Instance
{
public:
  using Handler = std::function<Answer(const Message&)>;

  Instance(std::string aId,
           std::string aService,
           std::string aIp,
           std::string aZone,
           int aSlots,
           std::vector<Node> aNodes,
           Handler aHandler)
    : mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mNodes(std::move(aNodes))
    , mHandler(std::move(aHandler))
  {
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Connection::Parse(aIp + ":0");
    if (::bind(mListener,
               reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(mListener, 128) != 0) {
      std::perror("instance");
      std::exit(2);
    }
    socklen_t size = sizeof(address);
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mAddress = aIp + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([this] { AcceptAll(); }).detach();
    std::thread([this] { Announce(); }).detach();
  }

  const std::string& Id() const { return mId; }

  /// \brief Ids of the requests that began to run here, in order.
  std::vector<std::string> Runs()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mRuns;
  }

private:
  void Announce()
  {
    std::size_t at = std::hash<std::string>()(mId);
    for (int sequence = 1;; ++sequence) {
      const std::string body =
        "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress +
        "\",\"zone\":\"" + mZone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(mSlots) +
        ",\"state\":\"ready\",\"warmup_left\":\"0ms\",\"sequence\":" +
        std::to_string(sequence) + "}";
      double pause = 1.5;
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        const Node& node = mNodes[at % mNodes.size()];
        const int status =
          Call(node.Admin(), "instances.heartbeat&of=" + mId, body).Status();
        if (status / 100 == 2) {
          break;
        }
        ++at;
        pause = 0.2;
      }
      Sleep(pause);
    }
  }

  void AcceptAll()
  {
    while (true) {
      const int descriptor = ::accept(mListener, nullptr, nullptr);
      if (descriptor >= 0) {
        std::thread([this, descriptor] { Serve(descriptor); }).detach();
      }
    }
  }

  std::string LoadField()
  {
    return "Instance-Load: " + std::to_string(std::min(mBusy.load(), mSlots)) +
           "," + std::to_string(std::max(0, mBusy.load() - mSlots)) + "," +
           std::to_string(mSlots) + "\r\n";
  }

  void Serve(int aDescriptor)
  {
    Connection connection(aDescriptor);
    const int one = 1;
    (void)::setsockopt(
      aDescriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    while (true) {
      const Message request = connection.Read(Now() + 3600);
      if (!request.mComplete) {
        return;
      }
      if (!Respond(connection, request)) {
        return;
      }
    }
  }

  bool Respond(Connection& aConnection, const Message& aRequest)
  {
    if (aRequest.mStart.rfind("GET /health ", 0) == 0) {
      return aConnection.Send("HTTP/1.1 200 OK\r\nInstance-Id: " + mId +
                              "\r\n" + LoadField() +
                              "Content-Length: 0\r\n\r\n");
    }
    const std::string id = aRequest.Field("Request-Id");
    if (id.empty()) {
      (void)aConnection.Send("HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                             "Connection: close\r\nContent-Length: 0\r\n\r\n");
      return false;
    }
    const std::string expected = aRequest.Field("Expected-Instance");
    if (!expected.empty() && expected != mId) {
      return aConnection.Send("HTTP/1.1 421 Misdirected Request\r\n"
                              "Instance-Id: " +
                              mId + "\r\nContent-Length: 0\r\n\r\n");
    }
    if (mBusy >= mSlots + kQueue) {
      return aConnection.Send("HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Executed: 1\r\nRequest-Id: " +
                              id + "\r\n" + LoadField() +
                              "Content-Length: 0\r\n\r\n");
    }
    ++mBusy;
    if (!WaitForSlot(aConnection, aRequest)) {
      --mBusy;
      return aConnection.Send("HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Executed: 1\r\nRequest-Id: " +
                              id + "\r\n" + LoadField() +
                              "Content-Length: 0\r\n\r\n");
    }
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRuns.push_back(id);
    }
    Record("instance %s runs %s: %s, body %zu bytes",
           mId.c_str(),
           id.c_str(),
           aRequest.mStart.c_str(),
           aRequest.mBody.size());
    const Answer answer = mHandler(aRequest);
    const double until = Now() + answer.mWork;
    bool isLeft = false;
    while (Now() < until && !isLeft) {
      Sleep(std::min(0.005, until - Now()));
      isLeft = aConnection.HasEnded();
    }
    --mRunning;
    --mBusy;
    if (isLeft) {
      Record("instance %s drops %s: its connection was closed",
             mId.c_str(),
             id.c_str());
      return false;
    }
    const bool isSent = aConnection.Send(
      "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
      "\r\nUpstream-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + LoadField() +
      "Content-Length: " + std::to_string(answer.mBody.size()) + "\r\n\r\n" +
      answer.mBody);
    Record("instance %s answered %s with %zu bytes%s",
           mId.c_str(),
           id.c_str(),
           answer.mBody.size(),
           isSent ? "" : ", not all sent");
    return isSent;
  }

  // False if the deadline passed, or the connection ended, before a slot was
  // free.
  bool WaitForSlot(Connection& aConnection, const Message& aRequest)
  {
    const std::string deadline = aRequest.Field("Deadline-Ms");
    const double until =
      Now() + (deadline.empty() ? 60 : std::atof(deadline.c_str()) / 1000);
    while (Now() < until && !aConnection.HasEnded()) {
      int running = mRunning;
      if (running < mSlots &&
          mRunning.compare_exchange_strong(running, running + 1)) {
        return true;
      }
      Sleep(0.001);
    }
    return false;
  }

  static constexpr int kQueue = 4;

  std::string mId;
  std::string mService;
  std::string mAddress;
  std::string mZone;
  int mSlots = 1;
  std::vector<Node> mNodes;
  Handler mHandler;
  int mListener = -1;
  /// Requests that run or wait here, and those that run.
  std::atomic<int> mBusy{ 0 };
  std::atomic<int> mRunning{ 0 };
  std::mutex mMutex;
  std::vector<std::string> mRuns;
};

/// \brief One route of a configuration; `mExtra` holds further fields.
struct Route
{
  std::string mName;
  std::string mPrefix;
  std::string mType = "safe";
  std::string mTimeout = "2500ms";
  int mAttempts = 2;
  std::string mService = "huvo11a";
};

inline std::string Configuration(int aVersion,
                                 int aBase,
                                 const std::vector<Route>& aRoutes)
{
  std::string out = "{\"version\":" + std::to_string(aVersion) +
                    ",\"base_version\":" + std::to_string(aBase) +
                    ",\"resources\":[";
  std::set<std::string> services;
  for (const Route& route : aRoutes) {
    services.insert(route.mService);
    out += "{\"type\":\"routes\",\"metadata\":{\"name\":\"" + route.mName +
           "\"},\"spec\":{\"hostname\":\"ficu95.example\",\"path_prefix\":\"" +
           route.mPrefix + "\",\"route_type\":\"" + route.mType +
           "\",\"timeout\":\"" + route.mTimeout +
           "\",\"target_latency\":\"600ms\",\"priority\":1,\"service\":\"" +
           route.mService +
           "\",\"attempts\":" + std::to_string(route.mAttempts) + "}},";
  }
  for (const std::string& service : services) {
    out += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + service +
           "\"},\"spec\":{\"health_check_path\":\"/health\","
           "\"max_connections\":260,\"protocol\":\"h1\",\"tls\":false}},";
  }
  return out + "{\"type\":\"limits\",\"metadata\":{},\"spec\":{"
               "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
               "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
}

/// \brief Sends a configuration as the operator does, until it has a clear
/// answer; the status of that, 0 if none came in time.
inline int PutConfiguration(const std::vector<Node>& aNodes,
                            const std::string& aDocument,
                            double aSeconds)
{
  const double until = Now() + aSeconds;
  double pause = 0.1;
  for (std::size_t i = 0; Now() < until; ++i) {
    const Node& node = aNodes[i % aNodes.size()];
    const Message answer = Call(node.Admin(), "config.put", aDocument, 2);
    Record("operator sent a configuration of %zu bytes to %s: status %d%s",
           aDocument.size(),
           node.Admin().c_str(),
           answer.Status(),
           answer.Status() == 0 && !answer.mTimedOut ? ", connection ended"
                                                     : "");
    if (answer.Status() == 200 ||
        (answer.Status() >= 400 && answer.Status() < 500 &&
         answer.Status() != 408 && answer.Status() != 429)) {
      return answer.Status();
    }
    Sleep(pause);
    pause = std::min(1.0, 2 * pause);
  }
  return 0;
}

/// \brief Puts the first configuration in force and waits until all nodes are
/// ready and know the instances; exits with 2 if that takes too long.
inline void StartTraffic(const std::vector<Node>& aNodes,
                         const std::vector<Route>& aRoutes)
{
  if (PutConfiguration(aNodes, Configuration(1, 0, aRoutes), 20) != 200) {
    Record("the first configuration was not accepted");
    std::_Exit(2);
  }
  const double until = Now() + 20;
  for (const Node& node : aNodes) {
    while (!IsReady(node.Readiness())) {
      if (Now() > until) {
        Record("%s is not ready", node.mIp.c_str());
        std::_Exit(2);
      }
      Sleep(0.1);
    }
  }
  // Instances announce themselves, and all nodes hear of them.
  Sleep(4);
  Record("all nodes are ready");
}

} // namespace review
