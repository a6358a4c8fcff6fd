#pragma once

#include <geraniumpond/gateway.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \brief Whole gateway hosts, targets that may end, and clients, in virtual
/// time.
namespace geraniumpond::fakes {

/// \brief The deployment and what its clients do.
struct GatewayLoad
{
  int mControlHosts = 4;
  int mOtherHosts = 11;
  int mDataCentres = 4;
  int mTargets = 16;
  int mSlots = 4;
  int mQueue = 16;
  double mPerSecond = 140;
  Micros mWork = 90 * kMillisecond;
  Micros mObjective = 250 * kMillisecond;
  Micros mTimeout = 800 * kMillisecond;
  bool mIdempotent = true;
  int mAttempts = 2;
  /// How often a client comes back that was refused or failed.
  int mReturns = 1;
  /// From the end of a target to its next start, under another id.
  Micros mRestart = 5 * kSecond;
  /// From the start of a harmful request to the end of its target.
  Micros mEndsAfter = 50 * kMillisecond;
};

/// \brief A request reached a target.
struct TargetArrival
{
  Micros mAt = 0;
  std::string mHost;
  std::string mTarget;
  std::string mPath;
  /// Not the first arrival of its request.
  bool mExtra = false;
  /// Its target names a limit.
  bool mLimited = false;
  std::size_t mHostIndex = 0;
};

/// \brief What clients got.
struct GatewayTally
{
  int mOffered = 0;
  int mServed = 0;
  int mRefused = 0;
  int mFailed = 0;
  /// Answers that refused a request as quarantined.
  int mQuarantined = 0;
};

/// \brief The whole deployment.
class GatewayWorld
{
public:
  GatewayWorld(const GatewayLoad& aLoad, std::uint64_t aSeed);
  GatewayWorld(const GatewayWorld&) = delete;
  GatewayWorld& operator=(const GatewayWorld&) = delete;

  /// \brief Waits until each host has the policy and all targets.
  void Settle();
  void Advance(Micros aTime);
  void Later(Micros aDelay, std::function<void()> aWhat);

  /// \brief An operator sends the change after the newest acknowledged one.
  void PutNextPolicy(std::size_t aHost);
  [[nodiscard]] std::uint64_t AcknowledgedPolicy() const noexcept
  {
    return mAcknowledgedPolicy;
  }
  /// \brief Version that a host acts by; 0 for none.
  [[nodiscard]] std::uint64_t PolicyInForce(std::size_t aHost) const;

  /// \brief Clients ask for paths of their own, at the load's pace.
  void StartClients(Micros aFor);
  /// \brief A client asks for `aPath` each `aGap`, at any host.
  void AskAgainAndAgain(const std::string& aPath,
                        Micros aGap,
                        Micros aFor,
                        bool aCounted = false);

  /// \brief Each target that begins to run a request for this path ends.
  void MakeHarmful(const std::string& aPath) { mHarmful.insert(aPath); }
  /// \brief An operator lets the request for this path go, at one host.
  void ReleaseRequest(std::size_t aHost, const std::string& aPath);
  void MakeHarmless(const std::string& aPath) { mHarmful.erase(aPath); }
  /// \brief The target's process ends; another one starts later.
  void EndTarget(const std::string& aAddress);
  /// \brief The target neither answers nor refuses for a while.
  void SilenceTarget(const std::string& aAddress, Micros aFor);
  /// \brief The target's connections break; it lives on.
  void ResetConnections(const std::string& aAddress);
  /// \brief The target says that it leaves, serves on for a while, and ends.
  void ReplaceTarget(const std::string& aAddress);
  /// \brief From now on the target names this limit in its answers to requests;
  /// 0 ends it.
  void SetLimit(const std::string& aAddress, double aPerSecond);
  /// Answers of the health path name limits as well.
  bool mProbesNameLimits = false;

  /// Share of their requests that targets answer with an error.
  double mErrorShare = 0;

  /// Hosts that cannot exchange messages with any other one.
  std::set<std::size_t> mCutOff;
  /// Messages between two hosts for which it returns true are lost.
  std::function<bool(std::size_t, std::size_t, const wire::FleetMessage&)>
    mLose;
  /// A planted fault: no fact reaches another host.
  bool mLosesFacts = false;
  void KillHost(std::size_t aHost);
  void StartHost(std::size_t aHost);
  void StopHost(std::size_t aHost);
  /// \brief The host does nothing; what comes meanwhile waits.
  void FreezeHost(std::size_t aHost) { mFrozen.insert(aHost); }
  void ThawHost(std::size_t aHost);
  [[nodiscard]] std::size_t LeaderHost() const;
  [[nodiscard]] std::size_t Hosts() const noexcept { return mHosts.size(); }
  [[nodiscard]] const gateway::State& At(std::size_t aHost) const
  {
    return mHosts.at(aHost).mState;
  }

  [[nodiscard]] std::vector<std::string> TargetAddresses() const;
  [[nodiscard]] Micros Now() const noexcept { return mNow; }

