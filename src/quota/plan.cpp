#include "internal.h"

#include <algorithm>
#include <cmath>
#include <limits>

// What the totals allow a host. They are some tenths of a second old, and tell
// what was, so a plan has three bounds: the share of the offered requests that
// brings use to the limit; the room left in the window; and what this host may
// send before totals come that know of it.
namespace geraniumpond::quota {

namespace {

/// Time over which a difference between use and limit is made up for: twice the
/// age of totals, so that use does not swing.
constexpr double kSettleSeconds = 1;
/// Time in which a rise of what is sent is measured, and what is more than
/// chance.
constexpr Micros kRiseTime = 250 * kMillisecond;
constexpr double kRiseFactor = 1.5;
constexpr double kRiseLeast = 4;
/// Shares of the overage and of the slack: what may be used as if it belonged
/// to the limit, and from where use must not grow. The rest is for the time in
/// which nobody knows of a surge. The slack serves chance in small accounts.
constexpr double kUsedOverage = 0.1;
constexpr double kUsedSlack = 0.55;
constexpr double kGuardOverage = 0.3;
constexpr double kGuardSlack = 0.7;
/// What hosts may send before totals know of it, as shares of the room: one is
/// divided equally, for requests that come where none came before, the other by
/// demand. Few requests are always allowed, since a surge that is so small at
/// each host is small altogether.
constexpr double kEqualRoom = 1.5;
constexpr double kDemandRoom = 1.2;
constexpr double kEqualShare = 0.5;
constexpr double kMinUnheard = 5;
/// The same beyond the limit, where only its own rate counts.
constexpr double kOverlap = 1.25;
/// Requests in a second, relative to what came before, that are no surge.
constexpr double kUsualFactor = 2;
/// Share of the room that hosts acting alone may use in the first window. The
/// rest covers hosts that had used more than their part before they knew that
/// they are alone.
constexpr double kSilentRoom = 0.6;
/// Totals that cover this much less than the ones before are doubted for a
/// while: a new leader hears the hosts one after the other.
constexpr double kLessCover = 0.5;
constexpr Micros kDoubtFor = 600 * kMillisecond;
/// How long the part of a host that is no longer known is reserved.
constexpr Micros kKeepHosts = 20 * kSecond;

struct Told
{
  double mUsed = 0;
  double mOffered = 0;
  double mSent = 0;
};

double Seconds(Micros aTime) noexcept
{
  return static_cast<double>(aTime) / kSecond;
}

double WithMargin(const Settings& aSettings,
                  const Limit& aLimit,
                  double aOverage,
                  double aSlack) noexcept
{
  return Allowance(aSettings, aLimit) * (1 + aOverage * aSettings.mOverage) +
         aSlack * aSettings.mSlack;
}

// Limits may be larger than any count.
std::uint32_t InCount(double aRequests) noexcept
{
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(aRequests, 0.0, kMost));
}

Told ToldOf(const State& aState, std::uint64_t aKey, const Limit& aLimit)
{
  const auto& table = aState.mTotals.mSum.mTable;
  const auto found = table.find(KeyOf(aKey));
  if (found != table.end()) {
    const rollup::Counts& counts = found->second;
    return { static_cast<double>(counts[kUsed]),
             counts[kOffered] / Seconds(kRecent),
             counts[kSent] / Seconds(kRecent) };
  }
  // Part totals contain all keys: an account that is not in them has no use.
  if (aState.mTotals.mIsPart) {
    return {};
  }
  // Totals leave out accounts with little load.
  const double used = kAssumedLoad * Target(aState.mSettings, aLimit);
  const double perSecond = used / Seconds(aState.mSettings.mWindow);
  return { used, perSecond, perSecond };
}

// Age of what the totals tell of this host.
Micros LagOf(const State& aState, Micros aNow) noexcept
{
  return aNow - aState.mTotals.mToldAt + kReportDelay;
}

// Share of the hosts that the totals cover; the others may use their parts.
double Cover(const State& aState, Micros aNow) noexcept
{
  const auto hosts = static_cast<double>(HostCountAt(aState, aNow));
  return hosts <= 0 ? 0 : std::min(1.0, aState.mTotals.mSum.mHosts / hosts);
}

// Requests in a period of all hosts or, of rates that cover more hosts than
// these, of their share.
double SentBetween(const Account& aAccount,
                   Micros aFrom,
                   Micros aUntil,
                   std::uint32_t aHosts) noexcept
{
  double sent = 0;
  for (std::size_t i = 1; i < aAccount.mTold.size(); ++i) {
    const ToldRate& told = aAccount.mTold[i];
    const Micros since = std::max(aFrom, aAccount.mTold[i - 1].mAt);
    const Micros gap =
      std::min(std::min(told.mAt, aUntil) - since, kSilentAfter);
    const double share =
      told.mHosts <= aHosts ? 1.0 : static_cast<double>(aHosts) / told.mHosts;
    sent += share * told.mSent * Seconds(std::max<Micros>(0, gap));
  }
  return sent;
}

// Requests sent in the last window by hosts that may be gone by now.
double RememberedUse(const State& aState, const Account& aAccount) noexcept
{
  const Micros toldAt = aState.mTotals.mToldAt;
  return SentBetween(aAccount,
                     toldAt - aState.mSettings.mWindow,
                     toldAt,
                     std::numeric_limits<std::uint32_t>::max());
}

// Requests per second that leave the window about now.
double Leaving(const State& aState,
               const Account& aAccount,
               const Told& aTold) noexcept
{
  const Micros at = aState.mTotals.mToldAt - aState.mSettings.mWindow;
  const auto& told = aAccount.mTold;
  if (!told.empty() && told.front().mAt <= at + kSilentAfter) {
    return told.front().mSent;
  }
  return aTold.mUsed / Seconds(aState.mSettings.mWindow);
}

} // namespace

