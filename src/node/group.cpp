#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr Micros kJoinInterval = 500 * kMillisecond;
// A member is removed only after it has been silent for this long.
constexpr Micros kRemovableAfter = 3 * kSecond;
// Maximum number of entries that a learner may lag behind to become a voter.
constexpr std::uint64_t kMaxLearnerLag = 10;

void Reply(Context& aContext,
           const CommitWaiter& aWaiter,
           const wire::CommandOutcome& aOutcome)
{
  wire::ProposalReply reply;
  reply.set_id(aWaiter.mProposal);
  reply.set_leader(aContext.Self());
  *reply.mutable_outcome() = aOutcome;
  if (aWaiter.mFrom == aContext.Self()) {
    HandleProposalReply(aContext, reply);
    return;
  }
  wire::PeerMessage message;
  *message.mutable_proposal_reply() = std::move(reply);
  SendTo(aContext, aWaiter.mFrom, std::move(message));
}

void ApplyEntry(Context& aContext, const wire::Entry& aEntry)
{
  State& state = aContext.mState;
  if (aEntry.command().empty()) {
    return;
  }
  wire::Command command;
  if (!command.ParseFromString(aEntry.command())) {
    aContext.Count("commands_unreadable");
    return;
  }
  const wire::CommandOutcome outcome = control::Apply(state.mControl, command);
  if (outcome.has_change() && outcome.change().accepted()) {
    const wire::DeploymentVersion* latest = control::Latest(state.mControl);
    if (latest != nullptr && latest->version() > state.mVersion.version()) {
      AdoptDeployment(aContext, *latest);
      if (consensus::IsLeader(state.mGroup)) {
        PushDeployment(aContext, true);
      }
    }
  }
  const auto waiter = state.mCommitWaiters.find(aEntry.index());
  if (waiter == state.mCommitWaiters.end()) {
    return;
  }
  const CommitWaiter found = waiter->second;
  state.mCommitWaiters.erase(waiter);
  // A different term means that another leader's entry replaced the proposal.
  if (found.mTerm == aEntry.term()) {
    Reply(aContext, found, outcome);
  }
}

void InstallSnapshot(Context& aContext, const wire::Snapshot& aSnapshot)
{
  State& state = aContext.mState;
  if (aSnapshot.state().empty()) {
    return;
  }
  Result<control::State> loaded = control::Load(aSnapshot.state());
  if (!loaded) {
    aContext.Log(kError, "snapshot: " + loaded.error().mMessage);
    consensus::MarkFailed(state.mGroup);
    return;
  }
  state.mControl = std::move(loaded.value());
  const wire::DeploymentVersion* latest = control::Latest(state.mControl);
  if (latest != nullptr) {
    AdoptDeployment(aContext, *latest);
  }
}

void Persist(Context& aContext, consensus::Write& aWrite)
{
  wire::Persist& persist = *aContext.Add().mutable_persist();
  persist.set_sequence(aWrite.mSequence);
  for (wire::LogRecord& record : aWrite.mRecords) {
    *persist.add_records() = std::move(record);
  }
  if (!aWrite.mSnapshot) {
    return;
  }
  *persist.mutable_snapshot() = *aWrite.mSnapshot;
  for (wire::LogRecord& record : aWrite.mRetainedRecords) {
    *persist.add_retained() = std::move(record);
  }
}

// The cost of a snapshot is proportional to the size of the state; it is taken
// once the log has half as many entries as the snapshot would have records.
bool IsSnapshotDue(const State& aState)
{
  const std::uint64_t entries =
    aState.mGroup.mApplied - aState.mGroup.mSnapshot.index();
  return consensus::NeedsSnapshot(aState.mGroup) &&
         entries >= aState.mControl.mKeys.mRecords.size() / 2;
}

void SendAll(Context& aContext, consensus::Output& aOutput)
{
  for (wire::ConsensusMessage& message : aOutput.mMessages) {
    const std::string to = message.to();
    wire::PeerMessage peer;
    *peer.mutable_consensus() = std::move(message);
    SendTo(aContext, to, std::move(peer));
  }
}

void ProposeMembership(Context& aContext, const wire::Membership& aNext)
{
  consensus::Output output;
  const Result<std::uint64_t> index = consensus::ChangeMembership(
    aContext.mState.mGroup, aContext.mNow, aNext, output);
  if (index) {
    aContext.Count("membership_changes");
    ProcessConsensusOutput(aContext, std::move(output));
  }
}

// Promotes learners that have caught up to voters, one at a time.
void PromoteLearner(Context& aContext)
{
  const consensus::State& group = aContext.mState.mGroup;
  for (const wire::Member& member : group.mMembership.members()) {
    const auto progress = group.mProgress.find(member.id());
    if (member.voter() || progress == group.mProgress.end() ||
        progress->second.mMatch == 0 ||
        progress->second.mMatch + kMaxLearnerLag < group.mCommit) {
      continue;
    }
    wire::Membership next = group.mMembership;
    for (wire::Member& changed : *next.mutable_members()) {
      if (changed.id() == member.id()) {
        changed.set_voter(true);
      }
    }
    aContext.Log(kInfo, "control member " + member.id() + " becomes a voter");
    ProposeMembership(aContext, next);
    return;
  }
}

