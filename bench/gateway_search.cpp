// Randomized search for fault schedules that violate a guarantee of simulated
// gateway hosts. Faults are requests that crash targets, limits that targets
// announce, targets that turn cold, data centres that are evacuated, and
// targets and hosts that crash, stop answering, freeze, are isolated or
// replaced.
//
//   gateway_search --seeds N [--first S]   runs a range of seeds
//   gateway_search --show S                minimizes the schedule of one seed
//   gateway_search --plant facts           loses all gossip messages; the exit
//                                          code is 1 if a violation is found
#include "fakes/gateway_schedule.h"
#include "fakes/options.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace geraniumpond;

fakes::GatewaySchedule MakeSchedule(std::uint64_t aSeed, bool aDropsGossip)
{
  fakes::GatewaySchedule schedule = fakes::MakeGatewaySchedule(aSeed);
  schedule.mDropsGossip = aDropsGossip;
  return schedule;
}

int Show(std::uint64_t aSeed, bool aDropsGossip)
{
  const fakes::GatewaySchedule whole = MakeSchedule(aSeed, aDropsGossip);
  const fakes::GatewayOutcome outcome = fakes::RunGatewaySchedule(whole);
  if (outcome.mViolation.empty()) {
    std::cout << "no violation\n" << fakes::Describe(whole) << std::flush;
    return 0;
  }
  const fakes::GatewaySchedule smallest = fakes::ShrinkGatewaySchedule(whole);
  std::cout << "violation: " << fakes::RunGatewaySchedule(smallest).mViolation
            << "\n"
            << fakes::Describe(smallest) << std::flush;
  return 1;
}

int Search(std::uint64_t aFirst, std::uint64_t aSeeds, bool aDropsGossip)
{
  int violations = 0;
  long harmlessRefused = 0;
  long offered = 0;
  std::size_t maxCrashes = 0;
  for (std::uint64_t seed = aFirst; seed < aFirst + aSeeds; ++seed) {
    const fakes::GatewayOutcome outcome =
      fakes::RunGatewaySchedule(MakeSchedule(seed, aDropsGossip));
    harmlessRefused += outcome.mHarmlessRefused;
    offered += outcome.mOffered;
    maxCrashes = std::max(maxCrashes, outcome.mMaxCrashes);
    if (!outcome.mViolation.empty()) {
      ++violations;
      std::cout << "seed " << seed << ": " << outcome.mViolation << std::endl;
    }
  }
  std::cout << aSeeds << " seeds, " << violations << " with a violation; "
            << harmlessRefused << " of " << offered
            << " harmless requests refused; at most " << maxCrashes
            << " targets crashed by one request" << std::endl;
  return violations == 0 ? 0 : 1;
}

} // namespace

int main(int aCount, char** aWords)
{
  const fakes::Options options = fakes::ParseOptions(aCount, aWords);
  const bool plant = options.Text("plant") == "facts";
  if (!options.Text("show").empty()) {
    return Show(static_cast<std::uint64_t>(options.Number("show", 1)), plant);
  }
  return Search(static_cast<std::uint64_t>(options.Number("first", 1)),
                static_cast<std::uint64_t>(options.Number("seeds", 60)),
                plant);
}
