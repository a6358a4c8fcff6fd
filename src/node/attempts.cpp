#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kFirstServerError = 500;
// A connection that answered this recently is proved alive; non-idempotent
// requests use no other one, because a broken one would leave them unknown.
constexpr Micros kProvedAlive = 200 * kMillisecond;
constexpr Micros kAnyIdle = 30 * kSecond;
// A hedge starts once an attempt has taken this many usual latencies.
constexpr double kHedgeAfter = 3.0;
constexpr Micros kMinRetryAfter = 50 * kMillisecond;

Attempt* FindAttempt(Request& aRequest, std::uint64_t aNumber)
{
  for (Attempt& attempt : aRequest.mAttempts) {
    if (attempt.mNumber == aNumber) {
      return &attempt;
    }
  }
  return nullptr;
}

retries::Effect EffectOf(wire::AttemptEnd aEnd)
{
  switch (aEnd) {
    case wire::END_NOT_SENT:
    case wire::END_REFUSED:
      return retries::Effect::DidNotRun;
    case wire::END_COMPLETE:
      return retries::Effect::Ran;
    default:
      return retries::Effect::Unknown;
  }
}

routing::Verdict VerdictOf(const wire::AttemptEnded& aEvent)
{
  switch (aEvent.end()) {
    case wire::END_COMPLETE:
      return aEvent.status() >= kFirstServerError ? routing::Verdict::Failed
                                                  : routing::Verdict::Good;
    case wire::END_REFUSED:
      return routing::Verdict::Refused;
    case wire::END_CANCELLED:
    case wire::END_CLIENT_GONE:
      return aEvent.status() >= kFirstServerError ? routing::Verdict::Failed
                                                  : routing::Verdict::Cancelled;
    default:
      return routing::Verdict::Failed;
  }
}

void TakeLoad(Context& aContext,
              const std::string& aService,
              const std::string& aTarget,
              const wire::LoadReport& aLoad)
{
  if (!aLoad.present()) {
    return;
  }
  aContext.Count("load_reports_on_answers");
  routing::Report(aContext.mState.mServices[aService].mTargets,
                  aTarget,
                  aLoad.in_flight(),
                  aContext.mNow);
}

retries::Situation SituationOf(const ServiceState& aService,
                               const Request& aRequest,
                               retries::Effect aEffect)
{
  retries::Situation situation;
  situation.mIdempotent = aRequest.mIdempotent;
  situation.mEffect = aEffect;
  situation.mAttempts = aRequest.mAttemptCount;
  situation.mOverloaded = IsOverloaded(aService);
  situation.mDeadline = aRequest.mDeadline;
  return situation;
}

bool Retry(Context& aContext, Request& aRequest, retries::Effect aEffect)
{
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const retries::Situation situation = SituationOf(service, aRequest, aEffect);
  if (aRequest.mDetached ||
      !retries::MayRetry(service.mRetries, situation, aContext.mNow)) {
    return false;
  }
  aContext.Count("retries");
  // With nothing left that was not tried, any target will do again.
  if (aRequest.mTried.size() >= service.mTargets.mTargets.size()) {
    aRequest.mTried.clear();
  }
  Enqueue(aContext, aRequest);
  return true;
}

void AnswerFailure(Context& aContext, Request& aRequest)
{
  if (aRequest.mOwnsKey) {
    if (aRequest.mMayHaveRun) {
      CompleteKey(aContext, aRequest, nullptr);
    } else {
      ReleaseKey(aContext, aRequest);
    }
  }
  if (aRequest.mDetached) {
    Forget(aContext, aRequest.mId);
    return;
  }
  if (aRequest.mMayHaveRun) {
    AnswerAndForget(
      aContext, aRequest, { kBadGateway, kUnknown, "target failed" });
    return;
  }
  const ServiceState& service = aContext.mState.mServices[aRequest.mService];
  AnswerAndForget(
    aContext,
    aRequest,
    { kUnavailable,
      kNotRun,
      "no target took the request",
      std::max(ExpectedWait(service, aRequest), kMinRetryAfter) });
}

