#include "fakes/dispatch_world.h"

#include <cstdio>
#include <cstdlib>

/// \brief Measures the outcomes of clients' requests by load: many hosts,
/// targets with few slots whose speed changes every half second.
namespace {

using geraniumpond::fakes::DispatchLoad;
using geraniumpond::fakes::DispatchOutcomes;
using geraniumpond::fakes::DispatchWorld;

void RunLoad(const char* aName, const DispatchLoad& aLoad)
{
  DispatchWorld world(aLoad, 7);
  world.AddTargets();
  const DispatchOutcomes outcomes = world.RunLoad(20 * geraniumpond::kSecond);
  const double offered = outcomes.mOffered;
  std::printf("%-26s %8d %8.3f %8.3f %8.3f %8.3f %8.2f %8.2f %10zu\n",
              aName,
              outcomes.mOffered,
              outcomes.mInTime / offered,
              outcomes.mLate / offered,
              outcomes.mRefused / offered,
              outcomes.mFailed / offered,
              outcomes.mSends / offered,
              outcomes.mProbes / offered,
              outcomes.mContacts);
}

} // namespace

int main()
{
  std::printf("%-26s %8s %8s %8s %8s %8s %8s %8s %10s\n",
              "load",
              "offered",
              "in time",
              "late",
              "refused",
              "failed",
              "sends",
              "probes",
              "meetings");
  for (const double share : { 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 1.7 }) {
    for (const bool idempotent : { true, false }) {
      DispatchLoad load;
      load.mIdempotent = idempotent;
      // Throughput of the targets of usual speed, one request at a time each.
      const double room = load.mTargets * (1 - load.mSlowShare) *
                          geraniumpond::kSecond /
                          static_cast<double>(load.mWork);
      load.mPerSecond = share * room;
      char name[64];
      std::snprintf(name,
                    sizeof(name),
                    "%s %.0f %%",
                    idempotent ? "idempotent" : "once only",
                    100 * share);
      RunLoad(name, load);
    }
  }
  return EXIT_SUCCESS;
}
