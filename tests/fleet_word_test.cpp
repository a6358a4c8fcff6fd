#include "fakes/fleet_world.h"
#include "fleet/internal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>

namespace geraniumpond::fleet {

using fakes::FleetWorld;
using fakes::PutPolicyCommand;

namespace {

/// Half of what is promised: the rest is for hosts that are slower than these.
constexpr Micros kAim = kInForceWithin / 2;
constexpr int kMostLostControlHosts = 2;

/// \brief What happens to hosts without a disk beside a change.
enum class Trouble
{
  None,
  CutFromControl,
  Frozen,
  LosePower,
};
constexpr std::array<const char*, 4> kTroubleNames = { "none",
                                                       "cut from control hosts",
                                                       "frozen",
                                                       "power lost" };

struct Case
{
  int mDataCentres = 3;
  int mOthers = 94;
  Trouble mTrouble = Trouble::None;
  /// Of the hosts without a disk; 0 for one that others follow.
  int mPercent = 0;
};

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
      Begin({ dataCentres, 200 });
      Micros oldest = 0;
      for (int step = 0; step < 500; ++step) {
        mWorld.Advance(10 * kMillisecond);
        for (const std::string& address : mWorld.Addresses()) {
          const State& state = mWorld.Node(address).mState;
          oldest = std::max(oldest, mWorld.mNow - WordAt(state, mWorld.mNow));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(oldest), oldest < kAskAfter);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Questions());
    }
  }

  void VoterWhoseLeaderHearsNoQuorumHasAnOldWord()
  {
    Begin({ 5, 0 });
    const std::string leader = mWorld.Leader();
    std::vector<std::string> voters = mWorld.VoterAddresses();
    voters.erase(std::find(voters.begin(), voters.end(), leader));
    const std::string with = voters.front();
    mWorld.mLose = [&](const fakes::Sent& aSent) {
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
      for (const Trouble trouble : { Trouble::None,
                                     Trouble::CutFromControl,
                                     Trouble::Frozen,
                                     Trouble::LosePower }) {
        for (const int percent : { 0, 40 }) {
          Measure(
            { dataCentres, dataCentres == 1 ? 180 : 94, trouble, percent }, 5);
        }
      }
    }
  }

  void QuestionsForTheWordAreFewWhileTheGroupHasNoLeader()
  {
    Begin({ 3, 94 });
    mWorld.mLose = [](const fakes::Sent& aSent) {
      return aSent.mMessage.has_consensus();
    };
    const Micros away = 6 * kSecond;
    mWorld.Advance(away);
    const auto most = static_cast<std::uint64_t>(94 * 6);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Questions()), Questions() <= most);
  }

private:
  void Begin(const Case& aCase)
  {
    mWorld = FleetWorld(mRandom());
    mWorld.FoundSpread(
      aCase.mDataCentres, aCase.mOthers, (aCase.mDataCentres - 1) / 2);
    CPPUNIT_ASSERT(mWorld.Until(10 * kSecond, [&] {
      return mWorld.Voters() == static_cast<std::size_t>(aCase.mDataCentres);
    }));
    mVersion = 0;
    (void)Change();
    mWorld.Advance(10 * kSecond);
  }

  // Until it is acknowledged; when that was.
  Micros Change()
  {
    const std::string leader = mWorld.Leader();
    CPPUNIT_ASSERT(mWorld.Commit(
      leader, PutPolicyCommand(mVersion + 1, mVersion, "policy")));
    ++mVersion;
    return mWorld.mNow;
  }

  void Measure(const Case& aCase, int aMoments)
  {
    Begin(aCase);
    Micros slowest = 0;
    for (int moment = 0; moment < aMoments; ++moment) {
      mWorld.Advance(static_cast<Micros>(mRandom() % kSecond));
      const std::set<std::string> troubled = Begin(aCase, mRandom() % 2 == 0);
      slowest = std::max(slowest, InForceAfter(troubled));
      End(aCase.mTrouble, troubled);
      mWorld.Advance(8 * kSecond);
    }
    const std::string what =
      std::string(kTroubleNames.at(static_cast<std::size_t>(aCase.mTrouble))) +
      " " + std::to_string(aCase.mPercent) + " % of " +
      std::to_string(aCase.mOthers) + " in " +
      std::to_string(aCase.mDataCentres) + ": " +
      std::to_string(slowest / kMillisecond) + " ms";
    CPPUNIT_ASSERT_MESSAGE(what, slowest <= kAim);
  }

  std::set<std::string> Begin(const Case& aCase, bool aTroubleFirst)
  {
    const std::set<std::string> troubled = Choose(aCase);
    if (aTroubleFirst) {
      Strike(aCase.mTrouble, troubled);
    }
    mAcknowledgedAt = Change();
    if (!aTroubleFirst) {
      Strike(aCase.mTrouble, troubled);
    }
    return troubled;
  }

  std::set<std::string> Choose(const Case& aCase)
  {
    std::set<std::string> chosen;
    for (const std::string& address : mWorld.Addresses()) {
      const State& state = mWorld.Node(address).mState;
      if (state.mSettings.mControl) {
        continue;
      }
      const bool relay =
        aCase.mPercent == 0 && chosen.empty() && !state.mFollowers.empty();
      const bool drawn = static_cast<int>(mRandom() % 100) < aCase.mPercent;
      if (relay || drawn) {
        chosen.insert(address);
      }
    }
    return chosen;
  }

  void Strike(Trouble aTrouble, const std::set<std::string>& aHosts)
  {
    if (aTrouble == Trouble::Frozen) {
      mWorld.mFrozen = aHosts;
    } else if (aTrouble == Trouble::LosePower) {
      for (const std::string& address : aHosts) {
        mWorld.LosePower(address);
      }
    } else if (aTrouble == Trouble::CutFromControl) {
      mWorld.mLose = [this, aHosts](const fakes::Sent& aSent) {
        return (aHosts.count(aSent.mFrom) != 0 &&
                mWorld.Node(aSent.mTo).mSettings.mControl) ||
               (aHosts.count(aSent.mTo) != 0 &&
                mWorld.Node(aSent.mFrom).mSettings.mControl);
      };
    }
  }

  void End(Trouble aTrouble, const std::set<std::string>& aHosts)
  {
    mWorld.mFrozen.clear();
    mWorld.mLose = nullptr;
    for (const std::string& address : aHosts) {
      if (aTrouble == Trouble::LosePower) {
        mWorld.Start(address, false);
      }
    }
  }

  // From the acknowledgement until all that were spared have the change.
  Micros InForceAfter(const std::set<std::string>& aTroubled)
  {
    (void)mWorld.Until(4 * kSecond, [&] {
      const std::vector<std::string> all = mWorld.Addresses();
      return std::all_of(all.begin(), all.end(), [&](const std::string& aHost) {
        return aTroubled.count(aHost) != 0 ||
               mWorld.Node(aHost).mState.mCatalog.mVersion >= mVersion;
      });
    });
    return mWorld.mNow - mAcknowledgedAt;
  }

  std::uint64_t Questions()
  {
    std::uint64_t asked = 0;
    for (const std::string& address : mWorld.Addresses()) {
      asked += mWorld.Node(address).mState.mTraffic.mWordsAsked;
    }
    return asked;
  }

  FleetWorld mWorld;
  std::mt19937_64 mRandom{ 36 };
  std::uint64_t mVersion = 0;
  Micros mAcknowledgedAt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetWordTest);

} // namespace geraniumpond::fleet
