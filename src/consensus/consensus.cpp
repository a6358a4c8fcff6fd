#include "internal.h"

#include <algorithm>
#include <array>
#include <limits>

namespace geraniumpond::consensus {

namespace {

constexpr std::array<const char*, 5> kRoleNames = {
  "learner", "follower", "pre-candidate", "candidate", "leader",
};

bool SameVoter(const wire::Member& aLeft, const wire::Member* aRight)
{
  return aRight != nullptr && aRight->voter() == aLeft.voter() &&
         aRight->storage() == aLeft.storage();
}

// Voters of one membership that are none in another. A voter whose disk was
// replaced counts as another voter.
std::size_t VotersOnlyIn(const wire::Membership& aMembers,
                         const wire::Membership& aOther)
{
  return static_cast<std::size_t>(std::count_if(
    aMembers.members().begin(),
    aMembers.members().end(),
    [&](const wire::Member& aMember) {
      return aMember.voter() &&
             !SameVoter(aMember, FindMember(aOther, aMember.id()));
    }));
}

// The membership in which a quorum needs a majority of the old voters and one
// of the new. Fails unless all old voters are members of the new one.
Result<wire::Membership> JointOf(const wire::Membership& aOld,
                                 const wire::Membership& aNew)
{
  wire::Membership joint = aNew;
  joint.set_joint(true);
  std::size_t kept = 0;
  for (wire::Member& member : *joint.mutable_members()) {
    const wire::Member* old = FindMember(aOld, member.id());
    const bool voted =
      old != nullptr && old->voter() && old->storage() == member.storage();
    member.set_voted_before(voted);
    kept += voted ? 1 : 0;
  }
  if (kept != VoterCount(aOld)) {
    return Fail(ErrorCode::InvalidArgument, "a voter is not in the next group");
  }
  return joint;
}

// Majorities of two consecutive memberships are sure to overlap only when the
// memberships differ by one voter at most. Where one voter replaces another, a
// joint membership comes between them.
Result<wire::Membership> NextMembership(const wire::Membership& aOld,
                                        const wire::Membership& aNew)
{
  const std::size_t removed = VotersOnlyIn(aOld, aNew);
  const std::size_t added = VotersOnlyIn(aNew, aOld);
  if (VoterCount(aNew) == 0 || removed > 1 || added > 1) {
    return Fail(ErrorCode::InvalidArgument, "one voter at a time");
  }
  return removed + added == 2 ? JointOf(aOld, aNew)
                              : Result<wire::Membership>(aNew);
}

void AppendMembership(State& aState,
                      Micros aNow,
                      const wire::Membership& aNext,
                      Output& aOut)
{
  wire::Entry entry;
  entry.set_term(aState.mTerm);
  entry.set_index(LastIndex(aState) + 1);
  *entry.mutable_membership() = aNext;
  AppendEntries(aState, { entry }, aOut);
  for (const wire::Member& member : aNext.members()) {
    if (aState.mProgress.count(member.id()) == 0) {
      Progress& progress = aState.mProgress[member.id()];
      progress.mNext = LastIndex(aState);
      progress.mTrackedSince = aNow;
      progress.mHeardAt = aNow;
    }
  }
  for (auto it = aState.mProgress.begin(); it != aState.mProgress.end();) {
    const bool kept = FindMember(aNext, it->first) != nullptr;
    it = kept ? std::next(it) : aState.mProgress.erase(it);
  }
}

bool HasCommittedMembership(const State& aState)
{
  return aState.mCommit >= aState.mMembershipIndex &&
         aState.mCommit >= aState.mTermStart;
}

void LeaderTick(State& aState, Micros aNow, Output& aOut)
{
  if (!QuorumHeardSince(aState, aNow - aState.mOptions.mElectionMax)) {
    BecomeFollower(aState, aState.mTerm, "", aOut);
    return;
  }
  if (!aState.mTransferTo.empty() && aNow >= aState.mTransferUntil) {
    aState.mTransferTo.clear();
  }
  if (aNow >= aState.mHeartbeatAt) {
    aState.mHeartbeatAt = aNow + aState.mOptions.mHeartbeat;
    LeaveJointMembership(aState, aNow, aOut);
    Broadcast(aState, aNow, aOut);
    ResendChecks(aState, aNow, aOut);
  }
  SendChecksIfDue(aState, aNow, aOut);
}

// Messages that do not by themselves move the receiver to the sender's term.
bool PreservesTerm(const wire::ConsensusMessage& aMessage)
{
  if (aMessage.has_vote_request()) {
    return true;
  }
  return aMessage.has_vote_reply() && aMessage.vote_reply().pre_vote() &&
         aMessage.vote_reply().granted();
}

bool IsFromLeader(const wire::ConsensusMessage& aMessage)
{
  return aMessage.has_append_request() || aMessage.has_snapshot_request() ||
         aMessage.has_leader_check();
}

void RejectStaleTerm(State& aState,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut)
{
  wire::ConsensusMessage reply = NewMessage(aState, aMessage.from());
  reply.mutable_append_reply()->set_success(false);
  reply.mutable_append_reply()->set_index(1);
  SendAfterSync(aState, std::move(reply), aOut);
}

void FollowLeader(State& aState,
                  Micros aNow,
                  std::uint64_t aRandom,
                  const wire::ConsensusMessage& aMessage,
                  Output& aOut)
{
  if (aState.mRole != Role::Follower && aState.mRole != Role::Learner) {
    BecomeFollower(aState, aMessage.term(), aMessage.from(), aOut);
  }
  aState.mLeader = aMessage.from();
  aState.mHeardLeaderAt = aNow;
  if (aMessage.has_append_request()) {
    const std::uint32_t age = aMessage.append_request().word_age_ms();
    aState.mQuorumConfirmedAt = aNow - static_cast<Micros>(age) * kMillisecond;
  }
  ResetElection(aState, aNow, aRandom);
}

void HandleMessage(State& aState,
                   Micros aNow,
                   std::uint64_t aRandom,
                   const wire::ConsensusMessage& aMessage,
                   Output& aOut)
{
  switch (aMessage.body_case()) {
    case wire::ConsensusMessage::kVoteRequest:
      HandleVoteRequest(aState, aNow, aRandom, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kVoteReply:
      HandleVoteReply(aState, aNow, aRandom, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kAppendRequest:
      HandleAppendRequest(aState, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kAppendReply:
      HandleAppendReply(aState, aNow, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kSnapshotRequest:
      HandleSnapshotRequest(aState, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kTransferRequest:
      if (IsVoter(aState)) {
        StartElection(aState, aNow, aRandom, true, aOut);
      }
      break;
    case wire::ConsensusMessage::kLeaderCheck:
      HandleLeaderCheck(aState, aMessage, aOut);
      break;
    case wire::ConsensusMessage::kLeaderCheckReply:
      HandleLeaderCheckReply(aState, aNow, aMessage, aOut);
      break;
    case wire::ConsensusMessage::BODY_NOT_SET:
      break;
  }
}

} // namespace

const char* ToString(Role aRole) noexcept
{
  return kRoleNames[static_cast<std::size_t>(aRole)];
}

const wire::Member* FindMember(const wire::Membership& aMembers,
                               const std::string& aId) noexcept
{
  for (const wire::Member& member : aMembers.members()) {
    if (member.id() == aId) {
      return &member;
    }
  }
  return nullptr;
}

const wire::Member* AnsweringMember(
  const State& aState,
  const wire::ConsensusMessage& aMessage) noexcept
{
  if (aState.mRole != Role::Leader || aMessage.term() != aState.mTerm) {
    return nullptr;
  }
  const wire::Member* member = FindMember(aState.mMembership, aMessage.from());
  const bool same =
    member != nullptr && member->storage() == aMessage.from_storage();
  return same ? member : nullptr;
}

namespace {

bool IsVoterOf(const State& aState, const wire::Membership& aMembers) noexcept
{
  const wire::Member* self = FindMember(aMembers, aState.mId);
  return self != nullptr && HasVote(aMembers, *self) &&
         self->storage() == aState.mStorage;
}

// True when this member is a voter in any membership that may be in effect: the
// last one known to be committed and all later ones.
bool MayHaveVote(const State& aState) noexcept
{
  for (auto it = aState.mLog.rbegin(); it != aState.mLog.rend(); ++it) {
    if (!it->has_membership()) {
      continue;
    }
    if (IsVoterOf(aState, it->membership())) {
      return true;
    }
    if (it->index() <= aState.mCommit) {
      return false;
    }
  }
  return IsVoterOf(aState, aState.mSnapshot.membership());
}

} // namespace

bool IsVoter(const State& aState) noexcept
{
  return IsVoterOf(aState, aState.mMembership);
}

// A voter that is being removed may be the only member that has the entry which
// removes it. The others still need its vote, and it grants none to a shorter
// log, so it must be able to lead until that entry is committed.
bool MayCampaign(const State& aState) noexcept
{
  return IsVoter(aState) ||
         (aState.mMembershipIndex > aState.mCommit && MayHaveVote(aState));
}

std::size_t VoterCount(const wire::Membership& aMembers) noexcept
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.members().begin(),
                  aMembers.members().end(),
                  [](const wire::Member& aMember) { return aMember.voter(); }));
}

bool HasVote(const wire::Membership& aMembers,
             const wire::Member& aMember) noexcept
{
  return aMember.voter() || (aMembers.joint() && aMember.voted_before());
}

bool IsQuorum(const wire::Membership& aMembers,
              const std::set<std::string>& aNames)
{
  std::size_t voters = 0;
  std::size_t named = 0;
  std::size_t votersBefore = 0;
  std::size_t namedBefore = 0;
  for (const wire::Member& member : aMembers.members()) {
    const std::size_t isNamed = aNames.count(member.id());
    voters += member.voter() ? 1 : 0;
    named += member.voter() ? isNamed : 0;
    votersBefore += member.voted_before() ? 1 : 0;
    namedBefore += member.voted_before() ? isNamed : 0;
  }
  return named > voters / 2 &&
         (!aMembers.joint() || namedBefore > votersBefore / 2);
}

void LeaveJointMembership(State& aState, Micros aNow, Output& aOut)
{
  if (!aState.mMembership.joint() || !HasCommittedMembership(aState)) {
    return;
  }
  wire::Membership next = aState.mMembership;
  next.clear_joint();
  for (wire::Member& member : *next.mutable_members()) {
    member.clear_voted_before();
  }
  AppendMembership(aState, aNow, next, aOut);
}

wire::Membership WithoutMember(const wire::Membership& aMembers,
                               const std::string& aId)
{
  wire::Membership others;
  for (const wire::Member& member : aMembers.members()) {
    if (member.id() != aId) {
      *others.add_members() = member;
    }
  }
  return others;
}

wire::ConsensusMessage NewMessage(const State& aState, const std::string& aTo)
{
  wire::ConsensusMessage message;
  message.set_from(aState.mId);
  message.set_from_storage(aState.mStorage);
  message.set_to(aTo);
  message.set_term(aState.mTerm);
  return message;
}

void Send(wire::ConsensusMessage aMessage, Output& aOut)
{
  aOut.mMessages.push_back(std::move(aMessage));
}

void SendAfterSync(State& aState, wire::ConsensusMessage aMessage, Output& aOut)
{
  if (aState.mSyncedSequence >= aState.mWriteSequence) {
    Send(std::move(aMessage), aOut);
    return;
  }
  aState.mDeferredMessages.push_back(
    { aState.mWriteSequence, std::move(aMessage) });
}

namespace {

// The latest time by which a quorum has replied; the leader counts as having
// replied now.
Micros QuorumHeardAt(const State& aState, Micros aNow)
{
  return ReachedByQuorum(
    aState, aNow, [](const Progress& aProgress) { return aProgress.mHeardAt; });
}

} // namespace

bool QuorumHeardSince(const State& aState, Micros aTime)
{
  return QuorumHeardAt(aState, aTime) >= aTime;
}

void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  if (aState.mFailed) {
    return;
  }
  if (aState.mRole == Role::Leader) {
    LeaderTick(aState, aNow, aOut);
    return;
  }
  if (!MayCampaign(aState)) {
    aState.mRole = Role::Learner;
    return;
  }
  if (aNow >= aState.mElectionAt) {
    StartPreVote(aState, aNow, aRandom, aOut);
  }
}

void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::ConsensusMessage& aMessage,
             Output& aOut)
{
  if (aState.mFailed || aMessage.to() != aState.mId) {
    return;
  }
  if (aMessage.term() < aState.mTerm && IsFromLeader(aMessage)) {
    RejectStaleTerm(aState, aMessage, aOut);
    return;
  }
  if (aMessage.term() > aState.mTerm && !PreservesTerm(aMessage)) {
    BecomeFollower(aState, aMessage.term(), "", aOut);
  }
  if (IsFromLeader(aMessage)) {
    FollowLeader(aState, aNow, aRandom, aMessage, aOut);
  }
  HandleMessage(aState, aNow, aRandom, aMessage, aOut);
  if (aState.mRole == Role::Learner && MayCampaign(aState)) {
    aState.mRole = Role::Follower;
  }
}

Result<std::uint64_t> ChangeMembership(State& aState,
                                       Micros aNow,
                                       const wire::Membership& aNext,
                                       Output& aOut)
{
  if (aState.mRole != Role::Leader || aState.mFailed) {
    return Fail(ErrorCode::NotLeader, aState.mLeader);
  }
  if (aState.mMembership.joint() || !HasCommittedMembership(aState)) {
    return Fail(ErrorCode::Conflict, "an earlier change is under way");
  }
  const Result<wire::Membership> next =
    NextMembership(aState.mMembership, aNext);
  if (!next) {
    return next.error();
  }
  AppendMembership(aState, aNow, next.value(), aOut);
  Broadcast(aState, aNow, aOut);
  return aState.mMembershipIndex;
}

// A member that is silent now counts by the memberships that it finds in its
// log when it is back, which is safe as long as all others count jointly.
JointSupport SupportForJoint(const State& aState,
                             Micros aNow,
                             const std::string& aExcept)
{
  JointSupport support = JointSupport::All;
  for (const auto& [id, progress] : aState.mProgress) {
    const bool silent =
      aNow - progress.mHeardAt >= aState.mOptions.mElectionMax;
    if (id == aState.mId || id == aExcept || silent) {
      continue;
    }
    if (progress.mKnowsJoint == false) {
      return JointSupport::Some;
    }
    support = progress.mKnowsJoint ? support : JointSupport::Unknown;
  }
  return support;
}

void MarkFailed(State& aState)
{
  aState.mFailed = true;
  aState.mRole = Role::Learner;
  aState.mLeader.clear();
  aState.mDeferredMessages.clear();
}

bool IsLeader(const State& aState) noexcept
{
  return aState.mRole == Role::Leader && !aState.mFailed;
}

// The quorum replies to every heartbeat, so that no reply is missing until the
// next one is due.
Micros QuorumConfirmedAt(const State& aState, Micros aNow)
{
  if (!IsLeader(aState)) {
    return aState.mQuorumConfirmedAt;
  }
  const Micros heardAt = QuorumHeardAt(aState, aNow);
  return heardAt == 0 ? 0
                      : std::min(aNow, heardAt + aState.mOptions.mHeartbeat);
}

// Until an entry of the leader's own term commits, no member knows how much of
// the earlier log was committed, not even the leader.
bool IsCurrent(const State& aState) noexcept
{
  if (aState.mFailed || TermAt(aState, aState.mCommit) != aState.mTerm) {
    return false;
  }
  return aState.mRole == Role::Leader || aState.mCommit >= aState.mLeaderCommit;
}

Micros NextTick(const State& aState) noexcept
{
  if (aState.mFailed || aState.mRole == Role::Learner) {
    return std::numeric_limits<Micros>::max();
  }
  return aState.mRole == Role::Leader
           ? std::min(aState.mHeartbeatAt, NextCheckTime(aState))
           : aState.mElectionAt;
}

wire::Membership InitialMembership(const std::vector<wire::Peer>& aPeers)
{
  wire::Membership membership;
  for (const wire::Peer& peer : aPeers) {
    wire::Member& member = *membership.add_members();
    member.set_id(peer.id());
    member.set_address(peer.address());
    member.set_storage(kFoundingStorage);
    member.set_voter(true);
  }
  return membership;
}

} // namespace geraniumpond::consensus
