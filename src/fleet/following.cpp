#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// Committed commands kept for followers; whoever lacks more gets a snapshot.
constexpr std::size_t kRecentCommands = 500;
constexpr std::uint64_t kRecentBytes = 2 * 1024 * 1024;

wire::FleetHost ToWire(const Host& aHost, Micros aNow)
{
  wire::FleetHost host;
  host.set_peer_address(aHost.mPeerAddress);
  host.set_caller_address(aHost.mCallerAddress);
  host.set_data_centre(aHost.mDataCentre);
  host.set_incarnation(aHost.mIncarnation);
  host.set_ready(aHost.mReady);
  host.set_stopping(aHost.mStopping);
  const Micros age = std::max<Micros>(0, aNow - aHost.mHeardAt);
  host.set_age_ms(static_cast<std::uint32_t>(age / kMillisecond));
  return host;
}

Host FromWire(const wire::FleetHost& aHost, Micros aNow)
{
  return { aHost.peer_address(),
           aHost.caller_address(),
           aHost.data_centre(),
           aHost.incarnation(),
           aHost.ready(),
           aHost.stopping(),
           aNow - static_cast<Micros>(aHost.age_ms()) * kMillisecond };
}

// What clients are told depends on these alone; ages are left out, so that the
// digest stays the same while nothing changes.
std::uint64_t DigestOf(const std::map<std::string, Host>& aHosts, Micros aNow)
{
  std::uint64_t digest = 0;
  for (const auto& [address, host] : aHosts) {
    if (aNow - host.mHeardAt >= kHostLease) {
      continue;
    }
    const std::string text =
      address + "|" + host.mCallerAddress + "|" + host.mDataCentre + "|" +
      std::to_string(host.mIncarnation) + (host.mReady ? "r" : "-") +
      (host.mStopping ? "s" : "-");
    digest ^= Hash64(text);
  }
  return digest;
}

// The later incarnation wins; within one, whoever heard it last does. An
// earlier number may still be later in time where a clock was set back.
void MergeHost(std::map<std::string, Host>& aHosts, const Host& aHost)
{
  const auto found = aHosts.find(aHost.mPeerAddress);
  if (found == aHosts.end()) {
    aHosts[aHost.mPeerAddress] = aHost;
    return;
  }
  Host& known = found->second;
  const bool expired = aHost.mHeardAt - known.mHeardAt >= kHostLease;
  if (aHost.mIncarnation > known.mIncarnation || expired) {
    known = aHost;
    return;
  }
  if (aHost.mIncarnation == known.mIncarnation &&
      aHost.mHeardAt >= known.mHeardAt) {
    const bool stopping = known.mStopping || aHost.mStopping;
    known = aHost;
    known.mStopping = stopping;
  }
}

void FillCommands(const State& aState,
                  std::uint64_t aFrom,
                  wire::FollowReply& aReply)
{
  if (aFrom >= aState.mApplied) {
    return;
  }
  if (aFrom < aState.mRecentBase) {
    aReply.set_snapshot(catalog::Save(aState.mCatalog));
    aReply.set_snapshot_index(aState.mApplied);
    return;
  }
  aReply.set_commands_after(aFrom);
  for (const wire::CommittedCommand& command : aState.mRecent) {
    if (command.index() > aFrom) {
      *aReply.add_commands() = command;
    }
  }
}

