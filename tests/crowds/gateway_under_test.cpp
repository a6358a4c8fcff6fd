#include "gateway_under_test.h"

#include "crowd.h"

#include <cppunit/TestAssert.h>

#include <Poco/File.h>

#include <fstream>
#include <stdexcept>

namespace geraniumpond::crowds {

namespace {

constexpr const char* kIp = "127.0.0.1";
constexpr int kStatusOk = 200;
constexpr int kPorts = 4;
/// Left for targets, other hosts, the disk and operators.
constexpr std::size_t kSpareDescriptors = 32;
constexpr const char* kOrdinary = "GET /ordinary/one HTTP/1.1\r\n"
                                  "Host: h.example\r\n"
                                  "Request-Id: ordinary\r\n\r\n";

// Ports that follow each other, so that all hosts can use the same ones, below
// those that the system hands out to clients.
int NextPorts()
{
  static int next = 24100;
  next += kPorts;
  return next - kPorts;
}

std::string PutBytes(const std::string& aPath, const std::string& aBody)
{
  return "PUT " + aPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// A route and its service, whose kind of request may be repeated.
std::string ServiceText(const std::string& aName, const std::string& aPrefix)
{
  return "[service " + aName + "]\nhealth_path = /health\n" +
         "max_connections = 400\n\n[route " + aName +
         "]\nhost = h.example\nprefix = " + aPrefix +
         "\nkind = safe\ntimeout = 60s\nobjective = 30s\nattempts = 2\n" +
         "backends = " + aName + ":1\n\n";
}

} // namespace

GatewayUnderTest::GatewayUnderTest(const HostLimits& aLimits)
  : mLimits(aLimits)
  , mFolder(NewFolder())
  , mPort(NextPorts())
{
  const std::string file = mFolder + "/host.ini";
  WriteSettings(kIp, file, true);
  Poco::File(mFolder + "/disk").createDirectories();
  mProcess = std::make_unique<ChildProcess>(
    std::vector<std::string>{
      GERANIUMPOND_BINARY, "gateway", "--settings", file },
    mFolder + "/log",
    mLimits.mDescriptors);
  PutPolicy();
}

GatewayUnderTest::~GatewayUnderTest()
{
  mProcess.reset();
  Poco::File(mFolder).remove(true);
}

void GatewayUnderTest::WriteSettings(const std::string& aIp,
                                     const std::string& aFile,
                                     bool aFounder) const
{
  const auto address = [&](const std::string& aOf, int aOffset) {
    return aOf + ":" + std::to_string(mPort + aOffset);
  };
  std::ofstream file(aFile);
  file << "[host]\nid = host-" << aIp << "\ndata_centre = dc\n"
       << "data_folder = " << (aFounder ? mFolder + "/disk" : "")
       << "\nprocess_mb = " << mLimits.mMemoryMb
       << "\n[listen]\ncallers = " << address(aIp, 0)
       << "\ncalls = " << address(aIp, 1) << "\nhosts = " << address(aIp, 2)
       << "\nmetrics = " << address(aIp, 3)
       << "\n[fleet]\nseeds = " << address(kIp, 1)
       << "\nfounding = " << (aFounder ? "yes" : "no")
       << "\n[bounds]\nanswer_keep = 100ms\n";
}

void GatewayUnderTest::PutPolicy()
{
  const std::string policy =
    "[policy]\nversion = 1\nbase = 0\n\n[limits]\nheader_bytes = " +
    std::to_string(mLimits.mHeaderBytes) +
    "\nbody_bytes = " + std::to_string(mLimits.mBodyBytes) +
    "\nheader_timeout = " + mLimits.mHeaderTimeout +
    "\nidle_timeout = " + mLimits.mIdleTimeout + "\n\n" +
    ServiceText("s", "/") + ServiceText("o", "/ordinary/");
  const bool serves =
    OrdinaryRequest(Calls(), PutBytes("/policy", policy)) == kStatusOk &&
    Announce("s", mTarget) && Announce("o", mOrdinaryTarget) &&
    OrdinaryRequest(Callers(), kOrdinary) == kStatusOk;
  if (!serves) {
    throw std::runtime_error("the host does not serve a first request");
  }
}

bool GatewayUnderTest::Announce(const std::string& aService,
                                const BodyTarget& aTarget) const
{
  const std::string record = R"({"service":")" + aService + R"(","address":")" +
                             aTarget.Address() +
                             R"(","slots":64,"sequence":1})";
  return OrdinaryRequest(
           Calls(), PutBytes("/targets/" + aTarget.Id(), record)) == kStatusOk;
}

Poco::Net::SocketAddress GatewayUnderTest::Callers() const
{
  return { kIp, static_cast<Poco::UInt16>(mPort) };
}

Poco::Net::SocketAddress GatewayUnderTest::Calls() const
{
  return { kIp, static_cast<Poco::UInt16>(mPort + 1) };
}

Poco::Net::SocketAddress GatewayUnderTest::Peers() const
{
  return { kIp, static_cast<Poco::UInt16>(mPort + 2) };
}

Poco::Net::SocketAddress GatewayUnderTest::Metrics() const
{
  return { kIp, static_cast<Poco::UInt16>(mPort + 3) };
}

std::unique_ptr<ChildProcess> GatewayUnderTest::StartFollower(
  const std::string& aIp) const
{
  const std::string file = mFolder + "/" + aIp + ".ini";
  WriteSettings(aIp, file, false);
  return std::make_unique<ChildProcess>(
    std::vector<std::string>{
      GERANIUMPOND_BINARY, "gateway", "--settings", file },
    mFolder + "/" + aIp + ".log");
}

void GatewayUnderTest::CheckHolds()
{
  const std::size_t peak = mProcess->PeakMemoryBytes() / kMegabyte;
  CPPUNIT_ASSERT_MESSAGE("the process has ended", mProcess->IsAlive());
  CPPUNIT_ASSERT_MESSAGE("it held " + std::to_string(peak) + " of " +
                           std::to_string(mLimits.mMemoryMb) + " MB",
                         peak <= mLimits.mMemoryMb);
  CPPUNIT_ASSERT_EQUAL_MESSAGE("an ordinary request was not answered",
                               kStatusOk,
                               OrdinaryRequest(Callers(), kOrdinary));
  CPPUNIT_ASSERT_MESSAGE("the process has ended", mProcess->IsAlive());
}

void GatewayUnderTest::CheckDescriptors()
{
  const std::size_t open = mProcess->Descriptors();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(open) + " descriptors of " +
                           std::to_string(mLimits.mDescriptors) + " are open",
                         open + kSpareDescriptors <= mLimits.mDescriptors);
}

} // namespace geraniumpond::crowds
