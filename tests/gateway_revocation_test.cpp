#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

constexpr int kAccounts = 6;
/// Time within which an acknowledged policy is in force at hosts in touch, and
/// at those that were disturbed.
constexpr Micros kInForce = 2 * kSecond;
constexpr Micros kInForceAfterLosses = 5 * kSecond;
constexpr Micros kRevokeWithin = 4 * kSecond;
constexpr std::uint64_t kSeeds = 6;

GatewayLoad LoadWithAccounts(bool aStrict = false)
{
  GatewayLoad load;
  load.mAccounts = kAccounts;
  load.mStrictRevocation = aStrict;
  load.mRevokeWithin = kRevokeWithin;
  return load;
}

template<class Condition>
std::size_t CountArrivals(const GatewayWorld& aWorld,
                          Micros aFrom,
                          Condition aCondition)
{
  return static_cast<std::size_t>(
    std::count_if(aWorld.mArrivals.begin(),
                  aWorld.mArrivals.end(),
                  [&](const TargetArrival& aArrival) {
                    return aArrival.mAt >= aFrom && aCondition(aArrival);
                  }));
}

// Requests at targets for an account, by all hosts.
std::size_t ArrivalsOf(const GatewayWorld& aWorld, int aAccount, Micros aFrom)
{
  const std::string name = "a" + std::to_string(aAccount);
  return CountArrivals(aWorld, aFrom, [&](const TargetArrival& aArrival) {
    return aArrival.mAccount == name;
  });
}

std::size_t ArrivalsFrom(const GatewayWorld& aWorld,
                         std::size_t aHost,
                         Micros aFrom)
{
  return CountArrivals(aWorld, aFrom, [&](const TargetArrival& aArrival) {
    return aArrival.mHostIndex == aHost;
  });
}

} // namespace

/// \brief Keys are taken away while hosts and the control group fail.
class GatewayRevocationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayRevocationTest);
  CPPUNIT_TEST(KeysTakenAwayInSeriesBindAllHosts);
  CPPUNIT_TEST(KeysTakenAwayBindAllHostsThoughLeadersAreLost);
  CPPUNIT_TEST(StrictHostsWithoutTheGroupRefuseInTime);
  CPPUNIT_TEST(OtherHostsWithoutTheGroupServeUntilTheyHearOfIt);
  CPPUNIT_TEST(EachRequestBearsItsOwnAccountThroughOtherHosts);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeysTakenAwayInSeriesBindAllHosts()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(LoadWithAccounts(), seed);
      Begin(world);
      std::vector<Micros> acknowledged;
      for (int i = 0; i < 3; ++i) {
        acknowledged.push_back(TakeAwayNextKey(world));
        world.Advance(400 * kMillisecond);
      }
      world.Advance(4 * kSecond);
      for (int i = 0; i < 3; ++i) {
        const std::size_t late = ArrivalsOf(
          world, i, acknowledged[static_cast<std::size_t>(i)] + kInForce);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "seed " + std::to_string(seed), std::size_t(0), late);
        CPPUNIT_ASSERT(ArrivalsOf(world, i + 3, world.Now() - kSecond) > 0);
      }
    }
  }

  void KeysTakenAwayBindAllHostsThoughLeadersAreLost()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(LoadWithAccounts(), seed);
      Begin(world);
      for (int i = 0; i < 2; ++i) {
        const Micros at = TakeAwayNextKey(world);
        const std::size_t leader = world.LeaderHost();
        world.KillHost(leader);
        world.Advance(3 * kSecond);
        world.StartHost(leader);
        world.Advance(5 * kSecond);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          "seed " + std::to_string(seed),
          std::size_t(0),
          ArrivalsOf(world, i, at + kInForceAfterLosses));
      }
      CPPUNIT_ASSERT(ArrivalsOf(world, kAccounts - 1, world.Now() - kSecond) >
                     0);
    }
  }

  void StrictHostsWithoutTheGroupRefuseInTime()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(LoadWithAccounts(true), seed);
      Begin(world);
      const std::size_t cut = CutLastHost(world);
      const Micros at = TakeAwayNextKey(world);
      world.Advance(7 * kSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::size_t(0),
                                   ArrivalsOf(world, 0, at + kRevokeWithin));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           ArrivalsFrom(world, cut, at + kRevokeWithin));
      world.mCutOff.clear();
      world.Advance(5 * kSecond);
      CPPUNIT_ASSERT(ArrivalsFrom(world, cut, world.Now() - 2 * kSecond) > 0);
    }
  }

  void OtherHostsWithoutTheGroupServeUntilTheyHearOfIt()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(LoadWithAccounts(), seed);
      Begin(world);
      const std::size_t cut = CutLastHost(world);
      const Micros at = TakeAwayNextKey(world);
      world.Advance(7 * kSecond);
      CPPUNIT_ASSERT(ArrivalsFrom(world, cut, at + kRevokeWithin) > 0);
      world.mCutOff.clear();
      world.Advance(kInForceAfterLosses);
      const Micros heard = world.Now();
      world.Advance(2 * kSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::size_t(0),
                                   ArrivalsOf(world, 0, heard));
    }
  }

  // Hosts whose links to targets hang pass requests on.
  void EachRequestBearsItsOwnAccountThroughOtherHosts()
  {
    GatewayWorld world(LoadWithAccounts(), 3);
    Begin(world);
    for (std::size_t host = 0; host < 3; ++host) {
      world.SetTargetLinks(host, fakes::TargetLinks::Hanging);
    }
    const Micros from = world.Now();
    world.Advance(5 * kSecond);
    std::uint64_t passedOn = 0;
    for (std::size_t host = 0; host < world.Hosts(); ++host) {
      const dispatch::Counters& counters = world.At(host).mDispatch.mCounters;
      const auto found = counters.find("relayed_requests");
      passedOn += found == counters.end() ? 0 : found->second;
      CPPUNIT_ASSERT(counters.count("replies_503_not_from_a_host") == 0);
    }
    CPPUNIT_ASSERT(passedOn > 20);
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(0),
      CountArrivals(world, from, [](const TargetArrival& aArrival) {
        const auto number = std::stoull(aArrival.mPath.substr(1));
        return aArrival.mAccount != "a" + std::to_string(number % kAccounts);
      }));
  }

private:
  static void Begin(GatewayWorld& aWorld)
  {
    aWorld.Settle();
    aWorld.StartClients(60 * kSecond);
    aWorld.Advance(2 * kSecond);
    CPPUNIT_ASSERT(ArrivalsOf(aWorld, 0, 0) > 0);
  }

  static std::size_t CutLastHost(GatewayWorld& aWorld)
  {
    const std::size_t host = aWorld.Hosts() - 1;
    aWorld.mCutOff.insert(host);
    return host;
  }

  // Returns the time of the acknowledgement.
  static Micros TakeAwayNextKey(GatewayWorld& aWorld)
  {
    ++aWorld.mKeysTakenAway;
    const std::uint64_t before = aWorld.AcknowledgedPolicy();
    for (int i = 0; i < 10 && aWorld.AcknowledgedPolicy() == before; ++i) {
      aWorld.PutNextPolicy(aWorld.LeaderHost());
      for (int j = 0; j < 50 && aWorld.AcknowledgedPolicy() == before; ++j) {
        aWorld.Advance(20 * kMillisecond);
      }
    }
    CPPUNIT_ASSERT(aWorld.AcknowledgedPolicy() > before);
    return aWorld.Now();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayRevocationTest);

} // namespace geraniumpond::gateway
