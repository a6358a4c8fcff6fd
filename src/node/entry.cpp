#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr Micros kMinRetryAfter = 50 * kMillisecond;

limits::Waiter WaiterOf(const Context& aContext, const Request& aRequest)
{
  limits::Waiter waiter;
  waiter.mRequest = aRequest.mId;
  waiter.mCaller = aRequest.mCaller;
  waiter.mPriority = aRequest.mPriority;
  waiter.mDeadline = aRequest.mDeadline;
  waiter.mGiveUpAt = limits::GiveUpTime(aContext.mNow, aRequest.mDeadline);
  return waiter;
}

void RefuseOverload(Context& aContext, Request& aRequest)
{
  const ServiceState& service = aContext.mState.mServices[aRequest.mService];
  const Micros wait = std::max(ExpectedWait(service, aRequest), kMinRetryAfter);
  aContext.Count("refused_overload");
  if (aRequest.mOwnsKey && !aRequest.mMayHaveRun) {
    ReleaseKey(aContext, aRequest);
  }
  AnswerAndForget(aContext,
                  aRequest,
                  { kUnavailable,
                    aRequest.mMayHaveRun ? kUnknown : kNotRun,
                    "no free target in time",
                    wait });
}

void GiveUp(Context& aContext, Request& aRequest)
{
  ServiceState& service = aContext.mState.mServices[aRequest.mService];
  if (limits::Remove(service.mQueue, aRequest.mId)) {
    RefuseOverload(aContext, aRequest);
  }
}

void HandleDeadline(Context& aContext, Request& aRequest)
{
  if (aRequest.mPhase == Phase::Accepted || aRequest.mDetached) {
    return;
  }
  aContext.Count("deadline_missed");
  const bool mayHaveRun = aRequest.mMayHaveRun || !aRequest.mAttempts.empty() ||
                          aRequest.mPhase == Phase::AwaitingRecord;
  const Reply reply{ kGatewayTimeout,
                     mayHaveRun ? kUnknown : kNotRun,
                     "deadline exceeded" };
  if (aRequest.mOwnsKey && !aRequest.mAttempts.empty()) {
    AnswerAndDetach(aContext, aRequest, reply);
    return;
  }
  if (aRequest.mOwnsKey) {
    ReleaseKey(aContext, aRequest);
  }
  CancelAttempts(aContext, aRequest, 0);
  AnswerAndForget(aContext, aRequest, reply);
}

} // namespace

routing::AttemptSpec AskOf(const Request& aRequest) noexcept
{
  return { aRequest.mKindIndex, aRequest.mPriority == Priority::Bulk };
}

Micros ExpectedWait(const ServiceState& aService,
                    const Request& aRequest) noexcept
{
  int running = 0;
  for (const int count : aService.mQueue.mRunning) {
    running += count;
  }
  const double ahead = limits::QueuedAhead(aService.mQueue, aRequest.mPriority);
  const double latency =
    routing::TypicalLatency(aService.mTargets, aRequest.mKindIndex);
  return static_cast<Micros>(latency * ahead / std::max(running, 1));
}

bool IsOverloaded(const ServiceState& aService) noexcept
{
  return !aService.mQueue.mWaiters.empty();
}

void AnswerNow(Context& aContext, const Request& aRequest, const Reply& aReply)
{
  wire::Answer& answer = *aContext.Add().mutable_answer();
  answer.set_request(aRequest.mId);
  answer.set_status(aReply.mStatus);
  answer.set_outcome(aReply.mOutcome);
  answer.set_reason(aReply.mReason);
  answer.set_retry_after_ms(
    static_cast<std::uint32_t>(aReply.mRetryAfter / kMillisecond));
  answer.set_close_connection(aContext.mState.mStopping);
  burn::Series& series =
    aContext.mState
      .mBook[{ aRequest.mService, aRequest.mKind, aRequest.mCaller }];
  burn::AddAnswer(series,
                  aContext.mNow,
                  aContext.mNow - aRequest.mArrivedAt,
                  aReply.mOutcome,
                  false);
}

void AnswerAndForget(Context& aContext,
                     const Request& aRequest,
                     const Reply& aReply)
{
  AnswerNow(aContext, aRequest, aReply);
  Forget(aContext, aRequest.mId);
}

void AnswerAndDetach(Context& aContext, Request& aRequest, const Reply& aReply)
{
  AnswerNow(aContext, aRequest, aReply);
  aRequest.mDetached = true;
}