double Allowance(const Settings& aSettings, const Limit& aLimit) noexcept
{
  return aLimit.mPerSecond * Seconds(aSettings.mWindow) + aLimit.mBurst;
}

double Bound(const Settings& aSettings, const Limit& aLimit) noexcept
{
  return Allowance(aSettings, aLimit) * (1 + aSettings.mOverage) +
         aSettings.mSlack;
}

double Target(const Settings& aSettings, const Limit& aLimit) noexcept
{
  return WithMargin(aSettings, aLimit, kUsedOverage, kUsedSlack);
}

std::size_t HostCountAt(const State& aState, Micros aNow) noexcept
{
  if (aState.mMembers.mDigests.empty()) {
    return 0;
  }
  // A host that has just started knows few others yet.
  const rollup::Totals& totals = aState.mTotals;
  const std::size_t told =
    totals.mSum.mHosts + (totals.mIsPart ? totals.mSilent : 0);
  std::size_t hosts = std::max(aState.mMembers.mDigests.size(), told);
  for (const HostCount& count : aState.mHostCounts) {
    hosts = aNow < count.mUntil ? std::max(hosts, count.mHosts) : hosts;
  }
  return hosts;
}

void SetHosts(State& aState, Micros aNow, rate_share::Members aHosts)
{
  auto& counts = aState.mHostCounts;
  counts.erase(std::remove_if(counts.begin(),
                              counts.end(),
                              [&](const HostCount& aCount) {
                                return aCount.mUntil <= aNow ||
                                       aCount.mHosts <=
                                         aState.mMembers.mDigests.size();
                              }),
               counts.end());
  if (!aState.mMembers.mDigests.empty()) {
    counts.push_back({ aNow + kKeepHosts, aState.mMembers.mDigests.size() });
  }
  aState.mMembers = std::move(aHosts);
}

void RecordTold(const State& aState, std::uint64_t aKey, Account& aAccount)
{
  const Told told = ToldOf(aState, aKey, aAccount.mLimit);
  const Micros at = aState.mTotals.mToldAt;
  auto& history = aAccount.mTold;
  const double most = Target(aState.mSettings, aAccount.mLimit);
  if (history.empty()) {
    aAccount.mSaved = std::max(0.0, most - told.mUsed);
  } else {
    const double gap = Seconds(std::min(at - history.back().mAt, kSilentAfter));
    aAccount.mSaved = std::clamp(
      aAccount.mSaved + gap * (aAccount.mLimit.mPerSecond - told.mSent),
      0.0,
      most - aAccount.mLimit.mPerSecond * Seconds(aState.mSettings.mWindow));
  }
  history.push_back({ at, InCount(told.mSent), aState.mTotals.mSum.mHosts });
  const Micros from = at - aState.mSettings.mWindow;
  history.erase(
    history.begin(),
    std::find_if(history.begin(), history.end(), [&](const ToldRate& aTold) {
      return aTold.mAt > from;
    }));
}

