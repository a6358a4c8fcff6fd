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

/// \brief From a request's arrival to its answer: asks targets for their load
/// at the moment of choice, waits, sends, retries, refuses.
///
/// A plain struct and free functions: no clock, thread, socket or random
/// source. Effects are data, in the order in which they are to be performed.
namespace geraniumpond::dispatch {

/// \brief Load as a target tells it.
struct Report
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 1;
  /// How long work takes there now; 1 is as usual.
  double mSlowness = 1;
};

/// \brief What an answer says of the requests a second that its target takes
/// from all hosts together.
struct LimitWord
{
  enum class Kind
  {
    /// Nothing: there is no limit.
    Silent,
    Named,
    /// What it names is no rate.
    Unreadable
  };
  Kind mKind = Kind::Silent;
  double mPerSecond = 0;
};

/// \brief A request whose answer broke at a target that may have ended.
struct OpenEnd
{
  std::uint64_t mIdentity = 0;
  Micros mBrokenAt = 0;
};

/// \brief One target as this host sees it.
struct Target
{
  /// One incarnation: nothing that was known of an earlier one counts.
  std::string mId;
  /// The id that it announced, by which requests name it.
  std::string mName;
  std::string mService;
  std::string mAddress;
  std::string mDataCentre;
  /// Version of its program; empty where it does not say.
  std::string mRelease;
  int mSlots = 1;
  /// Works at full speed from then on.
  Micros mWarmAt = 0;

  std::optional<Report> mReport;
  Micros mReportAt = 0;
  /// Own requests sent since the report.
  int mSentSince = 0;
  /// Own requests in flight.
  int mRunning = 0;

  Micros mProbeSentAt = 0;
  bool mProbing = false;
  Micros mProbeTime = 3 * kMillisecond;

  /// Failures to reach it, in a row.
  int mUnreached = 0;
  /// Given no work until a probe succeeds; the time of the next one.
  bool mSuspect = false;
  Micros mProbeAgainAt = 0;
  /// Smoothed share of requests that failed there, as of mFailedAt.
  double mFailureShare = 0;
  Micros mFailedAt = 0;

  /// Requests a second that it takes from all hosts together, as it named them
  /// last, and when any host saw it.
  std::optional<double> mLimit;
  Micros mLimitAt = 0;
  /// This host's part of the limit.
  rate_share::Share mShare;

  /// Its address refused, or was another one's, when it was asked last.
  bool mEnded = false;
  std::vector<OpenEnd> mOpenEnds;
};

/// \brief Requests and extra attempts of one service in the last seconds.
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

/// \brief Order of waiting requests: urgent ones first, then by deadline.
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

/// \brief Parts of a target's slots that are told apart in a LoadCurve.
constexpr std::size_t kCurveBuckets = 16;

/// \brief How many times as long work takes by how much of a target's slots was
/// taken when it started.
struct LoadCurve
{
  std::array<double, kCurveBuckets> mStretch{};
  std::array<int, kCurveBuckets> mSeen{};
};

/// \brief How the speeds that a service's targets report behave.
struct SpeedStatistics
{
  /// Smoothed slowness.
  double mMean = 1;
  /// Time between reports of one target, and changes of its speed in it.
  double mWatched = 0;
  double mChanges = 0;
};

/// \brief One service at this host.
struct Service
{
  std::string mName;
  std::string mHealthPath;
  std::vector<std::string> mTargets;
  /// Those with a limit of which this host holds a part.
  std::vector<std::string> mHeld;
  /// The targets that this host asks first; all of them where they are few.
  std::vector<std::string> mSubset;
  /// Targets that told their load lately, each once; some have gone since.
  std::deque<std::string> mReported;
  std::set<WaitKey> mWaiting;
  ExtraWindow mExtra;
  /// False once a target answered its health path without a report.
  bool mTellsLoad = true;
  /// Smoothed share of probes that found a target with room.
  double mRoomShare = 0.5;
  LoadCurve mCurve;
  SpeedStatistics mSpeeds;
  /// How many times as long work takes at a target that has just started;
  /// twice until some have answered.
  double mColdStretch = 2;
  /// Smoothed share of late requests that waited and found spare room, as of
  /// mLateAt.
  double mLateServed = 1;
  Micros mLateAt = 0;
  /// Smoothed time between dispatches while requests wait.
  double mDispatchInterval = 0;
  Micros mDispatchedAt = 0;
  /// Requests were left waiting at the last dispatch.
  bool mWasBusy = false;
};

