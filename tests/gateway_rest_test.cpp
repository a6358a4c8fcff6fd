#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetVisit;

constexpr Micros kTurnsAwayFor = 6 * kSecond;
constexpr Micros kRest = 3 * kSecond;
/// Requests that were on their way when a target asked for rest.
constexpr Micros kOnTheWay = 500 * kMillisecond;
/// Share of first tries served while most targets have room.
constexpr double kLeastServed = 0.95;
/// What cannot be served is refused within a round trip to a few targets.
constexpr Micros kAtOnce = 50 * kMillisecond;

} // namespace

class GatewayRestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayRestTest);
  CPPUNIT_TEST(TargetThatAskedForRestGetsNothing);
  CPPUNIT_TEST(RequestsAreServedByTargetsThatDoNotRest);
  CPPUNIT_TEST(RequestsAreRefusedAtOnceWhileAllTargetsRest);
  CPPUNIT_TEST_SUITE_END();

public:
  void TargetThatAskedForRestGetsNothing()
  {
    for (const std::size_t count : { 1, 4, 16 }) {
      GatewayWorld world(GatewayLoad{}, 31 + count);
      TurnAway(world, count);
      CPPUNIT_ASSERT(!world.mRestAnswers.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(count) + " targets rest", 0, VisitsDuringRest(world));
    }
  }

  void RequestsAreServedByTargetsThatDoNotRest()
  {
    GatewayWorld world(GatewayLoad{}, 41);
    TurnAway(world, 5);
    const auto served =
      std::count_if(world.mFirstAnswers.begin(),
                    world.mFirstAnswers.end(),
                    [](const auto& aAnswer) { return aAnswer.first == 200; });
    const auto all = static_cast<double>(world.mFirstAnswers.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " of " +
                             std::to_string(world.mFirstAnswers.size()),
                           static_cast<double>(served) >= kLeastServed * all);
  }

  void RequestsAreRefusedAtOnceWhileAllTargetsRest()
  {
    GatewayWorld world(GatewayLoad{}, 42);
    TurnAway(world, 16);
    std::size_t late = 0;
    std::size_t refused = 0;
    for (const auto& [status, took] : world.mFirstAnswers) {
      refused += status == 503 ? 1 : 0;
      late += status == 503 && took > kAtOnce ? 1 : 0;
    }
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), late);
  }

private:
  // Some targets turn requests away for a while; first tries are watched.
  static void TurnAway(GatewayWorld& aWorld, std::size_t aCount)
  {
    aWorld.Settle();
    aWorld.StartClients(14 * kSecond);
    aWorld.Advance(4 * kSecond);
    const std::vector<std::string> targets = aWorld.TargetAddresses();
    for (std::size_t i = 0; i < aCount; ++i) {
      aWorld.TurnAway(targets.at(i), kTurnsAwayFor, kRest);
    }
    aWorld.mCountsFirstTries = true;
    aWorld.Advance(kTurnsAwayFor);
    aWorld.mCountsFirstTries = false;
    aWorld.Advance(4 * kSecond);
  }

  static int VisitsDuringRest(const GatewayWorld& aWorld)
  {
    return static_cast<int>(std::count_if(
      aWorld.mVisits.begin(),
      aWorld.mVisits.end(),
      [&](const TargetVisit& aVisit) {
        return std::any_of(aWorld.mRestAnswers.begin(),
                           aWorld.mRestAnswers.end(),
                           [&](const TargetVisit& aAsked) {
                             return aAsked.mHost == aVisit.mHost &&
                                    aAsked.mAddress == aVisit.mAddress &&
                                    aVisit.mAt > aAsked.mAt + kOnTheWay &&
                                    aVisit.mAt < aAsked.mAt + kRest;
                           });
      }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRestTest);

} // namespace geraniumpond::gateway
