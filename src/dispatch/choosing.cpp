#include "internal.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

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
/// A late request looks for room this many times less often than others.
constexpr Micros kLatePause = 12;
/// A target has become slow when its work takes this many times as long as it
/// did at the choice.
constexpr double kSlowedDown = 1.8;
/// After this many times the expected time a target counts as stuck whatever
/// it says of itself.
constexpr Micros kOverdue = 3;
/// A waiting request looks for a free target this many times in the time of
/// its work: each look costs probes.
constexpr Micros kLooksPerWork = 10;
/// A refused client comes back after about this part of the time that it has
/// left, so that as much is left for its work.
constexpr Micros kReturnShare = 3;
/// Where more of the targets asked have room, one may be filled beyond the
/// number with which it does most work: the next request finds another.
constexpr double kAmpleRoom = 0.6;
/// Work assumed of a route without answers yet, as a share of its objective.
constexpr double kFirstWork = 0.35;

/// \brief What is to be done with a waiting request.
enum class Verdict
{
  Send,
  AskMore,
  LookAgain,
  Hopeless,
  NoTarget
};

/// \brief What all waiting requests of a service share while they are served in
/// turn at one moment.
struct Look
{
  /// Targets whose report is fresh.
  std::vector<Target*> mFresh;
  /// The cheapest of them for a first attempt, by work and bytes of the answer;
  /// void once a request was sent to one.
  std::map<std::pair<Micros, double>, Target*> mBest;
};

struct Choice
{
  Verdict mVerdict = Verdict::LookAgain;
  Target* mTarget = nullptr;
};

bool IsAsking(const State& aState, const Request& aRequest, Micros aNow)
{
  if (aNow >= aRequest.mAskedUntil) {
    return false;
  }
  return std::any_of(aRequest.mAsked.begin(),
                     aRequest.mAsked.end(),
                     [&](const std::string& aId) {
                       const auto found = aState.mTargets.find(aId);
                       return found != aState.mTargets.end() &&
                              found->second.mProbing;
                     });
}

// Targets whose report is fresh. A service may have a thousand, and each
// waiting request is looked at whenever one answers: to walk through all of
// them took a host with many requests milliseconds for each.
std::vector<Target*> FreshTargets(State& aState, Service& aService, Micros aNow)
{
  std::vector<Target*> fresh;
  std::deque<std::string> reported;
  for (std::string& id : aService.mReported) {
    const auto found = aState.mTargets.find(id);
    if (found != aState.mTargets.end() && IsFresh(found->second, aNow)) {
      fresh.push_back(&found->second);
      reported.push_back(std::move(id));
    }
  }
  aService.mReported = std::move(reported);
  return fresh;
}

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
std::size_t RoomSeen(const Look& aLook, const Need& aNeed, Micros aNow)
{
  const auto has = [&](const Target* aTarget) {
    return !aTarget->mSuspect && HasRoomInLimit(*aTarget, aNow) &&
           IsUncrowded(*aTarget, aNeed.mService->mCurve, aNow) &&
           aTarget->mReport->mSlowness <= kUsualSlowness;
  };
  return static_cast<std::size_t>(
    std::count_if(aLook.mFresh.begin(), aLook.mFresh.end(), has));
}

// Where few targets are left all of them together are enough.
std::size_t UsableTargets(const State& aState, const Request& aRequest)
{
  const auto& subset = aState.mServices.at(aRequest.mService).mSubset;
  return static_cast<std::size_t>(
    std::count_if(subset.begin(), subset.end(), [&](const std::string& aId) {
      const Target& target = aState.mTargets.at(aId);
      return !target.mSuspect && MayEverTake(target);
    }));
}

// When a request that found no room is refused.
Micros GiveUpAt(const Request& aRequest, const Need& aNeed)
{
  const Micros whole = aRequest.mDeadline - aRequest.mArrivedAt;
  const auto kept =
    static_cast<Micros>(kKeptForReturn * static_cast<double>(whole));
  return aRequest.mDeadline - std::max(kept, aNeed.mWork + kLookAgain);
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
                  const Look& aLook,
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
    std::min(kRoomForLate, UsableTargets(aState, aRequest));
  return IsFresh(aTarget, aNow) &&
         IsUncrowded(aTarget, aNeed.mService->mCurve, aNow) &&
         RoomSeen(aLook, aNeed, aNow) >= wanted;
}

