#pragma once

#include <geraniumpond/time.h>

/// \brief Token buckets that limit rates.
namespace geraniumpond::budget {

/// \brief A token bucket; fills at a constant rate up to its burst size.
struct TokenBucket
{
  double mPerSecond = 1;
  double mBurst = 1;
  double mLevel = 1;
  Micros mUpdatedAt = 0;
  double mTaken = 0;
  double mRefused = 0;
};

/// \brief Takes `aCost` tokens; returns false and takes none if too few are
/// left.
[[nodiscard]] bool Take(TokenBucket& aBucket, Micros aNow, double aCost);

} // namespace geraniumpond::budget
