#include <geraniumpond/gateway_settings.h>

#include "ini.h"

#include <algorithm>
#include <set>

namespace geraniumpond {

namespace {

using ini::KeyRule;
using ini::Section;
using ini::ValueType;

/// Seconds: requests are counted in slices of the least, and a host keeps each
/// slice of a window.
constexpr double kLeastQuotaWindow = 0.1;
constexpr double kMostQuotaWindow = 600;

const std::vector<KeyRule>& Rules()
{
  static const std::vector<KeyRule> rules = {
    { "host", "id", ValueType::Text, nullptr },
    { "host", "data_centre", ValueType::Text, nullptr },
    { "host", "data_folder", ValueType::OptionalText, "" },
    { "host", "process_mb", ValueType::Integer, "0", 0, 1e6 },
    { "host", "process_fds", ValueType::Integer, "0", 0, 1e9 },
    { "listen", "callers", ValueType::Address, nullptr },
    { "listen", "calls", ValueType::AddressList, nullptr },
    { "listen", "hosts", ValueType::Address, nullptr },
    { "listen", "hosts_bind", ValueType::AddressList, "" },
    { "listen", "metrics", ValueType::Address, nullptr },
    { "listen", "link_mbps", ValueType::Decimal, "1000", 0.001, 1e6 },
    { "fleet", "seeds", ValueType::AddressList, nullptr },
    { "fleet", "founding", ValueType::Boolean, "no" },
    { "fleet", "data_centres", ValueType::OptionalText, "" },
    { "fleet", "regions", ValueType::OptionalText, "" },
    { "fleet", "tolerated_losses", ValueType::Integer, "0", 0, 100 },
    { "bounds", "answer_keep", ValueType::Duration, "1200ms" },
    { "bounds", "stop_grace", ValueType::Duration, "6s" },
    { "bounds", "extra_ratio", ValueType::Decimal, "0.1", 0, 10 },
    { "bounds", "extra_floor", ValueType::Decimal, "20", 0, 1e6 },
    { "bounds", "extra_window", ValueType::Duration, "10s" },
    { "bounds", "probes_per_target", ValueType::Decimal, "10", 0, 1e6 },
    { "bounds", "answer_mb", ValueType::Integer, "64", 1, 1e6 },
    { "bounds", "warm_up_ratio", ValueType::Decimal, "1", 0, 100 },
    { "bounds", "warm_up_floor", ValueType::Decimal, "0", 0, 1e6 },
    { "accounts", "strict_revocation", ValueType::Boolean, "no" },
    { "accounts", "revoke_within", ValueType::Duration, "5s" },
    { "accounts",
      "quota_window",
      ValueType::Duration,
      "5s",
      kLeastQuotaWindow,
      kMostQuotaWindow },
    { "accounts", "quota_overage", ValueType::Decimal, "0.1", 0, 10 },
    { "accounts", "quota_slack", ValueType::Decimal, "20", 0, 1e6 },
    { "fairness", "across_hosts", ValueType::Boolean, "no" },
    { "requests",
      "caller_fields",
      ValueType::OptionalText,
      "Authorization, Cookie" },
    { "log", "format", ValueType::Choice, "text", 0, 0, "text json" },
    { "log",
      "level",
      ValueType::Choice,
      "info",
      0,
      0,
      "debug info warning error" },
  };
  return rules;
}

void ReadHost(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mId = aSection.Text("id");
  aOut.mDataCentre = aSection.Text("data_centre");
  aOut.mDataFolder = aSection.Text("data_folder");
  aOut.mMemoryBytes = aSection.Megabytes("process_mb");
  aOut.mMaxDescriptors =
    static_cast<std::size_t>(aSection.Integer("process_fds"));
}

void ReadListen(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mCallerAddress = aSection.Text("callers");
  aOut.mPeerAddress = aSection.Text("hosts");
  const std::vector<std::string> bind = aSection.List("hosts_bind");
  aOut.mPeerBindAddress = bind.empty() ? "" : bind.front();
  aOut.mMetricsAddress = aSection.Text("metrics");
  aOut.mLinkMbps = aSection.Decimal("link_mbps");
  const std::vector<std::string> calls = aSection.List("calls");
  const std::set<std::string> unique(calls.begin(), calls.end());
  aOut.mCallAddresses.assign(unique.begin(), unique.end());
}

void ReadFleet(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mSeeds = aSection.List("seeds");
  aOut.mFounding = aSection.Boolean("founding");
  aOut.mDataCentres = aSection.List("data_centres");
  aOut.mToleratedLosses =
    static_cast<int>(aSection.Integer("tolerated_losses"));
}

// Each entry names a data centre and its region.
void ReadRegions(const Section& aSection,
                 const std::string& aFile,
                 Checked<GatewaySettings>& aOut)
{
  regions::Map& map = aOut.mValue.mRegions;
  for (const std::string& entry : aSection.List("regions")) {
    const std::size_t sign = entry.find('=');
    const bool isPair =
      sign != std::string::npos && sign > 0 && sign + 1 < entry.size();
    if (!isPair ||
        !map.emplace(entry.substr(0, sign), entry.substr(sign + 1)).second) {
      aOut.mFaults.push_back({ aFile,
                               aSection.mLine,
                               "fleet/regions",
                               entry,
                               "data_centre=region, each data centre once" });
    }
  }
}

// Otherwise no request that is bound to a region could be served here.
void CheckOwnRegion(const std::string& aFile, Checked<GatewaySettings>& aOut)
{
  const GatewaySettings& settings = aOut.mValue;
  if (!settings.mRegions.empty() &&
      settings.mRegions.count(settings.mDataCentre) == 0) {
    aOut.mFaults.push_back({ aFile,
                             0,
                             "fleet/regions",
                             "none for " + settings.mDataCentre,
                             "one for the data centre of this host" });
  }
}

void ReadBounds(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mAnswerKeep = aSection.Duration("answer_keep");
  aOut.mStopGrace = aSection.Duration("stop_grace");
  aOut.mExtraRatio = aSection.Decimal("extra_ratio");
  aOut.mExtraFloor = aSection.Decimal("extra_floor");
  aOut.mExtraWindow = aSection.Duration("extra_window");
  aOut.mProbesPerTarget = aSection.Decimal("probes_per_target");
  aOut.mMaxAnswerBytes = aSection.Megabytes("answer_mb");
  aOut.mWarmUpRatio = aSection.Decimal("warm_up_ratio");
  aOut.mWarmUpFloor = aSection.Decimal("warm_up_floor");
}

void ReadAccounts(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mStrictRevocation = aSection.Boolean("strict_revocation");
  aOut.mRevokeWithin = aSection.Duration("revoke_within");
  aOut.mQuotaWindow = aSection.Duration("quota_window");
  aOut.mQuotaOverage = aSection.Decimal("quota_overage");
  aOut.mQuotaSlack = aSection.Decimal("quota_slack");
}

void ReadRequests(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mCallerFields = aSection.List("caller_fields");
}

void ReadLog(const Section& aSection, GatewaySettings& aOut)
{
  aOut.mLogFormat = aSection.Text("format");
  aOut.mLogLevel = aSection.Text("level");
}

} // namespace

Checked<GatewaySettings> ParseGatewaySettings(std::string_view aText,
                                              const std::string& aFile)
{
  Checked<GatewaySettings> result;
  // Adds missing sections, so that defaults apply and missing required keys are
  // reported.
  std::string text(aText);
  for (const char* name : { "host",
                            "listen",
                            "fleet",
                            "bounds",
                            "accounts",
                            "fairness",
                            "requests",
                            "log" }) {
    const std::string title = std::string("[") + name + "]";
    if (text.find(title) == std::string::npos) {
      text += "\n" + title + "\n";
    }
  }
  auto file = ini::Read(text, aFile, Rules());
  result.mFaults = std::move(file.mFaults);
  for (const Section& section : file.mValue) {
    if (!section.mSound) {
      continue;
    }
    if (section.mType == "host") {
      ReadHost(section, result.mValue);
    } else if (section.mType == "listen") {
      ReadListen(section, result.mValue);
    } else if (section.mType == "fleet") {
      ReadFleet(section, result.mValue);
      ReadRegions(section, aFile, result);
    } else if (section.mType == "bounds") {
      ReadBounds(section, result.mValue);
    } else if (section.mType == "accounts") {
      ReadAccounts(section, result.mValue);
    } else if (section.mType == "fairness") {
      result.mValue.mFairAcrossHosts = section.Boolean("across_hosts");
    } else if (section.mType == "requests") {
      ReadRequests(section, result.mValue);
    } else {
      ReadLog(section, result.mValue);
    }
  }
  CheckOwnRegion(aFile, result);
  return result;
}

std::vector<std::string> SeedPeerAddresses(const GatewaySettings& aSettings)
{
  const std::string& own = aSettings.mPeerAddress;
  const std::string port = own.substr(own.rfind(':'));
  std::set<std::string> peers;
  for (const std::string& seed : aSettings.mSeeds) {
    peers.insert(seed.substr(0, seed.rfind(':')) + port);
  }
  return { peers.begin(), peers.end() };
}

} // namespace geraniumpond
