#include "internal.h"

#include <algorithm>

namespace geraniumpond::dispatch {

namespace {

/// Slices per window. One more slice than fits is kept, so that every interval
/// of the window's length is bounded.
constexpr int kSlices = 10;
/// Share of the bound that is spent: hosts know each other's request counts
/// only as of their last report, and requests are unevenly distributed.
constexpr double kSpentShare = 0.7;

ExtraWindow::Slice& Current(ExtraWindow& aWindow, Micros aLength, Micros aNow)
{
  const Micros slice = std::max<Micros>(1, aLength / kSlices);
  while (!aWindow.mSlices.empty() &&
         aNow - aWindow.mSlices.front().mStart > aLength + slice) {
    aWindow.mSlices.pop_front();
  }
  if (aWindow.mSlices.empty() ||
      aNow - aWindow.mSlices.back().mStart >= slice) {
    aWindow.mSlices.push_back({ aNow, 0, 0 });
  }
  return aWindow.mSlices.back();
}

} // namespace

void CountRequest(ExtraWindow& aWindow, const Bounds& aBounds, Micros aNow)
{
  ++Current(aWindow, aBounds.mExtraWindow, aNow).mRequests;
}

void UncountRequest(ExtraWindow& aWindow) noexcept
{
  if (!aWindow.mSlices.empty() && aWindow.mSlices.back().mRequests > 0) {
    --aWindow.mSlices.back().mRequests;
  }
}

bool TakeExtra(const State& aState, ExtraWindow& aWindow, Micros aNow)
{
  const Bounds& bounds = aState.mBounds;
  ExtraWindow::Slice& current = Current(aWindow, bounds.mExtraWindow, aNow);
  int requests = 0;
  int extra = 0;
  for (const ExtraWindow::Slice& slice : aWindow.mSlices) {
    requests += slice.mRequests;
    extra += slice.mExtra;
  }
  const double floor =
    aState.mKnowsHosts ? bounds.mExtraFloor / std::max(1, aState.mHosts) : 0;
  const double allowed = kSpentShare * (bounds.mExtraRatio * requests + floor);
  if (extra + 1 > allowed) {
    return false;
  }
  ++current.mExtra;
  return true;
}

} // namespace geraniumpond::dispatch
