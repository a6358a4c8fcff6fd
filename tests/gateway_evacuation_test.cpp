#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::EvacuationOrder;
using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

constexpr const char* kDataCentre = "dc1";
/// Time within which an order is acknowledged while the group is stable.
constexpr Micros kAcknowledged = 1 * kSecond;
/// Time within which an acknowledged order is in force at all hosts.
constexpr Micros kInForce = 2 * kSecond;
/// The same after the control group was disturbed.
constexpr Micros kInForceAfterLosses = 5 * kSecond;
constexpr std::uint64_t kSeeds = 6;
constexpr std::size_t kControlHosts = 4;

std::size_t ArrivalsAt(const GatewayWorld& aWorld,
                       const std::string& aDataCentre,
                       Micros aFrom,
                       Micros aUntil)
{
  return static_cast<std::size_t>(
    std::count_if(aWorld.mArrivals.begin(),
                  aWorld.mArrivals.end(),
                  [&](const TargetArrival& aArrival) {
                    return aArrival.mDataCentre == aDataCentre &&
                           aArrival.mAt >= aFrom && aArrival.mAt < aUntil;
                  }));
}

} // namespace

/// \brief An operator withdraws the targets of a data centre from service and
/// returns them to it, while hosts and the control group fail.
class GatewayEvacuationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GatewayEvacuationTest);
  CPPUNIT_TEST(NothingReachesAnEvacuatedDataCentre);
  CPPUNIT_TEST(TargetsAreUsedAgainAfterTheEvacuation);
  CPPUNIT_TEST(OrderSurvivesALossOfAllHosts);
  CPPUNIT_TEST(OrderSurvivesLossesOfTheLeader);
  CPPUNIT_TEST(OrderSurvivesADiskLostRightAfterItsAcknowledgement);
  CPPUNIT_TEST(OrderOutlivesAReplacedControlHost);
  CPPUNIT_TEST(OrderHoldsThoughAcknowledgementsAreLost);
  CPPUNIT_TEST(DelayedCopyOfAnEarlierOrderChangesNothing);
  CPPUNIT_TEST(RequestsAreRefusedAtOnceIfAllDataCentresAreEvacuated);
  CPPUNIT_TEST(UnknownDataCentreIsRefused);
  CPPUNIT_TEST(OrderThatALaterOneOvertookIsUnclear);
  CPPUNIT_TEST_SUITE_END();

