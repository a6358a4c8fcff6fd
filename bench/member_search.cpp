// Searches random fault schedules for one after which the control group has
// lost an acknowledged change, or tolerates fewer losses than its settings say.
//
//   member_search --seeds N [--first S]   a fixed range of seeds
//   member_search --seconds N             as many seeds as fit into N seconds
//   member_search --reads 1               with policy reads in the schedules
//   member_search --evacuations 1         with evacuations in the schedules
//   member_search --losses 1              losses of all power take as many
//                                         disks as are tolerated
//   member_search --plant sync|size|read|early|revision
//                                         an injected defect that must be found
//   member_search --show S                minimises and runs a seed's schedule
//   member_search --file F                a schedule read from a file
//                                         (--show and --file print the violated
//                                         guarantee, the schedule and its log,
//                                         and exit with 1 after a violation)
//   member_search --times N               time until the group tolerates its
//                                         configured losses again after a voter
//                                         left, over N seeds
#include "fakes/fleet_schedule.h"
#include "fakes/options.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace geraniumpond;

fakes::FleetSchedule MakeSchedule(std::uint64_t aSeed,
                                  const fakes::Options& aOptions,
                                  fakes::FleetDefect aPlant)
{
  fakes::FleetSchedule schedule = fakes::MakeFleetSchedule(aSeed);
  schedule.mReadPolicy = aOptions.Number("reads", 0) != 0;
  schedule.mEvacuate = aOptions.Number("evacuations", 0) != 0;
  schedule.mLoseToleratedDisks = aOptions.Number("losses", 0) != 0;
  schedule.mDefect = aPlant;
  return schedule;
}

int ReportViolation(const fakes::FleetSchedule& aSchedule,
                    const std::string& aViolation)
{
  std::cout << "seed " << aSchedule.mSeed << ": " << aViolation << "\n";
  const fakes::FleetSchedule minimised = fakes::ShrinkFleetSchedule(aSchedule);
  std::cout << "smallest: " << fakes::RunFleetSchedule(minimised) << "\n"
            << fakes::Describe(minimised) << std::flush;
  return 1;
}

// Prints the violated guarantee, if any, then the steps and the log.
int PrintRun(const fakes::FleetSchedule& aSchedule)
{
  const std::string violation = fakes::RunFleetSchedule(aSchedule);
  std::cout << (violation.empty() ? "no violation" : "violation: " + violation)
            << "\n"
            << fakes::Describe(aSchedule);
  (void)fakes::RunFleetSchedule(aSchedule, &std::cout);
  std::cout << std::flush;
  return violation.empty() ? 0 : 1;
}

/// \brief How a voter leaves the group.
enum class Departure
{
  Stops,
  LosesPower
};

// Time until a group with one spare voter has removed the voter that left and
// tolerates its configured losses again; a minute if it never does.
Micros TimeUntilRecovered(std::uint64_t aSeed,
                          int aTolerated,
                          Departure aDeparture)
{
  const int disks = 2 * aTolerated + 2;
  fakes::FleetSimulation simulation(aSeed);
  simulation.StartFleet(disks, 4, aTolerated);
  const auto voters = static_cast<std::size_t>(disks);
  (void)simulation.RunUntil(10 * kSecond,
                            [&] { return simulation.Voters() == voters; });
  simulation.Advance(2 * kSecond);
  const int number = 1 + static_cast<int>(aSeed % voters);
  const std::string departing = "10.0.0." + std::to_string(number) + ":1";
  if (aDeparture == Departure::Stops) {
    simulation.Stop(departing);
  } else {
    simulation.LosePower(departing);
  }
  const Micros start = simulation.mNow;
  (void)simulation.RunUntil(60 * kSecond, [&] {
    const std::string leader = simulation.Leader();
    const auto recovered = [&](const fleet::State& aState) {
      const consensus::State& group = aState.mGroup;
      return leader != departing && group.mCommit >= group.mMembershipIndex &&
             simulation.Voters() == voters - 1 &&
             fleet::HealthOf(aState, simulation.mNow).mTolerated >= aTolerated;
    };
    return !leader.empty() && recovered(simulation.Node(leader).mState);
  });
  return simulation.mNow - start;
}

void PrintTimes(std::uint64_t aSeeds)
{
  for (const Departure departure :
       { Departure::Stops, Departure::LosesPower }) {
    for (const int tolerated : { 1, 2 }) {
      std::vector<Micros> times;
      for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
        times.push_back(TimeUntilRecovered(seed, tolerated, departure));
      }
      std::sort(times.begin(), times.end());
      std::cout << (departure == Departure::Stops ? "stops" : "loses power")
                << ", voters " << 2 * tolerated + 2 << ": median_ms "
                << times[times.size() / 2] / kMillisecond << " longest_ms "
                << times.back() / kMillisecond << "\n";
    }
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  const fakes::Options options = fakes::ParseOptions(aCount, aArguments);
  if (options.Number("times", 0) > 0) {
    PrintTimes(static_cast<std::uint64_t>(options.Number("times", 0)));
    return 0;
  }
  if (!options.Text("file").empty()) {
    std::ifstream file(options.Text("file"));
    const Result<fakes::FleetSchedule> schedule =
      fakes::ParseFleetSchedule(file);
    if (!schedule) {
      std::cerr << schedule.error().mMessage << "\n";
      return 2;
    }
    return PrintRun(schedule.value());
  }
  if (options.Number("show", 0) > 0) {
    return PrintRun(fakes::ShrinkFleetSchedule(
      MakeSchedule(static_cast<std::uint64_t>(options.Number("show", 0)),
                   options,
                   fakes::FleetDefect::None)));
  }
  const auto first = static_cast<std::uint64_t>(options.Number("first", 1));
  const auto seeds = static_cast<std::uint64_t>(options.Number("seeds", 0));
  const auto seconds = options.Number("seconds", 10);
  const auto start = std::chrono::steady_clock::now();
  const std::optional<fakes::FleetDefect> defect =
    fakes::ParseFleetDefect(options.Text("plant", "none"));
  if (!defect) {
    std::cerr << "--plant: one of none, sync, size, read, early, revision\n";
    return 2;
  }
  const bool injected = *defect != fakes::FleetDefect::None;
  std::uint64_t schedulesRun = 0;
  int violations = 0;
  const auto hasMore = [&] {
    return seeds > 0 ? schedulesRun < seeds
                     : std::chrono::steady_clock::now() - start <
                         std::chrono::seconds(static_cast<long>(seconds));
  };
  for (; hasMore(); ++schedulesRun) {
    const std::uint64_t seed = first + schedulesRun;
    const fakes::FleetSchedule schedule = MakeSchedule(seed, options, *defect);
    const std::string violation = fakes::RunFleetSchedule(schedule);
    if (injected && !violation.empty()) {
      std::cout << "found at seed " << seed << ": " << violation << std::endl;
      return 0;
    }
    violations += violation.empty() ? 0 : ReportViolation(schedule, violation);
  }
  std::cout << "schedules " << schedulesRun << ", broken " << violations
            << std::endl;
  return violations == 0 && !injected ? 0 : 1;
}
