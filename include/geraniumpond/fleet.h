#pragma once

#include <geraniumpond/catalog.h>
#include <geraniumpond/consensus.h>
#include <geraniumpond/gossip.h>
#include <geraniumpond/rollup.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

/// \brief How the hosts of a fleet agree. Hosts with a disk form a control
/// group, which bootstraps itself and replaces its members. All other hosts are
/// followers, which hold the catalog in memory. In a data centre with many
/// followers these form a tree, of which only the root follows the control
/// group directly.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::fleet {

/// \brief Configuration of a host.
struct Settings
{
  std::string mPeerAddress;
  std::string mCallerAddress;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  /// True for hosts with a disk, which may vote.
  bool mControl = false;
  /// Peer addresses of some control hosts; no other hosts are configured.
  std::vector<std::string> mSeeds;
  /// Disks that may be lost at once without losing acknowledged changes.
  int mToleratedLosses = 0;
  /// Speed of the network link, in megabits per second; 0 if unknown.
  double mLinkMbps = 0;
};

/// \brief A host of the fleet, as another host knows it.
struct Host
{
  std::string mPeerAddress;
  std::string mCallerAddress;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  bool mReady = false;
  bool mStopping = false;
  Micros mHeardAt = 0;
  /// At a control host: the host that reported it last; itself if it reports to
  /// this one.
  std::string mReportedBy;
  /// Sequence number, at this host, of the last change to this entry.
  std::uint64_t mSequence = 0;
  bool mGone = false;
  /// It has a disk and may vote.
  bool mControl = false;
  /// At a control host: other control hosts have not been told yet that
  /// mReportedBy changed.
  bool mReporterUnshared = false;
  /// It reaches no target, while other hosts do.
  bool mCutOff = false;
  /// Speed of its network link, in megabits per second; 0 if unknown.
  double mLinkMbps = 0;
};

/// \brief Digests of the known hosts by data centre.
using HostDigests = std::map<std::string, std::uint64_t>;

/// \brief A host that receives its catalog from this one.
struct Follower
{
  Host mHost;
  /// Last command index and policy version sent to it.
  std::uint64_t mSent = 0;
  std::uint64_t mPolicySent = 0;
  /// When it was last sent a reply, and the time of the confirmation in that
  /// reply.
  Micros mRepliedAt = 0;
  Micros mConfirmedSent = 0;
  std::uint64_t mHostsSequence = 0;
  Micros mSnapshotAt = 0;
  std::uint64_t mSnapshotIndex = 0;
  /// It reads compressed snapshots and host lists by data centre.
  bool mCompact = false;
  /// Digests of the hosts that it knew when it asked for the full list.
  HostDigests mKnownHosts;
  /// It has received all changes of hosts, yet its digest differs from this
  /// host's.
  bool mHostsDiffer = false;
};

/// \brief At a relay: a host that reports to it directly or through a follower.
struct DownstreamHost
{
  Host mHost;
  /// The follower that reported it; itself if it reports to this relay.
  std::string mVia;
};

/// \brief Result of a submitted command.
enum class SubmitResult
{
  Committed,
  /// No commit was confirmed in time; the command may still be committed later.
  Unknown
};

/// \brief Timing of a policy read, for diagnosing late ones.
struct ReadTrace
{
  /// The leader that answered; empty if none did.
  std::string mLeader;
  /// Messages sent, total time, and the time spent waiting at the leader.
  int mTries = 0;
  Micros mElapsed = 0;
  Micros mLeaderWait = 0;
  Micros mGiveUpAt = 0;
};

/// \brief Completion of a submitted command or read.
struct Completion
{
  std::uint64_t mId = 0;
  SubmitResult mEnd = SubmitResult::Unknown;
  wire::CatalogOutcome mOutcome;
  std::string mReason;
  /// For a read: the policy, if this host's is older.
  std::optional<wire::PutPolicy> mPolicy;
  ReadTrace mRead;
};

