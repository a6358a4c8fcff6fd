#include "fakes/fleet_simulation.h"

#include "fakes/disk.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr Micros kOneWayDelay = 1500;
constexpr Micros kSyncTime = 1000;
constexpr Micros kStepTime = 2 * kMillisecond;

} // namespace

FleetSimulation::FleetSimulation(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

void FleetSimulation::Add(const std::string& aAddress,
                          bool aDisk,
                          const std::string& aDataCentre)
{
  FleetNode& node = mNodes[aAddress];
  node.mSettings.mPeerAddress = aAddress;
  node.mSettings.mCallerAddress = aAddress + "/callers";
  node.mSettings.mDataCentre = aDataCentre;
  node.mSettings.mControl = aDisk;
  node.mSettings.mSeeds = mSeeds;
  node.mSettings.mToleratedLosses = mToleratedLosses;
}

void FleetSimulation::ReplaceSeeds(const std::vector<std::string>& aSeeds)
{
  SetSeeds(aSeeds);
  for (auto& [address, node] : mNodes) {
    node.mSettings.mSeeds = aSeeds;
  }
}

void FleetSimulation::Start(const std::string& aAddress, bool aFounding)
{
  FleetNode& node = mNodes.at(aAddress);
  node.mSettings.mIncarnation = ++mIncarnation;
  const bool seed = std::count(mSeeds.begin(), mSeeds.end(), aAddress) != 0;
  if (node.mSettings.mControl && node.mDisk.mHard.storage().empty()) {
    const bool founds = aFounding && seed;
    node.mDisk = FreshDisk(mSeeds, founds, founds ? 0 : Random());
    node.mSyncedDisk = node.mDisk;
  }
  // The files hold what a killed process has written, but until the next sync a
  // power loss still takes what that process had not synced.
  for (consensus::Write& write : node.mUnsynced) {
    write.mSequence = 0;
  }
  node.mAlive = true;
  node.mInbox = fleet::Inbox();
  // Command ids are unique only within one process.
  node.mOutcomes.clear();
  node.mBusyUntil = mNow;
  fleet::Output output;
  node.mState = fleet::Open(node.mSettings, node.mDisk, mNow, Random(), output);
  ProcessOutput(aAddress, output);
}

void FleetSimulation::StartFleet(int aHostsWithDisk,
                                 int aHostsWithoutDisk,
                                 int aToleratedLosses)
{
  mToleratedLosses = aToleratedLosses;
  for (int i = 1; i <= std::min(3, aHostsWithDisk); ++i) {
    mSeeds.push_back("10.0.0." + std::to_string(i) + ":1");
  }
  for (int i = 1; i <= aHostsWithDisk + aHostsWithoutDisk; ++i) {
    Add("10.0.0." + std::to_string(i) + ":1", i <= aHostsWithDisk);
  }
  for (const std::string& address : Addresses()) {
    Start(address, true);
  }
}

void FleetSimulation::StartSpreadFleet(int aDataCentres,
                                       int aHostsWithoutDisk,
                                       int aToleratedLosses)
{
  mToleratedLosses = aToleratedLosses;
  const auto control = [](int aIndex) {
    return "10.0." + std::to_string(aIndex) + ".1:1";
  };
  for (int i = 0; i < std::min(3, aDataCentres); ++i) {
    mSeeds.push_back(control(i));
  }
  for (int i = 0; i < aDataCentres; ++i) {
    Add(control(i), true, "dc" + std::to_string(i));
  }
  for (int i = 0; i < aHostsWithoutDisk; ++i) {
    const int place = i % aDataCentres;
    Add("10.1." + std::to_string(place) + "." + std::to_string(i) + ":1",
        false,
        "dc" + std::to_string(place));
  }
  for (const std::string& address : Addresses()) {
    Start(address, true);
  }
}

void FleetSimulation::Stop(const std::string& aAddress)
{
  fleet::Output output;
  fleet::BeginStop(mNodes.at(aAddress).mState, mNow, output);
  ProcessOutput(aAddress, output);
}

void FleetSimulation::SetReady(const std::string& aAddress)
{
  fleet::Output output;
  fleet::SetReady(mNodes.at(aAddress).mState, mNow, true, output);
  ProcessOutput(aAddress, output);
}

void FleetSimulation::LosePower(const std::string& aAddress)
{
  FleetNode& node = mNodes.at(aAddress);
  node.mAlive = false;
  node.mUnsynced.clear();
  node.mDisk = node.mSyncedDisk;
  if (mLosesSyncedWrites && !node.mDisk.mEntries.empty()) {
    node.mDisk.mEntries.pop_back();
  }
}

void FleetSimulation::Wipe(const std::string& aAddress)
{
  FleetNode& node = mNodes.at(aAddress);
  node.mUnsynced.clear();
  node.mDisk = consensus::Recovered();
  node.mSyncedDisk = consensus::Recovered();
}

void FleetSimulation::MarkSynced(FleetNode& aNode, std::uint64_t aSequence)
{
  while (!aNode.mUnsynced.empty() &&
         aNode.mUnsynced.front().mSequence <= aSequence) {
    ApplyWrite(aNode.mSyncedDisk, aNode.mUnsynced.front());
    aNode.mUnsynced.pop_front();
  }
}

void FleetSimulation::ProcessOutput(const std::string& aAddress,
                                    const fleet::Output& aOutput)
{
  FleetNode& node = mNodes.at(aAddress);
  for (const consensus::Write& write : aOutput.mWrites) {
    ApplyWrite(node.mDisk, write);
    node.mUnsynced.push_back(write);
    mSyncs.emplace(
      mNow + kSyncTime,
      PendingSync{ aAddress, node.mSettings.mIncarnation, write.mSequence });
  }
  for (const auto& [to, message] : aOutput.mMessages) {
    SentMessage sent{ aAddress, to, message };
    if (mForgesLeaderChecks && message.consensus().has_leader_check()) {
      ForgeLeaderCheckReply(sent);
    }
    if (IsPartitioned(aAddress, to) || (mShouldDrop && mShouldDrop(sent))) {
      continue;
    }
    ChargeProcessorTime(node, message);
    mQueue.emplace(mNow + kOneWayDelay, std::move(sent));
  }
  for (const fleet::Completion& done : aOutput.mDone) {
    node.mOutcomes[done.mId] = done;
  }
  for (const fleet::LogLine& note : aOutput.mLogLines) {
    node.mLogLines.push_back(note.mText);
  }
}

void FleetSimulation::ForgeLeaderCheckReply(const SentMessage& aCheck)
{
  const wire::ConsensusMessage& check = aCheck.mMessage.consensus();
  SentMessage reply;
  reply.mFrom = aCheck.mTo;
  reply.mTo = aCheck.mFrom;
  reply.mMessage.set_from_address(aCheck.mTo);
  wire::ConsensusMessage& forged = *reply.mMessage.mutable_consensus();
  forged.set_from(check.to());
  forged.set_from_storage(check.to().substr(check.to().rfind('/') + 1));
  forged.set_to(check.from());
  forged.set_term(check.term());
  forged.mutable_leader_check_reply()->set_round(check.leader_check().round());
  mQueue.emplace(mNow + kOneWayDelay, std::move(reply));
}

bool FleetSimulation::IsPartitioned(const std::string& aFrom,
                                    const std::string& aTo) const
{
  return mIsolated.count(aFrom) + mIsolated.count(aTo) != 0 ||
         (mIsolatedFromControl.count(aFrom) != 0 && IsControl(aTo)) ||
         (mIsolatedFromControl.count(aTo) != 0 && IsControl(aFrom));
}

void FleetSimulation::ChargeProcessorTime(FleetNode& aNode,
                                          const wire::FleetMessage& aMessage)
{
  const Micros each = aNode.mSettings.mControl
                        ? mProcessingCost.mPerControlHostMessage
                        : mProcessingCost.mPerOtherHostMessage;
  const auto bytes = static_cast<Micros>(aMessage.ByteSizeLong());
  aNode.mBusyUntil = std::max(aNode.mBusyUntil, mNow) + each +
                     mProcessingCost.mPerKilobyte * bytes / 1024;
}

// A host may start work whenever it is idle before the end of the step.
bool FleetSimulation::HasProcessorTime(const FleetNode& aNode) const
{
  return aNode.mBusyUntil < mNow + kStepTime;
}

void FleetSimulation::ProcessInbox(const std::string& aAddress,
                                   FleetNode& aNode)
{
  while (aNode.mAlive && !aNode.mInbox.IsEmpty() && HasProcessorTime(aNode)) {
    for (const wire::FleetMessage& message : aNode.mInbox.Take(1)) {
      ChargeProcessorTime(aNode, message);
      fleet::Output output;
      fleet::Receive(aNode.mState, mNow, Random(), message, output);
      ProcessOutput(aAddress, output);
    }
  }
}

void FleetSimulation::CompleteDueSyncs()
{
  while (!mSyncs.empty() && mSyncs.begin()->first <= mNow) {
    const PendingSync sync = mSyncs.begin()->second;
    mSyncs.erase(mSyncs.begin());
    FleetNode& node = mNodes.at(sync.mAddress);
    if (!node.mAlive || node.mSettings.mIncarnation != sync.mIncarnation) {
      continue;
    }
    if (mStalledDisks.count(sync.mAddress) + mSuspended.count(sync.mAddress) !=
        0) {
      mSyncs.emplace(mNow + kStepTime, sync);
      continue;
    }
    MarkSynced(node, sync.mSequence);
    fleet::Output output;
    fleet::Synced(node.mState, mNow, sync.mSequence, output);
    ProcessOutput(sync.mAddress, output);
  }
}

void FleetSimulation::Advance(Micros aTime)
{
  const Micros end = mNow + aTime;
  while (mNow < end) {
    mNow += kStepTime;
    CompleteDueSyncs();
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      const SentMessage sent = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      const auto node = mNodes.find(sent.mTo);
      if (node != mNodes.end() && node->second.mAlive) {
        (void)node->second.mInbox.Put(sent.mMessage.SerializeAsString(), mNow);
        if (mSuspended.count(sent.mTo) == 0) {
          ProcessInbox(sent.mTo, node->second);
        }
      }
    }
    for (auto& [address, node] : mNodes) {
      if (mSuspended.count(address) != 0) {
        continue;
      }
      if (node.mAlive && HasProcessorTime(node) &&
          mNow >= fleet::NextTick(node.mState)) {
        fleet::Output output;
        fleet::Tick(node.mState, mNow, Random(), output);
        ProcessOutput(address, output);
      }
      ProcessInbox(address, node);
    }
  }
}

