#include "internal.h"

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// Size of the log at which a snapshot is taken: a small part of a small disk.
constexpr std::uint64_t kSnapshotBytes = 2 * 1024 * 1024;

std::string AddressOfMember(const State& aState, const std::string& aId)
{
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.id() == aId) {
      return member.address();
    }
  }
  // A removed member is still notified of its removal.
  return aId.substr(0, aId.find('/'));
}

void UpdateControlAddresses(State& aState)
{
  std::vector<std::string> addresses;
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.voter()) {
      addresses.push_back(member.address());
    }
  }
  if (addresses.empty()) {
    return;
  }
  aState.mControlAddresses = std::move(addresses);
  const std::uint64_t commit = aState.mGroup.mCommit;
  const MembershipVersion date{
    consensus::TermAt(aState.mGroup, commit).value_or(0), commit
  };
  aState.mMembershipVersion = std::max(aState.mMembershipVersion, date);
}

void InstallSnapshot(State& aState,
                     const wire::Snapshot& aSnapshot,
                     Output& aOut)
{
  aState.mApplied = aSnapshot.index();
  aState.mRecentBase = aSnapshot.index();
  aState.mRecentCommands.clear();
  aState.mRecentBytes = 0;
  if (aSnapshot.state().empty()) {
    return;
  }
  Result<catalog::State> loaded = catalog::Load(aSnapshot.state());
  if (!loaded) {
    aOut.mLogLines.push_back({ 3, "event=snapshot_unreadable" });
    consensus::MarkFailed(aState.mGroup);
    return;
  }
  aState.mCatalog = std::move(loaded.value());
  aOut.mPolicyChanged = true;
  aOut.mTargetsChanged = true;
}

void AnswerWaiters(State& aState,
                   Micros aNow,
                   const wire::Entry& aEntry,
                   const wire::CatalogOutcome& aOutcome,
                   Output& aOut)
{
  std::vector<Waiter> waiters;
  const auto [first, last] = aState.mWaiters.equal_range(aEntry.index());
  for (auto it = first; it != last; ++it) {
    waiters.push_back(std::move(it->second));
  }
  aState.mWaiters.erase(first, last);
  for (const Waiter& waiter : waiters) {
    // An entry of another leader replaced the command.
    if (waiter.mTerm != aEntry.term()) {
      continue;
    }
    wire::SubmitReply reply;
    reply.set_id(waiter.mId);
    reply.set_status(wire::SUBMIT_COMMITTED);
    *reply.mutable_outcome() = aOutcome;
    reply.mutable_more_ids()->Add(waiter.mMoreIds.begin(),
                                  waiter.mMoreIds.end());
    ReplySubmit(aState, aNow, waiter.mFrom, reply, aOut);
  }
}

void ForgetProposal(State& aState,
                    const wire::Entry& aEntry,
                    const wire::CatalogCommand& aCommand)
{
  const auto found = aState.mProposedTargets.find(aCommand.put_target().id());
  if (found != aState.mProposedTargets.end() &&
      found->second.mIndex <= aEntry.index()) {
    aState.mProposedTargets.erase(found);
  }
}

void ApplyEntry(State& aState,
                Micros aNow,
                const wire::Entry& aEntry,
                Output& aOut)
{
  aState.mApplied = aEntry.index();
  aState.mLogBytes += aEntry.command().size();
  if (aEntry.command().empty()) {
    return;
  }
  wire::CatalogCommand command;
  wire::CatalogOutcome outcome;
  if (command.ParseFromString(aEntry.command())) {
    outcome = catalog::Apply(aState.mCatalog, command);
    aOut.mPolicyChanged = aOut.mPolicyChanged || command.has_put_policy();
    aOut.mTargetsChanged =
      aOut.mTargetsChanged || catalog::ChangesTargets(command);
  } else {
    outcome.set_reason("unreadable command");
    aOut.mLogLines.push_back(
      { 3,
        "event=command_unreadable index=" + std::to_string(aEntry.index()) });
  }
  if (!command.has_read_barrier()) {
    RecordCommand(aState, aEntry.index(), aEntry.command());
  }
  ForgetProposal(aState, aEntry, command);
  AnswerWaiters(aState, aNow, aEntry, outcome, aOut);
}

