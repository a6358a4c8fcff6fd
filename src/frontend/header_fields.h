#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \brief Header fields of HTTP messages: looked up, read and written.
namespace geraniumpond::frontend {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// \brief Compares two names or tokens ignoring ASCII case.
[[nodiscard]] bool EqualIgnoringCase(std::string_view aLeft,
                                     std::string_view aRight);

/// \brief Value of the first field of a name, ignoring case; null if absent.
[[nodiscard]] const std::string* FindField(const HeaderFields& aFields,
                                           std::string_view aName);

/// \brief Number of fields of a name, ignoring case.
[[nodiscard]] std::size_t CountFields(const HeaderFields& aFields,
                                      std::string_view aName);

/// \brief True if a comma-separated field contains `aToken`.
[[nodiscard]] bool HasToken(const HeaderFields& aFields,
                            std::string_view aName,
                            std::string_view aToken);

/// \brief Seconds for which the peer keeps an idle connection open; 0 if not
/// stated.
[[nodiscard]] int KeepAliveSeconds(const HeaderFields& aFields);

/// \brief True for hop-by-hop fields, which are not forwarded.
[[nodiscard]] bool IsHopByHopField(const HeaderFields& aFields,
                                   const std::string& aName);

/// \brief One line of a header; empty for a name or value that would not stay
/// within one line.
[[nodiscard]] std::string FieldLine(const std::string& aName,
                                    const std::string& aValue);

} // namespace geraniumpond::frontend
