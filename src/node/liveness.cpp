#include "context.h"

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr Micros kHeartbeatInterval = 500 * kMillisecond;
// Time without a heartbeat after which a host is considered gone.
constexpr Micros kSuspectAfter = 2500 * kMillisecond;
// Number of ring neighbours that each host sends heartbeats to.
constexpr int kRingWidth = 3;
// One heartbeat in this many is also sent to the control hosts.
constexpr std::uint64_t kControlEvery = 4;
// Time in which a target whose lease-holding host is gone may register with
// another host before it is removed.
constexpr Micros kOrphanGrace = 5 * kSecond;

// Recipients of heartbeats. Ring neighbours detect each other's failures;
// control hosts only learn the deployment version in force.
std::set<std::string> HeartbeatRecipients(const State& aState)
{
  std::set<std::string> audience;
  for (const wire::Fact* host : membership::Successors(
         aState.mDirectory, aState.mSettings.id(), kRingWidth)) {
    audience.insert(host->id());
  }
  if (aState.mHeartbeatNumber % kControlEvery == 1) {
    for (const wire::Peer& voter : aState.mSettings.voters()) {
      audience.insert(voter.id());
    }
  }
  audience.erase(aState.mSettings.id());
  return audience;
}

bool ExpectsHeartbeat(const State& aState, const std::string& aHost)
{
  const auto successors =
    membership::Successors(aState.mDirectory, aHost, kRingWidth);
  return std::any_of(
    successors.begin(), successors.end(), [&](const wire::Fact* aFact) {
      return aFact->id() == aState.mSettings.id();
    });
}

void Suspect(Context& aContext, const wire::Fact& aHost)
{
  aContext.Count("hosts_suspected");
  aContext.Log(kWarning, "host " + aHost.id() + " is silent: taken as gone");
  wire::Fact fact = aHost;
  fact.set_sequence(aHost.sequence() + 1);
  fact.set_gone(true);
  Publish(aContext, fact);
}

void CheckHosts(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<wire::Fact> silent;
  for (const wire::Fact* host : membership::Hosts(state.mDirectory)) {
    if (host->id() == aContext.Self()) {
      continue;
    }
    PeerState& peer = state.mPeers[host->id()];
    if (!ExpectsHeartbeat(state, host->id())) {
      peer.mExpectedSince = 0;
      continue;
    }
    if (peer.mExpectedSince == 0) {
      peer.mExpectedSince = aContext.mNow;
    }
    const Micros since = std::max(peer.mHeardAt, peer.mExpectedSince);
    if (aContext.mNow - since > kSuspectAfter) {
      peer.mExpectedSince = 0;
      silent.push_back(*host);
    }
  }
  for (const wire::Fact& host : silent) {
    Suspect(aContext, host);
  }
}

// A target that still answers requests is alive even if the host that holds
// its lease is gone.
bool HasAnsweredRecently(State& aState, const wire::Fact& aFact, Micros aNow)
{
  const auto service = aState.mServices.find(aFact.service());
  if (service == aState.mServices.end()) {
    return false;
  }
  const routing::Target* target =
    routing::Find(service->second.mTargets, aFact.id());
  return target != nullptr && target->mFailures == 0 &&
         aNow - target->mSampledAt < kOrphanGrace;
}

bool IsOrphan(const State& aState, const wire::Fact& aFact, Micros aNow)
{
  const auto origin =
    aState.mDirectory.mFacts.find({ wire::FACT_HOST, "", aFact.origin() });
  if (origin == aState.mDirectory.mFacts.end()) {
    return true;
  }
  return origin->second.mFact.gone() &&
         aNow - origin->second.mChangedAt > kOrphanGrace;
}

void EndTarget(Context& aContext, wire::Fact aFact, const char* aCounter)
{
  aContext.Count(aCounter);
  aFact.set_sequence(aFact.sequence() + 1);
  aFact.set_gone(true);
  Publish(aContext, aFact);
}

} // namespace

void SendHeartbeat(Context& aContext, const std::string& aHost)
{
  State& state = aContext.mState;
  wire::PeerMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_version(state.mVersion.version());
  heartbeat.set_number(state.mHeartbeatNumber);
  heartbeat.set_echo(state.mPeers[aHost].mLastHeartbeatNumber);
  SendTo(aContext, aHost, std::move(message));
}

void Heartbeat(Context& aContext)
{
  State& state = aContext.mState;
  state.mHeartbeatAt = aContext.mNow + kHeartbeatInterval;
  ++state.mHeartbeatNumber;
  for (const std::string& host : HeartbeatRecipients(state)) {
    SendHeartbeat(aContext, host);
  }
  CheckHosts(aContext);
}

void HandleHeartbeat(Context& aContext,
                     const std::string& aFrom,
                     std::uint64_t aIncarnation,
                     const wire::Heartbeat& aMessage)
{
  State& state = aContext.mState;
  PeerState& peer = state.mPeers[aFrom];
  if (aIncarnation < peer.mIncarnation) {
    return;
  }
  if (aIncarnation > peer.mIncarnation) {
    const std::string address = peer.mAddress;
    peer = PeerState();
    peer.mAddress = address;
    peer.mIncarnation = aIncarnation;
  }
  peer.mHeardAt = aContext.mNow;
  peer.mVersion = std::max(peer.mVersion, aMessage.version());
  peer.mLastHeartbeatNumber =
    std::max(peer.mLastHeartbeatNumber, aMessage.number());
  if (aMessage.version() < state.mVersion.version()) {
    aContext.Count("deployments_repaired");
    SendDeployment(aContext, aFrom, false);
  }
}

void ExpireLeases(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<wire::Fact> ended;
  std::vector<wire::Fact> orphans;
  for (const auto& [key, known] : state.mDirectory.mFacts) {
    const wire::Fact& fact = known.mFact;
    if (fact.kind() != wire::FACT_TARGET || fact.gone()) {
      continue;
    }
    if (fact.origin() == aContext.Self()) {
      const auto lease = state.mLeases.find(key);
      if (lease == state.mLeases.end() || lease->second <= aContext.mNow) {
        ended.push_back(fact);
      }
    } else if (aContext.mNow - state.mStartedAt > kOrphanGrace &&
               IsOrphan(state, fact, aContext.mNow) &&
               !HasAnsweredRecently(state, fact, aContext.mNow)) {
      orphans.push_back(fact);
    }
  }
  for (const wire::Fact& fact : ended) {
    state.mLeases.erase(membership::KeyOf(fact));
    EndTarget(aContext, fact, "target_leases_expired");
  }
  for (const wire::Fact& fact : orphans) {
    EndTarget(aContext, fact, "targets_orphaned");
  }
}

} // namespace geraniumpond::node
