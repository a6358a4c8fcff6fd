#include "fakes/fleet_schedule.h"
#include "fakes/fleet_stability.h"
#include "fakes/policy_readers.h"

#include <algorithm>
#include <functional>
#include <ostream>
#include <random>

// Plays a schedule of faults in the simulated fleet, with changes of the policy
// all along, and checks what is promised.
namespace geraniumpond::fakes {

namespace {

using fleet::State;

/// A host that was told to stop ends after this time.
constexpr Micros kStopTime = 4 * kSecond;
/// After the last fault all hosts serve, what was acknowledged can be read, and
/// the group tolerates what its settings say within this time: 8 s as promised
/// for serving, 4 s for a voter that is gone.
constexpr Micros kSettleTime = 12 * kSecond;
/// What is promised at any time is looked at in this pace.
constexpr Micros kLookPause = 20 * kMillisecond;
/// Settings name a control host's successor this long after it has gone.
constexpr Micros kSeedLag = 3 * kSecond;
constexpr Micros kChangePause = 300 * kMillisecond;
/// A change is in force this long after its acknowledgement, at hosts that are
/// left alone.
constexpr Micros kInForceWithin = 2 * kSecond;

/// \brief A change of the policy that was sent and has not ended.
struct SentChange
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mId = 0;
  std::uint64_t mVersion = 0;
};

/// \brief Plays one schedule.
class Player
{
public:
  Player(const FleetSchedule& aSchedule, std::ostream* aLog)
    : mSchedule(aSchedule)
    , mSimulation(aSchedule.mSeed)
    , mCalm(mSimulation, aSchedule.mTolerated)
    , mReaders(mSimulation, aSchedule.mSeed)
    , mLog(aLog)
  {
  }

  std::string Play()
  {
    mSimulation.mShouldDrop = [this](const SentMessage& aSent) {
      return IsBetweenHalves(aSent);
    };
    const bool heedless = mSchedule.mDefect == FleetDefect::ToleratesNoLoss;
    mSimulation.mLosesSyncedWrites =
      mSchedule.mDefect == FleetDefect::LosesSyncedWrites;
    mSimulation.mForgesLeaderChecks =
      mSchedule.mDefect == FleetDefect::TrustsUnconfirmedLeader;
    mSimulation.StartFleet(mSchedule.mHostsWithDisk,
                           mSchedule.mHostsWithoutDisk,
                           heedless ? 0 : mSchedule.mTolerated);
    const auto disks = static_cast<std::size_t>(mSchedule.mHostsWithDisk);
    if (!mSimulation.RunUntil(10 * kSecond,
                              [&] { return mSimulation.Voters() == disks; })) {
      return "no group was founded";
    }
    // The last founder counts once its vote is committed everywhere.
    mSimulation.Advance(kSecond);
    for (const FleetStep& step : mSchedule.mSteps) {
      Log("schedule", ToString(step.mFault));
      Take(step);
      Pass(step.mPause);
      if (!mFault.empty()) {
        return mFault;
      }
    }
    Settle();
    return mFault;
  }

private:
  FleetNode& Node(const std::string& aAddress)
  {
    return mSimulation.Node(aAddress);
  }

  // --- time

  void Pass(Micros aTime)
  {
    const Micros end = mSimulation.mNow + aTime;
    while (mSimulation.mNow < end && mFault.empty()) {
      while (!mLater.empty() && mLater.begin()->first <= mSimulation.mNow) {
        const std::function<void()> action = mLater.begin()->second;
        mLater.erase(mLater.begin());
        action();
      }
      ChangePolicy();
      mSimulation.Advance(kLookPause);
      TakeEnds();
      LogNotes();
      Look();
    }
  }

  void After(Micros aTime, std::function<void()> aAction)
  {
    mLater.emplace(mSimulation.mNow + aTime, std::move(aAction));
  }

  void Log(const std::string& aWho, const std::string& aWhat)
  {
    if (mLog != nullptr) {
      *mLog << mSimulation.mNow / kMillisecond << " ms " << aWho << " " << aWhat
            << "\n";
    }
  }

  void LogNotes()
  {
    for (const std::string& address : mSimulation.Addresses()) {
      for (const std::string& note : Node(address).mNotes) {
        Log(address, note);
      }
      Node(address).mNotes.clear();
    }
  }

