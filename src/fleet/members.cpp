#include "internal.h"

#include <algorithm>
#include <utility>

// Who belongs to the control group. A voter that is gone still counts towards
// the majority: with four voters, one of them gone for good, the loss of one
// more leaves two of four, and nothing can be committed or read ever again. So
// the leader takes out voters that are gone as soon as the rest would tolerate
// more losses without them, and never below the number that the tolerated
// losses need.
//
// One change at a time, each committed by the majority before and after it; a
// voter is made a learner first, so that one that was only cut off or restarted
// has its vote back as soon as it answers.
namespace geraniumpond::fleet {

namespace {

constexpr Micros kJoinInterval = 300 * kMillisecond;
/// A voter must have been silent for this long to be taken out. Shorter than
/// any bound on how long a lost host may stay unreplaced, longer than an
/// election, so that a slow host is not taken for a lost one.
constexpr Micros kSilentAfter = 2500 * kMillisecond;
/// Time for a member's first answer to a new leader: some heartbeats.
constexpr Micros kFirstAnswer = 700 * kMillisecond;
/// A member that has been silent for longer is taken out though the group can
/// do with it, so that members that are gone do not add up: longer than a host
/// takes to restart, and than most cuts.
constexpr Micros kForgetAfter = 8 * kSecond;
/// A leader that stops and still leads tries again after this time: an election
/// takes less.
constexpr Micros kHandOverPause = 1 * kSecond;
/// Members count as there for a change of members when they have answered
/// within this time: a heartbeat and its trip.
constexpr Micros kPromoteWithin = 200 * kMillisecond;
/// A member that hears no leader for this long asks to join: the others may
/// have removed it while it was cut off.
constexpr Micros kRejoinAfter = 2 * kSecond;
/// A learner becomes a voter when it lacks no more than this many entries.
constexpr std::uint64_t kCaughtUp = 10;
/// Pace of lines on refused requests to join: each joiner asks three times a
/// second.
constexpr Micros kRefusalLinePause = 5 * kSecond;

// With 2n+1 voters n disks can be lost, and a majority is left that holds all
// that was committed; with fewer the group would be stuck for good.
int LeastVoters(const State& aState)
{
  return 2 * aState.mSettings.mToleratedLosses + 1;
}

/// \brief What the leader knows of one member.
struct MemberView
{
  /// Time since it answered.
  Micros mSilent = 0;
  /// The host was told to stop.
  bool mStopping = false;
  /// Another member has its address: the disk of this one is gone.
  bool mReplaced = false;
};

// Member of a later disk at the same address; joiners are added at the end.
bool IsReplaced(const wire::Membership& aMembers, const wire::Member& aMember)
{
  bool after = false;
  for (const wire::Member& other : aMembers.members()) {
    if (after && other.address() == aMember.address() && other.voter()) {
      return true;
    }
    after = after || other.id() == aMember.id();
  }
  return false;
}

// A leader that was elected just now has heard no answer of its term yet: the
// reports that the hosts at the members' addresses send count from before.
Micros SilenceOf(const State& aState, const wire::Member& aMember, Micros aNow)
{
  const auto progress = aState.mGroup.mProgress.find(aMember.id());
  if (aMember.id() == aState.mGroup.mId ||
      progress == aState.mGroup.mProgress.end()) {
    return 0;
  }
  const Micros silent = aNow - progress->second.mHeardAt;
  const auto host = aState.mHosts.find(aMember.address());
  const bool answered = progress->second.mMatch > 0;
  if (answered || silent < kFirstAnswer || host == aState.mHosts.end()) {
    return silent;
  }
  return std::max(silent, aNow - host->second.mHeardAt);
}

MemberView ViewOf(const State& aState, const wire::Member& aMember, Micros aNow)
{
  const auto host = aState.mHosts.find(aMember.address());
  MemberView view;
  view.mSilent = SilenceOf(aState, aMember, aNow);
  view.mStopping = host != aState.mHosts.end() && host->second.mStopping;
  view.mReplaced = IsReplaced(aState.mGroup.mMembership, aMember);
  return view;
}

bool HasLeft(const MemberView& aView)
{
  return aView.mStopping || aView.mReplaced || aView.mSilent > kSilentAfter;
}

// Its disk is gone, or it was silent for so long that it will hardly come back.
bool CanBeDropped(const MemberView& aView)
{
  return aView.mReplaced || aView.mSilent > kForgetAfter;
}

void Change(State& aState,
            Micros aNow,
            const wire::Membership& aNext,
            const std::string& aWhy,
            Output& aOut)
{
  consensus::Output raft;
  const Result<std::uint64_t> index =
    consensus::ChangeMembership(aState.mGroup, aNow, aNext, raft);
  if (!index) {
    return;
  }
  aOut.mNotes.push_back({ 1,
                          "event=members_change why=" + aWhy + " voters=" +
                            std::to_string(consensus::VoterCount(aNext)) +
                            " index=" + std::to_string(index.value()) });
  Perform(aState, aNow, std::move(raft), aOut);
}

wire::Membership WithVote(const wire::Membership& aMembers,
                          const std::string& aId,
                          bool aVoter)
{
  wire::Membership next = aMembers;
  for (wire::Member& member : *next.mutable_members()) {
    if (member.id() == aId) {
      member.set_voter(aVoter);
    }
  }
  return next;
}

// Whether a member has answered this leader lately, and after a time.
bool AnswersSince(const State& aState,
                  const wire::Member& aMember,
                  Micros aNow,
                  Micros aSince)
{
  const consensus::State& group = aState.mGroup;
  if (aMember.id() == group.mId) {
    return true;
  }
  const auto progress = group.mProgress.find(aMember.id());
  return progress != group.mProgress.end() &&
         progress->second.mHeardAt > aSince &&
         aNow - progress->second.mHeardAt <= kPromoteWithin;
}

// A vote more makes an even group odd, which tolerates one loss more, or an odd
// one even, which tolerates as many as before but needs one voter more. So a
// newcomer to an odd group waits until all voters have answered since it came,
// or one of them has left. A newcomer at a voter's address is that voter's next
// disk.
bool IsAVoteOfUse(const State& aState,
                  Micros aNow,
                  const wire::Member& aLearner,
                  Micros aLearnerSince)
{
  const wire::Membership& members = aState.mGroup.mMembership;
  if (consensus::VoterCount(members) % 2 == 0) {
    return true;
  }
  bool allAnswer = true;
  bool anyLeft = false;
  for (const wire::Member& member : members.members()) {
    if (member.voter()) {
      allAnswer =
        allAnswer && AnswersSince(aState, member, aNow, aLearnerSince);
      anyLeft = anyLeft || member.address() == aLearner.address() ||
                HasLeft(ViewOf(aState, member, aNow));
    }
  }
  return allAnswer || anyLeft;
}

// Whether the voters that answer, but for one, are a majority of a group of
// another size.
bool AreEnoughOf(const State& aState,
                 Micros aNow,
                 std::size_t aVoters,
                 const wire::Member* aExcept = nullptr)
{
  std::size_t answering = 0;
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    const bool counts = member.voter() && &member != aExcept;
    answering += counts && AnswersSince(aState, member, aNow, 0) ? 1 : 0;
  }
  return answering >= aVoters / 2 + 1;
}

bool IsCaughtUp(const State& aState, const wire::Member& aLearner, Micros aNow)
{
  const consensus::State& group = aState.mGroup;
  const auto progress = group.mProgress.find(aLearner.id());
  if (progress == group.mProgress.end() || progress->second.mMatch == 0) {
    return false;
  }
  const MemberView view = ViewOf(aState, aLearner, aNow);
  return view.mSilent <= kPromoteWithin && !view.mStopping && !view.mReplaced &&
         progress->second.mMatch + kCaughtUp >= group.mCommit &&
         IsAVoteOfUse(aState, aNow, aLearner, progress->second.mTrackedSince);
}

// A disk that was replaced does not come back; of silent hosts the one that has
// been away for longest is the least likely to.
bool IsMoreSurelyGone(const MemberView& aView, const MemberView& aThan)
{
  return std::make_pair(aView.mReplaced, aView.mSilent) >
         std::make_pair(aThan.mReplaced, aThan.mSilent);
}

// The voter that has left and is least likely to come back; none where all are
// there.
const wire::Member* GoneVoter(const State& aState,
                              Micros aNow,
                              MemberView& aSeen)
{
  const consensus::State& group = aState.mGroup;
  const wire::Member* gone = nullptr;
  for (const wire::Member& member : group.mMembership.members()) {
    const MemberView view = ViewOf(aState, member, aNow);
    if (!member.voter() || member.id() == group.mId || !HasLeft(view)) {
      continue;
    }
    if (gone == nullptr || IsMoreSurelyGone(view, aSeen)) {
      gone = &member;
      aSeen = view;
    }
  }
  return gone;
}

const wire::Member* VoterAt(const State& aState, const std::string& aAddress)
{
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.voter() && member.address() == aAddress) {
      return &member;
    }
  }
  return nullptr;
}

