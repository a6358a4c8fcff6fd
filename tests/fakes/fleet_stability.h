#pragma once

#include "fakes/fleet_simulation.h"

#include <map>
#include <string>
#include <vector>

/// \brief UnchangedSince when nothing was done to hosts, as far as a schedule
/// goes.
namespace geraniumpond::fakes {

/// \brief Tells when hosts must act by what was acknowledged: while they were
/// left alone for long enough, and no more control hosts are lost than the
/// group tolerates. One that is back, or came in place of another, counts as
/// lost until it has had time to catch up.
class FleetStability
{
public:
  FleetStability(FleetSimulation& aSimulation, int aTolerated);

  /// \brief A control host is gone for good and nothing counts in its place
  /// until a newcomer starts.
  void RecordPermanentLoss() { ++mUnreplaced; }
  /// \brief The newcomer for one of them has started.
  void RecordReplacement();

  /// \brief `aControl`: those that have not gone for good; `aCuts`: a word for
  /// the cuts between them, empty for none.
  [[nodiscard]] bool IsGroupStable(const std::vector<std::string>& aControl,
                                   const std::string& aCuts);
  [[nodiscard]] bool IsHostStable(const std::string& aAddress);

private:
  struct Condition
  {
    std::string mText;
    Micros mSince = 0;
  };

  [[nodiscard]] std::string ConditionOf(const std::string& aAddress) const;
  [[nodiscard]] bool IsReachable(const std::string& aAddress) const;
  [[nodiscard]] bool IsCountedAsLost(const std::string& aAddress);
  [[nodiscard]] Micros UnchangedSince(const std::string& aWho,
                                      const std::string& aCondition);

  FleetSimulation& mSimulation;
  int mTolerated = 0;
  int mUnreplaced = 0;
  std::vector<Micros> mReplacedAt;
  std::map<std::string, Condition> mConditions;
};

} // namespace geraniumpond::fakes
