#include "fakes/fleet_clients.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

namespace {

constexpr int kDataCentres = 6;
constexpr int kOthers = 470;
constexpr int kTargets = 1080;
constexpr int kRequestsPerSecond = 1400;
constexpr std::uint64_t kVersion = 2;

/// Time that a group has to settle after the last fault.
constexpr Micros kSettleTime = 15 * kSecond;
/// Time in which the operator must have read the policy back.
constexpr Micros kReadBackTime = 2 * kSecond;
/// After this time an operator gives up on a host and asks another one.
constexpr Micros kOperatorTimeout = 1 * kSecond;
/// Delay after an answer without a policy; doubles with each such answer.
constexpr Micros kInitialBackoff = 50 * kMillisecond;
constexpr int kOperators = 20;
/// Each target announces itself at any host once in this time, all along.
constexpr Micros kAnnouncementInterval = 1 * kSecond;
constexpr Micros kDownTime = 700 * kMillisecond;
constexpr Micros kStep = 10 * kMillisecond;

/// Work of a fleet, on a share of the processor that it is given for messages.
struct Load
{
  std::uint64_t mSeed;
  int mPercent;
  fakes::RequestCost mRequest;
};

fakes::RequestCost RequestsOf(Micros aAtControlHost)
{
  return { aAtControlHost, aAtControlHost * 5 / 2 };
}

} // namespace

// Guards against a policy that cannot be read back after a loss of all hosts,
// because these spend their time on clients while others wait for them.
class FleetReadBackTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetReadBackTest);
  CPPUNIT_TEST(PolicyIsReadBackThoughClientsAndTargetsGoOnAfterAKillOfAllHosts);
  CPPUNIT_TEST(ClientsAndTargetsAreCarriedAgainAfterAKillOfAllHosts);
  CPPUNIT_TEST(ClientsAndTargetsAreCarriedAgainWithLittleProcessorToSpare);
  CPPUNIT_TEST_SUITE_END();

public:
  void PolicyIsReadBackThoughClientsAndTargetsGoOnAfterAKillOfAllHosts()
  {
    for (const std::uint64_t seed : { 1, 2 }) {
      KillAllUnder({ seed, 10, RequestsOf(30 * kMillisecond) });
      AdvanceWithLoad(kSettleTime);
      int readBack = 0;
      for (int i = 0; i < kOperators; ++i) {
        readBack += ReadsBack() ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), kOperators, readBack);
    }
  }

  void ClientsAndTargetsAreCarriedAgainAfterAKillOfAllHosts()
  {
    for (const std::uint64_t seed : { 1, 2 }) {
      KillAllUnder({ seed, 25, RequestsOf(20 * kMillisecond) });
      AssertSettles(seed);
    }
  }

  void ClientsAndTargetsAreCarriedAgainWithLittleProcessorToSpare()
  {
    for (const std::uint64_t seed : { 1, 2 }) {
      KillAllUnder({ seed, 10, RequestsOf(30 * kMillisecond) });
      AssertSettles(seed);
    }
  }