bool FleetSimulation::RunUntil(Micros aTimeout,
                               const std::function<bool()>& aCondition)
{
  const Micros end = mNow + aTimeout;
  while (!aCondition()) {
    if (mNow >= end) {
      return false;
    }
    Advance(kStepTime);
  }
  return true;
}

void FleetSimulation::Deliver(SentMessage aSent)
{
  mQueue.emplace(mNow + kOneWayDelay, std::move(aSent));
}

std::uint64_t FleetSimulation::Submit(const std::string& aAddress,
                                      const wire::CatalogCommand& aCommand,
                                      Micros aTimeout)
{
  fleet::Output output;
  const std::uint64_t id =
    fleet::Submit(mNodes.at(aAddress).mState, mNow, aCommand, aTimeout, output);
  ProcessOutput(aAddress, output);
  return id;
}

void FleetSimulation::ShareFact(const std::string& aAddress, gossip::Item aFact)
{
  fleet::Output output;
  fleet::ShareFact(mNodes.at(aAddress).mState, mNow, std::move(aFact), output);
  ProcessOutput(aAddress, output);
}

bool FleetSimulation::Commit(const std::string& aAddress,
                             const wire::CatalogCommand& aCommand)
{
  const std::uint64_t id = Submit(aAddress, aCommand);
  FleetNode& node = mNodes.at(aAddress);
  (void)RunUntil(2 * kSecond, [&] { return node.mOutcomes.count(id) != 0; });
  const auto found = node.mOutcomes.find(id);
  return found != node.mOutcomes.end() &&
         found->second.mEnd == fleet::SubmitResult::Committed &&
         found->second.mOutcome.accepted();
}

