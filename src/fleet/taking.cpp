#include "internal.h"

// What a host without a vote takes of the catalog from others.
namespace geraniumpond::fleet {

namespace {

Result<catalog::State> ReadSnapshot(const wire::FollowReply& aMessage)
{
  if (aMessage.packed_snapshot().empty()) {
    return catalog::Load(aMessage.snapshot());
  }
  Result<std::string> bytes = catalog::Decompress(aMessage.packed_snapshot());
  if (!bytes) {
    return bytes.error();
  }
  return catalog::Load(bytes.value());
}

void TakeSnapshot(State& aState,
                  const std::string& aFrom,
                  const wire::FollowReply& aMessage,
                  Output& aOut)
{
  Result<catalog::State> loaded = ReadSnapshot(aMessage);
  if (!loaded) {
    aOut.mNotes.push_back({ 3,
                            "event=snapshot_unreadable reason=\"" +
                              loaded.error().mMessage + "\"" });
    return;
  }
  // A policy that came ahead may be newer than the snapshot's.
  const wire::PutPolicy known = aState.mCatalog.mChange;
  aState.mCatalog = std::move(loaded.value());
  (void)catalog::ReplacePolicy(aState.mCatalog, known);
  aState.mApplied = aMessage.snapshot_index();
  aState.mRecentBase = aState.mApplied;
  aState.mRecent.clear();
  aState.mRecentBytes = 0;
  aOut.mPolicyChanged = true;
  aOut.mTargetsChanged = true;
  aOut.mNotes.push_back(
    { 1,
      "event=catalog_taken from=" + aFrom +
        " index=" + std::to_string(aState.mApplied) +
        " version=" + std::to_string(aState.mCatalog.mVersion) +
        " sender_in_touch=" + (aMessage.in_touch() ? "yes" : "no") });
}

} // namespace

// The catalog only moves forward: what is older than the last index is void.
void TakeCommands(State& aState,
                  const std::string& aFrom,
                  const wire::FollowReply& aMessage,
                  Output& aOut)
{
  const bool snapshot =
    !aMessage.snapshot().empty() || !aMessage.packed_snapshot().empty();
  if (snapshot && aMessage.snapshot_index() > aState.mApplied) {
    TakeSnapshot(aState, aFrom, aMessage, aOut);
  }
  if (aMessage.has_policy() &&
      catalog::ReplacePolicy(aState.mCatalog, aMessage.policy())) {
    aOut.mPolicyChanged = true;
  }
  // A message before this one was lost: the next report asks for all again.
  if (aMessage.commands_after() > aState.mApplied) {
    return;
  }
  for (const wire::CommittedCommand& command : aMessage.commands()) {
    if (command.index() > aState.mApplied) {
      ApplyCommand(aState, command.command(), aOut);
      aState.mApplied = command.index();
      Remember(aState, command.index(), command.command());
    }
  }
  // Only a relay has use for what it has taken.
  if (aState.mFollowers.empty()) {
    aState.mRecent.clear();
    aState.mRecentBytes = 0;
    aState.mRecentBase = aState.mApplied;
  }
}

} // namespace geraniumpond::fleet
