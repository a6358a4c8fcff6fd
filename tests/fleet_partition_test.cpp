#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

namespace {

/// Within this time after its acknowledgement a change is in force at every
/// host that is connected to the control group.
constexpr Micros kChangeDeadline = 2 * kSecond;
constexpr std::uint64_t kSeeds = 12;
/// Most time between the isolation and the change.
constexpr Micros kMaxOffset = 60 * kMillisecond;

} // namespace

/// \brief Isolates hosts from all control hosts, but not from the other hosts,
/// while the catalog changes.
class FleetPartitionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetPartitionTest);
  CPPUNIT_TEST(HostsBelowIsolatedRelaysApplyAChangeInTime);
  CPPUNIT_TEST(HostsBelowIsolatedRelaysLearnOfADrainingTargetInTime);
  CPPUNIT_TEST(HostsThreeLevelsBelowIsolatedRelaysApplyAChangeInTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostsBelowIsolatedRelaysApplyAChangeInTime()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      StartSettledFleet(seed, 3, 94);
      ChangeDuringIsolation(PutPolicyCommand(2, 1, "two"));
      ExpectAtConnectedHosts(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mVersion == 2;
      });
    }
  }

  void HostsBelowIsolatedRelaysLearnOfADrainingTargetInTime()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      StartSettledFleet(seed, 3, 94);
      CPPUNIT_ASSERT(
        mSimulation.Commit("10.0.0.1:1", PutTargetCommand("t", 1, false)));
      mSimulation.Advance(kSecond);
      ChangeDuringIsolation(PutTargetCommand("t", 2, true));
      ExpectAtConnectedHosts(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mTargets.at("t").draining();
      });
    }
  }

  void HostsThreeLevelsBelowIsolatedRelaysApplyAChangeInTime()
  {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      StartSettledFleet(seed, 1, 200);
      ChangeDuringIsolation(PutPolicyCommand(2, 1, "two"));
      ExpectAtConnectedHosts(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mVersion == 2;
      });
    }
  }

private:
  void StartSettledFleet(std::uint64_t aSeed, int aDataCentres, int aOthers)
  {
    mRandom.seed(aSeed);
    mSimulation = FleetSimulation(aSeed);
    mSimulation.StartSpreadFleet(aDataCentres, aOthers, (aDataCentres - 1) / 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(10 * kSecond, [&] {
      return mSimulation.Voters() == static_cast<std::size_t>(aDataCentres);
    }));
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one")));
    // The tree has settled, at a random time between two reports.
    mSimulation.Advance(10 * kSecond + RandomBelow(kSecond));
  }

  Micros RandomBelow(Micros aBound)
  {
    return static_cast<Micros>(mRandom() % static_cast<std::uint64_t>(aBound));
  }

  // Isolates about 40 % of the hosts without a disk.
  void IsolateSomeHosts()
  {
    for (const std::string& address : mSimulation.Addresses()) {
      if (!mSimulation.IsControl(address) && mRandom() % 10 < 4) {
        mSimulation.mIsolatedFromControl.insert(address);
      }
    }
  }

  void ChangeDuringIsolation(const wire::CatalogCommand& aCommand)
  {
    const std::string leader = mSimulation.Leader();
    const bool isolateFirst = mRandom() % 2 == 0;
    if (isolateFirst) {
      IsolateSomeHosts();
      mSimulation.Advance(RandomBelow(kMaxOffset));
    }
    const std::uint64_t id = mSimulation.Submit(leader, aCommand);
    if (!isolateFirst) {
      mSimulation.Advance(RandomBelow(kMaxOffset / 4));
      IsolateSomeHosts();
    }
    const auto& done = mSimulation.Node(leader).mOutcomes;
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(kSecond, [&] { return done.count(id) != 0; }));
    CPPUNIT_ASSERT(done.at(id).mOutcome.accepted());
    mAcknowledgedAt = mSimulation.mNow;
  }

  template<class Condition>
  void ExpectAtConnectedHosts(std::uint64_t aSeed, Condition aHolds)
  {
    mSimulation.Advance(mAcknowledgedAt + kChangeDeadline - mSimulation.mNow);
    int behind = 0;
    for (const std::string& address : mSimulation.Addresses()) {
      const catalog::State& catalog = mSimulation.Node(address).mState.mCatalog;
      behind +=
        mSimulation.mIsolatedFromControl.count(address) == 0 && !aHolds(catalog)
          ? 1
          : 0;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "hosts behind, seed " + std::to_string(aSeed), 0, behind);
  }

  FleetSimulation mSimulation;
  std::mt19937_64 mRandom;
  Micros mAcknowledgedAt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPartitionTest);

} // namespace geraniumpond::fleet
