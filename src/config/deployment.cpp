#include "ini.h"

#include <geraniumpond/deployment.h>

#include <algorithm>
#include <array>

namespace geraniumpond {

namespace {

using ini::KeyRule;
using ini::Section;
using ini::ValueType;

constexpr std::array<const char*, 3> kPriorityNames = { "urgent",
                                                        "normal",
                                                        "bulk" };
constexpr double kPercent = 100.0;
constexpr std::uint64_t kKilobyte = 1024;

const std::vector<KeyRule>& Rules()
{
  using VT = ValueType;
  static const std::vector<KeyRule> rules = {
    { "deployment", "name", VT::Name, nullptr },
    { "deployment", "key_retention_s", VT::Integer, "86400", 60, 31536000 },
    { "budget", "reports_per_target", VT::Decimal, "4", 0.1, 1000 },
    { "budget", "bytes_per_host", VT::Integer, "14336", 256, 1e9 },
    { "service", "entries", VT::Integer, "4", 1, 64 },
    { "service", "slots", VT::Integer, nullptr, 1, 1024 },
    { "service", "target_token_sha256", VT::Digest, nullptr },
    { "service", "retry_percent", VT::Decimal, "5", 0, 100 },
    { "service", "hedge", VT::Boolean, "no" },
    { "service", "eject_percent", VT::Decimal, "30", 0, 100 },
    { "service", "bulk_percent", VT::Decimal, "50", 1, 100 },
    { "service", "slow_start_ms", VT::Integer, "10000", 0, 600000 },
    { "service", "lease_ms", VT::Integer, "5000", 500, 600000 },
    { "service", "queue_limit", VT::Integer, "1000", 0, 1000000 },
    { "kind", "service", VT::Name, nullptr },
    { "kind", "methods", VT::Text, nullptr },
    { "kind", "path", VT::Text, nullptr },
    { "kind", "idempotent", VT::Boolean, nullptr },
    { "kind", "key_required", VT::Boolean, "no" },
    { "kind", "priority", VT::Choice, "normal", 0, 0, "urgent normal bulk" },
    { "kind", "deadline_ms", VT::Integer, nullptr, 1, 3600000 },
    { "kind", "max_body_kb", VT::Integer, "64", 0, 1048576 },
    { "kind", "objective_ms", VT::Integer, nullptr, 1, 3600000 },
    { "kind", "objective_percent", VT::Decimal, "99", 50, 99.999 },
    { "caller", "token_sha256", VT::Digest, nullptr },
    { "caller", "services", VT::NameList, nullptr },
    { "caller", "share_percent", VT::Decimal, "100", 0.1, 100 },
  };
  return rules;
}

Priority ToPriority(const std::string& aName)
{
  const auto found =
    std::find(kPriorityNames.begin(), kPriorityNames.end(), aName);
  return static_cast<Priority>(found - kPriorityNames.begin());
}

Service ReadService(const Section& aSection)
{
  Service service;
  service.mName = aSection.mName;
  service.mEntries = static_cast<int>(aSection.Integer("entries"));
  service.mSlots = static_cast<int>(aSection.Integer("slots"));
  service.mTargetTokenSha256 = aSection.Text("target_token_sha256");
  service.mRetryBudget = aSection.Decimal("retry_percent") / kPercent;
  service.mHedge = aSection.Boolean("hedge");
  service.mMaxEjected = aSection.Decimal("eject_percent") / kPercent;
  service.mBulkShare = aSection.Decimal("bulk_percent") / kPercent;
  service.mSlowStart = aSection.Integer("slow_start_ms") * kMillisecond;
  service.mLease = aSection.Integer("lease_ms") * kMillisecond;
  service.mQueueLimit = static_cast<int>(aSection.Integer("queue_limit"));
  return service;
}

Kind ReadKind(const Section& aSection)
{
  Kind kind;
  kind.mName = aSection.mName;
  const std::vector<std::string> methods = aSection.List("methods");
  kind.mMethods.insert(methods.begin(), methods.end());
  kind.mPathPrefix = aSection.Text("path");
  kind.mIdempotent = aSection.Boolean("idempotent");
  kind.mKeyRequired = aSection.Boolean("key_required");
  kind.mPriority = ToPriority(aSection.Text("priority"));
  kind.mDeadline = aSection.Integer("deadline_ms") * kMillisecond;
  kind.mMaxBodyBytes =
    static_cast<std::uint64_t>(aSection.Integer("max_body_kb")) * kKilobyte;
  kind.mObjectiveTime = aSection.Integer("objective_ms") * kMillisecond;
  kind.mObjectiveShare = aSection.Decimal("objective_percent") / kPercent;
  return kind;
}

Caller ReadCaller(const Section& aSection)
{
  Caller caller;
  caller.mName = aSection.mName;
  caller.mTokenSha256 = aSection.Text("token_sha256");
  const std::vector<std::string> services = aSection.List("services");
  caller.mServices.insert(services.begin(), services.end());
  caller.mShare = aSection.Decimal("share_percent") / kPercent;
  return caller;
}

/// Builds the deployment section by section and notes what does not fit.
struct Builder
{
  const std::string& mFile;
  Checked<Deployment>& mOut;

  void AddFault(int aLine,
                std::string aKey,
                std::string aGiven,
                std::string aAllowed)
  {
    mOut.mFaults.push_back({ mFile,
                             aLine,
                             std::move(aKey),
                             std::move(aGiven),
                             std::move(aAllowed) });
  }

