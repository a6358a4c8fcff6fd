#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

namespace {

/// In this time after its acknowledgement a change is in force at every host
/// that hears the control group.
constexpr Micros kInForceWithin = 2 * kSecond;
constexpr std::uint64_t kDraws = 12;
/// The cut falls within this time around the change.
constexpr Micros kAround = 60 * kMillisecond;

} // namespace

/// \brief Hosts are cut off from all control hosts while something changes, and
/// still reach the other hosts.
class FleetCutTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetCutTest);
  CPPUNIT_TEST(HostsBelowRelaysThatAreCutOffHaveAChangeInTime);
  CPPUNIT_TEST(HostsBelowRelaysThatAreCutOffHearOfATargetThatLeavesInTime);
  CPPUNIT_TEST(HostsThreeLevelsBelowRelaysThatAreCutOffHaveAChangeInTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostsBelowRelaysThatAreCutOffHaveAChangeInTime()
  {
    for (std::uint64_t seed = 1; seed <= kDraws; ++seed) {
      Begin(seed, 3, 94);
      ChangeBesideACut(PutPolicyCommand(2, 1, "two"));
      ExpectAtHostsNotCutOff(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mVersion == 2;
      });
    }
  }

  void HostsBelowRelaysThatAreCutOffHearOfATargetThatLeavesInTime()
  {
    for (std::uint64_t seed = 1; seed <= kDraws; ++seed) {
      Begin(seed, 3, 94);
      CPPUNIT_ASSERT(
        mSimulation.Commit("10.0.0.1:1", PutTargetCommand("t", 1, false)));
      mSimulation.Advance(kSecond);
      ChangeBesideACut(PutTargetCommand("t", 2, true));
      ExpectAtHostsNotCutOff(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mTargets.at("t").draining();
      });
    }
  }

  void HostsThreeLevelsBelowRelaysThatAreCutOffHaveAChangeInTime()
  {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      Begin(seed, 1, 200);
      ChangeBesideACut(PutPolicyCommand(2, 1, "two"));
      ExpectAtHostsNotCutOff(seed, [](const catalog::State& aCatalog) {
        return aCatalog.mVersion == 2;
      });
    }
  }

private:
  void Begin(std::uint64_t aSeed, int aDataCentres, int aOthers)
  {
    mRandom.seed(aSeed);
    mSimulation = FleetSimulation(aSeed);
    mSimulation.StartSpreadFleet(aDataCentres, aOthers, (aDataCentres - 1) / 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(10 * kSecond, [&] {
      return mSimulation.Voters() == static_cast<std::size_t>(aDataCentres);
    }));
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one")));
    // The tree has its shape, and hosts are anywhere between two reports.
    mSimulation.Advance(10 * kSecond + Below(kSecond));
  }

  Micros Below(Micros aBound)
  {
    return static_cast<Micros>(mRandom() % static_cast<std::uint64_t>(aBound));
  }

  // Of four in ten hosts without a disk.
  void CutSome()
  {
    for (const std::string& address : mSimulation.Addresses()) {
      if (!mSimulation.IsControl(address) && mRandom() % 10 < 4) {
        mSimulation.mIsolatedFromControl.insert(address);
      }
    }
  }

  void ChangeBesideACut(const wire::CatalogCommand& aCommand)
  {
    const std::string leader = mSimulation.Leader();
    const bool cutFirst = mRandom() % 2 == 0;
    if (cutFirst) {
      CutSome();
      mSimulation.Advance(Below(kAround));
    }
    const std::uint64_t id = mSimulation.Submit(leader, aCommand);
    if (!cutFirst) {
      mSimulation.Advance(Below(kAround / 4));
      CutSome();
    }
    const auto& done = mSimulation.Node(leader).mDone;
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(kSecond, [&] { return done.count(id) != 0; }));
    CPPUNIT_ASSERT(done.at(id).mOutcome.accepted());
    mAcknowledgedAt = mSimulation.mNow;
  }

  template<class Condition>
  void ExpectAtHostsNotCutOff(std::uint64_t aSeed, Condition aHolds)
  {
    mSimulation.Advance(mAcknowledgedAt + kInForceWithin - mSimulation.mNow);
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

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCutTest);

} // namespace geraniumpond::fleet
