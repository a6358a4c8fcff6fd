#include "context.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::node {

namespace {

constexpr Micros kGossipInterval = kSecond;
// One gossip exchange in this many goes to a seed host, so that two partitions
// that consider each other gone merge again after the network heals.
constexpr std::uint64_t kSeedEvery = 4;
// Maximum number of targets of one service that an entry host uses.
constexpr std::size_t kMaxTargetsPerService = 64;

void Push(Context& aContext,
          const std::string& aTo,
          const std::vector<wire::Fact>& aFacts,
          bool aRelay)
{
  wire::PeerMessage message;
  wire::FactPush& push = *message.mutable_fact_push();
  for (const wire::Fact& fact : aFacts) {
    *push.add_facts() = fact;
  }
  push.set_relay(aRelay);
  // A change is sent even over budget; charging it delays gossip instead.
  (void)budget::Take(aContext.mState.mHostBudget,
                     aContext.mNow,
                     static_cast<double>(message.ByteSizeLong()));
  SendTo(aContext, aTo, std::move(message));
}

void Spread(Context& aContext,
            const std::vector<wire::Fact>& aFacts,
            bool aAcross)
{
  if (aFacts.empty()) {
    return;
  }
  ForEachPushRecipient(
    aContext, aAcross, [&](const std::string& aHost, bool aRelay) {
      Push(aContext, aHost, aFacts, aRelay);
    });
}

// Whether a fact claims that the running incarnation of this host is gone.
bool MustRefute(const State& aState, const wire::Fact& aFact)
{
  return aFact.kind() == wire::FACT_HOST &&
         aFact.id() == aState.mSettings.id() &&
         aFact.incarnation() == aState.mIncarnation && aFact.gone();
}

// Decides for each target of the service whether this host is the entry host
// that prefers it.
void UpdatePreferredTargets(State& aState, const std::string& aService)
{
  const auto rules = aState.mDeployment.mServices.find(aService);
  if (rules == aState.mDeployment.mServices.end()) {
    return;
  }
  routing::TargetSet& set = aState.mServices[aService].mTargets;
  const auto entries =
    membership::EntriesOf(aState.mDirectory, aService, rules->second.mEntries);
  set.mRules.mEntries = static_cast<int>(entries.size());
  for (routing::Target& target : set.mTargets) {
    const wire::Fact* fact = membership::Find(
      aState.mDirectory, { wire::FACT_TARGET, aService, target.mId });
    const wire::Fact* home =
      fact == nullptr ? nullptr : membership::AssignedEntry(entries, *fact);
    target.mPreferred = home == nullptr || home->id() == aState.mSettings.id();
  }
}

void HandleFactChange(Context& aContext, const wire::Fact& aFact)
{
  if (aFact.kind() == wire::FACT_TARGET) {
    SyncTargets(aContext, aFact.service());
    return;
  }
  // The entry hosts of each service depend on the set of known hosts.
  for (const auto& [name, service] : aContext.mState.mServices) {
    UpdatePreferredTargets(aContext.mState, name);
  }
}

// Merges the facts; returns those that changed the directory, in order.
std::vector<wire::Fact> MergeAll(Context& aContext,
                                 const wire::FactPush& aMessage)
{
  std::vector<wire::Fact> changed;
  State& state = aContext.mState;
  for (const wire::Fact& fact : aMessage.facts()) {
    if (!membership::Merge(state.mDirectory, fact, aContext.mNow)) {
      continue;
    }
    const wire::Fact now =
      *membership::Find(state.mDirectory, membership::KeyOf(fact));
    changed.push_back(now);
    HandleFactChange(aContext, now);
    if (MustRefute(state, now)) {
      AnnounceSelf(aContext);
    }
  }
  return changed;
}

std::string GossipPartner(Context& aContext)
{
  State& state = aContext.mState;
  std::vector<std::string> partners;
  const bool seed = aContext.NextRandom() % kSeedEvery == 0;
  for (const wire::Fact* host : membership::Hosts(state.mDirectory)) {
    if (!seed && host->id() != aContext.Self()) {
      partners.push_back(host->id());
    }
  }
  if (partners.empty()) {
    for (const wire::Peer& peer : state.mSettings.voters()) {
      partners.push_back(peer.id());
    }
    for (const wire::Peer& peer : state.mSettings.seeds()) {
      partners.push_back(peer.id());
    }
    partners.erase(
      std::remove(partners.begin(), partners.end(), aContext.Self()),
      partners.end());
  }
  return partners.empty() ? std::string()
                          : partners[aContext.NextRandom() % partners.size()];
}

void OfferDigests(Context& aContext, const std::string& aTo, bool aWhole)
{
  const membership::Directory& directory = aContext.mState.mDirectory;
  wire::PeerMessage message;
  wire::DigestOffer& offer = *message.mutable_digest_offer();
  offer.set_root(directory.mRoot);
  if (aWhole) {
    for (const auto& [service, digest] : directory.mDigests) {
      wire::DigestEntry& entry = *offer.add_digests();
      entry.set_service(service);
      entry.set_digest(digest);
    }
  }
  if (budget::Take(aContext.mState.mHostBudget,
                   aContext.mNow,
                   static_cast<double>(message.ByteSizeLong()))) {
    SendTo(aContext, aTo, std::move(message));
  } else {
    aContext.Count("gossip_over_budget");
  }
}

std::set<std::string> DifferingServices(const membership::Directory& aDirectory,
                                        const wire::DigestOffer& aOffer)
{
  std::set<std::string> differing;
  std::set<std::string> offered;
  for (const wire::DigestEntry& entry : aOffer.digests()) {
    offered.insert(entry.service());
    const auto found = aDirectory.mDigests.find(entry.service());
    if (found == aDirectory.mDigests.end() || found->second != entry.digest()) {
      differing.insert(entry.service());
    }
  }
  for (const auto& [service, digest] : aDirectory.mDigests) {
    if (digest != 0 && offered.count(service) == 0) {
      differing.insert(service);
    }
  }
  return differing;
}

void PushServices(Context& aContext,
                  const std::string& aTo,
                  const std::set<std::string>& aServices)
{
  std::vector<wire::Fact> facts;
  for (const std::string& service : aServices) {
    for (const wire::Fact* fact :
         membership::FactsOf(aContext.mState.mDirectory, service)) {
      facts.push_back(*fact);
    }
  }
  if (!facts.empty()) {
    Push(aContext, aTo, facts, false);
  }
}

routing::Target NewTarget(const wire::Fact& aFact)
{
  routing::Target target;
  target.mId = aFact.id();
  target.mIncarnation = aFact.incarnation();
  target.mStartedAt = aFact.started_at_us();
  return target;
}

void UpdateTarget(routing::Target& aTarget, const wire::Fact& aFact)
{
  if (aTarget.mIncarnation != aFact.incarnation()) {
    // A new incarnation invalidates everything measured for the old one.
    aTarget = NewTarget(aFact);
  }
  aTarget.mAddress = aFact.address();
  aTarget.mDataCentre = aFact.data_centre();
  aTarget.mSlots = std::max<int>(1, static_cast<int>(aFact.slots()));
  aTarget.mDraining = membership::IsDraining(aFact);
}

// Targets that this entry host uses: all of them for a small service, otherwise
// a subset chosen by rendezvous hashing, so that every target is used by about
// the same number of entry hosts.
std::vector<const wire::Fact*> SelectTargets(const State& aState,
                                             const std::string& aService)
{
  std::vector<const wire::Fact*> live;
  for (const wire::Fact* fact :
       membership::FactsOf(aState.mDirectory, aService)) {
    if (!fact->gone()) {
      live.push_back(fact);
    }
  }
  if (live.size() <= kMaxTargetsPerService) {
    return live;
  }
  const std::uint64_t seed = Hash64(aState.mSettings.id());
  std::sort(live.begin(),
            live.end(),
            [seed](const wire::Fact* aLeft, const wire::Fact* aRight) {
              return Hash64(aLeft->id(), seed) > Hash64(aRight->id(), seed);
            });
  live.resize(kMaxTargetsPerService);
  return live;
}

} // namespace

