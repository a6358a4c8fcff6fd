#include "frontend/load_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

/// \brief A process that tells how late it is.
class LoadWatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadWatchTest);
  CPPUNIT_TEST(ShortWaitsAreNotLogged);
  CPPUNIT_TEST(LongWaitIsLoggedOnceWithWhatTheLoopDid);
  CPPUNIT_TEST(WorkIsCountedByKind);
  CPPUNIT_TEST(ProcessorTimeIsToldApartWhileTheProcessIsLate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ShortWaitsAreNotLogged()
  {
    mWatch.NoteWait(Wait::Loop, 20 * kMillisecond);
    CPPUNIT_ASSERT(!mWatch.TakeLine(10 * kSecond));
  }

  void LongWaitIsLoggedOnceWithWhatTheLoopDid()
  {
    mWatch.NoteWait(Wait::Inbox, 300 * kMillisecond);
    mWatch.NoteWait(Wait::Inbox, 30 * kMillisecond);
    mWatch.NoteWork(Work::Reports, 7);
    const std::optional<std::string> line = mWatch.TakeLine(10 * kSecond);
    CPPUNIT_ASSERT(line);
    CPPUNIT_ASSERT(line->find(" inbox_ms=300 ") != std::string::npos);
    CPPUNIT_ASSERT(line->find(" reports=7 ") != std::string::npos);
    CPPUNIT_ASSERT(!mWatch.TakeLine(20 * kSecond));
  }

  void WorkIsCountedByKind()
  {
    mWatch.NoteWork(Work::Replies, 2);
    mWatch.NoteWork(Work::Replies, 3);
    dispatch::Counters counters;
    mWatch.Count(counters);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), counters.at("work_replies"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counters.at("work_disk"));
    CPPUNIT_ASSERT(counters.count("work_replies_microseconds") == 1);
  }

  void ProcessorTimeIsToldApartWhileTheProcessIsLate()
  {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), TimeOfRound(kMillisecond));
    (void)TimeOfRound(100 * kMillisecond);
    CPPUNIT_ASSERT(TimeOfRound(kMillisecond) > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), TimeOfRound(kMillisecond));
  }

private:
  // Processor time that one round of work on replies is charged with.
  std::uint64_t TimeOfRound(Micros aWait)
  {
    dispatch::Counters before;
    mWatch.Count(before);
    mWatch.NoteWait(Wait::Loop, aWait);
    volatile double sum = 0;
    for (int i = 0; i < 1000000; ++i) {
      sum = sum + i;
    }
    mWatch.NoteWork(Work::Replies, 1);
    mWatch.EndRound();
    dispatch::Counters after;
    mWatch.Count(after);
    return after.at("work_replies_microseconds") -
           before.at("work_replies_microseconds");
  }

  Metrics mMetrics;
  LoadWatch mWatch{ mMetrics };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadWatchTest);

} // namespace geraniumpond::frontend
