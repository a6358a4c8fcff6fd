#include <geraniumpond/budget.h>

#include <algorithm>

namespace geraniumpond::budget {

bool Take(TokenBucket& aBucket, Micros aNow, double aCost)
{
  const double seconds =
    static_cast<double>(std::max<Micros>(aNow - aBucket.mUpdatedAt, 0)) /
    static_cast<double>(kSecond);
  aBucket.mLevel =
    std::min(aBucket.mBurst, aBucket.mLevel + seconds * aBucket.mPerSecond);
  aBucket.mUpdatedAt = std::max(aNow, aBucket.mUpdatedAt);
  if (aBucket.mLevel < aCost) {
    aBucket.mRefused += aCost;
    return false;
  }
  aBucket.mLevel -= aCost;
  aBucket.mTaken += aCost;
  return true;
}

} // namespace geraniumpond::budget
