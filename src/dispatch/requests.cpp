#include "authorisation.h"
#include "relay.h"

#include <algorithm>
#include <cstdio>

namespace geraniumpond::dispatch {

namespace {

/// A hedge is considered after this many times the expected time: about one in
/// six requests takes that long by chance, and a probe is cheap.
constexpr double kHedgeDelayFactor = 1.25;
constexpr Micros kHedgeMin = 30 * kMillisecond;
/// Connection failures after which a request is given up.
constexpr int kMaxConnectFailures = 4;
/// Smoothing gain of the interval between dispatches.
constexpr double kIntervalGain = 0.2;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

std::string Describe(const Attempt& aAttempt)
{
  char load[96];
  std::snprintf(load,
                sizeof(load),
                " slowness=%.2f occupancy=%d report_age_ms=%s",
                aAttempt.mSlowness,
                aAttempt.mOccupancy,
                Milliseconds(aAttempt.mReportAge).c_str());
  return " target=" + aAttempt.mTarget + load;
}

// How many of the targets that this host uses first may get requests.
std::string DescribeReach(const State& aState, const std::string& aService)
{
  const auto& subset = aState.mServices.at(aService).mSubset;
  const auto usable =
    std::count_if(subset.begin(), subset.end(), [&](const std::string& aId) {
      return !aState.mTargets.at(aId).mUnavailable;
    });
  return " usable=" + std::to_string(usable) + "/" +
         std::to_string(subset.size());
}

// The interval between dispatches reflects the queue's speed only while
// requests are queued.
void RecordDispatch(Service& aService, Micros aNow)
{
  const bool busy = !aService.mWaiting.mWaiters.empty();
  if (busy && aService.mWasBusy) {
    const double interval = static_cast<double>(aNow - aService.mDispatchedAt);
    aService.mDispatchInterval +=
      kIntervalGain * (interval - aService.mDispatchInterval);
  }
  aService.mWasBusy = busy;
  aService.mDispatchedAt = aNow;
}

void Expire(State& aState, Micros aNow, Request& aRequest, Effects& aOut)
{
  if (aRequest.mSent == 0 ||
      (!aRequest.mMayHaveRun && aRequest.mAttempts.empty())) {
    Refuse(aState,
           aNow,
           aRequest.mId,
           kUnavailable,
           RetryAfter(aState, 0),
           "deadline",
           aOut);
    return;
  }
  for (const Attempt& attempt : aRequest.mAttempts) {
    const auto target = aState.mTargets.find(attempt.mTarget);
    if (target != aState.mTargets.end()) {
      RecordResult(target->second, true, aNow);
    }
  }
  Refuse(aState, aNow, aRequest.mId, kGatewayTimeout, 0, "deadline", aOut);
}

} // namespace

std::string Describe(const State& aState, const Request& aRequest, Micros aNow)
{
  return " request=" + aRequest.mClientRequestId +
         " identity=" + Hexadecimal(aRequest.mIdentity) +
         (aRequest.mAccount.empty() ? "" : " account=" + aRequest.mAccount) +
         " route=" + aRequest.mRoute + " service=" + aRequest.mService +
         " sent=" + std::to_string(aRequest.mSent) +
         " took_ms=" + Milliseconds(aNow - aRequest.mArrivedAt) +
         " left_ms=" + Milliseconds(aRequest.mDeadline - aNow) + " policy=" +
         std::to_string(aState.mPolicy ? aState.mPolicy->mVersion : 0);
}

std::string Hexadecimal(std::uint64_t aWord)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(aWord));
  return text;
}

std::string Milliseconds(Micros aTime)
{
  char text[32];
  std::snprintf(text,
                sizeof(text),
                "%.1f",
                static_cast<double>(aTime) / static_cast<double>(kMillisecond));
  return text;
}

void Log(Effects& aOut, int aLevel, std::string aText)
{
  aOut.emplace_back(LogLine{ aLevel, std::move(aText) });
}

void SetTimer(State& aState, Request& aRequest)
{
  Micros next = aRequest.mDeadline;
  if (aRequest.mWaiting) {
    next = std::min(
      next, std::max(aRequest.mProbesAwaitedUntil, aRequest.mRecheckAt));
  }
  if (aRequest.mHedgeAt != 0 && !aRequest.mHedging) {
    next = std::min(next, aRequest.mHedgeAt);
  }
  if (next == aRequest.mTimerAt) {
    return;
  }
  aState.mTimers.erase({ aRequest.mTimerAt, aRequest.mId });
  aRequest.mTimerAt = next;
  aState.mTimers.emplace(next, aRequest.mId);
}

