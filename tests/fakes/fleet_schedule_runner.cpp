#include "fakes/durable_copies.h"
#include "fakes/evacuation_operators.h"
#include "fakes/fleet_schedule.h"
#include "fakes/fleet_stability.h"
#include "fakes/policy_readers.h"

#include <algorithm>
#include <functional>
#include <ostream>
#include <random>

// Runs a fault schedule in a simulated fleet while the policy keeps changing,
// and checks the guarantees that the fleet gives.
namespace geraniumpond::fakes {

namespace {

using fleet::State;

/// Time between the request to stop and the end of the process.
constexpr Micros kStopTime = 4 * kSecond;
/// Within this time after the last fault all hosts serve, acknowledged changes
/// can be read, and the group tolerates its configured losses: 8 s is the
/// guarantee for serving, 4 s that for removing a lost voter.
constexpr Micros kSettleTime = 12 * kSecond;
/// Interval of the checks of guarantees that hold at all times.
constexpr Micros kCheckInterval = 20 * kMillisecond;
/// Delay until the settings name the successor of a removed control host.
constexpr Micros kSeedUpdateDelay = 3 * kSecond;
constexpr Micros kChangeInterval = 300 * kMillisecond;
/// A change is in force at undisturbed hosts this long after its
/// acknowledgement.
constexpr Micros kChangeDeadline = 2 * kSecond;

/// \brief A policy change that was submitted and has no outcome yet.
struct PendingChange
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mId = 0;
  std::uint64_t mVersion = 0;
};

/// \brief Runs one schedule.
class ScheduleRunner
{
public:
  ScheduleRunner(const FleetSchedule& aSchedule, std::ostream* aLog)
    : mSchedule(aSchedule)
    , mSimulation(aSchedule.mSeed)
    , mStability(mSimulation, aSchedule.mTolerated)
    , mReaders(mSimulation, aSchedule.mSeed)
    , mEvacuations(mSimulation, aSchedule.mSeed)
    , mLog(aLog)
  {
  }

  std::string Run()
  {
    mSimulation.mShouldDrop = [this](const SentMessage& aSent) {
      return IsBetweenHalves(aSent) || mEvacuations.Holds(aSent);
    };
    const bool toleratesNoLoss =
      mSchedule.mDefect == FleetDefect::ToleratesNoLoss;
    mSimulation.mLosesSyncedWrites =
      mSchedule.mDefect == FleetDefect::LosesSyncedWrites;
    mSimulation.mForgesLeaderChecks =
      mSchedule.mDefect == FleetDefect::TrustsUnconfirmedLeader;
    mEvacuations.mAcknowledgesEarly =
      mSchedule.mDefect == FleetDefect::AcknowledgesEarly;
    mEvacuations.mIgnoresRevisions =
      mSchedule.mDefect == FleetDefect::IgnoresRevisions;
    mSimulation.StartFleet(mSchedule.mHostsWithDisk,
                           mSchedule.mHostsWithoutDisk,
                           toleratesNoLoss ? 0 : mSchedule.mTolerated);
    const auto disks = static_cast<std::size_t>(mSchedule.mHostsWithDisk);
    if (!mSimulation.RunUntil(10 * kSecond,
                              [&] { return mSimulation.Voters() == disks; })) {
      return "the control group was not founded";
    }
    // Lets the membership that includes the last founder commit everywhere.
    mSimulation.Advance(kSecond);
    for (const FleetStep& step : mSchedule.mSteps) {
      Log("schedule", ToString(step.mFault));
      RunStep(step);
      Advance(step.mPause);
      if (!mViolation.empty()) {
        return mViolation;
      }
    }
    Settle();
    return mViolation;
  }

private:
  FleetNode& Node(const std::string& aAddress)
  {
    return mSimulation.Node(aAddress);
  }

  // --- time

