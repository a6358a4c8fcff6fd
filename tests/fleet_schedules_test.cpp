#include "fakes/fleet_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace geraniumpond::fakes {

class FleetSchedulesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetSchedulesTest);
  CPPUNIT_TEST(RegressionSchedulesKeepAllGuarantees);
  CPPUNIT_TEST(SchedulesOfOpenFaultsKeepAllGuarantees);
  CPPUNIT_TEST(ParsedScheduleEqualsItsSource);
  CPPUNIT_TEST(ScheduleWithAnUnknownFaultIsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void RegressionSchedulesKeepAllGuarantees()
  {
    RunFolder(GERANIUMPOND_SOURCE "/tests/schedules");
  }

  // Guards against a group that one lost disk leaves without a majority.
  void SchedulesOfOpenFaultsKeepAllGuarantees()
  {
    RunFolder(GERANIUMPOND_SOURCE "/tests/open_schedules");
  }

  void ParsedScheduleEqualsItsSource()
  {
    FleetSchedule schedule = MakeFleetSchedule(5);
    schedule.mReadPolicy = true;
    schedule.mEvacuate = true;
    schedule.mLoseToleratedDisks = true;
    const std::string text = Describe(schedule);
    std::istringstream in(text);
    CPPUNIT_ASSERT_EQUAL(text, Describe(ParseFleetSchedule(in).value()));
  }

  void ScheduleWithAnUnknownFaultIsRejected()
  {
    std::istringstream in(
      "seed=1 disks=3 others=2 tolerated=1\n  earthquake\n");
    CPPUNIT_ASSERT(!ParseFleetSchedule(in));
  }

private:
  static void RunFolder(const std::filesystem::path& aFolder)
  {
    int schedulesRun = 0;
    for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
      std::ifstream file(entry.path());
      const Result<FleetSchedule> schedule = ParseFleetSchedule(file);
      CPPUNIT_ASSERT_MESSAGE(entry.path().string(),
                             static_cast<bool>(schedule));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.path().string(),
                                   std::string(),
                                   RunFleetSchedule(schedule.value()));
      ++schedulesRun;
    }
    CPPUNIT_ASSERT(schedulesRun > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSchedulesTest);

} // namespace geraniumpond::fakes
