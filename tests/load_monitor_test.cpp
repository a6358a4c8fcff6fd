#include "frontend/load_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

/// \brief Tests the log lines and counters of a late process.
class LoadMonitorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadMonitorTest);
  CPPUNIT_TEST(ShortWaitsAreNotLogged);
  CPPUNIT_TEST(LongWaitIsLoggedOnceWithLoopActivity);
  CPPUNIT_TEST(WorkIsCountedByKind);
  CPPUNIT_TEST(CpuTimeIsMeasuredWhileTheProcessIsLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ShortWaitsAreNotLogged()
  {
    mMonitor.RecordWait(WaitKind::Loop, 20 * kMillisecond);
    CPPUNIT_ASSERT(!mMonitor.TakeLogLine(10 * kSecond));
  }

  void LongWaitIsLoggedOnceWithLoopActivity()
  {
    mMonitor.RecordWait(WaitKind::Inbox, 300 * kMillisecond);
    mMonitor.RecordWait(WaitKind::Inbox, 30 * kMillisecond);
    mMonitor.RecordWork(WorkKind::Reports, 7);
    const std::optional<std::string> line = mMonitor.TakeLogLine(10 * kSecond);
    CPPUNIT_ASSERT(line);
    CPPUNIT_ASSERT(line->find(" inbox_ms=300 ") != std::string::npos);
    CPPUNIT_ASSERT(line->find(" reports=7 ") != std::string::npos);
    CPPUNIT_ASSERT(!mMonitor.TakeLogLine(20 * kSecond));
  }

  void WorkIsCountedByKind()
  {
    mMonitor.RecordWork(WorkKind::Replies, 2);
    mMonitor.RecordWork(WorkKind::Replies, 3);
    dispatch::Counters counters;
    mMonitor.ExportCounters(counters);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), counters.at("work_replies"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counters.at("work_disk"));
    CPPUNIT_ASSERT(counters.count("work_replies_microseconds") == 1);
  }

  void CpuTimeIsMeasuredWhileTheProcessIsLate()
  {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), CpuTimeOfIteration(kMillisecond));
    (void)CpuTimeOfIteration(100 * kMillisecond);
    CPPUNIT_ASSERT(CpuTimeOfIteration(kMillisecond) > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), CpuTimeOfIteration(kMillisecond));
  }

private:
  // Processor time attributed to replies in one iteration of the loop.
  std::uint64_t CpuTimeOfIteration(Micros aWait)
  {
    dispatch::Counters before;
    mMonitor.ExportCounters(before);
    mMonitor.RecordWait(WaitKind::Loop, aWait);
    volatile double sum = 0;
    for (int i = 0; i < 1000000; ++i) {
      sum = sum + i;
    }
    mMonitor.RecordWork(WorkKind::Replies, 1);
    mMonitor.EndIteration();
    dispatch::Counters after;
    mMonitor.ExportCounters(after);
    return after.at("work_replies_microseconds") -
           before.at("work_replies_microseconds");
  }

  Metrics mMetrics;
  LoadMonitor mMonitor{ mMetrics };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadMonitorTest);

} // namespace geraniumpond::frontend
