#include "reach.h"
#include "relay.h"

#include <algorithm>

// Handles the end of an attempt.
namespace geraniumpond::dispatch {

namespace {

/// Smoothing gain of a route's statistics.
constexpr double kWorkGain = 0.08;
/// Upper bound on one answer's time relative to the usual time.
constexpr double kMaxLatencyRatio = 3;
constexpr int kServerError = 500;
constexpr int kNotSuccess = 300;

Attempt* FindAttempt(Request& aRequest, std::uint64_t aNumber)
{
  const auto found = std::find_if(
    aRequest.mAttempts.begin(),
    aRequest.mAttempts.end(),
    [&](const Attempt& aAttempt) { return aAttempt.mNumber == aNumber; });
  return found == aRequest.mAttempts.end() ? nullptr : &*found;
}

void RemoveAttempt(Request& aRequest, std::uint64_t aNumber)
{
  aRequest.mAttempts.erase(std::remove_if(aRequest.mAttempts.begin(),
                                          aRequest.mAttempts.end(),
                                          [&](const Attempt& aAttempt) {
                                            return aAttempt.mNumber == aNumber;
                                          }),
                           aRequest.mAttempts.end());
}

void LearnWork(RouteStatistics& aStatistics, double aWork)
{
  const double gain = std::max(kWorkGain, 1.0 / ++aStatistics.mAnswers);
  aStatistics.mWork += gain * (aWork - aStatistics.mWork);
}

// Uses the target's state when the request was sent to learn the service time
// at a target of usual speed. Each answer updates the service time using what
// is known of the service, and the service's statistics using the known service
// time.
void Learn(State& aState,
           const Request& aRequest,
           const Attempt& aAttempt,
           const AttemptEnd& aEnd,
           Micros aNow)
{
  // An answer processed after its deadline was delayed in this host, because
  // the process was stalled.
  if (aAttempt.mSlowness > kUsualSlowness || aEnd.mStatus >= kNotSuccess ||
      aNow > aRequest.mDeadline) {
    return;
  }
  Service& service = aState.mServices[aRequest.mService];
  RouteStatistics& statistics = aState.mStatistics[aRequest.mRoute];
  statistics.mLearntAt = aNow;
  const double elapsed = static_cast<double>(aNow - aAttempt.mSentAt);
  const int occupancy = aAttempt.mOccupancy;
  const int slots = aAttempt.mSlots;
  const double factor = LatencyFactorAt(service.mCurve, occupancy, slots) *
                        (aAttempt.mCold ? service.mColdLatencyFactor : 1);
  if (statistics.mWork <= 0) {
    LearnWork(statistics, elapsed / factor);
    statistics.mAnswerBytes = static_cast<double>(aEnd.mBytes);
    return;
  }
  LearnAnswerBytes(aState, aRequest, aEnd.mBytes);
  // A single slow answer must not double an estimate.
  const double ratio = std::min(elapsed / statistics.mWork, kMaxLatencyRatio);
  const bool freshReport =
    aAttempt.mReportAge >= 0 && aAttempt.mReportAge <= kMaxReportAge;
  if (aAttempt.mCold) {
    service.mColdLatencyFactor +=
      kWorkGain * (ratio - service.mColdLatencyFactor);
    service.mColdLatencyFactor = std::max(1.0, service.mColdLatencyFactor);
    return;
  }
  if (freshReport && occupancy > 0 && occupancy < slots) {
    LearnLatencyFactor(service.mCurve, occupancy, slots, ratio);
  }
  if (occupancy < slots) {
    LearnWork(statistics, ratio * statistics.mWork / factor);
  }
}

// True when it is certain that the target did not run the request.
bool DidNotRun(const AttemptEnd& aEnd)
{
  return aEnd.mKind == EndKind::NotSent ||
         (aEnd.mKind == EndKind::Answered && aEnd.mNotRun);
}

// Only a success without a limit shows that there is no limit: an error
// generated on behalf of the target need not state one.
void UpdateLimit(State& aState,
                 Micros aNow,
                 Target& aTarget,
                 const Attempt& aAttempt,
                 const AttemptEnd& aEnd,
                 Effects& aOut)
{
  if (aEnd.mLimit.mKind != StatedLimit::Kind::Absent) {
    HandleStatedLimit(aState, aNow, aTarget, aEnd.mLimit, aOut);
  } else if (!aEnd.mNotRun && aEnd.mStatus < kNotSuccess) {
    HandleAbsentLimit(aState, aNow, aTarget, aAttempt.mSentAt, aOut);
  }
}

void UpdateTarget(State& aState,
                  Micros aNow,
                  const Attempt& aAttempt,
                  const AttemptEnd& aEnd,
                  Effects& aOut)
{
  const auto found = aState.mTargets.find(aAttempt.mTarget);
  if (found == aState.mTargets.end()) {
    return;
  }
  Target& target = found->second;
  target.mRunning = std::max(0, target.mRunning - 1);
  if (aEnd.mReport) {
    Service& service = aState.mServices[target.mService];
    RecordReport(service, target, *aEnd.mReport, aNow);
    target.mSentSinceReport = 0;
  } else {
    target.mSentSinceReport = std::max(0, target.mSentSinceReport - 1);
  }
  if (aEnd.mKind == EndKind::Answered) {
    RecordServiceAnswer(aState, aState.mServices[target.mService], aNow, aOut);
  }
  if (aEnd.mKind == EndKind::Answered && !aEnd.mMisdirected) {
    UpdateLimit(aState, aNow, target, aAttempt, aEnd, aOut);
    HandleStatedRest(aState, aNow, target, aEnd.mRest, aOut);
    if (aEnd.mLeaving) {
      HandleLeaving(aState, target, aOut);
    }
  }
  if (aEnd.mMisdirected) {
    HandleTargetEnd(aState, aNow, target, aOut);
    MarkUnavailable(aState, aNow, target, "address_taken", aOut);
    return;
  }
  if (aEnd.mKind == EndKind::NotSent) {
    if (aEnd.mRefused) {
      HandleTargetEnd(aState, aNow, target, aOut);
    }
    MarkUnavailable(aState, aNow, target, "unreachable", aOut);
    return;
  }
  const bool failed = aEnd.mKind == EndKind::Broken ||
                      (aEnd.mStatus >= kServerError && !aEnd.mNotRun);
  RecordResult(target, failed, aNow);
  if (!failed) {
    target.mConnectFailures = 0;
  }
}

void EndDetached(State& aState,
                 Micros aNow,
                 Request& aRequest,
                 const AttemptEnd& aEnd,
                 Effects& aOut)
{
  Log(aOut,
      1,
      "event=detached_ended status=" + std::to_string(aEnd.mStatus) +
        Describe(aState, aRequest, aNow));
  if (aRequest.mAttempts.empty()) {
    RemoveRequest(aState, aRequest.mId);
  }
}

} // namespace

void LearnAnswerBytes(State& aState,
                      const Request& aRequest,
                      std::uint64_t aBytes)
{
  RouteStatistics& statistics = aState.mStatistics[aRequest.mRoute];
  statistics.mAnswerBytes +=
    kWorkGain * (static_cast<double>(aBytes) - statistics.mAnswerBytes);
}

void Deliver(State& aState,
             Micros aNow,
             Request& aRequest,
             const Attempt& aAttempt,
             const AttemptEnd& aEnd,
             Effects& aOut)
{
  Log(aOut,
      aEnd.mStatus < kServerError ? 1 : 2,
      "event=answered status=" + std::to_string(aEnd.mStatus) +
        Describe(aState, aRequest, aNow) +
        (aAttempt.mHost.empty() ? " target=" + aAttempt.mTarget
                                : " through=" + aAttempt.mHost));
  ++aState.mCounters["answers_delivered"];
  aOut.emplace_back(DeliverAnswer{ aRequest.mId, aAttempt.mNumber });
  RemoveAttempt(aRequest, aAttempt.mNumber);
  CancelAttempts(aState, aRequest, aOut);
  RemoveRequest(aState, aRequest.mId);
}

void HandleAttemptEnd(State& aState,
                      Micros aNow,
                      const AttemptEnd& aEnd,
                      Effects& aOut)
{
  const auto found = aState.mRequests.find(aEnd.mRequest);
  Attempt* known = found == aState.mRequests.end()
                     ? nullptr
                     : FindAttempt(found->second, aEnd.mAttempt);
  if (known == nullptr) {
    ++aState.mCounters["ends_unknown"];
    return;
  }
  Request& request = found->second;
  const Attempt attempt = *known;
  UpdateTarget(aState, aNow, attempt, aEnd, aOut);
  aState.mLargeBytes -= attempt.mLargeBytes;
  RemoveAttempt(request, attempt.mNumber);
  if (!attempt.mHost.empty() && !request.mDetached) {
    HandleRelayEnd(aState, aNow, request, attempt, aEnd, aOut);
    return;
  }
  if (aEnd.mKind == EndKind::Broken) {
    HandleBrokenAnswer(aState, aNow, request, attempt, aEnd, aOut);
  } else if (!DidNotRun(aEnd) && aEnd.mStatus < kServerError) {
    RecordAnswer(aState, aNow, request.mIdentity, aOut);
  }
  if (request.mDetached) {
    EndDetached(aState, aNow, request, aEnd, aOut);
    return;
  }
  const std::string service = request.mService;
  if (aEnd.mKind == EndKind::NotSent) {
    --request.mSent;
    ++request.mConnectFailures;
  }
  if (DidNotRun(aEnd)) {
    RetryElsewhere(aState,
                   aNow,
                   request,
                   aEnd.mReason.empty() ? "target_refused" : aEnd.mReason,
                   aOut);
  } else {
    request.mMayHaveRun = true;
    const bool failed =
      aEnd.mKind == EndKind::Broken || aEnd.mStatus >= kServerError;
    const bool retry =
      failed && policy::IsIdempotent(request.mKind) &&
      (request.mSent < request.mMaxAttempts || !request.mAttempts.empty());
    if (!failed || (aEnd.mKind == EndKind::Answered && !retry)) {
      Learn(aState, request, attempt, aEnd, aNow);
      Deliver(aState, aNow, request, attempt, aEnd, aOut);
    } else {
      RetryElsewhere(aState,
                     aNow,
                     request,
                     aEnd.mKind == EndKind::Broken ? "answer_broken"
                                                   : "target_failed",
                     aOut);
    }
  }
  ServeQueue(aState, aNow, service, aOut);
}

} // namespace geraniumpond::dispatch
