#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::consensus {

namespace {

constexpr int kMaxHalvings = 16;

bool LogIsUpToDate(const State& aState, const wire::VoteRequest& aRequest)
{
  const std::uint64_t last = LastIndex(aState);
  const std::uint64_t term = TermAt(aState, last).value_or(0);
  if (aRequest.last_term() != term) {
    return aRequest.last_term() > term;
  }
  return aRequest.last_index() >= last;
}

bool HasLiveLeader(const State& aState, Micros aNow)
{
  if (aState.mRole == Role::Leader) {
    return true;
  }
  return !aState.mLeader.empty() &&
         aNow - aState.mHeardLeaderAt < aState.mOptions.mElectionMin;
}

// A member that has not heard from a leader since its start has usually started
// together with the others, so that a short timeout elects a leader sooner;
// where it has not, the pre-vote keeps it from disrupting the group. Each
// election doubles the timeout, since slow disks or simultaneous candidates may
// have made the last one fail.
Micros StartupDivisor(const State& aState, Micros aNow)
{
  const bool starting =
    aState.mHeardLeaderAt == 0 &&
    aNow - aState.mOpenedAt < aState.mOptions.mStartupPeriod;
  if (!starting) {
    return 1;
  }
  const int halvings = std::min(aState.mElections, kMaxHalvings);
  return std::max<Micros>(1, aState.mOptions.mStartupDivisor >> halvings);
}

void SendVoteRequests(State& aState,
                      std::uint64_t aTerm,
                      bool aPreVote,
                      bool aTransfer,
                      Output& aOut)
{
  const std::uint64_t last = LastIndex(aState);
  for (const wire::Member& member : aState.mMembership.members()) {
    if (!HasVote(aState.mMembership, member) || member.id() == aState.mId) {
      continue;
    }
    wire::ConsensusMessage message = NewMessage(aState, member.id());
    message.set_term(aTerm);
    wire::VoteRequest& request = *message.mutable_vote_request();
    request.set_last_index(last);
    request.set_last_term(TermAt(aState, last).value_or(0));
    request.set_pre_vote(aPreVote);
    request.set_transfer(aTransfer);
    SendAfterSync(aState, std::move(message), aOut);
  }
}

void BecomeLeader(State& aState, Micros aNow, Output& aOut)
{
  aState.mRole = Role::Leader;
  aState.mLeader = aState.mId;
  aState.mTransferTo.clear();
  aState.mProgress.clear();
  for (const wire::Member& member : aState.mMembership.members()) {
    Progress& progress = aState.mProgress[member.id()];
    progress.mNext = LastIndex(aState) + 1;
    progress.mTrackedSince = aNow;
    progress.mHeardAt = aNow;
  }
  // Entries of earlier terms commit only through an entry of this term.
  wire::Entry entry;
  entry.set_term(aState.mTerm);
  entry.set_index(LastIndex(aState) + 1);
  aState.mTermStart = entry.index();
  AppendEntries(aState, { entry }, aOut);
  aState.mHeartbeatAt = aNow;
  Broadcast(aState, aNow, aOut);
  AdvanceCommit(aState, aOut);
}

void CountVotes(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  if (!IsQuorum(aState.mMembership, aState.mVotes)) {
    return;
  }
  if (aState.mRole == Role::PreCandidate) {
    StartElection(aState, aNow, aRandom, false, aOut);
  } else if (aState.mRole == Role::Candidate) {
    BecomeLeader(aState, aNow, aOut);
  }
}

void SendVoteReply(State& aState,
                   const wire::ConsensusMessage& aRequest,
                   bool aGranted,
                   Output& aOut)
{
  wire::ConsensusMessage reply = NewMessage(aState, aRequest.from());
  wire::VoteReply& body = *reply.mutable_vote_reply();
  body.set_granted(aGranted);
  body.set_pre_vote(aRequest.vote_request().pre_vote());
  if (aGranted) {
    reply.set_term(aRequest.term());
  }
  SendAfterSync(aState, std::move(reply), aOut);
}

// A member that campaigns while it is being removed as a voter does not count
// its own vote.
std::set<std::string> SelfVote(const State& aState)
{
  return IsVoter(aState) ? std::set<std::string>{ aState.mId }
                         : std::set<std::string>{};
}

void GrantVote(State& aState,
               const wire::ConsensusMessage& aMessage,
               Output& aOut)
{
  if (aState.mVotedFor != aMessage.from()) {
    aState.mVotedFor = aMessage.from();
    WriteHardState(aState, aOut);
  }
  SendVoteReply(aState, aMessage, true, aOut);
}

} // namespace

