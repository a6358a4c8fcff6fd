#include <geraniumpond/fair_queue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace geraniumpond::fair_queue {

namespace {

Entry EntryOf(std::uint64_t aRequest,
              const std::string& aAccount,
              double aWeight,
              int aPriority = 1,
              Micros aDeadline = kSecond)
{
  return { aRequest, aPriority, aDeadline, aAccount, aWeight };
}

std::vector<std::uint64_t> OrderOf(const Queue& aQueue)
{
  std::vector<std::uint64_t> order;
  for (const Waiter& waiter : aQueue.mWaiters) {
    order.push_back(waiter.Request());
  }
  return order;
}

std::string ServeFirst(Queue& aQueue)
{
  const Waiter first = *aQueue.mWaiters.begin();
  Serve(aQueue, first.Request());
  return first.mEntry.mAccount;
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(RequestsWithoutTurnsAreOrderedByPriorityAndDeadline);
  CPPUNIT_TEST(PriorityGoesBeforeTheTurnOfAnAccount);
  CPPUNIT_TEST(QuietAccountGoesBeforeTheRequestsThatASurgeHasQueued);
  CPPUNIT_TEST(AccountsWithQueuedRequestsAreServedByTheirWeights);
  CPPUNIT_TEST(AccountThatWasServedLatelyGoesAfterOneThatWasNot);
  CPPUNIT_TEST(IdleAccountSavesNoServiceUp);
  CPPUNIT_TEST(RemovedRequestGivesItsTurnBack);
  CPPUNIT_TEST(AccountsAreForgottenOnceOthersHaveHadTheirTurns);
  CPPUNIT_TEST(CountAheadAgreesWithTheOrder);
  CPPUNIT_TEST(UnknownRequestIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsWithoutTurnsAreOrderedByPriorityAndDeadline()
  {
    Queue queue;
    Add(queue, EntryOf(1, "", 0, 2, 10));
    Add(queue, EntryOf(2, "", 0, 1, 30));
    Add(queue, EntryOf(3, "", 0, 1, 20));
    Serve(queue, 2);
    Add(queue, EntryOf(4, "", 0, 1, 30));
    Add(queue, EntryOf(5, "", 0, 1, 10));
    const std::vector<std::uint64_t> expected{ 5, 3, 4, 1 };
    CPPUNIT_ASSERT(expected == OrderOf(queue));
  }

  void PriorityGoesBeforeTheTurnOfAnAccount()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
      Add(queue, EntryOf(i, "urgent", 1, 0));
    }
    Add(queue, EntryOf(10, "other", 1, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), OrderOf(queue).back());
  }

  void QuietAccountGoesBeforeTheRequestsThatASurgeHasQueued()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
      Add(queue, EntryOf(i, "surge", 1));
    }
    Add(queue, EntryOf(100, "quiet", 1, 1, 2 * kSecond));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), OrderOf(queue)[1]);
  }

  void AccountsWithQueuedRequestsAreServedByTheirWeights()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 200; ++i) {
      Add(queue, EntryOf(2 * i, "large", 3));
      Add(queue, EntryOf(2 * i + 1, "small", 1));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
      ++served[ServeFirst(queue)];
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(75, served["large"], 1);
  }

  // Each request finds the queue empty, as where targets have room.
  void AccountThatWasServedLatelyGoesAfterOneThatWasNot()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
      Add(queue, EntryOf(i, "busy", 1));
      Serve(queue, i);
    }
    Add(queue, EntryOf(10, "busy", 1, 1, 10));
    Add(queue, EntryOf(11, "quiet", 1, 1, 20));
    const std::vector<std::uint64_t> expected{ 11, 10 };
    CPPUNIT_ASSERT(expected == OrderOf(queue));
  }

  void IdleAccountSavesNoServiceUp()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 100; ++i) {
      Add(queue, EntryOf(i, "busy", 1));
    }
    for (int i = 0; i < 50; ++i) {
      ServeFirst(queue);
    }
    for (std::uint64_t i = 100; i < 150; ++i) {
      Add(queue, EntryOf(i, "idle", 1));
    }
    int idle = 0;
    for (int i = 0; i < 20; ++i) {
      idle += ServeFirst(queue) == "idle" ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, idle, 1);
  }

  void RemovedRequestGivesItsTurnBack()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
      Add(queue, EntryOf(i, "refused", 1));
    }
    for (std::uint64_t i = 0; i < 10; ++i) {
      Remove(queue, i);
    }
    Add(queue, EntryOf(10, "other", 1, 1, 20));
    Add(queue, EntryOf(11, "refused", 1, 1, 10));
    const std::vector<std::uint64_t> expected{ 11, 10 };
    CPPUNIT_ASSERT(expected == OrderOf(queue));
  }

  void AccountsAreForgottenOnceOthersHaveHadTheirTurns()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 1000; ++i) {
      Add(queue, EntryOf(i, std::to_string(i), 1));
    }
    while (!queue.mWaiters.empty()) {
      ServeFirst(queue);
    }
    for (std::uint64_t i = 0; i < 3; ++i) {
      Add(queue, EntryOf(i, "last", 1));
      ServeFirst(queue);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.mTurns[1].mNext.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.mTurns[1].mByTurn.size());
  }

  void CountAheadAgreesWithTheOrder()
  {
    Queue queue;
    for (std::uint64_t i = 0; i < 60; ++i) {
      const int priority = static_cast<int>(i % 3);
      const std::string account = i % 5 == 0 ? "a" : "b";
      const Micros deadline = static_cast<Micros>(i * 7 % 11);
      const Entry entry = EntryOf(i, account, 1, priority, deadline);
      const std::size_t ahead = CountAhead(queue, entry);
      Add(queue, entry);
      CPPUNIT_ASSERT_EQUAL(i, OrderOf(queue).at(ahead));
    }
  }

  void UnknownRequestIsIgnored()
  {
    Queue queue;
    Add(queue, EntryOf(1, "a", 1));
    Serve(queue, 2);
    Remove(queue, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.mWaiters.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace geraniumpond::fair_queue
