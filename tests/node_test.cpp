#include "fakes/world.h"

#include <geraniumpond/hash.h>
#include <geraniumpond/views.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond {

using fakes::SmallDeployment;
using fakes::World;

/// Three control hosts, two entry hosts, one deployment, two targets.
class NodeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(KeyedRequestRunsOnceAndAResendGetsItsAnswer);
  CPPUNIT_TEST(ResendWhileTheFirstRunsWaitsForItsAnswer);
  CPPUNIT_TEST(KeyWithAnotherBodyIsRefused);
  CPPUNIT_TEST(KeysAreScopedByClientAccount);
  CPPUNIT_TEST(ViewsHideOtherClientAccounts);
  CPPUNIT_TEST(LostResponseIsUnknownAndNeverRetried);
  CPPUNIT_TEST(OwnerLostMidwayMakesTheKeyUnknown);
  CPPUNIT_TEST(RefusedEverywhereIsNotRunAndTheKeyIsFreeAgain);
  CPPUNIT_TEST(ControlGroupLossAnswersNotRunByTheDeadline);
  CPPUNIT_TEST(BadRequestsGetClearErrors);
  CPPUNIT_TEST(IdempotentRequestIsRetriedAfterABreak);
  CPPUNIT_TEST(DrainReachesEveryHostWithinTwoSecondsDespiteLoss);
  CPPUNIT_TEST(DrainingTargetGetsNoNewWork);
  CPPUNIT_TEST(RepeatedChangeIdReturnsFirstOutcomeAfterRestart);
  CPPUNIT_TEST(RestartAfterAThousandChangesKeepsThemAll);
  CPPUNIT_TEST(OneOfTwoConcurrentChangesIsAccepted);
  CPPUNIT_TEST(ChangeIsInForceEverywhereWithinTwoSecondsDespiteLoss);
  CPPUNIT_TEST(EntryWithoutAQuorumServesItsCachedDeploymentAfterAWait);
  CPPUNIT_TEST(StartWithAVoterDownSendsFewMessages);
  CPPUNIT_TEST(StopFinishesWhatIsInFlightAndThenExits);
  CPPUNIT_TEST(LeaderLostCommitsAgainWithinThreeSeconds);
  CPPUNIT_TEST(ReplacedDiskJoinsAndASecondLossIsSurvived);
  CPPUNIT_TEST(FailedDiskStopsOneVoteAndNotTheSystem);
  CPPUNIT_TEST(SilentHostIsConsideredGoneUntilItReturns);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mWorld = std::make_unique<World>(42);
    mWorld->AddHosts(3, 2);
    mWorld->StartAll();
    CPPUNIT_ASSERT(
      mWorld->RunUntil([&] { return !mWorld->Leader().empty(); }, 5 * kSecond));
    mWorld->Apply("c0", "first", 0, SmallDeployment());
    CPPUNIT_ASSERT(mWorld->RunUntil([&] { return AllReady(); }, 5 * kSecond));
    mWorld->Announce("e0", "consent", "t0");
    mWorld->Announce("e1", "consent", "t1");
    CPPUNIT_ASSERT(mWorld->RunUntil([&] { return AllSee(2); }, 2 * kSecond));
  }

  void KeyedRequestRunsOnceAndAResendGetsItsAnswer()
  {
    const std::uint64_t first = mWorld->Request("e0", "k");
    ExpectAnswer(first, 200, "ran");
    const std::uint64_t again = mWorld->Request("e1", "k");
    ExpectAnswer(again, 200, "ran");
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["school/k"]);
    CPPUNIT_ASSERT_EQUAL(Body(first), Body(again));
  }

  void ResendWhileTheFirstRunsWaitsForItsAnswer()
  {
    const std::uint64_t first = mWorld->Request("e0", "k");
    const std::uint64_t again = mWorld->Request("e1", "k");
    ExpectAnswer(first, 200, "ran");
    ExpectAnswer(again, 200, "ran");
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["school/k"]);
    CPPUNIT_ASSERT_EQUAL(Body(first), Body(again));
  }

  void KeyWithAnotherBodyIsRefused()
  {
    ExpectAnswer(mWorld->Request("e0", "k", "one"), 200, "ran");
    ExpectAnswer(mWorld->Request("e1", "k", "two"), 422, "not-run");
  }

  void KeysAreScopedByClientAccount()
  {
    ExpectAnswer(mWorld->Request("e0", "k", "one"), 200, "ran");
    ExpectAnswer(
      mWorld->Request("e0", "k", "two", "/consent/permissions", "rival"),
      200,
      "ran");
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["rival/k"]);
  }

  void ViewsHideOtherClientAccounts()
  {
    ExpectAnswer(mWorld->Request("e0", "k", "one"), 200, "ran");
    mWorld->mRates.mTargetHangs = 1;
    mWorld->Request("e0", "open", "one");
    mWorld->RunFor(100 * kMillisecond);
    const node::State& state = mWorld->StateOf("e0");
    const struct
    {
      const char* mToken;
      bool mSees;
    } viewers[] = { { "school", true },
                    { "operator", true },
                    { "rival", false },
                    { "stranger", false } };
    for (const auto& viewer : viewers) {
      const views::Viewer view =
        views::FindViewer(state, Sha256Hex(viewer.mToken));
      const std::string shown =
        views::Calls(state, view) + views::Burn(state, view, mWorld->mNow);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        viewer.mToken, viewer.mSees, shown.find("school") != std::string::npos);
    }
    const std::string metrics = views::Metrics(state, mWorld->mNow);
    CPPUNIT_ASSERT(metrics.find("school") == std::string::npos);
    const views::Viewer stranger = views::FindViewer(state, "");
    CPPUNIT_ASSERT(views::Targets(state, stranger, mWorld->mNow).find("t0") ==
                   std::string::npos);
  }

  void LostResponseIsUnknownAndNeverRetried()
  {
    mWorld->mRates.mTargetBreaksAfterRun = 1;
    ExpectAnswer(mWorld->Request("e0", "k"), 502, "unknown");
    mWorld->mRates.mTargetBreaksAfterRun = 0;
    mWorld->RunFor(kSecond);
    ExpectAnswer(mWorld->Request("e1", "k"), 409, "unknown");
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["school/k"]);
  }

  void OwnerLostMidwayMakesTheKeyUnknown()
  {
    mWorld->mRates.mTargetHangs = 1;
    mWorld->Request("e0", "k");
    mWorld->RunFor(100 * kMillisecond);
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["school/k"]);
    mWorld->Crash("e0");
    mWorld->RunFor(5 * kSecond);
    mWorld->mRates.mTargetHangs = 0;
    ExpectAnswer(mWorld->Request("e1", "k"), 409, "unknown");
    mWorld->Start("e0");
    mWorld->RunFor(5 * kSecond);
    ExpectAnswer(mWorld->Request("e0", "k"), 409, "unknown");
  }

  void RefusedEverywhereIsNotRunAndTheKeyIsFreeAgain()
  {
    mWorld->mRates.mTargetRefuses = 1;
    ExpectAnswer(mWorld->Request("e0", "k"), 503, "not-run");
    mWorld->mRates.mTargetRefuses = 0;
    mWorld->RunFor(kSecond);
    ExpectAnswer(mWorld->Request("e1", "k"), 200, "ran");
  }

  void ControlGroupLossAnswersNotRunByTheDeadline()
  {
    mWorld->Crash("c0");
    mWorld->Crash("c1");
    const Micros start = mWorld->mNow;
    const std::uint64_t id = mWorld->Request("e0", "k");
    ExpectAnswer(id, 504, "not-run");
    CPPUNIT_ASSERT(mWorld->mRequests[id].mAnswer->mAt - start <=
                   2100 * kMillisecond);
    // Requests without an idempotency key do not need the control group.
    ExpectAnswer(mWorld->Request("e0", "", "", "/consent/roster"), 200, "ran");
    // The pending claim may still commit; it must then be released.
    mWorld->Start("c0");
    mWorld->Start("c1");
    mWorld->RunFor(6 * kSecond);
    ExpectAnswer(mWorld->Request("e1", "k"), 200, "ran");
  }

  void BadRequestsGetClearErrors()
  {
    struct Case
    {
      const char* mKey;
      const char* mPath;
      const char* mToken;
      std::uint32_t mStatus;
    };
    const Case cases[] = {
      { "k", "/consent/permissions", "stranger", 401 },
      { "k", "/other/permissions", "school", 404 },
      { "k", "/consent/nothing", "school", 404 },
      { "k", "/consent/roster", "school", 405 },
      { "bad key", "/consent/permissions", "school", 400 },
    };
    for (const Case& entry : cases) {
      ExpectAnswer(
        mWorld->Request("e0", entry.mKey, "body", entry.mPath, entry.mToken),
        entry.mStatus,
        "not-run");
    }
    CPPUNIT_ASSERT(mWorld->mRunsByKey.empty());
  }

  void IdempotentRequestIsRetriedAfterABreak()
  {
    mWorld->mRates.mTargetBreaksBeforeRun = 0.3;
    int ran = 0;
    for (int i = 0; i < 50; ++i) {
      const std::uint64_t id = mWorld->Request("e0", "", "", "/consent/roster");
      mWorld->RunUntil([&] { return Answered(id); }, 3 * kSecond);
      ran += mWorld->mRequests[id].mAnswer->mOutcome == "ran" ? 1 : 0;
      mWorld->RunFor(500 * kMillisecond);
    }
    CPPUNIT_ASSERT(ran >= 40);
  }

  void DrainReachesEveryHostWithinTwoSecondsDespiteLoss()
  {
    mWorld->mRates.mLoss = 0.2;
    mWorld->Drain("c1", "consent", "t0");
    CPPUNIT_ASSERT(
      mWorld->RunUntil([&] { return AllSeeDrain("t0"); }, 2 * kSecond));
    // A renewed registration of the target does not end the drain.
    mWorld->Announce("e0", "consent", "t0");
    mWorld->RunFor(3 * kSecond);
    CPPUNIT_ASSERT(AllSeeDrain("t0"));
  }

  void DrainingTargetGetsNoNewWork()
  {
    mWorld->Drain("e0", "consent", "t0");
    mWorld->RunFor(kSecond);
    mWorld->mRunsByTarget.clear();
    for (int i = 0; i < 20; ++i) {
      ExpectAnswer(
        mWorld->Request(i % 2 == 0 ? "e0" : "e1", "", "", "/consent/roster"),
        200,
        "ran");
    }
    CPPUNIT_ASSERT_EQUAL(0, mWorld->mRunsByTarget["t0"]);
  }

  void RepeatedChangeIdReturnsFirstOutcomeAfterRestart()
  {
    ExpectOperator(mWorld->Apply("c0", "second", 1, SmallDeployment(2)), 200);
    ExpectOperator(mWorld->Apply("c1", "third", 2, SmallDeployment(3)), 200);
    for (const char* host : { "c0", "c1", "c2" }) {
      mWorld->Crash(host);
      mWorld->Start(host);
    }
    mWorld->RunFor(3 * kSecond);
    const std::uint64_t again =
      mWorld->Apply("e0", "second", 1, SmallDeployment(2));
    ExpectOperator(again, 200);
    CPPUNIT_ASSERT(mWorld->mOperations[again].mBody.find("\"version\":2") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         mWorld->StateOf("c0").mVersion.version());
  }

  void RestartAfterAThousandChangesKeepsThemAll()
  {
    constexpr std::uint64_t kChanges = 1100;
    for (std::uint64_t version = 2; version <= kChanges; ++version) {
      const std::uint64_t operation =
        mWorld->Apply("c0",
                      "change-" + std::to_string(version),
                      version - 1,
                      SmallDeployment(static_cast<int>(version)));
      ExpectOperator(operation, 200);
    }
    for (const char* host : { "c0", "c1", "c2" }) {
      CPPUNIT_ASSERT(mWorld->mHosts[host].mDisk.mSnapshot.index() > 0);
      mWorld->Crash(host);
    }
    for (const char* host : { "c0", "c1", "c2" }) {
      mWorld->Start(host);
    }
    mWorld->RunFor(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(kChanges, mWorld->StateOf("c1").mVersion.version());
    // Outcomes from before the snapshot are still returned.
    const std::uint64_t again =
      mWorld->Apply("c2", "change-2", 1, SmallDeployment(2));
    ExpectOperator(again, 200);
    CPPUNIT_ASSERT(mWorld->mOperations[again].mBody.find("\"version\":2") !=
                   std::string::npos);
  }

  void OneOfTwoConcurrentChangesIsAccepted()
  {
    const std::uint64_t left =
      mWorld->Apply("c0", "left", 1, SmallDeployment(2));
    const std::uint64_t right =
      mWorld->Apply("c2", "right", 1, SmallDeployment(3));
    mWorld->RunFor(2 * kSecond);
    const auto& one = mWorld->mOperations[left];
    const auto& two = mWorld->mOperations[right];
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(609), one.mStatus + two.mStatus);
    const auto& loser = one.mStatus == 409 ? one : two;
    CPPUNIT_ASSERT(loser.mBody.find("in force is version 2 by op-") !=
                   std::string::npos);
  }

  void ChangeIsInForceEverywhereWithinTwoSecondsDespiteLoss()
  {
    mWorld->mRates.mLoss = 0.05;
    for (std::uint64_t version = 2; version < 12; ++version) {
      mWorld->Apply("e0",
                    "change-" + std::to_string(version),
                    version - 1,
                    SmallDeployment(static_cast<int>(version)));
      CPPUNIT_ASSERT(mWorld->RunUntil(
        [&] {
          for (auto& [id, host] : mWorld->mHosts) {
            if (host.mState.mVersion.version() < version) {
              return false;
            }
          }
          return true;
        },
        2 * kSecond));
    }
  }

  void EntryWithoutAQuorumServesItsCachedDeploymentAfterAWait()
  {
    mWorld->Crash("e0");
    mWorld->Partition({ "e0" });
    mWorld->Start("e0");
    mWorld->RunFor(2 * kSecond);
    CPPUNIT_ASSERT(!node::IsReady(mWorld->StateOf("e0")));
    mWorld->RunFor(2 * kSecond);
    CPPUNIT_ASSERT(node::IsReady(mWorld->StateOf("e0")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         mWorld->StateOf("e0").mVersion.version());
  }

  void StartWithAVoterDownSendsFewMessages()
  {
    mWorld->Crash("c1");
    mWorld->Crash("c2");
    mWorld->Start("c2");
    const std::uint64_t before = mWorld->mMessages;
    mWorld->RunFor(kSecond);
    CPPUNIT_ASSERT(mWorld->mMessages - before < 200);
  }

  void StopFinishesWhatIsInFlightAndThenExits()
  {
    const std::uint64_t id = mWorld->Request("e0", "k");
    mWorld->Stop("e0");
    ExpectAnswer(id, 200, "ran");
    CPPUNIT_ASSERT(mWorld->mHosts["e0"].mUp);
    CPPUNIT_ASSERT(mWorld->RunUntil([&] { return !mWorld->mHosts["e0"].mUp; },
                                    10 * kSecond));
    // The key's record was completed before the host exited.
    ExpectAnswer(mWorld->Request("e1", "k"), 200, "ran");
  }

  void LeaderLostCommitsAgainWithinThreeSeconds()
  {
    const std::string leader = mWorld->Leader();
    mWorld->Crash(leader);
    const std::string other = leader == "c0" ? "c1" : "c0";
    const std::uint64_t operation =
      mWorld->Apply(other, "next", 1, SmallDeployment(2));
    CPPUNIT_ASSERT(mWorld->RunUntil(
      [&] { return mWorld->mOperations.count(operation) != 0; }, 3 * kSecond));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(200),
                         mWorld->mOperations[operation].mStatus);
  }

  void ReplacedDiskJoinsAndASecondLossIsSurvived()
  {
    ExpectAnswer(mWorld->Request("e0", "k"), 200, "ran");
    mWorld->Crash("c0");
    mWorld->ReplaceDisk("c0");
    mWorld->Start("c0");
    CPPUNIT_ASSERT(mWorld->RunUntil(
      [&] {
        const auto& group = mWorld->StateOf("c0").mGroup;
        return group.mRole == consensus::Role::Follower ||
               group.mRole == consensus::Role::Leader;
      },
      15 * kSecond));
    mWorld->RunFor(kSecond);
    mWorld->Crash("c1");
    mWorld->RunFor(4 * kSecond);
    ExpectAnswer(mWorld->Request("e1", "k"), 200, "ran");
    CPPUNIT_ASSERT_EQUAL(1, mWorld->mRunsByKey["school/k"]);
    ExpectAnswer(mWorld->Request("e1", "fresh"), 200, "ran");
  }

  void FailedDiskStopsOneVoteAndNotTheSystem()
  {
    const std::string failed = mWorld->Leader();
    mWorld->FailDisk(failed);
    mWorld->RunFor(3 * kSecond);
    CPPUNIT_ASSERT(mWorld->StateOf(failed).mGroup.mFailed);
    const std::string other = failed == "c0" ? "c1" : "c0";
    ExpectOperator(mWorld->Apply(other, "next", 1, SmallDeployment(2)), 200);
    ExpectAnswer(mWorld->Request("e0", "k"), 200, "ran");
  }

  void SilentHostIsConsideredGoneUntilItReturns()
  {
    mWorld->Partition({ "e1" });
    mWorld->RunFor(6 * kSecond);
    CPPUNIT_ASSERT(IsGone("c0", "e1"));
    CPPUNIT_ASSERT(IsGone("e0", "e1"));
    mWorld->Heal();
    CPPUNIT_ASSERT(mWorld->RunUntil(
      [&] {
        return !IsGone("c0", "e1") && !IsGone("e0", "e1") &&
               !IsGone("e1", "e0");
      },
      20 * kSecond));
  }

  void tearDown() override
  {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      mWorld->mViolations.empty() ? "" : mWorld->mViolations[0],
      std::size_t(0),
      mWorld->mViolations.size());
  }

