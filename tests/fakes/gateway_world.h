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

/// \brief Simulation of gateway hosts, targets that may crash, and clients, in
/// virtual time.
namespace geraniumpond::fakes {

/// \brief The simulated deployment and its load.
struct GatewayLoad
{
  int mControlHosts = 4;
  int mOtherHosts = 11;
  int mDataCentres = 4;
  int mTargets = 16;
  int mSlots = 4;
  int mQueue = 16;
  double mPerSecond = 140;
  Micros mServiceTime = 90 * kMillisecond;
  Micros mObjective = 250 * kMillisecond;
  Micros mTimeout = 800 * kMillisecond;
  bool mIdempotent = true;
  int mAttempts = 2;
  /// Number of retries of a client whose request was refused or failed.
  int mRetries = 1;
  /// Time from the end of a target to its restart under another id.
  Micros mRestartDelay = 5 * kSecond;
  /// Time from the start of a harmful request to the crash of its target.
  Micros mCrashDelay = 50 * kMillisecond;
  /// Time for which targets are cold that start after Settle(), and the
  /// requests per second that they take meanwhile; 0 for no warm-up.
  Micros mWarmUp = 0;
  double mWarmUpPerSecond = 0;
  /// Targets report their load, and how cold they are, in answers to probes.
  bool mReportsLoad = true;
  /// Client accounts with a key each; 0 for a policy without accounts. The
  /// number of a path says whose request it is.
  int mAccounts = 0;
  bool mStrictRevocation = false;
  Micros mRevokeWithin = 5 * kSecond;
};

/// Requests that a cold target may get in any second: this many times its rate
/// plus a fixed number.
constexpr double kWarmUpRatio = 1.5;
constexpr double kWarmUpFloor = 8;

/// \brief The arrival of a request at a target.
struct TargetArrival
{
  Micros mAt = 0;
  std::string mHost;
  std::string mTarget;
  std::string mPath;
  /// A retry or hedge: not the first arrival of its request.
  bool mExtra = false;
  /// The target announces a limit.
  bool mLimited = false;
  std::size_t mHostIndex = 0;
  std::string mDataCentre;
  /// The target was cold, since this time.
  std::optional<Micros> mColdSince = std::nullopt;
  /// The client account that the target was told.
  std::string mAccount;
};

/// \brief An operator's order to withdraw a data centre's targets from service,
/// or to return them to it.
struct EvacuationOrder
{
  std::string mDataCentre;
  bool mEvacuated = false;
  Micros mSentAt = 0;
  /// Time of its acknowledgement; 0 before.
  Micros mAcknowledgedAt = 0;
};

/// \brief What a host's links to all targets do.
enum class TargetLinks
{
  Intact,
  /// Nothing that is sent arrives, and no answer comes.
  Hanging,
  /// Connections are reset and new ones refused.
  Reset,
  /// Open connections work, one to each target; new ones are refused.
  OnlyOpenConnections
};

/// \brief A request or probe of a host that reached a target, or, in
/// mRestAnswers, was turned away by one that asks for rest.
struct TargetVisit
{
  Micros mAt = 0;
  std::size_t mHost = 0;
  std::string mAddress;
};

/// \brief Clients' first tries at one host.
struct FirstTries
{
  int mSent = 0;
  int mServed = 0;
};

/// \brief Outcomes of the clients' requests.
struct GatewayTally
{
  int mOffered = 0;
  int mServed = 0;
  int mRefused = 0;
  int mFailed = 0;
  /// Requests refused as quarantined.
  int mQuarantined = 0;
};

/// \brief The simulated deployment.
class GatewayWorld
{
public:
  GatewayWorld(const GatewayLoad& aLoad, std::uint64_t aSeed);
  GatewayWorld(const GatewayWorld&) = delete;
  GatewayWorld& operator=(const GatewayWorld&) = delete;

  /// \brief Starts all hosts and targets and waits until each host has the
  /// policy and all targets.
  void Settle();
  void Advance(Micros aTime);
  void Later(Micros aDelay, std::function<void()> aWhat);
  /// \brief A host receives a message that was sent before.
  void Deliver(std::size_t aHost, const wire::FleetMessage& aMessage)
  {
    Post(aHost, gateway::PeerMessage{ aMessage });
  }