// With its objective lost a request takes only room that others leave: a slot
// that it held would make one more request late. It waits for such room where
// others found it lately; where they did not it is refused at once, and its
// client told to come back later.
Choice LateChoice(State& aState,
                  const Look& aLook,
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
             rate_share::IsUnused(aTarget->mShare, aNow) &&
             aRequest.mTried.count(aTarget->mId) == 0 &&
             HasFreeSlot(*aTarget, aNow) &&
             aNow + ExpectedTime(*aTarget, aNeed, aNow) <=
               aRequest.mObjectiveAt;
    });
  return found == aLook.mFresh.end() ? nullptr : *found;
}

// A request waits for a target that meets its objective as long as one may
// turn up in time: targets change their speed several times a second.
Choice Choose(State& aState, Look& aLook, const Request& aRequest, Micros aNow)
{
  const Need need = NeedOf(aState, aRequest);
  if (!FitsLink(aState, need)) {
    const bool goesOn = aNow < GiveUpAt(aRequest, need);
    return { goesOn ? Verdict::LookAgain : Verdict::Hopeless, nullptr };
  }
  if (Target* unused = UnusedTarget(aLook, aRequest, need, aNow)) {
    return { Verdict::Send, unused };
  }
  const Service& service = *need.mService;
  const bool tells = service.mTellsLoad;
  // A late request asks once: those in time need the probes.
  const bool late = aNow + need.mWork > aRequest.mObjectiveAt;
  const bool more = tells && aRequest.mAskRound < (late ? 1 : kAskRounds);
  Target* best = tells
                   ? BestFresh(aLook, aRequest, need, aNow)
                   : Best(AllTargets(aState, service), aRequest, need, aNow);
  if (best != nullptr && HasFreeSlot(*best, aNow) &&
      (IsUncrowded(*best, need.mService->mCurve, aNow) ||
       need.mService->mRoomShare > kAmpleRoom) &&
      aNow + ExpectedTime(*best, need, aNow) <= aRequest.mObjectiveAt) {
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
             : Best(AllTargets(aState, service), aRequest, need, aNow);
    return SecondChoice(aRequest, need, best, aNow);
  }
  const auto wanted = static_cast<Micros>(kWorkMargin * need.mWork);
  if (aNow + wanted + kLookAgain < aRequest.mObjectiveAt) {
    return { Verdict::LookAgain, nullptr };
  }
  return LateChoice(aState, aLook, aRequest, need, best, aNow);
}

void LookLater(State& aState, Micros aNow, Request& aRequest)
{
  aRequest.mAsked.clear();
  aRequest.mAskRound = 0;
  aRequest.mAskedUntil = 0;
  const Need need = NeedOf(aState, aRequest);
  const bool late = aNow + need.mWork > aRequest.mObjectiveAt;
  const Micros pause =
    std::max(kLookAgain, need.mWork / kLooksPerWork) * (late ? kLatePause : 1);
  // The last look comes in time for a refusal that leaves time to come back.
  const Micros giveUpAt = GiveUpAt(aRequest, need);
  aRequest.mLookAgainAt =
    aNow < giveUpAt ? std::min(aNow + pause, giveUpAt) : aNow + pause;
  SetTimer(aState, aRequest);
}

// The first attempt still works: a second one starts only where a target is
// free now.
void StopHedging(State& aState, Micros aNow, Request& aRequest)
{
  StopWaiting(aState, aRequest);
  aRequest.mHedging = false;
  const Need need = NeedOf(aState, aRequest);
  aRequest.mHedgeAt = aNow + std::max(4 * kLookAgain, need.mWork / 2);
  SetTimer(aState, aRequest);
}

// Targets change their speed while they work. One that answers and is as fast
// as it was has a long piece of work: a second attempt would not end sooner.
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
                          kSlowedDown * std::max(1.0, aAttempt.mSlowness);
      const bool overdue =
        aNow - aAttempt.mSentAt > kOverdue * aAttempt.mExpected;
      return slower || overdue;
    });
}

void SendOut(State& aState,
             Micros aNow,
             Request& aRequest,
             Target& aTarget,
             Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  const bool extra = aRequest.mSent > 0;
  const quarantine::Verdict verdict =
    JudgeRequest(aState, aRequest.mIdentity, aRequest.mService, aNow);
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
  if (extra && !TakeExtra(aState, service.mExtra, aNow)) {
    ++aState.mCounters["extra_over_budget"];
    if (aRequest.mHedging) {
      StopHedging(aState, aNow, aRequest);
      return;
    }
    Refuse(aState,
           aNow,
           aRequest.mId,
           aRequest.mMayHaveRun ? 502 : 503,
           RetryAfter(aState, 0),
           "extra_attempts_spent",
           aOut);
    return;
  }
  StopWaiting(aState, aRequest);
  SendTo(aState, aNow, aRequest, aTarget, aOut);
}

