#include "fakes/durable_copies.h"

#include <geraniumpond/catalog.h>

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

bool PutsVersion(const wire::Entry& aEntry, std::uint64_t aVersion)
{
  wire::CatalogCommand command;
  return command.ParseFromString(aEntry.command()) &&
         command.has_put_policy() && command.put_policy().version() == aVersion;
}

bool Holds(const consensus::Recovered& aDisk, std::uint64_t aVersion)
{
  const auto& entries = aDisk.mEntries;
  if (std::any_of(entries.begin(), entries.end(), [&](const auto& aEntry) {
        return PutsVersion(aEntry, aVersion);
      })) {
    return true;
  }
  const Result<catalog::State> snapshot =
    catalog::Load(aDisk.mSnapshot.state());
  return snapshot && snapshot.value().mVersion >= aVersion;
}

} // namespace

int DurableCopies(const FleetSimulation& aSimulation,
                  const std::vector<std::string>& aHosts,
                  std::uint64_t aVersion)
{
  return static_cast<int>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const auto& aHost) {
      return Holds(aSimulation.At(aHost).mSyncedDisk, aVersion);
    }));
}

} // namespace geraniumpond::fakes
