#include "internal.h"

#include <algorithm>

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

namespace {

/// Interval at which the number of live hosts is updated.
constexpr Micros kHostCountInterval = 500 * kMillisecond;
/// Time after a start until all hosts that started together are known: they
/// report every 0.4 s, and a host list passes through a few relays.
constexpr Micros kHostDiscoveryTime = 3 * kSecond;
/// Part of the stop grace period reserved for the process to exit.
constexpr Micros kStopReserve = 800 * kMillisecond;
/// The same while answers are still being sent; whatever remains is cut off.
constexpr Micros kSendingReserve = 300 * kMillisecond;
/// A link that is this many times faster carries the large answers of several
/// hosts beside its own.
constexpr double kFastLinkRatio = 10;
/// Time after a start during which requests may wait for the first policy.
constexpr Micros kInitialPolicyWait = 1 * kSecond;
/// Time after the first policy until what accounts have used is known here: a
/// report and an answer by each host on the way to the leader.
constexpr Micros kFirstTotalsWait = 800 * kMillisecond;

void ApplyNewPolicy(Context& aContext, fleet::Output& aFleet)
{
  State& state = aContext.mState;
  const catalog::State& catalog = state.mFleet.mCatalog;
  // A policy may come twice, sent ahead and as a command.
  const auto& inForce = state.mDispatch.mPolicy;
  const bool isInForce = inForce && inForce->mVersion == catalog.mVersion;
  if (catalog.mVersion == 0 || state.mPolicyWithheld || isInForce) {
    return;
  }
  Result<policy::TrafficPolicy> decoded =
    state.mSettings.mDecodePolicy(catalog.mDocument);
  if (!decoded) {
    aContext.Log(
      3,
      "event=policy_unreadable version=" + std::to_string(catalog.mVersion) +
        " reason=\"" + decoded.error().mMessage + "\"");
    return;
  }
  policy::BuildIndex(decoded.value());
  if (!inForce && policy::HasLimitedAccounts(decoded.value())) {
    state.mDispatch.mPolicyExpectedUntil = std::max(
      state.mDispatch.mPolicyExpectedUntil, aContext.mNow + kFirstTotalsWait);
  }
  const std::size_t routes = decoded.value().mRoutes.size();
  dispatch::SetPolicy(
    state.mDispatch,
    aContext.mNow,
    std::make_shared<const policy::TrafficPolicy>(std::move(decoded.value())));
  UpdateTrust(aContext);
  dispatch::Effects effects;
  dispatch::ApplyAccounts(state.mDispatch, aContext.mNow, effects);
  AppendEffects(aContext, std::move(effects));
  UpdateCounting(aContext);
  aContext.Log(
    1,
    "event=policy_in_force version=" + std::to_string(catalog.mVersion) +
      " routes=" + std::to_string(routes) +
      " accounts=" + std::to_string(AccountCount(state)) +
      " upstream=" + state.mFleet.mUpstream + " word_age_ms=" +
      std::to_string(
        fleet::ConfirmationAge(state.mFleet, aContext.mNow).value_or(0) /
        kMillisecond));
  if (!state.mStopping) {
    fleet::SetReady(state.mFleet, aContext.mNow, true, aFleet);
  }
}

} // namespace

