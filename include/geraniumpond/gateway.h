#pragma once

#include <geraniumpond/dispatch.h>
#include <geraniumpond/fleet.h>
#include <geraniumpond/policy.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \brief The reducer of one gateway host: turns events of clients, targets,
/// operators and the fleet into effects.
///
/// Step() reads no clock and no random source; the same events give the same
/// effects.
namespace geraniumpond::gateway {

/// \brief Parses a policy document; the operator interface defines its format.
using PolicyDecoder = Result<policy::TrafficPolicy> (*)(std::string_view);

/// \brief Settings of a gateway host.
struct Settings
{
  fleet::Settings mFleet;
  dispatch::Bounds mBounds;
  quota::Settings mQuota;
  PolicyDecoder mDecodePolicy = nullptr;
  /// All data centres; empty if they are not configured.
  std::vector<std::string> mDataCentres;
  /// Region of each data centre; empty if all are one region.
  regions::Map mRegions;
  /// Speed of the host's network link, in bytes per second.
  double mLinkBytesPerSecond = 125e6;
  /// Whether a host that gets no confirmations of the control group refuses
  /// requests that need a key, and within which time a key that is taken away
  /// must be refused.
  bool mStrictRevocation = false;
  Micros mRevokeWithin = 5 * kSecond;
  /// Time for which clients cache a directory answer.
  Micros mAnswerKeep = 1200 * kMillisecond;
  /// Some clients cache it for up to this many times as long.
  int mAnswerKeepFactor = 3;
  /// Less urgent requests make room for more urgent ones at other hosts.
  bool mFairAcrossHosts = false;
  /// Time from a stop request until the process must have exited.
  Micros mStopGrace = 6 * kSecond;
};

// -------------------------------------------------------------------- events

struct TimePassed
{
  /// Parts of answers are still queued for a client or the link.
  bool mSending = false;
};

struct PeerMessage
{
  wire::FleetMessage mMessage;
};

struct DiskSynced
{
  std::uint64_t mSequence = 0;
};

struct ClientGone
{
  std::uint64_t mRequest = 0;
};

/// \brief A target announces itself, or that it is draining.
struct Announce
{
  std::uint64_t mOperation = 0;
  wire::TargetRecord mRecord;
};

/// \brief A target deregisters.
struct Withdraw
{
  std::uint64_t mOperation = 0;
  wire::RemoveTarget mRemoval;
  /// Time at which the call's connection was opened.
  Micros mOpenedAt = 0;
};

struct PutPolicy
{
  std::uint64_t mOperation = 0;
  std::string mDocument;
};

struct ReadPolicy
{
  std::uint64_t mOperation = 0;
  /// The caller follows a redirect to another host.
  bool mFollowsRedirect = false;
};

/// \brief An operator withdraws a data centre's targets from service, or
/// returns them to it.
struct SetEvacuation
{
  std::uint64_t mOperation = 0;
  std::string mDataCentre;
  bool mEvacuated = false;
  /// Step of this host after which the order was sent.
  std::uint64_t mSentAfterStep = 0;
};

/// \brief An operator releases a request from quarantine.
struct ReleaseRequest
{
  std::uint64_t mOperation = 0;
  std::uint64_t mIdentity = 0;
};

struct StopRequested
{
  /// When the process got its signal; 0 for now. A busy loop, or one that has
  /// yet to start, notices it later.
  Micros mSignalledAt = 0;
};

/// \brief An event with its time and a random number.
struct Event
{
  Micros mNow = 0;
  std::uint64_t mRandom = 0;
  std::variant<TimePassed,
               PeerMessage,
               DiskSynced,
               dispatch::Arrival,
               dispatch::ProbeEnd,
               dispatch::AttemptEnd,
               ClientGone,
               Announce,
               Withdraw,
               PutPolicy,
               ReadPolicy,
               SetEvacuation,
               ReleaseRequest,
               StopRequested>
    mBody;
  /// Time that a message of another host has waited at this host lately.
  Micros mMessageDelay = 0;
};

// ------------------------------------------------------------------- effects

/// \brief Outcome of an operation, as reported to its caller.
enum class OperationOutcome
{
  Done,
  /// The call is invalid.
  Invalid,
  /// The call conflicts with an earlier change.
  Conflict,
  /// Not known to have taken effect; may be retried on any host.
  Unavailable,
  /// Redirected to the host at AnswerOperation::mElsewhere.
  Elsewhere
};

/// \brief Lower-case name of an outcome, as used in logs and answers.
[[nodiscard]] const char* ToString(OperationOutcome aEnd) noexcept;

struct AnswerOperation
{
  std::uint64_t mOperation = 0;
  OperationOutcome mEnd = OperationOutcome::Unavailable;
  std::string mReason;
  /// For a read: the policy as its operator wrote it.
  std::string mDocument;
  /// With Elsewhere: peer address of the host that answers instead.
  std::string mElsewhere;
};

struct SendPeer
{
  std::string mAddress;
  wire::FleetMessage mMessage;
};

struct Persist
{
  consensus::Write mWrite;
};

struct ExitProcess
{};

using Effect = std::variant<dispatch::ProbeTarget,
                            dispatch::SendRequest,
                            dispatch::CancelAttempt,
                            dispatch::DeliverAnswer,
                            dispatch::ReplyToClient,
                            dispatch::LogLine,
                            dispatch::RelayRequest,
                            AnswerOperation,
                            SendPeer,
                            Persist,
                            ExitProcess>;
using Effects = std::vector<Effect>;

// --------------------------------------------------------------------- state

/// \brief Kind of a submitted operation.
enum class OperationKind
{
  Announce,
  Withdraw,
  PutPolicy,
  ReadPolicy,
  SetEvacuation
};

/// \brief An operation whose command is not yet committed.
struct Operation
{
  std::uint64_t mId = 0;
  OperationKind mKind = OperationKind::Announce;
  std::string mSubject{};
  /// A read whose caller is redirected to the leader.
  bool mElsewhere = false;
  wire::SetEvacuation mEvacuation{};
};

/// \brief Latest revision of a data centre's evacuation that this host knows,
/// and the step in which it learnt it.
struct KnownRevision
{
  std::uint64_t mRevision = 0;
  std::uint64_t mSinceStep = 0;
};

/// \brief A read that waits until this host has the required policy version.
struct WaitingRead
{
  std::uint64_t mOperation = 0;
  std::uint64_t mVersion = 0;
  Micros mGiveUpAt = 0;
};

/// \brief State of one gateway host.
struct State
{
  Settings mSettings;
  fleet::State mFleet;
  dispatch::State mDispatch;
  std::map<std::uint64_t, Operation> mOperations;
  std::vector<WaitingRead> mReads;
  /// By data centre.
  std::map<std::string, KnownRevision> mEvacuationRevisions;
  /// Events processed since the process started.
  std::uint64_t mSteps = 0;
  Micros mStartedAt = 0;
  Micros mHostsUpdatedAt = 0;
  Micros mPeakHostsAt = 0;
  /// Of the last totals that were passed to the modules that use them.
  rollup::Stamp mTotalsUsed;
  /// Shuffles the addresses of directory answers.
  std::mt19937_64 mShuffle;
  /// The policy is not applied before the control group has confirmed it.
  bool mPolicyWithheld = false;
  bool mStopping = false;
  Micros mStopAt = 0;
  /// Answers are being sent, as far as is known.
  bool mSending = false;
  bool mExited = false;
};

/// \brief Starts a host from its persistent state.
[[nodiscard]] State Open(const Settings& aSettings,
                         const consensus::Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom,
                         Effects& aOut);

/// \brief Processes one event.
[[nodiscard]] Effects Step(State& aState, const Event& aEvent);

/// \brief Earliest time at which TimePassed has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief True while clients may be directed to this host.
[[nodiscard]] bool IsReady(const State& aState) noexcept;

/// \brief Number of client accounts in the policy in force.
[[nodiscard]] std::size_t AccountCount(const State& aState) noexcept;

/// \brief Peer address of the host to which a read of the policy should be
/// redirected; empty when this host answers itself. That host is known to be
/// reachable only once it has answered.
[[nodiscard]] std::string PolicyRedirect(const State& aState, Micros aNow);

/// \brief What a client that looks up hosts says of itself; what it leaves out
/// is empty.
struct Lookup
{
  std::string mDataCentre{};
  std::string mRegion{};
  /// Host name of the requests that it is going to send.
  std::string mHostName{};
};

/// \brief Gateway addresses returned to a client.
[[nodiscard]] std::vector<std::string> AddressesFor(State& aState,
                                                    const Lookup& aLookup,
                                                    Micros aNow);

} // namespace geraniumpond::gateway
