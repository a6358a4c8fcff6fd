#include "internal.h"

#include <algorithm>

// How a policy comes into force at this host.
namespace geraniumpond::gateway {

namespace {

/// After the first policy, time within which the first totals of accounts
/// arrive: one report and one answer per hop to the leader.
constexpr Micros kFirstTotalsWait = 800 * kMillisecond;

} // namespace

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

} // namespace geraniumpond::gateway
