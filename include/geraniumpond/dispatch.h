#pragma once

#include <geraniumpond/budget.h>
#include <geraniumpond/gossip.h>
#include <geraniumpond/policy.h>
#include <geraniumpond/quarantine.h>
#include <geraniumpond/rate_share.h>
#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "impl/wire.h"

/// \brief Handles a request from its arrival to its answer: probes targets for
/// their load at the moment of choice, queues, sends, retries and refuses.
///
/// A plain struct and free functions, without clock, thread, socket or source
/// of randomness. Effects are returned as data, in the order in which they are
/// to be performed.
namespace geraniumpond::dispatch {

/// \brief Load that a target reports.
struct Report
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 1;
  /// Service time there relative to the usual; 1 is as usual.
  double mSlowness = 1;
};

/// \brief The request rate limit that a target states in an answer, for all
/// hosts together.
struct StatedLimit
{
  enum class Kind
  {
    /// The answer states no limit.
    Absent,
    Valid,
    /// The stated value is not a rate.
    Invalid
  };
  Kind mKind = Kind::Absent;
  double mPerSecond = 0;
};

/// \brief How long a target that turns a request away wants nothing more from
/// this host.
struct StatedRest
{
  using Kind = StatedLimit::Kind;
  Kind mKind = Kind::Absent;
  Micros mFor = 0;
};

/// \brief A request whose answer broke at a target that may have ended.
struct BrokenAnswer
{
  std::uint64_t mIdentity = 0;
  Micros mBrokenAt = 0;
};

/// \brief One target, as this host knows it.
struct Target
{
  /// Id of one incarnation: nothing known of an earlier one applies.
  std::string mId;
  /// The id that it announced, by which requests address it.
  std::string mName;
  std::string mService;
  std::string mAddress;
  std::string mDataCentre;
  /// Version of its program; empty if unknown.
  std::string mRelease;
  int mSlots = 1;
  /// End of its warm-up, after which it works at full speed; and the requests
  /// per second that it takes from all hosts until then, 0 for no bound.
  Micros mWarmUpEnd = 0;
  double mWarmUpPerSecond = 0;

  std::optional<Report> mReport;
  Micros mReportAt = 0;
  /// Requests of this host sent since the last report.
  int mSentSinceReport = 0;
  /// Requests of this host in flight.
  int mRunning = 0;

  Micros mProbeSentAt = 0;
  bool mProbing = false;
  Micros mProbeRoundTrip = 3 * kMillisecond;

  /// Consecutive failures to reach it.
  int mConnectFailures = 0;
  /// Gets no requests until a probe succeeds at mNextProbeAt or later.
  bool mUnavailable = false;
  Micros mNextProbeAt = 0;
  /// Service::mSigns when it was last asked.
  std::uint64_t mAskedAtSign = 0;
  /// It has said in an answer that it leaves: it gets nothing new.
  bool mLeaving = false;
  /// It has asked this host to send nothing until then.
  Micros mRestUntil = 0;
  /// Smoothed share of requests that failed there, as of mFailedAt.
  double mFailureShare = 0;
  Micros mFailedAt = 0;

  /// Requests a second that it accepts from all hosts together, as last stated,
  /// and when any host saw it.
  std::optional<double> mLimit;
  Micros mLimitAt = 0;
  /// This host's share of the limit, or of the rate during the warm-up.
  rate_share::Share mShare;

  /// At the last probe or request its address refused connections or belonged
  /// to another target.
  bool mEnded = false;
  std::vector<BrokenAnswer> mBrokenAnswers;
};

/// \brief Requests and extra attempts of one service within the sliding window
/// of the budget.
struct ExtraWindow
{
  struct Slice
  {
    Micros mStart = 0;
    int mRequests = 0;
    int mExtra = 0;
  };
  std::deque<Slice> mSlices;
};

/// \brief Order of waiting requests: by priority, then by deadline.
struct WaitKey
{
  int mPriority = 0;
  Micros mDeadline = 0;
  std::uint64_t mRequest = 0;

  bool operator<(const WaitKey& aOther) const noexcept
  {
    return std::tie(mPriority, mDeadline, mRequest) <
           std::tie(aOther.mPriority, aOther.mDeadline, aOther.mRequest);
  }
};