void ForEachPushRecipient(
  Context& aContext,
  bool aAcross,
  const std::function<void(const std::string&, bool)>& aSend)
{
  const membership::ChangeRecipients spread =
    membership::SelectRecipients(aContext.mState.mDirectory,
                                 aContext.Self(),
                                 aContext.mState.mSettings.data_centre(),
                                 aContext.NextRandom());
  for (const wire::Fact* host : spread.mLocal) {
    aSend(host->id(), false);
  }
  if (!aAcross) {
    return;
  }
  for (const wire::Fact* host : spread.mRelays) {
    aSend(host->id(), true);
  }
}

void Publish(Context& aContext, const wire::Fact& aFact)
{
  State& state = aContext.mState;
  if (!membership::Merge(state.mDirectory, aFact, aContext.mNow)) {
    return;
  }
  const wire::Fact now =
    *membership::Find(state.mDirectory, membership::KeyOf(aFact));
  HandleFactChange(aContext, now);
  Spread(aContext, { now }, true);
}

void HandleFactPush(Context& aContext, const wire::FactPush& aMessage)
{
  const std::vector<wire::Fact> changed = MergeAll(aContext, aMessage);
  if (aMessage.relay()) {
    Spread(aContext, changed, false);
  }
}

void Gossip(Context& aContext)
{
  aContext.mState.mGossipAt = aContext.mNow + kGossipInterval;
  const std::string partner = GossipPartner(aContext);
  if (!partner.empty()) {
    OfferDigests(aContext, partner, false);
  }
}

