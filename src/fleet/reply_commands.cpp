#include "internal.h"

// Catalog updates that a host which does not vote receives in replies.
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

void InstallReplySnapshot(State& aState,
                          const std::string& aFrom,
                          const wire::FollowReply& aMessage,
                          Output& aOut)
{
  Result<catalog::State> loaded = ReadSnapshot(aMessage);
  if (!loaded) {
    aOut.mLogLines.push_back({ 3,
                               "event=snapshot_unreadable reason=\"" +
                                 loaded.error().mMessage + "\"" });
    return;
  }
  // A policy that was sent separately may be newer than the snapshot's.
  const wire::PutPolicy known = aState.mCatalog.mChange;
  aState.mCatalog = std::move(loaded.value());
  (void)catalog::ReplacePolicy(aState.mCatalog, known);
  aState.mApplied = aMessage.snapshot_index();
  aState.mRecentBase = aState.mApplied;
  aState.mRecentCommands.clear();
  aState.mRecentBytes = 0;
  aOut.mPolicyChanged = true;
  aOut.mTargetsChanged = true;
  aOut.mLogLines.push_back(
    { 1,
      "event=catalog_taken from=" + aFrom +
        " index=" + std::to_string(aState.mApplied) +
        " version=" + std::to_string(aState.mCatalog.mVersion) +
        " sender_in_touch=" + (aMessage.in_touch() ? "yes" : "no") });
}

} // namespace

// The catalog only moves forward: commands up to the applied index are ignored.
void ApplyReplyCommands(State& aState,
                        const std::string& aFrom,
                        const wire::FollowReply& aMessage,
                        Output& aOut)
{
  const bool snapshot =
    !aMessage.snapshot().empty() || !aMessage.packed_snapshot().empty();
  if (snapshot && aMessage.snapshot_index() > aState.mApplied) {
    InstallReplySnapshot(aState, aFrom, aMessage, aOut);
  }
  if (aMessage.has_policy() &&
      catalog::ReplacePolicy(aState.mCatalog, aMessage.policy())) {
    aOut.mPolicyChanged = true;
  }
  // An earlier message was lost: the next report requests the missing commands.
  if (aMessage.commands_after() > aState.mApplied) {
    return;
  }
  for (const wire::CommittedCommand& command : aMessage.commands()) {
    if (command.index() > aState.mApplied) {
      ApplyCommand(aState, command.command(), aOut);
      aState.mApplied = command.index();
      RecordCommand(aState, command.index(), command.command());
    }
  }
  // Only a relay needs to keep the commands.
  if (aState.mFollowers.empty()) {
    aState.mRecentCommands.clear();
    aState.mRecentBytes = 0;
    aState.mRecentBase = aState.mApplied;
  }
}

} // namespace geraniumpond::fleet
