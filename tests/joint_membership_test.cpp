#include <geraniumpond/consensus.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace geraniumpond::consensus {

namespace {

constexpr const char* kDisk = "disk";

/// \brief Adds a member to a membership.
void AddMember(wire::Membership& aMembers, const std::string& aId, bool aVoter)
{
  wire::Member& member = *aMembers.add_members();
  member.set_id(aId);
  member.set_storage(kDisk);
  member.set_voter(aVoter);
}

/// \brief Members a, b, c and d, of which those named vote.
wire::Membership VotersAre(const std::string& aVoters)
{
  wire::Membership members;
  for (const char* id : { "a", "b", "c", "d" }) {
    AddMember(members, id, aVoters.find(id) != std::string::npos);
  }
  return members;
}

/// \brief The membership while d replaces c.
wire::Membership JointMembership()
{
  wire::Membership joint = VotersAre("abd");
  joint.set_joint(true);
  for (wire::Member& member : *joint.mutable_members()) {
    member.set_voted_before(member.id() != "d");
  }
  return joint;
}

wire::ConsensusMessage MessageFrom(const State& aState, const std::string& aId)
{
  wire::ConsensusMessage message;
  message.set_from(aId);
  message.set_from_storage(kDisk);
  message.set_to(aState.mId);
  message.set_term(aState.mTerm);
  return message;
}

} // namespace

// Guards against two leaders in one term while one voter replaces another: two
// memberships are in force, whose majorities need not overlap.
class JointMembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JointMembershipTest);
  CPPUNIT_TEST(ReplacementCommitsWithoutTheNewVoter);
  CPPUNIT_TEST(ReplacementNeedsAMajorityOfTheVotersBefore);
  CPPUNIT_TEST(ReplacementNeedsAMajorityOfTheVotersAfter);
  CPPUNIT_TEST(CommittedReplacementEndsTheVoteOfTheOldVoter);
  CPPUNIT_TEST(ChangeDuringAReplacementIsRefused);
  CPPUNIT_TEST(CandidateDuringAReplacementNeedsBothMajorities);
  CPPUNIT_TEST(NewLeaderEndsTheReplacementThatItFinds);
  CPPUNIT_TEST(TwoVotersAreNotReplacedAtOnce);
  CPPUNIT_TEST(ReplacementNeedsThatAllWhoAnswerKnowJointMemberships);
  CPPUNIT_TEST(SupportOfMembersThatHaveNotAnsweredYetIsUnknown);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mNow = kSecond;
    mState = OpenWith(std::nullopt);
  }

  void ReplacementCommitsWithoutTheNewVoter()
  {
    LeadAndReplace();
    Answer("b");
    CPPUNIT_ASSERT(IsCommitted());
  }

  void ReplacementNeedsAMajorityOfTheVotersBefore()
  {
    LeadAndReplace();
    Answer("d");
    CPPUNIT_ASSERT(!IsCommitted());
    Answer("c");
    CPPUNIT_ASSERT(IsCommitted());
  }

  void ReplacementNeedsAMajorityOfTheVotersAfter()
  {
    LeadAndReplace();
    Answer("c");
    CPPUNIT_ASSERT(!IsCommitted());
    Answer("d");
    CPPUNIT_ASSERT(IsCommitted());
  }

  void CommittedReplacementEndsTheVoteOfTheOldVoter()
  {
    LeadAndReplace();
    Answer("b");
    TickNow();
    CPPUNIT_ASSERT(!mState.mMembership.joint());
    CPPUNIT_ASSERT_EQUAL(VotersAre("abd").SerializeAsString(),
                         mState.mMembership.SerializeAsString());
  }

  void ChangeDuringAReplacementIsRefused()
  {
    LeadAndReplace();
    Answer("b");
    Output output;
    const Result<std::uint64_t> index =
      ChangeMembership(mState, mNow, VotersAre("ab"), output);
    CPPUNIT_ASSERT(!index);
    CPPUNIT_ASSERT(index.error().mCode == ErrorCode::Conflict);
  }

  void CandidateDuringAReplacementNeedsBothMajorities()
  {
    mState = OpenWith(JointMembership());
    StandForElection();
    Vote("c");
    CPPUNIT_ASSERT(!IsLeader(mState));
    Vote("d");
    CPPUNIT_ASSERT(IsLeader(mState));
  }

  void NewLeaderEndsTheReplacementThatItFinds()
  {
    mState = OpenWith(JointMembership());
    StandForElection();
    Vote("b");
    CPPUNIT_ASSERT(IsLeader(mState));
    TickNow();
    CPPUNIT_ASSERT(mState.mMembership.joint());
    Answer("b");
    TickNow();
    CPPUNIT_ASSERT(!mState.mMembership.joint());
  }

  void TwoVotersAreNotReplacedAtOnce()
  {
    mState = OpenWith(std::nullopt);
    StandForElection();
    Vote("b");
    Answer("b");
    wire::Membership next = VotersAre("ad");
    AddMember(next, "e", true);
    Output output;
    const Result<std::uint64_t> index =
      ChangeMembership(mState, mNow, next, output);
    CPPUNIT_ASSERT(!index);
    CPPUNIT_ASSERT(index.error().mCode == ErrorCode::InvalidArgument);
  }

  void ReplacementNeedsThatAllWhoAnswerKnowJointMemberships()
  {
    StandForElection();
    Vote("b");
    mNow += 3 * kSecond;
    Answer("b");
    CPPUNIT_ASSERT(SupportForJoint(mState, mNow, "") == JointSupport::All);
    Answer("c", false);
    CPPUNIT_ASSERT(SupportForJoint(mState, mNow, "") == JointSupport::Some);
    CPPUNIT_ASSERT(SupportForJoint(mState, mNow, "c") == JointSupport::All);
  }

  void SupportOfMembersThatHaveNotAnsweredYetIsUnknown()
  {
    StandForElection();
    Vote("b");
    Answer("b");
    Answer("d");
    CPPUNIT_ASSERT(SupportForJoint(mState, mNow, "") == JointSupport::Unknown);
    CPPUNIT_ASSERT(SupportForJoint(mState, mNow, "c") == JointSupport::All);
  }

