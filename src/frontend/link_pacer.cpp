#include "link_pacer.h"

#include <geraniumpond/link.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace geraniumpond::frontend {

namespace {

/// Time for which one piece of a large answer occupies the link: anything else
/// waits no longer than this.
constexpr double kPieceSeconds = 0.015;
constexpr double kMinPieceBytes = 1500;
/// A peer may have this much of a large answer in flight. Buffers of links on
/// which that is more than the system's default are left to the system.
constexpr double kReceiveSeconds = 0.03;
constexpr int kMinReceiveBytes = 4096;
constexpr int kDefaultReceiveBytes = 65536;

} // namespace

LinkPacer::LinkPacer(double aBytesPerSecond)
  : mBytesPerSecond(aBytesPerSecond)
{
  mBucket.mPerSecond = link::kLargeAnswersShare * aBytesPerSecond;
  mBucket.mBurst =
    std::max(kMinPieceBytes, std::floor(kPieceSeconds * aBytesPerSecond));
  mBucket.mLevel = mBucket.mBurst;
}

std::size_t LinkPacer::SmallBytes() const noexcept
{
  return static_cast<std::size_t>(link::SmallAnswerBytes(mBytesPerSecond));
}

bool LinkPacer::IsLarge(std::size_t aBytes) const noexcept
{
  return aBytes > SmallBytes();
}

int LinkPacer::ReceiveBufferBytes() const noexcept
{
  const double bytes = kReceiveSeconds * mBytesPerSecond;
  return bytes >= kDefaultReceiveBytes
           ? 0
           : std::max(kMinReceiveBytes, static_cast<int>(bytes));
}

// Whoever waits already goes first.
std::size_t LinkPacer::Take(Handler& aHandler, std::size_t aWanted)
{
  const double bytes = std::min(static_cast<double>(aWanted), mBucket.mBurst);
  const bool isFirst = mWaiting.empty() || mWaiting.front() == &aHandler;
  if (!isFirst || !budget::Take(mBucket, mNow, bytes)) {
    if (std::find(mWaiting.begin(), mWaiting.end(), &aHandler) ==
        mWaiting.end()) {
      mWaiting.push_back(&aHandler);
    }
    return 0;
  }
  Remove(aHandler);
  return static_cast<std::size_t>(bytes);
}

void LinkPacer::Return(std::size_t aBytes) noexcept
{
  mBucket.mLevel =
    std::min(mBucket.mBurst, mBucket.mLevel + static_cast<double>(aBytes));
}

void LinkPacer::Remove(Handler& aHandler)
{
  mWaiting.erase(std::remove(mWaiting.begin(), mWaiting.end(), &aHandler),
                 mWaiting.end());
}

void LinkPacer::Tick(Micros aNow)
{
  mNow = aNow;
  const std::size_t count = mWaiting.size();
  for (std::size_t i = 0; i < count && NextTick() <= mNow; ++i) {
    mWaiting.front()->OnWritable();
  }
}

Micros LinkPacer::NextTick() const noexcept
{
  if (mWaiting.empty()) {
    return std::numeric_limits<Micros>::max();
  }
  const double missing = std::max(0.0, mBucket.mBurst - mBucket.mLevel);
  return mBucket.mUpdatedAt +
         static_cast<Micros>(missing / mBucket.mPerSecond * kSecond) + 1;
}

} // namespace geraniumpond::frontend