void SendJoinRequest(Context& aContext)
{
  State& state = aContext.mState;
  if (aContext.mNow < state.mJoinAt) {
    return;
  }
  state.mJoinAt = aContext.mNow + kJoinInterval;
  for (const wire::Peer& voter : state.mSettings.voters()) {
    if (voter.id() == aContext.Self()) {
      continue;
    }
    wire::PeerMessage message;
    wire::Member& member = *message.mutable_join_request()->mutable_member();
    member.set_id(aContext.Self());
    member.set_address(state.mSettings.peer_address());
    member.set_storage(state.mGroup.mStorage);
    SendTo(aContext, voter.id(), std::move(message));
  }
}

} // namespace

void StartGroup(Context& aContext, const wire::Started& aEvent)
{
  State& state = aContext.mState;
  consensus::Recovered recovered;
  recovered.mHard = aEvent.hard_state();
  recovered.mSnapshot = aEvent.snapshot();
  for (const wire::Entry& entry : aEvent.entries()) {
    recovered.mEntries.push_back(entry);
  }
  consensus::Output output;
  state.mGroup = consensus::Open(aEvent.settings().id(),
                                 recovered,
                                 aContext.mNow,
                                 aContext.NextRandom(),
                                 output);
  // This host does not await the sync of what an earlier process wrote.
  consensus::MarkSynced(state.mGroup, state.mGroup.mWriteSequence, output);
  InstallSnapshot(aContext, recovered.mSnapshot);
}

void TickGroup(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mSettings.control()) {
    return;
  }
  consensus::Output output;
  consensus::Tick(state.mGroup, aContext.mNow, aContext.NextRandom(), output);
  ProcessConsensusOutput(aContext, std::move(output));
  if (state.mGroup.mRole == consensus::Role::Learner && !state.mGroup.mFailed) {
    SendJoinRequest(aContext);
  }
  if (consensus::IsLeader(state.mGroup)) {
    PromoteLearner(aContext);
  }
}

void HandleConsensusMessage(Context& aContext,
                            const wire::ConsensusMessage& aMessage)
{
  State& state = aContext.mState;
  if (!state.mSettings.control()) {
    return;
  }
  consensus::Output output;
  consensus::Receive(
    state.mGroup, aContext.mNow, aContext.NextRandom(), aMessage, output);
  ProcessConsensusOutput(aContext, std::move(output));
}

void HandleSync(Context& aContext, std::uint64_t aSequence)
{
  consensus::Output output;
  consensus::MarkSynced(aContext.mState.mGroup, aSequence, output);
  ProcessConsensusOutput(aContext, std::move(output));
}

void HandleSyncFailure(Context& aContext, const std::string& aReason)
{
  aContext.Log(kError, "disk: " + aReason + "; this host no longer votes");
  aContext.Count("disk_failures");
  consensus::MarkFailed(aContext.mState.mGroup);
}

void HandleJoinRequest(Context& aContext, const wire::JoinRequest& aMessage)
{
  State& state = aContext.mState;
  const wire::Member& joiner = aMessage.member();
  if (!consensus::IsLeader(state.mGroup) ||
      !IsControlHost(state, joiner.id()) || joiner.storage().empty()) {
    return;
  }
  for (const wire::Member& member : state.mGroup.mMembership.members()) {
    if (member.id() != joiner.id()) {
      continue;
    }
    if (member.storage() == joiner.storage()) {
      return;
    }
    // The host rejoins with a replaced disk; remove its old member first.
    const Micros heard = state.mGroup.mProgress[joiner.id()].mHeardAt;
    if (aContext.mNow - heard > kRemovableAfter) {
      aContext.Log(kWarning,
                   "control member " + joiner.id() + " has a new disk");
      ProposeMembership(
        aContext,
        consensus::WithoutMember(state.mGroup.mMembership, joiner.id()));
    }
    return;
  }
  wire::Membership next = state.mGroup.mMembership;
  wire::Member& added = *next.add_members();
  added = joiner;
  added.set_voter(false);
  ProposeMembership(aContext, next);
}

void ProcessConsensusOutput(Context& aContext, consensus::Output aOutput)
{
  State& state = aContext.mState;
  if (aOutput.mInstall) {
    InstallSnapshot(aContext, *aOutput.mInstall);
  }
  for (consensus::Write& write : aOutput.mWrites) {
    Persist(aContext, write);
  }
  SendAll(aContext, aOutput);
  for (const wire::Entry& entry : aOutput.mCommitted) {
    ApplyEntry(aContext, entry);
  }
  if (!consensus::IsLeader(state.mGroup)) {
    state.mCommitWaiters.clear();
  }
  if (!aOutput.mCommitted.empty() && IsSnapshotDue(state)) {
    consensus::Output output;
    consensus::TakeSnapshot(
      state.mGroup, control::Save(state.mControl), output);
    ProcessConsensusOutput(aContext, std::move(output));
  }
}

} // namespace geraniumpond::node