/// \brief Occupancy ranges of a target that a LoadCurve distinguishes.
constexpr std::size_t kCurveBuckets = 16;

/// \brief Factor by which work takes longer, by the occupancy of the target
/// when the work started.
struct LoadCurve
{
  std::array<double, kCurveBuckets> mLatencyFactor{};
  std::array<int, kCurveBuckets> mSampleCount{};
};

/// \brief Statistics of the speeds that a service's targets report.
struct SpeedStatistics
{
  /// Smoothed slowness.
  double mMean = 1;
  /// Total time between consecutive reports of one target, and the number of
  /// speed changes in it.
  double mObservedTime = 0;
  double mChanges = 0;
};

/// \brief One service, as this host knows it.
struct Service
{
  std::string mName;
  std::string mHealthPath;
  std::vector<std::string> mTargets;
  /// Targets with a bounded rate of which this host has a share.
  std::vector<std::string> mLimitedTargets;
  /// The targets that this host probes first; all of them if they are few.
  std::vector<std::string> mSubset;
  /// Targets that reported their load lately, each once; may include removed
  /// ones.
  std::deque<std::string> mRecentReporters;
  std::set<WaitKey> mWaiting;
  ExtraWindow mExtra;
  /// False once a target answered a probe without a load report.
  bool mReportsLoad = true;
  /// Smoothed share of probes that found a target with spare capacity.
  double mSpareCapacityShare = 0.5;
  LoadCurve mCurve;
  SpeedStatistics mSpeeds;
  /// Factor by which work takes longer at a target that has just started; 2
  /// until some have answered.
  double mColdLatencyFactor = 2;
  /// Smoothed share of late requests that waited and found spare capacity, as
  /// of mLateServedAt.
  double mLateServedShare = 1;
  Micros mLateServedAt = 0;
  /// Smoothed interval between dispatches while requests wait.
  double mDispatchInterval = 0;
  Micros mDispatchedAt = 0;
  /// Until when any of its targets rests.
  Micros mRestUntil = 0;
  /// Answers of its targets, and how many of these have been asked since the
  /// last one.
  std::uint64_t mSigns = 1;
  std::size_t mAskedTargets = 0;
  /// When enough of them had been asked; 0 while they have not.
  Micros mSilentSince = 0;
  Micros mHeardAt = 0;
  /// When another host last got an answer for this one.
  Micros mServedElsewhereAt = 0;
  /// Hosts that do not reach the targets, and until when they are not tried.
  std::map<std::string, Micros> mAvoidedHosts;
  /// Hosts in a row that did not reach them, and until when none is tried.
  int mHostsWithoutWay = 0;
  Micros mDownUntil = 0;
  /// True if requests were still waiting at the last dispatch.
  bool mWasBusy = false;
};

/// \brief Statistics of the timeouts that clients state on their first try, in
/// microseconds.
struct PatienceStatistics
{
  int mSampleCount = 0;
  double mMean = 0;
  /// Smoothed absolute deviation from the mean.
  double mDeviation = 0;
  /// Smoothed share of requests that were classified as retries.
  double mRetryShare = 0;
};

/// \brief Learnt statistics of a route's requests.
struct RouteStatistics
{
  PatienceStatistics mPatience;
  int mAnswers = 0;
  /// Smoothed service time at a target of usual speed; 0 while unknown.
  double mWork = 0;
  Micros mLearntAt = 0;
  double mAnswerBytes = 0;
};

/// \brief One send of a request to one target.
struct Attempt
{
  std::uint64_t mNumber = 0;
  std::string mTarget;
  Micros mSentAt = 0;
  Micros mExpected = 0;
  /// Expected bytes of a large answer, charged to the host's link; 0 for a
  /// small answer.
  double mLargeBytes = 0;
  /// State of the target at the choice, for learning and the log.
  double mSlowness = 1;
  int mOccupancy = 0;
  int mSlots = 1;
  Micros mReportAge = 0;
  /// The target was still warming up.
  bool mCold = false;
  /// Caller address of the host that the request was passed on to; empty if it
  /// was sent to a target.
  std::string mHost;
};

