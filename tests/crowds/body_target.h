#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::crowds {

/// \brief A target on loopback that reads bodies of any size, one thread a
/// connection. Requests under `/large` get an answer of 8 MiB, requests under
/// `/held` none until the target ends.
class BodyTarget
{
public:
  explicit BodyTarget(std::string aId);
  ~BodyTarget();
  BodyTarget(const BodyTarget&) = delete;
  BodyTarget& operator=(const BodyTarget&) = delete;

  [[nodiscard]] const std::string& Id() const noexcept { return mId; }
  [[nodiscard]] std::string Address() const
  {
    return mServer.address().toString();
  }

private:
  void Accept();
  void Serve(Poco::Net::StreamSocket aSocket);
  /// \brief Reads a head and skips its body; empty once the peer has closed.
  [[nodiscard]] std::string ReadRequest(Poco::Net::StreamSocket& aSocket);
  /// \brief Waits for bytes; 0 at the end.
  [[nodiscard]] int Receive(Poco::Net::StreamSocket& aSocket,
                            char* aBuffer,
                            int aSize);

  std::string mId;
  Poco::Net::ServerSocket mServer;
  std::atomic<bool> mStop{ false };
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

} // namespace geraniumpond::crowds
