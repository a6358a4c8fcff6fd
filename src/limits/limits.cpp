#include <geraniumpond/limits.h>

#include <algorithm>

namespace geraniumpond::limits {

namespace {

constexpr int kPriorities = 3;
constexpr int kBulk = static_cast<int>(Priority::Bulk);

int BulkLimit(const WaitQueue& aQueue, int aCapacity) noexcept
{
  return std::max(1, static_cast<int>(aQueue.mBulkShare * aCapacity));
}

// Bulk work may use idle slots only up to its share, as a slot given to a long
// transfer cannot be reclaimed when an urgent request arrives.
bool BulkAllowed(const WaitQueue& aQueue, int aCapacity) noexcept
{
  return aQueue.mRunning[kBulk] < BulkLimit(aQueue, aCapacity);
}

// Weighted fair sharing: the caller with the least running work per share goes
// first. Callers may thereby exceed their share while others are idle, and
// return to it as their attempts end.
CallerLoad* LeastServed(WaitQueue& aQueue, int aPriority)
{
  CallerLoad* best = nullptr;
  double bestUse = 0;
  for (auto& [name, load] : aQueue.mCallers) {
    if (load.mWaiting[aPriority].empty()) {
      continue;
    }
    const double use = load.mRunning / load.mShare;
    if (best == nullptr || use < bestUse) {
      best = &load;
      bestUse = use;
    }
  }
  return best;
}

int WaitingOf(const WaitQueue& aQueue, const std::string& aCaller) noexcept
{
  const auto found = aQueue.mCallers.find(aCaller);
  if (found == aQueue.mCallers.end()) {
    return 0;
  }
  std::size_t count = 0;
  for (const auto& waiting : found->second.mWaiting) {
    count += waiting.size();
  }
  return static_cast<int>(count);
}

// A single caller may fill the queue. Once it is full, callers below an equal
// share of the places may exceed the limit, up to twice the limit in total.
bool HasPlace(const WaitQueue& aQueue, const Waiter& aWaiter) noexcept
{
  const int total = static_cast<int>(aQueue.mWaiters.size());
  const int own = WaitingOf(aQueue, aWaiter.mCaller);
  if (total < aQueue.mLimit) {
    return true;
  }
  const auto callers = std::max<std::size_t>(aQueue.mCallers.size(), 1);
  return own < aQueue.mLimit / static_cast<int>(callers) &&
         total < 2 * aQueue.mLimit;
}

} // namespace

Micros GiveUpTime(Micros aNow, Micros aDeadline) noexcept
{
  return aNow + std::max<Micros>(aDeadline - aNow, 0) / kWaitDivisor;
}

int QueuedAhead(const WaitQueue& aQueue, Priority aPriority) noexcept
{
  int ahead = 0;
  for (int priority = 0; priority <= static_cast<int>(aPriority); ++priority) {
    ahead += aQueue.mWaiting[priority];
  }
  return ahead;
}

bool MayWait(const WaitQueue& aQueue,
             const Waiter& aWaiter,
             Micros aExpectedWait,
             Micros aNow) noexcept
{
  return aNow + aExpectedWait <= aWaiter.mGiveUpAt && HasPlace(aQueue, aWaiter);
}

void Add(WaitQueue& aQueue, const Waiter& aWaiter, double aShare)
{
  CallerLoad& load = aQueue.mCallers[aWaiter.mCaller];
  load.mShare = aShare;
  load.mWaiting[static_cast<int>(aWaiter.mPriority)].insert(
    { aWaiter.mDeadline, aWaiter.mRequest });
  aQueue.mWaiters[aWaiter.mRequest] = aWaiter;
  ++aQueue.mWaiting[static_cast<int>(aWaiter.mPriority)];
}

bool Remove(WaitQueue& aQueue, std::uint64_t aRequest)
{
  const auto found = aQueue.mWaiters.find(aRequest);
  if (found == aQueue.mWaiters.end()) {
    return false;
  }
  const Waiter& waiter = found->second;
  CallerLoad& load = aQueue.mCallers[waiter.mCaller];
  load.mWaiting[static_cast<int>(waiter.mPriority)].erase(
    { waiter.mDeadline, aRequest });
  --aQueue.mWaiting[static_cast<int>(waiter.mPriority)];
  aQueue.mWaiters.erase(found);
  return true;
}

std::optional<Waiter> Next(WaitQueue& aQueue, int aCapacity)
{
  for (int priority = 0; priority < kPriorities; ++priority) {
    if (priority == kBulk && !BulkAllowed(aQueue, aCapacity)) {
      continue;
    }
    CallerLoad* load = LeastServed(aQueue, priority);
    if (load == nullptr) {
      continue;
    }
    const Waiter waiter =
      aQueue.mWaiters.at(load->mWaiting[priority].begin()->second);
    Remove(aQueue, waiter.mRequest);
    return waiter;
  }
  return std::nullopt;
}

void AdjustRunning(WaitQueue& aQueue,
                   const std::string& aCaller,
                   Priority aPriority,
                   int aChange)
{
  aQueue.mRunning[static_cast<int>(aPriority)] += aChange;
  CallerLoad& load = aQueue.mCallers[aCaller];
  load.mRunning += aChange;
}

} // namespace geraniumpond::limits
