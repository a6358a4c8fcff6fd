#pragma once

#include <algorithm>
#include <string_view>

namespace geraniumpond {

/// \brief True for text that can stand in a header field without changing the
/// message around it: it holds no control character other than a tab.
[[nodiscard]] inline bool IsFieldText(std::string_view aText) noexcept
{
  constexpr char kDelete = 0x7f;
  return std::none_of(aText.begin(), aText.end(), [](char aChar) {
    const bool isControl =
      static_cast<unsigned char>(aChar) < ' ' || aChar == kDelete;
    return isControl && aChar != '\t';
  });
}

/// \brief True for text that can stand between the spaces of a request line.
[[nodiscard]] inline bool IsRequestTarget(std::string_view aText) noexcept
{
  return IsFieldText(aText) &&
         aText.find_first_of(" \t") == std::string_view::npos;
}

} // namespace geraniumpond
