#include "ini_values.h"

#include <boost/algorithm/string.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <sstream>

namespace geraniumpond::ini {

namespace {

using boost::property_tree::ptree;

constexpr std::size_t kMaxFileBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxShownBytes = 60;

/// Where each section and key of a file stands. Boost's parser keeps no lines
/// and stops at the first duplicate; this index finds all of them, and hands
/// the parser a text that has none.
struct LineIndex
{
  std::map<std::string, int> mSections;
  std::map<std::pair<std::string, std::string>, int> mKeys;
  /// Lines of each section without the faulty ones.
  std::map<std::string, std::string> mLines;

  [[nodiscard]] std::string CleanText() const
  {
    std::string text;
    for (const auto& [title, lines] : mLines) {
      text += "[" + title + "]\n" + lines;
    }
    return text;
  }
};

std::string Shown(std::string aText)
{
  if (aText.size() > kMaxShownBytes) {
    aText.resize(kMaxShownBytes);
    aText += "...";
  }
  return aText;
}

LineIndex IndexLines(std::string_view aText,
                     const std::string& aFile,
                     std::vector<Fault>& aFaults)
{
  LineIndex index;
  std::istringstream lines{ std::string(aText) };
  std::string line;
  std::string section;
  int number = 0;
  while (std::getline(lines, line)) {
    ++number;
    const std::string trimmed = boost::trim_copy(line);
    if (trimmed.empty() || trimmed[0] == ';' || trimmed[0] == '#') {
      continue;
    }
    if (trimmed[0] == '[') {
      if (trimmed.back() != ']') {
        aFaults.push_back(
          { aFile, number, "section", Shown(trimmed), "[type name]" });
        continue;
      }
      section = boost::trim_copy(trimmed.substr(1, trimmed.size() - 2));
      if (!index.mSections.emplace(section, number).second) {
        aFaults.push_back(
          { aFile, number, section, "a second time", "each section once" });
        continue;
      }
      continue;
    }
    const std::size_t equals = trimmed.find('=');
    if (equals == std::string::npos || section.empty()) {
      aFaults.push_back({ aFile,
                          number,
                          "line",
                          Shown(trimmed),
                          "key = value inside a [section]" });
      continue;
    }
    const std::string key = boost::trim_copy(trimmed.substr(0, equals));
    if (!index.mKeys.emplace(std::pair(section, key), number).second) {
      aFaults.push_back({ aFile,
                          number,
                          section + "/" + key,
                          "a second time",
                          "each key once in a section" });
      continue;
    }
    index.mLines[section] += trimmed + "\n";
  }
  return index;
}

std::string AllowedKeys(const std::vector<KeyRule>& aRules,
                        const std::string& aType)
{
  std::string keys;
  for (const KeyRule& rule : aRules) {
    if (rule.mSection == aType) {
      keys += (keys.empty() ? "" : ", ") + std::string(rule.mKey);
    }
  }
  return keys;
}

std::string AllowedSections(const std::vector<KeyRule>& aRules)
{
  std::set<std::string> names;
  for (const KeyRule& rule : aRules) {
    names.insert(rule.mSection);
  }
  return boost::join(names, ", ");
}

struct SectionReader
{
  const std::string& mFile;
  const LineIndex& mIndex;
  const std::vector<KeyRule>& mRules;
  std::vector<Fault>& mFaults;

  void ReadKnown(const ptree& aTree, const std::string& aTitle, Section& aOut)
  {
    for (const KeyRule& rule : mRules) {
      if (rule.mSection != aOut.mType) {
        continue;
      }
      const auto found = aTree.find(rule.mKey);
      if (found == aTree.not_found()) {
        UseDefault(rule, aTitle, aOut);
        continue;
      }
      const std::string value = boost::trim_copy(found->second.data());
      const int line = mIndex.mKeys.at({ aTitle, rule.mKey });
      aOut.mLines[rule.mKey] = line;
      if (!Matches(rule, value)) {
        mFaults.push_back({ mFile,
                            line,
                            aTitle + "/" + rule.mKey,
                            Shown(value),
                            Allowed(rule) });
        continue;
      }
      aOut.mValues[rule.mKey] = value;
    }
  }

