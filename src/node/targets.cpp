#include "context.h"

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kUnavailable = 503;

wire::Fact FactOf(const Context& aContext,
                  const wire::TargetAnnounced& aEvent,
                  const wire::Fact* aKnown)
{
  wire::Fact fact;
  fact.set_kind(wire::FACT_TARGET);
  fact.set_service(aEvent.service());
  fact.set_id(aEvent.id());
  fact.set_incarnation(aEvent.incarnation());
  fact.set_address(aEvent.address());
  fact.set_data_centre(aEvent.data_centre());
  fact.set_slots(aEvent.slots());
  fact.set_origin(aContext.Self());
  fact.set_gone(aEvent.leaving());
  fact.set_started_at_us(aContext.mNow);
  fact.set_sequence(1);
  const bool sameLife =
    aKnown != nullptr && aKnown->incarnation() == aEvent.incarnation();
  if (sameLife) {
    fact.set_sequence(aKnown->sequence() + 1);
    fact.set_drain_sequence(aKnown->drain_sequence());
    fact.set_started_at_us(aKnown->started_at_us());
  }
  // A target may start draining itself; only an operator may end a drain.
  if (aEvent.draining() && !membership::IsDraining(fact)) {
    fact.set_drain_sequence(fact.drain_sequence() + 1);
  }
  return fact;
}

bool IsRedundant(const wire::Fact& aKnown, const wire::Fact& aFact)
{
  return aKnown.incarnation() == aFact.incarnation() &&
         aKnown.address() == aFact.address() &&
         aKnown.slots() == aFact.slots() && aKnown.origin() == aFact.origin() &&
         aKnown.gone() == aFact.gone() &&
         aKnown.drain_sequence() == aFact.drain_sequence();
}

void Renew(Context& aContext,
           const wire::TargetAnnounced& aEvent,
           const Service& aService)
{
  State& state = aContext.mState;
  const membership::FactKey key = { wire::FACT_TARGET,
                                    aEvent.service(),
                                    aEvent.id() };
  const wire::Fact* known = membership::Find(state.mDirectory, key);
  const wire::Fact fact = FactOf(aContext, aEvent, known);
  state.mLeases[key] = aContext.mNow + aService.mLease;
  if (known == nullptr || !IsRedundant(*known, fact)) {
    Publish(aContext, fact);
  }
}

void HandleLoadReport(Context& aContext, const wire::TargetAnnounced& aEvent)
{
  State& state = aContext.mState;
  if (!aEvent.load().present()) {
    return;
  }
  budget::TokenBucket& bucket =
    state.mReportBudgets[aEvent.service() + "/" + aEvent.id()];
  bucket.mPerSecond = state.mDeployment.mBudget.mReportsPerTarget;
  bucket.mBurst = bucket.mPerSecond;
  if (!budget::Take(bucket, aContext.mNow, 1)) {
    aContext.Count("load_reports_over_budget");
    return;
  }
  aContext.Count("load_reports_announced");
  routing::Report(state.mServices[aEvent.service()].mTargets,
                  aEvent.id(),
                  aEvent.load().in_flight(),
                  aContext.mNow);
}

} // namespace

void HandleAnnouncement(Context& aContext, const wire::TargetAnnounced& aEvent)
{
  State& state = aContext.mState;
  const auto answer = [&](std::uint32_t aStatus, const std::string& aBody) {
    AnswerOperation(aContext, aEvent.operation(), aStatus, aBody);
  };
  if (state.mVersion.version() == 0) {
    answer(kUnavailable, ErrorJson("not-ready", "no deployment yet"));
    return;
  }
  if (state.mStopping) {
    answer(kUnavailable, ErrorJson("stopping", "announce to another host"));
    return;
  }
  const auto service = state.mDeployment.mServices.find(aEvent.service());
  if (service == state.mDeployment.mServices.end()) {
    aContext.Count("announces_unknown_service");
    answer(kNotFound, ErrorJson("not-found", "no such service"));
    return;
  }
  if (service->second.mTargetTokenSha256 != aEvent.token_sha256()) {
    aContext.Count("announces_unauthorized");
    answer(kUnauthorized, ErrorJson("unauthorized", "wrong target token"));
    return;
  }
  const wire::Fact* known = membership::Find(
    state.mDirectory, { wire::FACT_TARGET, aEvent.service(), aEvent.id() });
  if (known != nullptr && known->incarnation() > aEvent.incarnation()) {
    aContext.Count("announces_old_incarnation");
    answer(kConflict, ErrorJson("conflict", "a later incarnation is known"));
    return;
  }
  Renew(aContext, aEvent, service->second);
  HandleLoadReport(aContext, aEvent);
  const wire::Fact* fact = membership::Find(
    state.mDirectory, { wire::FACT_TARGET, aEvent.service(), aEvent.id() });
  const Micros lease = service->second.mLease / kMillisecond;
  answer(kOk,
         "{\"lease_ms\":" + std::to_string(lease) +
           ",\"renew_ms\":" + std::to_string(lease / 3) + ",\"draining\":" +
           (membership::IsDraining(*fact) ? "true" : "false") + "}");
}

} // namespace geraniumpond::node
