#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kUnprocessable = 422;
constexpr std::uint32_t kUnavailable = 503;
constexpr Micros kFirstPoll = 20 * kMillisecond;
constexpr Micros kLastPoll = 500 * kMillisecond;
constexpr int kMaxDoublings = 5;
// A completion is retried this long, to survive long control group outages.
constexpr Micros kCompletionTimeout = 10 * kMinute;

// The owner is gone once its host is gone or runs another incarnation.
bool OwnerIsGone(const State& aState, const wire::KeyRecord& aRecord)
{
  const wire::Fact* host = membership::Find(
    aState.mDirectory, { wire::FACT_HOST, "", aRecord.owner() });
  // A claim may be committed before the directory learns of its owner's start.
  // An unknown owner is therefore not considered lost; wait for its record.
  return host != nullptr &&
         (host->gone() || host->incarnation() != aRecord.owner_incarnation());
}

template<class Body>
void SetOwner(const Context& aContext, Body& aBody, const Request& aRequest)
{
  aBody.set_key(aRequest.mKey);
  aBody.set_owner(aContext.Self());
  aBody.set_owner_incarnation(aContext.mState.mIncarnation);
  aBody.set_attempt(aRequest.mId);
}

void AnswerStored(Context& aContext,
                  const Request& aRequest,
                  const wire::KeyRecord& aRecord)
{
  aContext.Count("answers_from_record");
  wire::Answer& answer = *aContext.Add().mutable_answer();
  answer.set_request(aRequest.mId);
  answer.set_status(aRecord.answer().status());
  answer.set_outcome(kRan);
  *answer.mutable_stored() = aRecord.answer();
  answer.set_close_connection(aContext.mState.mStopping);
  Forget(aContext, aRequest.mId);
}

void AwaitRecord(Context& aContext, Request& aRequest)
{
  aRequest.mPhase = Phase::AwaitingRecord;
  const int doublings = std::min(aRequest.mClaimTries, kMaxDoublings);
  ++aRequest.mClaimTries;
  const Micros delay = std::min(kFirstPoll << doublings, kLastPoll);
  aContext.mState.mTimers.insert(
    { aContext.mNow + delay, TimerKind::Claim, aRequest.mId });
}

void HandleForeignRecord(Context& aContext,
                         Request& aRequest,
                         const wire::KeyRecord& aRecord)
{
  switch (aRecord.phase()) {
    case wire::KEY_DONE:
      AnswerStored(aContext, aRequest, aRecord);
      return;
    case wire::KEY_UNKNOWN:
      AnswerAndForget(aContext,
                      aRequest,
                      { kConflict, kUnknown, "earlier attempt's end is lost" });
      return;
    case wire::KEY_CLAIMED:
      if (OwnerIsGone(aContext.mState, aRecord)) {
        AnswerAndForget(
          aContext,
          aRequest,
          { kConflict, kUnknown, "earlier attempt's host is lost" });
        return;
      }
      AwaitRecord(aContext, aRequest);
      return;
    default:
      // A late duplicate of this request's own release; the key cannot be
      // claimed again.
      AnswerAndForget(
        aContext, aRequest, { kUnavailable, kNotRun, "claim released" });
      return;
  }
}

// Releases a claim that was granted after the client disconnected or the
// deadline passed.
void ReleaseOrphanedClaim(Context& aContext,
                          const wire::ClaimKey& aClaim,
                          const wire::KeyRecord& aRecord)
{
  const bool mine =
    aRecord.phase() == wire::KEY_CLAIMED &&
    idempotency::IsOwnedBy(
      aRecord, aClaim.owner(), aClaim.owner_incarnation(), aClaim.attempt());
  if (!mine) {
    return;
  }
  Request orphan;
  orphan.mId = aClaim.attempt();
  orphan.mKey = aClaim.key();
  ReleaseKey(aContext, orphan);
}

} // namespace

void ClaimKey(Context& aContext, Request& aRequest)
{
  if (aRequest.mPhase != Phase::AwaitingRecord) {
    aRequest.mPhase = Phase::Claiming;
  }
  Proposal proposal;
  wire::ClaimKey& claim = *proposal.mCommand.mutable_claim();
  SetOwner(aContext, claim, aRequest);
  claim.set_body_digest(aRequest.mDigest);
  claim.set_expires_at_us(aContext.mNow +
                          aContext.mState.mDeployment.mKeyRetention);
  proposal.mRequest = aRequest.mId;
  proposal.mGiveUpAt = aRequest.mDeadline + kCompletionTimeout;
  Submit(aContext, std::move(proposal));
}

void HandleKeyRecord(Context& aContext,
                     std::uint64_t aRequest,
                     const wire::Command& aCommand,
                     const wire::KeyRecord& aRecord)
{
  if (!aCommand.has_claim()) {
    return;
  }
  State& state = aContext.mState;
  const auto found = state.mRequests.find(aRequest);
  if (found == state.mRequests.end()) {
    ReleaseOrphanedClaim(aContext, aCommand.claim(), aRecord);
    return;
  }
  Request& request = found->second;
  if (request.mOwnsKey) {
    return;
  }
  const bool mine =
    aRecord.phase() == wire::KEY_CLAIMED &&
    idempotency::IsOwnedBy(
      aRecord, aContext.Self(), state.mIncarnation, request.mId);
  if (mine) {
    request.mOwnsKey = true;
    Enqueue(aContext, request);
    return;
  }
  if (aRecord.phase() != wire::KEY_RELEASED &&
      aRecord.body_digest() != request.mDigest) {
    aContext.Count("refused_key_reuse");
    AnswerAndForget(aContext,
                    request,
                    { kUnprocessable,
                      kNotRun,
                      "Idempotency-Key was used with another request" });
    return;
  }
  HandleForeignRecord(aContext, request, aRecord);
}

void CompleteKey(Context& aContext,
                 const Request& aRequest,
                 const wire::StoredAnswer* aAnswer)
{
  Proposal proposal;
  wire::CompleteKey& complete = *proposal.mCommand.mutable_complete();
  SetOwner(aContext, complete, aRequest);
  if (aAnswer != nullptr) {
    *complete.mutable_answer() = *aAnswer;
  }
  proposal.mGiveUpAt = aContext.mNow + kCompletionTimeout;
  Submit(aContext, std::move(proposal));
}

void ReleaseKey(Context& aContext, const Request& aRequest)
{
  Proposal proposal;
  SetOwner(aContext, *proposal.mCommand.mutable_release(), aRequest);
  proposal.mGiveUpAt = aContext.mNow + kCompletionTimeout;
  Submit(aContext, std::move(proposal));
}

} // namespace geraniumpond::node
