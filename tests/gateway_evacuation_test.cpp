#include "fakes/gateway_world.h"
#include "fakes/running_gateway.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::gateway {

namespace {

using fakes::EvacuationOrder;
using fakes::GatewayLoad;
using fakes::GatewayWorld;
using fakes::TargetArrival;

namespace net = Poco::Net;

constexpr const char* kDataCentre = "dc1";
constexpr const char* kOrderPath = "/evacuations/dc1";
constexpr const char* kPolicy = "[policy]\nversion = 1\nbase = 0\n"
                                "[service s]\nhealth_path = /health\n"
                                "[route r]\nhost = h.example\nprefix = /\n"
                                "kind = safe\ntimeout = 2s\n"
                                "objective = 1s\nattempts = 1\n"
                                "backends = s:1\n";
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
  CPPUNIT_TEST(OrderThatIsSentAgainBuildsOnWhatTheGroupTold);
  CPPUNIT_TEST(LateOrderDoesNotUndoALaterOne);
  CPPUNIT_TEST(LateOrderAtAHostThatIsBehindDoesNotUndoALaterOne);
  CPPUNIT_TEST(OrderSentAfterALaterOneIsTaken);
  CPPUNIT_TEST(OrderOverAConnectionFromBeforeALaterOneIsUnclear);
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
    late.mNow = world.Now() + kMillisecond;
    late.mBody = answer;
    const std::optional<OperationOutcome> end = EndOf(Step(state, late));
    CPPUNIT_ASSERT(end && *end == OperationOutcome::Unavailable);
  }

  // Guards against operators who are refused by a host that is behind until it
  // has heard of the later order.
  void OrderThatIsSentAgainBuildsOnWhatTheGroupTold()
  {
    GatewayWorld world(GatewayLoad(), 10);
    world.Settle();
    State state = world.At(world.Hosts() - 1);
    (void)Order(state, world.Now(), true, state.mSteps);
    PeerMessage answer;
    wire::SubmitReply& reply = *answer.mMessage.mutable_submit_reply();
    reply.set_id(state.mOperations.begin()->first);
    reply.set_status(wire::SUBMIT_COMMITTED);
    reply.mutable_outcome()->set_evacuation_revision(7);
    Event refusal;
    refusal.mNow = world.Now();
    refusal.mBody = answer;
    (void)Step(state, refusal);
    CPPUNIT_ASSERT(state.mOperations.empty());
    CPPUNIT_ASSERT(!Order(state, world.Now(), true, state.mSteps));
    CPPUNIT_ASSERT_EQUAL(
      std::uint64_t(7),
      state.mOperations.begin()->second.mEvacuation.base_revision());
  }

  // Guards against an evacuation that an order to the opposite undoes which was
  // sent before it and held up, and against the reverse.
  void LateOrderDoesNotUndoALaterOne()
  {
    for (const bool late : { false, true }) {
      GatewayWorld world(GatewayLoad(), 11);
      world.Settle();
      const std::size_t host = world.Hosts() - 1;
      const std::uint64_t sentAfter = world.At(host).mSteps;
      world.OrderEvacuation(kDataCentre, !late);
      world.Advance(2 * kSecond);
      CPPUNIT_ASSERT(world.mEvacuationOrders.back().mAcknowledgedAt != 0);
      State state = world.At(host);
      const std::optional<OperationOutcome> end =
        Order(state, world.Now(), late, sentAfter);
      CPPUNIT_ASSERT(end && *end == OperationOutcome::Unavailable);
      CPPUNIT_ASSERT(state.mOperations.empty());
    }
  }

  // Guards against the same at a host that reads the late order before it hears
  // of the later one.
  void LateOrderAtAHostThatIsBehindDoesNotUndoALaterOne()
  {
    GatewayWorld world(GatewayLoad(), 12);
    world.Settle();
    const std::size_t host = world.Hosts() - 1;
    const State before = world.At(host);
    world.OrderEvacuation(kDataCentre, true);
    world.Advance(2 * kSecond);
    State state = before;
    CPPUNIT_ASSERT(!Order(state, world.Now(), false, before.mSteps));
    const wire::SetEvacuation& order =
      state.mOperations.begin()->second.mEvacuation;
    CPPUNIT_ASSERT(
      order.base_revision() <
      catalog::EvacuationRevision(world.At(0).mFleet.mCatalog, kDataCentre));
  }

  void OrderSentAfterALaterOneIsTaken()
  {
    GatewayWorld world(GatewayLoad(), 13);
    Begin(world);
    State state = world.At(world.Hosts() - 1);
    CPPUNIT_ASSERT(!Order(state, world.Now(), false, state.mSteps));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.mOperations.size());
  }

  // Guards against the same over TCP. Over that connection the order is taken
  // when it comes again, since it was sent after an answer then.
  void OrderOverAConnectionFromBeforeALaterOneIsUnclear()
  {
    fakes::RunningGateway host;
    CPPUNIT_ASSERT(host.Announce(kPolicy, "127.0.0.1:9"));
    net::StreamSocket held(host.CallAddress());
    CPPUNIT_ASSERT_EQUAL(200, CallOver(held, "GET", "/ready"));
    net::StreamSocket fresh(host.CallAddress());
    CPPUNIT_ASSERT_EQUAL(200, CallOver(fresh, "PUT", kOrderPath));
    CPPUNIT_ASSERT_EQUAL(503, CallOver(held, "DELETE", kOrderPath));
    CPPUNIT_ASSERT_EQUAL(200, CallOver(held, "DELETE", kOrderPath));
    CPPUNIT_ASSERT_EQUAL(503, CallOver(fresh, "PUT", kOrderPath));
  }

private:
  // Status of the answer to a call without a body.
  static int CallOver(net::StreamSocket& aSocket,
                      const std::string& aMethod,
                      const std::string& aPath)
  {
    const std::string call = aMethod + " " + aPath +
                             " HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 0\r\n\r\n";
    aSocket.sendBytes(call.data(), static_cast<int>(call.size()));
    aSocket.setReceiveTimeout(Poco::Timespan(2, 0));
    std::string answer(4096, '\0');
    const int size =
      aSocket.receiveBytes(answer.data(), static_cast<int>(answer.size()));
    answer.resize(static_cast<std::size_t>(std::max(0, size)));
    const std::size_t at = answer.find(' ');
    return at == std::string::npos ? 0 : std::stoi(answer.substr(at + 1));
  }

  // How an order ends, if it is answered at once.
  static std::optional<OperationOutcome> Order(State& aState,
                                               Micros aNow,
                                               bool aEvacuated,
                                               std::uint64_t aSentAfterStep)
  {
    Event event;
    event.mNow = aNow;
    event.mBody = SetEvacuation{ 1, kDataCentre, aEvacuated, aSentAfterStep };
    return EndOf(Step(aState, event));
  }

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
