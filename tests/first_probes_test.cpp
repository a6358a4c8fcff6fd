#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::dispatch {

/// \brief When a host first asks the targets that it is told of. After a loss
/// of all hosts, part of the targets that the catalog holds may be gone, and
/// requests of returning clients should not have to find out which.
class FirstProbesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FirstProbesTest);
  CPPUNIT_TEST(StartedHostProbesItsSubsetAtOnce);
  CPPUNIT_TEST(TargetThatIsAddedLaterIsProbedAfterAWhile);
  CPPUNIT_TEST(FirstRequestAfterAStartAvoidsTargetsThatAreGone);
  CPPUNIT_TEST_SUITE_END();

public:
  void StartedHostProbesItsSubsetAtOnce()
  {
    fakes::DispatchHost host(kTargets);
    host.Advance(kMillisecond);
    CPPUNIT_ASSERT_EQUAL(kSubset, host.All<ProbeTarget>().size());
  }

  void TargetThatIsAddedLaterIsProbedAfterAWhile()
  {
    fakes::DispatchHost host(kFew);
    host.Advance(kMillisecond);
    CPPUNIT_ASSERT(host.All<ProbeTarget>().empty());
    host.Advance(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(kFew), host.All<ProbeTarget>().size());
  }

  void FirstRequestAfterAStartAvoidsTargetsThatAreGone()
  {
    fakes::DispatchHost host(kTargets);
    host.Advance(kMillisecond);
    RefuseProbes(host, kSubset / 2);
    host.AnswerProbes();
    host.mEffects.clear();
    host.Arrive("/safe/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.All<SendRequest>().size());
  }

private:
  static constexpr int kTargets = 40;
  static constexpr int kFew = 4;
  static constexpr std::size_t kSubset = 12;

  // The addresses of that many probed targets refuse connections.
  static void RefuseProbes(fakes::DispatchHost& aHost, std::size_t aCount)
  {
    const std::vector<ProbeTarget> probes = aHost.All<ProbeTarget>();
    for (std::size_t i = 0; i < aCount; ++i) {
      ProbeEnd end;
      end.mTarget = probes[i].mTarget;
      end.mRefused = true;
      HandleProbeEnd(aHost.mState, aHost.mNow, end, aHost.mEffects);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstProbesTest);

} // namespace geraniumpond::dispatch
