#include "fakes/scripted_target.h"
#include "frontend/answer_bounds.h"
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

constexpr std::size_t kMegabyte = 1024 * 1024;
/// The largest answer that is let through: as large as a request may be.
constexpr std::size_t kLargestAnswer = 64 * kMegabyte;
constexpr std::chrono::seconds kGiveUpWithin{ 8 };
constexpr const char* kHead = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n";

/// \brief Collects the ends of attempts and probes.
class EndSink : public TargetSink
{
public:
  void OnProbeResult(const dispatch::ProbeEnd& aEnd) override
  {
    mProbes.push_back(aEnd);
  }
  void OnAttemptResult(dispatch::AttemptEnd aEnd,
                       HttpResponse aResponse) override
  {
    mAttempts.push_back(aEnd);
    mBytes.push_back(aResponse.mBody.size());
  }

  std::vector<dispatch::ProbeEnd> mProbes;
  std::vector<dispatch::AttemptEnd> mAttempts;
  std::vector<std::size_t> mBytes;
};

std::string Chunk(const std::string& aData)
{
  char size[16];
  (void)std::snprintf(size, sizeof(size), "%zx\r\n", aData.size());
  return size + aData + "\r\n";
}

} // namespace

/// \brief Tests a host's connections to targets that send bytes until they are
/// closed.
class EndlessAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(EndlessChunksEndTheAttempt);
  CPPUNIT_TEST(EndlessBodyWithoutALengthEndsTheAttempt);
  CPPUNIT_TEST(StatedLengthBeyondTheBoundEndsTheAttemptAtOnce);
  CPPUNIT_TEST(EndlessChunkExtensionsEndTheAttempt);
  CPPUNIT_TEST(EndlessTrailersEndTheAttempt);
  CPPUNIT_TEST(EndlessHeadEndsTheAttempt);
  CPPUNIT_TEST(EndlessInterimAnswersEndTheAttempt);
  CPPUNIT_TEST(EndlessAnswersOfOthersEndTheAttempt);
  CPPUNIT_TEST(EndlessAnswerToAProbeIsNoAnswer);
  CPPUNIT_TEST(LargestAnswerIsWhole);
  CPPUNIT_TEST(LargestAnswerInChunksIsWhole);
  CPPUNIT_TEST(InterimAndLateAnswersBeforeAnAnswerAreSkipped);
  CPPUNIT_TEST(EndlessAnswersOnAllConnectionsStayWithinTheBound);
  CPPUNIT_TEST(LargestAnswerIsGivenUpBeyondTheBound);
  CPPUNIT_TEST(BoundFollowsTheMemoryOfTheHost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against memory that grows with what a target sends until the
  // route's timeout.
  void EndlessChunksEndTheAttempt()
  {
    AssertGivenUp({ std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
                    Chunk(std::string(1000, 'x')) },
                  3 * kLargestAnswer);
  }

  void EndlessBodyWithoutALengthEndsTheAttempt()
  {
    AssertGivenUp({ std::string(kHead) + "\r\n", "xxxxxxxx" },
                  2 * kLargestAnswer);
  }

  void StatedLengthBeyondTheBoundEndsTheAttemptAtOnce()
  {
    AssertGivenUp(
      { std::string(kHead) + "Content-Length: 1099511627776\r\n\r\n", "x" },
      kLargestAnswer / 2);
  }

  // Guards against bytes that are no body and therefore not counted as one.
  void EndlessChunkExtensionsEndTheAttempt()
  {
    AssertGivenUp({ std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n",
                    "1;" + std::string(4000, 'e') + "\r\nx\r\n" },
                  3 * kLargestAnswer);
  }

  void EndlessTrailersEndTheAttempt()
  {
    AssertGivenUp(
      { std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Trailer: t\r\n" },
      kLargestAnswer);
  }

  void EndlessHeadEndsTheAttempt()
  {
    AssertGivenUp({ kHead, "X-Field: f\r\n" }, kLargestAnswer);
  }

  // Guards against a loop that skips answers for as long as they come.
  void EndlessInterimAnswersEndTheAttempt()
  {
    AssertGivenUp({ "", "HTTP/1.1 102 Processing\r\n\r\n" }, kLargestAnswer);
  }

  void EndlessAnswersOfOthersEndTheAttempt()
  {
    AssertGivenUp({ "",
                    "HTTP/1.1 200 OK\r\nRequest-Id: q0\r\n"
                    "Content-Length: 0\r\n\r\n" },
                  kLargestAnswer);
  }

  void EndlessAnswerToAProbeIsNoAnswer()
  {
    ScriptedTarget target({ "HTTP/1.1 200 OK\r\nTarget-Id: t1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            Chunk(std::string(1000, 'x')) });
    dispatch::ProbeTarget probe;
    probe.mTarget = "t1";
    probe.mAddress = target.Address();
    probe.mPath = "/health";
    mPool.Probe(probe);
    RunUntil([&] { return !mSink.mProbes.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mSink.mProbes.size());
    CPPUNIT_ASSERT(!mSink.mProbes[0].mAnswered);
    CPPUNIT_ASSERT(target.Sent() < 16 * kMegabyte);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mPool.Connections());
  }

  void LargestAnswerIsWhole()
  {
    AssertWhole({ std::string(kHead) + "Content-Length: " +
                    std::to_string(kLargestAnswer) + "\r\n\r\n",
                  std::string(1024, 'x'),
                  kLargestAnswer / 1024 },
                kLargestAnswer);
  }

  void LargestAnswerInChunksIsWhole()
  {
    ScriptedTarget target(
      { std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n" +
          Chunk(std::string(kLargestAnswer, 'x')) + "0\r\n\r\n",
        "" });
    AssertWhole(target, kLargestAnswer);
  }

  void InterimAndLateAnswersBeforeAnAnswerAreSkipped()
  {
    std::string bytes;
    for (int i = 0; i < 3; ++i) {
      bytes += "HTTP/1.1 102 Processing\r\n\r\n"
               "HTTP/1.1 200 OK\r\nRequest-Id: q0\r\n"
               "Content-Length: 1\r\n\r\ny";
    }
    ScriptedTarget target(
      { bytes + kHead + "Content-Length: 2\r\n\r\nok", "" });
    AssertWhole(target, 2);
  }

  // Guards against memory that grows with the number of such connections.
  void EndlessAnswersOnAllConnectionsStayWithinTheBound()
  {
    constexpr std::size_t kConnections = 12;
    ScriptedTarget target({ std::string(kHead) + "\r\n", "xxxxxxxx" });
    for (std::size_t i = 0; i < kConnections; ++i) {
      StartAttempt(target);
    }
    std::uint64_t most = 0;
    RunUntil([&] {
      most = std::max(most, mPool.HeldBytes());
      return mSink.mAttempts.size() == kConnections;
    });
    CPPUNIT_ASSERT_EQUAL(kConnections, mSink.mAttempts.size());
    CPPUNIT_ASSERT(most <= AnswerBounds().mMaxTotalBytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mPool.HeldBytes());
  }

  void LargestAnswerIsGivenUpBeyondTheBound()
  {
    AnswerBounds bounds;
    bounds.mMaxTotalBytes = 100;
    CPPUNIT_ASSERT(
      !AnswerToGiveUp({ { 1, 10 }, { 2, 80 }, { 3, 10 } }, bounds));
    CPPUNIT_ASSERT(AnswerToGiveUp({ { 1, 10 }, { 2, 81 }, { 3, 10 } },
                                  bounds) == std::uint64_t(2));
  }

  void BoundFollowsTheMemoryOfTheHost()
  {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(kLargestAnswer),
                         AnswerBoundsFor(kLargestAnswer, 0).mMaxBytes);
    const AnswerBounds small = AnswerBoundsFor(kLargestAnswer, 150 * kMegabyte);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(50 * kMegabyte), small.mMaxTotalBytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(50 * kMegabyte), small.mMaxBytes);
  }

private:
  void AssertGivenUp(const Script& aScript, std::size_t aMostSent)
  {
    ScriptedTarget target(aScript);
    StartAttempt(target);
    RunUntil([&] { return !mSink.mAttempts.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mSink.mAttempts.size());
    // It may have run: the request was sent.
    CPPUNIT_ASSERT(mSink.mAttempts[0].mKind == dispatch::EndKind::Broken);
    CPPUNIT_ASSERT(!mSink.mAttempts[0].mNotRun);
    CPPUNIT_ASSERT(!mSink.mAttempts[0].mReason.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mPool.Connections());
    CPPUNIT_ASSERT(target.Sent() < aMostSent);
  }

  void AssertWhole(const Script& aScript, std::size_t aBytes)
  {
    ScriptedTarget target(aScript);
    AssertWhole(target, aBytes);
  }

  void AssertWhole(ScriptedTarget& aTarget, std::size_t aBytes)
  {
    StartAttempt(aTarget);
    RunUntil([&] { return !mSink.mAttempts.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mSink.mAttempts.size());
    CPPUNIT_ASSERT(mSink.mAttempts[0].mKind == dispatch::EndKind::Answered);
    CPPUNIT_ASSERT_EQUAL(aBytes, mSink.mBytes[0]);
  }

  void StartAttempt(const ScriptedTarget& aTarget)
  {
    OutboundRequest request;
    request.mRequest = ++mLastRequest;
    request.mAttempt = mLastRequest;
    request.mTarget = aTarget.Address();
    request.mAddress = aTarget.Address();
    request.mRequestId = "q1";
    request.mBytes = "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\n\r\n";
    mPool.Send(std::move(request));
  }

  static Micros Now()
  {
    return std::chrono::duration_cast<std::chrono::microseconds>(
             steady_clock::now().time_since_epoch())
      .count();
  }

  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = steady_clock::now() + kGiveUpWithin;
    while (!aCondition() && steady_clock::now() < end) {
      const Micros now = Now();
      (void)mLoop.RunOnce(now, now + kMillisecond);
      mPacer.Tick(Now());
      mPool.Tick(Now());
    }
    mPool.Tick(Now());
  }

  static constexpr double kLinkBytesPerSecond = 1e9;

  EventLoop mLoop;
  EndSink mSink;
  LinkPacer mPacer{ kLinkBytesPerSecond };
  TargetPool mPool{ mLoop, NativeDialect().mFieldNames, mSink, mPacer };
  std::uint64_t mLastRequest = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

} // namespace geraniumpond::frontend
