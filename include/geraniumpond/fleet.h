#pragma once

#include <geraniumpond/catalog.h>
#include <geraniumpond/consensus.h>
#include <geraniumpond/gossip.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// \brief How the hosts of a fleet agree: a control group of the hosts with a
/// disk, which founds itself and replaces its members, and followers that hold
/// the catalog in memory. Followers that are many in a data centre follow each
/// other in a tree, whose root alone follows the control group.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::fleet {

/// \brief What a host is told at its start.
struct Settings
{
  std::string mPeerAddress;
  std::string mCallerAddress;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  /// True for hosts with a disk, which vote.
  bool mControl = false;
  /// Peer addresses of a few control hosts; all that is known of the others.
  std::vector<std::string> mSeeds;
  /// Disks that may be lost at once without losing what was acknowledged.
  int mToleratedLosses = 0;
};

/// \brief A host as the fleet knows it.
struct Host
{
  std::string mPeerAddress;
  std::string mCallerAddress;
  std::string mDataCentre;
  std::uint64_t mIncarnation = 0;
  bool mReady = false;
  bool mStopping = false;
  Micros mHeardAt = 0;
  /// At a control host: who told of it last; itself when it reports here.
  std::string mReportedBy;
  /// Number of the change that made it as it is, at this host.
  std::uint64_t mSequence = 0;
  bool mGone = false;
  /// It has a disk and may vote.
  bool mControl = false;
  /// At a control host: the others have not heard who tells of it now.
  bool mReporterUnshared = false;
};

/// \brief What a host knows of others, in short: a digest by data centre.
using HostDigests = std::map<std::string, std::uint64_t>;

/// \brief A host that takes its catalog from this one.
struct Follower
{
  Host mHost;
  /// Last index and version of the policy sent to it.
  std::uint64_t mSent = 0;
  std::uint64_t mPolicySent = 0;
  /// When it was last told anything, and which word of the group.
  Micros mRepliedAt = 0;
  Micros mConfirmedSent = 0;
  std::uint64_t mHostsSequence = 0;
  Micros mSnapshotAt = 0;
  std::uint64_t mSnapshotIndex = 0;
  /// It reads deflated snapshots and lists by data centre.
  bool mCompact = false;
  /// What it knew of hosts when it asked for all of them.
  HostDigests mKnownHosts;
  /// It knows other hosts than this one though it has heard of all changes.
  bool mHostsDiffer = false;
};

/// \brief At a relay: a host that reports here or to a host that does.
struct DownstreamHost
{
  Host mHost;
  /// The follower of this relay that told of it; itself when it reports here.
  std::string mVia;
};

/// \brief How a submitted command ended.
enum class SubmitResult
{
  Committed,
  /// Not known to have been committed in time; it may be later.
  Unknown
};

/// \brief How a read of the policy went, for whoever asks why it was late.
struct ReadTrace
{
  /// The leader that answered; empty for none.
  std::string mLeader;
  /// Messages sent for it, and its time here and at the leader.
  int mTries = 0;
  Micros mElapsed = 0;
  Micros mLeaderWait = 0;
  Micros mGiveUpAt = 0;
};

/// \brief A submitted command's end, for whoever submitted it.
struct Completion
{
  std::uint64_t mId = 0;
  SubmitResult mEnd = SubmitResult::Unknown;
  wire::CatalogOutcome mOutcome;
  std::string mReason;
  /// With a read: the policy, where this host's is older.
  std::optional<wire::PutPolicy> mPolicy;
  ReadTrace mRead;
};

/// \brief A line for the log, in key=value form.
struct LogLine
{
  int mLevel = 1;
  std::string mText;
};

/// \brief What a call asks its embedder to do.
struct Output
{
  std::vector<std::pair<std::string, wire::FleetMessage>> mMessages;
  std::vector<consensus::Write> mWrites;
  std::vector<Completion> mDone;
  std::vector<LogLine> mLogLines;
  /// Facts that other hosts told.
  std::vector<gossip::Item> mReceivedFacts;
  bool mPolicyChanged = false;
  bool mTargetsChanged = false;
  bool mHostsChanged = false;
};

/// \brief A command of this host on its way to the leader.
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
  /// The last host that was asked as the leader, and how many since the last
  /// pause were named by another one.
  std::string mTriedLeader;
  Micros mTriedLeaderAt = 0;
  int mRedirects = 0;
  /// Control hosts in a row that knew of no leader.
  std::size_t mNoLeaderReplies = 0;
  /// A read: the version of the policy that it has no need of.
  std::optional<std::uint64_t> mKnownPolicyVersion;
};

/// \brief A read that waits at this leader until a round has confirmed it.
struct PendingRead
{
  std::uint64_t mRound = 0;
  Micros mSince = 0;
  std::optional<std::uint64_t> mKnownPolicyVersion;
};

