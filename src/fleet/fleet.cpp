#include "internal.h"

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// A policy may have a hundred kilobytes and a disk 64 megabytes: these limits
/// keep the log to a few megabytes.
constexpr std::size_t kSnapshotEntries = 200;
constexpr std::size_t kRetainedEntries = 20;
/// After a loss of all hosts, each tenth of a second without a leader costs
/// every client a request. A voter that starts therefore asks for votes after 9
/// to 19 ms, and again after 37 to 75 ms, which is enough for an election with
/// four syncs of a disk that takes 5 ms for each.
constexpr Micros kFirstVoteDivisor = 64;
constexpr Micros kFirstElectionDivisor = 16;
/// Commands that arrive within this time are replicated together; a single one
/// is replicated at once. This is a small part of the time that an operator
/// waits for an answer, and saves the leader most of its messages while a
/// thousand targets announce themselves.
constexpr Micros kBatchPause = 20 * kMillisecond;

void LoadRecovered(State& aState, Output& aOut)
{
  if (aState.mGroup.mSnapshot.state().empty()) {
    return;
  }
  Result<catalog::State> loaded =
    catalog::Load(aState.mGroup.mSnapshot.state());
  if (!loaded) {
    aOut.mLogLines.push_back({ 3, "event=snapshot_unreadable" });
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
  const bool changed =
    own.mReady != aState.mReady || own.mStopping != aState.mStopping ||
    own.mCutOff != aState.mCutOff || own.mPeerAddress.empty();
  own.mPeerAddress = settings.mPeerAddress;
  own.mCallerAddress = settings.mCallerAddress;
  own.mDataCentre = settings.mDataCentre;
  own.mIncarnation = settings.mIncarnation;
  own.mControl = settings.mControl;
  own.mLinkMbps = settings.mLinkMbps;
  own.mReady = aState.mReady;
  own.mStopping = aState.mStopping;
  own.mCutOff = aState.mCutOff;
  own.mHeardAt = aNow;
  own.mSequence = changed ? ++aState.mHostsSequence : own.mSequence;
}

// Each host is heard of within a lease.
void UpdateHostsComplete(State& aState, Micros aNow)
{
  if (!IsInTouch(aState, aNow)) {
    aState.mInTouchSince = 0;
  } else if (aState.mInTouchSince == 0) {
    aState.mInTouchSince = aNow;
  }
  aState.mHostsComplete =
    aState.mHostsComplete ||
    (aState.mInTouchSince != 0 && aNow - aState.mInTouchSince >= kHostLease);
}

// A follower that is out of touch keeps the list that it last received, because
// silence then says nothing about the other hosts.
bool IsKnownAlive(const State& aState, const Host& aHost, Micros aNow)
{
  return !aHost.mGone && (!HasVote(aState) ||
                          aNow - aHost.mHeardAt < LeaseOf(aState, aHost, aNow));
}

// The list is in doubt for a lease after the start, and while it counts most
// hosts as gone: the control hosts may have started anew, and not have heard of
// them yet.
bool AreHostsInDoubt(const State& aState, Micros aNow)
{
  const auto alive = static_cast<std::size_t>(LiveHostCount(aState, aNow));
  return !aState.mHostsComplete || 2 * alive < aState.mHosts.size();
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
  consensus::Output raft;
  if (aSettings.mControl) {
    state.mGroup = consensus::Open(
      MemberId(aSettings.mPeerAddress, aRecovered.mHard.storage()),
      aRecovered,
      aNow,
      aRandom,
      raft);
    state.mGroup.mOptions.mStartupDivisor = kFirstElectionDivisor;
    state.mGroup.mElectionAt =
      aNow + (state.mGroup.mElectionAt - aNow) / kFirstVoteDivisor;
    state.mGroup.mOptions.mBatchInterval = kBatchPause;
    state.mGroup.mOptions.mSnapshotInterval = kSnapshotEntries;
    state.mGroup.mOptions.mRetainedEntries = kRetainedEntries;
    LoadRecovered(state, aOut);
    LogOpened(state, aOut);
  }
  state.mGossip.mIncarnation = aSettings.mIncarnation;
  state.mControlCursor = static_cast<std::size_t>(aRandom % 1021);
  // A random first id: a reply to a command sent before a restart must not
  // complete a command of this run.
  state.mLastSubmitId = aRandom;
  RefreshOwnHost(state, aNow);
  state.mReportAt = aNow;
  Perform(state, aNow, std::move(raft), aOut);
  Tick(state, aNow, aRandom, aOut);
  return state;
}

void Tick(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut)
{
  if (IsControlMember(aState)) {
    TickGroup(aState, aNow, aRandom, aOut);
  }
  if (aNow >= aState.mReportAt) {
    aState.mReportAt = aNow + kHostReportInterval;
    RefreshOwnHost(aState, aNow);
    SendReports(aState, aNow, aOut);
    ExpireHosts(aState, aNow, aOut);
    PublishHostChanges(aState, aNow, aOut);
    ForgetGoneHosts(aState, aNow);
    UpdateHostsComplete(aState, aNow);
    if (IsControlMember(aState)) {
      LogGroupHealth(aState, aNow, aOut);
    }
  }
  if (aState.mPushAt != 0 && aNow >= aState.mPushAt) {
    PushToFollowers(aState, aNow, aOut);
  }
  AcceptWaitingOffer(aState, aNow, aOut);
  DiscoverUpstream(aState, aNow, aOut);
  QueryConfirmation(aState, aNow, aOut);
  RetryPending(aState, aNow, aOut);
  AnswerDeferredAskers(aState, aNow, aOut);
  GossipToNeighbours(aState, aNow, aOut);
  TellCounts(aState, aNow, aOut);
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
      HandleConsensus(aState, aNow, aRandom, aMessage.consensus(), aOut);
      break;
    case wire::FleetMessage::kFollow:
      HandleReport(aState, aNow, from, aMessage.follow(), aOut);
      break;
    case wire::FleetMessage::kFollowReply:
      HandleReportReply(aState, aNow, from, aMessage.follow_reply(), aOut);
      break;
    case wire::FleetMessage::kSubmit:
      HandleSubmit(aState, aNow, from, aMessage.submit(), aOut);
      break;
    case wire::FleetMessage::kSubmitReply:
      HandleSubmitReply(aState, aNow, aMessage.submit_reply(), aOut);
      break;
    case wire::FleetMessage::kJoin:
      HandleJoin(aState, aNow, from, aMessage.join(), aOut);
      break;
    case wire::FleetMessage::kGossip:
      HandleGossip(aState, aNow, from, aMessage.gossip(), aOut);
      break;
    case wire::FleetMessage::kCounts:
      HandleCounts(aState, aNow, from, aMessage.counts());
      break;
    case wire::FleetMessage::kTotals:
      HandleTotals(aState, aNow, aMessage.totals(), aOut);
      break;
    case wire::FleetMessage::kPartTotals:
      HandlePartTotals(aState, aNow, from, aMessage.part_totals(), aOut);
      break;
    case wire::FleetMessage::BODY_NOT_SET:
      aOut.mLogLines.push_back({ 2, "event=message_unknown from=" + from });
      break;
  }
  SendAnnouncements(aState, aNow, aOut);
  AnswerDeferredAskers(aState, aNow, aOut);
  GossipToNeighbours(aState, aNow, aOut);
}

