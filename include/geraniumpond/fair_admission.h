#pragma once

#include <geraniumpond/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// \brief Lets less urgent requests of a service make room for more urgent
/// ones, over all hosts.
///
/// Hosts sum up how many requests of each priority came and how many found no
/// room in time. From the same sums each host works out by itself which share
/// of the less urgent ones it admits: admission by priority levels with a
/// threshold, as published for the overload control of WeChat (DAGOR, 2018).
///
/// Plain structs and free functions, without a clock.
namespace geraniumpond::fair_admission {

/// \brief Requests of one priority at one service in the last second.
struct Demand
{
  std::uint32_t mArrived = 0;
  /// Refused for want of room, or sent too late for their objective.
  std::uint32_t mLacking = 0;
};

/// \brief What this host has counted of one priority.
struct Window
{
  struct Slice
  {
    Micros mStart = 0;
    Demand mDemand;
  };
  std::deque<Slice> mSlices;
};

void CountArrival(Window& aWindow, Micros aNow);
void CountLacking(Window& aWindow, Micros aNow);
[[nodiscard]] Demand DemandOf(const Window& aWindow, Micros aNow);

/// \brief Demand of all hosts by priority, the most urgent first.
using Levels = std::map<int, Demand>;

/// \brief Shares of the requests of one service that are admitted.
struct Threshold
{
  /// By priority; priorities that are not held back are absent.
  std::map<int, double> mShares;
  /// Time of the sums that it was worked out from; when a share was last
  /// lowered, and when one was last raised.
  Micros mToldAt = 0;
  Micros mLoweredAt = 0;
  Micros mRaisedAt = 0;
};

/// \brief Updates the threshold from sums that the leader sent at `aToldAt`;
/// true if it has changed. Does nothing if they are too old or known already.
bool UpdateThreshold(Threshold& aThreshold,
                     const Levels& aLevels,
                     Micros aToldAt,
                     Micros aNow);

/// \brief Share of the requests of a priority that is admitted; all of them
/// once nothing has been told for too long.
[[nodiscard]] double AdmittedShare(const Threshold& aThreshold,
                                   int aPriority,
                                   Micros aNow);

} // namespace geraniumpond::fair_admission
