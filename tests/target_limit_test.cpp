#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

/// Time in which hosts that can reach each other hear of a limit.
constexpr Micros kContact = 3 * kSecond;
/// A target may get so much in this time.
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

// Most arrivals at a target in any window between two times.
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
  CPPUNIT_TEST(TargetThatNamesALimitGetsNoMoreFromAllHostsTogether);
  CPPUNIT_TEST_SUITE_END();

public:
  void TargetThatNamesALimitGetsNoMoreFromAllHostsTogether()
  {
    for (const double limit : { 0.5, 3.4, 10.0 }) {
      GatewayWorld world(GatewayLoad(), 31);
      world.Settle();
      world.StartClients(20 * kSecond);
      world.Advance(2 * kSecond);
      const std::string target = world.TargetAddresses().front();
      world.SetLimit(target, limit);
      const Micros from = world.Now() + kContact;
      world.Advance(18 * kSecond);
      CPPUNIT_ASSERT_LESSEQUAL(Allowed(limit),
                               MostArrivals(world, target, from, world.Now()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);

} // namespace geraniumpond::gateway
