#pragma once

#include <geraniumpond/rate_share.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \brief Targets, and what they say of themselves in answers and probes.
namespace geraniumpond::dispatch {

/// \brief Load that a target reports.
struct Report
{
  int mRunning = 0;
  int mWaiting = 0;
  int mSlots = 1;
  /// Service time there relative to the usual; 1 is as usual.
  double mSlowness = 1;
};

/// \brief The request rate limit that a target states in an answer, for all
/// hosts together.
struct StatedLimit
{
  enum class Kind
  {
    /// The answer states no limit.
    Absent,
    Valid,
    /// The stated value is not a rate.
    Invalid
  };
  Kind mKind = Kind::Absent;
  double mPerSecond = 0;
};

/// \brief How long a target that turns a request away wants nothing more from
/// this host.
struct StatedRest
{
  using Kind = StatedLimit::Kind;
  Kind mKind = Kind::Absent;
  Micros mFor = 0;
};

/// \brief A request whose answer broke at a target that may have ended.
struct BrokenAnswer
{
  std::uint64_t mIdentity = 0;
  Micros mBrokenAt = 0;
};

/// \brief One target, as this host knows it.
struct Target
{
  /// Id of one incarnation: nothing known of an earlier one applies.
  std::string mId;
  /// The id that it announced, by which requests address it.
  std::string mName;
  std::string mService;
  std::string mAddress;
  std::string mDataCentre;
  /// Version of its program; empty if unknown.
  std::string mRelease;
  int mSlots = 1;
  /// End of its warm-up, after which it works at full speed; and the requests
  /// per second that it takes from all hosts until then, 0 for no bound.
  Micros mWarmUpEnd = 0;
  double mWarmUpPerSecond = 0;

  std::optional<Report> mReport;
  Micros mReportAt = 0;
  /// Requests of this host sent since the last report.
  int mSentSinceReport = 0;
  /// Requests of this host in flight.
  int mRunning = 0;

  Micros mProbeSentAt = 0;
  bool mProbing = false;
  Micros mProbeRoundTrip = 3 * kMillisecond;

  /// Consecutive failures to reach it.
  int mConnectFailures = 0;
  /// Gets no requests until a probe succeeds at mNextProbeAt or later.
  bool mUnavailable = false;
  Micros mNextProbeAt = 0;
  /// Service::mAnswerCount when it was last asked.
  std::uint64_t mAskedAtAnswer = 0;
  /// It has said in an answer that it leaves: it gets nothing new.
  bool mLeaving = false;
  /// It has asked this host to send nothing until then.
  Micros mRestUntil = 0;
  /// Smoothed share of requests that failed there, as of mFailedAt.
  double mFailureShare = 0;
  Micros mFailedAt = 0;

  /// Requests a second that it accepts from all hosts together, as last stated,
  /// and when any host saw it.
  std::optional<double> mLimit;
  Micros mLimitAt = 0;
  /// This host's share of the limit, or of the rate during the warm-up.
  rate_share::Share mShare;

  /// At the last probe or request its address refused connections or belonged
  /// to another target.
  bool mEnded = false;
  std::vector<BrokenAnswer> mBrokenAnswers;
};

} // namespace geraniumpond::dispatch
