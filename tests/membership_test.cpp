#include <geraniumpond/membership.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace geraniumpond::membership {

namespace {

wire::Fact TargetFact(std::uint64_t aIncarnation,
                      std::uint64_t aSequence,
                      std::uint64_t aDrain,
                      const std::string& aOrigin = "a")
{
  wire::Fact fact;
  fact.set_kind(wire::FACT_TARGET);
  fact.set_service("s");
  fact.set_id("t");
  fact.set_incarnation(aIncarnation);
  fact.set_sequence(aSequence);
  fact.set_drain_sequence(aDrain);
  fact.set_origin(aOrigin);
  return fact;
}

wire::Fact HostFact(const std::string& aId, const std::string& aDataCentre)
{
  wire::Fact fact;
  fact.set_kind(wire::FACT_HOST);
  fact.set_id(aId);
  fact.set_incarnation(1);
  fact.set_sequence(1);
  fact.set_data_centre(aDataCentre);
  fact.set_entry_role(true);
  return fact;
}

// Reference implementation, which examines all facts regardless of order.
wire::Fact ReferenceMerge(const std::vector<wire::Fact>& aFacts)
{
  std::uint64_t incarnation = 0;
  for (const wire::Fact& fact : aFacts) {
    incarnation = std::max(incarnation, fact.incarnation());
  }
  wire::Fact joined;
  std::uint64_t drain = 0;
  for (const wire::Fact& fact : aFacts) {
    if (fact.incarnation() != incarnation) {
      continue;
    }
    drain = std::max(drain, fact.drain_sequence());
    if (std::pair(fact.sequence(), fact.origin()) >=
        std::pair(joined.sequence(), joined.origin())) {
      joined = fact;
    }
  }
  joined.set_drain_sequence(drain);
  return joined;
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(MergeInAnyOrderMatchesTheReference);
  CPPUNIT_TEST(DrainIsNotUndoneByAnOlderReport);
  CPPUNIT_TEST(DigestsMatchOnlyWhenFactsMatch);
  CPPUNIT_TEST(FewEntriesOfAServiceChangeWhenAHostLeaves);
  CPPUNIT_TEST(RecipientsIncludeOneRelayInEachOtherDataCentre);
  CPPUNIT_TEST(SuccessorsWrapAroundTheRing);
  CPPUNIT_TEST(RemoveGoneKeepsFactsThatLeftRecently);
  CPPUNIT_TEST_SUITE_END();

public:
  void MergeInAnyOrderMatchesTheReference()
  {
    std::mt19937_64 random(7);
    for (int round = 0; round < 500; ++round) {
      std::vector<wire::Fact> facts;
      facts.reserve(6);
      for (int i = 0; i < 6; ++i) {
        facts.push_back(TargetFact(1 + random() % 2,
                                   1 + random() % 4,
                                   random() % 4,
                                   random() % 2 == 0 ? "a" : "b"));
      }
      // A writer never uses the same sequence for two facts.
      std::sort(facts.begin(), facts.end(), Before);
      facts.erase(std::unique(facts.begin(), facts.end(), SameLease),
                  facts.end());
      const wire::Fact expected = ReferenceMerge(facts);
      std::shuffle(facts.begin(), facts.end(), random);
      Directory directory;
      for (const wire::Fact& fact : facts) {
        Merge(directory, fact, 0);
        Merge(directory, facts[random() % facts.size()], 0);
      }
      for (const wire::Fact& fact : facts) {
        Merge(directory, fact, 0);
      }
      CPPUNIT_ASSERT_EQUAL(
        expected.SerializeAsString(),
        Find(directory, KeyOf(expected))->SerializeAsString());
    }
  }

  void DrainIsNotUndoneByAnOlderReport()
  {
    Directory directory;
    Merge(directory, TargetFact(1, 1, 0), 0);
    Merge(directory, TargetFact(1, 1, 1), 0);
    Merge(directory, TargetFact(1, 9, 0), 0);
    const wire::Fact* fact = Find(directory, { wire::FACT_TARGET, "s", "t" });
    CPPUNIT_ASSERT(IsDraining(*fact));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), fact->sequence());
    Merge(directory, TargetFact(2, 1, 0), 0);
    CPPUNIT_ASSERT(!IsDraining(*fact));
  }

  void DigestsMatchOnlyWhenFactsMatch()
  {
    Directory left;
    Directory right;
    Merge(left, TargetFact(1, 1, 0), 0);
    Merge(left, HostFact("h", "dc"), 0);
    Merge(right, HostFact("h", "dc"), 5);
    CPPUNIT_ASSERT(left.mRoot != right.mRoot);
    CPPUNIT_ASSERT_EQUAL(left.mDigests[""], right.mDigests[""]);
    Merge(right, TargetFact(1, 1, 0), 9);
    CPPUNIT_ASSERT_EQUAL(left.mRoot, right.mRoot);
    Merge(right, TargetFact(1, 1, 1), 9);
    CPPUNIT_ASSERT(left.mRoot != right.mRoot);
  }

  void FewEntriesOfAServiceChangeWhenAHostLeaves()
  {
    Directory directory;
    for (int i = 0; i < 16; ++i) {
      Merge(directory, HostFact("h" + std::to_string(i), "dc"), 0);
    }
    int moved = 0;
    wire::Fact gone = HostFact("h3", "dc");
    gone.set_sequence(2);
    gone.set_gone(true);
    Directory after = directory;
    Merge(after, gone, 0);
    for (int s = 0; s < 100; ++s) {
      const std::string service = "s" + std::to_string(s);
      const auto before = EntriesOf(directory, service, 4);
      const auto now = EntriesOf(after, service, 4);
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), now.size());
      for (const wire::Fact* host : before) {
        const bool kept =
          std::any_of(now.begin(), now.end(), [&](const wire::Fact* aOther) {
            return aOther->id() == host->id();
          });
        CPPUNIT_ASSERT(kept || host->id() == "h3");
        moved += kept ? 0 : 1;
      }
    }
    CPPUNIT_ASSERT(moved > 0 && moved < 50);
  }

  void RecipientsIncludeOneRelayInEachOtherDataCentre()
  {
    Directory directory;
    for (int i = 0; i < 12; ++i) {
      Merge(directory,
            HostFact("h" + std::to_string(i), "dc" + std::to_string(i % 4)),
            0);
    }
    const ChangeRecipients recipients =
      SelectRecipients(directory, "h0", "dc0", 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), recipients.mLocal.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), recipients.mRelays.size());
  }

  void SuccessorsWrapAroundTheRing()
  {
    Directory directory;
    for (const char* id : { "a", "b", "c", "d" }) {
      Merge(directory, HostFact(id, "dc"), 0);
    }
    const auto next = Successors(directory, "c", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), next[0]->id());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), next[1]->id());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Successors(directory, "a", 9).size());
  }

  void RemoveGoneKeepsFactsThatLeftRecently()
  {
    Directory directory;
    wire::Fact gone = TargetFact(1, 1, 0);
    gone.set_gone(true);
    Merge(directory, gone, 100);
    Merge(directory, HostFact("h", "dc"), 0);
    RemoveGone(directory, 200, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory.mFacts.size());
    RemoveGone(directory, 201, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.mFacts.size());
    CPPUNIT_ASSERT_EQUAL(directory.mDigests[""], directory.mRoot);
  }

private:
  static bool Before(const wire::Fact& aLeft, const wire::Fact& aRight)
  {
    return std::tuple(aLeft.incarnation(), aLeft.sequence(), aLeft.origin()) <
           std::tuple(aRight.incarnation(), aRight.sequence(), aRight.origin());
  }
  static bool SameLease(const wire::Fact& aLeft, const wire::Fact& aRight)
  {
    return !Before(aLeft, aRight) && !Before(aRight, aLeft);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace geraniumpond::membership
