#include "dispatch/internal.h"

#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::dispatch {

/// \brief Tests the statistics that a host keeps of targets and clients.
class LearningTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LearningTest);
  CPPUNIT_TEST(TargetsSlowedByTheLastSlotAreNotFilled);
  CPPUNIT_TEST(TargetsUnaffectedByLoadAreFilled);
  CPPUNIT_TEST(WrongEstimateIsCorrectedByNewAnswers);
  CPPUNIT_TEST(MeanSpeedDurationFollowsTheReports);
  CPPUNIT_TEST(ClientThatHasWaitedIsClassifiedAsARetry);
  CPPUNIT_TEST(ChangedClientTimeoutsResetTheStatistics);
  CPPUNIT_TEST(ServicesWithOppositeCurvesAreBothServed);
  CPPUNIT_TEST_SUITE_END();

public:
  void TargetsSlowedByTheLastSlotAreNotFilled()
  {
    LoadCurve curve;
    Fill(curve, 3, 1.7);
    CPPUNIT_ASSERT_EQUAL(2, EfficientLimit(curve, 3));
    // With one of two slots the throughput would be lower than with both, slow
    // as they are.
    LoadCurve pair;
    Fill(pair, 2, 1.7);
    CPPUNIT_ASSERT_EQUAL(2, EfficientLimit(pair, 2));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7, LatencyFactorAt(pair, 1, 2), 0.1);
  }

  void TargetsUnaffectedByLoadAreFilled()
  {
    for (const int slots : { 1, 2, 4, 100 }) {
      LoadCurve curve;
      CPPUNIT_ASSERT_EQUAL(slots, EfficientLimit(curve, slots));
      Fill(curve, slots, 1);
      CPPUNIT_ASSERT_EQUAL(slots, EfficientLimit(curve, slots));
    }
  }

  void WrongEstimateIsCorrectedByNewAnswers()
  {
    LoadCurve curve;
    for (int answer = 0; answer < 100; ++answer) {
      LearnLatencyFactor(curve, 3, 4, 3);
    }
    for (int answer = 0; answer < 60; ++answer) {
      LearnLatencyFactor(curve, 3, 4, 1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, LatencyFactorAt(curve, 3, 4), 0.15);
    LoadCurve fresh;
    for (int answer = 0; answer < 20; ++answer) {
      LearnLatencyFactor(fresh, 3, 4, 1);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, LatencyFactorAt(fresh, 3, 4), 0.05);
  }

  void MeanSpeedDurationFollowsTheReports()
  {
    SpeedStatistics quick;
    SpeedStatistics steady;
    for (int report = 0; report < 1000; ++report) {
      const double other = report % 10 == 0 ? 4 : 1;
      const double before = report % 10 == 1 ? 4 : 1;
      LearnSpeed(quick,
                 ReportWithSlowness(before),
                 10 * kMillisecond,
                 ReportWithSlowness(other));
      LearnSpeed(steady,
                 ReportWithSlowness(1),
                 10 * kMillisecond,
                 ReportWithSlowness(1));
    }
    // Two speed changes in each tenth of a second.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      50.0 * kMillisecond, MeanSpeedDuration(quick), 10.0 * kMillisecond);
    CPPUNIT_ASSERT(MeanSpeedDuration(steady) > 5.0 * kSecond);
  }

  void ClientThatHasWaitedIsClassifiedAsARetry()
  {
    PatienceStatistics learnt;
    const Micros objective = 300 * kMillisecond;
    for (int request = 0; request < 100; ++request) {
      const Micros patience = (800 + 2 * request) * kMillisecond;
      CPPUNIT_ASSERT(!IsClientRetry(learnt, patience, objective));
      LearnPatience(learnt, patience, objective);
    }
    CPPUNIT_ASSERT(!IsClientRetry(learnt, 790 * kMillisecond, objective));
    CPPUNIT_ASSERT(IsClientRetry(learnt, 500 * kMillisecond, objective));
    // A request without a timeout is never a retry.
    CPPUNIT_ASSERT(!IsClientRetry(learnt, 0, objective));
  }

  void ChangedClientTimeoutsResetTheStatistics()
  {
    PatienceStatistics learnt;
    const Micros objective = 300 * kMillisecond;
    for (int request = 0; request < 100; ++request) {
      LearnPatience(learnt, 2 * kSecond, objective);
    }
    for (int request = 0; request < 100; ++request) {
      LearnPatience(learnt, kSecond, objective);
    }
    CPPUNIT_ASSERT(!IsClientRetry(learnt, kSecond, objective));
  }

  // Three slots per target and 20 % more load than fits: once with a last slot
  // that costs more throughput than it adds, once with one that costs nothing.
  void ServicesWithOppositeCurvesAreBothServed()
  {
    for (const double factor : { 1.0, 2.5 }) {
      fakes::DispatchLoad load;
      load.mSlots = 3;
      load.mHosts = 20;
      load.mCrowdedFactor = factor;
      const double usual = load.mTargets * (1 - load.mSlowShare);
      const double efficientSlots = factor > 2 ? 2 : 3;
      load.mPerSecond = 1.2 * efficientSlots * usual * kSecond /
                        static_cast<double>(load.mWork);
      fakes::DispatchWorld world(load, 5);
      world.AddTargets();
      const fakes::DispatchOutcomes outcomes = world.RunLoad(20 * kSecond);
      const double share =
        static_cast<double>(outcomes.mInTime) / outcomes.mOffered;
      CPPUNIT_ASSERT_MESSAGE(
        std::to_string(factor) + " " + std::to_string(share), share > 0.6);
    }
  }

private:
  static Report ReportWithSlowness(double aSlowness)
  {
    Report report;
    report.mSlowness = aSlowness;
    return report;
  }

  static void Fill(LoadCurve& aCurve, int aSlots, double aLastFactor)
  {
    for (int answer = 0; answer < 40; ++answer) {
      for (int occupancy = 1; occupancy < aSlots; ++occupancy) {
        const bool last = occupancy + 1 == aSlots;
        LearnLatencyFactor(aCurve, occupancy, aSlots, last ? aLastFactor : 1);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LearningTest);

} // namespace geraniumpond::dispatch
