#pragma once

#include "dialect.h"
#include "http_message.h"
#include "socket.h"

#include <geraniumpond/dispatch.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Takes what happens at targets.
class TargetSink
{
public:
  TargetSink() = default;
  TargetSink(const TargetSink&) = delete;
  TargetSink& operator=(const TargetSink&) = delete;
  virtual ~TargetSink() = default;

  virtual void OnProbe(const dispatch::ProbeEnd& aEnd) = 0;
  /// \brief The response is empty unless the end is a complete answer.
  virtual void OnAttempt(dispatch::AttemptEnd aEnd, HttpResponse aResponse) = 0;
};

/// \brief One request for one target, ready to be sent.
struct OutboundRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  std::string mTarget;
  std::string mAddress;
  std::string mBytes;
  std::string mRequestId;
  bool mHeadOnly = false;
  bool mProvenConnection = false;
};

/// \brief Connections to targets, kept by incarnation.
class TargetPool
{
public:
  TargetPool(EventLoop& aLoop, const FieldNames& aNames, TargetSink& aSink);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  void Probe(const dispatch::ProbeTarget& aProbe);
  void Send(OutboundRequest aRequest);
  /// \brief Closes an attempt's connection; nothing is reported of it.
  void Cancel(std::uint64_t aAttempt);

  /// \brief Ends probes and connects that take too long, drops old idle
  /// connections; cheap.
  void Tick(Micros aNow);

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }

private:
  class Connection;
  friend class Connection;

  [[nodiscard]] Connection* TakeIdle(const std::string& aTarget,
                                     Micros aMaxAge);
  Connection* Open(const std::string& aTarget, const std::string& aAddress);
  void ReturnToIdle(Connection& aConnection);
  void Retire(Connection& aConnection);

  EventLoop& mLoop;
  FieldNames mNames;
  TargetSink& mSink;
  Micros mNow = 0;
  Micros mSweptAt = 0;
  std::uint64_t mLastConnection = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  std::vector<std::unique_ptr<Connection>> mRetired;
  std::map<std::string, std::vector<Connection*>> mIdle;
  std::unordered_map<std::uint64_t, Connection*> mAttempts;
};

/// \brief What an answer's fields say of its target's limit; more than one such
/// field, and what is no number from zero up, is unreadable.
[[nodiscard]] dispatch::LimitWord ParseLimit(const HeaderFields& aFields,
                                             const std::string& aName);

/// \brief Load as written in an answer; nothing when it is not sound.
[[nodiscard]] std::optional<dispatch::Report> ParseLoad(
  const std::string& aText);

} // namespace geraniumpond::frontend
