#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "impl/wire.h"

/// \brief The replicated directory of hosts and targets.
///
/// A fact merges like a pair of counters, as in a CRDT: reordering, loss and
/// repetition of messages do not change the result, and no older report undoes
/// a drain.
namespace geraniumpond::membership {

/// \brief Identity of a fact: kind, service, id.
using FactKey = std::tuple<wire::FactKind, std::string, std::string>;

/// \brief A fact and the time of its last change on this host.
struct DirectoryEntry
{
  wire::Fact mFact;
  Micros mChangedAt = 0;
};

/// \brief All facts known to a host, with a digest per service.
struct Directory
{
  std::map<FactKey, DirectoryEntry> mFacts;
  /// XOR of the hashes of each service's facts; hosts are under "".
  std::map<std::string, std::uint64_t> mDigests;
  std::uint64_t mRoot = 0;
};

[[nodiscard]] FactKey KeyOf(const wire::Fact& aFact);

/// \brief True while the fact's drain sequence is odd.
[[nodiscard]] bool IsDraining(const wire::Fact& aFact) noexcept;

/// \brief Merges a fact into the directory; true when the directory changed.
bool Merge(Directory& aDirectory, const wire::Fact& aFact, Micros aNow);

/// \brief The fact with this key, or null.
[[nodiscard]] const wire::Fact* Find(const Directory& aDirectory,
                                     const FactKey& aKey) noexcept;

/// \brief Hosts that are not gone, ordered by id.
[[nodiscard]] std::vector<const wire::Fact*> Hosts(const Directory& aDirectory);

/// \brief Facts of one service ("" for hosts), including gone ones.
[[nodiscard]] std::vector<const wire::Fact*> FactsOf(
  const Directory& aDirectory,
  const std::string& aService);

/// \brief Removes facts that have been gone for longer than `aAge`.
void RemoveGone(Directory& aDirectory, Micros aNow, Micros aAge);

/// \brief The `aCount` entries of a service, highest rank first, by rendezvous
/// hashing over the entry hosts that are neither gone nor draining.
[[nodiscard]] std::vector<const wire::Fact*>
EntriesOf(const Directory& aDirectory, const std::string& aService, int aCount);

/// \brief The entry among `aEntries` to which a target is assigned, by
/// rendezvous hashing; entries in the target's data centre come first.
[[nodiscard]] const wire::Fact* AssignedEntry(
  const std::vector<const wire::Fact*>& aEntries,
  const wire::Fact& aTarget);

/// \brief Up to `aCount` hosts that follow `aSelf` in its data centre's ring.
[[nodiscard]] std::vector<const wire::Fact*>
Successors(const Directory& aDirectory, const std::string& aSelf, int aCount);

/// \brief Recipients of a change: hosts of the same data centre, and one relay
/// in each other data centre.
struct ChangeRecipients
{
  std::vector<const wire::Fact*> mLocal;
  std::vector<const wire::Fact*> mRelays;
};

[[nodiscard]] ChangeRecipients SelectRecipients(const Directory& aDirectory,
                                                const std::string& aSelf,
                                                const std::string& aDataCentre,
                                                std::uint64_t aSalt);

} // namespace geraniumpond::membership
