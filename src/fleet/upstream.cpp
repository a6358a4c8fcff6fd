#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>
#include <limits>

// How a host that does not vote finds, keeps and leaves its upstream. Cycles
// can form while host lists differ and through referrals; each reply names the
// hosts that it passed, by which a cycle is detected and left.
namespace geraniumpond::fleet {

namespace {

/// Interval at which a host looks for a better upstream; long compared to the
/// announcements of a starting fleet.
constexpr Micros kRebalancePause = 2 * kSecond;
/// Time for the control host of the own data centre to answer before another
/// offer is accepted. In a starting fleet each control host has some 78 askers
/// and sends as many snapshots.
constexpr Micros kOfferWait = 150 * kMillisecond;
/// Time for an accepted host to send its catalog before another offer is
/// considered: a snapshot on a slow link.
constexpr Micros kAnswerWait = 500 * kMillisecond;
/// Pause before the next host is asked: several round trips, so that a host
/// that is still down costs its askers little. Hosts handle these questions
/// last, so that those of 470 hosts delay nothing.
constexpr Micros kDiscoveryStep = 30 * kMillisecond;

// If the upstream's confirmation is old, other hosts may be no better off; the
// upstream is left only once another host has sent a newer one.
bool IsUpstreamHealthy(const State& aState, Micros aNow)
{
  const Micros since = aState.mUpstreamSince;
  const Micros heardAt = std::max(aState.mUpstreamHeardAt, since);
  const Micros goodAt = std::max(aState.mUpstreamConfirmedAt, since);
  const bool isBehind = aNow - goodAt > kUpstreamTimeout &&
                        aState.mConfirmedAt > goodAt + kHostReportInterval;
  return !aState.mUpstream.empty() && !isBehind &&
         aNow - heardAt <= kUpstreamTimeout;
}

// The control host that sent the newest confirmation is certainly alive.
std::string FallbackControl(const State& aState, Micros aNow)
{
  const std::string& sender = aState.mConfirmedBy;
  const bool isAlive = sender != aState.mUpstream &&
                       IsControlAddress(aState, sender) &&
                       !IsSuspect(aState, sender, aNow) &&
                       aNow - aState.mConfirmedAt < kUpstreamTimeout;
  return isAlive ? sender : PreferredControl(aState, aNow);
}

// A control host certainly has newer information, and knows which relays
// remain; the next search for a better upstream returns to the tree.
void LeaveUpstream(State& aState, Micros aNow, Output& aOut)
{
  const std::string last = aState.mUpstream;
  MarkSuspect(aState, last, aNow);
  ++aState.mCounters.mUpstreamsLost;
  const std::string next = FallbackControl(aState, aNow);
  aOut.mLogLines.push_back(
    { 2,
      "event=upstream_lost upstream=" + last + " next=" + next + " silent_ms=" +
        std::to_string((aNow - aState.mUpstreamHeardAt) / kMillisecond) +
        " out_of_touch_ms=" +
        std::to_string((aNow - aState.mUpstreamConfirmedAt) / kMillisecond) +
        " relays=" + std::to_string(aState.mRoute.size()) });
  if (!next.empty()) {
    SetUpstream(aState, next, aNow);
  }
}

void SendReport(State& aState,
                const std::string& aAddress,
                wire::Follow aFollow,
                Output& aOut)
{
  if (aAddress.empty() || aAddress == aState.mSettings.mPeerAddress) {
    return;
  }
  wire::FleetMessage message;
  *message.mutable_follow() = std::move(aFollow);
  SendTo(aState, aAddress, std::move(message), aOut);
}

// Sequence numbers of one upstream mean nothing to another.
wire::Follow FreshReport(const State& aState, Micros aNow)
{
  wire::Follow follow = OwnReport(aState, aNow);
  follow.clear_hosts_sequence();
  follow.clear_hosts_incarnation();
  for (const auto& [dataCentre, digest] :
       Digests(aState, aState.mSettings.mPeerAddress)) {
    wire::HostsDigest& known = *follow.add_known_hosts();
    known.set_data_centre(dataCentre);
    known.set_digest(digest);
  }
  return follow;
}

void ReportToUpstream(State& aState, Micros aNow, Output& aOut)
{
  wire::Follow follow = aState.mUpstreamIncarnation == 0
                          ? FreshReport(aState, aNow)
                          : OwnReport(aState, aNow);
  if (aState.mUpstreamIncarnation != 0) {
    follow.set_hosts_digest(DigestOfAll(aState, aState.mSettings.mPeerAddress));
  }
  AddDownstreamHosts(aState, aNow, follow);
  SendReport(aState, aState.mUpstream, std::move(follow), aOut);
}

// The old upstream is kept until the new one has answered.
void TryBetterUpstream(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mRebalanceAt) {
    return;
  }
  const bool first = aState.mRebalanceAt == 0;
  const Micros jitter = static_cast<Micros>(
    Hash64(aState.mSettings.mPeerAddress, static_cast<std::uint64_t>(aNow)) %
    static_cast<std::uint64_t>(kRebalancePause / 2));
  aState.mRebalanceAt = aNow + kRebalancePause / 2 + jitter;
  if (first) {
    return;
  }
  if (!aState.mCandidateUpstream.empty()) {
    MarkSuspect(aState, aState.mCandidateUpstream, aNow);
  }
  const std::string preferred = PreferredUpstream(aState, aNow);
  aState.mCandidateUpstream = preferred == aState.mUpstream ? "" : preferred;
  if (!aState.mCandidateUpstream.empty()) {
    SendReport(
      aState, aState.mCandidateUpstream, FreshReport(aState, aNow), aOut);
  }
}

void SwitchToCandidate(State& aState, Micros aNow, Output& aOut)
{
  wire::Follow leaving = OwnReport(aState, aNow);
  leaving.set_leaves(true);
  SendReport(aState, aState.mUpstream, std::move(leaving), aOut);
  aOut.mLogLines.push_back(
    { 1,
      "event=upstream_changed upstream=" + aState.mUpstream +
        " next=" + aState.mCandidateUpstream });
  ++aState.mCounters.mUpstreamsLeft;
  SetUpstream(aState, aState.mCandidateUpstream, aNow);
}

void AcceptOffer(State& aState,
                 Micros aNow,
                 const std::string& aAddress,
                 Output& aOut)
{
  aState.mOffers.clear();
  aState.mAcceptOfferAt = 0;
  aState.mOfferAcceptedAt = aNow;
  SetUpstream(aState, aAddress, aNow);
  SendReport(aState, aAddress, FreshReport(aState, aNow), aOut);
}

// The control host of the own data centre, according to the group's addresses.
std::string NearControl(const State& aState,
                        Micros aNow,
                        const wire::FollowReply& aMessage)
{
  std::vector<std::string> near;
  const int known = std::min(aMessage.control_addresses_size(),
                             aMessage.control_data_centres_size());
  for (int i = 0; i < known; ++i) {
    const std::string& address = aMessage.control_addresses(i);
    if (aMessage.control_data_centres(i) == aState.mSettings.mDataCentre &&
        address != aState.mSettings.mPeerAddress &&
        !IsSuspect(aState, address, aNow)) {
      near.push_back(address);
    }
  }
  return Heaviest(aState, near);
}

// Traffic between data centres is expensive, and all hosts would follow the
// first one that is in touch. So the control host of the own data centre is
// tried first, and the host that offered itself is accepted only if that one
// does not answer.
void HandleOffer(State& aState,
                 Micros aNow,
                 const std::string& aFrom,
                 const wire::FollowReply& aMessage,
                 Output& aOut)
{
  const bool isOutdated =
    aMessage.control_term() < aState.mMembershipVersion.mTerm;
  const bool isWaiting = aState.mOfferAcceptedAt != 0 &&
                         aNow - aState.mOfferAcceptedAt < kAnswerWait;
  if (isOutdated || isWaiting) {
    return;
  }
  const std::string near = NearControl(aState, aNow, aMessage);
  const bool isNear = aMessage.data_centre() == aState.mSettings.mDataCentre;
  if (near.empty() || isNear) {
    AcceptOffer(aState, aNow, aFrom, aOut);
    return;
  }
  AcceptOffer(aState, aNow, near, aOut);
  aState.mOffers.insert(aFrom);
  aState.mAcceptOfferAt = aNow + kOfferWait;
}

void HandleBriefReply(State& aState,
                      Micros aNow,
                      const std::string& aFrom,
                      const wire::FollowReply& aMessage,
                      Output& aOut)
{
  const bool offers = aMessage.in_touch();
  // Voters of a minority consider themselves in touch until their leader steps
  // down, seconds after a partition: of two hosts that are in touch, the one
  // with the later term is followed.
  if (offers && aState.mInTouch &&
      aMessage.control_term() > aState.mMembershipVersion.mTerm) {
    AcceptOffer(aState, aNow, aFrom, aOut);
  } else if (offers && !aState.mInTouch) {
    HandleOffer(aState, aNow, aFrom, aMessage, aOut);
  }
  // The preferred host cannot be followed yet, so the waiting offer is accepted
  // at once.
  if (!offers && aFrom == aState.mUpstream && aState.mAcceptOfferAt != 0) {
    aState.mAcceptOfferAt = aNow;
  }
  const bool news = MergeControlAddresses(aState, aMessage);
  if (news && !aState.mInTouch && aState.mOfferAcceptedAt == 0) {
    aState.mDiscoverAt = aNow;
    DiscoverUpstream(aState, aNow, aOut);
  }
}

// The asked host has enough followers and refers this one to one of them.
void HandleReferral(State& aState,
                    Micros aNow,
                    const std::string& aFrom,
                    const std::string& aTo,
                    Output& aOut)
{
  if (aFrom == aState.mCandidateUpstream) {
    aState.mCandidateUpstream.clear();
  } else if (aFrom == aState.mUpstream &&
             aTo != aState.mSettings.mPeerAddress) {
    AcceptOffer(aState, aNow, aTo, aOut);
  }
}

// Two hosts that moved at the same moment may follow each other; neither would
// then receive anything from the group.
bool IsCycle(const State& aState, const wire::FollowReply& aMessage)
{
  const auto& route = aMessage.route();
  return std::count(
           route.begin(), route.end(), aState.mSettings.mPeerAddress) != 0;
}

void UpdateFromUpstream(State& aState,
                        Micros aNow,
                        const wire::FollowReply& aMessage,
                        Output& aOut)
{
  SetInTouch(aState, aMessage.in_touch(), aOut);
  aState.mUpstreamHeardAt = aNow;
  if (aMessage.in_touch()) {
    aState.mUpstreamConfirmedAt =
      std::max(aState.mUpstreamConfirmedAt, ConfirmedAtOf(aMessage, aNow));
  }
  aState.mRoute.assign(aMessage.route().begin(), aMessage.route().end());
  aState.mRoute.push_back(aState.mUpstream);
  aState.mLeaderAddress = aMessage.leader_address();
  (void)MergeControlAddresses(aState, aMessage);
}

void UpdateFollowers(State& aState,
                     Micros aNow,
                     bool aNewerConfirmation,
                     Output& aOut)
{
  PushIfNeeded(aState, aNow, aOut);
  if (aNewerConfirmation) {
    ForwardConfirmation(aState, aNow, aOut);
  }
}

} // namespace

