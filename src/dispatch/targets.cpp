#include "reach.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::dispatch {

namespace {

/// Above this number, targets that are added together share one log line.
constexpr std::size_t kMaxSeparateLogLines = 8;
/// Share of the probe bound that is spent: hosts come and go faster than they
/// learn of each other.
constexpr double kProbeShare = 0.8;
/// Burst of the probe budget, in seconds of the steady rate.
constexpr double kProbeBurstSeconds = 3;
/// Smoothing gain of the share of targets with spare capacity: about the probes
/// of ten requests.
constexpr double kSpareCapacityGain = 0.02;
/// Delay before a new target is probed, and then only if it is still in the
/// subset: during a rollout subsets change with each announcement.
constexpr Micros kNewTargetProbeDelay = 2 * kSecond;
/// Delay before a probe that exceeded the budget is tried again.
constexpr Micros kProbeBudgetDelay = 500 * kMillisecond;

/// Targets of a service to which one host keeps connections, and how many of
/// them are in other data centres. Each request probes five: twice as many
/// leave a choice when some are slow, and are still used often enough to stay
/// connected.
constexpr std::size_t kSubsetSize = 12;
constexpr std::size_t kRemoteSubsetSize = 3;

// Rendezvous hashing: every target is in the subsets of about the same number
// of hosts, and few subsets change when a host or target is added or removed.
void ChooseSubset(State& aState, Service& aService)
{
  aService.mSubset = aService.mTargets;
  if (aService.mTargets.size() <= kSubsetSize) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::string>> local;
  std::vector<std::pair<std::uint64_t, std::string>> remote;
  for (const std::string& id : aService.mTargets) {
    const bool isLocal = aState.mTargets[id].mDataCentre == aState.mDataCentre;
    (isLocal ? local : remote).emplace_back(Hash64(aState.mHostId + id), id);
  }
  std::sort(local.begin(), local.end());
  std::sort(remote.begin(), remote.end());
  const std::size_t localCount =
    std::min(local.size(),
             std::max(kSubsetSize - kRemoteSubsetSize,
                      kSubsetSize - std::min(kSubsetSize, remote.size())));
  aService.mSubset.clear();
  for (std::size_t i = 0; i < localCount; ++i) {
    aService.mSubset.push_back(local[i].second);
  }
  for (std::size_t i = 0; i < remote.size() && i < kSubsetSize - localCount;
       ++i) {
    aService.mSubset.push_back(remote[i].second);
  }
}

void SetProbeRate(State& aState, Micros aNow)
{
  const double rate = kProbeShare * aState.mBounds.mProbesPerTarget *
                      static_cast<double>(aState.mTargets.size()) /
                      std::max(1, aState.mHosts);
  budget::TokenBucket& bucket = aState.mProbeBudget;
  (void)budget::Take(bucket, aNow, 0);
  const double burst = std::max(1.0, kProbeBurstSeconds * rate);
  // The tokens that a larger bucket gains are available at once: the first
  // requests need their probes most.
  bucket.mLevel += std::max(0.0, burst - bucket.mBurst);
  bucket.mLevel = std::min(bucket.mLevel, burst);
  bucket.mPerSecond = rate;
  bucket.mBurst = burst;
}

void RemoveTarget(State& aState,
                  const std::string& aId,
                  bool aBulk,
                  Effects& aOut)
{
  Target& target = aState.mTargets[aId];
  Service& service = aState.mServices[target.mService];
  for (std::vector<std::string>* list :
       { &service.mTargets, &service.mLimitedTargets }) {
    list->erase(std::remove(list->begin(), list->end(), aId), list->end());
  }
  Log(aOut,
      aBulk ? 0 : 1,
      "event=target_removed target=" + aId + " service=" + target.mService);
  aState.mTargets.erase(aId);
}

// An id may be reused by a later start of the target. Without a start time the
// id alone identifies the incarnation.
std::string IncarnationOf(const wire::TargetRecord& aRecord)
{
  return aRecord.born_ms() == 0
           ? aRecord.id()
           : aRecord.id() + "/" + std::to_string(aRecord.born_ms());
}

// No request is sent to other targets; those that run there end there.
bool IsInService(const State& aState, const wire::TargetRecord& aRecord)
{
  return !aRecord.draining() &&
         aState.mEvacuated.count(aRecord.data_centre()) == 0;
}

void AddTarget(State& aState,
               Micros aNow,
               const wire::TargetRecord& aRecord,
               bool aBulk,
               Effects& aOut)
{
  const std::string id = IncarnationOf(aRecord);
  Target& target = aState.mTargets[id];
  target.mId = id;
  target.mName = aRecord.id();
  target.mService = aRecord.service();
  target.mAddress = aRecord.address();
  target.mDataCentre = aRecord.data_centre();
  target.mRelease = aRecord.release();
  target.mSlots = std::max<int>(1, static_cast<int>(aRecord.slots()));
  target.mWarmUpEnd = FirstWarmUpEnd(aState, aRecord, aNow);
  target.mWarmUpPerSecond = WarmUpRate(aState, aRecord.service());
  Service& service = aState.mServices[aRecord.service()];
  service.mTargets.push_back(target.mId);
  Log(aOut,
      aBulk ? 0 : 1,
      "event=target_added target=" + target.mId +
        " service=" + target.mService + " address=" + target.mAddress +
        " sequence=" + std::to_string(aRecord.sequence()));
  ApplyEarlyLimit(aState, aNow, target, aOut);
  DivideRate(aState, aNow, target);
}

// A host that has just started is told of its targets all at once, some of
// which may have ended long ago.
bool HasJustLearntTargets(const State& aState, const Service& aService)
{
  return aService.mTargets.size() > kMaxSeparateLogLines &&
         std::all_of(aService.mTargets.begin(),
                     aService.mTargets.end(),
                     [&](const std::string& aId) {
                       const Target& target = aState.mTargets.at(aId);
                       return target.mProbeSentAt == 0 &&
                              target.mNextProbeAt == 0;
                     });
}

// The first probe opens a connection and learns whether a target reports its
// load, and whether it is there at all: after a start the first requests should
// not have to find that out. Targets outside the subset are probed only when
// they are needed.
void ScheduleFirstProbes(State& aState, Micros aNow, const Service& aService)
{
  // A service that no policy names has no known health path.
  if (!aState.mPolicy || aState.mPolicy->mServices.count(aService.mName) == 0) {
    return;
  }
  const Micros delay =
    HasJustLearntTargets(aState, aService) ? 0 : kNewTargetProbeDelay;
  for (const std::string& id : aService.mSubset) {
    Target& target = aState.mTargets[id];
    if (!target.mProbing && target.mProbeSentAt == 0 &&
        target.mNextProbeAt == 0) {
      target.mNextProbeAt = aNow + delay;
      aState.mProbeTimers.emplace(target.mNextProbeAt, id);
    }
  }
}

void MarkAvailable(Target& aTarget, Effects& aOut)
{
  if (aTarget.mUnavailable) {
    Log(aOut,
        1,
        "event=target_regained target=" + aTarget.mId +
          " service=" + aTarget.mService);
  }
  aTarget.mUnavailable = false;
  aTarget.mConnectFailures = 0;
}

void HandleProbeTimer(State& aState,
                      Micros aNow,
                      const std::string& aId,
                      Effects& aOut)
{
  const auto found = aState.mTargets.find(aId);
  if (found == aState.mTargets.end() || aNow < found->second.mNextProbeAt) {
    return;
  }
  Target& target = found->second;
  if (target.mProbing || target.mLeaving) {
    return;
  }
  if (IsResting(target, aNow)) {
    target.mNextProbeAt = target.mRestUntil;
    aState.mProbeTimers.emplace(target.mNextProbeAt, aId);
    return;
  }
  const auto& subset = aState.mServices[target.mService].mSubset;
  if (target.mProbeSentAt == 0 &&
      std::find(subset.begin(), subset.end(), aId) == subset.end()) {
    target.mNextProbeAt = 0;
    return;
  }
  if (!budget::Take(aState.mProbeBudget, aNow, 1)) {
    target.mNextProbeAt = aNow + kProbeBudgetDelay;
    aState.mProbeTimers.emplace(target.mNextProbeAt, aId);
    return;
  }
  Probe(aState, aNow, target, aOut);
}

} // namespace

