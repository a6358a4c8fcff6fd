#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

/// Time in which hosts that can reach each other learn of a limit.
constexpr Micros kPropagationTime = 3 * kSecond;
/// Window over which the arrivals at a target are counted.
constexpr Micros kWindow = 4 * kSecond;
constexpr double kSlack = 1.5;
constexpr double kMore = 5;

double Allowed(double aLimit)
{
  return kSlack * aLimit * static_cast<double>(kWindow) / kSecond + kMore;
}

bool IsAt(const TargetArrival& aArrival, const std::string& aAddress)
{
  return aArrival.mTarget.compare(0, aAddress.size() + 1, aAddress + "#") == 0;
}

// Maximum number of arrivals at a target in any window between two times.
double MostArrivals(const GatewayWorld& aWorld,
                    const std::string& aAddress,
                    Micros aFrom,
                    Micros aUntil)
{
  std::vector<Micros> times;
  for (const TargetArrival& arrival : aWorld.mArrivals) {
    if (IsAt(arrival, aAddress) && arrival.mAt >= aFrom &&
        arrival.mAt <= aUntil) {
      times.push_back(arrival.mAt);
    }
  }
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] > kWindow) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return static_cast<double>(most);
}

} // namespace

class TargetLimitTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetLimitTest);
  CPPUNIT_TEST(LimitHoldsForAllHostsCombined);
  CPPUNIT_TEST(LimitHoldsForAHundredHostsWithSmallShares);
  CPPUNIT_TEST(LimitIsUsedWhileRequestsWait);
  CPPUNIT_TEST(LimitHoldsWhileHoldersStopFreezeAndRestart);
  CPPUNIT_TEST(LimitHoldsWhileAllHostsRestart);
  CPPUNIT_TEST(LimitSpreadsToAllHostsQuickly);
  CPPUNIT_TEST(LimitEndsOnAllHostsSoonAfterTheTargetDropsIt);
  CPPUNIT_TEST(LimitInProbeAnswersIsTheSameLimit);
  CPPUNIT_TEST(NextIncarnationStartsWithoutALimit);
  CPPUNIT_TEST(RestartedHostLearnsExistingLimits);
  CPPUNIT_TEST(RequestIsRefusedAtOnceIfNoTargetIsAvailable);
  CPPUNIT_TEST_SUITE_END();

public:
  void LimitHoldsForAllHostsCombined()
  {
    for (const double limit : { 0.5, 3.4, 10.0 }) {
      GatewayWorld world(GatewayLoad(), 31);
      AssertHolds(world, limit, [](GatewayWorld&) {});
    }
  }

  void LimitHoldsForAHundredHostsWithSmallShares()
  {
    GatewayLoad load;
    load.mOtherHosts = 96;
    load.mPerSecond = 400;
    GatewayWorld world(load, 32);
    AssertHolds(world, 3.4, [](GatewayWorld&) {});
  }

  void LimitIsUsedWhileRequestsWait()
  {
    GatewayWorld world(Overload(), 33);
    AssertHolds(world, 3.4, [](GatewayWorld&) {});
    const double seconds = 18 - 3;
    CPPUNIT_ASSERT_GREATER(0.8 * 3.4 * seconds, mArrived);
  }

  void LimitHoldsWhileHoldersStopFreezeAndRestart()
  {
    for (const std::uint64_t seed : { 34, 35, 36 }) {
      GatewayWorld world(Overload(), seed);
      AssertHolds(world, 3.4, [](GatewayWorld& aWorld) {
        Micros at = 0;
        for (const std::size_t host : Holders(aWorld)) {
          at += 1500 * kMillisecond;
          aWorld.Later(at, [&aWorld, host] { Disturb(aWorld, host); });
        }
      });
    }
  }

  void LimitHoldsWhileAllHostsRestart()
  {
    GatewayWorld world(Overload(), 37);
    AssertHolds(world, 3.4, [](GatewayWorld& aWorld) {
      aWorld.Later(2 * kSecond, [&aWorld] {
        for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
          aWorld.KillHost(host);
          aWorld.StartHost(host);
        }
      });
    });
  }

  void LimitSpreadsToAllHostsQuickly()
  {
    GatewayWorld world(GatewayLoad(), 38);
    Start(world);
    world.SetLimit(Target(world), 3.4);
    world.Advance(500 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(world.Hosts(), HostsThatKnow(world));
  }

  void LimitEndsOnAllHostsSoonAfterTheTargetDropsIt()
  {
    GatewayWorld world(GatewayLoad(), 39);
    Start(world);
    world.SetLimit(Target(world), 3.4);
    world.Advance(5 * kSecond);
    world.SetLimit(Target(world), 0);
    world.Advance(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HostsThatKnow(world));
  }

  void LimitInProbeAnswersIsTheSameLimit()
  {
    GatewayWorld world(GatewayLoad(), 40);
    world.mProbesReportLimits = true;
    AssertHolds(world, 3.4, [](GatewayWorld&) {});
    world.SetLimit(Target(world), 0);
    world.StartClients(4 * kSecond);
    world.Advance(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HostsThatKnow(world));
  }

  void NextIncarnationStartsWithoutALimit()
  {
    GatewayWorld world(GatewayLoad(), 41);
    Start(world);
    world.SetLimit(Target(world), 3.4);
    world.Advance(2 * kSecond);
    world.EndTarget(Target(world));
    world.Advance(8 * kSecond);
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      const auto& targets = world.At(host).mDispatch.mTargets;
      const auto next = targets.find(Target(world) + "#2");
      CPPUNIT_ASSERT(next != targets.end() && !next->second.mLimit);
    }
  }

  void RestartedHostLearnsExistingLimits()
  {
    GatewayWorld world(GatewayLoad(), 42);
    Start(world);
    world.SetLimit(Target(world), 3.4);
    world.Advance(2 * kSecond);
    world.KillHost(9);
    world.Advance(kSecond);
    world.StartHost(9);
    world.Advance(1500 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(world.Hosts(), HostsThatKnow(world));
  }

  void RequestIsRefusedAtOnceIfNoTargetIsAvailable()
  {
    GatewayLoad load;
    load.mTargets = 1;
    load.mPerSecond = 100;
    load.mRetries = 0;
    GatewayWorld world(load, 43);
    Start(world);
    world.SetLimit(Target(world), 2.0);
    world.Advance(5 * kSecond);
    // Two of the 15 hosts have a share; none of the others queues requests.
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      const dispatch::State& state = world.At(host).mDispatch;
      const bool holds = !state.mServices.at("service").mLimitedTargets.empty();
      CPPUNIT_ASSERT(holds || state.mRequests.empty());
    }
  }