  void UseDefault(const KeyRule& aRule,
                  const std::string& aTitle,
                  Section& aOut)
  {
    if (aRule.mDefault != nullptr) {
      aOut.mValues[aRule.mKey] = aRule.mDefault;
      return;
    }
    mFaults.push_back({ mFile,
                        aOut.mLine,
                        aTitle + "/" + aRule.mKey,
                        "nothing",
                        Allowed(aRule) });
  }

  void RefuseUnknown(const ptree& aTree,
                     const std::string& aTitle,
                     const Section& aSection)
  {
    for (const auto& node : aTree) {
      const std::string& key = node.first;
      const bool known =
        std::any_of(mRules.begin(), mRules.end(), [&](const KeyRule& aRule) {
          return aRule.mSection == aSection.mType && aRule.mKey == key;
        });
      if (!known) {
        mFaults.push_back({ mFile,
                            mIndex.mKeys.at({ aTitle, key }),
                            aTitle + "/" + key,
                            "an unknown key",
                            "one of: " + AllowedKeys(mRules, aSection.mType) });
      }
    }
  }
};

bool KnownSection(const std::vector<KeyRule>& aRules, const std::string& aType)
{
  return std::any_of(aRules.begin(), aRules.end(), [&](const KeyRule& aRule) {
    return aRule.mSection == aType;
  });
}

Section SplitTitle(const std::string& aTitle, int aLine)
{
  Section section;
  const std::size_t space = aTitle.find(' ');
  section.mType = aTitle.substr(0, space);
  if (space != std::string::npos) {
    section.mName = boost::trim_copy(aTitle.substr(space + 1));
  }
  section.mLine = aLine;
  return section;
}

} // namespace

const std::string& Section::Text(const std::string& aKey) const
{
  return mValues.at(aKey);
}

std::uint64_t Section::Megabytes(const std::string& aKey) const
{
  constexpr std::uint64_t kMegabyte = 1024ULL * 1024;
  return static_cast<std::uint64_t>(Integer(aKey)) * kMegabyte;
}

long long Section::Integer(const std::string& aKey) const
{
  return std::strtoll(Text(aKey).c_str(), nullptr, 10);
}

double Section::Decimal(const std::string& aKey) const
{
  return std::strtod(Text(aKey).c_str(), nullptr);
}

Micros Section::Duration(const std::string& aKey) const
{
  return ParseDuration(Text(aKey)).value_or(0);
}

bool Section::Boolean(const std::string& aKey) const
{
  return Text(aKey) == "yes";
}

std::vector<std::string> Section::List(const std::string& aKey) const
{
  return Split(Text(aKey));
}

int Section::Line(const std::string& aKey) const
{
  const auto found = mLines.find(aKey);
  return found == mLines.end() ? mLine : found->second;
}

Checked<std::vector<Section>> Read(std::string_view aText,
                                   const std::string& aFile,
                                   const std::vector<KeyRule>& aRules)
{
  Checked<std::vector<Section>> result;
  if (aText.size() > kMaxFileBytes) {
    result.mFaults.push_back({ aFile,
                               0,
                               "file",
                               std::to_string(aText.size()) + " bytes",
                               "at most 4 MiB" });
    return result;
  }
  const LineIndex index = IndexLines(aText, aFile, result.mFaults);
  ptree tree;
  std::istringstream clean(index.CleanText());
  boost::property_tree::read_ini(clean, tree);
  SectionReader reader{ aFile, index, aRules, result.mFaults };
  // The parser drops sections without keys; the index still has them, so that
  // their required keys are missed.
  for (const auto& [title, line] : index.mSections) {
    Section section = SplitTitle(title, line);
    if (!KnownSection(aRules, section.mType)) {
      result.mFaults.push_back({ aFile,
                                 line,
                                 title,
                                 "an unknown section",
                                 "one of: " + AllowedSections(aRules) });
      continue;
    }
    const auto found = tree.find(title);
    const ptree keys = found == tree.not_found() ? ptree() : found->second;
    const std::size_t before = result.mFaults.size();
    reader.RefuseUnknown(keys, title, section);
    reader.ReadKnown(keys, title, section);
    section.mSound = result.mFaults.size() == before;
    result.mValue.push_back(std::move(section));
  }
  return result;
}

} // namespace geraniumpond::ini
