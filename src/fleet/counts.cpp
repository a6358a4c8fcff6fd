#include "internal.h"

#include <algorithm>

// Messages with counts: reports go up the tree to the leader, totals come down.
// Totals are sent only to hosts that report. While no leader sends any, each
// control host tells those that follow it what they do together.
namespace geraniumpond::fleet {

namespace {

/// The leader sends totals while a quorum has answered a leader check that was
/// started less than this ago: less than the time after which voters elect
/// another leader.
constexpr Micros kLeadershipTime = 500 * kMillisecond;
/// Leader checks that may wait for a quorum.
constexpr std::size_t kMaxRounds = 16;
/// Time for the other voters to report to a new leader.
constexpr Micros kGatherTime = 300 * kMillisecond;
/// Totals of this age are logged as missing.
constexpr Micros kMissingAge = 1 * kSecond;

// Other voters report to the leader alone. A host above this one cannot be
// below it. While totals are lacking, hosts may be out of touch with the
// control group: they no longer name their upstream but still report counts to
// the last one, so any of them that reports is accepted.
bool IsReporter(const State& aState, Micros aNow, const std::string& aAddress)
{
  if (consensus::IsLeader(aState.mGroup) &&
      IsControlAddress(aState, aAddress)) {
    return true;
  }
  const auto& route = aState.mRoute;
  const bool isAbove =
    !HasVote(aState) && (aAddress == aState.mUpstream ||
                         std::count(route.begin(), route.end(), aAddress) != 0);
  const bool mayBeOutOfTouch =
    !IsControlAddress(aState, aAddress) &&
    rollup::LacksTotals(aState.mCounts.mRollup, aNow);
  return !isAbove &&
         (mayBeOutOfTouch || aState.mFollowers.count(aAddress) != 0);
}

rollup::Report OwnCounts(const State& aState, Micros aNow)
{
  rollup::Report report = rollup::MakeReport(
    aState.mCounts.mRollup, aNow, [&](const std::string& aAddress) {
      return IsReporter(aState, aNow, aAddress);
    });
  report.mIncarnation = aState.mSettings.mIncarnation;
  return report;
}

// Leader checks travel with heartbeats. Once a quorum has answered one, this
// host led when it was started, even if the answers waited in its sockets.
void ConfirmLeadership(State& aState, Micros aNow)
{
  CountsState& counts = aState.mCounts;
  if (counts.mTerm != aState.mGroup.mTerm) {
    counts.mTerm = aState.mGroup.mTerm;
    counts.mTermSince = aNow;
    counts.mRounds.clear();
    counts.mLeadingAt = 0;
  }
  auto round = counts.mRounds.begin();
  while (round != counts.mRounds.end() &&
         consensus::IsReadConfirmed(aState.mGroup, round->first)) {
    counts.mLeadingAt = round->second;
    round = counts.mRounds.erase(round);
  }
  if (counts.mRounds.size() < kMaxRounds) {
    counts.mRounds[consensus::OpenRound(aState.mGroup)] = aNow;
  }
}

bool HaveVotersReported(const State& aState)
{
  const CountsState& counts = aState.mCounts;
  const auto& voters = aState.mControlAddresses;
  return std::all_of(
    voters.begin(), voters.end(), [&](const std::string& aVoter) {
      const auto part = counts.mRollup.mParts.find(aVoter);
      return aVoter == aState.mSettings.mPeerAddress ||
             (part != counts.mRollup.mParts.end() &&
              part->second.mSentAt >= counts.mTermSince);
    });
}

bool MayTellTotals(const State& aState, Micros aNow)
{
  const CountsState& counts = aState.mCounts;
  const bool leads = counts.mLeadingAt != 0 &&
                     aNow - counts.mLeadingAt < kLeadershipTime &&
                     consensus::IsCurrent(aState.mGroup);
  return leads && (aNow - counts.mTermSince >= kGatherTime ||
                   HaveVotersReported(aState));
}

// Other control hosts are excluded: they send part totals of their own, and no
// host may be in two parts.
bool IsInPart(const State& aState, Micros aNow, const std::string& aAddress)
{
  return IsReporter(aState, aNow, aAddress) &&
         !IsControlAddress(aState, aAddress);
}

// Hosts that were stopped gracefully count nothing any more.
std::uint32_t KnownHosts(const State& aState)
{
  const auto known = std::count_if(
    aState.mHosts.begin(), aState.mHosts.end(), [](const auto& aEntry) {
      return !(aEntry.second.mGone && aEntry.second.mStopping);
    });
  return static_cast<std::uint32_t>(known);
}

void SendTotals(State& aState,
                Micros aNow,
                const rollup::Totals& aTotals,
                Output& aOut)
{
  wire::CountsTotals stated = ToWire(aTotals);
  const Micros age = aNow - aTotals.mToldAt + kMillisecond - 1;
  stated.set_age_ms(static_cast<std::uint32_t>(age / kMillisecond));
  const auto isReader = aTotals.mIsPart ? IsInPart : IsReporter;
  for (const auto& [address, part] : aState.mCounts.mRollup.mParts) {
    if (!rollup::IsHeard(part, aNow) || !isReader(aState, aNow, address)) {
      continue;
    }
    stated.set_written_at(static_cast<std::uint64_t>(aNow - part.mClockGap));
    wire::FleetMessage message;
    *(aTotals.mIsPart ? message.mutable_part_totals()
                      : message.mutable_totals()) = stated;
    SendTo(aState, address, std::move(message), aOut);
  }
}

void TellTotals(State& aState, Micros aNow, Output& aOut)
{
  rollup::State& rollup = aState.mCounts.mRollup;
  if (!MayTellTotals(aState, aNow)) {
    return;
  }
  rollup::Report sum = OwnCounts(aState, aNow);
  const rollup::Stamp stamp{ aState.mGroup.mTerm, sum.mSequence };
  const bool isIdle = sum.mSum.mTable.empty();
  if (rollup::TakeTotals(
        rollup,
        rollup::MakeTotals(
          rollup, aNow, std::move(sum.mSum), KnownHosts(aState), stamp))) {
    SendTotals(aState, aNow, *rollup.mTotals, aOut);
  }
  rollup::MarkSent(rollup, aNow, isIdle);
}

// Without earlier totals of all hosts the share of the bound that belongs to
// this part is unknown, so nothing is sent.
void TellPartTotals(State& aState, Micros aNow, Output& aOut)
{
  rollup::State& rollup = aState.mCounts.mRollup;
  if (!HasVote(aState) || !rollup::LacksTotals(rollup, aNow)) {
    return;
  }
  rollup::Report sum =
    rollup::MakeReport(rollup, aNow, [&](const std::string& aAddress) {
      return IsInPart(aState, aNow, aAddress);
    });
  const bool isIdle = sum.mSum.mTable.empty();
  const std::uint32_t hosts =
    std::max(KnownHosts(aState), rollup.mTotals->mSum.mHosts);
  if (rollup::TakePartTotals(
        rollup,
        aNow,
        rollup::MakePartTotals(aNow, std::move(sum.mSum), hosts))) {
    SendTotals(aState, aNow, *rollup.mPartTotals, aOut);
  }
  rollup::MarkSent(rollup, aNow, isIdle);
}

// Sends empty counts to the previous upstream, whose sum would otherwise
// contain this host until its last report expires.
void TakeBackCounts(State& aState, Micros aNow, Output& aOut)
{
  rollup::Report nothing;
  nothing.mIncarnation = aState.mSettings.mIncarnation;
  nothing.mSequence = aState.mCounts.mRollup.mSequence + 1;
  nothing.mSentAt = aNow;
  wire::FleetMessage message;
  *message.mutable_counts() = ToWire(nothing);
  SendTo(aState, aState.mCounts.mReportedTo, std::move(message), aOut);
}

void ReportCounts(State& aState,
                  Micros aNow,
                  const std::string& aTo,
                  Output& aOut)
{
  rollup::State& rollup = aState.mCounts.mRollup;
  if (aTo.empty() || aTo == aState.mSettings.mPeerAddress) {
    return;
  }
  const std::string& last = aState.mCounts.mReportedTo;
  if (!last.empty() && last != aTo) {
    TakeBackCounts(aState, aNow, aOut);
  }
  const rollup::Report report = OwnCounts(aState, aNow);
  wire::FleetMessage message;
  *message.mutable_counts() = ToWire(report);
  SendTo(aState, aTo, std::move(message), aOut);
  rollup::MarkSent(rollup, aNow, report.mSum.mTable.empty());
  aState.mCounts.mReportedTo = aTo;
}

std::optional<rollup::Totals> ReadTotals(Micros aNow,
                                         const wire::CountsTotals& aMessage)
{
  std::optional<rollup::Totals> totals = FromWire(aMessage);
  if (totals) {
    const auto writtenAt = static_cast<Micros>(aMessage.written_at());
    totals->mToldAt = std::min(aNow, writtenAt) -
                      static_cast<Micros>(aMessage.age_ms()) * kMillisecond;
  }
  return totals;
}

void LogMissing(State& aState, Micros aNow, Output& aOut)
{
  CountsState& counts = aState.mCounts;
  const auto& totals = counts.mRollup.mTotals;
  if (!counts.mRollup.mWanted) {
    counts.mIsMissing = false;
    return;
  }
  const Micros since =
    std::max(counts.mWantedSince, totals ? totals->mToldAt : Micros(0));
  const bool isMissing = aNow - since > kMissingAge;
  if (isMissing == counts.mIsMissing) {
    return;
  }
  counts.mIsMissing = isMissing;
  aOut.mLogLines.push_back(
    { isMissing ? 2 : 1,
      std::string("event=") + (isMissing ? "totals_missing" : "totals_back") +
        " age_ms=" + std::to_string((aNow - since) / kMillisecond) +
        " hosts=" + std::to_string(totals ? totals->mSum.mHosts : 0) +
        " silent=" + std::to_string(totals ? totals->mSilent : 0) +
        " reports_to=" + counts.mReportedTo });
}

} // namespace

void TellCounts(State& aState, Micros aNow, Output& aOut)
{
  rollup::State& rollup = aState.mCounts.mRollup;
  if (aNow < rollup::NextLook(rollup)) {
    return;
  }
  rollup::UpdateReporters(rollup, aNow);
  const bool leads = consensus::IsLeader(aState.mGroup);
  const std::string to =
    HasVote(aState) ? LeaderAddress(aState) : aState.mUpstream;
  if (leads) {
    ConfirmLeadership(aState, aNow);
  }
  const bool isDue = rollup::IsDue(rollup, aNow);
  if (isDue) {
    const bool isUrgent = rollup.mUrgent;
    TellPartTotals(aState, aNow, aOut);
    // The report to a leader is still to be sent.
    rollup.mUrgent = isUrgent;
  }
  if (leads && isDue) {
    TellTotals(aState, aNow, aOut);
  } else if (!leads && (isDue || to != aState.mCounts.mReportedTo)) {
    ReportCounts(aState, aNow, to, aOut);
  }
  LogMissing(aState, aNow, aOut);
}

void HandleCounts(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::CountsReport& aMessage)
{
  if (std::optional<rollup::Report> report = FromWire(aMessage)) {
    rollup::TakeReport(aState.mCounts.mRollup, aNow, aFrom, std::move(*report));
  }
}

void HandleTotals(State& aState,
                  Micros aNow,
                  const wire::CountsTotals& aMessage,
                  Output& aOut)
{
  std::optional<rollup::Totals> totals = ReadTotals(aNow, aMessage);
  rollup::State& rollup = aState.mCounts.mRollup;
  if (totals && rollup::TakeTotals(rollup, std::move(*totals))) {
    SendTotals(aState, aNow, *rollup.mTotals, aOut);
  }
}

// Only the upstream's part totals contain this host, since it reports to no
// other host; those of other hosts are ignored.
void HandlePartTotals(State& aState,
                      Micros aNow,
                      const std::string& aFrom,
                      const wire::CountsTotals& aMessage,
                      Output& aOut)
{
  std::optional<rollup::Totals> totals = ReadTotals(aNow, aMessage);
  if (!totals || HasVote(aState) || aFrom != aState.mUpstream) {
    return;
  }
  totals->mIsPart = true;
  rollup::State& rollup = aState.mCounts.mRollup;
  if (rollup::TakePartTotals(rollup, aNow, std::move(*totals))) {
    SendTotals(aState, aNow, *rollup.mPartTotals, aOut);
  }
}

void SetCounting(State& aState, Micros aNow, bool aWanted)
{
  rollup::State& rollup = aState.mCounts.mRollup;
  if (rollup.mWanted == aWanted) {
    return;
  }
  rollup.mWanted = aWanted;
  rollup.mLookAt = aNow;
  aState.mCounts.mWantedSince = aNow;
}

bool AreCountsDue(const State& aState, Micros aNow) noexcept
{
  return aNow >= rollup::NextLook(aState.mCounts.mRollup);
}

void SetCounts(State& aState, Micros aNow, rollup::Table aOwn)
{
  rollup::SetOwn(aState.mCounts.mRollup, aNow, std::move(aOwn));
}

void SelectTotals(State& aState, rollup::Selection aSelection)
{
  aState.mCounts.mRollup.mSelection = std::move(aSelection);
}

void SetLeastGrowth(State& aState,
                    rollup::Subject aSubject,
                    const rollup::Counts& aLeast)
{
  const auto subject = static_cast<std::size_t>(aSubject);
  aState.mCounts.mRollup.mLeastGrowth.mBySubject.at(subject) = aLeast;
}

const rollup::Totals* NewestTotals(const State& aState) noexcept
{
  const auto& totals = aState.mCounts.mRollup.mTotals;
  return totals ? &*totals : nullptr;
}

const rollup::Totals* NewestPartTotals(const State& aState) noexcept
{
  const auto& totals = aState.mCounts.mRollup.mPartTotals;
  return totals ? &*totals : nullptr;
}

} // namespace geraniumpond::fleet