void HandleDigestOffer(Context& aContext,
                       const std::string& aFrom,
                       const wire::DigestOffer& aMessage)
{
  const membership::Directory& directory = aContext.mState.mDirectory;
  if (aMessage.root() == directory.mRoot) {
    return;
  }
  if (aMessage.digests().empty()) {
    OfferDigests(aContext, aFrom, true);
    return;
  }
  aContext.Count("anti_entropy_repairs");
  const std::set<std::string> differing =
    DifferingServices(directory, aMessage);
  PushServices(aContext, aFrom, differing);
  wire::PeerMessage message;
  for (const std::string& service : differing) {
    message.mutable_fact_request()->add_services(service);
  }
  if (!differing.empty()) {
    SendTo(aContext, aFrom, std::move(message));
  }
}

void HandleFactRequest(Context& aContext,
                       const std::string& aFrom,
                       const wire::FactRequest& aMessage)
{
  PushServices(aContext,
               aFrom,
               { aMessage.services().begin(), aMessage.services().end() });
}

void AnnounceSelf(Context& aContext)
{
  State& state = aContext.mState;
  const wire::HostSettings& settings = state.mSettings;
  const wire::Fact* known =
    membership::Find(state.mDirectory, { wire::FACT_HOST, "", settings.id() });
  wire::Fact fact;
  fact.set_kind(wire::FACT_HOST);
  fact.set_id(settings.id());
  fact.set_incarnation(state.mIncarnation);
  fact.set_sequence(known == nullptr ? 1 : known->sequence() + 1);
  fact.set_drain_sequence(known == nullptr ? 0 : known->drain_sequence());
  fact.set_data_centre(settings.data_centre());
  fact.set_address(settings.caller_address());
  fact.set_peer_address(settings.peer_address());
  fact.set_admin_address(settings.admin_address());
  fact.set_origin(settings.id());
  fact.set_entry_role(settings.entry());
  fact.set_control_role(settings.control());
  fact.set_started_at_us(state.mStartedAt);
  Publish(aContext, fact);
}

void SyncTargets(Context& aContext, const std::string& aService)
{
  State& state = aContext.mState;
  const auto service = state.mServices.find(aService);
  if (service == state.mServices.end()) {
    return;
  }
  routing::TargetSet& set = service->second.mTargets;
  std::vector<routing::Target> next;
  for (const wire::Fact* fact : SelectTargets(state, aService)) {
    const routing::Target* known = routing::Find(set, fact->id());
    next.push_back(known == nullptr ? NewTarget(*fact) : *known);
    UpdateTarget(next.back(), *fact);
  }
  set.mTargets = std::move(next);
  UpdatePreferredTargets(state, aService);
  DispatchQueued(aContext, aService);
}

} // namespace geraniumpond::node
