#include "header_fields.h"

#include <geraniumpond/field_text.h>

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace geraniumpond::frontend {

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(
           aLeft.begin(), aLeft.end(), aRight.begin(), [](char aA, char aB) {
             return std::tolower(static_cast<unsigned char>(aA)) ==
                    std::tolower(static_cast<unsigned char>(aB));
           });
}

const std::string* FindField(const HeaderFields& aFields,
                             std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (EqualIgnoringCase(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

std::size_t CountFields(const HeaderFields& aFields, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aFields.begin(), aFields.end(), [&](const auto& aField) {
      return EqualIgnoringCase(aField.first, aName);
    }));
}

bool HasToken(const HeaderFields& aFields,
              std::string_view aName,
              std::string_view aToken)
{
  for (const auto& [name, value] : aFields) {
    if (!EqualIgnoringCase(name, aName)) {
      continue;
    }
    std::size_t at = 0;
    while (at <= value.size()) {
      const std::size_t comma = std::min(value.find(',', at), value.size());
      if (EqualIgnoringCase(Poco::trim(value.substr(at, comma - at)), aToken)) {
        return true;
      }
      at = comma + 1;
    }
  }
  return false;
}

int KeepAliveSeconds(const HeaderFields& aFields)
{
  const std::string* value = FindField(aFields, "Keep-Alive");
  if (value == nullptr) {
    return 0;
  }
  const std::size_t at = value->find("timeout=");
  int seconds = 0;
  if (at != std::string::npos) {
    std::size_t end = at + 8;
    while (end < value->size() &&
           std::isdigit(static_cast<unsigned char>((*value)[end])) != 0) {
      ++end;
    }
    (void)Poco::NumberParser::tryParse(value->substr(at + 8, end - at - 8),
                                       seconds);
  }
  return seconds;
}

bool IsHopByHopField(const HeaderFields& aFields, const std::string& aName)
{
  constexpr std::array<std::string_view, 10> names = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Proxy-Authorization",
    "Proxy-Authenticate",
  };
  return std::any_of(names.begin(),
                     names.end(),
                     [&](std::string_view aHopName) {
                       return EqualIgnoringCase(aHopName, aName);
                     }) ||
         HasToken(aFields, "Connection", aName);
}

// Names and values that were read from a message are sound already. This is
// where all others, such as names that operators and targets chose, are kept
// from adding fields or messages of their own.
std::string FieldLine(const std::string& aName, const std::string& aValue)
{
  if (aName.empty() || !IsFieldText(aName) || !IsFieldText(aValue)) {
    return "";
  }
  return aName + ": " + aValue + "\r\n";
}

} // namespace geraniumpond::frontend
