#pragma once

#include <geraniumpond/dispatch/targets.h>

#include <cstdint>
#include <optional>
#include <string>

/// \brief How probes and attempts ended.
namespace geraniumpond::dispatch {

/// \brief Result of a probe.
struct ProbeEnd
{
  std::string mTarget;
  bool mAnswered = false;
  /// Its address refused the connection.
  bool mRefused = false;
  bool mHealthy = false;
  /// Id of the target that answered; empty if not stated.
  std::string mAnsweredBy;
  std::optional<Report> mReport;
  StatedLimit mLimit;
  StatedRest mRest;
  /// Time that its warm-up still takes; none if not stated.
  std::optional<Micros> mWarmUpLeft;
  /// The target says that it leaves.
  bool mLeaving = false;
};

/// \brief How an attempt ended.
enum class EndKind
{
  /// A complete answer.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// Sent at least in part, and no complete answer came.
  Broken
};

/// \brief The end of an attempt.
struct AttemptEnd
{
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  EndKind mKind = EndKind::Broken;
  int mStatus = 0;
  /// The target's address refused the connection.
  bool mRefused = false;
  /// The target states that it did not run the request.
  bool mNotRun = false;
  /// Another target uses the address now, or the host that the request was
  /// passed on to does not reach its service.
  bool mMisdirected = false;
  std::uint64_t mBytes = 0;
  std::optional<Report> mReport;
  StatedLimit mLimit;
  StatedRest mRest;
  /// The target says that it leaves.
  bool mLeaving = false;
  std::string mReason;
};

} // namespace geraniumpond::dispatch