  void AddKind(const Section& aSection)
  {
    const std::string& name = aSection.Text("service");
    const auto service = mOut.mValue.mServices.find(name);
    const std::string title = "kind " + aSection.mName;
    if (service == mOut.mValue.mServices.end()) {
      AddFault(aSection.Line("service"),
               title + "/service",
               name,
               "a service of this file");
      return;
    }
    const std::string prefix = "/" + name;
    const std::string& path = aSection.Text("path");
    if (path != prefix && path.rfind(prefix + "/", 0) != 0) {
      AddFault(
        aSection.Line("path"), title + "/path", path, "a path below " + prefix);
    }
    service->second.mKinds.push_back(ReadKind(aSection));
  }

  void AddCaller(const Section& aSection)
  {
    Caller caller = ReadCaller(aSection);
    for (const std::string& service : caller.mServices) {
      if (mOut.mValue.mServices.count(service) == 0) {
        AddFault(aSection.Line("services"),
                 "caller " + caller.mName + "/services",
                 service,
                 "a service of this file");
      }
    }
    const auto [holder, fresh] =
      mOut.mValue.mCallerByToken.emplace(caller.mTokenSha256, caller.mName);
    if (!fresh) {
      AddFault(aSection.Line("token_sha256"),
               "caller " + caller.mName + "/token_sha256",
               "the token of caller " + holder->second,
               "a token of its own");
    }
    mOut.mValue.mCallers[caller.mName] = std::move(caller);
  }

  void AddGeneral(const Section& aSection)
  {
    Deployment& deployment = mOut.mValue;
    if (aSection.mType == "deployment") {
      deployment.mName = aSection.Text("name");
      deployment.mKeyRetention = aSection.Integer("key_retention_s") * kSecond;
    } else if (aSection.mType == "budget") {
      deployment.mBudget.mReportsPerTarget =
        aSection.Decimal("reports_per_target");
      deployment.mBudget.mBytesPerHost = aSection.Decimal("bytes_per_host");
    }
  }
};

void CheckNames(const std::vector<Section>& aSections, Builder& aBuilder)
{
  for (const Section& section : aSections) {
    const bool named = section.mType == "service" || section.mType == "kind" ||
                       section.mType == "caller";
    if (named == section.mName.empty()) {
      aBuilder.AddFault(section.mLine,
                        section.mType,
                        section.mName.empty() ? "no name" : section.mName,
                        named ? "[" + section.mType + " NAME]"
                              : "[" + section.mType + "]");
    }
  }
}

void CheckWhole(Builder& aBuilder)
{
  const Deployment& deployment = aBuilder.mOut.mValue;
  if (deployment.mName.empty()) {
    aBuilder.AddFault(0, "deployment", "no such section", "exactly one");
  }
  if (deployment.mServices.empty()) {
    aBuilder.AddFault(0, "service", "no such section", "at least one");
  }
  for (const auto& [name, service] : deployment.mServices) {
    if (service.mKinds.empty()) {
      aBuilder.AddFault(
        0, "service " + name, "no kind", "at least one [kind NAME]");
    }
  }
}

} // namespace

const char* ToString(Priority aPriority) noexcept
{
  return kPriorityNames[static_cast<std::size_t>(aPriority)];
}

Checked<Deployment> ParseDeployment(std::string_view aText,
                                    const std::string& aFile)
{
  Checked<Deployment> result;
  auto file = ini::Read(aText, aFile, Rules());
  result.mFaults = std::move(file.mFaults);
  const bool readable = result.Ok();
  Builder builder{ aFile, result };
  CheckNames(file.mValue, builder);
  for (const Section& section : file.mValue) {
    if (section.mType == "service") {
      // The name of a faulty one is known, so that nothing else looks dangling.
      result.mValue.mServices[section.mName] =
        section.mSound ? ReadService(section) : Service();
    } else if (section.mSound) {
      builder.AddGeneral(section);
    }
  }
  for (const Section& section : file.mValue) {
    if (!section.mSound) {
      continue;
    }
    if (section.mType == "kind") {
      builder.AddKind(section);
    } else if (section.mType == "caller") {
      builder.AddCaller(section);
    }
  }
  if (readable) {
    CheckWhole(builder);
  }
  return result;
}

const Kind* FindKind(const Service& aService,
                     std::string_view aMethod,
                     std::string_view aPath) noexcept
{
  const Kind* best = nullptr;
  for (const Kind& kind : aService.mKinds) {
    const std::string& prefix = kind.mPathPrefix;
    const bool below =
      aPath.substr(0, prefix.size()) == prefix &&
      (aPath.size() == prefix.size() || prefix.back() == '/' ||
       aPath[prefix.size()] == '/' || aPath[prefix.size()] == '?');
    const bool takes = kind.mMethods.count(std::string(aMethod)) != 0;
    if (below && takes &&
        (best == nullptr || prefix.size() > best->mPathPrefix.size())) {
      best = &kind;
    }
  }
  return best;
}

std::string ServiceOfPath(std::string_view aPath)
{
  if (aPath.empty() || aPath[0] != '/') {
    return "";
  }
  const std::size_t end = aPath.find_first_of("/?", 1);
  return std::string(
    aPath.substr(1, end == std::string_view::npos ? end : end - 1));
}

} // namespace geraniumpond
