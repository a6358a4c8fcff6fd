#pragma once

#include <geraniumpond/consensus.h>

#include <cstdint>
#include <string>
#include <vector>

/// \brief What a simulated host's disk holds.
namespace geraniumpond::fakes {

/// \brief A disk before its host's first start; a founder's names the group.
[[nodiscard]] consensus::Recovered FreshDisk(
  const std::vector<std::string>& aSeeds,
  bool aFounder,
  std::uint64_t aRandom);

void ApplyWrite(consensus::Recovered& aDisk, const consensus::Write& aWrite);

} // namespace geraniumpond::fakes
