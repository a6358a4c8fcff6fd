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
constexpr Micros kContact = 3 * kSecond;
/// First tries that may fail though others are served.
constexpr int kFailuresAllowed = 10;
constexpr double kFailureShareAllowed = 1.0 / 50;
/// Least share served, compared with that at the other hosts.
constexpr double kLeastServed = 2.0 / 3;

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

private:
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
    world.UseDirectory(kClients);
    world.Settle();
    world.StartClients(kCutFor + 8 * kSecond);
    world.Advance(4 * kSecond);
    for (const std::size_t host : aHosts) {
      world.SetTargetLinks(host, aLinks);
    }
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
    const double allowed =
      kFailuresAllowed + kFailureShareAllowed * (cut.mSent + others.mSent);
    const bool servedLikeOthers =
      ShareServed(cut) >= kLeastServed * ShareServed(others);
    CPPUNIT_ASSERT_MESSAGE(
      "seed " + std::to_string(aSeed) + ": served " +
        std::to_string(cut.mServed) + " of " + std::to_string(cut.mSent) +
        ", at other hosts " + std::to_string(others.mServed) + " of " +
        std::to_string(others.mSent),
      servedLikeOthers || cut.mSent - cut.mServed <= allowed);
    CPPUNIT_ASSERT(world.mViolations.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTargetLinksTest);

} // namespace geraniumpond::gateway