  /// Accounts, from the first on, whose keys the next policy lacks.
  int mKeysTakenAway = 0;
  /// \brief Puts the policy version after the latest acknowledged one.
  void PutNextPolicy(std::size_t aHost);
  [[nodiscard]] std::uint64_t AcknowledgedPolicy() const noexcept
  {
    return mAcknowledgedPolicy;
  }
  /// \brief An operator orders it from any host, again after each second
  /// without a clear answer, for up to `aPatience`.
  void OrderEvacuation(const std::string& aDataCentre,
                       bool aEvacuated,
                       Micros aPatience = 4 * kSecond);
  std::vector<EvacuationOrder> mEvacuationOrders;
  /// Called with the host that acknowledges an order.
  std::function<void(std::size_t)> mOnAcknowledgement;
  /// Share of the acknowledgements to orders that are lost on their way.
  double mLostAcknowledgements = 0;
  /// \brief Policy version that a host applies; 0 for none.
  [[nodiscard]] std::uint64_t AppliedPolicy(std::size_t aHost) const;

  /// \brief Clients request distinct paths at the configured rate.
  void StartClients(Micros aFor);
  /// \brief From now on clients ask a host of their data centre where to
  /// connect, keep the answer, and leave out an address that failed them.
  void UseDirectory(int aClients);
  /// \brief The hosts that a host names to a client of its data centre.
  [[nodiscard]] std::vector<std::size_t> NamedBy(std::size_t aHost);
  /// \brief Requests `aPath` from a random host at every interval `aGap`.
  void SendRepeatedly(const std::string& aPath,
                      Micros aGap,
                      Micros aFor,
                      bool aCounted = false);

  /// \brief Every target that runs a request for this path crashes.
  void MakeHarmful(const std::string& aPath) { mHarmful.insert(aPath); }
  /// \brief Releases the request for this path from quarantine, on one host.
  void ReleaseRequest(std::size_t aHost, const std::string& aPath);
  void MakeHarmless(const std::string& aPath) { mHarmful.erase(aPath); }
  /// \brief Ends the target's process; another one starts later.
  void EndTarget(const std::string& aAddress);
  /// \brief The target neither answers nor refuses connections for a while.
  void SilenceTarget(const std::string& aAddress, Micros aFor);
  /// \brief Resets the target's connections; its process keeps running.
  void ResetConnections(const std::string& aAddress);
  /// \brief The target is cold for the warm-up from now on.
  void TurnCold(const std::string& aAddress);
  /// \brief The target drains for a while, ends, and restarts with a new
  /// release.
  void ReplaceTarget(const std::string& aAddress);
  /// \brief The target announces this limit in its answers to requests from now
  /// on; 0 for no limit.
  void SetLimit(const std::string& aAddress, double aPerSecond);
  /// Answers to health probes announce limits as well.
  bool mProbesReportLimits = false;

  /// \brief For a while the target turns all requests away with 503, each time
  /// asking their host for as much rest, and answers probes.
  void TurnAway(const std::string& aAddress, Micros aFor, Micros aRest);
  std::vector<TargetVisit> mRestAnswers;
  /// Requests and probes that reached targets.
  std::vector<TargetVisit> mVisits;
  /// Status codes and times of the answers to counted clients' first tries.
  std::vector<std::pair<int, Micros>> mFirstAnswers;
  /// \brief Sets what the links between this host and all targets do.
  void SetTargetLinks(std::size_t aHost, TargetLinks aLinks);
  /// First tries by host, counted while mCountsFirstTries.
  std::map<std::size_t, FirstTries> mFirstTries;
  bool mCountsFirstTries = false;

  /// Share of requests that targets answer with an error.
  double mErrorShare = 0;

