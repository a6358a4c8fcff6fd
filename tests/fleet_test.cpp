#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetNode;
using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

class FleetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(SeedsFoundAGroupOfAllHostsWithADisk);
  CPPUNIT_TEST(FirstPolicyWaitsForEnoughDisks);
  CPPUNIT_TEST(CommittedPolicyReachesEveryHostInTime);
  CPPUNIT_TEST(ManyCommitsAreSentToFollowersInBatches);
  CPPUNIT_TEST(FollowerThatMissedAPushAppliesCommandsInOrder);
  CPPUNIT_TEST(FollowerFarBehindReceivesASnapshot);
  CPPUNIT_TEST(PolicyArrivesThoughASnapshotWasLost);
  CPPUNIT_TEST(NewLeaderCommitsWithinSecondsOfALeaderLoss);
  CPPUNIT_TEST(HostWithAWipedDiskRejoinsAndNothingIsLost);
  CPPUNIT_TEST(HostWithAWipedDiskFindsALeaderThatIsNoSeed);
  CPPUNIT_TEST(ReplacementHostSucceedsTheLostVoter);
  CPPUNIT_TEST(MemberRemovedWhileIsolatedRejoins);
  CPPUNIT_TEST(IsolatedHostAcknowledgesNothing);
  CPPUNIT_TEST(ConcurrentChangesOfOneBaseHaveOneWinner);
  CPPUNIT_TEST(ResentChangeIsAcknowledgedAfterRestartsAndSnapshots);
  CPPUNIT_TEST(ReplyToACommandOfAPreviousProcessIsIgnored);
  CPPUNIT_TEST(AcknowledgedChangeSurvivesAKillOfAllHosts);
  CPPUNIT_TEST(RestartedVotersElectWithoutAnElectionTimeout);
  CPPUNIT_TEST(FollowersReceiveNoOldPolicyAfterAKillOfAllHosts);
  CPPUNIT_TEST(DisconnectedHostsFollowOnceTheGroupIsBack);
  CPPUNIT_TEST(StoppingHostIsRemovedFromAllHostListsAtOnce);
  CPPUNIT_TEST(FollowersOfAMinorityFindTheMajorityInTime);
  CPPUNIT_TEST(EveryHostKnowsAllOthersDespiteMessageLoss);
  CPPUNIT_TEST(DisconnectedHostsKeepCountingTheOthers);
  CPPUNIT_TEST(FollowersOfALostControlHostStayKnown);
  CPPUNIT_TEST(CommitsContinueWhileAnyOneHostIsIsolated);
  CPPUNIT_TEST(GroupFindsHostsWhoseSeedsDoNotKnowIt);
  CPPUNIT_TEST(RestartedHostWithFollowersAsSeedsIsReferred);
  CPPUNIT_TEST(GroupFindsRestartedFollowersThatAreEachOthersSeeds);
  CPPUNIT_TEST(OldControlAddressesNeverReplaceNewerOnes);
  CPPUNIT_TEST(GroupContactsLostHostsWithFewMessages);
  CPPUNIT_TEST(AllHostsServeAfterRandomLossesAndSeedChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void SeedsFoundAGroupOfAllHostsWithADisk()
  {
    for (const int disks : { 1, 3, 4, 5, 8 }) {
      FleetSimulation simulation(static_cast<std::uint64_t>(disks));
      simulation.StartFleet(disks, 3, 0);
      CPPUNIT_ASSERT(simulation.RunUntil(4 * kSecond, [&] {
        return simulation.Voters() == static_cast<std::size_t>(disks);
      }));
    }
  }

  void FirstPolicyWaitsForEnoughDisks()
  {
    FleetSimulation simulation;
    simulation.StartFleet(4, 0, 1);
    simulation.Kill("10.0.0.4:1");
    simulation.Kill("10.0.0.3:1");
    // Two of the three founders are a quorum, and two disks are enough to
    // tolerate one loss.
    CPPUNIT_ASSERT(simulation.RunUntil(4 * kSecond, [&] {
      return simulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "first"));
    }));
    FleetSimulation careful;
    careful.StartFleet(4, 0, 2);
    careful.Kill("10.0.0.4:1");
    CPPUNIT_ASSERT(
      careful.RunUntil(4 * kSecond, [&] { return !careful.Leader().empty(); }));
    CPPUNIT_ASSERT(
      !careful.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "first")));
    careful.Start("10.0.0.4:1", true);
    CPPUNIT_ASSERT(careful.RunUntil(4 * kSecond, [&] {
      return careful.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "first"));
    }));
  }

  void CommittedPolicyReachesEveryHostInTime()
  {
    StartWithFirstPolicy(4, 11, 1);
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.9:1", PutPolicyCommand(7, 1, "next")));
    mSimulation.Advance(600 * kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), VersionAt(address));
    }
  }

  // All targets of a fleet may announce themselves within seconds. One message
  // per commit and follower would overload the leader until it loses its
  // leadership.
  void ManyCommitsAreSentToFollowersInBatches()
  {
    StartWithFirstPolicy(3, 20, 1);
    int pushes = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      pushes += aSent.mMessage.has_follow_reply() &&
                    aSent.mMessage.follow_reply().commands_size() > 0
                  ? 1
                  : 0;
      return false;
    };
    const Micros start = mSimulation.mNow;
    for (int target = 0; target < 200; ++target) {
      (void)mSimulation.Submit(
        "10.0.0.9:1", PutTargetCommand("t" + std::to_string(target), 1, false));
      mSimulation.Advance(5 * kMillisecond);
    }
    mSimulation.Advance(300 * kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        address,
        std::size_t(200),
        mSimulation.Node(address).mState.mCatalog.mTargets.size());
    }
    const auto tenths = (mSimulation.mNow - start) / (100 * kMillisecond);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(pushes), pushes <= 20 * (tenths + 8));
  }

  void FollowerThatMissedAPushAppliesCommandsInOrder()
  {
    StartWithFirstPolicy(4, 2, 1);
    const std::string follower = "10.0.0.6:1";
    // Drops the push of one change and delivers the next one.
    bool lost = false;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      const bool push = aSent.mTo == follower &&
                        aSent.mMessage.has_follow_reply() &&
                        aSent.mMessage.follow_reply().commands_size() > 0;
      const bool lose = push && !lost;
      lost = lost || push;
      return lose;
    };
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(2, 1, "two")));
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutTargetCommand("t", 1, false)));
    mSimulation.Advance(1500 * kMillisecond);
    CPPUNIT_ASSERT(lost);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), VersionAt(follower));
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1),
      mSimulation.Node(follower).mState.mCatalog.mTargets.size());
  }

  void FollowerFarBehindReceivesASnapshot()
  {
    StartWithFirstPolicy(3, 1, 0);
    mSimulation.mIsolated = { "10.0.0.4:1" };
    // Random text, which stays large when it is compressed.
    std::mt19937_64 random(5);
    std::string large;
    while (large.size() < 300 * 1024) {
      large += std::to_string(random());
    }
    for (std::uint64_t version = 2; version < 12; ++version) {
      CPPUNIT_ASSERT(mSimulation.Commit(
        "10.0.0.1:1",
        PutPolicyCommand(
          version, version - 1, large + std::to_string(version))));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), VersionAt("10.0.0.4:1"));
    mSimulation.mIsolated.clear();
    CPPUNIT_ASSERT(mSimulation.RunUntil(
      3 * kSecond, [&] { return VersionAt("10.0.0.4:1") == 11; }));
  }

  void PolicyArrivesThoughASnapshotWasLost()
  {
    StartWithFirstPolicy(3, 1, 0);
    const std::string follower = "10.0.0.4:1";
    mSimulation.mIsolated = { follower };
    // So many commands that a snapshot is smaller than the log.
    for (int i = 0; i < 400; ++i) {
      CPPUNIT_ASSERT(mSimulation.Commit(
        "10.0.0.1:1", PutTargetCommand("t" + std::to_string(i), 1, false)));
    }
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(2, 1, "two")));
    bool lost = false;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      const bool snapshot =
        aSent.mTo == follower && aSent.mMessage.has_follow_reply() &&
        !aSent.mMessage.follow_reply().packed_snapshot().empty();
      const bool lose = snapshot && !lost;
      lost = lost || snapshot;
      return lose;
    };
    mSimulation.mIsolated.clear();
    CPPUNIT_ASSERT(mSimulation.RunUntil(4 * kSecond, [&] { return lost; }));
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(kSecond, [&] { return VersionAt(follower) == 2; }));
    CPPUNIT_ASSERT(mSimulation.RunUntil(2 * kSecond, [&] {
      return mSimulation.Node(follower).mState.mCatalog.mTargets.size() == 400;
    }));
  }

  void NewLeaderCommitsWithinSecondsOfALeaderLoss()
  {
    StartWithFirstPolicy(4, 2, 1);
    const std::string lost = mSimulation.Leader();
    mSimulation.Kill(lost);
    const std::string other = "10.0.0.6:1";
    CPPUNIT_ASSERT(mSimulation.RunUntil(4 * kSecond, [&] {
      return mSimulation.Commit(other, PutPolicyCommand(2, 1, "after"));
    }));
  }

  void HostWithAWipedDiskRejoinsAndNothingIsLost()
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FleetSimulation simulation(seed);
      simulation.StartFleet(4, 2, 1);
      WaitForVoters(simulation, 4);
      CPPUNIT_ASSERT(
        simulation.Commit("10.0.0.5:1", PutPolicyCommand(1, 0, "a")));
      // All hosts are killed, and one control host also loses its disk: the
      // leader or another one.
      const std::string wiped =
        seed % 2 == 0 ? simulation.Leader() : "10.0.0.2:1";
      for (const std::string& address : simulation.Addresses()) {
        simulation.Kill(address);
      }
      simulation.Wipe(wiped);
      simulation.Advance(kSecond);
      for (const std::string& address : simulation.Addresses()) {
        simulation.Start(address, false);
      }
      CPPUNIT_ASSERT(simulation.RunUntil(8 * kSecond, [&] {
        const std::vector<std::string> all = simulation.Addresses();
        return std::all_of(all.begin(), all.end(), [&](const auto& aAddress) {
          return simulation.Node(aAddress).mState.mCatalog.mVersion == 1;
        });
      }));
      WaitForVoters(simulation, 4);
    }
  }

  void HostWithAWipedDiskFindsALeaderThatIsNoSeed()
  {
    StartWithFirstPolicy(4, 1, 1);
    // 10.0.0.4 is no seed. Restarts the leaders until it is elected.
    CPPUNIT_ASSERT(mSimulation.RunUntil(20 * kSecond, [&] {
      const std::string leader = mSimulation.Leader();
      if (!leader.empty() && leader != "10.0.0.4:1") {
        mSimulation.Kill(leader);
        mSimulation.Advance(2 * kSecond);
        mSimulation.Start(leader, false);
        mSimulation.Advance(kSecond);
      }
      return mSimulation.Leader() == "10.0.0.4:1";
    }));
    mSimulation.Kill("10.0.0.1:1");
    mSimulation.Wipe("10.0.0.1:1");
    mSimulation.Start("10.0.0.1:1", false);
    CPPUNIT_ASSERT(mSimulation.RunUntil(8 * kSecond, [&] {
      return VersionAt("10.0.0.1:1") == 1 && IsVoter("10.0.0.1:1");
    }));
  }

  void ReplacementHostSucceedsTheLostVoter()
  {
    StartWithFirstPolicy(4, 1, 1);
    for (int round = 0; round < 3; ++round) {
      const std::string lost = "10.0.0." + std::to_string(round + 1) + ":1";
      const std::string next = "10.0.1." + std::to_string(round + 1) + ":1";
      mSimulation.Kill(lost);
      mSimulation.Advance(kSecond);
      // A host that is added later has seeds that are running then.
      mSimulation.SetSeeds({ "10.0.0.4:1" });
      mSimulation.Add(next, true);
      mSimulation.Start(next, false);
      CPPUNIT_ASSERT(mSimulation.RunUntil(10 * kSecond, [&] {
        return mSimulation.Voters() == 4 && IsVoter(next) && !IsVoter(lost);
      }));
      const auto version = static_cast<std::uint64_t>(round) + 2;
      CPPUNIT_ASSERT(mSimulation.Commit(
        "10.0.0.5:1", PutPolicyCommand(version, version - 1, "next")));
    }
  }

  void MemberRemovedWhileIsolatedRejoins()
  {
    StartWithFirstPolicy(4, 1, 1);
    const std::string isolated = mSimulation.Leader();
    mSimulation.mIsolated = { isolated };
    mSimulation.Advance(4 * kSecond);
    mSimulation.Add("10.0.1.1:1", true);
    mSimulation.Start("10.0.1.1:1", false);
    CPPUNIT_ASSERT(mSimulation.RunUntil(8 * kSecond, [&] {
      return IsVoter("10.0.1.1:1") && !IsVoter(isolated);
    }));
    mSimulation.mIsolated.clear();
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(10 * kSecond, [&] { return IsVoter(isolated); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), mSimulation.Voters());
  }

  void IsolatedHostAcknowledgesNothing()
  {
    StartWithFirstPolicy(4, 2, 1);
    for (const std::string& address :
         { std::string("10.0.0.6:1"), mSimulation.Leader() }) {
      mSimulation.mIsolated = { address };
      CPPUNIT_ASSERT(
        !mSimulation.Commit(address, PutTargetCommand("t", 5, true)));
      mSimulation.mIsolated.clear();
      mSimulation.Advance(3 * kSecond);
    }
  }

  void ConcurrentChangesOfOneBaseHaveOneWinner()
  {
    StartWithFirstPolicy(4, 4, 1);
    std::vector<std::pair<std::string, std::uint64_t>> submitted;
    for (int i = 5; i <= 8; ++i) {
      const std::string address = "10.0.0." + std::to_string(i) + ":1";
      submitted.emplace_back(
        address, mSimulation.Submit(address, PutPolicyCommand(2, 1, address)));
    }
    mSimulation.Advance(kSecond);
    int accepted = 0;
    std::string winner;
    for (const auto& [address, id] : submitted) {
      const Completion& done = mSimulation.Node(address).mOutcomes.at(id);
      CPPUNIT_ASSERT(done.mEnd == SubmitResult::Committed);
      accepted += done.mOutcome.accepted() ? 1 : 0;
      winner = done.mOutcome.accepted() ? address : winner;
    }
    CPPUNIT_ASSERT_EQUAL(1, accepted);
    CPPUNIT_ASSERT_EQUAL(
      winner, mSimulation.Node("10.0.0.8:1").mState.mCatalog.mDocument);
  }

  void ResentChangeIsAcknowledgedAfterRestartsAndSnapshots()
  {
    StartWithFirstPolicy(3, 1, 0);
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.4:1", PutPolicyCommand(2, 1, "two")));
    for (std::uint64_t i = 1; i <= 300; ++i) {
      CPPUNIT_ASSERT(mSimulation.Commit(
        "10.0.0.1:1", PutTargetCommand("t" + std::to_string(i), 1, false)));
    }
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
    CPPUNIT_ASSERT(mSimulation.RunUntil(4 * kSecond, [&] {
      return mSimulation.Commit("10.0.0.4:1", PutPolicyCommand(2, 1, "two"));
    }));
    CPPUNIT_ASSERT(
      !mSimulation.Commit("10.0.0.4:1", PutPolicyCommand(2, 1, "another two")));
  }

  // A late reply to a command of the previous process must not acknowledge a
  // command that was submitted after the restart.
  void ReplyToACommandOfAPreviousProcessIsIgnored()
  {
    FleetSimulation simulation(7);
    simulation.StartFleet(3, 2, 1);
    simulation.Advance(2 * kSecond);
    const std::string host = "10.0.0.5:1";
    const std::uint64_t before =
      simulation.Submit(host, PutPolicyCommand(1, 0, "one"));
    simulation.Kill(host);
    simulation.Start(host, false);
    (void)simulation.Submit(host, PutPolicyCommand(2, 0, "two"));
    wire::FleetMessage late;
    late.set_from_address("10.0.0.1:1");
    late.mutable_submit_reply()->set_id(before);
    late.mutable_submit_reply()->mutable_outcome()->set_accepted(true);
    Output output;
    Receive(simulation.Node(host).mState, simulation.mNow, 1, late, output);
    CPPUNIT_ASSERT(output.mDone.empty());
  }

  void AcknowledgedChangeSurvivesAKillOfAllHosts()
  {
    StartWithFirstPolicy(4, 3, 1);
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.7:1", PutPolicyCommand(2, 1, "two")));
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    mSimulation.Advance(kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
    CPPUNIT_ASSERT(mSimulation.RunUntil(
      4 * kSecond, [&] { return VersionAt("10.0.0.7:1") == 2; }));
  }

  // Time from a running quorum until all hosts are served. With a quarter of
  // the usual election timeout the worst of 20 seeds took 226 ms; without
  // waiting for a timeout, 54 ms.
  void RestartedVotersElectWithoutAnElectionTimeout()
  {
    Micros worst = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FleetSimulation simulation(seed);
      simulation.StartFleet(3, 6, 1);
      WaitForVoters(simulation, 3);
      CPPUNIT_ASSERT(
        simulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one")));
      for (const std::string& address : simulation.Addresses()) {
        simulation.Kill(address);
      }
      simulation.Advance(kSecond);
      for (const int host : { 4, 5, 6, 7, 8, 9, 1, 2 }) {
        simulation.Start("10.0.0." + std::to_string(host) + ":1", false);
        simulation.Advance(host == 1 ? 70 * kMillisecond : 0);
      }
      const Micros quorumAt = simulation.mNow;
      CPPUNIT_ASSERT(simulation.RunUntil(2 * kSecond, [&] {
        for (int host = 4; host <= 9; ++host) {
          const State& state =
            simulation.Node("10.0.0." + std::to_string(host) + ":1").mState;
          if (state.mCatalog.mVersion != 1) {
            return false;
          }
        }
        return true;
      }));
      worst = std::max(worst, simulation.mNow - quorumAt);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst < 150 * kMillisecond);
  }

  void FollowersReceiveNoOldPolicyAfterAKillOfAllHosts()
  {
    StartWithFirstPolicy(3, 6, 1);
    // The snapshot holds the first policy, the log after it the second one.
    for (int target = 0; target < 230; ++target) {
      CPPUNIT_ASSERT(mSimulation.Commit(
        "10.0.0.1:1",
        PutTargetCommand("t" + std::to_string(target), 1, false)));
    }
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(2, 1, "two")));
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    mSimulation.Advance(kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
    // Keeps the new leader from committing for a while, so that it knows only
    // the commits that its disk recorded.
    const Micros restarted = mSimulation.mNow;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      return mSimulation.mNow < restarted + 800 * kMillisecond &&
             aSent.mMessage.has_consensus() &&
             aSent.mMessage.consensus().append_reply().success();
    };
    for (int step = 0; step < 400; ++step) {
      mSimulation.Advance(10 * kMillisecond);
      for (int host = 4; host <= 9; ++host) {
        const std::string address = "10.0.0." + std::to_string(host) + ":1";
        CPPUNIT_ASSERT_MESSAGE(address, VersionAt(address) != 1);
      }
    }
    for (const std::string& address : mSimulation.Addresses()) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), VersionAt(address));
    }
  }

  void DisconnectedHostsFollowOnceTheGroupIsBack()
  {
    StartWithFirstPolicy(3, 6, 1);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    mSimulation.Advance(kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
    CPPUNIT_ASSERT(mSimulation.RunUntil(3 * kSecond, [&] {
      const std::string leader = mSimulation.Leader();
      return !leader.empty() &&
             IsInTouch(mSimulation.Node(leader).mState, mSimulation.mNow);
    }));
    // A few message delays. With the periodic reports alone this would take up
    // to 400 ms longer.
    mSimulation.Advance(40 * kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        address, std::uint64_t(1), VersionAt(address));
    }
  }

  void StoppingHostIsRemovedFromAllHostListsAtOnce()
  {
    StartWithFirstPolicy(4, 4, 1);
    for (const std::string& address : mSimulation.Addresses()) {
      Output output;
      SetReady(
        mSimulation.Node(address).mState, mSimulation.mNow, true, output);
    }
    mSimulation.Advance(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), ReadyHostsSeenBy("10.0.0.5:1"));
    for (const std::string& address :
         { std::string("10.0.0.8:1"), mSimulation.Leader() }) {
      Output output;
      const std::size_t before = ReadyHostsSeenBy("10.0.0.5:1");
      BeginStop(mSimulation.Node(address).mState, mSimulation.mNow, output);
      mSimulation.Advance(kSecond);
      CPPUNIT_ASSERT_EQUAL(before - 1, ReadyHostsSeenBy("10.0.0.5:1"));
    }
  }

  // Asking the control hosts one after the other took up to four seconds.
  void FollowersOfAMinorityFindTheMajorityInTime()
  {
    StartWithFirstPolicy(5, 20, 2);
    const std::set<std::string> minority = { "10.0.0.1:1", "10.0.0.2:1" };
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      const bool control = mSimulation.Node(aSent.mFrom).mSettings.mControl &&
                           mSimulation.Node(aSent.mTo).mSettings.mControl;
      return control &&
             minority.count(aSent.mFrom) != minority.count(aSent.mTo);
    };
    CPPUNIT_ASSERT(mSimulation.RunUntil(5 * kSecond, [&] {
      return mSimulation.Commit("10.0.0.9:1", PutPolicyCommand(2, 1, "two"));
    }));
    mSimulation.Advance(2 * kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      if (minority.count(address) == 0) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          address, std::uint64_t(2), VersionAt(address));
      }
    }
  }

  void EveryHostKnowsAllOthersDespiteMessageLoss()
  {
    std::mt19937_64 random(3);
    mSimulation.mShouldDrop = [&](const fakes::SentMessage&) {
      return random() % 20 == 0;
    };
    mSimulation.StartFleet(4, 12, 1);
    CPPUNIT_ASSERT(mSimulation.RunUntil(20 * kSecond, [&] {
      const std::vector<std::string> all = mSimulation.Addresses();
      return std::all_of(all.begin(), all.end(), [&](const auto& aAddress) {
        return LiveHostCount(mSimulation.Node(aAddress).mState,
                             mSimulation.mNow) == 16;
      });
    }));
  }

  // A host that counts only itself would take all of a shared limit while the
  // group is partitioned.
  void DisconnectedHostsKeepCountingTheOthers()
  {
    StartWithFirstPolicy(4, 6, 1);
    mSimulation.mIsolated = { "10.0.0.1:1", "10.0.0.2:1" };
    mSimulation.Advance(8 * kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      CPPUNIT_ASSERT_MESSAGE(
        address,
        LiveHostCount(mSimulation.Node(address).mState, mSimulation.mNow) >= 8);
    }
  }

  void FollowersOfALostControlHostStayKnown()
  {
    // Kills the host at different times between two reports.
    for (int offset = 0; offset < 8; ++offset) {
      mSimulation = FleetSimulation(static_cast<std::uint64_t>(offset + 1));
      StartWithFirstPolicy(4, 11, 1);
      mSimulation.Advance(3 * kSecond + offset * 150 * kMillisecond);
      const std::string lost =
        "10.0.0." + std::to_string(1 + offset % 4) + ":1";
      mSimulation.Kill(lost);
      for (int step = 0; step < 500; ++step) {
        mSimulation.Advance(10 * kMillisecond);
        for (const std::string& address : mSimulation.Addresses()) {
          CPPUNIT_ASSERT_MESSAGE(
            lost + " lost, seen at " + address + " after " +
              std::to_string(step * 10) + " ms",
            address == lost || LiveHostCount(mSimulation.Node(address).mState,
                                             mSimulation.mNow) >= 14);
        }
      }
    }
  }

  void CommitsContinueWhileAnyOneHostIsIsolated()
  {
    StartWithFirstPolicy(4, 1, 1);
    std::uint64_t version = 1;
    for (const char* address :
         { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1" }) {
      mSimulation.mIsolated = { address };
      CPPUNIT_ASSERT(mSimulation.RunUntil(5 * kSecond, [&] {
        return mSimulation.Commit("10.0.0.5:1",
                                  PutPolicyCommand(version + 1, version, "x"));
      }));
      ++version;
      mSimulation.mIsolated.clear();
      mSimulation.Advance(4 * kSecond);
    }
  }

  // All hosts restart, and one voter has lost its disk. Their new seeds are
  // hosts without a disk, which do not know the group.
  void GroupFindsHostsWhoseSeedsDoNotKnowIt()
  {
    StartWithFirstPolicy(3, 16, 1);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Kill(address);
    }
    mSimulation.Wipe("10.0.0.2:1");
    mSimulation.ReplaceSeeds({ "10.0.0.9:1", "10.0.0.12:1", "10.0.0.17:1" });
    mSimulation.Advance(kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      mSimulation.Start(address, false);
    }
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(3 * kSecond, [&] { return AllServe(1); }));
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(6 * kSecond, [&] { return IsVoter("10.0.0.2:1"); }));
  }

  void RestartedHostWithFollowersAsSeedsIsReferred()
  {
    StartWithFirstPolicy(3, 6, 1);
    mSimulation.ReplaceSeeds({ "10.0.0.5:1", "10.0.0.6:1", "10.0.0.7:1" });
    mSimulation.Kill("10.0.0.9:1");
    mSimulation.Advance(200 * kMillisecond);
    mSimulation.Start("10.0.0.9:1", false);
    CPPUNIT_ASSERT(mSimulation.RunUntil(kSecond, [&] { return AllServe(1); }));
  }

  // The running voters keep their old seeds.
  void GroupFindsRestartedFollowersThatAreEachOthersSeeds()
  {
    StartWithFirstPolicy(3, 6, 1);
    mSimulation.ReplaceSeeds({ "10.0.0.5:1", "10.0.0.6:1", "10.0.0.7:1" });
    for (int host = 4; host <= 9; ++host) {
      mSimulation.Kill("10.0.0." + std::to_string(host) + ":1");
    }
    mSimulation.Advance(500 * kMillisecond);
    for (int host = 4; host <= 9; ++host) {
      mSimulation.Start("10.0.0." + std::to_string(host) + ":1", false);
    }
    CPPUNIT_ASSERT(
      mSimulation.RunUntil(3 * kSecond, [&] { return AllServe(1); }));
  }

  void OldControlAddressesNeverReplaceNewerOnes()
  {
    StartWithFirstPolicy(3, 3, 1);
    FleetNode& node = mSimulation.Node("10.0.0.6:1");
    const std::vector<std::string> known = node.mState.mControlAddresses;
    CPPUNIT_ASSERT(node.mState.mMembershipVersion.mTerm > 0);
    wire::FleetMessage message;
    message.set_from_address("10.0.0.5:1");
    wire::FollowReply& reply = *message.mutable_follow_reply();
    reply.set_brief(true);
    reply.add_control_addresses("10.0.0.99:1");
    const auto deliver = [&](std::uint64_t aTerm, std::uint64_t aIndex) {
      reply.set_control_term(aTerm);
      reply.set_control_index(aIndex);
      Output output;
      Receive(node.mState, mSimulation.mNow, 1, message, output);
    };
    const MembershipVersion date = node.mState.mMembershipVersion;
    deliver(date.mTerm - 1, date.mIndex + 1000);
    deliver(date.mTerm, date.mIndex - 1);
    deliver(0, 0);
    CPPUNIT_ASSERT(known == node.mState.mControlAddresses);
    deliver(date.mTerm, date.mIndex + 1);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.99:1"),
                         node.mState.mControlAddresses.front());
  }

  // While no host is lost, the group contacts none. When many are lost, each
  // voter contacts a few at a time.
  void GroupContactsLostHostsWithFewMessages()
  {
    StartWithFirstPolicy(3, 40, 1);
    int contacted = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      contacted += aSent.mMessage.has_follow_reply() &&
                       aSent.mMessage.follow_reply().brief()
                     ? 1
                     : 0;
      return false;
    };
    mSimulation.Advance(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, contacted);
    for (int host = 10; host <= 43; ++host) {
      mSimulation.Kill("10.0.0." + std::to_string(host) + ":1");
    }
    mSimulation.Advance(4 * kSecond);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(contacted),
                           contacted > 0 && contacted <= 3 * 10 * 7);
  }

  // Random restarts, wiped disks, new seeds and isolated hosts. After the last
  // of them every host has the newest policy within seconds.
  void AllHostsServeAfterRandomLossesAndSeedChanges()
  {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), std::string(), RunRandomLosses(seed));
    }
  }