private:
  bool AllReady()
  {
    for (auto& [id, host] : mWorld->mHosts) {
      if (!node::IsReady(host.mState)) {
        return false;
      }
    }
    return true;
  }
  bool AllSee(std::size_t aTargets)
  {
    for (auto& [id, host] : mWorld->mHosts) {
      if (host.mState.mServices["consent"].mTargets.mTargets.size() !=
          aTargets) {
        return false;
      }
    }
    return true;
  }
  bool AllSeeDrain(const std::string& aTarget)
  {
    for (auto& [id, host] : mWorld->mHosts) {
      const routing::Target* target =
        routing::Find(host.mState.mServices["consent"].mTargets, aTarget);
      if (target == nullptr || !target->mDraining) {
        return false;
      }
    }
    return true;
  }
  bool IsGone(const std::string& aAt, const std::string& aHost)
  {
    const wire::Fact* fact = membership::Find(mWorld->StateOf(aAt).mDirectory,
                                              { wire::FACT_HOST, "", aHost });
    return fact != nullptr && fact->gone();
  }
  bool Answered(std::uint64_t aId)
  {
    return mWorld->mRequests[aId].mAnswer.has_value();
  }
  std::string Body(std::uint64_t aId)
  {
    return mWorld->mRequests[aId].mAnswer->mBody;
  }
  void ExpectAnswer(std::uint64_t aId,
                    std::uint32_t aStatus,
                    const std::string& aOutcome)
  {
    CPPUNIT_ASSERT(
      mWorld->RunUntil([&] { return Answered(aId); }, 9 * kSecond));
    const fakes::ClientAnswer& answer = *mWorld->mRequests[aId].mAnswer;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.mBody, aStatus, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(aOutcome, answer.mOutcome);
  }
  void ExpectOperator(std::uint64_t aOperation, std::uint32_t aStatus)
  {
    CPPUNIT_ASSERT(mWorld->RunUntil(
      [&] { return mWorld->mOperations.count(aOperation) != 0; }, 9 * kSecond));
    CPPUNIT_ASSERT_EQUAL(aStatus, mWorld->mOperations[aOperation].mStatus);
  }

  std::unique_ptr<World> mWorld;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace geraniumpond
