#pragma once

#include <geraniumpond/time.h>

/// \brief One budget per service for every attempt beyond the first.
namespace geraniumpond::retries {

/// \brief Extra attempts earned by first attempts.
struct RetryBudget
{
  /// Extra attempts per first attempt.
  double mRatio = 0.05;
  /// Most extra attempts that may be saved up.
  double mMaxSaved = 10;
  double mSaved = 5;
  /// Share of the budget that hedges leave to retries.
  double mHedgeReserve = 3;
};

/// \brief What one attempt told about whether the request ran.
enum class Effect
{
  DidNotRun,
  Unknown,
  Ran
};

/// \brief What is known about a request that may be tried again.
struct Situation
{
  bool mIdempotent = false;
  Effect mEffect = Effect::Unknown;
  int mAttempts = 1;
  bool mOverloaded = false;
  Micros mDeadline = 0;
};

/// \brief Most attempts of one request, the first one included.
constexpr int kMaxAttempts = 4;

/// \brief Notes a first attempt, which earns its share of an extra one.
void Deposit(RetryBudget& aBudget) noexcept;

/// \brief True, and paid for, when the request may be sent again.
[[nodiscard]] bool MayRetry(RetryBudget& aBudget,
                            const Situation& aSituation,
                            Micros aNow) noexcept;

/// \brief True, and paid for, when a second attempt may race the first.
[[nodiscard]] bool MayHedge(RetryBudget& aBudget,
                            const Situation& aSituation,
                            Micros aNow) noexcept;

} // namespace geraniumpond::retries
