#pragma once

#include "fakes/gateway_world.h"

#include <cstdint>
#include <string>
#include <vector>

/// \brief Schedules of faults around whole gateway hosts, drawn by seed, and
/// the promises that must hold under them.
namespace geraniumpond::fakes {

enum class GatewayFault
{
  /// A request that ends each target that runs it comes again and again.
  Harmful,
  /// A target names a limit.
  Limit,
  TargetEnds,
  TargetsEnd,
  TargetSilent,
  TargetReset,
  TargetReplaced,
  TargetsFail,
  HostKilled,
  HostStopped,
  HostFrozen,
  HostCut,
  ControlKilled,
  AllKilled,
};
[[nodiscard]] const char* ToString(GatewayFault aFault) noexcept;

/// \brief One fault, when, how long, and of what.
struct GatewayStep
{
  Micros mAt = 0;
  GatewayFault mFault = GatewayFault::Harmful;
  Micros mFor = 0;
  /// Which host or target, counted round.
  std::size_t mWhich = 0;
  /// Limits: requests a second. Harmful requests: times a second.
  double mRate = 0;
};

struct GatewaySchedule
{
  std::uint64_t mSeed = 0;
  GatewayLoad mLoad;
  std::vector<GatewayStep> mSteps;
  /// A planted fault: hosts do not hear of each other's facts.
  bool mLosesFacts = false;
};

[[nodiscard]] GatewaySchedule MakeGatewaySchedule(std::uint64_t aSeed);

/// \brief What a play showed.
struct GatewayOutcome
{
  /// The first promise that was broken; empty for none.
  std::string mBroken;
  /// Requests of innocents that were refused as quarantined.
  int mInnocents = 0;
  int mOffered = 0;
  /// Targets that ended under the harmful request of each path, at most.
  std::size_t mMostEnds = 0;
};

[[nodiscard]] GatewayOutcome PlayGatewaySchedule(
  const GatewaySchedule& aSchedule);

/// \brief Drops steps that are not needed to break a promise.
[[nodiscard]] GatewaySchedule ShrinkGatewaySchedule(GatewaySchedule aSchedule);

[[nodiscard]] std::string Describe(const GatewaySchedule& aSchedule);

} // namespace geraniumpond::fakes
