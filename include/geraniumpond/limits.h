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

/// \brief Admission queue of an entry: order, fair shares and early refusal.
namespace geraniumpond::limits {

/// \brief A request that waits for a target.
struct Waiter
{
  std::uint64_t mRequest = 0;
  std::string mCaller;
  Priority mPriority = Priority::Normal;
  Micros mDeadline = 0;
  /// Time at which a request still in the queue is refused as not run.
  Micros mGiveUpAt = 0;
};

/// \brief A caller's running and queued requests at this entry.
struct CallerLoad
{
  double mShare = 1;
  int mRunning = 0;
  /// Queued requests by priority, in order of deadline.
  std::array<std::set<std::pair<Micros, std::uint64_t>>, 3> mWaiting;
};

/// \brief Admission queue of one service at this entry.
struct WaitQueue
{
  std::map<std::string, CallerLoad> mCallers;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::array<int, 3> mRunning{};
  std::array<int, 3> mWaiting{};
  int mLimit = 1000;
  double mBulkShare = 0.5;
};

/// \brief A request may wait for 1/kWaitDivisor of its remaining time, so that
/// a refusal leaves the caller time to act on it.
constexpr Micros kWaitDivisor = 10;

/// \brief Time until which a request may stay in the queue.
[[nodiscard]] Micros GiveUpTime(Micros aNow, Micros aDeadline) noexcept;

/// \brief Number of queued requests served before a new one of this priority.
[[nodiscard]] int QueuedAhead(const WaitQueue& aQueue,
                              Priority aPriority) noexcept;

/// \brief True when a new request may be queued, false when it must be
/// refused at once.
[[nodiscard]] bool MayWait(const WaitQueue& aQueue,
                           const Waiter& aWaiter,
                           Micros aExpectedWait,
                           Micros aNow) noexcept;

void Add(WaitQueue& aQueue, const Waiter& aWaiter, double aShare);

/// \brief Removes a request; false when it is not in the queue.
bool Remove(WaitQueue& aQueue, std::uint64_t aRequest);

/// \brief Removes and returns the request to run next, given `aCapacity`
/// slots in total; nothing when none may run.
[[nodiscard]] std::optional<Waiter> Next(WaitQueue& aQueue, int aCapacity);

/// \brief Adjusts the number of a caller's running attempts by `aChange`.
void AdjustRunning(WaitQueue& aQueue,
                   const std::string& aCaller,
                   Priority aPriority,
                   int aChange);

} // namespace geraniumpond::limits
