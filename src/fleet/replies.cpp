#include "internal.h"

#include <algorithm>
#include <limits>

// What a host tells those that follow it, of the catalog and the group's word.
namespace geraniumpond::fleet {

namespace {

/// Committed commands kept for followers; whoever lacks more gets a snapshot.
constexpr std::size_t kRecentCommands = 4000;
constexpr std::uint64_t kRecentBytes = 2 * 1024 * 1024;
/// A follower that lacks more commands than these gets a snapshot where it
/// reads a deflated one, which is smaller then.
constexpr std::size_t kMostCommands = 300;

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

// A snapshot may be lost, or take long on a slow link.
void FillPolicy(const State& aState,
                Follower& aFollower,
                wire::FollowReply& aReply)
{
  if (aFollower.mPolicySent < aState.mCatalog.mVersion) {
    aFollower.mPolicySent = aState.mCatalog.mVersion;
    *aReply.mutable_policy() = aState.mCatalog.mChange;
  }
}

void FillSnapshot(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply)
{
  // On a slow link a snapshot takes longer than the pace of reports.
  if (aNow - aFollower.mSnapshotAt < kSnapshotRetry) {
    FillPolicy(aState, aFollower, aReply);
    return;
  }
  aFollower.mSnapshotAt = aNow;
  aFollower.mSnapshotIndex = aState.mApplied;
  aFollower.mSent = aState.mApplied;
  aFollower.mPolicySent = aState.mCatalog.mVersion;
  aReply.set_snapshot_index(aState.mApplied);
  ++aState.mTraffic.mSnapshotsSent;
  if (aFollower.mCompact) {
    aReply.set_packed_snapshot(PackedCatalog(aState));
  } else {
    aReply.set_snapshot(catalog::Save(aState.mCatalog));
  }
}

} // namespace

bool Lacks(const State& aState, const Follower& aFollower)
{
  return aFollower.mSent < LastNews(aState) ||
         aFollower.mPolicySent < aState.mCatalog.mVersion ||
         aFollower.mHostsSequence < aState.mHostsUrgent;
}

// Hosts of an earlier version take no policy but with the commands before it.
std::uint64_t PolicyOf(const wire::Follow& aMessage)
{
  return aMessage.has_policy_version()
           ? aMessage.policy_version()
           : std::numeric_limits<std::uint64_t>::max();
}

// What the log holds beside, members and barriers of reads, is no news to
// followers.
std::uint64_t LastNews(const State& aState)
{
  return aState.mRecent.empty() ? aState.mRecentBase
                                : aState.mRecent.back().index();
}

void FillCommands(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply)
{
  const std::uint64_t from = aFollower.mSent;
  if (from >= LastNews(aState)) {
    FillPolicy(aState, aFollower, aReply);
    return;
  }
  const auto first = std::upper_bound(
    aState.mRecent.begin(),
    aState.mRecent.end(),
    from,
    [](std::uint64_t aIndex, const wire::CommittedCommand& aCommand) {
      return aIndex < aCommand.index();
    });
  const auto count = static_cast<std::size_t>(aState.mRecent.end() - first);
  if (from < aState.mRecentBase ||
      (aFollower.mCompact && count > kMostCommands)) {
    FillSnapshot(aState, aNow, aFollower, aReply);
    return;
  }
  aFollower.mSent = aState.mApplied;
  aFollower.mPolicySent = aState.mCatalog.mVersion;
  aReply.set_commands_after(from);
  aState.mTraffic.mCommandsSent += count;
  for (auto it = first; it != aState.mRecent.end(); ++it) {
    *aReply.add_commands() = *it;
  }
}

void FillWithoutSnapshot(State& aState,
                         Micros aNow,
                         const wire::Follow& aMessage,
                         wire::FollowReply& aReply)
{
  Follower once;
  once.mSent = aMessage.applied();
  once.mPolicySent = PolicyOf(aMessage);
  once.mCompact = aMessage.compact();
  once.mSnapshotAt = aNow;
  FillCommands(aState, aNow, once, aReply);
}

void AnswerOnce(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Follow& aMessage,
                Output& aOut)
{
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  reply.set_once(true);
  FillWithoutSnapshot(aState, aNow, aMessage, reply);
  WriteWord(aState, aNow, reply);
  WriteControlWord(aState, aNow, reply);
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
  aFollower.mToldAt = aNow;
  aFollower.mWordTold = WordAt(aState, aNow);
  FillCommands(aState, aNow, aFollower, reply);
  WriteWord(aState, aNow, reply);
  WriteControlWord(aState, aNow, reply);
  for (const std::string& address : aState.mRoute) {
    reply.add_route(address);
  }
  aState.mTraffic.mAllHostsSent += aFollower.mHostsSequence == 0 ? 1 : 0;
  FillHosts(aState, aNow, aFollower, reply);
  reply.set_hosts_differ(aFollower.mHostsDiffer);
  SendTo(aState, aTo, std::move(message), aOut);
}

void PassWordOn(State& aState, Micros aNow, Output& aOut)
{
  for (auto& [address, follower] : aState.mFollowers) {
    if (aState.mWordAt - follower.mWordTold >= kFollowInterval / 2) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

void Remember(State& aState, std::uint64_t aIndex, const std::string& aCommand)
{
  wire::CommittedCommand command;
  command.set_index(aIndex);
  command.set_command(aCommand);
  aState.mRecentBytes += aCommand.size();
  aState.mRecent.push_back(std::move(command));
  while (aState.mRecent.size() > 1 &&
         (aState.mRecent.size() > kRecentCommands ||
          aState.mRecentBytes > kRecentBytes)) {
    aState.mRecentBytes -= aState.mRecent.front().command().size();
    aState.mRecentBase = aState.mRecent.front().index();
    aState.mRecent.pop_front();
  }
}

void PushNews(State& aState, Micros aNow, Output& aOut)
{
  const bool any =
    std::any_of(aState.mFollowers.begin(),
                aState.mFollowers.end(),
                [&](const auto& aOne) { return Lacks(aState, aOne.second); });
  if (any) {
    PushToFollowers(aState, aNow, aOut);
  }
}

// The first news after a quiet time are told at once, others with the next
// push: followers are many, and a fleet's targets announce themselves together.
void PushToFollowers(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mPushedAt + kPushPause) {
    aState.mPushAt = aState.mPushedAt + kPushPause;
    return;
  }
  aState.mPushedAt = aNow;
  aState.mPushAt = 0;
  for (auto& [address, follower] : aState.mFollowers) {
    if (Lacks(aState, follower)) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

} // namespace geraniumpond::fleet
