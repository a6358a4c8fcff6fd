#include "internal.h"

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// Policies may be a hundred kilobytes each, and a disk holds 64 megabytes:
/// the log is kept to a few megabytes.
constexpr std::size_t kSnapshotEntries = 200;
constexpr std::size_t kRetainedEntries = 20;
/// After a loss of all hosts each tenth of a second until there is a leader
/// costs every client a request: a voter that starts asks for votes after 9 to
/// 19 ms, and again after 37 to 75 ms, in which an election with four syncs of
/// a disk of 5 ms ends.
constexpr Micros kFirstAskDivisor = 64;
constexpr Micros kFirstElectionDivisor = 16;
/// Commands that come within this time go to the members together; one alone
/// goes at once. A small part of the time that an operator waits for an answer,
/// which spares the leader most of its messages while a thousand targets
/// announce themselves.
constexpr Micros kBatchPause = 20 * kMillisecond;

void LoadRecovered(State& aState, Output& aOut)
{
  if (aState.mGroup.mSnapshot.state().empty()) {
    return;
  }
  Result<catalog::State> loaded =
    catalog::Load(aState.mGroup.mSnapshot.state());
  if (!loaded) {
    aOut.mNotes.push_back({ 3, "event=snapshot_unreadable" });
    consensus::MarkFailed(aState.mGroup);
    return;
  }
  aState.mCatalog = std::move(loaded.value());
  aState.mApplied = aState.mGroup.mSnapshot.index();
  aState.mRecentBase = aState.mApplied;
  aOut.mPolicyChanged = true;
  aOut.mTargetsChanged = true;
}

void RefreshOwnHost(State& aState, Micros aNow)
{
  const Settings& settings = aState.mSettings;
  Host& own = aState.mHosts[settings.mPeerAddress];
  const bool changed = own.mReady != aState.mReady ||
                       own.mStopping != aState.mStopping ||
                       own.mPeerAddress.empty();
  own.mPeerAddress = settings.mPeerAddress;
  own.mCallerAddress = settings.mCallerAddress;
  own.mDataCentre = settings.mDataCentre;
  own.mIncarnation = settings.mIncarnation;
  own.mControl = settings.mControl;
  own.mReady = aState.mReady;
  own.mStopping = aState.mStopping;
  own.mHeardAt = aNow;
  own.mSequence = changed ? ++aState.mHostsSequence : own.mSequence;
}

// A host that follows keeps the list as it was last told while it is out of
// touch: silence says nothing of the others then.
bool IsKnownAlive(const State& aState, const Host& aHost, Micros aNow)
{
  return !aHost.mGone && (!Votes(aState) ||
                          aNow - aHost.mHeardAt < LeaseOf(aState, aHost, aNow));
}

} // namespace

void SendTo(State& aState,
            const std::string& aAddress,
            wire::FleetMessage aMessage,
            Output& aOut)
{
  aMessage.set_from_address(aState.mSettings.mPeerAddress);
  aOut.mMessages.emplace_back(aAddress, std::move(aMessage));
}

bool IsControlMember(const State& aState) noexcept
{
  return aState.mSettings.mControl;
}

wire::Membership FoundingMembers(const std::vector<std::string>& aSeeds)
{
  wire::Membership membership;
  for (const std::string& seed : aSeeds) {
    wire::Member& member = *membership.add_members();
    member.set_id(MemberId(seed, consensus::kFoundingStorage));
    member.set_address(seed);
    member.set_storage(consensus::kFoundingStorage);
    member.set_voter(true);
  }
  return membership;
}

std::string MemberId(const std::string& aPeerAddress,
                     const std::string& aStorage)
{
  return aPeerAddress + "/" + aStorage;
}

