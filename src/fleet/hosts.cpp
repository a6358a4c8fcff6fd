#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

// The list of hosts, which control hosts maintain and relays forward.
namespace geraniumpond::fleet {

namespace {

/// Control hosts report all of their followers to each other only in each such
/// report; changes are reported at once.
constexpr int kFullReportEvery = 3;
/// A host that is gone is kept for this long, so that all hosts learn of it and
/// a delayed report does not bring it back: twice the time for which control
/// hosts try to contact it.
constexpr Micros kGoneRetention = 60 * kSecond;
/// Hosts reported by another control host are heard less often.
constexpr Micros kIndirectLease =
  kHostLease + kFullReportEvery * kHostReportInterval;

std::uint64_t DigestOf(const Host& aHost)
{
  const std::uint64_t state =
    (aHost.mReady ? 1 : 0) + (aHost.mStopping ? 2 : 0);
  const std::uint64_t digest =
    Hash64(aHost.mPeerAddress, aHost.mIncarnation * 4 + state);
  // Hosts of earlier versions do not know of it.
  return aHost.mCutOff ? Hash64("cut_off", digest) : digest;
}

// Only the last reporter of a host can tell that it is gone, or any if none is
// known here.
void MergeGone(State& aState, const Host& aHost)
{
  const auto found = aState.mHosts.find(aHost.mPeerAddress);
  if (found == aState.mHosts.end()) {
    return;
  }
  Host& known = found->second;
  const bool mayTell =
    known.mReportedBy.empty() || known.mReportedBy == aHost.mReportedBy;
  if (!known.mGone && known.mIncarnation == aHost.mIncarnation && mayTell) {
    known.mGone = true;
    known.mSequence = ++aState.mHostsSequence;
    aState.mHostsUrgent = aState.mHostsSequence;
  }
}

bool IsUrgentChange(const Host& aHost)
{
  return aHost.mGone || aHost.mStopping;
}

// Returns true if the change was new.
bool ApplyHostChange(State& aState, const Host& aHost)
{
  const auto found = aState.mHosts.find(aHost.mPeerAddress);
  const bool isKnown = found != aState.mHosts.end();
  if (isKnown ? SameState(found->second, aHost) : aHost.mGone) {
    return false;
  }
  Host& known = aState.mHosts[aHost.mPeerAddress];
  known = aHost;
  known.mSequence = ++aState.mHostsSequence;
  if (IsUrgentChange(known)) {
    aState.mHostsUrgent = known.mSequence;
  }
  return true;
}

// The reply lists all hosts of some data centres or of the whole fleet: hosts
// missing from the list are gone.
int MarkUnlistedGone(State& aState, const wire::FollowReply& aMessage)
{
  std::set<std::string> listed;
  for (const wire::FleetHost& host : aMessage.hosts()) {
    listed.insert(host.peer_address());
  }
  const std::set<std::string> whole(aMessage.whole_data_centres().begin(),
                                    aMessage.whole_data_centres().end());
  int dropped = 0;
  for (auto& [address, host] : aState.mHosts) {
    const bool covered =
      !aMessage.compared() || whole.count(host.mDataCentre) != 0;
    if (covered && !host.mGone && listed.count(address) == 0 &&
        address != aState.mSettings.mPeerAddress) {
      host.mGone = true;
      host.mSequence = ++aState.mHostsSequence;
      aState.mHostsUrgent = aState.mHostsSequence;
      ++dropped;
    }
  }
  return dropped;
}

// Data centres for which the digests of the two sides differ.
std::set<std::string> DifferingDataCentres(const HostDigests& aOwn,
                                           const HostDigests& aOther)
{
  std::set<std::string> differing;
  for (const auto& [dataCentre, digest] : aOwn) {
    const auto found = aOther.find(dataCentre);
    if (found == aOther.end() || found->second != digest) {
      differing.insert(dataCentre);
    }
  }
  for (const auto& [dataCentre, digest] : aOther) {
    if (aOwn.count(dataCentre) == 0) {
      differing.insert(dataCentre);
    }
  }
  return differing;
}

// A host that changed its upstream mostly knows the same hosts, and full lists
// are large for the links of small hosts.
void FillAllHosts(const State& aState,
                  Micros aNow,
                  const Follower& aFollower,
                  wire::FollowReply& aReply)
{
  const bool compares = aFollower.mCompact && !aFollower.mKnownHosts.empty();
  const std::set<std::string> differing =
    compares
      ? DifferingDataCentres(Digests(aState, aFollower.mHost.mPeerAddress),
                             aFollower.mKnownHosts)
      : std::set<std::string>();
  aReply.set_compared(compares);
  for (const std::string& dataCentre : differing) {
    aReply.add_whole_data_centres(dataCentre);
  }
  for (const auto& [address, host] : aState.mHosts) {
    if (!host.mGone && (!compares || differing.count(host.mDataCentre) != 0)) {
      *aReply.add_hosts() = ToWire(host, aNow);
    }
  }
}

bool IsAt(const std::string& aAddress, std::string_view aIp) noexcept
{
  const std::string_view address = aAddress;
  return address.substr(0, address.rfind(':')) == aIp;
}

} // namespace

bool IsHostAt(const State& aState, std::string_view aIp) noexcept
{
  return !aIp.empty() &&
         std::any_of(
           aState.mHosts.begin(), aState.mHosts.end(), [&](const auto& aEntry) {
             const Host& host = aEntry.second;
             return !host.mGone &&
                    host.mPeerAddress != aState.mSettings.mPeerAddress &&
                    (IsAt(host.mPeerAddress, aIp) ||
                     IsAt(host.mCallerAddress, aIp));
           });
}

bool SameState(const Host& aLeft, const Host& aRight)
{
  return aLeft.mIncarnation == aRight.mIncarnation &&
         aLeft.mReady == aRight.mReady && aLeft.mStopping == aRight.mStopping &&
         aLeft.mGone == aRight.mGone && aLeft.mCutOff == aRight.mCutOff &&
         aLeft.mCallerAddress == aRight.mCallerAddress;
}

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
  host.set_control(aHost.mControl);
  host.set_cut_off(aHost.mCutOff);
  host.set_link_mbps(static_cast<float>(aHost.mLinkMbps));
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
           aHost.gone(),
           aHost.control(),
           false,
           aHost.cut_off(),
           aHost.link_mbps() };
}

