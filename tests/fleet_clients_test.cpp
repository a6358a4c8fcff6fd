#include "fakes/fleet_clients.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

constexpr int kDataCentres = 6;
constexpr int kOthers = 470;
constexpr int kRequestsPerSecond = 1400;

/// Time that a group has to settle after the last fault.
constexpr Micros kSettleTime = 15 * kSecond;
constexpr Micros kStep = 10 * kMillisecond;

// 5 ms of a core for each request of a client, and for messages what other
// tests charge, on control hosts with a quarter of a core and other hosts with
// a tenth.
constexpr fakes::RequestCost kRequestCost = { 20 * kMillisecond,
                                              50 * kMillisecond };

} // namespace

// Guards against clients that all go to the control hosts after a restart of
// the fleet: these were ready first, so that hosts named them alone; busy with
// requests, they lost their leader; and without a leader no host heard of any
// other that it could have named.
class FleetClientsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetClientsTest);
  CPPUNIT_TEST(FleetIsInTouchAgainThoughClientsGoOnAfterAKillOfAllHosts);
  CPPUNIT_TEST(HostThatHasJustStartedNamesItself);
  CPPUNIT_TEST(HostThatIsNotReadyNamesNoControlHost);
  CPPUNIT_TEST(HostThatLostTouchKeepsNamingTheOthers);
  CPPUNIT_TEST(HostNamesItselfWhileRestartedControlHostsHearOfTheOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  void FleetIsInTouchAgainThoughClientsGoOnAfterAKillOfAllHosts()
  {
    for (const std::uint64_t seed : { 1, 2 }) {
      const std::string message = "seed " + std::to_string(seed);
      StartFleet(kOthers, seed);
      mSimulation.mProcessingCost = fakes::kSmallHostCost;
      AdvanceWithClients(2 * kSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, mSimulation.HostsOutOfTouch());
      KillAndStartAll();
      const Micros end = mSimulation.mNow + kSettleTime;
      while (mSimulation.mNow < end && mSimulation.HostsOutOfTouch() != 0) {
        AdvanceWithClients(100 * kMillisecond);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, mSimulation.HostsOutOfTouch());
      AdvanceWithClients(2 * kSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, mSimulation.HostsOutOfTouch());
      CPPUNIT_ASSERT_MESSAGE(
        message,
        mSimulation.Commit("10.1.2.2:1", PutPolicyCommand(2, 1, "two")));
    }
  }

  void HostThatHasJustStartedNamesItself()
  {
    StartFleet(24);
    KillAndStartAll();
    CPPUNIT_ASSERT(mSimulation.RunUntil(2 * kSecond, [&] {
      mClients->MakeHostsReady();
      return mSimulation.Node(kHost).mState.mReady;
    }));
    CPPUNIT_ASSERT(mClients->NamedBy(kHost) ==
                   std::vector<std::string>{ kHost });
    CPPUNIT_ASSERT(mSimulation.RunUntil(5 * kSecond, [&] {
      mClients->MakeHostsReady();
      return mClients->NamedBy(kHost).size() == mSimulation.Addresses().size();
    }));
  }

  void HostThatIsNotReadyNamesNoControlHost()
  {
    StartFleet(24);
    mSimulation.Kill(kHost);
    mSimulation.Start(kHost, false);
    CPPUNIT_ASSERT(mSimulation.RunUntil(
      2 * kSecond, [&] { return !mClients->NamedBy(kHost).empty(); }));
    for (const std::string& named : mClients->NamedBy(kHost)) {
      CPPUNIT_ASSERT_MESSAGE(named, !mSimulation.IsControl(named));
    }
  }

  void HostThatLostTouchKeepsNamingTheOthers()
  {
    StartFleet(24);
    mSimulation.mIsolated = { kHost };
    mSimulation.Advance(5 * kSecond);
    CPPUNIT_ASSERT(
      !IsInTouch(mSimulation.Node(kHost).mState, mSimulation.mNow));
    CPPUNIT_ASSERT_EQUAL(mSimulation.Addresses().size(),
                         mClients->NamedBy(kHost).size());
  }

  // The list of a control host that has just started lacks most hosts.
  void HostNamesItselfWhileRestartedControlHostsHearOfTheOthers()
  {
    StartFleet(kOthers);
    KillAndStartControlHosts();
    for (Micros passed = 0; passed < 10 * kSecond; passed += kStep) {
      mSimulation.Advance(kStep);
      mClients->MakeHostsReady();
      const std::size_t named = mClients->NamedBy(kHost).size();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(passed / kMillisecond) +
                               " ms: " + std::to_string(named),
                             named == 1 || named > kOthers / 2);
    }
    CPPUNIT_ASSERT_EQUAL(mSimulation.Addresses().size(),
                         mClients->NamedBy(kHost).size());
  }

private:
  static constexpr const char* kControl = "10.0.0.1:1";
  static constexpr const char* kHost = "10.1.2.2:1";

  void StartFleet(int aOthers, std::uint64_t aSeed = 1)
  {
    mSimulation = FleetSimulation(aSeed);
    mSimulation.StartSpreadFleet(kDataCentres, aOthers, 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit(kControl, PutPolicyCommand(1, 0, "one"));
    }));
    mClients.emplace(mSimulation, kDataCentres, kRequestCost, aSeed);
    mSimulation.Advance(2 * kSecond);
    mClients->MakeHostsReady();
    mSimulation.Advance(3 * kSecond);
  }

  void KillAndStartAll()
  {
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    AdvanceWithClients(700 * kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
  }

  void KillAndStartControlHosts()
  {
    for (const std::string& address : mSimulation.Addresses()) {
      if (mSimulation.IsControl(address)) {
        mSimulation.Kill(address);
      }
    }
    mSimulation.Advance(700 * kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      if (mSimulation.IsControl(address)) {
        mSimulation.Start(address, false);
      }
    }
  }

  void AdvanceWithClients(Micros aTime)
  {
    for (Micros passed = 0; passed < aTime; passed += kStep) {
      mClients->MakeHostsReady();
      for (Micros i = 0; i < kRequestsPerSecond * kStep / kSecond; ++i) {
        mClients->SendRequest();
      }
      mSimulation.Advance(kStep);
    }
  }

  FleetSimulation mSimulation;
  std::optional<fakes::FleetClients> mClients;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetClientsTest);

} // namespace geraniumpond::fleet
