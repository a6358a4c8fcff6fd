#include "internal.h"

#include <algorithm>
#include <limits>

namespace geraniumpond::fleet {

namespace {

/// Time after which an unanswered command is sent again: a round trip between
/// regions and a commit on a slow disk. It doubles with each attempt, so that
/// an overloaded leader is not flooded with repetitions.
constexpr Micros kSubmitRetry = 250 * kMillisecond;
/// Replaced leaders may name each other for a moment.
constexpr int kMaxRedirects = 3;
/// A leader that others still name is asked again after this time.
constexpr Micros kBusyLeaderTime = 400 * kMillisecond;

// Committed commands are on enough disks to survive the tolerated losses only
// if a quorum is larger than that number.
bool QuorumOutlivesLosses(const State& aState)
{
  const int voters =
    static_cast<int>(consensus::VoterCount(aState.mGroup.mMembership));
  return voters / 2 + 1 > aState.mSettings.mToleratedLosses;
}

// Targets announce themselves to hosts that do not know them yet; what the
// group has committed already needs neither a log entry nor messages to all
// hosts.
bool IsCommitted(const State& aState, const wire::CatalogCommand& aCommand)
{
  return aCommand.has_put_target() &&
         !catalog::ChangesState(aState.mCatalog, aCommand.put_target());
}

// At the leader: index of the entry that commits a target's announcement; a
// new one unless one that says as much is under way. 0 if this host does not
// lead any more.
std::uint64_t ProposeAnnouncement(State& aState,
                                  Micros aNow,
                                  const std::string& aCommand,
                                  const wire::TargetRecord& aRecord,
                                  Output& aOut)
{
  const auto found = aState.mProposedTargets.find(aRecord.id());
  if (found != aState.mProposedTargets.end() &&
      !catalog::ChangesRecord(found->second.mRecord, aRecord)) {
    return found->second.mIndex;
  }
  consensus::Output raft;
  const Result<std::uint64_t> index =
    consensus::Propose(aState.mGroup, aNow, aCommand, raft);
  if (!index) {
    return 0;
  }
  aState.mProposedTargets[aRecord.id()] = { index.value(), aRecord };
  Perform(aState, aNow, std::move(raft), aOut);
  return index.value();
}

// A command that was sent again has one waiter.
void AddWaiter(State& aState, std::uint64_t aIndex, Waiter aWaiter)
{
  const auto [first, last] = aState.mWaiters.equal_range(aIndex);
  for (auto it = first; it != last; ++it) {
    if (it->second.mFrom == aWaiter.mFrom && it->second.mId == aWaiter.mId) {
      it->second = std::move(aWaiter);
      return;
    }
  }
  aState.mWaiters.emplace(aIndex, std::move(aWaiter));
}

// Operators and leaving targets wait for the result with a time limit; a target
// that stays announces itself again.
bool IsUrgent(const wire::CatalogCommand& aCommand)
{
  return !aCommand.has_put_target() || aCommand.put_target().draining();
}

Micros RetryPauseOf(const PendingCommand& aPending)
{
  return aPending.mKnownPolicyVersion
           ? std::clamp(2 * aPending.mRetryPause, kReadRetry, 2 * kReadRetry)
           : std::max(kSubmitRetry, 2 * aPending.mRetryPause);
}

void SendCommand(State& aState,
                 Micros aNow,
                 std::uint64_t aId,
                 const PendingCommand& aPending,
                 const std::string& aTo,
                 Output& aOut)
{
  wire::Submit submit;
  submit.set_id(aId);
  submit.set_command(aPending.mCommand);
  submit.set_urgent(aPending.mUrgent);
  if (aPending.mKnownPolicyVersion) {
    submit.set_known_policy(*aPending.mKnownPolicyVersion);
  }
  if (aTo == aState.mSettings.mPeerAddress) {
    HandleSubmit(aState, aNow, aTo, submit, aOut);
    return;
  }
  wire::FleetMessage message;
  *message.mutable_submit() = std::move(submit);
  SendTo(aState, aTo, std::move(message), aOut);
}

void SendPendingTo(State& aState,
                   Micros aNow,
                   std::uint64_t aId,
                   PendingCommand& aPending,
                   const std::string& aTo,
                   Output& aOut)
{
  aPending.mRetryPause = RetryPauseOf(aPending);
  aPending.mSendAt = aNow + aPending.mRetryPause;
  aPending.mLastSentTo = aTo;
  if (!aTo.empty()) {
    ++aPending.mTries;
    SendCommand(aState, aNow, aId, aPending, aTo, aOut);
  }
}

// If no leader is known, or the known one has been tried, control hosts are
// asked in turn: the first that answers names the leader.
std::string NextDestination(State& aState,
                            Micros aNow,
                            PendingCommand& aPending)
{
  const std::string& leader = aState.mLeaderAddress;
  const auto& control = aState.mControlAddresses;
  if ((leader.empty() || leader == aPending.mTriedLeader) && !control.empty()) {
    return control[++aState.mControlCursor % control.size()];
  }
  aPending.mTriedLeader = leader;
  aPending.mTriedLeaderAt = aNow;
  return leader;
}

void SendPending(State& aState,
                 Micros aNow,
                 std::uint64_t aId,
                 PendingCommand& aPending,
                 Output& aOut)
{
  aPending.mRedirects = 0;
  const bool isRetry = aPending.mTries > 0;
  const std::string to = NextDestination(aState, aNow, aPending);
  // The upstream hears the group, while the links to the leader and to control
  // hosts may all be cut.
  const std::string upstream = aState.mUpstream;
  const bool asksUpstream = isRetry && aPending.mKnownPolicyVersion &&
                            aState.mInTouch && !HasVote(aState) &&
                            !upstream.empty() && upstream != to;
  SendPendingTo(aState, aNow, aId, aPending, to, aOut);
  if (asksUpstream) {
    SendCommand(aState, aNow, aId, aPending, upstream, aOut);
  }
}

void FollowRedirect(State& aState,
                    Micros aNow,
                    std::uint64_t aId,
                    PendingCommand& aPending,
                    const std::string& aLeader,
                    Output& aOut)
{
  if (!IsControlMember(aState)) {
    aState.mLeaderAddress = aLeader;
  }
  aPending.mNoLeaderReplies = 0;
  // A leader that was asked recently is busy, not lost; the command stays with
  // it.
  const bool isWaiting = aLeader == aPending.mTriedLeader &&
                         aNow - aPending.mTriedLeaderAt < kBusyLeaderTime;
  if (!isWaiting && ++aPending.mRedirects <= kMaxRedirects) {
    aPending.mTriedLeader = aLeader;
    aPending.mTriedLeaderAt = aNow;
    SendPendingTo(aState, aNow, aId, aPending, aLeader, aOut);
  }
}

std::uint64_t StartCommand(State& aState,
                           Micros aNow,
                           const wire::CatalogCommand& aCommand,
                           std::optional<std::uint64_t> aKnownPolicy,
                           Micros aTimeout,
                           Output& aOut)
{
  const std::uint64_t id = ++aState.mLastSubmitId;
  PendingCommand& pending = aState.mPending[id];
  pending.mCommand = aCommand.SerializeAsString();
  pending.mUrgent = IsUrgent(aCommand);
  pending.mStartedAt = aNow;
  pending.mGiveUpAt = aNow + aTimeout;
  pending.mKnownPolicyVersion = aKnownPolicy;
  SendPending(aState, aNow, id, pending, aOut);
  return id;
}

// Reads on behalf of a follower, whose own links may be cut; the leader answers
// this host. False if this host knows no better than the follower.
bool ForwardRead(State& aState,
                 Micros aNow,
                 const std::string& aFrom,
                 const wire::Submit& aMessage,
                 Output& aOut)
{
  if (!aMessage.has_known_policy() || aState.mFollowers.count(aFrom) == 0 ||
      aState.mLeaderAddress.empty() || !IsInTouch(aState, aNow)) {
    return false;
  }
  const auto isRepeated = [&](const auto& aEntry) {
    return aEntry.second.mFollower == aFrom &&
           aEntry.second.mFollowerId == aMessage.id();
  };
  if (std::any_of(aState.mPending.begin(), aState.mPending.end(), isRepeated)) {
    return true;
  }
  const std::uint64_t id = ++aState.mLastSubmitId;
  PendingCommand& pending = aState.mPending[id];
  pending.mCommand = aMessage.command();
  pending.mUrgent = true;
  pending.mStartedAt = aNow;
  pending.mGiveUpAt = aNow + kReadWithin;
  pending.mKnownPolicyVersion = aMessage.known_policy();
  pending.mFollower = aFrom;
  pending.mFollowerId = aMessage.id();
  SendPending(aState, aNow, id, pending, aOut);
  return true;
}

Completion CompletionOf(std::uint64_t aId,
                        const PendingCommand& aPending,
                        Micros aNow)
{
  Completion done;
  done.mId = aId;
  done.mRead.mTries = aPending.mTries;
  done.mRead.mElapsed = aNow - aPending.mStartedAt;
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
  if (!found->second.mFollower.empty()) {
    aState.mPending.erase(found);
    return;
  }
  Completion done = CompletionOf(aId, found->second, aNow);
  done.mReason = aReason + ", leader=" + aState.mLeaderAddress;
  aOut.mDone.push_back(std::move(done));
  aState.mPending.erase(found);
}

// A follower adopts a newer policy from the reply; a member of the group
// receives it through the log.
void CompleteCommand(State& aState,
                     Micros aNow,
                     const wire::SubmitReply& aMessage,
                     Output& aOut)
{
  const auto found = aState.mPending.find(aMessage.id());
  if (!found->second.mFollower.empty()) {
    wire::SubmitReply reply = aMessage;
    reply.set_id(found->second.mFollowerId);
    const std::string follower = found->second.mFollower;
    aState.mPending.erase(found);
    ReplySubmit(aState, aNow, follower, reply, aOut);
    return;
  }
  Completion done = CompletionOf(aMessage.id(), found->second, aNow);
  aState.mPending.erase(found);
  done.mEnd = SubmitResult::Committed;
  done.mOutcome = aMessage.outcome();
  done.mRead.mLeader = aMessage.leader_address();
  done.mRead.mLeaderWait = aMessage.waited_ms() * kMillisecond;
  if (aMessage.has_policy()) {
    done.mPolicy = aMessage.policy();
    aOut.mPolicyChanged =
      (!IsControlMember(aState) &&
       catalog::ReplacePolicy(aState.mCatalog, aMessage.policy())) ||
      aOut.mPolicyChanged;
  }
  aOut.mDone.push_back(std::move(done));
}

// During an election the next host may know the leader already; if none does,
// the read is refused early instead of at its time limit.
void HandleNoLeader(State& aState,
                    Micros aNow,
                    std::uint64_t aId,
                    PendingCommand& aPending,
                    Output& aOut)
{
  if (++aPending.mNoLeaderReplies >= aState.mControlAddresses.size()) {
    GiveUp(aState, aNow, aId, "no control host knows a leader", aOut);
    return;
  }
  aPending.mSendAt = std::min(aPending.mSendAt, aNow + kLeaderPause);
}

// At the leader: one answer for all announcements of a message, when the last
// one is committed.
void HandleAnnouncements(State& aState,
                         Micros aNow,
                         const std::string& aFrom,
                         const wire::Submit& aMessage,
                         wire::SubmitReply aReply,
                         Output& aOut)
{
  std::uint64_t last = 0;
  const auto propose = [&](const std::string& aCommand) {
    wire::CatalogCommand command;
    if (!command.ParseFromString(aCommand) || IsCommitted(aState, command)) {
      return true;
    }
    const std::uint64_t index =
      ProposeAnnouncement(aState, aNow, aCommand, command.put_target(), aOut);
    last = std::max(last, index);
    return index != 0;
  };
  bool leads = propose(aMessage.command());
  for (const wire::Submit& more : aMessage.more()) {
    leads = leads && propose(more.command());
    aReply.add_more_ids(more.id());
  }
  if (!leads) {
    aReply.set_status(wire::SUBMIT_NOT_LEADER);
    aReply.clear_more_ids();
  } else if (last > aState.mApplied) {
    AddWaiter(aState,
              last,
              { aState.mGroup.mTerm,
                aFrom,
                aMessage.id(),
                { aReply.more_ids().begin(), aReply.more_ids().end() } });
    return;
  } else {
    aReply.set_status(wire::SUBMIT_COMMITTED);
    *aReply.mutable_outcome() = KnownOutcome(aState);
  }
  ReplySubmit(aState, aNow, aFrom, aReply, aOut);
}

} // namespace

wire::CatalogOutcome KnownOutcome(const State& aState)
{
  wire::CatalogOutcome outcome;
  outcome.set_accepted(true);
  outcome.set_reason("known");
  outcome.set_version(aState.mCatalog.mVersion);
  return outcome;
}

std::uint64_t Submit(State& aState,
                     Micros aNow,
                     const wire::CatalogCommand& aCommand,
                     Micros aTimeout,
                     Output& aOut)
{
  if (!IsUrgent(aCommand)) {
    return Announce(aState, aNow, aCommand, aTimeout, aOut);
  }
  const auto known = aCommand.has_read_barrier()
                       ? std::optional(aState.mCatalog.mVersion)
                       : std::nullopt;
  return StartCommand(aState, aNow, aCommand, known, aTimeout, aOut);
}

std::uint64_t Read(State& aState,
                   Micros aNow,
                   std::uint64_t aKnown,
                   Output& aOut)
{
  wire::CatalogCommand command;
  command.mutable_read_barrier();
  return StartCommand(aState, aNow, command, aKnown, kReadWithin, aOut);
}

void ReplySubmit(State& aState,
                 Micros aNow,
                 const std::string& aTo,
                 const wire::SubmitReply& aReply,
                 Output& aOut)
{
  if (aTo == aState.mSettings.mPeerAddress) {
    HandleSubmitReply(aState, aNow, aReply, aOut);
    return;
  }
  wire::FleetMessage message;
  *message.mutable_submit_reply() = aReply;
  SendTo(aState, aTo, std::move(message), aOut);
}

void HandleSubmit(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Submit& aMessage,
                  Output& aOut)
{
  wire::SubmitReply reply;
  reply.set_id(aMessage.id());
  reply.set_leader_address(aState.mLeaderAddress);
  if (!IsControlMember(aState) || !consensus::IsLeader(aState.mGroup)) {
    if (ForwardRead(aState, aNow, aFrom, aMessage, aOut)) {
      return;
    }
    reply.set_status(wire::SUBMIT_NOT_LEADER);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  wire::CatalogCommand command;
  const bool readable = command.ParseFromString(aMessage.command());
  if (readable && command.has_read_barrier()) {
    HandleRead(aState, aNow, aFrom, aMessage, aOut);
    return;
  }
  const bool mustOutliveLosses =
    readable && (command.has_put_policy() || command.has_set_evacuation());
  if (mustOutliveLosses && !QuorumOutlivesLosses(aState)) {
    reply.set_status(wire::SUBMIT_TOO_FEW_DISKS);
    ReplySubmit(aState, aNow, aFrom, reply, aOut);
    return;
  }
  if (readable && command.has_put_target()) {
    HandleAnnouncements(aState, aNow, aFrom, aMessage, std::move(reply), aOut);
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
  AddWaiter(
    aState, index.value(), { aState.mGroup.mTerm, aFrom, aMessage.id(), {} });
  Perform(aState, aNow, std::move(raft), aOut);
}

void HandleSubmitReply(State& aState,
                       Micros aNow,
                       const wire::SubmitReply& aMessage,
                       Output& aOut)
{
  HandleAnnouncementsReply(aState, aNow, aMessage, aOut);
  const auto found = aState.mPending.find(aMessage.id());
  if (found == aState.mPending.end()) {
    return;
  }
  if (aMessage.status() == wire::SUBMIT_COMMITTED) {
    CompleteCommand(aState, aNow, aMessage, aOut);
    return;
  }
  PendingCommand& pending = found->second;
  const std::string& hint = aMessage.leader_address();
  const bool isRead = pending.mKnownPolicyVersion.has_value();
  if (aMessage.status() != wire::SUBMIT_NOT_LEADER) {
    return;
  }
  if (hint.empty() && isRead) {
    HandleNoLeader(aState, aNow, aMessage.id(), pending, aOut);
  } else if (!hint.empty() && hint != pending.mLastSentTo &&
             (isRead || !IsControlMember(aState))) {
    FollowRedirect(aState, aNow, aMessage.id(), pending, hint, aOut);
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
  SendAnnouncements(aState, aNow, aOut);
}

Micros NextPendingTime(const State& aState) noexcept
{
  Micros next = NextAnnouncementTime(aState);
  for (const auto& [id, pending] : aState.mPending) {
    next = std::min({ next, pending.mSendAt, pending.mGiveUpAt });
  }
  return next;
}

} // namespace geraniumpond::fleet
