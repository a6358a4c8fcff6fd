// Measures the time from the acknowledgement of a policy change until the last
// connected host applies it, by fleet size, tree depth and the faults of other
// hosts.
//
//   change_bench [--changes N] [--hosts N] [--data-centres N]
#include "fakes/change_propagation.h"
#include "fakes/options.h"

#include <cstdio>

namespace {

using geraniumpond::kMillisecond;
using geraniumpond::fakes::ChangeMeasurement;
using geraniumpond::fakes::ChangeScenario;
using geraniumpond::fakes::HostFault;

constexpr HostFault kFaults[] = { HostFault::None,
                                  HostFault::IsolatedFromControl,
                                  HostFault::Suspended,
                                  HostFault::LosePower };
constexpr int kPercents[] = { 0, 40 };

} // namespace

int main(int aCount, char** aWords)
{
  const auto options = geraniumpond::fakes::ParseOptions(aCount, aWords);
  const int changes = static_cast<int>(options.Number("changes", 10));
  ChangeScenario scenario;
  scenario.mHostsWithoutDisk = static_cast<int>(options.Number("hosts", 94));
  scenario.mDataCentres = static_cast<int>(options.Number("data-centres", 3));
  std::printf("hosts   depth  fault                   of hosts  slowest ms  "
              "queries per change\n");
  for (const HostFault fault : kFaults) {
    for (const int percent : kPercents) {
      scenario.mFault = fault;
      scenario.mPercent = percent;
      const ChangeMeasurement measurement =
        geraniumpond::fakes::MeasureChanges(scenario, changes, 36);
      std::printf("%5d  %6d  %-22s  %7s  %10lld  %8.1f\n",
                  scenario.mHostsWithoutDisk,
                  measurement.mTreeDepth,
                  ToString(fault),
                  percent == 0 ? "one" : "40 %",
                  static_cast<long long>(measurement.mSlowest / kMillisecond),
                  static_cast<double>(measurement.mGroupStatusQueries) /
                    changes);
    }
  }
  return 0;
}
