#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::dispatch {

namespace {

/// Targets that are added together beyond this number share a log line.
constexpr std::size_t kBulk = 8;
/// Share of the probe bound that is spent: hosts come and go faster than they
/// hear of each other.
constexpr double kProbeShare = 0.8;
/// Probes that may be saved up, in seconds of the steady rate.
constexpr double kProbeBurstSeconds = 3;
/// Smoothing of the share of targets with room: some ten requests' probes.
constexpr double kRoomGain = 0.02;
/// Newcomers are met after this pause, by hosts whose subsets hold them still:
/// while a deployment starts, subsets change with each announcement.
constexpr Micros kMeetPause = 2 * kSecond;
/// A target that calls itself ill is asked again after this time.
constexpr Micros kIllPause = 500 * kMillisecond;

/// Targets of a service that one host keeps connections to, and how many of
/// them lie in other data centres. Each request asks five: twice as many leave
/// a choice when some are slow, and are still met often enough to stay
/// connected.
constexpr std::size_t kSubset = 12;
constexpr std::size_t kSubsetAway = 3;

// Rendezvous hashing: every target is in the subsets of about as many hosts,
// and few subsets change when a host or a target comes or goes.
void ChooseSubset(State& aState, Service& aService)
{
  aService.mSubset = aService.mTargets;
  if (aService.mTargets.size() <= kSubset) {
    return;
  }
  std::vector<std::pair<std::uint64_t, std::string>> near;
  std::vector<std::pair<std::uint64_t, std::string>> away;
  for (const std::string& id : aService.mTargets) {
    const bool isNear = aState.mTargets[id].mDataCentre == aState.mDataCentre;
    (isNear ? near : away).emplace_back(Hash64(aState.mHostId + id), id);
  }
  std::sort(near.begin(), near.end());
  std::sort(away.begin(), away.end());
  const std::size_t nearCount = std::min(
    near.size(),
    std::max(kSubset - kSubsetAway, kSubset - std::min(kSubset, away.size())));
  aService.mSubset.clear();
  for (std::size_t i = 0; i < nearCount; ++i) {
    aService.mSubset.push_back(near[i].second);
  }
  for (std::size_t i = 0; i < away.size() && i < kSubset - nearCount; ++i) {
    aService.mSubset.push_back(away[i].second);
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
  // What a larger bucket can hold more is there at once: the first requests
  // need their answers most.
  bucket.mLevel += std::max(0.0, burst - bucket.mBurst);
  bucket.mLevel = std::min(bucket.mLevel, burst);
  bucket.mPerSecond = rate;
  bucket.mBurst = burst;
}

void RemoveTarget(State& aState, const std::string& aId, Effects& aOut)
{
  Target& target = aState.mTargets[aId];
  Service& service = aState.mServices[target.mService];
  for (std::vector<std::string>* list : { &service.mTargets, &service.mHeld }) {
    list->erase(std::remove(list->begin(), list->end(), aId), list->end());
  }
  Log(aOut,
      1,
      "event=target_removed target=" + aId + " service=" + target.mService);
  aState.mTargets.erase(aId);
}

// An id may be used again by a later start; without a time of birth the id is
// the incarnation.
std::string IncarnationOf(const wire::TargetRecord& aRecord)
{
  return aRecord.born_ms() == 0
           ? aRecord.id()
           : aRecord.id() + "/" + std::to_string(aRecord.born_ms());
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
  target.mWarmAt =
    aNow + static_cast<Micros>(aRecord.warm_up_ms()) * kMillisecond;
  Service& service = aState.mServices[aRecord.service()];
  service.mTargets.push_back(target.mId);
  Log(aOut,
      aBulk ? 0 : 1,
      "event=target_added target=" + target.mId +
        " service=" + target.mService + " address=" + target.mAddress +
        " sequence=" + std::to_string(aRecord.sequence()));
  TakeEarlyLimit(aState, aNow, target, aOut);
}

// The first probe opens a connection and learns whether a target tells its
// load; targets outside of the subset are met when they are needed.
void ProbeNewcomers(State& aState, Micros aNow, const Service& aService)
{
  // Nothing is known of a service that no policy names, its health path
  // neither.
  if (!aState.mPolicy || aState.mPolicy->mServices.count(aService.mName) == 0) {
    return;
  }
  for (const std::string& id : aService.mSubset) {
    Target& target = aState.mTargets[id];
    if (!target.mProbing && target.mProbeSentAt == 0 &&
        target.mProbeAgainAt == 0) {
      target.mProbeAgainAt = aNow + kMeetPause;
      aState.mProbeTimers.emplace(target.mProbeAgainAt, id);
    }
  }
}

void Revive(Target& aTarget, Effects& aOut)
{
  if (aTarget.mSuspect) {
    Log(aOut,
        1,
        "event=target_regained target=" + aTarget.mId +
          " service=" + aTarget.mService);
  }
  aTarget.mSuspect = false;
  aTarget.mUnreached = 0;
}

void FireProbe(State& aState,
               Micros aNow,
               const std::string& aId,
               Effects& aOut)
{
  const auto found = aState.mTargets.find(aId);
  if (found == aState.mTargets.end() || aNow < found->second.mProbeAgainAt) {
    return;
  }
  Target& target = found->second;
  if (target.mProbing) {
    return;
  }
  const auto& subset = aState.mServices[target.mService].mSubset;
  if (target.mProbeSentAt == 0 &&
      std::find(subset.begin(), subset.end(), aId) == subset.end()) {
    target.mProbeAgainAt = 0;
    return;
  }
  if (!budget::Take(aState.mProbeBudget, aNow, 1)) {
    target.mProbeAgainAt = aNow + kIllPause;
    aState.mProbeTimers.emplace(target.mProbeAgainAt, aId);
    return;
  }
  Probe(aState, aNow, target, aOut);
}

} // namespace

void SetPolicy(State& aState,
               Micros aNow,
               std::shared_ptr<const policy::TrafficPolicy> aPolicy)
{
  aState.mPolicy = std::move(aPolicy);
  for (const auto& [name, rules] : aState.mPolicy->mServices) {
    Service& service = aState.mServices[name];
    service.mName = name;
    service.mHealthPath = rules.mHealthPath;
  }
  // What is known of a service without rules is its name alone.
  for (auto& [name, service] : aState.mServices) {
    if (service.mHealthPath.empty()) {
      service.mHealthPath = policy::ServiceSettings().mHealthPath;
    }
    ProbeNewcomers(aState, aNow, service);
  }
  SetProbeRate(aState, aNow);
}

void SetTargets(State& aState,
                Micros aNow,
                const std::map<std::string, wire::TargetRecord>& aTargets,
                Effects& aOut)
{
  std::vector<std::string> gone;
  for (const auto& [id, target] : aState.mTargets) {
    const auto found = aTargets.find(target.mName);
    if (found == aTargets.end() || IncarnationOf(found->second) != id ||
        found->second.draining() ||
        found->second.address() != target.mAddress ||
        found->second.service() != target.mService) {
      gone.push_back(id);
    }
  }
  for (const std::string& id : gone) {
    RemoveTarget(aState, id, aOut);
  }
  std::vector<const wire::TargetRecord*> fresh;
  for (const auto& [id, record] : aTargets) {
    if (!record.draining() &&
        aState.mTargets.count(IncarnationOf(record)) == 0) {
      fresh.push_back(&record);
    }
  }
  // A host that starts learns of all targets at once; one line tells of them.
  const bool bulk = fresh.size() > kBulk;
  if (bulk) {
    Log(aOut, 1, "event=targets_added count=" + std::to_string(fresh.size()));
  }
  for (const wire::TargetRecord* record : fresh) {
    AddTarget(aState, aNow, *record, bulk, aOut);
  }
  for (auto& [name, service] : aState.mServices) {
    if (service.mHealthPath.empty()) {
      service.mHealthPath = policy::ServiceSettings().mHealthPath;
    }
    ChooseSubset(aState, service);
    ProbeNewcomers(aState, aNow, service);
  }
  SetProbeRate(aState, aNow);
}

void SetHosts(State& aState, Micros aNow, int aHosts)
{
  aState.mHosts = std::max(1, aHosts);
  SetProbeRate(aState, aNow);
}

void TakeReport(Service& aService,
                Target& aTarget,
                const Report& aReport,
                Micros aNow)
{
  if (aTarget.mReport) {
    const Micros gap = aNow - aTarget.mReportAt;
    LearnSpeed(aService.mSpeeds, *aTarget.mReport, gap, aReport);
  }
  auto& reported = aService.mReported;
  if (std::find(reported.begin(), reported.end(), aTarget.mId) ==
      reported.end()) {
    reported.push_back(aTarget.mId);
  }
  aTarget.mReport = aReport;
  aTarget.mReportAt = aNow;
}

void TakeProbe(State& aState, Micros aNow, const ProbeEnd& aEnd, Effects& aOut)
{
  const auto found = aState.mTargets.find(aEnd.mTarget);
  if (found == aState.mTargets.end()) {
    return;
  }
  Target& target = found->second;
  const std::string service = target.mService;
  target.mProbing = false;
  const bool other =
    !aEnd.mAnsweredBy.empty() && aEnd.mAnsweredBy != target.mName;
  if (!aEnd.mAnswered && aEnd.mRefused) {
    NoteTargetEnded(aState, aNow, target, aOut);
    Suspect(aState, aNow, target, "probe_refused", aOut);
  } else if (!aEnd.mAnswered) {
    if (!AskAboutOpenEnds(aState, aNow, target, aOut)) {
      Suspect(aState, aNow, target, "probe_unanswered", aOut);
    }
  } else if (other) {
    NoteTargetEnded(aState, aNow, target, aOut);
    Suspect(aState, aNow, target, "address_taken", aOut);
  } else if (!aEnd.mHealthy) {
    Suspect(aState, aNow, target, "says_ill", aOut);
  } else {
    target.mProbeTime += (aNow - target.mProbeSentAt - target.mProbeTime) / 4;
    Revive(target, aOut);
    if (aEnd.mReport) {
      Service& known = aState.mServices[service];
      TakeReport(known, target, *aEnd.mReport, aNow);
      const bool room = TellsOfRoom(*aEnd.mReport, known.mCurve);
      known.mRoomShare += kRoomGain * ((room ? 1 : 0) - known.mRoomShare);
    } else {
      aState.mServices[service].mTellsLoad = false;
    }
  }
  if (aEnd.mAnswered && !other) {
    // A target may name its limit to requests alone: silence says nothing.
    if (aEnd.mLimit.mKind != LimitWord::Kind::Silent) {
      TakeLimit(aState, aNow, target, aEnd.mLimit, aOut);
    }
    NoteTargetLives(aState, aNow, target, aOut);
  }
  Pump(aState, aNow, service, aOut);
}

void Tick(State& aState, Micros aNow, Effects& aOut)
{
  while (!aState.mTimers.empty() && aState.mTimers.begin()->first <= aNow) {
    const std::uint64_t request = aState.mTimers.begin()->second;
    aState.mTimers.erase(aState.mTimers.begin());
    Fire(aState, aNow, request, aOut);
  }
  while (!aState.mProbeTimers.empty() &&
         aState.mProbeTimers.begin()->first <= aNow) {
    const std::string target = aState.mProbeTimers.begin()->second;
    aState.mProbeTimers.erase(aState.mProbeTimers.begin());
    FireProbe(aState, aNow, target, aOut);
  }
  ExpireUnrouted(aState, aNow, aOut);
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
