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

/// \brief One gateway host's reducer: requests of clients, announcements of
/// targets, the operator's policy and the fleet, over one stream of events.
///
/// Step() reads no clock and no random source; the same events give the same
/// effects.
namespace geraniumpond::gateway {

/// \brief Reads a policy document; its text is whatever an operator's
/// interface takes.
using PolicyDecoder = Result<policy::TrafficPolicy> (*)(std::string_view);

/// \brief What a gateway host is told at its start.
struct Settings
{
  fleet::Settings mFleet;
  dispatch::Bounds mBounds;
  PolicyDecoder mDecodePolicy = nullptr;
  /// Speed of the host's own link, in bytes a second.
  double mLinkBytesPerSecond = 125e6;
  /// How long clients keep an answer of the directory.
  Micros mAnswerKeep = 1200 * kMillisecond;
  /// Some clients keep it this many times as long.
  int mAnswerKeepTimes = 3;
  /// Time from the request to stop until the process must have ended.
  Micros mStopGrace = 6 * kSecond;
};

// -------------------------------------------------------------------- events

struct TimePassed
{
  /// Bytes of answers wait for a client or for the link.
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

/// \brief A target says that it is there, or that it is about to leave.
struct Announce
{
  std::uint64_t mOperation = 0;
  wire::TargetRecord mRecord;
};

/// \brief A target says that it takes no more work.
struct Withdraw
{
  std::uint64_t mOperation = 0;
  wire::RemoveTarget mRemoval;
};

struct PutPolicy
{
  std::uint64_t mOperation = 0;
  std::string mDocument;
};

struct ReadPolicy
{
  std::uint64_t mOperation = 0;
  /// Its caller can be sent to another host.
  bool mMayBeSentOn = false;
};

/// \brief An operator lets a quarantined request go.
struct ReleaseRequest
{
  std::uint64_t mOperation = 0;
  std::uint64_t mIdentity = 0;
};

struct StopRequested
{};

/// \brief Something that happened, when, and a random word.
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
               ReleaseRequest,
               StopRequested>
    mBody;
};

// ------------------------------------------------------------------- effects

/// \brief How an operation ended, for whoever called it.
enum class OperationEnd
{
  Done,
  /// The call itself is at fault.
  Invalid,
  /// Another change came first.
  Conflict,
  /// Not known to have been done; it may be asked again, of any host.
  Unavailable,
  /// The host at AnswerOperation::mElsewhere answers.
  Elsewhere
};

/// \brief Lower-case name of an end, as logs and answers have it.
[[nodiscard]] const char* ToString(OperationEnd aEnd) noexcept;

struct AnswerOperation
{
  std::uint64_t mOperation = 0;
  OperationEnd mEnd = OperationEnd::Unavailable;
  std::string mReason;
  /// With a read: the policy as its operator wrote it.
  std::string mDocument;
  /// Peer address of the host that answers in place of this one.
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
                            AnswerOperation,
                            SendPeer,
                            Persist,
                            ExitProcess>;
using Effects = std::vector<Effect>;

// --------------------------------------------------------------------- state

/// \brief What a submitted command was for.
enum class OperationKind
{
  Announce,
  Withdraw,
  PutPolicy,
  ReadPolicy
};

/// \brief An operation that waits for its command to commit.
struct Operation
{
  std::uint64_t mId = 0;
  OperationKind mKind = OperationKind::Announce;
  std::string mSubject;
  /// A read that the leader is to answer itself.
  bool mElsewhere = false;
};

/// \brief A read that waits until this host holds the version it must show.
struct WaitingRead
{
  std::uint64_t mOperation = 0;
  std::uint64_t mVersion = 0;
  Micros mGiveUpAt = 0;
};

/// \brief Everything that one gateway host knows.
struct State
{
  Settings mSettings;
  fleet::State mFleet;
  dispatch::State mDispatch;
  std::map<std::uint64_t, Operation> mOperations;
  std::vector<WaitingRead> mReads;
  Micros mStartedAt = 0;
  Micros mHostsCountedAt = 0;
  Micros mMostHostsAt = 0;
  /// Draws the hosts of an answer where there are more than places.
  std::mt19937_64 mShuffle;
  /// No policy is in force before the group's word.
  bool mHoldsPolicy = false;
  bool mStopping = false;
  Micros mStopAt = 0;
  bool mSending = false;
  bool mExited = false;
};

/// \brief Starts a host from what its disk holds.
[[nodiscard]] State Open(const Settings& aSettings,
                         const consensus::Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom,
                         Effects& aOut);

/// \brief Takes one event; the only function that changes a State.
[[nodiscard]] Effects Step(State& aState, const Event& aEvent);

/// \brief Earliest time at which TimePassed has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief True while clients may be sent here.
[[nodiscard]] bool IsReady(const State& aState) noexcept;

/// \brief Peer address of the host that should answer a reader of the policy in
/// place of this one; empty when this host answers itself. Whether it is there
/// is known once it has answered.
[[nodiscard]] std::string PolicyReader(const State& aState, Micros aNow);

/// \brief Addresses that a client of this data centre is given.
[[nodiscard]] std::vector<std::string>
AddressesFor(State& aState, const std::string& aDataCentre, Micros aNow);

} // namespace geraniumpond::gateway
