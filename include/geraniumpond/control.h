#pragma once

#include <geraniumpond/idempotency.h>
#include <geraniumpond/result.h>

#include <deque>
#include <map>
#include <string>

/// \brief State machine replicated by the control group: deployments and
/// idempotency records.
namespace geraniumpond::control {

/// \brief Number of deployments kept for `show config --version`.
constexpr std::size_t kMaxHistory = 50;
/// \brief Number of change ids whose outcome is kept, to answer repeats.
constexpr std::size_t kMaxChanges = 20000;

/// \brief The replicated state machine.
struct State
{
  std::deque<wire::DeploymentVersion> mHistory;
  std::map<std::string, wire::ChangeOutcome> mChanges;
  std::deque<std::string> mChangeOrder;
  idempotency::Table mKeys;
  /// Time of the last command; never decreases.
  Micros mTime = 0;
};

/// \brief Applies a committed command; deterministic on every replica.
[[nodiscard]] wire::CommandOutcome Apply(State& aState,
                                         const wire::Command& aCommand);

/// \brief Shrinks a command for the log: the text of a deployment based on the
/// current one is replaced by a delta.
void Compact(const State& aState, wire::Command& aCommand);

/// \brief The current deployment, or null before the first one.
[[nodiscard]] const wire::DeploymentVersion* Latest(
  const State& aState) noexcept;

/// \brief Serializes the state as a snapshot; equal states give equal bytes.
[[nodiscard]] std::string Save(const State& aState);

/// \brief Parses a snapshot.
[[nodiscard]] Result<State> Load(const std::string& aBytes);

} // namespace geraniumpond::control
