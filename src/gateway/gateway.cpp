#include "internal.h"

#include <algorithm>

// The reducer: each event is applied to dispatch and the fleet.
namespace geraniumpond::gateway {

namespace {

/// Time after a start during which requests may wait for the first policy.
constexpr Micros kInitialPolicyWait = 1 * kSecond;

void HandleTimePassed(Context& aContext, std::uint64_t aRandom)
{
  State& state = aContext.mState;
  dispatch::Effects effects;
  dispatch::Tick(state.mDispatch, aContext.mNow, effects);
  fleet::Output output;
  if (dispatch::UpdateReach(state.mDispatch, aContext.mNow, effects)) {
    UpdateRelayHosts(aContext);
    fleet::SetCutOff(
      state.mFleet, aContext.mNow, dispatch::IsCutOff(state.mDispatch), output);
  }
  AppendEffects(aContext, std::move(effects));
  UpdateCounts(aContext);
  fleet::Tick(state.mFleet, aContext.mNow, aRandom, output);
  ApplyFleetOutput(aContext, std::move(output));
  UpdateHosts(aContext);
}

template<class Function>
void Dispatch(Context& aContext, Function aFunction)
{
  dispatch::Effects effects;
  aFunction(effects);
  AppendEffects(aContext, std::move(effects));
}

/// \brief Visitor that processes each kind of event.
struct EventHandler
{
  Context& mContext;
  std::uint64_t mRandom;
  Micros mMessageDelay;

  void operator()(const TimePassed& aEvent)
  {
    mContext.mState.mSending = aEvent.mSending;
    HandleTimePassed(mContext, mRandom);
  }
  void operator()(const PeerMessage& aEvent)
  {
    fleet::Output output;
    fleet::Receive(
      mContext.mState.mFleet, mContext.mNow, mRandom, aEvent.mMessage, output);
    ApplyFleetOutput(mContext, std::move(output));
  }
  void operator()(const DiskSynced& aEvent)
  {
    fleet::Output output;
    fleet::Synced(
      mContext.mState.mFleet, mContext.mNow, aEvent.mSequence, output);
    ApplyFleetOutput(mContext, std::move(output));
  }
  void operator()(const dispatch::Arrival& aEvent)
  {
    State& state = mContext.mState;
    const dispatch::Arrival arrival = WithSender(state, aEvent);
    // Until the first policy, requests wait without a cost.
    const bool isAccepted =
      !state.mDispatch.mPolicy ||
      fleet::AcceptsRequests(state.mFleet, mContext.mNow, mMessageDelay);
    Dispatch(mContext, [&](dispatch::Effects& aOut) {
      if (!isAccepted) {
        dispatch::RefuseBusy(state.mDispatch, arrival, aOut);
        return;
      }
      dispatch::HandleArrival(
        mContext.mState.mDispatch, mContext.mNow, arrival, aOut);
    });
  }
  void operator()(const dispatch::ProbeEnd& aEvent)
  {
    Dispatch(mContext, [&](dispatch::Effects& aOut) {
      dispatch::HandleProbeEnd(
        mContext.mState.mDispatch, mContext.mNow, aEvent, aOut);
    });
  }
  void operator()(const dispatch::AttemptEnd& aEvent)
  {
    Dispatch(mContext, [&](dispatch::Effects& aOut) {
      dispatch::HandleAttemptEnd(
        mContext.mState.mDispatch, mContext.mNow, aEvent, aOut);
    });
  }
  void operator()(const ClientGone& aEvent)
  {
    Dispatch(mContext, [&](dispatch::Effects& aOut) {
      dispatch::HandleClientDisconnect(
        mContext.mState.mDispatch, mContext.mNow, aEvent.mRequest, aOut);
    });
  }
  void operator()(const Announce& aEvent) { HandleAnnounce(mContext, aEvent); }
  void operator()(const Withdraw& aEvent) { HandleWithdraw(mContext, aEvent); }
  void operator()(const PutPolicy& aEvent)
  {
    HandlePutPolicy(mContext, aEvent);
  }
  void operator()(const ReadPolicy& aEvent)
  {
    HandleReadPolicy(mContext, aEvent);
  }
  void operator()(const SetEvacuation& aEvent)
  {
    HandleSetEvacuation(mContext, aEvent);
  }
  void operator()(const ReleaseRequest& aEvent)
  {
    AnswerOperation answer{
      aEvent.mOperation, OperationOutcome::Done, "", "", ""
    };
    Dispatch(mContext, [&](dispatch::Effects& aOut) {
      const bool released = dispatch::ReleaseRequest(
        mContext.mState.mDispatch, mContext.mNow, aEvent.mIdentity, aOut);
      answer.mEnd =
        released ? OperationOutcome::Done : OperationOutcome::Invalid;
      answer.mReason = released ? "" : "no such request is suspected";
    });
    mContext.mOut.emplace_back(std::move(answer));
  }
  void operator()(const StopRequested& aEvent) { HandleStop(mContext, aEvent); }
};

} // namespace

State Open(const Settings& aSettings,
           const consensus::Recovered& aRecovered,
           Micros aNow,
           std::uint64_t aRandom,
           Effects& aOut)
{
  State state;
  state.mSettings = aSettings;
  state.mDispatch.mHostId = aSettings.mFleet.mPeerAddress;
  state.mDispatch.mDataCentre = aSettings.mFleet.mDataCentre;
  state.mDispatch.mRegions = aSettings.mRegions;
  state.mDispatch.mBounds = aSettings.mBounds;
  state.mDispatch.mBounds.mLinkBytesPerSecond = aSettings.mLinkBytesPerSecond;
  dispatch::SetFairAcrossHosts(state.mDispatch, aSettings.mFairAcrossHosts);
  state.mDispatch.mQuota = quota::MakeState(aSettings.mQuota, aNow);
  state.mDispatch.mRandom = aRandom | 1;
  state.mDispatch.mKnowsHosts = false;
  state.mStartedAt = aNow;
  state.mDispatch.mPolicyExpectedUntil = aNow + kInitialPolicyWait;
  state.mShuffle.seed(aRandom);
  fleet::Output output;
  state.mFleet =
    fleet::Open(aSettings.mFleet, aRecovered, aNow, aRandom, output);
  Context context{ state, aNow, aOut };
  state.mPolicyWithheld = true;
  ApplyFleetOutput(context, std::move(output));
  return state;
}

Effects Step(State& aState, const Event& aEvent)
{
  Effects effects;
  ++aState.mSteps;
  Context context{ aState, aEvent.mNow, effects };
  dispatch::IgnoreOwnDelay(aState.mDispatch, aEvent.mNow);
  UpdateTrust(context);
  std::visit(EventHandler{ context, aEvent.mRandom, aEvent.mMessageDelay },
             aEvent.mBody);
  ApplyWithheldPolicy(context);
  // The loop reports the time once it has handled all that it has read.
  if (std::holds_alternative<TimePassed>(aEvent.mBody)) {
    ContinueStop(context);
  }
  return effects;
}

Micros NextTick(const State& aState) noexcept
{
  Micros next = std::min(dispatch::NextTick(aState.mDispatch),
                         fleet::NextTick(aState.mFleet));
  for (const WaitingRead& read : aState.mReads) {
    next = std::min(next, read.mGiveUpAt);
  }
  if (aState.mStopping) {
    next = std::min(next, ExitDeadline(aState));
  }
  return next;
}

bool IsReady(const State& aState) noexcept
{
  return aState.mFleet.mReady && !aState.mStopping;
}

} // namespace geraniumpond::gateway
