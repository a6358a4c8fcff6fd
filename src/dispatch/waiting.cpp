#include "authorisation.h"
#include "choice.h"
#include "reach.h"
#include "relay.h"

#include <algorithm>

// The queue of requests that wait for a target: when each is checked, sent or
// refused.
namespace geraniumpond::dispatch {

namespace {

/// Late requests check for capacity this many times less often than others.
constexpr Micros kLateRecheckFactor = 12;
/// A target counts as slowed down when its slowness reaches this many times the
/// value at the choice.
constexpr double kSlowdownRatio = 1.8;
/// After this many times the expected time a target counts as stuck, whatever
/// it reports.
constexpr Micros kOverdueFactor = 3;
/// A waiting request checks for a free target this many times per service time:
/// each check costs probes.
constexpr Micros kRechecksPerWork = 10;
/// A refused client retries after this fraction (1/n) of the time that it has
/// left, so that enough is left for the work.
constexpr Micros kRetryDelayDivisor = 3;
/// Weight of an account without a rate, and of requests without an account.
constexpr double kUsualWeight = 1;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

bool IsAwaitingProbes(const State& aState, const Request& aRequest, Micros aNow)
{
  if (aNow >= aRequest.mProbesAwaitedUntil) {
    return false;
  }
  return std::any_of(aRequest.mProbed.begin(),
                     aRequest.mProbed.end(),
                     [&](const std::string& aId) {
                       const auto found = aState.mTargets.find(aId);
                       return found != aState.mTargets.end() &&
                              found->second.mProbing;
                     });
}

// Targets with a fresh report. Only recent reporters are scanned, because a
// service may have a thousand targets and the queue is processed whenever one
// answers.
std::vector<Target*> FreshTargets(State& aState, Service& aService, Micros aNow)
{
  std::vector<Target*> fresh;
  std::deque<std::string> reported;
  for (std::string& id : aService.mRecentReporters) {
    const auto found = aState.mTargets.find(id);
    if (found != aState.mTargets.end() && IsFresh(found->second, aNow)) {
      fresh.push_back(&found->second);
      reported.push_back(std::move(id));
    }
  }
  aService.mRecentReporters = std::move(reported);
  return fresh;
}

void ScheduleRecheck(State& aState,
                     Micros aNow,
                     Request& aRequest,
                     const Need& aNeed)
{
  aRequest.mProbed.clear();
  aRequest.mProbeRound = 0;
  aRequest.mProbesAwaitedUntil = 0;
  const bool late = aNow + aNeed.mWork > aRequest.mObjectiveAt;
  const Micros pause = std::max(kRecheckDelay, aNeed.mWork / kRechecksPerWork) *
                       (late ? kLateRecheckFactor : 1);
  // The last check must come early enough that a refused client has time to
  // retry.
  const Micros giveUpAt = GiveUpAt(aRequest, aNeed);
  aRequest.mRecheckAt =
    aNow < giveUpAt ? std::min(aNow + pause, giveUpAt) : aNow + pause;
  SetTimer(aState, aRequest);
}

// The first attempt continues; a hedge starts only if a target is free now.
void StopHedging(State& aState, Micros aNow, Request& aRequest)
{
  StopWaiting(aState, aRequest);
  aRequest.mHedging = false;
  const Need need = NeedOf(aState, aRequest);
  aRequest.mHedgeAt = aNow + std::max(4 * kRecheckDelay, need.mWork / 2);
  SetTimer(aState, aRequest);
}

// Targets change their speed during an attempt. One that answers probes and is
// as fast as before has a long request: a hedge would not finish sooner.
bool LooksStuck(const State& aState, const Request& aRequest, Micros aNow)
{
  return std::any_of(
    aRequest.mAttempts.begin(),
    aRequest.mAttempts.end(),
    [&](const Attempt& aAttempt) {
      const auto found = aState.mTargets.find(aAttempt.mTarget);
      if (found == aState.mTargets.end() || !IsFresh(found->second, aNow)) {
        return true;
      }
      const bool slower = found->second.mReport->mSlowness >
                          kSlowdownRatio * std::max(1.0, aAttempt.mSlowness);
      const bool overdue =
        aNow - aAttempt.mSentAt > kOverdueFactor * aAttempt.mExpected;
      return slower || overdue;
    });
}

// Waiting is of no use while all targets rest; false if some do not.
bool RefuseWhileAllRest(State& aState,
                        Micros aNow,
                        Request& aRequest,
                        Effects& aOut)
{
  if (!aRequest.mAttempts.empty()) {
    return false;
  }
  const std::optional<Micros> end =
    EarliestRestEnd(aState, aState.mServices[aRequest.mService], aNow);
  if (!end) {
    return false;
  }
  Refuse(aState,
         aNow,
         aRequest.mId,
         aRequest.mMayHaveRun ? 502 : kUnavailable,
         aRequest.mMayHaveRun ? 0 : DelayUntilRestEnd(aState, *end, aNow),
         "targets_rest",
         aOut);
  return true;
}

// Takes another attempt from the budget of the service and, if the last one may
// run, from the limit of the account. False if the request does not go on with
// one.
bool TakeExtraAttempt(State& aState,
                      Micros aNow,
                      Request& aRequest,
                      Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  const bool repeats = aRequest.mMayHaveRun || !aRequest.mAttempts.empty();
  const char* denied = "account_at_limit";
  // The account is asked first: what it is denied must not use the budget up.
  if (!repeats || HasQuotaForExtra(aState, aNow, aRequest)) {
    if (TakeExtra(aState, service.mExtra, aNow)) {
      if (repeats) {
        CountExtraQuota(aState, aNow, aRequest);
      }
      return true;
    }
    denied = "extra_attempts_spent";
  }
  ++aState.mCounters["extra_over_budget"];
  if (aRequest.mHedging) {
    StopHedging(aState, aNow, aRequest);
    return false;
  }
  Refuse(aState,
         aNow,
         aRequest.mId,
         aRequest.mMayHaveRun ? 502 : 503,
         RetryAfter(aState, 0),
         denied,
         aOut);
  return false;
}

void TrySend(State& aState,
             Micros aNow,
             Request& aRequest,
             Target& aTarget,
             Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  const bool extra = aRequest.mSent > 0;
  const quarantine::Verdict verdict =
    JudgeQuarantine(aState, aRequest.mIdentity, aRequest.mService, aNow);
  if (aRequest.mHedging && verdict != quarantine::Verdict::Clear) {
    StopHedging(aState, aNow, aRequest);
    return;
  }
  if (verdict == quarantine::Verdict::Quarantined) {
    Refuse(aState,
           aNow,
           aRequest.mId,
           aRequest.mMayHaveRun ? 502 : 503,
           0,
           "quarantined",
           aOut);
    return;
  }
  if (extra && !TakeExtraAttempt(aState, aNow, aRequest, aOut)) {
    return;
  }
  fair_queue::Serve(service.mWaiting, aRequest.mId);
  StopWaiting(aState, aRequest);
  SendTo(aState, aNow, aRequest, aTarget, aOut);
}

bool IsUntouched(const Request& aRequest)
{
  return !aRequest.mMayHaveRun && aRequest.mAttempts.empty();
}

// Its own probes went unanswered too: others may have gone to dead targets.
bool RefuseAtLostService(State& aState,
                         Micros aNow,
                         Request& aRequest,
                         Effects& aOut)
{
  const Service& service = aState.mServices[aRequest.mService];
  const bool lost =
    aRequest.mIsRelayed ? IsSilent(service, aNow) : IsLost(service, aNow);
  if (!lost || !IsUntouched(aRequest)) {
    return false;
  }
  Refuse(aState,
         aNow,
         aRequest.mId,
         aRequest.mIsRelayed ? kMisdirected : kUnavailable,
         RetryDelay(aState, aRequest, aNow),
         "service_unreached",
         aOut);
  return true;
}

bool PassOnFromSilentService(State& aState,
                             Micros aNow,
                             Request& aRequest,
                             Effects& aOut)
{
  return IsSilent(aState.mServices[aRequest.mService], aNow) &&
         CanPassOn(aRequest) && PassOn(aState, aNow, aRequest, aOut);
}

// Sends, refuses or keeps one waiting request.
void ServeRequest(State& aState,
                  Micros aNow,
                  PassCache& aCache,
                  Request& aRequest,
                  const Need& aNeed,
                  Effects& aOut)
{
  if (RefuseUnauthorised(aState, aNow, aRequest, aOut) ||
      RefuseWaitingAtShutdown(aState, aNow, aRequest, aOut) ||
      RefuseWhileAllRest(aState, aNow, aRequest, aOut) ||
      PassOnFromSilentService(aState, aNow, aRequest, aOut) ||
      PassOnLargeAnswer(aState, aNow, aRequest, aOut) ||
      IsAwaitingProbes(aState, aRequest, aNow) ||
      RefuseAtLostService(aState, aNow, aRequest, aOut)) {
    return;
  }
  const Choice choice = Choose(aState, aCache, aRequest, aNeed, aNow);
  const bool hedging = aRequest.mHedging;
  switch (choice.mVerdict) {
    case Verdict::Send:
      if (hedging && (!HasFreeSlot(*choice.mTarget, aNow) ||
                      !LooksStuck(aState, aRequest, aNow))) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      TrySend(aState, aNow, aRequest, *choice.mTarget, aOut);
      aCache.Invalidate();
      return;
    case Verdict::ProbeMore:
      if (aNow < aRequest.mRecheckAt) {
        return;
      }
      if (ProbeCandidates(aState, aNow, aRequest, aOut)) {
        SetTimer(aState, aRequest);
        return;
      }
      ServeRequest(aState, aNow, aCache, aRequest, aNeed, aOut);
      return;
    case Verdict::Wait:
      if (hedging) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      ScheduleRecheck(aState, aNow, aRequest, aNeed);
      return;
    case Verdict::OutOfTime:
    case Verdict::NoTarget:
      if (hedging) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      Refuse(aState,
             aNow,
             aRequest.mId,
             aRequest.mMayHaveRun ? 502 : 503,
             RetryDelay(aState, aRequest, aNow),
             choice.mVerdict == Verdict::OutOfTime ? "deadline_out_of_reach"
                                                   : "no_target",
             aOut);
      return;
  }
}

// Accounts take turns by their rates. A second attempt takes no turn: its
// request has had one.
double WeightOf(const State& aState, const Request& aRequest)
{
  if (!aState.mPolicy || !aState.mPolicy->mAccounts || aRequest.mSent > 0) {
    return 0;
  }
  const accounts::Account* account =
    accounts::FindByName(*aState.mPolicy->mAccounts, aRequest.mAccount);
  return account == nullptr || account->mPerSecond <= 0 ? kUsualWeight
                                                        : account->mPerSecond;
}

fair_queue::Entry EntryOf(const State& aState, const Request& aRequest)
{
  return { aRequest.mId,
           aRequest.mPriority,
           aRequest.mDeadline,
           aRequest.mAccount,
           WeightOf(aState, aRequest) };
}

// True for requests of one route with the same latency objective and homes.
bool HaveSameNeed(const Request& aLeft, const Request& aRight)
{
  return aLeft.mObjectiveAt - aLeft.mArrivedAt ==
           aRight.mObjectiveAt - aRight.mArrivedAt &&
         aLeft.mRoute == aRight.mRoute &&
         aLeft.mHomes.mBound == aRight.mHomes.mBound &&
         aLeft.mHomes.mRegions == aRight.mHomes.mRegions;
}

} // namespace

Micros ExpectedWait(const State& aState, const Request& aRequest)
{
  const Service& service = aState.mServices.at(aRequest.mService);
  const std::size_t ahead =
    fair_queue::CountAhead(service.mWaiting, EntryOf(aState, aRequest));
  return static_cast<Micros>(static_cast<double>(ahead) *
                             service.mDispatchInterval);
}

Micros RetryAfter(State& aState, Micros aExpectedWait)
{
  // Random jitter: clients that were refused together must not retry together.
  constexpr Micros kMinMean = 100 * kMillisecond;
  const Micros mean = std::max(kMinMean, aExpectedWait);
  return mean / 2 +
         static_cast<Micros>(NextUniform(aState) * static_cast<double>(mean));
}

Micros RetryDelay(State& aState, const Request& aRequest, Micros aNow)
{
  return RetryAfter(aState, (aRequest.mDeadline - aNow) / kRetryDelayDivisor);
}

void StartWaiting(State& aState, Micros aNow, Request& aRequest, Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  aRequest.mWaiting = true;
  aRequest.mProbed.clear();
  aRequest.mProbeRound = 0;
  aRequest.mRecheckAt = 0;
  fair_queue::Add(service.mWaiting, EntryOf(aState, aRequest));
  ProbeCandidates(aState, aNow, aRequest, aOut);
  SetTimer(aState, aRequest);
}

void StopWaiting(State& aState, Request& aRequest)
{
  if (!aRequest.mWaiting) {
    return;
  }
  aRequest.mWaiting = false;
  fair_queue::Remove(aState.mServices[aRequest.mService].mWaiting,
                     aRequest.mId);
}

void SetPriority(State& aState, Request& aRequest, int aPriority)
{
  if (aRequest.mPriority == aPriority) {
    return;
  }
  if (!aRequest.mWaiting) {
    aRequest.mPriority = aPriority;
    return;
  }
  fair_queue::Queue& waiting = aState.mServices[aRequest.mService].mWaiting;
  fair_queue::Remove(waiting, aRequest.mId);
  aRequest.mPriority = aPriority;
  fair_queue::Add(waiting, EntryOf(aState, aRequest));
}

void ServeQueue(State& aState,
                Micros aNow,
                const std::string& aService,
                Effects& aOut)
{
  const auto service = aState.mServices.find(aService);
  if (service == aState.mServices.end()) {
    return;
  }
  // Requests that can still meet their objective go first. In deadline order
  // alone, an overload would delay every request past its objective.
  std::vector<std::pair<std::uint64_t, Need>> order;
  std::vector<std::pair<std::uint64_t, Need>> late;
  const Request* last = nullptr;
  Need need;
  for (const fair_queue::Waiter& waiter : service->second.mWaiting.mWaiters) {
    const Request& request = aState.mRequests.at(waiter.Request());
    if (last == nullptr || !HaveSameNeed(*last, request)) {
      need = NeedOf(aState, request);
    }
    last = &request;
    const bool objectiveMissed = aNow + need.mWork > request.mObjectiveAt;
    (objectiveMissed ? late : order).emplace_back(request.mId, need);
  }
  order.insert(order.end(), late.begin(), late.end());
  PassCache cache;
  cache.mFresh = FreshTargets(aState, service->second, aNow);
  for (const auto& [id, needed] : order) {
    const auto found = aState.mRequests.find(id);
    if (found != aState.mRequests.end() && found->second.mWaiting) {
      ServeRequest(aState, aNow, cache, found->second, needed, aOut);
    }
  }
}

} // namespace geraniumpond::dispatch
