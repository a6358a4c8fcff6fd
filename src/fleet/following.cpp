#include "internal.h"

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// Committed commands kept for followers; whoever lacks more gets a snapshot.
constexpr std::size_t kRecentCommands = 500;
constexpr std::uint64_t kRecentBytes = 2 * 1024 * 1024;
/// A snapshot that was not taken is sent again after this time.
constexpr Micros kSnapshotRetry = 1500 * kMillisecond;
/// Pause between messages that tell followers of commits: a small part of the
/// two seconds in which a change must be in force.
constexpr Micros kPushPause = 100 * kMillisecond;
/// Control hosts tell each other of their followers once in so many reports.
constexpr int kFollowersEvery = 3;

void FillCommands(const State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply)
{
  const std::uint64_t from = aFollower.mSent;
  if (from >= aState.mApplied) {
    return;
  }
  if (from < aState.mRecentBase) {
    // On a slow link a snapshot takes longer than the pace of reports.
    if (aNow - aFollower.mSnapshotAt < kSnapshotRetry) {
      return;
    }
    aFollower.mSnapshotAt = aNow;
    aFollower.mSent = aState.mApplied;
    aReply.set_snapshot(catalog::Save(aState.mCatalog));
    aReply.set_snapshot_index(aState.mApplied);
    return;
  }
  aFollower.mSent = aState.mApplied;
  aReply.set_commands_after(from);
  for (const wire::CommittedCommand& command : aState.mRecent) {
    if (command.index() > from) {
      *aReply.add_commands() = command;
    }
  }
}

bool HasGoodUpstream(const State& aState, Micros aNow)
{
  const Micros goodAt = std::max(aState.mUpstreamGoodAt, aState.mUpstreamSince);
  return !aState.mUpstream.empty() && aState.mInTouch &&
         aNow - goodAt <= kUpstreamPatience;
}

void SetUpstream(State& aState, const std::string& aAddress, Micros aNow)
{
  if (aAddress != aState.mUpstream) {
    aState.mUpstreamSequence = 0;
    aState.mUpstreamIncarnation = 0;
  }
  aState.mUpstream = aAddress;
  aState.mUpstreamSince = aNow;
}

// Hosts spread over the control hosts, so that none of them serves all.
void ChooseUpstream(State& aState, Micros aNow, Output& aOut)
{
  const auto& control = aState.mControlAddresses;
  if (control.empty() || HasGoodUpstream(aState, aNow)) {
    return;
  }
  const std::string last = aState.mUpstream;
  std::string next;
  for (std::size_t i = 0; i < control.size(); ++i) {
    next = control[++aState.mUpstreamTurn % control.size()];
    if (next != aState.mSettings.mPeerAddress && next != last) {
      break;
    }
  }
  if (!last.empty()) {
    aOut.mNotes.push_back(
      { 2, "event=upstream_lost upstream=" + last + " next=" + next });
  }
  SetUpstream(aState, next, aNow);
}

wire::Follow OwnFollow(const State& aState, Micros aNow)
{
  wire::Follow follow;
  *follow.mutable_host() =
    ToWire(aState.mHosts.at(aState.mSettings.mPeerAddress), aNow);
  follow.set_applied(aState.mApplied);
  follow.set_hosts_sequence(aState.mUpstreamSequence);
  follow.set_hosts_incarnation(aState.mUpstreamIncarnation);
  return follow;
}

void SendFollow(State& aState,
                Micros aNow,
                const std::string& aAddress,
                bool aBrief,
                Output& aOut)
{
  if (aAddress.empty() || aAddress == aState.mSettings.mPeerAddress) {
    return;
  }
  wire::FleetMessage message;
  wire::Follow& follow = *message.mutable_follow();
  follow = OwnFollow(aState, aNow);
  follow.set_brief(aBrief);
  SendTo(aState, aAddress, std::move(message), aOut);
}

void AskWhoIsInTouch(State& aState, Micros aNow, Output& aOut)
{
  std::set<std::string> addresses(aState.mControlAddresses.begin(),
                                  aState.mControlAddresses.end());
  addresses.insert(aState.mSettings.mSeeds.begin(),
                   aState.mSettings.mSeeds.end());
  for (const std::string& address : addresses) {
    SendFollow(aState, aNow, address, true, aOut);
  }
}

void SendToControlHosts(State& aState, Micros aNow, Output& aOut)
{
  wire::Follow follow = OwnFollow(aState, aNow);
  follow.set_votes(true);
  // Well within a host's lease; a host that stops is told of at once.
  const bool all = ++aState.mFollowTurn % kFollowersEvery == 0;
  for (auto& [address, follower] : aState.mFollowers) {
    const Host& host = aState.mHosts[address];
    const bool overdue = aNow - host.mHeardAt > kHostLease / 2;
    if (all || host.mStopping || overdue || !follower.mTold) {
      follower.mTold = true;
      *follow.add_followers() = ToWire(follower.mHost, aNow);
    }
  }
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
  (void)TakeControlWord(aState, aMessage);
}