/// \brief How long clients say on their first try that they will wait, in
/// microseconds.
struct PatienceStatistics
{
  int mSeen = 0;
  double mMean = 0;
  /// Smoothed distance from the mean.
  double mDeviation = 0;
  /// Smoothed share of requests that were taken for a later try.
  double mReturnShare = 0;
};

/// \brief What is learnt of a route's requests.
struct RouteStatistics
{
  PatienceStatistics mPatience;
  int mAnswers = 0;
  /// Smoothed time at a target that works as usual; 0 while unknown.
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
  /// Bytes of its answer that count as large on the host's own link; else 0.
  double mLargeBytes = 0;
  /// What the choice was made on, for the log.
  double mSlowness = 1;
  int mOccupancy = 0;
  int mSlots = 1;
  Micros mReportAge = 0;
  /// The target had just started.
  bool mCold = false;
};

/// \brief A request from its arrival to its end.
struct Request
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  /// Equal for requests that ask for the same, whoever sends them and when.
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
  int mAskRound = 0;
  std::set<std::string> mAsked;
  Micros mAskedUntil = 0;
  Micros mLookAgainAt = 0;

  std::vector<Attempt> mAttempts;
  std::set<std::string> mTried;
  int mSent = 0;
  int mUnreached = 0;
  bool mMayHaveRun = false;
  /// Looks for a second target while the first works.
  bool mHedging = false;
  Micros mHedgeAt = 0;
  /// When its timer is set for; 0 when none is.
  Micros mTimerAt = 0;
  /// The client has its answer or has left; the attempt runs to its end.
  bool mDetached = false;
};

/// \brief A client's request has been read as a whole.
struct Arrival
{
  std::uint64_t mId = 0;
  std::string mClientRequestId;
  std::string mHostName;
  std::string mPath;
  /// Of what it holds beside host name and path, but for what changes with each
  /// try.
  std::uint64_t mContentDigest = 0;
  /// Time that the client waits; 0 when it does not say.
  Micros mPatience = 0;
};

/// \brief A request that came before the first policy.
struct Unrouted
{
  Arrival mArrival;
  Micros mArrivedAt = 0;
  Micros mGiveUpAt = 0;
};

// ------------------------------------------------------------------- effects

/// \brief Ask a target for its health and load.
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
  /// The id by which the target knows itself.
  std::string mTargetName;
  std::string mAddress;
  /// Until when the target may work on it.
  Micros mDeadline = 0;
  /// Only on a connection that is new or was proved alive just now.
  bool mProvenConnection = false;
};

/// \brief Give an attempt up: close its connection.
struct CancelAttempt
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Pass an attempt's answer on to the client.
struct DeliverAnswer
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
};

/// \brief Answer a request here.
struct ReplyToClient
{
  std::uint64_t mRequest = 0;
  int mStatus = 503;
  /// When to come back; 0 says nothing.
  Micros mRetryAfter = 0;
  std::string mReason;
};

/// \brief Tell the other hosts a fact.
struct TellFleet
{
  gossip::Item mItem;
};

/// \brief A line for the log.
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
                            TellFleet,
                            LogLine>;
using Effects = std::vector<Effect>;

// -------------------------------------------------------------------- events

/// \brief How a probe ended.
struct ProbeEnd
{
  std::string mTarget;
  bool mAnswered = false;
  /// Nobody listens at its address.
  bool mRefused = false;
  bool mHealthy = false;
  /// Id of the target that answered; empty when it does not say.
  std::string mAnsweredBy;
  std::optional<Report> mReport;
  LimitWord mLimit;
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
  /// Nobody listens at the target's address.
  bool mRefused = false;
  /// The target states that it did not run the request.
  bool mNotRun = false;
  /// Another target has the address now.
  bool mMisdirected = false;
  std::uint64_t mBytes = 0;
  std::optional<Report> mReport;
  LimitWord mLimit;
  std::string mReason;
};

// --------------------------------------------------------------------- state

