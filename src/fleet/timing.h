#pragma once

#include <geraniumpond/time.h>

/// \brief The times that a change spends on its way from the control group to
/// the last host, in one place: what they add up to is bounded.
namespace geraniumpond::fleet {

// --- what is promised

/// \brief In this time after its acknowledgement a change is in force at every
/// host that a control host in touch can reach.
constexpr Micros kInForceWithin = 2 * kSecond;
/// \brief Levels of hosts below a control host in the largest data centre that
/// is planned for.
constexpr int kMaxLevels = 3;

// --- undisturbed

/// \brief Longest time in which control hosts have heard what their leader
/// committed: the pace of its heartbeats.
constexpr Micros kCommitLatency = 150 * kMillisecond;
/// \brief Pause between messages that tell followers of commits.
constexpr Micros kPushPause = 100 * kMillisecond;
/// \brief Pace at which hosts report to the host that they follow, and at which
/// the group's word goes down the tree.
constexpr Micros kHostReportInterval = 400 * kMillisecond;

// --- disturbed

/// \brief Age of the group's word at which a host asks a control host for it:
/// longer than the paces of heartbeats and words together.
constexpr Micros kQueryAfter = 600 * kMillisecond;
/// \brief A host asks later by this time for each level above it: what its
/// upstream is told meanwhile reaches it without a question.
constexpr Micros kQueryStagger = 50 * kMillisecond;
/// \brief Pause before the next control host is asked; it doubles with each.
constexpr Micros kQueryPause = 50 * kMillisecond;
/// \brief Longest pause between questions: control hosts tell those who asked
/// by themselves as soon as they are in touch.
constexpr Micros kMaxQueryPause = 4 * kHostReportInterval;
/// \brief Time for a question and its answer, at a busy control host.
constexpr Micros kAnswerTime = 100 * kMillisecond;

// --- who is left for whom

/// \brief A host whose upstream is silent, or out of touch while others are
/// not, follows another one after this time: a report and its answer lost in a
/// row.
constexpr Micros kUpstreamTimeout = 1000 * kMillisecond;
/// \brief A control host whose leader's word is older is out of touch; an
/// election takes up to twice as long.
constexpr Micros kLeaderTimeout = 1000 * kMillisecond;
/// \brief The same at other hosts, to which the word comes later.
constexpr Micros kConfirmationTimeout = kUpstreamTimeout + kHostReportInterval;
/// \brief A snapshot that was not taken is sent again after this time: a slow
/// link carries one in it. The policy does not wait for it.
constexpr Micros kSnapshotRetry = 800 * kMillisecond;

// --- reads of the policy

/// \brief Time in which a read is answered or refused: callers leave a host
/// after a second.
constexpr Micros kReadWithin = 850 * kMillisecond;
/// \brief A read that has no answer goes to another control host after this
/// time, and to the next ones after twice the time.
constexpr Micros kReadRetry = 150 * kMillisecond;
/// \brief Pause before the next control host is asked who leads, where one knew
/// of no leader.
constexpr Micros kLeaderPause = 50 * kMillisecond;

// --- sums

/// \brief Longest time to a host of a level, with nothing wrong.
constexpr Micros UndisturbedTime(int aLevel) noexcept
{
  return kCommitLatency + aLevel * kPushPause;
}

/// \brief Oldest word that a host of a level has, with nothing wrong.
constexpr Micros UsualConfirmationAge() noexcept
{
  return kCommitLatency + kHostReportInterval;
}

/// \brief Longest time to a host of a level whose way up the tree fell silent,
/// where some of the control hosts that it asks are lost.
constexpr Micros DisturbedTime(int aLevel, int aLostControlHosts) noexcept
{
  Micros time = kQueryAfter + aLevel * kQueryStagger;
  for (int i = 0; i < aLostControlHosts; ++i) {
    time += kQueryPause << i;
  }
  return time + kAnswerTime;
}

/// \brief Longest time of a read while the group has a leader, where some of
/// the control hosts that are asked are lost: the last one asked names the
/// leader, which asks its quorum.
constexpr Micros ReadTime(int aLostControlHosts) noexcept
{
  const int pauses = aLostControlHosts == 0 ? 0 : 2 * aLostControlHosts - 1;
  return pauses * kReadRetry + 3 * kAnswerTime;
}

} // namespace geraniumpond::fleet
