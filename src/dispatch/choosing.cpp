#include "choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

// Which target a waiting request goes to, or what else is to be done with it.
namespace geraniumpond::dispatch {

namespace {

/// Work varies around its mean: with this many times the mean left a request
/// mostly makes it.
constexpr double kWorkMargin = 1.5;
/// Targets with room that a late request must see to take one of them: of
/// eight that are asked, fewer are found by those in time as well.
constexpr std::size_t kRoomForLate = 3;
/// Share of late requests that must have found room lately for another one to
/// wait for it; smoothed over five of them, and forgotten in this time. Where
/// deadlines are short beside an overload waiting is in vain; where they are
/// long most find room when it ends.
constexpr double kWorthWaiting = 0.7;
constexpr double kLateGain = 0.2;
constexpr double kLateHalfLife = 4.0 * kSecond;
/// A late request that found no room is refused while this share of its time is
/// left: enough for its client to come back and be served elsewhere, where a
/// refusal at the end of the time leaves nothing to do.
constexpr double kKeptForReturn = 0.5;
/// Where more of the targets asked have room, one may be filled beyond the
/// number with which it does most work: the next request finds another.
constexpr double kAmpleRoom = 0.6;
/// Work assumed of a route without answers yet, as a share of its objective.
constexpr double kFirstWork = 0.35;

std::vector<Target*> AllTargets(State& aState, const Service& aService)
{
  std::vector<Target*> all;
  for (const std::string& id : aService.mTargets) {
    all.push_back(&aState.mTargets.at(id));
  }
  return all;
}

// The cheapest target that the request has not been sent to.
Target* Best(const std::vector<Target*>& aTargets,
             const Request& aRequest,
             const Need& aNeed,
             Micros aNow)
{
  Target* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (Target* target : aTargets) {
    if (target->mSuspect || !HasRoomInLimit(*target, aNow) ||
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

// Requests of a route that have not been sent yet share their choice.
Target* BestFresh(Look& aLook,
                  const Request& aRequest,
                  const Need& aNeed,
                  Micros aNow)
{
  if (!aRequest.mTried.empty()) {
    return Best(aLook.mFresh, aRequest, aNeed, aNow);
  }
  const auto key = std::make_pair(aNeed.mWork, aNeed.mAnswerBytes);
  const auto found = aLook.mBest.find(key);
  if (found != aLook.mBest.end()) {
    return found->second;
  }
  Target* best = Best(aLook.mFresh, aRequest, aNeed, aNow);
  aLook.mBest.emplace(key, best);
  return best;
}

bool AnyUntried(const State& aState, const Request& aRequest)
{
  const std::vector<std::string>& targets =
    aState.mServices.at(aRequest.mService).mTargets;
  return std::any_of(
    targets.begin(), targets.end(), [&](const std::string& aId) {
      return aRequest.mTried.count(aId) == 0 &&
             MayEverTake(aState.mTargets.at(aId));
    });
}

// Targets of the last look that would take a request at about their usual pace.
std::size_t RoomSeen(Look& aLook, const Need& aNeed, Micros aNow)
{
  if (aLook.mRoom) {
    return *aLook.mRoom;
  }
  const auto has = [&](const Target* aTarget) {
    return !aTarget->mSuspect && HasRoomInLimit(*aTarget, aNow) &&
           IsUncrowded(*aTarget, aNeed.mService->mCurve, aNow) &&
           aTarget->mReport->mSlowness <= kUsualSlowness;
  };
  aLook.mRoom = static_cast<std::size_t>(
    std::count_if(aLook.mFresh.begin(), aLook.mFresh.end(), has));
  return *aLook.mRoom;
}

// Where few targets are left all of them together are enough.
std::size_t UsableTargets(const State& aState,
                          Look& aLook,
                          const Request& aRequest)
{
  if (aLook.mUsable) {
    return *aLook.mUsable;
  }
  const auto& subset = aState.mServices.at(aRequest.mService).mSubset;
  aLook.mUsable = static_cast<std::size_t>(
    std::count_if(subset.begin(), subset.end(), [&](const std::string& aId) {
      const Target& target = aState.mTargets.at(aId);
      return !target.mSuspect && MayEverTake(target);
    }));
  return *aLook.mUsable;
}

double LateServed(const Service& aService, Micros aNow)
{
  const double age = static_cast<double>(aNow - aService.mLateAt);
  return 1 - (1 - aService.mLateServed) * std::exp2(-age / kLateHalfLife);
}

void NoteLate(Service& aService, bool aServed, Micros aNow)
{
  const double share = LateServed(aService, aNow);
  aService.mLateServed = share + kLateGain * ((aServed ? 1 : 0) - share);
  aService.mLateAt = aNow;
}

// A second attempt is for a request that is late or about to be; the first one
// is left to its end where no target takes another without loss.
Choice SecondChoice(const Request& aRequest,
                    const Need& aNeed,
                    Target* aBest,
                    Micros aNow)
{
  const bool takes =
    aBest != nullptr && IsUncrowded(*aBest, aNeed.mService->mCurve, aNow) &&
    ExpectedTime(*aBest, aNeed, aNow) <= aRequest.mDeadline - aNow;
  return takes ? Choice{ Verdict::Send, aBest }
               : Choice{ Verdict::Hopeless, nullptr };
}

bool HasSpareRoom(const State& aState,
                  Look& aLook,
                  const Request& aRequest,
                  const Need& aNeed,
                  const Target& aTarget,
                  Micros aNow)
{
  if (ExpectedTime(aTarget, aNeed, aNow) > aRequest.mDeadline - aNow) {
    return false;
  }
  if (!aNeed.mService->mTellsLoad) {
    return HasFreeSlot(aTarget, aNow);
  }
  const std::size_t wanted =
    std::min(kRoomForLate, UsableTargets(aState, aLook, aRequest));
  return IsFresh(aTarget, aNow) &&
         IsUncrowded(aTarget, aNeed.mService->mCurve, aNow) &&
         RoomSeen(aLook, aNeed, aNow) >= wanted;
}

// With its objective lost a request takes only room that others leave: a slot
// that it held would make one more request late. It waits for such room where
// others found it lately; where they did not it is refused at once, and its
// client told to come back later.
Choice LateChoice(State& aState,
                  Look& aLook,
                  const Request& aRequest,
                  const Need& aNeed,
                  Target* aBest,
                  Micros aNow)
{
  Service& service = aState.mServices[aRequest.mService];
  if (aBest != nullptr &&
      HasSpareRoom(aState, aLook, aRequest, aNeed, *aBest, aNow)) {
    NoteLate(service, true, aNow);
    return { Verdict::Send, aBest };
  }
  if (LateServed(service, aNow) < kWorthWaiting) {
    return { Verdict::Hopeless, nullptr };
  }
  if (aNow < GiveUpAt(aRequest, aNeed)) {
    return { Verdict::LookAgain, nullptr };
  }
  NoteLate(service, false, aNow);
  return { Verdict::Hopeless, nullptr };
}

// A target whose limit has been left unused: only an answer tells that it has
// ended.
Target* UnusedTarget(const Look& aLook,
                     const Request& aRequest,
                     const Need& aNeed,
                     Micros aNow)
{
  const auto found = std::find_if(
    aLook.mFresh.begin(), aLook.mFresh.end(), [&](const Target* aTarget) {
      return aTarget->mLimit && !aTarget->mSuspect &&
             rate_share::IsIdle(aTarget->mShare, aNow) &&
             aRequest.mTried.count(aTarget->mId) == 0 &&
             HasFreeSlot(*aTarget, aNow) &&
             aNow + ExpectedTime(*aTarget, aNeed, aNow) <=
               aRequest.mObjectiveAt;
    });
  return found == aLook.mFresh.end() ? nullptr : *found;
}

} // namespace

Micros GiveUpAt(const Request& aRequest, const Need& aNeed)
{
  const Micros whole = aRequest.mDeadline - aRequest.mArrivedAt;
  const auto kept =
    static_cast<Micros>(kKeptForReturn * static_cast<double>(whole));
  return aRequest.mDeadline - std::max(kept, aNeed.mWork + kLookAgain);
}

// A request waits for a target that meets its objective as long as one may
// turn up in time: targets change their speed several times a second.
Choice Choose(State& aState,
              Look& aLook,
              const Request& aRequest,
              const Need& aNeed,
              Micros aNow)
{
  if (!FitsLink(aState, aNeed)) {
    const bool goesOn = aNow < GiveUpAt(aRequest, aNeed);
    return { goesOn ? Verdict::LookAgain : Verdict::Hopeless, nullptr };
  }
  if (Target* unused = UnusedTarget(aLook, aRequest, aNeed, aNow)) {
    return { Verdict::Send, unused };
  }
  const Service& service = *aNeed.mService;
  const bool tells = service.mTellsLoad;
  // A late request asks once: those in time aNeed the probes.
  const bool late = aNow + aNeed.mWork > aRequest.mObjectiveAt;
  const bool more = tells && aRequest.mAskRound < (late ? 1 : kAskRounds);
  Target* best = tells
                   ? BestFresh(aLook, aRequest, aNeed, aNow)
                   : Best(AllTargets(aState, service), aRequest, aNeed, aNow);
  if (best != nullptr && HasFreeSlot(*best, aNow) &&
      (IsUncrowded(*best, aNeed.mService->mCurve, aNow) ||
       aNeed.mService->mRoomShare > kAmpleRoom) &&
      aNow + ExpectedTime(*best, aNeed, aNow) <= aRequest.mObjectiveAt) {
    return { Verdict::Send, best };
  }
  if (more) {
    return { Verdict::AskMore, nullptr };
  }
  if (best == nullptr && !AnyUntried(aState, aRequest)) {
    return { Verdict::NoTarget, nullptr };
  }
  if (aRequest.mHedging) {
    best = best != nullptr
             ? best
             : Best(AllTargets(aState, service), aRequest, aNeed, aNow);
    return SecondChoice(aRequest, aNeed, best, aNow);
  }
  const auto wanted = static_cast<Micros>(kWorkMargin * aNeed.mWork);
  if (aNow + wanted + kLookAgain < aRequest.mObjectiveAt) {
    return { Verdict::LookAgain, nullptr };
  }
  return LateChoice(aState, aLook, aRequest, aNeed, best, aNow);
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
  need.mWork = static_cast<Micros>(kFirstWork * static_cast<double>(objective));
  return need;
}

} // namespace geraniumpond::dispatch
