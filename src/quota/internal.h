#pragma once

#include <geraniumpond/quota.h>

/// \brief Functions shared by the quota sources.
namespace geraniumpond::quota {

/// \brief Length of the slices in which requests are counted.
constexpr Micros kSlice = 100 * kMillisecond;
/// \brief Period over which demand is counted: short, so that a surge shows.
constexpr Micros kRecent = 500 * kMillisecond;
/// \brief Time by which a host's counts may be older than the totals that
/// contain them: reports go up a few hops.
constexpr Micros kReportDelay = 400 * kMillisecond;
/// \brief Share of its limit that an account may use without being told in
/// totals; assumed of all that are not.
constexpr double kAssumedLoad = 0.25;
/// \brief Age of totals that is unusual.
constexpr Micros kLateAfter = 400 * kMillisecond;
/// \brief Age of totals from which a host acts alone; a few periods in which
/// they come.
constexpr Micros kSilentAfter = 800 * kMillisecond;

// --- counts.cpp: this host's own requests
/// \brief The key of an account in tables.
[[nodiscard]] rollup::Key KeyOf(std::uint64_t aAccount) noexcept;
struct OwnCounts
{
  std::uint32_t mOffered = 0;
  std::uint32_t mSent = 0;
};
[[nodiscard]] Slice& SliceAt(Account& aAccount, Micros aNow);
/// \brief Own requests sent since a time; a slice that lies partly after it
/// counts whole.
[[nodiscard]] std::uint32_t SentSince(const Account& aAccount,
                                      Micros aFrom) noexcept;
/// \brief Own requests in a period of kRecent that ends at most a slice before
/// `aUntil`.
[[nodiscard]] OwnCounts RecentCounts(const Account& aAccount,
                                     Micros aUntil) noexcept;
/// \brief Requests admitted in the last window, sent or still waiting.
[[nodiscard]] std::uint32_t OwnUse(const State& aState,
                                   const Account& aAccount,
                                   Micros aNow) noexcept;

/// \brief Requests admitted that the totals do not contain yet.
[[nodiscard]] std::uint32_t Unheard(const State& aState,
                                    Micros aNow,
                                    const Account& aAccount) noexcept;

// --- quota.cpp
void RecordChange(State& aState,
                  Micros aNow,
                  std::uint64_t aKey,
                  Account& aAccount,
                  bool aIsLimited);

// --- plan.cpp: what totals allow a host
/// \brief Use that the limit allows in a window, without the overage.
[[nodiscard]] double Allowance(const Settings& aSettings,
                               const Limit& aLimit) noexcept;
/// \brief Use up to which requests are admitted at the account's own rate.
[[nodiscard]] double Target(const Settings& aSettings,
                            const Limit& aLimit) noexcept;
/// \brief Number of hosts among which the bound is divided.
[[nodiscard]] std::size_t HostCountAt(const State& aState,
                                      Micros aNow) noexcept;
void RecordTold(const State& aState, std::uint64_t aKey, Account& aAccount);
/// \brief True if a host that hears no totals may admit one more request.
[[nodiscard]] bool FitsOwnPart(const State& aState,
                               Micros aNow,
                               std::uint64_t aKey,
                               const Account& aAccount);
void UpdatePlan(const State& aState,
                Micros aNow,
                std::uint64_t aKey,
                Account& aAccount);

} // namespace geraniumpond::quota
