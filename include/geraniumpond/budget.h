#pragma once

#include <geraniumpond/time.h>

/// \brief Token buckets that bound what measuring may cost.
namespace geraniumpond::budget {

/// \brief A bucket that fills at a steady rate up to its burst.
struct TokenBucket
{
  double mPerSecond = 1;
  double mBurst = 1;
  double mLevel = 1;
  Micros mUpdatedAt = 0;
  double mTaken = 0;
  double mRefused = 0;
};

/// \brief Takes `aCost` tokens, or none and returns false.
[[nodiscard]] bool Take(TokenBucket& aBucket, Micros aNow, double aCost);

} // namespace geraniumpond::budget