/// \brief What the deployment allows; summed over all hosts.
struct Bounds
{
  /// Extra arrivals at a service in any window: a share of its requests and a
  /// fixed number.
  double mExtraRatio = 0.1;
  double mExtraFloor = 20;
  Micros mExtraWindow = 10 * kSecond;
  /// Probes per target and second.
  double mProbesPerTarget = 10;
  /// Speed of the host's own link, in bytes a second.
  double mLinkBytesPerSecond = 125e6;
};

/// \brief Counters that the metrics address shows.
using Counters = std::map<std::string, std::uint64_t>;

/// \brief Everything that one host knows of its requests.
struct State
{
  std::string mHostId;
  std::string mDataCentre;
  Bounds mBounds;
  std::uint64_t mRandom = 1;
  int mHosts = 1;
  /// False while the number of hosts may be that of those heard of so far.
  bool mKnowsHosts = true;
  /// A newer policy may be in force elsewhere: what is not found in this one
  /// may be in that.
  bool mMayBeBehind = false;
  std::shared_ptr<const policy::TrafficPolicy> mPolicy;
  std::unordered_map<std::string, Target> mTargets;
  std::map<std::string, Service> mServices;
  std::map<std::string, RouteStatistics> mStatistics;
  budget::TokenBucket mProbeBudget;
  std::unordered_map<std::uint64_t, Request> mRequests;
  std::map<std::uint64_t, Unrouted> mUnrouted;
  /// Without a policy, one is expected until then: the host starts.
  Micros mPolicyExpectedUntil = 0;
  std::set<std::pair<Micros, std::uint64_t>> mTimers;
  std::set<std::pair<Micros, std::string>> mProbeTimers;
  std::uint64_t mLastAttempt = 0;
  /// Sum of the running attempts' mLargeBytes.
  double mLargeBytes = 0;
  /// Requests under which targets ended.
  quarantine::State mQuarantine;
  /// The hosts that divide limits; none while they are not known.
  rate_share::Members mSharers;
  /// Limits of targets that this host has not heard of yet.
  std::map<std::string, gossip::Item> mEarlyLimits;
  Counters mCounters;
};

/// \brief Puts a policy in force.
void SetPolicy(State& aState,
               Micros aNow,
               std::shared_ptr<const policy::TrafficPolicy> aPolicy);

/// \brief Takes the targets as the catalog has them.
void SetTargets(State& aState,
                Micros aNow,
                const std::map<std::string, wire::TargetRecord>& aTargets,
                Effects& aOut);

/// \brief Notes how many hosts share the bounds.
void SetHosts(State& aState, Micros aNow, int aHosts);

/// \brief True while any target names a limit.
[[nodiscard]] bool HasLimits(const State& aState) noexcept;

/// \brief True while anything is to be divided among hosts, or done by one of
/// them.
[[nodiscard]] bool NeedsSharers(const State& aState) noexcept;

/// \brief Notes the hosts among which limits of targets are divided.
void SetSharers(State& aState, Micros aNow, rate_share::Members aSharers);

/// \brief Equal for requests that ask for the same.
[[nodiscard]] std::uint64_t IdentityOf(const Arrival& aArrival);

void Arrive(State& aState, Micros aNow, const Arrival& aArrival, Effects& aOut);

/// \brief Takes the requests that came before the first policy, once there is
/// one and the targets are known.
void AdmitUnrouted(State& aState, Micros aNow, Effects& aOut);
void TakeProbe(State& aState, Micros aNow, const ProbeEnd& aEnd, Effects& aOut);
void TakeEnd(State& aState, Micros aNow, const AttemptEnd& aEnd, Effects& aOut);

/// \brief Takes a fact that another host tells.
void TakeGossip(State& aState,
                Micros aNow,
                const gossip::Item& aItem,
                Effects& aOut);

/// \brief An operator lets a suspected or quarantined request go, at all hosts;
/// false when it is neither.
bool ReleaseRequest(State& aState,
                    Micros aNow,
                    std::uint64_t aIdentity,
                    Effects& aOut);

/// \brief The client closed its connection before its answer was complete.
void ClientLeft(State& aState,
                Micros aNow,
                std::uint64_t aRequest,
                Effects& aOut);

void Tick(State& aState, Micros aNow, Effects& aOut);

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief Requests that have neither been answered nor have ended.
[[nodiscard]] std::size_t RunningRequests(const State& aState) noexcept;

} // namespace geraniumpond::dispatch
