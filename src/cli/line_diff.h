#pragma once

#include <string>

namespace geraniumpond::cli {

/// \brief Lines that differ between two texts, removed ones with "-", added
/// ones with "+", each behind its line number; empty when none do.
[[nodiscard]] std::string LineDiff(const std::string& aOld,
                                   const std::string& aNew);

} // namespace geraniumpond::cli
