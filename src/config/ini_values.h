#pragma once

#include "ini.h"

/// \brief How single values of INI files are read and what they may be.
namespace geraniumpond::ini {

/// \brief Parts of a list, separated by commas or spaces.
[[nodiscard]] std::vector<std::string> Split(const std::string& aText);

/// \brief True when a value is what its rule allows.
[[nodiscard]] bool Matches(const KeyRule& aRule, const std::string& aValue);

/// \brief What a rule allows, for messages.
[[nodiscard]] std::string Allowed(const KeyRule& aRule);

} // namespace geraniumpond::ini
