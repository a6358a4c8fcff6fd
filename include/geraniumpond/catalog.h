#pragma once

#include <geraniumpond/result.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "impl/wire.h"

/// \brief The state that the control group replicates for a gateway fleet: the
/// traffic policy and the registered targets.
namespace geraniumpond::catalog {

/// \brief Number of accepted changes remembered, so that resends of them are
/// acknowledged.
constexpr std::size_t kMaxAcceptedChanges = 2000;
/// \brief Number of removed targets remembered, so that a late announcement
/// does not register them again.
constexpr std::size_t kMaxRemovedTargets = 20000;
/// \brief Number of data centres whose evacuations are remembered.
constexpr std::size_t kMaxEvacuations = 1000;

/// \brief Whether the targets of a data centre are withdrawn from service.
struct Evacuation
{
  bool mActive = false;
  /// Increases with each order that is accepted.
  std::uint64_t mRevision = 0;
};

/// \brief State of the replicated state machine; identical on every replica.
struct State
{
  std::uint64_t mVersion = 0;
  /// The change that set the current policy.
  wire::PutPolicy mChange;
  /// Its document, as the operator wrote it.
  std::string mDocument;
  std::deque<wire::AcceptedChange> mAccepted;
  std::map<std::string, wire::TargetRecord> mTargets;
  /// Id of the target with the latest birth at an address; none of targets
  /// that state no birth. Follows from mTargets.
  std::unordered_map<std::string, std::string> mTargetAt;
  /// Birth time of the latest removed incarnation, by target id.
  std::map<std::string, std::uint64_t> mRemoved;
  /// The ids in mRemoved, in order of removal.
  std::deque<std::string> mRemovedOrder;
  /// By data centre, those whose evacuation has ended included.
  std::map<std::string, Evacuation> mEvacuations;
};

/// \brief Creates a policy change from a document.
[[nodiscard]] wire::PutPolicy MakePolicyChange(std::uint64_t aVersion,
                                               std::uint64_t aBaseVersion,
                                               const std::string& aDocument);

/// \brief The document of a change; Corrupt if it is damaged.
[[nodiscard]] Result<std::string> UnpackDocument(
  const wire::PutPolicy& aChange);

/// \brief Applies one committed command.
[[nodiscard]] wire::CatalogOutcome Apply(State& aState,
                                         const wire::CatalogCommand& aCommand);

/// \brief Replaces the policy without the commands in between, on a host that
/// follows the catalog rather than applying the log. Returns false, and changes
/// nothing, unless the policy is newer and intact.
[[nodiscard]] bool ReplacePolicy(State& aState, const wire::PutPolicy& aChange);

/// \brief True if this incarnation of a target or a later one was removed.
[[nodiscard]] bool IsRemoved(const State& aState,
                             const std::string& aId,
                             std::uint64_t aBornMs);

/// \brief True if applying a target's announcement would change the state.
[[nodiscard]] bool ChangesState(const State& aState,
                                const wire::TargetRecord& aRecord);

/// \brief The same for a state that holds `aKnown` of the target.
[[nodiscard]] bool ChangesRecord(const wire::TargetRecord& aKnown,
                                 const wire::TargetRecord& aRecord);

/// \brief Revision of a data centre's evacuation; 0 if there was none.
[[nodiscard]] std::uint64_t EvacuationRevision(const State& aState,
                                               const std::string& aDataCentre);

/// \brief The data centres whose targets are withdrawn from service.
[[nodiscard]] std::set<std::string> EvacuatedDataCentres(const State& aState);

/// \brief True if a command may change which targets are in service.
[[nodiscard]] bool ChangesTargets(const wire::CatalogCommand& aCommand);

/// \brief Serializes the state; equal states give equal bytes.
[[nodiscard]] std::string Save(const State& aState);

/// \brief Compresses bytes in zlib format.
[[nodiscard]] std::string Compress(const std::string& aBytes);

/// \brief Decompresses the output of Compress(); Corrupt if it is damaged.
[[nodiscard]] Result<std::string> Decompress(const std::string& aPacked);

/// \brief Restores a state from the output of Save().
[[nodiscard]] Result<State> Load(const std::string& aBytes);

} // namespace geraniumpond::catalog
