#pragma once

#include <geraniumpond/dispatch.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// \brief Simulates many hosts that send requests to the same targets, in
/// virtual time.
namespace geraniumpond::fakes {

/// \brief One kind of request of a load.
struct DispatchKind
{
  std::string mName;
  /// Share of the load, and factor by which more of it comes than usual.
  double mShare = 1;
  double mSurge = 1;
  int mPriority = 1;
  Micros mWork = 220 * kMillisecond;
  Micros mObjective = 600 * kMillisecond;
  Micros mTimeout = 2500 * kMillisecond;
};

/// \brief One client account of a load; its rate is far above what it asks.
struct DispatchAccount
{
  std::string mName;
  double mShare = 1;
  double mSurge = 1;
};

/// \brief The simulated load and the properties of the targets.
struct DispatchLoad
{
  int mHosts = 40;
  int mTargets = 64;
  int mDataCentres = 4;
  int mSlots = 2;
  /// Queue length of a target; requests beyond it are never answered.
  int mQueue = 4;
  /// Requests a second, over all hosts.
  double mPerSecond = 100;
  Micros mWork = 220 * kMillisecond;
  Micros mObjective = 600 * kMillisecond;
  Micros mTimeout = 2500 * kMillisecond;
  bool mIdempotent = true;
  /// Work takes longer by mCrowdedFactor while more than this share of the
  /// slots is taken.
  double mCrowdedShare = 0.8;
  double mCrowdedFactor = 1.7;
  /// Share of the targets that are slow at any time, their slowness, and the
  /// time for which each target keeps its speed.
  double mSlowShare = 0.42;
  double mSlowFactor = 7;
  Micros mSpeedDuration = 500 * kMillisecond;
  /// Share of the targets that reject all requests at any time.
  double mSheddingShare = 0;
  /// Several kinds of request in place of one, and the accounts that send them.
  std::vector<DispatchKind> mKinds;
  std::vector<DispatchAccount> mAccounts;
  /// Hosts hand their counts of demand to each other.
  bool mFairAcrossHosts = false;
  Micros mCountDelay = 500 * kMillisecond;
};

/// \brief What a part of the clients got.
struct DispatchPart
{
  int mOffered = 0;
  int mInTime = 0;
  int mLate = 0;
  /// Refusals by hosts, those after which the client tries again included, and
  /// the time that the request had been there.
  std::vector<Micros> mRefusedAfter;
};

/// \brief Outcomes of the clients' requests.
struct DispatchOutcomes
{
  std::map<std::string, DispatchPart> mKinds;
  std::map<std::string, DispatchPart> mAccounts;
  int mOffered = 0;
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
  int mFailed = 0;
  int mProbes = 0;
  int mSends = 0;
  /// Pairs of a host and a target that had contact at least once.
  std::size_t mContacts = 0;
};

/// \brief Runs a load against the real dispatch code of every host.
class DispatchWorld
{
public:
  DispatchWorld(const DispatchLoad& aLoad, std::uint64_t aSeed);

  /// \brief Runs requests for `aTime`, and waits for the last ones to end.
  DispatchOutcomes RunLoad(Micros aTime);

  /// \brief Adds the targets one by one, `aGap` apart, as they announce
  /// themselves during a rollout.
  void AddTargetsOneByOne(Micros aGap);
  void AddTargets();
  /// \brief Withdraws a data centre's targets from service, at all hosts.
  void Evacuate(const std::string& aDataCentre);

  [[nodiscard]] const DispatchOutcomes& Outcomes() const noexcept
  {
    return mOutcomes;
  }

private:
  struct Job
  {
    std::size_t mHost = 0;
    dispatch::SendRequest mSend;
    Micros mWork = 0;
    bool mRunning = false;
  };

  struct FakeTarget
  {
    std::string mDataCentre;
    Micros mPhase = 0;
    std::deque<std::uint64_t> mWaiting;
    int mRunning = 0;
  };

  struct Client
  {
    Micros mStartedAt = 0;
    Micros mSentAt = 0;
    Micros mWork = 0;
    bool mRetried = false;
    std::size_t mKind = 0;
    std::string mAccount;
  };

  void Announce(int aCount);
  void Run(Micros aUntil);
  void Schedule(Micros aDelay, std::function<void()> aTask);
  void Perform(std::size_t aHost, const dispatch::Effects& aEffects);
  void HandRoundCounts();
  void HandRoundUse();
  void RejectJob(std::uint64_t aJob);
  [[nodiscard]] bool IsShedding(const FakeTarget& aTarget) const;
  [[nodiscard]] const DispatchKind& KindOf(const Client& aClient) const;
  void StartClient();
  void SendClient(std::uint64_t aClient);
  void EndClient(std::uint64_t aRequest, int aStatus, Micros aRetryAfter);
  void ArriveAtTarget(std::uint64_t aJob);
  void StartJob(std::uint64_t aJob);
  void EndJob(std::uint64_t aJob);
  void StartNext(const std::string& aTarget);
  void CancelJob(std::uint64_t aAttempt, std::size_t aHost);
  [[nodiscard]] double ChanceOf(const FakeTarget& aTarget,
                                const std::string& aWhat) const;
  [[nodiscard]] double SlownessOf(const FakeTarget& aTarget) const;
  [[nodiscard]] dispatch::Report ReportOf(const FakeTarget& aTarget) const;

  DispatchLoad mLoad;
  std::mt19937_64 mRandom;
  Micros mNow = 1000 * kSecond;
  DispatchOutcomes mOutcomes;
  std::vector<dispatch::State> mHosts;
  std::map<std::string, wire::TargetRecord> mRecords;
  std::map<std::string, FakeTarget> mTargets;
  std::multimap<Micros, std::function<void()>> mQueue;
  std::map<std::uint64_t, Job> mJobs;
  std::map<std::uint64_t, Client> mClients;
  std::map<std::uint64_t, std::uint64_t> mClientOf;
  std::map<std::pair<std::size_t, std::string>, int> mContactCounts;
  std::uint64_t mLastId = 0;
};

} // namespace geraniumpond::fakes
