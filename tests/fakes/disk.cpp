#include "fakes/disk.h"

#include <geraniumpond/fleet.h>

namespace geraniumpond::fakes {

namespace {

void ApplyRecord(consensus::Recovered& aDisk, const wire::LogRecord& aRecord)
{
  if (aRecord.has_hard_state()) {
    aDisk.mHard = aRecord.hard_state();
  } else if (aRecord.has_entry()) {
    aDisk.mEntries.push_back(aRecord.entry());
  } else {
    while (!aDisk.mEntries.empty() &&
           aDisk.mEntries.back().index() >= aRecord.truncate_from()) {
      aDisk.mEntries.pop_back();
    }
  }
}

} // namespace

consensus::Recovered FreshDisk(const std::vector<std::string>& aSeeds,
                               bool aFounder,
                               std::uint64_t aRandom)
{
  consensus::Recovered disk;
  disk.mHard.set_storage(aFounder ? consensus::kFoundingStorage
                                  : "disk" + std::to_string(aRandom));
  if (aFounder) {
    *disk.mSnapshot.mutable_membership() = fleet::FoundingMembers(aSeeds);
  }
  return disk;
}

void ApplyWrite(consensus::Recovered& aDisk, const consensus::Write& aWrite)
{
  for (const wire::LogRecord& record : aWrite.mRecords) {
    ApplyRecord(aDisk, record);
  }
  if (aWrite.mSnapshot) {
    aDisk.mSnapshot = *aWrite.mSnapshot;
    aDisk.mEntries.clear();
    for (const wire::LogRecord& record : aWrite.mRetainedRecords) {
      ApplyRecord(aDisk, record);
    }
  }
}

} // namespace geraniumpond::fakes
