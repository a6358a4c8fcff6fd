#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

constexpr int kDataCentres = 6;
constexpr int kOthers = 470;
/// Facts that are observed each second, and hosts that observe each of them.
constexpr int kFactsPerSecond = 20;
constexpr int kObservers = 3;
/// Time for which the control group is cut in two halves.
constexpr Micros kCutTime = 8 * kSecond;
/// Time that a group has to settle after the last fault.
constexpr Micros kSettleTime = 15 * kSecond;
constexpr Micros kStep = 10 * kMillisecond;

// Of the processor of small hosts.
constexpr int kPercentForMessages = 25;

} // namespace

// Guards against facts that all hosts tell all control hosts while the group
// has no leader, and that keep these from answering once it has one.
class FleetFactsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetFactsTest);
  CPPUNIT_TEST(HostsAreInTouchAgainAfterACutInHalvesThoughFactsAreShared);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostsAreInTouchAgainAfterACutInHalvesThoughFactsAreShared()
  {
    mSimulation = FleetSimulation(1);
    mRandom.seed(1);
    mSimulation.StartSpreadFleet(kDataCentres, kOthers, 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one"));
    }));
    mSimulation.Advance(3 * kSecond);
    mSimulation.mProcessingCost = fakes::SmallHostCostWith(kPercentForMessages);
    AdvanceWithFacts(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "before the cut", 0, mSimulation.HostsOutOfTouch());
    mSimulation.mShouldDrop = [this](const fakes::SentMessage& aSent) {
      return mSimulation.IsControl(aSent.mFrom) &&
             mSimulation.IsControl(aSent.mTo) &&
             IsInFirstHalf(aSent.mFrom) != IsInFirstHalf(aSent.mTo);
    };
    AdvanceWithFacts(kCutTime);
    mSimulation.mShouldDrop = nullptr;
    const Micros end = mSimulation.mNow + kSettleTime;
    while (mSimulation.mNow < end && mSimulation.HostsOutOfTouch() != 0) {
      AdvanceWithFacts(100 * kMillisecond);
    }
    CPPUNIT_ASSERT_EQUAL(0, mSimulation.HostsOutOfTouch());
  }

private:
  static bool IsInFirstHalf(const std::string& aControlHost)
  {
    return aControlHost < "10.0.3";
  }

  void AdvanceWithFacts(Micros aTime)
  {
    for (Micros passed = 0; passed < aTime; passed += kStep) {
      mDue += kFactsPerSecond * kStep;
      for (; mDue >= kSecond; mDue -= kSecond) {
        ShareNextFact();
      }
      mSimulation.Advance(kStep);
    }
  }

  void ShareNextFact()
  {
    const std::string key = "request" + std::to_string(++mShared);
    const std::vector<std::string> hosts = mSimulation.Addresses();
    for (int i = 0; i < kObservers; ++i) {
      mSimulation.ShareFact(
        hosts[mRandom() % hosts.size()],
        { gossip::Kind::RequestCrash, key, "release", mSimulation.mNow });
    }
  }

  FleetSimulation mSimulation;
  std::mt19937_64 mRandom;
  int mShared = 0;
  Micros mDue = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetFactsTest);

} // namespace geraniumpond::fleet
