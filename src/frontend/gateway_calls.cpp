#include "gateway_process.h"
#include "quarantine_calls.h"

#include "edge/logging.h"

#include <algorithm>

// Handles calls from targets, operators and directory clients.
namespace geraniumpond::frontend {

namespace {

constexpr int kTemporaryRedirect = 307;

void AddTotalsGauges(const fleet::State& aFleet,
                     Micros aNow,
                     std::map<std::string, double>& aGauges)
{
  const rollup::Totals* totals = fleet::NewestTotals(aFleet);
  if (totals == nullptr) {
    return;
  }
  aGauges["totals_age_seconds"] =
    static_cast<double>(aNow - totals->mToldAt) / kSecond;
  aGauges["totals_hosts"] = totals->mSum.mHosts;
  aGauges["totals_hosts_silent"] = totals->mSilent;
  aGauges["totals_keys"] = static_cast<double>(totals->mSum.mTable.size());
}

} // namespace

void GatewayProcess::HandleCall(std::uint64_t aExchange,
                                const HttpRequest& aRequest)
{
  Call call = mDialect.mParseCall(aRequest);
  if (auto* announce = std::get_if<RegisterTargetCall>(&call)) {
    Post(gateway::Announce{ aExchange, std::move(announce->mRecord) });
  } else if (auto* withdraw = std::get_if<RemoveTargetCall>(&call)) {
    Post(gateway::Withdraw{
      aExchange, std::move(withdraw->mRemoval), aRequest.mOpenedAt });
  } else if (auto* put = std::get_if<PutPolicyCall>(&call)) {
    Post(gateway::PutPolicy{ aExchange, std::move(put->mDocument) });
  } else if (std::holds_alternative<ReadPolicyCall>(call)) {
    HandlePolicyRead(aExchange, aRequest);
  } else if (auto* evacuation = std::get_if<SetEvacuationCall>(&call)) {
    Post(gateway::SetEvacuation{ aExchange,
                                 std::move(evacuation->mDataCentre),
                                 evacuation->mEvacuated,
                                 aRequest.mSentAfterStep });
  } else if (const auto* resolve = std::get_if<ResolveCall>(&call)) {
    const std::vector<std::string> addresses =
      gateway::AddressesFor(mState, resolve->mLookup, mNow);
    RespondToCall(
      aExchange,
      addresses.empty()
        ? MakeResponse(503, "text/plain", "no host is ready\n")
        : mDialect.mMakeAddressResponse(addresses, mSettings.mAnswerKeep));
  } else if (std::holds_alternative<ReadinessCall>(call)) {
    const bool ready = gateway::IsReady(mState);
    RespondToCall(aExchange,
                  MakeResponse(ready ? 200 : 503,
                               "text/plain",
                               ready ? "ready\n" : "not\n"));
  } else if (std::holds_alternative<ListQuarantineCall>(call)) {
    RespondToCall(
      aExchange,
      MakeResponse(200,
                   "application/json",
                   QuarantineJson(mState.mDispatch.mQuarantine, mNow)));
  } else if (const auto* release = std::get_if<ReleaseRequestCall>(&call)) {
    Post(gateway::ReleaseRequest{ aExchange, release->mIdentity });
  } else if (std::holds_alternative<MetricsCall>(call)) {
    RespondToCall(aExchange, MakeResponse(200, "text/plain", MetricsText()));
  } else {
    const auto& invalid = std::get<InvalidCall>(call);
    ++mState.mDispatch.mCounters["calls_refused"];
    edge::WriteLog(
      2,
      "event=call_refused status=" + std::to_string(invalid.mStatus) +
        " reason=\"" + invalid.mReason + "\"");
    RespondToCall(
      aExchange,
      MakeResponse(invalid.mStatus, "text/plain", invalid.mReason + "\n"));
  }
}

void GatewayProcess::HandlePolicyRead(std::uint64_t aExchange,
                                      const HttpRequest& aRequest)
{
  const std::string* host = FindField(aRequest.mFields, "Host");
  const bool hasPort = host != nullptr && host->rfind(':') != std::string::npos;
  if (hasPort) {
    mPolicyReadUrls[aExchange] = { *host, aRequest.mTarget };
  }
  Post(gateway::ReadPolicy{ aExchange, hasPort });
}

// All hosts listen for calls on the same ports, so the redirect combines the
// other host's IP with the port of the original call.
HttpResponse GatewayProcess::RedirectTo(const std::string& aPeerAddress,
                                        const PolicyReadUrl& aUrl) const
{
  const std::string location =
    "http://" + aPeerAddress.substr(0, aPeerAddress.rfind(':')) +
    aUrl.mHost.substr(aUrl.mHost.rfind(':')) + aUrl.mTarget;
  HttpResponse response =
    MakeResponse(kTemporaryRedirect, "text/plain", "the leader answers\n");
  response.mFields.emplace_back("Location", location);
  return response;
}

std::string GatewayProcess::MetricsText()
{
  std::map<std::string, double> gauges;
  gauges["requests_running"] =
    static_cast<double>(dispatch::RunningRequests(mState.mDispatch));
  gauges["targets"] = static_cast<double>(mState.mDispatch.mTargets.size());
  gauges["targets_unavailable"] =
    static_cast<double>(dispatch::UnavailableTargets(mState.mDispatch));
  gauges["services_silent"] =
    static_cast<double>(dispatch::SilentServices(mState.mDispatch, mNow));
  gauges["cut_off"] = dispatch::IsCutOff(mState.mDispatch) ? 1 : 0;
  gauges["targets_limited"] = static_cast<double>(std::count_if(
    mState.mDispatch.mTargets.begin(),
    mState.mDispatch.mTargets.end(),
    [](const auto& aOne) { return aOne.second.mLimit.has_value(); }));
  const auto& accounts = mState.mDispatch.mQuota.mAccounts;
  gauges["accounts_counted"] = static_cast<double>(accounts.size());
  gauges["accounts_limited"] = static_cast<double>(
    std::count_if(accounts.begin(), accounts.end(), [](const auto& aOne) {
      return aOne.second.mIsLimited;
    }));
  gauges["data_centres_evacuated"] =
    static_cast<double>(mState.mDispatch.mEvacuated.size());
  gauges["accounts"] = static_cast<double>(gateway::AccountCount(mState));
  gauges["hosts"] = mState.mDispatch.mHosts;
  gauges["policy_version"] =
    static_cast<double>(mState.mFleet.mCatalog.mVersion);
  gauges["catalog_index"] = static_cast<double>(mState.mFleet.mApplied);
  gauges["target_connections"] = static_cast<double>(mTargets.Connections());
  gauges["client_connections"] =
    static_cast<double>(mClientServer->Connections());
  const fleet::State& fleet = mState.mFleet;
  const fleet::FleetCounters& traffic = fleet.mCounters;
  gauges["followers"] = static_cast<double>(fleet.mFollowers.size());
  gauges["hosts_behind"] = static_cast<double>(fleet.mDownstream.size());
  gauges["relays_above"] = static_cast<double>(fleet.mRoute.size());
  gauges["commands_pending"] = static_cast<double>(fleet.mPending.size());
  gauges["announcements_pending"] =
    static_cast<double>(fleet.mAnnouncements.size());
  gauges["hosts_complete"] = fleet.mHostsComplete ? 1 : 0;
  if (fleet.mSettings.mControl) {
    const fleet::GroupHealth health = fleet::HealthOf(fleet, mNow);
    gauges["voters"] = health.mVoters;
    gauges["voters_answering"] = health.mAnswering;
    gauges["losses_tolerated"] = health.mTolerated;
  }
  AddVerdictGauges(mState.mDispatch.mQuarantine, mNow, gauges);
  AddTotalsGauges(fleet, mNow, gauges);
  gauges["facts"] = static_cast<double>(fleet.mGossip.mEntries.size());
  gauges["peer_connections"] =
    static_cast<double>(mPeers->OutgoingConnections());
  dispatch::Counters counters = mState.mDispatch.mCounters;
  counters["snapshots_sent"] = traffic.mSnapshotsSent;
  counters["commands_sent"] = traffic.mCommandsSent;
  counters["host_lists_sent"] = traffic.mHostListsSent;
  counters["referrals"] = traffic.mReferrals;
  counters["words_asked"] = traffic.mConfirmationQueries;
  counters["upstreams_lost"] = traffic.mUpstreamsLost;
  counters["upstreams_left"] = traffic.mUpstreamsLeft;
  counters["joins_refused"] = traffic.mJoinsRefused;
  counters["facts_dropped"] = fleet.mGossip.mDropped;
  counters["suspicions_dropped"] = mState.mDispatch.mQuarantine.mDropped;
  {
    const std::lock_guard<std::mutex> lock(mInboxMutex);
    gauges["peer_messages_waiting"] = static_cast<double>(mPeerInbox.Waiting());
    counters["peer_messages_dropped"] = mPeerInbox.Dropped();
    counters["peer_messages_replaced"] = mPeerInbox.Replaced();
  }
  mLoadMonitor.ExportCounters(counters);
  if (const std::optional<Micros> age =
        fleet::ConfirmationAge(mState.mFleet, mNow)) {
    gauges["group_word_age_seconds"] = static_cast<double>(*age) / kSecond;
  }
  gauges["ready"] = gateway::IsReady(mState) ? 1 : 0;
  gauges["hosts_for_clients"] =
    static_cast<double>(fleet::HostsForClients(fleet, mNow).size());
  gauges["in_touch"] = fleet::IsInTouch(mState.mFleet, mNow) ? 1 : 0;
  return mMetrics.Text(counters, gauges);
}

} // namespace geraniumpond::frontend
