#include "context.h"

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kFirstServerError = 500;
// Non-idempotent requests reuse only connections that received a response this
// recently: on a stale connection their outcome could become unknown.
constexpr Micros kMaxIdleIfNotIdempotent = 200 * kMillisecond;
constexpr Micros kMaxIdleIfIdempotent = 30 * kSecond;
// A hedged attempt starts after this multiple of the usual latency.
constexpr double kHedgeAfter = 3.0;

// Retries an idempotent request on another target after a server error.
bool RetryInstead(Context& aContext,
                  Request& aRequest,
                  const wire::AttemptHead& aEvent)
{
  if (aEvent.status() < kFirstServerError || !aRequest.mIdempotent) {
    return false;
  }
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const retries::RetryState situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  return aRequest.mAttempts.size() > 1 ||
         (situation.mAttempts < retries::kMaxAttempts &&
          service.mRetries.mTokens >= 1 && !situation.mOverloaded);
}

void Drop(Context& aContext, std::uint64_t aRequest, std::uint64_t aAttempt)
{
  wire::CancelAttempt& cancel = *aContext.Add().mutable_cancel();
  cancel.set_request(aRequest);
  cancel.set_attempt(aAttempt);
}

} // namespace

Attempt* FindAttempt(Request& aRequest, std::uint64_t aNumber)
{
  for (Attempt& attempt : aRequest.mAttempts) {
    if (attempt.mNumber == aNumber) {
      return &attempt;
    }
  }
  return nullptr;
}

retries::RetryState SituationOf(const ServiceState& aService,
                                const Request& aRequest,
                                retries::Effect aEffect)
{
  retries::RetryState situation;
  situation.mIdempotent = aRequest.mIdempotent;
  situation.mEffect = aEffect;
  situation.mAttempts = aRequest.mAttemptCount;
  situation.mOverloaded = IsOverloaded(aService);
  situation.mDeadline = aRequest.mDeadline;
  return situation;
}

std::optional<std::size_t> PickUntried(Context& aContext,
                                       const Request& aRequest)
{
  return routing::Pick(aContext.mState.mServices[aRequest.mService].mTargets,
                       aContext.mNow,
                       aContext.NextRandom(),
                       AskOf(aRequest),
                       aRequest.mTried);
}

void StartAttempt(Context& aContext,
                  Request& aRequest,
                  std::size_t aTarget,
                  bool aHedge)
{
  State& state = aContext.mState;
  ServiceState& service = state.mServices[aRequest.mService];
  const routing::Target& target = service.mTargets.mTargets[aTarget];
  const std::uint64_t number = ++state.mLastAttempt;
  aRequest.mAttempts.push_back({ number, target.mId, aContext.mNow, aHedge });
  aRequest.mTried.push_back(target.mId);
  ++aRequest.mAttemptCount;
  if (aRequest.mAttemptCount == 1) {
    ++service.mFirstAttempts;
    retries::Deposit(service.mRetries);
  } else {
    ++service.mExtraAttempts;
  }
  aRequest.mPhase = Phase::Running;
  state.mAttemptSlots[number] = {
    aRequest.mService, target.mId, aRequest.mCaller, aRequest.mPriority
  };
  routing::Begin(
    service.mTargets, aTarget, number, AskOf(aRequest), aContext.mNow);
  limits::AdjustRunning(
    service.mQueue, aRequest.mCaller, aRequest.mPriority, 1);
  wire::Dispatch& dispatch = *aContext.Add().mutable_dispatch();
  dispatch.set_request(aRequest.mId);
  dispatch.set_attempt(number);
  dispatch.set_target(target.mId);
  dispatch.set_address(target.mAddress);
  dispatch.set_caller(aRequest.mCaller);
  dispatch.set_kind(aRequest.mKind);
  dispatch.set_deadline_us(aRequest.mDeadline);
  dispatch.set_max_idle_us(aRequest.mIdempotent ? kMaxIdleIfIdempotent
                                                : kMaxIdleIfNotIdempotent);
  dispatch.set_no_repeated_refusal(!aRequest.mIdempotent);
  dispatch.set_buffer_answer(!aRequest.mKey.empty());
  if (aRequest.mAccepted != 0) {
    dispatch.set_range_from(aRequest.mResumeFrom);
    dispatch.set_if_range(aRequest.mEtag);
    aRequest.mAccepted = number;
  }
  const Service& rules = state.mDeployment.mServices[aRequest.mService];
  if (rules.mHedge && aRequest.mIdempotent && aRequest.mAttemptCount == 1) {
    const auto delay = static_cast<Micros>(
      kHedgeAfter *
      routing::TypicalLatency(service.mTargets, aRequest.mKindIndex));
    state.mTimers.insert(
      { aContext.mNow + delay, TimerKind::Hedge, aRequest.mId });
  }
}

void HandleAttemptHead(Context& aContext, const wire::AttemptHead& aEvent)
{
  State& state = aContext.mState;
  const auto found = state.mRequests.find(aEvent.request());
  if (found == state.mRequests.end() ||
      FindAttempt(found->second, aEvent.attempt()) == nullptr) {
    // The request has already finished; discard the late response.
    aContext.Count("answers_late");
    Drop(aContext, aEvent.request(), aEvent.attempt());
    return;
  }
  Request& request = found->second;
  const bool resumed = request.mAccepted == aEvent.attempt();
  if (resumed && !aEvent.range_matches()) {
    Drop(aContext, request.mId, aEvent.attempt());
    BreakClientConnection(aContext, request);
    return;
  }
  if (request.mAccepted != 0 && !resumed) {
    Drop(aContext, request.mId, aEvent.attempt());
    return;
  }
  if (!resumed && RetryInstead(aContext, request, aEvent)) {
    Drop(aContext, request.mId, aEvent.attempt());
    return;
  }
  request.mAccepted = aEvent.attempt();
  request.mPhase = Phase::Accepted;
  if (!resumed) {
    request.mStatus = aEvent.status();
    request.mEtag = aEvent.strong_etag();
  }
  CancelAttempts(aContext, request, aEvent.attempt());
  wire::Accept& accept = *aContext.Add().mutable_accept();
  accept.set_request(request.mId);
  accept.set_attempt(aEvent.attempt());
  accept.set_close_connection(state.mStopping);
}

void CancelAttempts(Context& aContext, Request& aRequest, std::uint64_t aExcept)
{
  for (const Attempt& attempt : aRequest.mAttempts) {
    if (attempt.mNumber != aExcept) {
      Drop(aContext, aRequest.mId, attempt.mNumber);
    }
  }
}

void TryHedge(Context& aContext, Request& aRequest)
{
  if (aRequest.mPhase != Phase::Running || aRequest.mAttempts.size() != 1) {
    return;
  }
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const retries::RetryState situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  const std::optional<std::size_t> target = PickUntried(aContext, aRequest);
  if (!target ||
      !retries::MayHedge(service.mRetries, situation, aContext.mNow)) {
    return;
  }
  aContext.Count("hedges");
  StartAttempt(aContext, aRequest, *target, true);
}

} // namespace geraniumpond::node
