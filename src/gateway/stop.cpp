#include "internal.h"

#include <algorithm>

// The stop of a host: it sees its requests through within the grace period.
namespace geraniumpond::gateway {

namespace {

/// Part of the stop grace period reserved for the process to exit; whatever
/// remains then is cut off.
constexpr Micros kExitReserve = 300 * kMillisecond;
/// Part of the time before that in which the last answers are sent.
constexpr Micros kSendingReserve = 200 * kMillisecond;

// Clients keep sending requests for as long as they may have cached this host's
// address. Requests in flight are not cut off before the exit deadline.
Micros EarliestExit(const State& aState)
{
  const Settings& settings = aState.mSettings;
  const Micros cacheTime = settings.mAnswerKeep * settings.mAnswerKeepFactor;
  return aState.mStopAt +
         std::min(cacheTime + 500 * kMillisecond, settings.mStopGrace * 3 / 4);
}

bool HandsOverAnswer(const Effects& aEffects)
{
  return std::any_of(
    aEffects.begin(), aEffects.end(), [](const Effect& aEffect) {
      return std::holds_alternative<dispatch::DeliverAnswer>(aEffect) ||
             std::holds_alternative<dispatch::ReplyToClient>(aEffect) ||
             std::holds_alternative<AnswerOperation>(aEffect);
    });
}

} // namespace

void HandleStop(Context& aContext, const StopRequested& aRequested)
{
  State& state = aContext.mState;
  if (state.mStopping) {
    return;
  }
  state.mStopping = true;
  state.mStopAt = aRequested.mSignalledAt > 0
                    ? std::min(aRequested.mSignalledAt, aContext.mNow)
                    : aContext.mNow;
  dispatch::BeginShutdown(
    state.mDispatch, { state.mStopAt, ExitDeadline(state) - kSendingReserve });
  aContext.Log(
    1,
    "event=stopping requests=" +
      std::to_string(dispatch::RunningRequests(state.mDispatch)) +
      " noticed_after_ms=" +
      std::to_string((aContext.mNow - state.mStopAt) / kMillisecond));
  fleet::Output output;
  fleet::BeginStop(state.mFleet, aContext.mNow, output);
  ApplyFleetOutput(aContext, std::move(output));
}

Micros ExitDeadline(const State& aState)
{
  return aState.mStopAt + aState.mSettings.mStopGrace - kExitReserve;
}

void ContinueStop(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mStopping || state.mExited) {
    return;
  }
  // For the reducer a request ends when its answer is handed over for sending;
  // a large answer then takes seconds on a slow link. What this step hands over
  // counts as being sent until the loop has looked.
  state.mSending = state.mSending || HandsOverAnswer(aContext.mOut);
  const bool idle = dispatch::RunningRequests(state.mDispatch) == 0 &&
                    state.mOperations.empty() && state.mReads.empty() &&
                    !state.mSending;
  if ((aContext.mNow >= EarliestExit(state) && idle) ||
      aContext.mNow >= ExitDeadline(state)) {
    state.mExited = true;
    dispatch::Effects cutOff;
    dispatch::LogCutOff(state.mDispatch, aContext.mNow, state.mStopAt, cutOff);
    AppendEffects(aContext, std::move(cutOff));
    aContext.Log(1,
                 "event=stopped requests_cut=" +
                   std::to_string(dispatch::RunningRequests(state.mDispatch)) +
                   " answers_cut=" + (state.mSending ? "yes" : "no"));
    aContext.mOut.emplace_back(ExitProcess{});
  }
}

} // namespace geraniumpond::gateway
