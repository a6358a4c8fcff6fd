#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace geraniumpond::gateway {

namespace {

using fakes::FirstTries;
using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetLinks;

constexpr int kClients = 320;
constexpr Micros kCutFor = 12 * kSecond;
/// Time after a cut from which on clients have to be served.
constexpr Micros kContact = 1 * kSecond;
/// Least share served, compared with that at the other hosts.
constexpr double kLeastServed = 0.9;

double ShareServed(const FirstTries& aTries)
{
  return aTries.mSent == 0 ? 1 : 1.0 * aTries.mServed / aTries.mSent;
}

} // namespace

class GatewayTargetLinksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayTargetLinksTest);
  CPPUNIT_TEST(ClientsOfSomeHostsWithoutTargetsAreServedLikeOthers);
  CPPUNIT_TEST(ClientsOfMostHostsWithoutTargetsAreServedLikeOthers);
  CPPUNIT_TEST(ClientsOfADataCentreWithoutTargetsAreServedLikeOthers);
  CPPUNIT_TEST(ClientsOfHostsWithOnlyOpenConnectionsAreServedLikeOthers);
  CPPUNIT_TEST(TargetsThatAreDownTakeNoHostOut);
  CPPUNIT_TEST(HostsThatReachTargetsAgainAreNamedAgain);
  CPPUNIT_TEST(LinksThatComeAndGoDoNotMakeAHostAlternate);
  CPPUNIT_TEST(UnsafeRequestsRunOnceThoughHostsInBetweenDie);
  CPPUNIT_TEST_SUITE_END();

public:
  void ClientsOfSomeHostsWithoutTargetsAreServedLikeOthers()
  {
    const std::vector<std::size_t> hosts = { 0, 2, 4 };
    AssertServedLikeOthers(hosts, TargetLinks::Hanging, 1);
    AssertServedLikeOthers(hosts, TargetLinks::Reset, 2);
  }

  void ClientsOfMostHostsWithoutTargetsAreServedLikeOthers()
  {
    AssertServedLikeOthers(FirstHosts(8), TargetLinks::Hanging, 3);
    AssertServedLikeOthers(FirstHosts(11), TargetLinks::Reset, 4);
    AssertServedLikeOthers(FirstHosts(13), TargetLinks::Hanging, 5);
    AssertServedLikeOthers(FirstHosts(14), TargetLinks::Hanging, 9);
    AssertServedLikeOthers(FirstHosts(14), TargetLinks::Reset, 10);
  }

  void ClientsOfADataCentreWithoutTargetsAreServedLikeOthers()
  {
    const std::vector<std::size_t> hosts = { 1, 5, 9, 13 };
    AssertServedLikeOthers(hosts, TargetLinks::Hanging, 6);
    AssertServedLikeOthers(hosts, TargetLinks::Reset, 7);
  }

  void ClientsOfHostsWithOnlyOpenConnectionsAreServedLikeOthers()
  {
    AssertServedLikeOthers(FirstHosts(8), TargetLinks::OnlyOpenConnections, 8);
  }

  void TargetsThatAreDownTakeNoHostOut()
  {
    GatewayWorld world(GatewayLoad{}, 11);
    Start(world, 12 * kSecond);
    for (const std::string& address : world.TargetAddresses()) {
      world.SilenceTarget(address, 3 * kSecond);
    }
    for (int i = 0; i < 6; ++i) {
      world.Advance(500 * kMillisecond);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), CutOffHosts(world));
      CPPUNIT_ASSERT_EQUAL(world.Hosts(), NamedHosts(world));
    }
    world.Advance(2 * kSecond);
    const int failed = world.mTally.mRefused + world.mTally.mFailed;
    world.Advance(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(failed, world.mTally.mRefused + world.mTally.mFailed);
  }

  void HostsThatReachTargetsAgainAreNamedAgain()
  {
    GatewayWorld world(GatewayLoad{}, 12);
    Start(world, 12 * kSecond);
    SetLinks(world, FirstHosts(8), TargetLinks::Hanging);
    world.Advance(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), CutOffHosts(world));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), NamedHosts(world));
    SetLinks(world, FirstHosts(8), TargetLinks::Intact);
    world.Advance(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), CutOffHosts(world));
    CPPUNIT_ASSERT_EQUAL(world.Hosts(), NamedHosts(world));
  }

  void LinksThatComeAndGoDoNotMakeAHostAlternate()
  {
    GatewayWorld world(GatewayLoad{}, 13);
    Start(world, 20 * kSecond);
    const std::vector<std::size_t> hosts = FirstHosts(4);
    int changes = 0;
    std::size_t before = 0;
    for (int i = 0; i < 12; ++i) {
      SetLinks(
        world, hosts, i % 2 == 0 ? TargetLinks::Hanging : TargetLinks::Intact);
      for (int step = 0; step < 10; ++step) {
        world.Advance(50 * kMillisecond);
        const std::size_t now = world.At(0).mDispatch.mReach.mCutOff ? 1 : 0;
        changes += now != before ? 1 : 0;
        before = now;
      }
    }
    CPPUNIT_ASSERT(changes <= 2);
  }

  void UnsafeRequestsRunOnceThoughHostsInBetweenDie()
  {
    for (const std::uint64_t seed : { 21, 22, 23, 24, 25 }) {
      GatewayLoad load;
      load.mIdempotent = false;
      GatewayWorld world(load, seed);
      Start(world, 12 * kSecond);
      SetLinks(world,
               FirstHosts(8),
               seed % 2 == 0 ? TargetLinks::Hanging : TargetLinks::Reset);
      for (std::size_t i = 0; i < 16; ++i) {
        const std::size_t host = 8 + i % 7;
        world.KillHost(host);
        world.Advance(250 * kMillisecond);
        world.StartHost(host);
        world.Advance(250 * kMillisecond);
      }
      CPPUNIT_ASSERT(Relays(world) > 0);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.mViolations.size());
    }
  }

