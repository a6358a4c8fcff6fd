#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

namespace {

constexpr int kDataCentres = 6;
constexpr int kOthers = 470;
constexpr int kTargets = 1080;
constexpr std::uint64_t kVersion = 2;

/// Time that a group has to settle after the last fault.
constexpr Micros kSettleTime = 15 * kSecond;
/// Within this time an operator who asks random hosts must have the policy.
/// This is the shortest contact time that deployments guarantee.
constexpr Micros kMaxTimeToRead = 3 * kSecond;
/// Each target announces itself at any host once in this time, all along.
constexpr Micros kAnnouncementInterval = 1 * kSecond;
/// After this time an operator gives up on a host and asks another one.
constexpr Micros kOperatorTimeout = 1 * kSecond;
/// Delay after an answer without a policy; doubles with each such answer.
constexpr Micros kInitialBackoff = 50 * kMillisecond;
/// Time for which the load must have been carried before the loss of power.
constexpr Micros kSteadyTime = 2 * kSecond;
constexpr Micros kStep = 10 * kMillisecond;

enum class PowerLoss
{
  AllHosts,
  HostsWithoutDisk
};

} // namespace

// Guards against an overload that outlasts the loss of power that started it.
class FleetRecoveryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetRecoveryTest);
  CPPUNIT_TEST(LoadIsCarriedAgainAfterALossOfAllPower);
  CPPUNIT_TEST(LoadIsCarriedAgainWithHardlyAnyProcessorToSpare);
  CPPUNIT_TEST(LoadIsCarriedAgainAfterHostsWithoutDiskLostPower);
  CPPUNIT_TEST(PolicyIsReadWhileAllTargetsKeepAnnouncingThemselves);
  CPPUNIT_TEST(CommandsOfAnAnnouncementDoNotGrowWithItsWait);
  CPPUNIT_TEST_SUITE_END();