  /// Hosts that cannot exchange messages with any other host.
  std::set<std::size_t> mCutOff;
  /// Messages for which this returns true are lost.
  std::function<bool(std::size_t, std::size_t, const wire::FleetMessage&)>
    mLose;
  /// Injected fault: all gossip messages are lost.
  bool mDropsGossip = false;
  void KillHost(std::size_t aHost);
  /// \brief The same, and its disk is lost.
  void WipeHost(std::size_t aHost);
  /// \brief Ends a host for good and starts an empty one of the same kind at
  /// another address; returns the new one.
  std::size_t ReplaceHost(std::size_t aHost);
  void StartHost(std::size_t aHost);
  void StopHost(std::size_t aHost);
  /// \brief Suspends the host; events that arrive meanwhile are deferred.
  void FreezeHost(std::size_t aHost) { mFrozen.insert(aHost); }
  void ThawHost(std::size_t aHost);
  [[nodiscard]] std::size_t LeaderHost() const;
  [[nodiscard]] std::size_t Hosts() const noexcept { return mHosts.size(); }
  [[nodiscard]] const gateway::State& At(std::size_t aHost) const
  {
    return mHosts.at(aHost).mState;
  }

  [[nodiscard]] std::vector<std::string> TargetAddresses() const;
  [[nodiscard]] const std::string& DataCentreOf(
    const std::string& aTarget) const
  {
    return mTargets.at(aTarget).mDataCentre;
  }
  [[nodiscard]] Micros Now() const noexcept { return mNow; }

  /// All requests that reached a target, including refused ones.
  std::vector<TargetArrival> mArrivals;
  /// Times of the crashes that a harmful request caused, by path.
  std::map<std::string, std::vector<Micros>> mCrashTimes;
  /// Tally of counted clients.
  GatewayTally mTally;
  /// Violated guarantees: a non-idempotent request ran twice, or ran although
  /// its client was told that it did not.
  std::vector<std::string> mViolations;
  /// Gossip messages between hosts, including acknowledgements.
  std::uint64_t mGossipMessages = 0;
  std::uint64_t mGossipBytes = 0;

private:
  struct Host
  {
    gateway::Settings mSettings;
    gateway::State mState;
    consensus::Recovered mDisk;
    bool mAlive = false;
    std::uint64_t mStartCount = 0;
  };
  struct Job
  {
    std::size_t mHost = 0;
    dispatch::SendRequest mSend;
    std::string mPath;
    std::string mTarget;
    bool mExtra = false;
    bool mRunning = false;
    /// The client's request that it belongs to, whichever host sent it.
    std::uint64_t mOrigin = 0;
  };
  /// \brief A request that one host passed on to another.
  struct Relay
  {
    std::size_t mFromHost = 0;
    std::uint64_t mAttempt = 0;
    std::string mPath;
    std::uint64_t mOrigin = 0;
    bool mSent = false;
  };
  struct FakeTarget
  {
    std::string mId;
    std::string mDataCentre;
    bool mAlive = false;
    bool mSilent = false;
    bool mDraining = false;
    std::string mRelease = "v1";
    /// Announced limit in requests per second; 0 for none.
    double mLimit = 0;
    Micros mColdSince = 0;
    Micros mColdUntil = 0;
    int mStarts = 0;
    Micros mTurnsAwayUntil = 0;
    Micros mRest = 0;
    int mRunning = 0;
    std::deque<std::uint64_t> mWaiting;
  };
  struct Client
  {
    std::string mPath;
    bool mCounted = false;
    int mRetries = 0;
    bool mSent = false;
    /// Index into mDirectoryClients.
    std::size_t mDirectoryClient = 0;
    /// Counted in mFirstTries.
    bool mIsWatched = false;
    Micros mSentAt = 0;
  };
  /// \brief A client with a directory's answer.
  struct DirectoryClient
  {
    std::string mDataCentre;
    int mKeepFactor = 1;
    std::vector<std::string> mAddresses;
    Micros mKeepUntil = 0;
  };

