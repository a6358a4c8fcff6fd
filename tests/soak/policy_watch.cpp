#include "policy_watch.h"

#include <algorithm>
#include <sstream>

namespace geraniumpond::soak {

namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

/// In this time after its acknowledgement a change is in force.
constexpr seconds kInForceWithin{ 2 };
/// A host is in touch when nothing was done to it for this long.
constexpr seconds kContact{ 3 };
/// Versions for which a policy has a route.
constexpr std::uint64_t kKept = 24;
constexpr int kOk = 200;
constexpr int kNoAccount = 401;
constexpr int kNotFound = 404;
constexpr const char* kMovedTo = "moved-";

void AddRoute(std::ostringstream& aOut,
              const std::string& aName,
              const std::string& aKind,
              const std::string& aService,
              bool aPublic = true)
{
  aOut << "[route " << aName << "]\nhost = soak.example\nprefix = /" << aName
       << "/\nkind = " << aKind
       << "\ntimeout = 1500ms\nobjective = 300ms\nattempts = 2\nbackends = "
       << aService << "\npublic = " << (aPublic ? "yes" : "no") << "\n";
}

std::string KeyOf(std::uint64_t aVersion)
{
  return "key-" + std::to_string(aVersion);
}

} // namespace

std::string DataCentreOf(const std::string& aTarget)
{
  const bool moved = aTarget.compare(0, 6, kMovedTo) == 0;
  return moved ? "dc-0" : "dc-" + std::to_string((aTarget.back() - '0') % 3);
}

std::string PolicyText(std::uint64_t aVersion,
                       std::uint64_t aBase,
                       std::uint64_t aKeysKept)
{
  std::ostringstream out;
  out << "[policy]\nversion = " << aVersion << "\nbase = " << aBase
      << "\n[service main]\nhealth_path = /health\n"
         "[service other]\nhealth_path = /health\n";
  AddRoute(out, "safe", "safe", "main");
  AddRoute(out, "unsafe", "unsafe", "main");
  AddRoute(out, "keyed", "safe", "main", false);
  const std::uint64_t first = aVersion > kKept ? aVersion - kKept + 1 : 1;
  for (std::uint64_t added = first; added <= aVersion; ++added) {
    AddRoute(out, "added-" + std::to_string(added), "safe", "main");
  }
  for (std::uint64_t moved = first; moved < aVersion + kKept; ++moved) {
    AddRoute(out,
             "moves-" + std::to_string(moved),
             "safe",
             moved > aVersion ? "main" : "other");
  }
  out << "[account client]\nkeys =";
  const std::uint64_t gone = aVersion > aKeysKept ? aVersion - aKeysKept : 0;
  for (std::uint64_t key = gone + 1; key <= aVersion; ++key) {
    out << " " << KeyOf(key);
  }
  out << "\n";
  return out.str();
}

void PolicyWatch::Sending(std::uint64_t aVersion)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mMostSent = std::max(mMostSent, aVersion);
}

void PolicyWatch::Acknowledged(std::uint64_t aVersion)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAcknowledged.emplace(aVersion, steady_clock::now());
}

void PolicyWatch::EvacuationAcknowledged()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mEvacuations;
  mEvacuatedAt = steady_clock::now();
}

void PolicyWatch::Lifting()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mEvacuatedAt.reset();
}

bool PolicyWatch::IsEvacuated(TimePoint aNow) const
{
  return mEvacuatedAt && aNow - *mEvacuatedAt > kInForceWithin;
}

void PolicyWatch::BeginTrouble(const std::set<std::size_t>& aHosts,
                               bool aControl)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mTroubled = aHosts;
  mGroupTroubled = aControl;
}

void PolicyWatch::EndTrouble()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const TimePoint now = steady_clock::now();
  for (const std::size_t host : mTroubled) {
    mTroubleEndedAt[host] = now;
  }
  if (mGroupTroubled) {
    mGroupEndedAt = now;
  }
  mTroubled.clear();
  mGroupTroubled = false;
}

