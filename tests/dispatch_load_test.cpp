#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

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

  static DispatchOutcomes RunLoad(const DispatchLoad& aLoad)
  {
    DispatchWorld world(aLoad, 7);
    world.AddTargets();
    return world.RunLoad(20 * kSecond);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchLoadTest);

} // namespace geraniumpond::dispatch
