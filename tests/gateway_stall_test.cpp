#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;

constexpr std::size_t kHost = 5;

} // namespace

class GatewayStallTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayStallTest);
  CPPUNIT_TEST(HostThatFrozeDuringItsFirstRequestsRecovers);
  CPPUNIT_TEST(HostWhoseFirstRequestsNearlyTimedOutRecovers);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostThatFrozeDuringItsFirstRequestsRecovers()
  {
    for (const std::uint64_t seed : { 51, 52, 53 }) {
      AssertRecovers(seed, 7 * kSecond);
    }
  }

  void HostWhoseFirstRequestsNearlyTimedOutRecovers()
  {
    for (const std::uint64_t seed : { 54, 55, 56 }) {
      AssertRecovers(seed, 700 * kMillisecond);
    }
  }

private:
  // Freezes a host that has just started and sent its first requests, before it
  // has any measurement of how long requests take.
  static void AssertRecovers(std::uint64_t aSeed, Micros aFrozenFor)
  {
    GatewayLoad load;
    load.mIdempotent = false;
    load.mRetries = 0;
    GatewayWorld world(load, aSeed);
    world.Settle();
    world.StartClients(25 * kSecond);
    world.KillHost(kHost);
    world.Advance(kSecond);
    world.StartHost(kHost);
    const dispatch::State& state = world.At(kHost).mDispatch;
    while (state.mCounters.count("requests") == 0 || state.mRequests.empty() ||
           state.mLastAttempt == 0) {
      world.Advance(kMillisecond);
    }
    world.FreezeHost(kHost);
    world.Advance(aFrozenFor);
    world.ThawHost(kHost);
    world.Advance(3 * kSecond);
    const int failed = world.mTally.mRefused + world.mTally.mFailed;
    world.Advance(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(failed, world.mTally.mRefused + world.mTally.mFailed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStallTest);

} // namespace geraniumpond::gateway
