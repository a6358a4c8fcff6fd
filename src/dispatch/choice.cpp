#include "choice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

// Chooses the target for a waiting request, or decides what else to do with the
// request.
namespace geraniumpond::dispatch {

namespace {

/// Service times vary around their mean: a request with this many times the
/// mean left usually completes in time.
constexpr double kWorkMargin = 1.5;
/// Targets with spare capacity that a late request must see before it takes one
/// of them. Of eight probed targets, on-time requests also find fewer than
/// this.
constexpr std::size_t kSpareTargetsForLate = 3;
/// Share of recent late requests that must have found spare capacity for
/// another one to wait for it; smoothed over five requests, with the half-life
/// below. With short deadlines during an overload waiting is useless; with long
/// deadlines most late requests find capacity once the overload ends.
constexpr double kMinLateServedShare = 0.7;
constexpr double kLateServedGain = 0.2;
constexpr double kLateServedHalfLife = 4.0 * kSecond;
/// A late request that finds no capacity is refused while this share of its
/// time is left, so that its client can retry and be served elsewhere. A
/// refusal at the deadline leaves the client no time to retry.
constexpr double kTimeKeptForRetry = 0.5;
/// Above this share of probed targets with spare capacity, a target may be
/// loaded beyond its most efficient concurrency, because the next request will
/// find another target.
constexpr double kAmpleSpareCapacity = 0.6;
/// Service time assumed for a route without answers yet, as a share of its
/// latency objective.
constexpr double kInitialWorkShare = 0.35;
/// Size assumed for a download of a route without answers yet.
constexpr double kInitialDownloadBytes = 100000;

std::vector<Target*> AllTargets(State& aState,
                                const Service& aService,
                                const Request& aRequest)
{
  std::vector<Target*> all;
  for (const std::string& id : aService.mTargets) {
    Target& target = aState.mTargets.at(id);
    if (MayReach(aState, aRequest, target)) {
      all.push_back(&target);
    }
  }
  return all;
}

// The cheapest target that has not been tried for this request.
Target* Best(const std::vector<Target*>& aTargets,
             const Request& aRequest,
             const Need& aNeed,
             Micros aNow)
{
  Target* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (Target* target : aTargets) {
    if (target->mUnavailable || !AcceptsRequests(*target, aNow) ||
        aRequest.mTried.count(target->mId) != 0) {
      continue;
    }
    const double cost = CostOf(*target, aNeed, aNow);
    if (cost < bestCost) {
      best = target;
      bestCost = cost;
    }
  }
  return best;
}

// Requests that have not been sent yet share the cached choice for their
// service time and answer size.
Target* BestFresh(PassCache& aCache,
                  const Request& aRequest,
                  const Need& aNeed,
                  Micros aNow)
{
  if (!aRequest.mTried.empty()) {
    return Best(aCache.mFresh, aRequest, aNeed, aNow);
  }
  const auto key = std::make_pair(aNeed.mWork, aNeed.mAnswerBytes);
  const auto found = aCache.mBest.find(key);
  if (found != aCache.mBest.end()) {
    return found->second;
  }
  Target* best = Best(aCache.mFresh, aRequest, aNeed, aNow);
  aCache.mBest.emplace(key, best);
  return best;
}

bool AnyUntried(const State& aState, const Request& aRequest, Micros aNow)
{
  const std::vector<std::string>& targets =
    aState.mServices.at(aRequest.mService).mTargets;
  return std::any_of(
    targets.begin(), targets.end(), [&](const std::string& aId) {
      const Target& target = aState.mTargets.at(aId);
      return aRequest.mTried.count(aId) == 0 && !target.mLeaving &&
             HasLimitShare(target, aNow) && MayReach(aState, aRequest, target);
    });
}

// Targets with a fresh report that would serve one more request at close to
// their usual speed.
std::size_t CountWithSpareCapacity(PassCache& aCache,
                                   const Need& aNeed,
                                   Micros aNow)
{
  if (aCache.mWithSpareCapacity) {
    return *aCache.mWithSpareCapacity;
  }
  const auto hasSpareCapacity = [&](const Target* aTarget) {
    return !aTarget->mUnavailable && AcceptsRequests(*aTarget, aNow) &&
           IsUncrowded(*aTarget, aNeed.mService->mCurve, aNow) &&
           aTarget->mReport->mSlowness <= kUsualSlowness;
  };
  aCache.mWithSpareCapacity = static_cast<std::size_t>(std::count_if(
    aCache.mFresh.begin(), aCache.mFresh.end(), hasSpareCapacity));
  return *aCache.mWithSpareCapacity;
}

// Fewer targets with spare capacity suffice for a late request where only few
// targets are usable.
std::size_t UsableTargets(const State& aState,
                          PassCache& aCache,
                          const Request& aRequest,
                          Micros aNow)
{
  if (aCache.mUsable) {
    return *aCache.mUsable;
  }
  const auto& subset = aState.mServices.at(aRequest.mService).mSubset;
  aCache.mUsable = static_cast<std::size_t>(
    std::count_if(subset.begin(), subset.end(), [&](const std::string& aId) {
      const Target& target = aState.mTargets.at(aId);
      return !target.mUnavailable && !target.mLeaving &&
             HasLimitShare(target, aNow) && MayReach(aState, aRequest, target);
    }));
  return *aCache.mUsable;
}

double LateServedShare(const Service& aService, Micros aNow)
{
  const double age = static_cast<double>(aNow - aService.mLateServedAt);
  return 1 - (1 - aService.mLateServedShare) *
               std::exp2(-age / kLateServedHalfLife);
}

void RecordLateOutcome(Service& aService, bool aServed, Micros aNow)
{
  const double share = LateServedShare(aService, aNow);
  aService.mLateServedShare =
    share + kLateServedGain * ((aServed ? 1 : 0) - share);
  aService.mLateServedAt = aNow;
}

// A hedged attempt is for a request that is late or about to be. The first
// attempt continues alone when no other target has spare capacity.
Choice ChooseHedge(const Request& aRequest,
                   const Need& aNeed,
                   Target* aBest,
                   Micros aNow)
{
  const bool accepts =
    aBest != nullptr && IsUncrowded(*aBest, aNeed.mService->mCurve, aNow) &&
    ExpectedTime(*aBest, aNeed, aNow) <= aRequest.mDeadline - aNow;
  return accepts ? Choice{ Verdict::Send, aBest }
                 : Choice{ Verdict::OutOfTime, nullptr };
}

bool HasSpareCapacity(const State& aState,
                      PassCache& aCache,
                      const Request& aRequest,
                      const Need& aNeed,
                      const Target& aTarget,
                      Micros aNow)
{
  if (ExpectedTime(aTarget, aNeed, aNow) > aRequest.mDeadline - aNow) {
    return false;
  }
  if (!aNeed.mService->mReportsLoad) {
    return HasFreeSlot(aTarget, aNow);
  }
  const std::size_t wanted = std::min(
    kSpareTargetsForLate, UsableTargets(aState, aCache, aRequest, aNow));
  return IsFresh(aTarget, aNow) &&
         IsUncrowded(aTarget, aNeed.mService->mCurve, aNow) &&
         CountWithSpareCapacity(aCache, aNeed, aNow) >= wanted;
}

// A request that has missed its latency objective takes only capacity that
// others leave: occupying a slot would make one more request late. It waits for
// spare capacity if recent late requests found some; otherwise it is refused at
// once and its client told to retry later.
Choice LateChoice(State& aState,
                  PassCache& aCache,
                  const Request& aRequest,
                  const Need& aNeed,
                  Target* aBest,
                  Micros aNow)
{
  Service& service = aState.mServices[aRequest.mService];
  if (aBest != nullptr &&
      HasSpareCapacity(aState, aCache, aRequest, aNeed, *aBest, aNow)) {
    RecordLateOutcome(service, true, aNow);
    return { Verdict::Send, aBest };
  }
  if (LateServedShare(service, aNow) < kMinLateServedShare) {
    return { Verdict::OutOfTime, nullptr };
  }
  if (aNow < GiveUpAt(aRequest, aNeed)) {
    return { Verdict::Wait, nullptr };
  }
  RecordLateOutcome(service, false, aNow);
  return { Verdict::OutOfTime, nullptr };
}

// A target whose share of the rate limit has not been used for a while: only an
// answer can tell that the limit has been lifted.
Target* UnusedTarget(const PassCache& aCache,
                     const Request& aRequest,
                     const Need& aNeed,
                     Micros aNow)
{
  const auto found = std::find_if(
    aCache.mFresh.begin(), aCache.mFresh.end(), [&](const Target* aTarget) {
      return BoundedRate(*aTarget, aNow) && !aTarget->mUnavailable &&
             !aTarget->mLeaving && !IsResting(*aTarget, aNow) &&
             rate_share::IsIdle(aTarget->mShare, aNow) &&
             aRequest.mTried.count(aTarget->mId) == 0 &&
             HasFreeSlot(*aTarget, aNow) &&
             aNow + ExpectedTime(*aTarget, aNeed, aNow) <=
               aRequest.mObjectiveAt;
    });
  return found == aCache.mFresh.end() ? nullptr : *found;
}

// A request waits for a target that meets its objective as long as one may
// become available in time: targets change their speed several times a second.
Choice ChooseAmong(State& aState,
                   PassCache& aCache,
                   const Request& aRequest,
                   const Need& aNeed,
                   Micros aNow)
{
  if (!FitsLink(aState, aNeed)) {
    const bool canWait = aNow < GiveUpAt(aRequest, aNeed);
    return { canWait ? Verdict::Wait : Verdict::OutOfTime, nullptr };
  }
  if (Target* unused = UnusedTarget(aCache, aRequest, aNeed, aNow)) {
    return { Verdict::Send, unused };
  }
  const Service& service = *aNeed.mService;
  const bool reportsLoad = service.mReportsLoad;
  // A late request gets one round of probes: requests that are on time need the
  // probe budget.
  const bool late = aNow + aNeed.mWork > aRequest.mObjectiveAt;
  const bool mayProbe =
    reportsLoad && aRequest.mProbeRound < (late ? 1 : kProbeRounds);
  Target* best =
    reportsLoad
      ? BestFresh(aCache, aRequest, aNeed, aNow)
      : Best(AllTargets(aState, service, aRequest), aRequest, aNeed, aNow);
  if (best != nullptr && HasFreeSlot(*best, aNow) &&
      (IsUncrowded(*best, aNeed.mService->mCurve, aNow) ||
       aNeed.mService->mSpareCapacityShare > kAmpleSpareCapacity) &&
      aNow + ExpectedTime(*best, aNeed, aNow) <= aRequest.mObjectiveAt) {
    return { Verdict::Send, best };
  }
  if (mayProbe) {
    return { Verdict::ProbeMore, nullptr };
  }
  if (best == nullptr && !AnyUntried(aState, aRequest, aNow)) {
    return { Verdict::NoTarget, nullptr };
  }
  if (aRequest.mHedging) {
    best =
      best != nullptr
        ? best
        : Best(AllTargets(aState, service, aRequest), aRequest, aNeed, aNow);
    return ChooseHedge(aRequest, aNeed, best, aNow);
  }
  const auto wanted = static_cast<Micros>(kWorkMargin * aNeed.mWork);
  if (aNow + wanted + kRecheckDelay < aRequest.mObjectiveAt) {
    return { Verdict::Wait, nullptr };
  }
  return LateChoice(aState, aCache, aRequest, aNeed, best, aNow);
}

// What other requests share covers targets that this one may not reach.
Choice ChooseWithinHomes(State& aState,
                         const PassCache& aCache,
                         const Request& aRequest,
                         const Need& aNeed,
                         Micros aNow)
{
  PassCache own;
  std::copy_if(aCache.mFresh.begin(),
               aCache.mFresh.end(),
               std::back_inserter(own.mFresh),
               [&](const Target* aTarget) {
                 return MayReach(aState, aRequest, *aTarget);
               });
  return ChooseAmong(aState, own, aRequest, aNeed, aNow);
}

} // namespace

Micros GiveUpAt(const Request& aRequest, const Need& aNeed)
{
  const Micros total = aRequest.mDeadline - aRequest.mArrivedAt;
  const auto reserved =
    static_cast<Micros>(kTimeKeptForRetry * static_cast<double>(total));
  return aRequest.mDeadline - std::max(reserved, aNeed.mWork + kRecheckDelay);
}

Choice Choose(State& aState,
              PassCache& aCache,
              const Request& aRequest,
              const Need& aNeed,
              Micros aNow)
{
  return aRequest.mHomes.mBound
           ? ChooseWithinHomes(aState, aCache, aRequest, aNeed, aNow)
           : ChooseAmong(aState, aCache, aRequest, aNeed, aNow);
}

Need NeedOf(const State& aState, const Request& aRequest)
{
  Need need;
  need.mDataCentre = aState.mDataCentre;
  need.mService = &aState.mServices.at(aRequest.mService);
  const auto found = aState.mStatistics.find(aRequest.mRoute);
  if (found != aState.mStatistics.end() && found->second.mWork > 0) {
    need.mWork = static_cast<Micros>(found->second.mWork);
    need.mAnswerBytes = found->second.mAnswerBytes;
    return need;
  }
  const Micros objective = aRequest.mObjectiveAt - aRequest.mArrivedAt;
  need.mWork =
    static_cast<Micros>(kInitialWorkShare * static_cast<double>(objective));
  need.mAnswerBytes =
    aRequest.mKind == policy::RouteKind::Download ? kInitialDownloadBytes : 0;
  return need;
}

} // namespace geraniumpond::dispatch
