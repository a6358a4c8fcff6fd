#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kFirstServerError = 500;
constexpr Micros kMinRetryAfter = 50 * kMillisecond;

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

void UpdateLoad(Context& aContext,
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

bool Retry(Context& aContext, Request& aRequest, retries::Effect aEffect)
{
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const retries::RetryState situation = SituationOf(service, aRequest, aEffect);
  if (aRequest.mDetached ||
      !retries::MayRetry(service.mRetries, situation, aContext.mNow)) {
    return false;
  }
  aContext.Count("retries");
  // Once every target has been tried, all are eligible again.
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

void RecordLatency(Context& aContext, const Request& aRequest)
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
  burn::AddAnswer(series, aContext.mNow, latency, kRan, good);
}

// Sends the complete answer of a keyed request to the client at once; the key's
// record is replicated through the control group afterwards.
void HandleKeyedAnswer(Context& aContext,
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
    RecordLatency(aContext, aRequest);
  }
  Forget(aContext, aRequest.mId);
}

// Handles a response body that broke after its first byte. The rest is fetched
// from another target only if a strong ETag proves that the body is the same.
void ResumeOrBreak(Context& aContext,
                   Request& aRequest,
                   std::uint64_t aDelivered)
{
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const bool can =
    !aRequest.mEtag.empty() && aRequest.mRangeAllowed && !aRequest.mDetached;
  retries::RetryState situation =
    SituationOf(service, aRequest, retries::Effect::Unknown);
  situation.mIdempotent = true;
  situation.mOverloaded = false;
  situation.mDeadline = aContext.mNow + 1;
  if (!can || !retries::MayRetry(service.mRetries, situation, aContext.mNow)) {
    BreakClientConnection(aContext, aRequest);
    return;
  }
  const std::optional<std::size_t> target = PickUntried(aContext, aRequest);
  if (!target) {
    BreakClientConnection(aContext, aRequest);
    return;
  }
  aContext.Count("resumes");
  aRequest.mResumeFrom = aDelivered;
  StartAttempt(aContext, aRequest, *target, false);
  aRequest.mPhase = Phase::Accepted;
}

void HandleAcceptedEnd(Context& aContext,
                       Request& aRequest,
                       const wire::AttemptEnded& aEvent)
{
  switch (aEvent.end()) {
    case wire::END_COMPLETE:
      RecordLatency(aContext, aRequest);
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
  const auto found = state.mAttemptSlots.find(aEvent.attempt());
  if (found == state.mAttemptSlots.end()) {
    return;
  }
  const AttemptSlot holding = found->second;
  state.mAttemptSlots.erase(found);
  ServiceState& service = state.mServices[holding.mService];
  routing::Finish(service.mTargets,
                  holding.mTarget,
                  aEvent.attempt(),
                  VerdictOf(aEvent),
                  aContext.mNow);
  UpdateLoad(aContext, holding.mService, holding.mTarget, aEvent.load());
  limits::AdjustRunning(service.mQueue, holding.mCaller, holding.mPriority, -1);
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
      HandleAcceptedEnd(aContext, aRequest, aEvent);
    }
    return;
  }
  if (aRequest.mOwnsKey && aEvent.end() == wire::END_COMPLETE) {
    HandleKeyedAnswer(aContext, aRequest, aEvent);
    return;
  }
  const retries::Effect effect = EffectOf(aEvent.end());
  aRequest.mMayHaveRun =
    aRequest.mMayHaveRun || effect != retries::Effect::DidNotRun;
  // A hedged attempt may still succeed.
  if (!attempts.empty() || Retry(aContext, aRequest, effect)) {
    return;
  }
  AnswerFailure(aContext, aRequest);
}

} // namespace

void BreakClientConnection(Context& aContext, const Request& aRequest)
{
  aContext.Count("answers_broken");
  aContext.Add().mutable_break_connection()->set_request(aRequest.mId);
  burn::Series& series =
    aContext.mState
      .mBook[{ aRequest.mService, aRequest.mKind, aRequest.mCaller }];
  burn::AddAnswer(series,
                  aContext.mNow,
                  aContext.mNow - aRequest.mArrivedAt,
                  "broken",
                  false);
  Forget(aContext, aRequest.mId);
}

void HandleAttemptEnd(Context& aContext, const wire::AttemptEnded& aEvent)
{
  State& state = aContext.mState;
  const auto holding = state.mAttemptSlots.find(aEvent.attempt());
  const std::string service =
    holding == state.mAttemptSlots.end() ? "" : holding->second.mService;
  Release(aContext, aEvent);
  const auto found = state.mRequests.find(aEvent.request());
  if (found != state.mRequests.end() &&
      FindAttempt(found->second, aEvent.attempt()) != nullptr) {
    EndAttempt(aContext, found->second, aEvent);
  }
  DispatchQueued(aContext, service);
}

} // namespace geraniumpond::node
