#pragma once

#include "internal.h"

/// \brief Whether a request may be sent: by its key, by its account, and by the
/// age of this host's policy.
namespace geraniumpond::dispatch {

/// \brief Refuses an arrival that pretends to come from a host of the fleet;
/// false if it does not.
[[nodiscard]] bool RefuseForgedRelay(State& aState,
                                     const Arrival& aArrival,
                                     Effects& aOut);

/// \brief Sets account and priority of a request that arrives; refuses it and
/// returns false if it may not be sent.
[[nodiscard]] bool Authorise(State& aState,
                             Micros aNow,
                             const Arrival& aArrival,
                             const policy::Route& aRoute,
                             Request& aRequest,
                             Effects& aOut);

/// \brief True while a request may be sent to another target or host.
[[nodiscard]] bool MayBeSent(const State& aState,
                             const Request& aRequest,
                             Micros aNow) noexcept;

/// \brief Ends the waiting of a request that may not be sent any more: a hedge
/// is given up, any other request refused. False if it may be sent.
bool RefuseUnauthorised(State& aState,
                        Micros aNow,
                        Request& aRequest,
                        Effects& aOut);

/// \brief True where requests need keys, so that keys stay at this host.
[[nodiscard]] bool HidesKeys(const State& aState) noexcept;

} // namespace geraniumpond::dispatch