public:
  void LoadIsCarriedAgainAfterALossOfAllPower()
  {
    for (const int percent : { 25, 10 }) {
      CarryLoad(percent);
      LosePower(PowerLoss::AllHosts);
      AssertSettles(percent);
    }
  }

  // Guards against hosts that wait for an answer of the three seeds, which
  // answer the reports of hosts that are in touch first.
  void LoadIsCarriedAgainWithHardlyAnyProcessorToSpare()
  {
    constexpr int kPercent = 7;
    CarryLoad(kPercent);
    LosePower(PowerLoss::AllHosts);
    AssertSettles(kPercent);
  }

  void LoadIsCarriedAgainAfterHostsWithoutDiskLostPower()
  {
    constexpr int kPercent = 25;
    CarryLoad(kPercent);
    LosePower(PowerLoss::HostsWithoutDisk);
    AssertSettles(kPercent);
  }

  void PolicyIsReadWhileAllTargetsKeepAnnouncingThemselves()
  {
    CarryLoad(25);
    LosePower(PowerLoss::AllHosts);
    const Micros start = mSimulation.mNow;
    Micros pause = kInitialBackoff;
    while (!CanRead(AnyHost())) {
      CPPUNIT_ASSERT(mSimulation.mNow - start <= kMaxTimeToRead);
      AdvanceWithAnnouncements(pause);
      pause *= 2;
    }
    CPPUNIT_ASSERT(mSimulation.mNow - start <= kMaxTimeToRead);
  }

  // One new target announces itself once while no disk completes a sync. Its
  // host sends the command again; the leader holds it already.
  void CommandsOfAnAnnouncementDoNotGrowWithItsWait()
  {
    mSimulation = FleetSimulation(1);
    mRandom.seed(1);
    mSimulation.StartSpreadFleet(kDataCentres, 24, 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit(kControl, PutPolicyCommand(1, 0, "first"));
    }));
    mSimulation.Advance(2 * kSecond);
    for (int place = 0; place < kDataCentres; ++place) {
      mSimulation.mStalledDisks.insert("10.0." + std::to_string(place) +
                                       ".1:1");
    }
    (void)mSimulation.Submit(kReader, PutTargetCommand(kTarget, 1, false));
    mSimulation.Advance(200 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(1, CommandsInLog());
    mSimulation.Advance(600 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(1, CommandsInLog());
  }

private:
  static constexpr const char* kControl = "10.0.0.1:1";
  static constexpr const char* kReader = "10.1.2.2:1";
  static constexpr const char* kTarget = "new";

  // Starts a fleet that knows all targets, and shows that it carries the load
  // with the given share of the processor.
  void CarryLoad(int aPercent)
  {
    mSimulation = FleetSimulation(1);
    mRandom.seed(1);
    mAnnounced = 0;
    mSimulation.mProcessingCost = fakes::kSmallHostCost;
    mSimulation.StartSpreadFleet(kDataCentres, kOthers, 2);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit(kControl, PutPolicyCommand(1, 0, "first"));
    }));
    for (int target = 0; target < kTargets; ++target) {
      Announce(AnyHost(), target);
      mSimulation.Advance(2 * kSecond / kTargets);
    }
    CPPUNIT_ASSERT(
      mSimulation.Commit(kControl, PutPolicyCommand(kVersion, 1, "two")));
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(3 * kSecond, [&] { return UnsettledHosts() == 0; }));
    mSimulation.mProcessingCost = fakes::SmallHostCostWith(aPercent);
    AdvanceWithAnnouncements(kSteadyTime);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("before the loss", 0, UnsettledHosts());
    CPPUNIT_ASSERT(CanRead(AnyHost()));
  }

  // The hosts lose power for a second. If all do, the leader also loses its
  // disk.
  void LosePower(PowerLoss aLoss)
  {
    const std::string leader = mSimulation.Leader();
    std::vector<std::string> lost;
    for (const std::string& address : mSimulation.Addresses()) {
      if (aLoss == PowerLoss::AllHosts || !mSimulation.IsControl(address)) {
        mSimulation.LosePower(address);
        lost.push_back(address);
      }
    }
    if (aLoss == PowerLoss::AllHosts) {
      mSimulation.Wipe(leader);
    }
    mSimulation.Advance(kSecond);
    for (const std::string& address : lost) {
      mSimulation.Start(address, false);
    }
  }

  void AssertSettles(int aPercent)
  {
    const Micros end = mSimulation.mNow + kSettleTime;
    while (mSimulation.mNow < end && UnsettledHosts() != 0) {
      AdvanceWithAnnouncements(100 * kMillisecond);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      std::to_string(aPercent) + " % of the processor", 0, UnsettledHosts());
  }

  // Hosts that are out of touch, or lack the policy or targets.
  int UnsettledHosts() const
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return static_cast<int>(std::count_if(
      hosts.begin(), hosts.end(), [&](const std::string& aAddress) {
        const State& state = mSimulation.At(aAddress).mState;
        return !IsInTouch(state, mSimulation.mNow) ||
               state.mCatalog.mVersion != kVersion ||
               state.mCatalog.mTargets.size() != kTargets;
      }));
  }

  // Whether a read at this host returns the change acknowledged last.
  bool CanRead(const std::string& aHost)
  {
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    const std::uint64_t id = mSimulation.Submit(aHost, read);
    const auto& outcomes = mSimulation.At(aHost).mOutcomes;
    const Micros asked = mSimulation.mNow;
    while (mSimulation.mNow - asked < kOperatorTimeout &&
           outcomes.count(id) == 0) {
      AdvanceWithAnnouncements(kStep);
    }
    const auto done = outcomes.find(id);
    return done != outcomes.end() &&
           done->second.mEnd == SubmitResult::Committed &&
           done->second.mOutcome.version() == kVersion;
  }

  void AdvanceWithAnnouncements(Micros aTime)
  {
    for (Micros passed = 0; passed < aTime; passed += kStep) {
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
    if (catalog::ChangesState(mSimulation.At(aHost).mState.mCatalog,
                              command.put_target())) {
      (void)mSimulation.Submit(aHost, command);
    }
  }

  // Commands in the leader's log that announce the one target.
  int CommandsInLog() const
  {
    const std::string leader = mSimulation.Leader();
    CPPUNIT_ASSERT(!leader.empty());
    const auto& entries = mSimulation.At(leader).mDisk.mEntries;
    return static_cast<int>(std::count_if(
      entries.begin(), entries.end(), [](const wire::Entry& aEntry) {
        wire::CatalogCommand logged;
        return logged.ParseFromString(aEntry.command()) &&
               logged.put_target().id() == kTarget;
      }));
  }

  std::string AnyHost()
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return hosts[mRandom() % hosts.size()];
  }

  FleetSimulation mSimulation;
  std::mt19937_64 mRandom;
  int mAnnounced = 0;
  Micros mDue = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRecoveryTest);

} // namespace geraniumpond::fleet