/// \brief A request from its arrival to its end.
struct Request
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  /// Equal for requests with the same content, whoever sends them and when.
  std::uint64_t mIdentity = 0;
  std::string mRoute;
  std::string mService;
  policy::RouteKind mKind = policy::RouteKind::Safe;
  int mPriority = 0;
  int mMaxAttempts = 1;
  Micros mArrivedAt = 0;
  Micros mObjectiveAt = 0;
  Micros mDeadline = 0;

  bool mWaiting = false;
  int mProbeRound = 0;
  std::set<std::string> mProbed;
  Micros mProbesAwaitedUntil = 0;
  Micros mRecheckAt = 0;

  std::vector<Attempt> mAttempts;
  std::set<std::string> mTried;
  int mSent = 0;
  int mConnectFailures = 0;
  bool mMayHaveRun = false;
  /// Waits for a second target while the first attempt runs.
  bool mHedging = false;
  Micros mHedgeAt = 0;
  /// Time for which its timer is set; 0 if none is.
  Micros mTimerAt = 0;
  /// The client has its answer or has disconnected, while the attempt runs to
  /// its end.
  bool mDetached = false;
  /// Another host passed it on to this one.
  bool mIsRelayed = false;
  /// Hosts that it was passed on to.
  std::set<std::string> mHostsTried;
};

/// \brief A client's request that has been read completely.
struct Arrival
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  std::string mHostName;
  std::string mPath;
  /// Digest of its content beside host name and path, without the fields that
  /// change with each try.
  std::uint64_t mContentDigest = 0;
  /// Timeout that the client states; 0 if none.
  Micros mPatience = 0;
  /// Time that it spent at the host that passed it on; none if it comes from a
  /// client.
  std::optional<Micros> mRelayedAfter;
  /// It was passed on because of the size of its answer.
  bool mIsForFastLink = false;
};

/// \brief A request that arrived before the first policy.
struct Unrouted
{
  Arrival mArrival;
  Micros mArrivedAt = 0;
  Micros mGiveUpAt = 0;
};

// ------------------------------------------------------------------- effects

/// \brief Probe a target for its health and load.
struct ProbeTarget
{
  std::string mTarget;
  std::string mAddress;
  std::string mPath;
};

/// \brief Send a request to a target.
struct SendRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  std::string mTarget;
  /// The id that the target announced.
  std::string mTargetName;
  std::string mAddress;
  /// Deadline until which the target may work on it.
  Micros mDeadline = 0;
  /// Use only a connection that is new or has just been verified.
  bool mProvenConnection = false;
};

/// \brief Pass a request on to another host.
struct RelayRequest
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  /// Caller address of the host.
  std::string mAddress;
  Micros mDeadline = 0;
  /// Time that it spent at this host.
  Micros mElapsed = 0;
  /// Bytes per second at which the answer is to come; 0 for no bound.
  double mBytesPerSecond = 0;
};

/// \brief Cancel an attempt: close its connection.
struct CancelAttempt
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Forward an attempt's answer to the client.
struct DeliverAnswer
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Answer a request without a target.
struct ReplyToClient
{
  std::uint64_t mRequest = 0;
  int mStatus = 503;
  /// Delay before the client should retry; 0 if none is stated.
  Micros mRetryAfter = 0;
  std::string mReason;
};

/// \brief Send a fact to the other hosts.
struct SendFact
{
  gossip::Item mItem;
};

/// \brief A log line.
struct LogLine
{
  int mLevel = 1;
  std::string mText;
};

using Effect = std::variant<ProbeTarget,
                            SendRequest,
                            CancelAttempt,
                            DeliverAnswer,
                            ReplyToClient,
                            SendFact,
                            LogLine,
                            RelayRequest>;
using Effects = std::vector<Effect>;

// -------------------------------------------------------------------- events

/// \brief Result of a probe.
struct ProbeEnd
{
  std::string mTarget;
  bool mAnswered = false;
  /// Its address refused the connection.
  bool mRefused = false;
  bool mHealthy = false;
  /// Id of the target that answered; empty if not stated.
  std::string mAnsweredBy;
  std::optional<Report> mReport;
  StatedLimit mLimit;
  StatedRest mRest;
  /// Time that its warm-up still takes; none if not stated.
  std::optional<Micros> mWarmUpLeft;
  /// The target says that it leaves.
  bool mLeaving = false;
};

