#include <geraniumpond/idempotency.h>

namespace geraniumpond::idempotency {

namespace {

wire::KeyRecord Absent(const std::string& aKey)
{
  wire::KeyRecord record;
  record.set_key(aKey);
  record.set_phase(wire::KEY_ABSENT);
  return record;
}

// A claim that arrives after its own release is a delayed copy and is ignored.
bool MayReplace(const wire::KeyRecord& aRecord, const wire::ClaimKey& aClaim)
{
  return aRecord.phase() == wire::KEY_RELEASED &&
         !IsOwnedBy(aRecord,
                    aClaim.owner(),
                    aClaim.owner_incarnation(),
                    aClaim.attempt());
}

void Erase(Table& aTable, const std::string& aKey)
{
  const auto found = aTable.mRecords.find(aKey);
  if (found != aTable.mRecords.end()) {
    aTable.mExpiries.erase({ found->second.expires_at_us(), aKey });
    aTable.mRecords.erase(found);
  }
}

template<class Command>
wire::KeyRecord* FindOwned(Table& aTable, const Command& aCommand)
{
  const auto found = aTable.mRecords.find(aCommand.key());
  if (found == aTable.mRecords.end() ||
      found->second.phase() != wire::KEY_CLAIMED ||
      !IsOwnedBy(found->second,
                 aCommand.owner(),
                 aCommand.owner_incarnation(),
                 aCommand.attempt())) {
    return nullptr;
  }
  return &found->second;
}

wire::KeyRecord Current(const Table& aTable, const std::string& aKey)
{
  const auto found = aTable.mRecords.find(aKey);
  return found == aTable.mRecords.end() ? Absent(aKey) : found->second;
}

} // namespace

std::string ScopedKey(const std::string& aCaller,
                      const std::string& aService,
                      const std::string& aKey)
{
  // Names of callers and services contain no '/', so that a caller cannot form
  // a key in another scope.
  return aCaller + "/" + aService + "/" + aKey;
}

wire::KeyRecord Claim(Table& aTable, const wire::ClaimKey& aClaim, Micros aNow)
{
  Expire(aTable, aNow);
  const auto found = aTable.mRecords.find(aClaim.key());
  if (found != aTable.mRecords.end() && !MayReplace(found->second, aClaim)) {
    return found->second;
  }
  Erase(aTable, aClaim.key());
  wire::KeyRecord record;
  record.set_key(aClaim.key());
  record.set_body_digest(aClaim.body_digest());
  record.set_phase(wire::KEY_CLAIMED);
  record.set_owner(aClaim.owner());
  record.set_owner_incarnation(aClaim.owner_incarnation());
  record.set_attempt(aClaim.attempt());
  record.set_expires_at_us(aClaim.expires_at_us());
  aTable.mRecords[aClaim.key()] = record;
  aTable.mExpiries.insert({ aClaim.expires_at_us(), aClaim.key() });
  return record;
}

wire::KeyRecord Complete(Table& aTable, const wire::CompleteKey& aComplete)
{
  wire::KeyRecord* record = FindOwned(aTable, aComplete);
  if (record == nullptr) {
    return Current(aTable, aComplete.key());
  }
  if (aComplete.has_answer()) {
    record->set_phase(wire::KEY_DONE);
    *record->mutable_answer() = aComplete.answer();
  } else {
    record->set_phase(wire::KEY_UNKNOWN);
  }
  return *record;
}

wire::KeyRecord Release(Table& aTable,
                        const wire::ReleaseKey& aRelease,
                        Micros aNow)
{
  const auto found = aTable.mRecords.find(aRelease.key());
  const bool absent = found == aTable.mRecords.end();
  if (!absent && FindOwned(aTable, aRelease) == nullptr) {
    return found->second;
  }
  Erase(aTable, aRelease.key());
  wire::KeyRecord record = Absent(aRelease.key());
  record.set_phase(wire::KEY_RELEASED);
  record.set_owner(aRelease.owner());
  record.set_owner_incarnation(aRelease.owner_incarnation());
  record.set_attempt(aRelease.attempt());
  record.set_expires_at_us(aNow + kReleaseRetention);
  aTable.mRecords[aRelease.key()] = record;
  aTable.mExpiries.insert({ record.expires_at_us(), aRelease.key() });
  return record;
}

void Expire(Table& aTable, Micros aNow)
{
  while (!aTable.mExpiries.empty() && aTable.mExpiries.begin()->first <= aNow) {
    aTable.mRecords.erase(aTable.mExpiries.begin()->second);
    aTable.mExpiries.erase(aTable.mExpiries.begin());
  }
}

bool IsOwnedBy(const wire::KeyRecord& aRecord,
               const std::string& aOwner,
               std::uint64_t aIncarnation,
               std::uint64_t aAttempt) noexcept
{
  return aRecord.owner() == aOwner &&
         aRecord.owner_incarnation() == aIncarnation &&
         aRecord.attempt() == aAttempt;
}

} // namespace geraniumpond::idempotency
