#pragma once

#include "metrics.h"

#include <geraniumpond/dispatch.h>
#include <geraniumpond/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace geraniumpond::frontend {

/// \brief What something of a process waits for before it is taken.
enum class WaitKind
{
  /// The reducer's next time, and descriptors that are ready.
  Loop,
  /// A message of another host, for the reducer.
  Inbox,
  /// A message of this host, for the thread that sends it.
  Outbox,
  /// A write, until it is synced.
  Disk,
};

/// \brief What the loop's thread is busy with.
enum class WorkKind
{
  Connections,
  Consensus,
  Reports,
  Replies,
  Commands,
  Disk,
  Time,
};

/// \brief Lower-case names.
[[nodiscard]] const char* ToString(WaitKind aWait) noexcept;
[[nodiscard]] const char* ToString(WorkKind aWork) noexcept;

/// \brief How late a process is, and what its loop spends processor time on.
class LoadMonitor
{
public:
  explicit LoadMonitor(Metrics& aMetrics);

  /// \brief Something was taken after it had waited.
  void RecordWait(WaitKind aWait, Micros aTime);

  /// \brief What the thread did since the last call was of this kind.
  void RecordWork(WorkKind aWork, std::uint64_t aItems);

  /// \brief A round of the loop is over.
  void EndIteration();

  /// \brief A line for the log where something waited for too long since the
  /// last one; a bounded number of them.
  [[nodiscard]] std::optional<std::string> TakeLogLine(Micros aNow);

  /// \brief Adds items and processor time by kind of work.
  void Count(dispatch::Counters& aCounters) const;

private:
  static constexpr std::size_t kWaitKinds =
    static_cast<std::size_t>(WaitKind::Disk) + 1;
  static constexpr std::size_t kWorkKinds =
    static_cast<std::size_t>(WorkKind::Time) + 1;
  struct WorkTotals
  {
    std::uint64_t mItems = 0;
    Micros mTime = 0;
  };

  std::array<Metrics::Series*, kWaitKinds> mSeries{};
  std::array<Micros, kWaitKinds> mLongest{};
  /// Processor time is told apart by kind of work.
  bool mMeasuresCpuTime = false;
  std::array<WorkTotals, kWorkKinds> mTotals{};
  /// The same at the last line.
  std::array<WorkTotals, kWorkKinds> mTotalsAtLastLine{};
  Micros mLastCpuTime = 0;
  Micros mLongestWaitOfIteration = 0;
  Micros mLastLineAt = 0;
};

} // namespace geraniumpond::frontend
