#include <geraniumpond/fair_admission.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::fair_admission {

class FairAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairAdmissionTest);
  CPPUNIT_TEST(CountsAreThoseOfTheLastSecond);
  CPPUNIT_TEST(LessUrgentMakeRoomOnceMoreUrgentLackIt);
  CPPUNIT_TEST(AllAreAdmittedWhileOnlyTheLeastUrgentLackRoom);
  CPPUNIT_TEST(EqualPrioritiesAreNotHeldBack);
  CPPUNIT_TEST(FewThatLackRoomByChanceMoveNothing);
  CPPUNIT_TEST(LessUrgentAreSlowedDownButNeverShutOut);
  CPPUNIT_TEST(ThresholdClosesFasterThanItOpens);
  CPPUNIT_TEST(ThresholdOpensWhollyOnceRoomIsBack);
  CPPUNIT_TEST(SameSumsMoveItOnce);
  CPPUNIT_TEST(OldSumsMoveNothing);
  CPPUNIT_TEST(AllAreAdmittedWhereNothingIsHeard);
  CPPUNIT_TEST(ThresholdIsForgottenInASilence);
  CPPUNIT_TEST_SUITE_END();

public:
  void CountsAreThoseOfTheLastSecond()
  {
    Window window;
    for (int i = 0; i < 30; ++i) {
      CountArrival(window, mNow + i * 100 * kMillisecond);
    }
    CountLacking(window, mNow + 2900 * kMillisecond);
    const Demand demand = DemandOf(window, mNow + 2900 * kMillisecond);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, demand.mArrived, 2);
    CPPUNIT_ASSERT_EQUAL(1U, demand.mLacking);
    CPPUNIT_ASSERT_EQUAL(0U, DemandOf(window, mNow + 5 * kSecond).mArrived);
  }

  void LessUrgentMakeRoomOnceMoreUrgentLackIt()
  {
    Hear({ { 1, { 100, 20 } }, { 2, { 400, 0 } } });
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, ShareOf(2), 0.001);
  }

  void AllAreAdmittedWhileOnlyTheLeastUrgentLackRoom()
  {
    Hear({ { 1, { 100, 2 } }, { 2, { 400, 300 } } });
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(2));
  }

  void EqualPrioritiesAreNotHeldBack()
  {
    Hear({ { 1, { 500, 400 } } });
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(1));
  }

  void FewThatLackRoomByChanceMoveNothing()
  {
    Hear({ { 1, { 10, 7 } }, { 2, { 400, 0 } } });
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(2));
  }

  void LessUrgentAreSlowedDownButNeverShutOut()
  {
    for (int i = 0; i < 100; ++i) {
      Hear({ { 1, { 100, 90 } }, { 2, { 100, 0 } }, { 3, { 100, 0 } } });
    }
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(1));
    CPPUNIT_ASSERT_EQUAL(0.2, ShareOf(2));
    CPPUNIT_ASSERT_EQUAL(0.2, ShareOf(3));
  }

  void ThresholdClosesFasterThanItOpens()
  {
    const Levels urgentLack{ { 1, { 100, 90 } }, { 2, { 200, 0 } } };
    const Levels calm{ { 1, { 100, 0 } }, { 2, { 200, 0 } } };
    for (int i = 0; i < 8; ++i) {
      Hear(urgentLack);
    }
    const double closed = ShareOf(2);
    CPPUNIT_ASSERT(closed < 0.5);
    for (int i = 0; i < 8; ++i) {
      Hear(calm);
    }
    CPPUNIT_ASSERT(ShareOf(2) > closed);
    CPPUNIT_ASSERT(ShareOf(2) - closed < (1 - closed) / 2);
  }

  void ThresholdOpensWhollyOnceRoomIsBack()
  {
    for (int i = 0; i < 10; ++i) {
      Hear({ { 1, { 100, 90 } }, { 2, { 200, 0 } }, { 3, { 200, 0 } } });
    }
    for (int i = 0; i < 200; ++i) {
      Hear({ { 1, { 100, 0 } }, { 2, { 200, 0 } }, { 3, { 200, 0 } } });
    }
    CPPUNIT_ASSERT(mThreshold.mShares.empty());
  }

  void SameSumsMoveItOnce()
  {
    const Levels levels{ { 1, { 100, 20 } }, { 2, { 400, 0 } } };
    Hear(levels);
    const double once = ShareOf(2);
    for (int i = 0; i < 5; ++i) {
      UpdateThreshold(mThreshold, levels, mToldAt, mToldAt + kSecond);
    }
    CPPUNIT_ASSERT_EQUAL(once, ShareOf(2));
  }

  void OldSumsMoveNothing()
  {
    UpdateThreshold(mThreshold,
                    { { 1, { 100, 90 } }, { 2, { 100, 0 } } },
                    mNow,
                    mNow + 3 * kSecond);
    CPPUNIT_ASSERT(mThreshold.mShares.empty());
  }

  void AllAreAdmittedWhereNothingIsHeard()
  {
    Hear({ { 1, { 100, 90 } }, { 2, { 100, 0 } } });
    CPPUNIT_ASSERT(ShareOf(2) < 1);
    CPPUNIT_ASSERT_EQUAL(1.0, AdmittedShare(mThreshold, 2, mNow + 3 * kSecond));
  }

  void ThresholdIsForgottenInASilence()
  {
    Hear({ { 1, { 100, 90 } }, { 2, { 100, 0 } } });
    mToldAt += 10 * kSecond;
    Hear({ { 1, { 100, 5 } }, { 2, { 100, 0 } } });
    CPPUNIT_ASSERT_EQUAL(1.0, ShareOf(2));
  }

private:
  // Sums are told each 0.2 s and heard half a second later.
  void Hear(const Levels& aLevels)
  {
    mToldAt += 200 * kMillisecond;
    mNow = mToldAt + 500 * kMillisecond;
    UpdateThreshold(mThreshold, aLevels, mToldAt, mNow);
  }

  [[nodiscard]] double ShareOf(int aPriority) const
  {
    return AdmittedShare(mThreshold, aPriority, mNow);
  }

  Micros mToldAt = 1000 * kSecond;
  Micros mNow = 1000 * kSecond;
  Threshold mThreshold;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairAdmissionTest);

} // namespace geraniumpond::fair_admission
