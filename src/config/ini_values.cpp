#include "ini_values.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>

namespace geraniumpond::ini {

namespace {

constexpr std::size_t kMaxName = 63;
constexpr std::size_t kDigestDigits = 64;

bool IsName(const std::string& aText)
{
  const bool starts = !aText.empty() && aText[0] >= 'a' && aText[0] <= 'z';
  return starts && aText.size() <= kMaxName &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
           std::string::npos;
}

bool IsDigest(const std::string& aText)
{
  return aText.size() == kDigestDigits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsNumberUpTo(const std::string& aText, int aMost)
{
  constexpr std::size_t kMaxDigits = 5;
  return !aText.empty() && aText.size() <= kMaxDigits &&
         aText.find_first_not_of("0123456789") == std::string::npos &&
         std::atoi(aText.c_str()) <= aMost;
}

constexpr int kMaxByte = 255;
constexpr int kMaxPort = 65535;

bool IsAddress(const std::string& aText)
{
  std::vector<std::string> parts;
  boost::split(parts, aText, boost::is_any_of(".:"));
  const std::size_t colon = aText.find(':');
  return parts.size() == 5 && colon != std::string::npos &&
         aText.find('.', colon) == std::string::npos &&
         IsNumberUpTo(parts[4], kMaxPort) &&
         std::all_of(parts.begin(), parts.end() - 1, [](const auto& aPart) {
           return IsNumberUpTo(aPart, kMaxByte);
         });
}

bool IsPeer(const std::string& aText)
{
  const std::size_t at = aText.find('@');
  return at != std::string::npos && IsName(aText.substr(0, at)) &&
         IsAddress(aText.substr(at + 1));
}

bool InRange(const KeyRule& aRule, const std::string& aValue)
{
  char* end = nullptr;
  const double value = std::strtod(aValue.c_str(), &end);
  const bool whole =
    aRule.mType == ValueType::Decimal || value == std::floor(value);
  return end != aValue.c_str() && *end == '\0' && whole &&
         value >= aRule.mMin && value <= aRule.mMax;
}

bool IsDuration(const KeyRule& aRule, const std::string& aValue)
{
  const std::optional<Micros> value = ParseDuration(aValue);
  const auto seconds = static_cast<double>(value.value_or(0)) / kSecond;
  const bool isBounded = aRule.mMax > 0;
  return value &&
         (!isBounded || (seconds >= aRule.mMin && seconds <= aRule.mMax));
}

bool AllOf(const std::string& aValue, bool (*aTest)(const std::string&))
{
  const std::vector<std::string> parts = Split(aValue);
  return std::all_of(parts.begin(), parts.end(), aTest);
}

bool IsChoice(const KeyRule& aRule, const std::string& aValue)
{
  const std::vector<std::string> choices = Split(aRule.mChoices);
  return std::find(choices.begin(), choices.end(), aValue) != choices.end();
}

std::string Number(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

} // namespace

std::vector<std::string> Split(const std::string& aText)
{
  std::vector<std::string> parts;
  boost::split(parts, aText, boost::is_any_of(", "), boost::token_compress_on);
  parts.erase(std::remove(parts.begin(), parts.end(), ""), parts.end());
  return parts;
}

std::optional<Micros> ParseDuration(const std::string& aText)
{
  char* end = nullptr;
  const double number = std::strtod(aText.c_str(), &end);
  const std::string unit = end;
  const bool sound = end != aText.c_str() && std::isfinite(number) &&
                     number >= 0 && number < 1e9 &&
                     (unit == "ms" || unit == "s");
  if (!sound) {
    return std::nullopt;
  }
  const auto scale = static_cast<double>(unit == "s" ? kSecond : kMillisecond);
  return static_cast<Micros>(std::llround(number * scale));
}

bool Matches(const KeyRule& aRule, const std::string& aValue)
{
  switch (aRule.mType) {
    case ValueType::Text:
      return !aValue.empty();
    case ValueType::Name:
      return IsName(aValue);
    case ValueType::Integer:
    case ValueType::Decimal:
      return InRange(aRule, aValue);
    case ValueType::Boolean:
      return aValue == "yes" || aValue == "no";
    case ValueType::Choice:
      return IsChoice(aRule, aValue);
    case ValueType::Digest:
      return IsDigest(aValue);
    case ValueType::Address:
      return IsAddress(aValue);
    case ValueType::PeerList:
      return AllOf(aValue, IsPeer);
    case ValueType::NameList:
      return AllOf(aValue, IsName);
    case ValueType::OptionalText:
      return true;
    case ValueType::Duration:
      return IsDuration(aRule, aValue);
    case ValueType::AddressList:
      return AllOf(aValue, IsAddress);
  }
  return false;
}

std::string Allowed(const KeyRule& aRule)
{
  switch (aRule.mType) {
    case ValueType::Text:
      return "any text that is not empty";
    case ValueType::Name:
      return "a name: lower-case letters, digits and '-', 63 at most";
    case ValueType::Integer:
      return "a whole number from " + Number(aRule.mMin) + " to " +
             Number(aRule.mMax);
    case ValueType::Decimal:
      return "a number from " + Number(aRule.mMin) + " to " +
             Number(aRule.mMax);
    case ValueType::Boolean:
      return "yes or no";
    case ValueType::Choice:
      return std::string("one of: ") + aRule.mChoices;
    case ValueType::Digest:
      return "a SHA-256 digest: 64 lower-case hexadecimal digits";
    case ValueType::Address:
      return "ip:port";
    case ValueType::PeerList:
      return "a list of id@ip:port";
    case ValueType::NameList:
      return "a list of names";
    case ValueType::OptionalText:
      return "any text";
    case ValueType::Duration:
      return aRule.mMax > 0
               ? "a duration from " + Number(aRule.mMin) + "s to " +
                   Number(aRule.mMax) + "s with its unit: 250ms, 2.5s"
               : "a number from 0 with its unit: 250ms, 2.5s";
    case ValueType::AddressList:
      return "a list of ip:port";
  }
  return "";
}

} // namespace geraniumpond::ini
