#pragma once

#include <geraniumpond/consensus.h>

#include <algorithm>
#include <functional>

/// \brief Steps that the consensus sources share.
namespace geraniumpond::consensus {

// --- log.cpp

/// \brief Opens a write for this call, or adds to the one that is open.
Write& OpenWrite(State& aState, Output& aOut);

/// \brief Records the term and the vote.
void WriteHardState(State& aState, Output& aOut);

/// \brief Appends entries that continue the log.
void AppendEntries(State& aState,
                   const std::vector<wire::Entry>& aEntries,
                   Output& aOut);

/// \brief Drops all entries from an index on.
void TruncateFrom(State& aState, std::uint64_t aIndex, Output& aOut);

/// \brief Replaces the log by a snapshot from the leader.
void InstallSnapshot(State& aState,
                     const wire::Snapshot& aSnapshot,
                     Output& aOut);

/// \brief Moves the commit index and hands newly committed entries over.
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
void TakeVoteRequest(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);
void TakeVoteReply(State& aState,
                   Micros aNow,
                   std::uint64_t aRandom,
                   const wire::ConsensusMessage& aMessage,
                   Output& aOut);

// --- replication.cpp

void Broadcast(State& aState, Micros aNow, Output& aOut);
void AdvanceCommit(State& aState, Output& aOut);
void TakeAppendRequest(State& aState,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut);
void TakeAppendReply(State& aState,
                     Micros aNow,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);
void TakeSnapshotRequest(State& aState,
                         const wire::ConsensusMessage& aMessage,
                         Output& aOut);

// --- reads.cpp

/// \brief Sends the next check where reads wait for one and none is under way.
void ContinueReads(State& aState, Micros aNow, Output& aOut);
/// \brief The same, where the answers to the last one may be lost.
void RepeatReads(State& aState, Micros aNow, Output& aOut);
/// \brief When the next check is due; never while none is wanted.
[[nodiscard]] Micros NextCheckTime(const State& aState) noexcept;
void TakeLeaderCheck(State& aState,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);
void TakeLeaderCheckReply(State& aState,
                          Micros aNow,
                          const wire::ConsensusMessage& aMessage,
                          Output& aOut);

// --- consensus.cpp

[[nodiscard]] const wire::Member* FindMember(const wire::Membership& aMembers,
                                             const std::string& aId) noexcept;
/// \brief At the leader: the member whose answer of this term a message is;
/// none for any other message.
[[nodiscard]] const wire::Member* AnsweringMember(
  const State& aState,
  const wire::ConsensusMessage& aMessage) noexcept;
[[nodiscard]] bool IsVoter(const State& aState) noexcept;
/// \brief True for a member that may stand for election: a voter, or one whose
/// vote was taken by an entry that is not known to be committed.
[[nodiscard]] bool MayStand(const State& aState) noexcept;
[[nodiscard]] std::size_t Quorum(const State& aState) noexcept;

/// \brief Starts a message with the own identity and term.
[[nodiscard]] wire::ConsensusMessage NewMessage(const State& aState,
                                                const std::string& aTo);

/// \brief Sends at once; for what promises nothing about the own disk.
void Send(wire::ConsensusMessage aMessage, Output& aOut);

/// \brief Sends when every earlier write is on disk.
void SendDurable(State& aState, wire::ConsensusMessage aMessage, Output& aOut);

/// \brief The largest value that a quorum has reached, by what the leader knows
/// of each voter and by its own value.
template<class Value, class Of>
[[nodiscard]] Value ReachedByQuorum(const State& aState, Value aOwn, Of aOf)
{
  std::vector<Value> values;
  for (const wire::Member& member : aState.mMembership.members()) {
    const auto progress = aState.mProgress.find(member.id());
    if (!member.voter()) {
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

/// \brief True when a quorum, this member included, was heard since a time.
[[nodiscard]] bool QuorumHeardSince(const State& aState, Micros aTime);

} // namespace geraniumpond::consensus
