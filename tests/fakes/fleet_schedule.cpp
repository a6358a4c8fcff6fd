#include "fakes/fleet_schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace geraniumpond::fakes {

namespace {

constexpr int kMaxSteps = 14;

constexpr std::array<const char*, 15> kFaultNames = {
  "restart",
  "replace-planned",
  "replace-lost",
  "lose-disk",
  "kill",
  "lose-power",
  "lose-all-power",
  "lose-all-power-and-a-disk",
  "cut",
  "cut-halves",
  "cut-hosts",
  "freeze",
  "stall-disk",
  "reseed",
  "settle",
};

constexpr std::array<const char*, 6> kDefectNames = {
  "none", "sync", "size", "read", "early", "revision",
};

} // namespace

const char* ToString(FleetFault aFault) noexcept
{
  return kFaultNames[static_cast<std::size_t>(aFault)];
}

std::optional<FleetDefect> ParseFleetDefect(const std::string& aName)
{
  const auto* name = std::find(kDefectNames.begin(), kDefectNames.end(), aName);
  if (name == kDefectNames.end()) {
    return std::nullopt;
  }
  return static_cast<FleetDefect>(name - kDefectNames.begin());
}

FleetSchedule MakeFleetSchedule(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto randomBelow = [&](std::uint64_t aBound) {
    return static_cast<int>(random() % aBound);
  };
  FleetSchedule schedule;
  schedule.mSeed = aSeed;
  schedule.mTolerated = randomBelow(4) == 0 ? 2 : 1;
  schedule.mHostsWithDisk = 2 * schedule.mTolerated + 1 + randomBelow(3);
  // Most fleets are small; some are large enough to have relays.
  schedule.mHostsWithoutDisk =
    randomBelow(8) == 0 ? 16 + randomBelow(24) : 2 + randomBelow(4);
  const int steps = 2 + randomBelow(kMaxSteps);
  for (int i = 0; i < steps; ++i) {
    FleetStep step;
    step.mFault = static_cast<FleetFault>(randomBelow(kFaultNames.size()));
    step.mSelector = random();
    step.mDuration = (50 + randomBelow(4000)) * kMillisecond;
    // A third of the pauses are short, so that faults overlap.
    step.mPause = randomBelow(3) == 0 ? randomBelow(400) * kMillisecond
                                      : randomBelow(5000) * kMillisecond;
    schedule.mSteps.push_back(step);
  }
  return schedule;
}

FleetSchedule ShrinkFleetSchedule(FleetSchedule aSchedule)
{
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t i = 0; i < aSchedule.mSteps.size(); ++i) {
      FleetSchedule part = aSchedule;
      part.mSteps.erase(part.mSteps.begin() + static_cast<std::ptrdiff_t>(i));
      if (!RunFleetSchedule(part).empty()) {
        aSchedule = std::move(part);
        shorter = true;
        break;
      }
    }
  }
  return aSchedule;
}

std::string Describe(const FleetSchedule& aSchedule)
{
  std::ostringstream out;
  out << "seed=" << aSchedule.mSeed << " disks=" << aSchedule.mHostsWithDisk
      << " others=" << aSchedule.mHostsWithoutDisk
      << " tolerated=" << aSchedule.mTolerated
      << (aSchedule.mReadPolicy ? " reads=1" : "")
      << (aSchedule.mEvacuate ? " evacuations=1" : "")
      << (aSchedule.mLoseToleratedDisks ? " losses=1" : "") << "\n";
  for (const FleetStep& step : aSchedule.mSteps) {
    out << "  " << ToString(step.mFault) << " pick=" << step.mSelector
        << " for_ms=" << step.mDuration / kMillisecond
        << " pause_ms=" << step.mPause / kMillisecond << "\n";
  }
  return out.str();
}

Result<FleetSchedule> ParseFleetSchedule(std::istream& aText)
{
  FleetSchedule schedule;
  std::string line;
  while (std::getline(aText, line)) {
    std::istringstream words(line);
    std::string first;
    words >> first;
    if (first.empty() || first.front() == '#') {
      continue;
    }
    const auto number = [&](const char* aName) {
      const std::size_t at = line.find(std::string(aName) + "=");
      return at == std::string::npos
               ? 0
               : std::stoull(line.substr(line.find('=', at) + 1));
    };
    if (first.rfind("seed=", 0) == 0) {
      schedule.mSeed = number("seed");
      schedule.mHostsWithDisk = static_cast<int>(number("disks"));
      schedule.mHostsWithoutDisk = static_cast<int>(number("others"));
      schedule.mTolerated = static_cast<int>(number("tolerated"));
      schedule.mReadPolicy = number("reads") != 0;
      schedule.mEvacuate = number("evacuations") != 0;
      schedule.mLoseToleratedDisks = number("losses") != 0;
      continue;
    }
    const auto* name = std::find(kFaultNames.begin(), kFaultNames.end(), first);
    if (name == kFaultNames.end()) {
      return Fail(ErrorCode::InvalidArgument, "unknown fault " + first);
    }
    FleetStep step;
    step.mFault = static_cast<FleetFault>(name - kFaultNames.begin());
    step.mSelector = number("pick");
    step.mDuration = static_cast<Micros>(number("for_ms")) * kMillisecond;
    step.mPause = static_cast<Micros>(number("pause_ms")) * kMillisecond;
    schedule.mSteps.push_back(step);
  }
  return schedule;
}

} // namespace geraniumpond::fakes
