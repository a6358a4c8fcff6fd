#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::dispatch {

/// \brief A host that was cut off from the targets reaches them again, while
/// another service has targets that answer nobody.
class CutOffHostTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CutOffHostTest);
  CPPUNIT_TEST(HostThatHearsAllServicesIsConnectedSoon);
  CPPUNIT_TEST(ServiceThatIsDownDoesNotKeepAHostCutOff);
  CPPUNIT_TEST(ServiceWhoseTargetsAreWithdrawnDoesNotKeepAHostCutOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHost = std::make_unique<fakes::DispatchHost>(kTargets);
    auto policy =
      std::make_shared<policy::TrafficPolicy>(*fakes::TwoRoutePolicy());
    policy->mServices["down"] = { "down", "/health", 100 };
    SetPolicy(mHost->mState, mHost->mNow, policy);
    for (int i = 1; i <= kTargets; ++i) {
      wire::TargetRecord& target = mHost->mCatalog["d" + std::to_string(i)];
      target.set_id("d" + std::to_string(i));
      target.set_service("down");
      target.set_address("10.8.0." + std::to_string(i) + ":80");
      target.set_slots(2);
      target.set_sequence(1);
    }
    mHost->RefreshCatalog();
    EndProbesFor(3 * kSecond, true);
    mHost->mState.mReach.mCutOff = true;
  }

  void HostThatHearsAllServicesIsConnectedSoon()
  {
    EndProbesFor(2 * kSecond, true);
    CPPUNIT_ASSERT(!IsCutOff(mHost->mState));
  }

  void ServiceThatIsDownDoesNotKeepAHostCutOff()
  {
    EndProbesFor(10 * kSecond, false);
    CPPUNIT_ASSERT(!IsCutOff(mHost->mState));
  }

  void ServiceWhoseTargetsAreWithdrawnDoesNotKeepAHostCutOff()
  {
    EndProbesFor(1 * kSecond, false);
    for (int i = 1; i <= kTargets; ++i) {
      mHost->mCatalog.erase("d" + std::to_string(i));
    }
    mHost->RefreshCatalog();
    EndProbesFor(3 * kSecond, true);
    CPPUNIT_ASSERT(!IsCutOff(mHost->mState));
  }

private:
  static constexpr int kTargets = 6;

  // Targets of the second service answer, or their addresses refuse.
  void EndProbesFor(Micros aTime, bool aAllAnswer)
  {
    const Micros end = mHost->mNow + aTime;
    while (mHost->mNow < end) {
      mHost->Advance(10 * kMillisecond);
      if (!aAllAnswer) {
        RefuseProbesOfSecondService();
      }
      mHost->AnswerProbes();
      (void)UpdateReach(mHost->mState, mHost->mNow, mHost->mEffects);
    }
  }

  void RefuseProbesOfSecondService()
  {
    for (int i = 1; i <= kTargets; ++i) {
      const auto found = mHost->mState.mTargets.find("d" + std::to_string(i));
      if (found != mHost->mState.mTargets.end() && found->second.mProbing) {
        ProbeEnd end;
        end.mTarget = found->first;
        end.mRefused = true;
        HandleProbeEnd(mHost->mState, mHost->mNow, end, mHost->mEffects);
      }
    }
  }

  std::unique_ptr<fakes::DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutOffHostTest);

} // namespace geraniumpond::dispatch