// Voters of a minority count themselves in touch until their leader steps down,
// up to 2.2 s after the cut: of two that are in touch the one with the later
// term is followed. Without it a follower in a fleet of 25 was seen to hold to
// the minority for more than 2 s.
bool IsBetterUpstream(const State& aState, const wire::FollowReply& aMessage)
{
  if (!aMessage.in_touch()) {
    return false;
  }
  const std::uint64_t term = aMessage.control_term();
  return aState.mInTouch ? aMessage.brief() && term > aState.mControlDate.mTerm
                         : term >= aState.mControlDate.mTerm;
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

} // namespace

void SendReply(State& aState,
               Micros aNow,
               const std::string& aTo,
               Follower& aFollower,
               Output& aOut)
{
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  FillCommands(aState, aNow, aFollower, reply);
  reply.set_in_touch(IsInTouch(aState, aNow));
  WriteControlWord(aState, reply);
  FillHosts(aState, aNow, aFollower, reply);
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
  if (Votes(aState)) {
    SendToControlHosts(aState, aNow, aOut);
    return;
  }
  ChooseUpstream(aState, aNow, aOut);
  // Out of touch, all control hosts are asked whether they are in touch: half
  // of them may be cut off from the others, and all that are known may have
  // been replaced, which seeds tell. The first that answers so is followed;
  // none sends its catalog before.
  if (!aState.mInTouch) {
    AskWhoIsInTouch(aState, aNow, aOut);
    return;
  }
  SendFollow(aState, aNow, aState.mUpstream, false, aOut);
}

void TakeFollow(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Follow& aMessage,
                Output& aOut)
{
  if (!IsControlMember(aState)) {
    Refer(aState, aNow, aFrom, aOut);
    return;
  }
  Host host = FromWire(aMessage.host(), aNow);
  host.mHeardAt = aNow;
  host.mToldBy = aState.mSettings.mPeerAddress;
  MergeHost(aState, host);
  for (const wire::FleetHost& follower : aMessage.followers()) {
    Host told = FromWire(follower, aNow);
    told.mToldBy = aFrom;
    MergeHost(aState, std::move(told));
  }
  // A host at a voter's address may be a new one with an empty disk: what it
  // says of itself counts.
  UpdateHosts(aState, aNow, aOut);
  if (aMessage.votes() || !Votes(aState)) {
    aState.mFollowers.erase(aFrom);
    if (!aMessage.votes()) {
      Refer(aState, aNow, aFrom, aOut);
    }
    return;
  }
  if (aMessage.brief()) {
    if (!IsInTouch(aState, aNow)) {
      aState.mAskedWhileOut.insert(aFrom);
    }
    ReplyBriefly(aState, aNow, aFrom, aOut);
    return;
  }
  Follower& follower = aState.mFollowers[aFrom];
  if (follower.mHost.mIncarnation != host.mIncarnation) {
    follower = Follower();
  }
  follower.mHost = host;
  follower.mSent = aMessage.applied();
  const bool ours =
    aMessage.hosts_incarnation() == aState.mSettings.mIncarnation;
  follower.mHostsSequence = ours ? aMessage.hosts_sequence() : 0;
  SendReply(aState, aNow, aFrom, follower, aOut);
}

void TakeFollowReply(State& aState,
                     Micros aNow,
                     const std::string& aFrom,
                     const wire::FollowReply& aMessage,
                     Output& aOut)
{
  if (Votes(aState)) {
    return;
  }
  if (!IsControlMember(aState)) {
    TakeCommands(aState, aMessage, aOut);
  }
  if (IsBetterUpstream(aState, aMessage)) {
    SetUpstream(aState, aFrom, aNow);
    TakeUpstreamState(aState, aNow, aMessage, aOut);
    if (aMessage.brief()) {
      SendFollow(aState, aNow, aFrom, false, aOut);
    }
  }
  if (aMessage.brief()) {
    const bool news = TakeControlWord(aState, aMessage);
    if (news && !aState.mInTouch) {
      AskWhoIsInTouch(aState, aNow, aOut);
    }
    return;
  }
  if (aFrom == aState.mUpstream) {
    TakeUpstreamState(aState, aNow, aMessage, aOut);
    TakeHosts(aState, aNow, aMessage, aOut);
  }
}

// The first commit after a quiet time is told at once, others with the next
// push: followers are many, and a fleet's targets announce themselves together.
void PushToFollowers(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mPushedAt + kPushPause) {
    aState.mPushAt = aState.mPushedAt + kPushPause;
    return;
  }
  aState.mPushedAt = aNow;
  aState.mPushAt = 0;
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

} // namespace geraniumpond::fleet
