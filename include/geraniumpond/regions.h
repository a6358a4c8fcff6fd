#pragma once

#include <map>
#include <string>
#include <vector>

/// \brief Regions: groups of data centres, to which a policy may bind requests.
namespace geraniumpond::regions {

/// \brief Region of each data centre; empty if all are one region.
using Map = std::map<std::string, std::string>;

/// \brief The regions that a request is bound to.
struct Homes
{
  /// False where it may go anywhere.
  bool mBound = false;
  /// None where route and account have no region in common.
  std::vector<std::string> mRegions;
};

/// \brief Homes of a request whose route and account name these regions; a
/// list without regions binds nothing.
[[nodiscard]] Homes HomesOf(const std::vector<std::string>& aRoute,
                            const std::vector<std::string>& aAccount);

/// \brief True if a data centre belongs to one of the homes.
[[nodiscard]] bool Allows(const Map& aMap,
                          const Homes& aHomes,
                          const std::string& aDataCentre);

/// \brief Region of a data centre; empty if it is not known.
[[nodiscard]] std::string RegionOf(const Map& aMap,
                                   const std::string& aDataCentre);

} // namespace geraniumpond::regions
