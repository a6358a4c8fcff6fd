#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "impl/wire.h"

/// \brief Records of idempotency keys: each key is owned by one attempt.
///
/// The table is deterministic: every replica that applies the same commands
/// in the same order holds the same records.
namespace geraniumpond::idempotency {

/// \brief All records that have not expired.
struct Table
{
  std::map<std::string, wire::KeyRecord> mRecords;
  std::set<std::pair<Micros, std::string>> mExpiries;
};

/// \brief Key of a record: the caller's name bounds what a key can reach.
[[nodiscard]] std::string ScopedKey(const std::string& aCaller,
                                    const std::string& aService,
                                    const std::string& aKey);

/// \brief Claims an absent key for its owner; returns the record after it.
///
/// The claim succeeded when the record names the same owner and attempt. A
/// repeated claim finds its own record again.
[[nodiscard]] wire::KeyRecord Claim(Table& aTable,
                                    const wire::ClaimKey& aClaim,
                                    Micros aNow);

/// \brief Stores the answer, or "unknown" when there is none, if the attempt
/// still owns the key.
[[nodiscard]] wire::KeyRecord Complete(Table& aTable,
                                       const wire::CompleteKey& aComplete);

/// \brief How long a release is remembered, so that late copies of its claim
/// do not take the key again.
constexpr Micros kReleaseMemory = 10 * kMinute;

/// \brief Frees a claim whose request provably did not run.
[[nodiscard]] wire::KeyRecord Release(Table& aTable,
                                      const wire::ReleaseKey& aRelease,
                                      Micros aNow);

/// \brief Drops records whose retention has ended.
void Expire(Table& aTable, Micros aNow);

/// \brief True when the record is held by this very attempt.
[[nodiscard]] bool IsOwnedBy(const wire::KeyRecord& aRecord,
                             const std::string& aOwner,
                             std::uint64_t aIncarnation,
                             std::uint64_t aAttempt) noexcept;

} // namespace geraniumpond::idempotency
