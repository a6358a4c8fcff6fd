#include "http_message.h"

#include "answer_bounds.h"
#include "http_head.h"

#include <geraniumpond/field_text.h>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <cctype>

namespace geraniumpond::frontend {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxResponseHead = 64 * 1024;

bool ParseLength(const std::string& aText, std::uint64_t& aOut)
{
  const bool digits =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
      return std::isdigit(static_cast<unsigned char>(aChar)) != 0;
    });
  Poco::UInt64 value = 0;
  if (!digits || !Poco::NumberParser::tryParseUnsigned64(aText, value)) {
    return false;
  }
  aOut = value;
  return true;
}

// The usual reason of the status, unless the message has one that stays within
// its line.
std::string ReasonOf(const HttpResponse& aResponse)
{
  return !aResponse.mReason.empty() && IsFieldText(aResponse.mReason)
           ? aResponse.mReason
           : Poco::Net::HTTPResponse::getReasonForStatus(
               static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
                 aResponse.mStatus));
}

} // namespace

// ------------------------------------------------------------- RequestReader

ReadStatus RequestReader::Reject(int aStatus, std::string aReason)
{
  mErrorStatus = aStatus;
  mErrorReason = std::move(aReason);
  return ReadStatus::Malformed;
}

ReadStatus RequestReader::StartBody(const policy::RequestLimits& aLimits)
{
  const HeaderFields& fields = mRequest.mFields;
  const std::size_t encodings = CountFields(fields, "Transfer-Encoding");
  const std::size_t lengths = CountFields(fields, "Content-Length");
  if (encodings > 0) {
    const std::string& encoding = *FindField(fields, "Transfer-Encoding");
    if (encodings > 1 || lengths > 0 ||
        !EqualIgnoringCase(encoding, "chunked")) {
      return Reject(400, "ambiguous framing");
    }
    mBody.Start(BodyReader::Framing::Chunked, 0, aLimits.mMaxBodyBytes);
    return ReadStatus::Complete;
  }
  if (lengths == 0) {
    mBody.Start(BodyReader::Framing::None, 0, 0);
    return ReadStatus::Complete;
  }
  std::uint64_t length = 0;
  if (lengths > 1 ||
      !ParseLength(*FindField(fields, "Content-Length"), length)) {
    return Reject(400, "ambiguous framing");
  }
  if (length > aLimits.mMaxBodyBytes) {
    return Reject(413, "body too large");
  }
  mBody.Start(BodyReader::Framing::Length, length, length);
  return ReadStatus::Complete;
}

ReadStatus RequestReader::ReadHead(std::string& aBuffer,
                                   const policy::RequestLimits& aLimits)
{
  // Empty lines before a request are skipped, as RFC 9112 recommends.
  while (aBuffer.compare(0, 2, "\r\n") == 0) {
    aBuffer.erase(0, 2);
  }
  const std::size_t end = aBuffer.find(kHeadEnd);
  if (end == std::string::npos) {
    return aBuffer.size() > aLimits.mMaxHeaderBytes
             ? Reject(431, "header too large")
             : ReadStatus::Partial;
  }
  if (end > aLimits.mMaxHeaderBytes) {
    return Reject(431, "header too large");
  }
  Result<RequestHead> head = ParseRequestHead(
    std::string_view(aBuffer).substr(0, end + kHeadEnd.size()));
  if (!head) {
    return Reject(400, head.error().mMessage);
  }
  aBuffer.erase(0, end + kHeadEnd.size());
  mHeadBytes = end;
  mRequest = HttpRequest();
  mRequest.mMethod = std::move(head.value().mMethod);
  mRequest.mTarget = std::move(head.value().mTarget);
  mRequest.mFields = std::move(head.value().mFields);
  mRequest.mKeepAlive = head.value().mKeepAlive;
  if (mRequest.mTarget.empty() || mRequest.mTarget[0] != '/' ||
      CountFields(mRequest.mFields, "Host") != 1) {
    return Reject(400, "malformed request");
  }
  mHaveHead = true;
  mExpectsContinue = HasToken(mRequest.mFields, "Expect", "100-continue");
  return StartBody(aLimits);
}

ReadStatus RequestReader::Read(std::string& aBuffer,
                               const policy::RequestLimits& aLimits)
{
  if (!mHaveHead) {
    const ReadStatus head = ReadHead(aBuffer, aLimits);
    if (head != ReadStatus::Complete) {
      return head;
    }
  }
  const ReadStatus body = mBody.Feed(aBuffer, mRequest.mBody);
  if (body == ReadStatus::Malformed) {
    return Reject(400, "malformed chunks");
  }
  if (mRequest.mBody.size() > aLimits.mMaxBodyBytes) {
    return Reject(413, "body too large");
  }
  HashNewBytes();
  return body;
}

// Hashes incrementally: hashing a large body at once would block the loop.
void RequestReader::HashNewBytes()
{
  const std::string& body = mRequest.mBody;
  if (body.size() == mHashedBytes) {
    return;
  }
  if (!mHasher) {
    mHasher.emplace();
  }
  mHasher->Add(std::string_view(body).substr(mHashedBytes));
  mHashedBytes = body.size();
}

HttpRequest RequestReader::Take()
{
  mRequest.mBodyDigest = mHasher ? mHasher->Digest() : 0;
  mHasher.reset();
  mHashedBytes = 0;
  mHaveHead = false;
  mExpectsContinue = false;
  return std::move(mRequest);
}

