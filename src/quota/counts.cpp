#include "internal.h"

#include <geraniumpond/hash.h>

#include <algorithm>
#include <cmath>

// What this host counts of its accounts, and what it tells of them.
namespace geraniumpond::quota {

namespace {

/// The unit of the counts of load. Sums of all hosts have to stay in 32 bits.
constexpr double kLoadUnit = 1e6;
constexpr double kMaxLoad = 1;

void ForgetOld(const State& aState, Account& aAccount, Micros aNow)
{
  const Micros from = aNow - aState.mSettings.mWindow - kSlice;
  auto& slices = aAccount.mSlices;
  slices.erase(
    slices.begin(),
    std::find_if(slices.begin(), slices.end(), [&](const Slice& aSlice) {
      return aSlice.mStart > from;
    }));
}

bool IsIdle(const Account& aAccount, Micros aNow) noexcept
{
  return aAccount.mSlices.empty() && aAccount.mWaiting == 0 &&
         !aAccount.mIsLimited && aAccount.mLoweredUntil < aNow;
}

// Demand counts beside use, so that a surge is told early.
std::uint32_t LoadOf(const State& aState,
                     const Account& aAccount,
                     double aRequests) noexcept
{
  const double share = aRequests / Target(aState.mSettings, aAccount.mLimit);
  return static_cast<std::uint32_t>(kLoadUnit * std::min(kMaxLoad, share));
}

} // namespace

State MakeState(const Settings& aSettings, Micros aNow)
{
  State state;
  state.mSettings = aSettings;
  state.mStartedAt = aNow;
  return state;
}

std::uint64_t DigestOf(std::string_view aName) noexcept
{
  return Hash64(aName);
}

rollup::Key KeyOf(std::uint64_t aAccount) noexcept
{
  return rollup::MakeKey(rollup::Subject::Account, aAccount);
}

Slice& SliceAt(Account& aAccount, Micros aNow)
{
  const Micros start = aNow - aNow % kSlice;
  if (aAccount.mSlices.empty() || aAccount.mSlices.back().mStart < start) {
    aAccount.mSlices.push_back({ start, 0, 0 });
  }
  return aAccount.mSlices.back();
}

std::uint32_t SentSince(const Account& aAccount, Micros aFrom) noexcept
{
  std::uint32_t sent = 0;
  for (const Slice& slice : aAccount.mSlices) {
    sent += slice.mStart + kSlice > aFrom ? slice.mSent : 0;
  }
  return sent;
}

OwnCounts RecentCounts(const Account& aAccount, Micros aUntil) noexcept
{
  const Micros until = aUntil - aUntil % kSlice;
  OwnCounts counts;
  for (const Slice& slice : aAccount.mSlices) {
    if (slice.mStart >= until - kRecent && slice.mStart < until) {
      counts.mOffered += slice.mOffered;
      counts.mSent += slice.mSent;
    }
  }
  return counts;
}

std::uint32_t OwnUse(const State& aState,
                     const Account& aAccount,
                     Micros aNow) noexcept
{
  return aAccount.mWaiting +
         SentSince(aAccount, aNow - aState.mSettings.mWindow);
}

std::uint32_t Unheard(const State& aState,
                      Micros aNow,
                      const Account& aAccount) noexcept
{
  const Micros from = std::max(aState.mTotals.mToldAt - kReportDelay,
                               aNow - aState.mSettings.mWindow);
  return aAccount.mWaiting + SentSince(aAccount, from);
}

void AddOwn(const State& aState, Micros aNow, rollup::Table& aTable)
{
  for (const auto& [key, account] : aState.mAccounts) {
    const OwnCounts recent = RecentCounts(account, aNow);
    const std::uint32_t used = OwnUse(aState, account, aNow);
    if (used == 0 && recent.mOffered == 0) {
      continue;
    }
    aTable[KeyOf(key)] = { used,
                           recent.mOffered,
                           recent.mSent,
                           LoadOf(aState, account, used + recent.mOffered) };
  }
}

bool Matters(const rollup::Counts& aTotal) noexcept
{
  return aTotal[kLoad] >= kAssumedLoad * kLoadUnit;
}

void Tick(State& aState, Micros aNow)
{
  for (auto it = aState.mAccounts.begin(); it != aState.mAccounts.end();) {
    Account& account = it->second;
    ForgetOld(aState, account, aNow);
    if (account.mIsLimited &&
        aNow - account.mRefusedAt > aState.mSettings.mWindow) {
      RecordChange(aState, aNow, it->first, account, false);
    }
    it = IsIdle(account, aNow) ? aState.mAccounts.erase(it) : std::next(it);
  }
}

} // namespace geraniumpond::quota
