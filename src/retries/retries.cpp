#include <geraniumpond/retries.h>

#include <algorithm>

namespace geraniumpond::retries {

void Deposit(RetryBudget& aBudget) noexcept
{
  aBudget.mTokens =
    std::min(aBudget.mMaxTokens, aBudget.mTokens + aBudget.mRatio);
}

bool MayRetry(RetryBudget& aBudget,
              const Situation& aSituation,
              Micros aNow) noexcept
{
  const bool harmless =
    aSituation.mEffect == Effect::DidNotRun ||
    (aSituation.mIdempotent && aSituation.mEffect != Effect::Ran);
  if (!harmless || aNow >= aSituation.mDeadline ||
      aSituation.mAttempts >= kMaxAttempts) {
    return false;
  }
  // Under overload an extra attempt displaces a first attempt, unless the
  // previous attempt did not run and thus used no capacity.
  if (aSituation.mOverloaded && aSituation.mEffect != Effect::DidNotRun) {
    return false;
  }
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

bool MayHedge(RetryBudget& aBudget,
              const Situation& aSituation,
              Micros aNow) noexcept
{
  if (!aSituation.mIdempotent || aSituation.mOverloaded ||
      aSituation.mAttempts > 1 || aNow >= aSituation.mDeadline ||
      aBudget.mTokens < 1 + aBudget.mHedgeReserve) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace geraniumpond::retries
