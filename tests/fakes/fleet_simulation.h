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

/// \brief A simulated fleet: hosts that exchange messages through one queue, in
/// virtual time.
namespace geraniumpond::fakes {

/// \brief A simulated host: its reducer, its disk and the results it reported.
struct FleetNode
{
  fleet::Settings mSettings;
  fleet::State mState;
  consensus::Recovered mDisk;
  /// The synced part of the disk, which survives a power loss.
  consensus::Recovered mSyncedDisk;
  /// Of this process, and of earlier ones that were killed.
  std::deque<consensus::Write> mUnsynced;
  bool mAlive = false;
  /// Outcomes of submitted commands, by command id.
  std::map<std::uint64_t, fleet::Completion> mOutcomes;
  /// Lines that the host logged.
  std::vector<std::string> mLogLines;
  /// Received messages that wait for processor time.
  fleet::Inbox mInbox;
  Micros mBusyUntil = 0;
};

/// \brief A message in flight.
struct SentMessage
{
  std::string mFrom;
  std::string mTo;
  wire::FleetMessage mMessage;
};

/// \brief A disk write whose sync has not completed yet.
struct PendingSync
{
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
};

/// \brief Processor time that a host spends on messages; none by default.
struct ProcessingCost
{
  /// For each message received or sent, at hosts with a disk and at others.
  Micros mPerControlHostMessage = 0;
  Micros mPerOtherHostMessage = 0;
  /// For each kilobyte received or sent, at all hosts.
  Micros mPerKilobyte = 0;
};

/// 0.1 ms of a core per message and 0.01 ms per kilobyte, on control hosts with
/// a quarter of a core and other hosts with a tenth.
constexpr ProcessingCost kSmallHostCost = { 400, 1000, 40 };

/// \brief The same on small hosts that have this share of it for messages.
constexpr ProcessingCost SmallHostCostWith(int aPercent)
{
  return { kSmallHostCost.mPerControlHostMessage * 100 / aPercent,
           kSmallHostCost.mPerOtherHostMessage * 100 / aPercent,
           kSmallHostCost.mPerKilobyte * 100 / aPercent };
}

/// \brief Simulates all hosts, their network and their disks.
class FleetSimulation
{
public:
  explicit FleetSimulation(std::uint64_t aSeed = 1);

  /// \brief Adds a stopped host. Hosts with a disk become voters.
  void Add(const std::string& aAddress,
           bool aDisk,
           const std::string& aDataCentre = "dc");

  /// \brief Sets the seeds of hosts that are added later.
  void SetSeeds(std::vector<std::string> aSeeds) { mSeeds = std::move(aSeeds); }

  /// \brief Replaces the seeds of all hosts, with effect from their next start.
  void ReplaceSeeds(const std::vector<std::string>& aSeeds);

  /// \brief Starts a host. With `aFounding`, a seed with an empty disk gets a
  /// founding disk.
  void Start(const std::string& aAddress, bool aFounding);

  /// \brief Adds and starts a fleet; the first three hosts with a disk are the
  /// seeds.
  void StartFleet(int aHostsWithDisk,
                  int aHostsWithoutDisk,
                  int aToleratedLosses);

  /// \brief Adds and starts a fleet with one host with a disk in each data
  /// centre, and the hosts without a disk spread over the data centres. The
  /// first three hosts with a disk are the seeds.
  void StartSpreadFleet(int aDataCentres,
                        int aHostsWithoutDisk,
                        int aToleratedLosses);

  /// \brief Lets a host accept clients.
  void SetReady(const std::string& aAddress);
  void Kill(const std::string& aAddress) { mNodes.at(aAddress).mAlive = false; }
  /// \brief Begins a graceful stop; the host runs until it is killed.
  void Stop(const std::string& aAddress);
  /// \brief Ends a host at once; writes that were not synced are lost.
  void LosePower(const std::string& aAddress);
  /// \brief Erases the disk of a stopped host.
  void Wipe(const std::string& aAddress);

  void Advance(Micros aTime);
  /// \brief Advances until the condition holds, for at most `aTimeout`; returns
  /// whether it holds.
  bool RunUntil(Micros aTimeout, const std::function<bool()>& aCondition);

  [[nodiscard]] std::uint64_t Submit(const std::string& aAddress,
                                     const wire::CatalogCommand& aCommand,
                                     Micros aTimeout = 850 * kMillisecond);
  /// \brief Puts a message on the network, as a copy of one sent before.
  void Deliver(SentMessage aSent);
  /// \brief Publishes a fact that a host has observed.
  void ShareFact(const std::string& aAddress, gossip::Item aFact);
  /// \brief Submits a command and waits; true if it was committed and accepted.
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
  /// \brief Number of queries for the control group's status that all hosts
  /// have sent.
  [[nodiscard]] std::uint64_t GroupStatusQueries() const;
  [[nodiscard]] int HostsOutOfTouch() const;
  /// \brief Time that a message which a host receives now waits at least.
  [[nodiscard]] Micros MessageDelay(const std::string& aAddress) const;
  [[nodiscard]] std::string Leader() const;
  /// \brief Number of voters according to the leader; 0 without a leader.
  [[nodiscard]] std::size_t Voters() const { return VoterAddresses().size(); }
  [[nodiscard]] std::vector<std::string> VoterAddresses() const;
  [[nodiscard]] std::vector<std::string> Addresses() const;

  /// Hosts that cannot exchange messages with any other host.
  std::set<std::string> mIsolated;
  /// Hosts that cannot exchange messages with hosts that have a disk.
  std::set<std::string> mIsolatedFromControl;
  /// Hosts whose process is suspended; messages to them are queued.
  std::set<std::string> mSuspended;
  /// Hosts whose disks complete no sync.
  std::set<std::string> mStalledDisks;
  /// Messages for which this returns true are dropped.
  std::function<bool(const SentMessage&)> mShouldDrop;
  /// Injected defect: a power loss also loses the entry that was synced last.
  bool mLosesSyncedWrites = false;
  /// Injected defect: every leader check is confirmed, whatever the receiver
  /// knows.
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

/// \brief A command that changes the policy.
[[nodiscard]] wire::CatalogCommand PutPolicyCommand(std::uint64_t aVersion,
                                                    std::uint64_t aBase,
                                                    const std::string& aText);

/// \brief A command that announces a target.
[[nodiscard]] wire::CatalogCommand PutTargetCommand(const std::string& aId,
                                                    std::uint64_t aSequence,
                                                    bool aDraining);

} // namespace geraniumpond::fakes
