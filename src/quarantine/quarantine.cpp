#include <geraniumpond/quarantine.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace geraniumpond::quarantine {

namespace {

/// Number of different targets whose crashes quarantine a request. One or two
/// may be a coincidence that hits a request and its retry.
constexpr int kQuarantineCrashes = 3;
constexpr Micros kEvidenceLifetime = 600 * kSecond;
/// A crash within this time after an answer does not count. It is long compared
/// to the time in which hosts learn of each other's answers.
constexpr Micros kAnswerWindow = 10 * kSecond;
/// Minimum age at which refused requests renew their evidence.
constexpr Micros kRenewInterval = 60 * kSecond;
constexpr std::size_t kMaxRecords = 1024;
constexpr std::size_t kMaxRecentAnswers = 4096;
constexpr std::size_t kMaxCrashes = 16;

constexpr std::array<const char*, 4> kVerdictNames = {
  "clear",
  "suspected",
  "on_trial",
  "quarantined",
};

bool Counts(const Record& aRecord, const Crash& aCrash, Micros aNow)
{
  const bool answered = aRecord.mAnsweredAt != 0 &&
                        aCrash.mAt <= aRecord.mAnsweredAt + kAnswerWindow;
  return !answered && aCrash.mAt > aRecord.mReleasedAt &&
         aNow - aCrash.mAt <= kEvidenceLifetime;
}

// Evicts the record with the fewest crashes, the oldest of these: many requests
// with one crash each must not evict one with three.
void EvictRecord(State& aState)
{
  const auto rank = [](const Record& aRecord) {
    const Micros at =
      aRecord.mCrashes.empty() ? 0 : aRecord.mCrashes.back().mAt;
    return std::make_pair(aRecord.mCrashes.size(), at);
  };
  const auto weakest =
    std::min_element(aState.mRecords.begin(),
                     aState.mRecords.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return rank(aLeft.second) < rank(aRight.second);
                     });
  aState.mRecords.erase(weakest);
  ++aState.mDropped;
}

Record& FindOrAddRecord(State& aState, std::uint64_t aIdentity)
{
  const auto found = aState.mRecords.find(aIdentity);
  if (found != aState.mRecords.end()) {
    return found->second;
  }
  if (aState.mRecords.size() >= kMaxRecords) {
    EvictRecord(aState);
  }
  return aState.mRecords[aIdentity];
}

bool IsExpired(const Record& aRecord, Micros aNow)
{
  const Micros updatedAt = std::max(aRecord.mAnsweredAt, aRecord.mReleasedAt);
  const bool crashed = std::any_of(
    aRecord.mCrashes.begin(), aRecord.mCrashes.end(), [&](const Crash& aCrash) {
      return aNow - aCrash.mAt <= kEvidenceLifetime;
    });
  return !crashed && aNow - updatedAt > kEvidenceLifetime;
}

} // namespace

const char* ToString(Verdict aVerdict) noexcept
{
  return kVerdictNames[static_cast<std::size_t>(aVerdict)];
}

void RecordCrash(State& aState, std::uint64_t aIdentity, const Crash& aCrash)
{
  std::vector<Crash>& crashes = FindOrAddRecord(aState, aIdentity).mCrashes;
  const auto same =
    std::find_if(crashes.begin(), crashes.end(), [&](const Crash& aKnown) {
      return aKnown.mTarget == aCrash.mTarget;
    });
  if (same != crashes.end()) {
    same->mAt = std::max(same->mAt, aCrash.mAt);
    return;
  }
  if (crashes.size() >= kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
  crashes.push_back(aCrash);
}

void RecordAnswer(State& aState, std::uint64_t aIdentity, Micros aAt)
{
  Record& record = FindOrAddRecord(aState, aIdentity);
  record.mAnsweredAt = std::max(record.mAnsweredAt, aAt);
}

void RecordRelease(State& aState, std::uint64_t aIdentity, Micros aAt)
{
  Record& record = FindOrAddRecord(aState, aIdentity);
  record.mReleasedAt = std::max(record.mReleasedAt, aAt);
}

void TrackRecentAnswer(State& aState, std::uint64_t aIdentity, Micros aNow)
{
  RecentAnswers& answers = aState.mAnswers;
  if (aNow >= answers.mRotateAt ||
      answers.mGenerations[answers.mCurrent].size() >= kMaxRecentAnswers) {
    answers.mCurrent = 1 - answers.mCurrent;
    answers.mGenerations[answers.mCurrent].clear();
    answers.mRotateAt = aNow + kAnswerWindow;
  }
  answers.mGenerations[answers.mCurrent][aIdentity] = aNow;
}

Micros LastAnswer(const State& aState, std::uint64_t aIdentity)
{
  Micros last = 0;
  for (const auto& generation : aState.mAnswers.mGenerations) {
    const auto found = generation.find(aIdentity);
    last = found == generation.end() ? last : std::max(last, found->second);
  }
  return last;
}

std::vector<Crash> Evidence(const Record& aRecord, Micros aNow)
{
  std::vector<Crash> evidence;
  std::copy_if(
    aRecord.mCrashes.begin(),
    aRecord.mCrashes.end(),
    std::back_inserter(evidence),
    [&](const Crash& aCrash) { return Counts(aRecord, aCrash, aNow); });
  return evidence;
}

Verdict Evaluate(const State& aState,
                 std::uint64_t aIdentity,
                 Micros aNow,
                 const std::set<std::string>& aReleases)
{
  const auto found = aState.mRecords.find(aIdentity);
  if (found == aState.mRecords.end()) {
    return Verdict::Clear;
  }
  int current = 0;
  int retired = 0;
  for (const Crash& crash : Evidence(found->second, aNow)) {
    const bool deployed =
      crash.mRelease.empty() || aReleases.count(crash.mRelease) != 0;
    ++(deployed ? current : retired);
  }
  if (current + std::min(retired, kQuarantineCrashes - 1) >=
      kQuarantineCrashes) {
    return Verdict::Quarantined;
  }
  if (current + retired >= kQuarantineCrashes) {
    return Verdict::OnTrial;
  }
  return current + retired > 0 ? Verdict::Suspected : Verdict::Clear;
}

Verdict EvaluateAnyRelease(const State& aState,
                           std::uint64_t aIdentity,
                           Micros aNow)
{
  std::set<std::string> releases;
  const auto found = aState.mRecords.find(aIdentity);
  if (found != aState.mRecords.end()) {
    for (const Crash& crash : found->second.mCrashes) {
      releases.insert(crash.mRelease);
    }
  }
  return Evaluate(aState, aIdentity, aNow, releases);
}

std::vector<Crash> RenewEvidence(State& aState,
                                 std::uint64_t aIdentity,
                                 Micros aNow)
{
  std::vector<Crash> renewed;
  const auto found = aState.mRecords.find(aIdentity);
  if (found == aState.mRecords.end()) {
    return renewed;
  }
  for (Crash& crash : found->second.mCrashes) {
    if (Counts(found->second, crash, aNow) &&
        aNow - crash.mAt > kRenewInterval) {
      crash.mAt = aNow;
      renewed.push_back(crash);
    }
  }
  return renewed;
}

void Expire(State& aState, Micros aNow)
{
  for (auto it = aState.mRecords.begin(); it != aState.mRecords.end();) {
    it =
      IsExpired(it->second, aNow) ? aState.mRecords.erase(it) : std::next(it);
  }
}

} // namespace geraniumpond::quarantine
