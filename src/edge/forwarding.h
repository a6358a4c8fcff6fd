#pragma once

#include "exchange.h"

#include <geraniumpond/time.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

/// \brief Headers between callers and targets; see docs/INTERFACES.md.
namespace geraniumpond::edge {

/// \brief Fills a request to a target from the caller's.
void FillTargetRequest(const CallerRequest& aFrom,
                       const wire::Dispatch& aDispatch,
                       Micros aNow,
                       Poco::Net::HTTPRequest& aOut);

/// \brief Fills the answer to the caller from the target's.
void FillCallerResponse(const Poco::Net::HTTPResponse& aFrom,
                        bool aBodyDone,
                        Poco::Net::HTTPResponse& aOut);

/// \brief The load that a target put on its answer, if any.
[[nodiscard]] wire::LoadReport LoadOf(const Poco::Net::HTTPResponse& aResponse);

/// \brief True when an answer continues the body that was asked for.
[[nodiscard]] bool RangeMatches(const Poco::Net::HTTPResponse& aResponse,
                                const wire::Dispatch& aDispatch);

} // namespace geraniumpond::edge
