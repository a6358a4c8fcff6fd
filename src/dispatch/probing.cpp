#include "reach.h"

#include <algorithm>
#include <cmath>

namespace geraniumpond::dispatch {

namespace {

/// Delay before an unreachable target is probed again; doubles with each
/// consecutive failure.
constexpr Micros kMinProbeRetryDelay = 200 * kMillisecond;
constexpr Micros kMaxProbeRetryDelay = 1600 * kMillisecond;
/// Accepted probability that the first round of probes finds no target with
/// spare capacity; a second round costs a round trip.
constexpr double kMaxMissShare = 0.02;
/// Targets with a request-rate limit that are probed before others.
constexpr std::size_t kLimitedTargetsProbed = 2;

std::vector<Target*> Usable(State& aState,
                            Micros aNow,
                            const Request& aRequest,
                            const std::vector<std::string>& aIds,
                            bool aUnavailable)
{
  std::vector<Target*> usable;
  for (const std::string& id : aIds) {
    Target& target = aState.mTargets[id];
    if (target.mUnavailable == aUnavailable && AcceptsRequests(target, aNow) &&
        aRequest.mTried.count(id) == 0 && aRequest.mProbed.count(id) == 0 &&
        MayReach(aState, aRequest, target)) {
      usable.push_back(&target);
    }
  }
  return usable;
}

void Shuffle(State& aState, std::vector<Target*>& aTargets)
{
  for (std::size_t i = aTargets.size(); i > 1; --i) {
    std::swap(aTargets[i - 1], aTargets[NextRandom(aState) % i]);
  }
}

// An unused share of a rate limit is lost to all hosts, while targets without a
// limit are available to every host.
void PutLimitedFirst(State& aState,
                     Micros aNow,
                     const Request& aRequest,
                     std::vector<Target*>& aTargets)
{
  const Service& service = aState.mServices[aRequest.mService];
  std::vector<Target*> limited =
    Usable(aState, aNow, aRequest, service.mLimitedTargets, false);
  if (limited.empty()) {
    return;
  }
  Shuffle(aState, limited);
  limited.resize(std::min(limited.size(), kLimitedTargetsProbed));
  for (Target* target : limited) {
    aTargets.erase(std::remove(aTargets.begin(), aTargets.end(), target),
                   aTargets.end());
  }
  aTargets.insert(aTargets.begin(), limited.begin(), limited.end());
}

// Targets of the local data centre come first, in random order. Targets with a
// rate limit that this host has a share of precede them.
std::vector<Target*> Candidates(State& aState,
                                Micros aNow,
                                const Request& aRequest,
                                std::size_t aCount)
{
  const Service& service = aState.mServices[aRequest.mService];
  std::vector<Target*> candidates =
    Usable(aState, aNow, aRequest, service.mSubset, false);
  if (candidates.empty() && aRequest.mProbed.empty()) {
    candidates = Usable(aState, aNow, aRequest, service.mTargets, false);
  }
  if (candidates.empty() && aRequest.mProbeRound == 0) {
    candidates = Usable(aState, aNow, aRequest, service.mTargets, true);
  }
  Shuffle(aState, candidates);
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const Target* aTarget) {
      return aTarget->mDataCentre == aState.mDataCentre;
    });
  PutLimitedFirst(aState, aNow, aRequest, candidates);
  if (candidates.size() > aCount) {
    candidates.resize(aCount);
  }
  return candidates;
}

// Number of probes after which only kMaxMissShare of the choices find no target
// with spare capacity.
std::size_t WantedProbes(const Service& aService)
{
  const double share = std::clamp(aService.mSpareCapacityShare, 0.05, 0.95);
  const double count = std::ceil(std::log(kMaxMissShare) / std::log(1 - share));
  return std::clamp(static_cast<std::size_t>(count), kMinProbes, kMaxProbes);
}