void TakeSnapshotIfDue(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mLogBytes < kSnapshotBytes &&
      !consensus::NeedsSnapshot(aState.mGroup)) {
    return;
  }
  aState.mLogBytes = 0;
  consensus::Output raft;
  consensus::TakeSnapshot(aState.mGroup, catalog::Save(aState.mCatalog), raft);
  Perform(aState, aNow, std::move(raft), aOut);
}

// The silence on both sides distinguishes a slow leader from a lost one.
std::string DescribeSilence(const State& aState, Micros aNow)
{
  const consensus::State& group = aState.mGroup;
  if (aState.mLeaderAddress != aState.mSettings.mPeerAddress) {
    return " silent_ms=" +
           std::to_string((aNow - group.mHeardLeaderAt) / kMillisecond);
  }
  std::string heard;
  for (const auto& [id, progress] : group.mProgress) {
    if (id != group.mId) {
      heard += (heard.empty() ? "" : ",") +
               std::to_string((aNow - progress.mHeardAt) / kMillisecond);
    }
  }
  return " members_silent_ms=" + heard;
}

void UpdateLeader(State& aState, Micros aNow, Output& aOut)
{
  const std::string leader = LeaderAddress(aState);
  if (leader == aState.mLeaderAddress) {
    return;
  }
  const bool lost = leader.empty();
  aOut.mLogLines.push_back(
    { 1,
      "event=" + std::string(lost ? "leader_lost" : "leader_known") +
        " leader=" + leader + " term=" + std::to_string(aState.mGroup.mTerm) +
        (lost ? DescribeSilence(aState, aNow) : "") });
  aState.mLeaderAddress = leader;
}

} // namespace

std::string LeaderAddress(const State& aState)
{
  return aState.mGroup.mLeader.empty()
           ? ""
           : AddressOfMember(aState, aState.mGroup.mLeader);
}

void ApplyCommand(State& aState, const std::string& aCommand, Output& aOut)
{
  wire::CatalogCommand command;
  if (!command.ParseFromString(aCommand)) {
    aOut.mLogLines.push_back({ 3, "event=command_unreadable" });
    return;
  }
  (void)catalog::Apply(aState.mCatalog, command);
  aOut.mPolicyChanged = aOut.mPolicyChanged || command.has_put_policy();
  aOut.mTargetsChanged =
    aOut.mTargetsChanged || catalog::ChangesTargets(command);
}

void TickGroup(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  consensus::Output raft;
  consensus::Tick(aState.mGroup, aNow, aRandom, raft);
  Perform(aState, aNow, std::move(raft), aOut);
  MaintainMembers(aState, aNow, aOut);
}

void HandleConsensus(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut)
{
  if (!IsControlMember(aState)) {
    return;
  }
  consensus::Output raft;
  consensus::Receive(aState.mGroup, aNow, aRandom, aMessage, raft);
  if (aState.mGroup.mHeardLeaderAt == aNow &&
      consensus::IsCurrent(aState.mGroup)) {
    aState.mCaughtUpAt = consensus::QuorumConfirmedAt(aState.mGroup, aNow);
  }
  Perform(aState, aNow, std::move(raft), aOut);
}

void Perform(State& aState, Micros aNow, consensus::Output aRaft, Output& aOut)
{
  if (aRaft.mInstall) {
    InstallSnapshot(aState, *aRaft.mInstall, aOut);
  }
  for (consensus::Write& write : aRaft.mWrites) {
    aOut.mWrites.push_back(std::move(write));
  }
  for (wire::ConsensusMessage& message : aRaft.mMessages) {
    const std::string address = AddressOfMember(aState, message.to());
    wire::FleetMessage wrapped;
    *wrapped.mutable_consensus() = std::move(message);
    SendTo(aState, address, std::move(wrapped), aOut);
  }
  for (const wire::Entry& entry : aRaft.mCommitted) {
    ApplyEntry(aState, aNow, entry, aOut);
  }
  UpdateLeader(aState, aNow, aOut);
  UpdateControlAddresses(aState);
  if (!consensus::IsLeader(aState.mGroup)) {
    aState.mWaiters.clear();
    aState.mProposedTargets.clear();
  }
  AnswerReads(aState, aNow, aOut);
  if (!aRaft.mCommitted.empty() || aRaft.mInstall) {
    PushToFollowers(aState, aNow, aOut);
    TakeSnapshotIfDue(aState, aNow, aOut);
  }
}

} // namespace geraniumpond::fleet