void SetUpstream(State& aState, const std::string& aAddress, Micros aNow)
{
  if (aAddress != aState.mUpstream) {
    aState.mUpstreamSequence = 0;
    aState.mUpstreamIncarnation = 0;
  }
  aState.mUpstream = aAddress;
  aState.mUpstreamSince = aNow;
  aState.mCandidateUpstream.clear();
}

void SetInTouch(State& aState, bool aInTouch, Output& aOut)
{
  if (aInTouch != aState.mInTouch) {
    aOut.mLogLines.push_back({ aInTouch ? 1 : 2,
                               std::string("event=control_") +
                                 (aInTouch ? "regained" : "lost") +
                                 " upstream=" + aState.mUpstream });
  }
  aState.mInTouch = aInTouch;
  aState.mDiscoveryPause = aInTouch ? 0 : aState.mDiscoveryPause;
  aState.mDiscoverAt = aInTouch ? 0 : aState.mDiscoverAt;
  if (aInTouch) {
    aState.mDiscoveryAsked.clear();
  }
  aState.mOfferAcceptedAt = aInTouch ? 0 : aState.mOfferAcceptedAt;
  aState.mRebalanceAt = aInTouch ? aState.mRebalanceAt : 0;
}

wire::Follow OwnReport(const State& aState, Micros aNow)
{
  wire::Follow follow;
  *follow.mutable_host() =
    ToWire(aState.mHosts.at(aState.mSettings.mPeerAddress), aNow);
  follow.set_applied(aState.mApplied);
  follow.set_policy_version(aState.mCatalog.mVersion);
  follow.set_hosts_sequence(aState.mUpstreamSequence);
  follow.set_hosts_incarnation(aState.mUpstreamIncarnation);
  follow.set_compact(true);
  return follow;
}

