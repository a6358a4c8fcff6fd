#pragma once

#include <geraniumpond/budget.h>
#include <geraniumpond/burn.h>
#include <geraniumpond/consensus.h>
#include <geraniumpond/control.h>
#include <geraniumpond/deployment.h>
#include <geraniumpond/limits.h>
#include <geraniumpond/membership.h>
#include <geraniumpond/retries.h>
#include <geraniumpond/routing.h>

#include <optional>

/// \brief One host's reducer: all decisions, over all events.
///
/// Step() is deterministic. It reads no clock and no random source; the same
/// events always give the same effects, byte for byte.
namespace geraniumpond::node {

/// \brief Where a request stands.
enum class Phase
{
  Claiming,
  AwaitingRecord,
  Waiting,
  Running,
  Accepted
};

/// \brief One try of a request on one target.
struct Attempt
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
  Micros mStartedAt = 0;
  bool mHedge = false;
};

/// \brief A request from its arrival to its last byte.
struct Request
{
  std::uint64_t mId = 0;
  std::string mCaller;
  std::string mService;
  std::string mKind;
  std::size_t mKindIndex = 0;
  Priority mPriority = Priority::Normal;
  Micros mArrivedAt = 0;
  Micros mDeadline = 0;
  bool mIdempotent = false;
  Phase mPhase = Phase::Waiting;

  /// Scoped idempotency key; empty when the request is not keyed.
  std::string mKey;
  std::string mDigest;
  bool mOwnsKey = false;
  int mClaimTries = 0;

  std::vector<Attempt> mAttempts;
  int mAttemptCount = 0;
  std::vector<std::string> mTried;
  std::uint64_t mAccepted = 0;
  /// Set once an attempt ended without proof that it did not run.
  bool mMayHaveRun = false;
  /// Set once the caller has its answer while a keyed attempt still runs: its
  /// end goes to the key's record only.
  bool mDetached = false;

  /// Strong validator of the accepted answer; empty when it has none.
  std::string mEtag;
  bool mRangeAllowed = false;
  std::uint64_t mResumeFrom = 0;
  std::uint32_t mStatus = 0;
};

/// \brief Whose slot an attempt holds; outlives its request.
struct Holding
{
  std::string mService;
  std::string mTarget;
  std::string mCaller;
  Priority mPriority = Priority::Normal;
};

/// \brief One service at this entry.
struct ServiceState
{
  routing::TargetSet mTargets;
  limits::WaitQueue mQueue;
  retries::RetryBudget mRetries;
  std::uint64_t mFirstAttempts = 0;
  std::uint64_t mExtraAttempts = 0;
};

/// \brief What a request timer is for.
enum class TimerKind
{
  Deadline,
  GiveUp,
  Hedge,
  Claim
};

/// \brief A command on its way through the control group.
struct Proposal
{
  wire::Command mCommand;
  std::uint64_t mRequest = 0;
  std::uint64_t mOperation = 0;
  Micros mSendAt = 0;
  Micros mGiveUpAt = 0;
  std::size_t mTries = 0;
  int mHintsFollowed = 0;
};

/// \brief A proposal that this leader answers when it commits.
struct CommitWaiter
{
  std::uint64_t mTerm = 0;
  std::string mFrom;
  std::uint64_t mProposal = 0;
};

/// \brief What is known of another host's liveness.
struct PeerState
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  Micros mHeardAt = 0;
  Micros mExpectedSince = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mNumberSeen = 0;
};

/// \brief Counters that /metrics shows.
using Counters = std::map<std::string, std::uint64_t>;

/// \brief Everything one host knows.
struct State
{
  wire::HostSettings mSettings;
  std::uint64_t mIncarnation = 0;
  bool mStarted = false;
  Micros mStartedAt = 0;

  membership::Directory mDirectory;
  std::map<std::string, PeerState> mPeers;
  std::uint64_t mHeartbeatNumber = 0;
  Micros mHeartbeatAt = 0;
  Micros mGossipAt = 0;
  /// Lease end of each target that announced itself here.
  std::map<membership::FactKey, Micros> mLeases;
  budget::TokenBucket mHostBudget;
  std::map<std::string, budget::TokenBucket> mReportBudgets;

  consensus::State mGroup;
  control::State mControl;
  std::map<std::uint64_t, CommitWaiter> mCommitWaiters;
  std::map<std::uint64_t, Proposal> mProposals;
  std::set<std::pair<Micros, std::uint64_t>> mProposalTimes;
  std::uint64_t mLastProposal = 0;
  std::string mLeaderHint;
  Micros mJoinAt = 0;

  Deployment mDeployment;
  wire::DeploymentVersion mVersion;
  /// The one before, as the base of deltas.
  wire::DeploymentVersion mPreviousVersion;
  std::set<std::string> mQuorumWord;
  bool mReady = false;

  std::map<std::uint64_t, Request> mRequests;
  /// Attempts whose end has not been reported yet.
  std::map<std::uint64_t, Holding> mHoldings;
  std::uint64_t mLastAttempt = 0;
  std::map<std::string, ServiceState> mServices;
  std::set<std::tuple<Micros, TimerKind, std::uint64_t>> mTimers;
  /// Time of the last SetTimer effect; none was given yet.
  Micros mTimerAt = -1;

  bool mStopping = false;
  Micros mStopAt = 0;
  bool mExited = false;

  burn::SeriesMap mBook;
  Counters mCounters;
};

/// \brief Takes one event; the only function that changes a State.
[[nodiscard]] wire::Effects Step(State& aState, const wire::Event& aEvent);

/// \brief Settings in the form that events carry.
[[nodiscard]] wire::HostSettings ToWire(const Settings& aSettings);

/// \brief True while callers are served.
[[nodiscard]] bool IsReady(const State& aState) noexcept;

} // namespace geraniumpond::node