void NoteServed(Context& aContext, const Request& aRequest)
{
  const Deployment& deployment = aContext.mState.mDeployment;
  burn::Series& series =
    aContext.mState
      .mBook[{ aRequest.mService, aRequest.mKind, aRequest.mCaller }];
  const auto service = deployment.mServices.find(aRequest.mService);
  if (service != deployment.mServices.end()) {
    for (const Kind& kind : service->second.mKinds) {
      if (kind.mName == aRequest.mKind) {
        series.mObjectiveTime = kind.mObjectiveTime;
        series.mObjectiveShare = kind.mObjectiveShare;
      }
    }
  }
  const Micros latency = aContext.mNow - aRequest.mArrivedAt;
  const bool good =
    aRequest.mStatus < kFirstServerError &&
    (series.mObjectiveTime == 0 || latency <= series.mObjectiveTime);
  burn::Note(series, aContext.mNow, latency, kRan, good);
}

// The whole answer of a keyed request is here: the caller gets it now, its
// record follows through the control group.
void TakeKeyedAnswer(Context& aContext,
                     Request& aRequest,
                     const wire::AttemptEnded& aEvent)
{
  aRequest.mStatus = aEvent.status();
  CompleteKey(aContext, aRequest, &aEvent.answer());
  if (!aRequest.mDetached) {
    wire::Accept& accept = *aContext.Add().mutable_accept();
    accept.set_request(aRequest.mId);
    accept.set_attempt(aEvent.attempt());
    accept.set_close_connection(aContext.mState.mStopping);
    NoteServed(aContext, aRequest);
  }
  Forget(aContext, aRequest.mId);
}

void Break(Context& aContext, const Request& aRequest)
{
  aContext.Count("answers_broken");
  aContext.Add().mutable_break_connection()->set_request(aRequest.mId);
  burn::Series& series =
    aContext.mState
      .mBook[{ aRequest.mService, aRequest.mKind, aRequest.mCaller }];
  burn::Note(series,
             aContext.mNow,
             aContext.mNow - aRequest.mArrivedAt,
             "broken",
             false);
  Forget(aContext, aRequest.mId);
}

// The body broke after its first byte: the rest is fetched from another
// target only where a strong validator proves that it is the same body.
void ResumeOrBreak(Context& aContext,
                   Request& aRequest,
                   std::uint64_t aDelivered)
{
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const bool can =
    !aRequest.mEtag.empty() && aRequest.mRangeAllowed && !aRequest.mDetached;
  retries::Situation situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  situation.mIdempotent = true;
  situation.mOverloaded = false;
  situation.mDeadline = aContext.mNow + 1;
  if (!can || !retries::MayRetry(service.mRetries, situation, aContext.mNow)) {
    Break(aContext, aRequest);
    return;
  }
  const std::optional<std::size_t> target = routing::Pick(service.mTargets,
                                                          aContext.mNow,
                                                          aContext.NextRandom(),
                                                          AskOf(aRequest),
                                                          aRequest.mTried);
  if (!target) {
    Break(aContext, aRequest);
    return;
  }
  aContext.Count("resumes");
  aRequest.mResumeFrom = aDelivered;
  StartAttempt(aContext, aRequest, *target, false);
  aRequest.mPhase = Phase::Accepted;
}

void TakeAcceptedEnd(Context& aContext,
                     Request& aRequest,
                     const wire::AttemptEnded& aEvent)
{
  switch (aEvent.end()) {
    case wire::END_COMPLETE:
      NoteServed(aContext, aRequest);
      Forget(aContext, aRequest.mId);
      break;
    case wire::END_CLIENT_GONE:
      aContext.Count("clients_gone");
      Forget(aContext, aRequest.mId);
      break;
    default:
      ResumeOrBreak(aContext, aRequest, aEvent.delivered_bytes());
      break;
  }
}

void Release(Context& aContext, const wire::AttemptEnded& aEvent)
{
  State& state = aContext.mState;
  const auto found = state.mHoldings.find(aEvent.attempt());
  if (found == state.mHoldings.end()) {
    return;
  }
  const Holding holding = found->second;
  state.mHoldings.erase(found);
  ServiceState& service = state.mServices[holding.mService];
  routing::Finish(service.mTargets,
                  holding.mTarget,
                  aEvent.attempt(),
                  VerdictOf(aEvent),
                  aContext.mNow);
  TakeLoad(aContext, holding.mService, holding.mTarget, aEvent.load());
  limits::Running(service.mQueue, holding.mCaller, holding.mPriority, -1);
}

