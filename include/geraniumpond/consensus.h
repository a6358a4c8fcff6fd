#pragma once

#include <geraniumpond/result.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "impl/wire.h"

/// \brief A replicated log that implements Raft (Ongaro and Ousterhout, 2014),
/// with pre-vote, check-quorum, learners, single-server membership changes,
/// joint memberships, leadership transfer and snapshots.
///
/// A plain struct and free functions: no clock, thread, socket or file. The
/// embedder passes in the time and random numbers, performs the writes in
/// Output, and calls MarkSynced() once they are on disk. Messages that promise
/// durability are deferred until then.
namespace geraniumpond::consensus {

/// \brief Raft role of a member.
enum class Role
{
  Learner,
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// \brief Lower-case name of a role.
[[nodiscard]] const char* ToString(Role aRole) noexcept;

/// \brief Timeouts and size limits.
struct Options
{
  Micros mHeartbeat = 150 * kMillisecond;
  Micros mElectionMin = 600 * kMillisecond;
  Micros mElectionMax = 1200 * kMillisecond;
  /// Divisor of the election timeout during mStartupPeriod after a start, until
  /// the member first hears from a leader; halved with each election it starts.
  Micros mStartupDivisor = 1;
  Micros mStartupPeriod = 2 * kSecond;
  /// Minimum interval between broadcasts of proposed commands; those proposed
  /// within it are sent as one batch.
  Micros mBatchInterval = 0;
  /// Minimum interval between two LeaderCheck rounds; reads requested within it
  /// share the next round.
  Micros mCheckInterval = 50 * kMillisecond;
  std::size_t mEntriesPerMessage = 256;
  /// Entries applied since the last snapshot that make the next one due.
  std::size_t mSnapshotInterval = 1000;
  /// Log entries kept before a snapshot, for followers that lag slightly.
  std::size_t mRetainedEntries = 200;
};

/// \brief Replication progress of one member, as tracked by the leader.
struct Progress
{
  std::uint64_t mMatch = 0;
  std::uint64_t mNext = 1;
  /// When this leader began to track it; mHeardAt starts at this time too.
  Micros mTrackedSince = 0;
  Micros mHeardAt = 0;
  Micros mSentAt = 0;
  /// Latest round that it has answered.
  std::uint64_t mRound = 0;
  bool mSnapshotSent = false;
  /// Whether it counts votes by joint memberships; unknown until it answers.
  std::optional<bool> mKnowsJoint;
};

/// \brief Whether the members of a group count votes by joint memberships.
enum class JointSupport
{
  Unknown,
  Some,
  All
};

/// \brief A write to the log file; writes are performed in sequence order. One
/// without records or a snapshot only asks for a sync.
struct Write
{
  std::uint64_t mSequence = 0;
  std::vector<wire::LogRecord> mRecords;
  std::optional<wire::Snapshot> mSnapshot;
  /// With a snapshot: the records that the new log file starts with.
  std::vector<wire::LogRecord> mRetainedRecords;
};

/// \brief Actions that a call asks the embedder to perform.
struct Output
{
  std::vector<wire::ConsensusMessage> mMessages;
  std::vector<Write> mWrites;
  std::vector<wire::Entry> mCommitted;
  /// Snapshot from the leader that replaces the embedder's state.
  std::optional<wire::Snapshot> mInstall;
};

/// \brief A message deferred until a write is on disk.
struct DeferredMessage
{
  std::uint64_t mAfterWrite = 0;
  wire::ConsensusMessage mMessage;
};

/// \brief State of one member.
struct State
{
  std::string mId;
  std::string mStorage;
  Options mOptions;

  std::uint64_t mTerm = 0;
  std::string mVotedFor;
  std::deque<wire::Entry> mLog;
  wire::Snapshot mSnapshot;
  std::uint64_t mCommit = 0;
  std::uint64_t mApplied = 0;
  wire::Membership mMembership;
  std::uint64_t mMembershipIndex = 0;

  Role mRole = Role::Learner;
  std::string mLeader;
  Micros mElectionAt = 0;
  Micros mHeartbeatAt = 0;
  /// Time of the last broadcast to all members.
  Micros mBroadcastAt = 0;
  Micros mHeardLeaderAt = 0;
  Micros mOpenedAt = 0;
  /// Elections started since the process started.
  int mElections = 0;
  /// On followers and learners: when the leader last had its leadership
  /// confirmed by a quorum, by this member's clock.
  Micros mQuorumConfirmedAt = 0;
  /// Commit index in the last append request from the leader.
  std::uint64_t mLeaderCommit = 0;
  std::set<std::string> mVotes;
  std::map<std::string, Progress> mProgress;
  std::uint64_t mRound = 0;
  /// Round of the last LeaderCheck.
  std::uint64_t mCheckRound = 0;
  Micros mCheckSentAt = 0;
  /// Round that pending reads wait for; 0 for none.
  std::uint64_t mReadRound = 0;
  /// Index of the first entry of this leader's term.
  std::uint64_t mTermStart = 0;
  std::string mTransferTo;
  Micros mTransferUntil = 0;

