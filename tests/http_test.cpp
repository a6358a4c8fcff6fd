#include "fakes/processor_time.h"
#include "frontend/http_message.h"
#include "frontend/target_fields.h"

#include <geraniumpond/hash.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

namespace {

/// Values that mail programs decode; in HTTP they are plain text.
constexpr const char* kEncodedWords[] = {
  "=?UTF-8?Q?hello_world?=",
  "=?UTF-8?Q?a=0D=0A=0D=0APOST_/x_HTTP/1.1=0D=0AHost:_h=0D=0A=0D=0A?=",
  "=?utf-8?b?YQ0KWC1BZGRlZDogMQ==?=",
  "before =?UTF-8?Q?a?= =?UTF-8?Q?=0D=0AContent-Length:_7?= after",
  "=?UTF-8?Q?=00?=",
};

} // namespace

class HttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(RequestSplitAnywhereIsReadTheSame);
  CPPUNIT_TEST(PipelinedRequestsAreReadOneByOne);
  CPPUNIT_TEST(AmbiguousRequestsAreRejected);
  CPPUNIT_TEST(PolicyLimitsAreEnforced);
  CPPUNIT_TEST(ResponseSplitAnywhereIsReadTheSame);
  CPPUNIT_TEST(ResponseThatEndsEarlyIsNeverComplete);
  CPPUNIT_TEST(InterimResponsesAreSkipped);
  CPPUNIT_TEST(NonHttpBytesAreMalformed);
  CPPUNIT_TEST(SerializedResponseHasContentLengthAndNoHopByHopFields);
  CPPUNIT_TEST(FieldValuesOfRequestsAreReadAsSent);
  CPPUNIT_TEST(FieldValuesOfResponsesAreReadAsSent);
  CPPUNIT_TEST(LongFieldsAndManyFieldsAreReadWithinTheLimit);
  CPPUNIT_TEST(FoldedFieldIsReadAsOneLine);
  CPPUNIT_TEST(HeadsWithControlCharactersAreMalformed);
  CPPUNIT_TEST(TextWithLineBreaksIsNotSerialized);
  CPPUNIT_TEST(ManySmallChunksAreReadInOnePass);
  CPPUNIT_TEST(OnlyValidLoadIsParsed);
  CPPUNIT_TEST(OnlyValidLimitIsParsed);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestSplitAnywhereIsReadTheSame()
  {
    const std::string texts[] = {
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n",
    };
    for (const std::string& text : texts) {
      for (std::size_t split = 0; split <= text.size(); ++split) {
        RequestReader reader;
        std::string buffer = text.substr(0, split);
        if (split < text.size()) {
          CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Partial);
          buffer += text.substr(split);
        }
        CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
        const HttpRequest request = reader.Take();
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), request.mTarget);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), request.mBody);
        CPPUNIT_ASSERT_EQUAL(Hash64("hello"), request.mBodyDigest);
        CPPUNIT_ASSERT(buffer.empty());
      }
    }
  }

  void PipelinedRequestsAreReadOneByOne()
  {
    std::string buffer = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                         "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                         "\r\n";
    RequestReader reader;
    CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
    CPPUNIT_ASSERT(reader.Take().mKeepAlive);
    CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
    const HttpRequest second = reader.Take();
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), second.mTarget);
    CPPUNIT_ASSERT(!second.mKeepAlive);
  }

  void AmbiguousRequestsAreRejected()
  {
    const std::string heads[] = {
      "Host: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
      "Host: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n",
      "Host: h\r\nTransfer-Encoding: gzip, chunked\r\n",
      "Host: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n",
      "Host: h\r\nContent-Length: +1\r\n",
      "Host: h\r\nContent-Length: 0x1\r\n",
      "Host: h\r\nContent-Length : 1\r\n",
      "Host: h\r\nHost: i\r\n",
      "Accept: x\r\n",
    };
    for (const std::string& head : heads) {
      RequestReader reader;
      std::string buffer = "POST / HTTP/1.1\r\n" + head + "\r\nx";
      CPPUNIT_ASSERT_MESSAGE(head,
                             reader.Read(buffer, {}) == ReadStatus::Malformed);
      CPPUNIT_ASSERT_EQUAL(400, reader.ErrorStatus());
    }
  }

  void PolicyLimitsAreEnforced()
  {
    policy::RequestLimits limits;
    limits.mMaxHeaderBytes = 100;
    limits.mMaxBodyBytes = 10;
    struct Case
    {
      std::string mText;
      int mStatus;
    };
    const Case cases[] = {
      { "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(200, 'x'), 431 },
      { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", 413 },
      { "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "b\r\n12345678901\r\n",
        413 },
    };
    for (const Case& entry : cases) {
      RequestReader reader;
      std::string buffer = entry.mText;
      CPPUNIT_ASSERT(reader.Read(buffer, limits) == ReadStatus::Malformed);
      CPPUNIT_ASSERT_EQUAL(entry.mStatus, reader.ErrorStatus());
    }
  }

  void ResponseSplitAnywhereIsReadTheSame()
  {
    const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=7\r\n\r\n"
      "body";
    for (std::size_t split = 0; split < text.size(); ++split) {
      ResponseReader reader;
      std::string buffer = text.substr(0, split);
      CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Partial);
      buffer += text.substr(split);
      CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Complete);
      const HttpResponse response = reader.Take();
      CPPUNIT_ASSERT_EQUAL(std::string("body"), response.mBody);
      CPPUNIT_ASSERT_EQUAL(7, response.mKeepAliveSeconds);
      CPPUNIT_ASSERT(response.mKeepAlive);
    }
  }

  void ResponseThatEndsEarlyIsNeverComplete()
  {
    const std::string texts[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "",
    };
    for (const std::string& text : texts) {
      ResponseReader reader;
      std::string buffer = text;
      CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Partial);
      CPPUNIT_ASSERT_MESSAGE(text,
                             reader.OnConnectionEnd() == ReadStatus::Malformed);
    }
    // Only a body without a length is delimited by the connection's end.
    ResponseReader reader;
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\nbody";
    CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Partial);
    CPPUNIT_ASSERT(reader.OnConnectionEnd() == ReadStatus::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), reader.Take().mBody);
  }

  void InterimResponsesAreSkipped()
  {
    ResponseReader reader;
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         "HTTP/1.1 204 No Content\r\n\r\n";
    CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Complete);
    CPPUNIT_ASSERT_EQUAL(204, reader.Take().mStatus);
  }

  void NonHttpBytesAreMalformed()
  {
    for (const std::string text :
         { "garbage",
           "HTTX/1.1 200 OK\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" }) {
      ResponseReader reader;
      std::string buffer = text;
      CPPUNIT_ASSERT_MESSAGE(
        text, reader.Read(buffer, false) == ReadStatus::Malformed);
    }
  }

  void SerializedResponseHasContentLengthAndNoHopByHopFields()
  {
    HttpResponse response = MakeResponse(200, "text/plain", "body");
    response.mFields.emplace_back("Connection", "X-Hop, keep-alive");
    response.mFields.emplace_back("X-Hop", "1");
    response.mFields.emplace_back("Transfer-Encoding", "chunked");
    response.mFields.emplace_back("X-Kept", "1");
    const std::string text = Serialize(response, true, false);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\n"
                                     "Content-Type: text/plain\r\n"
                                     "X-Kept: 1\r\n"
                                     "Content-Length: 4\r\n"
                                     "Connection: close\r\n\r\nbody"),
                         text);
  }

  void OnlyValidLimitIsParsed()
  {
    using Kind = dispatch::StatedLimit::Kind;
    const auto read = [](const HeaderFields& aFields) {
      return ParseLimit(aFields, "Target-Limit");
    };
    CPPUNIT_ASSERT(read({ { "Other", "1" } }).mKind == Kind::Absent);
    for (const std::string text : { "3.4", " 3.4", "3.40", "34e-1" }) {
      const dispatch::StatedLimit word = read({ { "target-limit", text } });
      CPPUNIT_ASSERT_MESSAGE(text, word.mKind == Kind::Valid);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(3.4, word.mPerSecond, 1e-9);
    }
    CPPUNIT_ASSERT(read({ { "Target-Limit", "0" } }).mKind == Kind::Valid);
    CPPUNIT_ASSERT(read({ { "Target-Limit", "1e300" } }).mKind == Kind::Valid);
    for (const std::string text :
         { "", "-1", "few", "nan", "inf", "-inf", "1e999", "3,4", "3 4" }) {
      CPPUNIT_ASSERT_MESSAGE(
        text, read({ { "Target-Limit", text } }).mKind == Kind::Invalid);
    }
    const HeaderFields twice = { { "Target-Limit", "3" },
                                 { "Target-Limit", "4" } };
    CPPUNIT_ASSERT(read(twice).mKind == Kind::Invalid);
  }

  // Guards against a smuggled request: a field value that was decoded as that
  // of a mail held line breaks that its sender had not sent.
  void FieldValuesOfRequestsAreReadAsSent()
  {
    for (const char* value : kEncodedWords) {
      std::string buffer =
        "GET / HTTP/1.1\r\nHost: h\r\nX-Note: " + std::string(value) +
        "\r\n\r\n";
      RequestReader reader;
      CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
      const HttpRequest request = reader.Take();
      CPPUNIT_ASSERT_EQUAL(std::string(value),
                           *FindField(request.mFields, "X-Note"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), request.mFields.size());
    }
  }

  // Guards against an answer whose decoded fields add a signature, a length or
  // another answer.
  void FieldValuesOfResponsesAreReadAsSent()
  {
    for (const char* value : kEncodedWords) {
      std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Note: " +
                           std::string(value) + "\r\n\r\n";
      ResponseReader reader;
      CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Complete);
      const HttpResponse response = reader.Take();
      CPPUNIT_ASSERT_EQUAL(std::string(value),
                           *FindField(response.mFields, "X-Note"));
      const std::string sent = Serialize(response, false, false);
      CPPUNIT_ASSERT(sent.find("X-Note: " + std::string(value) + "\r\n") !=
                     std::string::npos);
    }
  }

  // Guards against refusing proper requests: a value of more than 8 KB and a
  // hundred fields were malformed, whatever the policy's limit.
  void LongFieldsAndManyFieldsAreReadWithinTheLimit()
  {
    const std::string cookie(9000, 'c');
    std::string many;
    for (int i = 0; i < 150; ++i) {
      many += "X-" + std::to_string(i) + ": v\r\n";
    }
    for (const std::string& fields :
         { "Cookie: " + cookie + "\r\n", many, "X-Empty:\r\n" + many }) {
      std::string buffer = "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
      RequestReader reader;
      CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
    }
  }

  void FoldedFieldIsReadAsOneLine()
  {
    std::string buffer = "GET / HTTP/1.1\r\nHost: h\r\nX-Note: a\r\n"
                         " \tb: c\r\n\r\n";
    RequestReader reader;
    CPPUNIT_ASSERT(reader.Read(buffer, {}) == ReadStatus::Complete);
    const HttpRequest request = reader.Take();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), request.mFields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a b: c"),
                         *FindField(request.mFields, "X-Note"));
  }

  // Guards against bytes that the next hop may take for the end of a line.
  void HeadsWithControlCharactersAreMalformed()
  {
    using namespace std::string_literals;
    for (const std::string& head : {
           "GET / HTTP/1.1\r\nHost: h\r\nX-Note: a\nb: c\r\n\r\n"s,
           "GET / HTTP/1.1\r\nHost: h\r\nX-Note: a\rb: c\r\n\r\n"s,
           "GET / HTTP/1.1\r\nHost: h\r\nX-Note: a\0b\r\n\r\n"s,
           "GET / HTTP/1.1\r\nHost: h\r\nX-No\0te: a\r\n\r\n"s,
           "GET / HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n"s,
           "GET / HTTP/1.1\nHost: h\r\n\r\n"s,
           "G\tET / HTTP/1.1\r\nHost: h\r\n\r\n"s,
           "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n"s,
           "GET /\rx HTTP/1.1\r\nHost: h\r\n\r\n"s,
         }) {
      std::string buffer = head;
      RequestReader reader;
      CPPUNIT_ASSERT_MESSAGE(head,
                             reader.Read(buffer, {}) == ReadStatus::Malformed);
    }
    for (const std::string& head : {
           "HTTP/1.1 200 O\nK\r\nContent-Length: 0\r\n\r\n"s,
           "HTTP/1.1 200 OK\r\nX-Note: a\nContent-Length: 0\r\n\r\n"s,
           "HTTP/1.1 200 OK\r\nX-Note: a\0\r\nContent-Length: 0\r\n\r\n"s,
         }) {
      std::string buffer = head;
      ResponseReader reader;
      CPPUNIT_ASSERT_MESSAGE(
        head, reader.Read(buffer, false) == ReadStatus::Malformed);
    }
  }

  // Guards against a text of the host's own, such as a name that somebody
  // chose, that adds a field or a message.
  void TextWithLineBreaksIsNotSerialized()
  {
    HttpResponse response = MakeResponse(200, "text/plain", "ok");
    response.mReason = "OK\r\nX-Added: 1";
    response.mFields.emplace_back("X-Note", "a\r\nX-Added: 2");
    response.mFields.emplace_back("X-Other\r\nX-Added", "3");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\n"
                                     "Content-Type: text/plain\r\n"
                                     "Content-Length: 2\r\n\r\nok"),
                         Serialize(response, false, false));
  }

  // Guards against a loop that is held up by the size of what has come: each
  // chunk was looked for, or moved, through all bytes behind it.
  void ManySmallChunksAreReadInOnePass()
  {
    constexpr std::size_t kChunks = 150000;
    std::string buffer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < kChunks; ++i) {
      buffer += "1\r\nx\r\n";
    }
    buffer += "0\r\n\r\n";
    ResponseReader reader;
    const double start = fakes::ProcessorSeconds();
    CPPUNIT_ASSERT(reader.Read(buffer, false) == ReadStatus::Complete);
    CPPUNIT_ASSERT(fakes::ProcessorSeconds() - start < 0.5);
    CPPUNIT_ASSERT_EQUAL(kChunks, reader.Take().mBody.size());
  }

  void OnlyValidLoadIsParsed()
  {
    const auto full = ParseLoad("3, 1,8,250");
    CPPUNIT_ASSERT(full.has_value());
    CPPUNIT_ASSERT_EQUAL(3, full->mRunning);
    CPPUNIT_ASSERT_EQUAL(1, full->mWaiting);
    CPPUNIT_ASSERT_EQUAL(8, full->mSlots);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, full->mSlowness, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, ParseLoad("0,0,2")->mSlowness, 1e-9);
    for (const std::string text :
         { "", "1,2", "a,b,c", "1,2,0", "-1,0,2", "1,0,2,0", "1,0,2,x" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseLoad(text).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace geraniumpond::frontend
