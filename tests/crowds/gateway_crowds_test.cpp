#include "crowd.h"
#include "gateway_under_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::crowds {

namespace {

constexpr std::size_t kUploads = 24;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr const char* kChunkEnd = "0\r\n\r\n";
/// Descriptors of a host beside those of its clients.
constexpr std::size_t kOwnDescriptors = 64;

std::string Head(const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aFields)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: h.example\r\n" +
         "Request-Id: crowd\r\n" + aFields + "\r\n";
}

Script BodyWithLength(const std::string& aMethod,
                      const std::string& aPath,
                      std::size_t aBytes)
{
  Script script;
  script.mStart =
    Head(aMethod, aPath, "Content-Length: " + std::to_string(aBytes) + "\r\n");
  script.mRepeated = std::string(kPieceBytes, 'x');
  script.mTimes = aBytes / kPieceBytes;
  return script;
}

/// \brief The same, of which the last piece is not sent.
Script StoppingShort(Script aScript)
{
  --aScript.mTimes;
  aScript.mEnd.clear();
  return aScript;
}

Script Chunked(std::size_t aChunkBytes, std::size_t aBytes)
{
  Script script;
  script.mStart = Head("POST", "/upload", "Transfer-Encoding: chunked\r\n");
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aChunkBytes);
  const std::string chunk = size + std::string(aChunkBytes, 'x') + "\r\n";
  const std::size_t chunks =
    std::max<std::size_t>(kPieceBytes / aChunkBytes, 1);
  for (std::size_t i = 0; i < chunks; ++i) {
    script.mRepeated += chunk;
  }
  script.mTimes = aBytes / (aChunkBytes * chunks);
  script.mEnd = kChunkEnd;
  return script;
}

Script Sends(const std::string& aBytes)
{
  Script script;
  script.mStart = aBytes;
  return script;
}

} // namespace

/// \brief Tests that crowds of clients that do not behave leave a gateway host
/// within its memory and descriptors, and serving.
class GatewayCrowdsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayCrowdsTest);
  CPPUNIT_TEST(OneBodyOfTheLargestSizeIsServedInCalm);
  CPPUNIT_TEST(OneChunkedBodyOfTheLargestSizeIsServedInCalm);
  CPPUNIT_TEST(BodyThatIsSentOnIsHeldOnce);
  CPPUNIT_TEST(BodiesSentWholeAtOnceFitTheMemory);
  CPPUNIT_TEST(BodiesThatStopShortFitTheMemory);
  CPPUNIT_TEST(BodiesThatDripFitTheMemory);
  CPPUNIT_TEST(BodiesThatDripAreGivenUp);
  CPPUNIT_TEST(ChunkedBodiesThatStopShortFitTheMemory);
  CPPUNIT_TEST(ChunkedBodiesInSmallChunksFitTheMemory);
  CPPUNIT_TEST(ChunkedBodiesWithoutEndFitTheMemory);
  CPPUNIT_TEST(BodiesFarOverTheLimitFitTheMemory);
  CPPUNIT_TEST(BodiesAtTheCallListenerFitTheMemory);
  CPPUNIT_TEST(BodiesAtTheMetricsListenerFitTheMemory);
  CPPUNIT_TEST(WholeDocumentsAtTheCallListenerFitTheMemory);
  CPPUNIT_TEST(BytesReadAheadFitTheMemory);
  CPPUNIT_TEST(LargeHeadsOfWaitingRequestsFitTheMemory);
  CPPUNIT_TEST(UnfinishedHeadsFitTheMemory);
  CPPUNIT_TEST(HeadsThatDripAreGivenUp);
  CPPUNIT_TEST(AnswersNobodyReadsFitTheMemory);
  CPPUNIT_TEST(AnswersNobodyReadsAreGivenUp);
  CPPUNIT_TEST(SilentConnectionsLeaveDescriptors);
  CPPUNIT_TEST(SilentConnectionsAtTheCallListenerLeaveDescriptors);
  CPPUNIT_TEST(SilentConnectionsAtTheHostListenerLeaveDescriptors);
  CPPUNIT_TEST(HostWithManyConnectionsOutlivesLossOfAnother);
  CPPUNIT_TEST_SUITE_END();

