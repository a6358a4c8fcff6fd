#include "fakes/change_propagation.h"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace geraniumpond::fakes {

namespace {

constexpr std::array<const char*, 4> kFaultNames = {
  "none",
  "isolated from control",
  "suspended",
  "power lost",
};
/// Time within which the distribution tree settles.
constexpr Micros kSettleTime = 10 * kSecond;
constexpr Micros kMaxWait = 4 * kSecond;

class Measurement
{
public:
  Measurement(const ChangeScenario& aScenario, std::uint64_t aSeed)
    : mScenario(aScenario)
    , mSimulation(aSeed)
    , mRandom(aSeed)
  {
    mSimulation.StartSpreadFleet(mScenario.mDataCentres,
                                 mScenario.mHostsWithoutDisk,
                                 (mScenario.mDataCentres - 1) / 2);
    const auto voters = static_cast<std::size_t>(mScenario.mDataCentres);
    if (!mSimulation.RunUntil(kSettleTime,
                              [&] { return mSimulation.Voters() == voters; })) {
      throw std::runtime_error("the control group was not founded");
    }
    Change();
    mSimulation.Advance(kSettleTime);
  }

  ChangeMeasurement Run(int aChanges)
  {
    ChangeMeasurement measurement;
    for (int i = 0; i < aChanges; ++i) {
      mSimulation.Advance(static_cast<Micros>(mRandom() % kSecond));
      const bool faultFirst = mRandom() % 2 == 0;
      const std::set<std::string> hosts = ChooseHosts();
      if (faultFirst) {
        BeginFault(hosts);
      }
      const Micros acknowledgedAt = Change();
      if (!faultFirst) {
        BeginFault(hosts);
      }
      WaitForChange(hosts);
      measurement.mSlowest =
        std::max(measurement.mSlowest, mSimulation.mNow - acknowledgedAt);
      measurement.mTreeDepth = std::max(measurement.mTreeDepth, TreeDepth());
      EndFault(hosts);
      mSimulation.Advance(kSettleTime);
    }
    measurement.mGroupStatusQueries = mSimulation.GroupStatusQueries();
    return measurement;
  }

private:
  // Changes the policy; returns the time of the acknowledgement.
  Micros Change()
  {
    const std::string leader = mSimulation.Leader();
    if (!mSimulation.Commit(
          leader, PutPolicyCommand(mVersion + 1, mVersion, "policy"))) {
      throw std::runtime_error("a policy change was not committed");
    }
    ++mVersion;
    return mSimulation.mNow;
  }

  std::set<std::string> ChooseHosts()
  {
    std::set<std::string> chosen;
    for (const std::string& address : mSimulation.Addresses()) {
      const fleet::State& state = mSimulation.Node(address).mState;
      if (state.mSettings.mControl) {
        continue;
      }
      const bool relay =
        mScenario.mPercent == 0 && chosen.empty() && !state.mFollowers.empty();
      const bool selected =
        static_cast<int>(mRandom() % 100) < mScenario.mPercent;
      if (relay || selected) {
        chosen.insert(address);
      }
    }
    return chosen;
  }

  void BeginFault(const std::set<std::string>& aHosts)
  {
    switch (mScenario.mFault) {
      case HostFault::None:
        break;
      case HostFault::IsolatedFromControl:
        mSimulation.mIsolatedFromControl = aHosts;
        break;
      case HostFault::Suspended:
        mSimulation.mSuspended = aHosts;
        break;
      case HostFault::LosePower:
        for (const std::string& address : aHosts) {
          mSimulation.LosePower(address);
        }
        break;
    }
  }

  void EndFault(const std::set<std::string>& aHosts)
  {
    mSimulation.mSuspended.clear();
    mSimulation.mIsolatedFromControl.clear();
    for (const std::string& address : aHosts) {
      if (!mSimulation.Node(address).mAlive) {
        mSimulation.Start(address, false);
      }
    }
  }

  void WaitForChange(const std::set<std::string>& aFaultyHosts)
  {
    const std::vector<std::string> all = mSimulation.Addresses();
    (void)mSimulation.RunUntil(kMaxWait, [&] {
      return std::all_of(all.begin(), all.end(), [&](const std::string& aHost) {
        return aFaultyHosts.count(aHost) != 0 ||
               mSimulation.Node(aHost).mState.mCatalog.mVersion >= mVersion;
      });
    });
  }

  int TreeDepth()
  {
    std::size_t most = 0;
    for (const std::string& address : mSimulation.Addresses()) {
      most = std::max(most, mSimulation.Node(address).mState.mRoute.size());
    }
    return static_cast<int>(most);
  }

  ChangeScenario mScenario;
  FleetSimulation mSimulation;
  std::mt19937_64 mRandom;
  std::uint64_t mVersion = 0;
};

} // namespace

const char* ToString(HostFault aFault) noexcept
{
  return kFaultNames[static_cast<std::size_t>(aFault)];
}

ChangeMeasurement MeasureChanges(const ChangeScenario& aScenario,
                                 int aChanges,
                                 std::uint64_t aSeed)
{
  return Measurement(aScenario, aSeed).Run(aChanges);
}

} // namespace geraniumpond::fakes
