#include "context.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kMethodNotAllowed = 405;
constexpr std::uint32_t kTooLarge = 413;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr Micros kNotReadyRetry = kSecond;
constexpr Micros kMinRetryAfter = 50 * kMillisecond;

struct Admission
{
  const Caller* mCaller = nullptr;
  const Service* mService = nullptr;
  const Kind* mKind = nullptr;
};

void Refuse(Context& aContext,
            const wire::RequestArrived& aEvent,
            const Reply& aReply,
            const char* aCounter)
{
  aContext.Count(std::string("refused_") + aCounter);
  wire::Answer& answer = *aContext.Add().mutable_answer();
  answer.set_request(aEvent.request());
  answer.set_status(aReply.mStatus);
  answer.set_outcome(aReply.mOutcome);
  answer.set_reason(aReply.mReason);
  answer.set_retry_after_ms(
    static_cast<std::uint32_t>(aReply.mRetryAfter / kMillisecond));
  answer.set_close_connection(aContext.mState.mStopping);
}

bool TakesPath(const Service& aService, const std::string& aPath)
{
  return std::any_of(
    aService.mKinds.begin(), aService.mKinds.end(), [&](const Kind& aKind) {
      return aPath.rfind(aKind.mPathPrefix, 0) == 0;
    });
}

// Finds who asks for what; answers and returns false when that is not allowed.
// A service that the caller may not reach looks like one that does not exist.
bool Admit(Context& aContext,
           const wire::RequestArrived& aEvent,
           Admission& aOut)
{
  const Deployment& deployment = aContext.mState.mDeployment;
  if (!IsReady(aContext.mState)) {
    Refuse(aContext,
           aEvent,
           { kUnavailable, kNotRun, "not ready", kNotReadyRetry },
           "not_ready");
    return false;
  }
  const auto name = deployment.mCallerByToken.find(aEvent.token_sha256());
  if (name == deployment.mCallerByToken.end()) {
    Refuse(aContext,
           aEvent,
           { kUnauthorized, kNotRun, "unknown caller" },
           "unauthorized");
    return false;
  }
  aOut.mCaller = &deployment.mCallers.at(name->second);
  const std::string service = ServiceOfPath(aEvent.path());
  if (aOut.mCaller->mServices.count(service) == 0) {
    Refuse(
      aContext, aEvent, { kNotFound, kNotRun, "unknown path" }, "unknown_path");
    return false;
  }
  aOut.mService = &deployment.mServices.at(service);
  aOut.mKind = FindKind(*aOut.mService, aEvent.method(), aEvent.path());
  if (aOut.mKind == nullptr) {
    const bool known = TakesPath(*aOut.mService, aEvent.path());
    Refuse(aContext,
           aEvent,
           { known ? kMethodNotAllowed : kNotFound,
             kNotRun,
             known ? "method not allowed" : "unknown path" },
           "unknown_path");
    return false;
  }
  return true;
}

bool IsKeyText(const std::string& aKey)
{
  return aKey.size() <= kMaxKeyBytes &&
         std::all_of(aKey.begin(), aKey.end(), [](char aChar) {
           return aChar > ' ' && aChar <= '~';
         });
}

bool CheckRequest(Context& aContext,
                  const wire::RequestArrived& aEvent,
                  const Kind& aKind)
{
  if (aEvent.body_bytes() > aKind.mMaxBodyBytes) {
    Refuse(
      aContext, aEvent, { kTooLarge, kNotRun, "body too large" }, "too_large");
    return false;
  }
  const std::string& key = aEvent.idempotency_key();
  if (aKind.mKeyRequired && key.empty()) {
    Refuse(aContext,
           aEvent,
           { kBadRequest, kNotRun, "Idempotency-Key required" },
           "no_key");
    return false;
  }
  if (!IsKeyText(key)) {
    Refuse(aContext,
           aEvent,
           { kBadRequest, kNotRun, "Idempotency-Key not valid" },
           "bad_key");
    return false;
  }
  return true;
}

Request NewRequest(const Context& aContext,
                   const wire::RequestArrived& aEvent,
                   const Admission& aAdmission)
{
  const Kind& kind = *aAdmission.mKind;
  Request request;
  request.mId = aEvent.request();
  request.mCaller = aAdmission.mCaller->mName;
  request.mService = aAdmission.mService->mName;
  request.mKind = kind.mName;
  request.mKindIndex = static_cast<std::size_t>(
    aAdmission.mKind - aAdmission.mService->mKinds.data());
  request.mPriority = kind.mPriority;
  request.mArrivedAt = aContext.mNow;
  Micros allowed = kind.mDeadline;
  if (aEvent.deadline_ms() > 0) {
    allowed = std::min<Micros>(allowed, aEvent.deadline_ms() * kMillisecond);
  }
  request.mDeadline = aContext.mNow + allowed;
  request.mIdempotent = kind.mIdempotent;
  request.mRangeAllowed = aEvent.method() == "GET" && !aEvent.has_range();
  if (!kind.mIdempotent && !aEvent.idempotency_key().empty()) {
    request.mKey = idempotency::ScopedKey(
      request.mCaller, request.mService, aEvent.idempotency_key());
    request.mDigest = Sha256Hex(aEvent.method() + " " + aEvent.path() + " " +
                                aEvent.body_digest());
  }
  return request;
}

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

void MissDeadline(Context& aContext, Request& aRequest)
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

routing::Ask AskOf(const Request& aRequest) noexcept
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
  const double ahead = limits::Ahead(aService.mQueue, aRequest.mPriority);
  const double latency =
    routing::UsualLatency(aService.mTargets, aRequest.mKindIndex);
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
  burn::Note(series,
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

void Arrive(Context& aContext, const wire::RequestArrived& aEvent)
{
  Admission admission;
  if (!Admit(aContext, aEvent, admission) ||
      !CheckRequest(aContext, aEvent, *admission.mKind)) {
    return;
  }
  State& state = aContext.mState;
  Request& request = state.mRequests[aEvent.request()];
  request = NewRequest(aContext, aEvent, admission);
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
  // The pump may end the request; the reference is not used after it.
  Pump(aContext, std::string(aRequest.mService));
  const auto found = state.mRequests.find(id);
  if (found != state.mRequests.end() &&
      found->second.mPhase == Phase::Waiting) {
    state.mTimers.insert({ waiter.mGiveUpAt, TimerKind::GiveUp, id });
  }
}

void Pump(Context& aContext, const std::string& aService)
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
  // A waiter that finds no target goes back and ends the round.
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

void ClientLeft(Context& aContext, std::uint64_t aRequest)
{
  const auto found = aContext.mState.mRequests.find(aRequest);
  if (found == aContext.mState.mRequests.end()) {
    return;
  }
  Request& request = found->second;
  aContext.Count("clients_gone");
  if (request.mOwnsKey && !request.mAttempts.empty()) {
    // The work goes on, so that a resend finds the answer.
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
      MissDeadline(aContext, request);
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