  std::uint64_t mWriteSequence = 0;
  std::uint64_t mSyncedSequence = 0;
  /// Pending writes: sequence, and last log index once it is on disk.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mUnsynced;
  std::uint64_t mSyncedIndex = 0;
  std::deque<DeferredMessage> mDeferredMessages;
  /// A write has failed: this member neither votes nor acknowledges entries.
  bool mFailed = false;
};

/// \brief Persistent state read from disk at startup.
struct Recovered
{
  wire::HardState mHard;
  wire::Snapshot mSnapshot;
  std::vector<wire::Entry> mEntries;
};

/// \brief Restores a member from its persistent state. Puts out an empty write:
/// its sync makes durable what an earlier process has written.
[[nodiscard]] State Open(const std::string& aId,
                         const Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom,
                         Output& aOut);

/// \brief Processes timeouts; cheap when none is due.
void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);

/// \brief Processes a message from another member.
void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::ConsensusMessage& aMessage,
             Output& aOut);

/// \brief Appends a command to the leader's log.
/// \return The index of its entry, or NotLeader.
[[nodiscard]] Result<std::uint64_t> Propose(State& aState,
                                            Micros aNow,
                                            std::string aCommand,
                                            Output& aOut);

/// \brief On the leader: starts to confirm its leadership for a linearizable
/// read.
/// \return The round to pass to IsReadConfirmed().
[[nodiscard]] std::uint64_t RequestRead(State& aState,
                                        Micros aNow,
                                        Output& aOut);

/// \brief On the leader: starts a leader check that travels with the next
/// heartbeats; returns its number.
[[nodiscard]] std::uint64_t OpenRound(State& aState) noexcept;

/// \brief True once a quorum has answered a round: the applied state then
/// includes every entry that was committed when the read was requested.
[[nodiscard]] bool IsReadConfirmed(const State& aState, std::uint64_t aRound);

/// \brief Proposes a membership that adds or removes one voter at most, or does
/// both at once; Conflict while an earlier change is under way.
[[nodiscard]] Result<std::uint64_t> ChangeMembership(
  State& aState,
  Micros aNow,
  const wire::Membership& aNext,
  Output& aOut);

/// \brief On the leader: which members count votes by joint memberships, of
/// those that are not silent and without `aExcept`. One voter may replace
/// another in one change where all do.
[[nodiscard]] JointSupport SupportForJoint(const State& aState,
                                           Micros aNow,
                                           const std::string& aExcept);

/// \brief Transfers leadership to the most up-to-date reachable voter that is
/// not in `aExcept`.
void TransferLeadership(State& aState,
                        Micros aNow,
                        Output& aOut,
                        const std::set<std::string>& aExcept = {});

/// \brief Reports that all writes up to a sequence are on disk.
void MarkSynced(State& aState, std::uint64_t aSequence, Output& aOut);

/// \brief Reports a disk failure; the member sends nothing from then on.
void MarkFailed(State& aState);

/// \brief Compacts the log: replaces its applied part by a snapshot.
void TakeSnapshot(State& aState, std::string aAppliedState, Output& aOut);

/// \brief True when Options::mSnapshotInterval entries were applied since the
/// last snapshot.
[[nodiscard]] bool NeedsSnapshot(const State& aState) noexcept;

/// \brief True while this member is the leader and its disk works. Tick() ends
/// leadership that no quorum has confirmed for Options::mElectionMax.
[[nodiscard]] bool IsLeader(const State& aState) noexcept;

/// \brief True when this member has applied every entry that was committed when
/// it last heard from its leader. On a new leader it becomes true when an entry
/// of its own term commits.
[[nodiscard]] bool IsCurrent(const State& aState) noexcept;

/// \brief When a quorum last confirmed a leader, as far as this member knows.
/// On the leader: the current time while the quorum's replies are on schedule.
[[nodiscard]] Micros QuorumConfirmedAt(const State& aState, Micros aNow);

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief Index of the last entry in the log.
[[nodiscard]] std::uint64_t LastIndex(const State& aState) noexcept;

/// \brief Term of an entry; empty if it is compacted or does not exist.
[[nodiscard]] std::optional<std::uint64_t> TermAt(
  const State& aState,
  std::uint64_t aIndex) noexcept;

/// \brief Number of voting members.
[[nodiscard]] std::size_t VoterCount(const wire::Membership& aMembers) noexcept;

/// \brief The membership without one member.
[[nodiscard]] wire::Membership WithoutMember(const wire::Membership& aMembers,
                                             const std::string& aId);

/// \brief Initial membership of a new group; all members share one storage
/// name.
[[nodiscard]] wire::Membership InitialMembership(
  const std::vector<wire::Peer>& aPeers);

/// \brief Storage name of the initial members' disks.
constexpr const char* kFoundingStorage = "founding";

} // namespace geraniumpond::consensus