State Open(const Settings& aSettings,
           const consensus::Recovered& aRecovered,
           Micros aNow,
           std::uint64_t aRandom,
           Output& aOut)
{
  State state;
  state.mSettings = aSettings;
  state.mControlAddresses = aSettings.mSeeds;
  if (aSettings.mControl) {
    state.mGroup = consensus::Open(
      MemberId(aSettings.mPeerAddress, aRecovered.mHard.storage()),
      aRecovered,
      aNow,
      aRandom);
    state.mGroup.mOptions.mStartupDivisor = kFirstElectionDivisor;
    state.mGroup.mElectionAt =
      aNow + (state.mGroup.mElectionAt - aNow) / kFirstAskDivisor;
    state.mGroup.mOptions.mBatchInterval = kBatchPause;
    state.mGroup.mOptions.mSnapshotInterval = kSnapshotEntries;
    state.mGroup.mOptions.mRetainedEntries = kRetainedEntries;
    LoadRecovered(state, aOut);
    NoteOpened(state, aOut);
  }
  state.mGossip.mIncarnation = aSettings.mIncarnation;
  state.mUpstreamTurn = static_cast<std::size_t>(aRandom % 1021);
  // An answer to a command of an earlier life of this host ends none of this.
  state.mLastSubmit = aRandom;
  RefreshOwnHost(state, aNow);
  state.mFollowAt = aNow;
  Tick(state, aNow, aRandom, aOut);
  return state;
}

void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  if (IsControlMember(aState)) {
    TickGroup(aState, aNow, aRandom, aOut);
  }
  if (aNow >= aState.mFollowAt) {
    aState.mFollowAt = aNow + kFollowInterval;
    RefreshOwnHost(aState, aNow);
    SendFollows(aState, aNow, aOut);
    ExpireHosts(aState, aNow, aOut);
    TellOfHosts(aState, aNow, aOut);
    ForgetGoneHosts(aState, aNow);
    if (IsControlMember(aState)) {
      WatchGroup(aState, aNow, aOut);
    }
  }
  if (aState.mPushAt != 0 && aNow >= aState.mPushAt) {
    PushToFollowers(aState, aNow, aOut);
  }
  AcceptWaitingOffer(aState, aNow, aOut);
  AskWhoIsInTouch(aState, aNow, aOut);
  AskForWord(aState, aNow, aOut);
  RetryPending(aState, aNow, aOut);
  TellThoseWhoAsked(aState, aNow, aOut);
  TellNeighbours(aState, aNow, aOut);
}

void Receive(State& aState,
             Micros aNow,
             std::uint64_t aRandom,
             const wire::FleetMessage& aMessage,
             Output& aOut)
{
  const std::string& from = aMessage.from_address();
  switch (aMessage.body_case()) {
    case wire::FleetMessage::kConsensus:
      TakeConsensus(aState, aNow, aRandom, aMessage.consensus(), aOut);
      break;
    case wire::FleetMessage::kFollow:
      TakeFollow(aState, aNow, from, aMessage.follow(), aOut);
      break;
    case wire::FleetMessage::kFollowReply:
      TakeFollowReply(aState, aNow, from, aMessage.follow_reply(), aOut);
      break;
    case wire::FleetMessage::kSubmit:
      TakeSubmit(aState, aNow, from, aMessage.submit(), aOut);
      break;
    case wire::FleetMessage::kSubmitReply:
      TakeSubmitReply(aState, aNow, aMessage.submit_reply(), aOut);
      break;
    case wire::FleetMessage::kJoin:
      TakeJoin(aState, aNow, from, aMessage.join(), aOut);
      break;
    case wire::FleetMessage::kGossip:
      TakeGossip(aState, aNow, from, aMessage.gossip(), aOut);
      break;
    case wire::FleetMessage::BODY_NOT_SET:
      aOut.mNotes.push_back({ 2, "event=message_unknown from=" + from });
      break;
  }
  TellThoseWhoAsked(aState, aNow, aOut);
  TellNeighbours(aState, aNow, aOut);
}

void Synced(State& aState, Micros aNow, std::uint64_t aSequence, Output& aOut)
{
  consensus::Output raft;
  consensus::MarkSynced(aState.mGroup, aSequence, raft);
  Perform(aState, aNow, std::move(raft), aOut);
  TellThoseWhoAsked(aState, aNow, aOut);
}

