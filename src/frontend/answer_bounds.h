#pragma once

#include <cstdint>
#include <optional>
#include <vector>

/// \brief How much of the answers of targets a host holds.
///
/// The load: targets that send until they are closed, on any number of
/// connections at once, beside sound answers that may be large.
namespace geraniumpond::frontend {

struct AnswerBounds
{
  /// Largest body of one answer; as large as that of a request may be.
  std::uint64_t mMaxBytes = 64ULL * 1024 * 1024;
  /// Bodies that are being read, over all connections.
  std::uint64_t mMaxTotalBytes = 96ULL * 1024 * 1024;
};

/// Largest body of an answer to a probe, of which only the head matters.
constexpr std::uint64_t kMaxProbeBytes = 64ULL * 1024;
/// Answers that are skipped before the one to a request: interim ones, and late
/// ones to earlier requests.
constexpr int kMaxSkippedAnswers = 16;

/// \brief Bounds of a host with this much memory; the defaults if it is 0.
[[nodiscard]] AnswerBounds AnswerBoundsFor(std::uint64_t aMaxBytes,
                                           std::uint64_t aMemoryBytes);

/// \brief Bytes that may be received for a body of at most `aMaxBytes`.
[[nodiscard]] std::uint64_t MaxReceivedBytes(std::uint64_t aMaxBytes) noexcept;

/// \brief An answer that is being read.
struct HeldAnswer
{
  std::uint64_t mConnection = 0;
  std::uint64_t mBytes = 0;
};

/// \brief The connection whose answer is given up, if all of them exceed the
/// bound.
[[nodiscard]] std::optional<std::uint64_t> AnswerToGiveUp(
  const std::vector<HeldAnswer>& aAnswers,
  const AnswerBounds& aBounds);

} // namespace geraniumpond::frontend