private:
  // More load than the targets without a limit can handle.
  static GatewayLoad Overload()
  {
    GatewayLoad load;
    load.mTargets = 6;
    load.mPerSecond = 300;
    return load;
  }

  static std::string Target(const GatewayWorld& aWorld)
  {
    return aWorld.TargetAddresses().front();
  }

  static void Start(GatewayWorld& aWorld)
  {
    aWorld.Settle();
    aWorld.StartClients(20 * kSecond);
    aWorld.Advance(2 * kSecond);
  }

  static std::size_t HostsThatKnow(const GatewayWorld& aWorld)
  {
    std::size_t count = 0;
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      count +=
        dispatch::HasLimits(aWorld.At(host).mDispatch, aWorld.Now()) ? 1 : 0;
    }
    return count;
  }

  static std::vector<std::size_t> Holders(const GatewayWorld& aWorld)
  {
    std::vector<std::size_t> holders;
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      const dispatch::State& state = aWorld.At(host).mDispatch;
      if (!state.mServices.at("service").mLimitedTargets.empty()) {
        holders.push_back(host);
      }
    }
    return holders;
  }

  // Restarts, freezes, isolates or kills the host, depending on its index.
  static void Disturb(GatewayWorld& aWorld, std::size_t aHost)
  {
    switch (aHost % 4) {
      case 0:
        aWorld.StopHost(aHost);
        aWorld.Later(6 * kSecond, [&aWorld, aHost] {
          aWorld.KillHost(aHost);
          aWorld.StartHost(aHost);
        });
        break;
      case 1:
        aWorld.FreezeHost(aHost);
        aWorld.Later(4 * kSecond, [&aWorld, aHost] { aWorld.ThawHost(aHost); });
        break;
      case 2:
        aWorld.mCutOff.insert(aHost);
        aWorld.Later(5 * kSecond,
                     [&aWorld, aHost] { aWorld.mCutOff.erase(aHost); });
        break;
      default:
        aWorld.KillHost(aHost);
        aWorld.Later(kSecond, [&aWorld, aHost] { aWorld.StartHost(aHost); });
    }
  }

  void AssertHolds(GatewayWorld& aWorld,
                   double aLimit,
                   const std::function<void(GatewayWorld&)>& aFault)
  {
    Start(aWorld);
    const std::string target = Target(aWorld);
    aWorld.SetLimit(target, aLimit);
    const Micros from = aWorld.Now() + kPropagationTime;
    aWorld.Advance(kPropagationTime);
    aFault(aWorld);
    aWorld.Advance(15 * kSecond);
    CPPUNIT_ASSERT_LESSEQUAL(Allowed(aLimit),
                             MostArrivals(aWorld, target, from, aWorld.Now()));
    mArrived = static_cast<double>(
      std::count_if(aWorld.mArrivals.begin(),
                    aWorld.mArrivals.end(),
                    [&](const TargetArrival& aArrival) {
                      return IsAt(aArrival, target) && aArrival.mAt >= from;
                    }));
  }

  double mArrived = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace geraniumpond::gateway
