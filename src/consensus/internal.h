#pragma once

#include <geraniumpond/consensus.h>

#include <algorithm>
#include <functional>

/// \brief Functions shared by the consensus sources.
namespace geraniumpond::consensus {

// --- log.cpp

/// \brief The pending write of this call; begins one where needed.
Write& OpenWrite(State& aState, Output& aOut);

/// \brief Persists the term and the vote.
void WriteHardState(State& aState, Output& aOut);

/// \brief Appends entries that directly follow the log's last one.
void AppendEntries(State& aState,
                   const std::vector<wire::Entry>& aEntries,
                   Output& aOut);

/// \brief Removes all entries from an index on.
void TruncateFrom(State& aState, std::uint64_t aIndex, Output& aOut);

/// \brief Replaces the log by a snapshot from the leader.
void InstallSnapshot(State& aState,
                     const wire::Snapshot& aSnapshot,
                     Output& aOut);

/// \brief Advances the commit index and outputs newly committed entries.
void CommitTo(State& aState, std::uint64_t aIndex, Output& aOut);

[[nodiscard]] const wire::Entry* EntryAt(const State& aState,
                                         std::uint64_t aIndex) noexcept;

// --- election.cpp

void BecomeFollower(State& aState,
                    std::uint64_t aTerm,
                    const std::string& aLeader,
                    Output& aOut);
void ResetElection(State& aState, Micros aNow, std::uint64_t aRandom);
void StartElection(State& aState,
                   Micros aNow,
                   std::uint64_t aRandom,
                   bool aTransfer,
                   Output& aOut);
void StartPreVote(State& aState,
                  Micros aNow,
                  std::uint64_t aRandom,
                  Output& aOut);
void HandleVoteRequest(State& aState,
                       Micros aNow,
                       std::uint64_t aRandom,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut);
void HandleVoteReply(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);

// --- replication.cpp

void Broadcast(State& aState, Micros aNow, Output& aOut);
void AdvanceCommit(State& aState, Output& aOut);
void HandleAppendRequest(State& aState,
                         const wire::ConsensusMessage& aMessage,
                         Output& aOut);
void HandleAppendReply(State& aState,
                       Micros aNow,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut);
void HandleSnapshotRequest(State& aState,
                           const wire::ConsensusMessage& aMessage,
                           Output& aOut);

// --- reads.cpp

/// \brief Starts the next LeaderCheck round if reads wait for it, none is in
/// flight and the interval has passed.
void SendChecksIfDue(State& aState, Micros aNow, Output& aOut);
/// \brief Starts a round while reads wait even if one is in flight, since its
/// messages may be lost.
void ResendChecks(State& aState, Micros aNow, Output& aOut);
/// \brief When the next round is due; the maximum if none is needed.
[[nodiscard]] Micros NextCheckTime(const State& aState) noexcept;
void HandleLeaderCheck(State& aState,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut);
void HandleLeaderCheckReply(State& aState,
                            Micros aNow,
                            const wire::ConsensusMessage& aMessage,
                            Output& aOut);

// --- consensus.cpp

[[nodiscard]] const wire::Member* FindMember(const wire::Membership& aMembers,
                                             const std::string& aId) noexcept;
/// \brief On the leader: the member that sent a reply of the current term; null
/// for any other message.
[[nodiscard]] const wire::Member* AnsweringMember(
  const State& aState,
  const wire::ConsensusMessage& aMessage) noexcept;
[[nodiscard]] bool IsVoter(const State& aState) noexcept;
/// \brief True for a member that may campaign: a voter, or one whose removal as
/// a voter is in the log but not known to be committed.
[[nodiscard]] bool MayCampaign(const State& aState) noexcept;
/// \brief True for a member whose vote counts in a membership or, where it is a
/// joint one, in the membership before it.
[[nodiscard]] bool HasVote(const wire::Membership& aMembers,
                           const wire::Member& aMember) noexcept;
/// \brief True when the members named are a quorum.
[[nodiscard]] bool IsQuorum(const wire::Membership& aMembers,
                            const std::set<std::string>& aNames);
/// \brief On the leader: appends the later membership of a joint one that is
/// committed; the next broadcast sends it.
void LeaveJointMembership(State& aState, Micros aNow, Output& aOut);

/// \brief Creates a message with this member's identity and term.
[[nodiscard]] wire::ConsensusMessage NewMessage(const State& aState,
                                                const std::string& aTo);

/// \brief Sends immediately; for messages that promise nothing about this
/// member's disk.
void Send(wire::ConsensusMessage aMessage, Output& aOut);

/// \brief Sends once all earlier writes are on disk.
void SendAfterSync(State& aState,
                   wire::ConsensusMessage aMessage,
                   Output& aOut);

/// \brief The largest value that a majority of the voters has reached that
/// `aVotes` selects.
template<class Value, class Of, class Votes>
[[nodiscard]] Value ReachedByMajority(const State& aState,
                                      Value aOwn,
                                      Of aOf,
                                      Votes aVotes)
{
  std::vector<Value> values;
  for (const wire::Member& member : aState.mMembership.members()) {
    const auto progress = aState.mProgress.find(member.id());
    if (!aVotes(member)) {
      continue;
    }
    if (member.id() == aState.mId) {
      values.push_back(aOwn);
    } else {
      values.push_back(
        progress == aState.mProgress.end() ? Value() : aOf(progress->second));
    }
  }
  if (values.empty()) {
    return Value();
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

/// \brief The largest value that a quorum has reached. `aOf` extracts a voter's
/// value from its Progress; `aOwn` is this member's value.
template<class Value, class Of>
[[nodiscard]] Value ReachedByQuorum(const State& aState, Value aOwn, Of aOf)
{
  const Value now =
    ReachedByMajority(aState, aOwn, aOf, [](const wire::Member& aMember) {
      return aMember.voter();
    });
  if (!aState.mMembership.joint()) {
    return now;
  }
  return std::min(
    now, ReachedByMajority(aState, aOwn, aOf, [](const wire::Member& aMember) {
      return aMember.voted_before();
    }));
}

/// \brief True when a quorum, this member included, has replied since a time.
[[nodiscard]] bool QuorumHeardSince(const State& aState, Micros aTime);

} // namespace geraniumpond::consensus
