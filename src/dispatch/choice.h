#pragma once

#include "internal.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

/// \brief Interface between choosing a target and the queue of waiting
/// requests.
namespace geraniumpond::dispatch {

/// \brief What to do with a waiting request.
enum class Verdict
{
  Send,
  ProbeMore,
  Wait,
  OutOfTime,
  NoTarget
};

/// \brief State shared by all waiting requests of a service during one pass
/// over the queue.
struct PassCache
{
  /// Targets with a fresh report.
  std::vector<Target*> mFresh;
  /// The cheapest of them for a first attempt, keyed by service time and answer
  /// size; invalidated when a request is sent.
  std::map<std::pair<Micros, double>, Target*> mBest;
  /// Number of targets with spare capacity, and of usable targets; invalidated
  /// likewise.
  std::optional<std::size_t> mWithSpareCapacity;
  std::optional<std::size_t> mUsable;

  /// \brief Drops the cached values after a request was sent to one of the
  /// targets.
  void Invalidate()
  {
    mBest.clear();
    mWithSpareCapacity.reset();
    mUsable.reset();
  }
};

struct Choice
{
  Verdict mVerdict = Verdict::Wait;
  Target* mTarget = nullptr;
};

/// \brief Time at which a request that found no capacity is refused.
[[nodiscard]] Micros GiveUpAt(const Request& aRequest, const Need& aNeed);

[[nodiscard]] Choice Choose(State& aState,
                            PassCache& aCache,
                            const Request& aRequest,
                            const Need& aNeed,
                            Micros aNow);

} // namespace geraniumpond::dispatch