public:
  void OneBodyOfTheLargestSizeIsServedInCalm()
  {
    ServeOneInCalm(BodyWithLength("POST", "/upload", kLargest));
  }

  void OneChunkedBodyOfTheLargestSizeIsServedInCalm()
  {
    ServeOneInCalm(Chunked(kPieceBytes, kLargest));
  }

  // An attempt sent a copy, and a buffer that grew held the body twice.
  void BodyThatIsSentOnIsHeldOnce()
  {
    HostLimits limits;
    limits.mMemoryMb = 0;
    limits.mBodyBytes = kLargest;
    GatewayUnderTest host(limits);
    Crowd crowd(host.Callers(), 1, BodyWithLength("POST", "/upload", kLargest));
    CPPUNIT_ASSERT(crowd.PlayUntil([&] { return crowd.Answered(200) == 1; }));
    const std::size_t peak = host.Process().PeakMemoryBytes();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak < 2 * kLargest);
  }

  void BodiesSentWholeAtOnceFitTheMemory()
  {
    PlayUploads(BodyWithLength("POST", "/upload", 8 * kMegabyte));
  }

  void BodiesThatStopShortFitTheMemory()
  {
    PlayUploads(
      StoppingShort(BodyWithLength("POST", "/upload", 8 * kMegabyte)));
  }

  // Each byte counted as activity, so that such bodies were held for good.
  void BodiesThatDripFitTheMemory()
  {
    Script script =
      StoppingShort(BodyWithLength("POST", "/upload", 8 * kMegabyte));
    script.mDrip = "x";
    PlayUploads(script);
  }

  void BodiesThatDripAreGivenUp()
  {
    Script script = BodyWithLength("POST", "/upload", 8 * kMegabyte);
    script.mTimes = 1;
    script.mDrip = "x";
    CheckGivenUp(script);
  }

  void ChunkedBodiesThatStopShortFitTheMemory()
  {
    PlayUploads(StoppingShort(Chunked(kPieceBytes, 8 * kMegabyte)));
  }

  void ChunkedBodiesInSmallChunksFitTheMemory()
  {
    PlayUploads(StoppingShort(Chunked(1, 8 * kMegabyte)));
  }

  void ChunkedBodiesWithoutEndFitTheMemory()
  {
    PlayUploads(Chunked(kPieceBytes, 64 * kMegabyte));
  }

  void BodiesFarOverTheLimitFitTheMemory()
  {
    Script script = BodyWithLength("POST", "/upload", 64 * kMegabyte);
    PlayUploads(script);
  }

  void BodiesAtTheCallListenerFitTheMemory()
  {
    GatewayUnderTest host({});
    Crowd crowd(host.Calls(), kCalls, CallThatStopsShort());
    crowd.Play([] {});
    host.CheckHolds();
  }

  void BodiesAtTheMetricsListenerFitTheMemory()
  {
    GatewayUnderTest host({});
    Crowd crowd(host.Metrics(), kCalls, CallThatStopsShort());
    crowd.Play([] {});
    host.CheckHolds();
  }

  void WholeDocumentsAtTheCallListenerFitTheMemory()
  {
    HostLimits limits;
    limits.mMemoryMb = 160;
    GatewayUnderTest host(limits);
    Script script;
    constexpr std::size_t kTimes = 32 * 1024;
    script.mRepeated = "[service name]\nhealth_path = /health-of-the-service\n"
                       "\n[service other]\nhealth_path = /health-of-this-one\n";
    script.mTimes = kTimes;
    script.mStart = Head(
      "PUT",
      "/policy",
      "Content-Length: " + std::to_string(script.mRepeated.size() * kTimes) +
        "\r\n");
    Crowd crowd(host.Calls(), kUploads, script);
    crowd.Play([] {});
    host.CheckHolds();
  }

  // Requests are held at their target, and much more is sent behind them.
  void BytesReadAheadFitTheMemory()
  {
    HostLimits limits;
    limits.mMemoryMb = 64;
    GatewayUnderTest host(limits);
    Script script = Sends(Head("GET", "/held", ""));
    script.mRepeated = Head("GET", "/held", "Filler: " + Filler(15000));
    script.mTimes = kPieceBytes / script.mRepeated.size() * 16;
    Crowd crowd(host.Callers(), kWaiting, script);
    crowd.Play([] {});
    host.CheckHolds();
  }

  void LargeHeadsOfWaitingRequestsFitTheMemory()
  {
    HostLimits limits;
    limits.mMemoryMb = 64;
    GatewayUnderTest host(limits);
    Script script;
    script.mRepeated = Head("GET", "/held", "Filler: " + Filler(15000));
    script.mTimes = kPipelined;
    Crowd crowd(host.Callers(), kWaiting, script);
    crowd.Play([] {});
    host.CheckHolds();
  }

  void UnfinishedHeadsFitTheMemory()
  {
    HostLimits limits;
    limits.mMemoryMb = 48;
    limits.mHeaderBytes = 256 * 1024;
    GatewayUnderTest host(limits);
    Script script = Sends("GET /held HTTP/1.1\r\nHost: h.example\r\nFiller: ");
    script.mRepeated = std::string(1024, 'x');
    script.mTimes = 250;
    Crowd crowd(host.Callers(), kHeads, script);
    crowd.Play([] {});
    host.CheckHolds();
  }

  void HeadsThatDripAreGivenUp()
  {
    Script script =
      Sends("GET /upload HTTP/1.1\r\nHost: h.example\r\nFiller: ");
    script.mDrip = "x";
    CheckGivenUp(script);
  }

  void AnswersNobodyReadsFitTheMemory()
  {
    HostLimits limits;
    limits.mIdleTimeout = "60s";
    GatewayUnderTest host(limits);
    const Crowds crowds = LeaveAnswersUnread(host);
    host.CheckHolds();
  }

  void AnswersNobodyReadsAreGivenUp()
  {
    HostLimits limits;
    limits.mMemoryMb = 2048;
    GatewayUnderTest host(limits);
    const Crowds crowds = LeaveAnswersUnread(host);
    CheckGivenUp(host, *crowds.front());
  }

  void SilentConnectionsLeaveDescriptors()
  {
    GatewayUnderTest host(FewDescriptors());
    Crowd crowd(host.Callers(), kSilent, Script());
    CheckLeavesDescriptors(host, crowd);
  }

  void SilentConnectionsAtTheCallListenerLeaveDescriptors()
  {
    GatewayUnderTest host(FewDescriptors());
    Crowd crowd(host.Calls(), kSilent, Script());
    CheckLeavesDescriptors(host, crowd);
  }

  void SilentConnectionsAtTheHostListenerLeaveDescriptors()
  {
    GatewayUnderTest host(FewDescriptors());
    Crowd crowd(host.Peers(), kSilent, Script());
    CheckLeavesDescriptors(host, crowd);
  }

  // A host without a free descriptor ended when it had to reach another one
  // anew.
  void HostWithManyConnectionsOutlivesLossOfAnother()
  {
    GatewayUnderTest host(FewDescriptors());
    std::unique_ptr<ChildProcess> other = host.StartFollower("127.0.0.2");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Crowd crowd(host.Callers(), kSilent, Script());
    crowd.Play([] {});
    other->Kill();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    other = host.StartFollower("127.0.0.3");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    host.CheckHolds();
  }

