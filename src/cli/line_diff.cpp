#include "line_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace geraniumpond::cli {

namespace {

using Lines = std::vector<std::string>;

Lines LinesOf(const std::string& aText)
{
  Lines lines;
  std::istringstream text(aText);
  std::string line;
  while (std::getline(text, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<int>> CommonLengths(const Lines& aOld,
                                            const Lines& aNew)
{
  std::vector<std::vector<int>> lengths(aOld.size() + 1,
                                        std::vector<int>(aNew.size() + 1));
  for (std::size_t i = aOld.size(); i-- > 0;) {
    for (std::size_t k = aNew.size(); k-- > 0;) {
      lengths[i][k] = aOld[i] == aNew[k]
                        ? lengths[i + 1][k + 1] + 1
                        : std::max(lengths[i + 1][k], lengths[i][k + 1]);
    }
  }
  return lengths;
}

} // namespace

std::string LineDiff(const std::string& aOld, const std::string& aNew)
{
  const Lines old = LinesOf(aOld);
  const Lines fresh = LinesOf(aNew);
  const auto lengths = CommonLengths(old, fresh);
  std::ostringstream out;
  std::size_t i = 0;
  std::size_t k = 0;
  while (i < old.size() || k < fresh.size()) {
    const bool both = i < old.size() && k < fresh.size();
    if (both && old[i] == fresh[k]) {
      ++i;
      ++k;
    } else if (k == fresh.size() ||
               (i < old.size() && lengths[i + 1][k] >= lengths[i][k + 1])) {
      out << "- " << i + 1 << ": " << old[i] << "\n";
      ++i;
    } else {
      out << "+ " << k + 1 << ": " << fresh[k] << "\n";
      ++k;
    }
  }
  return out.str();
}

} // namespace geraniumpond::cli
