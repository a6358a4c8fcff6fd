#include "context.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace geraniumpond::node {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kUnauthorized = 401;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kConflict = 409;
constexpr Micros kApplyPatience = 10 * kSecond;
constexpr std::size_t kMaxChangeId = 100;

std::string Write(const Poco::JSON::Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

bool IsOperator(Context& aContext,
                std::uint64_t aOperation,
                const std::string& aToken)
{
  if (aToken == aContext.mState.mSettings.operator_token_sha256()) {
    return true;
  }
  aContext.Count("operators_unauthorized");
  AnswerOperation(aContext,
                  aOperation,
                  kUnauthorized,
                  ErrorJson("unauthorized", "wrong operator token"));
  return false;
}

std::string FaultsJson(const std::vector<Fault>& aFaults)
{
  Poco::JSON::Array faults;
  for (const std::string& fault : FirstFaults(aFaults)) {
    faults.add(fault);
  }
  Poco::JSON::Object object;
  object.set("error", "invalid-argument");
  object.set("message", "the deployment has faults; nothing was changed");
  object.set("faults", faults);
  return Write(object);
}

} // namespace

std::string ErrorJson(const std::string& aCode, const std::string& aMessage)
{
  Poco::JSON::Object object;
  object.set("error", aCode);
  object.set("message", aMessage);
  return Write(object);
}

void AnswerOperation(Context& aContext,
                     std::uint64_t aOperation,
                     std::uint32_t aStatus,
                     const std::string& aBody)
{
  wire::OperationAnswer& answer = *aContext.Add().mutable_operation();
  answer.set_operation(aOperation);
  answer.set_status(aStatus);
  answer.set_body(aBody);
}

void AnswerChange(Context& aContext,
                  std::uint64_t aOperation,
                  const wire::ChangeOutcome& aOutcome)
{
  Poco::JSON::Object object;
  object.set("change_id", aOutcome.change_id());
  object.set("accepted", aOutcome.accepted());
  object.set("version", static_cast<Poco::UInt64>(aOutcome.version()));
  if (!aOutcome.reason().empty()) {
    object.set("message", aOutcome.reason());
  }
  AnswerOperation(
    aContext, aOperation, aOutcome.accepted() ? kOk : kConflict, Write(object));
}

void HandleApply(Context& aContext, const wire::OperatorApply& aEvent)
{
  if (!IsOperator(aContext, aEvent.operation(), aEvent.token_sha256())) {
    return;
  }
  const std::string& changeId = aEvent.apply().change_id();
  if (changeId.empty() || changeId.size() > kMaxChangeId) {
    AnswerOperation(
      aContext,
      aEvent.operation(),
      kBadRequest,
      ErrorJson("invalid-argument", "a change id of 1 to 100 bytes"));
    return;
  }
  const Checked<Deployment> parsed =
    ParseDeployment(aEvent.apply().text(), "deployment");
  if (!parsed.Ok()) {
    AnswerOperation(
      aContext, aEvent.operation(), kBadRequest, FaultsJson(parsed.mFaults));
    return;
  }
  Proposal proposal;
  *proposal.mCommand.mutable_apply() = aEvent.apply();
  proposal.mOperation = aEvent.operation();
  proposal.mGiveUpAt = aContext.mNow + kApplyPatience;
  Submit(aContext, std::move(proposal));
}

void HandleDrain(Context& aContext, const wire::OperatorDrain& aEvent)
{
  if (!IsOperator(aContext, aEvent.operation(), aEvent.token_sha256())) {
    return;
  }
  const bool host = aEvent.what() == "host";
  const membership::FactKey key = { host ? wire::FACT_HOST : wire::FACT_TARGET,
                                    host ? std::string() : aEvent.service(),
                                    aEvent.id() };
  const wire::Fact* known = membership::Find(aContext.mState.mDirectory, key);
  if (known == nullptr || known->gone()) {
    AnswerOperation(aContext,
                    aEvent.operation(),
                    kNotFound,
                    ErrorJson("not-found", "no such " + aEvent.what()));
    return;
  }
  wire::Fact fact = *known;
  if (membership::IsDraining(fact) == aEvent.undrain()) {
    fact.set_drain_sequence(fact.drain_sequence() + 1);
    Publish(aContext, fact);
  }
  Poco::JSON::Object object;
  object.set("id", aEvent.id());
  object.set("draining", !aEvent.undrain());
  AnswerOperation(aContext, aEvent.operation(), kOk, Write(object));
}

} // namespace geraniumpond::node
