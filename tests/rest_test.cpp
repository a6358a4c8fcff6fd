#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;

AttemptEnd TurnedAway(Micros aRest)
{
  AttemptEnd end;
  end.mKind = EndKind::Answered;
  end.mStatus = 503;
  end.mNotRun = true;
  end.mRest = { StatedRest::Kind::Valid, aRest };
  return end;
}

} // namespace

class RestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RestTest);
  CPPUNIT_TEST(ShorterRestDoesNotEndALongerOne);
  CPPUNIT_TEST(RestOutlastsRefreshesOfCatalogAndPolicy);
  CPPUNIT_TEST(NewIncarnationAtTheSameAddressDoesNotRest);
  CPPUNIT_TEST(ProbeThatAsksForRestIsHeeded);
  CPPUNIT_TEST(UnreadableRestChangesNothing);
  CPPUNIT_TEST(TargetsOutsideTheSubsetServeWhileItRests);
  CPPUNIT_TEST(RefusalNamesTheEndOfTheEarliestRest);
  CPPUNIT_TEST_SUITE_END();

public:
  void ShorterRestDoesNotEndALongerOne()
  {
    DispatchHost host(1);
    Rest(host, "t1", 3 * kSecond);
    Rest(host, "t1", 100 * kMillisecond);
    host.mNow += 2900 * kMillisecond;
    CPPUNIT_ASSERT(IsResting(host, "t1"));
  }

  void RestOutlastsRefreshesOfCatalogAndPolicy()
  {
    DispatchHost host(2);
    Rest(host, "t1", 3 * kSecond);
    host.mCatalog["t1"].set_sequence(2);
    host.RefreshCatalog();
    SetPolicy(host.mState, host.mNow, fakes::TwoRoutePolicy());
    CPPUNIT_ASSERT(IsResting(host, "t1"));
  }

  void NewIncarnationAtTheSameAddressDoesNotRest()
  {
    DispatchHost host(1);
    Rest(host, "t1", 3 * kSecond);
    host.mCatalog["t1"].set_born_ms(5);
    host.RefreshCatalog();
    host.Arrive("/safe/x");
    host.AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.All<SendRequest>().size());
  }

  void ProbeThatAsksForRestIsHeeded()
  {
    DispatchHost host(1);
    host.Arrive("/safe/x");
    ProbeEnd end;
    end.mTarget = "t1";
    end.mAnswered = true;
    end.mAnsweredBy = "t1";
    end.mRest = { StatedRest::Kind::Valid, 3 * kSecond };
    HandleProbeEnd(host.mState, host.mNow, end, host.mEffects);
    CPPUNIT_ASSERT_EQUAL(503, host.OnlyReply().mStatus);
    host.mEffects.clear();
    host.Advance(2900 * kMillisecond);
    CPPUNIT_ASSERT(host.All<ProbeTarget>().empty());
    host.Advance(1 * kSecond);
    CPPUNIT_ASSERT(!host.All<ProbeTarget>().empty());
  }

  void UnreadableRestChangesNothing()
  {
    DispatchHost host(1);
    host.Arrive("/safe/x");
    host.AnswerProbes();
    AttemptEnd end = TurnedAway(0);
    end.mRest.mKind = StatedRest::Kind::Invalid;
    host.EndLastSent(end);
    CPPUNIT_ASSERT(!IsResting(host, "t1"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         host.mState.mCounters.at("rests_unreadable"));
  }

  void TargetsOutsideTheSubsetServeWhileItRests()
  {
    DispatchHost host(64);
    const std::vector<std::string> subset =
      host.mState.mServices.at("service").mSubset;
    CPPUNIT_ASSERT(subset.size() < 64);
    for (const std::string& id : subset) {
      Rest(host, id, 3 * kSecond);
    }
    host.Arrive("/safe/x");
    host.AnswerProbes();
    const auto sent = host.All<SendRequest>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
    CPPUNIT_ASSERT(std::count(subset.begin(), subset.end(), sent[0].mTarget) ==
                   0);
  }

  void RefusalNamesTheEndOfTheEarliestRest()
  {
    DispatchHost host(2);
    Rest(host, "t1", 5 * kSecond);
    Rest(host, "t2", 3 * kSecond);
    host.Arrive("/unsafe/x");
    const ReplyToClient reply = host.OnlyReply();
    CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
    CPPUNIT_ASSERT(reply.mRetryAfter >= 3 * kSecond);
    CPPUNIT_ASSERT(reply.mRetryAfter < 5 * kSecond);
    CPPUNIT_ASSERT(host.All<ProbeTarget>().empty());
  }

private:
  // As an answer to a probe, which any target may give.
  static void Rest(DispatchHost& aHost, const std::string& aId, Micros aFor)
  {
    ProbeEnd end;
    end.mTarget = aId;
    end.mAnswered = true;
    end.mHealthy = true;
    end.mAnsweredBy = aId;
    end.mRest = { StatedRest::Kind::Valid, aFor };
    end.mReport = Report{ 0, 0, 2, 1 };
    HandleProbeEnd(aHost.mState, aHost.mNow, end, aHost.mEffects);
  }

  static bool IsResting(const DispatchHost& aHost, const std::string& aId)
  {
    return aHost.mNow < aHost.mState.mTargets.at(aId).mRestUntil;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestTest);

} // namespace geraniumpond::dispatch