/// \brief A command whose commit someone waits for at this leader.
struct Waiter
{
  std::uint64_t mTerm = 0;
  std::string mFrom;
  std::uint64_t mId = 0;
};

/// \brief Position in the group's log as of which its members are known.
struct MembershipVersion
{
  std::uint64_t mTerm = 0;
  std::uint64_t mIndex = 0;

  bool operator<(const MembershipVersion& aOther) const noexcept
  {
    return std::tie(mTerm, mIndex) < std::tie(aOther.mTerm, aOther.mIndex);
  }
};

/// \brief What happened between this host and others since its start.
struct FleetCounters
{
  /// To followers.
  std::uint64_t mSnapshotsSent = 0;
  std::uint64_t mCommandsSent = 0;
  std::uint64_t mHostListsSent = 0;
  std::uint64_t mReferrals = 0;
  /// Questions to control hosts for the group's word, while the own was old.
  std::uint64_t mConfirmationQueries = 0;
  /// Upstreams that fell silent, and such that gave way to a better one.
  std::uint64_t mUpstreamsLost = 0;
  std::uint64_t mUpstreamsLeft = 0;
  /// Requests to join that this leader refused.
  std::uint64_t mJoinsRefused = 0;
};

/// \brief Voters of the control group, as one control host sees them.
struct GroupHealth
{
  int mVoters = 0;
  int mAnswering = 0;
  /// Voters that may still be lost while a majority answers; negative where
  /// none does.
  int mTolerated = 0;
};

/// \brief Since when the group tolerates less than it should, and when that was
/// last logged; 0 for not at all.
struct GroupDegradation
{
  Micros mDegradedSince = 0;
  Micros mLoggedAt = 0;
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
  std::deque<wire::CommittedCommand> mRecent;
  std::uint64_t mRecentBytes = 0;
  /// Commands up to this index are no longer in mRecent.
  std::uint64_t mRecentBase = 0;
  std::uint64_t mLogBytes = 0;

  /// The catalog as snapshot bytes, deflated, as of an index and a policy.
  std::string mPackedCatalog;
  std::uint64_t mPackedIndex = 0;
  std::uint64_t mPackedVersion = 0;

  std::map<std::string, Follower> mFollowers;
  std::map<std::string, DownstreamHost> mDownstream;
  /// When followers were last told of commits, and when they are next; 0 for
  /// not at all.
  Micros mPushedAt = 0;
  Micros mPushAt = 0;
  /// Hosts that asked while this one was out of touch; told when it no longer
  /// is.
  std::set<std::string> mDeferredAskers;
  /// All hosts by peer address, this one included.
  std::map<std::string, Host> mHosts;
  /// Numbers changes of hosts at this host.
  std::uint64_t mHostsSequence = 0;
  /// Digest of all hosts as of a change.
  std::uint64_t mHostsDigest = 0;
  std::uint64_t mHostsDigestSequence = 0;
  /// Last change taken from the upstream, and the upstream's incarnation.
  std::uint64_t mUpstreamSequence = 0;
  std::uint64_t mUpstreamIncarnation = 0;
  int mReportCount = 0;
  /// Last change that the own directory was told of.
  std::uint64_t mHostsPublished = 0;
  /// Last change that the other control hosts were told of.
  std::uint64_t mHostsShared = 0;
  /// Last change that followers must hear of without waiting for their report.
  std::uint64_t mHostsUrgent = 0;

  /// Where the control group is: the seeds until its members are known.
  std::vector<std::string> mControlAddresses;
  MembershipVersion mMembershipVersion;
  /// Which of the silent hosts are tried next.
  std::size_t mSilentHostCursor = 0;
  bool mWasInTouch = false;
  std::string mUpstream;
  /// Hosts between this one and its control host, the upstream last.
  std::vector<std::string> mRoute;
  Micros mUpstreamSince = 0;
  Micros mUpstreamHeardAt = 0;
  /// When the word was given that the upstream last passed on.
  Micros mUpstreamConfirmedAt = 0;
  /// At a host without a vote: when the group's word was given that it acts by,
  /// and who told of it; 0 before the first one.
  Micros mConfirmedAt = 0;
  std::string mConfirmedBy;
  /// Control hosts asked for the word since it was old, and when the next is.
  std::size_t mConfirmationAttempts = 0;
  Micros mQueryAt = 0;
  std::size_t mControlCursor = 0;
  /// The upstream that would be better, while it is tried.
  std::string mCandidateUpstream;
  Micros mRebalanceAt = 0;
  /// Upstreams that fell silent, and until when they are not tried again.
  std::map<std::string, Micros> mSuspectedUntil;
  /// Hosts that offered themselves while another one is tried that would be
  /// better, and when one of them is taken; 0 while there are none.
  std::set<std::string> mOffers;
  Micros mAcceptOfferAt = 0;
  Micros mOfferAcceptedAt = 0;
  /// Out of touch: when the next host is asked who is in touch, those that were
  /// asked in this round, and the pause after it.
  Micros mDiscoverAt = 0;
  std::set<std::string> mDiscoveryAsked;
  Micros mDiscoveryPause = 0;
  std::string mLeaderAddress;
  /// At a member of the group: when the leader's word was given as of which it
  /// last held all that was committed; 0 before.
  Micros mCaughtUpAt = 0;
  bool mInTouch = false;

