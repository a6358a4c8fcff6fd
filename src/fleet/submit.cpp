#include "internal.h"

#include <algorithm>
#include <limits>

namespace geraniumpond::fleet {

namespace {

/// A command without an answer is sent again after this time: a round trip
/// between regions and a commit on a slow disk. The time doubles with each try,
/// so that a leader that is behind is not asked for the same thing more often.
constexpr Micros kSubmitRetry = 250 * kMillisecond;
/// Hosts that were replaced as leaders may name each other for a moment.
constexpr int kMostHints = 3;
/// A leader that others still name is asked again after this time.
constexpr Micros kBusyLeader = 400 * kMillisecond;

// Enough disks hold a committed command to outlive the tolerated losses only
// while a quorum is larger than these.
bool OutlivesLosses(const State& aState)
{
  const int voters =
    static_cast<int>(consensus::VoterCount(aState.mGroup.mMembership));
  return voters / 2 + 1 > aState.mSettings.mToleratedLosses;
}

// Targets announce themselves to hosts that have not heard of them yet: what
// the group has committed already needs no entry in the log, nor a message to
// every host.
bool IsCommitted(const State& aState, const wire::CatalogCommand& aCommand)
{
  return aCommand.has_put_target() &&
         !catalog::ChangesState(aState.mCatalog, aCommand.put_target());
}

// Operators and targets that leave wait for an end with a time limit; a target
// that stays announces itself again.
bool IsUrgent(const wire::CatalogCommand& aCommand)
{
  return !aCommand.has_put_target() || aCommand.put_target().draining();
}

Micros RetryPauseOf(const Pending& aPending)
{
  return aPending.mKnownPolicy
           ? std::clamp(2 * aPending.mRetryPause, kReadRetry, 2 * kReadRetry)
           : std::max(kSubmitRetry, 2 * aPending.mRetryPause);
}

void SendPendingTo(State& aState,
                   Micros aNow,
                   std::uint64_t aId,
                   Pending& aPending,
                   const std::string& aTo,
                   Output& aOut)
{
  aPending.mRetryPause = RetryPauseOf(aPending);
  aPending.mSendAt = aNow + aPending.mRetryPause;
  aPending.mLastTo = aTo;
  if (aTo.empty()) {
    return;
  }
  ++aPending.mTries;
  wire::Submit submit;
  submit.set_id(aId);
  submit.set_command(aPending.mCommand);
  submit.set_urgent(aPending.mUrgent);
  if (aPending.mKnownPolicy) {
    submit.set_known_policy(*aPending.mKnownPolicy);
  }
  if (aTo == aState.mSettings.mPeerAddress) {
    TakeSubmit(aState, aNow, aTo, submit, aOut);
    return;
  }
  wire::FleetMessage message;
  *message.mutable_submit() = std::move(submit);
  SendTo(aState, aTo, std::move(message), aOut);
}

// Without a leader's name, or with one that has been asked, control hosts are
// asked in turn: one that answers names the leader.
std::string NextToAsk(State& aState, Micros aNow, Pending& aPending)
{
  const std::string& leader = aState.mLeaderAddress;
  const auto& control = aState.mControlAddresses;
  if ((leader.empty() || leader == aPending.mAskedLeader) && !control.empty()) {
    return control[++aState.mUpstreamTurn % control.size()];
  }
  aPending.mAskedLeader = leader;
  aPending.mAskedLeaderAt = aNow;
  return leader;
}

void SendPending(State& aState,
                 Micros aNow,
                 std::uint64_t aId,
                 Pending& aPending,
                 Output& aOut)
{
  aPending.mHints = 0;
  const std::string to = NextToAsk(aState, aNow, aPending);
  SendPendingTo(aState, aNow, aId, aPending, to, aOut);
}

void TakeHint(State& aState,
              Micros aNow,
              std::uint64_t aId,
              Pending& aPending,
              const std::string& aLeader,
              Output& aOut)
{
  if (!IsControlMember(aState)) {
    aState.mLeaderAddress = aLeader;
  }
  aPending.mLeaderless = 0;
  // One that was asked lately is busy, not lost: the command waits there.
  const bool isWaiting = aLeader == aPending.mAskedLeader &&
                         aNow - aPending.mAskedLeaderAt < kBusyLeader;
  if (!isWaiting && ++aPending.mHints <= kMostHints) {
    aPending.mAskedLeader = aLeader;
    aPending.mAskedLeaderAt = aNow;
    SendPendingTo(aState, aNow, aId, aPending, aLeader, aOut);
  }
}

std::uint64_t Begin(State& aState,
                    Micros aNow,
                    const wire::CatalogCommand& aCommand,
                    std::optional<std::uint64_t> aKnownPolicy,
                    Micros aPatience,
                    Output& aOut)
{
  const std::uint64_t id = ++aState.mLastSubmit;
  Pending& pending = aState.mPending[id];
  pending.mCommand = aCommand.SerializeAsString();
  pending.mUrgent = IsUrgent(aCommand);
  pending.mStartedAt = aNow;
  pending.mGiveUpAt = aNow + aPatience;
  pending.mKnownPolicy = aKnownPolicy;
  SendPending(aState, aNow, id, pending, aOut);
  return id;
}

Done EndOf(std::uint64_t aId, const Pending& aPending, Micros aNow)
{
  Done done;
  done.mId = aId;
  done.mRead.mTries = aPending.mTries;
  done.mRead.mTook = aNow - aPending.mStartedAt;
  done.mRead.mGiveUpAt = aPending.mGiveUpAt;
  return done;
}

void GiveUp(State& aState,
            Micros aNow,
            std::uint64_t aId,
            const std::string& aReason,
            Output& aOut)
{
  const auto found = aState.mPending.find(aId);
  Done done = EndOf(aId, found->second, aNow);
  done.mReason = aReason + ", leader=" + aState.mLeaderAddress;
  aOut.mDone.push_back(std::move(done));
  aState.mPending.erase(found);
}

// A host that follows others takes the newer policy along; at a member of the
// group it comes with the log.
void TakeEnd(State& aState,
             Micros aNow,
             const wire::SubmitReply& aMessage,
             Output& aOut)
{
  const auto found = aState.mPending.find(aMessage.id());
  Done done = EndOf(aMessage.id(), found->second, aNow);
  aState.mPending.erase(found);
  done.mEnd = SubmitEnd::Committed;
  done.mOutcome = aMessage.outcome();
  done.mRead.mLeader = aMessage.leader_address();
  done.mRead.mAtLeader = aMessage.waited_ms() * kMillisecond;
  if (aMessage.has_policy()) {
    done.mPolicy = aMessage.policy();
    aOut.mPolicyChanged =
      (!IsControlMember(aState) &&
       catalog::ReplacePolicy(aState.mCatalog, aMessage.policy())) ||
      aOut.mPolicyChanged;
  }
  aOut.mDone.push_back(std::move(done));
}

// While the group elects a leader the next host may know it already; where none
// does, the read is refused in place of waiting out its time.
void TakeLeaderless(State& aState,
                    Micros aNow,
                    std::uint64_t aId,
                    Pending& aPending,
                    Output& aOut)
{
  if (++aPending.mLeaderless >= aState.mControlAddresses.size()) {
    GiveUp(aState, aNow, aId, "no control host knows a leader", aOut);
    return;
  }
  aPending.mSendAt = std::min(aPending.mSendAt, aNow + kLeaderPause);
}

} // namespace

std::uint64_t Submit(State& aState,
                     Micros aNow,
                     const wire::CatalogCommand& aCommand,
                     Micros aPatience,
                     Output& aOut)
{
  const auto known = aCommand.has_read_barrier()
                       ? std::optional(aState.mCatalog.mVersion)
                       : std::nullopt;
  return Begin(aState, aNow, aCommand, known, aPatience, aOut);
}

std::uint64_t Read(State& aState,
                   Micros aNow,
                   std::uint64_t aKnown,
                   Output& aOut)
{
  wire::CatalogCommand command;
  command.mutable_read_barrier();
  return Begin(aState, aNow, command, aKnown, kReadWithin, aOut);
}

void ReplySubmit(State& aState,
                 Micros aNow,
                 const std::string& aTo,
                 const wire::SubmitReply& aReply,
                 Output& aOut)
{
  if (aTo == aState.mSettings.mPeerAddress) {
    TakeSubmitReply(aState, aNow, aReply, aOut);
    return;
  }
  wire::FleetMessage message;
  *message.mutable_submit_reply() = aReply;
  SendTo(aState, aTo, std::move(message), aOut);
}

void TakeSubmit(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Submit& aMessage,
                Output& aOut)
{
  wire::SubmitReply reply;
  reply.set_id(aMessage.id());
  reply.set_leader_address(aState.mLeaderAddress);
  if (!IsControlMember(aState) || !consensus::IsLeader(aState.mGroup)) {
    reply.set_status(wire::SUBMIT_NOT_LEADER);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  wire::CatalogCommand command;
  const bool readable = command.ParseFromString(aMessage.command());
  if (readable && command.has_read_barrier()) {
    TakeRead(aState, aNow, aFrom, aMessage, aOut);
    return;
  }
  if (!OutlivesLosses(aState) && readable && command.has_put_policy()) {
    reply.set_status(wire::SUBMIT_TOO_FEW_DISKS);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  if (readable && IsCommitted(aState, command)) {
    reply.set_status(wire::SUBMIT_COMMITTED);
    reply.mutable_outcome()->set_accepted(true);
    reply.mutable_outcome()->set_reason("known");
    reply.mutable_outcome()->set_version(aState.mCatalog.mVersion);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  consensus::Output raft;
  const Result<std::uint64_t> index =
    consensus::Propose(aState.mGroup, aNow, aMessage.command(), raft);
  if (!index) {
    reply.set_status(wire::SUBMIT_NOT_LEADER);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  aState.mWaiters[index.value()] = { aState.mGroup.mTerm,
                                     aFrom,
                                     aMessage.id() };
  Perform(aState, aNow, std::move(raft), aOut);
}

void TakeSubmitReply(State& aState,
                     Micros aNow,
                     const wire::SubmitReply& aMessage,
                     Output& aOut)
{
  const auto found = aState.mPending.find(aMessage.id());
  if (found == aState.mPending.end()) {
    return;
  }
  if (aMessage.status() == wire::SUBMIT_COMMITTED) {
    TakeEnd(aState, aNow, aMessage, aOut);
    return;
  }
  Pending& pending = found->second;
  const std::string& hint = aMessage.leader_address();
  const bool isRead = pending.mKnownPolicy.has_value();
  if (aMessage.status() != wire::SUBMIT_NOT_LEADER) {
    return;
  }
  if (hint.empty() && isRead) {
    TakeLeaderless(aState, aNow, aMessage.id(), pending, aOut);
  } else if (!hint.empty() && hint != pending.mLastTo &&
             (isRead || !IsControlMember(aState))) {
    TakeHint(aState, aNow, aMessage.id(), pending, hint, aOut);
  }
}

void RetryPending(State& aState, Micros aNow, Output& aOut)
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, pending] : aState.mPending) {
    if (aNow >= pending.mSendAt || aNow >= pending.mGiveUpAt) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    const auto found = aState.mPending.find(id);
    if (found == aState.mPending.end()) {
      continue;
    }
    if (aNow >= found->second.mGiveUpAt) {
      GiveUp(aState, aNow, id, "no commit in time", aOut);
      continue;
    }
    SendPending(aState, aNow, id, found->second, aOut);
  }
}

Micros NextPendingTime(const State& aState) noexcept
{
  Micros next = std::numeric_limits<Micros>::max();
  for (const auto& [id, pending] : aState.mPending) {
    next = std::min({ next, pending.mSendAt, pending.mGiveUpAt });
  }
  return next;
}

} // namespace geraniumpond::fleet
