#include "request_fields.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

namespace geraniumpond::frontend {

namespace {

/// Longest time at another host that is believed: the longest timeout of a
/// route.
constexpr Micros kLongestRelayTime = 600 * kSecond;
/// Slowest pace, in bytes per second, at which another host is sent an answer.
constexpr double kMinPace = 1000;

bool IsRelayField(const FieldNames& aNames, const std::string& aName)
{
  return EqualIgnoringCase(aName, aNames.mRelayedAfter) ||
         EqualIgnoringCase(aName, aNames.mAnswerPace) ||
         EqualIgnoringCase(aName, aNames.mRelayedAccount) ||
         EqualIgnoringCase(aName, aNames.mRelayedIdentity);
}

// Some servers hand fields to programs as variables, in which a hyphen and an
// underscore are the same.
bool IsAccountField(const FieldNames& aNames, std::string aName)
{
  std::replace(aName.begin(), aName.end(), '_', '-');
  return EqualIgnoringCase(aName, aNames.mAccount);
}

bool IsKept(const HttpRequest& aRequest,
            const FieldNames& aNames,
            const Forwarding& aForwarding,
            const std::string& aName)
{
  if (IsHopByHopField(aRequest.mFields, aName) || IsRelayField(aNames, aName) ||
      EqualIgnoringCase(aName, aNames.mTimeout) ||
      EqualIgnoringCase(aName, aNames.mExpectedTarget)) {
    return false;
  }
  return !aForwarding.mHidesKey ||
         (!EqualIgnoringCase(aName, aNames.mAuthorization) &&
          !IsAccountField(aNames, aName));
}

} // namespace

std::optional<accounts::KeyDigest> ParseKey(const HeaderFields& aFields,
                                            const FieldNames& aNames)
{
  const std::string* only = nullptr;
  for (const auto& [name, value] : aFields) {
    if (!EqualIgnoringCase(name, aNames.mAuthorization)) {
      continue;
    }
    if (only != nullptr) {
      return std::nullopt;
    }
    only = &value;
  }
  if (only == nullptr) {
    return std::nullopt;
  }
  const std::string value = Poco::trim(*only);
  const std::size_t space = value.find(' ');
  if (space == std::string::npos ||
      !EqualIgnoringCase(value.substr(0, space), aNames.mKeyScheme)) {
    return std::nullopt;
  }
  const std::string key = Poco::trim(value.substr(space));
  if (key.find_first_of(" \t,") != std::string::npos) {
    return std::nullopt;
  }
  return accounts::DigestOf(key);
}

RelayFields ParseRelayFields(const HeaderFields& aFields,
                             const FieldNames& aNames)
{
  RelayFields read;
  Poco::Int64 milliseconds = 0;
  Poco::UInt64 identity = 0;
  double pace = 0;
  for (auto field = aFields.begin(); field != aFields.end(); ++field) {
    const std::string& name = field->first;
    const std::string& value = field->second;
    if (!IsRelayField(aNames, name)) {
      continue;
    }
    read.mAny = true;
    if (std::any_of(aFields.begin(), field, [&](const auto& aEarlier) {
          return EqualIgnoringCase(aEarlier.first, name);
        })) {
      read.mUnsound = true;
    } else if (EqualIgnoringCase(name, aNames.mRelayedAccount)) {
      read.mAccount = value;
    } else if (EqualIgnoringCase(name, aNames.mRelayedAfter) &&
               Poco::NumberParser::tryParse64(value, milliseconds)) {
      read.mAfter =
        std::clamp<Micros>(milliseconds, 0, kLongestRelayTime / kMillisecond) *
        kMillisecond;
    } else if (EqualIgnoringCase(name, aNames.mRelayedIdentity) &&
               Poco::NumberParser::tryParseHex64(value, identity)) {
      read.mIdentity = identity;
    } else if (EqualIgnoringCase(name, aNames.mAnswerPace) &&
               Poco::NumberParser::tryParseFloat(value, pace)) {
      read.mBytesPerSecond = pace >= kMinPace ? pace : 0;
    } else {
      read.mUnsound = true;
    }
  }
  read.mBytesPerSecond = read.mAfter ? read.mBytesPerSecond : 0;
  return read;
}

std::string FieldLine(const std::string& aName, const std::string& aValue)
{
  return aName + ": " + aValue + "\r\n";
}

std::string ForwardedBytes(const HttpRequest& aRequest,
                           const FieldNames& aNames,
                           const Forwarding& aForwarding)
{
  std::string out;
  out.reserve(512 + aRequest.mBody.size());
  out += aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  bool framed = false;
  for (const auto& [name, value] : aRequest.mFields) {
    if (EqualIgnoringCase(name, "Content-Length") ||
        EqualIgnoringCase(name, "Transfer-Encoding")) {
      framed = true;
    } else if (IsKept(aRequest, aNames, aForwarding, name)) {
      out += FieldLine(name, value);
    }
  }
  const Micros left = std::max<Micros>(1, aForwarding.mTimeout / kMillisecond);
  out += FieldLine(aNames.mTimeout, std::to_string(left));
  out += aForwarding.mExtraFields;
  if (framed) {
    out += FieldLine("Content-Length", std::to_string(aRequest.mBody.size()));
  }
  out += "\r\n";
  out += aRequest.mBody;
  return out;
}

} // namespace geraniumpond::frontend