private:
  static constexpr std::size_t kLargest = 64 * kMegabyte;
  static constexpr std::size_t kCalls = 100;
  static constexpr std::size_t kWaiting = 600;
  static constexpr std::size_t kPipelined = 16;
  static constexpr std::size_t kHeads = 240;
  static constexpr std::size_t kUnreadCrowds = 24;
  static constexpr std::size_t kUnreadEach = 3;
  static constexpr std::size_t kDripping = 120;
  static constexpr std::size_t kSilent = 400;

  static std::string Filler(std::size_t aBytes)
  {
    return std::string(aBytes, 'x') + "\r\n";
  }

  static Script CallThatStopsShort()
  {
    return StoppingShort(BodyWithLength("PUT", "/policy", 3 * kMegabyte));
  }

  using Crowds = std::vector<std::unique_ptr<Crowd>>;

  // One small crowd after another, so that the host has read the answers for
  // one when the next comes.
  static Crowds LeaveAnswersUnread(GatewayUnderTest& aHost)
  {
    Script script = Sends(Head("GET", "/large", ""));
    script.mReadsAnswers = false;
    Crowds crowds;
    for (std::size_t i = 0; i < kUnreadCrowds; ++i) {
      crowds.push_back(
        std::make_unique<Crowd>(aHost.Callers(), kUnreadEach, script));
      crowds.back()->Play([] {});
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return crowds;
  }

  static HostLimits FewDescriptors()
  {
    HostLimits limits;
    limits.mDescriptors = 300;
    limits.mIdleTimeout = "120s";
    return limits;
  }

  // The machine has room for one such body beside the process itself.
  static void ServeOneInCalm(const Script& aScript)
  {
    HostLimits limits;
    limits.mMemoryMb = 160;
    limits.mBodyBytes = kLargest;
    GatewayUnderTest host(limits);
    Crowd crowd(host.Callers(), 1, aScript);
    CPPUNIT_ASSERT(crowd.PlayUntil(
      [&] { return crowd.Answered(200) == 1 || crowd.Open() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, crowd.Answered(200));
    host.CheckHolds();
  }

  static void PlayUploads(const Script& aScript)
  {
    GatewayUnderTest host({});
    Crowd crowd(host.Callers(), kUploads, aScript);
    crowd.Play([] {});
    host.CheckHolds();
  }

  static void CheckGivenUp(const Script& aScript)
  {
    GatewayUnderTest host({});
    Crowd crowd(host.Callers(), kDripping, aScript);
    crowd.Play([] {});
    CheckGivenUp(host, crowd);
  }

  static void CheckGivenUp(GatewayUnderTest& aHost, Crowd& aCrowd)
  {
    CPPUNIT_ASSERT_MESSAGE("the host keeps such clients", aCrowd.PlayUntil([&] {
      return aHost.Process().Descriptors() < kOwnDescriptors;
    }));
    aHost.CheckHolds();
  }

  static void CheckLeavesDescriptors(GatewayUnderTest& aHost, Crowd& aCrowd)
  {
    aCrowd.Play([] {});
    aHost.CheckDescriptors();
    aHost.CheckHolds();
    aHost.CheckDescriptors();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayCrowdsTest);

} // namespace geraniumpond::crowds
