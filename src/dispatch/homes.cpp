#include "internal.h"

#include <algorithm>

// Requests that the policy binds to regions.
namespace geraniumpond::dispatch {

namespace {

regions::Homes HomesOf(const policy::TrafficPolicy& aPolicy,
                       const policy::Route& aRoute,
                       const Request& aRequest)
{
  static const std::vector<std::string> kNone;
  const accounts::Account* account =
    aPolicy.mAccounts && !aRequest.mAccount.empty()
      ? accounts::FindByName(*aPolicy.mAccounts, aRequest.mAccount)
      : nullptr;
  return regions::HomesOf(aRoute.mRegions,
                          account == nullptr ? kNone : account->mRegions);
}

} // namespace

void BindToHomes(const State& aState,
                 const policy::Route& aRoute,
                 Request& aRequest)
{
  if (aState.mPolicy->mNamesRegions) {
    aRequest.mHomes = HomesOf(*aState.mPolicy, aRoute, aRequest);
  }
}

// A request whose route is gone keeps what it was bound to.
void RebindToHomes(State& aState, bool aNamedBefore)
{
  const policy::TrafficPolicy& policy = *aState.mPolicy;
  if (!aNamedBefore && !policy.mNamesRegions) {
    return;
  }
  std::map<std::string, const policy::Route*> routes;
  for (const policy::Route& route : policy.mRoutes) {
    routes[route.mName] = &route;
  }
  for (auto& [id, request] : aState.mRequests) {
    const auto found = routes.find(request.mRoute);
    if (found != routes.end()) {
      request.mHomes = HomesOf(policy, *found->second, request);
    }
  }
}

bool MayReach(const State& aState,
              const Request& aRequest,
              const Target& aTarget)
{
  return !aRequest.mHomes.mBound ||
         regions::Allows(aState.mRegions, aRequest.mHomes, aTarget.mDataCentre);
}

bool MayPassTo(const State& aState,
               const Request& aRequest,
               const std::string& aHost)
{
  if (!aRequest.mHomes.mBound || aState.mRegions.empty()) {
    return true;
  }
  const auto found = aState.mHostDataCentres.find(aHost);
  return found != aState.mHostDataCentres.end() &&
         regions::Allows(aState.mRegions, aRequest.mHomes, found->second);
}

} // namespace geraniumpond::dispatch