int GoneVoters(const State& aState, Micros aNow)
{
  const consensus::State& group = aState.mGroup;
  const auto& members = group.mMembership.members();
  return static_cast<int>(std::count_if(
    members.begin(), members.end(), [&](const wire::Member& aMember) {
      return aMember.voter() && aMember.id() != group.mId &&
             HasLeft(ViewOf(aState, aMember, aNow));
    }));
}

void TakeVoteFrom(State& aState,
                  Micros aNow,
                  const wire::Member& aMember,
                  const char* aWhy,
                  Output& aOut)
{
  Change(aState,
         aNow,
         WithVote(aState.mGroup.mMembership, aMember.id(), false),
         std::string(aWhy) + " member=" + aMember.id(),
         aOut);
}

// The newcomer may be gone by the time that its vote counts: no change may need
// the host that it adds. Where the voters that answer would not be a majority
// with it, the one that has left makes room first. Meanwhile the group needs
// just those that it needs already.
bool MakeRoom(State& aState,
              Micros aNow,
              const wire::Member& aLearner,
              Output& aOut)
{
  const std::size_t voters = consensus::VoterCount(aState.mGroup.mMembership);
  const wire::Member* gone = VoterAt(aState, aLearner.address());
  if (gone == nullptr) {
    MemberView seen;
    gone = GoneVoter(aState, aNow, seen);
  }
  if (gone == nullptr || !AreEnoughOf(aState, aNow, voters - 1, gone)) {
    return false;
  }
  TakeVoteFrom(aState, aNow, *gone, "makes_room", aOut);
  return true;
}

