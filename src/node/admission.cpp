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
constexpr std::size_t kMaxKeyBytes = 200;
constexpr Micros kNotReadyRetry = kSecond;

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

bool AcceptsPath(const Service& aService, const std::string& aPath)
{
  return std::any_of(
    aService.mKinds.begin(), aService.mKinds.end(), [&](const Kind& aKind) {
      return aPath.rfind(aKind.mPathPrefix, 0) == 0;
    });
}

// Resolves the client account, service and kind; rejects the request and
// returns false when access is not allowed. A service that the client account
// may not use is reported as nonexistent, so that its name is not disclosed.
bool FindRules(Context& aContext,
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
    const bool known = AcceptsPath(*aOut.mService, aEvent.path());
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

} // namespace

std::optional<Request> Admit(Context& aContext,
                             const wire::RequestArrived& aEvent)
{
  Admission admission;
  if (!FindRules(aContext, aEvent, admission) ||
      !CheckRequest(aContext, aEvent, *admission.mKind)) {
    return std::nullopt;
  }
  return NewRequest(aContext, aEvent, admission);
}

} // namespace geraniumpond::node
