#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "impl/wire.h"

/// \brief Records of idempotency keys, each owned by at most one attempt.
///
/// The table is deterministic: replicas that apply the same commands in the
/// same order hold the same records.
namespace geraniumpond::idempotency {

/// \brief The records that have not expired.
struct Table
{
  std::map<std::string, wire::KeyRecord> mRecords;
  std::set<std::pair<Micros, std::string>> mExpiries;
};

/// \brief Key of a record, which isolates callers and services.
[[nodiscard]] std::string ScopedKey(const std::string& aCaller,
                                    const std::string& aService,
                                    const std::string& aKey);

/// \brief Claims a key if it is absent and returns its current record.
///
/// The claim succeeded when the record names the same owner and attempt, so
/// that a repeated claim succeeds too.
[[nodiscard]] wire::KeyRecord Claim(Table& aTable,
                                    const wire::ClaimKey& aClaim,
                                    Micros aNow);

/// \brief Stores the answer if the attempt still owns the key; without an
/// answer, the outcome is recorded as unknown.
[[nodiscard]] wire::KeyRecord Complete(Table& aTable,
                                       const wire::CompleteKey& aComplete);

/// \brief Retention of a released record, so that a delayed copy of its claim
/// does not claim the key again.
constexpr Micros kReleaseRetention = 10 * kMinute;

/// \brief Releases the claim of a request that provably did not run.
[[nodiscard]] wire::KeyRecord Release(Table& aTable,
                                      const wire::ReleaseKey& aRelease,
                                      Micros aNow);

/// \brief Removes expired records.
void Expire(Table& aTable, Micros aNow);

/// \brief True when the record is owned by this attempt.
[[nodiscard]] bool IsOwnedBy(const wire::KeyRecord& aRecord,
                             const std::string& aOwner,
                             std::uint64_t aIncarnation,
                             std::uint64_t aAttempt) noexcept;

} // namespace geraniumpond::idempotency
