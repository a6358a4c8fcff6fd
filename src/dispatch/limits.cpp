#include "internal.h"

#include <cstdio>

// A target in need names a rate that it takes from all hosts together, in each
// of its answers for as long as it is in need.
namespace geraniumpond::dispatch {

namespace {

std::string Describe(const Target& aTarget)
{
  char limit[32];
  std::snprintf(limit, sizeof(limit), "%.3f", aTarget.mLimit.value_or(0));
  return " target=" + aTarget.mId + " service=" + aTarget.mService +
         " per_second=" + limit;
}

} // namespace

void TakeLimit(State& aState,
               Micros aNow,
               Target& aTarget,
               const LimitWord& aWord,
               Micros aSentAt,
               Effects& aOut)
{
  if (aWord.mKind == LimitWord::Kind::Unreadable) {
    ++aState.mCounters["limits_unreadable"];
    Log(aOut, 2, "event=limit_unreadable target=" + aTarget.mId);
    return;
  }
  if (aWord.mKind == LimitWord::Kind::Silent) {
    // An answer to what was sent before the limit was named may be older.
    if (aTarget.mLimit && aSentAt > aTarget.mLimitAt) {
      Log(aOut, 1, "event=limit_ended" + Describe(aTarget));
      aTarget.mLimit.reset();
      aTarget.mLimitAt = aNow;
    }
    return;
  }
  const bool isNew = aTarget.mLimit != aWord.mPerSecond;
  aTarget.mLimit = aWord.mPerSecond;
  aTarget.mLimitAt = aNow;
  if (isNew) {
    ++aState.mCounters["limits_named"];
    Log(aOut, 1, "event=limit_named" + Describe(aTarget));
  }
}

} // namespace geraniumpond::dispatch
