#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace geraniumpond::dispatch {

using fakes::DispatchLoad;
using fakes::DispatchOutcomes;
using fakes::DispatchWorld;

/// \brief Simulates loads on many hosts at once and checks the clients'
/// outcomes.
class DispatchLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatchLoadTest);
  CPPUNIT_TEST(ModerateLoadIsNearlyAllAnsweredOnTime);
  CPPUNIT_TEST(OverloadLeavesMostRequestsOnTimeOverManyHosts);
  CPPUNIT_TEST(UrgentRequestsAreServedWhereAnEvacuationLeavesTooLittleRoom);
  CPPUNIT_TEST(OthersAreRefusedAtOnceWhereAnEvacuationLeavesTooLittleRoom);
  CPPUNIT_TEST(HostsContactOnlyTheirSubsetUnderLoad);
  CPPUNIT_TEST(HostsContactFewTargetsWhileTheseAnnounceThemselves);
  CPPUNIT_TEST_SUITE_END();

public:
  void ModerateLoadIsNearlyAllAnsweredOnTime()
  {
    for (const bool idempotent : { true, false }) {
      DispatchLoad load = LoadOf(0.7);
      load.mIdempotent = idempotent;
      const DispatchOutcomes outcomes = RunLoad(load);
      CPPUNIT_ASSERT(outcomes.mInTime > 0.98 * outcomes.mOffered);
    }
  }

  // At 1.4 times the capacity, each request that is sent late takes a slot from
  // one that could be on time. The share on time is 0.25 if late requests take
  // any capacity, 0.60 if they take any target that is not crowded, and 0.80 if
  // they take only spare capacity.
  void OverloadLeavesMostRequestsOnTimeOverManyHosts()
  {
    const DispatchOutcomes heavy = RunLoad(LoadOf(1.4));
    CPPUNIT_ASSERT(heavy.mInTime > 0.72 * heavy.mOffered);
    CPPUNIT_ASSERT(heavy.mInTime + heavy.mLate > 0.9 * heavy.mOffered);
    const DispatchOutcomes full = RunLoad(LoadOf(1.2));
    CPPUNIT_ASSERT(full.mInTime > 0.9 * full.mOffered);
  }

  void UrgentRequestsAreServedWhereAnEvacuationLeavesTooLittleRoom()
  {
    const DispatchOutcomes outcomes = RunWithoutADataCentre();
    const fakes::DispatchPart& urgent = outcomes.mKinds.at(kUrgent);
    const fakes::DispatchPart& others = outcomes.mKinds.at(kOthers);
    const std::string seen =
      Describe(urgent) + " urgent, " + Describe(others) + " others in time";
    CPPUNIT_ASSERT_MESSAGE(seen, urgent.mInTime > 0.95 * urgent.mOffered);
    CPPUNIT_ASSERT_MESSAGE(seen, others.mInTime > 0.3 * others.mOffered);
  }

  // A client that is refused within an eighth of its objective loses nothing by
  // having been held.
  void OthersAreRefusedAtOnceWhereAnEvacuationLeavesTooLittleRoom()
  {
    const DispatchOutcomes outcomes = RunWithoutADataCentre();
    const std::vector<Micros>& refused =
      outcomes.mKinds.at(kOthers).mRefusedAfter;
    const Micros atOnce = DispatchLoad().mObjective / 8;
    const auto late =
      std::count_if(refused.begin(), refused.end(), [&](Micros aAfter) {
        return aAfter > atOnce;
      });
    CPPUNIT_ASSERT(!refused.empty());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(late) + " of " +
                             std::to_string(refused.size()) + " held",
                           10 * late <= static_cast<long>(refused.size()));
  }

  void HostsContactOnlyTheirSubsetUnderLoad()
  {
    const DispatchOutcomes outcomes = RunLoad(LoadOf(1));
    CPPUNIT_ASSERT(outcomes.mContacts <= kHosts * kSubset);
  }

  void HostsContactFewTargetsWhileTheseAnnounceThemselves()
  {
    DispatchWorld world(LoadOf(0.2), 3);
    world.AddTargetsOneByOne(20 * kMillisecond);
    const DispatchOutcomes outcomes = world.RunLoad(5 * kSecond);
    CPPUNIT_ASSERT(outcomes.mContacts <= kHosts * kSubset);
  }

private:
  static constexpr const char* kUrgent = "urgent";
  static constexpr const char* kOthers = "others";

  static constexpr std::size_t kHosts = 40;
  static constexpr std::size_t kSubset = 12;

  // A load as a share of the throughput of targets at usual speed, one request
  // at a time each.
  static DispatchLoad LoadOf(double aShare)
  {
    DispatchLoad load;
    load.mHosts = kHosts;
    const double usualTargets = load.mTargets * (1 - load.mSlowShare);
    load.mPerSecond =
      aShare * usualTargets * kSecond / static_cast<double>(load.mWork);
    return load;
  }

  static std::string Describe(const fakes::DispatchPart& aOutcomes)
  {
    return std::to_string(aOutcomes.mInTime) + " of " +
           std::to_string(aOutcomes.mOffered);
  }

  // One of four data centres is evacuated; two in five requests are urgent.
  static DispatchOutcomes RunWithoutADataCentre()
  {
    DispatchLoad load = LoadOf(1.2);
    load.mKinds = { { kUrgent, 0.4, 1, 0 }, { kOthers, 0.6, 1, 1 } };
    DispatchWorld world(load, 7);
    world.AddTargets();
    world.Evacuate("dc1");
    return world.RunLoad(20 * kSecond);
  }

  static DispatchOutcomes RunLoad(const DispatchLoad& aLoad)
  {
    DispatchWorld world(aLoad, 7);
    world.AddTargets();
    return world.RunLoad(20 * kSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchLoadTest);

} // namespace geraniumpond::dispatch
