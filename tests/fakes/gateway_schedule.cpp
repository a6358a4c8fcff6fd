#include "fakes/gateway_schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <map>
#include <utility>

namespace geraniumpond::fakes {

namespace {

/// Time in which undisturbed hosts learn of each other's facts.
constexpr Micros kPropagationTime = 3 * kSecond;
constexpr Micros kFaultTime = 24 * kSecond;
/// Time from the last fault until service must be normal, and for how long that
/// is checked.
constexpr Micros kRecoveryTime = 12 * kSecond;
constexpr Micros kObservationTime = 5 * kSecond;
constexpr std::size_t kCrashesToQuarantine = 3;
constexpr std::size_t kLaterArrivals = 3;
constexpr Micros kLimitWindow = 4 * kSecond;
constexpr Micros kExtraWindow = 10 * kSecond;
constexpr double kExtraRatio = 0.2;
constexpr double kExtraFloor = 60;
constexpr double kMinServedShare = 0.98;

/// Time within which an acknowledged evacuation is in force at hosts in touch.
constexpr Micros kEvacuationTime = 5 * kSecond;
constexpr Micros kEvacuationPatience = 8 * kSecond;
/// Faults that are drawn for all schedules; the others are drawn after them, so
/// that a seed keeps the faults that it had.
constexpr std::size_t kCommonFaults = 14;

constexpr std::array<const char*, 16> kFaultNames = {
  "harmful",        "limit",        "target_ends",     "targets_end",
  "target_silent",  "target_reset", "target_replaced", "targets_fail",
  "host_killed",    "host_stopped", "host_frozen",     "host_cut",
  "control_killed", "all_killed",   "evacuation",      "data_centre_cold",
};

/// \brief When hosts and the control group were disturbed, and the announced
/// limits.
struct Record
{
  /// By host; kGroup for the control group.
  std::map<std::size_t, std::vector<std::pair<Micros, Micros>>> mDisturbed;
  /// Start and end of each limit, by target address.
  std::map<std::string, std::vector<std::pair<Micros, Micros>>> mLimits;
  std::map<std::string, double> mRates;
};

constexpr std::size_t kGroup = static_cast<std::size_t>(-1);

bool IsDisturbed(const Record& aRecord, std::size_t aHost, Micros aAt)
{
  for (const std::size_t who : { aHost, kGroup }) {
    const auto found = aRecord.mDisturbed.find(who);
    if (found == aRecord.mDisturbed.end()) {
      continue;
    }
    for (const auto& [from, until] : found->second) {
      if (aAt >= from && aAt <= until + kPropagationTime) {
        return true;
      }
    }
  }
  return false;
}

std::string HarmfulPath(std::size_t aWhich)
{
  return "/harmful" + std::to_string(aWhich % 2);
}

/// \brief Runs the steps of a schedule in a simulation.
class Runner
{
public:
  explicit Runner(const GatewaySchedule& aSchedule)
    : mSchedule(aSchedule)
    , mWorld(aSchedule.mLoad, aSchedule.mSeed)
  {
    mWorld.mDropsGossip = aSchedule.mDropsGossip;
  }

  GatewayOutcome Run()
  {
    mWorld.Settle();
    mStart = mWorld.Now();
    mWorld.StartClients(kFaultTime + kRecoveryTime + kObservationTime);
    for (const GatewayStep& step : mSchedule.mSteps) {
      mWorld.Later(step.mAt, [this, step] { Inject(step); });
    }
    mWorld.Advance(kFaultTime + kRecoveryTime);
    const GatewayTally before = mWorld.mTally;
    mWorld.Advance(kObservationTime + 2 * kSecond);
    GatewayOutcome outcome;
    outcome.mHarmlessRefused = mWorld.mTally.mQuarantined;
    outcome.mOffered = mWorld.mTally.mOffered;
    for (const auto& [path, ends] : mWorld.mCrashTimes) {
      outcome.mMaxCrashes = std::max(outcome.mMaxCrashes, ends.size());
    }
    for (const std::string& broken :
         { mWorld.mViolations.empty() ? std::string()
                                      : mWorld.mViolations.front(),
           HarmfulViolation(),
           LimitViolation(),
           ExtraViolation(),
           EvacuationViolation(),
           WarmUpViolation(),
           RecoveryViolation(before) }) {
      outcome.mViolation =
        outcome.mViolation.empty() ? broken : outcome.mViolation;
    }
    return outcome;
  }

private:
  std::size_t HostOf(const GatewayStep& aStep) const
  {
    return aStep.mSubject % mWorld.Hosts();
  }

