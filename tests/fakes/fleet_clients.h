#pragma once

#include "fakes/fleet_simulation.h"

#include <map>
#include <random>
#include <string>
#include <vector>

/// \brief Clients of a simulated fleet: they ask hosts of their data centre
/// where to connect, and send requests that cost the hosts processor time.
namespace geraniumpond::fakes {

/// \brief Processor time of a request at hosts with a disk and at others.
struct RequestCost
{
  Micros mAtControlHost = 0;
  Micros mAtOtherHost = 0;
};

/// \brief Clients of all hosts of a simulation.
class FleetClients
{
public:
  FleetClients(FleetSimulation& aSimulation,
               int aDataCentres,
               RequestCost aCost,
               std::uint64_t aSeed);

  /// \brief Lets each host accept clients that acts on a policy which the group
  /// has confirmed, as a gateway does.
  void MakeHostsReady();

  /// \brief Sends one request of a random client.
  void SendRequest();

  /// \brief Hosts that this one names to clients.
  [[nodiscard]] std::vector<std::string> NamedBy(
    const std::string& aHost) const;

  /// Requests that hosts accepted, and those that found none or were refused.
  long mAccepted = 0;
  long mRefused = 0;

private:
  struct Client
  {
    std::string mDataCentre;
    std::vector<std::string> mAddresses;
    Micros mExpiresAt = 0;
  };

  void Lookup(Client& aClient);
  [[nodiscard]] bool Accepts(const std::string& aHost) const;

  FleetSimulation& mSimulation;
  RequestCost mCost;
  std::mt19937_64 mRandom;
  std::map<std::string, std::vector<std::string>> mHostsByDataCentre;
  std::vector<Client> mClients;
};

} // namespace geraniumpond::fakes