public:
  void NothingReachesAnEvacuatedDataCentre()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      Begin(world);
      const EvacuationOrder& order = world.mEvacuationOrders.front();
      CPPUNIT_ASSERT(order.mAcknowledgedAt != 0);
      CPPUNIT_ASSERT(order.mAcknowledgedAt - order.mSentAt < kAcknowledged);
      CPPUNIT_ASSERT(ArrivalsAt(world, kDataCentre, 0, order.mSentAt) > 0);
      const Micros from = order.mAcknowledgedAt + kInForce;
      world.Advance(10 * kSecond);
      ExpectNothing(world, from, seed);
      CPPUNIT_ASSERT(world.mTally.mServed > 0.95 * world.mTally.mOffered);
    }
  }

  void TargetsAreUsedAgainAfterTheEvacuation()
  {
    GatewayWorld world(GatewayLoad(), 7);
    Begin(world);
    world.Advance(4 * kSecond);
    world.OrderEvacuation(kDataCentre, false);
    world.Advance(3 * kSecond);
    const Micros back = world.Now();
    world.Advance(4 * kSecond);
    const double share =
      static_cast<double>(ArrivalsAt(world, kDataCentre, back, world.Now())) /
      (4 * GatewayLoad().mPerSecond);
    CPPUNIT_ASSERT_GREATER(0.15, share);
  }

  void OrderSurvivesALossOfAllHosts()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      Begin(world);
      LoseAllPower(world, world.Hosts());
      // Hosts that start apply no older state, so the order holds at once.
      const Micros from = world.Now();
      world.Advance(15 * kSecond);
      ExpectNothing(world, from, seed);
      CPPUNIT_ASSERT(!world.At(0).mDispatch.mEvacuated.empty());
    }
  }

  void OrderSurvivesLossesOfTheLeader()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      Begin(world);
      const Micros from = world.Now() + kInForceAfterLosses;
      for (int i = 0; i < 3; ++i) {
        const std::size_t leader = world.LeaderHost();
        if (leader < world.Hosts()) {
          world.KillHost(leader);
          world.Advance(2 * kSecond);
          world.StartHost(leader);
        }
        world.Advance(3 * kSecond);
      }
      ExpectNothing(world, from, seed);
    }
  }

  // A host without a disk acknowledges what the leader has committed, so the
  // leader loses its own. Then the power of all hosts is lost.
  void OrderSurvivesADiskLostRightAfterItsAcknowledgement()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      std::optional<std::size_t> wiped;
      world.mOnAcknowledgement = [&](std::size_t aHost) {
        const bool hasDisk = aHost < kControlHosts;
        wiped = hasDisk ? aHost : world.LeaderHost();
        world.WipeHost(*wiped);
        world.Later(1500 * kMillisecond,
                    [&world, &wiped] { world.StartHost(*wiped); });
      };
      Begin(world);
      CPPUNIT_ASSERT(wiped.has_value());
      const EvacuationOrder& order = world.mEvacuationOrders.front();
      world.Advance(4 * kSecond);
      LoseAllPower(world, world.Hosts());
      world.Advance(15 * kSecond);
      ExpectNothing(world, order.mAcknowledgedAt + kInForceAfterLosses, seed);
      CPPUNIT_ASSERT(!world.At(*wiped).mDispatch.mEvacuated.empty());
    }
  }

  void OrderOutlivesAReplacedControlHost()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      Begin(world);
      const std::size_t gone = world.LeaderHost();
      const std::size_t added = world.ReplaceHost(gone);
      const Micros from = world.Now();
      world.Advance(8 * kSecond);
      CPPUNIT_ASSERT(!world.At(added).mDispatch.mEvacuated.empty());
      LoseAllPower(world, gone);
      world.Advance(15 * kSecond);
      ExpectNothing(world, from, seed);
      CPPUNIT_ASSERT(!world.At(added).mDispatch.mEvacuated.empty());
    }
  }

  void OrderHoldsThoughAcknowledgementsAreLost()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      world.mLostAcknowledgements = 0.6;
      Begin(world, 12 * kSecond);
      const EvacuationOrder& order = world.mEvacuationOrders.front();
      CPPUNIT_ASSERT(order.mAcknowledgedAt != 0);
      world.Advance(6 * kSecond);
      ExpectNothing(world, order.mAcknowledgedAt + kInForce, seed);
    }
  }

  // A link that was cut delivers what it held when it works again.
  void DelayedCopyOfAnEarlierOrderChangesNothing()
  {
    int copies = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GatewayWorld world(GatewayLoad(), seed);
      std::optional<std::pair<std::size_t, wire::FleetMessage>> copy;
      world.mLose =
        [&](std::size_t, std::size_t aTo, const wire::FleetMessage& aMessage) {
          if (!copy && IsOrder(aMessage)) {
            copy.emplace(aTo, aMessage);
          }
          return false;
        };
      Begin(world);
      world.OrderEvacuation(kDataCentre, false);
      world.Advance(2 * kSecond);
      CPPUNIT_ASSERT(world.mEvacuationOrders.back().mAcknowledgedAt != 0);
      if (copy) {
        ++copies;
        world.Deliver(copy->first, copy->second);
      }
      world.Advance(2 * kSecond);
      for (std::size_t host = 0; host < world.Hosts(); ++host) {
        CPPUNIT_ASSERT(world.At(host).mDispatch.mEvacuated.empty());
      }
    }
    CPPUNIT_ASSERT(copies > 0);
  }

  void RequestsAreRefusedAtOnceIfAllDataCentresAreEvacuated()
  {
    GatewayWorld world(GatewayLoad(), 9);
    Begin(world);
    for (const char* dataCentre : { "dc0", "dc2", "dc3" }) {
      world.OrderEvacuation(dataCentre, true);
    }
    world.Advance(2 * kSecond);
    world.mCountsFirstTries = true;
    world.Advance(2 * kSecond);
    CPPUNIT_ASSERT(world.mFirstAnswers.size() > 100);
    for (const auto& [status, took] : world.mFirstAnswers) {
      CPPUNIT_ASSERT_EQUAL(503, status);
      CPPUNIT_ASSERT(took <= 20 * kMillisecond);
    }
  }

  void UnknownDataCentreIsRefused()
  {
    GatewayWorld world(GatewayLoad(), 10);
    world.Settle();
    State state = world.At(world.LeaderHost());
    state.mSettings.mDataCentres = { "dc0", "dc1" };
    for (const char* dataCentre : { "", "dc9" }) {
      Event event;
      event.mNow = world.Now();
      event.mBody = SetEvacuation{ 1, dataCentre, true };
      const Effects effects = Step(state, event);
      const auto answer =
        std::find_if(effects.begin(), effects.end(), [](const Effect& aEffect) {
          return std::holds_alternative<AnswerOperation>(aEffect);
        });
      CPPUNIT_ASSERT(answer != effects.end());
      CPPUNIT_ASSERT(std::get<AnswerOperation>(*answer).mEnd ==
                     OperationOutcome::Invalid);
      CPPUNIT_ASSERT(state.mOperations.empty());
    }
  }

  // Callers do not repeat a call that ends in a conflict.
  void OrderThatALaterOneOvertookIsUnclear()
  {
    GatewayWorld world(GatewayLoad(), 10);
    world.Settle();
    State state = world.At(world.Hosts() - 1);
    Event order;
    order.mNow = world.Now();
    order.mBody = SetEvacuation{ 1, kDataCentre, true };
    (void)Step(state, order);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.mOperations.size());
    PeerMessage answer;
    wire::SubmitReply& reply = *answer.mMessage.mutable_submit_reply();
    reply.set_id(state.mOperations.begin()->first);
    reply.set_status(wire::SUBMIT_COMMITTED);
    reply.mutable_outcome()->set_evacuation_revision(7);
    Event late;
    late.mNow = state.mOperations.begin()->second.mGiveUpAt;
    late.mBody = answer;
    const std::optional<OperationOutcome> end = EndOf(Step(state, late));
    CPPUNIT_ASSERT(end && *end == OperationOutcome::Unavailable);
  }

