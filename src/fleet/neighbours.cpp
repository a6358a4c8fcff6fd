#include "internal.h"

// Hosts with which this one exchanges facts: its upstream and followers, and
// all of the control group at the top of the tree. None of this needs a leader.
namespace geraniumpond::fleet {

namespace {

std::uint64_t IncarnationOf(const State& aState, const std::string& aAddress)
{
  const auto found = aState.mHosts.find(aAddress);
  return found == aState.mHosts.end() ? 0 : found->second.mIncarnation;
}

// While the group has no leader, nobody is followed; hosts that ask control
// hosts for an upstream exchange facts with them instead.
std::map<std::string, std::uint64_t> Neighbours(const State& aState)
{
  std::map<std::string, std::uint64_t> neighbours;
  for (const std::string& address : aState.mDeferredAskers) {
    neighbours[address] = IncarnationOf(aState, address);
  }
  if (IsControlMember(aState) || !aState.mInTouch) {
    for (const std::string& address : aState.mControlAddresses) {
      neighbours[address] = IncarnationOf(aState, address);
    }
  }
  if (!aState.mUpstream.empty() && !HasVote(aState)) {
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
    aOut.mReceivedFacts.push_back(std::move(item));
  }
}

} // namespace

void ShareFact(State& aState, Micros aNow, gossip::Item aItem, Output& aOut)
{
  if (gossip::Publish(aState.mGossip, aNow, std::move(aItem))) {
    GossipToNeighbours(aState, aNow, aOut);
  }
}

void HandleGossip(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Gossip& aMessage,
                  Output& aOut)
{
  gossip::Output output;
  gossip::Receive(aState.mGossip, aNow, aFrom, aMessage, output);
  Send(aState, std::move(output), aOut);
  GossipToNeighbours(aState, aNow, aOut);
}

void UpdateNeighbours(State& aState)
{
  if (!aState.mGossip.mEntries.empty()) {
    gossip::SetNeighbours(aState.mGossip, Neighbours(aState));
  }
}

void GossipToNeighbours(State& aState, Micros aNow, Output& aOut)
{
  if (aNow < gossip::NextTick(aState.mGossip)) {
    return;
  }
  UpdateNeighbours(aState);
  gossip::Output output;
  gossip::Tick(aState.mGossip, aNow, output);
  Send(aState, std::move(output), aOut);
}

} // namespace geraniumpond::fleet
