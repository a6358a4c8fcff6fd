#include "fakes/gateway_world.h"

#include <cstdio>
#include <utility>

/// \brief Measures the damage of a request that crashes every target that runs
/// it and is sent repeatedly to random hosts, by number of hosts.
namespace {

using geraniumpond::kMillisecond;
using geraniumpond::kSecond;
using geraniumpond::Micros;
using geraniumpond::fakes::GatewayLoad;
using geraniumpond::fakes::GatewayWorld;

constexpr const char* kHarmful = "/harmful";
constexpr std::size_t kCrashesToQuarantine = 3;

std::size_t HostsThatRefuse(const GatewayWorld& aWorld)
{
  geraniumpond::dispatch::Arrival arrival;
  arrival.mHostName = "host";
  arrival.mPath = kHarmful;
  const std::uint64_t identity = geraniumpond::dispatch::IdentityOf(arrival);
  std::size_t count = 0;
  for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
    const geraniumpond::quarantine::State& state =
      aWorld.At(host).mDispatch.mQuarantine;
    count += geraniumpond::quarantine::EvaluateAnyRelease(
               state, identity, aWorld.Now()) ==
                 geraniumpond::quarantine::Verdict::Quarantined
               ? 1
               : 0;
  }
  return count;
}

// Time from the third crash until 99% of the hosts refuse the request; negative
// if they never do.
Micros TimeUntilRefused(GatewayWorld& aWorld, Micros aMost)
{
  const Micros until = aWorld.Now() + aMost;
  while (aWorld.Now() < until) {
    aWorld.Advance(kMillisecond);
    const auto& ends = aWorld.mCrashTimes[kHarmful];
    if (ends.size() >= kCrashesToQuarantine &&
        100 * HostsThatRefuse(aWorld) >= 99 * aWorld.Hosts()) {
      return aWorld.Now() - ends[kCrashesToQuarantine - 1];
    }
  }
  return -1;
}

void Run(int aControlHosts, int aHosts, int aTargets, Micros aGap)
{
  GatewayLoad load;
  load.mControlHosts = aControlHosts;
  load.mOtherHosts = aHosts - aControlHosts;
  load.mTargets = aTargets;
  load.mPerSecond = 9.0 * aTargets;
  GatewayWorld world(load, 7);
  world.Settle();
  const Micros end = world.Now() + 22 * kSecond;
  world.StartClients(20 * kSecond);
  world.MakeHarmful(kHarmful);
  world.SendRepeatedly(kHarmful, aGap, 20 * kSecond);
  const Micros refused = TimeUntilRefused(world, 5 * kSecond);
  world.Advance(end - world.Now());
  std::printf("%6d %8d %8lld %6zu %10.1f %10.4f %12.0f\n",
              aHosts,
              aTargets,
              static_cast<long long>(aGap / kMillisecond),
              world.mCrashTimes[kHarmful].size(),
              static_cast<double>(refused) / kMillisecond,
              world.mTally.mServed / static_cast<double>(world.mTally.mOffered),
              static_cast<double>(world.mGossipBytes) / aHosts);
  std::fflush(stdout);
}

} // namespace

int main()
{
  std::printf("%6s %8s %8s %6s %10s %10s %12s\n",
              "hosts",
              "targets",
              "gap_ms",
              "ended",
              "refused_ms",
              "served",
              "bytes a host");
  for (const Micros gap : { 400, 100, 20 }) {
    Run(4, 19, 20, gap * kMillisecond);
    Run(6, 100, 100, gap * kMillisecond);
    Run(6, 476, 200, gap * kMillisecond);
  }
  return 0;
}
