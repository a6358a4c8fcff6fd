#pragma once

#include "exchange.h"

#include <geraniumpond/time.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

/// \brief Forwarding of headers between callers and targets; see
/// docs/INTERFACES.md.
namespace geraniumpond::edge {

/// \brief True if no field holds a line break or another control character.
[[nodiscard]] bool HasFieldTexts(const Poco::Net::HTTPMessage& aMessage);

/// \brief Builds the request to a target from the caller's request.
void FillTargetRequest(const CallerRequest& aFrom,
                       const wire::Dispatch& aDispatch,
                       Micros aNow,
                       Poco::Net::HTTPRequest& aOut);

/// \brief Builds the response to the caller from the target's response.
void FillCallerResponse(const Poco::Net::HTTPResponse& aFrom,
                        bool aBodyDone,
                        Poco::Net::HTTPResponse& aOut);

/// \brief Parses the load that a target reports in a response header, if any.
[[nodiscard]] wire::LoadReport ParseLoad(
  const Poco::Net::HTTPResponse& aResponse);

/// \brief True if a response continues the body at the requested offset.
[[nodiscard]] bool RangeMatches(const Poco::Net::HTTPResponse& aResponse,
                                const wire::Dispatch& aDispatch);

} // namespace geraniumpond::edge
