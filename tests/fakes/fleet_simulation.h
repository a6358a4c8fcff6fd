#pragma once

#include <geraniumpond/fleet.h>
#include <geraniumpond/fleet_inbox.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \brief Hosts of a fleet around one queue of messages, in virtual time.
namespace geraniumpond::fakes {

/// \brief One host: its reducer, what its disk holds, and what it was told.
struct FleetNode
{
  fleet::Settings mSettings;
  fleet::State mState;
  consensus::Recovered mDisk;
  /// The part of it that is synced: what outlives a loss of power.
  consensus::Recovered mSyncedDisk;
  std::deque<consensus::Write> mUnsynced;
  bool mAlive = false;
  /// Ends of submitted commands, by id.
  std::map<std::uint64_t, fleet::Done> mDone;
  std::vector<std::string> mNotes;
  /// Messages that have arrived and wait for the processor.
  fleet::Inbox mInbox;
  Micros mBusyUntil = 0;
};

/// \brief A message on its way.
struct SentMessage
{
  std::string mFrom;
  std::string mTo;
  wire::FleetMessage mMessage;
};

/// \brief A write that reaches a host's disk later.
struct PendingSync
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
};

/// \brief Time that messages take of a host; none by default.
struct ProcessingCost
{
  /// To take or to send a message, at hosts with a disk and at others.
  Micros mPerControlHostMessage = 0;
  Micros mPerOtherHostMessage = 0;
  /// The same for each kilobyte.
  Micros mPerKilobyte = 0;
};

/// \brief The whole fleet.
class FleetSimulation
{
public:
  explicit FleetSimulation(std::uint64_t aSeed = 1);

  /// \brief Adds a host that is not started yet; those with a disk vote.
  void Add(const std::string& aAddress,
           bool aDisk,
           const std::string& aDataCentre = "dc");

  /// \brief Gives hosts that are added later other seeds.
  void SetSeeds(std::vector<std::string> aSeeds) { mSeeds = std::move(aSeeds); }

  /// \brief Gives all hosts other seeds, which count from their next start on.
  void ReplaceSeeds(const std::vector<std::string>& aSeeds);

  /// \brief Starts a host; a founder has its founding disk made.
  void Start(const std::string& aAddress, bool aFounding);

  /// \brief Adds and starts `aHostsWithDisk` hosts with a disk and
  /// `aHostsWithoutDisk` without, the first three as seeds.
  void StartFleet(int aHostsWithDisk,
                  int aHostsWithoutDisk,
                  int aToleratedLosses);

  /// \brief Adds and starts a host with a disk in each of some data centres and
  /// `aHostsWithoutDisk` without, spread over them; the first three as seeds.
  void StartSpreadFleet(int aDataCentres,
                        int aHostsWithoutDisk,
                        int aToleratedLosses);

  void Kill(const std::string& aAddress) { mNodes.at(aAddress).mAlive = false; }
  /// \brief Tells a host to stop; it runs on until it is killed.
  void Stop(const std::string& aAddress);
  /// \brief Ends a host at once; what its disk had not synced is gone.
  void LosePower(const std::string& aAddress);
  /// \brief Empties a stopped host's disk.
  void Wipe(const std::string& aAddress);

  void Advance(Micros aTime);
  /// \brief Advances until the condition holds; false when it does not in time.
  bool RunUntil(Micros aMost, const std::function<bool()>& aCondition);

  [[nodiscard]] std::uint64_t Submit(const std::string& aAddress,
                                     const wire::CatalogCommand& aCommand);
  /// \brief Submits and waits; true when it was committed and accepted.
  bool Commit(const std::string& aAddress,
              const wire::CatalogCommand& aCommand);

  [[nodiscard]] bool Has(const std::string& aAddress) const
  {
    return mNodes.count(aAddress) != 0;
  }
  FleetNode& Node(const std::string& aAddress) { return mNodes.at(aAddress); }
  [[nodiscard]] const FleetNode& At(const std::string& aAddress) const
  {
    return mNodes.at(aAddress);
  }
  /// \brief True for a host with a disk.
  [[nodiscard]] bool IsControl(const std::string& aAddress) const
  {
    return Has(aAddress) && At(aAddress).mSettings.mControl;
  }
  /// \brief Questions for the group's word that all hosts have asked.
  [[nodiscard]] std::uint64_t GroupStatusQueries() const;
  [[nodiscard]] std::string Leader() const;
  /// \brief Voters as the leader counts them; none without one.
  [[nodiscard]] std::size_t Voters() const { return VoterAddresses().size(); }
  [[nodiscard]] std::vector<std::string> VoterAddresses() const;
  [[nodiscard]] std::vector<std::string> Addresses() const;

  /// Hosts that cannot exchange messages with any other one.
  std::set<std::string> mIsolated;
  /// Hosts that cannot exchange messages with those that have a disk.
  std::set<std::string> mIsolatedFromControl;
  /// Hosts that do nothing; what is sent to them waits.
  std::set<std::string> mFrozen;
  /// Hosts whose disks answer nothing.
  std::set<std::string> mStalledDisks;
  /// Messages for which it returns true are lost.
  std::function<bool(const SentMessage&)> mShouldDrop;
  /// A planted fault: a loss of power takes what was synced last.
  bool mLosesSyncedWrites = false;
  /// A planted fault: whoever asks whether it leads is told so at once.
  bool mForgesLeaderChecks = false;
  Micros mNow = kSecond;
  ProcessingCost mProcessingCost;

private:
  void ProcessOutput(const std::string& aAddress, const fleet::Output& aOutput);
  [[nodiscard]] bool IsPartitioned(const std::string& aFrom,
                                   const std::string& aTo) const;
  void ProcessInbox(const std::string& aAddress, FleetNode& aNode);
  [[nodiscard]] bool HasProcessorTime(const FleetNode& aNode) const;
  void ForgeLeaderCheckReply(const SentMessage& aCheck);
  void ChargeProcessorTime(FleetNode& aNode,
                           const wire::FleetMessage& aMessage);
  void MarkSynced(FleetNode& aNode, std::uint64_t aSequence);
  void CompleteDueSyncs();
  std::uint64_t Random() { return mRandom(); }

  std::mt19937_64 mRandom;
  std::vector<std::string> mSeeds;
  int mToleratedLosses = 0;
  std::map<std::string, FleetNode> mNodes;
  std::multimap<Micros, SentMessage> mQueue;
  std::multimap<Micros, PendingSync> mSyncs;
  std::uint64_t mIncarnation = 0;
};

/// \brief A change of the policy.
[[nodiscard]] wire::CatalogCommand PutPolicyCommand(std::uint64_t aVersion,
                                                    std::uint64_t aBase,
                                                    const std::string& aText);

/// \brief A target's announcement.
[[nodiscard]] wire::CatalogCommand PutTargetCommand(const std::string& aId,
                                                    std::uint64_t aSequence,
                                                    bool aDraining);

} // namespace geraniumpond::fakes