/// \brief A line for the log, in key=value form.
struct LogLine
{
  int mLevel = 1;
  std::string mText;
};

/// \brief What the embedder must do after a call.
struct Output
{
  std::vector<std::pair<std::string, wire::FleetMessage>> mMessages;
  std::vector<consensus::Write> mWrites;
  std::vector<Completion> mDone;
  std::vector<LogLine> mLogLines;
  /// Facts received from other hosts.
  std::vector<gossip::Item> mReceivedFacts;
  bool mPolicyChanged = false;
  bool mTargetsChanged = false;
  bool mHostsChanged = false;
};

/// \brief A command of this host that the leader has not answered yet.
struct PendingCommand
{
  std::string mCommand;
  bool mUrgent = false;
  Micros mSendAt = 0;
  Micros mRetryPause = 0;
  Micros mGiveUpAt = 0;
  std::string mLastSentTo;
  Micros mStartedAt = 0;
  int mTries = 0;
  /// The host last tried as the leader, and the redirects followed since the
  /// last pause.
  std::string mTriedLeader;
  Micros mTriedLeaderAt = 0;
  int mRedirects = 0;
  /// Consecutive replies from control hosts that knew no leader.
  std::size_t mNoLeaderReplies = 0;
  /// For a read: the policy version that need not be sent.
  std::optional<std::uint64_t> mKnownPolicyVersion;
  /// For a read that a follower has sent: the follower, and the read's id
  /// there.
  std::string mFollower;
  std::uint64_t mFollowerId = 0;
};

/// \brief An announcement of a target that this host was asked to make.
struct PendingAnnouncement
{
  std::string mCommand;
  wire::TargetRecord mRecord;
  Micros mStartedAt = 0;
  Micros mGiveUpAt = 0;
};

/// \brief The last message with announcements.
struct AnnouncementsMessage
{
  /// Id of its first announcement; 0 if it has been answered.
  std::uint64_t mId = 0;
  std::string mSentTo;
  /// When it counts as lost, and the pause that led to this.
  Micros mRetryAt = 0;
  Micros mRetryPause = 0;
  int mRedirects = 0;
};

/// \brief At the leader: the last announcement of a target that is proposed
/// and not committed yet.
struct ProposedTarget
{
  std::uint64_t mIndex = 0;
  wire::TargetRecord mRecord;
};

/// \brief A read that waits at the leader until a round has confirmed its
/// leadership.
struct PendingRead
{
  std::uint64_t mRound = 0;
  Micros mSince = 0;
  std::optional<std::uint64_t> mKnownPolicyVersion;
};

/// \brief A command at the leader whose sender waits for the commit.
struct Waiter
{
  std::uint64_t mTerm = 0;
  std::string mFrom;
  std::uint64_t mId = 0;
  /// Announcements of the same message.
  std::vector<std::uint64_t> mMoreIds;
};

/// \brief Log position that a list of the group's members belongs to.
struct MembershipVersion
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;

  bool operator<(const MembershipVersion& aOther) const noexcept
  {
    return std::tie(mTerm, mIndex) < std::tie(aOther.mTerm, aOther.mIndex);
  }
};

/// \brief Counters of messages and upstream changes since the start.
struct FleetCounters
{
  /// Sent to followers.
  std::uint64_t mSnapshotsSent = 0;
  std::uint64_t mCommandsSent = 0;
  std::uint64_t mHostListsSent = 0;
  std::uint64_t mReferrals = 0;
  /// Queries to control hosts while this host's confirmation was old.
  std::uint64_t mConfirmationQueries = 0;
  /// Upstreams that fell silent, and upstreams left for a better one.
  std::uint64_t mUpstreamsLost = 0;
  std::uint64_t mUpstreamsLeft = 0;
  /// Join requests that this leader refused.
  std::uint64_t mJoinsRefused = 0;
};

/// \brief Voters of the control group, as one control host sees them.
struct GroupHealth
{
  int mVoters = 0;
  int mAnswering = 0;
  /// Further voters that may be lost while a majority answers; negative if
  /// there is no majority.
  int mTolerated = 0;
};

