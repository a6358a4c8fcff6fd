#pragma once

#include "fakes/fleet_simulation.h"

#include <random>
#include <string>
#include <vector>

/// \brief Operators who read the policy from random hosts during a schedule.
namespace geraniumpond::fakes {

/// \brief Sends reads and checks that no answer is older than the version that
/// was acknowledged before the read was sent.
class PolicyReaders
{
public:
  PolicyReaders(FleetSimulation& aSimulation, std::uint64_t aSeed);

  /// \brief Checks the answers to pending reads, and sends a read to one of
  /// these hosts when the next one is due. Returns the violation found, or an
  /// empty string.
  std::string Poll(const std::vector<std::string>& aHosts,
                   std::uint64_t aAcknowledged);

  /// Number of reads that were answered.
  std::uint64_t mAnswered = 0;

private:
  struct PendingRead
  {
    std::string mHost;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mId = 0;
    /// Newest version acknowledged when the read was sent.
    std::uint64_t mMinVersion = 0;
  };

  void Send(const std::string& aHost, std::uint64_t aAcknowledged);
  /// \brief True if the read has ended, also because its host has restarted.
  bool CheckAnswer(const PendingRead& aRead, std::string& aViolation);

  FleetSimulation& mSimulation;
  std::mt19937_64 mRandom;
  Micros mNextAt = 0;
  std::vector<PendingRead> mPendingReads;
};

} // namespace geraniumpond::fakes
