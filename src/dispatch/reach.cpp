#include "reach.h"

#include <algorithm>

// A host that has lost its links to the targets still runs, is in touch and
// takes clients. It finds out by the silence of all targets that it asks; that
// it is the one cut off, and not that the targets are down, is shown by an
// answer that another host got from them meanwhile.
namespace geraniumpond::dispatch {

namespace {

constexpr Micros kSilentAfter = kMaxProbeWait;
/// Longer than a lost packet and its retransmission.
constexpr Micros kLostAfter = 300 * kMillisecond;
/// A host that was cut off has to hear targets for this long before it counts
/// as connected, so that links that come and go do not make it alternate.
constexpr Micros kHeardAgainAfter = 1 * kSecond;
constexpr Micros kCheckInterval = 50 * kMillisecond;
/// While a service is silent, another one that has not answered for this long
/// is asked as well; and how many of them at a check.
constexpr Micros kQuietAfter = 200 * kMillisecond;
constexpr std::size_t kServicesAsked = 32;
/// A service that has not answered for this much longer than another one is
/// down itself: its silence says nothing about this host's links.
constexpr Micros kDownAfter = 5 * kSecond;
/// A host that handles its timers this late may find answers that it has not
/// read yet.
constexpr Micros kLateThreshold = 30 * kMillisecond;

// A service without load reports is not asked before each request.
bool IsUnreached(const State& aState, const Service& aService, Micros aNow)
{
  if (aService.mReportsLoad) {
    return IsSilent(aService, aNow);
  }
  return std::all_of(aService.mSubset.begin(),
                     aService.mSubset.end(),
                     [&](const std::string& aId) {
                       return aState.mTargets.at(aId).mUnavailable;
                     });
}

bool ReachesNothing(const State& aState, Micros aNow)
{
  return std::all_of(
    aState.mServices.begin(), aState.mServices.end(), [&](const auto& aEntry) {
      return aEntry.second.mTargets.empty() ||
             IsUnreached(aState, aEntry.second, aNow);
    });
}

// Another host reached a service after this one had lost it.
bool IsProvenCutOff(const State& aState, Micros aNow)
{
  return std::any_of(
    aState.mServices.begin(), aState.mServices.end(), [&](const auto& aEntry) {
      const Service& service = aEntry.second;
      return IsLost(service, aNow) &&
             service.mServedElsewhereAt >= service.mSilentSince;
    });
}

Micros LastAnswerAt(const State& aState)
{
  Micros last = 0;
  for (const auto& [name, service] : aState.mServices) {
    last = service.mTargets.empty() ? last : std::max(last, service.mHeardAt);
  }
  return last;
}

// A cut-off host sends few probes. In a short outage they are too few to mark a
// service as silent, so a single unanswered probe counts.
bool LacksAnswers(const State& aState, Micros aNow)
{
  const Micros last = LastAnswerAt(aState);
  return std::any_of(
    aState.mServices.begin(), aState.mServices.end(), [&](const auto& aEntry) {
      const Service& service = aEntry.second;
      const Micros asked = service.mUnansweredSince;
      const bool isDown =
        service.mTargets.empty() || last - service.mHeardAt >= kDownAfter;
      return !isDown && (IsSilent(service, aNow) ||
                         (asked != 0 && aNow - asked >= kSilentAfter));
    });
}

// Services without requests would otherwise never be known to be unreached.
void AskQuietServices(State& aState, Micros aNow, Effects& aOut)
{
  std::size_t asked = 0;
  for (auto& [name, service] : aState.mServices) {
    if (service.mSilentSince != 0 || service.mSubset.empty() ||
        service.mHealthPath.empty() || aNow - service.mHeardAt < kQuietAfter) {
      continue;
    }
    Target& target = aState.mTargets.at(
      service.mSubset[NextRandom(aState) % service.mSubset.size()]);
    if (target.mProbing || target.mLeaving || IsResting(target, aNow)) {
      continue;
    }
    if (asked == kServicesAsked ||
        !budget::Take(aState.mProbeBudget, aNow, 1)) {
      return;
    }
    ++asked;
    Probe(aState, aNow, target, aOut);
  }
}

void SetCutOff(State& aState, bool aCutOff, Effects& aOut)
{
  aState.mReach.mCutOff = aCutOff;
  Log(aOut,
      2,
      aCutOff ? "event=cut_off_from_targets targets=" +
                  std::to_string(aState.mTargets.size())
              : "event=targets_reached_again");
}

} // namespace

void RecordQuestion(Service& aService, Target& aTarget, Micros aNow) noexcept
{
  if (aService.mUnansweredSince == 0) {
    aService.mUnansweredSince = aNow;
  }
  if (!aService.mReportsLoad ||
      aTarget.mAskedAtAnswer == aService.mAnswerCount) {
    return;
  }
  aTarget.mAskedAtAnswer = aService.mAnswerCount;
  ++aService.mAskedTargets;
  const std::size_t enough = std::min(kMinProbes, aService.mSubset.size());
  if (aService.mSilentSince == 0 && aService.mAskedTargets >= enough) {
    aService.mSilentSince = aNow;
  }
}

void RecordServiceAnswer(State& aState,
                         Service& aService,
                         Micros aNow,
                         Effects& aOut)
{
  if (IsSilent(aService, aNow)) {
    Log(aOut,
        1,
        "event=service_heard service=" + aService.mName +
          " silent_ms=" + Milliseconds(aNow - aService.mSilentSince) +
          " cut_off=" + (aState.mReach.mCutOff ? "yes" : "no"));
  }
  aService.mSilentSince = 0;
  aService.mUnansweredSince = 0;
  aService.mAskedTargets = 0;
  ++aService.mAnswerCount;
  aService.mHeardAt = aNow;
}

void RecordServedElsewhere(Service& aService, Micros aNow) noexcept
{
  aService.mServedElsewhereAt = aNow;
}

bool IsSilent(const Service& aService, Micros aNow) noexcept
{
  return aService.mSilentSince != 0 &&
         aNow - aService.mSilentSince >= kSilentAfter;
}

bool IsLost(const Service& aService, Micros aNow) noexcept
{
  return aService.mSilentSince != 0 &&
         aNow - aService.mSilentSince >= kLostAfter;
}

bool IsCutOff(const State& aState) noexcept
{
  return aState.mReach.mCutOff;
}

bool AwaitsAnyAnswer(const State& aState) noexcept
{
  return std::any_of(
    aState.mServices.begin(), aState.mServices.end(), [](const auto& aEntry) {
      return aEntry.second.mAskedTargets > 0;
    });
}

std::size_t SilentServices(const State& aState, Micros aNow) noexcept
{
  return static_cast<std::size_t>(std::count_if(
    aState.mServices.begin(), aState.mServices.end(), [&](const auto& aEntry) {
      return IsSilent(aEntry.second, aNow);
    }));
}

void IgnoreOwnDelay(State& aState, Micros aNow) noexcept
{
  if (aNow - NextTick(aState) < kLateThreshold) {
    return;
  }
  for (auto& [name, service] : aState.mServices) {
    service.mSilentSince = service.mSilentSince == 0 ? 0 : aNow;
    service.mUnansweredSince = service.mUnansweredSince == 0 ? 0 : aNow;
  }
}

bool UpdateReach(State& aState, Micros aNow, Effects& aOut)
{
  Reach& reach = aState.mReach;
  if (aNow < reach.mCheckedAt + kCheckInterval) {
    return false;
  }
  reach.mCheckedAt = aNow;
  // A host that is cut off has no clients whose requests would ask.
  const bool silent = SilentServices(aState, aNow) > 0;
  if (silent || reach.mCutOff) {
    AskQuietServices(aState, aNow, aOut);
  }
  const bool isHeard = reach.mCutOff ? !LacksAnswers(aState, aNow) : !silent;
  if (isHeard) {
    reach.mHeardSince = reach.mHeardSince == 0 ? aNow : reach.mHeardSince;
    if (reach.mCutOff && aNow - reach.mHeardSince >= kHeardAgainAfter) {
      SetCutOff(aState, false, aOut);
    }
    return true;
  }
  reach.mHeardSince = 0;
  if (silent && !reach.mCutOff && IsProvenCutOff(aState, aNow) &&
      ReachesNothing(aState, aNow)) {
    SetCutOff(aState, true, aOut);
  }
  return true;
}

} // namespace geraniumpond::dispatch
