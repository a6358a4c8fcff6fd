#include <geraniumpond/catalog.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::catalog {

/// \brief How the catalog handles several incarnations of a target.
class CatalogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatalogTest);
  CPPUNIT_TEST(RestartedTargetInheritsNothing);
  CPPUNIT_TEST(LateAnnouncementOfEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(RemovalOfEarlierIncarnationKeepsLaterOne);
  CPPUNIT_TEST(RemovedIncarnationStaysRemovedButLaterOneIsAccepted);
  CPPUNIT_TEST(TargetWithoutBirthTimeIsIdentifiedById);
  CPPUNIT_TEST(IncarnationCannotChangeServiceOrAddress);
  CPPUNIT_TEST(LaterTargetAtAnAddressReplacesTheEarlierOne);
  CPPUNIT_TEST(LateAnnouncementAtATakenAddressIsIgnored);
  CPPUNIT_TEST(TargetsWithoutBirthTimesMayShareAnAddress);
  CPPUNIT_TEST(RestoredStateKnowsWhoHasAnAddress);
  CPPUNIT_TEST(SnapshotPreservesIncarnations);
  CPPUNIT_TEST(RemovalWithoutBirthBindsWhatItsSenderCanBe);
  CPPUNIT_TEST(RemovalWithoutBirthKeepsALaterIncarnation);
  CPPUNIT_TEST(RemovalWithoutBirthKeepsOutOnlyWhatItRemoved);
  CPPUNIT_TEST(RemovalWithoutBirthOfAnUnknownIdBlocksNoBirth);
  CPPUNIT_TEST(RemovalWithoutBirthKeepsOutATargetWithoutBirth);
  CPPUNIT_TEST(LaterEvacuationIsNotUndoneByAnEarlierCopy);
  CPPUNIT_TEST(OrdersOfEarlierReleasesKeepTheirResult);
  CPPUNIT_TEST(ReplicaThatCountedLessFollowsTheNextOrder);
  CPPUNIT_TEST(ResentEvacuationStaysInForce);
  CPPUNIT_TEST(RepeatedEvacuationIsNotUndoneByAnEarlierLift);
  CPPUNIT_TEST(LiftOfWhatIsInServiceIsNotUndoneByAnEarlierEvacuation);
  CPPUNIT_TEST(SnapshotPreservesEvacuations);
  CPPUNIT_TEST_SUITE_END();

public:
  void RestartedTargetInheritsNothing()
  {
    Announce(kEarly, 90, true);
    Announce(kLate, 1, false);
    const wire::TargetRecord& record = mState.mTargets.at("t");
    CPPUNIT_ASSERT(!record.draining());
    CPPUNIT_ASSERT_EQUAL(kLate, record.born_ms());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), record.sequence());
  }

  void LateAnnouncementOfEarlierIncarnationIsIgnored()
  {
    Announce(kLate, 1, false);
    Announce(kEarly, 91, true);
    CPPUNIT_ASSERT(!mState.mTargets.at("t").draining());
    CPPUNIT_ASSERT_EQUAL(kLate, mState.mTargets.at("t").born_ms());
  }

  void RemovalOfEarlierIncarnationKeepsLaterOne()
  {
    Announce(kLate, 1, false);
    Remove(kEarly);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mState.mTargets.count("t"));
    Announce(kLate, 2, true);
    CPPUNIT_ASSERT(mState.mTargets.at("t").draining());
  }

  void RemovedIncarnationStaysRemovedButLaterOneIsAccepted()
  {
    Announce(kEarly, 1, false);
    Remove(kEarly);
    Announce(kEarly, 9, false);
    CPPUNIT_ASSERT(mState.mTargets.empty());
    Announce(kLate, 1, false);
    CPPUNIT_ASSERT_EQUAL(kLate, mState.mTargets.at("t").born_ms());
  }

  void TargetWithoutBirthTimeIsIdentifiedById()
  {
    Announce(0, 1, false);
    Remove(0);
    Announce(0, 2, false);
    CPPUNIT_ASSERT(mState.mTargets.empty());
  }

  void IncarnationCannotChangeServiceOrAddress()
  {
    Announce(kEarly, 1, false);
    wire::CatalogCommand command = Announcement(kEarly, 2, false);
    command.mutable_put_target()->set_service("other");
    (void)Apply(mState, command);
    command = Announcement(kEarly, 3, false);
    command.mutable_put_target()->set_address("10.9.9.9:80");
    (void)Apply(mState, command);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), mState.mTargets.at("t").service());
    CPPUNIT_ASSERT_EQUAL(std::string("10.9.0.1:80"),
                         mState.mTargets.at("t").address());
  }

  void LaterTargetAtAnAddressReplacesTheEarlierOne()
  {
    Announce(kEarly, 1, false);
    AnnounceOther(kLate);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mState.mTargets.count("t"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mState.mTargets.count("other"));
    CPPUNIT_ASSERT(IsRemoved(mState, "t", kEarly));
    CPPUNIT_ASSERT(!IsRemoved(mState, "t", kLate));
  }

  void LateAnnouncementAtATakenAddressIsIgnored()
  {
    AnnounceOther(kLate);
    CPPUNIT_ASSERT(
      !ChangesState(mState, Announcement(kEarly, 1, false).put_target()));
    Announce(kEarly, 1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mState.mTargets.count("t"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mState.mTargets.count("other"));
  }

  void TargetsWithoutBirthTimesMayShareAnAddress()
  {
    Announce(0, 1, false);
    AnnounceOther(kLate);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mState.mTargets.size());
  }

  void RestoredStateKnowsWhoHasAnAddress()
  {
    AnnounceOther(kLate);
    mState = Load(Save(mState)).value();
    Announce(kEarly, 1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mState.mTargets.count("t"));
    Announce(kLate + 1, 1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mState.mTargets.count("t"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), mState.mTargets.count("other"));
  }

  void SnapshotPreservesIncarnations()
  {
    Announce(kEarly, 1, false);
    Remove(kEarly);
    const std::string bytes = Save(mState);
    mState = Load(bytes).value();
    CPPUNIT_ASSERT_EQUAL(bytes, Save(mState));
    Announce(kEarly, 2, false);
    CPPUNIT_ASSERT(mState.mTargets.empty());
    Announce(kLate, 1, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mState.mTargets.size());
  }

  void RemovalWithoutBirthBindsWhatItsSenderCanBe()
  {
    Announce(kEarly, 1, false);
    CPPUNIT_ASSERT(RemoveBornUntil(kEarly).accepted());
    CPPUNIT_ASSERT(mState.mTargets.empty());
    Announce(kEarly, 2, false);
    CPPUNIT_ASSERT(mState.mTargets.empty());
    CPPUNIT_ASSERT(RemoveBornUntil(kLate).accepted());
  }

  void RemovalWithoutBirthKeepsALaterIncarnation()
  {
    Announce(kLate, 1, false);
    CPPUNIT_ASSERT(RemoveBornUntil(kLate - 1).accepted());
    Announce(kLate, 2, true);
    CPPUNIT_ASSERT(mState.mTargets.at("t").draining());
  }

  // The host that received the call had a clock that is ahead.
  void RemovalWithoutBirthKeepsOutOnlyWhatItRemoved()
  {
    Announce(kEarly, 1, false);
    (void)RemoveBornUntil(kLate + 1);
    Announce(kLate, 1, false);
    CPPUNIT_ASSERT_EQUAL(kLate, mState.mTargets.at("t").born_ms());
  }

  void RemovalWithoutBirthOfAnUnknownIdBlocksNoBirth()
  {
    CPPUNIT_ASSERT(RemoveBornUntil(kLate).accepted());
    CPPUNIT_ASSERT(mState.mTargets.empty());
    Announce(kEarly, 1, false);
    CPPUNIT_ASSERT_EQUAL(kEarly, mState.mTargets.at("t").born_ms());
  }

  void RemovalWithoutBirthKeepsOutATargetWithoutBirth()
  {
    (void)RemoveBornUntil(kLate);
    Announce(0, 1, false);
    CPPUNIT_ASSERT(mState.mTargets.empty());
  }

  void LaterEvacuationIsNotUndoneByAnEarlierCopy()
  {
    CPPUNIT_ASSERT(Evacuate(true, 0).accepted());
    CPPUNIT_ASSERT(Evacuate(false, 1).accepted());
    const wire::CatalogOutcome late = Evacuate(true, 0);
    CPPUNIT_ASSERT(!late.accepted());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), late.evacuation_revision());
    CPPUNIT_ASSERT(EvacuatedDataCentres(mState).empty());
    CPPUNIT_ASSERT(Evacuate(true, 2).accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         EvacuatedDataCentres(mState).count("dc"));
  }

  // The sender of a copy builds it on the revision that it is told.
  void ResentEvacuationStaysInForce()
  {
    CPPUNIT_ASSERT(Evacuate(true, 0).accepted());
    const wire::CatalogOutcome resent = Evacuate(true, 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), resent.evacuation_revision());
    CPPUNIT_ASSERT(Evacuate(true, resent.evacuation_revision()).accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         EvacuatedDataCentres(mState).count("dc"));
  }

  void RepeatedEvacuationIsNotUndoneByAnEarlierLift()
  {
    CPPUNIT_ASSERT(Evacuate(true, 0).accepted());
    CPPUNIT_ASSERT(Evacuate(true, 1).accepted());
    CPPUNIT_ASSERT(!Evacuate(false, 1).accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         EvacuatedDataCentres(mState).count("dc"));
  }

  void LiftOfWhatIsInServiceIsNotUndoneByAnEarlierEvacuation()
  {
    CPPUNIT_ASSERT(Evacuate(false, 0).accepted());
    CPPUNIT_ASSERT(!Evacuate(true, 0).accepted());
    CPPUNIT_ASSERT(EvacuatedDataCentres(mState).empty());
  }

  void SnapshotPreservesEvacuations()
  {
    (void)Evacuate(true, 0);
    (void)Evacuate(false, 1);
    (void)Evacuate(true, 2);
    const std::string bytes = Save(mState);
    mState = Load(bytes).value();
    CPPUNIT_ASSERT_EQUAL(bytes, Save(mState));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), EvacuationRevision(mState, "dc"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         EvacuatedDataCentres(mState).count("dc"));
  }

  // Their orders for what is in force did not raise the revision.
  void OrdersOfEarlierReleasesKeepTheirResult()
  {
    mAlwaysRaises = false;
    CPPUNIT_ASSERT(Evacuate(true, 0).accepted());
    CPPUNIT_ASSERT(Evacuate(true, 1).accepted());
    CPPUNIT_ASSERT(Evacuate(false, 1).accepted());
    CPPUNIT_ASSERT(EvacuatedDataCentres(mState).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), EvacuationRevision(mState, "dc"));
  }

  void ReplicaThatCountedLessFollowsTheNextOrder()
  {
    CPPUNIT_ASSERT(Evacuate(true, 3).accepted());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), EvacuationRevision(mState, "dc"));
    CPPUNIT_ASSERT(!Evacuate(false, 3).accepted());
  }

