#include <geraniumpond/control.h>

#include <geraniumpond/text_delta.h>

#include <algorithm>

namespace geraniumpond::control {

namespace {

wire::ChangeOutcome Decide(const State& aState,
                           const wire::ApplyDeployment& aApply)
{
  wire::ChangeOutcome outcome;
  outcome.set_change_id(aApply.change_id());
  outcome.set_operator_name(aApply.operator_name());
  outcome.set_decided_at_us(aState.mTime);
  const wire::DeploymentVersion* latest = Latest(aState);
  const std::uint64_t version = latest == nullptr ? 0 : latest->version();
  outcome.set_accepted(aApply.expected_version() == version);
  if (outcome.accepted()) {
    outcome.set_version(version + 1);
    return outcome;
  }
  outcome.set_version(version);
  outcome.set_reason(
    "expected version " + std::to_string(aApply.expected_version()) +
    ", in force is version " + std::to_string(version) +
    (latest == nullptr
       ? std::string()
       : " by " + latest->operator_name() + ", change " + latest->change_id()));
  return outcome;
}

// The caller has checked the expected version, so that the base of a delta is
// the current deployment.
std::string TextOf(const State& aState, const wire::ApplyDeployment& aApply)
{
  const wire::DeploymentVersion* latest = Latest(aState);
  if (!aApply.has_delta() || latest == nullptr) {
    return aApply.text();
  }
  return text_delta::Apply(latest->text(), aApply.delta()).value();
}

void StoreOutcome(State& aState, const wire::ChangeOutcome& aOutcome)
{
  aState.mChanges[aOutcome.change_id()] = aOutcome;
  aState.mChangeOrder.push_back(aOutcome.change_id());
  if (aState.mChangeOrder.size() > kMaxChanges) {
    aState.mChanges.erase(aState.mChangeOrder.front());
    aState.mChangeOrder.pop_front();
  }
}

wire::ChangeOutcome ApplyDeployment(State& aState,
                                    const wire::ApplyDeployment& aApply)
{
  const auto known = aState.mChanges.find(aApply.change_id());
  if (known != aState.mChanges.end()) {
    return known->second;
  }
  wire::ChangeOutcome outcome = Decide(aState, aApply);
  StoreOutcome(aState, outcome);
  if (!outcome.accepted()) {
    return outcome;
  }
  wire::DeploymentVersion version;
  version.set_version(outcome.version());
  version.set_text(TextOf(aState, aApply));
  version.set_change_id(aApply.change_id());
  version.set_operator_name(aApply.operator_name());
  version.set_decided_at_us(aState.mTime);
  aState.mHistory.push_back(std::move(version));
  if (aState.mHistory.size() > kMaxHistory) {
    aState.mHistory.pop_front();
  }
  return outcome;
}

} // namespace

void Compact(const State& aState, wire::Command& aCommand)
{
  const wire::DeploymentVersion* latest = Latest(aState);
  if (!aCommand.has_apply() || latest == nullptr ||
      aCommand.apply().expected_version() != latest->version()) {
    return;
  }
  wire::ApplyDeployment& apply = *aCommand.mutable_apply();
  *apply.mutable_delta() = text_delta::MakeDelta(latest->text(), apply.text());
  apply.clear_text();
}

wire::CommandOutcome Apply(State& aState, const wire::Command& aCommand)
{
  aState.mTime = std::max(aState.mTime, aCommand.proposed_at_us());
  wire::CommandOutcome outcome;
  switch (aCommand.body_case()) {
    case wire::Command::kApply:
      *outcome.mutable_change() = ApplyDeployment(aState, aCommand.apply());
      break;
    case wire::Command::kClaim:
      *outcome.mutable_record() =
        idempotency::Claim(aState.mKeys, aCommand.claim(), aState.mTime);
      break;
    case wire::Command::kComplete:
      *outcome.mutable_record() =
        idempotency::Complete(aState.mKeys, aCommand.complete());
      break;
    case wire::Command::kRelease:
      *outcome.mutable_record() =
        idempotency::Release(aState.mKeys, aCommand.release(), aState.mTime);
      break;
    case wire::Command::BODY_NOT_SET:
      break;
  }
  return outcome;
}

const wire::DeploymentVersion* Latest(const State& aState) noexcept
{
  return aState.mHistory.empty() ? nullptr : &aState.mHistory.back();
}

std::string Save(const State& aState)
{
  wire::ControlState saved;
  for (const wire::DeploymentVersion& version : aState.mHistory) {
    *saved.add_history() = version;
  }
  for (const std::string& id : aState.mChangeOrder) {
    *saved.add_changes() = aState.mChanges.at(id);
  }
  for (const auto& [key, record] : aState.mKeys.mRecords) {
    *saved.add_records() = record;
  }
  saved.set_time_us(aState.mTime);
  return saved.SerializeAsString();
}

Result<State> Load(const std::string& aBytes)
{
  wire::ControlState saved;
  if (!saved.ParseFromString(aBytes)) {
    return Fail(ErrorCode::Corrupt, "control state does not parse");
  }
  State state;
  for (const wire::DeploymentVersion& version : saved.history()) {
    state.mHistory.push_back(version);
  }
  for (const wire::ChangeOutcome& outcome : saved.changes()) {
    StoreOutcome(state, outcome);
  }
  for (const wire::KeyRecord& record : saved.records()) {
    state.mKeys.mRecords[record.key()] = record;
    state.mKeys.mExpiries.insert({ record.expires_at_us(), record.key() });
  }
  state.mTime = saved.time_us();
  return state;
}

} // namespace geraniumpond::control
