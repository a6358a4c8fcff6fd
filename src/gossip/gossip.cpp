#include <geraniumpond/gossip.h>

#include <algorithm>
#include <limits>

namespace geraniumpond::gossip {

namespace {

/// Minimum interval between messages to one neighbour; facts arrive in bursts.
constexpr Micros kSendInterval = 20 * kMillisecond;
/// Resend interval of an unacknowledged message; it doubles from the minimum to
/// the maximum.
constexpr Micros kResendMin = 300 * kMillisecond;
constexpr Micros kResendMax = 5 * kSecond;
constexpr int kMaxItemsPerMessage = 128;
constexpr Micros kExpireInterval = 1 * kSecond;

constexpr std::array<KindLimits, kKindCount> kKindLimits = {
  KindLimits{ "request_crash", 600 * kSecond, 30 * kSecond, 1024 },
  KindLimits{ "request_answered", 600 * kSecond, 3 * kSecond, 1024 },
  KindLimits{ "target_limit", 600 * kSecond, 60 * kSecond, 4096 },
  KindLimits{ "target_warm_up", 10 * kSecond, 1 * kSecond, 4096 },
};

void RemoveEntry(State& aState, const ItemKey& aKey)
{
  const auto found = aState.mEntries.find(aKey);
  aState.mBySequence.erase(found->second.mSequence);
  --aState.mCounts[static_cast<std::size_t>(aKey.first)];
  aState.mEntries.erase(found);
}

void DropOldest(State& aState, Kind aKind)
{
  const ItemKey* oldest = nullptr;
  Micros seenAt = std::numeric_limits<Micros>::max();
  for (const auto& [key, entry] : aState.mEntries) {
    if (key.first == aKind && entry.mItem.mObservedAt < seenAt) {
      oldest = &key;
      seenAt = entry.mItem.mObservedAt;
    }
  }
  if (oldest != nullptr) {
    ++aState.mDropped;
    RemoveEntry(aState, ItemKey(*oldest));
  }
}

bool IsNew(const State& aState, const Item& aItem)
{
  const auto found = aState.mEntries.find({ aItem.mKind, aItem.mKey });
  if (found == aState.mEntries.end()) {
    return true;
  }
  const Item& known = found->second.mItem;
  const Micros later = aItem.mObservedAt - known.mObservedAt;
  return aItem.mValue == known.mValue
           ? later > KindLimitsOf(aItem.mKind).mRefresh
           : later > 0;
}

bool Merge(State& aState, Micros aNow, Item aItem, const std::string& aFrom)
{
  const KindLimits& limits = KindLimitsOf(aItem.mKind);
  if (aNow - aItem.mObservedAt > limits.mLifetime || !IsNew(aState, aItem)) {
    return false;
  }
  const ItemKey key(aItem.mKind, aItem.mKey);
  if (aState.mEntries.count(key) != 0) {
    RemoveEntry(aState, key);
  } else if (aState.mCounts[static_cast<std::size_t>(aItem.mKind)] >=
             limits.mMaxItems) {
    DropOldest(aState, aItem.mKind);
  }
  const std::uint64_t sequence = ++aState.mSequence;
  aState.mEntries[key] = { std::move(aItem), sequence, aFrom };
  aState.mBySequence[sequence] = key;
  ++aState.mCounts[static_cast<std::size_t>(key.first)];
  return true;
}

wire::GossipItem ToWire(const Item& aItem, Micros aNow)
{
  wire::GossipItem item;
  item.set_kind(static_cast<std::uint32_t>(aItem.mKind));
  item.set_key(aItem.mKey);
  item.set_value(aItem.mValue);
  item.set_age_ms(static_cast<std::uint32_t>(
    std::max<Micros>(0, aNow - aItem.mObservedAt) / kMillisecond));
  return item;
}

Item FromWire(const wire::GossipItem& aItem, Micros aNow)
{
  return { static_cast<Kind>(aItem.kind()),
           aItem.key(),
           aItem.value(),
           aNow - static_cast<Micros>(aItem.age_ms()) * kMillisecond };
}

// The next message for a neighbour; leaves out facts that it sent itself.
wire::Gossip NextUpdate(const State& aState,
                        const std::string& aNeighbour,
                        const Link& aLink,
                        Micros aNow)
{
  wire::Gossip message;
  message.set_sender(aState.mIncarnation);
  message.set_up_to(aState.mSequence);
  for (auto it = aState.mBySequence.upper_bound(aLink.mAcknowledged);
       it != aState.mBySequence.end();
       ++it) {
    const Entry& entry = aState.mEntries.at(it->second);
    if (entry.mFrom == aNeighbour) {
      continue;
    }
    *message.add_items() = ToWire(entry.mItem, aNow);
    if (message.items_size() == kMaxItemsPerMessage) {
      message.set_up_to(it->first);
      break;
    }
  }
  return message;
}

bool IsUpToDate(const State& aState, const Link& aLink)
{
  return aLink.mAcknowledged >= aState.mSequence;
}

void SendUpdate(State& aState,
                Micros aNow,
                const std::string& aNeighbour,
                Link& aLink,
                Output& aOut)
{
  if (IsUpToDate(aState, aLink) || aNow < aLink.mSendAt) {
    return;
  }
  wire::Gossip message = NextUpdate(aState, aNeighbour, aLink, aNow);
  if (message.items_size() == 0) {
    aLink.mAcknowledged = message.up_to();
    return;
  }
  const bool resend = aLink.mInFlight != 0;
  aLink.mResendInterval = resend
                            ? std::min(kResendMax, 2 * aLink.mResendInterval)
                            : Micros(kResendMin);
  aLink.mInFlight = message.up_to();
  aLink.mSendAt = aNow + aLink.mResendInterval;
  ++aState.mMessagesSent;
  aOut.mMessages.emplace_back(aNeighbour, std::move(message));
}

void HandleAcknowledgement(State& aState,
                           Micros aNow,
                           const std::string& aFrom,
                           const wire::Gossip& aMessage)
{
  const auto link = aState.mLinks.find(aFrom);
  if (link == aState.mLinks.end() ||
      aMessage.taken_from() != aState.mIncarnation ||
      aMessage.taken_up_to() > aState.mSequence) {
    return;
  }
  Link& known = link->second;
  known.mAcknowledged = std::max(known.mAcknowledged, aMessage.taken_up_to());
  if (known.mAcknowledged >= known.mInFlight) {
    known.mInFlight = 0;
    known.mSendAt = std::min(known.mSendAt, aNow + kSendInterval);
  }
}

// A restarted neighbour has lost the facts it sent, so they must be sent back.
void ClearSource(State& aState, const std::string& aNeighbour)
{
  for (auto& [key, entry] : aState.mEntries) {
    if (entry.mFrom == aNeighbour) {
      entry.mFrom.clear();
    }
  }
}

void Expire(State& aState, Micros aNow)
{
  if (aNow < aState.mExpireAt) {
    return;
  }
  aState.mExpireAt = aNow + kExpireInterval;
  std::vector<ItemKey> expired;
  for (const auto& [key, entry] : aState.mEntries) {
    if (aNow - entry.mItem.mObservedAt > KindLimitsOf(key.first).mLifetime) {
      expired.push_back(key);
    }
  }
  for (const ItemKey& key : expired) {
    RemoveEntry(aState, key);
  }
}

} // namespace

const KindLimits& KindLimitsOf(Kind aKind) noexcept
{
  return kKindLimits[static_cast<std::size_t>(aKind)];
}

bool Publish(State& aState, Micros aNow, Item aItem)
{
  return Merge(aState, aNow, std::move(aItem), "");
}

void SetNeighbours(State& aState,
                   const std::map<std::string, std::uint64_t>& aNeighbours)
{
  for (auto it = aState.mLinks.begin(); it != aState.mLinks.end();) {
    it = aNeighbours.count(it->first) == 0 ? aState.mLinks.erase(it)
                                           : std::next(it);
  }
  for (const auto& [address, incarnation] : aNeighbours) {
    Link& link = aState.mLinks[address];
    if (link.mIncarnation != incarnation) {
      link = Link();
      link.mIncarnation = incarnation;
      ClearSource(aState, address);
    }
  }
}

void Receive(State& aState,
             Micros aNow,
             const std::string& aFrom,
             const wire::Gossip& aMessage,
             Output& aOut)
{
  HandleAcknowledgement(aState, aNow, aFrom, aMessage);
  if (aMessage.items_size() == 0) {
    return;
  }
  for (const wire::GossipItem& item : aMessage.items()) {
    // Hosts that run a later version may send kinds unknown to this one.
    if (item.kind() >= kKindCount) {
      continue;
    }
    Item received = FromWire(item, aNow);
    if (Merge(aState, aNow, received, aFrom)) {
      aOut.mNewItems.push_back(std::move(received));
    }
  }
  wire::Gossip reply;
  reply.set_taken_from(aMessage.sender());
  reply.set_taken_up_to(aMessage.up_to());
  aOut.mMessages.emplace_back(aFrom, std::move(reply));
}

void Tick(State& aState, Micros aNow, Output& aOut)
{
  Expire(aState, aNow);
  for (auto& [address, link] : aState.mLinks) {
    SendUpdate(aState, aNow, address, link, aOut);
  }
}

Micros NextTick(const State& aState) noexcept
{
  if (aState.mEntries.empty()) {
    return std::numeric_limits<Micros>::max();
  }
  Micros next = aState.mExpireAt;
  for (const auto& [address, link] : aState.mLinks) {
    if (!IsUpToDate(aState, link)) {
      next = std::min(next, link.mSendAt);
    }
  }
  return next;
}

} // namespace geraniumpond::gossip