/// \brief Since when the group tolerates fewer losses than configured, and when
/// that was last logged; 0 if it does not.
struct GroupDegradation
{
  Micros mDegradedSince = 0;
  Micros mLoggedAt = 0;
};

/// \brief How a host takes part in the sums of counts.
struct CountsState
{
  rollup::State mRollup;
  /// The host that was last sent a report.
  std::string mReportedTo;
  /// At the leader: its term, and since when it has led in it.
  std::uint64_t mTerm = 0;
  Micros mTermSince = 0;
  /// At the leader: when each leader check that waits for a quorum was started,
  /// by its number.
  std::map<std::uint64_t, Micros> mRounds;
  /// At the leader: when the last check that a quorum has answered was started.
  Micros mLeadingAt = 0;
  /// Since when totals are wanted, and whether it was logged that they are
  /// missing.
  Micros mWantedSince = 0;
  bool mIsMissing = false;
};

/// \brief Everything that one host knows of its fleet.
struct State
{
  Settings mSettings;
  consensus::State mGroup;
  catalog::State mCatalog;
  /// Index of the last command applied to the catalog.
  std::uint64_t mApplied = 0;

  /// Committed commands that followers may lack, oldest first.
  std::deque<wire::CommittedCommand> mRecentCommands;
  std::uint64_t mRecentBytes = 0;
  /// Commands up to this index have been dropped from mRecentCommands.
  std::uint64_t mRecentBase = 0;
  std::uint64_t mLogBytes = 0;

  /// The catalog as a compressed snapshot, and the index and policy version
  /// that it holds.
  std::string mPackedCatalog;
  std::uint64_t mPackedIndex = 0;
  std::uint64_t mPackedVersion = 0;

  std::map<std::string, Follower> mFollowers;
  std::map<std::string, DownstreamHost> mDownstream;
  /// When commits were last pushed to followers, and when they are pushed next;
  /// 0 for never.
  Micros mPushedAt = 0;
  Micros mPushAt = 0;
  /// Hosts that asked while this one was out of touch; they are answered once
  /// it is in touch again.
  std::set<std::string> mDeferredAskers;
  /// All hosts by peer address, this one included.
  std::map<std::string, Host> mHosts;
  /// Sequence number of the last change of a host at this host.
  std::uint64_t mHostsSequence = 0;
  /// Digest of all hosts, and the sequence number for which it was computed.
  std::uint64_t mHostsDigest = 0;
  std::uint64_t mHostsDigestSequence = 0;
  /// Last change received from the upstream, and the upstream's incarnation.
  std::uint64_t mUpstreamSequence = 0;
  std::uint64_t mUpstreamIncarnation = 0;
  int mReportCount = 0;
  /// Last change published to this host's own directory.
  std::uint64_t mHostsPublished = 0;
  /// Last change sent to the other control hosts.
  std::uint64_t mHostsShared = 0;
  /// Last change that is pushed to followers instead of waiting for their next
  /// report.
  std::uint64_t mHostsUrgent = 0;

