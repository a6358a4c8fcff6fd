#include "native_dialect.h"

#include "quarantine_calls.h"

#include <geraniumpond/policy_file.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <sstream>

namespace geraniumpond::frontend {

namespace {

using Poco::JSON::Object;

constexpr const char* kJson = "application/json";
constexpr std::string_view kTargets = "/targets/";
constexpr std::string_view kEvacuations = "/evacuations/";

std::string ToText(const Object& aObject)
{
  std::ostringstream text;
  aObject.stringify(text);
  return text.str();
}

wire::TargetRecord ParseTargetRecord(const std::string& aId,
                                     const std::string& aBody)
{
  Poco::JSON::Parser parser;
  const Object::Ptr body = parser.parse(aBody).extract<Object::Ptr>();
  wire::TargetRecord record;
  record.set_id(aId);
  record.set_service(body->getValue<std::string>("service"));
  record.set_address(body->getValue<std::string>("address"));
  record.set_data_centre(body->optValue<std::string>("data_centre", ""));
  record.set_slots(body->optValue<unsigned>("slots", 1));
  record.set_draining(body->optValue<bool>("draining", false));
  record.set_sequence(body->getValue<Poco::UInt64>("sequence"));
  record.set_warm_up_ms(body->optValue<unsigned>("warm_up_ms", 0));
  record.set_born_ms(body->optValue<Poco::UInt64>("born_ms", 0));
  record.set_release(body->optValue<std::string>("release", ""));
  return record;
}

// A target may name the incarnation that leaves by its start time.
wire::RemoveTarget ParseRemoval(const std::string& aId,
                                const std::string& aBody)
{
  wire::RemoveTarget removal;
  removal.set_id(aId);
  if (!aBody.empty()) {
    Poco::JSON::Parser parser;
    const Object::Ptr body = parser.parse(aBody).extract<Object::Ptr>();
    removal.set_born_ms(body->optValue<Poco::UInt64>("born_ms", 0));
  }
  return removal;
}

Call ParseTargetCall(const HttpRequest& aRequest, const std::string& aId)
{
  if (aRequest.mMethod == "PUT") {
    return RegisterTargetCall{ ParseTargetRecord(aId, aRequest.mBody) };
  }
  if (aRequest.mMethod == "DELETE") {
    return RemoveTargetCall{ ParseRemoval(aId, aRequest.mBody) };
  }
  return InvalidCall{ 405, "targets take PUT and DELETE" };
}

// The resource exists while the targets of the data centre are withdrawn.
Call ParseEvacuationCall(const HttpRequest& aRequest,
                         const std::string& aDataCentre)
{
  const bool isPut = aRequest.mMethod == "PUT";
  if (!isPut && aRequest.mMethod != "DELETE") {
    return InvalidCall{ 405, "evacuations take PUT and DELETE" };
  }
  if (!aRequest.mBody.empty()) {
    return InvalidCall{ 400, "an evacuation has no body" };
  }
  return SetEvacuationCall{ aDataCentre, isPut };
}

Call ParseLookup(const Poco::URI& aUri)
{
  ResolveCall call;
  for (const auto& [name, value] : aUri.getQueryParameters()) {
    if (name == "data_centre") {
      call.mLookup.mDataCentre = value;
    } else if (name == "region") {
      call.mLookup.mRegion = value;
    } else if (name == "host") {
      call.mLookup.mHostName = value;
    }
  }
  return call;
}

Call ParsePath(const HttpRequest& aRequest)
{
  const Poco::URI uri(aRequest.mTarget);
  const std::string& path = uri.getPath();
  if (path.compare(0, kTargets.size(), kTargets) == 0 &&
      path.size() > kTargets.size()) {
    return ParseTargetCall(aRequest, path.substr(kTargets.size()));
  }
  if (path.compare(0, kEvacuations.size(), kEvacuations) == 0 &&
      path.size() > kEvacuations.size()) {
    return ParseEvacuationCall(aRequest, path.substr(kEvacuations.size()));
  }
  if (path == "/policy") {
    if (aRequest.mMethod == "PUT") {
      return PutPolicyCall{ aRequest.mBody };
    }
    return ReadPolicyCall{};
  }
  if (path == "/resolve") {
    return ParseLookup(uri);
  }
  if (path == "/ready") {
    return ReadinessCall{};
  }
  if (path == "/metrics") {
    return MetricsCall{};
  }
  if (std::optional<Call> call = ParseQuarantineCall(aRequest.mMethod, path)) {
    return *call;
  }
  return InvalidCall{ 404, "no such call" };
}

Call ParseCall(const HttpRequest& aRequest)
{
  try {
    return ParsePath(aRequest);
  } catch (const Poco::Exception& error) {
    return InvalidCall{ 400, error.displayText() };
  }
}

HttpResponse MakeOperationResponse(const gateway::AnswerOperation& aResult)
{
  using gateway::OperationOutcome;
  if (aResult.mEnd == OperationOutcome::Done) {
    return MakeResponse(200, "text/plain", aResult.mDocument);
  }
  Object error;
  error.set("error", gateway::ToString(aResult.mEnd));
  error.set("message", aResult.mReason);
  int status = 503;
  if (aResult.mEnd == OperationOutcome::Invalid) {
    status = 400;
  } else if (aResult.mEnd == OperationOutcome::Conflict) {
    status = 409;
  }
  return MakeResponse(status, kJson, ToText(error));
}

HttpResponse MakeAddressResponse(const std::vector<std::string>& aAddresses,
                                 Micros aTtl)
{
  Poco::JSON::Array::Ptr addresses = new Poco::JSON::Array;
  for (const std::string& address : aAddresses) {
    addresses->add(address);
  }
  Object answer;
  answer.set("addresses", addresses);
  answer.set("keep_ms", aTtl / kMillisecond);
  return MakeResponse(200, kJson, ToText(answer));
}

} // namespace

Dialect NativeDialect()
{
  Dialect dialect;
  dialect.mFieldNames.mRequestId = "Request-Id";
  dialect.mFieldNames.mTimeout = "Patience-Ms";
  dialect.mFieldNames.mExpectedTarget = "Expected-Target";
  dialect.mFieldNames.mNotRun = "Not-Run";
  dialect.mFieldNames.mTargetId = "Target-Id";
  dialect.mFieldNames.mLoad = "Target-Load";
  dialect.mFieldNames.mLeaving = "Target-Leaving";
  dialect.mFieldNames.mWarmUpLeft = "Target-Warm-Up-Ms";
  dialect.mFieldNames.mAccount = "Client-Account";
  dialect.mFieldNames.mLimit = "Target-Limit";
  dialect.mParseCall = ParseCall;
  dialect.mMakeOperationResponse = MakeOperationResponse;
  dialect.mMakeAddressResponse = MakeAddressResponse;
  dialect.mDecodePolicy = policy::DecodePolicyFile;
  return dialect;
}

} // namespace geraniumpond::frontend
