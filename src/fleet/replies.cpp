#include "internal.h"

#include <algorithm>
#include <limits>

// What followers are sent: commands, snapshots, policies and confirmations.
namespace geraniumpond::fleet {

namespace {

/// Committed commands kept for followers; a follower that lacks older ones
/// receives a snapshot.
constexpr std::size_t kRecentCommands = 4000;
constexpr std::uint64_t kRecentBytes = 2 * 1024 * 1024;
/// A follower that lacks more commands receives a snapshot if it can read a
/// compressed one, which is then smaller.
constexpr std::size_t kMaxCommands = 300;
/// Commands that are smaller than any policy worth leaving out are not parsed.
constexpr std::size_t kMinPolicyBytes = 512;
/// Stands for the policy version of a follower that takes policies only as
/// commands.
constexpr std::uint64_t kOnlyAsCommands =
  std::numeric_limits<std::uint64_t>::max();

const std::string& PackedCatalog(State& aState)
{
  const std::uint64_t version = aState.mCatalog.mVersion;
  if (aState.mPackedIndex != aState.mApplied ||
      aState.mPackedVersion != version || aState.mPackedCatalog.empty()) {
    aState.mPackedCatalog = catalog::Compress(catalog::Save(aState.mCatalog));
    aState.mPackedIndex = aState.mApplied;
    aState.mPackedVersion = version;
  }
  return aState.mPackedCatalog;
}

// The policy is sent in addition to a snapshot, which may be lost or slow.
void FillPolicy(const State& aState,
                Follower& aFollower,
                wire::FollowReply& aReply)
{
  if (aFollower.mPolicySent < aState.mCatalog.mVersion) {
    aFollower.mPolicySent = aState.mCatalog.mVersion;
    *aReply.mutable_policy() = aState.mCatalog.mChange;
  }
}

// A follower that takes a policy apart from its command gets the newest one,
// once; the commands keep their places in the log.
wire::CommittedCommand WithoutPolicy(const wire::CommittedCommand& aCommand)
{
  wire::CatalogCommand command;
  if (aCommand.command().size() < kMinPolicyBytes ||
      !command.ParseFromString(aCommand.command()) ||
      !command.has_put_policy()) {
    return aCommand;
  }
  wire::CommittedCommand place;
  place.set_index(aCommand.index());
  return place;
}

void FillSnapshot(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply)
{
  // On a slow link a snapshot takes longer than a report interval.
  if (aNow - aFollower.mSnapshotAt < kSnapshotRetry) {
    FillPolicy(aState, aFollower, aReply);
    return;
  }
  aFollower.mSnapshotAt = aNow;
  aFollower.mSnapshotIndex = aState.mApplied;
  aFollower.mSent = aState.mApplied;
  aFollower.mPolicySent = aState.mCatalog.mVersion;
  aReply.set_snapshot_index(aState.mApplied);
  ++aState.mCounters.mSnapshotsSent;
  if (aFollower.mCompact) {
    aReply.set_packed_snapshot(PackedCatalog(aState));
  } else {
    aReply.set_snapshot(catalog::Save(aState.mCatalog));
  }
}

} // namespace

bool NeedsPush(const State& aState, const Follower& aFollower)
{
  return aFollower.mSent < LastCommandIndex(aState) ||
         aFollower.mPolicySent < aState.mCatalog.mVersion ||
         aFollower.mHostsSequence < aState.mHostsUrgent;
}

// Hosts of an earlier version accept a policy only as a command.
std::uint64_t PolicyVersionOf(const wire::Follow& aMessage)
{
  return aMessage.has_policy_version() ? aMessage.policy_version()
                                       : kOnlyAsCommands;
}

// Other log entries, such as membership changes and read barriers, are not sent
// to followers.
std::uint64_t LastCommandIndex(const State& aState)
{
  return aState.mRecentCommands.empty() ? aState.mRecentBase
                                        : aState.mRecentCommands.back().index();
}

void FillCommands(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply)
{
  const std::uint64_t from = aFollower.mSent;
  if (from >= LastCommandIndex(aState)) {
    FillPolicy(aState, aFollower, aReply);
    return;
  }
  const auto first = std::upper_bound(
    aState.mRecentCommands.begin(),
    aState.mRecentCommands.end(),
    from,
    [](std::uint64_t aIndex, const wire::CommittedCommand& aCommand) {
      return aIndex < aCommand.index();
    });
  const auto count =
    static_cast<std::size_t>(aState.mRecentCommands.end() - first);
  if (from < aState.mRecentBase ||
      (aFollower.mCompact && count > kMaxCommands)) {
    FillSnapshot(aState, aNow, aFollower, aReply);
    return;
  }
  const bool takesPolicy = aFollower.mPolicySent != kOnlyAsCommands;
  if (takesPolicy) {
    FillPolicy(aState, aFollower, aReply);
  }
  aFollower.mSent = aState.mApplied;
  aReply.set_commands_after(from);
  aState.mCounters.mCommandsSent += count;
  for (auto it = first; it != aState.mRecentCommands.end(); ++it) {
    *aReply.add_commands() = takesPolicy ? WithoutPolicy(*it) : *it;
  }
}

void FillWithoutSnapshot(State& aState,
                         Micros aNow,
                         const wire::Follow& aMessage,
                         wire::FollowReply& aReply)
{
  Follower once;
  once.mSent = aMessage.applied();
  once.mPolicySent = PolicyVersionOf(aMessage);
  once.mCompact = aMessage.compact();
  once.mSnapshotAt = aNow;
  FillCommands(aState, aNow, once, aReply);
}

void AnswerQuery(State& aState,
                 Micros aNow,
                 const std::string& aFrom,
                 const wire::Follow& aMessage,
                 Output& aOut)
{
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  reply.set_once(true);
  FillWithoutSnapshot(aState, aNow, aMessage, reply);
  WriteConfirmation(aState, aNow, reply);
  WriteControlAddresses(aState, aNow, reply);
  SendTo(aState, aFrom, std::move(message), aOut);
}

void SendReply(State& aState,
               Micros aNow,
               const std::string& aTo,
               Follower& aFollower,
               Output& aOut)
{
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  aFollower.mRepliedAt = aNow;
  aFollower.mConfirmedSent = ConfirmedAt(aState, aNow);
  FillCommands(aState, aNow, aFollower, reply);
  WriteConfirmation(aState, aNow, reply);
  WriteControlAddresses(aState, aNow, reply);
  for (const std::string& address : aState.mRoute) {
    reply.add_route(address);
  }
  aState.mCounters.mHostListsSent += aFollower.mHostsSequence == 0 ? 1 : 0;
  FillHosts(aState, aNow, aFollower, reply);
  reply.set_hosts_differ(aFollower.mHostsDiffer);
  SendTo(aState, aTo, std::move(message), aOut);
}

void ForwardConfirmation(State& aState, Micros aNow, Output& aOut)
{
  for (auto& [address, follower] : aState.mFollowers) {
    if (aState.mConfirmedAt - follower.mConfirmedSent >=
        kHostReportInterval / 2) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

void RecordCommand(State& aState,
                   std::uint64_t aIndex,
                   const std::string& aCommand)
{
  wire::CommittedCommand command;
  command.set_index(aIndex);
  command.set_command(aCommand);
  aState.mRecentBytes += aCommand.size();
  aState.mRecentCommands.push_back(std::move(command));
  while (aState.mRecentCommands.size() > 1 &&
         (aState.mRecentCommands.size() > kRecentCommands ||
          aState.mRecentBytes > kRecentBytes)) {
    aState.mRecentBytes -= aState.mRecentCommands.front().command().size();
    aState.mRecentBase = aState.mRecentCommands.front().index();
    aState.mRecentCommands.pop_front();
  }
}

void PushIfNeeded(State& aState, Micros aNow, Output& aOut)
{
  const bool any = std::any_of(
    aState.mFollowers.begin(), aState.mFollowers.end(), [&](const auto& aOne) {
      return NeedsPush(aState, aOne.second);
    });
  if (any) {
    PushToFollowers(aState, aNow, aOut);
  }
}

// The first change after a quiet period is pushed at once, others with the next
// push: there are many followers, and the targets of a fleet announce
// themselves together.
void PushToFollowers(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mPushedAt + kPushPause) {
    aState.mPushAt = aState.mPushedAt + kPushPause;
    return;
  }
  aState.mPushedAt = aNow;
  aState.mPushAt = 0;
  for (auto& [address, follower] : aState.mFollowers) {
    if (NeedsPush(aState, follower)) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

} // namespace geraniumpond::fleet
