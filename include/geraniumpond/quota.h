#pragma once

#include <geraniumpond/rate_share.h>
#include <geraniumpond/rollup.h>
#include <geraniumpond/time.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \brief Keeps the requests of each client account within its limit, summed
/// over all hosts.
///
/// Each host counts what it was offered and what it sent; the totals of all
/// hosts come back within a second. Far below the limit everything is admitted;
/// near or beyond it all hosts admit the same fraction of what they are
/// offered, wherever that is. Without a leader, the hosts that follow one
/// control host do so within their part of the bound. A host that hears no
/// totals at all acts alone, within a part that the others leave to it.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::quota {

/// \brief In any window, an account's requests may reach (rate x window +
/// burst) x (1 + overage) + slack.
struct Settings
{
  Micros mWindow = 5 * kSecond;
  double mOverage = 0.1;
  double mSlack = 20;
};

/// \brief An account's limit over all hosts; 0 requests per second for none.
struct Limit
{
  double mPerSecond = 0;
  double mBurst = 0;

  [[nodiscard]] bool Exists() const noexcept { return mPerSecond > 0; }
};

/// \brief What the counts of an account mean in the tables of hosts: requests
/// in the last window; requests offered, and admitted, in the last half second;
/// use or demand as a share of the limit, in millionths.
constexpr std::size_t kUsed = 0;
constexpr std::size_t kOffered = 1;
constexpr std::size_t kSent = 2;
constexpr std::size_t kLoad = 3;

/// \brief Requests of a short slice of time.
struct Slice
{
  Micros mStart = 0;
  std::uint32_t mOffered = 0;
  std::uint32_t mSent = 0;
};

/// \brief Requests per second of all hosts, in the totals of one time.
struct ToldRate
{
  Micros mAt = 0;
  std::uint32_t mSent = 0;
  /// Hosts that the totals covered.
  std::uint32_t mHosts = 0;
};

/// \brief What a host does with an account's requests until the next totals
/// arrive.
struct Plan
{
  /// Share of the requests offered that is admitted.
  double mFraction = 1;
  /// Requests that it may admit that are not yet in the totals.
  double mMost = 0;
  /// The same while totals are late.
  double mUsual = 0;
  /// While this host acts alone: upper bound of its requests in a window.
  std::uint32_t mOwnPart = 0;
  /// Requests per second that this host is expected to admit.
  double mExpected = 0;
  /// What all hosts used of the window, as far as it counts for the plan.
  double mUsed = 0;
  /// Time until use falls below the limit, if it is above.
  Micros mRoomIn = 0;
};

/// \brief An account with requests at this host in the last window.
struct Account
{
  Limit mLimit;
  /// Until then, requests that a higher limit allowed do not count.
  Micros mLoweredUntil = 0;
  std::vector<Slice> mSlices;
  std::vector<ToldRate> mTold;
  /// Requests of the burst that all hosts have not used yet.
  double mSaved = 0;
  /// Admitted and not sent yet.
  std::uint32_t mWaiting = 0;
  Plan mPlan;
  /// Accumulated fractions of requests.
  double mCredit = 0;
  /// When the next refused client should return.
  Micros mNextReturnAt = 0;
  Micros mRefusedAt = 0;
  bool mIsLimited = false;
};

/// \brief An account has started or ended being limited at this host.
struct Change
{
  std::uint64_t mAccount = 0;
  bool mIsLimited = false;
  /// Requests of all hosts in the window, as far as known here.
  double mUsed = 0;
  Limit mLimit;
  /// Age of the totals; -1 if there are none.
  Micros mAge = -1;
  bool mByReserve = false;
};

/// \brief Numbers of hosts known at one time.
struct HostCount
{
  Micros mUntil = 0;
  std::size_t mHosts = 0;
};

struct Counters
{
  std::uint64_t mAdmitted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mByReserve = 0;
  std::uint64_t mExtraDenied = 0;
  std::uint64_t mGivenBack = 0;
  std::uint64_t mTotalsDoubted = 0;
};

/// \brief The limits of accounts, as kept by one host.
struct State
{
  Settings mSettings;
  Micros mStartedAt = 0;
  /// Hosts among which the bound is divided; empty while unknown.
  rate_share::Members mMembers;
  /// Hosts that may hold a part of the bound, which may be more.
  std::vector<HostCount> mHostCounts;
  std::unordered_map<std::uint64_t, Account> mAccounts;
  /// The totals that hold; told at 0 before the first ones.
  rollup::Totals mTotals;
  std::vector<Change> mChanges;
  Counters mCounters;
};

/// \brief What becomes of a request.
struct Verdict
{
  bool mAdmitted = true;
  /// Delay after which a refused client should return.
  Micros mRetryAfter = 0;
};

[[nodiscard]] State MakeState(const Settings& aSettings, Micros aNow);

/// \brief The name of an account in tables.
[[nodiscard]] std::uint64_t DigestOf(std::string_view aName) noexcept;

/// \brief Most requests of an account that may be sent in a window.
[[nodiscard]] double Bound(const Settings& aSettings,
                           const Limit& aLimit) noexcept;

/// \brief Sets the hosts that may send requests.
void SetHosts(State& aState, Micros aNow, rate_share::Members aHosts);

/// \brief Takes totals of all hosts, or of a part; older ones are dropped.
void SetTotals(State& aState, Micros aNow, rollup::Totals aTotals);

/// \brief Adds what this host tells of its accounts.
void AddOwn(const State& aState, Micros aNow, rollup::Table& aTable);

/// \brief True if the leader has to tell the total of an account: others are
/// taken to be far below their limits.
[[nodiscard]] bool Matters(const rollup::Counts& aTotal) noexcept;

/// \brief Decides on a request of an account, and counts it if it is admitted.
///
/// To be called once at the host that got it from its client.
[[nodiscard]] Verdict Admit(State& aState,
                            Micros aNow,
                            std::uint64_t aAccount,
                            const Limit& aLimit,
                            bool aIsReturn);

/// \brief Counts the first send of an admitted request, to a target or to
/// another host.
void CountSent(State& aState, Micros aNow, std::uint64_t aAccount);

/// \brief Gives an admitted request back that was never sent.
void GiveBack(State& aState, std::uint64_t aAccount);

/// \brief Counts a request that waits already, when a new policy gives it to
/// the account or limits the account; false if the account has no limit.
[[nodiscard]] bool Adopt(State& aState,
                         Micros aNow,
                         std::uint64_t aAccount,
                         const Limit& aLimit);

/// \brief True if the account has room for a hedge or another attempt.
[[nodiscard]] bool HasRoomForExtra(State& aState,
                                   Micros aNow,
                                   std::uint64_t aAccount,
                                   const Limit& aLimit);

/// \brief Counts a hedge or another attempt, for which there was room.
void CountExtra(State& aState, Micros aNow, std::uint64_t aAccount);

/// \brief Forgets accounts that had no requests for a window; to be called a
/// few times per second.
void Tick(State& aState, Micros aNow);

/// \brief True if this host has heard totals lately.
[[nodiscard]] bool IsInTouch(const State& aState, Micros aNow) noexcept;

/// \brief Returns and clears what has changed.
[[nodiscard]] std::vector<Change> TakeChanges(State& aState);

} // namespace geraniumpond::quota
