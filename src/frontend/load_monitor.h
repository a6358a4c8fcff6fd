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

/// \brief Where work of a process waits before it is handled.
enum class WaitKind
{
  /// Timers of the reducer, and ready descriptors.
  Loop,
  /// Messages of other hosts, until the reducer handles them.
  Inbox,
  /// Messages of this host, until the sending thread handles them.
  Outbox,
  /// Writes, until they are synced.
  Disk,
};

/// \brief What the event loop's thread spends time on.
enum class WorkKind
{
  Connections,
  Consensus,
  Reports,
  Replies,
  Commands,
  Facts,
  Counts,
  Disk,
  Time,
};

/// \brief Lower-case name, as in metrics and log lines.
[[nodiscard]] const char* ToString(WaitKind aWait) noexcept;
[[nodiscard]] const char* ToString(WorkKind aWork) noexcept;

/// \brief Measures how late a process is, and what its event loop spends
/// processor time on.
class LoadMonitor
{
public:
  explicit LoadMonitor(Metrics& aMetrics);

  /// \brief Records how long something waited before it was handled.
  void RecordWait(WaitKind aWait, Micros aTime);

  /// \brief Attributes what the thread did since the last call to a kind of
  /// work.
  void RecordWork(WorkKind aWork, std::uint64_t aItems);

  /// \brief Ends an iteration of the event loop.
  void EndIteration();

  /// \brief Returns a log line if something waited too long since the last
  /// line; limited in rate.
  [[nodiscard]] std::optional<std::string> TakeLogLine(Micros aNow);

  /// \brief Sets the counters of items and processor time by kind of work.
  void ExportCounters(dispatch::Counters& aCounters) const;

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
  /// Whether processor time is measured by kind of work.
  bool mMeasuresCpuTime = false;
  std::array<WorkTotals, kWorkKinds> mTotals{};
  /// mTotals at the time of the last log line.
  std::array<WorkTotals, kWorkKinds> mTotalsAtLastLine{};
  Micros mLastCpuTime = 0;
  Micros mLongestWaitOfIteration = 0;
  Micros mLastLineAt = 0;
};

} // namespace geraniumpond::frontend
