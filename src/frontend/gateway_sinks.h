#pragma once

#include "gateway_process.h"

#include <cstdint>
#include <string>

namespace geraniumpond::frontend {

/// \brief Turns client requests into arrival events.
class GatewayProcess::ClientSink : public RequestSink
{
public:
  explicit ClientSink(GatewayProcess& aProcess)
    : mProcess(aProcess)
  {
  }

  void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) override;
  void OnClientDisconnected(std::uint64_t aExchange) override;
  void OnMalformed(int aStatus, const std::string& aReason) override;
  void OnAnswerGivenUp(const char* aReason, std::uint64_t aUnsent) override;
  [[nodiscard]] HttpResponse Refuse(const HttpRequest& aRequest,
                                    const std::string& aReason) override;

private:
  GatewayProcess& mProcess;
};

/// \brief Receives calls from targets, operators and directory clients.
class GatewayProcess::CallSink : public RequestSink
{
public:
  explicit CallSink(GatewayProcess& aProcess)
    : mProcess(aProcess)
  {
  }

  void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) override;
  // An operation completes even if its caller disconnects.
  void OnClientDisconnected(std::uint64_t) override {}
  void OnMalformed(int aStatus, const std::string& aReason) override;

private:
  GatewayProcess& mProcess;
};

} // namespace geraniumpond::frontend
