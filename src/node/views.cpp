#include <geraniumpond/views.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace geraniumpond::views {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string Write(const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

Poco::UInt64 Number(std::uint64_t aValue)
{
  return aValue;
}

double Milliseconds(double aMicros)
{
  return aMicros / static_cast<double>(kMillisecond);
}

Object HostObject(const node::State& aState,
                  const wire::Fact& aHost,
                  Micros aNow)
{
  Object object;
  const bool self = aHost.id() == aState.mSettings.id();
  object.set("id", aHost.id());
  object.set("data_centre", aHost.data_centre());
  object.set("address", aHost.address());
  object.set("admin", aHost.admin_address());
  object.set("entry", aHost.entry_role());
  object.set("control", aHost.control_role());
  object.set("gone", aHost.gone());
  object.set("draining", membership::IsDraining(aHost));
  object.set("incarnation", Number(aHost.incarnation()));
  const auto peer = aState.mPeers.find(aHost.id());
  if (self) {
    object.set("version", Number(aState.mVersion.version()));
    object.set("age_ms", 0);
  } else if (peer != aState.mPeers.end() && peer->second.mHeardAt > 0) {
    object.set("version", Number(peer->second.mVersion));
    object.set("age_ms",
               Milliseconds(static_cast<double>(aNow - peer->second.mHeardAt)));
  }
  return object;
}

Object TargetObject(const routing::TargetSet& aSet,
                    const routing::Target& aTarget,
                    Micros aNow)
{
  Object object;
  object.set("id", aTarget.mId);
  object.set("address", aTarget.mAddress);
  object.set("data_centre", aTarget.mDataCentre);
  object.set("slots", aTarget.mSlots);
  object.set("draining", aTarget.mDraining);
  object.set("ejected", aTarget.mEjectedUntil > aNow);
  object.set("in_flight", static_cast<int>(aTarget.mRunning.size()));
  object.set("slowness", aTarget.mSlowness);
  object.set("others", aTarget.mOthersInFlight);
  if (aTarget.mReportedAt > 0) {
    object.set("report_age_ms",
               Milliseconds(static_cast<double>(aNow - aTarget.mReportedAt)));
  }
  object.set("score_ms", Milliseconds(routing::Score(aSet, aTarget, {}, aNow)));
  return object;
}

bool SeesService(const node::State& aState,
                 const Viewer& aViewer,
                 const std::string& aService)
{
  if (aViewer.mOperator) {
    return true;
  }
  const auto caller = aState.mDeployment.mCallers.find(aViewer.mCaller);
  return caller != aState.mDeployment.mCallers.end() &&
         caller->second.mServices.count(aService) != 0;
}

Array Bins(const burn::Histogram& aHistogram)
{
  Array bins;
  for (auto&& bin : boost::histogram::indexed(aHistogram)) {
    const auto count = static_cast<std::uint64_t>(*bin);
    if (count != 0) {
      Array pair;
      pair.add(bin.bin(0).upper());
      pair.add(Number(count));
      bins.add(pair);
    }
  }
  return bins;
}

Object SeriesObject(const burn::SeriesKey& aKey,
                    const burn::Series& aSeries,
                    Micros aNow)
{
  Object object;
  object.set("service", std::get<0>(aKey));
  object.set("kind", std::get<1>(aKey));
  object.set("caller", std::get<2>(aKey));
  object.set("objective_ms",
             Milliseconds(static_cast<double>(aSeries.mObjectiveTime)));
  object.set("objective_share", aSeries.mObjectiveShare);
  object.set("bins_ms", Bins(aSeries.mLatency));
  Array windows;
  for (const burn::Window& window : burn::Windows()) {
    const burn::Bucket counts = burn::SumBuckets(aSeries, aNow, window.mLength);
    Object entry;
    entry.set("window", window.mName);
    entry.set("good", Number(counts.mGood));
    entry.set("total", Number(counts.mTotal));
    windows.add(entry);
  }
  object.set("windows", windows);
  Object outcomes;
  for (const auto& [name, count] : aSeries.mOutcomes) {
    outcomes.set(name, Number(count));
  }
  object.set("outcomes", outcomes);
  return object;
}

} // namespace

Viewer FindViewer(const node::State& aState, const std::string& aTokenSha256)
{
  Viewer viewer;
  viewer.mOperator = aTokenSha256 == aState.mSettings.operator_token_sha256();
  const auto caller = aState.mDeployment.mCallerByToken.find(aTokenSha256);
  if (caller != aState.mDeployment.mCallerByToken.end()) {
    viewer.mCaller = caller->second;
  }
  return viewer;
}