void EndAttempt(Context& aContext,
                Request& aRequest,
                const wire::AttemptEnded& aEvent)
{
  auto& attempts = aRequest.mAttempts;
  attempts.erase(std::remove_if(attempts.begin(),
                                attempts.end(),
                                [&](const Attempt& aAttempt) {
                                  return aAttempt.mNumber == aEvent.attempt();
                                }),
                 attempts.end());
  if (aRequest.mAccepted != 0) {
    if (aRequest.mAccepted == aEvent.attempt()) {
      TakeAcceptedEnd(aContext, aRequest, aEvent);
    }
    return;
  }
  if (aRequest.mOwnsKey && aEvent.end() == wire::END_COMPLETE) {
    TakeKeyedAnswer(aContext, aRequest, aEvent);
    return;
  }
  const retries::Effect effect = EffectOf(aEvent.end());
  aRequest.mMayHaveRun =
    aRequest.mMayHaveRun || effect != retries::Effect::DidNotRun;
  // A hedge may still answer.
  if (!attempts.empty() || Retry(aContext, aRequest, effect)) {
    return;
  }
  AnswerFailure(aContext, aRequest);
}

// A server error of an idempotent request is worth another target.
bool RetryInstead(Context& aContext,
                  Request& aRequest,
                  const wire::AttemptHead& aEvent)
{
  if (aEvent.status() < kFirstServerError || !aRequest.mIdempotent) {
    return false;
  }
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const retries::Situation situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  return aRequest.mAttempts.size() > 1 ||
         (situation.mAttempts < retries::kMaxAttempts &&
          service.mRetries.mSaved >= 1 && !situation.mOverloaded);
}

void Drop(Context& aContext, std::uint64_t aRequest, std::uint64_t aAttempt)
{
  wire::CancelAttempt& cancel = *aContext.Add().mutable_cancel();
  cancel.set_request(aRequest);
  cancel.set_attempt(aAttempt);
}

} // namespace

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
  state.mHoldings[number] = {
    aRequest.mService, target.mId, aRequest.mCaller, aRequest.mPriority
  };
  routing::Begin(
    service.mTargets, aTarget, number, AskOf(aRequest), aContext.mNow);
  limits::Running(service.mQueue, aRequest.mCaller, aRequest.mPriority, 1);
  wire::Dispatch& dispatch = *aContext.Add().mutable_dispatch();
  dispatch.set_request(aRequest.mId);
  dispatch.set_attempt(number);
  dispatch.set_target(target.mId);
  dispatch.set_address(target.mAddress);
  dispatch.set_caller(aRequest.mCaller);
  dispatch.set_kind(aRequest.mKind);
  dispatch.set_deadline_us(aRequest.mDeadline);
  dispatch.set_max_idle_us(aRequest.mIdempotent ? kAnyIdle : kProvedAlive);
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
      routing::UsualLatency(service.mTargets, aRequest.mKindIndex));
    state.mTimers.insert(
      { aContext.mNow + delay, TimerKind::Hedge, aRequest.mId });
  }
}

void TakeHead(Context& aContext, const wire::AttemptHead& aEvent)
{
  State& state = aContext.mState;
  const auto found = state.mRequests.find(aEvent.request());
  if (found == state.mRequests.end() ||
      FindAttempt(found->second, aEvent.attempt()) == nullptr) {
    // A late answer belongs to nobody any more.
    aContext.Count("answers_late");
    Drop(aContext, aEvent.request(), aEvent.attempt());
    return;
  }
  Request& request = found->second;
  const bool resumed = request.mAccepted == aEvent.attempt();
  if (resumed && !aEvent.range_matches()) {
    Drop(aContext, request.mId, aEvent.attempt());
    Break(aContext, request);
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

void TakeEnd(Context& aContext, const wire::AttemptEnded& aEvent)
{
  State& state = aContext.mState;
  const auto holding = state.mHoldings.find(aEvent.attempt());
  const std::string service =
    holding == state.mHoldings.end() ? "" : holding->second.mService;
  Release(aContext, aEvent);
  const auto found = state.mRequests.find(aEvent.request());
  if (found != state.mRequests.end() &&
      FindAttempt(found->second, aEvent.attempt()) != nullptr) {
    EndAttempt(aContext, found->second, aEvent);
  }
  Pump(aContext, service);
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
  const retries::Situation situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  const std::optional<std::size_t> target = routing::Pick(service.mTargets,
                                                          aContext.mNow,
                                                          aContext.NextRandom(),
                                                          AskOf(aRequest),
                                                          aRequest.mTried);
  if (!target ||
      !retries::MayHedge(service.mRetries, situation, aContext.mNow)) {
    return;
  }
  aContext.Count("hedges");
  StartAttempt(aContext, aRequest, *target, true);
}

} // namespace geraniumpond::node
