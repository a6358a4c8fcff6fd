#include "relay.h"

#include <geraniumpond/hash.h>

#include <algorithm>

// What becomes of a request when it arrives: it is refused at once, waits for a
// target, or is passed on.
namespace geraniumpond::dispatch {

namespace {

/// Lifetime of a service-time estimate that causes all requests to be refused.
constexpr Micros kEstimateLifetime = 1 * kSecond;
constexpr int kUnavailable = 503;

// A service-time estimate that exceeds every deadline lets no request through
// that could correct it. It is reset when no answer has confirmed it for
// kEstimateLifetime.
void ResetUnmeetableEstimate(State& aState,
                             Micros aNow,
                             const Request& aRequest)
{
  RouteStatistics& statistics = aState.mStatistics[aRequest.mRoute];
  const bool isFirstTry = aRequest.mObjectiveAt > aNow;
  const auto work = static_cast<Micros>(statistics.mWork);
  if (isFirstTry && aNow + work > aRequest.mDeadline &&
      aNow - statistics.mLearntAt > kEstimateLifetime) {
    statistics.mWork = 0;
    statistics.mAnswers = 0;
  }
}

} // namespace

std::uint64_t IdentityOf(const Arrival& aArrival)
{
  return Hash64(aArrival.mPath,
                Hash64(aArrival.mHostName, aArrival.mContentDigest));
}

void RefuseArrival(State& aState,
                   const Arrival& aArrival,
                   int aStatus,
                   Micros aRetryAfter,
                   const std::string& aReason,
                   Effects& aOut)
{
  Log(aOut,
      2,
      "event=refused status=" + std::to_string(aStatus) + " reason=" + aReason +
        " request=" + aArrival.mClientRequestId +
        " host=" + aArrival.mHostName + " policy=" +
        std::to_string(aState.mPolicy ? aState.mPolicy->mVersion : 0));
  ++aState.mCounters["replies_" + std::to_string(aStatus) + "_" + aReason];
  aOut.emplace_back(
    ReplyToClient{ aArrival.mId, aStatus, aRetryAfter, aReason });
}

void HandleArrival(State& aState,
                   Micros aNow,
                   const Arrival& aArrival,
                   Effects& aOut)
{
  ++aState.mCounters["requests"];
  if (!aState.mPolicy) {
    QueueUnrouted(aState, aNow, aArrival, aOut);
    return;
  }
  if (!aArrival.mRelayedAfter) {
    Admit(aState, aNow, aNow, aArrival, aOut);
    return;
  }
  Arrival relayed = aArrival;
  relayed.mPatience += aArrival.mPatience > 0 ? *aArrival.mRelayedAfter : 0;
  ++aState.mCounters["relayed_requests"];
  Admit(aState, aNow, aNow - *aArrival.mRelayedAfter, relayed, aOut);
}

void RefuseBusy(State& aState, const Arrival& aArrival, Effects& aOut)
{
  ++aState.mCounters["requests"];
  RefuseArrival(
    aState, aArrival, kUnavailable, RetryAfter(aState, 0), "host_busy", aOut);
}

void Admit(State& aState,
           Micros aNow,
           Micros aArrivedAt,
           const Arrival& aArrival,
           Effects& aOut)
{
  const policy::Route* route =
    policy::FindRoute(*aState.mPolicy, aArrival.mHostName, aArrival.mPath);
  if (route == nullptr) {
    RefuseUnknownRoute(aState, aArrival, aOut);
    return;
  }
  Request request;
  request.mId = aArrival.mId;
  request.mClientRequestId = aArrival.mClientRequestId;
  request.mIdentity = IdentityOf(aArrival);
  request.mRoute = route->mName;
  request.mService = policy::PickBackend(*route, NextUniform(aState));
  request.mKind = route->mKind;
  request.mPriority = route->mPriority;
  request.mAccount = aArrival.mAccount;
  request.mMaxAttempts = route->mAttempts;
  request.mArrivedAt = aArrivedAt;
  request.mIsRelayed = aArrival.mRelayedAfter.has_value();
  if (aArrival.mIsForFastLink) {
    request.mMaxAttempts = std::max(1, request.mMaxAttempts - 1);
  }
  request.mObjectiveAt = aArrivedAt + route->mObjective;
  request.mDeadline = aArrivedAt + route->mTimeout;
  if (aArrival.mPatience > 0) {
    request.mDeadline =
      std::min(request.mDeadline, aArrivedAt + aArrival.mPatience);
  }
  PatienceStatistics& patience = aState.mStatistics[route->mName].mPatience;
  if (IsClientRetry(patience, aArrival.mPatience, route->mObjective)) {
    // Its latency objective passed before this try: it must not take capacity
    // from requests that can still be on time.
    request.mObjectiveAt = aArrivedAt;
    ++aState.mCounters["returns_seen"];
  }
  if (!request.mIsRelayed) {
    LearnPatience(patience, aArrival.mPatience, route->mObjective);
  }
  Service& service = aState.mServices[request.mService];
  CountRequest(service.mExtra, aState.mBounds, aNow);
  if (service.mTargets.empty()) {
    RefuseArrival(
      aState, aArrival, kUnavailable, RetryAfter(aState, 0), "no_target", aOut);
    return;
  }
  const quarantine::Verdict verdict =
    JudgeQuarantine(aState, request.mIdentity, request.mService, aNow);
  const bool assignedElsewhere =
    verdict == quarantine::Verdict::OnTrial && !request.mIsRelayed &&
    !rate_share::IsFirst(aState.mLimitHosts, Hexadecimal(request.mIdentity));
  if (verdict == quarantine::Verdict::Quarantined || assignedElsewhere) {
    // The quarantine outlasts the client's timeout, so no Retry-After is given.
    RenewQuarantine(aState, aNow, request.mIdentity, aOut);
    RefuseArrival(aState, aArrival, kUnavailable, 0, "quarantined", aOut);
    return;
  }
  if (verdict != quarantine::Verdict::Clear) {
    request.mMaxAttempts = 1;
  }
  if (IsHeldBack(aState, aNow, request)) {
    RefuseArrival(aState,
                  aArrival,
                  kUnavailable,
                  HeldBackDelay(aState, aNow, request),
                  "more_urgent_lack_room",
                  aOut);
    return;
  }
  const Micros wait = ExpectedWait(aState, request);
  Request& added = aState.mRequests[request.mId] = std::move(request);
  ResetUnmeetableEstimate(aState, aNow, added);
  if (aNow + wait + NeedOf(aState, added).mWork > added.mDeadline) {
    Refuse(aState,
           aNow,
           added.mId,
           kUnavailable,
           RetryAfter(aState, wait),
           "queue_too_long",
           aOut);
    return;
  }
  if (PassOnLargeAnswer(aState, aNow, added, aOut)) {
    return;
  }
  StartWaiting(aState, aNow, added, aOut);
  ServeQueue(aState, aNow, added.mService, aOut);
}

} // namespace geraniumpond::dispatch
