#include "authorisation.h"
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

Request MakeRequest(State& aState,
                    Micros aArrivedAt,
                    const Arrival& aArrival,
                    const policy::Route& aRoute)
{
  Request request;
  request.mId = aArrival.mId;
  request.mClientRequestId = aArrival.mClientRequestId;
  request.mIdentity = IdentityOf(aArrival);
  request.mRoute = aRoute.mName;
  request.mService = policy::PickBackend(aRoute, NextUniform(aState));
  request.mKind = aRoute.mKind;
  request.mPriority = aRoute.mPriority;
  request.mMaxAttempts = aRoute.mAttempts;
  request.mArrivedAt = aArrivedAt;
  request.mIsRelayed = aArrival.mRelayedAfter.has_value();
  if (aArrival.mIsForFastLink) {
    request.mMaxAttempts = std::max(1, request.mMaxAttempts - 1);
  }
  request.mObjectiveAt = aArrivedAt + aRoute.mObjective;
  request.mDeadline = aArrivedAt + aRoute.mTimeout;
  if (aArrival.mPatience > 0) {
    request.mDeadline =
      std::min(request.mDeadline, aArrivedAt + aArrival.mPatience);
  }
  return request;
}

// Counts a request for its route and service; false if the service has no
// targets.
bool CountArrival(State& aState,
                  Micros aNow,
                  const Arrival& aArrival,
                  const policy::Route& aRoute,
                  Request& aRequest,
                  Effects& aOut)
{
  PatienceStatistics& patience = aState.mStatistics[aRoute.mName].mPatience;
  if (IsClientRetry(patience, aArrival.mPatience, aRoute.mObjective)) {
    // Its latency objective passed before this try: it must not take capacity
    // from requests that can still be on time.
    aRequest.mObjectiveAt = aRequest.mArrivedAt;
    ++aState.mCounters["returns_seen"];
  }
  if (!aRequest.mIsRelayed) {
    LearnPatience(patience, aArrival.mPatience, aRoute.mObjective);
  }
  Service& service = aState.mServices[aRequest.mService];
  CountRequest(service.mExtra, aState.mBounds, aNow);
  if (service.mTargets.empty()) {
    RefuseArrival(
      aState, aArrival, kUnavailable, RetryAfter(aState, 0), "no_target", aOut);
    return false;
  }
  return true;
}

// A suspected request has one attempt, at the host that is assigned to it.
bool PassQuarantine(State& aState,
                    Micros aNow,
                    const Arrival& aArrival,
                    Request& aRequest,
                    Effects& aOut)
{
  const quarantine::Verdict verdict =
    JudgeQuarantine(aState, aRequest.mIdentity, aRequest.mService, aNow);
  const bool assignedElsewhere =
    verdict == quarantine::Verdict::OnTrial && !aRequest.mIsRelayed &&
    !rate_share::IsFirst(aState.mLimitHosts, Hexadecimal(aRequest.mIdentity));
  if (verdict == quarantine::Verdict::Quarantined || assignedElsewhere) {
    // The quarantine outlasts the client's timeout, so no Retry-After is given.
    RenewQuarantine(aState, aNow, aRequest.mIdentity, aOut);
    RefuseArrival(aState, aArrival, kUnavailable, 0, "quarantined", aOut);
    return false;
  }
  if (verdict != quarantine::Verdict::Clear) {
    aRequest.mMaxAttempts = 1;
  }
  return true;
}

// Less urgent requests make room while more urgent ones lack it elsewhere.
bool MakeRoom(State& aState,
              Micros aNow,
              const Arrival& aArrival,
              Request& aRequest,
              Effects& aOut)
{
  if (!IsHeldBack(aState, aNow, aRequest)) {
    return true;
  }
  ReleaseQuota(aState, aRequest);
  RefuseArrival(aState,
                aArrival,
                kUnavailable,
                HeldBackDelay(aState, aNow, aRequest),
                "more_urgent_lack_room",
                aOut);
  return false;
}

// Lets a request wait for a target, unless it has no time for that.
void Enqueue(State& aState, Micros aNow, Request aRequest, Effects& aOut)
{
  const Micros wait = ExpectedWait(aState, aRequest);
  const std::uint64_t id = aRequest.mId;
  Request& added = aState.mRequests[id] = std::move(aRequest);
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

} // namespace

std::uint64_t IdentityOf(const Arrival& aArrival)
{
  if (aArrival.mRelayedIdentity && aArrival.mIsFromHost) {
    return *aArrival.mRelayedIdentity;
  }
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
    QueueUnrouted(aState, aNow, aNow, aArrival, aOut);
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
  if (RefuseForgedRelay(aState, aArrival, aOut)) {
    return;
  }
  const policy::Route* route =
    policy::FindRoute(*aState.mPolicy, aArrival.mHostName, aArrival.mPath);
  if (route == nullptr) {
    RefuseUnknownRoute(aState, aArrival, aOut);
    return;
  }
  Request request = MakeRequest(aState, aArrivedAt, aArrival, *route);
  if (!Authorise(aState, aNow, aArrival, *route, request, aOut)) {
    return;
  }
  if (AwaitsTotals(aState, aNow, request)) {
    QueueUnrouted(aState, aNow, aArrivedAt, aArrival, aOut);
    return;
  }
  if (!CountArrival(aState, aNow, aArrival, *route, request, aOut) ||
      RefuseArrivalAtShutdown(aState, aNow, aArrival, request, aOut) ||
      !PassQuarantine(aState, aNow, aArrival, request, aOut) ||
      !AdmitWithinQuota(aState, aNow, aArrival, request, aOut) ||
      !MakeRoom(aState, aNow, aArrival, request, aOut)) {
    return;
  }
  BindToHomes(aState, *route, request);
  Enqueue(aState, aNow, std::move(request), aOut);
}

} // namespace geraniumpond::dispatch
