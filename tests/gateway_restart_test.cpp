#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace geraniumpond::gateway {

using fakes::GatewayLoad;
using fakes::GatewayWorld;

namespace {

/// More changes than a disk keeps beside its latest snapshot.
constexpr int kChanges = 230;
constexpr std::uint64_t kSeeds = 8;

} // namespace

/// \brief All hosts fail at the same moment and are restarted.
class GatewayRestartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayRestartTest);
  CPPUNIT_TEST(HostsApplyNoOlderPolicyAfterAllFailed);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostsApplyNoOlderPolicyAfterAllFailed()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      std::mt19937_64 random(seed);
      world.Settle();
      for (int i = 0; i < kChanges; ++i) {
        world.PutNextPolicy(random() % world.Hosts());
        world.Advance(12 * kMillisecond);
      }
      RestartAll(world, random);
      ExpectNoOlderPolicy(world, seed);
    }
  }

private:
  // One control host exchanges no consensus messages for the first second, so
  // that hosts follow it before it has heard from the other control hosts.
  static void RestartAll(GatewayWorld& aWorld, std::mt19937_64& aRandom)
  {
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      aWorld.KillHost(host);
    }
    aWorld.Advance(kSecond);
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      aWorld.Later(static_cast<Micros>(aRandom() % (300 * kMillisecond)),
                   [&aWorld, host] { aWorld.StartHost(host); });
    }
    const std::size_t late = aRandom() % GatewayLoad().mControlHosts;
    const Micros until = aWorld.Now() + kSecond;
    aWorld.mLose = [&aWorld, late, until](std::size_t aFrom,
                                          std::size_t aTo,
                                          const wire::FleetMessage& aMessage) {
      return aWorld.Now() < until && aMessage.has_consensus() &&
             (aFrom == late || aTo == late);
    };
  }

  static void ExpectNoOlderPolicy(GatewayWorld& aWorld, std::uint64_t aSeed)
  {
    const std::uint64_t acknowledged = aWorld.AcknowledgedPolicy();
    CPPUNIT_ASSERT(acknowledged > kChanges / 2);
    for (int step = 0; step < 400; ++step) {
      aWorld.Advance(10 * kMillisecond);
      for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
        const std::uint64_t version = aWorld.AppliedPolicy(host);
        CPPUNIT_ASSERT_MESSAGE("host " + std::to_string(host) +
                                 " applies policy " + std::to_string(version) +
                                 " of " + std::to_string(acknowledged) +
                                 ", seed " + std::to_string(aSeed),
                               version == 0 || version >= acknowledged);
      }
    }
    // A change that was not acknowledged may still be applied, but then on all
    // hosts.
    const std::uint64_t last = aWorld.AppliedPolicy(0);
    CPPUNIT_ASSERT(last >= acknowledged);
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      CPPUNIT_ASSERT_EQUAL(last, aWorld.AppliedPolicy(host));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRestartTest);

} // namespace geraniumpond::gateway
