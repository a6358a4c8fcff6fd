#pragma once

#include "body_target.h"
#include "child_process.h"

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <string>

namespace geraniumpond::crowds {

/// \brief What a test lowers for its host.
struct HostLimits
{
  std::size_t mMemoryMb = 96;
  std::size_t mBodyBytes = 8 * kMegabyte;
  std::size_t mHeaderBytes = 16384;
  std::string mHeaderTimeout = "1s";
  std::string mIdleTimeout = "3s";
  /// 0 leaves the limit of the test's own process.
  std::size_t mDescriptors = 0;
};

/// \brief One gateway host as a process of its own, and two targets.
class GatewayUnderTest
{
public:
  /// \brief Starts them; throws if the host does not serve a first request.
  explicit GatewayUnderTest(const HostLimits& aLimits);
  ~GatewayUnderTest();
  GatewayUnderTest(const GatewayUnderTest&) = delete;
  GatewayUnderTest& operator=(const GatewayUnderTest&) = delete;

  [[nodiscard]] Poco::Net::SocketAddress Callers() const;
  [[nodiscard]] Poco::Net::SocketAddress Calls() const;
  [[nodiscard]] Poco::Net::SocketAddress Metrics() const;
  [[nodiscard]] Poco::Net::SocketAddress Peers() const;
  [[nodiscard]] ChildProcess& Process() { return *mProcess; }

  /// \brief Another host, without a disk, at another address of the loopback
  /// network. It follows this one.
  [[nodiscard]] std::unique_ptr<ChildProcess> StartFollower(
    const std::string& aIp) const;

  /// \brief Fails the test unless the process lives, has stayed within its
  /// memory, and answers an ordinary request.
  void CheckHolds();
  /// \brief Fails the test if more descriptors are open than leave some for
  /// targets, other hosts and the disk.
  void CheckDescriptors();

private:
  void WriteSettings(const std::string& aIp,
                     const std::string& aFile,
                     bool aFounder) const;
  void PutPolicy();
  [[nodiscard]] bool Announce(const std::string& aService,
                              const BodyTarget& aTarget) const;

  HostLimits mLimits;
  std::string mFolder;
  int mPort = 0;
  BodyTarget mTarget{ "t1" };
  /// Of the ordinary requests: those of a crowd may hold the other for good.
  BodyTarget mOrdinaryTarget{ "t2" };
  std::unique_ptr<ChildProcess> mProcess;
};

} // namespace geraniumpond::crowds
