#include <geraniumpond/policy_file.h>

#include "ini.h"

#include <cstdlib>

namespace geraniumpond::policy {

namespace {

using ini::KeyRule;
using ini::Section;
using ini::ValueType;

const std::vector<KeyRule>& Rules()
{
  constexpr double kMaxVersion = 9e15;
  static const std::vector<KeyRule> rules = {
    { "policy", "version", ValueType::Integer, nullptr, 1, kMaxVersion },
    { "policy", "base", ValueType::Integer, "0", 0, kMaxVersion },
    { "route", "host", ValueType::Text, nullptr },
    { "route", "prefix", ValueType::Text, "/" },
    { "route",
      "kind",
      ValueType::Choice,
      "safe",
      0,
      0,
      "safe unsafe download" },
    { "route", "timeout", ValueType::Duration, nullptr },
    { "route", "objective", ValueType::Duration, nullptr },
    { "route", "attempts", ValueType::Integer, "1", 1, 100 },
    { "route", "priority", ValueType::Integer, "0", 0, 1000 },
    { "route", "backends", ValueType::Text, nullptr },
    { "route", "public", ValueType::Boolean, "no" },
    { "route", "regions", ValueType::OptionalText, "" },
    { "account", "keys", ValueType::OptionalText, "" },
    { "account", "per_second", ValueType::Decimal, "0", 0, 1e9 },
    { "account", "burst", ValueType::Decimal, "0", 0, 1e9 },
    { "account", "priority", ValueType::Integer, "0", 0, 1000 },
    { "account", "regions", ValueType::OptionalText, "" },
    { "service", "health_path", ValueType::Text, "/health" },
    { "service", "max_connections", ValueType::Integer, "100", 1, 1e6 },
    { "service", "warm_up", ValueType::Duration, "0s" },
    { "service", "warm_up_per_second", ValueType::Decimal, "0", 0, 1e6 },
    { "limits", "header_bytes", ValueType::Integer, "16384", 256, 1e6 },
    { "limits", "body_bytes", ValueType::Integer, "67108864", 0, 1e9 },
    { "limits", "header_timeout", ValueType::Duration, "3s" },
    { "limits", "idle_timeout", ValueType::Duration, "15s" },
  };
  return rules;
}

Backend ToBackend(const std::string& aText)
{
  const std::size_t colon = aText.find(':');
  if (colon == std::string::npos) {
    return { aText, 1 };
  }
  return { aText.substr(0, colon),
           std::strtod(aText.c_str() + colon + 1, nullptr) };
}

void ReadRoute(const Section& aSection, TrafficPolicy& aOut)
{
  Route route;
  route.mName = aSection.mName;
  route.mHostName = aSection.Text("host");
  route.mPathPrefix = aSection.Text("prefix");
  route.mKind = ParseRouteKind(aSection.Text("kind")).value();
  route.mTimeout = aSection.Duration("timeout");
  route.mObjective = aSection.Duration("objective");
  route.mAttempts = static_cast<int>(aSection.Integer("attempts"));
  route.mPriority = static_cast<int>(aSection.Integer("priority"));
  for (const std::string& backend : aSection.List("backends")) {
    route.mBackends.push_back(ToBackend(backend));
  }
  route.mPublic = aSection.Boolean("public");
  route.mRegions = aSection.List("regions");
  aOut.mRoutes.push_back(std::move(route));
}

void ReadAccount(const Section& aSection,
                 const std::string& aFile,
                 Checked<TrafficPolicy>& aOut)
{
  accounts::Account account;
  account.mName = aSection.mName;
  account.mPerSecond = aSection.Decimal("per_second");
  account.mBurst = aSection.Decimal("burst");
  if (aSection.mLines.count("priority") != 0) {
    account.mPriority = static_cast<int>(aSection.Integer("priority"));
  }
  account.mRegions = aSection.List("regions");
  accounts::Book& book = aOut.mValue.mAccounts
                           ? *aOut.mValue.mAccounts
                           : aOut.mValue.mAccounts.emplace();
  for (const std::string& fault :
       accounts::Add(book, std::move(account), aSection.List("keys"))) {
    aOut.mFaults.push_back(
      { aFile, aSection.mLine, "account", fault, "a valid account" });
  }
}

// A line that is misplaced in an account's section may hold a key.
void HideKeys(std::vector<Fault>& aFaults)
{
  constexpr std::string_view kAccount = "account";
  for (Fault& fault : aFaults) {
    if (fault.mKey == "line") {
      fault.mGiven = "a line that is not shown";
    } else if (fault.mKey.compare(0, kAccount.size(), kAccount) == 0) {
      fault.mKey = kAccount;
    }
  }
}

void ReadLimits(const Section& aSection, RequestLimits& aOut)
{
  aOut.mMaxHeaderBytes =
    static_cast<std::uint64_t>(aSection.Integer("header_bytes"));
  aOut.mMaxBodyBytes =
    static_cast<std::uint64_t>(aSection.Integer("body_bytes"));
  aOut.mHeaderTimeout = aSection.Duration("header_timeout");
  aOut.mIdleTimeout = aSection.Duration("idle_timeout");
}

} // namespace

Checked<TrafficPolicy> ParsePolicy(std::string_view aText,
                                   const std::string& aFile)
{
  Checked<TrafficPolicy> result;
  auto file = ini::Read(aText, aFile, Rules());
  result.mFaults = std::move(file.mFaults);
  HideKeys(result.mFaults);
  for (const Section& section : file.mValue) {
    if (!section.mSound) {
      continue;
    }
    if (section.mType == "policy") {
      result.mValue.mVersion =
        static_cast<std::uint64_t>(section.Integer("version"));
      result.mValue.mBaseVersion =
        static_cast<std::uint64_t>(section.Integer("base"));
    } else if (section.mType == "route") {
      ReadRoute(section, result.mValue);
    } else if (section.mType == "account") {
      ReadAccount(section, aFile, result);
    } else if (section.mType == "service") {
      ServiceSettings& rules = result.mValue.mServices[section.mName];
      rules.mName = section.mName;
      rules.mHealthPath = section.Text("health_path");
      rules.mMaxConnections =
        static_cast<int>(section.Integer("max_connections"));
      rules.mWarmUp = section.Duration("warm_up");
      rules.mWarmUpPerSecond = section.Decimal("warm_up_per_second");
    } else {
      ReadLimits(section, result.mValue.mLimits);
    }
  }
  if (result.Ok()) {
    for (const std::string& fault : Validate(result.mValue)) {
      result.mFaults.push_back({ aFile, 0, "policy", fault, "a valid policy" });
    }
  }
  return result;
}

Result<TrafficPolicy> DecodePolicyFile(std::string_view aText)
{
  Checked<TrafficPolicy> checked = ParsePolicy(aText, "policy");
  if (!checked.Ok()) {
    std::string text;
    for (const std::string& fault : FirstFaults(checked.mFaults)) {
      text += (text.empty() ? "" : "; ") + fault;
    }
    return Fail(ErrorCode::InvalidArgument, text);
  }
  return std::move(checked.mValue);
}

} // namespace geraniumpond::policy
