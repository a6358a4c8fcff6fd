#include <geraniumpond/policy.h>

#include <geraniumpond/field_text.h>
#include <geraniumpond/regions.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace geraniumpond::policy {

namespace {

constexpr std::array<const char*, 3> kKindNames = { "safe",
                                                    "unsafe",
                                                    "download" };

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

std::string_view StripPort(std::string_view aHost)
{
  const std::size_t colon = aHost.rfind(':');
  return colon == std::string_view::npos ? aHost : aHost.substr(0, colon);
}

std::string IndexKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key = LowerCase(aHost);
  key += ' ';
  key += aPrefix;
  return key;
}

void ValidateRoute(const TrafficPolicy& aPolicy,
                   const Route& aRoute,
                   std::vector<std::string>& aFaults)
{
  const auto addError = [&](const std::string& aText) {
    aFaults.push_back("route " + aRoute.mName + ": " + aText);
  };
  if (aRoute.mHostName.empty()) {
    addError("no host name");
  }
  if (aRoute.mPathPrefix.empty() || aRoute.mPathPrefix.front() != '/') {
    addError("the path prefix does not begin with a slash");
  }
  if (aRoute.mTimeout <= 0) {
    addError("the timeout is not above 0");
  }
  if (aRoute.mTimeout > kMaxRouteTimeout) {
    addError("the timeout is over ten minutes");
  }
  if (aRoute.mAttempts < 1) {
    addError("less than one attempt");
  }
  if (aRoute.mBackends.empty()) {
    addError("no service");
  }
  double weight = 0;
  for (const Backend& backend : aRoute.mBackends) {
    weight += backend.mWeight;
    if (aPolicy.mServices.count(backend.mService) == 0) {
      addError("unknown service " + backend.mService);
    }
    if (backend.mWeight < 0) {
      addError("a weight below 0");
    }
  }
  if (!aRoute.mBackends.empty() && weight <= 0) {
    addError("no weight above 0");
  }
}

void IndexRegions(TrafficPolicy& aPolicy)
{
  aPolicy.mSharedRegions.clear();
  for (const Route& route : aPolicy.mRoutes) {
    if (route.mRegions.empty()) {
      continue;
    }
    const auto [entry, added] = aPolicy.mSharedRegions.emplace(
      LowerCase(route.mHostName), route.mRegions);
    if (!added) {
      entry->second = regions::HomesOf(route.mRegions, entry->second).mRegions;
    }
  }
  aPolicy.mNamesRegions = !aPolicy.mSharedRegions.empty();
  if (aPolicy.mAccounts) {
    for (const accounts::Account& account : aPolicy.mAccounts->mAccounts) {
      aPolicy.mNamesRegions |= !account.mRegions.empty();
    }
  }
}

} // namespace

const char* ToString(RouteKind aKind) noexcept
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

Result<RouteKind> ParseRouteKind(std::string_view aName)
{
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (aName == kKindNames[i]) {
      return static_cast<RouteKind>(i);
    }
  }
  return Fail(ErrorCode::NotFound,
              "route kind '" + std::string(aName) +
                "'; allowed: safe, unsafe, download");
}

bool IsIdempotent(RouteKind aKind) noexcept
{
  return aKind != RouteKind::Unsafe;
}

std::vector<std::string> Validate(const TrafficPolicy& aPolicy)
{
  std::vector<std::string> faults;
  if (aPolicy.mVersion == 0) {
    faults.emplace_back("the version is not above 0");
  }
  if (aPolicy.mVersion <= aPolicy.mBaseVersion) {
    faults.emplace_back("the version is not above its base");
  }
  std::set<std::string> keys;
  for (const Route& route : aPolicy.mRoutes) {
    ValidateRoute(aPolicy, route, faults);
    if (!keys.insert(IndexKey(route.mHostName, route.mPathPrefix)).second) {
      faults.push_back("route " + route.mName +
                       ": another route has its host name and prefix");
    }
  }
  for (const auto& [name, service] : aPolicy.mServices) {
    if (!IsRequestTarget(service.mHealthPath)) {
      faults.push_back("service " + name +
                       ": the health path cannot stand in a request");
    }
  }
  return faults;
}

void BuildIndex(TrafficPolicy& aPolicy)
{
  aPolicy.mIndex.clear();
  for (std::size_t i = 0; i < aPolicy.mRoutes.size(); ++i) {
    const Route& route = aPolicy.mRoutes[i];
    aPolicy.mIndex[IndexKey(route.mHostName, route.mPathPrefix)] = i;
  }
  IndexRegions(aPolicy);
}

const std::vector<std::string>* FindSharedRegions(const TrafficPolicy& aPolicy,
                                                  std::string_view aHost)
{
  if (aPolicy.mSharedRegions.empty()) {
    return nullptr;
  }
  const auto found = aPolicy.mSharedRegions.find(LowerCase(StripPort(aHost)));
  return found == aPolicy.mSharedRegions.end() ? nullptr : &found->second;
}

const Route* FindRoute(const TrafficPolicy& aPolicy,
                       std::string_view aHost,
                       std::string_view aPath)
{
  std::string_view path = aPath.substr(0, aPath.find('?'));
  const std::string_view host = StripPort(aHost);
  // Prefixes usually end with a slash, so that only the whole path and its
  // prefixes that end with one are tried, longest first.
  bool whole = true;
  while (!path.empty()) {
    if (whole || path.back() == '/') {
      const auto found = aPolicy.mIndex.find(IndexKey(host, path));
      if (found != aPolicy.mIndex.end()) {
        return &aPolicy.mRoutes[found->second];
      }
      path.remove_suffix(1);
      whole = false;
    }
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
  }
  return nullptr;
}

const std::string& PickBackend(const Route& aRoute, double aPoint) noexcept
{
  double total = 0;
  for (const Backend& backend : aRoute.mBackends) {
    total += backend.mWeight;
  }
  double remaining = aPoint * total;
  for (const Backend& backend : aRoute.mBackends) {
    remaining -= backend.mWeight;
    if (remaining < 0) {
      return backend.mService;
    }
  }
  return aRoute.mBackends.back().mService;
}

bool HasLimitedAccounts(const TrafficPolicy& aPolicy) noexcept
{
  if (!aPolicy.mAccounts) {
    return false;
  }
  const auto& accounts = aPolicy.mAccounts->mAccounts;
  return std::any_of(
    accounts.begin(), accounts.end(), [](const accounts::Account& aAccount) {
      return aAccount.mPerSecond > 0;
    });
}

} // namespace geraniumpond::policy
