#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

/// Time between the request to stop and the end of the process.
constexpr Micros kStopTime = 4 * kSecond;
/// Within this time after the last fault all hosts serve again.
constexpr Micros kRecoveryTime = 8 * kSecond;
/// Within this time after the loss of a voter the group tolerates its
/// configured losses again.
constexpr Micros kMembershipRepairTime = 4 * kSecond;

std::string FounderAddress(int aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":1";
}

constexpr const char* kNewHost = "10.0.1.1:1";
/// Hosts without a disk, in fleets of three and of six hosts with a disk.
constexpr const char* kFollower = "10.0.0.5:1";
constexpr const char* kReader = "10.0.0.8:1";
/// Host without a disk, in fleets of three and of five hosts with a disk.
constexpr const char* kOperator = "10.0.0.7:1";

} // namespace

// Guards against voters that stay in the group after they stopped for good. A
// replaced voter that keeps its vote raises the quorum: three control hosts, of
// which one is replaced as planned, would count four voters. If then all hosts
// lose power and one control host its disk, two of the three votes needed are
// left: no leader is ever elected, hosts have no policy or an older one, and an
// acknowledged change cannot be read, though it is in the logs of all control
// hosts that kept their disks.
class FleetMembersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetMembersTest);
  CPPUNIT_TEST(PlannedReplacementThenDiskAndPowerLossKeepsTheChange);
  CPPUNIT_TEST(PlannedReplacementThenDiskLossKeepsCommitting);
  CPPUNIT_TEST(ChangeJustBeforeThePowerLossIsKeptIfAcknowledged);
  CPPUNIT_TEST(SuccessiveReplacementsKeepTheVoterCount);
  CPPUNIT_TEST(TwoOfSixReplacedThenTwoDisksLostKeepsTheChange);
  CPPUNIT_TEST(FailedJoinDoesNotCostTheQuorum);
  CPPUNIT_TEST(FailedJoinBesideALostVoterDoesNotCostTheQuorum);
  CPPUNIT_TEST(DiskLostWhileANewHostReplacesASilentVoterDoesNotCostTheQuorum);
  CPPUNIT_TEST(TwoDisksOfFiveLostDuringAReplacementDoNotCostTheQuorum);
  CPPUNIT_TEST(LeaderThatIsNoVoterTransfersLeadership);
  CPPUNIT_TEST(StoppingVoterIsRemovedBeforeItExits);
  CPPUNIT_TEST(LostVoterIsRemovedIfEnoughOthersRemain);
  CPPUNIT_TEST(GroupNeverShrinksBelowItsConfiguredTolerance);
  CPPUNIT_TEST(SpareVoterIsRemovedOnlyAfterADelay);
  CPPUNIT_TEST(RestartedVotersAreVotersAgain);
  CPPUNIT_TEST(TwoHostsReplacedAtOnceKeepTheVoterCount);
  CPPUNIT_TEST(HostReplacedWhileTheLeaderIsIsolatedKeepsTheVoterCount);
  CPPUNIT_TEST(LearnerThatNeverCatchesUpIsRemoved);
  CPPUNIT_TEST(RemovedHostThatReturnsWithItsDiskRejoins);
  CPPUNIT_TEST(JoinWithoutADiskOrWithAnotherOneIsRefused);
  CPPUNIT_TEST(StoppingHostDoesNotRejoin);
  CPPUNIT_TEST(LostHostsAreRemovedFromHostLists);
  CPPUNIT_TEST(ReducedFaultToleranceIsLoggedAndCounted);
  CPPUNIT_TEST(DiskIsLoggedAtStart);
  CPPUNIT_TEST_SUITE_END();