// Excludes the asking host, whose own report may still be under way.
HostDigests Digests(const State& aState, const std::string& aExcept)
{
  HostDigests digests;
  for (const auto& [address, host] : aState.mHosts) {
    if (!host.mGone && address != aExcept) {
      digests[host.mDataCentre] ^= DigestOf(host);
    }
  }
  return digests;
}

// Reports are frequent and changes are rare, so the digest is cached.
std::uint64_t DigestOfAll(State& aState, const std::string& aExcept)
{
  if (aState.mHostsDigestSequence != aState.mHostsSequence) {
    aState.mHostsDigest = 0;
    for (const auto& [dataCentre, digest] : Digests(aState, "")) {
      aState.mHostsDigest ^= digest;
    }
    aState.mHostsDigestSequence = aState.mHostsSequence;
  }
  const auto found = aState.mHosts.find(aExcept);
  const bool counted = found != aState.mHosts.end() && !found->second.mGone;
  return aState.mHostsDigest ^ (counted ? DigestOf(found->second) : 0);
}

// The later incarnation wins; within the same one, the most recent report does.
// If a clock was set back, a lower incarnation may be the later one, so an
// expired entry is always replaced. An entry without a reporter was learned
// from an upstream, which confirms all hosts that it has not yet heard to be
// gone: its time says nothing about the host.
void MergeHost(State& aState, Host aHost)
{
  // Nobody knows more of this host than it does.
  if (aHost.mPeerAddress == aState.mSettings.mPeerAddress) {
    return;
  }
  if (aHost.mGone) {
    MergeGone(aState, aHost);
    return;
  }
  Host& known = aState.mHosts[aHost.mPeerAddress];
  const bool isNew = known.mPeerAddress.empty();
  const bool expired = aHost.mHeardAt - known.mHeardAt >= kHostLease;
  const bool later =
    isNew || expired || aHost.mIncarnation > known.mIncarnation ||
    (aHost.mIncarnation == known.mIncarnation &&
     (aHost.mHeardAt >= known.mHeardAt || known.mReportedBy.empty()));
  if (!later) {
    return;
  }
  if (!isNew && aHost.mIncarnation == known.mIncarnation) {
    aHost.mStopping = aHost.mStopping || known.mStopping;
  }
  aHost.mReporterUnshared =
    isNew || known.mReporterUnshared || known.mReportedBy != aHost.mReportedBy;
  const bool same = !isNew && SameState(known, aHost);
  aHost.mSequence = same ? known.mSequence : ++aState.mHostsSequence;
  if (!same && aHost.mStopping) {
    aState.mHostsUrgent = aState.mHostsSequence;
  }
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
  if (aFollower.mHostsSequence == 0) {
    FillAllHosts(aState, aNow, aFollower, aReply);
  } else if (aFollower.mHostsSequence < aState.mHostsSequence) {
    for (const auto& [address, host] : aState.mHosts) {
      if (host.mSequence > aFollower.mHostsSequence) {
        *aReply.add_hosts() = ToWire(host, aNow);
      }
    }
  }
  aFollower.mHostsSequence = aState.mHostsSequence;
}