// A learner that has caught up becomes a voter.
bool PromoteLearner(State& aState, Micros aNow, Output& aOut)
{
  const wire::Membership& members = aState.mGroup.mMembership;
  const std::size_t voters = consensus::VoterCount(members);
  for (const wire::Member& member : members.members()) {
    if (member.voter() || !IsCaughtUp(aState, member, aNow)) {
      continue;
    }
    if (!AreEnoughOf(aState, aNow, voters + 1)) {
      return MakeRoom(aState, aNow, member, aOut);
    }
    Change(aState,
           aNow,
           WithVote(members, member.id(), true),
           "caught_up member=" + member.id(),
           aOut);
    return true;
  }
  return false;
}

// Whether fewer voters tolerate more. Of five with one gone one more may be
// lost, of four one as well, and the gone one may come back: it stays. Of four
// with one gone none may be lost, of three one may: it goes.
bool IsShrinkingWorthIt(const State& aState, int aVoters, int aLeft)
{
  const int there = aVoters - aLeft;
  const int least = std::max(LeastVoters(aState), there);
  const int now = there - (aVoters / 2 + 1);
  const int then = there - (least / 2 + 1);
  return now < aState.mSettings.mToleratedLosses && then > now;
}

const char* WhyGone(const MemberView& aView)
{
  if (aView.mReplaced) {
    return "replaced";
  }
  return aView.mStopping ? "stopping" : "silent";
}

// A voter that has left becomes a learner. A disk that is gone comes first, and
// needs no other reason.
bool DemoteGone(State& aState, Micros aNow, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  const int voters = static_cast<int>(consensus::VoterCount(group.mMembership));
  MemberView seen;
  const wire::Member* gone = GoneVoter(aState, aNow, seen);
  if (gone == nullptr || voters - 1 < LeastVoters(aState) ||
      !(CanBeDropped(seen) ||
        IsShrinkingWorthIt(aState, voters, GoneVoters(aState, aNow)))) {
    return false;
  }
  TakeVoteFrom(aState, aNow, *gone, WhyGone(seen), aOut);
  return true;
}

// A learner counts for nothing, but is told of every entry.
bool RemoveGoneLearner(State& aState, Micros aNow, Output& aOut)
{
  const wire::Membership& members = aState.mGroup.mMembership;
  for (const wire::Member& member : members.members()) {
    const MemberView view = ViewOf(aState, member, aNow);
    if (!member.voter() && CanBeDropped(view)) {
      Change(aState,
             aNow,
             consensus::WithoutMember(members, member.id()),
             "forgotten member=" + member.id(),
             aOut);
      return true;
    }
  }
  return false;
}

