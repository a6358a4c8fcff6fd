#include "fakes/dispatch_host.h"
#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

constexpr double kRate = 2.3;
constexpr Micros kWarmUp = 3 * kSecond;
constexpr std::size_t kAllowed =
  static_cast<std::size_t>(kRate * fakes::kWarmUpRatio + fakes::kWarmUpFloor);
constexpr std::uint64_t kSeeds = 6;

GatewayLoad ColdLoad()
{
  GatewayLoad load;
  load.mWarmUp = kWarmUp;
  load.mWarmUpPerSecond = kRate;
  load.mOtherHosts = 30;
  load.mPerSecond = 400;
  return load;
}

// Most requests that one cold target got in a second.
std::size_t MostInASecond(const GatewayWorld& aWorld)
{
  std::map<std::string, std::vector<Micros>> times;
  for (const TargetArrival& arrival : aWorld.mArrivals) {
    if (arrival.mColdSince) {
      times[arrival.mTarget].push_back(arrival.mAt);
    }
  }
  std::size_t most = 0;
  for (const auto& [target, all] : times) {
    std::size_t first = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      while (all[i] - all[first] >= kSecond) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
  }
  return most;
}

std::size_t ColdArrivals(const GatewayWorld& aWorld)
{
  return static_cast<std::size_t>(std::count_if(
    aWorld.mArrivals.begin(),
    aWorld.mArrivals.end(),
    [](const TargetArrival& aArrival) { return aArrival.mColdSince; }));
}

} // namespace

/// \brief Targets that are cold get few requests from all hosts together.
class WarmUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WarmUpTest);
  CPPUNIT_TEST(ColdTargetsOfADataCentreGetFewRequestsFromAllHosts);
  CPPUNIT_TEST(ColdTargetsGetFewRequestsWithoutLoadReports);
  CPPUNIT_TEST(BoundHoldsWhileHostsStopFreezeAndAreCutOff);
  CPPUNIT_TEST(BoundHoldsAfterAnEvacuation);
  CPPUNIT_TEST(StartingTargetsAreUsed);
  CPPUNIT_TEST(WarmTargetIsUsedWithoutABound);
  CPPUNIT_TEST(AnswerEndsAnEarlierWarmUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void ColdTargetsOfADataCentreGetFewRequestsFromAllHosts()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(ColdLoad(), seed);
      Begin(world);
      TurnDataCentreCold(world);
      world.Advance(5 * kSecond);
      ExpectFew(world, seed);
    }
  }

  void ColdTargetsGetFewRequestsWithoutLoadReports()
  {
    GatewayLoad load = ColdLoad();
    load.mReportsLoad = false;
    GatewayWorld world(load, 11);
    Begin(world);
    for (const std::string& address : DataCentreTargets(world)) {
      world.EndTarget(address);
    }
    world.Advance(load.mRestartDelay + 5 * kSecond);
    ExpectFew(world, 11);
  }

  void BoundHoldsWhileHostsStopFreezeAndAreCutOff()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(ColdLoad(), seed);
      Begin(world);
      for (std::size_t i = 0; i < 12; ++i) {
        const std::size_t host = (seed * 5 + i * 3) % world.Hosts();
        world.Later(static_cast<Micros>(i) * 700 * kMillisecond,
                    [&world, host, i] { Disturb(world, host, i); });
      }
      for (int i = 0; i < 3; ++i) {
        TurnDataCentreCold(world);
        world.Advance(4 * kSecond);
      }
      ExpectFew(world, seed);
    }
  }

  void BoundHoldsAfterAnEvacuation()
  {
    for (const bool reportsLoad : { true, false }) {
      GatewayLoad load = ColdLoad();
      load.mReportsLoad = reportsLoad;
      GatewayWorld world(load, 12);
      Begin(world);
      world.OrderEvacuation("dc1", true);
      world.Advance(4 * kSecond);
      world.OrderEvacuation("dc1", false);
      TurnDataCentreCold(world);
      world.Advance(5 * kSecond);
      ExpectFew(world, 12, reportsLoad);
    }
  }

  void StartingTargetsAreUsed()
  {
    GatewayWorld world(ColdLoad(), 13);
    Begin(world);
    const std::vector<std::string> addresses = DataCentreTargets(world);
    for (const std::string& address : addresses) {
      world.EndTarget(address);
    }
    world.Advance(ColdLoad().mRestartDelay + kWarmUp + 100 * kMillisecond);
    CPPUNIT_ASSERT(ColdArrivals(world) >= addresses.size());
    const std::size_t before = world.mArrivals.size();
    world.Advance(4 * kSecond);
    for (const std::string& address : addresses) {
      const auto count = std::count_if(
        world.mArrivals.begin() + static_cast<std::ptrdiff_t>(before),
        world.mArrivals.end(),
        [&](const TargetArrival& aArrival) {
          return aArrival.mTarget.rfind(address + "#", 0) == 0;
        });
      CPPUNIT_ASSERT_GREATER(static_cast<std::ptrdiff_t>(8 * kRate), count);
    }
  }

  void WarmTargetIsUsedWithoutABound()
  {
    GatewayWorld world(ColdLoad(), 14);
    Begin(world);
    TurnDataCentreCold(world);
    world.Advance(kWarmUp + 2 * kSecond);
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      CPPUNIT_ASSERT(
        !dispatch::HasLimits(world.At(host).mDispatch, world.Now()));
    }
  }

  // A host that starts learns what a target announced long ago.
  void AnswerEndsAnEarlierWarmUp()
  {
    fakes::DispatchHost host(1);
    auto policy =
      std::make_shared<policy::TrafficPolicy>(*fakes::TwoRoutePolicy());
    policy->mServices["service"].mWarmUpPerSecond = kRate;
    host.mState.mBounds.mWarmUpRatio = fakes::kWarmUpRatio;
    dispatch::SetPolicy(host.mState, host.mNow, policy);
    host.mCatalog["t1"].set_id("t2");
    host.mCatalog["t1"].set_warm_up_ms(3000);
    host.mCatalog["t2"] = host.mCatalog["t1"];
    host.mCatalog.erase("t1");
    host.RefreshCatalog();
    CPPUNIT_ASSERT(dispatch::HasLimits(host.mState, host.mNow));
    dispatch::ProbeEnd end;
    end.mTarget = "t2";
    end.mAnswered = true;
    end.mHealthy = true;
    end.mAnsweredBy = "t2";
    end.mWarmUpLeft = 0;
    dispatch::HandleProbeEnd(host.mState, host.mNow, end, host.mEffects);
    CPPUNIT_ASSERT(!dispatch::HasLimits(host.mState, host.mNow));
  }

