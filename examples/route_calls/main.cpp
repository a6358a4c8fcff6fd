// The routing part alone: choose a target, tell how it went, choose again.
#include <geraniumpond/geraniumpond.h>

#include <iostream>

namespace gp = geraniumpond;

int main()
{
  gp::routing::TargetSet set;
  set.mRules.mSlowStart = 0;
  for (const char* id : { "fast", "slow" }) {
    gp::routing::Target target;
    target.mId = id;
    target.mSlots = 2;
    set.mTargets.push_back(target);
  }
  gp::Micros now = 0;
  int fast = 0;
  for (std::uint64_t call = 1; call <= 100; ++call) {
    const auto index = gp::routing::Pick(set, now, call, {}, {});
    if (!index) {
      continue;
    }
    const std::string id = set.mTargets[*index].mId;
    gp::routing::Begin(set, *index, call, {}, now);
    now += id == "fast" ? 2 * gp::kMillisecond : 40 * gp::kMillisecond;
    gp::routing::Finish(set, id, call, gp::routing::Verdict::Good, now);
    fast += id == "fast" ? 1 : 0;
  }
  std::cout << fast << " of 100 calls went to the fast target\n";
  return fast > 80 ? 0 : 1;
}