namespace {

// By how much more is sent than a while before: a surge goes on to rise until
// hosts hear of it.
double Rise(const Account& aAccount, const Told& aTold) noexcept
{
  const auto& told = aAccount.mTold;
  const auto before =
    std::find_if(told.rbegin(), told.rend(), [&](const ToldRate& aOne) {
      return told.back().mAt - aOne.mAt >= kRiseTime;
    });
  const double least =
    before == told.rend() ? 0 : kRiseFactor * before->mSent + kRiseLeast;
  return before == told.rend() || aTold.mSent < least
           ? 0
           : aTold.mSent - before->mSent;
}

// What all hosts use, as far as the totals show it.
struct Use
{
  double mKnown = 0;
  /// With what has been sent since.
  double mNow = 0;
  /// Requests per second that leave the window.
  double mLeaving = 0;
};

Use JudgeUse(const State& aState,
             Micros aNow,
             const Account& aAccount,
             const Told& aTold,
             double aCover)
{
  const Limit& limit = aAccount.mLimit;
  const double silent = (1 - aCover) * Bound(aState.mSettings, limit);
  Use use;
  use.mKnown = std::max(aTold.mUsed, RememberedUse(aState, aAccount) - silent);
  use.mLeaving = aCover * Leaving(aState, aAccount, aTold);
  const double sent = aTold.mSent + Rise(aAccount, aTold);
  const double growth = std::max(0.0, sent - use.mLeaving);
  use.mNow = use.mKnown + growth * Seconds(LagOf(aState, aNow));
  if (aNow < aAccount.mLoweredUntil) {
    use.mNow = std::min(use.mNow, aCover * Allowance(aState.mSettings, limit));
  }
  return use;
}

// This host's part of the demand.
struct Demand
{
  double mHosts = 1;
  double mShare = 0;
  double mPerSecond = 0;
};

// Own demand of the time that the totals tell of.
Demand OwnDemand(const State& aState,
                 Micros aNow,
                 const Account& aAccount,
                 const Told& aTold,
                 double aUsed)
{
  const OwnCounts recent = RecentCounts(aAccount, aNow - LagOf(aState, aNow));
  const double own = recent.mOffered / Seconds(kRecent);
  const double used = OwnUse(aState, aAccount, aNow);
  Demand demand;
  demand.mHosts = std::max<double>(1, aState.mTotals.mSum.mHosts);
  demand.mShare = std::max(own / std::max({ 1.0, aTold.mOffered, own }),
                           used / std::max({ 1.0, aUsed, used }));
  demand.mPerSecond = std::max(own, aTold.mOffered / demand.mHosts);
  return demand;
}

// Requests per second that bring all hosts' use to the limit.
double AdmittedRate(const State& aState,
                    Micros aNow,
                    const Account& aAccount,
                    const Use& aUse,
                    double aCover)
{
  const Settings& settings = aState.mSettings;
  const Limit& limit = aAccount.mLimit;
  const double rate = aCover * limit.mPerSecond;
  const double target = aCover * Target(settings, limit);
  const double guard =
    aCover * WithMargin(settings, limit, kGuardOverage, kGuardSlack);
  const double saved = std::min(aCover * aAccount.mSaved, target - aUse.mNow);
  double admitted = std::min(rate + saved / kSettleSeconds,
                             std::max(rate, aUse.mLeaving) +
                               (guard - aUse.mNow) / kSettleSeconds);
  if (aNow - aState.mStartedAt < settings.mWindow) {
    // It has no memory of what hosts sent that are gone.
    const double spare = guard - aCover * Allowance(settings, limit);
    admitted = std::min(admitted, rate + spare / Seconds(settings.mWindow));
  }
  return std::max(0.0, admitted);
}

Micros RoomIn(const State& aState,
              const Account& aAccount,
              const Use& aUse,
              double aCover)
{
  const double above =
    aUse.mNow - aCover * Target(aState.mSettings, aAccount.mLimit);
  return above <= 0 ? 0
                    : static_cast<Micros>(kSecond * above /
                                          std::max(1.0, aUse.mLeaving));
}

// Requests of all hosts that the totals contain and that have left the window
// since.
double GoneSince(const State& aState,
                 Micros aNow,
                 const Account& aAccount,
                 double aKnown)
{
  const Micros toldAt = aState.mTotals.mToldAt;
  const Micros until = aNow - aState.mSettings.mWindow;
  if (until >= toldAt) {
    return aKnown;
  }
  const Micros from = toldAt - aState.mSettings.mWindow;
  const std::uint32_t hosts = aState.mTotals.mSum.mHosts;
  return std::min(aKnown, SentBetween(aAccount, from, until, hosts));
}

// Requests that all hosts in the totals may send together and that the totals
// do not contain: the room that these leave, and what has left the window
// since.
double NewRoom(const State& aState,
               Micros aNow,
               std::uint64_t aKey,
               const Account& aAccount)
{
  const Settings& settings = aState.mSettings;
  const Micros toldAt = aState.mTotals.mToldAt;
  const double cover = Cover(aState, toldAt);
  const Told told = ToldOf(aState, aKey, aAccount.mLimit);
  const double known = JudgeUse(aState, toldAt, aAccount, told, cover).mKnown;
  const double room = cover * Bound(settings, aAccount.mLimit) - known;
  // By then, what hosts sent before they knew that they are alone has left the
  // window.
  const bool isPast = aNow - toldAt >= settings.mWindow + kSilentAfter;
  const double kept = isPast || room < 0 ? 1 : kSilentRoom;
  return kept * room + GoneSince(aState, aNow, aAccount, known);
}

// What others leave to a host that they do not hear, whatever it used before.
std::uint32_t EqualPart(const State& aState, Micros aNow, const Limit& aLimit)
{
  const auto hosts = static_cast<double>(HostCountAt(aState, aNow));
  return hosts <= 0
           ? 0
           : InCount(std::ceil(Bound(aState.mSettings, aLimit) / hosts));
}

// The part in whole requests. The remaining fraction is not lost: that fraction
// of the hosts, chosen by rank for this account, may send one request more.
double InWholes(const State& aState, std::uint64_t aKey, double aPart)
{
  const double whole = std::floor(aPart);
  const double hosts = static_cast<double>(aState.mMembers.mDigests.size());
  const auto rank =
    static_cast<double>(rate_share::RankOf(aState.mMembers, aKey));
  return rank < (aPart - whole) * hosts ? whole + 1 : whole;
}

} // namespace

