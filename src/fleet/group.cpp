#include "internal.h"

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

constexpr Micros kJoinInterval = 300 * kMillisecond;
/// A member whose place a newcomer takes must have been silent for this long.
/// Shorter than any bound on how long a lost host may stay unreplaced, longer
/// than an election, so that a slow host is not taken for a lost one.
constexpr Micros kReplaceAfter = 2500 * kMillisecond;
/// A member that has not answered for this long may be lost: whoever asks to
/// join meanwhile waits until that is known, so that it takes the lost one's
/// place and the group does not grow by members that are gone.
constexpr Micros kMaybeLost = 700 * kMillisecond;
/// A learner must have answered within this time to become a voter.
constexpr Micros kPromoteWithin = 1 * kSecond;
/// A member that hears no leader for this long asks to join: the others may
/// have removed it while it was cut off.
constexpr Micros kRejoinAfter = 2 * kSecond;
/// A learner becomes a voter when it lacks no more than this many entries.
constexpr std::uint64_t kCaughtUp = 10;
/// Log bytes after which a snapshot is taken: a small part of a small disk.
constexpr std::uint64_t kSnapshotBytes = 2 * 1024 * 1024;

std::size_t VoterCount(const wire::Membership& aMembers)
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.members().begin(),
                  aMembers.members().end(),
                  [](const wire::Member& aMember) { return aMember.voter(); }));
}

std::string AddressOfMember(const State& aState, const std::string& aId)
{
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.id() == aId) {
      return member.address();
    }
  }
  // A member that was removed is still told so.
  return aId.substr(0, aId.find('/'));
}

void NoteMembership(State& aState)
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
  const ControlDate date{ consensus::TermAt(aState.mGroup, commit).value_or(0),
                          commit };
  aState.mControlDate = std::max(aState.mControlDate, date);
}

void InstallSnapshot(State& aState,
                     const wire::Snapshot& aSnapshot,
                     Output& aOut)
{
  aState.mApplied = aSnapshot.index();
  aState.mRecentBase = aSnapshot.index();
  aState.mRecent.clear();
  aState.mRecentBytes = 0;
  if (aSnapshot.state().empty()) {
    return;
  }
  Result<catalog::State> loaded = catalog::Load(aSnapshot.state());
  if (!loaded) {
    aOut.mNotes.push_back({ 3, "event=snapshot_unreadable" });
    consensus::Failed(aState.mGroup);
    return;
  }
  aState.mCatalog = std::move(loaded.value());
  aOut.mPolicyChanged = true;
  aOut.mTargetsChanged = true;
}

void AnswerWaiter(State& aState,
                  Micros aNow,
                  const wire::Entry& aEntry,
                  const wire::CatalogOutcome& aOutcome,
                  Output& aOut)
{
  const auto found = aState.mWaiters.find(aEntry.index());
  if (found == aState.mWaiters.end()) {
    return;
  }
  const Waiter waiter = found->second;
  aState.mWaiters.erase(found);
  // Another leader's entry took the place of the command.
  if (waiter.mTerm != aEntry.term()) {
    return;
  }
  wire::SubmitReply reply;
  reply.set_id(waiter.mId);
  reply.set_status(wire::SUBMIT_COMMITTED);
  *reply.mutable_outcome() = aOutcome;
  ReplySubmit(aState, aNow, waiter.mFrom, reply, aOut);
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
    aOut.mTargetsChanged = aOut.mTargetsChanged || command.has_put_target() ||
                           command.has_remove_target();
  } else {
    outcome.set_reason("unreadable command");
    aOut.mNotes.push_back(
      { 3,
        "event=command_unreadable index=" + std::to_string(aEntry.index()) });
  }
  if (!command.has_read_barrier()) {
    Remember(aState, aEntry.index(), aEntry.command());
  }
  AnswerWaiter(aState, aNow, aEntry, outcome, aOut);
}

void TakeSnapshotIfDue(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mLogBytes < kSnapshotBytes &&
      !consensus::WantsSnapshot(aState.mGroup)) {
    return;
  }
  aState.mLogBytes = 0;
  consensus::Output raft;
  consensus::TakeSnapshot(aState.mGroup, catalog::Save(aState.mCatalog), raft);
  Perform(aState, aNow, std::move(raft), aOut);
}

void Change(State& aState,
            Micros aNow,
            const wire::Membership& aNext,
            const std::string& aWhy,
            Output& aOut)
{
  consensus::Output raft;
  const Result<std::uint64_t> index =
    consensus::ChangeMembership(aState.mGroup, aNow, aNext, raft);
  if (!index) {
    return;
  }
  aOut.mNotes.push_back({ 1,
                          "event=members_change why=" + aWhy +
                            " voters=" + std::to_string(VoterCount(aNext)) +
                            " index=" + std::to_string(index.value()) });
  Perform(aState, aNow, std::move(raft), aOut);
}

wire::Membership Without(const wire::Membership& aMembers,
                         const std::string& aId)
{
  wire::Membership next;
  for (const wire::Member& member : aMembers.members()) {
    if (member.id() != aId) {
      *next.add_members() = member;
    }
  }
  return next;
}

// A learner that has caught up becomes a voter, one at a time.
void PromoteLearner(State& aState, Micros aNow, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  for (const wire::Member& member : group.mMembership.members()) {
    const auto progress = group.mProgress.find(member.id());
    if (member.voter() || progress == group.mProgress.end() ||
        progress->second.mMatch == 0 ||
        aNow - progress->second.mHeardAt > kPromoteWithin ||
        progress->second.mMatch + kCaughtUp < group.mCommit) {
      continue;
    }
    wire::Membership next = group.mMembership;
    for (wire::Member& changed : *next.mutable_members()) {
      if (changed.id() == member.id()) {
        changed.set_voter(true);
      }
    }
    Change(aState, aNow, next, "caught_up member=" + member.id(), aOut);
    return;
  }
}

