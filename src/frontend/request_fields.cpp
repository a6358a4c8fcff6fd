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
constexpr std::size_t kUsualHeadBytes = 512;

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

// Reads one field; false if its value is not readable.
bool ReadRelayField(const FieldNames& aNames,
                    const std::pair<std::string, std::string>& aField,
                    RelayFields& aOut)
{
  const auto& [name, value] = aField;
  if (EqualIgnoringCase(name, aNames.mRelayedAccount)) {
    aOut.mAccount = value;
    return true;
  }
  if (EqualIgnoringCase(name, aNames.mRelayedAfter)) {
    Poco::Int64 milliseconds = 0;
    const bool isRead = Poco::NumberParser::tryParse64(value, milliseconds);
    const Micros after =
      std::clamp<Micros>(milliseconds, 0, kLongestRelayTime / kMillisecond);
    aOut.mAfter =
      isRead ? std::optional<Micros>(after * kMillisecond) : std::nullopt;
    return isRead;
  }
  if (EqualIgnoringCase(name, aNames.mRelayedIdentity)) {
    Poco::UInt64 identity = 0;
    const bool isRead = Poco::NumberParser::tryParseHex64(value, identity);
    aOut.mIdentity =
      isRead ? std::optional<std::uint64_t>(identity) : std::nullopt;
    return isRead;
  }
  double pace = 0;
  const bool isRead = Poco::NumberParser::tryParseFloat(value, pace);
  aOut.mBytesPerSecond = isRead && pace >= kMinPace ? pace : 0;
  return isRead;
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
  for (auto field = aFields.begin(); field != aFields.end(); ++field) {
    if (!IsRelayField(aNames, field->first)) {
      continue;
    }
    read.mAny = true;
    const bool isRepeated =
      std::any_of(aFields.begin(), field, [&](const auto& aEarlier) {
        return EqualIgnoringCase(aEarlier.first, field->first);
      });
    if (isRepeated || !ReadRelayField(aNames, *field, read)) {
      read.mUnsound = true;
    }
  }
  read.mBytesPerSecond = read.mAfter ? read.mBytesPerSecond : 0;
  return read;
}

std::string ForwardedHead(const HttpRequest& aRequest,
                          const FieldNames& aNames,
                          const Forwarding& aForwarding)
{
  std::string out;
  out.reserve(kUsualHeadBytes);
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
  return out;
}

std::string ForwardedBytes(const HttpRequest& aRequest,
                           const FieldNames& aNames,
                           const Forwarding& aForwarding)
{
  return ForwardedHead(aRequest, aNames, aForwarding) + aRequest.mBody;
}

} // namespace geraniumpond::frontend