void FillHosts(const State& aState,
               Micros aNow,
               Follower& aFollower,
               wire::FollowReply& aReply)
{
  aReply.set_hosts_digest(aState.mHostsDigest);
  if (aFollower.mHostsDigest == aState.mHostsDigest) {
    return;
  }
  aFollower.mHostsDigest = aState.mHostsDigest;
  for (const auto& [address, host] : aState.mHosts) {
    if (aNow - host.mHeardAt < kHostLease) {
      *aReply.add_hosts() = ToWire(host, aNow);
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
  FillCommands(aState, aFollower.mSent, reply);
  aFollower.mSent = std::max(aFollower.mSent, aState.mApplied);
  reply.set_in_touch(IsInTouch(aState, aNow));
  reply.set_leader_address(aState.mLeaderAddress);
  for (const std::string& address : aState.mControlAddresses) {
    reply.add_control_addresses(address);
  }
  FillHosts(aState, aNow, aFollower, reply);
  SendTo(aState, aTo, std::move(message), aOut);
}

// Hosts spread over the control hosts, so that none of them serves all.
void ChooseUpstream(State& aState, Micros aNow, Output& aOut)
{
  const auto& control = aState.mControlAddresses;
  const Micros goodAt = std::max(aState.mUpstreamGoodAt, aState.mUpstreamSince);
  const bool stays =
    !aState.mUpstream.empty() && aNow - goodAt <= kUpstreamPatience;
  if (control.empty() || stays) {
    return;
  }
  std::string next;
  for (std::size_t i = 0; i < control.size(); ++i) {
    next = control[++aState.mUpstreamTurn % control.size()];
    if (next != aState.mSettings.mPeerAddress) {
      break;
    }
  }
  if (!aState.mUpstream.empty()) {
    aOut.mNotes.push_back(
      { 2,
        "event=upstream_lost upstream=" + aState.mUpstream + " next=" + next });
  }
  aState.mUpstream = next;
  aState.mUpstreamSince = aNow;
}

wire::Follow OwnFollow(const State& aState, Micros aNow)
{
  wire::Follow follow;
  *follow.mutable_host() =
    ToWire(aState.mHosts.at(aState.mSettings.mPeerAddress), aNow);
  follow.set_applied(aState.mApplied);
  follow.set_hosts_digest(aState.mHostsDigest);
  return follow;
}

void SendToControlHosts(State& aState, Micros aNow, Output& aOut)
{
  wire::Follow follow = OwnFollow(aState, aNow);
  follow.set_votes(true);
  for (const auto& [address, follower] : aState.mFollowers) {
    *follow.add_followers() = ToWire(follower.mHost, aNow);
  }
  for (const std::string& address : aState.mControlAddresses) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    wire::FleetMessage message;
    *message.mutable_follow() = follow;
    SendTo(aState, address, std::move(message), aOut);
  }
}

void TakeUpstreamState(State& aState,
                       Micros aNow,
                       const wire::FollowReply& aMessage,
                       Output& aOut)
{
  const bool inTouch = aMessage.in_touch();
  if (inTouch != aState.mInTouch) {
    aOut.mNotes.push_back({ inTouch ? 1 : 2,
                            std::string("event=control_") +
                              (inTouch ? "regained" : "lost") +
                              " upstream=" + aState.mUpstream });
  }
  aState.mInTouch = inTouch;
  aState.mUpstreamHeardAt = aNow;
  aState.mUpstreamGoodAt = inTouch ? aNow : aState.mUpstreamGoodAt;
  aState.mLeaderAddress = aMessage.leader_address();
  if (aMessage.control_addresses_size() > 0) {
    aState.mControlAddresses.assign(aMessage.control_addresses().begin(),
                                    aMessage.control_addresses().end());
  }
}

// The catalog only moves forward: what is older than the last index is void.
void TakeCommands(State& aState,
                  const wire::FollowReply& aMessage,
                  Output& aOut)
{
  if (!aMessage.snapshot().empty() &&
      aMessage.snapshot_index() > aState.mApplied) {
    Result<catalog::State> loaded = catalog::Load(aMessage.snapshot());
    if (!loaded) {
      aOut.mNotes.push_back({ 3, "event=snapshot_unreadable" });
      return;
    }
    aState.mCatalog = std::move(loaded.value());
    aState.mApplied = aMessage.snapshot_index();
    aOut.mPolicyChanged = true;
    aOut.mTargetsChanged = true;
  }
  // A message before this one was lost: the next report asks for all again.
  if (aMessage.commands_after() > aState.mApplied) {
    return;
  }
  for (const wire::CommittedCommand& command : aMessage.commands()) {
    if (command.index() > aState.mApplied) {
      ApplyCommand(aState, command.command(), aOut);
      aState.mApplied = command.index();
    }
  }
}

// Hosts that the upstream no longer tells of are gone; the rest is as fresh as
// the upstream's word.
void TakeHosts(State& aState,
               Micros aNow,
               const wire::FollowReply& aMessage,
               Output& aOut)
{
  if (!aMessage.in_touch()) {
    return;
  }
  if (aMessage.hosts_size() > 0) {
    const std::string& self = aState.mSettings.mPeerAddress;
    const Host own = aState.mHosts[self];
    aState.mHosts.clear();
    for (const wire::FleetHost& host : aMessage.hosts()) {
      aState.mHosts[host.peer_address()] = FromWire(host, aNow);
    }
    aState.mHosts[self] = own;
    aOut.mHostsChanged = true;
  }
  for (auto& [address, host] : aState.mHosts) {
    host.mHeardAt = aNow;
  }
  aState.mHostsDigest = aMessage.hosts_digest();
}

} // namespace

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
  const bool votes =
    IsControlMember(aState) && aState.mGroup.mRole != consensus::Role::Learner;
  if (votes) {
    SendToControlHosts(aState, aNow, aOut);
    return;
  }
  ChooseUpstream(aState, aNow, aOut);
  if (aState.mUpstream.empty() ||
      aState.mUpstream == aState.mSettings.mPeerAddress) {
    return;
  }
  wire::FleetMessage message;
  *message.mutable_follow() = OwnFollow(aState, aNow);
  SendTo(aState, aState.mUpstream, std::move(message), aOut);
}

