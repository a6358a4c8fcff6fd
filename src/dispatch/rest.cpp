#include "internal.h"

#include <algorithm>

// A target that turns a request away may ask this host to send nothing for a
// while. It has nothing in work then, so that by its load alone it would be
// preferred to all others. Until it has rested it gets neither requests nor
// probes.
namespace geraniumpond::dispatch {

namespace {

/// Hosts return to a target spread over this share of the rest.
constexpr double kReturnSpread = 0.125;
/// Clients that were refused return spread over this time.
constexpr Micros kClientSpread = 500 * kMillisecond;

} // namespace

// A shorter rest that is asked for later does not end a longer one.
void HandleStatedRest(State& aState,
                      Micros aNow,
                      Target& aTarget,
                      const StatedRest& aRest,
                      Effects& aOut)
{
  if (aRest.mKind == StatedRest::Kind::Absent) {
    return;
  }
  if (aRest.mKind == StatedRest::Kind::Invalid) {
    ++aState.mCounters["rests_unreadable"];
    Log(aOut, 2, "event=rest_unreadable target=" + aTarget.mId);
    return;
  }
  ++aState.mCounters["rests_asked"];
  if (!IsResting(aTarget, aNow)) {
    Log(aOut,
        2,
        "event=target_asks_rest target=" + aTarget.mId + " service=" +
          aTarget.mService + " rest_ms=" + Milliseconds(aRest.mFor));
  }
  const auto spread = static_cast<Micros>(NextUniform(aState) * kReturnSpread *
                                          static_cast<double>(aRest.mFor));
  aTarget.mRestUntil = std::max(aTarget.mRestUntil, aNow + aRest.mFor + spread);
  Service& service = aState.mServices[aTarget.mService];
  service.mRestUntil = std::max(service.mRestUntil, aTarget.mRestUntil);
}

// It holds for the incarnation: an announcement that says ready may be older.
void HandleLeaving(State& aState, Target& aTarget, Effects& aOut)
{
  if (aTarget.mLeaving) {
    return;
  }
  aTarget.mLeaving = true;
  ++aState.mCounters["targets_leaving"];
  Log(aOut,
      1,
      "event=target_leaves target=" + aTarget.mId +
        " service=" + aTarget.mService);
}

bool IsResting(const Target& aTarget, Micros aNow) noexcept
{
  return aNow < aTarget.mRestUntil;
}

std::optional<Micros> EarliestRestEnd(const State& aState,
                                      const Service& aService,
                                      Micros aNow)
{
  if (aNow >= aService.mRestUntil) {
    return std::nullopt;
  }
  std::optional<Micros> earliest;
  for (const std::string& id : aService.mTargets) {
    const Target& target = aState.mTargets.at(id);
    if (!IsResting(target, aNow)) {
      if (!target.mUnavailable && !target.mLeaving) {
        return std::nullopt;
      }
      continue;
    }
    earliest =
      std::min(earliest.value_or(target.mRestUntil), target.mRestUntil);
  }
  return earliest;
}

Micros DelayUntilRestEnd(State& aState, Micros aRestEnd, Micros aNow)
{
  return aRestEnd - aNow +
         static_cast<Micros>(NextUniform(aState) *
                             static_cast<double>(kClientSpread));
}

bool AcceptsRequests(const Target& aTarget, Micros aNow) noexcept
{
  return !aTarget.mLeaving && !IsResting(aTarget, aNow) &&
         IsWithinLimit(aTarget, aNow);
}

} // namespace geraniumpond::dispatch
