#include "child_process.h"
#include "crowd.h"
#include "fakes/free_address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <geraniumpond/hash.h>

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

namespace geraniumpond::crowds {

namespace {

/// What the smallest machine of a deployment has.
constexpr std::size_t kMemoryMb = 260;
constexpr std::size_t kConnections = 100;
constexpr std::size_t kBodyBytes = 32 * kMegabyte;
constexpr int kStatusOk = 200;
constexpr const char* kOperator = "operator";
constexpr const char* kOrdinary = "GET /s/read/one HTTP/1.1\r\nHost: h\r\n"
                                  "Authorization: Bearer caller\r\n"
                                  "Connection: close\r\n\r\n";

using fakes::FreeAddress;

/// \brief One host of `serve` for control and entry, and one target.
class OlderHost
{
public:
  OlderHost()
  {
    ::setenv("GERANIUMPOND_TOKEN", kOperator, 1);
    WriteSettings();
    WriteDeployment();
    const std::string settings = mFolder + "/host.ini";
    CPPUNIT_ASSERT_EQUAL(0, Run({ "init", "--settings", settings }));
    mProcess = std::make_unique<ChildProcess>(
      std::vector<std::string>{
        GERANIUMPOND_BINARY, "serve", "--settings", settings },
      mFolder + "/log");
    CPPUNIT_ASSERT(Apply());
    mTarget =
      std::make_unique<ChildProcess>(std::vector<std::string>{ FAKE_TARGET,
                                                               "--listen",
                                                               FreeAddress(),
                                                               "--service",
                                                               "s",
                                                               "--id",
                                                               "s-0",
                                                               "--token",
                                                               "target",
                                                               "--data-centre",
                                                               "dc",
                                                               "--announce",
                                                               mAdmin },
                                     mFolder + "/target.log");
    CPPUNIT_ASSERT_EQUAL(kStatusOk, OrdinaryRequest(Callers(), kOrdinary));
  }
  ~OlderHost()
  {
    mTarget.reset();
    mProcess.reset();
    Poco::File(mFolder).remove(true);
  }
  OlderHost(const OlderHost&) = delete;
  OlderHost& operator=(const OlderHost&) = delete;

  [[nodiscard]] Poco::Net::SocketAddress Callers() const
  {
    return Poco::Net::SocketAddress(mCallers);
  }
  [[nodiscard]] Poco::Net::SocketAddress Admin() const
  {
    return Poco::Net::SocketAddress(mAdmin);
  }
  [[nodiscard]] ChildProcess& Process() { return *mProcess; }

  void CheckHolds()
  {
    const std::size_t peak = mProcess->PeakMemoryBytes() / kMegabyte;
    CPPUNIT_ASSERT_MESSAGE("the process has ended", mProcess->IsAlive());
    CPPUNIT_ASSERT_MESSAGE("it held " + std::to_string(peak) + " of " +
                             std::to_string(kMemoryMb) + " MB",
                           peak <= kMemoryMb);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary call was not answered",
                                 kStatusOk,
                                 OrdinaryRequest(Callers(), kOrdinary));
    CPPUNIT_ASSERT_MESSAGE("the process has ended", mProcess->IsAlive());
  }

private:
  int Run(std::vector<std::string> aWords)
  {
    aWords.insert(aWords.begin(), GERANIUMPOND_BINARY);
    return RunToEnd(aWords, mFolder + "/commands.log");
  }