void ResetElection(State& aState, Micros aNow, std::uint64_t aRandom)
{
  const Options& rules = aState.mOptions;
  const auto width =
    static_cast<std::uint64_t>(rules.mElectionMax - rules.mElectionMin);
  const std::uint64_t jitter = Hash64(aState.mId, aRandom) % (width + 1);
  const Micros timeout = rules.mElectionMin + static_cast<Micros>(jitter);
  aState.mElectionAt = aNow + timeout / StartupDivisor(aState, aNow);
}

void BecomeFollower(State& aState,
                    std::uint64_t aTerm,
                    const std::string& aLeader,
                    Output& aOut)
{
  if (aTerm > aState.mTerm) {
    aState.mTerm = aTerm;
    aState.mVotedFor.clear();
    WriteHardState(aState, aOut);
  }
  aState.mRole = MayCampaign(aState) ? Role::Follower : Role::Learner;
  aState.mLeader = aLeader;
  aState.mVotes.clear();
  aState.mTransferTo.clear();
}

void StartPreVote(State& aState,
                  Micros aNow,
                  std::uint64_t aRandom,
                  Output& aOut)
{
  aState.mRole = Role::PreCandidate;
  aState.mLeader.clear();
  aState.mVotes = SelfVote(aState);
  ResetElection(aState, aNow, aRandom);
  SendVoteRequests(aState, aState.mTerm + 1, true, false, aOut);
  CountVotes(aState, aNow, aRandom, aOut);
}

void StartElection(State& aState,
                   Micros aNow,
                   std::uint64_t aRandom,
                   bool aTransfer,
                   Output& aOut)
{
  aState.mRole = Role::Candidate;
  aState.mLeader.clear();
  ++aState.mTerm;
  ++aState.mElections;
  aState.mVotedFor = aState.mId;
  aState.mVotes = SelfVote(aState);
  WriteHardState(aState, aOut);
  ResetElection(aState, aNow, aRandom);
  SendVoteRequests(aState, aState.mTerm, false, aTransfer, aOut);
  CountVotes(aState, aNow, aRandom, aOut);
}

// Learners vote too: an entry that this member has not received may have made
// it a voter, and there may be no majority without it. The candidate decides
// whether the vote counts.
void HandleVoteRequest(State& aState,
                       Micros aNow,
                       std::uint64_t aRandom,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut)
{
  const wire::VoteRequest& request = aMessage.vote_request();
  // A member with a live leader does not vote against it. This also keeps a
  // host that rejoins after a partition from disrupting the group.
  if (HasLiveLeader(aState, aNow) && !request.transfer()) {
    SendVoteReply(aState, aMessage, false, aOut);
    return;
  }
  if (request.pre_vote()) {
    const bool granted =
      aMessage.term() > aState.mTerm && LogIsUpToDate(aState, request);
    SendVoteReply(aState, aMessage, granted, aOut);
    return;
  }
  if (aMessage.term() > aState.mTerm) {
    BecomeFollower(aState, aMessage.term(), "", aOut);
  }
  const bool mayVote =
    aState.mVotedFor.empty() || aState.mVotedFor == aMessage.from();
  const bool granted = aMessage.term() == aState.mTerm && mayVote &&
                       LogIsUpToDate(aState, request);
  if (!granted) {
    SendVoteReply(aState, aMessage, false, aOut);
    return;
  }
  ResetElection(aState, aNow, aRandom);
  GrantVote(aState, aMessage, aOut);
}

void HandleVoteReply(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut)
{
  const wire::VoteReply& reply = aMessage.vote_reply();
  const bool expected = reply.pre_vote() ? aState.mRole == Role::PreCandidate &&
                                             aMessage.term() == aState.mTerm + 1
                                         : aState.mRole == Role::Candidate &&
                                             aMessage.term() == aState.mTerm;
  if (!expected || !reply.granted()) {
    return;
  }
  const wire::Member* member = FindMember(aState.mMembership, aMessage.from());
  if (member == nullptr || !HasVote(aState.mMembership, *member) ||
      member->storage() != aMessage.from_storage()) {
    return;
  }
  aState.mVotes.insert(aMessage.from());
  CountVotes(aState, aNow, aRandom, aOut);
}

} // namespace geraniumpond::consensus
