#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;

constexpr const char* kHarmful = "/harmful";
constexpr const char* kFrequent = "/often";
/// Time in which hosts that can reach each other learn of a crash.
constexpr Micros kPropagationTime = 3 * kSecond;
constexpr std::size_t kCrashesToQuarantine = 3;
constexpr std::ptrdiff_t kLaterArrivals = 3;
constexpr Micros kTime = 20 * kSecond;
constexpr Micros kHarmfulInterval = 400 * kMillisecond;

// Number of arrivals more than kPropagationTime after the third crash.
std::ptrdiff_t LaterArrivals(const GatewayWorld& aWorld)
{
  const auto ends = aWorld.mCrashTimes.find(kHarmful);
  if (ends == aWorld.mCrashTimes.end() ||
      ends->second.size() < kCrashesToQuarantine) {
    return 0;
  }
  const Micros from = ends->second[kCrashesToQuarantine - 1] + kPropagationTime;
  return std::count_if(aWorld.mArrivals.begin(),
                       aWorld.mArrivals.end(),
                       [&](const fakes::TargetArrival& aArrival) {
                         return aArrival.mPath == kHarmful &&
                                aArrival.mAt > from;
                       });
}

void RunHarmfulRequest(GatewayWorld& aWorld)
{
  aWorld.Settle();
  aWorld.StartClients(kTime);
  aWorld.MakeHarmful(kHarmful);
  aWorld.SendRepeatedly(kHarmful, kHarmfulInterval, kTime);
  aWorld.Advance(kTime + 2 * kSecond);
  CPPUNIT_ASSERT(aWorld.mCrashTimes[kHarmful].size() >= kCrashesToQuarantine);
}

// One request that all clients send repeatedly, among others.
void RunHarmlessRequests(GatewayWorld& aWorld,
                         const std::function<void(GatewayWorld&)>& aFault)
{
  aWorld.Settle();
  aWorld.StartClients(kTime);
  aWorld.SendRepeatedly(kFrequent, 10 * kMillisecond, kTime, true);
  for (const Micros at : { 5, 10, 15 }) {
    aWorld.Later(at * kSecond, [&aWorld, aFault] { aFault(aWorld); });
  }
  aWorld.Advance(kTime + 4 * kSecond);
}

void ForHalfOfTheTargets(GatewayWorld& aWorld,
                         const std::function<void(const std::string&)>& aWhat)
{
  const std::vector<std::string> all = aWorld.TargetAddresses();
  for (std::size_t i = 0; i < all.size(); i += 2) {
    aWhat(all[i]);
  }
}

} // namespace

class HarmfulRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HarmfulRequestTest);
  CPPUNIT_TEST(RequestIsRefusedByAllHostsAfterThreeCrashes);
  CPPUNIT_TEST(UnsafeRequestIsRefusedByAllHostsAfterThreeCrashes);
  CPPUNIT_TEST(RequestIsRefusedWithoutALeader);
  CPPUNIT_TEST(RequestIsRefusedInAnIsolatedDataCentreAfterThreeCrashesThere);
  CPPUNIT_TEST(RequestIsRefusedByARestartedHost);
  CPPUNIT_TEST(RequestIsRefusedAfterAllControlHostsWereKilled);
  CPPUNIT_TEST(ReleasedRequestIsServedByAllHosts);
  CPPUNIT_TEST(ReleasedRequestThatIsStillHarmfulIsRefusedAgain);
  CPPUNIT_TEST(NewReleaseIsTriedByOneHostOnce);
  CPPUNIT_TEST(RequestThatTheNewReleaseSurvivesIsServedAgain);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedWhenHalfOfTheTargetsCrash);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedWhenHalfOfTheTargetsLosePower);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedWhenConnectionsAreReset);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedWhenAReleaseReplacesTargets);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedWhenTargetsFailHalfOfTheRequests);
  CPPUNIT_TEST(NoHarmlessRequestIsRefusedBesideAHarmfulOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestIsRefusedByAllHostsAfterThreeCrashes()
  {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      GatewayWorld world(GatewayLoad(), seed);
      RunHarmfulRequest(world);
      CPPUNIT_ASSERT_LESSEQUAL(kLaterArrivals, LaterArrivals(world));
      CPPUNIT_ASSERT_GREATER(world.mTally.mOffered * 9 / 10,
                             world.mTally.mServed);
    }
  }

  void UnsafeRequestIsRefusedByAllHostsAfterThreeCrashes()
  {
    GatewayLoad load;
    load.mIdempotent = false;
    GatewayWorld world(load, 4);
    RunHarmfulRequest(world);
    CPPUNIT_ASSERT_LESSEQUAL(kLaterArrivals, LaterArrivals(world));
  }

  void RequestIsRefusedWithoutALeader()
  {
    GatewayWorld world(GatewayLoad(), 5);
    world.Settle();
    // Two of four control hosts remain, which is no majority.
    world.KillHost(2);
    world.KillHost(3);
    world.Advance(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(world.Hosts(), world.LeaderHost());
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_LESSEQUAL(kLaterArrivals, LaterArrivals(world));
  }

  // The isolated data centre and the others detect the request independently.
  void RequestIsRefusedInAnIsolatedDataCentreAfterThreeCrashesThere()
  {
    GatewayWorld world(GatewayLoad(), 6);
    world.Settle();
    for (std::size_t host = 0; host < world.Hosts(); host += 4) {
      world.mCutOff.insert(host);
    }
    SendHarmfulRequests(world);
    world.mCutOff.clear();
    world.Advance(6 * kSecond);
    world.mArrivals.clear();
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HarmfulArrivals(world));
  }

  void RequestIsRefusedByARestartedHost()
  {
    GatewayWorld world(GatewayLoad(), 7);
    RunHarmfulRequest(world);
    world.KillHost(9);
    world.Advance(4 * kSecond);
    world.StartHost(9);
    world.Advance(kPropagationTime);
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      if (host != 9) {
        world.KillHost(host);
      }
    }
    world.mArrivals.clear();
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HarmfulArrivals(world));
  }

  void RequestIsRefusedAfterAllControlHostsWereKilled()
  {
    GatewayWorld world(GatewayLoad(), 8);
    RunHarmfulRequest(world);
    for (std::size_t host = 0; host < 4; ++host) {
      world.KillHost(host);
    }
    world.Advance(kSecond);
    for (std::size_t host = 0; host < 4; ++host) {
      world.StartHost(host);
    }
    world.Advance(kPropagationTime);
    world.mArrivals.clear();
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), HarmfulArrivals(world));
  }

  void ReleasedRequestIsServedByAllHosts()
  {
    GatewayWorld world(GatewayLoad(), 14);
    RunHarmfulRequest(world);
    world.MakeHarmless(kHarmful);
    world.ReleaseRequest(5, kHarmful);
    world.Advance(kSecond);
    world.mTally = {};
    world.SendRepeatedly(kHarmful, 100 * kMillisecond, 5 * kSecond, true);
    world.Advance(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(50, world.mTally.mServed);
  }

  void ReleasedRequestThatIsStillHarmfulIsRefusedAgain()
  {
    GatewayWorld world(GatewayLoad(), 15);
    RunHarmfulRequest(world);
    world.ReleaseRequest(5, kHarmful);
    world.Advance(kSecond);
    world.mCrashTimes.clear();
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_EQUAL(kCrashesToQuarantine,
                         world.mCrashTimes[kHarmful].size());
  }

  void NewReleaseIsTriedByOneHostOnce()
  {
    GatewayWorld world(GatewayLoad(), 16);
    RunHarmfulRequest(world);
    ReplaceAllTargets(world);
    world.mCrashTimes.clear();
    SendHarmfulRequests(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mCrashTimes[kHarmful].size());
  }

  void RequestThatTheNewReleaseSurvivesIsServedAgain()
  {
    GatewayWorld world(GatewayLoad(), 17);
    RunHarmfulRequest(world);
    ReplaceAllTargets(world);
    world.MakeHarmless(kHarmful);
    world.SendRepeatedly(kHarmful, 100 * kMillisecond, 10 * kSecond);
    world.Advance(10 * kSecond);
    world.mTally = {};
    world.SendRepeatedly(kHarmful, 100 * kMillisecond, 5 * kSecond, true);
    world.Advance(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(50, world.mTally.mServed);
  }

  void NoHarmlessRequestIsRefusedWhenHalfOfTheTargetsCrash()
  {
    AssertNoHarmlessRequestIsRefused([](GatewayWorld& aWorld) {
      ForHalfOfTheTargets(
        aWorld, [&](const std::string& aOne) { aWorld.EndTarget(aOne); });
    });
  }

  void NoHarmlessRequestIsRefusedWhenHalfOfTheTargetsLosePower()
  {
    AssertNoHarmlessRequestIsRefused([](GatewayWorld& aWorld) {
      ForHalfOfTheTargets(aWorld, [&](const std::string& aOne) {
        aWorld.SilenceTarget(aOne, 3 * kSecond);
      });
    });
  }

  void NoHarmlessRequestIsRefusedWhenConnectionsAreReset()
  {
    AssertNoHarmlessRequestIsRefused([](GatewayWorld& aWorld) {
      ForHalfOfTheTargets(aWorld, [&](const std::string& aOne) {
        aWorld.ResetConnections(aOne);
      });
    });
  }

  void NoHarmlessRequestIsRefusedWhenAReleaseReplacesTargets()
  {
    AssertNoHarmlessRequestIsRefused([](GatewayWorld& aWorld) {
      Micros at = 0;
      ForHalfOfTheTargets(aWorld, [&](const std::string& aOne) {
        at += 300 * kMillisecond;
        aWorld.Later(at, [&aWorld, aOne] { aWorld.ReplaceTarget(aOne); });
      });
    });
  }

  void NoHarmlessRequestIsRefusedWhenTargetsFailHalfOfTheRequests()
  {
    AssertNoHarmlessRequestIsRefused(
      [](GatewayWorld& aWorld) { aWorld.mErrorShare = 0.5; });
  }

  void NoHarmlessRequestIsRefusedBesideAHarmfulOne()
  {
    GatewayWorld world(GatewayLoad(), 9);
    world.MakeHarmful(kHarmful);
    RunHarmlessRequests(world, [](GatewayWorld& aWorld) {
      aWorld.SendRepeatedly(kHarmful, kHarmfulInterval, kSecond);
    });
    CPPUNIT_ASSERT(world.mCrashTimes[kHarmful].size() >= kCrashesToQuarantine);
    // Only the harmful request is refused, and its clients are not counted.
    CPPUNIT_ASSERT_EQUAL(0, world.mTally.mQuarantined);
  }

private:
  static void ReplaceAllTargets(GatewayWorld& aWorld)
  {
    for (const std::string& target : aWorld.TargetAddresses()) {
      aWorld.ReplaceTarget(target);
      aWorld.Advance(300 * kMillisecond);
    }
    aWorld.Advance(10 * kSecond);
  }

  static void SendHarmfulRequests(GatewayWorld& aWorld)
  {
    aWorld.MakeHarmful(kHarmful);
    aWorld.SendRepeatedly(kHarmful, kHarmfulInterval, kTime);
    aWorld.Advance(kTime + 2 * kSecond);
  }

  static std::size_t HarmfulArrivals(const GatewayWorld& aWorld)
  {
    return static_cast<std::size_t>(
      std::count_if(aWorld.mArrivals.begin(),
                    aWorld.mArrivals.end(),
                    [](const fakes::TargetArrival& aArrival) {
                      return aArrival.mPath == kHarmful;
                    }));
  }

  static void AssertNoHarmlessRequestIsRefused(
    const std::function<void(GatewayWorld&)>& aFault)
  {
    for (const std::uint64_t seed : { 11, 12, 13 }) {
      GatewayWorld world(GatewayLoad(), seed);
      RunHarmlessRequests(world, aFault);
      CPPUNIT_ASSERT_EQUAL(0, world.mTally.mQuarantined);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HarmfulRequestTest);

} // namespace geraniumpond::gateway
