#include "frontend/native_dialect.h"
#include "frontend/request_fields.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

namespace {

constexpr const char* kKey = "0123456789";

FieldNames Names()
{
  return NativeDialect().mFieldNames;
}

HttpRequest RequestWith(const HeaderFields& aFields)
{
  HttpRequest request;
  request.mMethod = "GET";
  request.mTarget = "/x";
  request.mFields = aFields;
  return request;
}

std::string Forwarded(const HeaderFields& aFields, bool aHidesKey)
{
  Forwarding forwarding;
  forwarding.mExtraFields = FieldLine(Names().mAccount, "a");
  forwarding.mTimeout = 20 * kMillisecond;
  forwarding.mHidesKey = aHidesKey;
  return ForwardedBytes(RequestWith(aFields), Names(), forwarding);
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

/// \brief What is read from the header fields of requests, and what is sent on.
class RequestFieldsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestFieldsTest);
  CPPUNIT_TEST(KeyIsReadFromItsField);
  CPPUNIT_TEST(UnsoundKeyFieldsHoldNoKey);
  CPPUNIT_TEST(KeyIsNotSentOn);
  CPPUNIT_TEST(AccountThatAClientNamesIsNotSentOn);
  CPPUNIT_TEST(WithoutAccountsFieldsPassThrough);
  CPPUNIT_TEST(RelayFieldsAreNeverSentOn);
  CPPUNIT_TEST(RelayFieldsAreRead);
  CPPUNIT_TEST(RepeatedAndUnreadableRelayFieldsAreUnsound);
  CPPUNIT_TEST(EncodedWordIsSentOnAsItCame);
  CPPUNIT_TEST(TextWithLineBreaksIsNotSentOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeyIsReadFromItsField()
  {
    for (const HeaderFields& fields :
         { HeaderFields{ { "Authorization", "Token 0123456789" } },
           HeaderFields{ { "aUTHORIZATION", " token   0123456789 " } } }) {
      const auto key = ParseKey(fields, Names());
      CPPUNIT_ASSERT(key.has_value());
      CPPUNIT_ASSERT(*key == accounts::DigestOf(kKey));
    }
  }

  void UnsoundKeyFieldsHoldNoKey()
  {
    for (const HeaderFields& fields :
         { HeaderFields{},
           HeaderFields{ { "Authorization", "" } },
           HeaderFields{ { "Authorization", "Token" } },
           HeaderFields{ { "Authorization", "Token " } },
           HeaderFields{ { "Authorization", kKey } },
           HeaderFields{ { "Authorization", "Basic 0123456789" } },
           HeaderFields{ { "Authorization", "Token 01234 56789" } },
           HeaderFields{ { "Authorization", "Token 0123456789,Token b" } },
           HeaderFields{ { "Authorization", "Token 0123456789" },
                         { "authorization", "Token 0123456789" } } }) {
      CPPUNIT_ASSERT(!ParseKey(fields, Names()));
    }
  }

  void KeyIsNotSentOn()
  {
    const std::string bytes =
      Forwarded({ { "Host", "h" },
                  { "Authorization", "Token 0123456789" },
                  { "AUTHORIZATION", "Basic 0123456789" },
                  { "X-Other", "kept" } },
                true);
    CPPUNIT_ASSERT(!Has(bytes, kKey));
    CPPUNIT_ASSERT(Has(bytes, "X-Other: kept\r\n"));
  }

  void AccountThatAClientNamesIsNotSentOn()
  {
    const std::string bytes = Forwarded({ { "Host", "h" },
                                          { "Client-Account", "evil-1" },
                                          { "client-ACCOUNT", "evil-2" },
                                          { "Client_Account", "evil-3" },
                                          { "Connection", "Client-Account" } },
                                        true);
    CPPUNIT_ASSERT(!Has(bytes, "evil"));
    CPPUNIT_ASSERT(Has(bytes, "Client-Account: a\r\n"));
  }

  void WithoutAccountsFieldsPassThrough()
  {
    const std::string bytes =
      Forwarded({ { "Host", "h" },
                  { "Authorization", "Token 0123456789" },
                  { "Client-Account", "own" } },
                false);
    CPPUNIT_ASSERT(Has(bytes, "Authorization: Token 0123456789\r\n"));
    CPPUNIT_ASSERT(Has(bytes, "Client-Account: own\r\n"));
  }

  void RelayFieldsAreNeverSentOn()
  {
    const HeaderFields fields = { { "Host", "h" },
                                  { "relayed-after-ms", "1" },
                                  { "Answer-Bytes-Per-Second", "2" },
                                  { "RELAYED-ACCOUNT", "evil" },
                                  { "Relayed-Identity", "3" } };
    for (const bool hidesKey : { false, true }) {
      const std::string bytes = Forwarded(fields, hidesKey);
      CPPUNIT_ASSERT_EQUAL(std::string("GET /x HTTP/1.1\r\nHost: h\r\n"
                                       "Patience-Ms: 20\r\n"
                                       "Client-Account: a\r\n\r\n"),
                           bytes);
    }
  }

  void RelayFieldsAreRead()
  {
    const RelayFields read =
      ParseRelayFields({ { "Relayed-After-Ms", "15" },
                         { "answer-bytes-per-second", "262500" },
                         { "Relayed-Account", "a" },
                         { "Relayed-Identity", "00000000000000FF" } },
                       Names());
    CPPUNIT_ASSERT(read.mAny && !read.mUnsound);
    CPPUNIT_ASSERT_EQUAL(15 * kMillisecond, read.mAfter.value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(262500, read.mBytesPerSecond, 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), read.mAccount);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(255), read.mIdentity.value());
    CPPUNIT_ASSERT(!ParseRelayFields({ { "Host", "h" } }, Names()).mAny);
  }