  /// Addresses of the control group; the seeds until its members are known.
  std::vector<std::string> mControlAddresses;
  MembershipVersion mMembershipVersion;
  /// Counts the silent hosts contacted, which are taken in turn.
  std::size_t mSilentHostCursor = 0;
  bool mWasInTouch = false;
  std::string mUpstream;
  /// Hosts between this one and its control host, the upstream last.
  std::vector<std::string> mRoute;
  Micros mUpstreamSince = 0;
  Micros mUpstreamHeardAt = 0;
  /// Time of the newest confirmation that came through the upstream.
  Micros mUpstreamConfirmedAt = 0;
  /// At a host that does not vote: time of the newest confirmation, and the
  /// host that sent it; 0 before the first.
  Micros mConfirmedAt = 0;
  std::string mConfirmedBy;
  /// Queries sent since the confirmation became old, and when the next one is
  /// due.
  std::size_t mConfirmationAttempts = 0;
  Micros mQueryAt = 0;
  std::size_t mControlCursor = 0;
  /// A better upstream that was asked and has not answered yet.
  std::string mCandidateUpstream;
  Micros mRebalanceAt = 0;
  /// Upstreams that fell silent, and until when they are avoided.
  std::map<std::string, Micros> mSuspectedUntil;
  /// Hosts that offered to be followed while a preferred one is being asked,
  /// and when one of them is accepted; 0 if there are none.
  std::set<std::string> mOffers;
  Micros mAcceptOfferAt = 0;
  Micros mOfferAcceptedAt = 0;
  /// While out of touch: when the next host is asked, the hosts already asked
  /// in this round, and the pause before the next round.
  Micros mDiscoverAt = 0;
  std::set<std::string> mDiscoveryAsked;
  Micros mDiscoveryPause = 0;
  std::string mLeaderAddress;
  /// At a member of the group: time of the last confirmation by the leader at
  /// which this member held all committed entries; 0 before the first.
  Micros mCaughtUpAt = 0;
  bool mInTouch = false;
  /// Since when this host has been in touch without a break, at a report; 0 if
  /// it is not.
  Micros mInTouchSince = 0;
  /// It has been in touch for long enough to hear of all hosts.
  bool mHostsComplete = false;

  std::uint64_t mLastSubmitId = 0;
  std::map<std::uint64_t, PendingCommand> mPending;
  std::map<std::uint64_t, PendingAnnouncement> mAnnouncements;
  AnnouncementsMessage mAnnouncementsMessage;
  /// At the leader: who waits for the commit of an entry, by its index.
  std::multimap<std::uint64_t, Waiter> mWaiters;
  std::map<std::string, ProposedTarget> mProposedTargets;
  /// At the leader: pending reads by requesting host and that host's id.
  std::map<std::pair<std::string, std::uint64_t>, PendingRead> mReads;

  gossip::State mGossip;
  CountsState mCounts;

  FleetCounters mCounters;

  Micros mReportAt = 0;
  Micros mJoinAt = 0;
  /// At a leader that stops: when the transfer of leadership is tried again.
  Micros mTransferRetryAt = 0;
  /// When a refused join request was last logged.
  Micros mJoinRefusedAt = 0;
  GroupDegradation mGroupDegradation;
  bool mReady = false;
  bool mStopping = false;
  bool mCutOff = false;
};

/// \brief Initial members of a group founded by the seeds; the ids are the same
/// at all of them.
[[nodiscard]] wire::Membership FoundingMembers(
  const std::vector<std::string>& aSeeds);

/// \brief Id of a member; a host whose disk was replaced is a new member.
[[nodiscard]] std::string MemberId(const std::string& aPeerAddress,
                                   const std::string& aStorage);

/// \brief Starts a host from the data on its disk; there is none without a
/// disk.
[[nodiscard]] State Open(const Settings& aSettings,
                         const consensus::Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom,
                         Output& aOut);

/// \brief Handles all timers that are due.
void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);

/// \brief Handles a message from another host.
void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::FleetMessage& aMessage,
             Output& aOut);

/// \brief Sends a command to the leader; its completion appears in
/// Output::mDone.
[[nodiscard]] std::uint64_t Submit(State& aState,
                                   Micros aNow,
                                   const wire::CatalogCommand& aCommand,
                                   Micros aTimeout,
                                   Output& aOut);

/// \brief Asks the leader for the newest policy; the completion appears in
/// Output::mDone and holds the policy if it is newer than `aKnown`.
[[nodiscard]] std::uint64_t Read(State& aState,
                                 Micros aNow,
                                 std::uint64_t aKnown,
                                 Output& aOut);

/// \brief Shares a fact with the fleet; facts of others appear in
/// Output::mReceivedFacts.
void ShareFact(State& aState, Micros aNow, gossip::Item aItem, Output& aOut);