public:
  void PlannedReplacementThenDiskAndPowerLossKeepsTheChange()
  {
    for (int departing = 1; departing <= 3; ++departing) {
      for (const std::string& wiped : OthersThan(departing)) {
        FleetSimulation simulation = FleetWithReplacedFounder(departing);
        CPPUNIT_ASSERT(
          simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
        LoseAllPower(simulation, departing, wiped);
        AssertServes(simulation, departing, 2, "wiped " + wiped);
      }
    }
  }

  void PlannedReplacementThenDiskLossKeepsCommitting()
  {
    for (const std::string& wiped : OthersThan(1)) {
      FleetSimulation simulation = FleetWithReplacedFounder(1);
      CPPUNIT_ASSERT(
        simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
      simulation.LosePower(wiped);
      simulation.Wipe(wiped);
      simulation.Advance(kSecond);
      simulation.Start(wiped, false);
      AssertServes(simulation, 1, 2, "wiped " + wiped);
      CPPUNIT_ASSERT(
        simulation.Commit(kFollower, PutPolicyCommand(3, 2, "three")));
    }
  }

  void ChangeJustBeforeThePowerLossIsKeptIfAcknowledged()
  {
    for (int ms = 5; ms <= 400; ms += 79) {
      for (const std::string& wiped : OthersThan(1)) {
        FleetSimulation simulation = FleetWithReplacedFounder(1);
        const std::uint64_t id =
          simulation.Submit(kFollower, PutPolicyCommand(2, 1, "two"));
        simulation.Advance(ms * kMillisecond);
        const auto& done = simulation.Node(kFollower).mOutcomes;
        const bool acknowledged = done.count(id) != 0;
        LoseAllPower(simulation, 1, wiped);
        AssertServes(simulation,
                     1,
                     acknowledged ? 2 : 1,
                     "wiped " + wiped + " after ms " + std::to_string(ms));
      }
    }
  }

  void SuccessiveReplacementsKeepTheVoterCount()
  {
    for (const int count : { 2, 4 }) {
      FleetSimulation simulation = StartedFleet();
      std::vector<std::string> control = { FounderAddress(1),
                                           FounderAddress(2),
                                           FounderAddress(3) };
      for (int i = 0; i < count; ++i) {
        const std::string replacement =
          "10.0.1." + std::to_string(i + 1) + ":1";
        simulation.SetSeeds(control);
        Join(simulation, replacement);
        StopForGood(simulation, control.front());
        control.erase(control.begin());
        control.push_back(replacement);
      }
      CPPUNIT_ASSERT(
        simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation.Voters());
      for (const std::string& address : control) {
        CPPUNIT_ASSERT_MESSAGE(address, IsVoter(simulation, address));
      }
    }
  }

  // Two losses are tolerated. If the two replaced voters kept their votes, six
  // voters would become eight, and after the loss of two disks four of the five
  // votes needed would be left.
  void TwoOfSixReplacedThenTwoDisksLostKeepsTheChange()
  {
    FleetSimulation simulation(7);
    simulation.StartFleet(6, 3, 2);
    CPPUNIT_ASSERT(simulation.RunUntil(
      10 * kSecond, [&] { return simulation.Voters() == 6; }));
    CPPUNIT_ASSERT(simulation.Commit(kReader, PutPolicyCommand(1, 0, "one")));
    simulation.SetSeeds(
      { FounderAddress(3), FounderAddress(4), FounderAddress(5) });
    Join(simulation, "10.0.1.1:1");
    Join(simulation, "10.0.1.2:1");
    StopForGood(simulation, FounderAddress(1));
    StopForGood(simulation, FounderAddress(2));
    CPPUNIT_ASSERT(simulation.Commit(kReader, PutPolicyCommand(2, 1, "two")));
    for (const std::string& wiped : { FounderAddress(3), FounderAddress(6) }) {
      simulation.LosePower(wiped);
      simulation.Wipe(wiped);
    }
    simulation.Advance(kSecond);
    for (const std::string& wiped : { FounderAddress(3), FounderAddress(6) }) {
      simulation.Start(wiped, false);
    }
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    CPPUNIT_ASSERT(simulation.RunUntil(
      kRecoveryTime, [&] { return simulation.Commit(kReader, read); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         simulation.Node(kReader).mState.mCatalog.mVersion);
  }

  // One of three voters loses its disk, and a host that has just joined is lost
  // again within a second. If the leader makes the new host a fourth voter
  // while one of the three is silent, three votes are needed and two are left:
  // the group never has a leader again. The log then shows "members_change
  // why=caught_up voters=4", "leader_lost members_silent_ms=" with two silent
  // members, and elections that end with "voters=4 votes=2".
  void FailedJoinDoesNotCostTheQuorum()
  {
    for (int lost = 1; lost <= 3; ++lost) {
      FleetSimulation simulation = StartedFleet();
      simulation.LosePower(FounderAddress(lost));
      simulation.Wipe(FounderAddress(lost));
      CPPUNIT_ASSERT(simulation.RunUntil(
        kRecoveryTime, [&] { return !simulation.Leader().empty(); }));
      simulation.Add(kNewHost, true);
      simulation.Start(kNewHost, false);
      simulation.Advance(700 * kMillisecond);
      simulation.LosePower(kNewHost);
      simulation.Start(FounderAddress(lost), false);
      CPPUNIT_ASSERT_MESSAGE(
        FounderAddress(lost), simulation.RunUntil(kRecoveryTime, [&] {
          return simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two"));
        }));
      CPPUNIT_ASSERT(simulation.RunUntil(
        kMembershipRepairTime, [&] { return ToleratesOneLoss(simulation); }));
    }
  }

  // Guards against a new voter whose vote is needed as soon as it has one.
  void FailedJoinBesideALostVoterDoesNotCostTheQuorum()
  {
    for (Micros after = 2400 * kMillisecond; after < 2800 * kMillisecond;
         after += 4 * kMillisecond) {
      FleetSimulation simulation = StartedFleet();
      const std::string lost =
        FounderAddress(simulation.Leader() == FounderAddress(1) ? 2 : 1);
      simulation.LosePower(lost);
      simulation.Add(kNewHost, true);
      simulation.Start(kNewHost, false);
      simulation.Advance(after);
      simulation.LosePower(kNewHost);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(after / kMillisecond) + " ms",
                             simulation.RunUntil(kRecoveryTime, [&] {
                               return simulation.Commit(
                                 kFollower, PutPolicyCommand(2, 1, "two"));
                             }));
    }
  }

  // Guards against a group without a leader for good after the loss of one
  // disk: a silent voter that returns whole had no vote for the time of a
  // commit.
  void DiskLostWhileANewHostReplacesASilentVoterDoesNotCostTheQuorum()
  {
    for (const bool ofTheLeader : { false, true }) {
      for (Micros after = 2400 * kMillisecond; after < 2800 * kMillisecond;
           after += 4 * kMillisecond) {
        FleetSimulation simulation = StartedFleet();
        const std::vector<std::string> others = Followers(simulation, 3);
        const std::string lost =
          ofTheLeader ? simulation.Leader() : others.back();
        simulation.Kill(others.front());
        simulation.Add(kNewHost, true);
        simulation.Start(kNewHost, false);
        simulation.Advance(after);
        AssertOutlivesLossOfDisks(simulation, { others.front() }, { lost });
      }
    }
  }

  // Guards against the same in a group that tolerates two losses.
  void TwoDisksOfFiveLostDuringAReplacementDoNotCostTheQuorum()
  {
    for (Micros after = 2400 * kMillisecond; after < 2800 * kMillisecond;
         after += 8 * kMillisecond) {
      FleetSimulation simulation(7);
      simulation.StartFleet(5, 4, 2);
      CPPUNIT_ASSERT(simulation.RunUntil(
        10 * kSecond, [&] { return simulation.Voters() == 5; }));
      CPPUNIT_ASSERT(
        simulation.Commit(kOperator, PutPolicyCommand(1, 0, "one")));
      simulation.Advance(kSecond);
      const std::vector<std::string> others = Followers(simulation, 5);
      simulation.Kill(others[0]);
      simulation.Kill(others[1]);
      simulation.Add(kNewHost, true);
      simulation.Start(kNewHost, false);
      simulation.Advance(after);
      AssertOutlivesLossOfDisks(
        simulation, { others[0], others[1] }, { others[2], others[3] });
    }
  }

  // After a power loss a host does not know whether the entry that removed its
  // vote was committed, so it may be elected and leads until that entry is
  // committed. If it then only stepped down, the group would have no leader
  // until an election timeout: 780 ms in one schedule ("leader_lost
  // members_silent_ms=0,0,6,6" at the leader, 34 ms after its election).
  void LeaderThatIsNoVoterTransfersLeadership()
  {
    int led = 0;
    for (int headStart = 2; headStart <= 18; headStart += 2) {
      const std::string nonVoter = FounderAddress(2);
      FleetSimulation simulation =
        FleetStartedWithANonVoterFirst(nonVoter, headStart * kMillisecond);
      (void)simulation.RunUntil(100 * kMillisecond,
                                [&] { return !simulation.Leader().empty(); });
      if (simulation.Leader() != nonVoter) {
        continue;
      }
      ++led;
      CPPUNIT_ASSERT(simulation.RunUntil(200 * kMillisecond, [&] {
        return !simulation.Leader().empty() && simulation.Leader() != nonVoter;
      }));
    }
    CPPUNIT_ASSERT(led > 0);
  }

  void StoppingVoterIsRemovedBeforeItExits()
  {
    for (int departing = 1; departing <= 3; ++departing) {
      FleetSimulation simulation = StartedFleet();
      Join(simulation, kNewHost);
      simulation.Stop(FounderAddress(departing));
      CPPUNIT_ASSERT(simulation.RunUntil(kStopTime, [&] {
        return simulation.Voters() == 3 &&
               !IsVoter(simulation, FounderAddress(departing));
      }));
    }
  }

  void LostVoterIsRemovedIfEnoughOthersRemain()
  {
    for (int lost = 1; lost <= 3; ++lost) {
      FleetSimulation simulation = StartedFleet();
      Join(simulation, kNewHost);
      simulation.Kill(FounderAddress(lost));
      CPPUNIT_ASSERT(simulation.RunUntil(kMembershipRepairTime, [&] {
        return simulation.Voters() == 3 &&
               !IsVoter(simulation, FounderAddress(lost));
      }));
    }
  }

  // With two voters the loss of one disk would stop the group for good.
  void GroupNeverShrinksBelowItsConfiguredTolerance()
  {
    for (const bool planned : { false, true }) {
      FleetSimulation simulation = StartedFleet();
      const std::string lost = FounderAddress(2);
      if (planned) {
        simulation.Stop(lost);
        simulation.Advance(kStopTime);
      }
      simulation.Kill(lost);
      simulation.Advance(60 * kSecond);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation.Voters());
      // A replacement restores the tolerance of the group.
      simulation.SetSeeds({ FounderAddress(1), FounderAddress(3) });
      Join(simulation, kNewHost);
      CPPUNIT_ASSERT(simulation.RunUntil(kMembershipRepairTime, [&] {
        return simulation.Voters() == 3 && !IsVoter(simulation, lost);
      }));
    }
  }

  // Five voters with one lost tolerate as many further losses as four voters,
  // so the removal is not urgent.
  void SpareVoterIsRemovedOnlyAfterADelay()
  {
    FleetSimulation simulation(7);
    simulation.StartFleet(5, 2, 1);
    CPPUNIT_ASSERT(simulation.RunUntil(
      10 * kSecond, [&] { return simulation.Voters() == 5; }));
    simulation.Advance(kSecond);
    const std::string lost = simulation.Leader() == FounderAddress(2)
                               ? FounderAddress(3)
                               : FounderAddress(2);
    simulation.Kill(lost);
    simulation.Advance(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), simulation.Voters());
    CPPUNIT_ASSERT(simulation.RunUntil(kMembershipRepairTime, [&] {
      return simulation.Voters() == 4 && !IsVoter(simulation, lost);
    }));
    simulation.Start(lost, false);
    CPPUNIT_ASSERT(simulation.RunUntil(
      kMembershipRepairTime, [&] { return IsVoter(simulation, lost); }));
  }

  void RestartedVotersAreVotersAgain()
  {
    for (const int disks : { 3, 4, 6 }) {
      FleetSimulation simulation(7);
      simulation.StartFleet(disks, 3, disks == 6 ? 2 : 1);
      const auto voters = static_cast<std::size_t>(disks);
      CPPUNIT_ASSERT(simulation.RunUntil(
        10 * kSecond, [&] { return simulation.Voters() == voters; }));
      for (int i = 1; i <= disks; ++i) {
        simulation.Stop(FounderAddress(i));
        simulation.Advance(kStopTime);
        simulation.Kill(FounderAddress(i));
        simulation.Advance(kSecond);
        simulation.Start(FounderAddress(i), false);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(disks),
                               simulation.RunUntil(kMembershipRepairTime, [&] {
                                 return simulation.Voters() == voters;
                               }));
      }
    }
  }

  void TwoHostsReplacedAtOnceKeepTheVoterCount()
  {
    FleetSimulation simulation = StartedFleet();
    Join(simulation, kNewHost);
    Join(simulation, "10.0.1.2:1");
    simulation.Stop(FounderAddress(1));
    simulation.Stop(FounderAddress(2));
    CPPUNIT_ASSERT(simulation.RunUntil(kStopTime, [&] {
      return simulation.Voters() == 3 &&
             !IsVoter(simulation, FounderAddress(1)) &&
             !IsVoter(simulation, FounderAddress(2));
    }));
    simulation.Kill(FounderAddress(1));
    simulation.Kill(FounderAddress(2));
    CPPUNIT_ASSERT(
      simulation.Commit("10.0.0.6:1", PutPolicyCommand(2, 1, "two")));
  }

  void HostReplacedWhileTheLeaderIsIsolatedKeepsTheVoterCount()
  {
    FleetSimulation simulation = StartedFleet();
    const std::string isolated = simulation.Leader();
    const std::string departing =
      isolated == FounderAddress(1) ? FounderAddress(2) : FounderAddress(1);
    Join(simulation, kNewHost);
    simulation.mIsolated = { isolated };
    simulation.Stop(departing);
    simulation.Advance(kStopTime);
    simulation.Kill(departing);
    simulation.mIsolated.clear();
    CPPUNIT_ASSERT(simulation.RunUntil(kRecoveryTime, [&] {
      return simulation.Voters() == 3 && !IsVoter(simulation, departing);
    }));
    CPPUNIT_ASSERT(simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
  }

  void LearnerThatNeverCatchesUpIsRemoved()
  {
    FleetSimulation simulation = StartedFleet();
    simulation.mShouldDrop = [](const fakes::SentMessage& aSent) {
      return aSent.mTo == kNewHost;
    };
    simulation.Add(kNewHost, true);
    simulation.Start(kNewHost, false);
    simulation.Advance(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(4, Members(simulation));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), simulation.Voters());
    simulation.Kill(kNewHost);
    CPPUNIT_ASSERT(simulation.RunUntil(
      40 * kSecond, [&] { return Members(simulation) == 3; }));
  }

  void RemovedHostThatReturnsWithItsDiskRejoins()
  {
    FleetSimulation simulation = FleetWithReplacedFounder(1);
    CPPUNIT_ASSERT(simulation.RunUntil(
      40 * kSecond, [&] { return Members(simulation) == 3; }));
    CPPUNIT_ASSERT(simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
    simulation.Start(FounderAddress(1), false);
    CPPUNIT_ASSERT(simulation.RunUntil(kRecoveryTime, [&] {
      return IsVoter(simulation, FounderAddress(1)) &&
             simulation.Node(FounderAddress(1)).mState.mCatalog.mVersion == 2;
    }));
  }

  void JoinWithoutADiskOrWithAnotherOneIsRefused()
  {
    FleetSimulation simulation = StartedFleet();
    const std::string leader = simulation.Leader();
    for (const char* storage : { "", "disk2" }) {
      wire::FleetMessage message;
      message.set_from_address(kNewHost);
      wire::Member& joiner = *message.mutable_join();
      joiner.set_id(MemberId(kNewHost, "disk1"));
      joiner.set_address(kNewHost);
      joiner.set_storage(storage);
      fleet::Output output;
      fleet::Receive(
        simulation.Node(leader).mState, simulation.mNow, 1, message, output);
      CPPUNIT_ASSERT(output.mWrites.empty());
    }
    const State& state = simulation.Node(leader).mState;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.mCounters.mJoinsRefused);
    CPPUNIT_ASSERT_EQUAL(3, Members(simulation));
  }

  void StoppingHostDoesNotRejoin()
  {
    FleetSimulation simulation = StartedFleet();
    Join(simulation, kNewHost);
    const std::string departing = FounderAddress(2);
    simulation.Stop(departing);
    bool joins = false;
    simulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      joins = joins || (aSent.mFrom == departing && aSent.mMessage.has_join());
      return false;
    };
    simulation.Advance(10 * kSecond);
    CPPUNIT_ASSERT(!joins);
    CPPUNIT_ASSERT(!IsVoter(simulation, departing));
  }

  void LostHostsAreRemovedFromHostLists()
  {
    FleetSimulation simulation = StartedFleet();
    const std::string lostHost = "10.0.0.7:1";
    simulation.Kill(lostHost);
    simulation.Advance(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         HostListEntries(simulation, kFollower, lostHost));
    simulation.Advance(60 * kSecond);
    for (const std::string& address : simulation.Addresses()) {
      if (address != lostHost) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          address,
          std::size_t(0),
          HostListEntries(simulation, address, lostHost));
      }
    }
  }

  void ReducedFaultToleranceIsLoggedAndCounted()
  {
    FleetSimulation simulation = StartedFleet();
    const std::string leader = simulation.Leader();
    const fleet::State& state = simulation.Node(leader).mState;
    CPPUNIT_ASSERT_EQUAL(1, HealthOf(state, simulation.mNow).mTolerated);
    simulation.Kill(leader == FounderAddress(3) ? FounderAddress(2)
                                                : FounderAddress(3));
    simulation.Advance(3 * kSecond);
    const GroupHealth health = HealthOf(state, simulation.mNow);
    CPPUNIT_ASSERT_EQUAL(3, health.mVoters);
    CPPUNIT_ASSERT_EQUAL(2, health.mAnswering);
    CPPUNIT_ASSERT_EQUAL(0, health.mTolerated);
    CPPUNIT_ASSERT(HasLogLine(simulation, leader, "event=group_weak"));
    simulation.Kill(leader == FounderAddress(1) ? FounderAddress(2)
                                                : FounderAddress(1));
    simulation.Advance(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(-1, HealthOf(state, simulation.mNow).mTolerated);
    CPPUNIT_ASSERT(HasLogLine(simulation, leader, "event=group_leaderless"));
  }

  void DiskIsLoggedAtStart()
  {
    FleetSimulation simulation = StartedFleet();
    CPPUNIT_ASSERT(
      HasLogLine(simulation, FounderAddress(1), "event=group_opened"));
    CPPUNIT_ASSERT(simulation.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
    simulation.Advance(kSecond);
    simulation.Kill(FounderAddress(1));
    simulation.Start(FounderAddress(1), false);
    CPPUNIT_ASSERT(
      HasLogLine(simulation, FounderAddress(1), " policy_in_log=2"));
    simulation.Kill(FounderAddress(1));
    simulation.Wipe(FounderAddress(1));
    simulation.Start(FounderAddress(1), false);
    CPPUNIT_ASSERT(HasLogLine(simulation, FounderAddress(1), "/disk"));
    CPPUNIT_ASSERT(HasLogLine(simulation, FounderAddress(1), "voters=0"));
  }

private:
  static std::vector<std::string> Followers(const FleetSimulation& aSimulation,
                                            int aFounders)
  {
    std::vector<std::string> followers;
    for (int i = 1; i <= aFounders; ++i) {
      if (FounderAddress(i) != aSimulation.Leader()) {
        followers.push_back(FounderAddress(i));
      }
    }
    return followers;
  }

  // The group has a leader again, knows version 1 and takes version 2.
  static void AssertOutlivesLossOfDisks(FleetSimulation& aSimulation,
                                        const std::vector<std::string>& aKilled,
                                        const std::vector<std::string>& aWiped)
  {
    const std::string after =
      std::to_string(aSimulation.mNow / kMillisecond) + " ms";
    for (const std::string& host : aWiped) {
      aSimulation.LosePower(host);
      aSimulation.Wipe(host);
    }
    aSimulation.Advance(kSecond);
    for (const std::string& host : aKilled) {
      aSimulation.Start(host, false);
    }
    aSimulation.Advance(2 * kSecond);
    for (const std::string& host : aWiped) {
      aSimulation.Start(host, false);
    }
    CPPUNIT_ASSERT_MESSAGE(after, aSimulation.RunUntil(kRecoveryTime, [&] {
      return aSimulation.Commit(kFollower, PutPolicyCommand(2, 1, "two"));
    }));
  }

  static bool ToleratesOneLoss(const FleetSimulation& aSimulation)
  {
    const std::string leader = aSimulation.Leader();
    return !leader.empty() && aSimulation.Voters() == 3 &&
           HealthOf(aSimulation.At(leader).mState, aSimulation.mNow)
               .mTolerated == 1;
  }

  // A host stops and loses its vote; then all hosts lose power, and this one
  // starts first.
  static FleetSimulation FleetStartedWithANonVoterFirst(
    const std::string& aNonVoter,
    Micros aHeadStart)
  {
    FleetSimulation simulation = StartedFleet();
    Join(simulation, kNewHost);
    simulation.Stop(aNonVoter);
    CPPUNIT_ASSERT(simulation.RunUntil(
      kStopTime, [&] { return !IsVoter(simulation, aNonVoter); }));
    simulation.Advance(kSecond);
    for (const std::string& address : simulation.Addresses()) {
      simulation.LosePower(address);
    }
    simulation.Advance(kSecond);
    simulation.Start(aNonVoter, false);
    simulation.Advance(aHeadStart);
    for (const std::string& address : simulation.Addresses()) {
      if (address != aNonVoter) {
        simulation.Start(address, false);
      }
    }
    return simulation;
  }

  // Three control hosts and four others, with version 1 in force.
  static FleetSimulation StartedFleet()
  {
    FleetSimulation simulation(7);
    simulation.StartFleet(3, 4, 1);
    CPPUNIT_ASSERT(simulation.RunUntil(
      10 * kSecond, [&] { return simulation.Voters() == 3; }));
    CPPUNIT_ASSERT(simulation.Commit(kFollower, PutPolicyCommand(1, 0, "one")));
    simulation.Advance(kSecond);
    return simulation;
  }

  static void Join(FleetSimulation& aSimulation, const std::string& aAddress)
  {
    aSimulation.Add(aAddress, true);
    aSimulation.Start(aAddress, false);
    CPPUNIT_ASSERT(aSimulation.RunUntil(
      10 * kSecond, [&] { return IsVoter(aSimulation, aAddress); }));
  }

  static void StopForGood(FleetSimulation& aSimulation,
                          const std::string& aAddress)
  {
    aSimulation.Stop(aAddress);
    aSimulation.Advance(kStopTime);
    aSimulation.Kill(aAddress);
    aSimulation.Advance(kSecond);
  }

  static FleetSimulation FleetWithReplacedFounder(int aDeparting)
  {
    FleetSimulation simulation = StartedFleet();
    Join(simulation, kNewHost);
    StopForGood(simulation, FounderAddress(aDeparting));
    return simulation;
  }

  static std::vector<std::string> OthersThan(int aDeparting)
  {
    std::vector<std::string> others = { kNewHost };
    for (int i = 1; i <= 3; ++i) {
      if (i != aDeparting) {
        others.push_back(FounderAddress(i));
      }
    }
    return others;
  }

  static std::vector<std::string> RemainingHosts(
    const FleetSimulation& aSimulation,
    int aDeparting)
  {
    std::vector<std::string> remaining = aSimulation.Addresses();
    remaining.erase(std::find(
      remaining.begin(), remaining.end(), FounderAddress(aDeparting)));
    return remaining;
  }

  static void LoseAllPower(FleetSimulation& aSimulation,
                           int aDeparting,
                           const std::string& aWiped)
  {
    const std::vector<std::string> remaining =
      RemainingHosts(aSimulation, aDeparting);
    for (const std::string& address : remaining) {
      aSimulation.LosePower(address);
    }
    aSimulation.Wipe(aWiped);
    aSimulation.Advance(kSecond);
    for (const std::string& address : remaining) {
      aSimulation.Start(address, false);
    }
  }

  // All remaining hosts are in touch with the group, apply this version or a
  // later one, and can read it.
  static void AssertServes(FleetSimulation& aSimulation,
                           int aDeparting,
                           std::uint64_t aVersion,
                           const std::string& aCase)
  {
    const std::vector<std::string> remaining =
      RemainingHosts(aSimulation, aDeparting);
    const bool all = aSimulation.RunUntil(kRecoveryTime, [&] {
      return std::all_of(
        remaining.begin(), remaining.end(), [&](const auto& aHost) {
          const State& state = aSimulation.Node(aHost).mState;
          return state.mCatalog.mVersion >= aVersion &&
                 IsInTouch(state, aSimulation.mNow);
        });
    });
    CPPUNIT_ASSERT_MESSAGE(aCase, all);
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    CPPUNIT_ASSERT_MESSAGE(aCase, aSimulation.Commit(kFollower, read));
  }

  static bool IsVoter(const FleetSimulation& aSimulation,
                      const std::string& aAddress)
  {
    const std::vector<std::string> voters = aSimulation.VoterAddresses();
    return std::count(voters.begin(), voters.end(), aAddress) != 0;
  }

  static std::size_t HostListEntries(FleetSimulation& aSimulation,
                                     const std::string& aAddress,
                                     const std::string& aHost)
  {
    return aSimulation.Node(aAddress).mState.mHosts.count(aHost);
  }

  static int Members(FleetSimulation& aSimulation)
  {
    const std::string leader = aSimulation.Leader();
    return aSimulation.Node(leader).mState.mGroup.mMembership.members_size();
  }

  static bool HasLogLine(FleetSimulation& aSimulation,
                         const std::string& aAddress,
                         const std::string& aText)
  {
    const auto& lines = aSimulation.Node(aAddress).mLogLines;
    return std::any_of(lines.begin(), lines.end(), [&](const auto& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembersTest);

} // namespace geraniumpond::fleet
