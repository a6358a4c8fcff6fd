#include "fakes/scripted_target.h"
#include "frontend/native_dialect.h"
#include "frontend/target_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace geraniumpond::frontend {

namespace {

using fakes::Script;
using fakes::ScriptedTarget;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kAnswerWithin{ 5 };

/// A refusal that names no request, and one that does.
constexpr const char* kRefusal =
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kNamedRefusal =
  "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: q1\r\n"
  "Content-Length: 0\r\n\r\n";
constexpr const char* kMisdirected =
  "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kHealth =
  "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\nContent-Length: 0\r\n\r\n";

std::string SuccessOf(const std::string& aRequestId)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequestId +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// \brief Collects the ends of attempts and probes.
class EndSink : public TargetSink
{
public:
  void OnProbeResult(const dispatch::ProbeEnd&) override { ++mEnds; }
  void OnAttemptResult(dispatch::AttemptEnd aEnd, HttpResponse) override
  {
    mAttempts.push_back(aEnd);
    ++mEnds;
  }

  std::size_t mEnds = 0;
  std::vector<dispatch::AttemptEnd> mAttempts;
};

} // namespace

// Guards against a non-idempotent request that runs twice: a late second copy
// of a target's refusal, which names no request, was taken for the refusal of
// the next request on the connection, while the target ran that one.
class RepeatedRefusalsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RepeatedRefusalsTest);
  CPPUNIT_TEST(LateCopyOfARefusalIsNoAnswerToANonIdempotentRequest);
  CPPUNIT_TEST(LateCopyOfAMisdirectionIsNoAnswerToANonIdempotentRequest);
  CPPUNIT_TEST(LateCopyOfARefusedProbeIsNoAnswerToANonIdempotentRequest);
  CPPUNIT_TEST(LaterAnswersDoNotMakeTheConnectionFitAgain);
  CPPUNIT_TEST(NamedRefusalKeepsTheConnection);
  CPPUNIT_TEST(IdempotentRequestsKeepTheConnection);
  CPPUNIT_TEST(ProbeUsesAConnectionThatAnyRequestMayUse);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mPool.Tick(Now()); }

  void LateCopyOfARefusalIsNoAnswerToANonIdempotentRequest()
  {
    AssertRunsOnce(kRefusal, [&] { Send("q1", true); });
  }

  void LateCopyOfAMisdirectionIsNoAnswerToANonIdempotentRequest()
  {
    AssertRunsOnce(kMisdirected, [&] { Send("q1", true); });
  }

  void LateCopyOfARefusedProbeIsNoAnswerToANonIdempotentRequest()
  {
    AssertRunsOnce(kRefusal, [&] { Probe(); });
  }

  // A copy may come at any time while the connection is open.
  void LaterAnswersDoNotMakeTheConnectionFitAgain()
  {
    AssertRunsOnce(kRefusal, [&] {
      Send("q1", false);
      Send("q0", false);
    });
  }

  void NamedRefusalKeepsTheConnection()
  {
    mFirstAnswer = kNamedRefusal;
    Send("q1", true);
    Send("q2", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mTarget.Connections());
  }

  void IdempotentRequestsKeepTheConnection()
  {
    mFirstAnswer = kRefusal;
    Send("q1", false);
    Send("q0", false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mTarget.Connections());
  }

  // Guards against a new connection for each non-idempotent request.
  void ProbeUsesAConnectionThatAnyRequestMayUse()
  {
    mFirstAnswer = kRefusal;
    Send("q1", true);
    mFirstAnswer = kHealth;
    Send("q3", true);
    Send("q0", false);
    for (int i = 0; i < 3; ++i) {
      Probe();
      Send("q3", true);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mTarget.Connections());
  }

private:
  // The refusal that came first is sent again, late, before the answer to q2 if
  // that comes over the same connection.
  Script ScriptFor(const std::string& aHead)
  {
    if (aHead.find("GET /health") == 0) {
      return { mFirstAnswer, "" };
    }
    const std::size_t at = aHead.find("Request-Id: ");
    const std::string id = aHead.substr(at + 12, 2);
    if (id == "q1") {
      return { mFirstAnswer, "" };
    }
    const bool repeats = id == "q2" && mTarget.Connections() == 1;
    return { (repeats ? mRepeated : "") + SuccessOf(id), "" };
  }

  template<class Begin>
  void AssertRunsOnce(const char* aRefusal, Begin aBegin)
  {
    mFirstAnswer = aRefusal;
    mRepeated = aRefusal;
    aBegin();
    Send("q2", true);
    const dispatch::AttemptEnd& end = mSink.mAttempts.back();
    CPPUNIT_ASSERT(end.mKind == dispatch::EndKind::Answered);
    CPPUNIT_ASSERT(!end.mNotRun);
    CPPUNIT_ASSERT_EQUAL(200, end.mStatus);
  }

  void Send(const std::string& aId, bool aNonIdempotent)
  {
    OutboundRequest request;
    request.mRequest = ++mLastRequest;
    request.mAttempt = mLastRequest;
    request.mTarget = mTarget.Address();
    request.mAddress = mTarget.Address();
    request.mRequestId = aId;
    request.mBytes =
      "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: " + aId + "\r\n\r\n";
    request.mProvenConnection = aNonIdempotent;
    const std::size_t before = mSink.mEnds;
    mPool.Send(std::move(request));
    AwaitEnd(before + 1);
  }

  void Probe()
  {
    dispatch::ProbeTarget probe;
    probe.mTarget = mTarget.Address();
    probe.mAddress = mTarget.Address();
    probe.mPath = "/health";
    const std::size_t before = mSink.mEnds;
    mPool.Probe(probe);
    AwaitEnd(before + 1);
  }

  static Micros Now()
  {
    return std::chrono::duration_cast<std::chrono::microseconds>(
             steady_clock::now().time_since_epoch())
      .count();
  }

  void AwaitEnd(std::size_t aEnds)
  {
    const auto end = steady_clock::now() + kAnswerWithin;
    while (mSink.mEnds < aEnds && steady_clock::now() < end) {
      const Micros now = Now();
      (void)mLoop.RunOnce(now, now + kMillisecond);
      mPool.Tick(now);
    }
    CPPUNIT_ASSERT_EQUAL(aEnds, mSink.mEnds);
  }

  static constexpr double kLinkBytesPerSecond = 1e9;

  std::string mFirstAnswer = kHealth;
  std::string mRepeated;
  ScriptedTarget mTarget{ [this](const std::string& aHead) {
    return ScriptFor(aHead);
  } };
  EventLoop mLoop;
  EndSink mSink;
  LinkPacer mPacer{ kLinkBytesPerSecond };
  TargetPool mPool{ mLoop, NativeDialect().mFieldNames, mSink, mPacer };
  std::uint64_t mLastRequest = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalsTest);

} // namespace geraniumpond::frontend
