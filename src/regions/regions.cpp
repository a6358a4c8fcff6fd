#include <geraniumpond/regions.h>

#include <algorithm>
#include <iterator>

namespace geraniumpond::regions {

namespace {

bool Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

Homes HomesOf(const std::vector<std::string>& aRoute,
              const std::vector<std::string>& aAccount)
{
  if (aRoute.empty() || aAccount.empty()) {
    const std::vector<std::string>& named = aRoute.empty() ? aAccount : aRoute;
    return { !named.empty(), named };
  }
  Homes homes{ true, {} };
  std::copy_if(
    aRoute.begin(),
    aRoute.end(),
    std::back_inserter(homes.mRegions),
    [&](const std::string& aRegion) { return Contains(aAccount, aRegion); });
  return homes;
}

bool Allows(const Map& aMap,
            const Homes& aHomes,
            const std::string& aDataCentre)
{
  if (!aHomes.mBound || aMap.empty()) {
    return true;
  }
  const auto found = aMap.find(aDataCentre);
  return found != aMap.end() && Contains(aHomes.mRegions, found->second);
}

std::string RegionOf(const Map& aMap, const std::string& aDataCentre)
{
  const auto found = aMap.find(aDataCentre);
  return found == aMap.end() ? "" : found->second;
}

} // namespace geraniumpond::regions
