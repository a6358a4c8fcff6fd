#include "quarantine_calls.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <sstream>
#include <string_view>

namespace geraniumpond::frontend {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::string_view kPath = "/quarantine";
constexpr int kIdentityDigits = 16;

Object::Ptr ToJson(const quarantine::Crash& aCrash, Micros aNow)
{
  Object::Ptr crash = new Object;
  crash->set("target", aCrash.mTarget);
  crash->set("release", aCrash.mRelease);
  crash->set("age_ms", (aNow - aCrash.mAt) / kMillisecond);
  return crash;
}

} // namespace

std::optional<Call> ParseQuarantineCall(const std::string& aMethod,
                                        const std::string& aPath)
{
  if (aPath == kPath && aMethod == "GET") {
    return ListQuarantineCall{};
  }
  if (aMethod != "DELETE" || aPath.size() <= kPath.size() + 1 ||
      aPath.compare(0, kPath.size(), kPath) != 0 ||
      aPath[kPath.size()] != '/') {
    return std::nullopt;
  }
  Poco::UInt64 identity = 0;
  if (!Poco::NumberParser::tryParseHex64(aPath.substr(kPath.size() + 1),
                                         identity)) {
    return InvalidCall{ 400, "an identity has 16 hexadecimal digits" };
  }
  return ReleaseRequestCall{ identity };
}

std::string QuarantineJson(const quarantine::State& aState, Micros aNow)
{
  Array::Ptr requests = new Array;
  for (const auto& [identity, record] : aState.mRecords) {
    const quarantine::Verdict verdict =
      quarantine::EvaluateAnyRelease(aState, identity, aNow);
    if (verdict == quarantine::Verdict::Clear) {
      continue;
    }
    Array::Ptr crashes = new Array;
    for (const quarantine::Crash& crash : quarantine::Evidence(record, aNow)) {
      crashes->add(ToJson(crash, aNow));
    }
    Object::Ptr request = new Object;
    request->set("identity",
                 Poco::toLower(Poco::NumberFormatter::formatHex(
                   Poco::UInt64(identity), kIdentityDigits)));
    request->set("verdict", std::string(quarantine::ToString(verdict)));
    request->set("crashes", crashes);
    requests->add(request);
  }
  Object answer;
  answer.set("requests", requests);
  std::ostringstream text;
  answer.stringify(text);
  return text.str();
}

void AddVerdictGauges(const quarantine::State& aState,
                      Micros aNow,
                      std::map<std::string, double>& aGauges)
{
  double& suspected = aGauges["requests_suspected"];
  double& quarantined = aGauges["requests_quarantined"];
  for (const auto& [identity, record] : aState.mRecords) {
    const quarantine::Verdict verdict =
      quarantine::EvaluateAnyRelease(aState, identity, aNow);
    suspected += verdict == quarantine::Verdict::Suspected ? 1 : 0;
    quarantined += verdict == quarantine::Verdict::Quarantined ? 1 : 0;
  }
}

} // namespace geraniumpond::frontend
