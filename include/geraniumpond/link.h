#pragma once

/// \brief Which answers are large for a host's network link.
namespace geraniumpond::link {

/// \brief An answer that takes longer than this to transfer on the host's link
/// counts as large: other answers would noticeably wait behind it.
constexpr double kSmallAnswerSeconds = 0.05;

/// \brief Share of the link that large answers get; the rest is for what cannot
/// wait.
constexpr double kLargeAnswersShare = 0.75;

/// \brief Size of the largest answer that does not count as large.
[[nodiscard]] constexpr double SmallAnswerBytes(
  double aLinkBytesPerSecond) noexcept
{
  return kSmallAnswerSeconds * aLinkBytesPerSecond;
}

} // namespace geraniumpond::link
