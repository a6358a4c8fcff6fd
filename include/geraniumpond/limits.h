#pragma once

#include <geraniumpond/deployment.h>
#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \brief Waiting at the entry: order, shares and early refusal.
namespace geraniumpond::limits {

/// \brief A request that waits for a target.
struct Waiter
{
  std::uint64_t mRequest = 0;
  std::string mCaller;
  Priority mPriority = Priority::Normal;
  Micros mDeadline = 0;
  /// Refused as not run when no target was free by then.
  Micros mGiveUpAt = 0;
};

/// \brief One caller's work at this entry.
struct CallerLoad
{
  double mShare = 1;
  int mRunning = 0;
  /// Waiting requests by priority, in deadline order.
  std::array<std::set<std::pair<Micros, std::uint64_t>>, 3> mWaiting;
};

/// \brief The requests of one service that wait at this entry.
struct WaitQueue
{
  std::map<std::string, CallerLoad> mCallers;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::array<int, 3> mRunning{};
  std::array<int, 3> mWaiting{};
  int mLimit = 1000;
  double mBulkShare = 0.5;
};

/// \brief Part of a request's deadline that it may spend waiting.
///
/// A refusal is only useful while the caller has time left to act on it.
constexpr Micros kWaitDivisor = 10;

/// \brief Latest time at which a request may still be refused.
[[nodiscard]] Micros GiveUpTime(Micros aNow, Micros aDeadline) noexcept;

/// \brief Waiters that are served before a newcomer of this priority.
[[nodiscard]] int Ahead(const WaitQueue& aQueue, Priority aPriority) noexcept;

/// \brief True when a newcomer may wait, false when it is refused at once.
[[nodiscard]] bool MayWait(const WaitQueue& aQueue,
                           const Waiter& aWaiter,
                           Micros aExpectedWait,
                           Micros aNow) noexcept;

void Add(WaitQueue& aQueue, const Waiter& aWaiter, double aShare);

/// \brief Removes a waiter; false when it does not wait.
bool Remove(WaitQueue& aQueue, std::uint64_t aRequest);

/// \brief The request to run next within `aCapacity` attempts, removed from
/// the queue; nothing when no waiter may run.
[[nodiscard]] std::optional<Waiter> Next(WaitQueue& aQueue, int aCapacity);

/// \brief Notes that an attempt of a caller began or ended.
void Running(WaitQueue& aQueue,
             const std::string& aCaller,
             Priority aPriority,
             int aChange);

} // namespace geraniumpond::limits
