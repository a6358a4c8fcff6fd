#include "context.h"

#include <geraniumpond/text_delta.h>

namespace geraniumpond::node {

namespace {

// How long a starting host waits for a quorum of control hosts to confirm the
// deployment version before it serves from its cached deployment.
constexpr Micros kQuorumWait = 3 * kSecond;

void ConfigureService(Context& aContext, const Service& aRules)
{
  State& state = aContext.mState;
  ServiceState& service = state.mServices[aRules.mName];
  service.mTargets.mDataCentre = state.mSettings.data_centre();
  service.mTargets.mRules.mMaxEjectedShare = aRules.mMaxEjected;
  service.mTargets.mRules.mSlowStart = aRules.mSlowStart;
  service.mQueue.mLimit = aRules.mQueueLimit;
  service.mQueue.mBulkShare = aRules.mBulkShare;
  service.mRetries.mRatio = aRules.mRetryBudget;
  SyncTargets(aContext, aRules.mName);
}

// Push with only the delta, for hosts that run the previous version.
wire::DeploymentPush NewPush(const State& aState)
{
  wire::DeploymentPush push;
  *push.mutable_deployment() = aState.mVersion;
  if (aState.mPreviousVersion.version() + 1 == aState.mVersion.version()) {
    *push.mutable_delta() = text_delta::MakeDelta(
      aState.mPreviousVersion.text(), aState.mVersion.text());
    push.mutable_delta()->set_base_version(aState.mPreviousVersion.version());
    push.mutable_deployment()->clear_text();
  }
  return push;
}

void SendPush(Context& aContext,
              const std::string& aTo,
              const wire::DeploymentPush& aPush,
              bool aRelay)
{
  wire::PeerMessage message;
  *message.mutable_deployment_push() = aPush;
  message.mutable_deployment_push()->set_relay(aRelay);
  SendTo(aContext, aTo, std::move(message));
}

// Reconstructs the full version from a push. A host without the base of the
// delta requests the full text.
std::optional<wire::DeploymentVersion> DecodePush(
  Context& aContext,
  const std::string& aFrom,
  const wire::DeploymentPush& aMessage)
{
  const State& state = aContext.mState;
  wire::DeploymentVersion version = aMessage.deployment();
  if (!aMessage.has_delta() || version.version() <= state.mVersion.version()) {
    return version;
  }
  const bool hasBase =
    aMessage.delta().base_version() == state.mVersion.version();
  const Result<std::string> text =
    hasBase ? text_delta::Apply(state.mVersion.text(), aMessage.delta())
            : Result<std::string>(Fail(ErrorCode::NotFound, "no base"));
  if (!text) {
    aContext.Count("deployment_deltas_without_base");
    wire::PeerMessage message;
    message.mutable_deployment_request()->set_have_version(
      state.mVersion.version());
    SendTo(aContext, aFrom, std::move(message));
    return std::nullopt;
  }
  version.set_text(text.value());
  return version;
}

std::size_t Majority(const State& aState)
{
  return static_cast<std::size_t>(aState.mSettings.voters_size()) / 2 + 1;
}

} // namespace

void AdoptDeployment(Context& aContext, const wire::DeploymentVersion& aVersion)
{
  State& state = aContext.mState;
  if (aVersion.version() <= state.mVersion.version()) {
    return;
  }
  Checked<Deployment> parsed = ParseDeployment(aVersion.text(), "deployment");
  if (!parsed.Ok()) {
    aContext.Count("deployments_unreadable");
    aContext.Log(kError,
                 "deployment " + std::to_string(aVersion.version()) + ": " +
                   ToString(parsed.mFaults.front()));
    return;
  }
  state.mPreviousVersion = std::move(state.mVersion);
  state.mVersion = aVersion;
  state.mDeployment = std::move(parsed.mValue);
  state.mHostBudget.mPerSecond = state.mDeployment.mBudget.mBytesPerHost;
  state.mHostBudget.mBurst = 4 * state.mHostBudget.mPerSecond;
  for (const auto& [name, service] : state.mDeployment.mServices) {
    ConfigureService(aContext, service);
  }
  *aContext.Add().mutable_cache()->mutable_deployment() = aVersion;
  aContext.Log(kInfo,
               "deployment version " + std::to_string(aVersion.version()) +
                 " in force");
  CheckReady(aContext);
}

void SendDeployment(Context& aContext, const std::string& aTo, bool aRelay)
{
  wire::PeerMessage message;
  wire::DeploymentPush& push = *message.mutable_deployment_push();
  *push.mutable_deployment() = aContext.mState.mVersion;
  push.set_relay(aRelay);
  SendTo(aContext, aTo, std::move(message));
}

void PushDeployment(Context& aContext, bool aAcross)
{
  const wire::DeploymentPush push = NewPush(aContext.mState);
  ForEachPushRecipient(
    aContext, aAcross, [&](const std::string& aHost, bool aRelay) {
      SendPush(aContext, aHost, push, aRelay);
    });
}

void HandleDeploymentPush(Context& aContext,
                          const std::string& aFrom,
                          const wire::DeploymentPush& aMessage)
{
  State& state = aContext.mState;
  const std::uint64_t before = state.mVersion.version();
  if (IsControlHost(state, aFrom)) {
    state.mConfirmingHosts.insert(aFrom);
  }
  const std::optional<wire::DeploymentVersion> version =
    DecodePush(aContext, aFrom, aMessage);
  if (version) {
    AdoptDeployment(aContext, *version);
  }
  CheckReady(aContext);
  if (state.mVersion.version() == before) {
    return;
  }
  if (aMessage.relay()) {
    PushDeployment(aContext, false);
  }
  // Report the version now in force to the control hosts immediately.
  for (const wire::Peer& voter : state.mSettings.voters()) {
    if (voter.id() != aContext.Self()) {
      SendHeartbeat(aContext, voter.id());
    }
  }
}

void RequestDeployment(Context& aContext)
{
  for (const wire::Peer& voter : aContext.mState.mSettings.voters()) {
    if (voter.id() == aContext.Self()) {
      continue;
    }
    wire::PeerMessage message;
    message.mutable_deployment_request()->set_have_version(
      aContext.mState.mVersion.version());
    SendTo(aContext, voter.id(), std::move(message));
  }
}

void CheckReady(Context& aContext)
{
  State& state = aContext.mState;
  if (state.mReady || state.mVersion.version() == 0) {
    return;
  }
  const bool confirmed = state.mConfirmingHosts.size() >= Majority(state);
  const bool waited = aContext.mNow - state.mStartedAt >= kQuorumWait;
  if (confirmed || waited) {
    state.mReady = true;
    aContext.Log(kInfo,
                 std::string("ready, ") + (confirmed
                                             ? "by a quorum's word"
                                             : "after waiting for one"));
  }
}

} // namespace geraniumpond::node
