#include "relay.h"

#include "authorisation.h"
#include "reach.h"

#include <algorithm>

// Only requests that nobody can have run are passed on, and those that were
// passed on are not passed on again: the other host sends at most as many
// attempts as the route allows. What it says counts as it says it: run, not run
// or unknown.
namespace geraniumpond::dispatch {

namespace {

/// Hosts that one request is passed on to, one after the other; each but the
/// last does not reach the service either, which costs a round trip.
constexpr std::size_t kMaxHosts = 8;
/// A host that does not reach a service, or is not reached itself, is not tried
/// again for this long.
constexpr Micros kAvoidFor = 2 * kSecond;
/// After this many hosts in a row that do not reach a service, its targets are
/// taken to be down for this long.
constexpr int kMaxHostFailures = 16;
constexpr Micros kDownFor = 1 * kSecond;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;

bool IsAvoided(const Service& aService, const std::string& aHost, Micros aNow)
{
  const auto found = aService.mAvoidedHosts.find(aHost);
  return found != aService.mAvoidedHosts.end() && aNow < found->second;
}

// A random one, so that the hosts share the load.
std::string PickHost(State& aState,
                     const std::vector<std::string>& aHosts,
                     const Service& aService,
                     const Request& aRequest,
                     Micros aNow)
{
  std::string picked;
  std::uint64_t candidates = 0;
  for (const std::string& host : aHosts) {
    if (aRequest.mHostsTried.count(host) != 0 ||
        IsAvoided(aService, host, aNow) || !MayPassTo(aState, aRequest, host)) {
      continue;
    }
    ++candidates;
    if (NextRandom(aState) % candidates == 0) {
      picked = host;
    }
  }
  return picked;
}

void AvoidHost(Service& aService, const std::string& aHost, Micros aNow)
{
  for (auto it = aService.mAvoidedHosts.begin();
       it != aService.mAvoidedHosts.end();) {
    it = it->second <= aNow ? aService.mAvoidedHosts.erase(it) : std::next(it);
  }
  aService.mAvoidedHosts[aHost] = aNow + kAvoidFor;
}

void CountHostFailure(Service& aService, Micros aNow)
{
  if (++aService.mConsecutiveHostFailures >= kMaxHostFailures) {
    aService.mConsecutiveHostFailures = 0;
    aService.mDownUntil = aNow + kDownFor;
  }
}

void SendToHost(State& aState,
                Micros aNow,
                Request& aRequest,
                const std::string& aHost,
                double aLargeBytes,
                Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  StopWaiting(aState, aRequest);
  // It counts where it is sent from.
  if (aRequest.mHostsTried.empty()) {
    UncountRequest(service.mExtra);
  }
  Attempt attempt;
  attempt.mNumber = ++aState.mLastAttempt;
  attempt.mHost = aHost;
  attempt.mSentAt = aNow;
  attempt.mLargeBytes = aLargeBytes;
  aState.mLargeBytes += aLargeBytes;
  ++aRequest.mSent;
  CountQuotaSent(aState, aNow, aRequest);
  aRequest.mHostsTried.insert(aHost);
  aRequest.mHedging = false;
  aRequest.mHedgeAt = 0;
  Log(aOut,
      1,
      "event=passed_on to=" + aHost + Describe(aState, aRequest, aNow) +
        (aLargeBytes > 0 ? " why=large_answer" : " why=service_silent") +
        " silent_ms=" +
        Milliseconds(service.mSilentSince == 0 ? 0
                                               : aNow - service.mSilentSince));
  aOut.emplace_back(
    RelayRequest{ aRequest.mId,
                  attempt.mNumber,
                  aHost,
                  aRequest.mDeadline,
                  aNow - aRequest.mArrivedAt,
                  aLargeBytes > 0 ? aState.mBounds.mLinkBytesPerSecond : 0,
                  aRequest.mAccount,
                  HidesKeys(aState),
                  aRequest.mIdentity });
  aRequest.mAttempts.push_back(std::move(attempt));
  SetTimer(aState, aRequest);
}

// The host with the fast link may have given the request to one target less
// than the route allows, so that one is left for this host.
void SendWithoutFastLink(State& aState,
                         Micros aNow,
                         Request& aRequest,
                         const Attempt& aAttempt,
                         const AttemptEnd& aEnd,
                         Effects& aOut)
{
  ++aState.mCounters["large_answers_without_fast_link"];
  AvoidHost(aState.mServices[aRequest.mService], aAttempt.mHost, aNow);
  if (aEnd.mKind == EndKind::Broken) {
    aRequest.mMayHaveRun = true;
  } else {
    --aRequest.mSent;
  }
  RetryElsewhere(aState, aNow, aRequest, "no_answer_by_fast_link", aOut);
}

} // namespace

bool CanPassOn(const Request& aRequest)
{
  return !aRequest.mIsRelayed && !aRequest.mMayHaveRun && aRequest.mSent == 0 &&
         aRequest.mAttempts.empty() && aRequest.mHostsTried.size() < kMaxHosts;
}

bool PassOn(State& aState, Micros aNow, Request& aRequest, Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  if (aNow < service.mDownUntil || !MayBeSent(aState, aRequest, aNow) ||
      !CanStartBeforeExit(aState, aRequest, aNow)) {
    return false;
  }
  const std::string host =
    PickHost(aState, aState.mRelayHosts, service, aRequest, aNow);
  if (host.empty()) {
    return false;
  }
  ++aState.mCounters["relays_sent"];
  SendToHost(aState, aNow, aRequest, host, 0, aOut);
  return true;
}

// A target sends as much at once as the buffers between hold, which occupies a
// slow link for longer than most other requests may take.
bool PassOnLargeAnswer(State& aState,
                       Micros aNow,
                       Request& aRequest,
                       Effects& aOut)
{
  if (aState.mFastHosts.empty() || !CanPassOn(aRequest) ||
      !policy::IsIdempotent(aRequest.mKind)) {
    return false;
  }
  const Need need = NeedOf(aState, aRequest);
  const double bytes = LargeBytes(aState, need);
  if (bytes <= 0 || !FitsLink(aState, need)) {
    return false;
  }
  const std::string host = PickHost(aState,
                                    aState.mFastHosts,
                                    aState.mServices[aRequest.mService],
                                    aRequest,
                                    aNow);
  if (host.empty()) {
    return false;
  }
  ++aState.mCounters["large_answers_by_fast_link"];
  SendToHost(aState, aNow, aRequest, host, bytes, aOut);
  return true;
}

void HandleRelayEnd(State& aState,
                    Micros aNow,
                    Request& aRequest,
                    const Attempt& aAttempt,
                    const AttemptEnd& aEnd,
                    Effects& aOut)
{
  Service& service = aState.mServices[aRequest.mService];
  const bool failed = aEnd.mKind != EndKind::Answered || aEnd.mNotRun;
  if (aAttempt.mLargeBytes > 0 && failed) {
    SendWithoutFastLink(aState, aNow, aRequest, aAttempt, aEnd, aOut);
    return;
  }
  if (aEnd.mKind == EndKind::NotSent || aEnd.mMisdirected) {
    --aRequest.mSent;
    AvoidHost(service, aAttempt.mHost, aNow);
    CountHostFailure(service, aNow);
    ++aState.mCounters["relays_without_way"];
    if (!CanPassOn(aRequest) || !PassOn(aState, aNow, aRequest, aOut)) {
      RetryElsewhere(aState, aNow, aRequest, "no_way_through_host", aOut);
    }
    return;
  }
  if (aEnd.mKind == EndKind::Answered && aEnd.mNotRun) {
    Refuse(aState,
           aNow,
           aRequest.mId,
           kUnavailable,
           RetryDelay(aState, aRequest, aNow),
           "refused_by_host",
           aOut);
    return;
  }
  if (aEnd.mKind == EndKind::Broken) {
    aRequest.mMayHaveRun = true;
    AvoidHost(service, aAttempt.mHost, aNow);
    CountHostFailure(service, aNow);
    Refuse(aState, aNow, aRequest.mId, kBadGateway, 0, "host_broke_off", aOut);
    return;
  }
  service.mConsecutiveHostFailures = 0;
  if (aEnd.mStatus < kServerError) {
    RecordServedElsewhere(service, aNow);
    RecordAnswer(aState, aNow, aRequest.mIdentity, aOut);
    LearnAnswerBytes(aState, aRequest, aEnd.mBytes);
  }
  Deliver(aState, aNow, aRequest, aAttempt, aEnd, aOut);
}

} // namespace geraniumpond::dispatch
