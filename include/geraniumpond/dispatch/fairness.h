#pragma once

#include <geraniumpond/dispatch/effects.h>
#include <geraniumpond/fair_admission.h>
#include <geraniumpond/rollup.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

/// \brief Admission by priority over all hosts: less urgent requests of a
/// service are held back while more urgent ones lack room at any host.
namespace geraniumpond::dispatch {

struct State;

/// \brief One service: what this host has counted, by priority, and what it
/// admits.
struct ServiceFairness
{
  std::map<int, fair_admission::Window> mOwn;
  fair_admission::Threshold mThreshold;
};

/// \brief What hosts tell each other of the demand by service and priority.
struct Fairness
{
  std::map<std::string, ServiceFairness> mServices;
  /// Priorities that requests may have by the policy of this version.
  std::uint64_t mPolicyVersion = 0;
  std::set<int> mPriorities;
};

/// \brief Turns admission by priority over all hosts on or off at this host.
void SetFairAcrossHosts(State& aState, bool aWanted);

/// \brief Adds what this host has counted in the last second: requests that
/// arrived, and those of them that lacked room.
void AddOwnDemand(const State& aState, Micros aNow, rollup::Table& aTable);

/// \brief Handles the sums over all hosts.
void HandleDemandTotals(State& aState,
                        Micros aNow,
                        const rollup::Totals& aTotals,
                        Effects& aOut);

} // namespace geraniumpond::dispatch