  std::string TargetOf(std::size_t aWhich) const
  {
    const std::vector<std::string> all = mWorld.TargetAddresses();
    return all[aWhich % all.size()];
  }

  bool IsControl(std::size_t aHost) const
  {
    return aHost < static_cast<std::size_t>(mSchedule.mLoad.mControlHosts);
  }

  void RecordDisturbance(std::size_t aHost, Micros aUntil)
  {
    mRecord.mDisturbed[aHost].emplace_back(mWorld.Now(), aUntil);
    if (aHost != kGroup && IsControl(aHost)) {
      mRecord.mDisturbed[kGroup].emplace_back(mWorld.Now(), aUntil);
    }
  }

  void Inject(const GatewayStep& aStep)
  {
    const Micros until = mWorld.Now() + aStep.mDuration;
    switch (aStep.mFault) {
      case GatewayFault::Harmful:
      case GatewayFault::Limit:
      case GatewayFault::TargetEnds:
      case GatewayFault::TargetsEnd:
      case GatewayFault::TargetSilent:
      case GatewayFault::TargetReset:
      case GatewayFault::TargetReplaced:
      case GatewayFault::TargetsFail:
        InjectIntoTargets(aStep, until);
        break;
      case GatewayFault::HostKilled:
      case GatewayFault::HostStopped:
      case GatewayFault::HostFrozen:
      case GatewayFault::HostCut:
        RecordDisturbance(HostOf(aStep), until);
        InjectIntoHost(aStep, HostOf(aStep));
        break;
      case GatewayFault::ControlKilled:
      case GatewayFault::AllKilled:
        InjectIntoHosts(aStep, until);
        break;
      case GatewayFault::Evacuation:
        Evacuate(DataCentreOf(aStep), aStep.mDuration);
        break;
      case GatewayFault::DataCentreCold:
        for (const std::string& target : mWorld.TargetAddresses()) {
          if (mWorld.DataCentreOf(target) == DataCentreOf(aStep)) {
            mWorld.TurnCold(target);
          }
        }
        break;
    }
  }

  void InjectIntoTargets(const GatewayStep& aStep, Micros aUntil)
  {
    const std::string target = TargetOf(aStep.mSubject);
    const auto gap = static_cast<Micros>(kSecond / std::max(0.1, aStep.mRate));
    switch (aStep.mFault) {
      case GatewayFault::Harmful:
        mWorld.MakeHarmful(HarmfulPath(aStep.mSubject));
        mWorld.SendRepeatedly(
          HarmfulPath(aStep.mSubject), gap, aStep.mDuration);
        break;
      case GatewayFault::Limit:
        StartLimit(aStep, target, aUntil);
        break;
      case GatewayFault::TargetEnds:
        mWorld.EndTarget(target);
        break;
      case GatewayFault::TargetsEnd:
        for (std::size_t i = 0; i < mWorld.TargetAddresses().size(); i += 3) {
          mWorld.EndTarget(TargetOf(aStep.mSubject + i));
        }
        break;
      case GatewayFault::TargetSilent:
        mWorld.SilenceTarget(target, aStep.mDuration);
        break;
      case GatewayFault::TargetReset:
        mWorld.ResetConnections(target);
        break;
      case GatewayFault::TargetReplaced:
        mWorld.ReplaceTarget(target);
        break;
      default:
        mWorld.mErrorShare = 0.3;
        mWorld.Later(aStep.mDuration, [this] { mWorld.mErrorShare = 0; });
    }
  }

  std::string DataCentreOf(const GatewayStep& aStep) const
  {
    return "dc" +
           std::to_string(aStep.mSubject % static_cast<std::size_t>(
                                             mSchedule.mLoad.mDataCentres));
  }

  // The targets may have become cold meanwhile.
  void Evacuate(const std::string& aDataCentre, Micros aDuration)
  {
    mWorld.OrderEvacuation(aDataCentre, true, aDuration);
    mWorld.Later(aDuration, [this, aDataCentre] {
      mWorld.OrderEvacuation(aDataCentre, false, kEvacuationPatience);
    });
  }

