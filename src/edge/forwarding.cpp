#include "forwarding.h"

#include <geraniumpond/field_text.h>

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

namespace geraniumpond::edge {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int kPartialContent = 206;

bool IsHopByHop(const std::string& aName)
{
  for (const char* name : { "Connection",
                            "Keep-Alive",
                            "Proxy-Connection",
                            "TE",
                            "Trailer",
                            "Transfer-Encoding",
                            "Upgrade" }) {
    if (Poco::icompare(aName, name) == 0) {
      return true;
    }
  }
  return false;
}

} // namespace

// POCO decodes encoded words of values, which may hold line breaks.
bool HasFieldTexts(const Poco::Net::HTTPMessage& aMessage)
{
  return std::all_of(aMessage.begin(), aMessage.end(), [](const auto& aField) {
    return IsFieldText(aField.second);
  });
}

void FillTargetRequest(const CallerRequest& aFrom,
                       const wire::Dispatch& aDispatch,
                       Micros aNow,
                       HTTPRequest& aRequest)
{
  for (const auto& [name, value] : aFrom.mHeaders) {
    aRequest.add(name, value);
  }
  aRequest.setHost(aDispatch.address());
  aRequest.setKeepAlive(true);
  aRequest.set("Geraniumpond-Caller", aDispatch.caller());
  aRequest.set("Geraniumpond-Kind", aDispatch.kind());
  aRequest.set("Geraniumpond-Attempt",
               std::to_string(aDispatch.request()) + "." +
                 std::to_string(aDispatch.attempt()));
  const Micros left =
    std::max<Micros>((aDispatch.deadline_us() - aNow) / kMillisecond, 1);
  aRequest.set("Geraniumpond-Deadline-Ms", std::to_string(left));
  if (!aDispatch.if_range().empty()) {
    aRequest.set("Range",
                 "bytes=" + std::to_string(aDispatch.range_from()) + "-");
    aRequest.set("If-Range", aDispatch.if_range());
  }
  if (!aFrom.mBody.empty() || aFrom.mMethod == HTTPRequest::HTTP_POST ||
      aFrom.mMethod == HTTPRequest::HTTP_PUT) {
    aRequest.setContentLength64(static_cast<Poco::Int64>(aFrom.mBody.size()));
  }
}

void FillCallerResponse(const HTTPResponse& aFrom,
                        bool aBodyDone,
                        HTTPResponse& aResponse)
{
  aResponse.setStatusAndReason(aFrom.getStatus(), aFrom.getReason());
  for (const auto& [name, value] : aFrom) {
    const bool isInternal =
      Poco::icompare(name.substr(0, 13), "Geraniumpond-") == 0;
    if (!IsHopByHop(name) && !isInternal) {
      aResponse.add(name, value);
    }
  }
  aResponse.set("Geraniumpond-Outcome", "ran");
  if (!aBodyDone && !aFrom.hasContentLength()) {
    aResponse.setChunkedTransferEncoding(true);
  }
}

wire::LoadReport ParseLoad(const HTTPResponse& aResponse)
{
  wire::LoadReport load;
  const std::string text = aResponse.get("Geraniumpond-Load", "");
  const std::size_t slash = text.find('/');
  unsigned inFlight = 0;
  unsigned slots = 0;
  if (slash != std::string::npos &&
      Poco::NumberParser::tryParseUnsigned(text.substr(0, slash), inFlight) &&
      Poco::NumberParser::tryParseUnsigned(text.substr(slash + 1), slots)) {
    load.set_in_flight(inFlight);
    load.set_slots(slots);
    load.set_present(true);
  }
  return load;
}

bool RangeMatches(const HTTPResponse& aResponse,
                  const wire::Dispatch& aDispatch)
{
  const std::string prefix =
    "bytes " + std::to_string(aDispatch.range_from()) + "-";
  return aResponse.getStatus() == kPartialContent &&
         aResponse.get("ETag", "") == aDispatch.if_range() &&
         aResponse.get("Content-Range", "").rfind(prefix, 0) == 0;
}

} // namespace geraniumpond::edge
