#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;

} // namespace

class LeavingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeavingTest);
  CPPUNIT_TEST(TargetThatSaysItLeavesGetsNothingMore);
  CPPUNIT_TEST(LeavingIsHeededInErrorsRefusalsAndProbes);
  CPPUNIT_TEST(LaterWordThatItIsReadyChangesNothing);
  CPPUNIT_TEST(NewIncarnationIsServed);
  CPPUNIT_TEST(RequestIsRefusedAtOnceWhereAllLeave);
  CPPUNIT_TEST_SUITE_END();

public:
  void TargetThatSaysItLeavesGetsNothingMore()
  {
    DispatchHost host(2);
    const std::string left = SendAndEnd(host, 200);
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(SendAndEnd(host, 200, false) != left);
    }
  }

  void LeavingIsHeededInErrorsRefusalsAndProbes()
  {
    for (const int status : { 500, 503 }) {
      DispatchHost host(2);
      const std::string left = SendAndEnd(host, status);
      CPPUNIT_ASSERT(host.mState.mTargets.at(left).mLeaving);
    }
    DispatchHost host(1);
    host.Arrive("/safe/x");
    ProbeEnd end;
    end.mTarget = "t1";
    end.mAnswered = true;
    end.mAnsweredBy = "t1";
    end.mLeaving = true;
    HandleProbeEnd(host.mState, host.mNow, end, host.mEffects);
    CPPUNIT_ASSERT(host.mState.mTargets.at("t1").mLeaving);
  }

  void LaterWordThatItIsReadyChangesNothing()
  {
    DispatchHost host(2);
    const std::string left = SendAndEnd(host, 200);
    host.mCatalog[left].set_sequence(9);
    host.RefreshCatalog();
    SetPolicy(host.mState, host.mNow, fakes::TwoRoutePolicy());
    for (int i = 0; i < 50; ++i) {
      host.Advance(100 * kMillisecond);
      host.AnswerProbes();
    }
    CPPUNIT_ASSERT(SendAndEnd(host, 200, false) != left);
  }

  void NewIncarnationIsServed()
  {
    DispatchHost host(1);
    const std::string left = SendAndEnd(host, 200);
    host.mCatalog[left].set_born_ms(7);
    host.RefreshCatalog();
    CPPUNIT_ASSERT_EQUAL(left + "/7", SendAndEnd(host, 200, false));
  }

  void RequestIsRefusedAtOnceWhereAllLeave()
  {
    DispatchHost host(1);
    (void)SendAndEnd(host, 200);
    host.mEffects.clear();
    host.Arrive("/unsafe/x");
    CPPUNIT_ASSERT_EQUAL(503, host.OnlyReply().mStatus);
    CPPUNIT_ASSERT(host.OnlyReply().mRetryAfter > 0);
  }

private:
  /// Sends a request and answers it; returns its target.
  static std::string SendAndEnd(DispatchHost& aHost,
                                int aStatus,
                                bool aLeaving = true)
  {
    aHost.mEffects.clear();
    aHost.Arrive("/unsafe/x");
    aHost.AnswerProbes();
    const auto sent = aHost.All<SendRequest>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
    AttemptEnd end;
    end.mKind = EndKind::Answered;
    end.mStatus = aStatus;
    end.mNotRun = aStatus == 503;
    end.mLeaving = aLeaving;
    aHost.EndLastSent(end);
    aHost.Advance(100 * kMillisecond);
    return sent[0].mTarget;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace geraniumpond::dispatch
