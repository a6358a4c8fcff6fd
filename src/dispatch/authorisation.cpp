#include "authorisation.h"

#include <string_view>
#include <unordered_map>
#include <vector>

// A policy binds requests that arrive and those under way: each is judged when
// it arrives, again at each new policy, and the outcome is checked before each
// send. What runs at a target already is not cut off.
namespace geraniumpond::dispatch {

namespace {

constexpr int kUnauthorised = 401;
constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
/// The control group's next confirmation may come within a few tenths of a
/// second.
constexpr Micros kOutdatedRetryDelay = 500 * kMillisecond;

using RoutesByName = std::unordered_map<std::string_view, const policy::Route*>;

RoutesByName IndexByName(const policy::TrafficPolicy& aPolicy)
{
  RoutesByName routes;
  for (const policy::Route& route : aPolicy.mRoutes) {
    routes.emplace(route.mName, &route);
  }
  return routes;
}

bool IsTrusted(const State& aState,
               const Request& aRequest,
               Micros aNow) noexcept
{
  return aRequest.mCredentials.mIsPublic || !HidesKeys(aState) ||
         aNow <= aState.mKeysTrustedUntil;
}

accounts::Judgement JudgeNow(const State& aState, const Request& aRequest)
{
  accounts::Claim claim;
  claim.mKey = aRequest.mCredentials.mKey;
  claim.mIsRelayed = aRequest.mIsRelayed;
  claim.mIsPublic = aRequest.mCredentials.mIsPublic;
  // The account of any other request follows from its key.
  claim.mAccount = aRequest.mIsRelayed ? aRequest.mAccount : "";
  return accounts::Judge(aState.mPolicy->mAccounts, claim);
}

// The name stays with a request that may not be sent any more, for the log.
int Apply(const accounts::Judgement& aJudgement, Request& aRequest)
{
  const accounts::Account* account = aJudgement.mAccount;
  aRequest.mCredentials.mIsRevoked =
    aJudgement.mVerdict != accounts::Verdict::Allowed;
  if (!aRequest.mCredentials.mIsRevoked) {
    aRequest.mAccount = account == nullptr ? "" : account->mName;
  }
  const int priority = aRequest.mCredentials.mRoutePriority;
  return account == nullptr ? priority : account->mPriority.value_or(priority);
}

void RefuseByVerdict(State& aState,
                     const Arrival& aArrival,
                     accounts::Verdict aVerdict,
                     Effects& aOut)
{
  const char* reason = accounts::ToString(aVerdict);
  if (aVerdict == accounts::Verdict::UnknownAccount) {
    RefuseArrival(aState, aArrival, kMisdirected, 0, reason, aOut);
  } else if (aState.mPolicyMayBeOutdated) {
    RefuseArrival(aState,
                  aArrival,
                  kUnavailable,
                  RetryAfter(aState, kOutdatedRetryDelay),
                  std::string(reason) + "_by_old_policy",
                  aOut);
  } else {
    RefuseArrival(aState, aArrival, kUnauthorised, 0, reason, aOut);
  }
}

int StatusForRevoked(const Request& aRequest)
{
  if (aRequest.mMayHaveRun) {
    return kBadGateway;
  }
  return aRequest.mIsRelayed ? kMisdirected : kUnauthorised;
}

// True if the key belongs to another account now.
bool GoesOver(const accounts::Judgement& aJudgement, const Request& aRequest)
{
  const accounts::Account* account = aJudgement.mAccount;
  return aJudgement.mVerdict == accounts::Verdict::Allowed &&
         aRequest.mAccount != (account == nullptr ? "" : account->mName);
}

// Judges one request by the policy in force.
void Rejudge(State& aState,
             Micros aNow,
             const RoutesByName& aRoutes,
             Request& aRequest,
             Effects& aOut)
{
  const auto route = aRoutes.find(aRequest.mRoute);
  // A request whose route is gone keeps what the route said.
  if (route != aRoutes.end()) {
    aRequest.mCredentials.mIsPublic = route->second->mPublic;
    aRequest.mCredentials.mRoutePriority = route->second->mPriority;
  }
  const accounts::Judgement judgement = JudgeNow(aState, aRequest);
  if (GoesOver(judgement, aRequest)) {
    ReleaseQuota(aState, aRequest);
  }
  const int priority = Apply(judgement, aRequest);
  if (!aRequest.mCredentials.mIsRevoked) {
    AdoptQuota(aState, aNow, aRequest);
    SetPriority(aState, aRequest, priority);
    return;
  }
  Log(aOut,
      1,
      std::string("event=key_revoked reason=") +
        accounts::ToString(judgement.mVerdict) +
        Describe(aState, aRequest, aNow));
  ++aState.mCounters["requests_revoked"];
  aRequest.mHedgeAt = 0;
  if (aRequest.mWaiting) {
    RefuseUnauthorised(aState, aNow, aRequest, aOut);
  }
}

// Without accounts, requests keep what they were admitted with.
bool IsBoundAnew(const State& aState, const Request& aRequest)
{
  const bool hadAccount =
    !aRequest.mAccount.empty() || aRequest.mCredentials.mIsRevoked;
  return !aRequest.mDetached && (HidesKeys(aState) || hadAccount);
}

} // namespace

bool HidesKeys(const State& aState) noexcept
{
  return aState.mPolicy && aState.mPolicy->mAccounts.has_value();
}

bool RefuseForgedRelay(State& aState, const Arrival& aArrival, Effects& aOut)
{
  const bool isSound = aArrival.mIsFromHost && aArrival.mRelayedAfter &&
                       !aArrival.mRelayFieldsUnsound;
  if (!HidesKeys(aState) || !aArrival.mHasRelayFields || isSound) {
    return false;
  }
  RefuseArrival(aState,
                aArrival,
                kUnavailable,
                0,
                aArrival.mIsFromHost ? "relay_unreadable" : "not_from_a_host",
                aOut);
  return true;
}

bool Authorise(State& aState,
               Micros aNow,
               const Arrival& aArrival,
               const policy::Route& aRoute,
               Request& aRequest,
               Effects& aOut)
{
  aRequest.mCredentials = {
    aArrival.mKey, aRoute.mPublic, aRoute.mPriority, false
  };
  if (aRequest.mIsRelayed && aArrival.mIsFromHost) {
    aRequest.mAccount = aArrival.mAccount;
  }
  const accounts::Judgement judgement = JudgeNow(aState, aRequest);
  aRequest.mPriority = Apply(judgement, aRequest);
  if (judgement.mVerdict != accounts::Verdict::Allowed) {
    RefuseByVerdict(aState, aArrival, judgement.mVerdict, aOut);
    return false;
  }
  if (!IsTrusted(aState, aRequest, aNow)) {
    RefuseArrival(aState,
                  aArrival,
                  kUnavailable,
                  RetryAfter(aState, kOutdatedRetryDelay),
                  "keys_may_be_old",
                  aOut);
    return false;
  }
  return true;
}

bool MayBeSent(const State& aState,
               const Request& aRequest,
               Micros aNow) noexcept
{
  return !aRequest.mCredentials.mIsRevoked && IsTrusted(aState, aRequest, aNow);
}

bool RefuseUnauthorised(State& aState,
                        Micros aNow,
                        Request& aRequest,
                        Effects& aOut)
{
  if (MayBeSent(aState, aRequest, aNow)) {
    return false;
  }
  if (!aRequest.mAttempts.empty()) {
    StopWaiting(aState, aRequest);
    aRequest.mHedging = false;
    aRequest.mHedgeAt = 0;
    SetTimer(aState, aRequest);
    return true;
  }
  const bool isRevoked = aRequest.mCredentials.mIsRevoked;
  const int status = isRevoked              ? StatusForRevoked(aRequest)
                     : aRequest.mMayHaveRun ? kBadGateway
                                            : kUnavailable;
  Refuse(aState,
         aNow,
         aRequest.mId,
         status,
         status == kUnavailable ? RetryAfter(aState, kOutdatedRetryDelay) : 0,
         isRevoked ? "key_taken_away" : "keys_may_be_old",
         aOut);
  return true;
}

void ApplyAccounts(State& aState, Micros aNow, Effects& aOut)
{
  if (aState.mRequests.empty()) {
    return;
  }
  const RoutesByName routes = IndexByName(*aState.mPolicy);
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : aState.mRequests) {
    if (IsBoundAnew(aState, request)) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    Rejudge(aState, aNow, routes, aState.mRequests.at(id), aOut);
  }
}

} // namespace geraniumpond::dispatch
