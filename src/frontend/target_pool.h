#pragma once

#include "answer_bounds.h"
#include "client_memory.h"
#include "dialect.h"
#include "http_message.h"
#include "socket.h"

#include <geraniumpond/dispatch.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Receives the results of probes and request attempts.
class TargetSink
{
public:
  TargetSink() = default;
  TargetSink(const TargetSink&) = delete;
  TargetSink& operator=(const TargetSink&) = delete;
  virtual ~TargetSink() = default;

  virtual void OnProbeResult(const dispatch::ProbeEnd& aEnd) = 0;
  /// \brief The response is empty unless the attempt ended with a complete
  /// answer.
  virtual void OnAttemptResult(dispatch::AttemptEnd aEnd,
                               HttpResponse aResponse) = 0;
};

/// \brief A serialized request for one target.
struct OutboundRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  std::string mTarget;
  std::string mAddress;
  std::string mBytes;
  /// Sent behind mBytes, from where the request stands; may be null.
  std::shared_ptr<const std::string> mBody;
  std::string mRequestId;
  bool mHeadOnly = false;
  /// Only over a connection that is new, or was alive a moment ago and cannot
  /// repeat the refusal of an earlier request.
  bool mProvenConnection = false;
};

/// \brief A pool of connections to targets; idle connections are kept per
/// incarnation of a target.
class TargetPool
{
public:
  /// \brief Large answers are read at the pace of `aPacer`, and none beyond
  /// `aBounds`; they count to what `aMemory` bounds.
  TargetPool(EventLoop& aLoop,
             const FieldNames& aNames,
             TargetSink& aSink,
             LinkPacer& aPacer,
             const AnswerBounds& aBounds = {},
             ClientMemory* aMemory = nullptr);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  void Probe(const dispatch::ProbeTarget& aProbe);
  void Send(OutboundRequest aRequest);
  /// \brief Closes an attempt's connection without reporting a result.
  void Cancel(std::uint64_t aAttempt);

  /// \brief Ends probes and connects that timed out, and closes expired idle
  /// connections. Cheap enough for every iteration of the loop.
  void Tick(Micros aNow);

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return mConnections.size();
  }
  /// \brief Bytes of the answers that are being read.
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept { return mHeldBytes; }

private:
  class Connection;
  friend class Connection;

  /// \brief What a request asks of an idle connection.
  struct IdleNeeds
  {
    Micros mMaxAge = std::numeric_limits<Micros>::max();
    bool mNoRepeatedRefusal = false;
  };
  /// \brief The connection used last of those that meet the needs; null if
  /// there is none.
  [[nodiscard]] Connection* TakeIdle(const std::string& aTarget,
                                     const IdleNeeds& aNeeds);
  Connection* Open(const std::string& aTarget, const std::string& aAddress);
  void ReturnToIdle(Connection& aConnection);
  void Retire(Connection& aConnection);
  /// \brief Gives up an answer if more is held than the bounds allow.
  void EnforceBounds();

  EventLoop& mLoop;
  FieldNames mNames;
  TargetSink& mSink;
  LinkPacer& mPacer;
  AnswerBounds mBounds;
  ClientMemory* mMemory = nullptr;
  std::uint64_t mHeldBytes = 0;
  Micros mNow = 0;
  Micros mTimeoutsCheckedAt = 0;
  std::uint64_t mLastConnectionId = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> mConnections;
  std::vector<std::unique_ptr<Connection>> mClosedConnections;
  std::map<std::string, std::vector<Connection*>> mIdle;
  std::unordered_map<std::uint64_t, Connection*> mAttempts;
};

} // namespace geraniumpond::frontend
