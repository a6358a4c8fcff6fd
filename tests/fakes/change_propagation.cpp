#include "fakes/change_propagation.h"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace geraniumpond::fakes {

namespace {

constexpr std::array<const char*, 4> kTroubleNames = {
  "none",
  "cut from control hosts",
  "frozen",
  "power lost",
};
/// The tree has its shape by then.
constexpr Micros kSettled = 10 * kSecond;
constexpr Micros kMostWait = 4 * kSecond;

class Measurement
{
public:
  Measurement(const ChangeCase& aCase, std::uint64_t aSeed)
    : mCase(aCase)
    , mSimulation(aSeed)
    , mRandom(aSeed)
  {
    mSimulation.StartSpreadFleet(mCase.mDataCentres,
                                 mCase.mHostsWithoutDisk,
                                 (mCase.mDataCentres - 1) / 2);
    const auto voters = static_cast<std::size_t>(mCase.mDataCentres);
    if (!mSimulation.RunUntil(kSettled,
                              [&] { return mSimulation.Voters() == voters; })) {
      throw std::runtime_error("no group was founded");
    }
    Change();
    mSimulation.Advance(kSettled);
  }

  ChangeTimes Take(int aChanges)
  {
    ChangeTimes times;
    for (int i = 0; i < aChanges; ++i) {
      mSimulation.Advance(static_cast<Micros>(mRandom() % kSecond));
      const bool before = mRandom() % 2 == 0;
      const std::set<std::string> hosts = Choose();
      if (before) {
        Begin(hosts);
      }
      const Micros acknowledgedAt = Change();
      if (!before) {
        Begin(hosts);
      }
      WaitForChange(hosts);
      times.mSlowest =
        std::max(times.mSlowest, mSimulation.mNow - acknowledgedAt);
      times.mLevels = std::max(times.mLevels, Levels());
      End(hosts);
      mSimulation.Advance(kSettled);
    }
    times.mQuestions = mSimulation.GroupStatusQueries();
    return times;
  }

private:
  // RunUntil it is acknowledged; when that was.
  Micros Change()
  {
    const std::string leader = mSimulation.Leader();
    if (!mSimulation.Commit(
          leader, PutPolicyCommand(mVersion + 1, mVersion, "policy"))) {
      throw std::runtime_error("a change was not committed");
    }
    ++mVersion;
    return mSimulation.mNow;
  }

  std::set<std::string> Choose()
  {
    std::set<std::string> chosen;
    for (const std::string& address : mSimulation.Addresses()) {
      const fleet::State& state = mSimulation.Node(address).mState;
      if (state.mSettings.mControl) {
        continue;
      }
      const bool relay =
        mCase.mPercent == 0 && chosen.empty() && !state.mFollowers.empty();
      const bool drawn = static_cast<int>(mRandom() % 100) < mCase.mPercent;
      if (relay || drawn) {
        chosen.insert(address);
      }
    }
    return chosen;
  }

  void Begin(const std::set<std::string>& aHosts)
  {
    switch (mCase.mTrouble) {
      case HostTrouble::None:
        break;
      case HostTrouble::IsolatedFromControl:
        mSimulation.mIsolatedFromControl = aHosts;
        break;
      case HostTrouble::Frozen:
        mSimulation.mFrozen = aHosts;
        break;
      case HostTrouble::LosePower:
        for (const std::string& address : aHosts) {
          mSimulation.LosePower(address);
        }
        break;
    }
  }

  void End(const std::set<std::string>& aHosts)
  {
    mSimulation.mFrozen.clear();
    mSimulation.mIsolatedFromControl.clear();
    for (const std::string& address : aHosts) {
      if (!mSimulation.Node(address).mAlive) {
        mSimulation.Start(address, false);
      }
    }
  }

  void WaitForChange(const std::set<std::string>& aTroubled)
  {
    const std::vector<std::string> all = mSimulation.Addresses();
    (void)mSimulation.RunUntil(kMostWait, [&] {
      return std::all_of(all.begin(), all.end(), [&](const std::string& aHost) {
        return aTroubled.count(aHost) != 0 ||
               mSimulation.Node(aHost).mState.mCatalog.mVersion >= mVersion;
      });
    });
  }

  int Levels()
  {
    std::size_t most = 0;
    for (const std::string& address : mSimulation.Addresses()) {
      most = std::max(most, mSimulation.Node(address).mState.mRoute.size());
    }
    return static_cast<int>(most);
  }

  ChangeCase mCase;
  FleetSimulation mSimulation;
  std::mt19937_64 mRandom;
  std::uint64_t mVersion = 0;
};

} // namespace

const char* ToString(HostTrouble aTrouble) noexcept
{
  return kTroubleNames[static_cast<std::size_t>(aTrouble)];
}

ChangeTimes MeasureChanges(const ChangeCase& aCase,
                           int aChanges,
                           std::uint64_t aSeed)
{
  return Measurement(aCase, aSeed).Take(aChanges);
}

} // namespace geraniumpond::fakes
