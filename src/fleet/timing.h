#pragma once

#include <geraniumpond/time.h>

/// \brief Time limits for the propagation of a change from the control group to
/// the last host, in one place because their sum is bounded.
namespace geraniumpond::fleet {

// --- guarantee

/// \brief Time after its acknowledgement in which a change is in force at every
/// host that a control host in touch can reach.
constexpr Micros kInForceWithin = 2 * kSecond;
/// \brief Tree levels below a control host in the largest supported data
/// centre.
constexpr int kMaxLevels = 3;

// --- without failures

/// \brief Longest time until control hosts learn what their leader committed:
/// its heartbeat interval.
constexpr Micros kCommitLatency = 150 * kMillisecond;
/// \brief Minimum interval between pushes of commits to followers.
constexpr Micros kPushPause = 100 * kMillisecond;
/// \brief Interval at which hosts report to their upstream, and at which
/// confirmations travel down the tree.
constexpr Micros kHostReportInterval = 400 * kMillisecond;

// --- with failures

/// \brief Age of the confirmation at which a host queries a control host;
/// longer than the intervals of heartbeats and confirmations together.
constexpr Micros kQueryAfter = 600 * kMillisecond;
/// \brief Additional delay of a query per tree level above the host: what its
/// upstream learns meanwhile arrives without a query.
constexpr Micros kQueryStagger = 50 * kMillisecond;
/// \brief Pause before the next control host is queried; doubles with each
/// query.
constexpr Micros kQueryPause = 50 * kMillisecond;
/// \brief Longest pause between queries; control hosts answer pending askers on
/// their own as soon as they are in touch.
constexpr Micros kMaxQueryPause = 4 * kHostReportInterval;
/// \brief Time for a query and its answer at a busy control host.
constexpr Micros kAnswerTime = 100 * kMillisecond;

// --- timeouts

/// \brief A host leaves an upstream that has been silent for this long, or out
/// of touch while others are not: one report and its answer lost in a row.
constexpr Micros kUpstreamTimeout = 1000 * kMillisecond;
/// \brief A control host whose leader's confirmation is older is out of touch;
/// an election takes up to twice as long.
constexpr Micros kLeaderTimeout = 1000 * kMillisecond;
/// \brief The same limit at other hosts, which receive confirmations later.
constexpr Micros kConfirmationTimeout = kUpstreamTimeout + kHostReportInterval;
/// \brief A snapshot that was not acknowledged is sent again after this time,
/// in which a slow link can transfer one. The policy does not wait for it.
constexpr Micros kSnapshotRetry = 800 * kMillisecond;

// --- policy reads

/// \brief Time in which a read is answered or refused; callers leave a host
/// after a second.
constexpr Micros kReadWithin = 850 * kMillisecond;
/// \brief A read without an answer goes to another control host after this
/// time, and to further ones after twice the time.
constexpr Micros kReadRetry = 150 * kMillisecond;
/// \brief Pause before the next control host is asked for the leader if one
/// knew of none.
constexpr Micros kLeaderPause = 50 * kMillisecond;

// --- sums

/// \brief Longest propagation time to a tree level without failures.
constexpr Micros PropagationTime(int aLevel) noexcept
{
  return kCommitLatency + aLevel * kPushPause;
}

/// \brief Oldest confirmation at any tree level without failures.
constexpr Micros UsualConfirmationAge() noexcept
{
  return kCommitLatency + kHostReportInterval;
}

/// \brief Longest propagation time to a host of a tree level whose upstreams
/// fell silent, if some of the control hosts that it queries are lost.
constexpr Micros PropagationTimeWithFailures(int aLevel,
                                             int aLostControlHosts) noexcept
{
  Micros time = kQueryAfter + aLevel * kQueryStagger;
  for (int i = 0; i < aLostControlHosts; ++i) {
    time += kQueryPause << i;
  }
  return time + kAnswerTime;
}

/// \brief Longest time of a read while the group has a leader, if some of the
/// control hosts that are asked are lost: the last one asked names the leader,
/// which asks its quorum.
constexpr Micros ReadTime(int aLostControlHosts) noexcept
{
  const int pauses = aLostControlHosts == 0 ? 0 : 2 * aLostControlHosts - 1;
  return pauses * kReadRetry + 3 * kAnswerTime;
}

} // namespace geraniumpond::fleet
