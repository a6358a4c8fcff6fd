#include "load_monitor.h"

#include <algorithm>
#include <ctime>

// From outside, a host that lacks processor time looks like one that is cut off
// from the network: its answers are late. These figures distinguish the two,
// and show which thread is behind with which work.
namespace geraniumpond::frontend {

namespace {

/// Waits from which on a line is logged: at that delay a heartbeat of the
/// control group is late.
constexpr Micros kLogThreshold = 150 * kMillisecond;
constexpr Micros kMinLogInterval = 500 * kMillisecond;
/// Waits from which on processor time is measured by kind of work.
constexpr Micros kCpuTimeThreshold = 50 * kMillisecond;

constexpr std::array<const char*, 4> kWaitNames = {
  "loop",
  "inbox",
  "outbox",
  "disk",
};
constexpr std::array<const char*, 9> kWorkNames = {
  "connections", "consensus", "reports", "replies", "commands",
  "facts",       "counts",    "disk",    "time",
};

Micros ThreadCpuTime()
{
  timespec time{};
  (void)::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<Micros>(time.tv_sec) * kSecond + time.tv_nsec / 1000;
}

} // namespace

const char* ToString(WaitKind aWait) noexcept
{
  return kWaitNames[static_cast<std::size_t>(aWait)];
}

const char* ToString(WorkKind aWork) noexcept
{
  return kWorkNames[static_cast<std::size_t>(aWork)];
}

LoadMonitor::LoadMonitor(Metrics& aMetrics)
  : mLastCpuTime(ThreadCpuTime())
{
  for (std::size_t i = 0; i < kWaitKinds; ++i) {
    mSeries[i] = &aMetrics.FindOrCreate("wait", kWaitNames[i]);
  }
}

void LoadMonitor::RecordWait(WaitKind aWait, Micros aTime)
{
  Metrics::Observe(*mSeries[static_cast<std::size_t>(aWait)], aTime);
  mLongestWaitOfIteration = std::max(mLongestWaitOfIteration, aTime);
  Micros& longest = mLongest[static_cast<std::size_t>(aWait)];
  longest = std::max(longest, aTime);
}

void LoadMonitor::RecordWork(WorkKind aWork, std::uint64_t aItems)
{
  WorkTotals& totals = mTotals[static_cast<std::size_t>(aWork)];
  totals.mItems += aItems;
  if (mMeasuresCpuTime) {
    const Micros now = ThreadCpuTime();
    totals.mTime += now - mLastCpuTime;
    mLastCpuTime = now;
  }
}

// Reading the thread's processor clock is a system call, too expensive for
// every small message; it is therefore read only while the process is late.
void LoadMonitor::EndIteration()
{
  const bool isLate = mLongestWaitOfIteration >= kCpuTimeThreshold;
  if (isLate && !mMeasuresCpuTime) {
    mLastCpuTime = ThreadCpuTime();
  }
  mMeasuresCpuTime = isLate;
  mLongestWaitOfIteration = 0;
}

std::optional<std::string> LoadMonitor::TakeLogLine(Micros aNow)
{
  const Micros longest = *std::max_element(mLongest.begin(), mLongest.end());
  if (longest < kLogThreshold || aNow < mLastLineAt + kMinLogInterval) {
    return std::nullopt;
  }
  std::string line = "event=host_late";
  for (std::size_t i = 0; i < kWaitKinds; ++i) {
    line += std::string(" ") + kWaitNames[i] +
            "_ms=" + std::to_string(mLongest[i] / kMillisecond);
  }
  const Micros since = mLastLineAt == 0 ? 0 : aNow - mLastLineAt;
  line += " since_ms=" + std::to_string(since / kMillisecond);
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const std::uint64_t items = mTotals[i].mItems - mTotalsAtLastLine[i].mItems;
    const Micros time = mTotals[i].mTime - mTotalsAtLastLine[i].mTime;
    line += std::string(" ") + kWorkNames[i] + "=" + std::to_string(items) +
            " " + kWorkNames[i] + "_us=" + std::to_string(time);
  }
  mLongest.fill(0);
  mTotalsAtLastLine = mTotals;
  mLastLineAt = aNow;
  return line;
}

void LoadMonitor::ExportCounters(dispatch::Counters& aCounters) const
{
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const std::string name = std::string("work_") + kWorkNames[i];
    aCounters[name] = mTotals[i].mItems;
    aCounters[name + "_microseconds"] =
      static_cast<std::uint64_t>(mTotals[i].mTime);
  }
}

} // namespace geraniumpond::frontend