std::uint64_t FleetSimulation::GroupStatusQueries() const
{
  std::uint64_t asked = 0;
  for (const auto& [address, node] : mNodes) {
    asked += node.mState.mCounters.mConfirmationQueries;
  }
  return asked;
}

int FleetSimulation::HostsOutOfTouch() const
{
  return static_cast<int>(
    std::count_if(mNodes.begin(), mNodes.end(), [this](const auto& aEntry) {
      return !IsInTouch(aEntry.second.mState, mNow);
    }));
}

Micros FleetSimulation::MessageDelay(const std::string& aAddress) const
{
  const FleetNode& node = mNodes.at(aAddress);
  return std::max(node.mInbox.LongestWait(mNow), node.mBusyUntil - mNow);
}

std::string FleetSimulation::Leader() const
{
  for (const auto& [address, node] : mNodes) {
    if (node.mAlive && mIsolated.count(address) == 0 &&
        consensus::IsLeader(node.mState.mGroup)) {
      return address;
    }
  }
  return "";
}

std::vector<std::string> FleetSimulation::VoterAddresses() const
{
  std::vector<std::string> voters;
  const std::string leader = Leader();
  if (leader.empty()) {
    return voters;
  }
  const auto& members = mNodes.at(leader).mState.mGroup.mMembership.members();
  for (const wire::Member& member : members) {
    if (member.voter()) {
      voters.push_back(member.address());
    }
  }
  return voters;
}

std::vector<std::string> FleetSimulation::Addresses() const
{
  std::vector<std::string> addresses;
  addresses.reserve(mNodes.size());
  for (const auto& [address, node] : mNodes) {
    addresses.push_back(address);
  }
  return addresses;
}

wire::CatalogCommand PutPolicyCommand(std::uint64_t aVersion,
                                      std::uint64_t aBase,
                                      const std::string& aText)
{
  wire::CatalogCommand command;
  *command.mutable_put_policy() =
    catalog::MakePolicyChange(aVersion, aBase, aText);
  return command;
}

wire::CatalogCommand PutTargetCommand(const std::string& aId,
                                      std::uint64_t aSequence,
                                      bool aDraining)
{
  wire::CatalogCommand command;
  wire::TargetRecord& record = *command.mutable_put_target();
  record.set_id(aId);
  record.set_service("service");
  record.set_address("10.9.0.1:80");
  record.set_slots(4);
  record.set_sequence(aSequence);
  record.set_draining(aDraining);
  return command;
}

} // namespace geraniumpond::fakes
