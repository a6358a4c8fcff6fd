#include "internal.h"

// What dispatch and the fleet put out: their effects become those of the step,
// and what the fleet has learnt is handed on to dispatch.
namespace geraniumpond::gateway {

void AppendEffects(Context& aContext, dispatch::Effects aEffects)
{
  for (dispatch::Effect& effect : aEffects) {
    if (auto* publish = std::get_if<dispatch::SendFact>(&effect)) {
      fleet::Output output;
      fleet::ShareFact(aContext.mState.mFleet,
                       aContext.mNow,
                       std::move(publish->mItem),
                       output);
      ApplyFleetOutput(aContext, std::move(output));
      continue;
    }
    std::visit(
      [&](auto& aOne) {
        using One = std::decay_t<decltype(aOne)>;
        if constexpr (!std::is_same_v<One, dispatch::SendFact>) {
          aContext.mOut.emplace_back(std::move(aOne));
        }
      },
      effect);
  }
}

void ApplyFleetOutput(Context& aContext, fleet::Output aFleet)
{
  State& state = aContext.mState;
  if (aFleet.mPolicyChanged) {
    ApplyNewPolicy(aContext, aFleet);
  }
  if (aFleet.mTargetsChanged) {
    const catalog::State& catalog = state.mFleet.mCatalog;
    LearnEvacuationRevisions(state);
    dispatch::Effects effects;
    dispatch::SetEvacuated(state.mDispatch,
                           aContext.mNow,
                           catalog::EvacuatedDataCentres(catalog),
                           effects);
    dispatch::SetTargets(
      state.mDispatch, aContext.mNow, catalog.mTargets, effects);
    AppendEffects(aContext, std::move(effects));
  }
  if (aFleet.mPolicyChanged) {
    dispatch::Effects effects;
    dispatch::AdmitUnrouted(state.mDispatch, aContext.mNow, effects);
    AppendEffects(aContext, std::move(effects));
  }
  for (const gossip::Item& item : aFleet.mReceivedFacts) {
    dispatch::Effects effects;
    dispatch::HandleFact(state.mDispatch, aContext.mNow, item, effects);
    AppendEffects(aContext, std::move(effects));
  }
  for (const fleet::LogLine& note : aFleet.mLogLines) {
    aContext.Log(note.mLevel, note.mText);
  }
  // Writes come before messages, so that no message promises data that has not
  // been written.
  for (consensus::Write& write : aFleet.mWrites) {
    aContext.mOut.emplace_back(Persist{ std::move(write) });
  }
  for (auto& [address, message] : aFleet.mMessages) {
    aContext.mOut.emplace_back(SendPeer{ address, std::move(message) });
  }
  for (const fleet::Completion& done : aFleet.mDone) {
    CompleteOperation(aContext, done);
  }
  AnswerReads(aContext);
  UseNewTotals(aContext);
}

} // namespace geraniumpond::gateway