void Forget(Context& aContext, std::uint64_t aRequest)
{
  const auto found = aContext.mState.mRequests.find(aRequest);
  if (found == aContext.mState.mRequests.end()) {
    return;
  }
  const Request& request = found->second;
  aContext.mState.mTimers.erase(
    { request.mDeadline, TimerKind::Deadline, aRequest });
  limits::Remove(aContext.mState.mServices[request.mService].mQueue, aRequest);
  aContext.mState.mRequests.erase(found);
}

void HandleRequest(Context& aContext, const wire::RequestArrived& aEvent)
{
  std::optional<Request> admitted = Admit(aContext, aEvent);
  if (!admitted) {
    return;
  }
  State& state = aContext.mState;
  Request& request = state.mRequests[aEvent.request()];
  request = std::move(*admitted);
  state.mTimers.insert({ request.mDeadline, TimerKind::Deadline, request.mId });
  const ServiceState& service = state.mServices[request.mService];
  const limits::Waiter waiter = WaiterOf(aContext, request);
  if (!limits::MayWait(service.mQueue,
                       waiter,
                       ExpectedWait(service, request),
                       aContext.mNow)) {
    RefuseOverload(aContext, request);
    return;
  }
  if (!request.mKey.empty()) {
    ClaimKey(aContext, request);
    return;
  }
  Enqueue(aContext, request);
}

void Enqueue(Context& aContext, Request& aRequest)
{
  State& state = aContext.mState;
  aRequest.mPhase = Phase::Waiting;
  const limits::Waiter waiter = WaiterOf(aContext, aRequest);
  const Caller& caller = state.mDeployment.mCallers[aRequest.mCaller];
  limits::Add(state.mServices[aRequest.mService].mQueue, waiter, caller.mShare);
  const std::uint64_t id = aRequest.mId;
  // Dispatching from the queue may destroy the request; do not use the
  // reference afterwards.
  DispatchQueued(aContext, std::string(aRequest.mService));
  const auto found = state.mRequests.find(id);
  if (found != state.mRequests.end() &&
      found->second.mPhase == Phase::Waiting) {
    state.mTimers.insert({ waiter.mGiveUpAt, TimerKind::GiveUp, id });
  }
}

void DispatchQueued(Context& aContext, const std::string& aService)
{
  State& state = aContext.mState;
  const auto found = state.mServices.find(aService);
  if (found == state.mServices.end()) {
    return;
  }
  ServiceState& service = found->second;
  const int entries = std::max(service.mTargets.mRules.mEntries, 1);
  const int capacity =
    routing::Capacity(service.mTargets, aContext.mNow) / entries;
  // A waiter for which no target is found is put back and ends the loop.
  while (!service.mQueue.mWaiters.empty()) {
    if (!routing::Pick(service.mTargets, aContext.mNow, 0, {}, {})) {
      return;
    }
    const std::optional<limits::Waiter> next =
      limits::Next(service.mQueue, std::max(capacity, 1));
    if (!next) {
      return;
    }
    Request& request = state.mRequests.at(next->mRequest);
    const std::optional<std::size_t> target =
      routing::Pick(service.mTargets,
                    aContext.mNow,
                    aContext.NextRandom(),
                    AskOf(request),
                    request.mTried);
    if (!target) {
      const double share = state.mDeployment.mCallers[request.mCaller].mShare;
      limits::Add(service.mQueue, *next, share);
      return;
    }
    StartAttempt(aContext, request, *target, false);
  }
}

void HandleClientGone(Context& aContext, std::uint64_t aRequest)
{
  const auto found = aContext.mState.mRequests.find(aRequest);
  if (found == aContext.mState.mRequests.end()) {
    return;
  }
  Request& request = found->second;
  aContext.Count("clients_gone");
  if (request.mOwnsKey && !request.mAttempts.empty()) {
    // Let the attempt finish, so that a retry by the client gets its answer.
    request.mDetached = true;
    return;
  }
  if (request.mOwnsKey && request.mPhase != Phase::Accepted) {
    ReleaseKey(aContext, request);
  }
  CancelAttempts(aContext, request, 0);
  Forget(aContext, aRequest);
}

void FireTimer(Context& aContext, TimerKind aKind, std::uint64_t aRequest)
{
  const auto found = aContext.mState.mRequests.find(aRequest);
  if (found == aContext.mState.mRequests.end()) {
    return;
  }
  Request& request = found->second;
  switch (aKind) {
    case TimerKind::Deadline:
      HandleDeadline(aContext, request);
      break;
    case TimerKind::GiveUp:
      GiveUp(aContext, request);
      break;
    case TimerKind::Hedge:
      TryHedge(aContext, request);
      break;
    case TimerKind::Claim:
      if (request.mPhase == Phase::AwaitingRecord) {
        ClaimKey(aContext, request);
      }
      break;
  }
}

} // namespace geraniumpond::node