/// \brief How an attempt ended.
enum class EndKind
{
  /// A complete answer.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// Sent at least in part, and no complete answer came.
  Broken
};

/// \brief The end of an attempt.
struct AttemptEnd
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  EndKind mKind = EndKind::Broken;
  int mStatus = 0;
  /// The target's address refused the connection.
  bool mRefused = false;
  /// The target states that it did not run the request.
  bool mNotRun = false;
  /// Another target uses the address now, or the host that the request was
  /// passed on to does not reach its service.
  bool mMisdirected = false;
  std::uint64_t mBytes = 0;
  std::optional<Report> mReport;
  StatedLimit mLimit;
  StatedRest mRest;
  /// The target says that it leaves.
  bool mLeaving = false;
  std::string mReason;
};

// --------------------------------------------------------------------- state

/// \brief Bounds set by the deployment, as totals over all hosts.
struct Bounds
{
  /// Extra attempts at a service in any window: a share of its requests plus a
  /// fixed number.
  double mExtraRatio = 0.1;
  double mExtraFloor = 20;
  Micros mExtraWindow = 10 * kSecond;
  /// Probes per target and second.
  double mProbesPerTarget = 10;
  /// Bandwidth of the host's link, in bytes a second.
  double mLinkBytesPerSecond = 125e6;
  /// Requests at a cold target in any second, from all hosts: this many times
  /// the rate that its service states, plus a fixed number.
  double mWarmUpRatio = 1;
  double mWarmUpFloor = 0;
};

/// \brief Whether this host reaches the targets of any service.
struct Reach
{
  Micros mCheckedAt = 0;
  /// Since when no service has been silent; 0 while one is.
  Micros mHeardSince = 0;
  /// It reaches no target, while another host does.
  bool mCutOff = false;
};

/// \brief Counters published as metrics.
using Counters = std::map<std::string, std::uint64_t>;

/// \brief The dispatch state of one host.
struct State
{
  std::string mHostId;
  std::string mDataCentre;
  Bounds mBounds;
  std::uint64_t mRandom = 1;
  int mHosts = 1;
  /// False while the number of hosts may only cover those heard of so far.
  bool mKnowsHosts = true;
  /// A newer policy may be in force elsewhere, with routes that this one lacks.
  bool mPolicyMayBeOutdated = false;
  std::shared_ptr<const policy::TrafficPolicy> mPolicy;
  std::unordered_map<std::string, Target> mTargets;
  /// Data centres whose targets are withdrawn from service, and when others
  /// returned to it.
  std::set<std::string> mEvacuated;
  std::map<std::string, Micros> mReturnedAt;
  std::map<std::string, Service> mServices;
  std::map<std::string, RouteStatistics> mStatistics;
  budget::TokenBucket mProbeBudget;
  std::unordered_map<std::uint64_t, Request> mRequests;
  std::map<std::uint64_t, Unrouted> mUnrouted;
  /// While the host starts without a policy, the time until which one is
  /// expected.
  Micros mPolicyExpectedUntil = 0;
  std::set<std::pair<Micros, std::uint64_t>> mTimers;
  std::set<std::pair<Micros, std::string>> mProbeTimers;
  std::uint64_t mLastAttempt = 0;
  /// Sum of the running attempts' mLargeBytes.
  double mLargeBytes = 0;
  /// Requests that were running at targets when those ended.
  quarantine::State mQuarantine;
  /// The hosts that divide rate limits among themselves; empty while unknown.
  rate_share::Members mLimitHosts;
  Reach mReach;
  /// Caller addresses of the hosts that requests may be passed on to; kept up
  /// to date while AwaitsAnyAnswer().
  std::vector<std::string> mRelayHosts;
  /// Caller addresses of hosts of this data centre whose links are so much
  /// faster than this host's that its large answers hardly occupy them.
  std::vector<std::string> mFastHosts;
  /// Limits of targets that are not known yet.
  std::map<std::string, gossip::Item> mEarlyLimits;
  Counters mCounters;
};

