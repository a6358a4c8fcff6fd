#include "internal.h"

// Policy reads. The leader answers a read with the state that it has applied,
// once a quorum has confirmed that it still leads. Nothing is written for a
// read, so that it waits neither for a disk nor behind target announcements.
// The answer includes the policy if the asking host has an older one, as that
// host may be far down the tree or out of touch.
namespace geraniumpond::fleet {

namespace {

void RefuseReads(State& aState, Micros aNow, Output& aOut)
{
  const auto reads = std::move(aState.mReads);
  aState.mReads.clear();
  for (const auto& [asker, read] : reads) {
    wire::SubmitReply reply;
    reply.set_id(asker.second);
    reply.set_status(wire::SUBMIT_NOT_LEADER);
    reply.set_leader_address(aState.mLeaderAddress);
    ReplySubmit(aState, aNow, asker.first, reply, aOut);
  }
}

wire::SubmitReply AnswerTo(const State& aState,
                           Micros aNow,
                           std::uint64_t aId,
                           const PendingRead& aRead)
{
  const std::uint64_t version = aState.mCatalog.mVersion;
  wire::SubmitReply reply;
  reply.set_id(aId);
  reply.set_status(wire::SUBMIT_COMMITTED);
  reply.set_leader_address(aState.mSettings.mPeerAddress);
  reply.mutable_outcome()->set_accepted(true);
  reply.mutable_outcome()->set_reason("read");
  reply.mutable_outcome()->set_version(version);
  reply.set_waited_ms(
    static_cast<std::uint32_t>((aNow - aRead.mSince) / kMillisecond));
  if (aRead.mKnownPolicyVersion && *aRead.mKnownPolicyVersion < version) {
    *reply.mutable_policy() = aState.mCatalog.mChange;
  }
  return reply;
}

} // namespace

void HandleRead(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Submit& aMessage,
                Output& aOut)
{
  // A repeated read keeps waiting for the round of the first one.
  const auto [entry, added] =
    aState.mReads.try_emplace({ aFrom, aMessage.id() });
  if (!added) {
    return;
  }
  entry->second.mSince = aNow;
  if (aMessage.has_known_policy()) {
    entry->second.mKnownPolicyVersion = aMessage.known_policy();
  }
  consensus::Output raft;
  entry->second.mRound = consensus::RequestRead(aState.mGroup, aNow, raft);
  Perform(aState, aNow, std::move(raft), aOut);
}

void AnswerReads(State& aState, Micros aNow, Output& aOut)
{
  if (!consensus::IsLeader(aState.mGroup)) {
    RefuseReads(aState, aNow, aOut);
    return;
  }
  for (auto it = aState.mReads.begin(); it != aState.mReads.end();) {
    const auto [asker, read] = *it;
    if (!consensus::IsReadConfirmed(aState.mGroup, read.mRound)) {
      ++it;
      continue;
    }
    it = aState.mReads.erase(it);
    ReplySubmit(aState,
                aNow,
                asker.first,
                AnswerTo(aState, aNow, asker.second, read),
                aOut);
  }
}

} // namespace geraniumpond::fleet
