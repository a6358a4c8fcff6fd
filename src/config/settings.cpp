#include "ini.h"

#include <algorithm>
#include <set>

namespace geraniumpond {

namespace {

using ini::KeyRule;
using ini::Section;
using ini::ValueType;

constexpr std::size_t kMaxFaultsTold = 100;

const std::vector<KeyRule>& Rules()
{
  static const std::vector<KeyRule> rules = {
    { "host", "id", ValueType::Name, nullptr },
    { "host", "data_centre", ValueType::Name, nullptr },
    { "host", "roles", ValueType::NameList, nullptr },
    { "host", "data_folder", ValueType::Text, nullptr },
    { "host", "process_mb", ValueType::Integer, "0", 0, 1e6 },
    { "listen", "callers", ValueType::Address, "127.0.0.1:0" },
    { "listen", "admin", ValueType::Address, nullptr },
    { "listen", "hosts", ValueType::Address, nullptr },
    { "listen", "answer_keep_ms", ValueType::Integer, "5000", 100, 600000 },
    { "listen", "max_connections", ValueType::Integer, "1000", 1, 100000 },
    { "control", "voters", ValueType::PeerList, nullptr },
    { "control", "seeds", ValueType::PeerList, "" },
    { "control", "operator_token_sha256", ValueType::Digest, nullptr },
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

PeerAddress ToPeer(const std::string& aText)
{
  const std::size_t at = aText.find('@');
  return { aText.substr(0, at), aText.substr(at + 1) };
}

std::vector<PeerAddress> ToPeers(const std::vector<std::string>& aTexts)
{
  std::vector<PeerAddress> peers;
  std::transform(
    aTexts.begin(), aTexts.end(), std::back_inserter(peers), ToPeer);
  return peers;
}

void ReadRoles(const Section& aSection,
               const std::string& aFile,
               Checked<Settings>& aOut)
{
  for (const std::string& role : aSection.List("roles")) {
    if (role == "entry") {
      aOut.mValue.mEntry = true;
    } else if (role == "control") {
      aOut.mValue.mControl = true;
    } else {
      aOut.mFaults.push_back({ aFile,
                               aSection.Line("roles"),
                               "host/roles",
                               role,
                               "entry, control" });
    }
  }
}

void ReadHost(const Section& aSection, Settings& aOut)
{
  aOut.mId = aSection.Text("id");
  aOut.mDataCentre = aSection.Text("data_centre");
  aOut.mDataFolder = aSection.Text("data_folder");
  aOut.mMemoryBytes = aSection.Megabytes("process_mb");
}

void ReadListen(const Section& aSection, Settings& aOut)
{
  aOut.mCallerAddress = aSection.Text("callers");
  aOut.mAdminAddress = aSection.Text("admin");
  aOut.mPeerAddress = aSection.Text("hosts");
  aOut.mAnswerKeep = aSection.Integer("answer_keep_ms") * kMillisecond;
  aOut.mMaxConnections = static_cast<int>(aSection.Integer("max_connections"));
}

void ReadControl(const Section& aSection,
                 const std::string& aFile,
                 Checked<Settings>& aOut)
{
  aOut.mValue.mVoters = ToPeers(aSection.List("voters"));
  aOut.mValue.mSeeds = ToPeers(aSection.List("seeds"));
  aOut.mValue.mOperatorTokenSha256 = aSection.Text("operator_token_sha256");
  if (aOut.mValue.mVoters.size() % 2 == 0) {
    aOut.mFaults.push_back({ aFile,
                             aSection.Line("voters"),
                             "control/voters",
                             std::to_string(aOut.mValue.mVoters.size()),
                             "an odd number of voters" });
  }
}

void ReadLog(const Section& aSection, Settings& aOut)
{
  aOut.mLogFormat = aSection.Text("format");
  aOut.mLogLevel = aSection.Text("level");
}

void RequireSections(const std::set<std::string>& aSeen,
                     const std::string& aFile,
                     std::vector<Fault>& aFaults)
{
  for (const char* name : { "host", "listen", "control" }) {
    if (aSeen.count(name) == 0) {
      aFaults.push_back({ aFile, 0, name, "no such section", "exactly one" });
    }
  }
}

} // namespace

std::string ToString(const Fault& aFault)
{
  return aFault.mFile + ":" + std::to_string(aFault.mLine) + ": " +
         aFault.mKey + ": given " + aFault.mGiven +
         "; allowed: " + aFault.mAllowed;
}

std::vector<std::string> FirstFaults(const std::vector<Fault>& aFaults)
{
  const std::size_t told = std::min(aFaults.size(), kMaxFaultsTold);
  std::vector<std::string> texts;
  texts.reserve(told + 1);
  for (std::size_t i = 0; i < told; ++i) {
    texts.push_back(ToString(aFaults[i]));
  }
  if (told < aFaults.size()) {
    texts.push_back("and " + std::to_string(aFaults.size() - told) +
                    " more faults");
  }
  return texts;
}

Checked<Settings> ParseSettings(std::string_view aText,
                                const std::string& aFile)
{
  Checked<Settings> result;
  auto file = ini::Read(aText, aFile, Rules());
  result.mFaults = std::move(file.mFaults);
  const bool readable = result.Ok();
  std::set<std::string> seen;
  result.mValue.mLogFormat = "text";
  result.mValue.mLogLevel = "info";
  for (const Section& section : file.mValue) {
    seen.insert(section.mType);
    if (!section.mSound) {
      continue;
    }
    if (section.mType == "host") {
      ReadHost(section, result.mValue);
      ReadRoles(section, aFile, result);
    } else if (section.mType == "listen") {
      ReadListen(section, result.mValue);
    } else if (section.mType == "control") {
      ReadControl(section, aFile, result);
    } else {
      ReadLog(section, result.mValue);
    }
  }
  if (readable) {
    RequireSections(seen, aFile, result.mFaults);
  }
  return result;
}

} // namespace geraniumpond
