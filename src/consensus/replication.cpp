#include "internal.h"

#include <algorithm>

namespace geraniumpond::consensus {

namespace {

// Time after which an unacknowledged snapshot is sent again.
constexpr Micros kSnapshotRetry = kSecond;

void SendSnapshot(State& aState,
                  const wire::Member& aMember,
                  Progress& aProgress,
                  Micros aNow,
                  Output& aOut)
{
  if (aProgress.mSnapshotSent && aNow - aProgress.mSentAt < kSnapshotRetry) {
    return;
  }
  aProgress.mSnapshotSent = true;
  aProgress.mSentAt = aNow;
  wire::ConsensusMessage message = NewMessage(aState, aMember.id());
  wire::SnapshotRequest& request = *message.mutable_snapshot_request();
  *request.mutable_snapshot() = aState.mSnapshot;
  request.set_round(aState.mRound);
  Send(std::move(message), aOut);
}

void SendAppend(State& aState,
                const wire::Member& aMember,
                Micros aNow,
                Output& aOut)
{
  Progress& progress = aState.mProgress[aMember.id()];
  const std::uint64_t prev = progress.mNext - 1;
  const std::optional<std::uint64_t> prevTerm = TermAt(aState, prev);
  const bool compacted = progress.mNext <= LastIndex(aState) &&
                         EntryAt(aState, progress.mNext) == nullptr;
  if (!prevTerm || compacted) {
    SendSnapshot(aState, aMember, progress, aNow, aOut);
    return;
  }
  wire::ConsensusMessage message = NewMessage(aState, aMember.id());
  wire::AppendRequest& request = *message.mutable_append_request();
  request.set_prev_index(prev);
  request.set_prev_term(*prevTerm);
  request.set_commit(aState.mCommit);
  request.set_round(aState.mRound);
  request.set_word_age_ms(static_cast<std::uint32_t>(
    (aNow - QuorumConfirmedAt(aState, aNow)) / kMillisecond));
  std::size_t remaining = aState.mOptions.mEntriesPerMessage;
  while (remaining > 0 && progress.mNext <= LastIndex(aState)) {
    *request.add_entries() = *EntryAt(aState, progress.mNext);
    ++progress.mNext;
    --remaining;
  }
  progress.mSentAt = aNow;
  Send(std::move(message), aOut);
}

void SendAppendReply(State& aState,
                     const std::string& aTo,
                     bool aSuccess,
                     std::uint64_t aIndex,
                     std::uint64_t aRound,
                     Output& aOut)
{
  wire::ConsensusMessage message = NewMessage(aState, aTo);
  wire::AppendReply& reply = *message.mutable_append_reply();
  reply.set_success(aSuccess);
  reply.set_index(aIndex);
  reply.set_round(aRound);
  reply.set_knows_joint(true);
  SendAfterSync(aState, std::move(message), aOut);
}

// First index of the conflicting term, so that the leader backs up by a term
// per round trip instead of an entry.
std::uint64_t ConflictHint(const State& aState, std::uint64_t aPrev)
{
  const std::uint64_t last = LastIndex(aState);
  if (aPrev > last) {
    return last + 1;
  }
  const std::optional<std::uint64_t> term = TermAt(aState, aPrev);
  std::uint64_t index = aPrev;
  while (index > aState.mCommit + 1 && TermAt(aState, index - 1) == term) {
    --index;
  }
  return std::max<std::uint64_t>(index, 1);
}

// Entries missing from the log; a conflicting suffix of the log is truncated.
std::vector<wire::Entry> NewEntries(State& aState,
                                    const wire::AppendRequest& aRequest,
                                    Output& aOut)
{
  std::vector<wire::Entry> newEntries;
  for (const wire::Entry& entry : aRequest.entries()) {
    if (entry.index() <= aState.mSnapshot.index()) {
      continue;
    }
    const std::optional<std::uint64_t> known = TermAt(aState, entry.index());
    if (newEntries.empty() && known == entry.term()) {
      continue;
    }
    if (newEntries.empty() && known) {
      TruncateFrom(aState, entry.index(), aOut);
    }
    newEntries.push_back(entry);
  }
  return newEntries;
}

std::uint64_t QuorumMatch(const State& aState)
{
  return ReachedByQuorum(
    aState, aState.mSyncedIndex, [](const Progress& aProgress) {
      return aProgress.mMatch;
    });
}

void SendTransfer(State& aState, Output& aOut)
{
  Send(
    [&] {
      wire::ConsensusMessage message = NewMessage(aState, aState.mTransferTo);
      message.mutable_transfer_request();
      return message;
    }(),
    aOut);
}

// The voter with the highest match index; empty if none has acknowledged any.
std::string MostAdvancedVoter(const State& aState)
{
  std::string best;
  std::uint64_t bestMatch = 0;
  for (const wire::Member& member : aState.mMembership.members()) {
    const auto progress = aState.mProgress.find(member.id());
    if (member.voter() && progress != aState.mProgress.end() &&
        progress->second.mMatch > bestMatch) {
      best = member.id();
      bestMatch = progress->second.mMatch;
    }
  }
  return best;
}

// A removed leader starts an election on a voter, since the group would
// otherwise have no leader until a voter times out.
void StepDownIfRemoved(State& aState, Output& aOut)
{
  if (aState.mCommit < aState.mMembershipIndex || IsVoter(aState)) {
    return;
  }
  aState.mTransferTo = MostAdvancedVoter(aState);
  if (!aState.mTransferTo.empty()) {
    SendTransfer(aState, aOut);
  }
  BecomeFollower(aState, aState.mTerm, "", aOut);
}

} // namespace

void Broadcast(State& aState, Micros aNow, Output& aOut)
{
  ++aState.mRound;
  aState.mBroadcastAt = aNow;
  for (const wire::Member& member : aState.mMembership.members()) {
    if (member.id() != aState.mId) {
      SendAppend(aState, member, aNow, aOut);
    }
  }
}

void AdvanceCommit(State& aState, Output& aOut)
{
  const std::uint64_t match = QuorumMatch(aState);
  if (match > aState.mCommit && TermAt(aState, match) == aState.mTerm) {
    // The first commit of a term tells members how much of the earlier log is
    // committed. They serve nothing until they know, so broadcast it at once.
    if (aState.mCommit < aState.mTermStart) {
      aState.mHeartbeatAt = 0;
    }
    CommitTo(aState, match, aOut);
    // The tick that sends the next heartbeat ends a joint membership.
    if (aState.mMembership.joint() && match >= aState.mMembershipIndex) {
      aState.mHeartbeatAt = 0;
    }
    StepDownIfRemoved(aState, aOut);
  }
}

void HandleAppendRequest(State& aState,
                         const wire::ConsensusMessage& aMessage,
                         Output& aOut)
{
  const wire::AppendRequest& request = aMessage.append_request();
  aState.mLeaderCommit = request.commit();
  const std::uint64_t prev = request.prev_index();
  const bool covered = prev <= aState.mSnapshot.index();
  if (!covered && TermAt(aState, prev) != request.prev_term()) {
    SendAppendReply(aState,
                    aMessage.from(),
                    false,
                    ConflictHint(aState, prev),
                    request.round(),
                    aOut);
    return;
  }
  const std::vector<wire::Entry> newEntries = NewEntries(aState, request, aOut);
  AppendEntries(aState, newEntries, aOut);
  const std::uint64_t sent =
    request.entries().empty()
      ? prev
      : request.entries(request.entries_size() - 1).index();
  const std::uint64_t matched = std::max(sent, aState.mSnapshot.index());
  CommitTo(aState, std::min(request.commit(), matched), aOut);
  SendAppendReply(
    aState, aMessage.from(), true, matched, request.round(), aOut);
}

void HandleAppendReply(State& aState,
                       Micros aNow,
                       const wire::ConsensusMessage& aMessage,
                       Output& aOut)
{
  const wire::Member* member = AnsweringMember(aState, aMessage);
  if (member == nullptr) {
    return;
  }
  const wire::AppendReply& reply = aMessage.append_reply();
  Progress& progress = aState.mProgress[member->id()];
  progress.mHeardAt = aNow;
  progress.mRound = std::max(progress.mRound, reply.round());
  progress.mKnowsJoint = reply.knows_joint();
  SendChecksIfDue(aState, aNow, aOut);
  if (!reply.success()) {
    const std::uint64_t before = progress.mNext;
    progress.mNext = std::max(progress.mMatch + 1,
                              std::min(reply.index(), LastIndex(aState) + 1));
    progress.mSnapshotSent = false;
    // Without progress, leave the retry to the next heartbeat: a member
    // that lost entries it had acknowledged would otherwise be sent requests as
    // fast as the network allows.
    if (progress.mNext < before) {
      SendAppend(aState, *member, aNow, aOut);
    }
    return;
  }
  progress.mSnapshotSent = false;
  progress.mMatch = std::max(progress.mMatch, reply.index());
  progress.mNext = std::max(progress.mNext, progress.mMatch + 1);
  AdvanceCommit(aState, aOut);
  if (aState.mRole != Role::Leader) {
    return;
  }
  if (aState.mTransferTo == member->id() &&
      progress.mMatch == LastIndex(aState)) {
    SendTransfer(aState, aOut);
    aState.mTransferTo.clear();
  }
  if (progress.mNext > LastIndex(aState)) {
    return;
  }
  const Micros batchAt = progress.mSentAt + aState.mOptions.mBatchInterval;
  if (aNow >= batchAt) {
    SendAppend(aState, *member, aNow, aOut);
  } else {
    aState.mHeartbeatAt = std::min(aState.mHeartbeatAt, batchAt);
  }
}

void HandleSnapshotRequest(State& aState,
                           const wire::ConsensusMessage& aMessage,
                           Output& aOut)
{
  const wire::SnapshotRequest& request = aMessage.snapshot_request();
  if (request.snapshot().index() > aState.mCommit) {
    InstallSnapshot(aState, request.snapshot(), aOut);
  }
  SendAppendReply(
    aState, aMessage.from(), true, aState.mCommit, request.round(), aOut);
}

Result<std::uint64_t> Propose(State& aState,
                              Micros aNow,
                              std::string aCommand,
                              Output& aOut)
{
  if (aState.mRole != Role::Leader || aState.mFailed ||
      !aState.mTransferTo.empty()) {
    return Fail(ErrorCode::NotLeader, aState.mLeader);
  }
  wire::Entry entry;
  entry.set_term(aState.mTerm);
  entry.set_index(LastIndex(aState) + 1);
  entry.set_command(std::move(aCommand));
  AppendEntries(aState, { entry }, aOut);
  // Broadcasting each of a thousand announcements by itself keeps a leader busy
  // for seconds.
  const Micros batchAt = aState.mBroadcastAt + aState.mOptions.mBatchInterval;
  if (aNow >= batchAt) {
    Broadcast(aState, aNow, aOut);
  } else {
    aState.mHeartbeatAt = std::min(aState.mHeartbeatAt, batchAt);
  }
  return entry.index();
}

void TransferLeadership(State& aState,
                        Micros aNow,
                        Output& aOut,
                        const std::set<std::string>& aExcept)
{
  if (aState.mRole != Role::Leader) {
    return;
  }
  std::uint64_t best = 0;
  for (const wire::Member& member : aState.mMembership.members()) {
    const Progress& progress = aState.mProgress[member.id()];
    const bool reachable =
      aNow - progress.mHeardAt < aState.mOptions.mElectionMin;
    if (member.voter() && member.id() != aState.mId && reachable &&
        aExcept.count(member.id()) == 0 && progress.mMatch + 1 > best) {
      best = progress.mMatch + 1;
      aState.mTransferTo = member.id();
      aState.mTransferUntil = aNow + aState.mOptions.mElectionMin;
    }
  }
  if (best == 0) {
    return;
  }
  if (best == LastIndex(aState) + 1) {
    SendTransfer(aState, aOut);
    aState.mTransferTo.clear();
  } else {
    Broadcast(aState, aNow, aOut);
  }
}

} // namespace geraniumpond::consensus
