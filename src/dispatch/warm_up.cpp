#include "internal.h"

#include <algorithm>
#include <charconv>

// A target that has started works slowly for a while, and ends if it gets many
// requests then. It may turn cold again at any time. It says so in its health
// answers, which precede each request, and in its announcements, which one host
// receives and passes on as a fact.
namespace geraniumpond::dispatch {

namespace {

/// A warm-up that ends this much later than known is another one.
constexpr Micros kSameEnd = 200 * kMillisecond;

const policy::ServiceSettings* RulesOf(const State& aState,
                                       const std::string& aService) noexcept
{
  if (!aState.mPolicy) {
    return nullptr;
  }
  const auto found = aState.mPolicy->mServices.find(aService);
  return found == aState.mPolicy->mServices.end() ? nullptr : &found->second;
}

Micros AnnouncedEnd(const wire::TargetRecord& aRecord, Micros aNow) noexcept
{
  return aNow + static_cast<Micros>(aRecord.warm_up_ms()) * kMillisecond;
}

void SetWarmUpEnd(State& aState,
                  Micros aNow,
                  Target& aTarget,
                  Micros aEnd,
                  Effects& aOut)
{
  if (aEnd > std::max(aNow, aTarget.mWarmUpEnd + kSameEnd)) {
    ++aState.mCounters["targets_cold"];
    Log(aOut,
        1,
        "event=target_cold target=" + aTarget.mId + " service=" +
          aTarget.mService + " left_ms=" + Milliseconds(aEnd - aNow));
  }
  aTarget.mWarmUpEnd = aEnd;
  DivideRate(aState, aNow, aTarget);
}

} // namespace

bool IsCold(const Target& aTarget, Micros aNow) noexcept
{
  return aNow < aTarget.mWarmUpEnd;
}

void HandleStatedWarmUp(State& aState,
                        Micros aNow,
                        Target& aTarget,
                        Micros aLeft,
                        Effects& aOut)
{
  if (aLeft > 0 || IsCold(aTarget, aNow)) {
    SetWarmUpEnd(aState, aNow, aTarget, aNow + aLeft, aOut);
  }
}

// An announcement may be late, so it does not end a warm-up.
void HandleAnnouncedWarmUp(State& aState,
                           Micros aNow,
                           const wire::TargetRecord& aRecord,
                           Effects& aOut)
{
  // Most announcements come from targets that are warm.
  if (aRecord.warm_up_ms() == 0) {
    return;
  }
  const Micros end = AnnouncedEnd(aRecord, aNow);
  const auto found = std::find_if(
    aState.mTargets.begin(), aState.mTargets.end(), [&](const auto& aEntry) {
      return aEntry.second.mName == aRecord.id();
    });
  if (found == aState.mTargets.end() ||
      end <= found->second.mWarmUpEnd + kSameEnd) {
    return;
  }
  SetWarmUpEnd(aState, aNow, found->second, end, aOut);
  aOut.emplace_back(SendFact{ { gossip::Kind::TargetWarmUp,
                                found->first,
                                std::to_string(aRecord.warm_up_ms()),
                                aNow } });
}

void HandleWarmUpFact(State& aState,
                      Micros aNow,
                      const gossip::Item& aItem,
                      Effects& aOut)
{
  const auto found = aState.mTargets.find(aItem.mKey);
  const char* end = aItem.mValue.data() + aItem.mValue.size();
  std::uint32_t milliseconds = 0;
  const bool valid =
    std::from_chars(aItem.mValue.data(), end, milliseconds).ec == std::errc();
  if (found == aState.mTargets.end() || !valid) {
    return;
  }
  const Micros until =
    aItem.mObservedAt + static_cast<Micros>(milliseconds) * kMillisecond;
  if (until > std::max(aNow, found->second.mWarmUpEnd + kSameEnd)) {
    SetWarmUpEnd(aState, aNow, found->second, until, aOut);
  }
}

// Targets that return to service may have turned cold meanwhile. Where they do
// not report their load, no answer says so before the first request.
Micros FirstWarmUpEnd(const State& aState,
                      const wire::TargetRecord& aRecord,
                      Micros aNow)
{
  const Micros announced = AnnouncedEnd(aRecord, aNow);
  const auto returned = aState.mReturnedAt.find(aRecord.data_centre());
  const auto service = aState.mServices.find(aRecord.service());
  const bool isAsked =
    service == aState.mServices.end() || service->second.mReportsLoad;
  const policy::ServiceSettings* rules = RulesOf(aState, aRecord.service());
  if (returned == aState.mReturnedAt.end() || isAsked || rules == nullptr) {
    return announced;
  }
  return std::max(announced, returned->second + rules->mWarmUp);
}

// Each holder of a share may send one request at once and its rate in the
// second after that: at most twice the rate in any second.
double WarmUpRate(const State& aState, const std::string& aService) noexcept
{
  const policy::ServiceSettings* rules = RulesOf(aState, aService);
  const double stated = rules == nullptr ? 0 : rules->mWarmUpPerSecond;
  const Bounds& bounds = aState.mBounds;
  return std::min(stated,
                  (bounds.mWarmUpRatio * stated + bounds.mWarmUpFloor) / 2);
}

} // namespace geraniumpond::dispatch