  /// All requests that reached a target, refused ones included.
  std::vector<TargetArrival> mArrivals;
  /// When a target ended under a harmful request, by its path.
  std::map<std::string, std::vector<Micros>> mEnds;
  /// Of clients that are counted.
  GatewayTally mTally;
  /// Promises that were broken: a request that may not be repeated ran twice,
  /// or ran though its client was told that it did not.
  std::vector<std::string> mBroken;
  /// Facts that hosts told each other, acknowledgements included.
  std::uint64_t mGossipMessages = 0;
  std::uint64_t mGossipBytes = 0;

private:
  struct Host
  {
    gateway::Settings mSettings;
    gateway::State mState;
    consensus::Recovered mDisk;
    bool mAlive = false;
    std::uint64_t mLife = 0;
  };
  struct Job
  {
    std::size_t mHost = 0;
    dispatch::SendRequest mSend;
    std::string mPath;
    std::string mTarget;
    bool mExtra = false;
    bool mRunning = false;
  };
  struct FakeTarget
  {
    std::string mId;
    std::string mDataCentre;
    bool mAlive = false;
    bool mSilent = false;
    bool mDraining = false;
    std::string mRelease = "v1";
    /// Requests a second that it names as its limit; 0 for none.
    double mLimit = 0;
    int mStarts = 0;
    int mRunning = 0;
    std::deque<std::uint64_t> mWaiting;
  };
  struct Client
  {
    std::string mPath;
    bool mCounted = false;
    int mReturns = 0;
    bool mSent = false;
  };

  void AddHosts();
  void StartTarget(const std::string& aAddress);
  void Announce(const std::string& aAddress);
  template<class Body>
  void Post(std::size_t aHost, Body aBody);
  void Perform(std::size_t aHost, gateway::Effects aEffects);
  void PerformOne(std::size_t aHost, dispatch::ProbeTarget& aEffect);
  void PerformOne(std::size_t aHost, dispatch::SendRequest& aEffect);
  void PerformOne(std::size_t aHost, dispatch::CancelAttempt& aEffect);
  void PerformOne(std::size_t aHost, dispatch::DeliverAnswer& aEffect);
  void PerformOne(std::size_t aHost, dispatch::ReplyToClient& aEffect);
  void PerformOne(std::size_t, dispatch::LogLine&) {}
  void PerformOne(std::size_t, gateway::AnswerOperation& aEffect);
  void PerformOne(std::size_t aHost, gateway::SendPeer& aEffect);
  void PerformOne(std::size_t aHost, gateway::Persist& aEffect);
  void PerformOne(std::size_t, gateway::ExitProcess&) {}
  void EndClient(std::size_t aHost, std::uint64_t aRequest, int aStatus);
  void SendRequest(Client aClient);
  void BreakJobs(const std::string& aAddress, dispatch::EndKind aKind);
  void ArriveAtTarget(std::uint64_t aJob);
  void StartJob(std::uint64_t aJob);
  void NoteRun(const Job& aJob);
  void FinishJob(std::uint64_t aJob);
  void StartNext(FakeTarget& aTarget);
  void EndJob(std::uint64_t aJob, dispatch::AttemptEnd aEnd);
  void ReportEnd(std::size_t aHost, dispatch::AttemptEnd aEnd);
  [[nodiscard]] dispatch::Report ReportOf(const FakeTarget& aTarget) const;
  [[nodiscard]] static dispatch::StatedLimit LimitOf(const FakeTarget& aTarget);
  /// \brief A host that is alive; none where all are gone.
  [[nodiscard]] std::optional<std::size_t> AnyHost();

  GatewayLoad mLoad;
  std::mt19937_64 mRandom;
  Micros mNow = 1000 * kSecond;
  std::vector<Host> mHosts;
  std::map<std::string, std::size_t> mHostByAddress;
  std::map<std::string, FakeTarget> mTargets;
  std::map<std::uint64_t, Job> mJobs;
  /// Waiting clients, by host and request.
  std::map<std::pair<std::size_t, std::uint64_t>, Client> mClients;
  /// How often requests that may not be repeated ran, and those whose clients
  /// were told that they did not; by host and request.
  std::map<std::pair<std::size_t, std::uint64_t>, int> mRuns;
  std::set<std::pair<std::size_t, std::uint64_t>> mRefused;
  /// Status of the answer that a host is told of, by host and attempt.
  std::map<std::pair<std::size_t, std::uint64_t>, int> mStatuses;
  std::multimap<Micros, std::function<void()>> mQueue;
  /// Changes of the policy that wait for their answer, by operation.
  std::map<std::uint64_t, std::uint64_t> mPolicyCalls;
  std::uint64_t mAcknowledgedPolicy = 0;
  std::set<std::string> mHarmful;
  std::set<std::size_t> mFrozen;
  std::map<std::size_t, std::vector<std::function<void()>>> mDeferred;
  std::uint64_t mLast = 0;
};

} // namespace geraniumpond::fakes
