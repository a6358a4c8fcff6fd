// A seeded search for schedules of faults after which the control group has
// lost what it acknowledged, or stays weaker than its settings say.
//
//   member_search --seeds N [--first S]   a fixed range of seeds
//   member_search --seconds N             as many as fit
//   member_search --show S                one seed's smallest part, with logs
//   member_search --file F                a schedule that was written down
#include "fakes/fleet_schedule.h"
#include "fakes/options.h"

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace geraniumpond;

int Report(std::uint64_t aSeed, const std::string& aFault)
{
  std::cout << "seed " << aSeed << ": " << aFault << "\n";
  const fakes::FleetSchedule smallest =
    fakes::ShrinkFleetSchedule(fakes::MakeFleetSchedule(aSeed));
  std::cout << "smallest: " << fakes::PlayFleetSchedule(smallest) << "\n"
            << fakes::Describe(smallest) << std::flush;
  return 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const fakes::Options options = fakes::ParseOptions(aCount, aArguments);
  if (!options.Text("file").empty()) {
    std::ifstream file(options.Text("file"));
    const Result<fakes::FleetSchedule> schedule =
      fakes::ParseFleetSchedule(file);
    std::cout << (schedule
                    ? fakes::PlayFleetSchedule(schedule.value(), &std::cout)
                    : schedule.error().mMessage)
              << "\n";
    return 0;
  }
  if (options.Number("show", 0) > 0) {
    const fakes::FleetSchedule smallest =
      fakes::ShrinkFleetSchedule(fakes::MakeFleetSchedule(
        static_cast<std::uint64_t>(options.Number("show", 0))));
    std::cout << fakes::Describe(smallest);
    std::cout << fakes::PlayFleetSchedule(smallest, &std::cout) << "\n";
    return 0;
  }
  const auto first = static_cast<std::uint64_t>(options.Number("first", 1));
  const auto seeds = static_cast<std::uint64_t>(options.Number("seeds", 0));
  const auto seconds = options.Number("seconds", 10);
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t played = 0;
  int broken = 0;
  const auto goesOn = [&] {
    return seeds > 0 ? played < seeds
                     : std::chrono::steady_clock::now() - start <
                         std::chrono::seconds(static_cast<long>(seconds));
  };
  for (; goesOn(); ++played) {
    const std::uint64_t seed = first + played;
    const std::string fault =
      fakes::PlayFleetSchedule(fakes::MakeFleetSchedule(seed));
    broken += fault.empty() ? 0 : Report(seed, fault);
  }
  std::cout << "schedules " << played << ", broken " << broken << std::endl;
  return broken == 0 ? 0 : 1;
}