void SetPolicy(State& aState,
               Micros aNow,
               std::shared_ptr<const policy::TrafficPolicy> aPolicy)
{
  const bool namedRegions = aState.mPolicy && aState.mPolicy->mNamesRegions;
  aState.mPolicy = std::move(aPolicy);
  RebindToHomes(aState, namedRegions);
  for (const auto& [name, rules] : aState.mPolicy->mServices) {
    Service& service = aState.mServices[name];
    service.mName = name;
    service.mHealthPath = rules.mHealthPath;
  }
  // A service without rules uses the default health path.
  for (auto& [name, service] : aState.mServices) {
    if (service.mHealthPath.empty()) {
      service.mHealthPath = policy::ServiceSettings().mHealthPath;
    }
    ScheduleFirstProbes(aState, aNow, service);
  }
  for (auto& [id, target] : aState.mTargets) {
    target.mWarmUpPerSecond = WarmUpRate(aState, target.mService);
  }
  SetProbeRate(aState, aNow);
}

void SetEvacuated(State& aState,
                  Micros aNow,
                  std::set<std::string> aDataCentres,
                  Effects& aOut)
{
  for (const std::string& dataCentre : aState.mEvacuated) {
    if (aDataCentres.count(dataCentre) == 0) {
      aState.mReturnedAt[dataCentre] = aNow;
      Log(aOut, 1, "event=evacuation_ended data_centre=" + dataCentre);
    }
  }
  for (const std::string& dataCentre : aDataCentres) {
    if (aState.mEvacuated.count(dataCentre) == 0) {
      Log(aOut, 1, "event=evacuation_started data_centre=" + dataCentre);
    }
  }
  aState.mEvacuated = std::move(aDataCentres);
}