// In time it cannot be any more: it comes back when others may have gone.
Micros ReturnTime(const Request& aRequest, Micros aNow)
{
  return (aRequest.mDeadline - aNow) / kReturnShare;
}

// One waiting request: sent, refused, or left to wait.
void Serve(State& aState,
           Micros aNow,
           Look& aLook,
           Request& aRequest,
           Effects& aOut)
{
  if (IsAsking(aState, aRequest, aNow)) {
    return;
  }
  const Choice choice = Choose(aState, aLook, aRequest, aNow);
  const bool hedging = aRequest.mHedging;
  switch (choice.mVerdict) {
    case Verdict::Send:
      if (hedging && (!HasFreeSlot(*choice.mTarget, aNow) ||
                      !LooksStuck(aState, aRequest, aNow))) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      SendOut(aState, aNow, aRequest, *choice.mTarget, aOut);
      aLook.mBest.clear();
      return;
    case Verdict::AskMore:
      if (aNow < aRequest.mLookAgainAt) {
        return;
      }
      if (Ask(aState, aNow, aRequest, aOut)) {
        SetTimer(aState, aRequest);
        return;
      }
      Serve(aState, aNow, aLook, aRequest, aOut);
      return;
    case Verdict::LookAgain:
      if (hedging) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      LookLater(aState, aNow, aRequest);
      return;
    case Verdict::Hopeless:
    case Verdict::NoTarget:
      if (hedging) {
        StopHedging(aState, aNow, aRequest);
        return;
      }
      Refuse(aState,
             aNow,
             aRequest.mId,
             aRequest.mMayHaveRun ? 502 : 503,
             RetryAfter(aState, ReturnTime(aRequest, aNow)),
             choice.mVerdict == Verdict::Hopeless ? "deadline_out_of_reach"
                                                  : "no_target",
             aOut);
      return;
  }
}

} // namespace

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

Micros ExpectedWait(const Service& aService, const Request& aRequest)
{
  const WaitKey own{ aRequest.mPriority, aRequest.mDeadline, aRequest.mId };
  const auto ahead = std::distance(aService.mWaiting.begin(),
                                   aService.mWaiting.lower_bound(own));
  return static_cast<Micros>(static_cast<double>(ahead) *
                             aService.mDispatchInterval);
}

Micros RetryAfter(State& aState, Micros aExpectedWait)
{
  // Clients that were refused together must not come back together.
  constexpr Micros kLeast = 100 * kMillisecond;
  const Micros middle = std::max(kLeast, aExpectedWait);
  return middle / 2 +
         static_cast<Micros>(NextPoint(aState) * static_cast<double>(middle));
}

void StartWaiting(State& aState, Micros aNow, Request& aRequest, Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  aRequest.mWaiting = true;
  aRequest.mAsked.clear();
  aRequest.mAskRound = 0;
  aRequest.mLookAgainAt = 0;
  service.mWaiting.insert(
    { aRequest.mPriority, aRequest.mDeadline, aRequest.mId });
  Ask(aState, aNow, aRequest, aOut);
  SetTimer(aState, aRequest);
}

void StopWaiting(State& aState, Request& aRequest)
{
  if (!aRequest.mWaiting) {
    return;
  }
  aRequest.mWaiting = false;
  aState.mServices[aRequest.mService].mWaiting.erase(
    { aRequest.mPriority, aRequest.mDeadline, aRequest.mId });
}

void Pump(State& aState,
          Micros aNow,
          const std::string& aService,
          Effects& aOut)
{
  const auto service = aState.mServices.find(aService);
  if (service == aState.mServices.end()) {
    return;
  }
  // Requests that can still meet their objective go first. In order of
  // deadlines alone, an overload would make every request wait until its
  // objective is lost.
  std::vector<std::uint64_t> order;
  std::vector<std::uint64_t> late;
  for (const WaitKey& key : service->second.mWaiting) {
    const Request& request = aState.mRequests.at(key.mRequest);
    const bool lost =
      aNow + NeedOf(aState, request).mWork > request.mObjectiveAt;
    (lost ? late : order).push_back(key.mRequest);
  }
  order.insert(order.end(), late.begin(), late.end());
  Look look;
  look.mFresh = FreshTargets(aState, service->second, aNow);
  for (const std::uint64_t id : order) {
    const auto found = aState.mRequests.find(id);
    if (found != aState.mRequests.end() && found->second.mWaiting) {
      Serve(aState, aNow, look, found->second, aOut);
    }
  }
}

} // namespace geraniumpond::dispatch
