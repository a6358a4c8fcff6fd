#include <geraniumpond/budget.h>
#include <geraniumpond/burn.h>
#include <geraniumpond/idempotency.h>
#include <geraniumpond/limits.h>
#include <geraniumpond/retries.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace geraniumpond {

class RetriesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RetriesTest);
  CPPUNIT_TEST(RetryIsAllowedOnlyWhenItIsSafe);
  CPPUNIT_TEST(BudgetBoundsExtraAttempts);
  CPPUNIT_TEST_SUITE_END();

public:
  void RetryIsAllowedOnlyWhenItIsSafe()
  {
    using retries::Effect;
    struct Case
    {
      bool mIdempotent;
      Effect mEffect;
      int mAttempts;
      bool mOverloaded;
      Micros mDeadline;
      bool mRetry;
      bool mHedge;
    };
    const Case cases[] = {
      { true, Effect::Unknown, 1, false, 10, true, true },
      { false, Effect::Unknown, 1, false, 10, false, false },
      { false, Effect::DidNotRun, 1, false, 10, true, false },
      { false, Effect::DidNotRun, 1, true, 10, true, false },
      { true, Effect::Unknown, 1, true, 10, false, false },
      { true, Effect::Ran, 1, false, 10, false, true },
      { true, Effect::Unknown, 2, false, 10, true, false },
      { true, Effect::Unknown, 4, false, 10, false, false },
      { true, Effect::Unknown, 1, false, 5, false, false },
    };
    for (const Case& entry : cases) {
      const retries::RetryState state{ entry.mIdempotent,
                                       entry.mEffect,
                                       entry.mAttempts,
                                       entry.mOverloaded,
                                       entry.mDeadline };
      retries::RetryBudget budget;
      CPPUNIT_ASSERT_EQUAL(entry.mRetry, retries::MayRetry(budget, state, 5));
      retries::RetryBudget other;
      CPPUNIT_ASSERT_EQUAL(entry.mHedge, retries::MayHedge(other, state, 5));
    }
  }

  void BudgetBoundsExtraAttempts()
  {
    retries::RetryBudget budget;
    const retries::RetryState state{
      true, retries::Effect::Unknown, 1, false, 10
    };
    int extra = 0;
    for (int i = 0; i < 10000; ++i) {
      retries::Deposit(budget);
      extra += retries::MayRetry(budget, state, 0) ? 1 : 0;
    }
    CPPUNIT_ASSERT(extra <= 505);
    CPPUNIT_ASSERT(extra >= 495);
  }
};

class BudgetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(BucketNeverExceedsItsRateAndBurst);
  CPPUNIT_TEST_SUITE_END();

public:
  void BucketNeverExceedsItsRateAndBurst()
  {
    std::mt19937_64 random(3);
    budget::TokenBucket bucket{ 10, 5, 5, 0, 0, 0 };
    Micros now = 0;
    double taken = 0;
    for (int i = 0; i < 5000; ++i) {
      now += static_cast<Micros>(random() % (20 * kMillisecond));
      const double cost = 1.0 + static_cast<double>(random() % 3);
      taken += budget::Take(bucket, now, cost) ? cost : 0;
      const double allowed =
        5 + 10 * static_cast<double>(now) / static_cast<double>(kSecond);
      CPPUNIT_ASSERT(taken <= allowed + 1e-6);
    }
    CPPUNIT_ASSERT(taken > 0.9 * 10 * static_cast<double>(now) / kSecond);
  }
};

class LimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(NextOrdersByPriorityThenShareThenDeadline);
  CPPUNIT_TEST(BulkIsLimitedToItsShare);
  CPPUNIT_TEST(BurstOfOneCallerDoesNotStarveAnother);
  CPPUNIT_TEST(RequestIsRefusedAtOnceWhenItsWaitIsTooLong);
  CPPUNIT_TEST(RemovedWaiterIsNeverReturned);
  CPPUNIT_TEST_SUITE_END();

