#include "request_digest.h"

#include <geraniumpond/hash.h>

namespace geraniumpond::frontend {

std::uint64_t ContentDigest(const HttpRequest& aRequest,
                            const std::vector<std::string>& aCallerFields)
{
  std::uint64_t digest = Hash64(aRequest.mMethod);
  for (const std::string& name : aCallerFields) {
    const std::string* value = FindField(aRequest.mFields, name);
    // The prefix distinguishes an empty field from a missing one.
    digest = Hash64(value == nullptr ? "" : "=" + *value, digest);
  }
  return Hash64(std::to_string(aRequest.mBodyDigest), digest);
}

} // namespace geraniumpond::frontend