private:
  // Starts a fleet, shows that it carries the load, and kills and starts all
  // hosts right after a change was acknowledged.
  void KillAllUnder(const Load& aLoad)
  {
    StartFleet(aLoad);
    mSimulation.mProcessingCost = fakes::SmallHostCostWith(aLoad.mPercent);
    AdvanceWithLoad(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "before the kill", 0, mSimulation.HostsOutOfTouch());
    CPPUNIT_ASSERT(
      mSimulation.Commit(AnyHost(), PutPolicyCommand(kVersion, 1, "two")));
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    AdvanceWithLoad(kDownTime);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
  }

  void StartFleet(const Load& aLoad)
  {
    mSimulation = FleetSimulation(aLoad.mSeed);
    mRandom.seed(aLoad.mSeed);
    mAnnounced = 0;
    mDue = 0;
    mSimulation.mProcessingCost = fakes::kSmallHostCost;
    mSimulation.StartSpreadFleet(kDataCentres, kOthers, 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one"));
    }));
    mClients.emplace(mSimulation, kDataCentres, aLoad.mRequest, aLoad.mSeed);
    for (int target = 0; target < kTargets; ++target) {
      Announce(AnyHost(), target);
      mSimulation.Advance(2 * kSecond / kTargets);
    }
    mSimulation.Advance(2 * kSecond);
    mClients->MakeHostsReady();
    mSimulation.Advance(3 * kSecond);
  }

  void AdvanceWithLoad(Micros aTime)
  {
    for (Micros passed = 0; passed < aTime; passed += kStep) {
      mClients->MakeHostsReady();
      for (Micros i = 0; i < kRequestsPerSecond * kStep / kSecond; ++i) {
        mClients->SendRequest();
      }
      mDue += kTargets * kStep;
      for (; mDue >= kAnnouncementInterval; mDue -= kAnnouncementInterval) {
        Announce(AnyHost(), mAnnounced++ % kTargets);
      }
      mSimulation.Advance(kStep);
    }
  }

  // A host answers an announcement that changes nothing by itself.
  void Announce(const std::string& aHost, int aTarget)
  {
    const wire::CatalogCommand command =
      PutTargetCommand("target" + std::to_string(aTarget), 1, false);
    const fakes::FleetNode& node = mSimulation.At(aHost);
    if (node.mAlive &&
        catalog::ChangesState(node.mState.mCatalog, command.put_target())) {
      (void)mSimulation.Submit(aHost, command);
    }
  }

  // Whether an operator who asks random hosts has the policy in time.
  bool ReadsBack()
  {
    const Micros end = mSimulation.mNow + kReadBackTime;
    Micros pause = kInitialBackoff;
    while (mSimulation.mNow < end) {
      if (CanRead(AnyHost())) {
        return mSimulation.mNow <= end;
      }
      AdvanceWithLoad(pause);
      pause *= 2;
    }
    return false;
  }

  bool CanRead(const std::string& aHost)
  {
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    const std::uint64_t id = mSimulation.Submit(aHost, read);
    const auto& outcomes = mSimulation.At(aHost).mOutcomes;
    const Micros asked = mSimulation.mNow;
    while (mSimulation.mNow - asked < kOperatorTimeout &&
           outcomes.count(id) == 0) {
      AdvanceWithLoad(kStep);
    }
    const auto done = outcomes.find(id);
    return done != outcomes.end() &&
           done->second.mEnd == SubmitResult::Committed &&
           done->second.mOutcome.version() == kVersion;
  }

  void AssertSettles(std::uint64_t aSeed)
  {
    const Micros end = mSimulation.mNow + kSettleTime;
    while (mSimulation.mNow < end && UnsettledHosts() != 0) {
      AdvanceWithLoad(100 * kMillisecond);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "seed " + std::to_string(aSeed), 0, UnsettledHosts());
  }

  template<class Condition>
  int CountHosts(const Condition& aCondition) const
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return static_cast<int>(std::count_if(
      hosts.begin(), hosts.end(), [&](const std::string& aAddress) {
        return aCondition(mSimulation.At(aAddress).mState);
      }));
  }

  // Hosts that are out of touch, or lack the policy or targets.
  int UnsettledHosts() const
  {
    return CountHosts([&](const State& aState) {
      return !IsInTouch(aState, mSimulation.mNow) ||
             aState.mCatalog.mVersion != kVersion ||
             aState.mCatalog.mTargets.size() != kTargets;
    });
  }

  std::string AnyHost()
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return hosts[mRandom() % hosts.size()];
  }

  FleetSimulation mSimulation;
  std::optional<fakes::FleetClients> mClients;
  std::mt19937_64 mRandom;
  int mAnnounced = 0;
  Micros mDue = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetReadBackTest);

} // namespace geraniumpond::fleet