  // --- hosts

  std::vector<std::string> Hosts(bool aControl, bool aRunning)
  {
    std::vector<std::string> hosts;
    for (const std::string& address : mSimulation.Addresses()) {
      const FleetNode& node = Node(address);
      if (mRemoved.count(address) == 0 &&
          (node.mSettings.mControl || !aControl) &&
          (node.mAlive || !aRunning)) {
        hosts.push_back(address);
      }
    }
    return hosts;
  }

  // A running control host that is not about to go.
  std::string PickControl(std::uint64_t aSelector)
  {
    std::vector<std::string> hosts = Hosts(true, true);
    hosts.erase(std::remove_if(hosts.begin(),
                               hosts.end(),
                               [&](const std::string& aHost) {
                                 return mBusy.count(aHost) != 0;
                               }),
                hosts.end());
    return hosts.empty() ? "" : hosts[aSelector % hosts.size()];
  }

  void StartAgain(const std::string& aAddress)
  {
    mBusy.erase(aAddress);
    if (mRemoved.count(aAddress) == 0 && !Node(aAddress).mAlive) {
      Log(aAddress, "starts");
      mSimulation.Start(aAddress, false);
      mVersions.erase(aAddress);
    }
  }

  void AddControl()
  {
    mSimulation.SetSeeds(ListedControl(mNewcomers));
    const std::string address = "10.0.1." + std::to_string(++mNewcomers) + ":1";
    mSimulation.Add(address, true);
    mSimulation.Start(address, false);
  }

  // --- disks

  // Voters whose disk is gone, as the leader counts them; nothing is known
  // without a leader that has committed its members.
  int DisksMissing()
  {
    const std::string leader = mSimulation.Leader();
    if (leader.empty()) {
      return mDisksLost;
    }
    const consensus::State& group = Node(leader).mState.mGroup;
    if (group.mCommit < std::max(group.mMembershipIndex, group.mTermStart)) {
      return mDisksLost;
    }
    const int least = 2 * mSchedule.mTolerated + 1;
    int missing = std::max(0, least - static_cast<int>(mSimulation.Voters()));
    for (const wire::Member& member : group.mMembership.members()) {
      const bool there =
        mRemoved.count(member.address()) == 0 &&
        Node(member.address()).mDisk.mHard.storage() == member.storage();
      missing += member.voter() && !there ? 1 : 0;
    }
    mDisksLost = missing;
    return missing;
  }

  bool MayLoseDisk() { return DisksMissing() < mSchedule.mTolerated; }

  // --- steps

