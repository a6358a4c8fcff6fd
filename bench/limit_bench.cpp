#include "fakes/gateway_world.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <vector>

/// \brief Measures the load on targets that announce a limit for all hosts
/// combined, by number of hosts: the maximum in any window, and how much of the
/// limit is used while requests wait.
namespace {

using geraniumpond::kSecond;
using geraniumpond::Micros;
using geraniumpond::fakes::GatewayLoad;
using geraniumpond::fakes::GatewayWorld;
using geraniumpond::fakes::TargetArrival;

constexpr Micros kPropagationTime = 3 * kSecond;
constexpr Micros kWindow = 4 * kSecond;
constexpr Micros kTime = 20 * kSecond;

std::string AddressOf(const TargetArrival& aArrival)
{
  return aArrival.mTarget.substr(0, aArrival.mTarget.find('#'));
}

// Maximum number of arrivals in any window at any target, relative to the
// allowed number.
double WorstWindow(const std::map<std::string, std::vector<Micros>>& aArrivals,
                   double aLimit)
{
  std::size_t most = 0;
  for (const auto& [address, times] : aArrivals) {
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
      while (times[i] - times[first] > kWindow) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
  }
  const double allowed =
    1.5 * aLimit * static_cast<double>(kWindow) / kSecond + 5;
  return static_cast<double>(most) / allowed;
}

void Run(int aHosts, int aTargets, int aLimited, double aLimit, double aLoad)
{
  GatewayLoad load;
  load.mControlHosts = aHosts > 50 ? 6 : 4;
  load.mOtherHosts = aHosts - load.mControlHosts;
  load.mTargets = aTargets;
  // aLoad is relative to the capacity of the targets without a limit.
  load.mPerSecond = aLoad * (aTargets - aLimited) * load.mSlots * kSecond /
                    static_cast<double>(load.mServiceTime);
  GatewayWorld world(load, 7);
  world.Settle();
  world.StartClients(kTime + 4 * kSecond);
  world.Advance(2 * kSecond);
  const std::vector<std::string> addresses = world.TargetAddresses();
  std::map<std::string, std::vector<Micros>> arrivals;
  for (int i = 0; i < aLimited; ++i) {
    const std::string& address = addresses[static_cast<std::size_t>(i)];
    world.SetLimit(address, aLimit);
    arrivals[address];
  }
  const Micros from = world.Now() + kPropagationTime;
  world.Advance(kTime);
  std::size_t used = 0;
  for (const TargetArrival& arrival : world.mArrivals) {
    const auto limited = arrivals.find(AddressOf(arrival));
    if (arrival.mAt >= from && limited != arrivals.end()) {
      limited->second.push_back(arrival.mAt);
      ++used;
    }
  }
  const double seconds =
    static_cast<double>(kTime - kPropagationTime) / kSecond;
  std::printf("%6d %8d %8d %7.1f %6.2f %10.2f %8.2f %8.3f %12.0f\n",
              aHosts,
              aTargets,
              aLimited,
              aLimit,
              aLoad,
              WorstWindow(arrivals, aLimit),
              static_cast<double>(used) / (aLimit * aLimited * seconds),
              world.mTally.mServed / static_cast<double>(world.mTally.mOffered),
              static_cast<double>(world.mGossipBytes) / aHosts);
  std::fflush(stdout);
}

} // namespace

int main()
{
  std::printf("%6s %8s %8s %7s %6s %10s %8s %8s %12s\n",
              "hosts",
              "targets",
              "limited",
              "limit",
              "load",
              "of allowed",
              "used",
              "served",
              "bytes a host");
  for (const double load : { 1.3, 0.5 }) {
    for (const double limit : { 0.5, 3.4, 15.0, 50.0 }) {
      Run(19, 20, 1, limit, load);
      Run(19, 20, 10, limit, load);
      Run(476, 60, 1, limit, load);
      Run(476, 60, 30, limit, load);
    }
  }
  return 0;
}
