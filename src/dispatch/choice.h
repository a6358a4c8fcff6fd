#pragma once

#include "internal.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

/// \brief What choosing a target and letting requests wait share.
namespace geraniumpond::dispatch {

/// \brief What is to be done with a waiting request.
enum class Verdict
{
  Send,
  AskMore,
  LookAgain,
  Hopeless,
  NoTarget
};

/// \brief What all waiting requests of a service share while they are served in
/// turn at one moment.
struct Look
{
  /// Targets whose report is fresh.
  std::vector<Target*> mFresh;
  /// The cheapest of them for a first attempt, by work and bytes of the answer;
  /// void once a request was sent to one.
  std::map<std::pair<Micros, double>, Target*> mBest;
  /// How many have room, and how many there are to ask; void as well.
  std::optional<std::size_t> mRoom;
  std::optional<std::size_t> mUsable;

  /// \brief A request was sent to one of the targets.
  void Forget()
  {
    mBest.clear();
    mRoom.reset();
    mUsable.reset();
  }
};

struct Choice
{
  Verdict mVerdict = Verdict::LookAgain;
  Target* mTarget = nullptr;
};

/// \brief When a request that found no room is refused.
[[nodiscard]] Micros GiveUpAt(const Request& aRequest, const Need& aNeed);

[[nodiscard]] Choice Choose(State& aState,
                            Look& aLook,
                            const Request& aRequest,
                            const Need& aNeed,
                            Micros aNow);

} // namespace geraniumpond::dispatch