/// \brief Sets the policy in force.
void SetPolicy(State& aState,
               Micros aNow,
               std::shared_ptr<const policy::TrafficPolicy> aPolicy);

/// \brief Sets the data centres whose targets are withdrawn from service; takes
/// effect with the next SetTargets().
void SetEvacuated(State& aState,
                  Micros aNow,
                  std::set<std::string> aDataCentres,
                  Effects& aOut);

/// \brief Updates the targets from the catalog.
void SetTargets(State& aState,
                Micros aNow,
                const std::map<std::string, wire::TargetRecord>& aTargets,
                Effects& aOut);

/// \brief Sets the number of hosts that share the bounds.
void SetHosts(State& aState, Micros aNow, int aHosts);

/// \brief Handles an announcement of a known target that has turned cold.
void HandleAnnouncedWarmUp(State& aState,
                           Micros aNow,
                           const wire::TargetRecord& aRecord,
                           Effects& aOut);

/// \brief True while the rate of requests to any target is bounded.
[[nodiscard]] bool HasLimits(const State& aState, Micros aNow) noexcept;

/// \brief True while a rate limit has to be divided among the hosts, or a
/// suspected request assigned to one of them.
[[nodiscard]] bool NeedsLimitHosts(const State& aState, Micros aNow) noexcept;

/// \brief Sets the hosts among which rate limits are divided.
void SetLimitHosts(State& aState, Micros aNow, rate_share::Members aHosts);

/// \brief Identity of a request: equal for requests with the same content.
[[nodiscard]] std::uint64_t IdentityOf(const Arrival& aArrival);

void HandleArrival(State& aState,
                   Micros aNow,
                   const Arrival& aArrival,
                   Effects& aOut);

/// \brief Refuses a request that this host has no processor time for; another
/// host can serve it at once.
void RefuseBusy(State& aState, const Arrival& aArrival, Effects& aOut);

/// \brief Admits the requests that arrived before the first policy, once there
/// is one and the targets are known.
void AdmitUnrouted(State& aState, Micros aNow, Effects& aOut);
void HandleProbeEnd(State& aState,
                    Micros aNow,
                    const ProbeEnd& aEnd,
                    Effects& aOut);
void HandleAttemptEnd(State& aState,
                      Micros aNow,
                      const AttemptEnd& aEnd,
                      Effects& aOut);

/// \brief Handles a fact from another host.
void HandleFact(State& aState,
                Micros aNow,
                const gossip::Item& aItem,
                Effects& aOut);

/// \brief Releases a suspected or quarantined request at all hosts, on behalf
/// of an operator; false when it is neither.
bool ReleaseRequest(State& aState,
                    Micros aNow,
                    std::uint64_t aIdentity,
                    Effects& aOut);

/// \brief Handles a client that disconnected before its answer was complete.
void HandleClientDisconnect(State& aState,
                            Micros aNow,
                            std::uint64_t aRequest,
                            Effects& aOut);

void Tick(State& aState, Micros aNow, Effects& aOut);

/// \brief Earliest time at which Tick() has work to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief Updates what this host knows of its way to the targets; true when
/// enough time has passed since the last update.
bool UpdateReach(State& aState, Micros aNow, Effects& aOut);

/// \brief Called before each event: silence during which this host did not run
/// says nothing about the targets.
void IgnoreOwnDelay(State& aState, Micros aNow) noexcept;

/// \brief True if this host reaches no target, while another host does.
[[nodiscard]] bool IsCutOff(const State& aState) noexcept;

/// \brief True while targets of a service have been asked and none has answered
/// since.
[[nodiscard]] bool AwaitsAnyAnswer(const State& aState) noexcept;

/// \brief Number of services that this host does not reach.
[[nodiscard]] std::size_t SilentServices(const State& aState,
                                         Micros aNow) noexcept;

/// \brief Number of targets that get no requests until a probe succeeds.
[[nodiscard]] std::size_t UnavailableTargets(const State& aState) noexcept;

/// \brief Number of requests that are queued, running or waiting for the first
/// policy.
[[nodiscard]] std::size_t RunningRequests(const State& aState) noexcept;

} // namespace geraniumpond::dispatch
