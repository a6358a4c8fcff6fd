#include "context.h"

#include <algorithm>
#include <limits>

namespace geraniumpond::node {

namespace {

constexpr Micros kResend = 250 * kMillisecond;
constexpr int kMaxHints = 2;
constexpr std::uint32_t kUnavailable = 503;

std::string NextVoter(const State& aState, std::size_t aTry)
{
  const auto& voters = aState.mSettings.voters();
  if (voters.empty()) {
    return "";
  }
  const auto index = aTry % static_cast<std::size_t>(voters.size());
  return voters.Get(static_cast<int>(index)).id();
}

std::string Destination(const State& aState, const Proposal& aProposal)
{
  if (aState.mSettings.control() && consensus::IsLeader(aState.mGroup)) {
    return aState.mSettings.id();
  }
  if (!aState.mLeaderHint.empty() && aProposal.mTries % 2 == 0) {
    return aState.mLeaderHint;
  }
  return NextVoter(aState, aProposal.mTries);
}

void Send(Context& aContext, std::uint64_t aId, Proposal& aProposal)
{
  const std::string to = Destination(aContext.mState, aProposal);
  ++aProposal.mTries;
  auto& times = aContext.mState.mProposalTimes;
  times.erase({ aProposal.mSendAt, aId });
  aProposal.mSendAt = aContext.mNow + kResend;
  times.insert({ aProposal.mSendAt, aId });
  wire::PeerMessage message;
  message.mutable_proposal()->set_id(aId);
  *message.mutable_proposal()->mutable_command() = aProposal.mCommand;
  if (to == aContext.Self()) {
    // The reply may erase the proposal; pass the copy in the message.
    HandleProposal(aContext, to, message.proposal());
    return;
  }
  SendTo(aContext, to, std::move(message));
}

Proposal RemoveProposal(State& aState, std::uint64_t aId)
{
  const auto found = aState.mProposals.find(aId);
  Proposal proposal = std::move(found->second);
  aState.mProposalTimes.erase({ proposal.mSendAt, aId });
  aState.mProposals.erase(found);
  return proposal;
}

void GiveUp(Context& aContext, const Proposal& aProposal)
{
  aContext.Count("proposals_given_up");
  if (aProposal.mOperation != 0) {
    AnswerOperation(
      aContext,
      aProposal.mOperation,
      kUnavailable,
      ErrorJson("unknown",
                "no answer from the control group; send the same change id "
                "again to learn its outcome"));
  }
}

void Resolve(Context& aContext,
             const Proposal& aProposal,
             const wire::CommandOutcome& aOutcome)
{
  if (aOutcome.has_change() && aProposal.mOperation != 0) {
    AnswerChange(aContext, aProposal.mOperation, aOutcome.change());
  }
  if (aOutcome.has_record()) {
    HandleKeyRecord(
      aContext, aProposal.mRequest, aProposal.mCommand, aOutcome.record());
  }
}

void ReplyNotLeader(Context& aContext,
                    const std::string& aTo,
                    std::uint64_t aProposal)
{
  const std::string& leader = aContext.mState.mGroup.mLeader;
  if (aTo == aContext.Self()) {
    return;
  }
  wire::PeerMessage message;
  message.mutable_proposal_reply()->set_id(aProposal);
  message.mutable_proposal_reply()->set_leader(leader);
  SendTo(aContext, aTo, std::move(message));
}

} // namespace

std::uint64_t Submit(Context& aContext, Proposal aProposal)
{
  State& state = aContext.mState;
  const std::uint64_t id = ++state.mLastProposal;
  Proposal& proposal = state.mProposals[id];
  proposal = std::move(aProposal);
  Send(aContext, id, proposal);
  return id;
}

void RetryProposals(Context& aContext)
{
  State& state = aContext.mState;
  auto& times = state.mProposalTimes;
  while (!times.empty() && times.begin()->first <= aContext.mNow) {
    const std::uint64_t id = times.begin()->second;
    Proposal& proposal = state.mProposals.at(id);
    if (proposal.mGiveUpAt > aContext.mNow) {
      aContext.Count("proposals_resent");
      Send(aContext, id, proposal);
      continue;
    }
    GiveUp(aContext, RemoveProposal(state, id));
  }
}

Micros NextProposalTime(const State& aState) noexcept
{
  return aState.mProposalTimes.empty() ? std::numeric_limits<Micros>::max()
                                       : aState.mProposalTimes.begin()->first;
}

void HandleProposal(Context& aContext,
                    const std::string& aFrom,
                    const wire::Proposal& aMessage)
{
  State& state = aContext.mState;
  if (!state.mSettings.control()) {
    return;
  }
  wire::Command command = aMessage.command();
  command.set_proposed_at_us(aContext.mNow);
  control::Compact(state.mControl, command);
  consensus::Output output;
  const Result<std::uint64_t> index = consensus::Propose(
    state.mGroup, aContext.mNow, command.SerializeAsString(), output);
  if (!index) {
    ReplyNotLeader(aContext, aFrom, aMessage.id());
    return;
  }
  state.mCommitWaiters[index.value()] = { state.mGroup.mTerm,
                                          aFrom,
                                          aMessage.id() };
  ProcessConsensusOutput(aContext, std::move(output));
}

void HandleProposalReply(Context& aContext, const wire::ProposalReply& aMessage)
{
  State& state = aContext.mState;
  const auto found = state.mProposals.find(aMessage.id());
  if (found == state.mProposals.end()) {
    return;
  }
  if (aMessage.has_outcome()) {
    Resolve(aContext, RemoveProposal(state, aMessage.id()), aMessage.outcome());
    return;
  }
  state.mLeaderHint = aMessage.leader();
  Proposal& proposal = found->second;
  if (state.mLeaderHint.empty() || proposal.mHintsFollowed >= kMaxHints) {
    proposal.mHintsFollowed = 0;
    return;
  }
  ++proposal.mHintsFollowed;
  proposal.mTries = 0;
  Send(aContext, aMessage.id(), proposal);
}

} // namespace geraniumpond::node