void ApplyFleetOutput(Context& aContext, fleet::Output aFleet)
{
  State& state = aContext.mState;
  if (aFleet.mPolicyChanged) {
    ApplyNewPolicy(aContext, aFleet);
  }
  if (aFleet.mTargetsChanged) {
    const catalog::State& catalog = state.mFleet.mCatalog;
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

void RecordWarmUp(Context& aContext, const wire::TargetRecord& aRecord)
{
  dispatch::Effects effects;
  dispatch::HandleAnnouncedWarmUp(
    aContext.mState.mDispatch, aContext.mNow, aRecord, effects);
  AppendEffects(aContext, std::move(effects));
}

namespace {

// Until the control group has confirmed it, the policy may be outdated: it may
// come from the disk, from a log that is still being replayed, or from an
// upstream that has just started. Applying it would deny requests or route them
// to the wrong targets for as long as the group is unreachable. A refused
// request is retried, usually on another host.
void ApplyWithheldPolicy(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mPolicyWithheld ||
      !fleet::HasConfirmedCatalog(state.mFleet, aContext.mNow)) {
    return;
  }
  state.mPolicyWithheld = false;
  fleet::Output output;
  output.mPolicyChanged = true;
  ApplyFleetOutput(aContext, std::move(output));
}

void HandleStop(Context& aContext)
{
  State& state = aContext.mState;
  if (state.mStopping) {
    return;
  }
  state.mStopping = true;
  state.mStopAt = aContext.mNow;
  aContext.Log(1,
               "event=stopping requests=" +
                 std::to_string(dispatch::RunningRequests(state.mDispatch)));
  fleet::Output output;
  fleet::BeginStop(state.mFleet, aContext.mNow, output);
  ApplyFleetOutput(aContext, std::move(output));
}

// Clients keep sending requests for as long as they may have cached this host's
// address. Requests in flight are not cut off before the exit deadline.
Micros EarliestExit(const State& aState)
{
  const Settings& settings = aState.mSettings;
  const Micros cacheTime = settings.mAnswerKeep * settings.mAnswerKeepFactor;
  return aState.mStopAt +
         std::min(cacheTime + 500 * kMillisecond, settings.mStopGrace * 3 / 4);
}

Micros ExitDeadline(const State& aState)
{
  return aState.mStopAt + aState.mSettings.mStopGrace -
         (aState.mSending ? kSendingReserve : kStopReserve);
}

void ContinueStop(Context& aContext)
{
  State& state = aContext.mState;
  if (!state.mStopping || state.mExited) {
    return;
  }
  // For the reducer a request ends when its answer is handed over for sending;
  // a large answer then takes seconds on a slow link.
  const bool idle = dispatch::RunningRequests(state.mDispatch) == 0 &&
                    state.mOperations.empty() && !state.mSending;
  if ((aContext.mNow >= EarliestExit(state) && idle) ||
      aContext.mNow >= ExitDeadline(state)) {
    state.mExited = true;
    aContext.Log(1,
                 "event=stopped requests_cut=" +
                   std::to_string(dispatch::RunningRequests(state.mDispatch)) +
                   " answers_cut=" + (state.mSending ? "yes" : "no"));
    aContext.mOut.emplace_back(ExitProcess{});
  }
}

// The limits of targets and the trials of suspected requests are divided among
// the hosts that accept clients.
void UpdateSharers(Context& aContext)
{
  State& state = aContext.mState;
  rate_share::Members sharers;
  if (state.mDispatch.mKnowsHosts &&
      dispatch::NeedsLimitHosts(state.mDispatch, aContext.mNow)) {
    std::vector<std::string> hosts;
    for (const fleet::Host* host :
         fleet::ReadyHosts(state.mFleet, aContext.mNow)) {
      hosts.push_back(host->mPeerAddress);
    }
    sharers = rate_share::MakeMembers(hosts, state.mDispatch.mHostId);
  }
  dispatch::SetLimitHosts(state.mDispatch, aContext.mNow, std::move(sharers));
}

// Hosts whose links carry what is large for this host's.
void UpdateFastHosts(Context& aContext)
{
  State& state = aContext.mState;
  const fleet::Settings& own = state.mSettings.mFleet;
  std::vector<std::string>& fast = state.mDispatch.mFastHosts;
  fast.clear();
  if (own.mLinkMbps <= 0) {
    return;
  }
  for (const fleet::Host* host :
       fleet::HostsForClients(state.mFleet, aContext.mNow)) {
    if (host->mDataCentre == own.mDataCentre &&
        host->mLinkMbps >= kFastLinkRatio * own.mLinkMbps) {
      fast.push_back(host->mCallerAddress);
    }
  }
}

// Shared bounds apply over a window. The largest host count within the window
// is used, so that hosts which are briefly down or unreachable do not make the
// others take over their shares.
void UpdateHostCount(Context& aContext)
{
  State& state = aContext.mState;
  if (aContext.mNow < state.mHostCountUpdatedAt + kHostCountInterval) {
    return;
  }
  state.mHostCountUpdatedAt = aContext.mNow;
  state.mDispatch.mKnowsHosts =
    aContext.mNow >= state.mStartedAt + kHostDiscoveryTime;
  UpdateSharers(aContext);
  UpdateCountHosts(aContext);
  UpdateFastHosts(aContext);
  UpdateHostDataCentres(aContext);
  const int hosts = fleet::LiveHostCount(state.mFleet, aContext.mNow);
  const Micros window = state.mSettings.mBounds.mExtraWindow;
  if (hosts >= state.mDispatch.mHosts) {
    state.mPeakHostsAt = aContext.mNow;
  }
  const bool old = aContext.mNow - state.mPeakHostsAt > window;
  if (hosts > state.mDispatch.mHosts || old) {
    state.mPeakHostsAt = aContext.mNow;
    dispatch::SetHosts(state.mDispatch, aContext.mNow, hosts);
  }
}

// Hosts that this one may pass requests on to while it does not hear from
// targets.
void UpdateRelayHosts(Context& aContext)
{
  State& state = aContext.mState;
  state.mDispatch.mRelayHosts.clear();
  if (!dispatch::AwaitsAnyAnswer(state.mDispatch)) {
    return;
  }
  for (const fleet::Host* host :
       fleet::HostsForClients(state.mFleet, aContext.mNow)) {
    if (host->mPeerAddress != state.mSettings.mFleet.mPeerAddress) {
      state.mDispatch.mRelayHosts.push_back(host->mCallerAddress);
    }
  }
}

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
  UpdateHostCount(aContext);
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
  void operator()(const StopRequested&) { HandleStop(mContext); }
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
  Context context{ aState, aEvent.mNow, effects };
  dispatch::IgnoreOwnDelay(aState.mDispatch, aEvent.mNow);
  UpdateTrust(context);
  std::visit(EventHandler{ context, aEvent.mRandom, aEvent.mMessageDelay },
             aEvent.mBody);
  ApplyWithheldPolicy(context);
  ContinueStop(context);
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
