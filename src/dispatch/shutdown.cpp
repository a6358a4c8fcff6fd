#include "internal.h"

#include <geraniumpond/link.h>

#include <algorithm>
#include <optional>
#include <vector>

// The shutdown of a host. A request that it cannot see through is refused while
// nothing has run, and another host serves it at once; cut off by the exit, its
// outcome would be unknown to its client.
namespace geraniumpond::dispatch {

namespace {

/// Requests that are named in the log when an exit cuts them off.
constexpr std::size_t kMaxLogged = 32;
/// Work may take this many times as long as it usually does.
constexpr Micros kWorkMargin = 2;
/// The same close to the exit, for a route without an answer yet.
constexpr Micros kUnknownWorkMargin = 8;
/// Mean delay for clients that another host can serve at once: a round trip.
constexpr Micros kMoveOnDelay = 20 * kMillisecond;
constexpr int kUnavailable = 503;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr const char* kReason = "shutting_down";

const char* StageOf(const Request& aRequest)
{
  if (aRequest.mDetached) {
    return "detached";
  }
  return aRequest.mAttempts.empty() ? "waiting" : "at_target";
}

// Time for which the answer and those under way occupy the link while they are
// sent; the time of reading is part of the work.
Micros SendingTime(const State& aState, const Need& aNeed)
{
  const double bytes = LargeBytes(aState, aNeed);
  if (bytes == 0) {
    return 0;
  }
  const double perSecond =
    link::kLargeAnswersShare * aState.mBounds.mLinkBytesPerSecond;
  return static_cast<Micros>((aState.mLargeBytes + bytes) / perSecond *
                             kSecond);
}

// How many times its work a request may take; none where its deadline alone
// counts. Without an answer yet, the work of a route is assumed to be long
// already. Close to the exit, usual work says too little of a single request,
// and nothing is known of a route that was added since the shutdown began.
std::optional<Micros> MarginOf(const State& aState,
                               const Request& aRequest,
                               bool aIsLate)
{
  const auto found = aState.mStatistics.find(aRequest.mRoute);
  const bool isLearnt =
    found != aState.mStatistics.end() && found->second.mWork > 0;
  if (aIsLate) {
    const bool isNew = aState.mShutdown->mRoutes.count(aRequest.mRoute) == 0;
    return isLearnt || isNew ? std::nullopt
                             : std::optional<Micros>(kUnknownWorkMargin);
  }
  return isLearnt ? kWorkMargin : 1;
}

// Whatever its target does, a request is answered by its deadline.
bool EndsBeforeExit(const State& aState,
                    const Request& aRequest,
                    Micros aStartsAt,
                    std::optional<Micros> aMargin)
{
  const Need need = NeedOf(aState, aRequest);
  const Micros longest =
    aMargin ? aStartsAt + *aMargin * need.mWork : aRequest.mDeadline;
  return std::min(aRequest.mDeadline, longest) + SendingTime(aState, need) <=
         aState.mShutdown->mEndsAt;
}

// What is cut shortly before the exit came when the host was known to be going;
// long before it, slow routes are not refused from the stop on.
bool TakesOn(const State& aState, const Request& aRequest, Micros aNow)
{
  if (!aState.mShutdown) {
    return true;
  }
  const Shutdown& shutdown = *aState.mShutdown;
  const bool isLate = aNow >= (shutdown.mBeganAt + shutdown.mEndsAt) / 2;
  return EndsBeforeExit(aState,
                        aRequest,
                        aNow + ExpectedWait(aState, aRequest),
                        MarginOf(aState, aRequest, isLate));
}

// Another host can serve its client at once; the jitter keeps clients that were
// refused together from returning together.
Micros MoveOnDelay(State& aState)
{
  return kMoveOnDelay / 2 +
         static_cast<Micros>(NextUniform(aState) *
                             static_cast<double>(kMoveOnDelay));
}

} // namespace

void BeginShutdown(State& aState, const Shutdown& aShutdown)
{
  aState.mShutdown = aShutdown;
  if (aState.mPolicy) {
    for (const policy::Route& route : aState.mPolicy->mRoutes) {
      aState.mShutdown->mRoutes.insert(route.mName);
    }
  }
}

// A host that passed the request on is told to try another one.
bool RefuseArrivalAtShutdown(State& aState,
                             Micros aNow,
                             const Arrival& aArrival,
                             const Request& aRequest,
                             Effects& aOut)
{
  if (TakesOn(aState, aRequest, aNow)) {
    return false;
  }
  RefuseArrival(aState,
                aArrival,
                aRequest.mIsRelayed ? kMisdirected : kUnavailable,
                aRequest.mIsRelayed ? 0 : MoveOnDelay(aState),
                kReason,
                aOut);
  return true;
}

bool CanStartBeforeExit(const State& aState,
                        const Request& aRequest,
                        Micros aNow)
{
  return !aState.mShutdown ||
         EndsBeforeExit(
           aState, aRequest, aNow, MarginOf(aState, aRequest, false));
}

bool RefuseWaitingAtShutdown(State& aState,
                             Micros aNow,
                             Request& aRequest,
                             Effects& aOut)
{
  if (!aRequest.mAttempts.empty() ||
      CanStartBeforeExit(aState, aRequest, aNow)) {
    return false;
  }
  const bool mayHaveRun = aRequest.mMayHaveRun;
  const int notRun = aRequest.mIsRelayed ? kMisdirected : kUnavailable;
  Refuse(aState,
         aNow,
         aRequest.mId,
         mayHaveRun ? kBadGateway : notRun,
         mayHaveRun ? 0 : MoveOnDelay(aState),
         kReason,
         aOut);
  return true;
}

// The next look at a request that waits may come after the exit.
void RefuseAllWaitingAtShutdown(State& aState, Micros aNow, Effects& aOut)
{
  if (!aState.mShutdown) {
    return;
  }
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, request] : aState.mRequests) {
    if (request.mWaiting) {
      waiting.push_back(id);
    }
  }
  for (const std::uint64_t id : waiting) {
    (void)RefuseWaitingAtShutdown(aState, aNow, aState.mRequests.at(id), aOut);
  }
}

void LogCutOff(const State& aState, Micros aNow, Micros aStopAt, Effects& aOut)
{
  std::size_t logged = 0;
  for (const auto& [id, request] : aState.mRequests) {
    if (++logged > kMaxLogged) {
      return;
    }
    Log(aOut,
        2,
        "event=cut_off stage=" + std::string(StageOf(request)) +
          " after_stop_ms=" + Milliseconds(request.mArrivedAt - aStopAt) +
          Describe(aState, request, aNow));
  }
}

} // namespace geraniumpond::dispatch
