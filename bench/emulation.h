#pragma once

#include <geraniumpond/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// \brief Targets with slots on virtual time; fixed delays, no network model.
namespace geraniumpond::bench {

/// \brief Shape and load of one run.
struct Scenario
{
  std::string mName;
  int mTargets = 16;
  int mSlots = 4;
  /// Entries that serve the service (callers are steered to them).
  int mEntries = 4;
  double mLoad = 0.7;
  double mSigma = 0.3;
  /// One target is this much slower, from `mFaultAt` until `mFaultEnd`.
  double mStraggler = 1;
  bool mFailFast = false;
  Micros mFaultAt = 0;
  Micros mFaultEnd = 1000 * kSecond;
  /// Share of the calls that come to the first entry; 0 is an equal share.
  double mSkew = 0;
  bool mHedge = false;
  /// Share of the arrivals that is bulk, with ten times the service time.
  double mBulkLoad = 0;
  Micros mDeadline = 10 * kSecond;
  Micros mLength = 30 * kSecond;
  std::uint64_t mSeed = 1;
};

constexpr double kMeanService = 10.0 * kMillisecond;
constexpr Micros kTripNear = 150;
constexpr Micros kTripFar = 1500;
constexpr int kDataCentres = 4;
constexpr Micros kReportInterval = 500 * kMillisecond;
constexpr Micros kFailTime = 300;
constexpr double kBulkFactor = 10;
constexpr Micros kBulkDeadline = 30 * kSecond;
/// Calls of the first seconds are not counted.
constexpr Micros kWarmUp = 3 * kSecond;

/// \brief One call from its arrival to its end.
struct CallState
{
  int mEntry = 0;
  bool mBulk = false;
  Micros mArrivedAt = 0;
  Micros mEndedAt = 0;
  double mService = 0;
  int mAttempts = 0;
  bool mOk = false;
  bool mRefused = false;
  Micros mRefusedAfter = 0;
};

/// \brief A piece of work at a target.
struct Work
{
  std::uint64_t mCall = 0;
  std::uint64_t mAttempt = 0;
  int mEntry = 0;
};

struct TargetModel
{
  int mRunning = 0;
  std::deque<Work> mWaiting;
  /// Work in flight as its last periodic report told.
  int mReported = 0;
  std::uint64_t mStarted = 0;
};

/// \brief The emulated world; a policy decides, this runs the targets.
class Emulation
{
public:
  explicit Emulation(const Scenario& aScenario);

  /// \brief Called when an attempt's end reaches its entry.
  using OnEnd = std::function<void(const Work&, bool aOk, int aInFlight)>;
  using OnArrival = std::function<void(std::uint64_t aCall)>;

  void At(Micros aTime, std::function<void()> aWhat);
  /// \brief Sends an attempt from its entry to a target.
  void Send(const Work& aWork, int aTarget, OnEnd aOnEnd);
  void Run(const OnArrival& aOnArrival);

  [[nodiscard]] Micros Trip(int aEntry, int aTarget) const;
  [[nodiscard]] bool Faulty(int aTarget) const;
  void End(std::uint64_t aCall, bool aOk);
  void Refuse(std::uint64_t aCall);

  Scenario mScenario;
  Micros mNow = 0;
  std::mt19937_64 mRandom;
  std::vector<TargetModel> mTargets;
  std::vector<CallState> mCalls;
  std::uint64_t mAttempts = 0;
  std::uint64_t mLastAttempt = 0;
  /// Sum over samples of the largest and the mean work at a target.
  double mPeakSum = 0;
  double mMeanSum = 0;
  /// Attempts sent to the faulty target while it was faulty, by entry.
  std::vector<int> mHarmed;
  /// When attempts to the faulty target were sent.
  std::vector<Micros> mFaultySent;

private:
  struct Event
  {
    Micros mAt;
    std::uint64_t mOrder;
    std::function<void()> mWhat;
    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };
  struct Sent
  {
    Work mWork;
    OnEnd mOnEnd;
  };

  void Arrive(const OnArrival& aOnArrival);
  void Reach(int aTarget, const Sent& aSent);
  void Begin(int aTarget, const Sent& aSent);
  void Done(int aTarget, const Sent& aSent, bool aOk);
  void SampleHerd();
  [[nodiscard]] double ServiceTime(bool aBulk);
  [[nodiscard]] double ArrivalsPerSecond() const;

  std::priority_queue<Event> mQueue;
  std::uint64_t mOrder = 0;
  std::vector<std::deque<Sent>> mWaiting;
};

/// \brief What a run is judged by.
struct Summary
{
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;
  double mUrgentP99 = 0;
  double mMissed = 0;
  double mRefusedShare = 0;
  double mGoodput = 0;
  double mExtra = 0;
  double mHerd = 0;
  double mWorstRefusal = 0;
  double mUrgentMet = 0;
};

[[nodiscard]] Summary Summarise(const Emulation& aEmulation);

} // namespace geraniumpond::bench