private:
  static void Start(GatewayWorld& aWorld, Micros aClientsFor)
  {
    aWorld.UseDirectory(kClients);
    aWorld.Settle();
    aWorld.StartClients(aClientsFor);
    aWorld.Advance(4 * kSecond);
  }

  static void SetLinks(GatewayWorld& aWorld,
                       const std::vector<std::size_t>& aHosts,
                       TargetLinks aLinks)
  {
    for (const std::size_t host : aHosts) {
      aWorld.SetTargetLinks(host, aLinks);
    }
  }

  static std::size_t CutOffHosts(const GatewayWorld& aWorld)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < aWorld.Hosts(); ++i) {
      count += dispatch::IsCutOff(aWorld.At(i).mDispatch) ? 1 : 0;
    }
    return count;
  }

  /// Hosts that a host without a disk names to clients.
  static std::size_t NamedHosts(const GatewayWorld& aWorld)
  {
    const State& state = aWorld.At(aWorld.Hosts() - 1);
    return fleet::HostsForClients(state.mFleet, aWorld.Now()).size();
  }

  static std::uint64_t Relays(const GatewayWorld& aWorld)
  {
    std::uint64_t sent = 0;
    for (std::size_t i = 0; i < aWorld.Hosts(); ++i) {
      const auto& counters = aWorld.At(i).mDispatch.mCounters;
      const auto found = counters.find("relays_sent");
      sent += found == counters.end() ? 0 : found->second;
    }
    return sent;
  }

  static std::vector<std::size_t> FirstHosts(std::size_t aCount)
  {
    std::vector<std::size_t> hosts;
    for (std::size_t i = 0; i < aCount; ++i) {
      hosts.push_back(i);
    }
    return hosts;
  }

  static void AssertServedLikeOthers(const std::vector<std::size_t>& aHosts,
                                     TargetLinks aLinks,
                                     std::uint64_t aSeed)
  {
    GatewayWorld world(GatewayLoad{}, aSeed);
    Start(world, kCutFor + 8 * kSecond);
    SetLinks(world, aHosts, aLinks);
    world.Advance(kContact);
    world.mCountsFirstTries = true;
    world.Advance(kCutFor - kContact);
    FirstTries cut;
    FirstTries others;
    for (const auto& [host, tries] : world.mFirstTries) {
      const bool isCut = std::count(aHosts.begin(), aHosts.end(), host) != 0;
      FirstTries& sum = isCut ? cut : others;
      sum.mSent += tries.mSent;
      sum.mServed += tries.mServed;
    }
    CPPUNIT_ASSERT_MESSAGE(
      "seed " + std::to_string(aSeed) + ": served " +
        std::to_string(cut.mServed) + " of " + std::to_string(cut.mSent) +
        ", at other hosts " + std::to_string(others.mServed) + " of " +
        std::to_string(others.mSent),
      ShareServed(cut) >= kLeastServed * ShareServed(others));
    CPPUNIT_ASSERT(world.mViolations.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTargetLinksTest);

} // namespace geraniumpond::gateway
