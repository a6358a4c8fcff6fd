#include "edge/forwarding.h"

#include <cppunit/extensions/HelperMacros.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <sstream>
#include <string>

namespace geraniumpond::edge {

/// \brief Tests the fields of messages at the older host, which POCO reads.
class OlderHostFieldsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OlderHostFieldsTest);
  CPPUNIT_TEST(DecodedLineBreaksAreNoFieldTexts);
  CPPUNIT_TEST(PlainFieldsAreFieldTexts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a smuggled request: an encoded word is decoded while it is
  // read, and would be sent on as several lines.
  void DecodedLineBreaksAreNoFieldTexts()
  {
    const std::string field = "X-Note: =?UTF-8?Q?a=0D=0AX-Added:_1?=\r\n\r\n";
    Poco::Net::HTTPRequest request;
    std::istringstream requestBytes("GET / HTTP/1.1\r\n" + field);
    request.read(requestBytes);
    CPPUNIT_ASSERT(!HasFieldTexts(request));
    Poco::Net::HTTPResponse response;
    std::istringstream responseBytes("HTTP/1.1 200 OK\r\n" + field);
    response.read(responseBytes);
    CPPUNIT_ASSERT(!HasFieldTexts(response));
  }

  void PlainFieldsAreFieldTexts()
  {
    Poco::Net::HTTPRequest request;
    std::istringstream bytes("GET / HTTP/1.1\r\nHost: h\r\nX: a\tb\r\n\r\n");
    request.read(bytes);
    CPPUNIT_ASSERT(HasFieldTexts(request));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OlderHostFieldsTest);

} // namespace geraniumpond::edge
