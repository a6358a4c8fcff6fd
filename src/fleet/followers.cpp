#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

// Hosts that follow this one, and their reports. A control host serves them
// from its log, a relay from what its upstream sent.
namespace geraniumpond::fleet {

namespace {

/// With this many followers a new one is referred to one of them. Twice the
/// number that the tree assigns, to allow for the time after a loss of many
/// hosts and for data centres without a control host.
constexpr std::size_t kMaxFollowers = 24;
/// A relay collects changes of its followers for this long and reports them
/// together.
constexpr Micros kForwardPause = 50 * kMillisecond;

// A control host always has current information about the group. A relay has
// news only when its upstream sent some, and pushes these to followers without
// being asked.
bool CanSkipReply(const State& aState, Micros aNow, const Follower& aFollower)
{
  return !HasVote(aState) && !NeedsPush(aState, aFollower) &&
         !aFollower.mHostsDiffer && aFollower.mHostsSequence != 0 &&
         aNow - aFollower.mRepliedAt < kHostReportInterval;
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
  wire::Follow follow = OwnReport(aState, aNow);
  follow.set_votes(true);
  AddFollowersToReport(aState, aNow, follow);
  for (const std::string& address : aState.mControlAddresses) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    wire::FleetMessage message;
    *message.mutable_follow() = follow;
    SendTo(aState, address, std::move(message), aOut);
  }
  AnnounceGroup(aState, aNow, aOut);
}

Host ReportedHost(const State& aState,
                  Micros aNow,
                  const wire::Follow& aMessage)
{
  Host host = FromWire(aMessage.host(), aNow);
  host.mHeardAt = aNow;
  host.mReportedBy = aState.mSettings.mPeerAddress;
  return host;
}

// Picks a follower that was heard recently, if possible in the asking host's
// data centre; the hash spreads the askers.
std::string ReferralFor(const State& aState, const Host& aAsker, Micros aNow)
{
  std::string best;
  std::pair<bool, std::uint64_t> highest;
  for (const auto& [address, follower] : aState.mFollowers) {
    const bool near = follower.mHost.mDataCentre == aAsker.mDataCentre;
    const std::pair<bool, std::uint64_t> weight(
      near, Hash64(aAsker.mPeerAddress + "|" + address));
    const bool heard = aNow - follower.mHost.mHeardAt < 2 * kHostReportInterval;
    if (heard && (best.empty() || weight > highest)) {
      best = address;
      highest = weight;
    }
  }
  return best;
}

// Without this limit a starting fleet would follow the first host that is in
// touch: host lists and snapshots for 470 hosts are 25 MB. A host that lost its
// upstream receives what it missed, such as a change of policy, along with the
// referral.
bool TryRefer(State& aState,
              Micros aNow,
              const Host& aAsker,
              const wire::Follow& aMessage,
              Output& aOut)
{
  if (aState.mFollowers.size() < kMaxFollowers ||
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
  ++aState.mCounters.mReferrals;
  WriteControlAddresses(aState, aNow, reply);
  FillWithoutSnapshot(aState, aNow, aMessage, reply);
  SendTo(aState, aAsker.mPeerAddress, std::move(message), aOut);
  return true;
}

void ServeFollower(State& aState,
                   Micros aNow,
                   const std::string& aFrom,
                   const wire::Follow& aMessage,
                   Output& aOut)
{
  const Host host = ReportedHost(aState, aNow, aMessage);
  if (TryRefer(aState, aNow, host, aMessage, aOut)) {
    return;
  }
  Follower& follower = aState.mFollowers[aFrom];
  const bool isNew = follower.mHost.mIncarnation != host.mIncarnation;
  if (isNew) {
    follower = Follower();
  }
  follower.mHost = host;
  if (isNew) {
    UpdateNeighbours(aState);
  }
  follower.mSent = aMessage.applied();
  follower.mPolicySent = PolicyVersionOf(aMessage);
  follower.mCompact = aMessage.compact();
  if (follower.mSent >= follower.mSnapshotIndex) {
    follower.mSnapshotAt = 0;
  }
  const bool isSameIncarnation =
    aMessage.hosts_incarnation() == aState.mSettings.mIncarnation;
  follower.mHostsSequence = isSameIncarnation ? aMessage.hosts_sequence() : 0;
  follower.mKnownHosts.clear();
  for (const wire::HostsDigest& known : aMessage.known_hosts()) {
    follower.mKnownHosts[known.data_centre()] = known.digest();
  }
  follower.mHostsDiffer = isSameIncarnation && aMessage.hosts_digest() != 0 &&
                          aMessage.hosts_sequence() == aState.mHostsSequence &&
                          aMessage.hosts_digest() != DigestOfAll(aState, aFrom);
  if (!CanSkipReply(aState, aNow, follower)) {
    SendReply(aState, aNow, aFrom, follower, aOut);
  }
}

void RecordDownstream(State& aState,
                      Micros aNow,
                      Host aHost,
                      const std::string& aVia)
{
  const auto found = aState.mDownstream.find(aHost.mPeerAddress);
  const bool isKnown = found != aState.mDownstream.end();
  const bool isMoved = isKnown && found->second.mVia != aVia;
  if (isMoved &&
      (aHost.mGone || found->second.mHost.mHeardAt > aHost.mHeardAt)) {
    return;
  }
  const bool same = isKnown && SameState(found->second.mHost, aHost);
  const std::string address = aHost.mPeerAddress;
  aState.mDownstream[address] = { std::move(aHost), aVia };
  if (!same) {
    aState.mReportAt = std::min(aState.mReportAt, aNow + kForwardPause);
  }
}

void ServeAsRelay(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Follow& aMessage,
                  Output& aOut)
{
  // Hosts upstream of this one cannot follow it.
  const auto& route = aState.mRoute;
  if (std::count(route.begin(), route.end(), aFrom) != 0) {
    ReferToControl(aState, aNow, aFrom, aOut);
    return;
  }
  RecordDownstream(aState, aNow, ReportedHost(aState, aNow, aMessage), aFrom);
  for (const wire::FleetHost& follower : aMessage.followers()) {
    RecordDownstream(aState, aNow, FromWire(follower, aNow), aFrom);
  }
  ServeFollower(aState, aNow, aFrom, aMessage, aOut);
}

void DropFollower(State& aState, const std::string& aAddress)
{
  aState.mFollowers.erase(aAddress);
  for (auto it = aState.mDownstream.begin(); it != aState.mDownstream.end();) {
    it = it->second.mVia == aAddress ? aState.mDownstream.erase(it)
                                     : std::next(it);
  }
}

void HandleReportAsControl(State& aState,
                           Micros aNow,
                           const std::string& aFrom,
                           const wire::Follow& aMessage,
                           Output& aOut)
{
  MergeHost(aState, ReportedHost(aState, aNow, aMessage));
  for (const wire::FleetHost& follower : aMessage.followers()) {
    Host reported = FromWire(follower, aNow);
    reported.mReportedBy = aFrom;
    MergeHost(aState, std::move(reported));
  }
  // A host at a voter's address may be a new one with an empty disk, so only
  // what it reports about itself counts.
  PublishHostChanges(aState, aNow, aOut);
  if (aMessage.once() && HasVote(aState)) {
    AnswerQuery(aState, aNow, aFrom, aMessage, aOut);
    return;
  }
  if (aMessage.votes() || !HasVote(aState)) {
    aState.mFollowers.erase(aFrom);
    if (!aMessage.votes()) {
      ReferToControl(aState, aNow, aFrom, aOut);
    }
    return;
  }
  if (aMessage.brief()) {
    ReferToControl(aState, aNow, aFrom, aOut);
    return;
  }
  ServeFollower(aState, aNow, aFrom, aMessage, aOut);
}

} // namespace

void SendReports(State& aState, Micros aNow, Output& aOut)
{
  DropSilentFollowers(aState, aNow);
  if (HasVote(aState)) {
    SendToControlHosts(aState, aNow, aOut);
  } else {
    MaintainUpstream(aState, aNow, aOut);
  }
}

void AddDownstreamHosts(State& aState, Micros aNow, wire::Follow& aFollow)
{
  for (auto it = aState.mDownstream.begin(); it != aState.mDownstream.end();) {
    Host& host = it->second.mHost;
    host.mGone = host.mGone || aNow - host.mHeardAt >= kHostLease;
    *aFollow.add_followers() = ToWire(host, aNow);
    it = host.mGone ? aState.mDownstream.erase(it) : std::next(it);
  }
}

void HandleReport(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Follow& aMessage,
                  Output& aOut)
{
  if (aMessage.leaves()) {
    DropFollower(aState, aFrom);
  } else if (IsControlMember(aState)) {
    HandleReportAsControl(aState, aNow, aFrom, aMessage, aOut);
  } else if (aMessage.brief() || aMessage.once() || !IsInTouch(aState, aNow)) {
    ReferToControl(aState, aNow, aFrom, aOut);
  } else {
    ServeAsRelay(aState, aNow, aFrom, aMessage, aOut);
  }
}

} // namespace geraniumpond::fleet
