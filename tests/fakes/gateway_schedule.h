#pragma once

#include "fakes/gateway_world.h"

#include <cstdint>
#include <string>
#include <vector>

/// \brief Random fault schedules for simulated gateway hosts, generated from a
/// seed, and the guarantees that must hold under them.
namespace geraniumpond::fakes {

enum class GatewayFault
{
  /// A request that crashes every target that runs it is sent repeatedly.
  Harmful,
  /// A target announces a limit.
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
  /// An operator withdraws a data centre's targets from service, and returns
  /// them to it after the step's duration.
  Evacuation,
  /// The targets of a data centre turn cold.
  DataCentreCold,
};
[[nodiscard]] const char* ToString(GatewayFault aFault) noexcept;

/// \brief One fault: kind, time, duration and subject.
struct GatewayStep
{
  Micros mAt = 0;
  GatewayFault mFault = GatewayFault::Harmful;
  Micros mDuration = 0;
  /// Index of the host or target, modulo their number.
  std::size_t mSubject = 0;
  /// Limit or rate of harmful requests, in requests per second.
  double mRate = 0;
};

struct GatewaySchedule
{
  std::uint64_t mSeed = 0;
  GatewayLoad mLoad;
  std::vector<GatewayStep> mSteps;
  /// Injected fault: all gossip messages are lost.
  bool mDropsGossip = false;
};

[[nodiscard]] GatewaySchedule MakeGatewaySchedule(std::uint64_t aSeed);

/// \brief Result of running a schedule.
struct GatewayOutcome
{
  /// The first violated guarantee; empty for none.
  std::string mViolation;
  /// Harmless requests that were refused as quarantined.
  int mHarmlessRefused = 0;
  int mOffered = 0;
  /// Maximum number of targets crashed by one harmful request.
  std::size_t mMaxCrashes = 0;
};

[[nodiscard]] GatewayOutcome RunGatewaySchedule(
  const GatewaySchedule& aSchedule);

/// \brief Removes steps that are not needed to violate a guarantee.
[[nodiscard]] GatewaySchedule ShrinkGatewaySchedule(GatewaySchedule aSchedule);

[[nodiscard]] std::string Describe(const GatewaySchedule& aSchedule);

} // namespace geraniumpond::fakes
