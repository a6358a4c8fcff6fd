#pragma once

#include "fakes/fleet_simulation.h"

#include <map>
#include <string>
#include <vector>

/// \brief How long hosts of a simulated fleet have been undisturbed by faults.
namespace geraniumpond::fakes {

/// \brief Decides when hosts must apply every acknowledged change: once they
/// have been undisturbed for long enough, while no more control hosts are lost
/// than the group tolerates. A control host that was restarted or replaced
/// counts as lost until it has had time to catch up.
class FleetStability
{
public:
  FleetStability(FleetSimulation& aSimulation, int aTolerated);

  /// \brief Records that a control host is lost for good; it counts as lost
  /// until its replacement has caught up.
  void RecordPermanentLoss() { ++mUnreplaced; }
  /// \brief Records that a replacement for a lost control host has started.
  void RecordReplacement();
  /// \brief Records that a voter was removed for good after its replacement had
  /// started; it counts as lost until a leader has had time to take it out.
  void RecordRemoval() { mRemovals.push_back(0); }

  /// \brief Whether the control group has been undisturbed for long enough.
  /// `aControl`: the control hosts that are not lost for good; `aPartition`: a
  /// name for the partition between them, empty for none.
  [[nodiscard]] bool IsGroupStable(const std::vector<std::string>& aControl,
                                   const std::string& aPartition);
  /// \brief Whether a host has been undisturbed for long enough.
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
  [[nodiscard]] int RemovalsUnderWay();
  [[nodiscard]] Micros UnchangedSince(const std::string& aKey,
                                      const std::string& aCondition);

  FleetSimulation& mSimulation;
  int mTolerated = 0;
  int mUnreplaced = 0;
  std::vector<Micros> mReplacedAt;
  /// For each removed voter, how long the group has had a leader since.
  std::vector<Micros> mRemovals;
  Micros mCheckedAt = 0;
  std::map<std::string, Condition> mConditions;
};

} // namespace geraniumpond::fakes
