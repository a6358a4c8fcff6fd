#include "internal.h"

#include <algorithm>

namespace geraniumpond::consensus {

namespace {

// The last membership in the log is in effect, committed or not.
void RefreshMembership(State& aState)
{
  for (auto it = aState.mLog.rbegin(); it != aState.mLog.rend(); ++it) {
    if (it->has_membership()) {
      aState.mMembership = it->membership();
      aState.mMembershipIndex = it->index();
      return;
    }
  }
  aState.mMembership = aState.mSnapshot.membership();
  aState.mMembershipIndex = aState.mSnapshot.index();
}

wire::HardState HardStateOf(const State& aState)
{
  wire::HardState hard;
  hard.set_term(aState.mTerm);
  hard.set_voted_for(aState.mVotedFor);
  hard.set_storage(aState.mStorage);
  return hard;
}

void TrackUnsynced(State& aState)
{
  const std::uint64_t last = LastIndex(aState);
  if (!aState.mUnsynced.empty() &&
      aState.mUnsynced.back().first == aState.mWriteSequence) {
    aState.mUnsynced.back().second = last;
    return;
  }
  aState.mUnsynced.emplace_back(aState.mWriteSequence, last);
}

std::vector<wire::LogRecord> RetainedRecords(const State& aState)
{
  std::vector<wire::LogRecord> records;
  records.emplace_back();
  *records.back().mutable_hard_state() = HardStateOf(aState);
  for (const wire::Entry& entry : aState.mLog) {
    records.emplace_back();
    *records.back().mutable_entry() = entry;
  }
  return records;
}

void WriteSnapshot(State& aState, Output& aOut)
{
  Write write;
  write.mSequence = ++aState.mWriteSequence;
  write.mSnapshot = aState.mSnapshot;
  write.mRetainedRecords = RetainedRecords(aState);
  aOut.mWrites.push_back(std::move(write));
  TrackUnsynced(aState);
}

} // namespace

std::uint64_t LastIndex(const State& aState) noexcept
{
  return aState.mLog.empty() ? aState.mSnapshot.index()
                             : aState.mLog.back().index();
}

const wire::Entry* EntryAt(const State& aState, std::uint64_t aIndex) noexcept
{
  if (aState.mLog.empty() || aIndex < aState.mLog.front().index() ||
      aIndex > aState.mLog.back().index()) {
    return nullptr;
  }
  return &aState.mLog[aIndex - aState.mLog.front().index()];
}

std::optional<std::uint64_t> TermAt(const State& aState,
                                    std::uint64_t aIndex) noexcept
{
  if (aIndex == 0) {
    return 0;
  }
  if (const wire::Entry* entry = EntryAt(aState, aIndex)) {
    return entry->term();
  }
  if (aIndex == aState.mSnapshot.index()) {
    return aState.mSnapshot.term();
  }
  return std::nullopt;
}

Write& OpenWrite(State& aState, Output& aOut)
{
  if (aOut.mWrites.empty() || aOut.mWrites.back().mSnapshot) {
    Write write;
    write.mSequence = ++aState.mWriteSequence;
    aOut.mWrites.push_back(std::move(write));
  }
  return aOut.mWrites.back();
}

void WriteHardState(State& aState, Output& aOut)
{
  Write& write = OpenWrite(aState, aOut);
  write.mRecords.emplace_back();
  *write.mRecords.back().mutable_hard_state() = HardStateOf(aState);
  TrackUnsynced(aState);
}

void AppendEntries(State& aState,
                   const std::vector<wire::Entry>& aEntries,
                   Output& aOut)
{
  if (aEntries.empty()) {
    return;
  }
  Write& write = OpenWrite(aState, aOut);
  for (const wire::Entry& entry : aEntries) {
    aState.mLog.push_back(entry);
    write.mRecords.emplace_back();
    *write.mRecords.back().mutable_entry() = entry;
    if (entry.has_membership()) {
      aState.mMembership = entry.membership();
      aState.mMembershipIndex = entry.index();
    }
  }
  TrackUnsynced(aState);
}

void TruncateFrom(State& aState, std::uint64_t aIndex, Output& aOut)
{
  while (!aState.mLog.empty() && aState.mLog.back().index() >= aIndex) {
    aState.mLog.pop_back();
  }
  aState.mSyncedIndex = std::min(aState.mSyncedIndex, aIndex - 1);
  Write& write = OpenWrite(aState, aOut);
  write.mRecords.emplace_back();
  write.mRecords.back().set_truncate_from(aIndex);
  RefreshMembership(aState);
  TrackUnsynced(aState);
}

void InstallSnapshot(State& aState,
                     const wire::Snapshot& aSnapshot,
                     Output& aOut)
{
  const bool suffixMatches =
    TermAt(aState, aSnapshot.index()) == aSnapshot.term();
  if (!suffixMatches) {
    aState.mLog.clear();
  }
  while (!aState.mLog.empty() &&
         aState.mLog.front().index() <= aSnapshot.index()) {
    aState.mLog.pop_front();
  }
  aState.mSnapshot = aSnapshot;
  aState.mCommit = aSnapshot.index();
  aState.mApplied = aSnapshot.index();
  aState.mSyncedIndex = 0;
  RefreshMembership(aState);
  WriteSnapshot(aState, aOut);
  aOut.mInstall = aSnapshot;
}

void TakeSnapshot(State& aState, std::string aAppliedState, Output& aOut)
{
  const std::uint64_t index = aState.mApplied;
  if (index <= aState.mSnapshot.index()) {
    return;
  }
  wire::Snapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(TermAt(aState, index).value_or(0));
  *snapshot.mutable_membership() = aState.mSnapshot.membership();
  for (const wire::Entry& entry : aState.mLog) {
    if (entry.index() <= index && entry.has_membership()) {
      *snapshot.mutable_membership() = entry.membership();
    }
  }
  snapshot.set_state(std::move(aAppliedState));
  aState.mSnapshot = std::move(snapshot);
  const std::size_t retained = aState.mOptions.mRetainedEntries;
  while (!aState.mLog.empty() && aState.mLog.front().index() <= index &&
         aState.mLog.size() > retained + (LastIndex(aState) - index)) {
    aState.mLog.pop_front();
  }
  WriteSnapshot(aState, aOut);
}

bool NeedsSnapshot(const State& aState) noexcept
{
  return aState.mApplied >=
         aState.mSnapshot.index() + aState.mOptions.mSnapshotInterval;
}

void CommitTo(State& aState, std::uint64_t aIndex, Output& aOut)
{
  aState.mCommit =
    std::max(aState.mCommit, std::min(aIndex, LastIndex(aState)));
  while (aState.mApplied < aState.mCommit) {
    ++aState.mApplied;
    aOut.mCommitted.push_back(*EntryAt(aState, aState.mApplied));
  }
}

void MarkSynced(State& aState, std::uint64_t aSequence, Output& aOut)
{
  if (aState.mFailed) {
    return;
  }
  aState.mSyncedSequence = std::max(aState.mSyncedSequence, aSequence);
  while (!aState.mUnsynced.empty() &&
         aState.mUnsynced.front().first <= aState.mSyncedSequence) {
    aState.mSyncedIndex = aState.mUnsynced.front().second;
    aState.mUnsynced.pop_front();
  }
  while (!aState.mDeferredMessages.empty() &&
         aState.mDeferredMessages.front().mAfterWrite <=
           aState.mSyncedSequence) {
    aOut.mMessages.push_back(
      std::move(aState.mDeferredMessages.front().mMessage));
    aState.mDeferredMessages.pop_front();
  }
  if (aState.mRole == Role::Leader) {
    AdvanceCommit(aState, aOut);
  }
}

State Open(const std::string& aId,
           const Recovered& aRecovered,
           Micros aNow,
           std::uint64_t aRandom,
           Output& aOut)
{
  State state;
  state.mId = aId;
  state.mOpenedAt = aNow;
  state.mStorage = aRecovered.mHard.storage();
  state.mTerm = aRecovered.mHard.term();
  state.mVotedFor = aRecovered.mHard.voted_for();
  state.mSnapshot = aRecovered.mSnapshot;
  state.mCommit = aRecovered.mSnapshot.index();
  state.mApplied = state.mCommit;
  for (const wire::Entry& entry : aRecovered.mEntries) {
    state.mLog.push_back(entry);
  }
  // A process that was killed may not have synced what it wrote, and a power
  // loss would still take it: nothing that was read is acknowledged before the
  // first sync.
  (void)OpenWrite(state, aOut);
  TrackUnsynced(state);
  RefreshMembership(state);
  state.mRole = MayCampaign(state) ? Role::Follower : Role::Learner;
  ResetElection(state, aNow, aRandom);
  return state;
}

} // namespace geraniumpond::consensus
