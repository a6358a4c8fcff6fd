#pragma once

#include "internal.h"

/// \brief Requests that are passed on through another host, because this one
/// does not reach their service or its link is too slow for their answers.
namespace geraniumpond::dispatch {

/// \brief True for a request of a client of this host that no target and no
/// other host can have seen.
[[nodiscard]] bool CanPassOn(const Request& aRequest);

/// \brief Passes a request on to a host that may reach its service; false if
/// there is none.
bool PassOn(State& aState, Micros aNow, Request& aRequest, Effects& aOut);

/// \brief Passes a request with a large answer on to a host with a fast link,
/// which returns the answer at a pace that leaves part of this host's link to
/// others; false if the answer is not large or there is no such host.
bool PassOnLargeAnswer(State& aState,
                       Micros aNow,
                       Request& aRequest,
                       Effects& aOut);

/// \brief Handles the end of an attempt at another host.
void HandleRelayEnd(State& aState,
                    Micros aNow,
                    Request& aRequest,
                    const Attempt& aAttempt,
                    const AttemptEnd& aEnd,
                    Effects& aOut);

} // namespace geraniumpond::dispatch
