#pragma once

#include "fakes/fleet_simulation.h"

#include <random>
#include <string>
#include <vector>

/// \brief Operators who read the policy from any hosts, all along.
namespace geraniumpond::fakes {

/// \brief Sends reads, and checks that no answer is older than what was
/// acknowledged before its read was sent.
class PolicyReaders
{
public:
  PolicyReaders(FleetSimulation& aSimulation, std::uint64_t aSeed);

  /// \brief Sends a read to one of these hosts when it is time, and takes the
  /// ends of those before; what is wrong, empty for nothing.
  std::string Poll(const std::vector<std::string>& aHosts,
                   std::uint64_t aAcknowledged);

  /// Reads that were answered.
  std::uint64_t mAnswered = 0;

private:
  struct PendingRead
  {
    std::string mHost;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mId = 0;
    /// Newest acknowledged version as it was sent.
    std::uint64_t mMinVersion = 0;
  };

  void Send(const std::string& aHost, std::uint64_t aAcknowledged);
  /// \brief True where the read has ended, or nobody is left who waits for it.
  bool CheckAnswer(const PendingRead& aRead, std::string& aFault);

  FleetSimulation& mSimulation;
  std::mt19937_64 mRandom;
  Micros mNextAt = 0;
  std::vector<PendingRead> mPendingReads;
};

} // namespace geraniumpond::fakes
