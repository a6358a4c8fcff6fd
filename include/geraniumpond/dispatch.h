#pragma once

#include <geraniumpond/budget.h>
#include <geraniumpond/dispatch/effects.h>
#include <geraniumpond/dispatch/events.h>
#include <geraniumpond/dispatch/fairness.h>
#include <geraniumpond/dispatch/requests.h>
#include <geraniumpond/dispatch/services.h>
#include <geraniumpond/dispatch/targets.h>
#include <geraniumpond/quarantine.h>
#include <geraniumpond/quota.h>

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "impl/wire.h"

/// \brief Handles a request from its arrival to its answer: probes targets for
/// their load at the moment of choice, queues, sends, retries and refuses.
///
/// A plain struct and free functions, without clock, thread, socket or source
/// of randomness. Effects are returned as data, in the order in which they are
/// to be performed.
namespace geraniumpond::dispatch {

/// \brief Bounds set by the deployment, as totals over all hosts.
struct Bounds
{
  /// Extra attempts at a service in any window: a share of its requests plus a
  /// fixed number.
  double mExtraRatio = 0.1;
  double mExtraFloor = 20;
  Micros mExtraWindow = 10 * kSecond;
  /// Probes per target and second.
  double mProbesPerTarget = 10;
  /// Bandwidth of the host's link, in bytes a second.
  double mLinkBytesPerSecond = 125e6;
  /// Requests at a cold target in any second, from all hosts: this many times
  /// the rate that its service states, plus a fixed number.
  double mWarmUpRatio = 1;
  double mWarmUpFloor = 0;
};

/// \brief Whether this host reaches the targets of any service.
struct Reach
{
  Micros mCheckedAt = 0;
  /// Since when no service has been silent; 0 while one is.
  Micros mHeardSince = 0;
  /// It reaches no target, while another host does.
  bool mCutOff = false;
};

/// \brief The shutdown of this host.
struct Shutdown
{
  Micros mBeganAt = 0;
  /// By then its answers have to be complete.
  Micros mEndsAt = 0;
  /// Names of the routes in force when it began.
  std::set<std::string> mRoutes = {};
};

/// \brief Counters published as metrics.
using Counters = std::map<std::string, std::uint64_t>;

/// \brief The dispatch state of one host.
struct State
{
  std::string mHostId;
  std::string mDataCentre;
  Bounds mBounds;
  std::uint64_t mRandom = 1;
  int mHosts = 1;
  /// False while the number of hosts may only cover those heard of so far.
  bool mKnowsHosts = true;
  /// A newer policy may be in force elsewhere, with routes that this one lacks.
  bool mPolicyMayBeOutdated = false;
  /// Until when this host may send requests that need a key, though it hears
  /// nothing more from the control group.
  Micros mKeysTrustedUntil = std::numeric_limits<Micros>::max();
  std::shared_ptr<const policy::TrafficPolicy> mPolicy;
  std::unordered_map<std::string, Target> mTargets;
  /// Data centres whose targets are withdrawn from service, and when others
  /// returned to it.
  std::set<std::string> mEvacuated;
  std::map<std::string, Micros> mReturnedAt;
  std::map<std::string, Service> mServices;
  std::map<std::string, RouteStatistics> mStatistics;
  budget::TokenBucket mProbeBudget;
  std::unordered_map<std::uint64_t, Request> mRequests;
  std::map<std::uint64_t, Unrouted> mUnrouted;
  /// After a start: until when requests may wait for the first policy, or for
  /// the first totals of accounts.
  Micros mPolicyExpectedUntil = 0;
  std::set<std::pair<Micros, std::uint64_t>> mTimers;
  std::set<std::pair<Micros, std::string>> mProbeTimers;
  std::uint64_t mLastAttempt = 0;
  /// Sum of the running attempts' mLargeBytes.
  double mLargeBytes = 0;
  /// Requests that were running at targets when those ended.
  quarantine::State mQuarantine;
  /// The hosts that divide rate limits among themselves; empty while unknown.
  rate_share::Members mLimitHosts;
  /// Limits of client accounts.
  quota::State mQuota;
  Reach mReach;
  /// Caller addresses of the hosts that requests may be passed on to; kept up
  /// to date while AwaitsAnyAnswer().
  std::vector<std::string> mRelayHosts;
  /// Caller addresses of hosts of this data centre whose links are so much
  /// faster than this host's that its large answers hardly occupy them.
  std::vector<std::string> mFastHosts;
  /// Region of each data centre; and, while the policy names regions, the data
  /// centres of the hosts by caller address.
  regions::Map mRegions;
  std::map<std::string, std::string> mHostDataCentres;
  /// Limits of targets that are not known yet.
  std::map<std::string, gossip::Item> mEarlyLimits;
  /// Present while hosts make room for each other's more urgent requests.
  std::optional<Fairness> mFairness;
  /// Present once this host has begun to shut down.
  std::optional<Shutdown> mShutdown;
  Counters mCounters;
};

/// \brief Sets the policy in force.
void SetPolicy(State& aState,
               Micros aNow,
               std::shared_ptr<const policy::TrafficPolicy> aPolicy);

/// \brief Applies the accounts of the policy in force to the requests under
/// way.
void ApplyAccounts(State& aState, Micros aNow, Effects& aOut);

/// \brief Sets the data centres whose targets are withdrawn from service; takes
/// effect with the next SetTargets().
void SetEvacuated(State& aState,
                  Micros aNow,
                  std::set<std::string> aDataCentres,
                  Effects& aOut);

/// \brief Updates the targets from the catalog.
void SetTargets(State& aState,
                Micros aNow,
                const std::map<std::string, wire::TargetRecord>& aTargets,
                Effects& aOut);

/// \brief Sets the number of hosts that share the bounds.
void SetHosts(State& aState, Micros aNow, int aHosts);

/// \brief Handles an announcement of a known target that has turned cold.
void HandleAnnouncedWarmUp(State& aState,
                           Micros aNow,
                           const wire::TargetRecord& aRecord,
                           Effects& aOut);

/// \brief True while the rate of requests to any target is bounded.
[[nodiscard]] bool HasLimits(const State& aState, Micros aNow) noexcept;

/// \brief True while a rate limit has to be divided among the hosts, or a
/// suspected request assigned to one of them.
[[nodiscard]] bool NeedsLimitHosts(const State& aState, Micros aNow) noexcept;

/// \brief Sets the hosts among which rate limits are divided.
void SetLimitHosts(State& aState, Micros aNow, rate_share::Members aHosts);

/// \brief Identity of a request: equal for requests with the same content.
[[nodiscard]] std::uint64_t IdentityOf(const Arrival& aArrival);

void HandleArrival(State& aState,
                   Micros aNow,
                   const Arrival& aArrival,
                   Effects& aOut);

/// \brief Refuses a request that this host has no processor time for; another
/// host can serve it at once.
void RefuseBusy(State& aState, const Arrival& aArrival, Effects& aOut);

/// \brief Admits the requests that arrived before the first policy, once there
/// is one and the targets are known.
void AdmitUnrouted(State& aState, Micros aNow, Effects& aOut);
void HandleProbeEnd(State& aState,
                    Micros aNow,
                    const ProbeEnd& aEnd,
                    Effects& aOut);
void HandleAttemptEnd(State& aState,
                      Micros aNow,
                      const AttemptEnd& aEnd,
                      Effects& aOut);

/// \brief Handles a fact from another host.
void HandleFact(State& aState,
                Micros aNow,
                const gossip::Item& aItem,
                Effects& aOut);

/// \brief Releases a suspected or quarantined request at all hosts, on behalf
/// of an operator; false when it is neither.
bool ReleaseRequest(State& aState,
                    Micros aNow,
                    std::uint64_t aIdentity,
                    Effects& aOut);

/// \brief Handles a client that disconnected before its answer was complete.
void HandleClientDisconnect(State& aState,
                            Micros aNow,
                            std::uint64_t aRequest,
                            Effects& aOut);

void Tick(State& aState, Micros aNow, Effects& aOut);

/// \brief Earliest time at which Tick() has work to do.
[[nodiscard]] Micros NextTick(const State& aState) noexcept;

/// \brief Updates what this host knows of its way to the targets; true when
/// enough time has passed since the last update.
bool UpdateReach(State& aState, Micros aNow, Effects& aOut);

/// \brief Called before each event: silence during which this host did not run
/// says nothing about the targets.
void IgnoreOwnDelay(State& aState, Micros aNow) noexcept;

/// \brief True if this host reaches no target, while another host does.
[[nodiscard]] bool IsCutOff(const State& aState) noexcept;

/// \brief True while targets of a service have been asked and none has answered
/// since.
[[nodiscard]] bool AwaitsAnyAnswer(const State& aState) noexcept;

/// \brief Number of services that this host does not reach.
[[nodiscard]] std::size_t SilentServices(const State& aState,
                                         Micros aNow) noexcept;

/// \brief Number of targets that get no requests until a probe succeeds.
[[nodiscard]] std::size_t UnavailableTargets(const State& aState) noexcept;

/// \brief From now on refuses requests that cannot be answered before the
/// shutdown ends.
void BeginShutdown(State& aState, const Shutdown& aShutdown);

/// \brief Logs the requests that an exit cuts off: how long after `aStopAt`
/// each arrived, and what it was waiting for. A long list is cut short.
void LogCutOff(const State& aState, Micros aNow, Micros aStopAt, Effects& aOut);

/// \brief Number of requests that are queued, running or waiting for the first
/// policy.
[[nodiscard]] std::size_t RunningRequests(const State& aState) noexcept;

} // namespace geraniumpond::dispatch
