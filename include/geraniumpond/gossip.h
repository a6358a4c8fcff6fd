#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "impl/wire.h"

/// \brief Short-lived facts that hosts tell each other.
///
/// What one host notes is told to each of its neighbours at once, and again
/// until the neighbour says that it has it; neighbours pass it on. So it
/// reaches every host that is joined to the first one by neighbours, in a trip
/// a step, whoever leads. A neighbour that comes later, or anew, is told all
/// that is still believed. Of one key the latest observation counts. A fact is
/// forgotten when its observation is older than its kind's lifetime; of each
/// kind a bounded number is kept, and the oldest go first.
///
/// A plain struct and free functions: no clock, thread, socket or file.
/// Messages may be lost, doubled or late.
namespace geraniumpond::gossip {

/// \brief What a fact is about.
enum class Kind
{
  /// Key: a request's identity and a target that ended under it.
  RequestCrash,
  /// Key: a request's identity; a target has answered it.
  RequestAnswered,
  /// Key: a target; value: the rate that it takes from all hosts, empty for no
  /// limit.
  TargetLimit,
};
constexpr std::size_t kKinds = 3;

/// \brief How long facts of a kind are believed, and how many are kept.
struct KindRules
{
  const char* mName;
  Micros mLifetime;
  /// An observation that says the same is news when it is later by this.
  Micros mRefresh;
  std::size_t mMost;
};
[[nodiscard]] const KindRules& RulesOf(Kind aKind) noexcept;

/// \brief One fact.
struct Item
{
  Kind mKind = Kind::RequestCrash;
  std::string mKey;
  std::string mValue;
  /// When it was observed, by the own clock.
  Micros mSeenAt = 0;
};

using ItemKey = std::pair<Kind, std::string>;

/// \brief A fact that this host believes.
struct Entry
{
  Item mItem;
  /// Number of the change that brought it.
  std::uint64_t mSequence = 0;
  /// The neighbour that told of it; empty when it was noted here.
  std::string mFrom;
};

/// \brief What a neighbour has of this host's facts.
struct Link
{
  std::uint64_t mIncarnation = 0;
  /// It has all up to this change.
  std::uint64_t mAcknowledged = 0;
  /// Told up to this change and not acknowledged yet; 0 for none.
  std::uint64_t mUnderWay = 0;
  Micros mSendAt = 0;
  Micros mPause = 0;
};

/// \brief Everything that one host knows of facts and of its neighbours.
struct State
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::map<ItemKey, Entry> mEntries;
  std::map<std::uint64_t, ItemKey> mBySequence;
  std::array<std::size_t, kKinds> mCounts{};
  std::map<std::string, Link> mLinks;
  Micros mExpireAt = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mMessagesSent = 0;
};

/// \brief What a call asks its embedder to do.
struct Output
{
  std::vector<std::pair<std::string, wire::Gossip>> mMessages;
  /// Facts that are new here and were told by others.
  std::vector<Item> mNews;
};

/// \brief Notes a fact that was observed here; true when it is news.
bool Note(State& aState, Micros aNow, Item aItem);

/// \brief Takes the neighbours by address, each with its incarnation: one that
/// was started anew has forgotten what it was told.
void SetNeighbours(State& aState,
                   const std::map<std::string, std::uint64_t>& aNeighbours);

void Receive(State& aState,
             Micros aNow,
             const std::string& aFrom,
             const wire::Gossip& aMessage,
             Output& aOut);

/// \brief Tells neighbours what they lack; forgets what is old.
void Tick(State& aState, Micros aNow, Output& aOut);

/// \brief Earliest time at which Tick() has something to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

} // namespace geraniumpond::gossip