void Synced(State& aState, Micros aNow, std::uint64_t aSequence, Output& aOut)
{
  consensus::Output raft;
  consensus::MarkSynced(aState.mGroup, aSequence, raft);
  Perform(aState, aNow, std::move(raft), aOut);
  AnswerDeferredAskers(aState, aNow, aOut);
}

namespace {

void AnnounceOwnChange(State& aState, Micros aNow, Output& aOut)
{
  RefreshOwnHost(aState, aNow);
  SendReports(aState, aNow, aOut);
  PublishHostChanges(aState, aNow, aOut);
}

} // namespace

void SetReady(State& aState, Micros aNow, bool aReady, Output& aOut)
{
  if (aState.mReady == aReady) {
    return;
  }
  aState.mReady = aReady;
  AnnounceOwnChange(aState, aNow, aOut);
}

void SetCutOff(State& aState, Micros aNow, bool aCutOff, Output& aOut)
{
  if (aState.mCutOff == aCutOff) {
    return;
  }
  aState.mCutOff = aCutOff;
  AnnounceOwnChange(aState, aNow, aOut);
}

void BeginStop(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mStopping) {
    return;
  }
  aState.mStopping = true;
  aState.mReady = false;
  AnnounceOwnChange(aState, aNow, aOut);
  TransferLeadership(aState, aNow, aOut);
}

namespace {

// Where no host reaches a target, all are named.
void LeaveOutCutOff(std::vector<const Host*>& aHosts)
{
  const auto connected =
    std::stable_partition(aHosts.begin(), aHosts.end(), [](const Host* aHost) {
      return !aHost->mCutOff;
    });
  if (connected != aHosts.begin()) {
    aHosts.erase(connected, aHosts.end());
  }
}

} // namespace

