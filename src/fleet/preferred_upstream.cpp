#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>

// Which host to follow. In each data centre a few hosts follow a control host
// directly, and the others follow these, in levels, so that a control host
// serves only the first level whatever the size of the fleet. The position of a
// host in the tree follows from the list of hosts alone: nothing assigns it,
// and an upstream is always of an earlier level.
namespace geraniumpond::fleet {

namespace {

/// Hosts of a data centre that follow a control host directly, and followers of
/// each relay. Few enough for a small host to serve; two levels reach 156 hosts
/// of a data centre, three reach 1,884.
constexpr std::size_t kDegree = 12;
/// Time for which a silent upstream is avoided. A killed process is back by
/// then, and a lost host is known to be gone.
constexpr Micros kSuspectTime = 5 * kSecond;

// Followers of the own data centre in tree order.
std::vector<std::string> PlacesOfDataCentre(const State& aState)
{
  std::vector<std::pair<std::uint64_t, std::string>> ordered;
  for (const auto& [address, host] : aState.mHosts) {
    const bool follows = !host.mControl && !host.mGone && !host.mStopping;
    if (follows && host.mDataCentre == aState.mSettings.mDataCentre) {
      ordered.emplace_back(Hash64(address), address);
    }
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> places;
  places.reserve(ordered.size());
  for (auto& [order, address] : ordered) {
    places.push_back(std::move(address));
  }
  return places;
}

} // namespace

void MarkSuspect(State& aState, const std::string& aAddress, Micros aNow)
{
  for (auto it = aState.mSuspectedUntil.begin();
       it != aState.mSuspectedUntil.end();) {
    it = aNow < it->second ? std::next(it) : aState.mSuspectedUntil.erase(it);
  }
  aState.mSuspectedUntil[aAddress] = aNow + kSuspectTime;
}

bool IsSuspect(const State& aState, const std::string& aAddress, Micros aNow)
{
  const auto found = aState.mSuspectedUntil.find(aAddress);
  return found != aState.mSuspectedUntil.end() && aNow < found->second;
}

std::uint64_t Weight(const State& aState, const std::string& aAddress)
{
  return Hash64(aState.mSettings.mPeerAddress + "|" + aAddress);
}

// Rendezvous hashing: adding or removing a candidate moves few hosts.
std::string Heaviest(const State& aState,
                     const std::vector<std::string>& aCandidates)
{
  std::string best;
  std::uint64_t most = 0;
  for (const std::string& address : aCandidates) {
    const std::uint64_t weight = Weight(aState, address);
    if (best.empty() || weight > most) {
      best = address;
      most = weight;
    }
  }
  return best;
}

// Spreads hosts over the control hosts of their own data centre; if there are
// none, over all of them.
std::string PreferredControl(const State& aState, Micros aNow)
{
  std::vector<std::string> near;
  std::vector<std::string> all;
  for (const std::string& address : aState.mControlAddresses) {
    const auto host = aState.mHosts.find(address);
    const bool gone = host != aState.mHosts.end() && host->second.mGone;
    if (address == aState.mSettings.mPeerAddress || gone ||
        IsSuspect(aState, address, aNow)) {
      continue;
    }
    all.push_back(address);
    if (IsInOwnDataCentre(aState, address)) {
      near.push_back(address);
    }
  }
  return Heaviest(aState, near.empty() ? all : near);
}

std::string PreferredUpstream(const State& aState, Micros aNow)
{
  const std::vector<std::string> places = PlacesOfDataCentre(aState);
  const auto own = static_cast<std::size_t>(
    std::find(places.begin(), places.end(), aState.mSettings.mPeerAddress) -
    places.begin());
  std::size_t before = 0;
  std::size_t first = 0;
  std::size_t size = kDegree;
  while (own >= first + size) {
    before = first;
    first += size;
    size *= kDegree;
  }
  std::vector<std::string> relays;
  for (std::size_t i = before; i < first && own < places.size(); ++i) {
    if (!IsSuspect(aState, places[i], aNow)) {
      relays.push_back(places[i]);
    }
  }
  return relays.empty() ? PreferredControl(aState, aNow)
                        : Heaviest(aState, relays);
}

} // namespace geraniumpond::fleet