  void Advance(Micros aTime)
  {
    const Micros end = mSimulation.mNow + aTime;
    while (mSimulation.mNow < end && mViolation.empty()) {
      while (!mScheduledActions.empty() &&
             mScheduledActions.begin()->first <= mSimulation.mNow) {
        const std::function<void()> action = mScheduledActions.begin()->second;
        mScheduledActions.erase(mScheduledActions.begin());
        action();
      }
      ChangePolicy();
      mSimulation.Advance(kCheckInterval);
      CollectChangeOutcome();
      if (mSchedule.mEvacuate) {
        mEvacuations.Poll(Hosts(false, true));
      }
      LogHostLines();
      CheckInvariants();
    }
  }

  void RunLater(Micros aTime, std::function<void()> aAction)
  {
    mScheduledActions.emplace(mSimulation.mNow + aTime, std::move(aAction));
  }

  void Log(const std::string& aSource, const std::string& aText)
  {
    if (mLog != nullptr) {
      *mLog << mSimulation.mNow / kMillisecond << " ms " << aSource << " "
            << aText << "\n";
    }
  }

  void LogHostLines()
  {
    for (const std::string& line : mEvacuations.mLogLines) {
      Log("operator", line);
    }
    mEvacuations.mLogLines.clear();
    for (const std::string& address : mSimulation.Addresses()) {
      for (const std::string& line : Node(address).mLogLines) {
        Log(address, line);
      }
      Node(address).mLogLines.clear();
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

  // A running control host that no earlier step is stopping or replacing; empty
  // if there is none.
  std::string SelectControlHost(std::uint64_t aSelector)
  {
    std::vector<std::string> hosts = Hosts(true, true);
    hosts.erase(std::remove_if(hosts.begin(),
                               hosts.end(),
                               [&](const std::string& aHost) {
                                 return mHostsInUse.count(aHost) != 0;
                               }),
                hosts.end());
    return hosts.empty() ? "" : hosts[aSelector % hosts.size()];
  }

  void StartIfDown(const std::string& aAddress)
  {
    mHostsInUse.erase(aAddress);
    if (mRemoved.count(aAddress) == 0 && !Node(aAddress).mAlive) {
      Log(aAddress, "starts");
      mSimulation.Start(aAddress, false);
      mLastSeenVersions.erase(aAddress);
    }
  }

  void AddControlHost()
  {
    mSimulation.SetSeeds(SeedsFromControlHosts(mHostsAdded));
    const std::string address =
      "10.0.1." + std::to_string(++mHostsAdded) + ":1";
    mSimulation.Add(address, true);
    mSimulation.Start(address, false);
  }

  // --- disks

  // Number of voters whose disk is lost, according to the leader. Without a
  // leader that has committed its membership, the last known number.
  int MissingDisks()
  {
    const std::string leader = mSimulation.Leader();
    if (leader.empty()) {
      return mMissingDisks;
    }
    const consensus::State& group = Node(leader).mState.mGroup;
    if (group.mCommit < std::max(group.mMembershipIndex, group.mTermStart)) {
      return mMissingDisks;
    }
    const int needed = 2 * mSchedule.mTolerated + 1;
    int missing = std::max(0, needed - static_cast<int>(mSimulation.Voters()));
    for (const wire::Member& member : group.mMembership.members()) {
      const bool present =
        mRemoved.count(member.address()) == 0 &&
        Node(member.address()).mDisk.mHard.storage() == member.storage();
      missing += member.voter() && !present ? 1 : 0;
    }
    mMissingDisks = missing;
    return missing;
  }

  bool CanLoseDisk() { return MissingDisks() < mSchedule.mTolerated; }

  // --- steps

  void RunStep(const FleetStep& aStep)
  {
    switch (aStep.mFault) {
      case FleetFault::Restart:
        Restart(SelectControlHost(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::ReplacePlanned:
        ReplacePlanned(SelectControlHost(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::ReplaceLost:
        ReplaceLost(SelectControlHost(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::LoseDisk:
        TakeDown(
          SelectControlHost(aStep.mSelector), aStep.mDuration, true, true);
        break;
      case FleetFault::Kill: {
        const std::vector<std::string> hosts = Hosts(false, true);
        if (!hosts.empty()) {
          const std::string& host = hosts[aStep.mSelector % hosts.size()];
          TakeDown(mHostsInUse.count(host) == 0 ? host : "",
                   aStep.mDuration,
                   false,
                   false);
        }
        break;
      }
      case FleetFault::LosePower:
        TakeDown(
          SelectControlHost(aStep.mSelector), aStep.mDuration, true, false);
        break;
      case FleetFault::LoseAllPower:
        LoseAllPower(aStep.mDuration, {});
        break;
      case FleetFault::LoseAllPowerAndOneDisk:
        LoseAllPower(aStep.mDuration, DisksToLose(aStep.mSelector));
        break;
      case FleetFault::IsolateHost:
        IsolateHost(SelectControlHost(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::SplitControlHosts:
        SplitControlHosts(aStep.mSelector, aStep.mDuration);
        break;
      case FleetFault::IsolateFromControl:
        IsolateFromControl(aStep.mSelector, aStep.mDuration);
        break;
      case FleetFault::Suspend:
        Suspend(SelectControlHost(aStep.mSelector), aStep.mDuration);
        break;
      case FleetFault::StallDisk:
        StallDisk(SelectControlHost(aStep.mSelector), aStep.mDuration);
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
    mHostsInUse.insert(aHost);
    mSimulation.Stop(aHost);
    RunLater(kStopTime, [this, aHost, aDuration] {
      mSimulation.Kill(aHost);
      RunLater(aDuration, [this, aHost] { StartIfDown(aHost); });
    });
  }

  // Retries later while the group still needs the disk of this host.
  void RemoveForGood(const std::string& aHost)
  {
    const bool voter = IsVoter(aHost);
    if (voter && !CanLoseDisk()) {
      RunLater(kSecond, [this, aHost] { RemoveForGood(aHost); });
      return;
    }
    if (voter) {
      ++mMissingDisks;
      mStability.RecordRemoval();
    }
    Log(aHost, "is removed for good");
    mSimulation.Kill(aHost);
    mRemoved.insert(aHost);
    mHostsInUse.erase(aHost);
    RunLater(kSeedUpdateDelay, [this] { ReplaceSeeds(0); });
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
    mHostsInUse.insert(aHost);
    AddControlHost();
    RunLater(std::max(kSecond, aDuration), [this, aHost] {
      if (Node(aHost).mAlive) {
        Log(aHost, "is told to stop");
        mSimulation.Stop(aHost);
      }
      RunLater(kStopTime, [this, aHost] { RemoveForGood(aHost); });
    });
  }

  void ReplaceLost(const std::string& aHost, Micros aDuration)
  {
    if (aHost.empty() || !CanLoseDisk()) {
      return;
    }
    ++mMissingDisks;
    Log(aHost, "is removed for good");
    mSimulation.LosePower(aHost);
    mRemoved.insert(aHost);
    mStability.RecordPermanentLoss();
    RunLater(aDuration, [this] {
      AddControlHost();
      mStability.RecordReplacement();
    });
    RunLater(kSeedUpdateDelay, [this] { ReplaceSeeds(0); });
  }

  void TakeDown(const std::string& aHost,
                Micros aDuration,
                bool aLosesPower,
                bool aLosesDisk)
  {
    if (aHost.empty() || (aLosesDisk && !CanLoseDisk())) {
      return;
    }
    Log(aHost, aLosesDisk ? "loses its disk" : "goes down");
    mHostsInUse.insert(aHost);
    if (aLosesPower) {
      mSimulation.LosePower(aHost);
    } else {
      mSimulation.Kill(aHost);
    }
    if (aLosesDisk) {
      ++mMissingDisks;
      mSimulation.Wipe(aHost);
    }
    RunLater(aDuration, [this, aHost] { StartIfDown(aHost); });
  }

  std::vector<std::string> DisksToLose(std::uint64_t aSelector)
  {
    std::vector<std::string> hosts;
    if (!mSchedule.mLoseToleratedDisks) {
      const std::string host =
        CanLoseDisk() ? SelectControlHost(aSelector) : "";
      return host.empty() ? hosts : std::vector<std::string>{ host };
    }
    hosts = Hosts(true, true);
    std::shuffle(hosts.begin(), hosts.end(), std::mt19937_64(aSelector));
    const std::string leader = mSimulation.Leader();
    std::stable_partition(
      hosts.begin(), hosts.end(), [&](const std::string& aHost) {
        return aHost == leader;
      });
    const int tolerated = std::max(0, mSchedule.mTolerated - MissingDisks());
    hosts.resize(std::min<std::size_t>(hosts.size(), tolerated));
    return hosts;
  }

  void LoseAllPower(Micros aDuration, const std::vector<std::string>& aWiped)
  {
    for (const std::string& address : Hosts(false, true)) {
      mSimulation.LosePower(address);
      RunLater(aDuration, [this, address] { StartIfDown(address); });
    }
    for (const std::string& address : aWiped) {
      Log(address, "loses its disk");
      ++mMissingDisks;
      mSimulation.Wipe(address);
    }
  }

  void IsolateHost(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "is isolated");
    mSimulation.mIsolated.insert(aHost);
    RunLater(aDuration, [this, aHost] { mSimulation.mIsolated.erase(aHost); });
  }

  void SplitControlHosts(std::uint64_t aSelector, Micros aDuration)
  {
    std::set<std::string> half;
    for (const std::string& address : Hosts(true, false)) {
      if ((aSelector >>= 1) % 2 == 0) {
        half.insert(address);
      }
    }
    mPartitionedHalf = half;
    RunLater(aDuration, [this] { mPartitionedHalf.clear(); });
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
    Log("schedule",
        "isolates " + std::to_string(hosts.size()) +
          " hosts from the control hosts");
    mSimulation.mIsolatedFromControl = hosts;
    RunLater(aDuration, [this, hosts] {
      if (mSimulation.mIsolatedFromControl == hosts) {
        mSimulation.mIsolatedFromControl.clear();
      }
    });
  }

  bool IsBetweenHalves(const SentMessage& aSent)
  {
    return mSimulation.IsControl(aSent.mFrom) &&
           mSimulation.IsControl(aSent.mTo) &&
           mPartitionedHalf.count(aSent.mFrom) !=
             mPartitionedHalf.count(aSent.mTo);
  }

  void Suspend(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "is suspended");
    mSimulation.mSuspended.insert(aHost);
    RunLater(aDuration, [this, aHost] { mSimulation.mSuspended.erase(aHost); });
  }

  void StallDisk(const std::string& aHost, Micros aDuration)
  {
    Log(aHost, "has a stalled disk");
    mSimulation.mStalledDisks.insert(aHost);
    RunLater(aDuration,
             [this, aHost] { mSimulation.mStalledDisks.erase(aHost); });
  }

  // Up to three control hosts that were not removed for good, running or not.
  std::vector<std::string> SeedsFromControlHosts(std::uint64_t aSelector)
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
    mSimulation.ReplaceSeeds(SeedsFromControlHosts(aSelector));
  }

  // --- policy changes

  void ChangePolicy()
  {
    if (mPendingChange || mSimulation.mNow < mNextChangeAt) {
      return;
    }
    mNextChangeAt = mSimulation.mNow + kChangeInterval;
    const std::vector<std::string> hosts = Hosts(false, true);
    if (hosts.empty()) {
      return;
    }
    const std::string& host = hosts[++mNextHost % hosts.size()];
    if (mSimulation.mSuspended.count(host) != 0) {
      return;
    }
    const std::uint64_t base = Node(host).mState.mCatalog.mVersion;
    const std::uint64_t version = ++mLastVersion;
    const std::uint64_t id = mSimulation.Submit(
      host, PutPolicyCommand(version, base, std::to_string(version)));
    mPendingChange = { host, Node(host).mSettings.mIncarnation, id, version };
  }

  void CollectChangeOutcome()
  {
    if (!mPendingChange) {
      return;
    }
    const FleetNode& node = Node(mPendingChange->mHost);
    if (!node.mAlive ||
        node.mSettings.mIncarnation != mPendingChange->mIncarnation) {
      mPendingChange.reset();
      return;
    }
    const auto done = node.mOutcomes.find(mPendingChange->mId);
    if (done == node.mOutcomes.end()) {
      return;
    }
    const fleet::Completion& end = done->second;
    if (end.mEnd == fleet::SubmitResult::Committed && end.mOutcome.accepted()) {
      mAcknowledged = std::max(mAcknowledged, mPendingChange->mVersion);
      mAcknowledgedAt.emplace(mAcknowledged, mSimulation.mNow);
      CheckDurability(mPendingChange->mVersion);
    }
    mPendingChange.reset();
  }

  // --- checks

  // An acknowledged change is on more synced disks than may be lost. Disks that
  // were lost since its commit are among those that may.
  void CheckDurability(std::uint64_t aVersion)
  {
    const int copies = DurableCopies(mSimulation, Hosts(true, false), aVersion);
    const int missing = MissingDisks();
    if (copies + missing <= mSchedule.mTolerated) {
      mViolation = "version " + std::to_string(aVersion) +
                   " was acknowledged with " + std::to_string(copies) +
                   " durable copies, " + std::to_string(missing) +
                   " disks missing";
    }
  }

  // The policy version of a host never decreases while its process runs.
  void CheckInvariants()
  {
    for (const std::string& address : Hosts(false, true)) {
      const std::uint64_t version = Node(address).mState.mCatalog.mVersion;
      std::uint64_t& lastSeen = mLastSeenVersions[address];
      if (version < lastSeen) {
        mViolation = address + " went back from policy version " +
                     std::to_string(lastSeen) + " to " +
                     std::to_string(version);
      }
      lastSeen = version;
      const std::string undone = mEvacuations.Undone(address);
      mViolation = mViolation.empty() ? undone : mViolation;
    }
    CheckAppliedVersions();
    CheckReads();
  }

  void CheckReads()
  {
    if (!mSchedule.mReadPolicy) {
      return;
    }
    const std::string violation =
      mReaders.Poll(Hosts(false, true), mAcknowledged);
    mViolation = mViolation.empty() ? violation : mViolation;
  }

  void CheckAppliedVersions()
  {
    std::uint64_t wanted = 0;
    for (const auto& [version, at] : mAcknowledgedAt) {
      wanted = mSimulation.mNow - at > kChangeDeadline ? version : wanted;
    }
    mAcknowledgedAt.erase(mAcknowledgedAt.begin(),
                          mAcknowledgedAt.lower_bound(wanted));
    const std::string partition = mPartitionedHalf.empty() ? "" : "halves";
    const bool stable = mStability.IsGroupStable(Hosts(true, false), partition);
    for (const std::string& address : Hosts(false, true)) {
      const bool mustApply =
        mStability.IsHostStable(address) && !CannotRejoin(address);
      const std::uint64_t version = Node(address).mState.mCatalog.mVersion;
      if (stable && mustApply && version < wanted) {
        mViolation =
          address + " applies version " + std::to_string(version) +
          "; version " + std::to_string(wanted) + " was acknowledged " +
          std::to_string((mSimulation.mNow - mAcknowledgedAt.at(wanted)) /
                         kMillisecond) +
          " ms ago";
      }
      const std::string lacking =
        mEvacuations.Lacking(address, mSimulation.mNow - kChangeDeadline);
      if (stable && mustApply && mViolation.empty()) {
        mViolation = lacking;
      }
    }
  }

  void EndFaults()
  {
    Log("schedule", "faults end");
    mSimulation.mIsolated.clear();
    mPartitionedHalf.clear();
    mSimulation.mIsolatedFromControl.clear();
    mSimulation.mSuspended.clear();
    mSimulation.mStalledDisks.clear();
    // Lets stops and starts that are under way complete.
    const Micros end = mSimulation.mNow + kStopTime + 3 * kSecond;
    while (!mScheduledActions.empty() && mSimulation.mNow < end &&
           mViolation.empty()) {
      Advance(kCheckInterval);
    }
  }

  // The one case that decisions/0007 excludes: all seeds that the host was
  // started with were removed for good, and it has learned of no other control
  // host since.
  bool CannotRejoin(const std::string& aAddress)
  {
    const State& state = Node(aAddress).mState;
    const std::vector<std::string>& seeds = state.mSettings.mSeeds;
    return state.mMembershipVersion.mTerm == 0 &&
           std::all_of(seeds.begin(), seeds.end(), [&](const auto& aSeed) {
             return mRemoved.count(aSeed) != 0;
           });
  }

  std::string UnmetExpectation()
  {
    const std::string leader = mSimulation.Leader();
    if (leader.empty()) {
      return "there is no leader";
    }
    for (const std::string& address : Hosts(false, true)) {
      const State& state = Node(address).mState;
      if (CannotRejoin(address)) {
        continue;
      }
      if (!fleet::IsInTouch(state, mSimulation.mNow) && !state.mStopping) {
        return address + " is out of touch with the control group";
      }
      if (state.mCatalog.mVersion < mAcknowledged) {
        return address + " has policy version " +
               std::to_string(state.mCatalog.mVersion) + ", not " +
               std::to_string(mAcknowledged);
      }
      std::string lacking = mEvacuations.Lacking(address, mSimulation.mNow);
      if (!lacking.empty()) {
        return lacking;
      }
    }
    if (mSchedule.mEvacuate && !mEvacuations.AllWereAcknowledged()) {
      return "an operator has had no evacuation acknowledged";
    }
    const fleet::GroupHealth health =
      fleet::HealthOf(Node(leader).mState, mSimulation.mNow);
    if (health.mTolerated < mSchedule.mTolerated) {
      return "the group of " + std::to_string(health.mVoters) + " voters, " +
             std::to_string(health.mAnswering) +
             " of them answering, tolerates " +
             std::to_string(health.mTolerated) + " losses";
    }
    return "";
  }

  void Settle()
  {
    EndFaults();
    const Micros end = mSimulation.mNow + kSettleTime;
    std::string unmet = UnmetExpectation();
    while (!unmet.empty() && mSimulation.mNow < end && mViolation.empty()) {
      Advance(kCheckInterval);
      unmet = UnmetExpectation();
    }
    if (mViolation.empty() && !unmet.empty()) {
      mViolation = unmet;
    }
  }

  const FleetSchedule& mSchedule;
  FleetSimulation mSimulation;
  FleetStability mStability;
  PolicyReaders mReaders;
  EvacuationOperators mEvacuations;
  std::ostream* mLog = nullptr;
  std::string mViolation;
  std::multimap<Micros, std::function<void()>> mScheduledActions;
  std::set<std::string> mRemoved;
  /// Hosts that a step is stopping, restarting or replacing.
  std::set<std::string> mHostsInUse;
  /// One part of the control hosts while they are partitioned in two.
  std::set<std::string> mPartitionedHalf;
  std::map<std::uint64_t, Micros> mAcknowledgedAt;
  int mHostsAdded = 0;
  int mMissingDisks = 0;

  std::optional<PendingChange> mPendingChange;
  Micros mNextChangeAt = 0;
  std::size_t mNextHost = 0;
  std::uint64_t mLastVersion = 0;
  std::uint64_t mAcknowledged = 0;
  std::map<std::string, std::uint64_t> mLastSeenVersions;
};

} // namespace

std::string RunFleetSchedule(const FleetSchedule& aSchedule, std::ostream* aLog)
{
  return ScheduleRunner(aSchedule, aLog).Run();
}

} // namespace geraniumpond::fakes
