#pragma once

#include <geraniumpond/node.h>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \brief Discrete-event simulation of a few hosts with fake disks and a fake
/// target, for failure tests and the safety search.
///
/// The network is modelled only by a delay and the faults that a test injects.
namespace geraniumpond::fakes {

/// \brief Fault probabilities, per message or per attempt.
struct FaultRates
{
  double mLoss = 0;
  double mDuplicate = 0;
  Micros mDelayMin = 500;
  Micros mDelayMax = 1500;
  double mTargetNotSent = 0;
  double mTargetRefuses = 0;
  double mTargetBreaksAfterRun = 0;
  double mTargetBreaksBeforeRun = 0;
  double mTargetHangs = 0;
};

/// \brief Durable content of a host's disk, and writes not yet synced.
struct FakeDisk
{
  wire::HardState mHard;
  wire::Snapshot mSnapshot;
  std::vector<wire::Entry> mEntries;
  std::vector<wire::Persist> mUnsynced;
  wire::DeploymentVersion mCache;
  int mReplacements = 0;
};

struct FakeHost
{
  wire::HostSettings mSettings;
  node::State mState;
  FakeDisk mDisk;
  bool mUp = false;
  std::uint64_t mIncarnation = 0;
  Micros mTimerAt = 0;
  /// Highest deployment version in force here since the disk was replaced.
  std::uint64_t mHighestVersion = 0;
};

/// \brief Final response to one request.
struct ClientAnswer
{
  std::uint32_t mStatus = 0;
  std::string mOutcome;
  std::string mBody;
  std::uint32_t mRetryAfterMs = 0;
  Micros mAt = 0;
};

/// \brief A request sent by a test, and its result.
struct SentRequest
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mKey;
  std::optional<ClientAnswer> mAnswer;
  int mRuns = 0;
};

/// \brief Response to an operator's request.
struct OperatorAnswer
{
  std::uint32_t mStatus = 0;
  std::string mBody;
};

class World
{
public:
  explicit World(std::uint64_t aSeed);

  /// \brief Adds control and entry hosts; the control hosts found the group.
  void AddHosts(int aControls, int aEntries);
  void Start(const std::string& aHost);
  void StartAll();

  /// \brief Stops a host immediately; unsynced writes are lost.
  void Crash(const std::string& aHost);
  void ReplaceDisk(const std::string& aHost);
  void FailDisk(const std::string& aHost);

  /// \brief Cuts all links between the given hosts and the others.
  void Partition(const std::set<std::string>& aPartition);
  void Heal() { mPartition.clear(); }

  void Announce(const std::string& aHost,
                const std::string& aService,
                const std::string& aId,
                bool aDraining = false);
  std::uint64_t Request(const std::string& aHost,
                        const std::string& aKey,
                        const std::string& aBody = "body",
                        const std::string& aPath = "/consent/permissions",
                        const std::string& aToken = "school");
  std::uint64_t Apply(const std::string& aHost,
                      const std::string& aChangeId,
                      std::uint64_t aExpected,
                      const std::string& aText);
  std::uint64_t Drain(const std::string& aHost,
                      const std::string& aService,
                      const std::string& aTarget);
  void Stop(const std::string& aHost);

  /// \brief Processes events for the given time; calls mAfterStep after each.
  void RunFor(Micros aTime);
  /// \brief Processes events until the condition holds; false on timeout.
  bool RunUntil(const std::function<bool()>& aCondition, Micros aLimit);

  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] node::State& StateOf(const std::string& aHost)
  {
    return mHosts.at(aHost).mState;
  }
  [[nodiscard]] double Chance();
  [[nodiscard]] std::uint64_t NextRandom() { return mRandom(); }
  void AddViolation(const std::string& aWhat);

  Micros mNow = 1000 * kSecond;
  std::map<std::string, FakeHost> mHosts;
  FaultRates mRates;
  std::map<std::uint64_t, SentRequest> mRequests;
  std::map<std::uint64_t, OperatorAnswer> mOperations;
  /// Executions by scoped idempotency key.
  std::map<std::string, int> mRunsByKey;
  std::map<std::string, int> mRunsByTarget;
  /// Violated invariants, in order of detection.
  std::vector<std::string> mViolations;
  std::function<void()> mAfterStep;
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::map<std::string, std::uint64_t> mBytesFrom;
  std::map<std::string, std::uint64_t> mBytesTo;
  std::function<bool(const wire::SendPeer&)> mDrop;

private:
  struct Pending
  {
    Micros mAt = 0;
    std::uint64_t mOrder = 0;
    std::string mHost;
    std::uint64_t mIncarnation = 0;
    wire::Event mEvent;
    bool operator<(const Pending& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  void Schedule(const std::string& aHost, Micros aAt, wire::Event aEvent);
  void ProcessEvent(FakeHost& aHost, wire::Event aEvent);
  void Perform(FakeHost& aHost, const wire::Effect& aEffect);
  void Send(const FakeHost& aHost, const wire::SendPeer& aSend);
  void Persist(FakeHost& aHost, const wire::Persist& aPersist);
  void Sync(FakeHost& aHost, std::uint64_t aSequence);
  void RunAttempt(const FakeHost& aHost, const wire::Dispatch& aDispatch);
  void RecordRun(std::uint64_t aRequest, const wire::Dispatch& aDispatch);
  void RecordAnswer(std::uint64_t aRequest, ClientAnswer aAnswer);
  void CheckVersions(FakeHost& aHost);
  [[nodiscard]] bool IsPartitioned(const std::string& aFrom,
                                   const std::string& aTo) const;

  std::mt19937_64 mRandom;
  std::priority_queue<Pending> mQueue;
  std::uint64_t mOrder = 0;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastOperation = 0;
  std::set<std::string> mPartition;
  std::map<std::uint64_t, std::string> mTextOfVersion;
  std::map<std::uint64_t, std::string> mLeaderOfTerm;
  std::map<std::uint64_t, wire::StoredAnswer> mStoredAnswers;
};

/// \brief A deployment of one service, "consent", with a keyed kind "sign" and
/// an idempotent kind "check"; client accounts "school" and "rival".
[[nodiscard]] std::string SmallDeployment(int aEdition = 1);

} // namespace geraniumpond::fakes
