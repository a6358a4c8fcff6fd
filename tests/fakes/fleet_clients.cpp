#include "fakes/fleet_clients.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr int kClients = 700;
/// For which clients keep an answer of the directory.
constexpr Micros kAnswerLifetime = 2 * kSecond;
constexpr std::size_t kAddressesPerAnswer = 5;
/// Hosts that a client asks in a row.
constexpr int kLookupTries = 3;
/// A host does not accept more while it is busy for this long.
constexpr Micros kMaxBacklog = 3 * kSecond;

} // namespace

FleetClients::FleetClients(FleetSimulation& aSimulation,
                           int aDataCentres,
                           RequestCost aCost,
                           std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mCost(aCost)
  , mRandom(aSeed)
  , mClients(kClients)
{
  for (const std::string& address : mSimulation.Addresses()) {
    const fleet::Settings& settings = mSimulation.At(address).mSettings;
    mHostsByDataCentre[settings.mDataCentre].push_back(address);
  }
  for (std::size_t i = 0; i < mClients.size(); ++i) {
    mClients[i].mDataCentre =
      "dc" + std::to_string(i % static_cast<std::size_t>(aDataCentres));
  }
}

void FleetClients::MakeHostsReady()
{
  for (const std::string& address : mSimulation.Addresses()) {
    const FleetNode& node = mSimulation.At(address);
    if (node.mAlive && !node.mState.mReady &&
        node.mState.mCatalog.mVersion > 0 &&
        HasConfirmedCatalog(node.mState, mSimulation.mNow)) {
      mSimulation.SetReady(address);
    }
  }
}

std::vector<std::string> FleetClients::NamedBy(const std::string& aHost) const
{
  std::vector<std::string> named;
  for (const fleet::Host* host :
       HostsForClients(mSimulation.At(aHost).mState, mSimulation.mNow)) {
    named.push_back(host->mPeerAddress);
  }
  return named;
}

// A client that gets no new answer keeps the one that it has.
void FleetClients::Lookup(Client& aClient)
{
  const auto& near = mHostsByDataCentre.at(aClient.mDataCentre);
  for (int i = 0; i < kLookupTries; ++i) {
    const std::string& asked = near[mRandom() % near.size()];
    std::vector<std::string> named;
    if (mSimulation.At(asked).mAlive) {
      named = NamedBy(asked);
    }
    if (named.empty()) {
      continue;
    }
    std::shuffle(named.begin(), named.end(), mRandom);
    named.resize(std::min(named.size(), kAddressesPerAnswer));
    aClient.mAddresses = std::move(named);
    aClient.mExpiresAt = mSimulation.mNow + kAnswerLifetime;
    return;
  }
}

bool FleetClients::Accepts(const std::string& aHost) const
{
  const FleetNode& node = mSimulation.At(aHost);
  return node.mAlive && node.mState.mReady &&
         node.mBusyUntil - mSimulation.mNow < kMaxBacklog &&
         AcceptsRequests(
           node.mState, mSimulation.mNow, mSimulation.MessageDelay(aHost));
}

void FleetClients::SendRequest()
{
  Client& client = mClients[mRandom() % mClients.size()];
  if (mSimulation.mNow >= client.mExpiresAt) {
    Lookup(client);
  }
  if (client.mAddresses.empty()) {
    ++mRefused;
    return;
  }
  const std::string& address =
    client.mAddresses[mRandom() % client.mAddresses.size()];
  if (!Accepts(address)) {
    ++mRefused;
    return;
  }
  ++mAccepted;
  FleetNode& node = mSimulation.Node(address);
  node.mBusyUntil = std::max(node.mBusyUntil, mSimulation.mNow) +
                    (mSimulation.IsControl(address) ? mCost.mAtControlHost
                                                    : mCost.mAtOtherHost);
}

} // namespace geraniumpond::fakes
