#include "internal.h"

#include <algorithm>
#include <iterator>

// Which hosts clients and policy reads are directed to.
namespace geraniumpond::gateway {

namespace {

/// Addresses returned to a client, and how many of them at least are in its own
/// data centre where it has that many ready hosts.
constexpr std::size_t kMaxAddresses = 5;
constexpr std::size_t kMinLocalAddresses = 2;
/// A policy that takes longer than this to send over this host's link is read
/// from the leader: operators wait one second for an answer, and the document
/// would delay clients' answers on the same link.
constexpr Micros kMaxDocumentTime = 100 * kMillisecond;

// Clients whose requests are bound to regions are directed to hosts there or in
// their own region: the bodies of their requests must not get to others.
std::vector<const fleet::Host*> HostsFor(const State& aState,
                                         const Lookup& aLookup,
                                         Micros aNow)
{
  std::vector<const fleet::Host*> hosts =
    fleet::HostsForClients(aState.mFleet, aNow);
  const auto& policy = aState.mDispatch.mPolicy;
  const std::vector<std::string>* shared =
    policy ? policy::FindSharedRegions(*policy, aLookup.mHostName) : nullptr;
  if (shared == nullptr) {
    return hosts;
  }
  const regions::Map& map = aState.mSettings.mRegions;
  regions::Homes near{ true, *shared };
  near.mRegions.push_back(aLookup.mRegion.empty()
                            ? regions::RegionOf(map, aLookup.mDataCentre)
                            : aLookup.mRegion);
  std::vector<const fleet::Host*> within;
  std::copy_if(hosts.begin(),
               hosts.end(),
               std::back_inserter(within),
               [&](const fleet::Host* aHost) {
                 return regions::Allows(map, near, aHost->mDataCentre);
               });
  return within.empty() ? hosts : within;
}

} // namespace

// Control hosts answer reads themselves: their links are fast, and an
// unreachable leader must not make reads fail on the other hosts.
std::string PolicyRedirect(const State& aState, Micros aNow)
{
  const fleet::State& fleet = aState.mFleet;
  const double seconds = static_cast<double>(fleet.mCatalog.mDocument.size()) /
                         std::max(1.0, aState.mSettings.mLinkBytesPerSecond);
  const bool slow = seconds * kSecond > kMaxDocumentTime;
  const bool redirect = slow && !fleet.mSettings.mControl &&
                        fleet::IsInTouch(fleet, aNow) &&
                        fleet.mLeaderAddress != fleet.mSettings.mPeerAddress;
  return redirect ? fleet.mLeaderAddress : "";
}

// A host that loses power costs each client that has its address one request,
// since the connection attempt hangs; with few addresses per answer, few
// clients have it. The addresses span several data centres, because a client
// that loses its own data centre cannot get a new answer. Each answer is
// shuffled anew to spread the load evenly.
std::vector<std::string> AddressesFor(State& aState,
                                      const Lookup& aLookup,
                                      Micros aNow)
{
  std::vector<std::string> local;
  std::vector<std::string> others;
  for (const fleet::Host* host : HostsFor(aState, aLookup, aNow)) {
    const bool near = host->mDataCentre == aLookup.mDataCentre;
    (near ? local : others).push_back(host->mCallerAddress);
  }
  std::shuffle(local.begin(), local.end(), aState.mShuffle);
  std::shuffle(others.begin(), others.end(), aState.mShuffle);
  const std::size_t near =
    std::min(local.size(),
             std::max(kMinLocalAddresses,
                      kMaxAddresses - std::min(kMaxAddresses, others.size())));
  local.resize(near);
  others.resize(
    std::min(others.size(), kMaxAddresses - std::min(kMaxAddresses, near)));
  local.insert(local.end(), others.begin(), others.end());
  return local;
}

} // namespace geraniumpond::gateway
