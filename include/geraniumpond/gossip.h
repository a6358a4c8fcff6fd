#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "impl/wire.h"

/// \brief Spreads short-lived facts among hosts.
///
/// A host sends each new fact to its neighbours immediately and resends it
/// until they acknowledge it; they forward it to theirs. A fact so reaches
/// every host that is connected through neighbours, in one message delay per
/// hop and without a leader. A new or restarted neighbour is sent all facts
/// that are still valid. For each key the latest observation wins. Facts expire
/// when the observation is older than the lifetime of their kind. The number of
/// facts per kind is bounded; the oldest are dropped first.
///
/// A plain struct and free functions: no clock, thread, socket or file.
/// Tolerates messages that are lost, duplicated or delayed.
namespace geraniumpond::gossip {

/// \brief Kind of a fact.
enum class Kind
{
  /// Key: a request's identity and a target that crashed while running it.
  RequestCrash,
  /// Key: the identity of a request that a target has answered.
  RequestAnswered,
  /// Key: a target; value: the rate that it accepts from all hosts combined,
  /// empty for no limit.
  TargetLimit,
  /// Key: a target that has turned cold; value: milliseconds until it is warm.
  TargetWarmUp,
};
constexpr std::size_t kKindCount = 4;

/// \brief Lifetime and limits of the facts of one kind.
struct KindLimits
{
  const char* mName;
  Micros mLifetime;
  /// Minimum time after which an observation of the same value counts as new.
  Micros mRefresh;
  std::size_t mMaxItems;
};
[[nodiscard]] const KindLimits& KindLimitsOf(Kind aKind) noexcept;

/// \brief One fact.
struct Item
{
  Kind mKind = Kind::RequestCrash;
  std::string mKey;
  std::string mValue;
  /// Time of the observation, by this host's clock.
  Micros mObservedAt = 0;
};

using ItemKey = std::pair<Kind, std::string>;

/// \brief A stored fact.
struct Entry
{
  Item mItem;
  /// Sequence number of the change that stored it.
  std::uint64_t mSequence = 0;
  /// The neighbour that sent it; empty if it was observed on this host.
  std::string mFrom;
};

/// \brief Which of this host's facts a neighbour has.
struct Link
{
  std::uint64_t mIncarnation = 0;
  /// Last change that it has acknowledged.
  std::uint64_t mAcknowledged = 0;
  /// Last change sent but not yet acknowledged; 0 for none.
  std::uint64_t mInFlight = 0;
  Micros mSendAt = 0;
  Micros mResendInterval = 0;
};

/// \brief The facts and neighbours of one host.
struct State
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::map<ItemKey, Entry> mEntries;
  std::map<std::uint64_t, ItemKey> mBySequence;
  std::array<std::size_t, kKindCount> mCounts{};
  std::map<std::string, Link> mLinks;
  Micros mExpireAt = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mMessagesSent = 0;
};

/// \brief Actions that a call asks the embedder to perform.
struct Output
{
  std::vector<std::pair<std::string, wire::Gossip>> mMessages;
  /// Facts from neighbours that are new on this host.
  std::vector<Item> mNewItems;
};

/// \brief Publishes a fact observed on this host; returns true if it is new.
bool Publish(State& aState, Micros aNow, Item aItem);

/// \brief Sets the neighbours: address and incarnation. A changed incarnation
/// means that the neighbour restarted and lost its facts.
void SetNeighbours(State& aState,
                   const std::map<std::string, std::uint64_t>& aNeighbours);

void Receive(State& aState,
             Micros aNow,
             const std::string& aFrom,
             const wire::Gossip& aMessage,
             Output& aOut);

/// \brief Sends neighbours the facts they lack and removes expired ones.
void Tick(State& aState, Micros aNow, Output& aOut);

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

} // namespace geraniumpond::gossip