public:
  void NextOrdersByPriorityThenShareThenDeadline()
  {
    limits::WaitQueue queue;
    limits::Add(queue, Waiter(1, "a", Priority::Normal, 50), 1);
    limits::Add(queue, Waiter(2, "a", Priority::Urgent, 90), 1);
    limits::Add(queue, Waiter(3, "a", Priority::Urgent, 80), 1);
    limits::Add(queue, Waiter(4, "b", Priority::Urgent, 99), 1);
    limits::AdjustRunning(queue, "a", Priority::Urgent, 1);
    for (const std::uint64_t expected : { 4, 3, 2, 1 }) {
      CPPUNIT_ASSERT_EQUAL(expected, limits::Next(queue, 8)->mRequest);
    }
    CPPUNIT_ASSERT(!limits::Next(queue, 8));
  }

  void BulkIsLimitedToItsShare()
  {
    limits::WaitQueue queue;
    queue.mBulkShare = 0.25;
    for (std::uint64_t i = 0; i < 20; ++i) {
      limits::Add(queue, Waiter(i, "a", Priority::Bulk, 5), 1);
    }
    int running = 0;
    while (limits::Next(queue, 16)) {
      limits::AdjustRunning(queue, "a", Priority::Bulk, 1);
      ++running;
    }
    CPPUNIT_ASSERT_EQUAL(4, running);
    limits::Add(queue, Waiter(99, "a", Priority::Urgent, 5), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(99), limits::Next(queue, 16)->mRequest);
  }

  void BurstOfOneCallerDoesNotStarveAnother()
  {
    limits::WaitQueue queue;
    for (std::uint64_t i = 0; i < 500; ++i) {
      limits::Add(queue, Waiter(i, "burst", Priority::Normal, 1), 0.5);
    }
    for (std::uint64_t i = 500; i < 510; ++i) {
      limits::Add(queue, Waiter(i, "quiet", Priority::Normal, 9), 0.5);
    }
    int quiet = 0;
    for (int i = 0; i < 20; ++i) {
      const auto next = limits::Next(queue, 100);
      limits::AdjustRunning(queue, next->mCaller, Priority::Normal, 1);
      quiet += next->mCaller == "quiet" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, quiet);
  }

  void RequestIsRefusedAtOnceWhenItsWaitIsTooLong()
  {
    limits::WaitQueue queue;
    queue.mLimit = 2;
    limits::Waiter waiter = Waiter(1, "a", Priority::Normal, 1000);
    waiter.mGiveUpAt = limits::GiveUpTime(0, 1000);
    CPPUNIT_ASSERT_EQUAL(Micros(100), waiter.mGiveUpAt);
    CPPUNIT_ASSERT(limits::MayWait(queue, waiter, 100, 0));
    CPPUNIT_ASSERT(!limits::MayWait(queue, waiter, 101, 0));
    limits::Add(queue, Waiter(2, "a", Priority::Normal, 5), 1);
    limits::Add(queue, Waiter(3, "a", Priority::Normal, 5), 1);
    CPPUNIT_ASSERT(!limits::MayWait(queue, waiter, 0, 0));
    // Another caller is still below its share of the queue.
    waiter.mCaller = "b";
    CPPUNIT_ASSERT(limits::MayWait(queue, waiter, 0, 0));
  }

  void RemovedWaiterIsNeverReturned()
  {
    limits::WaitQueue queue;
    limits::Add(queue, Waiter(1, "a", Priority::Normal, 5), 1);
    CPPUNIT_ASSERT(limits::Remove(queue, 1));
    CPPUNIT_ASSERT(!limits::Remove(queue, 1));
    CPPUNIT_ASSERT(!limits::Next(queue, 8));
  }

private:
  static limits::Waiter Waiter(std::uint64_t aId,
                               const std::string& aCaller,
                               Priority aPriority,
                               Micros aDeadline)
  {
    return { aId, aCaller, aPriority, aDeadline, aDeadline };
  }
};

class IdempotencyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(IdempotencyTest);
  CPPUNIT_TEST(KeyHasOneOwnerUntilItIsReleased);
  CPPUNIT_TEST(DelayedCopyOfAReleasedClaimIsIgnored);
  CPPUNIT_TEST(CompletionAndReleaseByAnotherAttemptAreIgnored);
  CPPUNIT_TEST(RecordExpiresAfterItsRetentionOnly);
  CPPUNIT_TEST(ScopesOfCallersAreDisjoint);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeyHasOneOwnerUntilItIsReleased()
  {
    CPPUNIT_ASSERT(Owns(Claim(1), 1));
    CPPUNIT_ASSERT(Owns(Claim(1), 1));
    CPPUNIT_ASSERT(Owns(Claim(2), 1));
    Release(1);
    CPPUNIT_ASSERT(Owns(Claim(2), 2));
    Complete(2, "answer");
    const wire::KeyRecord record = Claim(3);
    CPPUNIT_ASSERT_EQUAL(wire::KEY_DONE, record.phase());
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), record.answer().body());
  }

  void DelayedCopyOfAReleasedClaimIsIgnored()
  {
    Release(1); // arrives before its claim
    CPPUNIT_ASSERT_EQUAL(wire::KEY_RELEASED, Claim(1).phase());
    CPPUNIT_ASSERT(Owns(Claim(2), 2));
    Release(2);
    CPPUNIT_ASSERT_EQUAL(wire::KEY_RELEASED, Claim(2).phase());
  }

  void CompletionAndReleaseByAnotherAttemptAreIgnored()
  {
    CPPUNIT_ASSERT(Owns(Claim(1), 1));
    Complete(2, "foreign");
    Release(2);
    CPPUNIT_ASSERT(Owns(Claim(3), 1));
    Complete(1, "");
    CPPUNIT_ASSERT_EQUAL(wire::KEY_UNKNOWN, Claim(3).phase());
    Release(1);
    CPPUNIT_ASSERT_EQUAL(wire::KEY_UNKNOWN, Claim(3).phase());
  }

  void RecordExpiresAfterItsRetentionOnly()
  {
    CPPUNIT_ASSERT(Owns(Claim(1, 0), 1));
    CPPUNIT_ASSERT(Owns(Claim(2, 99), 1));
    CPPUNIT_ASSERT(Owns(Claim(2, 100), 2));
  }

  void ScopesOfCallersAreDisjoint()
  {
    const std::set<std::string> scoped = {
      idempotency::ScopedKey("a", "s", "k"),
      idempotency::ScopedKey("b", "s", "k"),
      idempotency::ScopedKey("a", "t", "k"),
      idempotency::ScopedKey("a", "s", "b/s/k"),
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), scoped.size());
  }

private:
  wire::KeyRecord Claim(std::uint64_t aAttempt, Micros aNow = 0)
  {
    wire::ClaimKey claim;
    claim.set_key("k");
    claim.set_owner("h");
    claim.set_owner_incarnation(1);
    claim.set_attempt(aAttempt);
    claim.set_expires_at_us(aNow + 100);
    return idempotency::Claim(mTable, claim, aNow);
  }
  void Release(std::uint64_t aAttempt)
  {
    wire::ReleaseKey release;
    release.set_key("k");
    release.set_owner("h");
    release.set_owner_incarnation(1);
    release.set_attempt(aAttempt);
    (void)idempotency::Release(mTable, release, 0);
  }
  void Complete(std::uint64_t aAttempt, const std::string& aBody)
  {
    wire::CompleteKey complete;
    complete.set_key("k");
    complete.set_owner("h");
    complete.set_owner_incarnation(1);
    complete.set_attempt(aAttempt);
    if (!aBody.empty()) {
      complete.mutable_answer()->set_body(aBody);
    }
    (void)idempotency::Complete(mTable, complete);
  }
  static bool Owns(const wire::KeyRecord& aRecord, std::uint64_t aAttempt)
  {
    return aRecord.phase() == wire::KEY_CLAIMED &&
           idempotency::IsOwnedBy(aRecord, "h", 1, aAttempt);
  }

  idempotency::Table mTable;
};

class BurnTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BurnTest);
  CPPUNIT_TEST(RateIsOneWhenTheBudgetIsSpentExactly);
  CPPUNIT_TEST(WindowExcludesOlderBuckets);
  CPPUNIT_TEST(QuantileBoundsTheSamples);
  CPPUNIT_TEST_SUITE_END();

public:
  void RateIsOneWhenTheBudgetIsSpentExactly()
  {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, burn::BurnRate({ 99, 100 }, 0.99), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, burn::BurnRate({ 90, 100 }, 0.99), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, burn::BurnRate({ 0, 0 }, 0.99), 1e-9);
  }

  void WindowExcludesOlderBuckets()
  {
    burn::Series series;
    burn::AddAnswer(series, 10 * kMinute, 1, "ran", false);
    burn::AddAnswer(series, 60 * kMinute, 1, "ran", true);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t(1),
      burn::SumBuckets(series, 60 * kMinute, 5 * kMinute).mTotal);
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t(2),
      burn::SumBuckets(series, 60 * kMinute, 60 * kMinute).mTotal);
  }

  void QuantileBoundsTheSamples()
  {
    burn::Histogram histogram = burn::NewHistogram();
    for (int i = 1; i <= 100; ++i) {
      histogram(static_cast<double>(i));
    }
    const double p50 = burn::Quantile(histogram, 0.5);
    CPPUNIT_ASSERT(p50 >= 50 && p50 < 50 * 1.13);
    CPPUNIT_ASSERT_EQUAL(0.0, burn::Quantile(burn::NewHistogram(), 0.5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetriesTest);
CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);
CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyTest);
CPPUNIT_TEST_SUITE_REGISTRATION(BurnTest);

} // namespace geraniumpond
