#include "internal.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

// An overloaded target states a request rate that it accepts from all hosts
// together, in each of its answers for as long as it is overloaded. Hosts share
// the value by gossip and divide the rate among themselves. A cold target has a
// bounded rate until it is warm, which they divide alike. Every request to the
// target passes through SendTo(), which charges this host's share.
namespace geraniumpond::dispatch {

namespace {

/// A rate that differs by less than this share is not treated as a change.
constexpr double kSameRate = 0.05;

std::string RateText(double aPerSecond)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", aPerSecond);
  return text;
}

std::string Describe(const Target& aTarget)
{
  return " target=" + aTarget.mId + " service=" + aTarget.mService +
         " per_second=" + RateText(aTarget.mLimit.value_or(0)) +
         " part=" + RateText(aTarget.mShare.mRate);
}

void UpdateLimitedTargets(Service& aService, const Target& aTarget, Micros aNow)
{
  auto& limited = aService.mLimitedTargets;
  limited.erase(std::remove(limited.begin(), limited.end(), aTarget.mId),
                limited.end());
  if (BoundedRate(aTarget, aNow) && aTarget.mShare.mRate > 0) {
    limited.push_back(aTarget.mId);
  }
}

void SetLimit(State& aState,
              Micros aNow,
              Target& aTarget,
              std::optional<double> aLimit,
              Effects& aOut)
{
  const bool ended = aTarget.mLimit && !aLimit;
  if (ended) {
    Log(aOut, 1, "event=limit_ended" + Describe(aTarget));
  }
  aTarget.mLimit = aLimit;
  DivideRate(aState, aNow, aTarget);
  if (aLimit) {
    Log(aOut, 1, "event=limit_named" + Describe(aTarget));
  }
  ++aState.mCounters[ended ? "limits_ended" : "limits_named"];
}

void SendLimitFact(const Target& aTarget, Effects& aOut)
{
  aOut.emplace_back(SendFact{ { gossip::Kind::TargetLimit,
                                aTarget.mId,
                                aTarget.mLimit ? RateText(*aTarget.mLimit) : "",
                                aTarget.mLimitAt } });
}

bool IsAboutTheSame(const Target& aTarget, double aPerSecond)
{
  return aTarget.mLimit && std::abs(*aTarget.mLimit - aPerSecond) <=
                             kSameRate * std::max(1.0, aPerSecond);
}

} // namespace

std::optional<double> BoundedRate(const Target& aTarget, Micros aNow) noexcept
{
  if (!IsCold(aTarget, aNow) || aTarget.mWarmUpPerSecond <= 0) {
    return aTarget.mLimit;
  }
  return std::min(aTarget.mLimit.value_or(aTarget.mWarmUpPerSecond),
                  aTarget.mWarmUpPerSecond);
}

// While the hosts' lists differ, others may hold shares of the same rate; at a
// cold target, which may end under too many requests, none accumulates.
void DivideRate(State& aState, Micros aNow, Target& aTarget)
{
  const std::optional<double> rate = BoundedRate(aTarget, aNow);
  if (!rate) {
    aTarget.mShare = rate_share::Share();
  } else if (!aState.mLimitHosts.mDigests.empty()) {
    rate_share::UpdateShare(aTarget.mShare,
                            aState.mLimitHosts,
                            aTarget.mId,
                            *rate,
                            aNow,
                            IsCold(aTarget, aNow) ? 1
                                                  : rate_share::kBurstRequests);
  }
  UpdateLimitedTargets(aState.mServices[aTarget.mService], aTarget, aNow);
}

void HandleStatedLimit(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       const StatedLimit& aLimit,
                       Effects& aOut)
{
  if (aLimit.mKind == StatedLimit::Kind::Invalid) {
    ++aState.mCounters["limits_unreadable"];
    Log(aOut, 2, "event=limit_unreadable target=" + aTarget.mId);
    return;
  }
  aTarget.mLimitAt = aNow;
  if (!IsAboutTheSame(aTarget, aLimit.mPerSecond)) {
    SetLimit(aState, aNow, aTarget, aLimit.mPerSecond, aOut);
  }
  SendLimitFact(aTarget, aOut);
}

// An answer to a request that was sent before the limit was stated may predate
// the limit.
void HandleAbsentLimit(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       Micros aSentAt,
                       Effects& aOut)
{
  if (aTarget.mLimit && aSentAt > aTarget.mLimitAt) {
    aTarget.mLimitAt = aNow;
    SetLimit(aState, aNow, aTarget, std::nullopt, aOut);
    SendLimitFact(aTarget, aOut);
  }
}

void HandleLimitFact(State& aState,
                     Micros aNow,
                     const gossip::Item& aItem,
                     Effects& aOut)
{
  const auto found = aState.mTargets.find(aItem.mKey);
  if (found == aState.mTargets.end()) {
    aState.mEarlyLimits[aItem.mKey] = aItem;
    return;
  }
  Target& target = found->second;
  const char* end = aItem.mValue.data() + aItem.mValue.size();
  double perSecond = 0;
  const bool stated =
    std::from_chars(aItem.mValue.data(), end, perSecond).ec == std::errc();
  if (aItem.mObservedAt <= target.mLimitAt) {
    return;
  }
  target.mLimitAt = aItem.mObservedAt;
  if (stated && !IsAboutTheSame(target, perSecond)) {
    SetLimit(aState, aNow, target, perSecond, aOut);
  } else if (!stated && target.mLimit) {
    SetLimit(aState, aNow, target, std::nullopt, aOut);
  }
}

void ApplyEarlyLimit(State& aState, Micros aNow, Target& aTarget, Effects& aOut)
{
  const auto found = aState.mEarlyLimits.find(aTarget.mId);
  if (found != aState.mEarlyLimits.end()) {
    const gossip::Item item = std::move(found->second);
    aState.mEarlyLimits.erase(found);
    HandleLimitFact(aState, aNow, item, aOut);
  }
}

bool IsWithinLimit(const Target& aTarget, Micros aNow) noexcept
{
  return !BoundedRate(aTarget, aNow) ||
         rate_share::CanSend(aTarget.mShare, aNow);
}

bool HasLimitShare(const Target& aTarget, Micros aNow) noexcept
{
  return !BoundedRate(aTarget, aNow) || aTarget.mShare.mRate > 0;
}

bool NeedsLimitHosts(const State& aState, Micros aNow) noexcept
{
  return !aState.mQuarantine.mRecords.empty() || HasLimits(aState, aNow);
}

bool HasLimits(const State& aState, Micros aNow) noexcept
{
  return std::any_of(
    aState.mTargets.begin(), aState.mTargets.end(), [&](const auto& aEntry) {
      return BoundedRate(aEntry.second, aNow).has_value();
    });
}

void SetLimitHosts(State& aState, Micros aNow, rate_share::Members aHosts)
{
  aState.mLimitHosts = std::move(aHosts);
  for (auto& [id, target] : aState.mTargets) {
    if (target.mShare.mInitialized || BoundedRate(target, aNow)) {
      DivideRate(aState, aNow, target);
    }
  }
}

} // namespace geraniumpond::dispatch