  // Hosts learn the limit only from the first answer after this. Each target
  // has at most one limit per schedule.
  void StartLimit(const GatewayStep& aStep,
                  const std::string& aTarget,
                  Micros aUntil)
  {
    if (mRecord.mRates.count(aTarget) != 0) {
      return;
    }
    mWorld.SetLimit(aTarget, aStep.mRate);
    mRecord.mLimits[aTarget].emplace_back(mWorld.Now() + kPropagationTime,
                                          aUntil);
    mRecord.mRates[aTarget] = aStep.mRate;
    mWorld.Later(aStep.mDuration,
                 [this, aTarget] { mWorld.SetLimit(aTarget, 0); });
  }

  void InjectIntoHost(const GatewayStep& aStep, std::size_t aHost)
  {
    switch (aStep.mFault) {
      case GatewayFault::HostStopped:
        mWorld.StopHost(aHost);
        break;
      case GatewayFault::HostFrozen:
        mWorld.FreezeHost(aHost);
        mWorld.Later(aStep.mDuration,
                     [this, aHost] { mWorld.ThawHost(aHost); });
        return;
      case GatewayFault::HostCut:
        mWorld.mCutOff.insert(aHost);
        mWorld.Later(aStep.mDuration,
                     [this, aHost] { mWorld.mCutOff.erase(aHost); });
        return;
      default:
        mWorld.KillHost(aHost);
    }
    mWorld.Later(aStep.mDuration, [this, aHost] {
      mWorld.KillHost(aHost);
      mWorld.StartHost(aHost);
    });
  }

  void InjectIntoHosts(const GatewayStep& aStep, Micros aUntil)
  {
    const bool all = aStep.mFault == GatewayFault::AllKilled;
    RecordDisturbance(kGroup, aUntil);
    for (std::size_t host = 0; host < mWorld.Hosts(); ++host) {
      if (all || IsControl(host)) {
        mWorld.KillHost(host);
        mWorld.Later(aStep.mDuration, [this, host] {
          mWorld.KillHost(host);
          mWorld.StartHost(host);
        });
      }
    }
  }

  // Arrivals from recently disturbed hosts do not count.
  bool IsCounted(const TargetArrival& aArrival) const
  {
    return !IsDisturbed(mRecord, aArrival.mHostIndex, aArrival.mAt);
  }

  std::string HarmfulViolation() const
  {
    for (const auto& [path, ends] : mWorld.mCrashTimes) {
      if (ends.size() < kCrashesToQuarantine) {
        continue;
      }
      // A fleet that failed as a whole has to detect the request again.
      const Micros from = ends[kCrashesToQuarantine - 1] + kPropagationTime;
      const std::string& asked = path;
      const auto later = static_cast<std::size_t>(
        std::count_if(mWorld.mArrivals.begin(),
                      mWorld.mArrivals.end(),
                      [&](const TargetArrival& aArrival) {
                        return aArrival.mPath == asked && aArrival.mAt > from &&
                               IsCounted(aArrival);
                      }));
      if (later > kLaterArrivals) {
        return "harmful request " + path + " arrived " + std::to_string(later) +
               " times later";
      }
    }
    return "";
  }

  std::string LimitViolation() const
  {
    for (const auto& [address, spans] : mRecord.mLimits) {
      const double rate = mRecord.mRates.at(address);
      const double allowed =
        1.5 * rate * static_cast<double>(kLimitWindow) / kSecond + 5;
      for (const auto& [from, until] : spans) {
        const double most = MostArrivals(address, from, until);
        if (most > allowed) {
          char text[128];
          std::snprintf(
            text,
            sizeof(text),
            "%s has a limit of %.1f per second and got %.0f, allowed %.0f",
            address.c_str(),
            rate,
            most,
            allowed);
          return text;
        }
      }
    }
    return "";
  }