  void Take(const FleetStep& aStep)
  {
    switch (aStep.mFault) {
      case FleetFault::Restart:
        Restart(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::ReplacePlanned:
        ReplacePlanned(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::ReplaceLost:
        ReplaceLost(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::LoseDisk:
        Down(PickControl(aStep.mSelector), aStep.mDuration, true, true);
        break;
      case FleetFault::Kill: {
        const std::vector<std::string> hosts = Hosts(false, true);
        if (!hosts.empty()) {
          const std::string& host = hosts[aStep.mSelector % hosts.size()];
          Down(
            mBusy.count(host) == 0 ? host : "", aStep.mDuration, false, false);
        }
        break;
      }
      case FleetFault::LosePower:
        Down(PickControl(aStep.mSelector), aStep.mDuration, true, false);
        break;
      case FleetFault::LoseAllPower:
        LoseAllPower(aStep.mDuration, "");
        break;
      case FleetFault::LoseAllPowerAndOneDisk:
        LoseAllPower(aStep.mDuration,
                     MayLoseDisk() ? PickControl(aStep.mSelector) : "");
        break;
      case FleetFault::IsolateHost:
        IsolateHost(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::SplitControlHosts:
        SplitControlHosts(aStep.mSelector, aStep.mDuration);
        break;
      case FleetFault::IsolateFromControl:
        IsolateFromControl(aStep.mSelector, aStep.mDuration);
        break;
      case FleetFault::Freeze:
        Freeze(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::StallDisk:
        StallDisk(PickControl(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::ReplaceSeeds:
        ReplaceSeeds(aStep.mSelector);
        break;
      case FleetFault::Settle:
        Settle();
        break;
    }
  }

  void Restart(const std::string& aHost, Micros aDuration)
  {
    if (aHost.empty()) {
      return;
    }
    Log(aHost, "is told to stop");
    mBusy.insert(aHost);
    mSimulation.Stop(aHost);
    After(kStopTime, [this, aHost, aDuration] {
      mSimulation.Kill(aHost);
      After(aDuration, [this, aHost] { StartAgain(aHost); });
    });
  }

  // The last step waits while its disk is still needed.
  void Remove(const std::string& aHost)
  {
    const bool voter = IsVoter(aHost);
    if (voter && !MayLoseDisk()) {
      After(kSecond, [this, aHost] { Remove(aHost); });
      return;
    }
    mDisksLost += voter ? 1 : 0;
    Log(aHost, "goes for good");
    mSimulation.Kill(aHost);
    mRemoved.insert(aHost);
    mBusy.erase(aHost);
    After(kSeedLag, [this] { ReplaceSeeds(0); });
  }

  bool IsVoter(const std::string& aHost)
  {
    const std::vector<std::string> voters = mSimulation.VoterAddresses();
    return voters.empty() ||
           std::count(voters.begin(), voters.end(), aHost) != 0;
  }

  void ReplacePlanned(const std::string& aHost, Micros aDuration)
  {
    if (aHost.empty()) {
      return;
    }
    mBusy.insert(aHost);
    AddControl();
    After(std::max(kSecond, aDuration), [this, aHost] {
      if (Node(aHost).mAlive) {
        Log(aHost, "is told to stop");
        mSimulation.Stop(aHost);
      }
      After(kStopTime, [this, aHost] { Remove(aHost); });
    });
  }

  void ReplaceLost(const std::string& aHost, Micros aDuration)
  {
    if (aHost.empty() || !MayLoseDisk()) {
      return;
    }
    ++mDisksLost;
    Log(aHost, "goes for good");
    mSimulation.LosePower(aHost);
    mRemoved.insert(aHost);
    mCalm.LoseForGood();
    After(aDuration, [this] {
      AddControl();
      mCalm.Replace();
    });
    After(kSeedLag, [this] { ReplaceSeeds(0); });
  }

  void Down(const std::string& aHost, Micros aDuration, bool aPower, bool aDisk)
  {
    if (aHost.empty() || (aDisk && !MayLoseDisk())) {
      return;
    }
    Log(aHost, aDisk ? "loses its disk" : "goes down");
    mBusy.insert(aHost);
    if (aPower) {
      mSimulation.LosePower(aHost);
    } else {
      mSimulation.Kill(aHost);
    }
    if (aDisk) {
      ++mDisksLost;
      mSimulation.Wipe(aHost);
    }
    After(aDuration, [this, aHost] { StartAgain(aHost); });
  }

  void LoseAllPower(Micros aDuration, const std::string& aWiped)
  {
    for (const std::string& address : Hosts(false, true)) {
      mSimulation.LosePower(address);
      After(aDuration, [this, address] { StartAgain(address); });
    }
    if (!aWiped.empty()) {
      Log(aWiped, "loses its disk");
      ++mDisksLost;
      mSimulation.Wipe(aWiped);
    }
  }

  void IsolateHost(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "is cut off");
    mSimulation.mIsolated.insert(aHost);
    After(aDuration, [this, aHost] { mSimulation.mIsolated.erase(aHost); });
  }

  void SplitControlHosts(std::uint64_t aSelector, Micros aDuration)
  {
    std::set<std::string> half;
    for (const std::string& address : Hosts(true, false)) {
      if ((aSelector >>= 1) % 2 == 0) {
        half.insert(address);
      }
    }
    mHalf = half;
    After(aDuration, [this] { mHalf.clear(); });
  }

  void IsolateFromControl(std::uint64_t aSelector, Micros aDuration)
  {
    std::mt19937_64 random(aSelector);
    std::set<std::string> hosts;
    for (const std::string& address : Hosts(false, false)) {
      if (!mSimulation.IsControl(address) && random() % 10 < 4) {
        hosts.insert(address);
      }
    }
    Log("schedule", "cuts off " + std::to_string(hosts.size()) + " hosts");
    mSimulation.mIsolatedFromControl = hosts;
    After(aDuration, [this, hosts] {
      if (mSimulation.mIsolatedFromControl == hosts) {
        mSimulation.mIsolatedFromControl.clear();
      }
    });
  }

  bool IsBetweenHalves(const SentMessage& aSent)
  {
    return mSimulation.IsControl(aSent.mFrom) &&
           mSimulation.IsControl(aSent.mTo) &&
           mHalf.count(aSent.mFrom) != mHalf.count(aSent.mTo);
  }

  void Freeze(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "freezes");
    mSimulation.mFrozen.insert(aHost);
    After(aDuration, [this, aHost] { mSimulation.mFrozen.erase(aHost); });
  }

  void StallDisk(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "has its disk stalled");
    mSimulation.mStalledDisks.insert(aHost);
    After(aDuration, [this, aHost] { mSimulation.mStalledDisks.erase(aHost); });
  }

  // Three of the control hosts that have not gone for good, running or not:
  // what settings name.
  std::vector<std::string> ListedControl(std::uint64_t aSelector)
  {
    const std::vector<std::string> control = Hosts(true, false);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, control.size()); ++i) {
      seeds.push_back(control[(aSelector + i) % control.size()]);
    }
    return seeds;
  }

  void ReplaceSeeds(std::uint64_t aSelector)
  {
    mSimulation.ReplaceSeeds(ListedControl(aSelector));
  }

  // --- changes of the policy all along

  void ChangePolicy()
  {
    if (mSent || mSimulation.mNow < mChangeAt) {
      return;
    }
    mChangeAt = mSimulation.mNow + kChangePause;
    const std::vector<std::string> hosts = Hosts(false, true);
    if (hosts.empty()) {
      return;
    }
    const std::string& host = hosts[++mTurn % hosts.size()];
    if (mSimulation.mFrozen.count(host) != 0) {
      return;
    }
    const std::uint64_t base = Node(host).mState.mCatalog.mVersion;
    const std::uint64_t version = ++mLastVersion;
    const std::uint64_t id = mSimulation.Submit(
      host, PutPolicyCommand(version, base, std::to_string(version)));
    mSent = { host, Node(host).mSettings.mIncarnation, id, version };
  }

  void TakeEnds()
  {
    if (!mSent) {
      return;
    }
    const FleetNode& node = Node(mSent->mHost);
    if (!node.mAlive || node.mSettings.mIncarnation != mSent->mIncarnation) {
      mSent.reset();
      return;
    }
    const auto done = node.mDone.find(mSent->mId);
    if (done == node.mDone.end()) {
      return;
    }
    const fleet::Done& end = done->second;
    if (end.mEnd == fleet::SubmitEnd::Committed && end.mOutcome.accepted()) {
      mAcknowledged = std::max(mAcknowledged, mSent->mVersion);
      mAcknowledgedAt.emplace(mAcknowledged, mSimulation.mNow);
    }
    mSent.reset();
  }

  // --- checks

  // A host's version never goes back within one life of its process.
  void Look()
  {
    for (const std::string& address : Hosts(false, true)) {
      const std::uint64_t version = Node(address).mState.mCatalog.mVersion;
      std::uint64_t& known = mVersions[address];
      if (version < known) {
        mFault = address + " went back from version " + std::to_string(known) +
                 " to " + std::to_string(version);
      }
      known = version;
    }
    LookForOldPolicies();
    LookForOldReads();
  }

  void LookForOldReads()
  {
    if (!mSchedule.mReadPolicy) {
      return;
    }
    const std::string fault = mReaders.Look(Hosts(false, true), mAcknowledged);
    mFault = mFault.empty() ? fault : mFault;
  }

  void LookForOldPolicies()
  {
    std::uint64_t wanted = 0;
    for (const auto& [version, at] : mAcknowledgedAt) {
      wanted = mSimulation.mNow - at > kInForceWithin ? version : wanted;
    }
    mAcknowledgedAt.erase(mAcknowledgedAt.begin(),
                          mAcknowledgedAt.lower_bound(wanted));
    const std::string cuts = mHalf.empty() ? "" : "halves";
    const bool calm = mCalm.IsGroupCalm(Hosts(true, false), cuts);
    for (const std::string& address : Hosts(false, true)) {
      const bool must = mCalm.IsCalm(address) && !IsBeyondReach(address);
      const std::uint64_t version = Node(address).mState.mCatalog.mVersion;
      if (calm && must && version < wanted) {
        mFault =
          address + " acts by version " + std::to_string(version) + ", " +
          std::to_string(wanted) + " was acknowledged " +
          std::to_string((mSimulation.mNow - mAcknowledgedAt.at(wanted)) /
                         kMillisecond) +
          " ms ago";
      }
    }
  }

  void EndFaults()
  {
    Log("schedule", "faults end");
    mSimulation.mIsolated.clear();
    mHalf.clear();
    mSimulation.mIsolatedFromControl.clear();
    mSimulation.mFrozen.clear();
    mSimulation.mStalledDisks.clear();
    // Stops and starts that are under way come to their end.
    const Micros end = mSimulation.mNow + kStopTime + 3 * kSecond;
    while (!mLater.empty() && mSimulation.mNow < end && mFault.empty()) {
      Pass(kLookPause);
    }
  }

  // The one case that decisions/0007 leaves out: every seed that the host was
  // started with has gone for good, and it has known no other one since.
  bool IsBeyondReach(const std::string& aAddress)
  {
    const State& state = Node(aAddress).mState;
    const std::vector<std::string>& seeds = state.mSettings.mSeeds;
    return state.mControlDate.mTerm == 0 &&
           std::all_of(seeds.begin(), seeds.end(), [&](const auto& aSeed) {
             return mRemoved.count(aSeed) != 0;
           });
  }

  std::string Missing()
  {
    const std::string leader = mSimulation.Leader();
    if (leader.empty()) {
      return "there is no leader";
    }
    for (const std::string& address : Hosts(false, true)) {
      const State& state = Node(address).mState;
      if (IsBeyondReach(address)) {
        continue;
      }
      if (!fleet::IsInTouch(state, mSimulation.mNow) && !state.mStopping) {
        return address + " is out of touch";
      }
      if (state.mCatalog.mVersion < mAcknowledged) {
        return address + " has version " +
               std::to_string(state.mCatalog.mVersion) + " of " +
               std::to_string(mAcknowledged);
      }
    }
    const fleet::GroupHealth health =
      fleet::HealthOf(Node(leader).mState, mSimulation.mNow);
    if (health.mTolerated < mSchedule.mTolerated) {
      return "the group of " + std::to_string(health.mVoters) + ", " +
             std::to_string(health.mAnswering) + " there, tolerates " +
             std::to_string(health.mTolerated);
    }
    return "";
  }

  void Settle()
  {
    EndFaults();
    const Micros end = mSimulation.mNow + kSettleTime;
    std::string missing = Missing();
    while (!missing.empty() && mSimulation.mNow < end && mFault.empty()) {
      Pass(kLookPause);
      missing = Missing();
    }
    if (mFault.empty() && !missing.empty()) {
      mFault = missing;
    }
  }

  const FleetSchedule& mSchedule;
  FleetSimulation mSimulation;
  FleetCalm mCalm;
  PolicyReaders mReaders;
  std::ostream* mLog = nullptr;
  std::string mFault;
  std::multimap<Micros, std::function<void()>> mLater;
  std::set<std::string> mRemoved;
  /// Hosts that a step has in hand.
  std::set<std::string> mBusy;
  /// Control hosts of one half, while they are cut in two.
  std::set<std::string> mHalf;
  std::map<std::uint64_t, Micros> mAcknowledgedAt;
  int mNewcomers = 0;
  int mDisksLost = 0;

  std::optional<SentChange> mSent;
  Micros mChangeAt = 0;
  std::size_t mTurn = 0;
  std::uint64_t mLastVersion = 0;
  std::uint64_t mAcknowledged = 0;
  std::map<std::string, std::uint64_t> mVersions;
};

} // namespace

std::string PlayFleetSchedule(const FleetSchedule& aSchedule,
                              std::ostream* aLog)
{
  return Player(aSchedule, aLog).Play();
}

} // namespace geraniumpond::fakes
