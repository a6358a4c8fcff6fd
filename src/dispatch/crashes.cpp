#include "internal.h"

#include <algorithm>
#include <cstdlib>

// Which targets ended, and under which requests. A broken answer alone says
// little: links are cut, connections reset and idle ones closed. So the target
// is asked at once: if its address refuses, or another incarnation answers
// there, it has ended, and every request that it had is suspected.
namespace geraniumpond::dispatch {

namespace {

/// A target that has neither refused nor answered by then is out of reach.
constexpr Micros kOpenEndTime = 3 * kSecond;
constexpr std::size_t kMostOpenEnds = 64;
/// An answer is told to other hosts again after this time: well within that
/// for which it counts.
constexpr Micros kAnswerPace = 5 * kSecond;
constexpr std::size_t kIdentityDigits = 16;
/// Value of an answer that an operator vouches for.
constexpr const char* kReleased = "released";

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

gossip::Item ItemOf(std::uint64_t aIdentity, const quarantine::Crash& aCrash)
{
  return { gossip::Kind::RequestCrash,
           Hexadecimal(aIdentity) + "/" + aCrash.mTarget,
           aCrash.mRelease,
           aCrash.mAt };
}

void TellAnswer(State& aState,
                std::uint64_t aIdentity,
                Micros aAt,
                Effects& aOut)
{
  const auto found = aState.mQuarantine.mRecords.find(aIdentity);
  if (found == aState.mQuarantine.mRecords.end() ||
      aAt < found->second.mAnsweredAt + kAnswerPace) {
    return;
  }
  quarantine::RecordAnswer(aState.mQuarantine, aIdentity, aAt);
  aOut.emplace_back(TellFleet{
    { gossip::Kind::RequestAnswered, Hexadecimal(aIdentity), "", aAt } });
}

void ConfirmEnd(State& aState,
                Micros aNow,
                const Target& aTarget,
                std::uint64_t aIdentity,
                Effects& aOut)
{
  ++aState.mCounters["requests_at_ended_targets"];
  const quarantine::Crash crash{ aTarget.mId, aTarget.mRelease, aNow };
  AddCrash(aState, aNow, aIdentity, crash, aOut);
  aOut.emplace_back(TellFleet{ ItemOf(aIdentity, crash) });
  const Micros answered = quarantine::LastAnswer(aState.mQuarantine, aIdentity);
  if (answered != 0) {
    TellAnswer(aState, aIdentity, answered, aOut);
  }
}

// Whether a target has ended is worth a probe beyond the budget; it is charged.
void AskNow(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  (void)budget::Take(aState.mProbeBudget, aNow, 1);
  Probe(aState, aNow, aTarget, aOut);
}

std::uint64_t ReadIdentity(const std::string& aText)
{
  return std::strtoull(aText.substr(0, kIdentityDigits).c_str(), nullptr, 16);
}

// A target that ended without a word stays in the catalog.
std::set<std::string> ReleasesThatRun(const State& aState,
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
    if (!target.mEnded && !target.mSuspect && ended.count(id) == 0) {
      releases.insert(target.mRelease);
    }
  }
  return releases;
}

} // namespace

void NoteBroken(State& aState,
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
    // It was leaving, and has left.
    return;
  }
  Target& target = found->second;
  if (target.mEnded) {
    ConfirmEnd(aState, aNow, target, aRequest.mIdentity, aOut);
    return;
  }
  if (target.mOpenEnds.size() < kMostOpenEnds) {
    target.mOpenEnds.push_back({ aRequest.mIdentity, aNow });
  }
  if (!target.mProbing) {
    AskNow(aState, aNow, target, aOut);
  }
}

void NoteTargetEnded(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  const std::vector<OpenEnd> ends = std::exchange(aTarget.mOpenEnds, {});
  if (!aTarget.mEnded) {
    ++aState.mCounters["targets_ended"];
    Log(aOut,
        2,
        "event=target_ended target=" + aTarget.mId + " service=" +
          aTarget.mService + " requests=" + std::to_string(ends.size()));
  }
  aTarget.mEnded = true;
  for (const OpenEnd& end : ends) {
    if (aNow - end.mBrokenAt <= kOpenEndTime) {
      ConfirmEnd(aState, aNow, aTarget, end.mIdentity, aOut);
    }
  }
}

bool AskAboutOpenEnds(State& aState,
                      Micros aNow,
                      Target& aTarget,
                      Effects& aOut)
{
  const bool open =
    std::any_of(aTarget.mOpenEnds.begin(),
                aTarget.mOpenEnds.end(),
                [&](const OpenEnd& aEnd) {
                  return aEnd.mBrokenAt > aTarget.mProbeSentAt &&
                         aNow - aEnd.mBrokenAt <= kOpenEndTime;
                });
  if (open) {
    AskNow(aState, aNow, aTarget, aOut);
  }
  return open;
}

void NoteTargetLives(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  aTarget.mEnded = false;
  auto& ends = aTarget.mOpenEnds;
  ends.erase(std::remove_if(ends.begin(),
                            ends.end(),
                            [&](const OpenEnd& aEnd) {
                              return aEnd.mBrokenAt <= aTarget.mProbeSentAt;
                            }),
             ends.end());
  (void)AskAboutOpenEnds(aState, aNow, aTarget, aOut);
}

void NoteAnswered(State& aState,
                  Micros aNow,
                  std::uint64_t aIdentity,
                  Effects& aOut)
{
  quarantine::TrackRecentAnswer(aState.mQuarantine, aIdentity, aNow);
  TellAnswer(aState, aIdentity, aNow, aOut);
}

quarantine::Verdict JudgeRequest(const State& aState,
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
                              ReleasesThatRun(aState, aService, found->second));
}

void NoteTried(State& aState,
               Micros aNow,
               std::uint64_t aIdentity,
               Effects& aOut)
{
  for (const quarantine::Crash& crash :
       quarantine::RenewEvidence(aState.mQuarantine, aIdentity, aNow)) {
    aOut.emplace_back(TellFleet{ ItemOf(aIdentity, crash) });
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
  aOut.emplace_back(TellFleet{ { gossip::Kind::RequestAnswered,
                                 Hexadecimal(aIdentity),
                                 kReleased,
                                 aNow } });
  return true;
}

void TakeCrashFact(State& aState,
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
    TellAnswer(aState, identity, answered, aOut);
  }
}

void TakeAnswerFact(State& aState, const gossip::Item& aItem)
{
  const std::uint64_t identity = ReadIdentity(aItem.mKey);
  if (aItem.mValue == kReleased) {
    quarantine::RecordRelease(aState.mQuarantine, identity, aItem.mObservedAt);
  } else {
    quarantine::RecordAnswer(aState.mQuarantine, identity, aItem.mObservedAt);
  }
}

} // namespace geraniumpond::dispatch