  double MostArrivals(const std::string& aAddress,
                      Micros aFrom,
                      Micros aUntil) const
  {
    std::vector<Micros> times;
    for (const TargetArrival& arrival : mWorld.mArrivals) {
      const bool here =
        arrival.mTarget.compare(0, aAddress.size() + 1, aAddress + "#") == 0;
      // A limit applies to one incarnation only.
      if (here && arrival.mLimited && arrival.mAt >= aFrom &&
          arrival.mAt <= aUntil && IsCounted(arrival)) {
        times.push_back(arrival.mAt);
      }
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
      while (times[i] - times[first] > kLimitWindow) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    return static_cast<double>(most);
  }

  // An order holds from its acknowledgement until the next one is sent. One
  // that was acknowledged after the next had been sent does not count.
  std::string EvacuationViolation() const
  {
    const std::vector<EvacuationOrder>& orders = mWorld.mEvacuationOrders;
    for (std::size_t i = 0; i + 1 < orders.size(); ++i) {
      const EvacuationOrder& order = orders[i];
      if (!order.mEvacuated || order.mAcknowledgedAt == 0) {
        continue;
      }
      const Micros from = order.mAcknowledgedAt + kEvacuationTime;
      const auto arrived =
        std::count_if(mWorld.mArrivals.begin(),
                      mWorld.mArrivals.end(),
                      [&](const TargetArrival& aArrival) {
                        return aArrival.mDataCentre == order.mDataCentre &&
                               aArrival.mAt >= from &&
                               aArrival.mAt < orders[i + 1].mSentAt &&
                               IsCounted(aArrival);
                      });
      if (arrived > 0) {
        return std::to_string(arrived) + " requests arrived at " +
               order.mDataCentre + ", which is evacuated";
      }
    }
    return "";
  }

  // Counts hosts in touch or not.
  std::string WarmUpViolation() const
  {
    const auto allowed = static_cast<std::size_t>(
      mSchedule.mLoad.mWarmUpPerSecond * kWarmUpRatio + kWarmUpFloor);
    std::map<std::string, std::deque<Micros>> lately;
    for (const TargetArrival& arrival : mWorld.mArrivals) {
      if (!arrival.mColdSince) {
        continue;
      }
      std::deque<Micros>& times = lately[arrival.mTarget];
      times.push_back(arrival.mAt);
      while (arrival.mAt - times.front() >= kSecond) {
        times.pop_front();
      }
      if (times.size() > allowed) {
        return "cold target " + arrival.mTarget + " got " +
               std::to_string(times.size()) +
               " requests in a second, allowed " + std::to_string(allowed);
      }
    }
    return "";
  }

  // The requests are counted in the same window, the one before it or the one
  // half a window earlier, whichever has most.
  std::string ExtraViolation() const
  {
    std::vector<Micros> extra;
    std::vector<Micros> requests;
    for (const TargetArrival& arrival : mWorld.mArrivals) {
      (arrival.mExtra ? extra : requests).push_back(arrival.mAt);
    }
    const auto within = [](const std::vector<Micros>& aTimes, Micros aUntil) {
      const auto from =
        std::lower_bound(aTimes.begin(), aTimes.end(), aUntil - kExtraWindow);
      const auto until = std::upper_bound(from, aTimes.end(), aUntil);
      return static_cast<double>(until - from);
    };
    double most = 0;
    for (const Micros at : extra) {
      const double asked = std::max({ within(requests, at),
                                      within(requests, at - kExtraWindow / 2),
                                      within(requests, at - kExtraWindow) });
      most = std::max(most, within(extra, at) - kExtraRatio * asked);
    }
    return most > kExtraFloor ? "extra arrivals beyond the allowed ratio: " +
                                  std::to_string(most)
                              : "";
  }

  std::string RecoveryViolation(const GatewayTally& aBefore) const
  {
    const int ended = mWorld.mTally.mServed + mWorld.mTally.mRefused +
                      mWorld.mTally.mFailed - aBefore.mServed -
                      aBefore.mRefused - aBefore.mFailed;
    const int served = mWorld.mTally.mServed - aBefore.mServed;
    return served < kMinServedShare * ended
             ? "served after recovery from all faults: " +
                 std::to_string(served) + " of " + std::to_string(ended)
             : "";
  }

  GatewaySchedule mSchedule;
  GatewayWorld mWorld;
  Record mRecord;
  Micros mStart = 0;
};

GatewayLoad DrawLoad(std::mt19937_64& aRandom)
{
  GatewayLoad load;
  load.mControlHosts = 4 + static_cast<int>(aRandom() % 3);
  load.mOtherHosts = static_cast<int>(aRandom() % 30);
  load.mTargets = 6 + static_cast<int>(aRandom() % 20);
  load.mIdempotent = aRandom() % 3 != 0;
  const double room = load.mTargets * load.mSlots * kSecond /
                      static_cast<double>(load.mServiceTime);
  load.mPerSecond = std::min(
    400.0, room * (0.15 + 0.4 * static_cast<double>(aRandom() % 100) / 100));
  return load;
}

// One data centre at most is evacuated at any time, for long enough to see what
// arrives after the order is in force.
void DrawEvacuation(std::mt19937_64& aRandom, GatewaySchedule& aSchedule)
{
  GatewayStep step;
  step.mFault = GatewayFault::Evacuation;
  step.mAt = static_cast<Micros>(aRandom() % 8000) * kMillisecond;
  step.mDuration =
    (7000 + static_cast<Micros>(aRandom() % 6000)) * kMillisecond;
  step.mSubject = aRandom();
  aSchedule.mSteps.push_back(step);
}

void DrawColdTargets(std::mt19937_64& aRandom, GatewaySchedule& aSchedule)
{
  aSchedule.mLoad.mWarmUp = 3 * kSecond;
  aSchedule.mLoad.mWarmUpPerSecond =
    2 + static_cast<double>(aRandom() % 40) / 10;
  const std::size_t count = 1 + aRandom() % 2;
  for (std::size_t i = 0; i < count; ++i) {
    GatewayStep step;
    step.mFault = GatewayFault::DataCentreCold;
    step.mAt = static_cast<Micros>(aRandom() % 18000) * kMillisecond;
    step.mSubject = aRandom();
    aSchedule.mSteps.push_back(step);
  }
}

} // namespace

const char* ToString(GatewayFault aFault) noexcept
{
  return kFaultNames[static_cast<std::size_t>(aFault)];
}

GatewaySchedule MakeGatewaySchedule(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  GatewaySchedule schedule;
  schedule.mSeed = aSeed;
  schedule.mLoad = DrawLoad(random);
  const std::size_t count = 3 + random() % 10;
  for (std::size_t i = 0; i < count; ++i) {
    GatewayStep step;
    // Harmful requests and limits are drawn more often, since they are the main
    // subject of the search.
    const std::size_t kind = random() % (kCommonFaults + 6);
    step.mFault = kind < kCommonFaults ? static_cast<GatewayFault>(kind)
                                       : (kind % 2 == 0 ? GatewayFault::Harmful
                                                        : GatewayFault::Limit);
    step.mAt = static_cast<Micros>(random() % 16000) * kMillisecond;
    step.mDuration =
      (500 + static_cast<Micros>(random() % 7500)) * kMillisecond;
    step.mSubject = random();
    step.mRate = 0.5 + static_cast<double>(random() % 100) / 10;
    schedule.mSteps.push_back(step);
  }
  std::mt19937_64 further(~aSeed);
  if (further() % 2 == 0) {
    DrawEvacuation(further, schedule);
  }
  if (further() % 2 == 0) {
    DrawColdTargets(further, schedule);
  }
  std::sort(schedule.mSteps.begin(),
            schedule.mSteps.end(),
            [](const GatewayStep& aLeft, const GatewayStep& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return schedule;
}

GatewayOutcome RunGatewaySchedule(const GatewaySchedule& aSchedule)
{
  return Runner(aSchedule).Run();
}

GatewaySchedule ShrinkGatewaySchedule(GatewaySchedule aSchedule)
{
  for (std::size_t i = 0; i < aSchedule.mSteps.size();) {
    GatewaySchedule fewer = aSchedule;
    fewer.mSteps.erase(fewer.mSteps.begin() + static_cast<std::ptrdiff_t>(i));
    if (RunGatewaySchedule(fewer).mViolation.empty()) {
      ++i;
    } else {
      aSchedule = std::move(fewer);
    }
  }
  return aSchedule;
}

std::string Describe(const GatewaySchedule& aSchedule)
{
  char line[160];
  std::snprintf(line,
                sizeof(line),
                "seed %llu hosts %d+%d targets %d per_second %.0f %s\n",
                static_cast<unsigned long long>(aSchedule.mSeed),
                aSchedule.mLoad.mControlHosts,
                aSchedule.mLoad.mOtherHosts,
                aSchedule.mLoad.mTargets,
                aSchedule.mLoad.mPerSecond,
                aSchedule.mLoad.mIdempotent ? "safe" : "unsafe");
  std::string text = line;
  for (const GatewayStep& step : aSchedule.mSteps) {
    std::snprintf(line,
                  sizeof(line),
                  "  %6.2f s %-16s for %5.2f s which %llu rate %.1f\n",
                  static_cast<double>(step.mAt) / kSecond,
                  ToString(step.mFault),
                  static_cast<double>(step.mDuration) / kSecond,
                  static_cast<unsigned long long>(step.mSubject),
                  step.mRate);
    text += line;
  }
  return text;
}

} // namespace geraniumpond::fakes
