#pragma once

#include <geraniumpond/budget.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <string>
#include <vector>

/// \brief Divides a rate among hosts, none of which asks another.
///
/// Hosts that hold the same list compute the same holders: as many as the rate
/// has requests a second, one at least, each with an equal part. So no part is
/// so small that it would be saved up or lost, whatever the number of hosts. A
/// holder saves no more than a request and a half. A host that comes to hold a
/// part begins after a pause in which whoever held it has heard so, and one
/// that ceases to hold it ends at once: while lists differ, the parts add up to
/// the rate or less, but for a host that has not heard of its end for longer
/// than the pause.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::rate_share {

/// \brief The hosts among which rates are divided, as one of them knows them.
struct Members
{
  std::vector<std::uint64_t> mDigests;
  std::uint64_t mOwn = 0;
};

[[nodiscard]] Members MakeMembers(const std::vector<std::string>& aHosts,
                                  const std::string& aOwn);

/// \brief True at the one of the members that comes first for this name.
[[nodiscard]] bool IsFirst(const Members& aMembers, const std::string& aName);

/// \brief One host's part of one rate.
struct Share
{
  /// Requests a second; 0 where this host holds no part.
  double mPart = 0;
  /// The part counts from then on.
  Micros mFrom = 0;
  /// When a request was sent last, or the part began.
  Micros mTakenAt = 0;
  /// The rate has been divided before.
  bool mDivided = false;
  budget::TokenBucket mBucket;
};

/// \brief Divides a rate anew: it, or the hosts, have changed.
void Divide(Share& aShare,
            const Members& aMembers,
            const std::string& aName,
            double aPerSecond,
            Micros aNow);

/// \brief True when one more request may be sent now.
[[nodiscard]] bool HasRoom(const Share& aShare, Micros aNow) noexcept;

/// \brief True when there has been room for a while: what was told of the rate
/// may have changed, and nobody sees it.
[[nodiscard]] bool IsUnused(const Share& aShare, Micros aNow) noexcept;

/// \brief Notes a request that is sent.
void Take(Share& aShare, Micros aNow);

} // namespace geraniumpond::rate_share
