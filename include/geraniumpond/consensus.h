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

/// \brief A replicated log after Raft (Ongaro and Ousterhout, 2014), with
/// pre-vote, check-quorum, learners, single-step membership changes,
/// leadership transfer and snapshots.
///
/// A plain struct and free functions: no clock, thread, socket or file. The
/// embedder passes time and random words in, writes what Output asks it to
/// write, and calls Synced() when that is on disk. Messages that promise
/// durability are held back until then.
namespace geraniumpond::consensus {

/// \brief What a member is doing.
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

/// \brief Timing and sizes; times are in microseconds.
struct Rules
{
  Micros mHeartbeat = 150 * kMillisecond;
  Micros mElectionMin = 600 * kMillisecond;
  Micros mElectionMax = 1200 * kMillisecond;
  /// Divides the timeout of members that have heard no leader yet, for as long
  /// as mFirstTime after their start; halves with each of their elections that
  /// ends without one.
  Micros mFirstDivisor = 1;
  Micros mFirstTime = 2 * kSecond;
  /// Commands proposed within this time of the last message to all members go
  /// out together.
  Micros mBatchPause = 0;
  /// Reads that come within this time of the last LeaderCheck wait for the next
  /// one together.
  Micros mCheckPause = 50 * kMillisecond;
  std::size_t mEntriesPerMessage = 256;
  /// Applied entries that make the embedder want a snapshot.
  std::size_t mSnapshotEvery = 1000;
  /// Entries kept behind a snapshot for followers that are a little behind.
  std::size_t mRetained = 200;
};

/// \brief What the leader knows of one member.
struct Progress
{
  std::uint64_t mMatch = 0;
  std::uint64_t mNext = 1;
  /// Since when this leader knows it; its answers count from then on.
  Micros mKnownSince = 0;
  Micros mHeardAt = 0;
  Micros mSentAt = 0;
  /// Last round that it has answered.
  std::uint64_t mRound = 0;
  bool mSnapshotSent = false;
};

/// \brief A write that must reach the disk, in order of sequence.
struct Write
{
  std::uint64_t mSequence = 0;
  std::vector<wire::LogRecord> mRecords;
  std::optional<wire::Snapshot> mSnapshot;
  /// With a snapshot: everything that the new log file holds.
  std::vector<wire::LogRecord> mRetained;
};

/// \brief What a call asks its embedder to do.
struct Output
{
  std::vector<wire::ConsensusMessage> mMessages;
  std::vector<Write> mWrites;
  std::vector<wire::Entry> mCommitted;
  /// A snapshot from the leader that replaces the embedder's state.
  std::optional<wire::Snapshot> mInstall;
};

/// \brief A message held back until a write is on disk.
struct Held
{
  std::uint64_t mAfter = 0;
  wire::ConsensusMessage mMessage;
};

/// \brief The whole state of one member.
struct State
{
  std::string mId;
  std::string mStorage;
  Rules mRules;

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
  /// When all members were last sent something.
  Micros mBroadcastAt = 0;
  Micros mHeardLeaderAt = 0;
  Micros mOpenedAt = 0;
  /// Elections begun since the start.
  int mElections = 0;
  /// At others than the leader: when the leader's last word was given.
  Micros mWordAt = 0;
  /// What the leader had committed when it was last heard.
  std::uint64_t mLeaderCommit = 0;
  std::set<std::string> mVotes;
  std::map<std::string, Progress> mProgress;
  std::uint64_t mRound = 0;
  /// Round of the last LeaderCheck, and the one that reads wait for; 0 for
  /// none.
  std::uint64_t mCheckRound = 0;
  Micros mCheckedAt = 0;
  std::uint64_t mReadRound = 0;
  std::uint64_t mTermStart = 0;
  std::string mTransferTo;
  Micros mTransferUntil = 0;