// After a loss of all hosts the control hosts are ready first, since they have
// the policy on their disks. If they were named alone, all clients would go to
// them, they would have no processor time left for the group, and without a
// leader no host would hear of any others. So a ready host whose list is in
// doubt names itself, which spreads clients as they spread their questions, and
// others name no control host.
std::vector<const Host*> HostsForClients(const State& aState, Micros aNow)
{
  std::vector<const Host*> hosts = ReadyHosts(aState, aNow);
  if (!AreHostsInDoubt(aState, aNow)) {
    LeaveOutCutOff(hosts);
    return hosts;
  }
  const std::string& self = aState.mSettings.mPeerAddress;
  const bool isReady = aState.mReady && !aState.mStopping;
  hosts.erase(std::remove_if(hosts.begin(),
                             hosts.end(),
                             [&](const Host* aHost) {
                               return isReady ? aHost->mPeerAddress != self
                                              : aHost->mControl;
                             }),
              hosts.end());
  return hosts;
}

// Requests that are refused go to another host, but nobody else answers for a
// voter or an upstream. If these spend their time on clients instead, hosts
// that lost touch do not regain it, so they are not ready, and their clients
// come here too. A host that is not settled has the same effect on itself.
bool AcceptsRequests(const State& aState, Micros aNow, Micros aMessageDelay)
{
  const bool isNeeded = HasVote(aState) || !aState.mFollowers.empty();
  const bool isSettled = IsInTouch(aState, aNow) && aState.mHostsComplete;
  return aMessageDelay <= kAnswerTime || (!isNeeded && isSettled);
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

int LiveHostCount(const State& aState, Micros aNow)
{
  const auto live =
    std::count_if(aState.mHosts.begin(),
                  aState.mHosts.end(),
                  [&](const std::pair<const std::string, Host>& aEntry) {
                    return IsKnownAlive(aState, aEntry.second, aNow);
                  });
  return std::max(1, static_cast<int>(live));
}

// A voter that is behind would give its followers an older catalog, and so
// would one whose leader has no quorum.
bool IsInTouch(const State& aState, Micros aNow)
{
  const bool isVoter = HasVote(aState);
  const bool hasLeader =
    isVoter ? !aState.mGroup.mLeader.empty() : aState.mInTouch;
  const std::optional<Micros> age = ConfirmationAge(aState, aNow);
  return hasLeader && age &&
         *age < (isVoter ? kLeaderTimeout : kConfirmationTimeout);
}

// A learner is in touch through an upstream, but its catalog comes from the
// log, which may lag behind.
bool HasConfirmedCatalog(const State& aState, Micros aNow)
{
  const bool isLearner = IsControlMember(aState) && !HasVote(aState);
  return isLearner ? aState.mCaughtUpAt > 0 : IsInTouch(aState, aNow);
}

Micros ConfirmedAt(const State& aState, Micros aNow)
{
  if (!HasVote(aState)) {
    return aState.mConfirmedAt;
  }
  if (!consensus::IsLeader(aState.mGroup)) {
    return aState.mCaughtUpAt;
  }
  return consensus::IsCurrent(aState.mGroup)
           ? consensus::QuorumConfirmedAt(aState.mGroup, aNow)
           : 0;
}

std::optional<Micros> ConfirmationAge(const State& aState, Micros aNow)
{
  const Micros confirmedAt = ConfirmedAt(aState, aNow);
  return confirmedAt == 0 ? std::nullopt
                          : std::optional<Micros>(aNow - confirmedAt);
}

bool IsInOwnDataCentre(const State& aState, const std::string& aAddress)
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
    case wire::FleetMessage::kCounts:
      return "counts";
    case wire::FleetMessage::kTotals:
      return "totals";
    case wire::FleetMessage::kPartTotals:
      return "part_totals";
    case wire::FleetMessage::BODY_NOT_SET:
      break;
  }
  return "unknown";
}

Micros NextTick(const State& aState) noexcept
{
  Micros next = std::min(aState.mReportAt, NextPendingTime(aState));
  if (IsControlMember(aState)) {
    next = std::min(next, consensus::NextTick(aState.mGroup));
  }
  if (aState.mPushAt != 0) {
    next = std::min(next, aState.mPushAt);
  }
  next = std::min(next, gossip::NextTick(aState.mGossip));
  next = std::min(next, rollup::NextLook(aState.mCounts.mRollup));
  return std::min({ next, NextUpstreamTime(aState), NextQueryTime(aState) });
}

} // namespace geraniumpond::fleet