void RemoveRequest(State& aState, std::uint64_t aRequest)
{
  const auto found = aState.mRequests.find(aRequest);
  if (found == aState.mRequests.end()) {
    return;
  }
  StopWaiting(aState, found->second);
  ReleaseQuota(aState, found->second);
  aState.mTimers.erase({ found->second.mTimerAt, aRequest });
  aState.mRequests.erase(found);
}

void CancelAttempts(State& aState, Request& aRequest, Effects& aOut)
{
  for (const Attempt& attempt : aRequest.mAttempts) {
    const auto target = aState.mTargets.find(attempt.mTarget);
    if (target != aState.mTargets.end()) {
      target->second.mRunning = std::max(0, target->second.mRunning - 1);
    }
    aState.mLargeBytes -= attempt.mLargeBytes;
    aOut.emplace_back(CancelAttempt{ aRequest.mId, attempt.mNumber });
  }
  aRequest.mAttempts.clear();
}

void Refuse(State& aState,
            Micros aNow,
            std::uint64_t aRequest,
            int aStatus,
            Micros aRetryAfter,
            const std::string& aReason,
            Effects& aOut)
{
  Request& request = aState.mRequests.at(aRequest);
  if (aStatus == kUnavailable) {
    CountRefusal(aState, aNow, request);
  }
  std::string tried;
  for (const std::string& target : request.mTried) {
    tried += (tried.empty() ? "" : ",") + target;
  }
  Log(aOut,
      2,
      "event=refused status=" + std::to_string(aStatus) + " reason=" + aReason +
        Describe(aState, request, aNow) + " tried=" + tried +
        DescribeReach(aState, request.mService) +
        " retry_after_ms=" + Milliseconds(aRetryAfter));
  ++aState.mCounters["replies_" + std::to_string(aStatus) + "_" + aReason];
  aOut.emplace_back(ReplyToClient{ aRequest, aStatus, aRetryAfter, aReason });
  // A non-idempotent attempt runs to its end: closing its connection would
  // leave the target with work whose result is never known.
  if (!policy::IsIdempotent(request.mKind) && !request.mAttempts.empty()) {
    StopWaiting(aState, request);
    request.mDetached = true;
    aState.mTimers.erase({ request.mTimerAt, aRequest });
    return;
  }
  CancelAttempts(aState, request, aOut);
  RemoveRequest(aState, aRequest);
}

void SendTo(State& aState,
            Micros aNow,
            Request& aRequest,
            Target& aTarget,
            Effects& aOut)
{
  const Need need = NeedOf(aState, aRequest);
  Attempt attempt;
  attempt.mNumber = ++aState.mLastAttempt;
  attempt.mTarget = aTarget.mId;
  attempt.mSentAt = aNow;
  attempt.mExpected = ExpectedTime(aTarget, need, aNow);
  attempt.mSlowness = aTarget.mReport ? aTarget.mReport->mSlowness : 0;
  attempt.mOccupancy = Occupancy(aTarget, aNow);
  attempt.mSlots = Slots(aTarget);
  attempt.mCold = IsCold(aTarget, aNow);
  attempt.mReportAge = aTarget.mReport ? aNow - aTarget.mReportAt : -1;
  attempt.mLargeBytes = LargeBytes(aState, need);
  aState.mLargeBytes += attempt.mLargeBytes;
  const bool resting = IsResting(aTarget, aNow);
  if (resting) {
    ++aState.mCounters["sent_to_resting"];
  }
  if (BoundedRate(aTarget, aNow)) {
    rate_share::CountSent(aTarget.mShare, aNow);
  }
  ++aTarget.mRunning;
  ++aTarget.mSentSinceReport;
  ++aRequest.mSent;
  aRequest.mTried.insert(aTarget.mId);
  aRequest.mHedging = false;
  const bool idempotent = policy::IsIdempotent(aRequest.mKind);
  const auto patience = static_cast<Micros>(
    kHedgeDelayFactor * static_cast<double>(attempt.mExpected));
  aRequest.mHedgeAt = idempotent && aRequest.mSent < aRequest.mMaxAttempts
                        ? aNow + std::max(kHedgeMin, patience)
                        : 0;
  CountSend(aState, aNow, aRequest);
  RecordDispatch(aState.mServices[aRequest.mService], aNow);
  CountQuotaSent(aState, aNow, aRequest);
  Log(aOut,
      1,
      "event=sent" + Describe(aState, aRequest, aNow) + Describe(attempt) +
        (resting ? " resting=yes" : ""));
  aOut.emplace_back(SendRequest{ aRequest.mId,
                                 attempt.mNumber,
                                 aTarget.mId,
                                 aTarget.mName,
                                 aTarget.mAddress,
                                 aRequest.mDeadline,
                                 !idempotent,
                                 aRequest.mAccount,
                                 HidesKeys(aState) });
  aRequest.mAttempts.push_back(std::move(attempt));
  SetTimer(aState, aRequest);
}

