#include <geraniumpond/fleet_inbox.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::fleet {

namespace {

std::string ReportOf(const std::string& aHost, std::uint64_t aApplied)
{
  wire::FleetMessage message;
  message.set_from_address(aHost);
  message.mutable_follow()->set_applied(aApplied);
  return message.SerializeAsString();
}

std::string CommandOf(const std::string& aHost, std::uint64_t aId, bool aUrgent)
{
  wire::FleetMessage message;
  message.set_from_address(aHost);
  message.mutable_submit()->set_id(aId);
  message.mutable_submit()->set_urgent(aUrgent);
  return message.SerializeAsString();
}

std::string ConsensusOf(const std::string& aHost, std::uint64_t aTerm)
{
  wire::FleetMessage message;
  message.set_from_address(aHost);
  message.mutable_consensus()->set_term(aTerm);
  return message.SerializeAsString();
}

std::string CountsOf(const std::string& aHost, std::uint64_t aSequence)
{
  wire::FleetMessage message;
  message.set_from_address(aHost);
  message.mutable_counts()->set_sequence(aSequence);
  return message.SerializeAsString();
}

} // namespace

/// \brief Messages that arrive faster than they are processed.
class InboxTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(InboxTest);
  CPPUNIT_TEST(ConsensusBehindManyReportsIsTakenFirst);
  CPPUNIT_TEST(QueuedReportIsReplacedByALaterOne);
  CPPUNIT_TEST(ReportThatAsksForAllHostsIsKept);
  CPPUNIT_TEST(RepeatedCommandIsQueuedOnce);
  CPPUNIT_TEST(UrgentCommandBehindManyAnnouncementsIsTakenBeforeThem);
  CPPUNIT_TEST(ManyUrgentCommandsDoNotStarveOthers);
  CPPUNIT_TEST(CountsAreReplacedAndComeAfterReports);
  CPPUNIT_TEST(FullInboxDropsAndCounts);
  CPPUNIT_TEST(UnreadableMessageIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConsensusBehindManyReportsIsTakenFirst()
  {
    for (int host = 0; host < 470; ++host) {
      CPPUNIT_ASSERT(mInbox.Put(ReportOf("host" + std::to_string(host), 1)));
    }
    CPPUNIT_ASSERT(mInbox.Put(ConsensusOf("voter", 3)));
    CPPUNIT_ASSERT(mInbox.Put(ConsensusOf("voter", 4)));
    const std::vector<wire::FleetMessage> taken = mInbox.Take(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), taken[0].consensus().term());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), taken[1].consensus().term());
    CPPUNIT_ASSERT_EQUAL(std::string("host0"), taken[2].from_address());
    CPPUNIT_ASSERT_EQUAL(std::size_t(460), mInbox.Waiting());
  }

  void QueuedReportIsReplacedByALaterOne()
  {
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("one", 1)));
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("two", 1)));
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("one", 2)));
    const std::vector<wire::FleetMessage> taken = mInbox.Take(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), taken[0].follow().applied());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mInbox.Replaced());
    CPPUNIT_ASSERT(mInbox.IsEmpty());
  }

  void ReportThatAsksForAllHostsIsKept()
  {
    wire::FleetMessage asks;
    asks.set_from_address("one");
    asks.mutable_follow()->add_known_hosts()->set_data_centre("north");
    CPPUNIT_ASSERT(mInbox.Put(asks.SerializeAsString()));
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("one", 2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mInbox.Waiting());
  }

  void RepeatedCommandIsQueuedOnce()
  {
    wire::FleetMessage command;
    command.set_from_address("one");
    for (const std::uint64_t id : { 7, 8, 7, 7 }) {
      command.mutable_submit()->set_id(id);
      CPPUNIT_ASSERT(mInbox.Put(command.SerializeAsString()));
    }
    const std::vector<wire::FleetMessage> taken = mInbox.Take(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), taken[0].submit().id());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), taken[1].submit().id());
  }

  // Guards against reads and changes that wait behind the announcements of a
  // fleet's targets.
  void UrgentCommandBehindManyAnnouncementsIsTakenBeforeThem()
  {
    for (std::uint64_t id = 1; id <= 1000; ++id) {
      CPPUNIT_ASSERT(mInbox.Put(CommandOf("host", id, false)));
    }
    CPPUNIT_ASSERT(mInbox.Put(CommandOf("host", 1001, true)));
    CPPUNIT_ASSERT(mInbox.Put(ConsensusOf("voter", 3)));
    const std::vector<wire::FleetMessage> taken = mInbox.Take(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), taken.size());
    CPPUNIT_ASSERT(taken[0].has_consensus());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1001), taken[1].submit().id());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), taken[2].submit().id());
  }

  void ManyUrgentCommandsDoNotStarveOthers()
  {
    for (std::uint64_t id = 1; id <= 100; ++id) {
      CPPUNIT_ASSERT(mInbox.Put(CommandOf("host", id, true)));
    }
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("host", 1)));
    const std::vector<wire::FleetMessage> taken = mInbox.Take(16);
    CPPUNIT_ASSERT_EQUAL(std::size_t(17), taken.size());
    CPPUNIT_ASSERT(taken.back().has_follow());
  }

  void CountsAreReplacedAndComeAfterReports()
  {
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
      CPPUNIT_ASSERT(mInbox.Put(CountsOf("one", sequence)));
    }
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("two", 1)));
    CPPUNIT_ASSERT(mInbox.Put(ReportOf("three", 1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), mInbox.Waiting());
    const std::vector<wire::FleetMessage> taken = mInbox.Take(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), taken.size());
    CPPUNIT_ASSERT_EQUAL(std::string("two"), taken[0].from_address());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), taken[1].counts().sequence());
  }

  void FullInboxDropsAndCounts()
  {
    Inbox small(100);
    for (int host = 0; host < 50; ++host) {
      CPPUNIT_ASSERT(small.Put(ReportOf("host" + std::to_string(host), 1)));
    }
    CPPUNIT_ASSERT(small.Waiting() < 15);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(50), small.Waiting() + small.Dropped());
    (void)small.Take(50);
    CPPUNIT_ASSERT(small.Put(ReportOf("host1", 2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), small.Waiting());
  }

  void UnreadableMessageIsRefused()
  {
    CPPUNIT_ASSERT(!mInbox.Put("\xff\xff\xff"));
    CPPUNIT_ASSERT(mInbox.IsEmpty());
  }

private:
  Inbox mInbox;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InboxTest);

} // namespace geraniumpond::fleet
