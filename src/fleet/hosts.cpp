#include "internal.h"

#include <algorithm>

// The list of hosts, as control hosts keep it and tell it to others.
namespace geraniumpond::fleet {

namespace {

bool SameState(const Host& aLeft, const Host& aRight)
{
  return aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mReady == aRight.mReady && aLeft.mStopping == aRight.mStopping &&
         aLeft.mGone == aRight.mGone &&
         aLeft.mCallerAddress == aRight.mCallerAddress;
}

} // namespace

wire::FleetHost ToWire(const Host& aHost, Micros aNow)
{
  wire::FleetHost host;
  host.set_peer_address(aHost.mPeerAddress);
  host.set_caller_address(aHost.mCallerAddress);
  host.set_data_centre(aHost.mDataCentre);
  host.set_incarnation(aHost.mIncarnation);
  host.set_ready(aHost.mReady);
  host.set_stopping(aHost.mStopping);
  host.set_gone(aHost.mGone);
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
           aNow - static_cast<Micros>(aHost.age_ms()) * kMillisecond,
           "",
           0,
           aHost.gone() };
}

// The later incarnation wins; within one, whoever heard it last does. An
// earlier number may still be later in time where a clock was set back.
void MergeHost(State& aState, Host aHost)
{
  Host& known = aState.mHosts[aHost.mPeerAddress];
  const bool isNew = known.mPeerAddress.empty();
  const bool expired = aHost.mHeardAt - known.mHeardAt >= kHostLease;
  const bool later = isNew || expired ||
                     aHost.mIncarnation > known.mIncarnation ||
                     (aHost.mIncarnation == known.mIncarnation &&
                      aHost.mHeardAt >= known.mHeardAt);
  if (!later) {
    return;
  }
  if (!isNew && aHost.mIncarnation == known.mIncarnation) {
    aHost.mStopping = aHost.mStopping || known.mStopping;
  }
  const bool same = !isNew && SameState(known, aHost);
  aHost.mSequence = same ? known.mSequence : ++aState.mHostsSequence;
  known = std::move(aHost);
}

void FillHosts(const State& aState,
               Micros aNow,
               Follower& aFollower,
               wire::FollowReply& aReply)
{
  aReply.set_hosts_after(aFollower.mHostsSequence);
  aReply.set_hosts_sequence(aState.mHostsSequence);
  aReply.set_hosts_incarnation(aState.mSettings.mIncarnation);
  for (const auto& [address, host] : aState.mHosts) {
    const bool news = host.mSequence > aFollower.mHostsSequence;
    // Whoever asks for all need not hear of those that are gone.
    if (news && (!host.mGone || aFollower.mHostsSequence > 0)) {
      *aReply.add_hosts() = ToWire(host, aNow);
    }
  }
  aFollower.mHostsSequence = aState.mHostsSequence;
}

// The upstream tells what has changed; the rest is as fresh as its word.
void TakeHosts(State& aState,
               Micros aNow,
               const wire::FollowReply& aMessage,
               Output& aOut)
{
  const bool gap =
    aMessage.hosts_after() != 0 &&
    (aMessage.hosts_incarnation() != aState.mUpstreamIncarnation ||
     aMessage.hosts_after() > aState.mUpstreamSequence);
  if (!aMessage.in_touch() || gap) {
    return;
  }
  const std::string& self = aState.mSettings.mPeerAddress;
  if (aMessage.hosts_incarnation() != aState.mUpstreamIncarnation) {
    const Host own = aState.mHosts[self];
    aState.mHosts.clear();
    aState.mHosts[self] = own;
    aState.mUpstreamIncarnation = aMessage.hosts_incarnation();
  }
  for (const wire::FleetHost& host : aMessage.hosts()) {
    if (host.peer_address() == self) {
      continue;
    }
    if (host.gone()) {
      aState.mHosts.erase(host.peer_address());
    } else {
      Host& known = aState.mHosts[host.peer_address()];
      known = FromWire(host, aNow);
      known.mSequence = ++aState.mHostsSequence;
    }
    aOut.mHostsChanged = true;
  }
  if (aMessage.hosts_size() > 0) {
    aOut.mNotes.push_back(
      { 1,
        "event=hosts_changed changes=" + std::to_string(aMessage.hosts_size()) +
          " known=" + std::to_string(aState.mHosts.size()) +
          " upstream=" + aState.mUpstream });
  }
  for (auto& [address, host] : aState.mHosts) {
    host.mHeardAt = aNow;
  }
  aState.mUpstreamSequence = aMessage.hosts_sequence();
}

// The followers of a control host that fell silent need time to find another
// one and to be told of by it; their own silence says nothing before.
Micros LeaseOf(const State& aState, const Host& aHost, Micros aNow)
{
  const auto teller = aState.mHosts.find(aHost.mToldBy);
  const bool silent = teller != aState.mHosts.end() &&
                      teller->first != aState.mSettings.mPeerAddress &&
                      teller->first != aHost.mPeerAddress &&
                      (teller->second.mGone ||
                       aNow - teller->second.mHeardAt > 2 * kFollowInterval);
  return silent ? kHostLease + kMoveTime : kHostLease;
}

void UpdateHosts(State& aState, Micros aNow, Output& aOut)
{
  if (!Votes(aState)) {
    return;
  }
  // Without the group's majority silence says more of this host's links than
  // of the others.
  if (!IsInTouch(aState, aNow)) {
    for (auto& [address, host] : aState.mHosts) {
      host.mHeardAt = std::max(host.mHeardAt, aNow - kHostLease / 2);
    }
  }
  bool stopping = false;
  const std::uint64_t before = aState.mHostsTold;
  for (auto& [address, host] : aState.mHosts) {
    if (!host.mGone && aNow - host.mHeardAt >= LeaseOf(aState, host, aNow)) {
      host.mGone = true;
      host.mSequence = ++aState.mHostsSequence;
      aOut.mNotes.push_back(
        { 2,
          "event=host_gone host=" + address + " silent_ms=" +
            std::to_string((aNow - host.mHeardAt) / kMillisecond) });
    }
    stopping = stopping || (host.mStopping && host.mSequence > before);
  }
  if (aState.mHostsSequence == before) {
    return;
  }
  aState.mHostsTold = aState.mHostsSequence;
  aOut.mHostsChanged = true;
  // Followers hear of most changes with their next report's answer; a host
  // that stops must leave their answers to clients sooner.
  if (!stopping) {
    return;
  }
  for (auto& [address, follower] : aState.mFollowers) {
    if (aNow - follower.mHost.mHeardAt < kHostLease) {
      SendReply(aState, aNow, address, follower, aOut);
    }
  }
}

} // namespace geraniumpond::fleet
