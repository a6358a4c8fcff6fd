#include "fakes/evacuation_operators.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr int kOperators = 3;
/// A host answers within the first; an operator turns elsewhere after the
/// second.
constexpr Micros kHostTimeout = 850 * kMillisecond;
constexpr Micros kPatience = kSecond;
/// Longer than a change may take to be in force, so that some orders are seen
/// in force alone.
constexpr Micros kLongestPause = 5 * kSecond;
constexpr Micros kLongestHold = 4 * kSecond;

std::optional<wire::SetEvacuation> OrderIn(const wire::FleetMessage& aMessage)
{
  wire::CatalogCommand command;
  if (!aMessage.has_submit() ||
      !command.ParseFromString(aMessage.submit().command()) ||
      !command.has_set_evacuation()) {
    return std::nullopt;
  }
  return command.set_evacuation();
}

catalog::Evacuation KnownAt(const FleetNode& aNode,
                            const std::string& aDataCentre)
{
  const auto& known = aNode.mState.mCatalog.mEvacuations;
  const auto found = known.find(aDataCentre);
  return found == known.end() ? catalog::Evacuation() : found->second;
}

std::string Describe(const catalog::Evacuation& aKnown)
{
  return std::string(aKnown.mActive ? "evacuated" : "in service") +
         ", revision " + std::to_string(aKnown.mRevision);
}

} // namespace