std::string Entries(const node::State& aState, const std::string& aService)
{
  constexpr int kDefaultEntries = 4;
  const auto service = aState.mDeployment.mServices.find(aService);
  const int count = service == aState.mDeployment.mServices.end()
                      ? kDefaultEntries
                      : service->second.mEntries;
  Array entries;
  for (const wire::Fact* host :
       membership::EntriesOf(aState.mDirectory, aService, count)) {
    Object entry;
    entry.set("host", host->id());
    entry.set("address", host->address());
    entry.set("data_centre", host->data_centre());
    entries.add(entry);
  }
  Object object;
  object.set("service", aService);
  object.set("entries", entries);
  object.set("keep_ms", aState.mSettings.answer_keep_ms());
  return Write(object);
}

std::string Hosts(const node::State& aState, Micros aNow)
{
  Array hosts;
  for (const wire::Fact* host : membership::FactsOf(aState.mDirectory, "")) {
    hosts.add(HostObject(aState, *host, aNow));
  }
  Object object;
  object.set("hosts", hosts);
  object.set("version", Number(aState.mVersion.version()));
  return Write(object);
}

std::string Targets(const node::State& aState,
                    const Viewer& aViewer,
                    Micros aNow)
{
  Object services;
  for (const auto& [name, service] : aState.mServices) {
    if (!SeesService(aState, aViewer, name)) {
      continue;
    }
    Array targets;
    for (const routing::Target& target : service.mTargets.mTargets) {
      targets.add(TargetObject(service.mTargets, target, aNow));
    }
    services.set(name, targets);
  }
  Object object;
  object.set("services", services);
  return Write(object);
}

std::string Calls(const node::State& aState, const Viewer& aViewer)
{
  Array calls;
  for (const auto& [id, request] : aState.mRequests) {
    if (!aViewer.CanSee(request.mCaller)) {
      continue;
    }
    Object call;
    call.set("id", Number(id));
    call.set("service", request.mService);
    call.set("kind", request.mKind);
    call.set("caller", request.mCaller);
    call.set("attempts", request.mAttemptCount);
    calls.add(call);
  }
  Object object;
  object.set("in_flight", calls);
  return Write(object);
}

std::string Budget(const node::State& aState, Micros aNow)
{
  Object object;
  const budget::TokenBucket& host = aState.mHostBudget;
  object.set("host_bytes_per_s_allowed", host.mPerSecond);
  object.set("host_bytes_taken", host.mTaken);
  object.set("host_bytes_refused", host.mRefused);
  const double seconds =
    static_cast<double>(aNow - aState.mStartedAt) / kSecond;
  object.set("host_bytes_per_s_used", host.mTaken / std::max(seconds, 1.0));
  Object targets;
  for (const auto& [id, bucket] : aState.mReportBudgets) {
    Object entry;
    entry.set("reports_per_s_allowed", bucket.mPerSecond);
    entry.set("reports_taken", bucket.mTaken);
    entry.set("reports_refused", bucket.mRefused);
    targets.set(id, entry);
  }
  object.set("targets", targets);
  return Write(object);
}

std::string Config(const node::State& aState, std::uint64_t aVersion)
{
  const wire::DeploymentVersion* found =
    aVersion == 0 ? &aState.mVersion : nullptr;
  for (const wire::DeploymentVersion& version : aState.mControl.mHistory) {
    if (version.version() == aVersion) {
      found = &version;
    }
  }
  Object object;
  if (found == nullptr) {
    object.set("error", "not-found");
    object.set("message", "this host does not keep that version");
    return Write(object);
  }
  object.set("version", Number(found->version()));
  object.set("change_id", found->change_id());
  object.set("operator", found->operator_name());
  object.set("decided_at_us", Number(found->decided_at_us()));
  object.set("text", found->text());
  return Write(object);
}

std::string Burn(const node::State& aState, const Viewer& aViewer, Micros aNow)
{
  Array series;
  for (const auto& [key, entry] : aState.mBook) {
    if (aViewer.CanSee(std::get<2>(key))) {
      series.add(SeriesObject(key, entry, aNow));
    }
  }
  Object object;
  object.set("host", aState.mSettings.id());
  object.set("since_us", Number(aState.mStartedAt));
  object.set("series", series);
  return Write(object);
}

std::string Health(const node::State& aState)
{
  Object object;
  object.set("host", aState.mSettings.id());
  object.set("ready", node::IsReady(aState));
  object.set("stopping", aState.mStopping);
  object.set("version", Number(aState.mVersion.version()));
  if (aState.mSettings.control()) {
    object.set("role", consensus::ToString(aState.mGroup.mRole));
    object.set("leader", aState.mGroup.mLeader);
    object.set("term", Number(aState.mGroup.mTerm));
    object.set("commit", Number(aState.mGroup.mCommit));
    Array members;
    for (const wire::Member& member : aState.mGroup.mMembership.members()) {
      members.add(member.id() + (member.voter() ? "" : " (learner)"));
    }
    object.set("members", members);
  }
  return Write(object);
}

} // namespace geraniumpond::views
