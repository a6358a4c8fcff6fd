#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>
#include <limits>

// How a host serves those that follow it: a control host from its log, a relay
// from what its own upstream told it.
namespace geraniumpond::fleet {

namespace {

/// Committed commands kept for followers; whoever lacks more gets a snapshot.
constexpr std::size_t kRecentCommands = 4000;
constexpr std::uint64_t kRecentBytes = 2 * 1024 * 1024;
/// A follower that lacks more commands than these gets a snapshot where it
/// reads a deflated one, which is smaller then.
constexpr std::size_t kMostCommands = 300;
/// Followers beyond which a newcomer is referred to one of them: twice what a
/// place in the tree brings, for the time after a loss of many hosts and for
/// data centres without a control host.
constexpr std::size_t kMostFollowers = 24;
/// A relay passes on what its followers have to say together within this time.
constexpr Micros kForwardPause = 50 * kMillisecond;

const std::string& PackedCatalog(State& aState)
{
  if (aState.mPackedIndex != aState.mApplied || aState.mPackedCatalog.empty()) {
    aState.mPackedCatalog = catalog::Pack(catalog::Save(aState.mCatalog));
    aState.mPackedIndex = aState.mApplied;
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

bool Lacks(const State& aState, const Follower& aFollower)
{
  return aFollower.mSent < LastNews(aState) ||
         aFollower.mPolicySent < aState.mCatalog.mVersion ||
         aFollower.mHostsSequence < aState.mHostsUrgent;
}

// What a control host says of the group it has from itself; a relay has news of
// it only once its own upstream has told it, and passes these on by itself.
bool WaitsForWord(const State& aState, Micros aNow, const Follower& aFollower)
{
  return !Votes(aState) && !Lacks(aState, aFollower) &&
         !aFollower.mHostsDiffer && aFollower.mHostsSequence != 0 &&
         aNow - aFollower.mToldAt < kFollowInterval;
}

void DropSilentFollowers(State& aState, Micros aNow)
{
  for (auto it = aState.mFollowers.begin(); it != aState.mFollowers.end();) {
    const bool silent = aNow - it->second.mHost.mHeardAt > kHostLease;
    it = silent ? aState.mFollowers.erase(it) : std::next(it);
  }
}

void SendToControlHosts(State& aState, Micros aNow, Output& aOut)
{
  wire::Follow follow = OwnFollow(aState, aNow);
  follow.set_votes(true);
  ShareFollowers(aState, aNow, follow);
  for (const std::string& address : aState.mControlAddresses) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    wire::FleetMessage message;
    *message.mutable_follow() = follow;
    SendTo(aState, address, std::move(message), aOut);
  }
  Introduce(aState, aNow, aOut);
}

Result<catalog::State> ReadSnapshot(const wire::FollowReply& aMessage)
{
  if (aMessage.packed_snapshot().empty()) {
    return catalog::Load(aMessage.snapshot());
  }
  Result<std::string> bytes = catalog::Unpack(aMessage.packed_snapshot());
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
  aState.mCatalog = std::move(loaded.value());
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

Host ReportedHost(const State& aState,
                  Micros aNow,
                  const wire::Follow& aMessage)
{
  Host host = FromWire(aMessage.host(), aNow);
  host.mHeardAt = aNow;
  host.mToldBy = aState.mSettings.mPeerAddress;
  return host;
}

// Of the followers that were heard lately one in the asker's data centre,
// spread by the asker.
std::string ReferralFor(const State& aState, const Host& aAsker, Micros aNow)
{
  std::string best;
  std::pair<bool, std::uint64_t> most;
  for (const auto& [address, follower] : aState.mFollowers) {
    const bool near = follower.mHost.mDataCentre == aAsker.mDataCentre;
    const std::pair<bool, std::uint64_t> weight(
      near, Hash64(aAsker.mPeerAddress + "|" + address));
    const bool heard = aNow - follower.mHost.mHeardAt < 2 * kFollowInterval;
    if (heard && (best.empty() || weight > most)) {
      best = address;
      most = weight;
    }
  }
  return best;
}

// Hosts of an earlier version take no policy but with the commands before it.
std::uint64_t PolicyOf(const wire::Follow& aMessage)
{
  return aMessage.has_policy_version()
           ? aMessage.policy_version()
           : std::numeric_limits<std::uint64_t>::max();
}

// Commands or the policy, which are small, for whoever is followed or asked by
// chance.
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

// A fleet that starts would else follow the first host that is in touch: 470
// lists of hosts and snapshots are 25 MB. Whoever lost its upstream gets what
// it missed with the referral, a change of policy among it.
bool Delegates(State& aState,
               Micros aNow,
               const Host& aAsker,
               const wire::Follow& aMessage,
               Output& aOut)
{
  if (aState.mFollowers.size() < kMostFollowers ||
      aState.mFollowers.count(aAsker.mPeerAddress) != 0) {
    return false;
  }
  const std::string referral = ReferralFor(aState, aAsker, aNow);
  if (referral.empty()) {
    return false;
  }
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  reply.set_refer_to(referral);
  ++aState.mTraffic.mReferrals;
  WriteControlWord(aState, aNow, reply);
  FillWithoutSnapshot(aState, aNow, aMessage, reply);
  SendTo(aState, aAsker.mPeerAddress, std::move(message), aOut);
  return true;
}

void Serve(State& aState,
           Micros aNow,
           const std::string& aFrom,
           const wire::Follow& aMessage,
           Output& aOut)
{
  const Host host = ReportedHost(aState, aNow, aMessage);
  if (Delegates(aState, aNow, host, aMessage, aOut)) {
    return;
  }
  Follower& follower = aState.mFollowers[aFrom];
  const bool isNew = follower.mHost.mIncarnation != host.mIncarnation;
  if (isNew) {
    follower = Follower();
  }
  follower.mHost = host;
  if (isNew) {
    KeepNeighbours(aState);
  }
  follower.mSent = aMessage.applied();
  follower.mPolicySent = PolicyOf(aMessage);
  follower.mCompact = aMessage.compact();
  if (follower.mSent >= follower.mSnapshotIndex) {
    follower.mSnapshotAt = 0;
  }
  const bool ours =
    aMessage.hosts_incarnation() == aState.mSettings.mIncarnation;
  follower.mHostsSequence = ours ? aMessage.hosts_sequence() : 0;
  follower.mKnownHosts.clear();
  for (const wire::HostsDigest& known : aMessage.known_hosts()) {
    follower.mKnownHosts[known.data_centre()] = known.digest();
  }
  follower.mHostsDiffer = ours && aMessage.hosts_digest() != 0 &&
                          aMessage.hosts_sequence() == aState.mHostsSequence &&
                          aMessage.hosts_digest() != DigestOfAll(aState, aFrom);
  if (!WaitsForWord(aState, aNow, follower)) {
    SendReply(aState, aNow, aFrom, follower, aOut);
  }
}

void NoteBehind(State& aState, Micros aNow, Host aHost, const std::string& aBy)
{
  const auto found = aState.mBehind.find(aHost.mPeerAddress);
  const bool isKnown = found != aState.mBehind.end();
  const bool elsewhere = isKnown && found->second.mBy != aBy;
  if (elsewhere &&
      (aHost.mGone || found->second.mHost.mHeardAt > aHost.mHeardAt)) {
    return;
  }
  const bool same = isKnown && SameState(found->second.mHost, aHost);
  const std::string address = aHost.mPeerAddress;
  aState.mBehind[address] = { std::move(aHost), aBy };
  if (!same) {
    aState.mFollowAt = std::min(aState.mFollowAt, aNow + kForwardPause);
  }
}

void ServeAsRelay(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Follow& aMessage,
                  Output& aOut)
{
  // Whoever this host follows itself, directly or not, cannot follow it.
  const auto& route = aState.mRoute;
  if (std::count(route.begin(), route.end(), aFrom) != 0) {
    Refer(aState, aNow, aFrom, aOut);
    return;
  }
  NoteBehind(aState, aNow, ReportedHost(aState, aNow, aMessage), aFrom);
  for (const wire::FleetHost& follower : aMessage.followers()) {
    NoteBehind(aState, aNow, FromWire(follower, aNow), aFrom);
  }
  Serve(aState, aNow, aFrom, aMessage, aOut);
}

void DropFollower(State& aState, const std::string& aAddress)
{
  aState.mFollowers.erase(aAddress);
  for (auto it = aState.mBehind.begin(); it != aState.mBehind.end();) {
    it = it->second.mBy == aAddress ? aState.mBehind.erase(it) : std::next(it);
  }
}

void TakeFollowAsControl(State& aState,
                         Micros aNow,
                         const std::string& aFrom,
                         const wire::Follow& aMessage,
                         Output& aOut)
{
  MergeHost(aState, ReportedHost(aState, aNow, aMessage));
  for (const wire::FleetHost& follower : aMessage.followers()) {
    Host told = FromWire(follower, aNow);
    told.mToldBy = aFrom;
    MergeHost(aState, std::move(told));
  }
  // A host at a voter's address may be a new one with an empty disk: what it
  // says of itself counts.
  TellOfHosts(aState, aNow, aOut);
  if (aMessage.once() && Votes(aState)) {
    AnswerOnce(aState, aNow, aFrom, aMessage, aOut);
    return;
  }
  if (aMessage.votes() || !Votes(aState)) {
    aState.mFollowers.erase(aFrom);
    if (!aMessage.votes()) {
      Refer(aState, aNow, aFrom, aOut);
    }
    return;
  }
  if (aMessage.brief()) {
    Refer(aState, aNow, aFrom, aOut);
    return;
  }
  Serve(aState, aNow, aFrom, aMessage, aOut);
}

} // namespace

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

void PassWordOn(State& aState, Micros aNow, Output& aOut)
{
  for (auto& [address, follower] : aState.mFollowers) {
    if (aState.mWordAt - follower.mWordTold >= kFollowInterval / 2) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
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

void SendFollows(State& aState, Micros aNow, Output& aOut)
{
  DropSilentFollowers(aState, aNow);
  if (Votes(aState)) {
    SendToControlHosts(aState, aNow, aOut);
  } else {
    KeepUpstream(aState, aNow, aOut);
  }
}

void AddHostsBehind(State& aState, Micros aNow, wire::Follow& aFollow)
{
  for (auto it = aState.mBehind.begin(); it != aState.mBehind.end();) {
    Host& host = it->second.mHost;
    host.mGone = host.mGone || aNow - host.mHeardAt >= kHostLease;
    *aFollow.add_followers() = ToWire(host, aNow);
    it = host.mGone ? aState.mBehind.erase(it) : std::next(it);
  }
}

void TakeFollow(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Follow& aMessage,
                Output& aOut)
{
  if (aMessage.leaves()) {
    DropFollower(aState, aFrom);
  } else if (IsControlMember(aState)) {
    TakeFollowAsControl(aState, aNow, aFrom, aMessage, aOut);
  } else if (aMessage.brief() || aMessage.once() || !IsInTouch(aState, aNow)) {
    Refer(aState, aNow, aFrom, aOut);
  } else {
    ServeAsRelay(aState, aNow, aFrom, aMessage, aOut);
  }
}

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
      catalog::TakePolicy(aState.mCatalog, aMessage.policy())) {
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
