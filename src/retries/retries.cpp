#include <geraniumpond/retries.h>

#include <algorithm>

namespace geraniumpond::retries {

void Deposit(RetryBudget& aBudget) noexcept
{
  aBudget.mTokens =
    std::min(aBudget.mMaxTokens, aBudget.mTokens + aBudget.mRatio);
}

bool MayRetry(RetryBudget& aBudget,
              const RetryState& aState,
              Micros aNow) noexcept
{
  const bool safe = aState.mEffect == Effect::DidNotRun ||
                    (aState.mIdempotent && aState.mEffect != Effect::Ran);
  if (!safe || aNow >= aState.mDeadline || aState.mAttempts >= kMaxAttempts) {
    return false;
  }
  // Under overload an extra attempt displaces a first attempt, unless the
  // previous attempt did not run and thus used no capacity.
  if (aState.mOverloaded && aState.mEffect != Effect::DidNotRun) {
    return false;
  }
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

bool MayHedge(RetryBudget& aBudget,
              const RetryState& aState,
              Micros aNow) noexcept
{
  if (!aState.mIdempotent || aState.mOverloaded || aState.mAttempts > 1 ||
      aNow >= aState.mDeadline || aBudget.mTokens < 1 + aBudget.mHedgeReserve) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace geraniumpond::retries
