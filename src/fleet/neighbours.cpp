#include "internal.h"

// With whom a host exchanges facts: along the tree of relays both ways, and at
// the top with all of the control group. None of it needs a leader.
namespace geraniumpond::fleet {

namespace {

std::uint64_t IncarnationOf(const State& aState, const std::string& aAddress)
{
  const auto found = aState.mHosts.find(aAddress);
  return found == aState.mHosts.end() ? 0 : found->second.mIncarnation;
}

// While the group has no leader nobody is followed: whoever asks control hosts
// for one exchanges facts with them.
std::map<std::string, std::uint64_t> Neighbours(const State& aState)
{
  std::map<std::string, std::uint64_t> neighbours;
  for (const std::string& address : aState.mAskedWhileOut) {
    neighbours[address] = IncarnationOf(aState, address);
  }
  if (IsControlMember(aState) || !aState.mInTouch) {
    for (const std::string& address : aState.mControlAddresses) {
      neighbours[address] = IncarnationOf(aState, address);
    }
  }
  if (!aState.mUpstream.empty() && !Votes(aState)) {
    neighbours[aState.mUpstream] = IncarnationOf(aState, aState.mUpstream);
  }
  for (const auto& [address, follower] : aState.mFollowers) {
    neighbours[address] = follower.mHost.mIncarnation;
  }
  neighbours.erase(aState.mSettings.mPeerAddress);
  return neighbours;
}

void Send(State& aState, gossip::Output aGossip, Output& aOut)
{
  for (auto& [address, gossip] : aGossip.mMessages) {
    wire::FleetMessage message;
    *message.mutable_gossip() = std::move(gossip);
    SendTo(aState, address, std::move(message), aOut);
  }
  for (gossip::Item& item : aGossip.mNewItems) {
    aOut.mNews.push_back(std::move(item));
  }
}

} // namespace

void Tell(State& aState, Micros aNow, gossip::Item aItem, Output& aOut)
{
  if (gossip::Publish(aState.mGossip, aNow, std::move(aItem))) {
    TellNeighbours(aState, aNow, aOut);
  }
}

void TakeGossip(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Gossip& aMessage,
                Output& aOut)
{
  gossip::Output output;
  gossip::Receive(aState.mGossip, aNow, aFrom, aMessage, output);
  Send(aState, std::move(output), aOut);
  TellNeighbours(aState, aNow, aOut);
}

void KeepNeighbours(State& aState)
{
  if (!aState.mGossip.mEntries.empty()) {
    gossip::SetNeighbours(aState.mGossip, Neighbours(aState));
  }
}

void TellNeighbours(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < gossip::NextTick(aState.mGossip)) {
    return;
  }
  KeepNeighbours(aState);
  gossip::Output output;
  gossip::Tick(aState.mGossip, aNow, output);
  Send(aState, std::move(output), aOut);
}

} // namespace geraniumpond::fleet