  bool Apply()
  {
    for (int i = 0; i < 100; ++i) {
      if (Run({ "apply",
                mFolder + "/deployment.ini",
                "--expect-version",
                "0",
                "--change-id",
                "one",
                "--host",
                mAdmin }) == 0) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  void WriteSettings()
  {
    std::ofstream file(mFolder + "/host.ini");
    file << "[host]\nid = h-1\ndata_centre = dc\nroles = control, entry\n"
         << "data_folder = " << mFolder
         << "/disk\n[listen]\ncallers = " << mCallers << "\nadmin = " << mAdmin
         << "\nhosts = " << mHosts << "\nmax_connections = " << kConnections
         << "\n[control]\nvoters = h-1@" << mHosts
         << "\noperator_token_sha256 = " << Sha256Hex(kOperator) << "\n";
  }

  void WriteDeployment()
  {
    std::ofstream file(mFolder + "/deployment.ini");
    file << "[deployment]\nname = crowds\n[service s]\nslots = 4\n"
         << "target_token_sha256 = " << Sha256Hex("target")
         << "\n[kind read]\nservice = s\nmethods = GET\npath = /s/read\n"
            "idempotent = yes\ndeadline_ms = 4000\nobjective_ms = 500\n"
            "objective_percent = 99\n"
            "[kind upload]\nservice = s\nmethods = POST\npath = /s/upload\n"
            "idempotent = no\ndeadline_ms = 30000\nmax_body_kb = "
         << kBodyBytes / 1024
         << "\nobjective_ms = 15000\nobjective_percent = 99\n"
            "[caller c]\ntoken_sha256 = "
         << Sha256Hex("caller") << "\nservices = s\nshare_percent = 50\n";
  }

  std::string mFolder = NewFolder();
  std::string mCallers = FreeAddress();
  std::string mAdmin = FreeAddress();
  std::string mHosts = FreeAddress();
  std::unique_ptr<ChildProcess> mProcess;
  std::unique_ptr<ChildProcess> mTarget;
};

Script Upload()
{
  constexpr std::size_t kPieceBytes = 64 * 1024;
  Script script;
  script.mStart = "POST /s/upload/one HTTP/1.1\r\nHost: h\r\n"
                  "Authorization: Bearer caller\r\nContent-Length: " +
                  std::to_string(kBodyBytes) + "\r\n\r\n";
  script.mRepeated = std::string(kPieceBytes, 'x');
  script.mTimes = kBodyBytes / kPieceBytes;
  return script;
}

} // namespace

/// \brief Tests that crowds of clients that do not behave leave a host of
/// `serve` within its memory, and serving.
class OlderHostCrowdsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OlderHostCrowdsTest);
  CPPUNIT_TEST(OneBodyOfTheLargestSizeIsServedInCalm);
  CPPUNIT_TEST(BodiesSentWholeAtOnceFitTheMemory);
  CPPUNIT_TEST(BodiesThatStopShortFitTheMemory);
  CPPUNIT_TEST(BodiesThatAreOnlyAnnouncedFitTheMemory);
  CPPUNIT_TEST(BodiesThatDripAreGivenUp);
  CPPUNIT_TEST(HeadsThatDripAreGivenUp);
  CPPUNIT_TEST(SilentConnectionsLeaveRoomForACall);
  CPPUNIT_TEST(BodiesAtTheAdminListenerFitTheMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  void OneBodyOfTheLargestSizeIsServedInCalm()
  {
    OlderHost host;
    Crowd crowd(host.Callers(), 1, Upload());
    CPPUNIT_ASSERT(crowd.PlayUntil(
      [&] { return crowd.Answered(200) == 1 || crowd.Open() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, crowd.Answered(200));
    host.CheckHolds();
  }

  void BodiesSentWholeAtOnceFitTheMemory() { PlayUploads(Upload()); }

  void BodiesThatStopShortFitTheMemory()
  {
    Script script = Upload();
    --script.mTimes;
    PlayUploads(script);
  }

  // The whole length was taken from the memory before a byte had come.
  void BodiesThatAreOnlyAnnouncedFitTheMemory()
  {
    Script script = Upload();
    script.mTimes = 0;
    PlayUploads(script);
  }

  void BodiesThatDripAreGivenUp()
  {
    Script script = Upload();
    script.mTimes = 1;
    script.mDrip = "x";
    CheckGivenUp(script);
  }

  void HeadsThatDripAreGivenUp()
  {
    Script script;
    script.mStart = "GET /s/read/one HTTP/1.1\r\nHost: h\r\nFiller: ";
    script.mDrip = "x";
    CheckGivenUp(script);
  }

  // The crowd takes more connections than the host serves at once. What silent
  // clients may take until they are closed is four times the wait here.
  void SilentConnectionsLeaveRoomForACall()
  {
    OlderHost host;
    Crowd crowd(host.Callers(), kConnections + kConnections / 2, Script());
    crowd.Play([] {});
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         AnswerWithin(host.Callers(), std::chrono::seconds(4)));
    host.CheckHolds();
  }

  void BodiesAtTheAdminListenerFitTheMemory()
  {
    constexpr std::size_t kCalls = 120;
    OlderHost host;
    Script script;
    script.mStart = "PUT /v1/deployment HTTP/1.1\r\nHost: h\r\n"
                    "Authorization: Bearer operator\r\n"
                    "Geraniumpond-Expect-Version: 1\r\n"
                    "Geraniumpond-Change-Id: crowd\r\nContent-Length: " +
                    std::to_string(4 * kMegabyte) + "\r\n\r\n";
    script.mRepeated = std::string(64 * 1024, 'x');
    script.mTimes = 4 * kMegabyte / script.mRepeated.size() - 1;
    Crowd crowd(host.Admin(), kCalls, script);
    crowd.Play([] {});
    host.CheckHolds();
  }

private:
  static constexpr std::size_t kUploads = 24;
  static constexpr std::size_t kDripping = 40;

  static void PlayUploads(const Script& aScript)
  {
    OlderHost host;
    Crowd crowd(host.Callers(), kUploads, aScript);
    crowd.Play([] {});
    host.CheckHolds();
  }

  static void CheckGivenUp(const Script& aScript)
  {
    OlderHost host;
    const std::size_t before = host.Process().Descriptors();
    Crowd crowd(host.Callers(), kDripping, aScript);
    crowd.Play([] {});
    CPPUNIT_ASSERT_MESSAGE("the host keeps such clients", crowd.PlayUntil([&] {
      return host.Process().Descriptors() < before + kDripping / 4;
    }));
    host.CheckHolds();
  }

  static std::string AnswerWithin(const Poco::Net::SocketAddress& aTo,
                                  std::chrono::seconds aTime)
  {
    constexpr std::size_t kStatusEnd = 12;
    try {
      const std::string request = kOrdinary;
      Poco::Net::StreamSocket socket(aTo);
      socket.setReceiveTimeout(Poco::Timespan(aTime.count(), 0));
      socket.sendBytes(request.data(), static_cast<int>(request.size()));
      char answer[kStatusEnd] = {};
      const int count = socket.receiveBytes(answer, sizeof(answer));
      return std::string(answer, static_cast<std::size_t>(count));
    } catch (const Poco::Exception& error) {
      return error.displayText();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OlderHostCrowdsTest);

} // namespace geraniumpond::crowds
