#pragma once

#include <geraniumpond/result.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "impl/wire.h"

/// \brief What the control group replicates for a gateway fleet: the traffic
/// policy and the targets that announced themselves.
namespace geraniumpond::catalog {

/// \brief Accepted changes whose resends are still acknowledged.
constexpr std::size_t kAcceptedChanges = 2000;
/// \brief Removed incarnations that a late announcement must not bring back.
constexpr std::size_t kRemovedTargets = 20000;

/// \brief The replicated state machine; equal on every replica.
struct State
{
  std::uint64_t mVersion = 0;
  /// The change that put the policy in force.
  wire::PutPolicy mChange;
  /// Its text, as the operator wrote it.
  std::string mDocument;
  std::deque<wire::AcceptedChange> mAccepted;
  std::map<std::string, wire::TargetRecord> mTargets;
  /// Time of birth of the last incarnation that was removed, by id.
  std::map<std::string, std::uint64_t> mRemoved;
  /// The ids of mRemoved, first removed first.
  std::deque<std::string> mRemovedOrder;
};

/// \brief Makes a change out of an operator's text.
[[nodiscard]] wire::PutPolicy MakeChange(std::uint64_t aVersion,
                                         std::uint64_t aBaseVersion,
                                         const std::string& aDocument);

/// \brief The text of a change; Corrupt when it is not whole.
[[nodiscard]] Result<std::string> DocumentOf(const wire::PutPolicy& aChange);

/// \brief Applies one committed command.
[[nodiscard]] wire::CatalogOutcome Apply(State& aState,
                                         const wire::CatalogCommand& aCommand);

/// \brief Takes a policy ahead of the commands before it, at a host that holds
/// the catalog of others; true when it is newer than the one that is held.
[[nodiscard]] bool TakePolicy(State& aState, const wire::PutPolicy& aChange);

/// \brief True when an incarnation or a later one of its id has been removed.
[[nodiscard]] bool IsRemoved(const State& aState,
                             const std::string& aId,
                             std::uint64_t aBornMs);

/// \brief True when a target's announcement would change the state.
[[nodiscard]] bool IsNews(const State& aState,
                          const wire::TargetRecord& aRecord);

/// \brief The state as snapshot bytes; equal states give equal bytes.
[[nodiscard]] std::string Save(const State& aState);

/// \brief Snapshot bytes, deflated.
[[nodiscard]] std::string Pack(const std::string& aBytes);

/// \brief Snapshot bytes that were deflated; Corrupt when they are not whole.
[[nodiscard]] Result<std::string> Unpack(const std::string& aPacked);

/// \brief Reads snapshot bytes back.
[[nodiscard]] Result<State> Load(const std::string& aBytes);

} // namespace geraniumpond::catalog