private:
  // Returns what is wrong after a random schedule of losses; empty for nothing.
  static std::string RunRandomLosses(std::uint64_t aSeed)
  {
    FleetSimulation simulation(aSeed);
    std::mt19937_64 random(aSeed);
    const auto randomBelow = [&](std::uint64_t aBound) {
      return static_cast<int>(random() % aBound);
    };
    const int disks = 3 + randomBelow(3);
    const int hosts = disks + 3 + randomBelow(8);
    simulation.StartFleet(disks, hosts - disks, 1);
    WaitForVoters(simulation, static_cast<std::size_t>(disks));
    if (!simulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one"))) {
      return "the first policy was not committed";
    }
    const auto randomAddress = [&] {
      return "10.0.0." + std::to_string(1 + randomBelow(hosts)) + ":1";
    };
    std::set<std::string> down;
    bool wiped = false;
    for (int step = 0; step < 6; ++step) {
      switch (randomBelow(5)) {
        case 0:
          simulation.ReplaceSeeds(
            { randomAddress(), randomAddress(), randomAddress() });
          break;
        case 1:
          for (const std::string& address : simulation.Addresses()) {
            simulation.Kill(address);
            down.insert(address);
          }
          break;
        case 2:
          for (int i = 0; i < hosts / 2; ++i) {
            const std::string address = randomAddress();
            simulation.Kill(address);
            down.insert(address);
          }
          break;
        case 3: {
          const std::string address = randomAddress();
          const bool another = wiped;
          simulation.Kill(address);
          down.insert(address);
          if (simulation.Node(address).mSettings.mControl && !another) {
            simulation.Wipe(address);
            wiped = true;
          }
          break;
        }
        default:
          simulation.mIsolated.insert(randomAddress());
          break;
      }
      simulation.Advance(randomBelow(1500) * kMillisecond);
      for (const std::string& address : down) {
        simulation.Start(address, false);
      }
      down.clear();
      if (randomBelow(2) == 0) {
        simulation.mIsolated.clear();
      }
      simulation.Advance(randomBelow(2000) * kMillisecond);
    }
    simulation.mIsolated.clear();
    const auto serves = [&] {
      const std::vector<std::string> all = simulation.Addresses();
      return std::all_of(
        all.begin(), all.end(), [&](const std::string& aAddress) {
          const State& state = simulation.Node(aAddress).mState;
          return state.mCatalog.mVersion == 1 &&
                 IsInTouch(state, simulation.mNow);
        });
    };
    return simulation.RunUntil(8 * kSecond, serves)
             ? ""
             : "a host does not serve in time";
  }

  bool AllServe(std::uint64_t aVersion)
  {
    const std::vector<std::string> all = mSimulation.Addresses();
    return std::all_of(all.begin(), all.end(), [&](const std::string& aHost) {
      return VersionAt(aHost) == aVersion &&
             (mSimulation.Node(aHost).mSettings.mControl ||
              IsInTouch(mSimulation.Node(aHost).mState, mSimulation.mNow));
    });
  }

  static void WaitForVoters(FleetSimulation& aSimulation, std::size_t aCount)
  {
    CPPUNIT_ASSERT(aSimulation.RunUntil(
      10 * kSecond, [&] { return aSimulation.Voters() == aCount; }));
  }

  // Starts a fleet in which all hosts with a disk vote, and commits version 1.
  void StartWithFirstPolicy(int aDisks, int aOthers, int aTolerated)
  {
    mSimulation.StartFleet(aDisks, aOthers, aTolerated);
    WaitForVoters(mSimulation, static_cast<std::size_t>(aDisks));
    CPPUNIT_ASSERT(
      mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one")));
    mSimulation.Advance(kSecond);
  }

  std::uint64_t VersionAt(const std::string& aAddress)
  {
    return mSimulation.Node(aAddress).mState.mCatalog.mVersion;
  }

  std::size_t ReadyHostsSeenBy(const std::string& aAddress)
  {
    return ReadyHosts(mSimulation.Node(aAddress).mState, mSimulation.mNow)
      .size();
  }

  bool IsVoter(const std::string& aAddress)
  {
    const std::string leader = mSimulation.Leader();
    if (leader.empty()) {
      return false;
    }
    const auto& members =
      mSimulation.Node(leader).mState.mGroup.mMembership.members();
    return std::any_of(
      members.begin(), members.end(), [&](const wire::Member& aMember) {
        return aMember.address() == aAddress && aMember.voter();
      });
  }

  FleetSimulation mSimulation{ 7 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace geraniumpond::fleet
