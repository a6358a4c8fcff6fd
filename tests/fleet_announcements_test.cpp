#include "fakes/fleet_simulation.h"
#include "fleet/internal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;
using fakes::PutTargetCommand;

namespace {

constexpr const char* kControl = "10.0.0.1:1";
constexpr int kHostsWithDisk = 3;
constexpr int kOtherHosts = 9;
/// Targets announce themselves again after this time.
constexpr Micros kHeartbeat = kSecond;

std::string TargetId(int aTarget)
{
  return "target" + std::to_string(aTarget);
}

} // namespace

/// \brief Announcements of targets that are not committed yet.
class FleetAnnouncementsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetAnnouncementsTest);
  CPPUNIT_TEST(HostOutOfTouchSendsNoAnnouncements);
  CPPUNIT_TEST(KnownAnnouncementEndsWhenTheHostIsInTouch);
  CPPUNIT_TEST(HeldAnnouncementEndsInTime);
  CPPUNIT_TEST(DrainingTargetDoesNotWaitUntilTheHostIsInTouch);
  CPPUNIT_TEST(HostHasOneMessageWithAnnouncementsUnderWay);
  CPPUNIT_TEST(LeaderOfAnEarlierVersionGetsAllAnnouncements);
  CPPUNIT_TEST(RepeatedAnnouncementsAreProposedOnceWhileDisksAreStalled);
  CPPUNIT_TEST(AnnouncementsContinueAfterALeaderLoss);
  CPPUNIT_TEST(AnnouncementsAreSentAtOnceAfterATimeOutOfTouch);
  CPPUNIT_TEST(HostOutOfTouchIsIdleWhileTargetsAnnounceThemselves);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mSimulation = FleetSimulation(1);
    mSimulation.StartFleet(kHostsWithDisk, kOtherHosts, 1);
    CPPUNIT_ASSERT(mSimulation.RunUntil(6 * kSecond, [&] {
      return mSimulation.Voters() == kHostsWithDisk &&
             mSimulation.Commit(kControl, PutPolicyCommand(1, 0, "one"));
    }));
    mSimulation.Advance(2 * kSecond);
  }

  // Guards against hosts that know nothing after a power loss and take each
  // heartbeat of each target for news: the control hosts were so busy with
  // these that no host got in touch.
  void HostOutOfTouchSendsNoAnnouncements()
  {
    RestartFollower();
    int sent = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      sent += aSent.mMessage.has_submit() ? 1 : 0;
      return aSent.mMessage.has_follow_reply() && aSent.mTo == kFollower;
    };
    for (int target = 0; target < 20; ++target) {
      (void)Announce(kFollower, target, 1);
      mSimulation.Advance(50 * kMillisecond);
    }
    CPPUNIT_ASSERT_EQUAL(0, sent);
  }

  void KnownAnnouncementEndsWhenTheHostIsInTouch()
  {
    CPPUNIT_ASSERT(Ends(kControl, Announce(kControl, 1, 1)));
    mSimulation.Advance(kSecond);
    RestartFollower();
    int sent = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      sent += aSent.mMessage.has_submit() ? 1 : 0;
      return false;
    };
    CPPUNIT_ASSERT(Ends(kFollower, Announce(kFollower, 1, 2)));
    CPPUNIT_ASSERT_EQUAL(0, sent);
  }

  void HeldAnnouncementEndsInTime()
  {
    RestartFollower();
    mSimulation.mIsolated.insert(kFollower);
    const std::uint64_t id = Announce(kFollower, 1, 1);
    mSimulation.Advance(kSecond);
    const auto& outcomes = mSimulation.Node(kFollower).mOutcomes;
    CPPUNIT_ASSERT(outcomes.count(id) != 0);
    CPPUNIT_ASSERT(outcomes.at(id).mEnd == SubmitResult::Unknown);
  }

  void DrainingTargetDoesNotWaitUntilTheHostIsInTouch()
  {
    CPPUNIT_ASSERT(Ends(kControl, Announce(kControl, 1, 1)));
    RestartFollower();
    mSimulation.mShouldDrop = [](const fakes::SentMessage& aSent) {
      return aSent.mMessage.has_follow_reply() && aSent.mTo == kFollower;
    };
    const std::uint64_t id =
      mSimulation.Submit(kFollower, PutTargetCommand(TargetId(1), 2, true));
    CPPUNIT_ASSERT(Ends(kFollower, id));
    CPPUNIT_ASSERT(LeaderCatalog().mTargets.at(TargetId(1)).draining());
  }

  void HostHasOneMessageWithAnnouncementsUnderWay()
  {
    int sent = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      sent += aSent.mMessage.has_submit() ? 1 : 0;
      return false;
    };
    std::vector<std::uint64_t> ids;
    ids.reserve(100);
    for (int target = 0; target < 100; ++target) {
      ids.push_back(Announce(kFollower, target, 1));
    }
    for (const std::uint64_t id : ids) {
      CPPUNIT_ASSERT(Ends(kFollower, id));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), LeaderCatalog().mTargets.size());
    CPPUNIT_ASSERT(sent <= 3);
  }

  void LeaderOfAnEarlierVersionGetsAllAnnouncements()
  {
    State& follower = mSimulation.Node(kFollower).mState;
    std::set<std::uint64_t> ids;
    for (int target = 0; target < 3; ++target) {
      ids.insert(Announce(kFollower, target, 1));
    }
    for (int answer = 0; answer < 3; ++answer) {
      wire::FleetMessage message;
      wire::SubmitReply& reply = *message.mutable_submit_reply();
      reply.set_id(follower.mAnnouncementsMessage.mId);
      reply.set_status(wire::SUBMIT_COMMITTED);
      Output output;
      Receive(follower, mSimulation.mNow, 1, message, output);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), output.mDone.size());
      ids.erase(output.mDone.front().mId);
    }
    CPPUNIT_ASSERT(ids.empty());
  }

  // At any host, once a heartbeat: the number of entries must not grow with the
  // time that they wait.
  void RepeatedAnnouncementsAreProposedOnceWhileDisksAreStalled()
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    const State& leader = mSimulation.Node(mSimulation.Leader()).mState;
    const std::uint64_t before = consensus::LastIndex(leader.mGroup);
    mSimulation.mStalledDisks = { hosts.begin(), hosts.end() };
    for (std::uint64_t beat = 1; beat <= 10; ++beat) {
      for (int target = 0; target < 20; ++target) {
        (void)Announce(
          hosts[(beat + static_cast<std::uint64_t>(target)) % hosts.size()],
          target,
          beat);
      }
      mSimulation.Advance(kHeartbeat);
    }
    CPPUNIT_ASSERT(consensus::LastIndex(leader.mGroup) - before <= 20);
    mSimulation.mStalledDisks.clear();
    mSimulation.Advance(2 * kSecond);
    for (const std::string& host : hosts) {
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(20),
        mSimulation.Node(host).mState.mCatalog.mTargets.size());
    }
  }

  void AnnouncementsContinueAfterALeaderLoss()
  {
    const std::string leader = mSimulation.Leader();
    mSimulation.Kill(leader);
    for (std::uint64_t beat = 1; beat <= 5; ++beat) {
      (void)Announce(kFollower, 1, beat);
      mSimulation.Advance(kHeartbeat);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), LeaderCatalog().mTargets.size());
  }

  void AnnouncementsAreSentAtOnceAfterATimeOutOfTouch()
  {
    mSimulation.mIsolated = { kFollower };
    AnnounceFor(5 * kSecond);
    mSimulation.mIsolated.clear();
    CPPUNIT_ASSERT(mSimulation.RunUntil(5 * kSecond, [&] {
      return IsInTouch(mSimulation.Node(kFollower).mState, mSimulation.mNow);
    }));
    CPPUNIT_ASSERT(Ends(kFollower, Announce(kFollower, 2, 1)));
  }

  // Guards against a timer that stays due: the host would run without a pause.
  void HostOutOfTouchIsIdleWhileTargetsAnnounceThemselves()
  {
    (void)Announce(kFollower, 1, 1);
    mSimulation.mIsolated = { kFollower };
    AnnounceFor(5 * kSecond);
    const State& state = mSimulation.Node(kFollower).mState;
    CPPUNIT_ASSERT(!IsInTouch(state, mSimulation.mNow));
    CPPUNIT_ASSERT(!state.mAnnouncements.empty());
    CPPUNIT_ASSERT(NextTick(state) > mSimulation.mNow);
  }

