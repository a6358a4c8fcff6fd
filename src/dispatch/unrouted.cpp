#include "internal.h"

#include <algorithm>
#include <limits>
#include <utility>

// Requests that arrive while a host starts: it has no policy yet, or does not
// know yet what their accounts have used of their limits. After an outage of
// all hosts, clients reconnect before the control group has a leader. A refused
// client retries after a third of its time and is late; one whose request is
// queued briefly is usually on time.
namespace geraniumpond::dispatch {

namespace {

/// Share of its time that a request waits for the first policy or the first
/// totals; the rest suffices for its work, or for its client to retry.
constexpr double kStartWaitShare = 0.25;
/// Retry delay for refused clients: a starting host has its policy and totals a
/// few tenths of a second later.
constexpr Micros kStartingRetryDelay = 200 * kMillisecond;
constexpr Micros kNoPolicyRetryDelay = 500 * kMillisecond;

const char* RefusalReason(const State& aState) noexcept
{
  return aState.mPolicy ? "no_totals_yet" : "no_policy_yet";
}

} // namespace

void QueueUnrouted(State& aState,
                   Micros aNow,
                   Micros aArrivedAt,
                   const Arrival& aArrival,
                   Effects& aOut)
{
  const auto share = static_cast<Micros>(
    kStartWaitShare * static_cast<double>(aArrival.mPatience));
  const Micros giveUpAt =
    std::min(aArrivedAt + share, aState.mPolicyExpectedUntil);
  if (giveUpAt <= aNow) {
    RefuseArrival(
      aState, aArrival, 503, kNoPolicyRetryDelay, RefusalReason(aState), aOut);
    return;
  }
  aState.mUnrouted[aArrival.mId] = { aArrival, aArrivedAt, giveUpAt };
}

// A 404 states that the route does not exist, and clients do not retry it.
void RefuseUnknownRoute(State& aState, const Arrival& aArrival, Effects& aOut)
{
  if (aArrival.mRelayedAfter) {
    // The host that passed it on knows a route for it.
    RefuseArrival(aState, aArrival, 421, 0, "no_route_for_relay", aOut);
  } else if (aState.mPolicyMayBeOutdated) {
    RefuseArrival(
      aState, aArrival, 503, kNoPolicyRetryDelay, "policy_may_be_old", aOut);
  } else {
    RefuseArrival(aState, aArrival, 404, 0, "no_route", aOut);
  }
}

void ExpireUnrouted(State& aState, Micros aNow, Effects& aOut)
{
  for (auto it = aState.mUnrouted.begin(); it != aState.mUnrouted.end();) {
    if (aNow < it->second.mGiveUpAt) {
      ++it;
      continue;
    }
    RefuseArrival(aState,
                  it->second.mArrival,
                  503,
                  RetryAfter(aState, kStartingRetryDelay),
                  RefusalReason(aState),
                  aOut);
    it = aState.mUnrouted.erase(it);
  }
}

Micros NextUnroutedTime(const State& aState) noexcept
{
  Micros next = std::numeric_limits<Micros>::max();
  for (const auto& [id, unrouted] : aState.mUnrouted) {
    next = std::min(next, unrouted.mGiveUpAt);
  }
  return next;
}

void AdmitUnrouted(State& aState, Micros aNow, Effects& aOut)
{
  if (!aState.mPolicy) {
    return;
  }
  const auto queued = std::exchange(aState.mUnrouted, {});
  for (const auto& [id, unrouted] : queued) {
    Admit(aState, aNow, unrouted.mArrivedAt, unrouted.mArrival, aOut);
  }
}

} // namespace geraniumpond::dispatch
