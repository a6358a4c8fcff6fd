#include <geraniumpond/dispatch.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace geraniumpond::dispatch {

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr Micros kRoundTrip = 3 * kMillisecond;

std::shared_ptr<const policy::TrafficPolicy> MakePolicy()
{
  auto trafficPolicy = std::make_shared<policy::TrafficPolicy>();
  trafficPolicy->mVersion = 1;
  policy::Route route;
  route.mName = "route";
  route.mHostName = "host";
  route.mPathPrefix = "/";
  route.mKind = policy::RouteKind::Unsafe;
  route.mTimeout = kSecond;
  route.mObjective = kSecond;
  route.mAttempts = 1;
  route.mPriority = 1;
  route.mBackends = { { "service", 1 } };
  trafficPolicy->mRoutes = { route };
  trafficPolicy->mServices["service"] = { "service", "/health", 100 };
  policy::BuildIndex(*trafficPolicy);
  return trafficPolicy;
}

template<class Kind>
std::vector<Kind> All(const Effects& aEffects)
{
  std::vector<Kind> found;
  for (const Effect& effect : aEffects) {
    if (const auto* one = std::get_if<Kind>(&effect)) {
      found.push_back(*one);
    }
  }
  return found;
}

} // namespace

class CrashesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashesTest);
  CPPUNIT_TEST(BrokenAnswerOfATargetThatAnswersIsNoCrash);
  CPPUNIT_TEST(BrokenAnswerOfATargetThatRefusesConnectionsIsACrash);
  CPPUNIT_TEST(BrokenAnswerWhoseAddressIsTakenIsACrash);
  CPPUNIT_TEST(BrokenAnswerOfAnUnresponsiveTargetIsNoCrash);
  CPPUNIT_TEST(BrokenAnswerOfARemovedTargetIsNoCrash);
  CPPUNIT_TEST(ProbeThatBrokeWithTheAnswerIsSentAgain);
  CPPUNIT_TEST(AllRequestsOfATargetThatEndedAreReported);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mNow = kStart;
    mState = State();
    mState.mRandom = 7;
    SetPolicy(mState, mNow, MakePolicy());
    wire::TargetRecord record;
    record.set_id("t");
    record.set_service("service");
    record.set_address("10.0.0.1:80");
    record.set_slots(4);
    record.set_sequence(1);
    Effects effects;
    SetTargets(mState, mNow, { { "t", record } }, effects);
  }

  void BrokenAnswerOfATargetThatAnswersIsNoCrash()
  {
    Break(Send("/a"));
    const Effects effects = EndProbe(Answer::Healthy);
    CPPUNIT_ASSERT(All<SendFact>(effects).empty());
    // Nor does a later end of the target implicate the request.
    CPPUNIT_ASSERT(All<SendFact>(EndProbe(Answer::Refused)).empty());
  }

  void BrokenAnswerOfATargetThatRefusesConnectionsIsACrash()
  {
    const Effects broken = Break(Send("/a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<ProbeTarget>(broken).size());
    const auto facts = All<SendFact>(EndProbe(Answer::Refused));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), facts.size());
    CPPUNIT_ASSERT(facts[0].mItem.mKind == gossip::Kind::RequestCrash);
  }

  void BrokenAnswerWhoseAddressIsTakenIsACrash()
  {
    Break(Send("/a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         All<SendFact>(EndProbe(Answer::Other)).size());
  }

  void BrokenAnswerOfAnUnresponsiveTargetIsNoCrash()
  {
    Break(Send("/a"));
    CPPUNIT_ASSERT(All<SendFact>(EndProbe(Answer::None)).empty());
    mNow += 4 * kSecond;
    CPPUNIT_ASSERT(All<SendFact>(EndProbe(Answer::Refused)).empty());
  }

  void BrokenAnswerOfARemovedTargetIsNoCrash()
  {
    const SendRequest sent = Send("/a");
    Effects effects;
    SetTargets(mState, mNow, {}, effects);
    CPPUNIT_ASSERT(All<SendFact>(Break(sent)).empty());
    CPPUNIT_ASSERT(All<SendFact>(EndProbe(Answer::Refused)).empty());
  }

  void ProbeThatBrokeWithTheAnswerIsSentAgain()
  {
    const SendRequest sent = Send("/a");
    (void)Submit("/b");
    CPPUNIT_ASSERT(mState.mTargets.at("t").mProbing);
    CPPUNIT_ASSERT(All<ProbeTarget>(Break(sent)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         All<ProbeTarget>(EndProbe(Answer::None)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         All<SendFact>(EndProbe(Answer::Refused)).size());
  }

  void AllRequestsOfATargetThatEndedAreReported()
  {
    const SendRequest first = Send("/a");
    const SendRequest second = Send("/b");
    const SendRequest third = Send("/c");
    Break(first);
    Break(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         All<SendFact>(EndProbe(Answer::Refused)).size());
    // The third answer breaks on another connection a moment later.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), All<SendFact>(Break(third)).size());
  }

private:
  enum class Answer
  {
    None,
    Refused,
    Other,
    Healthy
  };

  Effects Submit(const std::string& aPath)
  {
    // Reports expire between requests, so that each one sends a probe.
    mNow += 100 * kMillisecond;
    Arrival arrival;
    arrival.mId = ++mLastId;
    arrival.mHostName = "host";
    arrival.mPath = aPath;
    arrival.mPatience = kSecond;
    Effects effects;
    HandleArrival(mState, mNow, arrival, effects);
    return effects;
  }

  SendRequest Send(const std::string& aPath)
  {
    (void)Submit(aPath);
    const auto sends = All<SendRequest>(EndProbe(Answer::Healthy));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sends.size());
    return sends[0];
  }

  Effects Break(const SendRequest& aSent)
  {
    mNow += kRoundTrip;
    AttemptEnd end;
    end.mRequest = aSent.mRequest;
    end.mAttempt = aSent.mAttempt;
    end.mKind = EndKind::Broken;
    end.mReason = "reset";
    Effects effects;
    HandleAttemptEnd(mState, mNow, end, effects);
    return effects;
  }

  Effects EndProbe(Answer aAnswer)
  {
    mNow += kRoundTrip;
    ProbeEnd end;
    end.mTarget = "t";
    end.mAnswered = aAnswer == Answer::Healthy || aAnswer == Answer::Other;
    end.mHealthy = end.mAnswered;
    end.mRefused = aAnswer == Answer::Refused;
    end.mAnsweredBy = aAnswer == Answer::Other ? "u" : "t";
    end.mReport = Report{ 0, 0, 4, 1 };
    Effects effects;
    HandleProbeEnd(mState, mNow, end, effects);
    return effects;
  }

  Micros mNow = kStart;
  State mState;
  std::uint64_t mLastId = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashesTest);

} // namespace geraniumpond::dispatch
