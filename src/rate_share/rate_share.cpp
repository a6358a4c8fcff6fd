#include <geraniumpond/rate_share.h>

#include <geraniumpond/hash.h>

#include <algorithm>
#include <cmath>

namespace geraniumpond::rate_share {

namespace {

/// Requests per second per holder; larger rates have more holders.
constexpr double kHolderRate = 1;
/// Lower rates are raised to this one, so that some host still sends requests
/// and notices when the limit ends.
constexpr double kMinRate = 0.1;
/// Time in which hosts learn that another one joined, left or stopped.
constexpr Micros kHandoverDelay = 2 * kSecond;
/// Share of a second's rate that a holder accumulates at least.
constexpr double kBurstSeconds = 0.1;
constexpr Micros kIdleTime = 2 * kSecond;

bool IsMember(const Members& aMembers)
{
  const auto& hosts = aMembers.mDigests;
  return std::find(hosts.begin(), hosts.end(), aMembers.mOwn) != hosts.end();
}

double ShareRate(const Members& aMembers,
                 const std::string& aName,
                 double aPerSecond)
{
  if (!IsMember(aMembers)) {
    return 0;
  }
  const double rate = std::max(kMinRate, aPerSecond);
  const double holders =
    std::clamp(std::ceil(rate / kHolderRate),
               1.0,
               static_cast<double>(aMembers.mDigests.size()));
  const bool isHolder =
    static_cast<double>(RankOf(aMembers, Hash64(aName))) < holders;
  return isHolder ? rate / holders : 0;
}

} // namespace

std::uint64_t Weight(std::uint64_t aHost, std::uint64_t aName) noexcept
{
  std::uint64_t hash = (aHost ^ aName) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

std::size_t RankOf(const Members& aMembers, std::uint64_t aName) noexcept
{
  const std::uint64_t own = Weight(aMembers.mOwn, aName);
  return static_cast<std::size_t>(std::count_if(
    aMembers.mDigests.begin(),
    aMembers.mDigests.end(),
    [&](std::uint64_t aHost) { return Weight(aHost, aName) > own; }));
}

Members MakeMembers(const std::vector<std::string>& aHosts,
                    const std::string& aOwn)
{
  Members members;
  members.mOwn = Hash64(aOwn);
  for (const std::string& host : aHosts) {
    members.mDigests.push_back(Hash64(host));
  }
  return members;
}

bool IsFirst(const Members& aMembers, const std::string& aName)
{
  return IsMember(aMembers) && RankOf(aMembers, Hash64(aName)) == 0;
}

void UpdateShare(Share& aShare,
                 const Members& aMembers,
                 const std::string& aName,
                 double aPerSecond,
                 Micros aNow,
                 double aBurstRequests)
{
  const double rate = ShareRate(aMembers, aName, aPerSecond);
  if (rate > 0 && aShare.mRate == 0) {
    // No host held a share of a rate that was not divided before, so there is
    // no handover to wait for.
    aShare.mEffectiveFrom = aShare.mInitialized ? aNow + kHandoverDelay : aNow;
    aShare.mLastSentAt = aShare.mEffectiveFrom;
    aShare.mBucket = budget::TokenBucket();
    aShare.mBucket.mLevel = 0;
    aShare.mBucket.mUpdatedAt = aShare.mEffectiveFrom;
  }
  (void)budget::Take(aShare.mBucket, std::max(aNow, aShare.mEffectiveFrom), 0);
  aShare.mInitialized = true;
  aShare.mRate = rate;
  aShare.mBucket.mPerSecond = rate;
  aShare.mBucket.mBurst = std::max(aBurstRequests, rate * kBurstSeconds);
}

bool CanSend(const Share& aShare, Micros aNow) noexcept
{
  if (aShare.mRate <= 0 || aNow < aShare.mEffectiveFrom) {
    return false;
  }
  const double seconds =
    static_cast<double>(aNow - aShare.mBucket.mUpdatedAt) / kSecond;
  return aShare.mBucket.mLevel + seconds * aShare.mRate >= 1;
}

bool IsIdle(const Share& aShare, Micros aNow) noexcept
{
  return CanSend(aShare, aNow) && aNow - aShare.mLastSentAt >= kIdleTime;
}

void CountSent(Share& aShare, Micros aNow)
{
  aShare.mLastSentAt = aNow;
  (void)budget::Take(aShare.mBucket, aNow, 1);
}

} // namespace geraniumpond::rate_share
