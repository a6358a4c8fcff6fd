#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/StreamSocket.h>

#include <string>

namespace geraniumpond::frontend {

namespace {

namespace net = Poco::Net;

constexpr std::size_t kMegabyte = 1024 * 1024;

} // namespace

/// \brief Tests what one caller or target can make a whole host hold.
class GatewayBoundsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayBoundsTest);
  CPPUNIT_TEST(CallOfManyMegabytesIsRefusedByItsLength);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against memory that a document takes while it is
  // decoded, in the process that serves clients.
  void CallOfManyMegabytesIsRefusedByItsLength()
  {
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Replace("[policy]\nversion = 1\nbase = 0\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOfPut(host, 5 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(std::string("413"), StatusOfPut(host, 64 * kMegabyte));
  }

private:
  // Sends the head of a call only.
  static std::string StatusOfPut(const fakes::RunningGateway& aHost,
                                 std::size_t aLength)
  {
    net::StreamSocket socket(aHost.CallAddress());
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    const std::string head = "PUT /policy HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: " +
                             std::to_string(aLength) + "\r\n\r\n";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    char answer[64] = {};
    try {
      const int count = socket.receiveBytes(answer, sizeof(answer));
      return std::string(answer, static_cast<std::size_t>(count)).substr(9, 3);
    } catch (const Poco::TimeoutException&) {
      return "none";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayBoundsTest);

} // namespace geraniumpond::frontend
