#pragma once

#include <geraniumpond/consensus.h>

#include <cstdint>
#include <string>
#include <vector>

/// \brief The content of a simulated host's disk.
namespace geraniumpond::fakes {

/// \brief The disk of a host before its first start; a founder's disk holds the
/// founding members.
[[nodiscard]] consensus::Recovered FreshDisk(
  const std::vector<std::string>& aSeeds,
  bool aFounder,
  std::uint64_t aRandom);

void ApplyWrite(consensus::Recovered& aDisk, const consensus::Write& aWrite);

} // namespace geraniumpond::fakes