private:
  void AnnounceFor(Micros aTime)
  {
    std::uint64_t beat = 2;
    for (Micros passed = 0; passed < aTime; passed += kHeartbeat / 4) {
      (void)Announce(kFollower, 1, beat++);
      mSimulation.Advance(kHeartbeat / 4);
    }
  }

  static constexpr const char* kFollower = "10.0.0.7:1";

  void RestartFollower()
  {
    mSimulation.Kill(kFollower);
    mSimulation.Start(kFollower, false);
  }

  std::uint64_t Announce(const std::string& aHost,
                         int aTarget,
                         std::uint64_t aSequence)
  {
    return mSimulation.Submit(
      aHost, PutTargetCommand(TargetId(aTarget), aSequence, false));
  }

  bool Ends(const std::string& aHost, std::uint64_t aId)
  {
    const auto& outcomes = mSimulation.Node(aHost).mOutcomes;
    return mSimulation.RunUntil(kSecond, [&] {
      return outcomes.count(aId) != 0;
    }) && outcomes.at(aId).mEnd == SubmitResult::Committed;
  }

  const catalog::State& LeaderCatalog()
  {
    return mSimulation.Node(mSimulation.Leader()).mState.mCatalog;
  }

  FleetSimulation mSimulation;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAnnouncementsTest);

} // namespace geraniumpond::fleet
