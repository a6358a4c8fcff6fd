#include "context.h"

#include <algorithm>
#include <limits>

namespace geraniumpond::node {

namespace {

constexpr Micros kFactMemory = 10 * kMinute;

void Start(Context& aContext, const wire::Started& aEvent)
{
  State& state = aContext.mState;
  state = State();
  state.mStarted = true;
  state.mStartedAt = aContext.mNow;
  state.mSettings = aEvent.settings();
  state.mIncarnation = aEvent.incarnation();
  state.mHostBudget = { MeasuringBudget().mBytesPerHost,
                        4 * MeasuringBudget().mBytesPerHost,
                        4 * MeasuringBudget().mBytesPerHost,
                        aContext.mNow };
  AnnounceSelf(aContext);
  if (state.mSettings.control()) {
    StartGroup(aContext, aEvent);
  }
  if (aEvent.has_cached()) {
    AdoptDeployment(aContext, aEvent.cached());
  }
  RequestDeployment(aContext);
  Heartbeat(aContext);
}

void FireTimers(Context& aContext)
{
  auto& timers = aContext.mState.mTimers;
  while (!timers.empty() && std::get<0>(*timers.begin()) <= aContext.mNow) {
    const auto [at, kind, request] = *timers.begin();
    timers.erase(timers.begin());
    FireTimer(aContext, kind, request);
  }
}

void Tick(Context& aContext)
{
  FireTimers(aContext);
  RetryProposals(aContext);
  TickGroup(aContext);
  if (aContext.mNow >= aContext.mState.mHeartbeatAt) {
    Heartbeat(aContext);
    ExpireLeases(aContext);
    membership::RemoveGone(
      aContext.mState.mDirectory, aContext.mNow, kFactMemory);
    CheckReady(aContext);
    // Ask only at the heartbeat interval: asking upon each reply would loop.
    if (!aContext.mState.mReady) {
      RequestDeployment(aContext);
    }
  }
  if (aContext.mNow >= aContext.mState.mGossipAt) {
    Gossip(aContext);
  }
}

void HandlePeerMessage(Context& aContext, const wire::PeerMessage& aMessage)
{
  const std::string& from = aMessage.from();
  aContext.mState.mPeers[from].mAddress = aMessage.from_address();
  switch (aMessage.body_case()) {
    case wire::PeerMessage::kConsensus:
      HandleConsensusMessage(aContext, aMessage.consensus());
      break;
    case wire::PeerMessage::kFactPush:
      HandleFactPush(aContext, aMessage.fact_push());
      break;
    case wire::PeerMessage::kDigestOffer:
      HandleDigestOffer(aContext, from, aMessage.digest_offer());
      break;
    case wire::PeerMessage::kFactRequest:
      HandleFactRequest(aContext, from, aMessage.fact_request());
      break;
    case wire::PeerMessage::kHeartbeat:
      HandleHeartbeat(
        aContext, from, aMessage.from_incarnation(), aMessage.heartbeat());
      break;
    case wire::PeerMessage::kDeploymentPush:
      HandleDeploymentPush(aContext, from, aMessage.deployment_push());
      break;
    case wire::PeerMessage::kDeploymentRequest:
      SendDeployment(aContext, from, false);
      break;
    case wire::PeerMessage::kProposal:
      HandleProposal(aContext, from, aMessage.proposal());
      break;
    case wire::PeerMessage::kProposalReply:
      HandleProposalReply(aContext, aMessage.proposal_reply());
      break;
    case wire::PeerMessage::kJoinRequest:
      HandleJoinRequest(aContext, aMessage.join_request());
      break;
    case wire::PeerMessage::BODY_NOT_SET:
      aContext.Count("peer_messages_unknown");
      break;
  }
}

void Take(Context& aContext, const wire::Event& aEvent)
{
  switch (aEvent.body_case()) {
    case wire::Event::kStarted:
      Start(aContext, aEvent.started());
      break;
    case wire::Event::kTick:
      Tick(aContext);
      break;
    case wire::Event::kPeer:
      HandlePeerMessage(aContext, aEvent.peer());
      break;
    case wire::Event::kRequest:
      HandleRequest(aContext, aEvent.request());
      break;
    case wire::Event::kHead:
      HandleAttemptHead(aContext, aEvent.head());
      break;
    case wire::Event::kEnded:
      HandleAttemptEnd(aContext, aEvent.ended());
      break;
    case wire::Event::kClientGone:
      HandleClientGone(aContext, aEvent.client_gone().request());
      break;
    case wire::Event::kAnnounced:
      HandleAnnouncement(aContext, aEvent.announced());
      break;
    case wire::Event::kApply:
      HandleApply(aContext, aEvent.apply());
      break;
    case wire::Event::kDrain:
      HandleDrain(aContext, aEvent.drain());
      break;
    case wire::Event::kSyncDone:
      HandleSync(aContext, aEvent.sync_done().sequence());
      break;
    case wire::Event::kSyncFailed:
      HandleSyncFailure(aContext, aEvent.sync_failed().reason());
      break;
    case wire::Event::kStop:
      BeginStop(aContext);
      break;
    case wire::Event::kMalformed:
      aContext.Count("malformed_" +
                     std::to_string(aEvent.malformed().status()));
      break;
    case wire::Event::BODY_NOT_SET:
      break;
  }
}

Micros NextWake(const State& aState)
{
  Micros next = std::min(aState.mHeartbeatAt, aState.mGossipAt);
  if (!aState.mTimers.empty()) {
    next = std::min(next, std::get<0>(*aState.mTimers.begin()));
  }
  if (aState.mSettings.control()) {
    next = std::min(next, consensus::NextTick(aState.mGroup));
  }
  return std::min(next, NextProposalTime(aState));
}

void SetTimer(Context& aContext)
{
  const Micros next = NextWake(aContext.mState);
  if (next != aContext.mState.mTimerAt) {
    aContext.mState.mTimerAt = next;
    aContext.Add().mutable_timer()->set_at_us(next);
  }
}

} // namespace

void Context::Log(int aLevel, const std::string& aMessage) const
{
  wire::Log& log = *Add().mutable_log();
  log.set_level(static_cast<std::uint32_t>(aLevel));
  log.set_message(aMessage);
}

wire::Effects Step(State& aState, const wire::Event& aEvent)
{
  wire::Effects effects;
  if (!aState.mStarted && !aEvent.has_started()) {
    return effects;
  }
  Context context{ aState, aEvent.now_us(), aEvent.random(), effects };
  Take(context, aEvent);
  ContinueStop(context);
  SetTimer(context);
  return effects;
}

std::string AddressOf(const State& aState, const std::string& aHost)
{
  const wire::Fact* fact =
    membership::Find(aState.mDirectory, { wire::FACT_HOST, "", aHost });
  if (fact != nullptr && !fact->peer_address().empty()) {
    return fact->peer_address();
  }
  for (const wire::Peer& peer : aState.mSettings.voters()) {
    if (peer.id() == aHost) {
      return peer.address();
    }
  }
  for (const wire::Peer& peer : aState.mSettings.seeds()) {
    if (peer.id() == aHost) {
      return peer.address();
    }
  }
  const auto peer = aState.mPeers.find(aHost);
  return peer == aState.mPeers.end() ? "" : peer->second.mAddress;
}

bool IsControlHost(const State& aState, const std::string& aHost)
{
  const auto& voters = aState.mSettings.voters();
  return std::any_of(
    voters.begin(), voters.end(), [&](const wire::Peer& aPeer) {
      return aPeer.id() == aHost;
    });
}

void SendTo(Context& aContext,
            const std::string& aHost,
            wire::PeerMessage aMessage)
{
  const std::string address = AddressOf(aContext.mState, aHost);
  if (address.empty()) {
    aContext.Count("peer_messages_without_address");
    return;
  }
  aMessage.set_from(aContext.Self());
  aMessage.set_from_incarnation(aContext.mState.mIncarnation);
  aMessage.set_from_address(aContext.mState.mSettings.peer_address());
  wire::SendPeer& send = *aContext.Add().mutable_send();
  send.set_to(aHost);
  send.set_address(address);
  *send.mutable_message() = std::move(aMessage);
}

wire::HostSettings ToWire(const Settings& aSettings)
{
  wire::HostSettings settings;
  settings.set_id(aSettings.mId);
  settings.set_data_centre(aSettings.mDataCentre);
  settings.set_caller_address(aSettings.mCallerAddress);
  settings.set_peer_address(aSettings.mPeerAddress);
  settings.set_admin_address(aSettings.mAdminAddress);
  settings.set_entry(aSettings.mEntry);
  settings.set_control(aSettings.mControl);
  settings.set_operator_token_sha256(aSettings.mOperatorTokenSha256);
  settings.set_answer_keep_ms(
    static_cast<std::uint32_t>(aSettings.mAnswerKeep / kMillisecond));
  for (const PeerAddress& peer : aSettings.mVoters) {
    wire::Peer& voter = *settings.add_voters();
    voter.set_id(peer.mId);
    voter.set_address(peer.mAddress);
  }
  for (const PeerAddress& peer : aSettings.mSeeds) {
    wire::Peer& seed = *settings.add_seeds();
    seed.set_id(peer.mId);
    seed.set_address(peer.mAddress);
  }
  return settings;
}

bool IsReady(const State& aState) noexcept
{
  return aState.mReady && !aState.mExited;
}

} // namespace geraniumpond::node
