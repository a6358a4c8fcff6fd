#pragma once

#include <geraniumpond/accounts.h>
#include <geraniumpond/result.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \brief The traffic policy: routes by host name and path, services, and
/// limits on requests.
namespace geraniumpond::policy {

/// \brief Whether the requests of a route may be retried.
enum class RouteKind
{
  /// Idempotent: may be retried and run more than once.
  Safe,
  /// Not idempotent: runs at most once per request of a client.
  Unsafe,
  /// Idempotent, with a large answer.
  Download
};

/// \brief Lower-case name of a kind, as used in policy files.
[[nodiscard]] const char* ToString(RouteKind aKind) noexcept;

/// \brief The kind with this name; NotFound when there is none.
[[nodiscard]] Result<RouteKind> ParseRouteKind(std::string_view aName);

[[nodiscard]] bool IsIdempotent(RouteKind aKind) noexcept;

/// \brief A service that receives a weighted part of a route's requests.
struct Backend
{
  std::string mService;
  double mWeight = 1;
};

/// \brief A route: which requests it matches and how they are handled.
struct Route
{
  std::string mName;
  std::string mHostName;
  /// Starts with a slash; the longest matching prefix wins.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::Safe;
  /// Maximum time until a client is answered.
  Micros mTimeout = 0;
  /// Latency objective for answers.
  Micros mObjective = 0;
  /// Maximum number of targets that one request is sent to.
  int mAttempts = 1;
  /// 0 is the highest priority.
  int mPriority = 0;
  std::vector<Backend> mBackends;
  /// Needs no key of a client account.
  bool mPublic = false;
  /// Regions whose targets may get its requests; empty for all.
  std::vector<std::string> mRegions;
};

/// \brief Settings of a service.
struct ServiceSettings
{
  std::string mName;
  std::string mHealthPath = "/health";
  /// Connections that one target accepts from all hosts combined.
  int mMaxConnections = 100;
  /// Time for which a target is cold after it has started.
  Micros mWarmUp = 0;
  /// Requests per second that a cold target takes from all hosts combined; 0
  /// for no bound.
  double mWarmUpPerSecond = 0;
};

/// \brief Limits on the requests of clients.
struct RequestLimits
{
  std::uint64_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 64 * 1024 * 1024;
  Micros mHeaderTimeout = 3 * kSecond;
  Micros mIdleTimeout = 15 * kSecond;
};

/// \brief A complete policy; it is only ever replaced as a whole.
struct TrafficPolicy
{
  std::uint64_t mVersion = 0;
  std::uint64_t mBaseVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceSettings> mServices;
  RequestLimits mLimits;
  /// Absent where requests need no key.
  std::optional<accounts::Book> mAccounts;
  /// Index of a route by host name and prefix; see BuildIndex().
  std::unordered_map<std::string, std::size_t> mIndex;
  /// Whether any route or account names regions, and, by host name, the regions
  /// that all of its routes with regions name; see BuildIndex().
  bool mNamesRegions = false;
  std::unordered_map<std::string, std::vector<std::string>> mSharedRegions;
};

/// \brief Maximum timeout of a route.
constexpr Micros kMaxRouteTimeout = 10 * kMinute;

/// \brief Validates a policy.
/// \return A message for each error; empty if it is valid.
[[nodiscard]] std::vector<std::string> Validate(const TrafficPolicy& aPolicy);

/// \brief Builds the indexes that FindRoute() and FindSharedRegions() need.
void BuildIndex(TrafficPolicy& aPolicy);

/// \brief The route of a request, or null. The host may include a port and the
/// path a query.
[[nodiscard]] const Route* FindRoute(const TrafficPolicy& aPolicy,
                                     std::string_view aHost,
                                     std::string_view aPath);

/// \brief The regions that all routes with regions of a host name share; null
/// where none of its routes names any. The host may include a port.
[[nodiscard]] const std::vector<std::string>* FindSharedRegions(
  const TrafficPolicy& aPolicy,
  std::string_view aHost);

/// \brief True if any account has a limit.
[[nodiscard]] bool HasLimitedAccounts(const TrafficPolicy& aPolicy) noexcept;

/// \brief Chooses a service by weight; `aPoint` is a uniform random number in
/// [0, 1).
[[nodiscard]] const std::string& PickBackend(const Route& aRoute,
                                             double aPoint) noexcept;

} // namespace geraniumpond::policy