// Asks hosts of the own data centre first, if known; the order of the others
// differs from host to host.
void DiscoverUpstream(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mInTouch || HasVote(aState) || aNow < aState.mDiscoverAt) {
    return;
  }
  std::vector<std::string> near;
  std::vector<std::string> others;
  for (const std::string& address : ControlAndSeeds(aState)) {
    if (aState.mDiscoveryAsked.count(address) == 0 &&
        address != aState.mSettings.mPeerAddress) {
      (IsInOwnDataCentre(aState, address) ? near : others).push_back(address);
    }
  }
  const std::string next = Heaviest(aState, near.empty() ? others : near);
  if (!next.empty()) {
    aState.mDiscoveryAsked.insert(next);
    aState.mDiscoverAt = aNow + kDiscoveryStep;
    wire::Follow follow = OwnReport(aState, aNow);
    follow.set_brief(true);
    SendReport(aState, next, std::move(follow), aOut);
    return;
  }
  const Micros pause =
    std::clamp(2 * aState.mDiscoveryPause, kHostReportInterval, kMaxQueryPause);
  const auto jitter =
    static_cast<Micros>(Weight(aState, std::to_string(aNow)) %
                        static_cast<std::uint64_t>(pause / 4));
  aState.mDiscoveryAsked.clear();
  aState.mDiscoveryPause = pause;
  aState.mDiscoverAt = aNow + pause - jitter;
}