private:
  bool mAlwaysRaises = true;

  wire::CatalogOutcome Evacuate(bool aEvacuated, std::uint64_t aBaseRevision)
  {
    wire::CatalogCommand command;
    wire::SetEvacuation& change = *command.mutable_set_evacuation();
    change.set_data_centre("dc");
    change.set_evacuated(aEvacuated);
    change.set_base_revision(aBaseRevision);
    change.set_always_raises(mAlwaysRaises);
    return Apply(mState, command);
  }

  static constexpr std::uint64_t kEarly = 1790000000000;
  static constexpr std::uint64_t kLate = 1790000060000;

  static wire::CatalogCommand Announcement(std::uint64_t aBornMs,
                                           std::uint64_t aSequence,
                                           bool aDraining)
  {
    wire::CatalogCommand command;
    wire::TargetRecord& record = *command.mutable_put_target();
    record.set_id("t");
    record.set_service("s");
    record.set_address("10.9.0.1:80");
    record.set_slots(4);
    record.set_born_ms(aBornMs);
    record.set_sequence(aSequence);
    record.set_draining(aDraining);
    return command;
  }

  void Announce(std::uint64_t aBornMs, std::uint64_t aSequence, bool aDraining)
  {
    (void)Apply(mState, Announcement(aBornMs, aSequence, aDraining));
  }

  void AnnounceOther(std::uint64_t aBornMs)
  {
    wire::CatalogCommand command = Announcement(aBornMs, 1, false);
    command.mutable_put_target()->set_id("other");
    (void)Apply(mState, command);
  }

  void Remove(std::uint64_t aBornMs)
  {
    wire::CatalogCommand command;
    command.mutable_remove_target()->set_id("t");
    command.mutable_remove_target()->set_born_ms(aBornMs);
    (void)Apply(mState, command);
  }

  wire::CatalogOutcome RemoveBornUntil(std::uint64_t aBornMs)
  {
    wire::CatalogCommand command;
    command.mutable_remove_target()->set_id("t");
    command.mutable_remove_target()->set_born_ms(aBornMs);
    command.mutable_remove_target()->set_unstated(true);
    return Apply(mState, command);
  }

  State mState;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogTest);

} // namespace geraniumpond::catalog