  void AddHosts();
  void StartTarget(const std::string& aAddress);
  void Announce(const std::string& aAddress);
  void SendOrder(std::size_t aOrder, Micros aGiveUpAt);
  [[nodiscard]] Micros WarmUpLeft(const FakeTarget& aTarget) const;
  template<class Body>
  void Post(std::size_t aHost, Body aBody);
  void Perform(std::size_t aHost, gateway::Effects aEffects);
  void PerformOne(std::size_t aHost, dispatch::ProbeTarget& aEffect);
  void PerformOne(std::size_t aHost, dispatch::SendRequest& aEffect);
  void PerformOne(std::size_t aHost, dispatch::RelayRequest& aEffect);
  void PerformOne(std::size_t aHost, dispatch::CancelAttempt& aEffect);
  void PerformOne(std::size_t aHost, dispatch::DeliverAnswer& aEffect);
  void PerformOne(std::size_t aHost, dispatch::ReplyToClient& aEffect);
  void PerformOne(std::size_t, dispatch::LogLine&) {}
  void PerformOne(std::size_t aHost, gateway::AnswerOperation& aEffect);
  [[nodiscard]] std::size_t IndexOf(const std::string& aCallerAddress) const;
  void PerformOne(std::size_t aHost, gateway::SendPeer& aEffect);
  void PerformOne(std::size_t aHost, gateway::Persist& aEffect);
  void PerformOne(std::size_t, gateway::ExitProcess&) {}
  void EndClient(std::size_t aHost, std::uint64_t aRequest, int aStatus);
  void ArriveAtHost(std::size_t aHost,
                    const dispatch::RelayRequest& aEffect,
                    const Relay& aRelay);
  /// \brief Returns an answer to the host that passed the request on; false if
  /// a client sent it.
  bool EndRelay(std::size_t aHost,
                std::uint64_t aRequest,
                int aStatus,
                bool aOwnReply);
  void BreakRelays(std::size_t aHost);
  /// \brief The host that a client connects to, if any.
  [[nodiscard]] std::optional<std::size_t> HostFor(const Client& aClient);
  void AskDirectory(DirectoryClient& aClient);
  void RecordFirstTry(std::size_t aHost, const Client& aClient, int aStatus);
  /// \brief Handles a request whose link to the target is not intact; true if
  /// it does not arrive.
  [[nodiscard]] bool IsLostOnLink(std::uint64_t aJob);
  [[nodiscard]] bool HasOtherJob(const Job& aJob) const;
  [[nodiscard]] TargetLinks LinksOf(std::size_t aHost) const;
  void SendRequest(Client aClient);
  void BreakJobs(const std::string& aAddress, dispatch::EndKind aKind);
  void ArriveAtTarget(std::uint64_t aJob);
  void StartJob(std::uint64_t aJob);
  void RecordRun(const Job& aJob);
  void FinishJob(std::uint64_t aJob);
  void StartNext(FakeTarget& aTarget);
  void EndJob(std::uint64_t aJob, dispatch::AttemptEnd aEnd);
  void ReportEnd(std::size_t aHost, dispatch::AttemptEnd aEnd);
  [[nodiscard]] dispatch::Report ReportOf(const FakeTarget& aTarget) const;
  [[nodiscard]] static dispatch::StatedLimit LimitOf(const FakeTarget& aTarget);
  /// \brief A random host that is alive, if any.
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
  /// Requests that were passed on, by receiving host and its request.
  std::map<std::pair<std::size_t, std::uint64_t>, Relay> mRelays;
  /// Non-idempotent requests of clients: how often each ran, and those whose
  /// clients were told that they did not run.
  std::map<std::uint64_t, int> mRuns;
  std::set<std::uint64_t> mRefused;
  /// Status of an answer reported to a host, by host and attempt.
  std::map<std::pair<std::size_t, std::uint64_t>, int> mStatuses;
  std::multimap<Micros, std::function<void()>> mQueue;
  /// Policy versions whose put is not yet answered, by operation.
  std::map<std::uint64_t, std::uint64_t> mPolicyCalls;
  std::uint64_t mAcknowledgedPolicy = 0;
  /// Orders that are not answered yet, by operation.
  std::map<std::uint64_t, std::size_t> mOrderCalls;
  bool mIsSettled = false;
  std::set<std::string> mHarmful;
  std::set<std::size_t> mFrozen;
  std::map<std::size_t, TargetLinks> mTargetLinks;
  std::vector<DirectoryClient> mDirectoryClients;
  std::map<std::size_t, std::vector<std::function<void()>>> mDeferred;
  std::uint64_t mLastId = 0;
};

} // namespace geraniumpond::fakes
