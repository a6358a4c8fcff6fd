#pragma once

#include <geraniumpond/time.h>

/// \brief Per-service budget of retries and hedges.
namespace geraniumpond::retries {

/// \brief Token bucket of extra attempts, filled by first attempts.
struct RetryBudget
{
  /// Tokens added by each first attempt.
  double mRatio = 0.05;
  /// Capacity of the bucket.
  double mMaxTokens = 10;
  double mTokens = 5;
  /// Tokens that hedges leave for retries.
  double mHedgeReserve = 3;
};

/// \brief Whether a request ran, as far as an attempt shows.
enum class Effect
{
  DidNotRun,
  Unknown,
  Ran
};

/// \brief State of a request that decides whether it is sent again.
struct RetryState
{
  bool mIdempotent = false;
  Effect mEffect = Effect::Unknown;
  int mAttempts = 1;
  bool mOverloaded = false;
  Micros mDeadline = 0;
};

/// \brief Maximum attempts per request, including the first.
constexpr int kMaxAttempts = 4;

/// \brief Adds the tokens that a first attempt earns.
void Deposit(RetryBudget& aBudget) noexcept;

/// \brief Spends a token and returns true when the request may be retried.
[[nodiscard]] bool MayRetry(RetryBudget& aBudget,
                            const RetryState& aState,
                            Micros aNow) noexcept;

/// \brief Spends a token and returns true when the request may be hedged by a
/// second concurrent attempt.
[[nodiscard]] bool MayHedge(RetryBudget& aBudget,
                            const RetryState& aState,
                            Micros aNow) noexcept;

} // namespace geraniumpond::retries
