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

/// \brief Deterministic state machine of one host.
///
/// Step() reads no clock and no random source: the same sequence of events
/// always yields the same effects, byte for byte.
namespace geraniumpond::node {

/// \brief Stage of a request's processing.
enum class Phase
{
  Claiming,
  AwaitingRecord,
  Waiting,
  Running,
  Accepted
};

/// \brief One dispatch of a request to one target.
struct Attempt
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
  Micros mStartedAt = 0;
  bool mHedge = false;
};

/// \brief State of a request from its arrival to the end of its answer.
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

  /// Idempotency key, scoped by client account; empty when the request has
  /// none.
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
  /// Set once the client has been answered while a keyed attempt is still
  /// running; the result of that attempt only updates the key's record.
  bool mDetached = false;

  /// Strong ETag of the accepted response; empty when it has none.
  std::string mEtag;
  bool mRangeAllowed = false;
  std::uint64_t mResumeFrom = 0;
  std::uint32_t mStatus = 0;
};

/// \brief Concurrency slot that an attempt occupies; may outlive the request.
struct AttemptSlot
{
  std::string mService;
  std::string mTarget;
  std::string mCaller;
  Priority mPriority = Priority::Normal;
};

/// \brief State of one service at this entry host.
struct ServiceState
{
  routing::TargetSet mTargets;
  limits::WaitQueue mQueue;
  retries::RetryBudget mRetries;
  std::uint64_t mFirstAttempts = 0;
  std::uint64_t mExtraAttempts = 0;
};

/// \brief Purpose of a request timer.
enum class TimerKind
{
  Deadline,
  GiveUp,
  Hedge,
  Claim
};

/// \brief A command submitted to the control group and not yet acknowledged.
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

/// \brief A proposal whose sender this leader replies to once it commits.
struct CommitWaiter
{
  std::uint64_t mTerm = 0;
  std::string mFrom;
  std::uint64_t mProposal = 0;
};

/// \brief Liveness information about another host.
struct PeerState
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  Micros mHeardAt = 0;
  Micros mExpectedSince = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mLastHeartbeatNumber = 0;
};

/// \brief Counters exported by /metrics.
using Counters = std::map<std::string, std::uint64_t>;

/// \brief Complete state of one host.
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
  /// Lease expiry of each target that registered with this host.
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
  /// Previous version in force; the base for deltas.
  wire::DeploymentVersion mPreviousVersion;
  std::set<std::string> mConfirmingHosts;
  bool mReady = false;

  std::map<std::uint64_t, Request> mRequests;
  /// Slots of attempts whose end has not been reported yet, by attempt
  /// number.
  std::map<std::uint64_t, AttemptSlot> mAttemptSlots;
  std::uint64_t mLastAttempt = 0;
  std::map<std::string, ServiceState> mServices;
  std::set<std::tuple<Micros, TimerKind, std::uint64_t>> mTimers;
  /// Time set by the last SetTimer effect; -1 if there was none.
  Micros mTimerAt = -1;

  bool mStopping = false;
  Micros mStopAt = 0;
  bool mExited = false;

  burn::SeriesMap mBook;
  Counters mCounters;
};

/// \brief Processes one event; the only function that modifies a State.
[[nodiscard]] wire::Effects Step(State& aState, const wire::Event& aEvent);

/// \brief Converts settings to their protobuf form.
[[nodiscard]] wire::HostSettings ToWire(const Settings& aSettings);

/// \brief Whether the host accepts client requests.
[[nodiscard]] bool IsReady(const State& aState) noexcept;

} // namespace geraniumpond::node
