#include "internal.h"

#include <limits>

// Linearizable reads. A leader that has been replaced without noticing would
// answer from stale state, so it answers a read only after a quorum has replied
// in a round that began after the read was requested. A round needs no log
// entry and no disk write: a follower only confirms that it knows of no later
// term.
namespace geraniumpond::consensus {

namespace {

std::uint64_t ConfirmedRound(const State& aState) noexcept
{
  return ReachedByQuorum(aState, aState.mRound, [](const Progress& aProgress) {
    return aProgress.mRound;
  });
}

void SendChecks(State& aState, Micros aNow, Output& aOut)
{
  aState.mCheckRound = ++aState.mRound;
  aState.mCheckSentAt = aNow;
  for (const wire::Member& member : aState.mMembership.members()) {
    if (!member.voter() || member.id() == aState.mId) {
      continue;
    }
    wire::ConsensusMessage message = NewMessage(aState, member.id());
    message.mutable_leader_check()->set_round(aState.mCheckRound);
    Send(std::move(message), aOut);
  }
}

bool HasPendingReads(const State& aState) noexcept
{
  return aState.mRole == Role::Leader && aState.mReadRound > 0 &&
         aState.mReadRound > ConfirmedRound(aState);
}

} // namespace

std::uint64_t RequestRead(State& aState, Micros aNow, Output& aOut)
{
  aState.mReadRound = aState.mRound + 1;
  SendChecksIfDue(aState, aNow, aOut);
  return aState.mReadRound;
}

std::uint64_t OpenRound(State& aState) noexcept
{
  return ++aState.mRound;
}

bool IsReadConfirmed(const State& aState, std::uint64_t aRound)
{
  return IsLeader(aState) && IsCurrent(aState) &&
         ConfirmedRound(aState) >= aRound;
}

// A round for every single read would take most of a small leader's capacity.
Micros NextCheckTime(const State& aState) noexcept
{
  const bool wanted =
    HasPendingReads(aState) && ConfirmedRound(aState) >= aState.mCheckRound;
  return wanted ? aState.mCheckSentAt + aState.mOptions.mCheckInterval
                : std::numeric_limits<Micros>::max();
}

void SendChecksIfDue(State& aState, Micros aNow, Output& aOut)
{
  if (!HasPendingReads(aState)) {
    aState.mReadRound = 0;
  }
  if (aNow >= NextCheckTime(aState)) {
    SendChecks(aState, aNow, aOut);
  }
}

void ResendChecks(State& aState, Micros aNow, Output& aOut)
{
  if (HasPendingReads(aState)) {
    SendChecks(aState, aNow, aOut);
  }
}

void HandleLeaderCheck(State& aState,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut)
{
  wire::ConsensusMessage reply = NewMessage(aState, aMessage.from());
  reply.mutable_leader_check_reply()->set_round(
    aMessage.leader_check().round());
  Send(std::move(reply), aOut);
}

void HandleLeaderCheckReply(State& aState,
                            Micros aNow,
                            const wire::ConsensusMessage& aMessage,
                            Output& aOut)
{
  const wire::Member* member = AnsweringMember(aState, aMessage);
  if (member == nullptr) {
    return;
  }
  Progress& progress = aState.mProgress[member->id()];
  progress.mRound =
    std::max(progress.mRound, aMessage.leader_check_reply().round());
  SendChecksIfDue(aState, aNow, aOut);
}

} // namespace geraniumpond::consensus