void SetTargets(State& aState,
                Micros aNow,
                const std::map<std::string, wire::TargetRecord>& aTargets,
                Effects& aOut)
{
  std::vector<std::string> removed;
  for (const auto& [id, target] : aState.mTargets) {
    const auto found = aTargets.find(target.mName);
    if (found == aTargets.end() || IncarnationOf(found->second) != id ||
        !IsInService(aState, found->second) ||
        found->second.address() != target.mAddress ||
        found->second.service() != target.mService) {
      removed.push_back(id);
    }
  }
  const bool removesMany = removed.size() > kMaxSeparateLogLines;
  if (removesMany) {
    Log(
      aOut, 1, "event=targets_removed count=" + std::to_string(removed.size()));
  }
  for (const std::string& id : removed) {
    RemoveTarget(aState, id, removesMany, aOut);
  }
  std::vector<const wire::TargetRecord*> added;
  for (const auto& [id, record] : aTargets) {
    if (IsInService(aState, record) &&
        aState.mTargets.count(IncarnationOf(record)) == 0) {
      added.push_back(&record);
    }
  }
  // A starting host learns of all targets at once and logs them in one line.
  const bool bulk = added.size() > kMaxSeparateLogLines;
  if (bulk) {
    Log(aOut, 1, "event=targets_added count=" + std::to_string(added.size()));
  }
  for (const wire::TargetRecord* record : added) {
    AddTarget(aState, aNow, *record, bulk, aOut);
  }
  for (auto& [name, service] : aState.mServices) {
    if (service.mHealthPath.empty()) {
      service.mHealthPath = policy::ServiceSettings().mHealthPath;
    }
    ChooseSubset(aState, service);
    ScheduleFirstProbes(aState, aNow, service);
  }
  SetProbeRate(aState, aNow);
}

void SetHosts(State& aState, Micros aNow, int aHosts)
{
  aState.mHosts = std::max(1, aHosts);
  SetProbeRate(aState, aNow);
}

void RecordReport(Service& aService,
                  Target& aTarget,
                  const Report& aReport,
                  Micros aNow)
{
  if (aTarget.mReport) {
    const Micros gap = aNow - aTarget.mReportAt;
    LearnSpeed(aService.mSpeeds, *aTarget.mReport, gap, aReport);
  }
  auto& reported = aService.mRecentReporters;
  if (std::find(reported.begin(), reported.end(), aTarget.mId) ==
      reported.end()) {
    reported.push_back(aTarget.mId);
  }
  aTarget.mReport = aReport;
  aTarget.mReportAt = aNow;
}