  std::uint64_t mWriteSequence = 0;
  std::uint64_t mSyncedSequence = 0;
  /// Highest index that the own disk has, by write sequence.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mUnsynced;
  std::uint64_t mSyncedIndex = 0;
  std::deque<Held> mHeld;
  /// Set when a write failed: this member neither votes nor acknowledges.
  bool mFailed = false;
};

/// \brief What was read back from disk at a start.
struct Recovered
{
  wire::HardState mHard;
  wire::Snapshot mSnapshot;
  std::vector<wire::Entry> mEntries;
};

/// \brief Makes a member from what its disk holds.
[[nodiscard]] State Open(const std::string& aId,
                         const Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom);

/// \brief Lets time pass; cheap when nothing is due.
void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);

/// \brief Takes a message from another member.
void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::ConsensusMessage& aMessage,
             Output& aOut);

/// \brief Appends a command at the leader; its index, or NotLeader.
[[nodiscard]] Result<std::uint64_t> Propose(State& aState,
                                            Micros aNow,
                                            std::string aCommand,
                                            Output& aOut);

/// \brief At the leader: asks the others whether it still leads. The round to
/// wait for with IsReadConfirmed().
[[nodiscard]] std::uint64_t RequestRead(State& aState,
                                        Micros aNow,
                                        Output& aOut);

/// \brief True once a quorum has answered a round: what this member has applied
/// holds all that was committed when the read was requested.
[[nodiscard]] bool IsReadConfirmed(const State& aState, std::uint64_t aRound);

/// \brief Changes the members by one voter at most; Conflict while an earlier
/// change is not yet committed.
[[nodiscard]] Result<std::uint64_t> ChangeMembership(
  State& aState,
  Micros aNow,
  const wire::Membership& aNext,
  Output& aOut);

/// \brief Hands leadership to the most advanced voter of those that are not
/// excepted.
void Transfer(State& aState,
              Micros aNow,
              Output& aOut,
              const std::set<std::string>& aExcept = {});

/// \brief Notes that all writes up to a sequence are on disk.
void Synced(State& aState, std::uint64_t aSequence, Output& aOut);

/// \brief Notes that the disk failed; the member stays silent from now on.
void Failed(State& aState);

/// \brief Replaces the applied part of the log by the embedder's state.
void TakeSnapshot(State& aState, std::string aAppliedState, Output& aOut);

/// \brief True when a snapshot would shorten the log enough.
[[nodiscard]] bool WantsSnapshot(const State& aState) noexcept;

/// \brief True while this member leads and a quorum has confirmed it lately.
[[nodiscard]] bool IsLeader(const State& aState) noexcept;

/// \brief True when this member has applied all that was committed when it last
/// heard its leader; a new leader has once an entry of its own term commits.
[[nodiscard]] bool IsCurrent(const State& aState) noexcept;

/// \brief When a leader with a quorum last gave its word, as far as this member
/// knows: at the leader the time until which no answer of the quorum is
/// missing.
[[nodiscard]] Micros WordAt(const State& aState, Micros aNow);

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief Index of the last entry in the log.
[[nodiscard]] std::uint64_t LastIndex(const State& aState) noexcept;

/// \brief Term of an entry; nothing when it is compacted away or not there.
[[nodiscard]] std::optional<std::uint64_t> TermAt(
  const State& aState,
  std::uint64_t aIndex) noexcept;

/// \brief How many members vote.
[[nodiscard]] std::size_t VoterCount(const wire::Membership& aMembers) noexcept;

/// \brief The same members but one.
[[nodiscard]] wire::Membership Without(const wire::Membership& aMembers,
                                       const std::string& aId);

/// \brief Members of a group at its founding; all share one storage name.
[[nodiscard]] wire::Membership Founders(const std::vector<wire::Peer>& aPeers);

/// \brief Storage name of the founding members' disks.
constexpr const char* kFoundingStorage = "founding";

} // namespace geraniumpond::consensus