// Sends fewer probes as the probe budget runs low; the choice then relies on
// reports already received.
std::size_t ProbeCount(const State& aState,
                       const Service& aService,
                       Micros aNow)
{
  const budget::TokenBucket& bucket = aState.mProbeBudget;
  const double gained =
    static_cast<double>(aNow - bucket.mUpdatedAt) * bucket.mPerSecond / kSecond;
  const double level =
    std::min(bucket.mBurst, bucket.mLevel + gained) / bucket.mBurst;
  if (level > 0.3) {
    return WantedProbes(aService);
  }
  return level > 0.1 ? 3 : 2;
}

} // namespace

std::uint64_t NextRandom(State& aState) noexcept
{
  aState.mRandom =
    aState.mRandom * 6364136223846793005ULL + 1442695040888963407ULL;
  std::uint64_t bits = aState.mRandom;
  bits = (bits ^ (bits >> 32)) * 0xd6e8feb86659fd93ULL;
  return bits ^ (bits >> 32);
}

double NextUniform(State& aState) noexcept
{
  return static_cast<double>(NextRandom(aState) >> 11) / 9007199254740992.0;
}

void Probe(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  aTarget.mProbing = true;
  aTarget.mProbeSentAt = aNow;
  aTarget.mSentSinceReport = 0;
  RecordQuestion(aState.mServices[aTarget.mService], aTarget, aNow);
  ++aState.mCounters["probes"];
  aOut.emplace_back(
    ProbeTarget{ aTarget.mId,
                 aTarget.mAddress,
                 aState.mServices[aTarget.mService].mHealthPath });
}

void MarkUnavailable(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     const char* aWhy,
                     Effects& aOut)
{
  if (!aTarget.mUnavailable) {
    Log(aOut,
        2,
        "event=target_suspect target=" + aTarget.mId + " service=" +
          aTarget.mService + " address=" + aTarget.mAddress + " why=" + aWhy);
  }
  ++aTarget.mConnectFailures;
  aTarget.mUnavailable = true;
  const int doublings = std::min(aTarget.mConnectFailures - 1, 3);
  const Micros pause = std::min(kMaxProbeRetryDelay,
                                kMinProbeRetryDelay << std::max(0, doublings));
  aTarget.mNextProbeAt = aNow + pause;
  aState.mProbeTimers.emplace(aTarget.mNextProbeAt, aTarget.mId);
}

bool ProbeCandidates(State& aState,
                     Micros aNow,
                     Request& aRequest,
                     Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  if (!service.mReportsLoad) {
    return false;
  }
  Micros patience = 0;
  for (Target* target :
       Candidates(aState, aNow, aRequest, ProbeCount(aState, service, aNow))) {
    aRequest.mProbed.insert(target->mId);
    if (IsFresh(*target, aNow)) {
      continue;
    }
    if (!target->mProbing) {
      if (!budget::Take(aState.mProbeBudget, aNow, 1)) {
        ++aState.mCounters["probes_over_budget"];
        continue;
      }
      Probe(aState, aNow, *target, aOut);
    }
    patience = std::max(
      patience,
      std::clamp(2 * target->mProbeRoundTrip, kMinProbeWait, kMaxProbeWait));
  }
  ++aRequest.mProbeRound;
  aRequest.mProbesAwaitedUntil = aNow + patience;
  return patience > 0;
}

void ProbeRunningTargets(State& aState,
                         Micros aNow,
                         Request& aRequest,
                         Effects& aOut)
{
  for (const Attempt& attempt : aRequest.mAttempts) {
    const auto found = aState.mTargets.find(attempt.mTarget);
    if (found == aState.mTargets.end() || found->second.mProbing ||
        found->second.mLeaving || IsResting(found->second, aNow) ||
        !budget::Take(aState.mProbeBudget, aNow, 1)) {
      continue;
    }
    Probe(aState, aNow, found->second, aOut);
    aRequest.mProbed.insert(attempt.mTarget);
    aRequest.mProbesAwaitedUntil =
      std::max(aRequest.mProbesAwaitedUntil, aNow + kMinProbeWait);
  }
  SetTimer(aState, aRequest);
}

} // namespace geraniumpond::dispatch
