#include "internal.h"

#include <algorithm>
#include <utility>

// Membership of the control group. A lost voter still counts towards the
// majority: with four voters, one of them lost for good, the loss of one more
// leaves two of four, and nothing can be committed or read ever again. The
// leader therefore demotes lost voters as soon as the remaining ones would
// tolerate more losses without them, but never below the number that the
// configured losses require.
//
// Changes are made one at a time. A voter is first made a learner, so that one
// that was only cut off or restarted regains its vote as soon as it answers.
namespace geraniumpond::fleet {

namespace {

constexpr Micros kJoinInterval = 300 * kMillisecond;
/// Silence after which a voter may be demoted. Shorter than any limit on
/// replacing a lost host, longer than an election, so that a slow host is not
/// considered lost.
constexpr Micros kVoterTimeout = 2500 * kMillisecond;
/// Time for a member's first answer to a new leader: several heartbeats.
constexpr Micros kFirstAnswerTime = 700 * kMillisecond;
/// Silence after which a member is removed even if the group does not need it,
/// so that lost members do not accumulate. Longer than a restart and than most
/// network partitions.
constexpr Micros kMemberExpiry = 8 * kSecond;
/// A stopping leader that still leads tries the transfer again after this time;
/// an election takes less.
constexpr Micros kTransferPause = 1 * kSecond;
/// Members count as present for a membership change if they answered within
/// this time: a heartbeat and its round trip.
constexpr Micros kAnswerWindow = 200 * kMillisecond;
/// A member that hears no leader for this long asks to join: it may have been
/// removed while it was cut off.
constexpr Micros kRejoinAfter = 2 * kSecond;
/// A learner that lacks at most this many entries may become a voter.
constexpr std::uint64_t kCaughtUp = 10;
/// Minimum interval between log lines on refused join requests; a joining host
/// asks three times a second.
constexpr Micros kRefusalLinePause = 5 * kSecond;

// Of 2n+1 voters n disks can be lost, and a majority remains that holds
// everything committed; with fewer voters the group would be blocked for good.
int MinVoters(const State& aState)
{
  return 2 * aState.mSettings.mToleratedLosses + 1;
}

/// \brief What the leader knows about a member.
struct MemberView
{
  /// Time since its last answer.
  Micros mSilent = 0;
  /// The host is shutting down.
  bool mStopping = false;
  /// A newer member has the same address: this one's disk is gone.
  bool mReplaced = false;
};

// A later voter has the same address; new members are added at the end.
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

// A newly elected leader has no answer of its own term yet, so until then the
// reports from the hosts at the members' addresses count.
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
  if (answered || silent < kFirstAnswerTime || host == aState.mHosts.end()) {
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
  return aView.mStopping || aView.mReplaced || aView.mSilent > kVoterTimeout;
}

// Its disk is gone, or it has been silent for so long that it is unlikely to
// return.
bool CanBeDropped(const MemberView& aView)
{
  return aView.mReplaced || aView.mSilent > kMemberExpiry;
}

void ChangeMembers(State& aState,
                   Micros aNow,
                   const wire::Membership& aNext,
                   const std::string& aReason,
                   Output& aOut)
{
  consensus::Output raft;
  const Result<std::uint64_t> index =
    consensus::ChangeMembership(aState.mGroup, aNow, aNext, raft);
  if (!index) {
    return;
  }
  aOut.mLogLines.push_back(
    { 1,
      "event=members_change why=" + aReason +
        " voters=" + std::to_string(consensus::VoterCount(aNext)) +
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

// Whether a member has answered this leader recently, and after a given time.
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
         aNow - progress->second.mHeardAt <= kAnswerWindow;
}

// A further vote makes an even group odd, which tolerates one more loss. It
// makes an odd group even, which tolerates no more losses but needs one more
// voter. So a learner in an odd group waits until all voters have answered
// since it joined, or one of them has left. A learner at a voter's address is
// that voter with a new disk.
bool IsVoteUseful(const State& aState,
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

// Whether the voters that answer, without the excluded one, are a majority of a
// group of the given size.
bool IsMajorityOf(const State& aState,
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
  return view.mSilent <= kAnswerWindow && !view.mStopping && !view.mReplaced &&
         progress->second.mMatch + kCaughtUp >= group.mCommit &&
         IsVoteUseful(aState, aNow, aLearner, progress->second.mTrackedSince);
}

// A replaced disk does not return; of silent hosts the one with the longest
// silence is least likely to.
bool IsLikelierGone(const MemberView& aView, const MemberView& aOther)
{
  return std::make_pair(aView.mReplaced, aView.mSilent) >
         std::make_pair(aOther.mReplaced, aOther.mSilent);
}

// The voter that has left and is least likely to return; null if there is none.
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
    if (gone == nullptr || IsLikelierGone(view, aSeen)) {
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

void DemoteVoter(State& aState,
                 Micros aNow,
                 const wire::Member& aMember,
                 const char* aReason,
                 Output& aOut)
{
  ChangeMembers(aState,
                aNow,
                WithVote(aState.mGroup.mMembership, aMember.id(), false),
                std::string(aReason) + " member=" + aMember.id(),
                aOut);
}

void ReplaceVoter(State& aState,
                  Micros aNow,
                  const wire::Member& aGone,
                  const wire::Member& aLearner,
                  Output& aOut)
{
  const wire::Membership demoted =
    WithVote(aState.mGroup.mMembership, aGone.id(), false);
  ChangeMembers(aState,
                aNow,
                WithVote(demoted, aLearner.id(), true),
                "replaces member=" + aLearner.id() + " gone=" + aGone.id(),
                aOut);
}

// The learner may be lost by the time its vote counts, so no change may depend
// on the host that it adds. If the answering voters would not be a majority of
// the larger group, it takes the place of a voter that has left. That is one
// change: demoted first, that voter would have no vote if it returned while one
// of those that the smaller group needs is lost.
bool TakePlaceOfGoneVoter(State& aState,
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
  if (gone == nullptr || !IsMajorityOf(aState, aNow, voters - 1, gone)) {
    return false;
  }
  const consensus::JointSupport support =
    consensus::SupportForJoint(aState.mGroup, aNow, gone->id());
  const bool canReplace = IsMajorityOf(aState, aNow, voters, gone) &&
                          support != consensus::JointSupport::Some;
  if (!canReplace) {
    DemoteVoter(aState, aNow, *gone, "makes_room", aOut);
  } else if (support == consensus::JointSupport::All) {
    ReplaceVoter(aState, aNow, *gone, aLearner, aOut);
  }
  return true;
}

// Promotes a learner that has caught up.
bool PromoteLearner(State& aState, Micros aNow, Output& aOut)
{
  const wire::Membership& members = aState.mGroup.mMembership;
  const std::size_t voters = consensus::VoterCount(members);
  for (const wire::Member& member : members.members()) {
    if (member.voter() || !IsCaughtUp(aState, member, aNow)) {
      continue;
    }
    if (!IsMajorityOf(aState, aNow, voters + 1)) {
      return TakePlaceOfGoneVoter(aState, aNow, member, aOut);
    }
    ChangeMembers(aState,
                  aNow,
                  WithVote(members, member.id(), true),
                  "caught_up member=" + member.id(),
                  aOut);
    return true;
  }
  return false;
}

// Whether fewer voters tolerate more losses. Of five voters with one lost, one
// more may be lost, and the same holds for four, so the lost one stays as it
// may return. Of four with one lost none may be lost, but of three one may, so
// it is demoted.
bool IsShrinkingWorthIt(const State& aState, int aVoters, int aGone)
{
  const int present = aVoters - aGone;
  const int smallest = std::max(MinVoters(aState), present);
  const int toleratedNow = present - (aVoters / 2 + 1);
  const int toleratedThen = present - (smallest / 2 + 1);
  return toleratedNow < aState.mSettings.mToleratedLosses &&
         toleratedThen > toleratedNow;
}

const char* WhyGone(const MemberView& aView)
{
  if (aView.mReplaced) {
    return "replaced";
  }
  return aView.mStopping ? "stopping" : "silent";
}

// Demotes a voter that has left to learner. A lost disk comes first and needs
// no other reason.
bool DemoteGoneVoter(State& aState, Micros aNow, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  const int voters = static_cast<int>(consensus::VoterCount(group.mMembership));
  MemberView seen;
  const wire::Member* gone = GoneVoter(aState, aNow, seen);
  if (gone == nullptr || voters - 1 < MinVoters(aState) ||
      !(CanBeDropped(seen) ||
        IsShrinkingWorthIt(aState, voters, GoneVoters(aState, aNow)))) {
    return false;
  }
  DemoteVoter(aState, aNow, *gone, WhyGone(seen), aOut);
  return true;
}

// A learner has no vote, but is sent every entry.
bool RemoveGoneLearner(State& aState, Micros aNow, Output& aOut)
{
  const wire::Membership& members = aState.mGroup.mMembership;
  for (const wire::Member& member : members.members()) {
    const MemberView view = ViewOf(aState, member, aNow);
    if (!member.voter() && CanBeDropped(view)) {
      ChangeMembers(aState,
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

// A joining host may know other hosts than the leader. Only requests that came
// from it directly are forwarded, so that none circulates.
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

// The fault of a join request; empty if there is none.
std::string JoinFault(const wire::Member& aJoiner)
{
  if (aJoiner.storage().empty() || aJoiner.address().empty()) {
    return "storage id or address is missing";
  }
  if (aJoiner.id() != MemberId(aJoiner.address(), aJoiner.storage())) {
    return "id does not match storage id and address";
  }
  return "";
}

void RefuseJoin(State& aState,
                Micros aNow,
                const wire::Member& aJoiner,
                const std::string& aFault,
                Output& aOut)
{
  ++aState.mCounters.mJoinsRefused;
  if (aState.mJoinRefusedAt != 0 &&
      aNow - aState.mJoinRefusedAt < kRefusalLinePause) {
    return;
  }
  aState.mJoinRefusedAt = aNow;
  aOut.mLogLines.push_back({ 2,
                             "event=join_refused member=" + aJoiner.id() +
                               " reason=\"" + aFault + "\"" });
}

} // namespace

void MaintainMembers(State& aState, Micros aNow, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  if (!consensus::IsLeader(group)) {
    const bool leaderless = aNow - group.mHeardLeaderAt > kRejoinAfter;
    if (group.mRole == consensus::Role::Learner || leaderless) {
      AskToJoin(aState, aNow, aOut);
    }
    return;
  }
  if (aState.mStopping && aNow >= aState.mTransferRetryAt) {
    TransferLeadership(aState, aNow, aOut);
  }
  // Promotions first, so that the group is never smaller than necessary.
  (void)(PromoteLearner(aState, aNow, aOut) ||
         DemoteGoneVoter(aState, aNow, aOut) ||
         RemoveGoneLearner(aState, aNow, aOut));
}

void HandleJoin(State& aState,
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
  const std::string fault = JoinFault(aJoiner);
  if (!fault.empty()) {
    RefuseJoin(aState, aNow, aJoiner, fault, aOut);
    return;
  }
  wire::Membership next = members;
  wire::Member& added = *next.add_members();
  added = aJoiner;
  added.set_voter(false);
  ChangeMembers(aState, aNow, next, "joined member=" + aJoiner.id(), aOut);
}

void TransferLeadership(State& aState, Micros aNow, Output& aOut)
{
  if (!consensus::IsLeader(aState.mGroup)) {
    return;
  }
  aState.mTransferRetryAt = aNow + kTransferPause;
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
