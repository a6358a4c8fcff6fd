#include "internal.h"

#include <algorithm>

// What dispatch is told of the other hosts of the fleet.
namespace geraniumpond::gateway {

namespace {

/// Interval at which dispatch is told of the other hosts.
constexpr Micros kHostUpdateInterval = 500 * kMillisecond;
/// Time after a start until all hosts that started together are known: they
/// report every 0.4 s, and a host list passes through a few relays.
constexpr Micros kHostDiscoveryTime = 3 * kSecond;
/// A link that is this many times faster carries the large answers of several
/// hosts beside its own.
constexpr double kFastLinkRatio = 10;

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

// Caller addresses of the hosts that take clients and meet a condition.
template<class Condition>
std::vector<std::string> CallerAddressesIf(const Context& aContext,
                                           Condition aCondition)
{
  std::vector<std::string> addresses;
  for (const fleet::Host* host :
       fleet::HostsForClients(aContext.mState.mFleet, aContext.mNow)) {
    if (aCondition(*host)) {
      addresses.push_back(host->mCallerAddress);
    }
  }
  return addresses;
}

// Hosts of this data centre with a link fast enough to carry this host's large
// answers.
void UpdateFastHosts(Context& aContext)
{
  State& state = aContext.mState;
  const fleet::Settings& own = state.mSettings.mFleet;
  state.mDispatch.mFastHosts.clear();
  if (own.mLinkMbps <= 0) {
    return;
  }
  state.mDispatch.mFastHosts =
    CallerAddressesIf(aContext, [&](const fleet::Host& aHost) {
      return aHost.mDataCentre == own.mDataCentre &&
             aHost.mLinkMbps >= kFastLinkRatio * own.mLinkMbps;
    });
}

// Requests that are bound to regions are passed on to hosts there only.
void UpdateHostDataCentres(Context& aContext)
{
  State& state = aContext.mState;
  std::map<std::string, std::string>& known = state.mDispatch.mHostDataCentres;
  known.clear();
  const auto& policy = state.mDispatch.mPolicy;
  if (!policy || !policy->mNamesRegions) {
    return;
  }
  for (const fleet::Host* host :
       fleet::HostsForClients(state.mFleet, aContext.mNow)) {
    known[host->mCallerAddress] = host->mDataCentre;
  }
}

// Shared bounds apply over a window. The largest host count within the window
// is used, so that hosts which are briefly down or unreachable do not make the
// others take over their shares.
void UpdateHostCount(Context& aContext)
{
  State& state = aContext.mState;
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

} // namespace

void UpdateHosts(Context& aContext)
{
  State& state = aContext.mState;
  if (aContext.mNow < state.mHostsUpdatedAt + kHostUpdateInterval) {
    return;
  }
  state.mHostsUpdatedAt = aContext.mNow;
  state.mDispatch.mKnowsHosts =
    aContext.mNow >= state.mStartedAt + kHostDiscoveryTime;
  UpdateSharers(aContext);
  UpdateCountHosts(aContext);
  UpdateFastHosts(aContext);
  UpdateHostDataCentres(aContext);
  UpdateHostCount(aContext);
}

void UpdateRelayHosts(Context& aContext)
{
  State& state = aContext.mState;
  state.mDispatch.mRelayHosts.clear();
  if (!dispatch::AwaitsAnyAnswer(state.mDispatch)) {
    return;
  }
  const std::string& own = state.mSettings.mFleet.mPeerAddress;
  state.mDispatch.mRelayHosts =
    CallerAddressesIf(aContext, [&](const fleet::Host& aHost) {
      return aHost.mPeerAddress != own;
    });
}

} // namespace geraniumpond::gateway
