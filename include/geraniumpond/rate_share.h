#pragma once

#include <geraniumpond/budget.h>
#include <geraniumpond/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// \brief Divides a rate limit among hosts without communication.
///
/// Hosts with the same host list compute the same holders by rendezvous
/// hashing: one per request per second of the rate, at least one, each with an
/// equal share. So however many hosts there are, no share is so small that it
/// would accumulate or be lost. A holder accumulates 1.5 requests, unless the
/// caller states another number, or a tenth of a second's share, whichever is
/// more. A host that gains a share starts to use
/// it after a delay in which the previous holder learns of the change; a host
/// that loses one stops at once. While host lists differ, the shares therefore
/// add up to at most the rate, unless a host learns of its loss later than that
/// delay.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::rate_share {

/// \brief The hosts that share rates, as seen by one of them.
struct Members
{
  std::vector<std::uint64_t> mDigests;
  std::uint64_t mOwn = 0;
};

[[nodiscard]] Members MakeMembers(const std::vector<std::string>& aHosts,
                                  const std::string& aOwn);

/// \brief True on the member that ranks first for this name.
[[nodiscard]] bool IsFirst(const Members& aMembers, const std::string& aName);

/// \brief Number of members that rank before this host for a name.
[[nodiscard]] std::size_t RankOf(const Members& aMembers,
                                 std::uint64_t aName) noexcept;

/// \brief The weight of a host for a name, by which hosts are ranked.
[[nodiscard]] std::uint64_t Weight(std::uint64_t aHost,
                                   std::uint64_t aName) noexcept;

/// \brief One host's share of one rate.
struct Share
{
  /// Requests per second; 0 if this host has no share.
  double mRate = 0;
  /// When the share takes effect.
  Micros mEffectiveFrom = 0;
  /// When a request was last sent, or the share took effect.
  Micros mLastSentAt = 0;
  /// Whether the rate has been divided before.
  bool mInitialized = false;
  budget::TokenBucket mBucket;
};

/// \brief Requests that a holder accumulates, since requests arrive in bursts.
constexpr double kBurstRequests = 1.5;

/// \brief Recomputes a share after a change of the rate or the hosts.
void UpdateShare(Share& aShare,
                 const Members& aMembers,
                 const std::string& aName,
                 double aPerSecond,
                 Micros aNow,
                 double aBurstRequests = kBurstRequests);

/// \brief True if a request may be sent now.
[[nodiscard]] bool CanSend(const Share& aShare, Micros aNow) noexcept;

/// \brief True if requests could have been sent for a while but none was: the
/// rate may have changed without any host noticing.
[[nodiscard]] bool IsIdle(const Share& aShare, Micros aNow) noexcept;

/// \brief Counts a request that is sent.
void CountSent(Share& aShare, Micros aNow);

} // namespace geraniumpond::rate_share
