#pragma once

#include <geraniumpond/gossip.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \brief What the caller of the dispatch functions has to perform.
namespace geraniumpond::dispatch {

/// \brief Probe a target for its health and load.
struct ProbeTarget
{
  std::string mTarget;
  std::string mAddress;
  std::string mPath;
};

/// \brief Send a request to a target.
struct SendRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  std::string mTarget;
  /// The id that the target announced.
  std::string mTargetName;
  std::string mAddress;
  /// Deadline until which the target may work on it.
  Micros mDeadline = 0;
  /// Use only a connection that is new or has just been verified.
  bool mProvenConnection = false;
  /// Name of the client account; empty if none.
  std::string mAccount;
  /// The client's key, and what the client says of its account, are left out.
  bool mHidesKey = false;
};

/// \brief Pass a request on to another host.
struct RelayRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  /// Caller address of the host.
  std::string mAddress;
  Micros mDeadline = 0;
  /// Time that it spent at this host.
  Micros mElapsed = 0;
  /// Bytes per second at which the answer is to come; 0 for no bound.
  double mBytesPerSecond = 0;
  /// Name of the client account; empty if none.
  std::string mAccount;
  /// As for SendRequest; the identity of the request then goes along, because
  /// the key takes part in it.
  bool mHidesKey = false;
  std::uint64_t mIdentity = 0;
};

/// \brief Cancel an attempt: close its connection.
struct CancelAttempt
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Forward an attempt's answer to the client.
struct DeliverAnswer
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Answer a request without a target.
struct ReplyToClient
{
  std::uint64_t mRequest = 0;
  int mStatus = 503;
  /// Delay before the client should retry; 0 if none is stated.
  Micros mRetryAfter = 0;
  std::string mReason;
};

/// \brief Send a fact to the other hosts.
struct SendFact
{
  gossip::Item mItem;
};

/// \brief A log line.
struct LogLine
{
  int mLevel = 1;
  std::string mText;
};

using Effect = std::variant<ProbeTarget,
                            SendRequest,
                            CancelAttempt,
                            DeliverAnswer,
                            ReplyToClient,
                            SendFact,
                            LogLine,
                            RelayRequest>;
using Effects = std::vector<Effect>;

} // namespace geraniumpond::dispatch
