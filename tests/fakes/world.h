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

/// \brief A few hosts' reducers around one queue of timed events, with a fake
/// disk and a fake target; for focused failure tests and the safety search.
///
/// No model of a network beyond a delay and the faults that a test asks for.
namespace geraniumpond::fakes {

/// \brief How often faults happen, as shares of messages or attempts.
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

/// \brief What a host's disk holds for good, and what is not yet synced.
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
  /// Highest deployment version ever in force here since its disk is new.
  std::uint64_t mHighestVersion = 0;
};

/// \brief What one request was told in the end.
struct Told
{
  std::uint32_t mStatus = 0;
  std::string mOutcome;
  std::string mBody;
  std::uint32_t mRetryAfterMs = 0;
  Micros mAt = 0;
};

/// \brief A request as the test sent it.
struct SentRequest
{
  std::string mHost;
  std::uint64_t mIncarnation = 0;
  std::string mKey;
  std::optional<Told> mTold;
  int mRuns = 0;
};

/// \brief What an operator was told.
struct OperatorTold
{
  std::uint32_t mStatus = 0;
  std::string mBody;
};

class World
{
public:
  explicit World(std::uint64_t aSeed);

  /// \brief Three control and some entry hosts; founding disks.
  void AddHosts(int aControls, int aEntries);
  void Start(const std::string& aHost);
  void StartAll();

  /// \brief Stops a host at once; what was not synced is lost.
  void Crash(const std::string& aHost);
  void ReplaceDisk(const std::string& aHost);
  void FailDisk(const std::string& aHost);

  /// \brief Cuts all links between two groups; everyone else sees both.
  void Partition(const std::set<std::string>& aOneSide);
  void Heal() { mOneSide.clear(); }

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

  /// \brief Runs events until a time; calls mAfterStep after each one.
  void RunFor(Micros aTime);
  /// \brief Runs until the condition holds; false when the time is over.
  bool RunUntil(const std::function<bool()>& aCondition, Micros aLimit);

  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] node::State& StateOf(const std::string& aHost)
  {
    return mHosts.at(aHost).mState;
  }
  [[nodiscard]] double Chance();
  [[nodiscard]] std::uint64_t Word() { return mRandom(); }
  void Fail(const std::string& aWhat);

  Micros mNow = 1000 * kSecond;
  std::map<std::string, FakeHost> mHosts;
  FaultRates mRates;
  std::map<std::uint64_t, SentRequest> mRequests;
  std::map<std::uint64_t, OperatorTold> mOperations;
  /// Runs at targets by scoped key, and by request for unkeyed ones.
  std::map<std::string, int> mRunsByKey;
  std::map<std::string, int> mRunsByTarget;
  /// Broken promises, in the order in which they were seen.
  std::vector<std::string> mViolations;
  std::function<void()> mAfterStep;
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::map<std::string, std::uint64_t> mBytesBy;
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

  void Post(const std::string& aHost, Micros aAt, wire::Event aEvent);
  void Take(FakeHost& aHost, wire::Event aEvent);
  void Perform(FakeHost& aHost, const wire::Effect& aEffect);
  void Send(const FakeHost& aHost, const wire::SendPeer& aSend);
  void Persist(FakeHost& aHost, const wire::Persist& aPersist);
  void Sync(FakeHost& aHost, std::uint64_t aSequence);
  void RunAttempt(const FakeHost& aHost, const wire::Dispatch& aDispatch);
  void NoteRun(std::uint64_t aRequest, const wire::Dispatch& aDispatch);
  void Tell(std::uint64_t aRequest, Told aTold);
  void CheckVersions(FakeHost& aHost);
  [[nodiscard]] bool Cut(const std::string& aFrom,
                         const std::string& aTo) const;

  std::mt19937_64 mRandom;
  std::priority_queue<Pending> mQueue;
  std::uint64_t mOrder = 0;
  std::uint64_t mLastRequest = 0;
  std::uint64_t mLastOperation = 0;
  std::set<std::string> mOneSide;
  std::map<std::uint64_t, std::string> mTextOfVersion;
  std::map<std::uint64_t, std::string> mLeaderOfTerm;
  std::map<std::uint64_t, wire::StoredAnswer> mKept;
};

/// \brief A small deployment: one consent service with a keyed kind "sign"
/// and an idempotent kind "check"; callers "school" and "rival".
[[nodiscard]] std::string SmallDeployment(int aEdition = 1);

} // namespace geraniumpond::fakes
