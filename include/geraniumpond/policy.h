#pragma once

#include <geraniumpond/result.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \brief Where requests go and how they may be treated: routes by host name
/// and path, services, and limits for clients.
namespace geraniumpond::policy {

/// \brief What may be done with a request after its first dispatch.
enum class RouteKind
{
  /// Idempotent: may be sent again, may run more than once.
  Safe,
  /// Not idempotent: runs at most once for each attempt of a client.
  Unsafe,
  /// Idempotent, with a large answer.
  Download
};

/// \brief Lower-case name of a kind, as written in policy files.
[[nodiscard]] const char* ToString(RouteKind aKind) noexcept;

/// \brief The kind with this name; NotFound when there is none.
[[nodiscard]] Result<RouteKind> ParseRouteKind(std::string_view aName);

[[nodiscard]] bool IsIdempotent(RouteKind aKind) noexcept;

/// \brief One of the services that share a route's requests.
struct Backend
{
  std::string mService;
  double mWeight = 1;
};

/// \brief One route: the requests that it takes and the rules for them.
struct Route
{
  std::string mName;
  std::string mHostName;
  /// Begins with a slash; the longest one that begins a path wins.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::Safe;
  /// Longest time a client is kept waiting.
  Micros mTimeout = 0;
  /// Time within which an answer is worth most.
  Micros mObjective = 0;
  /// Most targets that one request may be sent to.
  int mAttempts = 1;
  /// Rank; 0 is the most urgent.
  int mPriority = 0;
  std::vector<Backend> mBackends;
};

/// \brief What is known of a service beside its targets.
struct ServiceRules
{
  std::string mName;
  std::string mHealthPath = "/health";
  /// Connections that one target accepts from all hosts together.
  int mMaxConnections = 100;
};

/// \brief Bounds on what a client may send.
struct RequestLimits
{
  std::uint64_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 64 * 1024 * 1024;
  Micros mHeaderTimeout = 3 * kSecond;
  Micros mIdleTimeout = 15 * kSecond;
};

/// \brief The whole policy; replaced as a whole.
struct TrafficPolicy
{
  std::uint64_t mVersion = 0;
  std::uint64_t mBaseVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceRules> mServices;
  RequestLimits mLimits;
  /// Index of a route by host name and prefix; see BuildIndex().
  std::unordered_map<std::string, std::size_t> mIndex;
};

/// \brief Longest timeout that a route may have.
constexpr Micros kMaxRouteTimeout = 10 * kMinute;

/// \brief Every fault of a policy in words; empty when it is valid.
[[nodiscard]] std::vector<std::string> FaultsOf(const TrafficPolicy& aPolicy);

/// \brief Makes the policy ready for FindRoute().
void BuildIndex(TrafficPolicy& aPolicy);

/// \brief The route of a request, or null; the host may carry a port, the path
/// a query.
[[nodiscard]] const Route* FindRoute(const TrafficPolicy& aPolicy,
                                     std::string_view aHost,
                                     std::string_view aPath);

/// \brief Chooses a backend by weight; `aPoint` is uniform in [0, 1).
[[nodiscard]] const std::string& PickBackend(const Route& aRoute,
                                             double aPoint) noexcept;

} // namespace geraniumpond::policy