bool FitsOwnPart(const State& aState,
                 Micros aNow,
                 std::uint64_t aKey,
                 const Account& aAccount)
{
  const auto hosts = static_cast<double>(HostCountAt(aState, aNow));
  const double covered = Cover(aState, aNow) * hosts;
  if (covered <= 0) {
    return false;
  }
  const double equal = Bound(aState.mSettings, aAccount.mLimit) / hosts;
  const double part =
    std::min(equal, NewRoom(aState, aNow, aKey, aAccount) / covered);
  return OwnUse(aState, aAccount, aNow) < aAccount.mPlan.mOwnPart &&
         Unheard(aState, aNow, aAccount) < InWholes(aState, aKey, part);
}

void UpdatePlan(const State& aState,
                Micros aNow,
                std::uint64_t aKey,
                Account& aAccount)
{
  const Told told = ToldOf(aState, aKey, aAccount.mLimit);
  const double cover = Cover(aState, aNow);
  const Use use = JudgeUse(aState, aNow, aAccount, told, cover);
  const Demand demand = OwnDemand(aState, aNow, aAccount, told, use.mNow);
  const double admitted = AdmittedRate(aState, aNow, aAccount, use, cover);
  const double room =
    cover * Bound(aState.mSettings, aAccount.mLimit) - use.mKnown;
  const double weight =
    kEqualRoom / demand.mHosts +
    kDemandRoom * std::max(0.0, demand.mShare - kEqualShare / demand.mHosts);

  Plan& plan = aAccount.mPlan;
  plan.mUsed = use.mNow;
  plan.mFraction = cover <= 0                  ? 0
                   : admitted >= told.mOffered ? 1
                                               : admitted / told.mOffered;
  plan.mExpected = admitted * demand.mShare;
  plan.mMost = std::max(kMinUnheard, weight * room);
  if (plan.mFraction < 1) {
    plan.mMost =
      std::min(plan.mMost, std::max(kMinUnheard, kOverlap * plan.mExpected));
  }
  plan.mUsual = std::max(1.0, kUsualFactor * demand.mPerSecond);
  plan.mOwnPart = EqualPart(aState, aNow, aAccount.mLimit);
  plan.mRoomIn = RoomIn(aState, aAccount, use, cover);
}

void SetTotals(State& aState, Micros aNow, rollup::Totals aTotals)
{
  const rollup::Totals& last = aState.mTotals;
  if (aTotals.mToldAt <= last.mToldAt) {
    return;
  }
  const bool coversLess =
    !aTotals.mIsPart && aTotals.mSum.mHosts < kLessCover * last.mSum.mHosts;
  if (coversLess && aNow - last.mToldAt < kDoubtFor) {
    ++aState.mCounters.mTotalsDoubted;
    return;
  }
  aState.mTotals = std::move(aTotals);
  for (auto& [key, account] : aState.mAccounts) {
    RecordTold(aState, key, account);
    UpdatePlan(aState, aNow, key, account);
  }
}

bool IsInTouch(const State& aState, Micros aNow) noexcept
{
  return aState.mTotals.mToldAt > 0 &&
         aNow - aState.mTotals.mToldAt < kSilentAfter;
}

} // namespace geraniumpond::quota
