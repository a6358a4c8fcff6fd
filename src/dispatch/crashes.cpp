#include "internal.h"

#include <algorithm>
#include <cstdlib>

// Detects targets that ended and the requests that they were running. A broken
// answer alone proves little, because links fail, connections are reset and
// idle ones are closed. The target is therefore probed at once: if its address
// refuses connections, or another incarnation answers there, it has ended, and
// every request that it was running becomes suspected.
namespace geraniumpond::dispatch {

namespace {

/// A target that has neither refused a connection nor answered within this time
/// is treated as unreachable, not as ended.
constexpr Micros kBrokenAnswerLifetime = 3 * kSecond;
constexpr std::size_t kMaxBrokenAnswers = 64;
/// Interval at which an answer is reported to other hosts again; well below the
/// time for which it counts.
constexpr Micros kAnswerReportInterval = 5 * kSecond;
constexpr std::size_t kIdentityDigits = 16;
/// Value of an answer fact that stands for a release by an operator.
constexpr const char* kReleasedValue = "released";

void LogVerdict(const State& aState,
                std::uint64_t aIdentity,
                quarantine::Verdict aVerdict,
                Effects& aOut)
{
  std::string targets;
  for (const quarantine::Crash& crash :
       aState.mQuarantine.mRecords.at(aIdentity).mCrashes) {
    targets += (targets.empty() ? "" : ",") + crash.mTarget;
  }
  Log(aOut,
      2,
      std::string("event=request_") + quarantine::ToString(aVerdict) +
        " identity=" + Hexadecimal(aIdentity) + " targets=" + targets);
}

void AddCrash(State& aState,
              Micros aNow,
              std::uint64_t aIdentity,
              const quarantine::Crash& aCrash,
              Effects& aOut)
{
  const quarantine::Verdict before =
    quarantine::EvaluateAnyRelease(aState.mQuarantine, aIdentity, aNow);
  quarantine::Expire(aState.mQuarantine, aNow);
  quarantine::RecordCrash(aState.mQuarantine, aIdentity, aCrash);
  const quarantine::Verdict after =
    quarantine::EvaluateAnyRelease(aState.mQuarantine, aIdentity, aNow);
  if (after != before) {
    LogVerdict(aState, aIdentity, after, aOut);
  }
}

gossip::Item CrashFact(std::uint64_t aIdentity, const quarantine::Crash& aCrash)
{
  return { gossip::Kind::RequestCrash,
           Hexadecimal(aIdentity) + "/" + aCrash.mTarget,
           aCrash.mRelease,
           aCrash.mAt };
}

void SendAnswerFact(State& aState,
                    std::uint64_t aIdentity,
                    Micros aAt,
                    Effects& aOut)
{
  const auto found = aState.mQuarantine.mRecords.find(aIdentity);
  if (found == aState.mQuarantine.mRecords.end() ||
      aAt < found->second.mAnsweredAt + kAnswerReportInterval) {
    return;
  }
  quarantine::RecordAnswer(aState.mQuarantine, aIdentity, aAt);
  aOut.emplace_back(SendFact{
    { gossip::Kind::RequestAnswered, Hexadecimal(aIdentity), "", aAt } });
}

void RecordCrash(State& aState,
                 Micros aNow,
                 const Target& aTarget,
                 std::uint64_t aIdentity,
                 Effects& aOut)
{
  ++aState.mCounters["requests_at_ended_targets"];
  const quarantine::Crash crash{ aTarget.mId, aTarget.mRelease, aNow };
  AddCrash(aState, aNow, aIdentity, crash, aOut);
  aOut.emplace_back(SendFact{ CrashFact(aIdentity, crash) });
  const Micros answered = quarantine::LastAnswer(aState.mQuarantine, aIdentity);
  if (answered != 0) {
    SendAnswerFact(aState, aIdentity, answered, aOut);
  }
}

// Detecting that a target has ended justifies a probe beyond the budget; the
// probe is still charged.
void ProbeNow(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  (void)budget::Take(aState.mProbeBudget, aNow, 1);
  Probe(aState, aNow, aTarget, aOut);
}

std::uint64_t ReadIdentity(const std::string& aText)
{
  return std::strtoull(aText.substr(0, kIdentityDigits).c_str(), nullptr, 16);
}

// A target that crashed without withdrawing stays in the catalog.
std::set<std::string> RunningReleases(const State& aState,
                                      const std::string& aService,
                                      const quarantine::Record& aRecord)
{
  std::set<std::string> ended;
  for (const quarantine::Crash& crash : aRecord.mCrashes) {
    ended.insert(crash.mTarget);
  }
  std::set<std::string> releases;
  for (const std::string& id : aState.mServices.at(aService).mTargets) {
    const Target& target = aState.mTargets.at(id);
    if (!target.mEnded && !target.mUnavailable && ended.count(id) == 0) {
      releases.insert(target.mRelease);
    }
  }
  return releases;
}

} // namespace

void HandleBrokenAnswer(State& aState,
                        Micros aNow,
                        const Request& aRequest,
                        const Attempt& aAttempt,
                        const AttemptEnd& aEnd,
                        Effects& aOut)
{
  ++aState.mCounters["attempts_broken"];
  Log(aOut,
      1,
      "event=attempt_broken why=" + aEnd.mReason +
        Describe(aState, aRequest, aNow) + " target=" + aAttempt.mTarget);
  const auto found = aState.mTargets.find(aAttempt.mTarget);
  if (found == aState.mTargets.end()) {
    // The target was draining and has been removed.
    return;
  }
  Target& target = found->second;
  if (target.mEnded) {
    RecordCrash(aState, aNow, target, aRequest.mIdentity, aOut);
    return;
  }
  if (target.mBrokenAnswers.size() < kMaxBrokenAnswers) {
    target.mBrokenAnswers.push_back({ aRequest.mIdentity, aNow });
  }
  if (!target.mProbing && !IsResting(target, aNow)) {
    ProbeNow(aState, aNow, target, aOut);
  }
}

void HandleTargetEnd(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  const std::vector<BrokenAnswer> broken =
    std::exchange(aTarget.mBrokenAnswers, {});
  if (!aTarget.mEnded) {
    ++aState.mCounters["targets_ended"];
    Log(aOut,
        2,
        "event=target_ended target=" + aTarget.mId + " service=" +
          aTarget.mService + " requests=" + std::to_string(broken.size()));
  }
  aTarget.mEnded = true;
  for (const BrokenAnswer& end : broken) {
    if (aNow - end.mBrokenAt <= kBrokenAnswerLifetime) {
      RecordCrash(aState, aNow, aTarget, end.mIdentity, aOut);
    }
  }
}

bool ProbeAfterBrokenAnswers(State& aState,
                             Micros aNow,
                             Target& aTarget,
                             Effects& aOut)
{
  const bool unresolved =
    std::any_of(aTarget.mBrokenAnswers.begin(),
                aTarget.mBrokenAnswers.end(),
                [&](const BrokenAnswer& aEnd) {
                  return aEnd.mBrokenAt > aTarget.mProbeSentAt &&
                         aNow - aEnd.mBrokenAt <= kBrokenAnswerLifetime;
                });
  const bool probes = unresolved && !IsResting(aTarget, aNow);
  if (probes) {
    ProbeNow(aState, aNow, aTarget, aOut);
  }
  return probes;
}

void HandleTargetAlive(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       Effects& aOut)
{
  aTarget.mEnded = false;
  auto& broken = aTarget.mBrokenAnswers;
  broken.erase(std::remove_if(broken.begin(),
                              broken.end(),
                              [&](const BrokenAnswer& aEnd) {
                                return aEnd.mBrokenAt <= aTarget.mProbeSentAt;
                              }),
               broken.end());
  (void)ProbeAfterBrokenAnswers(aState, aNow, aTarget, aOut);
}

void RecordAnswer(State& aState,
                  Micros aNow,
                  std::uint64_t aIdentity,
                  Effects& aOut)
{
  quarantine::TrackRecentAnswer(aState.mQuarantine, aIdentity, aNow);
  SendAnswerFact(aState, aIdentity, aNow, aOut);
}

quarantine::Verdict JudgeQuarantine(const State& aState,
                                    std::uint64_t aIdentity,
                                    const std::string& aService,
                                    Micros aNow)
{
  const auto found = aState.mQuarantine.mRecords.find(aIdentity);
  if (found == aState.mQuarantine.mRecords.end()) {
    return quarantine::Verdict::Clear;
  }
  return quarantine::Evaluate(aState.mQuarantine,
                              aIdentity,
                              aNow,
                              RunningReleases(aState, aService, found->second));
}

void RenewQuarantine(State& aState,
                     Micros aNow,
                     std::uint64_t aIdentity,
                     Effects& aOut)
{
  for (const quarantine::Crash& crash :
       quarantine::RenewEvidence(aState.mQuarantine, aIdentity, aNow)) {
    aOut.emplace_back(SendFact{ CrashFact(aIdentity, crash) });
  }
}

bool ReleaseRequest(State& aState,
                    Micros aNow,
                    std::uint64_t aIdentity,
                    Effects& aOut)
{
  if (quarantine::EvaluateAnyRelease(aState.mQuarantine, aIdentity, aNow) ==
      quarantine::Verdict::Clear) {
    return false;
  }
  quarantine::RecordRelease(aState.mQuarantine, aIdentity, aNow);
  Log(aOut, 2, "event=request_released identity=" + Hexadecimal(aIdentity));
  aOut.emplace_back(SendFact{ { gossip::Kind::RequestAnswered,
                                Hexadecimal(aIdentity),
                                kReleasedValue,
                                aNow } });
  return true;
}

void HandleCrashFact(State& aState,
                     Micros aNow,
                     const gossip::Item& aItem,
                     Effects& aOut)
{
  if (aItem.mKey.size() <= kIdentityDigits) {
    return;
  }
  const std::uint64_t identity = ReadIdentity(aItem.mKey);
  AddCrash(
    aState,
    aNow,
    identity,
    { aItem.mKey.substr(kIdentityDigits + 1), aItem.mValue, aItem.mObservedAt },
    aOut);
  const Micros answered = quarantine::LastAnswer(aState.mQuarantine, identity);
  if (answered != 0) {
    SendAnswerFact(aState, identity, answered, aOut);
  }
}

void HandleAnswerFact(State& aState, const gossip::Item& aItem)
{
  const std::uint64_t identity = ReadIdentity(aItem.mKey);
  if (aItem.mValue == kReleasedValue) {
    quarantine::RecordRelease(aState.mQuarantine, identity, aItem.mObservedAt);
  } else {
    quarantine::RecordAnswer(aState.mQuarantine, identity, aItem.mObservedAt);
  }
}

} // namespace geraniumpond::dispatch