bool IsSilent(const State& aState, const std::string& aId, Micros aNow)
{
  const auto progress = aState.mGroup.mProgress.find(aId);
  return progress == aState.mGroup.mProgress.end() ||
         aNow - progress->second.mHeardAt > kReplaceAfter;
}

// The member that a newcomer takes the place of: the one at its own address,
// else one that has been silent for long. A host that was only cut off asks to
// join again when it is back.
const wire::Member* ReplacedBy(const State& aState,
                               const wire::Member& aJoiner,
                               Micros aNow)
{
  const wire::Member* silent = nullptr;
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.address() == aJoiner.address()) {
      return &member;
    }
    if (member.id() != aState.mGroup.mId &&
        IsSilent(aState, member.id(), aNow)) {
      silent = &member;
    }
  }
  return silent;
}

bool IsAnyMaybeLost(const State& aState, Micros aNow)
{
  const consensus::State& group = aState.mGroup;
  for (const wire::Member& member : group.mMembership.members()) {
    const auto progress = group.mProgress.find(member.id());
    const bool heard = progress != group.mProgress.end() &&
                       progress->second.mMatch > 0 &&
                       aNow - progress->second.mHeardAt < kMaybeLost;
    if (member.id() != group.mId && member.voter() && !heard) {
      return true;
    }
  }
  return false;
}

void AskToJoin(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mJoinAt || aState.mGroup.mFailed) {
    return;
  }
  aState.mJoinAt = aNow + kJoinInterval;
  for (const std::string& address : ControlAndSeeds(aState)) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    wire::FleetMessage message;
    wire::Member& member = *message.mutable_join();
    member.set_id(aState.mGroup.mId);
    member.set_address(aState.mSettings.mPeerAddress);
    member.set_storage(aState.mGroup.mStorage);
    SendTo(aState, address, std::move(message), aOut);
  }
}

// A joiner may know other hosts than the leader. Only what it sends itself is
// passed on, so that no request goes around in circles.
void ForwardJoin(State& aState,
                 const wire::Member& aJoiner,
                 const std::string& aFrom,
                 Output& aOut)
{
  const std::string& leader = aState.mLeaderAddress;
  if (leader.empty() || leader == aState.mSettings.mPeerAddress ||
      aFrom != aJoiner.address()) {
    return;
  }
  wire::FleetMessage message;
  *message.mutable_join() = aJoiner;
  SendTo(aState, leader, std::move(message), aOut);
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
    aOut.mNotes.push_back({ 3, "event=command_unreadable" });
    return;
  }
  (void)catalog::Apply(aState.mCatalog, command);
  aOut.mPolicyChanged = aOut.mPolicyChanged || command.has_put_policy();
  aOut.mTargetsChanged = aOut.mTargetsChanged || command.has_put_target() ||
                         command.has_remove_target();
}

void TickGroup(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  consensus::Output raft;
  consensus::Tick(aState.mGroup, aNow, aRandom, raft);
  Perform(aState, aNow, std::move(raft), aOut);
  const bool leaderless = !consensus::IsLeader(aState.mGroup) &&
                          aNow - aState.mGroup.mHeardLeaderAt > kRejoinAfter;
  if (aState.mGroup.mRole == consensus::Role::Learner || leaderless) {
    AskToJoin(aState, aNow, aOut);
  }
  if (consensus::IsLeader(aState.mGroup)) {
    PromoteLearner(aState, aNow, aOut);
  }
}

void TakeConsensus(State& aState,
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
    aState.mCurrentAt = aNow;
  }
  Perform(aState, aNow, std::move(raft), aOut);
}

void TakeJoin(State& aState,
              Micros aNow,
              const std::string& aFrom,
              const wire::Member& aJoiner,
              Output& aOut)
{
  if (!consensus::IsLeader(aState.mGroup)) {
    ForwardJoin(aState, aJoiner, aFrom, aOut);
    return;
  }
  if (aJoiner.storage().empty()) {
    return;
  }
  const wire::Membership& members = aState.mGroup.mMembership;
  for (const wire::Member& member : members.members()) {
    if (member.id() == aJoiner.id()) {
      return;
    }
  }
  const wire::Member* replaced = ReplacedBy(aState, aJoiner, aNow);
  if (replaced != nullptr) {
    const std::string why = "replaced member=" + replaced->id();
    Change(aState, aNow, Without(members, replaced->id()), why, aOut);
    return;
  }
  if (IsAnyMaybeLost(aState, aNow)) {
    return;
  }
  wire::Membership next = members;
  wire::Member& added = *next.add_members();
  added = aJoiner;
  added.set_voter(false);
  Change(aState, aNow, next, "joined member=" + aJoiner.id(), aOut);
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
  const std::string leader = LeaderAddress(aState);
  if (leader != aState.mLeaderAddress) {
    aState.mLeaderAddress = leader;
    aOut.mNotes.push_back(
      { 1,
        "event=" +
          std::string(leader.empty() ? "leader_lost" : "leader_known") +
          " leader=" + leader +
          " term=" + std::to_string(aState.mGroup.mTerm) });
  }
  NoteMembership(aState);
  if (!consensus::IsLeader(aState.mGroup)) {
    aState.mWaiters.clear();
  }
  if (!aRaft.mCommitted.empty() || aRaft.mInstall) {
    PushToFollowers(aState, aNow, aOut);
    TakeSnapshotIfDue(aState, aNow, aOut);
  }
}

} // namespace geraniumpond::fleet
