#pragma once

#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

/// \brief Command line of the stand-ins: --name value pairs.
namespace geraniumpond::fakes {

struct Options
{
  std::map<std::string, std::string> mValues;

  [[nodiscard]] std::string Text(const std::string& aName,
                                 const std::string& aDefault = "") const
  {
    const auto found = mValues.find(aName);
    return found == mValues.end() ? aDefault : found->second;
  }
  [[nodiscard]] double Number(const std::string& aName, double aDefault) const
  {
    const auto found = mValues.find(aName);
    return found == mValues.end() ? aDefault
                                  : std::strtod(found->second.c_str(), nullptr);
  }
  [[nodiscard]] std::vector<std::string> List(const std::string& aName) const
  {
    std::vector<std::string> parts;
    std::istringstream text(Text(aName));
    std::string part;
    while (std::getline(text, part, ',')) {
      parts.push_back(part);
    }
    return parts;
  }
};

inline Options ParseOptions(int aCount, char** aWords)
{
  Options options;
  for (int i = 1; i + 1 < aCount; i += 2) {
    options.mValues[std::string(aWords[i]).substr(2)] = aWords[i + 1];
  }
  return options;
}

} // namespace geraniumpond::fakes