void TakeFollow(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Follow& aMessage,
                Output& aOut)
{
  if (!IsControlMember(aState)) {
    return;
  }
  Host host = FromWire(aMessage.host(), aNow);
  host.mHeardAt = aNow;
  MergeHost(aState.mHosts, host);
  for (const wire::FleetHost& follower : aMessage.followers()) {
    MergeHost(aState.mHosts, FromWire(follower, aNow));
  }
  // A host at a voter's address may be a new one with an empty disk: what it
  // says of itself counts.
  const bool learning = aState.mGroup.mRole == consensus::Role::Learner;
  UpdateHosts(aState, aNow, aOut);
  if (aMessage.votes() || learning) {
    aState.mFollowers.erase(aFrom);
    return;
  }
  Follower& follower = aState.mFollowers[aFrom];
  follower.mHost = host;
  follower.mSent = aMessage.applied();
  follower.mHostsDigest = aMessage.hosts_digest();
  SendReply(aState, aNow, aFrom, follower, aOut);
}

void TakeFollowReply(State& aState,
                     Micros aNow,
                     const std::string& aFrom,
                     const wire::FollowReply& aMessage,
                     Output& aOut)
{
  const bool votes =
    IsControlMember(aState) && aState.mGroup.mRole != consensus::Role::Learner;
  if (votes) {
    return;
  }
  if (aFrom == aState.mUpstream) {
    TakeUpstreamState(aState, aNow, aMessage, aOut);
  }
  if (!IsControlMember(aState)) {
    TakeCommands(aState, aMessage, aOut);
  }
  TakeHosts(aState, aNow, aMessage, aOut);
}

void PushToFollowers(State& aState, Micros aNow, Output& aOut)
{
  for (auto it = aState.mFollowers.begin(); it != aState.mFollowers.end();) {
    if (aNow - it->second.mHost.mHeardAt > kHostLease) {
      it = aState.mFollowers.erase(it);
      continue;
    }
    if (it->second.mSent < aState.mApplied) {
      SendReply(aState, aNow, it->first, it->second, aOut);
    }
    ++it;
  }
}

void UpdateHosts(State& aState, Micros aNow, Output& aOut)
{
  const bool follows =
    !IsControlMember(aState) || aState.mGroup.mRole == consensus::Role::Learner;
  if (follows) {
    return;
  }
  // Without the group's majority silence says more of this host's links than
  // of the others.
  if (!IsInTouch(aState, aNow)) {
    for (auto& [address, host] : aState.mHosts) {
      host.mHeardAt = std::max(host.mHeardAt, aNow - kHostLease / 2);
    }
  }
  const std::uint64_t digest = DigestOf(aState.mHosts, aNow);
  if (digest == aState.mHostsDigest) {
    return;
  }
  aState.mHostsDigest = digest;
  aOut.mHostsChanged = true;
  for (auto& [address, follower] : aState.mFollowers) {
    if (aNow - follower.mHost.mHeardAt < kHostLease) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

} // namespace geraniumpond::fleet