Micros NextUpstreamTime(const State& aState) noexcept
{
  Micros next = std::numeric_limits<Micros>::max();
  if (aState.mAcceptOfferAt != 0) {
    next = std::min(next, aState.mAcceptOfferAt);
  }
  if (!aState.mInTouch && !HasVote(aState)) {
    next = std::min(next, aState.mDiscoverAt);
  }
  return next;
}

// While out of touch, a host asks all control hosts and seeds whether they are
// in touch: half of the control hosts may be cut off, or all known ones may
// have been replaced, which the seeds can tell. None sends its catalog before
// it is followed.
void MaintainUpstream(State& aState, Micros aNow, Output& aOut)
{
  const Micros heardAt = std::max(aState.mUpstreamHeardAt, aState.mConfirmedAt);
  if (aState.mInTouch && aNow - heardAt >= kConfirmationTimeout) {
    SetInTouch(aState, false, aOut);
  }
  if (!aState.mInTouch) {
    DiscoverUpstream(aState, aNow, aOut);
    return;
  }
  if (!IsUpstreamHealthy(aState, aNow)) {
    LeaveUpstream(aState, aNow, aOut);
  }
  ReportToUpstream(aState, aNow, aOut);
  TryBetterUpstream(aState, aNow, aOut);
}

void AcceptWaitingOffer(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mAcceptOfferAt == 0 || aNow < aState.mAcceptOfferAt) {
    return;
  }
  const std::vector<std::string> offers(aState.mOffers.begin(),
                                        aState.mOffers.end());
  aState.mOffers.clear();
  aState.mAcceptOfferAt = 0;
  if (!aState.mInTouch && !HasVote(aState)) {
    MarkSuspect(aState, aState.mUpstream, aNow);
    AcceptOffer(aState, aNow, Heaviest(aState, offers), aOut);
  }
}

void HandleReportReply(State& aState,
                       Micros aNow,
                       const std::string& aFrom,
                       const wire::FollowReply& aMessage,
                       Output& aOut)
{
  if (HasVote(aState)) {
    return;
  }
  if (aMessage.brief()) {
    HandleBriefReply(aState, aNow, aFrom, aMessage, aOut);
    return;
  }
  if (!IsControlMember(aState)) {
    ApplyReplyCommands(aState, aFrom, aMessage, aOut);
  }
  if (!aMessage.refer_to().empty()) {
    HandleReferral(aState, aNow, aFrom, aMessage.refer_to(), aOut);
    return;
  }
  const bool newer = UpdateConfirmation(aState, aNow, aFrom, aMessage);
  if (aMessage.once()) {
    HandleQueryAnswer(aState, aNow);
    (void)MergeControlAddresses(aState, aMessage);
    UpdateFollowers(aState, aNow, newer, aOut);
    return;
  }
  const bool current =
    aMessage.in_touch() &&
    aMessage.control_term() >= aState.mMembershipVersion.mTerm &&
    aNow - ConfirmedAtOf(aMessage, aNow) <= kUpstreamTimeout;
  if (current && aFrom == aState.mCandidateUpstream) {
    SwitchToCandidate(aState, aNow, aOut);
  } else if (current && !aState.mInTouch) {
    SetUpstream(aState, aFrom, aNow);
  }
  if (aFrom == aState.mUpstream && IsCycle(aState, aMessage)) {
    LeaveUpstream(aState, aNow, aOut);
    ReportToUpstream(aState, aNow, aOut);
  } else if (aFrom == aState.mUpstream) {
    UpdateFromUpstream(aState, aNow, aMessage, aOut);
    ApplyHostChanges(aState, aNow, aMessage, aOut);
  }
  UpdateFollowers(aState, aNow, newer, aOut);
}

} // namespace geraniumpond::fleet