private:
  // Member a, whose log has the membership behind the founding one, if given.
  State OpenWith(const std::optional<wire::Membership>& aNext)
  {
    Recovered recovered;
    recovered.mHard.set_storage(kDisk);
    recovered.mHard.set_term(1);
    recovered.mSnapshot.set_index(1);
    recovered.mSnapshot.set_term(1);
    *recovered.mSnapshot.mutable_membership() = VotersAre("abc");
    if (aNext) {
      wire::Entry& entry = recovered.mEntries.emplace_back();
      entry.set_term(1);
      entry.set_index(2);
      *entry.mutable_membership() = *aNext;
    }
    Output output;
    State state = Open("a", recovered, mNow, 1, output);
    MarkSynced(state, state.mWriteSequence, output);
    return state;
  }

  void Sync()
  {
    Output output;
    MarkSynced(mState, mState.mWriteSequence, output);
  }

  void TickNow()
  {
    Output output;
    Tick(mState, mNow, 1, output);
    Sync();
  }

  void ReceiveNow(const wire::ConsensusMessage& aMessage)
  {
    Output output;
    Receive(mState, mNow, 1, aMessage, output);
    Sync();
  }

  void StandForElection()
  {
    wire::ConsensusMessage message = MessageFrom(mState, "b");
    message.mutable_transfer_request();
    ReceiveNow(message);
    CPPUNIT_ASSERT(mState.mRole == Role::Candidate);
  }

  void Vote(const std::string& aFrom)
  {
    wire::ConsensusMessage message = MessageFrom(mState, aFrom);
    message.mutable_vote_reply()->set_granted(true);
    ReceiveNow(message);
  }

  void Answer(const std::string& aFrom, bool aKnowsJoint = true)
  {
    wire::ConsensusMessage message = MessageFrom(mState, aFrom);
    wire::AppendReply& reply = *message.mutable_append_reply();
    reply.set_success(true);
    reply.set_index(LastIndex(mState));
    reply.set_knows_joint(aKnowsJoint);
    ReceiveNow(message);
  }

  void LeadAndReplace()
  {
    StandForElection();
    Vote("b");
    Answer("b");
    Output output;
    CPPUNIT_ASSERT(ChangeMembership(mState, mNow, VotersAre("abd"), output));
    Sync();
    CPPUNIT_ASSERT(mState.mMembership.joint());
    CPPUNIT_ASSERT(!IsCommitted());
  }

  [[nodiscard]] bool IsCommitted() const
  {
    return mState.mCommit >= mState.mMembershipIndex;
  }

  Micros mNow = kSecond;
  State mState;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JointMembershipTest);

} // namespace geraniumpond::consensus