void RetryElsewhere(State& aState,
                    Micros aNow,
                    Request& aRequest,
                    const std::string& aWhy,
                    Effects& aOut)
{
  if (!aRequest.mAttempts.empty() ||
      RefuseUnauthorised(aState, aNow, aRequest, aOut)) {
    return;
  }
  const bool repeatable =
    policy::IsIdempotent(aRequest.mKind) || !aRequest.mMayHaveRun;
  const bool attemptsLeft = aRequest.mSent < aRequest.mMaxAttempts &&
                            aRequest.mConnectFailures < kMaxConnectFailures;
  const Need need = NeedOf(aState, aRequest);
  const bool timeLeft = aNow + need.mWork < aRequest.mDeadline;
  // Connections to several targets failed, though some may carry others.
  if (!attemptsLeft && CanPassOn(aRequest) &&
      PassOn(aState, aNow, aRequest, aOut)) {
    return;
  }
  if (!repeatable || !attemptsLeft || !timeLeft) {
    Refuse(aState,
           aNow,
           aRequest.mId,
           aRequest.mMayHaveRun ? kBadGateway : kUnavailable,
           aRequest.mMayHaveRun ? 0 : RetryAfter(aState, 0),
           aWhy,
           aOut);
    return;
  }
  Log(aOut,
      1,
      "event=try_elsewhere why=" + aWhy + Describe(aState, aRequest, aNow));
  ++aState.mCounters["tries_elsewhere"];
  aRequest.mHedgeAt = 0;
  if (!aRequest.mWaiting) {
    StartWaiting(aState, aNow, aRequest, aOut);
  }
  aRequest.mHedging = false;
  ServeQueue(aState, aNow, aRequest.mService, aOut);
}

void HandleClientDisconnect(State& aState,
                            Micros aNow,
                            std::uint64_t aRequest,
                            Effects& aOut)
{
  aState.mUnrouted.erase(aRequest);
  const auto found = aState.mRequests.find(aRequest);
  if (found == aState.mRequests.end()) {
    return;
  }
  Request& request = found->second;
  if (request.mDetached) {
    return;
  }
  Log(aOut, 1, "event=client_left" + Describe(aState, request, aNow));
  ++aState.mCounters["clients_left"];
  if (!policy::IsIdempotent(request.mKind) && !request.mAttempts.empty()) {
    StopWaiting(aState, request);
    request.mDetached = true;
    aState.mTimers.erase({ request.mTimerAt, aRequest });
    return;
  }
  CancelAttempts(aState, request, aOut);
  RemoveRequest(aState, aRequest);
}

void HandleTimer(State& aState,
                 Micros aNow,
                 std::uint64_t aRequest,
                 Effects& aOut)
{
  const auto found = aState.mRequests.find(aRequest);
  if (found == aState.mRequests.end()) {
    return;
  }
  Request& request = found->second;
  request.mTimerAt = 0;
  if (aNow >= request.mDeadline) {
    Expire(aState, aNow, request, aOut);
    return;
  }
  const std::string service = request.mService;
  if (request.mHedgeAt != 0 && aNow >= request.mHedgeAt && !request.mHedging) {
    request.mHedging = true;
    request.mHedgeAt = 0;
    ++aState.mCounters["hedges_considered"];
    StartWaiting(aState, aNow, request, aOut);
    ProbeRunningTargets(aState, aNow, request, aOut);
  }
  ServeQueue(aState, aNow, service, aOut);
  const auto remaining = aState.mRequests.find(aRequest);
  if (remaining != aState.mRequests.end() && !remaining->second.mDetached) {
    SetTimer(aState, remaining->second);
  }
}

std::size_t RunningRequests(const State& aState) noexcept
{
  return aState.mRequests.size() + aState.mUnrouted.size();
}

} // namespace geraniumpond::dispatch
