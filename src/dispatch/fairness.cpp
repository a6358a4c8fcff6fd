#include "internal.h"

#include <geraniumpond/hash.h>

#include <cmath>

// Counts the demand by service and priority for other hosts, and holds less
// urgent requests back while more urgent ones lack room at any host.
namespace geraniumpond::dispatch {

namespace {

constexpr std::size_t kArrived = 0;
constexpr std::size_t kLacking = 1;

rollup::Key KeyOf(const std::string& aService, int aPriority)
{
  return rollup::MakeKey(rollup::Subject::Priority,
                         Hash64(aService + "/" + std::to_string(aPriority)));
}

// Totals name priorities by digest only.
void LearnPriorities(Fairness& aFairness, const policy::TrafficPolicy& aPolicy)
{
  if (aFairness.mPolicyVersion == aPolicy.mVersion) {
    return;
  }
  aFairness.mPolicyVersion = aPolicy.mVersion;
  aFairness.mPriorities.clear();
  for (const policy::Route& route : aPolicy.mRoutes) {
    aFairness.mPriorities.insert(route.mPriority);
  }
  if (!aPolicy.mAccounts) {
    return;
  }
  for (const accounts::Account& account : aPolicy.mAccounts->mAccounts) {
    if (account.mPriority) {
      aFairness.mPriorities.insert(*account.mPriority);
    }
  }
}

fair_admission::Levels LevelsOf(const std::string& aService,
                                const std::set<int>& aPriorities,
                                const rollup::Table& aTotals)
{
  fair_admission::Levels levels;
  for (const int priority : aPriorities) {
    const auto found = aTotals.find(KeyOf(aService, priority));
    if (found != aTotals.end()) {
      levels[priority] = { found->second[kArrived], found->second[kLacking] };
    }
  }
  return levels;
}

// For each priority: those that lack room, those that arrived, and the
// percentage that is admitted.
std::string Describe(const fair_admission::Threshold& aThreshold,
                     const fair_admission::Levels& aLevels)
{
  std::string text;
  for (const auto& [priority, demand] : aLevels) {
    const auto found = aThreshold.mShares.find(priority);
    const double share = found == aThreshold.mShares.end() ? 1 : found->second;
    text += " priority_" + std::to_string(priority) + "=" +
            std::to_string(demand.mLacking) + "/" +
            std::to_string(demand.mArrived) + "/" +
            std::to_string(std::lround(100 * share)) + "%";
  }
  return text;
}

fair_admission::Window& WindowOf(Fairness& aFairness, const Request& aRequest)
{
  return aFairness.mServices[aRequest.mService].mOwn[aRequest.mPriority];
}

} // namespace

void SetFairAcrossHosts(State& aState, bool aWanted)
{
  if (!aWanted) {
    aState.mFairness.reset();
  } else if (!aState.mFairness) {
    aState.mFairness.emplace();
  }
}

void AddOwnDemand(const State& aState, Micros aNow, rollup::Table& aTable)
{
  if (!aState.mFairness) {
    return;
  }
  for (const auto& [name, service] : aState.mFairness->mServices) {
    for (const auto& [priority, window] : service.mOwn) {
      const fair_admission::Demand demand =
        fair_admission::DemandOf(window, aNow);
      if (demand.mArrived > 0 || demand.mLacking > 0) {
        aTable[KeyOf(name, priority)] = { demand.mArrived, demand.mLacking };
      }
    }
  }
}

void HandleDemandTotals(State& aState,
                        Micros aNow,
                        const rollup::Totals& aTotals,
                        Effects& aOut)
{
  if (!aState.mFairness || !aState.mPolicy) {
    return;
  }
  Fairness& fairness = *aState.mFairness;
  LearnPriorities(fairness, *aState.mPolicy);
  const Micros age = aNow - aTotals.mToldAt;
  for (auto& [name, service] : fairness.mServices) {
    const fair_admission::Levels levels =
      LevelsOf(name, fairness.mPriorities, aTotals.mSum.mTable);
    if (fair_admission::UpdateThreshold(
          service.mThreshold, levels, aTotals.mToldAt, aNow)) {
      Log(aOut,
          1,
          "event=urgent_room service=" + name +
            Describe(service.mThreshold, levels) +
            " age_ms=" + Milliseconds(age));
    }
  }
}

bool IsHeldBack(State& aState, Micros aNow, const Request& aRequest)
{
  // The host that passed a request on has admitted it.
  if (!aState.mFairness || aRequest.mIsRelayed) {
    return false;
  }
  fair_admission::CountArrival(WindowOf(*aState.mFairness, aRequest), aNow);
  const double share = fair_admission::AdmittedShare(
    aState.mFairness->mServices[aRequest.mService].mThreshold,
    aRequest.mPriority,
    aNow);
  return share < 1 && NextUniform(aState) >= share;
}

Micros HeldBackDelay(State& aState, Micros aNow, const Request& aRequest)
{
  const Micros spare =
    aRequest.mObjectiveAt - aNow - NeedOf(aState, aRequest).mWork;
  return spare > 0 ? RetryAfter(aState, spare / 2)
                   : RetryDelay(aState, aRequest, aNow);
}

void CountRefusal(State& aState, Micros aNow, const Request& aRequest)
{
  // A request that was sent has found room; a later refusal is due to its
  // targets.
  if (aState.mFairness && !aRequest.mIsRelayed && aRequest.mSent == 0) {
    fair_admission::CountLacking(WindowOf(*aState.mFairness, aRequest), aNow);
  }
}

void CountSend(State& aState, Micros aNow, const Request& aRequest)
{
  if (!aState.mFairness || aRequest.mIsRelayed || aRequest.mSent != 1 ||
      IsReturn(aRequest)) {
    return;
  }
  if (aNow + NeedOf(aState, aRequest).mWork > aRequest.mObjectiveAt) {
    fair_admission::CountLacking(WindowOf(*aState.mFairness, aRequest), aNow);
  }
}

} // namespace geraniumpond::dispatch
