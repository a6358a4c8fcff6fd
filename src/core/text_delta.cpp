#include <geraniumpond/text_delta.h>

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::text_delta {

wire::TextDelta MakeDelta(const std::string& aBase, const std::string& aNext)
{
  const std::size_t maxLength = std::min(aBase.size(), aNext.size());
  std::size_t prefix = 0;
  while (prefix < maxLength && aBase[prefix] == aNext[prefix]) {
    ++prefix;
  }
  std::size_t suffix = 0;
  while (suffix < maxLength - prefix &&
         aBase[aBase.size() - 1 - suffix] == aNext[aNext.size() - 1 - suffix]) {
    ++suffix;
  }
  wire::TextDelta delta;
  delta.set_prefix_bytes(prefix);
  delta.set_suffix_bytes(suffix);
  delta.set_middle(aNext.substr(prefix, aNext.size() - prefix - suffix));
  delta.set_digest(Hash64(aNext));
  return delta;
}

Result<std::string> Apply(const std::string& aBase,
                          const wire::TextDelta& aDelta)
{
  if (aDelta.prefix_bytes() > aBase.size() ||
      aDelta.suffix_bytes() > aBase.size() - aDelta.prefix_bytes()) {
    return Fail(ErrorCode::Corrupt, "the delta is of another text");
  }
  std::string next = aBase.substr(0, aDelta.prefix_bytes()) + aDelta.middle() +
                     aBase.substr(aBase.size() - aDelta.suffix_bytes());
  if (Hash64(next) != aDelta.digest()) {
    return Fail(ErrorCode::Corrupt, "the delta is of another text");
  }
  return next;
}

} // namespace geraniumpond::text_delta