bool PolicyWatch::IsCalm(std::size_t aHost, TimePoint aNow) const
{
  const auto ended = mTroubleEndedAt.find(aHost);
  const bool rested =
    ended == mTroubleEndedAt.end() || aNow - ended->second > kContact;
  return rested && !mGroupTroubled && aNow - mGroupEndedAt > kContact &&
         mTroubled.count(aHost) == 0;
}

std::optional<Probe> PolicyWatch::NextProbe(std::size_t aHost,
                                            std::uint64_t aRandom)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const TimePoint now = steady_clock::now();
  if (!IsCalm(aHost, now)) {
    return std::nullopt;
  }
  if (aRandom % 6 == 5) {
    const Probe probe{ Sign::Evacuated, "/safe/x", mEvacuations, "" };
    return IsEvacuated(now) ? std::optional(probe) : std::nullopt;
  }
  Probe probe;
  for (const auto& [version, at] : mAcknowledged) {
    probe.mVersion = now - at > kInForceWithin ? version : probe.mVersion;
  }
  if (probe.mVersion == 0) {
    return std::nullopt;
  }
  const std::string version = std::to_string(probe.mVersion);
  if (aRandom % 6 == 4 && probe.mVersion > kKeysKept) {
    probe.mSign = Sign::KeyDropped;
    probe.mPath = "/keyed/x";
    probe.mKey = KeyOf(probe.mVersion - kKeysKept);
  } else if (aRandom % 6 == 3) {
    probe.mSign = Sign::KeyAdded;
    probe.mPath = "/keyed/x";
    probe.mKey = KeyOf(probe.mVersion);
  } else if (aRandom % 6 == 0 && probe.mVersion > kKept) {
    probe.mSign = Sign::Dropped;
    probe.mPath = "/added-" + std::to_string(probe.mVersion - kKept) + "/x";
  } else if (aRandom % 6 == 1) {
    probe.mSign = Sign::Moved;
    probe.mPath = "/moves-" + version + "/x";
  } else {
    probe.mSign = Sign::Added;
    probe.mPath = "/added-" + version + "/x";
  }
  return probe;
}

bool PolicyWatch::ShowsOldPolicy(const Probe& aProbe,
                                 const ProbeAnswer& aAnswer) const
{
  switch (aProbe.mSign) {
    case Sign::Added:
      return aAnswer.mStatus == kNotFound &&
             mMostSent < aProbe.mVersion + kKept;
    case Sign::Dropped:
      return aAnswer.mStatus == kOk;
    case Sign::Moved:
      return aAnswer.mStatus == kOk &&
             aAnswer.mTarget.compare(0, 6, kMovedTo) != 0;
    case Sign::KeyAdded:
      return aAnswer.mStatus == kNoAccount &&
             mMostSent < aProbe.mVersion + kKeysKept;
    case Sign::KeyDropped:
      return aAnswer.mStatus == kOk || !aAnswer.mTarget.empty();
    case Sign::Evacuated:
      break;
  }
  return false;
}

std::string PolicyWatch::Judge(const Probe& aProbe, const ProbeAnswer& aAnswer)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aProbe.mSign == Sign::Evacuated) {
    const bool same = mEvacuatedAt && mEvacuations == aProbe.mVersion;
    return same && !aAnswer.mTarget.empty() &&
               DataCentreOf(aAnswer.mTarget) == kEvacuated
             ? "sends to " + aAnswer.mTarget + " in an evacuated data centre"
             : "";
  }
  if (!ShowsOldPolicy(aProbe, aAnswer)) {
    return "";
  }
  const auto at = mAcknowledged.find(aProbe.mVersion);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    steady_clock::now() - at->second);
  return "acts by a policy before " + std::to_string(aProbe.mVersion) + ", " +
         std::to_string(age.count()) +
         " ms after its acknowledgement: " + aProbe.mPath + " " +
         std::to_string(aAnswer.mStatus) + " " + aAnswer.mTarget;
}

} // namespace geraniumpond::soak
