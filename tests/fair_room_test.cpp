#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchLoad;
using fakes::DispatchOutcomes;
using fakes::DispatchPart;
using fakes::DispatchWorld;

double Served(const DispatchPart& aPart)
{
  return static_cast<double>(aPart.mInTime + aPart.mLate) / aPart.mOffered;
}

double InTime(const DispatchPart& aPart)
{
  return static_cast<double>(aPart.mInTime) / aPart.mOffered;
}

std::string Figures(const std::map<std::string, DispatchPart>& aParts)
{
  std::string text;
  for (const auto& [name, part] : aParts) {
    text += name + " served " + std::to_string(Served(part)) + " in time " +
            std::to_string(InTime(part)) + "; ";
  }
  return text;
}

} // namespace

/// \brief Plays accounts and kinds of request that share a service with too
/// little room, over many hosts.
class FairRoomTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairRoomTest);
  CPPUNIT_TEST(UrgentKindsGetRoomAtAllHostsWhileALessUrgentOneSurges);
  CPPUNIT_TEST(UrgentKindsGetRoomAtAllHostsInAnOverload);
  CPPUNIT_TEST(CalmLoadIsServedAsWithoutCounts);
  CPPUNIT_TEST(NobodyIsHeldBackWhereTargetsShed);
  CPPUNIT_TEST(HostsThatHearNothingServeAsWithoutCounts);
  CPPUNIT_TEST(AccountThatSurgesIsServedWorseThanTheOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  void UrgentKindsGetRoomAtAllHostsWhileALessUrgentOneSurges()
  {
    DispatchLoad load = LoadOf(0.8);
    load.mKinds[0].mSurge = 2.4;
    const DispatchOutcomes alone = Play(load);
    load.mFairAcrossHosts = true;
    const DispatchOutcomes fair = Play(load);
    CheckKinds(fair);
    CheckUrgentGain(alone, fair, 0.05);
  }

  void UrgentKindsGetRoomAtAllHostsInAnOverload()
  {
    DispatchLoad load = LoadOf(1.2);
    const DispatchOutcomes alone = Play(load);
    load.mFairAcrossHosts = true;
    const DispatchOutcomes fair = Play(load);
    CheckKinds(fair);
    CheckUrgentGain(alone, fair, 0.05);
  }

  void CalmLoadIsServedAsWithoutCounts()
  {
    DispatchLoad load = LoadOf(0.7);
    const DispatchOutcomes alone = Play(load);
    load.mFairAcrossHosts = true;
    const DispatchOutcomes fair = Play(load);
    CPPUNIT_ASSERT(alone.mInTime > 0.95 * alone.mOffered);
    CPPUNIT_ASSERT_EQUAL(alone.mInTime, fair.mInTime);
    CPPUNIT_ASSERT_EQUAL(alone.mRefused, fair.mRefused);
  }

  void NobodyIsHeldBackWhereTargetsShed()
  {
    DispatchLoad load = LoadOf(0.7);
    load.mSheddingShare = 0.3;
    const DispatchOutcomes alone = Play(load);
    load.mFairAcrossHosts = true;
    const DispatchOutcomes fair = Play(load);
    for (const auto& [name, part] : alone.mKinds) {
      CPPUNIT_ASSERT_MESSAGE(Figures(alone.mKinds) + Figures(fair.mKinds),
                             Served(fair.mKinds.at(name)) >
                               Served(part) - 0.02);
    }
  }

  void HostsThatHearNothingServeAsWithoutCounts()
  {
    DispatchLoad load = LoadOf(1.2);
    const DispatchOutcomes alone = Play(load);
    load.mFairAcrossHosts = true;
    load.mCountDelay = 3600 * kSecond;
    const DispatchOutcomes fair = Play(load);
    CPPUNIT_ASSERT_EQUAL(alone.mInTime, fair.mInTime);
    CPPUNIT_ASSERT_EQUAL(alone.mRefused, fair.mRefused);
  }

  void AccountThatSurgesIsServedWorseThanTheOthers()
  {
    DispatchLoad load = LoadOf(0.7);
    AddAccounts(load);
    load.mAccounts[2].mSurge = 8;
    const DispatchOutcomes outcomes = Play(load);
    const double surging = InTime(outcomes.mAccounts.at("a2"));
    DispatchPart others;
    DispatchPart all;
    for (const auto& [name, part] : outcomes.mAccounts) {
      Add(all, part);
      if (name != "a2") {
        Add(others, part);
      }
    }
    const std::string figures = Figures(outcomes.mAccounts);
    CPPUNIT_ASSERT_MESSAGE(figures, InTime(others) > surging + 0.05);
    for (const auto& [name, part] : outcomes.mAccounts) {
      CPPUNIT_ASSERT_MESSAGE(figures, Served(part) > Served(all) / 4);
    }
  }

private:
  // A load as a share of the slots that targets can use well; the most urgent
  // kind has the lowest number.
  static DispatchLoad LoadOf(double aShare)
  {
    constexpr double kUsableSlots = 0.83;
    DispatchLoad load;
    load.mSlots = 4;
    load.mSlowShare = 0.1;
    load.mSlowFactor = 3;
    load.mCrowdedFactor = 1.3;
    load.mKinds = {
      { "lookup",
        0.6,
        1,
        3,
        220 * kMillisecond,
        600 * kMillisecond,
        3000 * kMillisecond },
      { "view",
        0.2,
        1,
        2,
        90 * kMillisecond,
        250 * kMillisecond,
        1500 * kMillisecond },
      { "payment",
        0.2,
        1,
        1,
        160 * kMillisecond,
        400 * kMillisecond,
        2500 * kMillisecond },
    };
    double work = 0;
    for (const fakes::DispatchKind& kind : load.mKinds) {
      work += kind.mShare * static_cast<double>(kind.mWork);
    }
    load.mPerSecond =
      aShare * kUsableSlots * load.mTargets * load.mSlots * kSecond / work;
    return load;
  }

  // A few accounts are large.
  static void AddAccounts(DispatchLoad& aLoad)
  {
    constexpr int kAccounts = 20;
    constexpr double kSkew = 1.2;
    double sum = 0;
    for (int i = 1; i <= kAccounts; ++i) {
      sum += std::pow(i, -kSkew);
    }
    for (int i = 1; i <= kAccounts; ++i) {
      aLoad.mAccounts.push_back(
        { "a" + std::to_string(i - 1), std::pow(i, -kSkew) / sum, 1 });
    }
  }

  static DispatchOutcomes Play(const DispatchLoad& aLoad)
  {
    DispatchWorld world(aLoad, 7);
    world.AddTargets();
    return world.RunLoad(12 * kSecond);
  }

  static void Add(DispatchPart& aSum, const DispatchPart& aPart)
  {
    aSum.mOffered += aPart.mOffered;
    aSum.mInTime += aPart.mInTime;
    aSum.mLate += aPart.mLate;
  }

  // No kind is starved, or served less well than a less urgent one.
  static void CheckKinds(const DispatchOutcomes& aOutcomes)
  {
    const std::string figures = Figures(aOutcomes.mKinds);
    const DispatchPart& payment = aOutcomes.mKinds.at("payment");
    const DispatchPart& view = aOutcomes.mKinds.at("view");
    const DispatchPart& lookup = aOutcomes.mKinds.at("lookup");
    DispatchPart all = payment;
    Add(all, view);
    Add(all, lookup);
    CPPUNIT_ASSERT_MESSAGE(figures, Served(lookup) > Served(all) / 4);
    CPPUNIT_ASSERT_MESSAGE(figures, Served(view) > Served(lookup) - 0.05);
    CPPUNIT_ASSERT_MESSAGE(figures, Served(payment) > Served(view) - 0.05);
    CPPUNIT_ASSERT_MESSAGE(figures, InTime(view) > InTime(lookup) - 0.15);
    CPPUNIT_ASSERT_MESSAGE(figures, InTime(payment) > InTime(view) - 0.15);
  }

  static void CheckUrgentGain(const DispatchOutcomes& aAlone,
                              const DispatchOutcomes& aFair,
                              double aGain)
  {
    for (const std::string kind : { "payment", "view" }) {
      CPPUNIT_ASSERT_MESSAGE(
        kind + ": " + Figures(aAlone.mKinds) + Figures(aFair.mKinds),
        Served(aFair.mKinds.at(kind)) > Served(aAlone.mKinds.at(kind)) + aGain);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairRoomTest);

} // namespace geraniumpond::dispatch
