#include "body_target.h"

#include "child_process.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace geraniumpond::crowds {

namespace {

const Poco::Timespan kPollTime{ 0, 20000 };
constexpr std::size_t kLargeAnswer = 8 * kMegabyte;

std::string FieldOf(const std::string& aHead, const std::string& aName)
{
  const std::size_t at = aHead.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + aName.size() + 4;
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

std::string AnswerTo(const std::string& aHead, const std::string& aTarget)
{
  const bool isLarge = aHead.find(" /large") != std::string::npos;
  const std::string id = FieldOf(aHead, "Request-Id");
  const std::size_t size = isLarge ? kLargeAnswer : 0;
  return "HTTP/1.1 200 OK\r\nTarget-Id: " + aTarget +
         "\r\nTarget-Load: 0,0,64,100\r\n" +
         (id.empty() ? "" : "Request-Id: " + id + "\r\n") +
         "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size, 'x');
}

} // namespace

BodyTarget::BodyTarget(std::string aId)
  : mId(std::move(aId))
  , mServer(Poco::Net::SocketAddress("127.0.0.1", 0), 512)
  , mThread([this] { Accept(); })
{
}

BodyTarget::~BodyTarget()
{
  mStop = true;
  mThread.join();
  for (std::thread& thread : mConnections) {
    thread.join();
  }
}

void BodyTarget::Accept()
{
  while (!mStop) {
    if (mServer.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::StreamSocket socket = mServer.acceptConnection();
      mConnections.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

int BodyTarget::Receive(Poco::Net::StreamSocket& aSocket,
                        char* aBuffer,
                        int aSize)
{
  while (!mStop) {
    if (aSocket.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) {
      return aSocket.receiveBytes(aBuffer, aSize);
    }
  }
  return 0;
}

std::string BodyTarget::ReadRequest(Poco::Net::StreamSocket& aSocket)
{
  std::array<char, 64 * 1024> bytes{};
  std::string head;
  std::size_t end = std::string::npos;
  while (end == std::string::npos) {
    const int count =
      Receive(aSocket, bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0) {
      return "";
    }
    head.append(bytes.data(), static_cast<std::size_t>(count));
    end = head.find("\r\n\r\n");
  }
  const std::size_t length =
    std::strtoull(FieldOf(head, "Content-Length").c_str(), nullptr, 10);
  std::size_t read = head.size() - end - 4;
  while (read < length) {
    const int count =
      Receive(aSocket, bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0) {
      return "";
    }
    read += static_cast<std::size_t>(count);
  }
  return head.substr(0, end + 2);
}

void BodyTarget::Serve(Poco::Net::StreamSocket aSocket)
{
  try {
    aSocket.setSendTimeout(Poco::Timespan(60, 0));
    while (!mStop) {
      const std::string head = ReadRequest(aSocket);
      if (head.empty()) {
        return;
      }
      while (head.find(" /held") != std::string::npos && !mStop) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      const std::string answer = AnswerTo(head, mId);
      for (std::size_t at = 0; at < answer.size() && !mStop;) {
        const int count = aSocket.sendBytes(
          answer.data() + at,
          static_cast<int>(std::min<std::size_t>(answer.size() - at, 65536)));
        at += static_cast<std::size_t>(std::max(count, 0));
      }
    }
  } catch (const Poco::Exception&) {
    // The host has closed the connection.
  }
}

} // namespace geraniumpond::crowds
