#include "context.h"

namespace geraniumpond::node {

namespace {

// Time for the drain fact to reach the hosts that serve address lists.
constexpr Micros kDrainPropagationTime = 2 * kSecond;

} // namespace

void BeginStop(Context& aContext)
{
  State& state = aContext.mState;
  if (state.mStopping) {
    return;
  }
  state.mStopping = true;
  const bool serves = state.mSettings.entry() && state.mReady;
  state.mStopAt = aContext.mNow;
  if (serves) {
    state.mStopAt +=
      kDrainPropagationTime + state.mSettings.answer_keep_ms() * kMillisecond;
  }
  aContext.Log(kInfo, "stopping: no longer given out to callers");
  const wire::Fact* self = membership::Find(
    state.mDirectory, { wire::FACT_HOST, "", aContext.Self() });
  if (self != nullptr && !membership::IsDraining(*self)) {
    wire::Fact fact = *self;
    fact.set_drain_sequence(fact.drain_sequence() + 1);
    Publish(aContext, fact);
  }
  if (state.mSettings.control()) {
    consensus::Output output;
    consensus::TransferLeadership(state.mGroup, aContext.mNow, output);
    ProcessConsensusOutput(aContext, std::move(output));
  }
}

void ContinueStop(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mStopping || state.mExited || aContext.mNow < state.mStopAt) {
    return;
  }
  // Pending records of keys that this host owns must be committed first.
  if (!state.mRequests.empty() || !state.mAttemptSlots.empty() ||
      !state.mProposals.empty()) {
    return;
  }
  state.mExited = true;
  const wire::Fact* self = membership::Find(
    state.mDirectory, { wire::FACT_HOST, "", aContext.Self() });
  if (self != nullptr) {
    wire::Fact fact = *self;
    fact.set_sequence(fact.sequence() + 1);
    fact.set_gone(true);
    Publish(aContext, fact);
  }
  aContext.Log(kInfo, "stopped: nothing in flight");
  aContext.Add().mutable_exit();
}

} // namespace geraniumpond::node