void HandleProbeEnd(State& aState,
                    Micros aNow,
                    const ProbeEnd& aEnd,
                    Effects& aOut)
{
  const auto found = aState.mTargets.find(aEnd.mTarget);
  if (found == aState.mTargets.end()) {
    return;
  }
  Target& target = found->second;
  const std::string service = target.mService;
  target.mProbing = false;
  const bool otherTarget =
    !aEnd.mAnsweredBy.empty() && aEnd.mAnsweredBy != target.mName;
  if (aEnd.mAnswered) {
    RecordServiceAnswer(aState, aState.mServices[service], aNow, aOut);
  }
  if (!aEnd.mAnswered && aEnd.mRefused) {
    HandleTargetEnd(aState, aNow, target, aOut);
    MarkUnavailable(aState, aNow, target, "probe_refused", aOut);
  } else if (!aEnd.mAnswered) {
    if (!ProbeAfterBrokenAnswers(aState, aNow, target, aOut)) {
      MarkUnavailable(aState, aNow, target, "probe_unanswered", aOut);
    }
  } else if (otherTarget) {
    HandleTargetEnd(aState, aNow, target, aOut);
    MarkUnavailable(aState, aNow, target, "address_taken", aOut);
  } else if (!aEnd.mHealthy) {
    MarkUnavailable(aState, aNow, target, "says_ill", aOut);
  } else {
    target.mProbeRoundTrip +=
      (aNow - target.mProbeSentAt - target.mProbeRoundTrip) / 4;
    MarkAvailable(target, aOut);
    if (aEnd.mReport) {
      Service& known = aState.mServices[service];
      RecordReport(known, target, *aEnd.mReport, aNow);
      const bool hasCapacity = ShowsSpareCapacity(*aEnd.mReport, known.mCurve);
      known.mSpareCapacityShare +=
        kSpareCapacityGain *
        ((hasCapacity ? 1 : 0) - known.mSpareCapacityShare);
    } else {
      aState.mServices[service].mReportsLoad = false;
    }
  }
  if (aEnd.mAnswered && !otherTarget) {
    // A target may state its limit only in answers to requests, so a probe
    // without a limit says nothing.
    if (aEnd.mLimit.mKind != StatedLimit::Kind::Absent) {
      HandleStatedLimit(aState, aNow, target, aEnd.mLimit, aOut);
    }
    HandleStatedRest(aState, aNow, target, aEnd.mRest, aOut);
    if (aEnd.mWarmUpLeft) {
      HandleStatedWarmUp(aState, aNow, target, *aEnd.mWarmUpLeft, aOut);
    }
    if (aEnd.mLeaving) {
      HandleLeaving(aState, target, aOut);
    }
    HandleTargetAlive(aState, aNow, target, aOut);
  }
  ServeQueue(aState, aNow, service, aOut);
}

void Tick(State& aState, Micros aNow, Effects& aOut)
{
  while (!aState.mTimers.empty() && aState.mTimers.begin()->first <= aNow) {
    const std::uint64_t request = aState.mTimers.begin()->second;
    aState.mTimers.erase(aState.mTimers.begin());
    HandleTimer(aState, aNow, request, aOut);
  }
  while (!aState.mProbeTimers.empty() &&
         aState.mProbeTimers.begin()->first <= aNow) {
    const std::string target = aState.mProbeTimers.begin()->second;
    aState.mProbeTimers.erase(aState.mProbeTimers.begin());
    HandleProbeTimer(aState, aNow, target, aOut);
  }
  ExpireUnrouted(aState, aNow, aOut);
  RefuseAllWaitingAtShutdown(aState, aNow, aOut);
  TickQuota(aState, aNow, aOut);
}

std::size_t UnavailableTargets(const State& aState) noexcept
{
  return static_cast<std::size_t>(std::count_if(
    aState.mTargets.begin(), aState.mTargets.end(), [](const auto& aEntry) {
      return aEntry.second.mUnavailable;
    }));
}

Micros NextTick(const State& aState) noexcept
{
  Micros next = NextUnroutedTime(aState);
  if (!aState.mTimers.empty()) {
    next = std::min(next, aState.mTimers.begin()->first);
  }
  if (!aState.mProbeTimers.empty()) {
    next = std::min(next, aState.mProbeTimers.begin()->first);
  }
  return next;
}

} // namespace geraniumpond::dispatch