// A string that an empty one is assigned to keeps its buffer; one that is moved
// from does not.
void RequestReader::Reset()
{
  const HttpRequest dropped = std::move(mRequest);
  *this = RequestReader();
}

bool RequestReader::TakeExpectContinue() noexcept
{
  return std::exchange(mExpectsContinue, false);
}

// ------------------------------------------------------------ ResponseReader

ReadStatus ResponseReader::ReadHead(std::string& aBuffer, bool aHeadOnly)
{
  const std::size_t end = aBuffer.find(kHeadEnd);
  if (end == std::string::npos) {
    const bool malformed =
      aBuffer.size() > kMaxResponseHead ||
      aBuffer.compare(0,
                      5,
                      std::string_view("HTTP/").substr(
                        0, std::min<std::size_t>(5, aBuffer.size()))) != 0;
    return malformed ? ReadStatus::Malformed : ReadStatus::Partial;
  }
  if (end > kMaxResponseHead) {
    return ReadStatus::Malformed;
  }
  Result<ResponseHead> head = ParseResponseHead(
    std::string_view(aBuffer).substr(0, end + kHeadEnd.size()));
  if (!head) {
    return ReadStatus::Malformed;
  }
  aBuffer.erase(0, end + kHeadEnd.size());
  mResponse = HttpResponse();
  mResponse.mStatus = head.value().mStatus;
  mResponse.mReason = std::move(head.value().mReason);
  mResponse.mFields = std::move(head.value().mFields);
  const HeaderFields& fields = mResponse.mFields;
  mResponse.mKeepAlive = head.value().mKeepAlive;
  mResponse.mKeepAliveSeconds = KeepAliveSeconds(fields);
  if (mResponse.mStatus < 100 || mResponse.mStatus > 599) {
    return ReadStatus::Malformed;
  }
  const std::size_t encodings = CountFields(fields, "Transfer-Encoding");
  const std::size_t lengths = CountFields(fields, "Content-Length");
  std::uint64_t length = 0;
  if (aHeadOnly || mResponse.mStatus == 204 || mResponse.mStatus == 304 ||
      mResponse.mStatus < 200) {
    mBody.Start(BodyReader::Framing::None, 0, 0);
  } else if (encodings > 0) {
    if (encodings > 1 || lengths > 0 ||
        !EqualIgnoringCase(*FindField(fields, "Transfer-Encoding"),
                           "chunked")) {
      return ReadStatus::Malformed;
    }
    mBody.Start(BodyReader::Framing::Chunked, 0, mMaxBody);
  } else if (lengths > 0) {
    if (lengths > 1 ||
        !ParseLength(*FindField(fields, "Content-Length"), length)) {
      return ReadStatus::Malformed;
    }
    if (length > mMaxBody) {
      return ReadStatus::TooLarge;
    }
    mBody.Start(BodyReader::Framing::Length, length, length);
  } else {
    mBody.Start(BodyReader::Framing::UntilClose, 0, mMaxBody);
    mResponse.mKeepAlive = false;
  }
  mHaveHead = true;
  return ReadStatus::Complete;
}

ReadStatus ResponseReader::Read(std::string& aBuffer, bool aHeadOnly)
{
  while (true) {
    if (!mHaveHead) {
      const ReadStatus head = ReadHead(aBuffer, aHeadOnly);
      if (head != ReadStatus::Complete) {
        return head;
      }
    }
    if (mResponse.mStatus >= 200) {
      const ReadStatus body = mBody.Feed(aBuffer, mResponse.mBody);
      return mResponse.mBody.size() > mMaxBody ? ReadStatus::TooLarge : body;
    }
    // Interim responses are skipped; the final one follows.
    mHaveHead = false;
    if (++mInterimResponses > kMaxSkippedAnswers) {
      return ReadStatus::Malformed;
    }
  }
}

ReadStatus ResponseReader::OnConnectionEnd()
{
  return mHaveHead && mBody.Kind() == BodyReader::Framing::UntilClose
           ? ReadStatus::Complete
           : ReadStatus::Malformed;
}

HttpResponse ResponseReader::Take()
{
  mHaveHead = false;
  mInterimResponses = 0;
  return std::move(mResponse);
}

// -------------------------------------------------------------------- others

std::string Serialize(const HttpResponse& aResponse,
                      bool aClose,
                      bool aHeadOnly)
{
  std::string out;
  out.reserve(512 + aResponse.mBody.size());
  out += "HTTP/1.1 ";
  out += std::to_string(aResponse.mStatus);
  out += ' ';
  out += ReasonOf(aResponse);
  out += "\r\n";
  const bool bodiless = aResponse.mStatus == 204 || aResponse.mStatus == 304;
  for (const auto& [name, value] : aResponse.mFields) {
    if (IsHopByHopField(aResponse.mFields, name) ||
        (EqualIgnoringCase(name, "Content-Length") && !aHeadOnly)) {
      continue;
    }
    out += FieldLine(name, value);
  }
  if (!bodiless && !aHeadOnly) {
    out += "Content-Length: ";
    out += std::to_string(aResponse.mBody.size());
    out += "\r\n";
  }
  if (aClose) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  if (!bodiless && !aHeadOnly) {
    out += aResponse.mBody;
  }
  return out;
}

HttpResponse MakeResponse(int aStatus, std::string aType, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  if (!aType.empty()) {
    response.mFields.emplace_back("Content-Type", std::move(aType));
  }
  response.mBody = std::move(aBody);
  return response;
}

} // namespace geraniumpond::frontend