void SetReady(State& aState, Micros aNow, bool aReady, Output& aOut)
{
  if (aState.mReady == aReady) {
    return;
  }
  aState.mReady = aReady;
  RefreshOwnHost(aState, aNow);
  SendFollows(aState, aNow, aOut);
  TellOfHosts(aState, aNow, aOut);
}

void BeginStop(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mStopping) {
    return;
  }
  aState.mStopping = true;
  aState.mReady = false;
  RefreshOwnHost(aState, aNow);
  SendFollows(aState, aNow, aOut);
  TellOfHosts(aState, aNow, aOut);
  HandOverLead(aState, aNow, aOut);
}

std::vector<const Host*> ReadyHosts(const State& aState, Micros aNow)
{
  std::vector<const Host*> hosts;
  for (const auto& [address, host] : aState.mHosts) {
    if (host.mReady && !host.mStopping && IsKnownAlive(aState, host, aNow)) {
      hosts.push_back(&host);
    }
  }
  return hosts;
}

int LiveHosts(const State& aState, Micros aNow)
{
  const auto live =
    std::count_if(aState.mHosts.begin(),
                  aState.mHosts.end(),
                  [&](const std::pair<const std::string, Host>& aEntry) {
                    return IsKnownAlive(aState, aEntry.second, aNow);
                  });
  return std::max(1, static_cast<int>(live));
}

// A voter that is behind would hand an older catalog to its followers, and one
// whose leader hears no quorum an old one.
bool IsInTouch(const State& aState, Micros aNow)
{
  const bool votes = Votes(aState);
  const bool hears = votes ? !aState.mGroup.mLeader.empty() : aState.mInTouch;
  const std::optional<Micros> age = WordAge(aState, aNow);
  return hears && age && *age < (votes ? kLeaderPatience : kWordPatience);
}

// A learner is in touch through an upstream, while its catalog comes from the
// log, which may lag behind.
bool HasGroupsWord(const State& aState, Micros aNow)
{
  const bool learns = IsControlMember(aState) && !Votes(aState);
  return learns ? aState.mCurrentAt > 0 : IsInTouch(aState, aNow);
}

Micros WordAt(const State& aState, Micros aNow)
{
  if (!Votes(aState)) {
    return aState.mWordAt;
  }
  if (!consensus::IsLeader(aState.mGroup)) {
    return aState.mCurrentAt;
  }
  return consensus::IsCurrent(aState.mGroup)
           ? consensus::QuorumConfirmedAt(aState.mGroup, aNow)
           : 0;
}

std::optional<Micros> WordAge(const State& aState, Micros aNow)
{
  const Micros wordAt = WordAt(aState, aNow);
  return wordAt == 0 ? std::nullopt : std::optional<Micros>(aNow - wordAt);
}

bool IsNear(const State& aState, const std::string& aAddress)
{
  const auto found = aState.mHosts.find(aAddress);
  return found != aState.mHosts.end() &&
         found->second.mDataCentre == aState.mSettings.mDataCentre;
}

const char* KindOf(const wire::FleetMessage& aMessage) noexcept
{
  switch (aMessage.body_case()) {
    case wire::FleetMessage::kConsensus:
      return "consensus";
    case wire::FleetMessage::kFollow:
      return "report";
    case wire::FleetMessage::kFollowReply:
      return "reply";
    case wire::FleetMessage::kSubmit:
      return "command";
    case wire::FleetMessage::kSubmitReply:
      return "command_end";
    case wire::FleetMessage::kJoin:
      return "join";
    case wire::FleetMessage::kGossip:
      return "gossip";
    case wire::FleetMessage::BODY_NOT_SET:
      break;
  }
  return "unknown";
}

Micros NextTick(const State& aState) noexcept
{
  Micros next = std::min(aState.mFollowAt, NextPendingTime(aState));
  if (IsControlMember(aState)) {
    next = std::min(next, consensus::NextTick(aState.mGroup));
  }
  if (aState.mPushAt != 0) {
    next = std::min(next, aState.mPushAt);
  }
  next = std::min(next, gossip::NextTick(aState.mGossip));
  return std::min({ next, NextUpstreamTime(aState), NextAskTime(aState) });
}

} // namespace geraniumpond::fleet
