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

/// Half of what is promised: the rest is for hosts that are slower than these.
constexpr Micros kAim = kInForceWithin / 2;
constexpr int kMostLostControlHosts = 2;

} // namespace

/// \brief How old the group's word is at each host, and what that means for the
/// time in which a change is in force.
class FleetWordTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetWordTest);
  CPPUNIT_TEST(WaitsOnTheWayAddUpToHalfOfThePromise);
  CPPUNIT_TEST(WordIsNotOldAtAnyLevelOfACalmFleet);
  CPPUNIT_TEST(VoterWhoseLeaderHearsNoQuorumHasAnOldWord);
  CPPUNIT_TEST(ChangesAreInForceInHalfOfThePromiseWhateverHostsMeet);
  CPPUNIT_TEST(QuestionsForTheWordAreFewWhileTheGroupHasNoLeader);
  CPPUNIT_TEST_SUITE_END();

public:
  void WaitsOnTheWayAddUpToHalfOfThePromise()
  {
    CPPUNIT_ASSERT(UsualWordAge() < kAskAfter);
    for (int level = 1; level <= kMostLevels; ++level) {
      CPPUNIT_ASSERT(UndisturbedTime(level) <= kAim);
      CPPUNIT_ASSERT(DisturbedTime(level, kMostLostControlHosts) <= kAim);
    }
    CPPUNIT_ASSERT_EQUAL(consensus::Rules().mHeartbeat, kCommitHeard);
    // Whoever is out of touch has been asking for longer.
    CPPUNIT_ASSERT(DisturbedTime(kMostLevels, kMostLostControlHosts) <=
                   kLeaderPatience);
  }

  void WordIsNotOldAtAnyLevelOfACalmFleet()
  {
    for (const int dataCentres : { 3, 1 }) {
      Begin(dataCentres, 200);
      Micros oldest = 0;
      for (int step = 0; step < 500; ++step) {
        mWorld.Advance(10 * kMillisecond);
        for (const std::string& address : mWorld.Addresses()) {
          const State& state = mWorld.Node(address).mState;
          oldest = std::max(oldest, mWorld.mNow - WordAt(state, mWorld.mNow));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(oldest), oldest < kAskAfter);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mWorld.GroupStatusQueries());
    }
  }

  void VoterWhoseLeaderHearsNoQuorumHasAnOldWord()
  {
    Begin(5, 0);
    const std::string leader = mWorld.Leader();
    std::vector<std::string> voters = mWorld.VoterAddresses();
    voters.erase(std::find(voters.begin(), voters.end(), leader));
    const std::string with = voters.front();
    mWorld.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      const auto isMinority = [&](const std::string& aAddress) {
        return aAddress == leader || aAddress == with;
      };
      return isMinority(aSent.mFrom) != isMinority(aSent.mTo);
    };
    const Micros cutAt = mWorld.mNow;
    mWorld.Advance(kLeaderPatience);
    const Micros wordAt = WordAt(mWorld.Node(with).mState, mWorld.mNow);
    CPPUNIT_ASSERT(wordAt <= cutAt + kCommitHeard);
    mWorld.Advance(kCommitHeard);
    CPPUNIT_ASSERT(!IsInTouch(mWorld.Node(with).mState, mWorld.mNow));
  }

  void ChangesAreInForceInHalfOfThePromiseWhateverHostsMeet()
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
            times.mSlowest <= kAim);
        }
      }
    }
  }

  void QuestionsForTheWordAreFewWhileTheGroupHasNoLeader()
  {
    Begin(3, 94);
    mWorld.mShouldDrop = [](const fakes::SentMessage& aSent) {
      return aSent.mMessage.has_consensus();
    };
    const Micros away = 6 * kSecond;
    mWorld.Advance(away);
    const auto most = static_cast<std::uint64_t>(94 * 6);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(mWorld.GroupStatusQueries()),
                           mWorld.GroupStatusQueries() <= most);
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

CPPUNIT_TEST_SUITE_REGISTRATION(FleetWordTest);

} // namespace geraniumpond::fleet
