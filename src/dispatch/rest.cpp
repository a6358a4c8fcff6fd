#include "internal.h"

#include <algorithm>

// A target that turns a request away may ask this host to send nothing for a
// while.
namespace geraniumpond::dispatch {

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
  aTarget.mRestUntil = std::max(aTarget.mRestUntil, aNow + aRest.mFor);
}

bool IsResting(const Target& aTarget, Micros aNow) noexcept
{
  return aNow < aTarget.mRestUntil;
}

} // namespace geraniumpond::dispatch
