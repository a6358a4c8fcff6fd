#include "internal.h"

#include <algorithm>

// Health of the control group. Without these log lines three failures look
// alike from outside, as a host that is out of touch: a group that cannot elect
// a leader, one whose elections do not end, and one that lost acknowledged
// changes.
namespace geraniumpond::fleet {

namespace {

/// A voter that was silent for longer does not count as answering: two reports
/// in a row are missing.
constexpr Micros kAnswerTimeout = 2 * kHostReportInterval;
/// A shorter degradation is a restart or an election and is not logged.
constexpr Micros kDegradedLogDelay = 1 * kSecond;
/// Interval between log lines while a degradation lasts.
constexpr Micros kDegradedLogInterval = 5 * kSecond;

// The leader hears members directly; others hear the hosts at their addresses.
bool IsAnswering(const State& aState, const wire::Member& aMember, Micros aNow)
{
  const consensus::State& group = aState.mGroup;
  if (aMember.id() == group.mId) {
    return !group.mFailed;
  }
  if (consensus::IsLeader(group)) {
    const auto progress = group.mProgress.find(aMember.id());
    return progress != group.mProgress.end() &&
           aNow - progress->second.mHeardAt < kAnswerTimeout;
  }
  const auto host = aState.mHosts.find(aMember.address());
  return host != aState.mHosts.end() && !host->second.mGone &&
         aNow - host->second.mHeardAt < kAnswerTimeout;
}

std::string Describe(const GroupHealth& aHealth)
{
  return " voters=" + std::to_string(aHealth.mVoters) +
         " answering=" + std::to_string(aHealth.mAnswering) +
         " tolerated=" + std::to_string(aHealth.mTolerated);
}

// Result of this member's last election, and the end of its log.
std::string DescribeElection(const consensus::State& aGroup)
{
  const std::uint64_t last = consensus::LastIndex(aGroup);
  return std::string(" role=") + consensus::ToString(aGroup.mRole) +
         " term=" + std::to_string(aGroup.mTerm) +
         " elections=" + std::to_string(aGroup.mElections) +
         " votes=" + std::to_string(aGroup.mVotes.size()) +
         " last_index=" + std::to_string(last) + " last_term=" +
         std::to_string(consensus::TermAt(aGroup, last).value_or(0));
}

bool CanAssessGroup(const State& aState)
{
  return consensus::IsLeader(aState.mGroup) || aState.mGroup.mLeader.empty();
}

} // namespace

GroupHealth HealthOf(const State& aState, Micros aNow)
{
  GroupHealth health;
  for (const wire::Member& member : aState.mGroup.mMembership.members()) {
    if (member.voter()) {
      ++health.mVoters;
      health.mAnswering += IsAnswering(aState, member, aNow) ? 1 : 0;
    }
  }
  health.mTolerated = health.mAnswering - (health.mVoters / 2 + 1);
  return health;
}

namespace {

// The newest policy in the entries behind the snapshot, committed or not; 0 if
// there is none.
std::uint64_t PolicyInLog(const consensus::State& aGroup)
{
  std::uint64_t newest = 0;
  for (const wire::Entry& entry : aGroup.mLog) {
    wire::CatalogCommand command;
    if (command.ParseFromString(entry.command()) && command.has_put_policy()) {
      newest = command.put_policy().version();
    }
  }
  return newest;
}

} // namespace

void LogOpened(const State& aState, Output& aOut)
{
  const consensus::State& group = aState.mGroup;
  const GroupHealth health = HealthOf(aState, group.mOpenedAt);
  aOut.mLogLines.push_back(
    { 1,
      "event=group_opened member=" + group.mId +
        " voters=" + std::to_string(health.mVoters) +
        " policy=" + std::to_string(aState.mCatalog.mVersion) +
        " policy_in_log=" + std::to_string(PolicyInLog(group)) +
        DescribeElection(group) });
}

void LogGroupHealth(State& aState, Micros aNow, Output& aOut)
{
  const GroupHealth health = HealthOf(aState, aNow);
  GroupDegradation& watch = aState.mGroupDegradation;
  const bool weak = CanAssessGroup(aState) &&
                    (consensus::IsLeader(aState.mGroup)
                       ? health.mTolerated < aState.mSettings.mToleratedLosses
                       : HasVote(aState));
  if (!weak) {
    if (watch.mLoggedAt != 0) {
      aOut.mLogLines.push_back(
        { 1,
          "event=group_strong after_ms=" +
            std::to_string((aNow - watch.mDegradedSince) / kMillisecond) +
            Describe(health) });
    }
    watch = GroupDegradation();
    return;
  }
  watch.mDegradedSince =
    watch.mDegradedSince == 0 ? aNow : watch.mDegradedSince;
  const bool due =
    watch.mLoggedAt == 0 || aNow - watch.mLoggedAt >= kDegradedLogInterval;
  if (aNow - watch.mDegradedSince < kDegradedLogDelay || !due) {
    return;
  }
  watch.mLoggedAt = aNow;
  aOut.mLogLines.push_back(
    { 2,
      std::string("event=") +
        (consensus::IsLeader(aState.mGroup) ? "group_weak"
                                            : "group_leaderless") +
        " for_ms=" +
        std::to_string((aNow - watch.mDegradedSince) / kMillisecond) +
        Describe(health) +
        " wanted=" + std::to_string(aState.mSettings.mToleratedLosses) +
        DescribeElection(aState.mGroup) });
}

} // namespace geraniumpond::fleet
