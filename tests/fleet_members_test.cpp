#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::fleet {

using fakes::FleetWorld;
using fakes::PutPolicyCommand;

namespace {

/// A host that was told to stop ends after this time.
constexpr Micros kStopTime = 4 * kSecond;
/// In this time all hosts serve again after the last fault.
constexpr Micros kBackTime = 8 * kSecond;
/// In this time a group is whole again after a voter fell silent for good.
constexpr Micros kWholeTime = 4 * kSecond;

std::string Founder(int aNumber)
{
  return "10.0.0." + std::to_string(aNumber) + ":1";
}

constexpr const char* kNewcomer = "10.0.1.1:1";
/// A host without a disk beside three that have one, and beside six.
constexpr const char* kFollower = "10.0.0.5:1";
constexpr const char* kReader = "10.0.0.8:1";

} // namespace

// What users saw: a change of the policy was acknowledged; then all hosts lost
// power and one control host its disk. From there on no host knew a policy, or
// some acted on an older one, and the change could not be read back.
//
// Order of events: three control hosts, one loss tolerated. A fourth one joins
// and becomes a voter; one of the three is told to stop and goes for good, as
// planned; a change is acknowledged by the three that are left; all lose power,
// one of the three its disk.
//
// Cause: nobody takes a voter that stopped for good out of the group. Four
// voters are counted, two are there: no majority, for ever.
//
// Evidence: the leader's log has two changes of members, the newcomer's, and
// none after the stop; after the loss every control host counts four voters,
// collects two votes of the three that it needs, and holds the change at the
// end of its log.
class FleetMembersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetMembersTest);
  CPPUNIT_TEST(HostReplacedAsPlannedThenOneDiskAndAllPowerLostKeepsTheChange);
  CPPUNIT_TEST(HostReplacedAsPlannedThenOneDiskLostKeepsCommitting);
  CPPUNIT_TEST(ChangeSentJustBeforeTheLossIsKeptIfItWasAcknowledged);
  CPPUNIT_TEST(HostsReplacedInARowLeaveAWholeGroup);
  CPPUNIT_TEST(TwoOfSixReplacedThenTwoDisksLostKeepsTheChange);
  CPPUNIT_TEST(NewcomerThatGoesAgainLeavesTheGroupAsItWas);
  CPPUNIT_TEST(NewcomerThatGoesBesideAGoneVoterLeavesTheGroupAsItWas);
  CPPUNIT_TEST(LeaderWithoutAVoteHandsItsLeadOver);
  CPPUNIT_TEST(VoterThatStopsLeavesBeforeItExits);
  CPPUNIT_TEST(VoterSilentForGoodLeavesWhereOthersAreEnough);
  CPPUNIT_TEST(GroupNeverShrinksBelowWhatLossesNeed);
  CPPUNIT_TEST(VoterThatIsNotMissedKeepsItsVoteForAWhile);
  CPPUNIT_TEST(RestartedVotersAreVotersAgain);
  CPPUNIT_TEST(TwoHostsReplacedAtOnceLeaveAWholeGroup);
  CPPUNIT_TEST(HostReplacedWhileTheLeaderIsCutOffLeavesAWholeGroup);
  CPPUNIT_TEST(LearnerThatNeverCatchesUpIsForgotten);
  CPPUNIT_TEST(HostBackWithItsDiskAfterItWasForgottenJoinsAgain);
  CPPUNIT_TEST(JoinThatNamesNoDiskOrAnothersIsRefused);
  CPPUNIT_TEST(StoppingHostDoesNotJoinAgain);
  CPPUNIT_TEST(HostsThatAreGoneAreForgotten);
  CPPUNIT_TEST(GroupThatToleratesLessIsLoggedAndCounted);
  CPPUNIT_TEST(DiskAtAStartIsLogged);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostReplacedAsPlannedThenOneDiskAndAllPowerLostKeepsTheChange()
  {
    for (int leaves = 1; leaves <= 3; ++leaves) {
      for (const std::string& wiped : OthersThan(leaves)) {
        FleetWorld world = Replaced(leaves);
        CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
        LoseAllPower(world, leaves, wiped);
        AssertServes(world, leaves, 2, "wiped " + wiped);
      }
    }
  }

  void HostReplacedAsPlannedThenOneDiskLostKeepsCommitting()
  {
    for (const std::string& wiped : OthersThan(1)) {
      FleetWorld world = Replaced(1);
      CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
      world.LosePower(wiped);
      world.Wipe(wiped);
      world.Advance(kSecond);
      world.Start(wiped, false);
      AssertServes(world, 1, 2, "wiped " + wiped);
      CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(3, 2, "three")));
    }
  }

  void ChangeSentJustBeforeTheLossIsKeptIfItWasAcknowledged()
  {
    for (int ms = 5; ms <= 400; ms += 79) {
      for (const std::string& wiped : OthersThan(1)) {
        FleetWorld world = Replaced(1);
        const std::uint64_t id =
          world.Submit(kFollower, PutPolicyCommand(2, 1, "two"));
        world.Advance(ms * kMillisecond);
        const auto& done = world.Node(kFollower).mDone;
        const bool acknowledged = done.count(id) != 0;
        LoseAllPower(world, 1, wiped);
        AssertServes(world,
                     1,
                     acknowledged ? 2 : 1,
                     "wiped " + wiped + " after ms " + std::to_string(ms));
      }
    }
  }

  void HostsReplacedInARowLeaveAWholeGroup()
  {
    for (const int count : { 2, 4 }) {
      FleetWorld world = Founded();
      std::vector<std::string> control = { Founder(1), Founder(2), Founder(3) };
      for (int i = 0; i < count; ++i) {
        const std::string next = "10.0.1." + std::to_string(i + 1) + ":1";
        world.SetSeeds(control);
        Join(world, next);
        Leave(world, control.front());
        control.erase(control.begin());
        control.push_back(next);
      }
      CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.Voters());
      for (const std::string& address : control) {
        CPPUNIT_ASSERT_MESSAGE(address, IsVoter(world, address));
      }
    }
  }

  // Two losses tolerated: six voters became eight, two of them gone; the loss
  // of two disks left four of the five that are needed.
  void TwoOfSixReplacedThenTwoDisksLostKeepsTheChange()
  {
    FleetWorld world(7);
    world.Found(6, 3, 2);
    CPPUNIT_ASSERT(
      world.Until(10 * kSecond, [&] { return world.Voters() == 6; }));
    CPPUNIT_ASSERT(world.Commit(kReader, PutPolicyCommand(1, 0, "one")));
    world.SetSeeds({ Founder(3), Founder(4), Founder(5) });
    Join(world, "10.0.1.1:1");
    Join(world, "10.0.1.2:1");
    Leave(world, Founder(1));
    Leave(world, Founder(2));
    CPPUNIT_ASSERT(world.Commit(kReader, PutPolicyCommand(2, 1, "two")));
    for (const std::string& wiped : { Founder(3), Founder(6) }) {
      world.LosePower(wiped);
      world.Wipe(wiped);
    }
    world.Advance(kSecond);
    for (const std::string& wiped : { Founder(3), Founder(6) }) {
      world.Start(wiped, false);
    }
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    CPPUNIT_ASSERT(
      world.Until(kBackTime, [&] { return world.Commit(kReader, read); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         world.Node(kReader).mState.mCatalog.mVersion);
  }

  // One of three voters loses its disk. A host that has just joined goes again
  // within the next second, and the group has no leader for ever, though the
  // two voters that were enough before are still there. The leader had made the
  // newcomer a fourth voter while one of three was silent: three votes are
  // needed of the two that are there. Its log says "members_change
  // why=caught_up voters=4", then "leader_lost members_silent_ms=" with two
  // members that fell silent before and after that change, and each election
  // ends with "voters=4 votes=2".
  void NewcomerThatGoesAgainLeavesTheGroupAsItWas()
  {
    for (int lost = 1; lost <= 3; ++lost) {
      FleetWorld world = Founded();
      world.LosePower(Founder(lost));
      world.Wipe(Founder(lost));
      CPPUNIT_ASSERT(
        world.Until(kBackTime, [&] { return !world.Leader().empty(); }));
      world.Add(kNewcomer, true);
      world.Start(kNewcomer, false);
      world.Advance(700 * kMillisecond);
      world.LosePower(kNewcomer);
      world.Start(Founder(lost), false);
      CPPUNIT_ASSERT_MESSAGE(Founder(lost), world.Until(kBackTime, [&] {
        return world.Commit(kFollower, PutPolicyCommand(2, 1, "two"));
      }));
      CPPUNIT_ASSERT(world.Until(kWholeTime, [&] { return IsWhole(world); }));
    }
  }

  // Guards against a newcomer whose vote is needed from the moment it counts.
  void NewcomerThatGoesBesideAGoneVoterLeavesTheGroupAsItWas()
  {
    for (Micros after = 2400 * kMillisecond; after < 2800 * kMillisecond;
         after += 4 * kMillisecond) {
      FleetWorld world = Founded();
      const std::string lost = Founder(world.Leader() == Founder(1) ? 2 : 1);
      world.LosePower(lost);
      world.Add(kNewcomer, true);
      world.Start(kNewcomer, false);
      world.Advance(after);
      world.LosePower(kNewcomer);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(after / kMillisecond) + " ms",
                             world.Until(kBackTime, [&] {
                               return world.Commit(
                                 kFollower, PutPolicyCommand(2, 1, "two"));
                             }));
    }
  }

  // After a loss of power a host does not know whether the entry that took its
  // vote was committed, stands, and leads until it is. Then it gave the lead up
  // without a word, and the group had none until another one's timeout, 780 ms
  // in a schedule that was searched ("leader_lost members_silent_ms=0,0,6,6" at
  // the leader itself, 34 ms after its election).
  void LeaderWithoutAVoteHandsItsLeadOver()
  {
    int led = 0;
    for (int ahead = 2; ahead <= 18; ahead += 2) {
      const std::string without = Founder(2);
      FleetWorld world = StartedWithoutAVote(without, ahead * kMillisecond);
      (void)world.Until(100 * kMillisecond,
                        [&] { return !world.Leader().empty(); });
      if (world.Leader() != without) {
        continue;
      }
      ++led;
      CPPUNIT_ASSERT(world.Until(200 * kMillisecond, [&] {
        return !world.Leader().empty() && world.Leader() != without;
      }));
    }
    CPPUNIT_ASSERT(led > 0);
  }

  void VoterThatStopsLeavesBeforeItExits()
  {
    for (int leaves = 1; leaves <= 3; ++leaves) {
      FleetWorld world = Founded();
      Join(world, kNewcomer);
      world.Stop(Founder(leaves));
      CPPUNIT_ASSERT(world.Until(kStopTime, [&] {
        return world.Voters() == 3 && !IsVoter(world, Founder(leaves));
      }));
    }
  }

  void VoterSilentForGoodLeavesWhereOthersAreEnough()
  {
    for (int lost = 1; lost <= 3; ++lost) {
      FleetWorld world = Founded();
      Join(world, kNewcomer);
      world.Kill(Founder(lost));
      CPPUNIT_ASSERT(world.Until(kWholeTime, [&] {
        return world.Voters() == 3 && !IsVoter(world, Founder(lost));
      }));
    }
  }

  // With two voters the loss of one disk would leave the group stuck for good.
  void GroupNeverShrinksBelowWhatLossesNeed()
  {
    for (const bool planned : { false, true }) {
      FleetWorld world = Founded();
      const std::string lost = Founder(2);
      if (planned) {
        world.Stop(lost);
        world.Advance(kStopTime);
      }
      world.Kill(lost);
      world.Advance(60 * kSecond);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.Voters());
      // The one that comes in its place makes the group whole.
      world.SetSeeds({ Founder(1), Founder(3) });
      Join(world, kNewcomer);
      CPPUNIT_ASSERT(world.Until(kWholeTime, [&] {
        return world.Voters() == 3 && !IsVoter(world, lost);
      }));
    }
  }

  // Of five with one away as many more may be lost as of four.
  void VoterThatIsNotMissedKeepsItsVoteForAWhile()
  {
    FleetWorld world(7);
    world.Found(5, 2, 1);
    CPPUNIT_ASSERT(
      world.Until(10 * kSecond, [&] { return world.Voters() == 5; }));
    world.Advance(kSecond);
    const std::string lost =
      world.Leader() == Founder(2) ? Founder(3) : Founder(2);
    world.Kill(lost);
    world.Advance(6 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), world.Voters());
    CPPUNIT_ASSERT(world.Until(kWholeTime, [&] {
      return world.Voters() == 4 && !IsVoter(world, lost);
    }));
    world.Start(lost, false);
    CPPUNIT_ASSERT(
      world.Until(kWholeTime, [&] { return IsVoter(world, lost); }));
  }

  void RestartedVotersAreVotersAgain()
  {
    for (const int disks : { 3, 4, 6 }) {
      FleetWorld world(7);
      world.Found(disks, 3, disks == 6 ? 2 : 1);
      const auto voters = static_cast<std::size_t>(disks);
      CPPUNIT_ASSERT(
        world.Until(10 * kSecond, [&] { return world.Voters() == voters; }));
      for (int i = 1; i <= disks; ++i) {
        world.Stop(Founder(i));
        world.Advance(kStopTime);
        world.Kill(Founder(i));
        world.Advance(kSecond);
        world.Start(Founder(i), false);
        CPPUNIT_ASSERT_MESSAGE(
          std::to_string(disks),
          world.Until(kWholeTime, [&] { return world.Voters() == voters; }));
      }
    }
  }

  void TwoHostsReplacedAtOnceLeaveAWholeGroup()
  {
    FleetWorld world = Founded();
    Join(world, kNewcomer);
    Join(world, "10.0.1.2:1");
    world.Stop(Founder(1));
    world.Stop(Founder(2));
    CPPUNIT_ASSERT(world.Until(kStopTime, [&] {
      return world.Voters() == 3 && !IsVoter(world, Founder(1)) &&
             !IsVoter(world, Founder(2));
    }));
    world.Kill(Founder(1));
    world.Kill(Founder(2));
    CPPUNIT_ASSERT(world.Commit("10.0.0.6:1", PutPolicyCommand(2, 1, "two")));
  }

  void HostReplacedWhileTheLeaderIsCutOffLeavesAWholeGroup()
  {
    FleetWorld world = Founded();
    const std::string cut = world.Leader();
    const std::string leaves = cut == Founder(1) ? Founder(2) : Founder(1);
    Join(world, kNewcomer);
    world.mCutOff = { cut };
    world.Stop(leaves);
    world.Advance(kStopTime);
    world.Kill(leaves);
    world.mCutOff.clear();
    CPPUNIT_ASSERT(world.Until(kBackTime, [&] {
      return world.Voters() == 3 && !IsVoter(world, leaves);
    }));
    CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
  }

  void LearnerThatNeverCatchesUpIsForgotten()
  {
    FleetWorld world = Founded();
    world.mLose = [](const fakes::Sent& aSent) {
      return aSent.mTo == kNewcomer;
    };
    world.Add(kNewcomer, true);
    world.Start(kNewcomer, false);
    world.Advance(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(4, Members(world));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.Voters());
    world.Kill(kNewcomer);
    CPPUNIT_ASSERT(
      world.Until(40 * kSecond, [&] { return Members(world) == 3; }));
  }

  void HostBackWithItsDiskAfterItWasForgottenJoinsAgain()
  {
    FleetWorld world = Replaced(1);
    CPPUNIT_ASSERT(
      world.Until(40 * kSecond, [&] { return Members(world) == 3; }));
    CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(2, 1, "two")));
    world.Start(Founder(1), false);
    CPPUNIT_ASSERT(world.Until(kBackTime, [&] {
      return IsVoter(world, Founder(1)) &&
             world.Node(Founder(1)).mState.mCatalog.mVersion == 2;
    }));
  }

  void JoinThatNamesNoDiskOrAnothersIsRefused()
  {
    FleetWorld world = Founded();
    const std::string leader = world.Leader();
    for (const char* storage : { "", "disk2" }) {
      wire::FleetMessage message;
      message.set_from_address(kNewcomer);
      wire::Member& joiner = *message.mutable_join();
      joiner.set_id(MemberId(kNewcomer, "disk1"));
      joiner.set_address(kNewcomer);
      joiner.set_storage(storage);
      fleet::Output output;
      fleet::Receive(world.Node(leader).mState, world.mNow, 1, message, output);
      CPPUNIT_ASSERT(output.mWrites.empty());
    }
    const State& state = world.Node(leader).mState;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.mTraffic.mJoinsRefused);
    CPPUNIT_ASSERT_EQUAL(3, Members(world));
  }

  void StoppingHostDoesNotJoinAgain()
  {
    FleetWorld world = Founded();
    Join(world, kNewcomer);
    const std::string leaves = Founder(2);
    world.Stop(leaves);
    bool joins = false;
    world.mLose = [&](const fakes::Sent& aSent) {
      joins = joins || (aSent.mFrom == leaves && aSent.mMessage.has_join());
      return false;
    };
    world.Advance(10 * kSecond);
    CPPUNIT_ASSERT(!joins);
    CPPUNIT_ASSERT(!IsVoter(world, leaves));
  }

  void HostsThatAreGoneAreForgotten()
  {
    FleetWorld world = Founded();
    const std::string gone = "10.0.0.7:1";
    world.Kill(gone);
    world.Advance(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), KnownAt(world, kFollower, gone));
    world.Advance(60 * kSecond);
    for (const std::string& address : world.Addresses()) {
      if (address != gone) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          address, std::size_t(0), KnownAt(world, address, gone));
      }
    }
  }

  void GroupThatToleratesLessIsLoggedAndCounted()
  {
    FleetWorld world = Founded();
    const std::string leader = world.Leader();
    const fleet::State& state = world.Node(leader).mState;
    CPPUNIT_ASSERT_EQUAL(1, HealthOf(state, world.mNow).mTolerated);
    world.Kill(leader == Founder(3) ? Founder(2) : Founder(3));
    world.Advance(3 * kSecond);
    const GroupHealth health = HealthOf(state, world.mNow);
    CPPUNIT_ASSERT_EQUAL(3, health.mVoters);
    CPPUNIT_ASSERT_EQUAL(2, health.mAnswering);
    CPPUNIT_ASSERT_EQUAL(0, health.mTolerated);
    CPPUNIT_ASSERT(HasNote(world, leader, "event=group_weak"));
    world.Kill(leader == Founder(1) ? Founder(2) : Founder(1));
    world.Advance(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(-1, HealthOf(state, world.mNow).mTolerated);
    CPPUNIT_ASSERT(HasNote(world, leader, "event=group_leaderless"));
  }

  void DiskAtAStartIsLogged()
  {
    FleetWorld world = Founded();
    CPPUNIT_ASSERT(HasNote(world, Founder(1), "event=group_opened"));
    world.Kill(Founder(1));
    world.Wipe(Founder(1));
    world.Start(Founder(1), false);
    CPPUNIT_ASSERT(HasNote(world, Founder(1), "/disk"));
    CPPUNIT_ASSERT(HasNote(world, Founder(1), "voters=0"));
  }

private:
  static bool IsWhole(const FleetWorld& aWorld)
  {
    const std::string leader = aWorld.Leader();
    return !leader.empty() && aWorld.Voters() == 3 &&
           HealthOf(aWorld.At(leader).mState, aWorld.mNow).mTolerated == 1;
  }

  // A host stops and loses its vote; all lose power, and it is the first one
  // that is back.
  static FleetWorld StartedWithoutAVote(const std::string& aWithout,
                                        Micros aAhead)
  {
    FleetWorld world = Founded();
    Join(world, kNewcomer);
    world.Stop(aWithout);
    CPPUNIT_ASSERT(
      world.Until(kStopTime, [&] { return !IsVoter(world, aWithout); }));
    world.Advance(kSecond);
    for (const std::string& address : world.Addresses()) {
      world.LosePower(address);
    }
    world.Advance(kSecond);
    world.Start(aWithout, false);
    world.Advance(aAhead);
    for (const std::string& address : world.Addresses()) {
      if (address != aWithout) {
        world.Start(address, false);
      }
    }
    return world;
  }

  // Three control hosts and four others; the first version is in force.
  static FleetWorld Founded()
  {
    FleetWorld world(7);
    world.Found(3, 4, 1);
    CPPUNIT_ASSERT(
      world.Until(10 * kSecond, [&] { return world.Voters() == 3; }));
    CPPUNIT_ASSERT(world.Commit(kFollower, PutPolicyCommand(1, 0, "one")));
    world.Advance(kSecond);
    return world;
  }

  static void Join(FleetWorld& aWorld, const std::string& aAddress)
  {
    aWorld.Add(aAddress, true);
    aWorld.Start(aAddress, false);
    CPPUNIT_ASSERT(
      aWorld.Until(10 * kSecond, [&] { return IsVoter(aWorld, aAddress); }));
  }

  static void Leave(FleetWorld& aWorld, const std::string& aAddress)
  {
    aWorld.Stop(aAddress);
    aWorld.Advance(kStopTime);
    aWorld.Kill(aAddress);
    aWorld.Advance(kSecond);
  }

  static FleetWorld Replaced(int aLeaves)
  {
    FleetWorld world = Founded();
    Join(world, kNewcomer);
    Leave(world, Founder(aLeaves));
    return world;
  }

  static std::vector<std::string> OthersThan(int aLeaves)
  {
    std::vector<std::string> others = { kNewcomer };
    for (int i = 1; i <= 3; ++i) {
      if (i != aLeaves) {
        others.push_back(Founder(i));
      }
    }
    return others;
  }

  static std::vector<std::string> Left(const FleetWorld& aWorld, int aLeaves)
  {
    std::vector<std::string> left = aWorld.Addresses();
    left.erase(std::find(left.begin(), left.end(), Founder(aLeaves)));
    return left;
  }

  static void LoseAllPower(FleetWorld& aWorld,
                           int aLeaves,
                           const std::string& aWiped)
  {
    const std::vector<std::string> left = Left(aWorld, aLeaves);
    for (const std::string& address : left) {
      aWorld.LosePower(address);
    }
    aWorld.Wipe(aWiped);
    aWorld.Advance(kSecond);
    for (const std::string& address : left) {
      aWorld.Start(address, false);
    }
  }

  // All hosts that are left are in touch, with a version or a later one, and it
  // can be read back.
  static void AssertServes(FleetWorld& aWorld,
                           int aLeaves,
                           std::uint64_t aVersion,
                           const std::string& aCase)
  {
    const std::vector<std::string> left = Left(aWorld, aLeaves);
    const bool all = aWorld.Until(kBackTime, [&] {
      return std::all_of(left.begin(), left.end(), [&](const auto& aHost) {
        const State& state = aWorld.Node(aHost).mState;
        return state.mCatalog.mVersion >= aVersion &&
               IsInTouch(state, aWorld.mNow);
      });
    });
    CPPUNIT_ASSERT_MESSAGE(aCase, all);
    wire::CatalogCommand read;
    read.mutable_read_barrier();
    CPPUNIT_ASSERT_MESSAGE(aCase, aWorld.Commit(kFollower, read));
  }

  static bool IsVoter(const FleetWorld& aWorld, const std::string& aAddress)
  {
    const std::vector<std::string> voters = aWorld.VoterAddresses();
    return std::count(voters.begin(), voters.end(), aAddress) != 0;
  }

  static std::size_t KnownAt(FleetWorld& aWorld,
                             const std::string& aAddress,
                             const std::string& aHost)
  {
    return aWorld.Node(aAddress).mState.mHosts.count(aHost);
  }

  static int Members(FleetWorld& aWorld)
  {
    const std::string leader = aWorld.Leader();
    return aWorld.Node(leader).mState.mGroup.mMembership.members_size();
  }

  static bool HasNote(FleetWorld& aWorld,
                      const std::string& aAddress,
                      const std::string& aText)
  {
    const auto& notes = aWorld.Node(aAddress).mNotes;
    return std::any_of(notes.begin(), notes.end(), [&](const auto& aNote) {
      return aNote.find(aText) != std::string::npos;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembersTest);

} // namespace geraniumpond::fleet
