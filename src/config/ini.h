#pragma once

#include <geraniumpond/settings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \brief INI files checked against a table of rules.
namespace geraniumpond::ini {

/// \brief How a value is read and checked.
enum class ValueType
{
  Text,
  Name,
  Integer,
  Decimal,
  Boolean,
  Choice,
  Digest,
  Address,
  PeerList,
  NameList,
  /// May be empty.
  OptionalText,
  /// A number and its unit: 250ms, 2.5s.
  Duration,
  AddressList,
};

/// \brief One key that a section may have; optional keys have a default.
struct KeyRule
{
  const char* mSection;
  const char* mKey;
  ValueType mType;
  /// Null marks a required key.
  const char* mDefault;
  /// Bounds of a number; of a duration in seconds, where mMax is not 0.
  double mMin = 0;
  double mMax = 0;
  /// Space-separated choices of a Choice.
  const char* mChoices = "";
};

/// \brief A section "[type name]" with its checked values.
struct Section
{
  std::string mType;
  std::string mName;
  int mLine = 0;
  /// False when a fault was found in it; its values may be missing then.
  bool mSound = true;
  std::map<std::string, std::string> mValues;
  std::map<std::string, int> mLines;

  [[nodiscard]] const std::string& Text(const std::string& aKey) const;
  [[nodiscard]] long long Integer(const std::string& aKey) const;
  /// \brief A number of megabytes, as bytes.
  [[nodiscard]] std::uint64_t Megabytes(const std::string& aKey) const;
  [[nodiscard]] double Decimal(const std::string& aKey) const;
  [[nodiscard]] Micros Duration(const std::string& aKey) const;
  [[nodiscard]] bool Boolean(const std::string& aKey) const;
  [[nodiscard]] std::vector<std::string> List(const std::string& aKey) const;
  [[nodiscard]] int Line(const std::string& aKey) const;
};

/// \brief Reads a number with its unit, ms or s; nothing when it is not sound.
[[nodiscard]] std::optional<Micros> ParseDuration(const std::string& aText);

/// \brief Reads a file; sections with faults are marked as not sound.
[[nodiscard]] Checked<std::vector<Section>> Read(
  std::string_view aText,
  const std::string& aFile,
  const std::vector<KeyRule>& aRules);

} // namespace geraniumpond::ini
