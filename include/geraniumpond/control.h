#pragma once

#include <geraniumpond/idempotency.h>
#include <geraniumpond/result.h>

#include <deque>
#include <map>
#include <string>

/// \brief What the control group replicates: deployments and key records.
namespace geraniumpond::control {

/// \brief Deployments kept for `show config --version`.
constexpr std::size_t kHistory = 50;
/// \brief Change ids whose first outcome is told again.
constexpr std::size_t kChanges = 20000;

/// \brief The replicated state machine.
struct State
{
  std::deque<wire::DeploymentVersion> mHistory;
  std::map<std::string, wire::ChangeOutcome> mChanges;
  std::deque<std::string> mChangeOrder;
  idempotency::Table mKeys;
  /// Time of the last command; time never runs backwards here.
  Micros mTime = 0;
};

/// \brief Applies one committed command; equal on every replica.
[[nodiscard]] wire::CommandOutcome Apply(State& aState,
                                         const wire::Command& aCommand);

/// \brief Makes a command smaller for the log: the text of a deployment that
/// builds on the one in force becomes a delta of it.
void Compact(const State& aState, wire::Command& aCommand);

/// \brief The deployment in force, or null before the first one.
[[nodiscard]] const wire::DeploymentVersion* Latest(
  const State& aState) noexcept;

/// \brief The state as snapshot bytes; equal states give equal bytes.
[[nodiscard]] std::string Save(const State& aState);

/// \brief Reads snapshot bytes back.
[[nodiscard]] Result<State> Load(const std::string& aBytes);

} // namespace geraniumpond::control