// The upstream sends only changes; all other hosts were last heard at the time
// of its confirmation.
void ApplyHostChanges(State& aState,
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
  int changes =
    aMessage.hosts_after() == 0 ? MarkUnlistedGone(aState, aMessage) : 0;
  for (const wire::FleetHost& host : aMessage.hosts()) {
    if (host.peer_address() != aState.mSettings.mPeerAddress) {
      changes += ApplyHostChange(aState, FromWire(host, aNow)) ? 1 : 0;
    }
  }
  aState.mUpstreamIncarnation = aMessage.hosts_incarnation();
  if (changes > 0) {
    aOut.mHostsChanged = true;
    aOut.mLogLines.push_back(
      { 1,
        "event=hosts_changed changes=" + std::to_string(changes) +
          " known=" + std::to_string(aState.mHosts.size()) +
          " upstream=" + aState.mUpstream });
  }
  const Micros confirmedAt = ConfirmedAtOf(aMessage, aNow);
  for (auto& [address, host] : aState.mHosts) {
    host.mHeardAt =
      host.mGone ? host.mHeardAt : std::max(host.mHeardAt, confirmedAt);
  }
  aState.mUpstreamSequence = aMessage.hosts_sequence();
  // A message from the previous upstream may have arrived after this host
  // reported its hosts to the new one.
  if (aMessage.hosts_differ()) {
    aState.mUpstreamSequence = 0;
    aState.mUpstreamIncarnation = 0;
  }
}

// Followers of a control host that fell silent need time to find another one
// and to be reported by it; until then their silence says nothing about them.
Micros LeaseOf(const State& aState, const Host& aHost, Micros aNow)
{
  // Learned from an upstream before this host became a voter.
  if (aHost.mReportedBy.empty()) {
    return kIndirectLease + kFailoverTime;
  }
  const auto reporter = aState.mHosts.find(aHost.mReportedBy);
  if (reporter == aState.mHosts.end() ||
      reporter->first == aState.mSettings.mPeerAddress ||
      reporter->first == aHost.mPeerAddress) {
    return kHostLease;
  }
  const Micros lease =
    IsControlAddress(aState, reporter->first) ? kIndirectLease : kHostLease;
  const bool silent =
    reporter->second.mGone ||
    aNow - reporter->second.mHeardAt > 2 * kHostReportInterval;
  return silent ? lease + kFailoverTime : lease;
}

// Other control hosts trust the last reporter of a host, so a new reporter is
// news to them even if the host did not change.
void AddFollowersToReport(State& aState, Micros aNow, wire::Follow& aFollow)
{
  const bool all = ++aState.mReportCount % kFullReportEvery == 0;
  const std::string& self = aState.mSettings.mPeerAddress;
  for (auto& [address, host] : aState.mHosts) {
    const bool isDirect = host.mReportedBy == self && address != self;
    const bool isFollower =
      isDirect || aState.mFollowers.count(host.mReportedBy) != 0;
    const bool isChanged =
      host.mSequence > aState.mHostsShared || host.mReporterUnshared;
    if (isFollower && (isChanged || (all && !host.mGone))) {
      *aFollow.add_followers() = ToWire(host, aNow);
    }
    host.mReporterUnshared = false;
  }
  aState.mHostsShared = aState.mHostsSequence;
}

// Fleets replace their hosts: if gone hosts were never dropped, each would cost
// every other host some 200 bytes, and time for each report.
void ForgetGoneHosts(State& aState, Micros aNow)
{
  for (auto it = aState.mHosts.begin(); it != aState.mHosts.end();) {
    const Host& host = it->second;
    const bool forgotten = host.mGone && aNow - host.mHeardAt > kGoneRetention;
    it = forgotten ? aState.mHosts.erase(it) : std::next(it);
  }
}

void ExpireHosts(State& aState, Micros aNow, Output& aOut)
{
  if (!HasVote(aState)) {
    return;
  }
  // Without the group's majority, silence says more about this host's links
  // than about the other hosts.
  if (!IsInTouch(aState, aNow)) {
    for (auto& [address, host] : aState.mHosts) {
      host.mHeardAt = std::max(host.mHeardAt, aNow - kHostLease / 2);
    }
  }
  for (auto& [address, host] : aState.mHosts) {
    if (!host.mGone && aNow - host.mHeardAt >= LeaseOf(aState, host, aNow)) {
      host.mGone = true;
      host.mSequence = ++aState.mHostsSequence;
      aState.mHostsUrgent = host.mSequence;
      aOut.mLogLines.push_back(
        { 2,
          "event=host_gone host=" + address + " told_by=" + host.mReportedBy +
            " silent_ms=" +
            std::to_string((aNow - host.mHeardAt) / kMillisecond) });
    }
  }
}

void PublishHostChanges(State& aState, Micros aNow, Output& aOut)
{
  if (!HasVote(aState) || aState.mHostsSequence == aState.mHostsPublished) {
    return;
  }
  const bool urgent = aState.mHostsUrgent > aState.mHostsPublished;
  aState.mHostsPublished = aState.mHostsSequence;
  aOut.mHostsChanged = true;
  // Followers receive most changes with the answer to their next report; a host
  // that stops or is gone must disappear from their answers to clients sooner.
  if (urgent) {
    PushToFollowers(aState, aNow, aOut);
  }
}

} // namespace geraniumpond::fleet
