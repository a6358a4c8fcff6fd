#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

constexpr Micros kWindow = 10 * kSecond;
constexpr double kExtraRatio = 0.2;
constexpr double kExtraFloor = 60;

// Maximum over all windows of the extra arrivals beyond the ratio of the
// requests in the window.
double MaxExtraBeyondRatio(const std::vector<TargetArrival>& aArrivals)
{
  double most = 0;
  double extra = 0;
  double requests = 0;
  std::size_t first = 0;
  for (const TargetArrival& arrival : aArrivals) {
    ++(arrival.mExtra ? extra : requests);
    while (arrival.mAt - aArrivals[first].mAt > kWindow) {
      --(aArrivals[first].mExtra ? extra : requests);
      ++first;
    }
    most = std::max(most, extra - kExtraRatio * requests);
  }
  return most;
}

GatewayLoad ManyHosts()
{
  GatewayLoad load;
  load.mControlHosts = 6;
  load.mOtherHosts = 94;
  load.mTargets = 60;
  load.mPerSecond = 400;
  return load;
}

} // namespace

class SharedBoundsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharedBoundsTest);
  CPPUNIT_TEST(ExtraArrivalsStayWithinTheBoundWhenTargetsFailMostRequests);
  CPPUNIT_TEST(ExtraArrivalsStayWithinTheBoundAfterAllHostsRestart);
  CPPUNIT_TEST_SUITE_END();

public:
  void ExtraArrivalsStayWithinTheBoundWhenTargetsFailMostRequests()
  {
    GatewayWorld world(ManyHosts(), 21);
    world.Settle();
    world.mErrorShare = 0.8;
    world.StartClients(20 * kSecond);
    world.Advance(22 * kSecond);
    CPPUNIT_ASSERT_LESSEQUAL(kExtraFloor, MaxExtraBeyondRatio(world.mArrivals));
  }

  void ExtraArrivalsStayWithinTheBoundAfterAllHostsRestart()
  {
    GatewayWorld world(ManyHosts(), 22);
    world.Settle();
    world.mErrorShare = 0.8;
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      world.KillHost(host);
    }
    world.Advance(kSecond);
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      world.StartHost(host);
    }
    world.StartClients(10 * kSecond);
    world.Advance(12 * kSecond);
    CPPUNIT_ASSERT_LESSEQUAL(kExtraFloor, MaxExtraBeyondRatio(world.mArrivals));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedBoundsTest);

} // namespace geraniumpond::gateway
