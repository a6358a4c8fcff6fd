#include <geraniumpond/rollup.h>

#include <algorithm>

// Sums are sent at regular intervals, so that a lost message is made up for by
// the next one. Growth is reported ahead of the interval, because limits are
// exceeded for as long as other hosts do not know of it.
namespace geraniumpond::rollup {

namespace {

/// Bits of a digest that are told: the chance that two of 10,000 names share
/// them is 2 in 10 million.
constexpr int kDigestBits = 48;
/// Interval between two reports.
constexpr Micros kReportInterval = 200 * kMillisecond;
/// The same while all counts are zero: three of them within the time after
/// which a host is silent.
constexpr Micros kIdleReportInterval = 400 * kMillisecond;
/// Interval at which a host looks for counts that have grown.
constexpr Micros kLookInterval = 50 * kMillisecond;
/// Time in which urgent reports of several hosts are collected.
constexpr Micros kCollectTime = 20 * kMillisecond;
/// Urgent reports in a row; one more is allowed each kReportInterval.
constexpr int kUrgentReports = 2;
/// A host that was not heard for this long drops out of the sum: a few reports
/// lost in a row.
constexpr Micros kSilenceTime = 1200 * kMillisecond;
/// A frozen host may wake after this long; what waited for it meanwhile must
/// not look new.
constexpr Micros kForgetTime = 60 * kSecond;
/// Totals older than this are lacking. The leader sends them every
/// kReportInterval, while a quorum has answered a leader check within this
/// time.
constexpr Micros kLacksTotalsAge = 500 * kMillisecond;
/// Part totals that were made less than this after the last ones are a repeated
/// copy of them: the time computed at receipt is not exact.
constexpr Micros kMinPartTotalsGap = 20 * kMillisecond;
/// Levels of the tallest tree: three of relays, the control hosts, the leader,
/// and some while hosts move.
constexpr std::uint32_t kMaxHeight = 8;
/// The clocks of two hosts differ in speed by less than one part in this many.
constexpr Micros kClockSpeedRatio = 5000;

std::uint32_t AddCounts(std::uint32_t aLeft, std::uint32_t aRight) noexcept
{
  const std::uint32_t sum = aLeft + aRight;
  return sum < aLeft ? std::numeric_limits<std::uint32_t>::max() : sum;
}

bool HasGrown(const Counts& aBefore, const Counts& aNow, const Counts& aLeast)
{
  for (std::size_t i = 0; i < kCountsPerKey; ++i) {
    const std::uint32_t least = std::max(aLeast.at(i), aBefore.at(i) / 2);
    if (aLeast.at(i) != 0 && aNow.at(i) >= AddCounts(aBefore.at(i), least)) {
      return true;
    }
  }
  return false;
}

bool HasGrown(const State& aState)
{
  const Table& sent = aState.mOwnSent;
  const Table& own = aState.mOwn;
  return std::any_of(own.begin(), own.end(), [&](const auto& aEntry) {
    const auto& [key, counts] = aEntry;
    const auto found = sent.find(key);
    const auto subject = static_cast<std::size_t>(key.mSubject);
    return HasGrown(found == sent.end() ? Counts{} : found->second,
                    counts,
                    aState.mLeastGrowth.mBySubject.at(subject));
  });
}

// What waited in a frozen host's sockets arrives late, but never early.
void UpdateClockGap(Part& aPart, Micros aNow, Micros aSentAt, bool aFirst)
{
  const Micros gap = aNow - aSentAt;
  const Micros drift = (aNow - aPart.mGapUpdatedAt) / kClockSpeedRatio;
  aPart.mClockGap = aFirst ? gap : std::min(aPart.mClockGap + drift, gap);
  aPart.mGapUpdatedAt = aNow;
}

void FillAllowance(Allowance& aAllowance, Micros aNow) noexcept
{
  if (aNow - aAllowance.mFilledAt >= kUrgentReports * kReportInterval) {
    aAllowance = { kUrgentReports, aNow };
    return;
  }
  while (aNow - aAllowance.mFilledAt >= kReportInterval) {
    aAllowance.mLeft = std::min(kUrgentReports, aAllowance.mLeft + 1);
    aAllowance.mFilledAt += kReportInterval;
  }
}

} // namespace

Key MakeKey(Subject aSubject, std::uint64_t aDigest) noexcept
{
  return { aSubject, aDigest >> (64 - kDigestBits) };
}

const Counts* Find(const Sum& aSum, const Key& aKey)
{
  const auto found = aSum.mTable.find(aKey);
  return found == aSum.mTable.end() ? nullptr : &found->second;
}

void Add(Sum& aSum, const Sum& aOther)
{
  for (const auto& [key, counts] : aOther.mTable) {
    Counts& sum = aSum.mTable[key];
    for (std::size_t i = 0; i < kCountsPerKey; ++i) {
      sum.at(i) = AddCounts(sum.at(i), counts.at(i));
    }
  }
  aSum.mHosts = AddCounts(aSum.mHosts, aOther.mHosts);
}

bool IsActive(const State& aState) noexcept
{
  return aState.mWanted || !aState.mOwn.empty() || aState.mHasReporters;
}

void SetOwn(State& aState, Micros aNow, Table aOwn)
{
  const bool wasActive = IsActive(aState);
  aState.mOwn = std::move(aOwn);
  aState.mUrgent = aState.mUrgent || HasGrown(aState);
  if (!wasActive) {
    aState.mLookAt = aNow;
  }
}

void TakeReport(State& aState,
                Micros aNow,
                const std::string& aFrom,
                Report aReport)
{
  if (aReport.mHeight >= kMaxHeight) {
    aState.mParts.erase(aFrom);
    return;
  }
  const bool wasActive = IsActive(aState);
  Part& part = aState.mParts[aFrom];
  const bool isFirst = part.mReport.mIncarnation != aReport.mIncarnation;
  if (!isFirst && aReport.mSequence <= part.mReport.mSequence) {
    return;
  }
  UpdateClockGap(part, aNow, aReport.mSentAt, isFirst);
  part.mSentAt = std::min(aNow, aReport.mSentAt + part.mClockGap);
  part.mReport = std::move(aReport);
  if (!IsHeard(part, aNow)) {
    return;
  }
  aState.mHasReporters = true;
  aState.mIsIdle = aState.mIsIdle && part.mReport.mSum.mTable.empty();
  if (!wasActive) {
    aState.mLookAt = aNow;
  }
  if (part.mReport.mUrgent) {
    aState.mUrgent = true;
    aState.mLookAt = std::min(aState.mLookAt, aNow + kCollectTime);
  }
}

bool IsHeard(const Part& aPart, Micros aNow) noexcept
{
  return aNow - aPart.mSentAt <= kSilenceTime;
}

void UpdateReporters(State& aState, Micros aNow)
{
  aState.mHasReporters = false;
  for (auto it = aState.mParts.begin(); it != aState.mParts.end();) {
    const Part& part = it->second;
    aState.mHasReporters = aState.mHasReporters || IsHeard(part, aNow);
    const bool isForgotten = aNow - part.mGapUpdatedAt > kForgetTime;
    it = isForgotten ? aState.mParts.erase(it) : std::next(it);
  }
}

Report MakeReport(const State& aState, Micros aNow, const Reporters& aReporters)
{
  Report report;
  report.mSum.mTable = aState.mOwn;
  report.mSum.mHosts = 1;
  report.mSequence = aState.mSequence + 1;
  report.mSentAt = aNow;
  report.mUrgent = aState.mUrgent;
  for (const auto& [address, part] : aState.mParts) {
    if (!IsHeard(part, aNow) || !aReporters(address)) {
      continue;
    }
    Add(report.mSum, part.mReport.mSum);
    report.mHeight = std::max(report.mHeight, part.mReport.mHeight + 1);
  }
  return report;
}

bool IsDue(State& aState, Micros aNow)
{
  if (!IsActive(aState) || aNow < aState.mLookAt) {
    return false;
  }
  aState.mLookAt = aNow + kLookInterval;
  const Micros since = aNow - aState.mSentAt;
  const bool isIdle = aState.mIsIdle && aState.mOwn.empty();
  if (aState.mSentAt == 0 ||
      since >= (isIdle ? kIdleReportInterval : kReportInterval)) {
    return true;
  }
  FillAllowance(aState.mAllowance, aNow);
  if (!aState.mUrgent || aState.mAllowance.mLeft == 0) {
    return false;
  }
  if (since < kLookInterval) {
    aState.mLookAt = aState.mSentAt + kLookInterval;
    return false;
  }
  --aState.mAllowance.mLeft;
  return true;
}

void MarkSent(State& aState, Micros aNow, bool aEmpty)
{
  aState.mOwnSent = aState.mOwn;
  aState.mSentAt = aNow;
  aState.mIsIdle = aEmpty;
  aState.mUrgent = false;
  ++aState.mSequence;
}

Totals MakeTotals(const State& aState,
                  Micros aNow,
                  Sum aSum,
                  std::uint32_t aKnownHosts,
                  const Stamp& aStamp)
{
  Totals totals;
  totals.mSum = std::move(aSum);
  totals.mToldAt = aNow;
  totals.mSilent = aKnownHosts - std::min(aKnownHosts, totals.mSum.mHosts);
  totals.mStamp = aStamp;
  Table& table = totals.mSum.mTable;
  for (auto it = table.begin(); it != table.end();) {
    const bool isNeeded =
      !aState.mSelection || aState.mSelection(it->first, it->second);
    it = isNeeded ? std::next(it) : table.erase(it);
  }
  return totals;
}

bool TakeTotals(State& aState, Totals aTotals)
{
  if (aState.mTotals && !(aState.mTotals->mStamp < aTotals.mStamp)) {
    return false;
  }
  aState.mTotals = std::move(aTotals);
  return true;
}

bool LacksTotals(const State& aState, Micros aNow) noexcept
{
  return aState.mTotals && aNow - aState.mTotals->mToldAt > kLacksTotalsAge;
}

Totals MakePartTotals(Micros aNow, Sum aSum, std::uint32_t aKnownHosts)
{
  Totals totals;
  totals.mSum = std::move(aSum);
  totals.mToldAt = aNow;
  totals.mSilent = aKnownHosts - std::min(aKnownHosts, totals.mSum.mHosts);
  totals.mIsPart = true;
  return totals;
}

bool TakePartTotals(State& aState, Micros aNow, Totals aTotals)
{
  const bool isOld =
    aState.mPartTotals &&
    aTotals.mToldAt < aState.mPartTotals->mToldAt + kMinPartTotalsGap;
  const bool hasTotals = aState.mTotals && !LacksTotals(aState, aNow);
  if (isOld || hasTotals) {
    return false;
  }
  aState.mPartTotals = std::move(aTotals);
  return true;
}

Micros NextLook(const State& aState) noexcept
{
  return IsActive(aState) ? aState.mLookAt : std::numeric_limits<Micros>::max();
}

} // namespace geraniumpond::rollup