EvacuationOperators::EvacuationOperators(FleetSimulation& aSimulation,
                                         std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mRandom(aSeed)
{
  for (int i = 0; i < kOperators; ++i) {
    mOperators.emplace_back().mDataCentre = "dc-" + std::to_string(i);
  }
}

// A link that holds orders holds the host's repetitions as well.
void EvacuationOperators::SendNext(Operator& aOperator,
                                   const std::string& aHost)
{
  const bool first = aOperator.mOrders.empty();
  const Order last = first ? Order() : aOperator.mOrders.back();
  const bool answered = first || last.mAcknowledgedAt != 0;
  const bool repeats = mRandom() % 4 < (answered ? 1 : 2);
  aOperator.mOrders.push_back({ last.mEvacuated == repeats });
  if (mRandom() % 4 == 0) {
    mHeldUntil[aHost] = mSimulation.mNow + RandomTime(kLongestHold);
  }
  const FleetNode& node = mSimulation.Node(aHost);
  Call call{ aHost, node.mSettings.mIncarnation };
  call.mBase = KnownAt(node, aOperator.mDataCentre).mRevision;
  call.mStartedAt = mSimulation.mNow;
  Submit(aOperator, call);
  aOperator.mCall = call;
}

void EvacuationOperators::Submit(const Operator& aOperator, Call& aCall)
{
  wire::CatalogCommand command;
  wire::SetEvacuation& order = *command.mutable_set_evacuation();
  order.set_data_centre(aOperator.mDataCentre);
  order.set_evacuated(aOperator.mOrders.back().mEvacuated);
  order.set_base_revision(aCall.mBase);
  order.set_always_raises(true);
  mLogLines.push_back(aOperator.mDataCentre + " at " + aCall.mHost +
                      (order.evacuated() ? " evacuate" : " lift") +
                      ", base revision " + std::to_string(aCall.mBase));
  const Micros left = aCall.mStartedAt + kHostTimeout - mSimulation.mNow;
  aCall.mId = mSimulation.Submit(aCall.mHost, command, left);
}

void EvacuationOperators::End(Operator& aOperator, const std::string& aOutcome)
{
  mLogLines.push_back(aOperator.mDataCentre + " " + aOutcome);
  aOperator.mCall.reset();
  const bool acknowledged = aOperator.mOrders.back().mAcknowledgedAt != 0;
  aOperator.mNextAt =
    mSimulation.mNow + RandomTime(acknowledged ? kLongestPause : kSecond);
}

// An order that was refused for its revision is sent again to the same host, as
// operators may, which builds it on the one that the group answered with.
void EvacuationOperators::TakeAnswer(Operator& aOperator)
{
  Call& call = *aOperator.mCall;
  const FleetNode& node = mSimulation.Node(call.mHost);
  const Micros waited = mSimulation.mNow - call.mStartedAt;
  const bool gone =
    !node.mAlive || node.mSettings.mIncarnation != call.mIncarnation;
  if (gone || waited >= kPatience) {
    End(aOperator, "has no answer");
    return;
  }
  const auto done = node.mOutcomes.find(call.mId);
  if (done == node.mOutcomes.end()) {
    return;
  }
  const wire::CatalogOutcome& outcome = done->second.mOutcome;
  const std::uint64_t revision = outcome.evacuation_revision();
  if (done->second.mEnd != fleet::SubmitResult::Committed) {
    End(aOperator, "is told that it is unclear");
  } else if (outcome.accepted()) {
    Order& order = aOperator.mOrders.back();
    order.mAcknowledgedAt = mSimulation.mNow;
    order.mRevision = revision;
    End(aOperator, "is acknowledged, revision " + std::to_string(revision));
  } else if (waited < kHostTimeout && revision != call.mBase) {
    call.mBase = revision;
    Submit(aOperator, call);
  } else {
    End(aOperator, "is refused, revision " + std::to_string(revision));
  }
}

void EvacuationOperators::DeliverHeld()
{
  while (!mHeld.empty() && mHeld.begin()->first <= mSimulation.mNow) {
    SentMessage sent = std::move(mHeld.begin()->second);
    mHeld.erase(mHeld.begin());
    std::optional<wire::SetEvacuation> order = OrderIn(sent.mMessage);
    if (mIgnoresRevisions && mSimulation.Has(sent.mTo)) {
      wire::CatalogCommand command;
      order->set_base_revision(
        KnownAt(mSimulation.Node(sent.mTo), order->data_centre()).mRevision);
      *command.mutable_set_evacuation() = *order;
      sent.mMessage.mutable_submit()->set_command(command.SerializeAsString());
    }
    mLogLines.push_back(order->data_centre() + " late at " + sent.mTo +
                        (order->evacuated() ? " evacuate" : " lift") +
                        ", base revision " +
                        std::to_string(order->base_revision()));
    mSimulation.Deliver(std::move(sent));
  }
}

void EvacuationOperators::Poll(const std::vector<std::string>& aHosts)
{
  DeliverHeld();
  for (Operator& sender : mOperators) {
    if (sender.mCall) {
      TakeAnswer(sender);
    } else if (mSimulation.mNow >= sender.mNextAt && !aHosts.empty()) {
      const std::string& host = aHosts[mRandom() % aHosts.size()];
      if (mSimulation.mSuspended.count(host) == 0) {
        SendNext(sender, host);
      }
    }
  }
}

void EvacuationOperators::AcknowledgeEarly(const SentMessage& aSent,
                                           const wire::SetEvacuation& aOrder)
{
  SentMessage reply{ aSent.mTo, aSent.mFrom, {} };
  reply.mMessage.set_from_address(aSent.mTo);
  wire::SubmitReply& forged = *reply.mMessage.mutable_submit_reply();
  forged.set_id(aSent.mMessage.submit().id());
  forged.set_status(wire::SUBMIT_COMMITTED);
  forged.mutable_outcome()->set_accepted(true);
  forged.mutable_outcome()->set_evacuation_revision(aOrder.base_revision() + 1);
  mSimulation.Deliver(std::move(reply));
}

bool EvacuationOperators::Holds(const SentMessage& aSent)
{
  const std::optional<wire::SetEvacuation> order = OrderIn(aSent.mMessage);
  if (!order) {
    return false;
  }
  if (mAcknowledgesEarly) {
    AcknowledgeEarly(aSent, *order);
  }
  const auto held = mHeldUntil.find(aSent.mFrom);
  if (held != mHeldUntil.end() && mSimulation.mNow < held->second) {
    mHeld.emplace(held->second, aSent);
    return true;
  }
  if (mRandom() % 4 == 0) {
    mHeld.emplace(mSimulation.mNow + RandomTime(kLongestHold), aSent);
  }
  return false;
}

std::string EvacuationOperators::Undone(const std::string& aHost) const
{
  for (const Operator& sender : mOperators) {
    const auto& orders = sender.mOrders;
    const auto last =
      std::find_if(orders.rbegin(), orders.rend(), [](const Order& aOrder) {
        return aOrder.mAcknowledgedAt != 0;
      });
    if (last == orders.rend()) {
      continue;
    }
    const catalog::Evacuation known =
      KnownAt(mSimulation.At(aHost), sender.mDataCentre);
    const bool asked =
      last->mEvacuated == known.mActive ||
      (known.mRevision > last->mRevision &&
       std::any_of(orders.rbegin(), last, [&](const Order& aOrder) {
         return aOrder.mEvacuated == known.mActive;
       }));
    if (known.mRevision >= last->mRevision && !asked) {
      return aHost + " has " + sender.mDataCentre + " " + Describe(known) +
             ", not as acknowledged with revision " +
             std::to_string(last->mRevision);
    }
  }
  return "";
}

std::string EvacuationOperators::Lacking(const std::string& aHost,
                                         Micros aAcknowledgedUntil) const
{
  for (const Operator& sender : mOperators) {
    const catalog::Evacuation known =
      KnownAt(mSimulation.At(aHost), sender.mDataCentre);
    for (const Order& order : sender.mOrders) {
      if (order.mAcknowledgedAt != 0 &&
          order.mAcknowledgedAt <= aAcknowledgedUntil &&
          known.mRevision < order.mRevision) {
        return aHost + " has " + sender.mDataCentre + " " + Describe(known) +
               "; revision " + std::to_string(order.mRevision) +
               " was acknowledged " +
               std::to_string((mSimulation.mNow - order.mAcknowledgedAt) /
                              kMillisecond) +
               " ms ago";
      }
    }
  }
  return "";
}

bool EvacuationOperators::AllWereAcknowledged() const
{
  return std::all_of(
    mOperators.begin(), mOperators.end(), [](const Operator& aOperator) {
      return std::any_of(
        aOperator.mOrders.begin(),
        aOperator.mOrders.end(),
        [](const Order& aOrder) { return aOrder.mAcknowledgedAt != 0; });
    });
}

} // namespace geraniumpond::fakes
