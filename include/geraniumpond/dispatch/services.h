#pragma once

#include <geraniumpond/dispatch/targets.h>
#include <geraniumpond/fair_queue.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// \brief Services and routes: their queues, budgets and learnt statistics.
namespace geraniumpond::dispatch {

/// \brief Requests and extra attempts of one service within the sliding window
/// of the budget.
struct ExtraWindow
{
  struct Slice
  {
    Micros mStart = 0;
    int mRequests = 0;
    int mExtra = 0;
  };
  std::deque<Slice> mSlices;
};

/// \brief Occupancy ranges of a target that a LoadCurve distinguishes.
constexpr std::size_t kCurveBuckets = 16;

/// \brief Factor by which work takes longer, by the occupancy of the target
/// when the work started.
struct LoadCurve
{
  std::array<double, kCurveBuckets> mLatencyFactor{};
  std::array<int, kCurveBuckets> mSampleCount{};
};

/// \brief Statistics of the speeds that a service's targets report.
struct SpeedStatistics
{
  /// Smoothed slowness.
  double mMean = 1;
  /// Total time between consecutive reports of one target, and the number of
  /// speed changes in it.
  double mObservedTime = 0;
  double mChanges = 0;
};

/// \brief One service, as this host knows it.
struct Service
{
  std::string mName;
  std::string mHealthPath;
  std::vector<std::string> mTargets;
  /// Targets with a bounded rate of which this host has a share.
  std::vector<std::string> mLimitedTargets;
  /// The targets that this host probes first; all of them if they are few.
  std::vector<std::string> mSubset;
  /// Targets that reported their load lately, each once; may include removed
  /// ones.
  std::deque<std::string> mRecentReporters;
  fair_queue::Queue mWaiting;
  ExtraWindow mExtra;
  /// False once a target answered a probe without a load report.
  bool mReportsLoad = true;
  /// Smoothed share of probes that found a target with spare capacity.
  double mSpareCapacityShare = 0.5;
  LoadCurve mCurve;
  SpeedStatistics mSpeeds;
  /// Factor by which work takes longer at a target that has just started; 2
  /// until some have answered.
  double mColdLatencyFactor = 2;
  /// Smoothed share of late requests that waited and found spare capacity, as
  /// of mLateServedAt.
  double mLateServedShare = 1;
  Micros mLateServedAt = 0;
  /// Smoothed interval between dispatches while requests wait.
  double mDispatchInterval = 0;
  Micros mDispatchedAt = 0;
  /// Until when any of its targets rests.
  Micros mRestUntil = 0;
  /// Number of answers of its targets, and how many targets have been asked
  /// since the last one.
  std::uint64_t mAnswerCount = 1;
  std::size_t mAskedTargets = 0;
  /// When enough of them had been asked; 0 while they have not.
  Micros mSilentSince = 0;
  /// When the first question after its last answer was asked; 0 without one.
  Micros mUnansweredSince = 0;
  Micros mHeardAt = 0;
  /// When another host last got an answer for this one.
  Micros mServedElsewhereAt = 0;
  /// Hosts that do not reach the targets, and until when they are not tried.
  std::map<std::string, Micros> mAvoidedHosts;
  /// Consecutive tries of other hosts that did not reach the targets, and until
  /// when no host is tried.
  int mConsecutiveHostFailures = 0;
  Micros mDownUntil = 0;
  /// True if requests were still waiting at the last dispatch.
  bool mWasBusy = false;
};

/// \brief Statistics of the timeouts that clients state on their first try, in
/// microseconds.
struct PatienceStatistics
{
  int mSampleCount = 0;
  double mMean = 0;
  /// Smoothed absolute deviation from the mean.
  double mDeviation = 0;
  /// Smoothed share of requests that were classified as retries.
  double mRetryShare = 0;
};

/// \brief Learnt statistics of a route's requests.
struct RouteStatistics
{
  PatienceStatistics mPatience;
  int mAnswers = 0;
  /// Smoothed service time at a target of usual speed; 0 while unknown.
  double mWork = 0;
  Micros mLearntAt = 0;
  double mAnswerBytes = 0;
};

} // namespace geraniumpond::dispatch