private:
  static std::optional<OperationOutcome> EndOf(const Effects& aEffects)
  {
    for (const Effect& effect : aEffects) {
      if (const auto* answer = std::get_if<AnswerOperation>(&effect)) {
        return answer->mEnd;
      }
    }
    return std::nullopt;
  }

  static bool IsOrder(const wire::FleetMessage& aMessage)
  {
    wire::CatalogCommand command;
    return aMessage.has_submit() &&
           command.ParseFromString(aMessage.submit().command()) &&
           command.has_set_evacuation();
  }

  // All hosts but `aGone` start again one after the other.
  static void LoseAllPower(GatewayWorld& aWorld, std::size_t aGone)
  {
    for (std::size_t host = 0; host < aWorld.Hosts(); ++host) {
      aWorld.KillHost(host);
      if (host != aGone) {
        aWorld.Later(static_cast<Micros>(500 + 37 * host) * kMillisecond,
                     [&aWorld, host] { aWorld.StartHost(host); });
      }
    }
  }

  static void Begin(GatewayWorld& aWorld, Micros aPatience = 4 * kSecond)
  {
    aWorld.Settle();
    aWorld.StartClients(60 * kSecond);
    aWorld.Advance(2 * kSecond);
    aWorld.OrderEvacuation(kDataCentre, true, aPatience);
    aWorld.Advance(aPatience);
  }

  static void ExpectNothing(const GatewayWorld& aWorld,
                            Micros aFrom,
                            std::uint64_t aSeed)
  {
    const std::size_t arrived =
      ArrivalsAt(aWorld, kDataCentre, aFrom, aWorld.Now() + kSecond);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "seed " + std::to_string(aSeed), std::size_t(0), arrived);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayEvacuationTest);

} // namespace geraniumpond::gateway