  std::uint64_t mLastSubmitId = 0;
  std::map<std::uint64_t, PendingCommand> mPending;
  std::map<std::uint64_t, Waiter> mWaiters;
  /// At the leader: reads by the host that asks and its number for them.
  std::map<std::pair<std::string, std::uint64_t>, PendingRead> mReads;

  gossip::State mGossip;

  FleetCounters mCounters;

  Micros mReportAt = 0;
  Micros mJoinAt = 0;
  /// At a leader that stops: when it tries again to hand over its lead.
  Micros mTransferRetryAt = 0;
  /// When a refused request to join was last logged.
  Micros mJoinRefusedAt = 0;
  GroupDegradation mGroupDegradation;
  bool mReady = false;
  bool mStopping = false;
};

/// \brief Members of the group that seeds found; ids are equal on all of them.
[[nodiscard]] wire::Membership FoundingMembers(
  const std::vector<std::string>& aSeeds);

/// \brief Id of a member: a host whose disk was replaced is a new member.
[[nodiscard]] std::string MemberId(const std::string& aPeerAddress,
                                   const std::string& aStorage);

/// \brief Starts a host from what its disk holds (nothing without a disk).
[[nodiscard]] State Open(const Settings& aSettings,
                         const consensus::Recovered& aRecovered,
                         Micros aNow,
                         std::uint64_t aRandom,
                         Output& aOut);

/// \brief Lets time pass.
void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);

/// \brief Takes a message from another host.
void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::FleetMessage& aMessage,
             Output& aOut);

/// \brief Sends a command to the leader; its end comes in Output::mDone.
[[nodiscard]] std::uint64_t Submit(State& aState,
                                   Micros aNow,
                                   const wire::CatalogCommand& aCommand,
                                   Micros aPatience,
                                   Output& aOut);

/// \brief Asks the leader which policy is the newest; its end comes in
/// Output::mDone. A policy up to `aKnown` is not sent along.
[[nodiscard]] std::uint64_t Read(State& aState,
                                 Micros aNow,
                                 std::uint64_t aKnown,
                                 Output& aOut);

/// \brief Tells the fleet a fact; what others tell comes in
/// Output::mReceivedFacts.
void ShareFact(State& aState, Micros aNow, gossip::Item aItem, Output& aOut);

/// \brief Notes that all writes up to a sequence are on disk.
void Synced(State& aState, Micros aNow, std::uint64_t aSequence, Output& aOut);

/// \brief Tells the fleet whether this host takes clients.
void SetReady(State& aState, Micros aNow, bool aReady, Output& aOut);

/// \brief Announces that this host leaves, and hands leadership over.
void BeginStop(State& aState, Micros aNow, Output& aOut);

/// \brief Hosts that clients may be sent to, by caller address.
[[nodiscard]] std::vector<const Host*> ReadyHosts(const State& aState,
                                                  Micros aNow);

/// \brief Hosts known to be alive, this one included; at least 1.
[[nodiscard]] int LiveHosts(const State& aState, Micros aNow);

/// \brief True while the control group's leader is heard, directly or not.
[[nodiscard]] bool IsInTouch(const State& aState, Micros aNow);

/// \brief True once this host has held all that the group had committed when it
/// gave its word; from then on its catalog only moves forward.
[[nodiscard]] bool HasConfirmedCatalog(const State& aState, Micros aNow);

/// \brief When a leader with a quorum gave the word that this host acts by; 0
/// before the first one.
[[nodiscard]] Micros ConfirmedAt(const State& aState, Micros aNow);

/// \brief How old that word is; none before the first one.
[[nodiscard]] std::optional<Micros> ConfirmationAge(const State& aState,
                                                    Micros aNow);

/// \brief How much of the control group is there; all zero without a disk.
[[nodiscard]] GroupHealth HealthOf(const State& aState, Micros aNow);

/// \brief True for the address of a host known to be in the own data centre.
[[nodiscard]] bool IsNear(const State& aState, const std::string& aAddress);

/// \brief Lower-case name of a message's kind.
[[nodiscard]] const char* KindOf(const wire::FleetMessage& aMessage) noexcept;

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

} // namespace geraniumpond::fleet