/// \brief Sets whether anything is counted over all hosts. Where it is not, no
/// message is sent for it.
void SetCounting(State& aState, Micros aNow, bool aWanted);

/// \brief True if SetCounts() is due before the next Tick().
[[nodiscard]] bool AreCountsDue(const State& aState, Micros aNow) noexcept;

/// \brief Sets what this host counts by itself, in place of the last ones.
void SetCounts(State& aState, Micros aNow, rollup::Table aOwn);

/// \brief Sets which totals all hosts need; used only while this host leads.
void SelectTotals(State& aState, rollup::Selection aSelection);

/// \brief Sets the least growth of this host's counts that is reported ahead of
/// the regular interval.
void SetLeastGrowth(State& aState,
                    rollup::Subject aSubject,
                    const rollup::Counts& aLeast);

/// \brief The newest totals, whatever their age; nullptr before the first.
[[nodiscard]] const rollup::Totals* NewestTotals(const State& aState) noexcept;

/// \brief The newest part totals, whatever their age; nullptr before the first.
[[nodiscard]] const rollup::Totals* NewestPartTotals(
  const State& aState) noexcept;

/// \brief Records that all writes up to a sequence number are on disk.
void Synced(State& aState, Micros aNow, std::uint64_t aSequence, Output& aOut);

/// \brief Sets whether this host accepts clients, and announces it.
void SetReady(State& aState, Micros aNow, bool aReady, Output& aOut);

/// \brief Sets whether this host reaches no target while others do, and
/// announces it.
void SetCutOff(State& aState, Micros aNow, bool aCutOff, Output& aOut);

/// \brief Announces that this host is leaving, and transfers leadership.
void BeginStop(State& aState, Micros aNow, Output& aOut);

/// \brief Hosts that clients may be sent to, ordered by peer address.
[[nodiscard]] std::vector<const Host*> ReadyHosts(const State& aState,
                                                  Micros aNow);

/// \brief Hosts to name to clients that ask where to connect: the ready ones,
/// but for those that a fleet which has just started would overload.
[[nodiscard]] std::vector<const Host*> HostsForClients(const State& aState,
                                                       Micros aNow);

/// \brief Whether this host has processor time for another request of a client.
/// While messages of other hosts wait for `aMessageDelay`, hosts that others
/// depend on, and those that are not settled yet, have none.
[[nodiscard]] bool AcceptsRequests(const State& aState,
                                   Micros aNow,
                                   Micros aMessageDelay);

/// \brief Hosts considered alive, including this one; at least 1.
[[nodiscard]] int LiveHostCount(const State& aState, Micros aNow);

/// \brief True if a known host other than this one has this address, given
/// without a port; hosts that are gone are not known.
[[nodiscard]] bool IsHostAt(const State& aState, std::string_view aIp) noexcept;

/// \brief True while confirmations of the control group's leader arrive
/// recently enough, directly or through other hosts.
[[nodiscard]] bool IsInTouch(const State& aState, Micros aNow);

/// \brief True once this host holds everything that was committed at the time
/// of its confirmation; from then on its catalog only moves forward.
[[nodiscard]] bool HasConfirmedCatalog(const State& aState, Micros aNow);

/// \brief When a leader with a quorum last confirmed the state that this host
/// acts on; 0 before the first confirmation.
[[nodiscard]] Micros ConfirmedAt(const State& aState, Micros aNow);

/// \brief Age of that confirmation; none before the first one.
[[nodiscard]] std::optional<Micros> ConfirmationAge(const State& aState,
                                                    Micros aNow);

/// \brief Health of the control group; all zero at a host without a disk.
[[nodiscard]] GroupHealth HealthOf(const State& aState, Micros aNow);

/// \brief True for the address of a known host in the same data centre.
[[nodiscard]] bool IsInOwnDataCentre(const State& aState,
                                     const std::string& aAddress);

/// \brief Lower-case name of a message's kind.
[[nodiscard]] const char* KindOf(const wire::FleetMessage& aMessage) noexcept;

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

} // namespace geraniumpond::fleet