void AskToJoin(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < aState.mJoinAt || aState.mGroup.mFailed || aState.mStopping) {
    return;
  }
  aState.mJoinAt = aNow + kJoinInterval;
  for (const std::string& address : ControlAndSeeds(aState)) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    wire::FleetMessage message;
    wire::Member& member = *message.mutable_join();
    member.set_id(aState.mGroup.mId);
    member.set_address(aState.mSettings.mPeerAddress);
    member.set_storage(aState.mGroup.mStorage);
    SendTo(aState, address, std::move(message), aOut);
  }
}

// A joiner may know other hosts than the leader. Only what it sends itself is
// passed on, so that no request goes around in circles.
void ForwardJoin(State& aState,
                 const wire::Member& aJoiner,
                 const std::string& aFrom,
                 Output& aOut)
{
  const std::string& leader = aState.mLeaderAddress;
  if (leader.empty() || leader == aState.mSettings.mPeerAddress ||
      aFrom != aJoiner.address()) {
    return;
  }
  wire::FleetMessage message;
  *message.mutable_join() = aJoiner;
  SendTo(aState, leader, std::move(message), aOut);
}

// What is wrong with a request to join; empty when nothing is.
std::string FaultOf(const wire::Member& aJoiner)
{
  if (aJoiner.storage().empty() || aJoiner.address().empty()) {
    return "no disk or address named";
  }
  if (aJoiner.id() != MemberId(aJoiner.address(), aJoiner.storage())) {
    return "id is not of this disk and address";
  }
  return "";
}

void RefuseJoin(State& aState,
                Micros aNow,
                const wire::Member& aJoiner,
                const std::string& aFault,
                Output& aOut)
{
  ++aState.mTraffic.mJoinsRefused;
  if (aState.mJoinRefusedAt != 0 &&
      aNow - aState.mJoinRefusedAt < kRefusalLinePause) {
    return;
  }
  aState.mJoinRefusedAt = aNow;
  aOut.mNotes.push_back({ 2,
                          "event=join_refused member=" + aJoiner.id() +
                            " reason=\"" + aFault + "\"" });
}

} // namespace

void KeepMembers(State& aState, Micros aNow, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  if (!consensus::IsLeader(group)) {
    const bool leaderless = aNow - group.mHeardLeaderAt > kRejoinAfter;
    if (group.mRole == consensus::Role::Learner || leaderless) {
      AskToJoin(aState, aNow, aOut);
    }
    return;
  }
  if (aState.mStopping && aNow >= aState.mHandOverAt) {
    HandOverLead(aState, aNow, aOut);
  }
  // Newcomers first: the group is never smaller than it must be.
  (void)(PromoteLearner(aState, aNow, aOut) || DemoteGone(aState, aNow, aOut) ||
         RemoveGoneLearner(aState, aNow, aOut));
}

void TakeJoin(State& aState,
              Micros aNow,
              const std::string& aFrom,
              const wire::Member& aJoiner,
              Output& aOut)
{
  if (!consensus::IsLeader(aState.mGroup)) {
    ForwardJoin(aState, aJoiner, aFrom, aOut);
    return;
  }
  const wire::Membership& members = aState.mGroup.mMembership;
  for (const wire::Member& member : members.members()) {
    if (member.id() == aJoiner.id()) {
      return;
    }
  }
  const std::string fault = FaultOf(aJoiner);
  if (!fault.empty()) {
    RefuseJoin(aState, aNow, aJoiner, fault, aOut);
    return;
  }
  wire::Membership next = members;
  wire::Member& added = *next.add_members();
  added = aJoiner;
  added.set_voter(false);
  Change(aState, aNow, next, "joined member=" + aJoiner.id(), aOut);
}

void HandOverLead(State& aState, Micros aNow, Output& aOut)
{
  if (!consensus::IsLeader(aState.mGroup)) {
    return;
  }
  aState.mHandOverAt = aNow + kHandOverPause;
  std::set<std::string> leaving;
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (ViewOf(aState, member, aNow).mStopping) {
      leaving.insert(member.id());
    }
  }
  consensus::Output raft;
  consensus::TransferLeadership(aState.mGroup, aNow, raft, leaving);
  Perform(aState, aNow, std::move(raft), aOut);
}

} // namespace geraniumpond::fleet
