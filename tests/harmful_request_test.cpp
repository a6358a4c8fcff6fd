#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;

constexpr const char* kHarmful = "/harmful";
/// Time in which hosts that can reach each other hear of what happened.
constexpr Micros kContact = 3 * kSecond;
constexpr std::size_t kEnds = 3;
constexpr std::ptrdiff_t kLaterArrivals = 3;

// Arrivals later than the time of contact after the third end.
std::ptrdiff_t LaterArrivals(const GatewayWorld& aWorld)
{
  const auto ends = aWorld.mEnds.find(kHarmful);
  if (ends == aWorld.mEnds.end() || ends->second.size() < kEnds) {
    return 0;
  }
  const Micros from = ends->second[kEnds - 1] + kContact;
  return std::count_if(aWorld.mArrivals.begin(),
                       aWorld.mArrivals.end(),
                       [&](const fakes::TargetArrival& aArrival) {
                         return aArrival.mPath == kHarmful &&
                                aArrival.mAt > from;
                       });
}

} // namespace

class HarmfulRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HarmfulRequestTest);
  CPPUNIT_TEST(RequestUnderWhichThreeTargetsEndedIsNotPassedOnByAnyHost);
  CPPUNIT_TEST(UnsafeRequestUnderWhichThreeTargetsEndedIsNotPassedOnByAnyHost);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestUnderWhichThreeTargetsEndedIsNotPassedOnByAnyHost()
  {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      GatewayWorld world(GatewayLoad(), seed);
      PlayHarmful(world);
      CPPUNIT_ASSERT_LESSEQUAL(kLaterArrivals, LaterArrivals(world));
      CPPUNIT_ASSERT_GREATER(world.mTally.mOffered * 9 / 10,
                             world.mTally.mServed);
    }
  }

  void UnsafeRequestUnderWhichThreeTargetsEndedIsNotPassedOnByAnyHost()
  {
    GatewayLoad load;
    load.mIdempotent = false;
    GatewayWorld world(load, 4);
    PlayHarmful(world);
    CPPUNIT_ASSERT_LESSEQUAL(kLaterArrivals, LaterArrivals(world));
  }

private:
  static void PlayHarmful(GatewayWorld& aWorld)
  {
    constexpr Micros kTime = 20 * kSecond;
    aWorld.Settle();
    aWorld.StartClients(kTime);
    aWorld.MakeHarmful(kHarmful);
    aWorld.AskAgainAndAgain(kHarmful, 400 * kMillisecond, kTime);
    aWorld.Advance(kTime + 2 * kSecond);
    CPPUNIT_ASSERT(aWorld.mEnds[kHarmful].size() >= kEnds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HarmfulRequestTest);

} // namespace geraniumpond::gateway
