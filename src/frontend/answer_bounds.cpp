#include "answer_bounds.h"

#include <algorithm>

namespace geraniumpond::frontend {

namespace {

/// Answers that are being read take at most this part of the memory: each is
/// copied when it is sent, and its buffer grows by a quarter at a time.
constexpr std::uint64_t kMemoryParts = 3;
/// Chunks, trailers and skipped answers may double what is received.
constexpr std::uint64_t kReceivedPerByte = 2;
constexpr std::uint64_t kReceivedBeside = 1024ULL * 1024;

} // namespace

AnswerBounds AnswerBoundsFor(std::uint64_t aMaxBytes,
                             std::uint64_t aMemoryBytes)
{
  AnswerBounds bounds;
  if (aMemoryBytes > 0) {
    bounds.mMaxTotalBytes = aMemoryBytes / kMemoryParts;
  }
  bounds.mMaxTotalBytes = std::max(bounds.mMaxTotalBytes, kMaxProbeBytes);
  bounds.mMaxBytes = std::min(aMaxBytes, bounds.mMaxTotalBytes);
  return bounds;
}

std::uint64_t MaxReceivedBytes(std::uint64_t aMaxBytes) noexcept
{
  return kReceivedPerByte * aMaxBytes + kReceivedBeside;
}

// The largest one: a target that sends without end soon has it, and small
// answers of sound targets are kept.
std::optional<std::uint64_t> AnswerToGiveUp(
  const std::vector<HeldAnswer>& aAnswers,
  const AnswerBounds& aBounds)
{
  std::uint64_t total = 0;
  for (const HeldAnswer& answer : aAnswers) {
    total += answer.mBytes;
  }
  if (total <= aBounds.mMaxTotalBytes) {
    return std::nullopt;
  }
  return std::max_element(
           aAnswers.begin(),
           aAnswers.end(),
           [](const HeldAnswer& aLeft, const HeldAnswer& aRight) {
             return aLeft.mBytes < aRight.mBytes;
           })
    ->mConnection;
}

} // namespace geraniumpond::frontend
