#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "impl/wire.h"

/// \brief The directory of hosts and targets that every host keeps.
///
/// A fact merges like a pair of counters: order, loss and repetition of
/// messages never change the result, and no older report undoes a drain.
namespace geraniumpond::membership {

/// \brief Identity of a fact: kind, service, id.
using FactKey = std::tuple<wire::FactKind, std::string, std::string>;

/// \brief A fact and when it last changed here.
struct Known
{
  wire::Fact mFact;
  Micros mChangedAt = 0;
};

/// \brief All facts known to a host, with a digest per service.
struct Directory
{
  std::map<FactKey, Known> mFacts;
  /// Exclusive-or of the hashes of a service's facts; hosts under "".
  std::map<std::string, std::uint64_t> mDigests;
  std::uint64_t mRoot = 0;
};

[[nodiscard]] FactKey KeyOf(const wire::Fact& aFact);

/// \brief True while a fact's drain register is odd.
[[nodiscard]] bool IsDraining(const wire::Fact& aFact) noexcept;

/// \brief Joins a fact into the directory; true when anything changed.
bool Merge(Directory& aDirectory, const wire::Fact& aFact, Micros aNow);

/// \brief The fact with this key, or null.
[[nodiscard]] const wire::Fact* Find(const Directory& aDirectory,
                                     const FactKey& aKey) noexcept;

/// \brief Hosts that are not gone, in the order of their ids.
[[nodiscard]] std::vector<const wire::Fact*> Hosts(const Directory& aDirectory);

/// \brief Facts of one service ("" for hosts), gone ones included.
[[nodiscard]] std::vector<const wire::Fact*> FactsOf(
  const Directory& aDirectory,
  const std::string& aService);

/// \brief Forgets facts that have been gone for longer than `aAge`.
void Forget(Directory& aDirectory, Micros aNow, Micros aAge);

/// \brief The `aCount` hosts that serve a service, best first: rendezvous
/// hashing over the entry hosts that are neither gone nor draining.
[[nodiscard]] std::vector<const wire::Fact*>
EntriesOf(const Directory& aDirectory, const std::string& aService, int aCount);

/// \brief The entry among `aEntries` that a target is home to: one of the
/// target's own data centre before any other, by rendezvous hashing.
[[nodiscard]] const wire::Fact* HomeOf(
  const std::vector<const wire::Fact*>& aEntries,
  const wire::Fact& aTarget);

/// \brief Hosts of a data centre's ring that follow `aSelf`, `aCount` at most.
[[nodiscard]] std::vector<const wire::Fact*>
Successors(const Directory& aDirectory, const std::string& aSelf, int aCount);

/// \brief Hosts a change is pushed to: the own data centre, and one relay in
/// each other one.
struct Spread
{
  std::vector<const wire::Fact*> mLocal;
  std::vector<const wire::Fact*> mRelays;
};

[[nodiscard]] Spread SpreadFrom(const Directory& aDirectory,
                                const std::string& aSelf,
                                const std::string& aDataCentre,
                                std::uint64_t aSalt);

} // namespace geraniumpond::membership
