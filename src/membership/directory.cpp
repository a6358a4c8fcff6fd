#include <geraniumpond/membership.h>

#include <geraniumpond/hash.h>

#include <algorithm>
#include <set>

namespace geraniumpond::membership {

namespace {

std::uint64_t DigestOf(const wire::Fact& aFact)
{
  const std::string text = std::to_string(aFact.kind()) + "/" +
                           aFact.service() + "/" + aFact.id() + "/" +
                           std::to_string(aFact.incarnation()) + "/" +
                           std::to_string(aFact.sequence()) + "/" +
                           std::to_string(aFact.drain_sequence());
  return Hash64(text);
}

const std::string& GroupOf(const wire::Fact& aFact)
{
  return aFact.service();
}

void ToggleDigest(Directory& aDirectory, const wire::Fact& aFact)
{
  const std::uint64_t digest = DigestOf(aFact);
  aDirectory.mDigests[GroupOf(aFact)] ^= digest;
  aDirectory.mRoot ^= digest;
}

// Equal sequences mean that two hosts wrote concurrently; the larger origin
// wins on every host.
bool LeaseIsNewer(const wire::Fact& aNew, const wire::Fact& aOld)
{
  return std::pair(aNew.sequence(), aNew.origin()) >
         std::pair(aOld.sequence(), aOld.origin());
}

wire::Fact MergeFacts(const wire::Fact& aOld, const wire::Fact& aNew)
{
  if (aNew.incarnation() != aOld.incarnation()) {
    return aNew.incarnation() > aOld.incarnation() ? aNew : aOld;
  }
  wire::Fact merged = LeaseIsNewer(aNew, aOld) ? aNew : aOld;
  merged.set_drain_sequence(
    std::max(aNew.drain_sequence(), aOld.drain_sequence()));
  return merged;
}

bool Same(const wire::Fact& aLeft, const wire::Fact& aRight)
{
  return aLeft.incarnation() == aRight.incarnation() &&
         aLeft.sequence() == aRight.sequence() &&
         aLeft.origin() == aRight.origin() &&
         aLeft.drain_sequence() == aRight.drain_sequence();
}

std::uint64_t RankOf(const std::string& aName, const std::string& aHost)
{
  return Hash64(aHost, Hash64(aName));
}

std::vector<const wire::Fact*> Ranked(std::vector<const wire::Fact*> aHosts,
                                      const std::string& aName)
{
  std::sort(aHosts.begin(),
            aHosts.end(),
            [&](const wire::Fact* aLeft, const wire::Fact* aRight) {
              return RankOf(aName, aLeft->id()) > RankOf(aName, aRight->id());
            });
  return aHosts;
}

} // namespace

FactKey KeyOf(const wire::Fact& aFact)
{
  return { aFact.kind(), aFact.service(), aFact.id() };
}

bool IsDraining(const wire::Fact& aFact) noexcept
{
  return aFact.drain_sequence() % 2 == 1;
}

bool Merge(Directory& aDirectory, const wire::Fact& aFact, Micros aNow)
{
  const FactKey key = KeyOf(aFact);
  const auto found = aDirectory.mFacts.find(key);
  if (found == aDirectory.mFacts.end()) {
    aDirectory.mFacts[key] = { aFact, aNow };
    ToggleDigest(aDirectory, aFact);
    return true;
  }
  wire::Fact merged = MergeFacts(found->second.mFact, aFact);
  if (Same(merged, found->second.mFact)) {
    return false;
  }
  ToggleDigest(aDirectory, found->second.mFact);
  ToggleDigest(aDirectory, merged);
  found->second = { std::move(merged), aNow };
  return true;
}

const wire::Fact* Find(const Directory& aDirectory,
                       const FactKey& aKey) noexcept
{
  const auto found = aDirectory.mFacts.find(aKey);
  return found == aDirectory.mFacts.end() ? nullptr : &found->second.mFact;
}

std::vector<const wire::Fact*> Hosts(const Directory& aDirectory)
{
  std::vector<const wire::Fact*> hosts;
  for (const wire::Fact* fact : FactsOf(aDirectory, "")) {
    if (!fact->gone()) {
      hosts.push_back(fact);
    }
  }
  return hosts;
}

std::vector<const wire::Fact*> FactsOf(const Directory& aDirectory,
                                       const std::string& aService)
{
  const wire::FactKind kind =
    aService.empty() ? wire::FACT_HOST : wire::FACT_TARGET;
  std::vector<const wire::Fact*> facts;
  auto it = aDirectory.mFacts.lower_bound({ kind, aService, "" });
  while (it != aDirectory.mFacts.end() && std::get<0>(it->first) == kind &&
         std::get<1>(it->first) == aService) {
    facts.push_back(&it->second.mFact);
    ++it;
  }
  return facts;
}

void RemoveGone(Directory& aDirectory, Micros aNow, Micros aAge)
{
  for (auto it = aDirectory.mFacts.begin(); it != aDirectory.mFacts.end();) {
    if (it->second.mFact.gone() && aNow - it->second.mChangedAt > aAge) {
      ToggleDigest(aDirectory, it->second.mFact);
      it = aDirectory.mFacts.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<const wire::Fact*> EntriesOf(const Directory& aDirectory,
                                         const std::string& aService,
                                         int aCount)
{
  std::vector<const wire::Fact*> hosts;
  for (const wire::Fact* host : Hosts(aDirectory)) {
    if (host->entry_role() && !IsDraining(*host)) {
      hosts.push_back(host);
    }
  }
  hosts = Ranked(std::move(hosts), aService);
  if (static_cast<int>(hosts.size()) > aCount) {
    hosts.resize(static_cast<std::size_t>(aCount));
  }
  return hosts;
}

const wire::Fact* AssignedEntry(const std::vector<const wire::Fact*>& aEntries,
                                const wire::Fact& aTarget)
{
  const wire::Fact* best = nullptr;
  std::pair<bool, std::uint64_t> bestRank;
  for (const wire::Fact* entry : aEntries) {
    const std::pair rank(entry->data_centre() == aTarget.data_centre(),
                         RankOf(aTarget.id(), entry->id()));
    if (best == nullptr || rank > bestRank) {
      best = entry;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<const wire::Fact*> Successors(const Directory& aDirectory,
                                          const std::string& aSelf,
                                          int aCount)
{
  const std::vector<const wire::Fact*> hosts = Hosts(aDirectory);
  std::vector<const wire::Fact*> result;
  const auto self =
    std::find_if(hosts.begin(), hosts.end(), [&](const wire::Fact* aHost) {
      return aHost->id() >= aSelf;
    });
  const auto start = static_cast<std::size_t>(self - hosts.begin());
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const wire::Fact* host = hosts[(start + i) % hosts.size()];
    if (host->id() != aSelf && static_cast<int>(result.size()) < aCount) {
      result.push_back(host);
    }
  }
  return result;
}

ChangeRecipients SelectRecipients(const Directory& aDirectory,
                                  const std::string& aSelf,
                                  const std::string& aDataCentre,
                                  std::uint64_t aSalt)
{
  ChangeRecipients recipients;
  std::map<std::string, std::vector<const wire::Fact*>> others;
  for (const wire::Fact* host : Hosts(aDirectory)) {
    if (host->id() == aSelf) {
      continue;
    }
    if (host->data_centre() == aDataCentre) {
      recipients.mLocal.push_back(host);
    } else {
      others[host->data_centre()].push_back(host);
    }
  }
  for (const auto& [name, hosts] : others) {
    recipients.mRelays.push_back(hosts[aSalt % hosts.size()]);
  }
  return recipients;
}

} // namespace geraniumpond::membership
