#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

constexpr int kControlHosts = 3;
constexpr int kToleratedLosses = 1;
constexpr const char* kOperatorHost = "10.0.0.5:1";
/// After the last fault acknowledged changes are served within this time.
constexpr Micros kRecoveryTime = 8 * kSecond;

std::string ControlAddress(int aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":1";
}

} // namespace

// Guards against acknowledged changes that are lost because a voter counted
// what an earlier process had written, but not synced, as durable.
class RestartedVoterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RestartedVoterTest);
  CPPUNIT_TEST(ChangeAcknowledgedAfterAKillSurvivesALossOfPower);
  CPPUNIT_TEST_SUITE_END();

public:
  // The third voter is too slow for its copy to count.
  void ChangeAcknowledgedAfterAKillSurvivesALossOfPower()
  {
    FleetSimulation simulation;
    StartFleet(simulation);
    const std::string leader = simulation.Leader();
    const std::vector<std::string> others = OthersThan(leader);
    simulation.mStalledDisks = { others.begin(), others.end() };
    const std::uint64_t change =
      simulation.Submit(kOperatorHost, PutPolicyCommand(2, 1, "two"));
    simulation.Advance(20 * kMillisecond);
    simulation.Kill(others.front());
    simulation.mStalledDisks.erase(others.front());
    simulation.Start(others.front(), false);
    const auto& outcomes = simulation.Node(kOperatorHost).mOutcomes;
    CPPUNIT_ASSERT(simulation.RunUntil(
      kSecond, [&] { return outcomes.count(change) != 0; }));
    CPPUNIT_ASSERT(outcomes.at(change).mOutcome.accepted());
    LoseAllPower(simulation, leader);
    CPPUNIT_ASSERT(simulation.RunUntil(kRecoveryTime, [&] {
      return simulation.Node(kOperatorHost).mState.mCatalog.mVersion == 2;
    }));
  }

private:
  static void StartFleet(FleetSimulation& aSimulation)
  {
    aSimulation.StartFleet(kControlHosts, 2, kToleratedLosses);
    CPPUNIT_ASSERT(aSimulation.RunUntil(10 * kSecond, [&] {
      return aSimulation.Voters() == std::size_t(kControlHosts);
    }));
    aSimulation.Advance(kSecond);
    CPPUNIT_ASSERT(
      aSimulation.Commit(kOperatorHost, PutPolicyCommand(1, 0, "one")));
  }

  static std::vector<std::string> OthersThan(const std::string& aLeader)
  {
    std::vector<std::string> others;
    for (int number = 1; number <= kControlHosts; ++number) {
      if (ControlAddress(number) != aLeader) {
        others.push_back(ControlAddress(number));
      }
    }
    return others;
  }

  static void LoseAllPower(FleetSimulation& aSimulation,
                           const std::string& aWiped)
  {
    for (const std::string& address : aSimulation.Addresses()) {
      aSimulation.LosePower(address);
    }
    aSimulation.Wipe(aWiped);
    aSimulation.mStalledDisks.clear();
    aSimulation.Advance(kSecond);
    for (const std::string& address : aSimulation.Addresses()) {
      aSimulation.Start(address, false);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedVoterTest);

} // namespace geraniumpond::fleet
