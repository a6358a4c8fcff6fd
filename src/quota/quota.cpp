#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>
#include <utility>

// Whether a request is admitted. Below the limit all are. Otherwise each host
// admits the share that the plan states, by accumulating it, so that chance
// adds nothing.
namespace geraniumpond::quota {

namespace {

/// Clients that return may take this many requests in advance of new ones.
constexpr double kReturnsInAdvance = 2;
/// The part of the room that is promised to returns; more of them would find
/// none, since they come by chance to other hosts.
constexpr double kReturnsShare = 0.5;
/// A return finds little room before this time, and clients that are told to
/// wait longer than this give up.
constexpr Micros kMinRetryAfter = 200 * kMillisecond;
constexpr Micros kMaxRetryAfter = 1 * kSecond;
/// Returns are spread by up to this share of their delay.
constexpr double kReturnSpread = 0.5;

// Between 0 and 1; differs by host, account and time.
double Spread(const State& aState, std::uint64_t aKey, Micros aNow) noexcept
{
  const std::uint64_t word = rate_share::Weight(
    aState.mMembers.mOwn + static_cast<std::uint64_t>(aNow), aKey);
  return static_cast<double>(word >> 11) / 9007199254740992.0;
}

Account& Touch(State& aState,
               Micros aNow,
               std::uint64_t aKey,
               const Limit& aLimit)
{
  const auto [found, added] = aState.mAccounts.try_emplace(aKey);
  Account& account = found->second;
  const bool changed = account.mLimit.mPerSecond != aLimit.mPerSecond ||
                       account.mLimit.mBurst != aLimit.mBurst;
  if (added) {
    account.mCredit = Spread(aState, aKey, aNow);
  } else if (Bound(aState.mSettings, aLimit) <
             Bound(aState.mSettings, account.mLimit)) {
    account.mLoweredUntil = aNow + aState.mSettings.mWindow;
  }
  account.mLimit = aLimit;
  if (added) {
    RecordTold(aState, aKey, account);
  }
  if (changed) {
    UpdatePlan(aState, aNow, aKey, account);
  }
  return account;
}

bool FitsAlone(const State& aState,
               Micros aNow,
               std::uint64_t aKey,
               const Account& aAccount)
{
  // In the first window after its start a host does not know what it had used
  // before, so it admits nothing alone.
  const bool knowsOwnUse = aNow - aState.mStartedAt >= aState.mSettings.mWindow;
  return knowsOwnUse && FitsOwnPart(aState, aNow, aKey, aAccount);
}

// Totals that are late may be the last ones for a while.
bool FitsRoom(const State& aState, const Account& aAccount, Micros aNow)
{
  const bool late = aNow - aState.mTotals.mToldAt > kLateAfter;
  const Plan& plan = aAccount.mPlan;
  const double most = late ? std::min(plan.mMost, plan.mUsual) : plan.mMost;
  return Unheard(aState, aNow, aAccount) + 1 <= most;
}

bool FitsPlan(const State& aState,
              Account& aAccount,
              Micros aNow,
              bool aIsReturn)
{
  const Plan& plan = aAccount.mPlan;
  if (plan.mFraction <= 0 || !FitsRoom(aState, aAccount, aNow)) {
    return false;
  }
  // The credit stays as it is: hosts with a whole request saved up would send
  // it when the share falls.
  if (plan.mFraction >= 1) {
    return true;
  }
  aAccount.mCredit = std::min(1.0, aAccount.mCredit + plan.mFraction);
  const bool mayAdvance = aIsReturn && plan.mExpected >= 1;
  const double advance =
    mayAdvance ? std::min(kReturnsInAdvance, plan.mExpected) : 0;
  if (aAccount.mCredit < 1 - advance) {
    return false;
  }
  aAccount.mCredit -= 1;
  return true;
}

// Refused clients return one after the other, as fast as there is room. Those
// for whom there is none soon take no turn: they would not wait that long.
// Hosts that expect less than one request by then let few return, by chance.
Micros NextReturn(const State& aState,
                  Micros aNow,
                  std::uint64_t aKey,
                  Account& aAccount)
{
  const Plan& plan = aAccount.mPlan;
  const double chance = Spread(aState, aKey, aNow);
  const double perSecond = kReturnsShare * plan.mExpected;
  const double soon = perSecond * kMaxRetryAfter / kSecond;
  const Micros first = aNow + std::max(kMinRetryAfter, plan.mRoomIn);
  const Micros at = std::max(aAccount.mNextReturnAt, first);
  const double spread = 1 - kReturnSpread * chance;
  if (at - aNow > kMaxRetryAfter || chance >= soon) {
    return static_cast<Micros>(spread *
                               static_cast<double>(aState.mSettings.mWindow));
  }
  aAccount.mNextReturnAt = at + static_cast<Micros>(kSecond / perSecond);
  return std::max(kMinRetryAfter,
                  static_cast<Micros>(spread * static_cast<double>(at - aNow)));
}

} // namespace

void RecordChange(State& aState,
                  Micros aNow,
                  std::uint64_t aKey,
                  Account& aAccount,
                  bool aIsLimited)
{
  aAccount.mIsLimited = aIsLimited;
  const Micros toldAt = aState.mTotals.mToldAt;
  aState.mChanges.push_back({ aKey,
                              aIsLimited,
                              aAccount.mPlan.mUsed,
                              aAccount.mLimit,
                              toldAt > 0 ? aNow - toldAt : -1,
                              !IsInTouch(aState, aNow) });
}

Verdict Admit(State& aState,
              Micros aNow,
              std::uint64_t aAccount,
              const Limit& aLimit,
              bool aIsReturn)
{
  if (!aLimit.Exists()) {
    return {};
  }
  Account& account = Touch(aState, aNow, aAccount, aLimit);
  ++SliceAt(account, aNow).mOffered;
  const bool inTouch = IsInTouch(aState, aNow);
  const bool fits = inTouch ? FitsPlan(aState, account, aNow, aIsReturn)
                            : FitsAlone(aState, aNow, aAccount, account);
  if (fits) {
    ++account.mWaiting;
    ++aState.mCounters.mAdmitted;
    aState.mCounters.mByReserve += inTouch ? 0 : 1;
    return {};
  }
  ++aState.mCounters.mRefused;
  account.mRefusedAt = aNow;
  if (!account.mIsLimited) {
    RecordChange(aState, aNow, aAccount, account, true);
  }
  return { false, NextReturn(aState, aNow, aAccount, account) };
}

void CountSent(State& aState, Micros aNow, std::uint64_t aAccount)
{
  const auto found = aState.mAccounts.find(aAccount);
  if (found != aState.mAccounts.end() && found->second.mWaiting > 0) {
    --found->second.mWaiting;
    ++SliceAt(found->second, aNow).mSent;
  }
}

void GiveBack(State& aState, std::uint64_t aAccount)
{
  const auto found = aState.mAccounts.find(aAccount);
  if (found != aState.mAccounts.end() && found->second.mWaiting > 0) {
    --found->second.mWaiting;
    ++aState.mCounters.mGivenBack;
  }
}

bool Adopt(State& aState,
           Micros aNow,
           std::uint64_t aAccount,
           const Limit& aLimit)
{
  if (!aLimit.Exists()) {
    return false;
  }
  ++Touch(aState, aNow, aAccount, aLimit).mWaiting;
  return true;
}

bool HasRoomForExtra(State& aState,
                     Micros aNow,
                     std::uint64_t aAccount,
                     const Limit& aLimit)
{
  if (!aLimit.Exists()) {
    return true;
  }
  Account& account = Touch(aState, aNow, aAccount, aLimit);
  const bool fits =
    IsInTouch(aState, aNow)
      ? account.mPlan.mFraction >= 1 && FitsRoom(aState, account, aNow)
      : FitsAlone(aState, aNow, aAccount, account);
  aState.mCounters.mExtraDenied += fits ? 0 : 1;
  return fits;
}

void CountExtra(State& aState, Micros aNow, std::uint64_t aAccount)
{
  const auto found = aState.mAccounts.find(aAccount);
  if (found != aState.mAccounts.end()) {
    ++SliceAt(found->second, aNow).mSent;
  }
}

std::vector<Change> TakeChanges(State& aState)
{
  return std::exchange(aState.mChanges, {});
}

} // namespace geraniumpond::quota