  void RepeatedAndUnreadableRelayFieldsAreUnsound()
  {
    for (const HeaderFields& fields :
         { HeaderFields{ { "Relayed-Account", "a" },
                         { "relayed-account", "b" } },
           HeaderFields{ { "Relayed-After-Ms", "soon" } },
           HeaderFields{ { "Relayed-Identity", "x" } } }) {
      const RelayFields read = ParseRelayFields(fields, Names());
      CPPUNIT_ASSERT(read.mAny && read.mUnsound);
    }
  }

  // Guards against a target that runs a request which no client sent: the
  // encoded word was sent on with the line breaks that it stands for.
  void EncodedWordIsSentOnAsItCame()
  {
    const std::string line =
      "X-Note: =?UTF-8?Q?a=0D=0A=0D=0APOST_/y_HTTP/1.1=0D=0AHost:_h"
      "=0D=0A=0D=0A?=\r\n";
    std::string sent = "GET /x HTTP/1.1\r\nHost: h\r\n" + line + "\r\n";
    RequestReader client;
    CPPUNIT_ASSERT(client.Read(sent, {}) == ReadStatus::Complete);
    Forwarding forwarding;
    forwarding.mTimeout = 20 * kMillisecond;
    CPPUNIT_ASSERT_EQUAL("GET /x HTTP/1.1\r\nHost: h\r\n" + line +
                           "Patience-Ms: 20\r\n\r\n",
                         ForwardedBytes(client.Take(), Names(), forwarding));
  }

  // Guards against fields that are not read from a request and hold line
  // breaks.
  void TextWithLineBreaksIsNotSentOn()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FieldLine("X-Note", "a\r\nX: b"));
    CPPUNIT_ASSERT_EQUAL(std::string(), FieldLine("X-Note", "a\nb"));
    CPPUNIT_ASSERT_EQUAL(std::string(), FieldLine("X\r\nY", "a"));
    CPPUNIT_ASSERT_EQUAL(std::string("X-Note: a\tb\r\n"),
                         FieldLine("X-Note", "a\tb"));
    const std::string bytes =
      Forwarded({ { "Host", "h" }, { "X-Note", "a\r\n\r\nGET /y" } }, false);
    CPPUNIT_ASSERT(!Has(bytes, "GET /y"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFieldsTest);

} // namespace geraniumpond::frontend