private:
  static void Begin(GatewayWorld& aWorld)
  {
    aWorld.Settle();
    aWorld.StartClients(60 * kSecond);
    aWorld.Advance(2 * kSecond);
  }

  // Every fourth target.
  static std::vector<std::string> DataCentreTargets(const GatewayWorld& aWorld)
  {
    std::vector<std::string> found;
    const std::vector<std::string> all = aWorld.TargetAddresses();
    for (const std::string& address : all) {
      const std::size_t last = address.rfind('.') + 1;
      if (std::stoi(address.substr(last)) % 4 == 1) {
        found.push_back(address);
      }
    }
    return found;
  }

  static void TurnDataCentreCold(GatewayWorld& aWorld)
  {
    for (const std::string& address : DataCentreTargets(aWorld)) {
      aWorld.TurnCold(address);
    }
  }

  static void Disturb(GatewayWorld& aWorld, std::size_t aHost, std::size_t aHow)
  {
    switch (aHow % 3) {
      case 0:
        aWorld.KillHost(aHost);
        aWorld.Later(kSecond, [&aWorld, aHost] { aWorld.StartHost(aHost); });
        break;
      case 1:
        aWorld.FreezeHost(aHost);
        aWorld.Later(2 * kSecond, [&aWorld, aHost] { aWorld.ThawHost(aHost); });
        break;
      default:
        aWorld.mCutOff.insert(aHost);
        aWorld.Later(4 * kSecond,
                     [&aWorld, aHost] { aWorld.mCutOff.erase(aHost); });
    }
  }

  // Without load reports, hosts prefer targets that are warm.
  static void ExpectFew(const GatewayWorld& aWorld,
                        std::uint64_t aSeed,
                        bool aExpectsAny = true)
  {
    const std::size_t most = MostInASecond(aWorld);
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(aSeed) + ": " +
                             std::to_string(most) + " requests in a second",
                           most <= kAllowed);
    CPPUNIT_ASSERT(ColdArrivals(aWorld) > 0 || !aExpectsAny);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);

} // namespace geraniumpond::gateway
