#include "fakes/change_propagation.h"
#include "fleet/internal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::fleet {

using fakes::ChangeMeasurement;
using fakes::FleetSimulation;
using fakes::HostFault;
using fakes::PutPolicyCommand;

namespace {

/// Half of the guaranteed time; the rest is for hosts slower than these.
constexpr Micros kTestLimit = kInForceWithin / 2;
constexpr int kMaxLostControlHosts = 2;

} // namespace

/// \brief Age of the group's confirmation at each host, and its effect on the
/// time until a change is in force.
class FleetConfirmationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetConfirmationTest);
  CPPUNIT_TEST(PropagationTakesAtMostHalfOfTheGuaranteedTime);
  CPPUNIT_TEST(ConfirmationIsRecentAtEveryLevelWithoutFailures);
  CPPUNIT_TEST(VoterWhoseLeaderHasNoQuorumHasAnOldConfirmation);
  CPPUNIT_TEST(ChangesAreInForceInHalfOfTheGuaranteedTimeDespiteFailures);
  CPPUNIT_TEST(ConfirmationQueriesAreFewWhileTheGroupHasNoLeader);
  CPPUNIT_TEST_SUITE_END();

public:
  void PropagationTakesAtMostHalfOfTheGuaranteedTime()
  {
    CPPUNIT_ASSERT(UsualConfirmationAge() < kQueryAfter);
    for (int level = 1; level <= kMaxLevels; ++level) {
      CPPUNIT_ASSERT(PropagationTime(level) <= kTestLimit);
      CPPUNIT_ASSERT(PropagationTimeWithFailures(level, kMaxLostControlHosts) <=
                     kTestLimit);
    }
    CPPUNIT_ASSERT_EQUAL(consensus::Options().mHeartbeat, kCommitLatency);
    // A host that is out of touch has been asking for longer.
    CPPUNIT_ASSERT(PropagationTimeWithFailures(
                     kMaxLevels, kMaxLostControlHosts) <= kLeaderTimeout);
  }

  void ConfirmationIsRecentAtEveryLevelWithoutFailures()
  {
    for (const int dataCentres : { 3, 1 }) {
      Begin(dataCentres, 200);
      Micros oldest = 0;
      for (int step = 0; step < 500; ++step) {
        mWorld.Advance(10 * kMillisecond);
        for (const std::string& address : mWorld.Addresses()) {
          const State& state = mWorld.Node(address).mState;
          oldest =
            std::max(oldest, mWorld.mNow - ConfirmedAt(state, mWorld.mNow));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(oldest), oldest < kQueryAfter);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mWorld.GroupStatusQueries());
    }
  }

  void VoterWhoseLeaderHasNoQuorumHasAnOldConfirmation()
  {
    Begin(5, 0);
    const std::string leader = mWorld.Leader();
    std::vector<std::string> voters = mWorld.VoterAddresses();
    voters.erase(std::find(voters.begin(), voters.end(), leader));
    const std::string follower = voters.front();
    mWorld.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      const auto isMinority = [&](const std::string& aAddress) {
        return aAddress == leader || aAddress == follower;
      };
      return isMinority(aSent.mFrom) != isMinority(aSent.mTo);
    };
    const Micros cutAt = mWorld.mNow;
    mWorld.Advance(kLeaderTimeout);
    const Micros confirmedAt =
      ConfirmedAt(mWorld.Node(follower).mState, mWorld.mNow);
    CPPUNIT_ASSERT(confirmedAt <= cutAt + kCommitLatency);
    mWorld.Advance(kCommitLatency);
    CPPUNIT_ASSERT(!IsInTouch(mWorld.Node(follower).mState, mWorld.mNow));
  }

  void ChangesAreInForceInHalfOfTheGuaranteedTimeDespiteFailures()
  {
    for (const int dataCentres : { 3, 1 }) {
      for (const HostFault trouble : { HostFault::None,
                                       HostFault::IsolatedFromControl,
                                       HostFault::Suspended,
                                       HostFault::LosePower }) {
        for (const int percent : { 0, 40 }) {
          const int others = dataCentres == 1 ? 180 : 94;
          const ChangeMeasurement times = fakes::MeasureChanges(
            { dataCentres, others, trouble, percent }, 5, 36);
          CPPUNIT_ASSERT_MESSAGE(
            ToString(trouble) + std::string(" ") + std::to_string(percent) +
              " % of " + std::to_string(others) + ": " +
              std::to_string(times.mSlowest / kMillisecond) + " ms",
            times.mSlowest <= kTestLimit);
        }
      }
    }
  }

  void ConfirmationQueriesAreFewWhileTheGroupHasNoLeader()
  {
    Begin(3, 94);
    mWorld.mShouldDrop = [](const fakes::SentMessage& aSent) {
      return aSent.mMessage.has_consensus();
    };
    const Micros outage = 6 * kSecond;
    mWorld.Advance(outage);
    const auto maxQueries = static_cast<std::uint64_t>(94 * 6);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(mWorld.GroupStatusQueries()),
                           mWorld.GroupStatusQueries() <= maxQueries);
  }

private:
  void Begin(int aDataCentres, int aOthers)
  {
    mWorld = FleetSimulation(mRandom());
    mWorld.StartSpreadFleet(aDataCentres, aOthers, (aDataCentres - 1) / 2);
    CPPUNIT_ASSERT(mWorld.RunUntil(10 * kSecond, [&] {
      return mWorld.Voters() == static_cast<std::size_t>(aDataCentres);
    }));
    CPPUNIT_ASSERT(
      mWorld.Commit(mWorld.Leader(), PutPolicyCommand(1, 0, "policy")));
    mWorld.Advance(10 * kSecond);
  }

  FleetSimulation mWorld;
  std::mt19937_64 mRandom{ 36 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetConfirmationTest);

} // namespace geraniumpond::fleet
