#include "target_fields.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace geraniumpond::frontend {

namespace {

constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr const char* kRetryAfter = "Retry-After";
/// A target is asked again after this time, however long it wants to rest.
constexpr Micros kLongestRest = 60 * kSecond;
/// Longest warm-up that is believed.
constexpr Micros kLongestWarmUp = 600 * kSecond;

} // namespace

std::optional<dispatch::Report> ParseLoad(const std::string& aText)
{
  const Poco::StringTokenizer parts(
    aText, ",", Poco::StringTokenizer::TOK_TRIM);
  if (parts.count() < 3) {
    return std::nullopt;
  }
  dispatch::Report report;
  int percent = 100;
  const bool valid =
    Poco::NumberParser::tryParse(parts[0], report.mRunning) &&
    Poco::NumberParser::tryParse(parts[1], report.mWaiting) &&
    Poco::NumberParser::tryParse(parts[2], report.mSlots) &&
    (parts.count() < 4 || Poco::NumberParser::tryParse(parts[3], percent));
  if (!valid || report.mRunning < 0 || report.mWaiting < 0 ||
      report.mSlots < 1 || percent < 1) {
    return std::nullopt;
  }
  report.mSlowness = percent / 100.0;
  return report;
}

dispatch::StatedLimit ParseLimit(const HeaderFields& aFields,
                                 const std::string& aName)
{
  using Kind = dispatch::StatedLimit::Kind;
  const std::string* value = FindField(aFields, aName);
  if (aName.empty() || value == nullptr) {
    return {};
  }
  const std::string text = Poco::trim(*value);
  const char* end = text.data() + text.size();
  double perSecond = 0;
  const auto read = std::from_chars(text.data(), end, perSecond);
  const bool valid = CountFields(aFields, aName) == 1 &&
                     read.ec == std::errc() && read.ptr == end &&
                     std::isfinite(perSecond) && perSecond >= 0;
  return valid ? dispatch::StatedLimit{ Kind::Valid, perSecond }
               : dispatch::StatedLimit{ Kind::Invalid, 0 };
}

std::optional<Micros> ParseWarmUp(const HeaderFields& aFields,
                                  const std::string& aName)
{
  const std::string* value = FindField(aFields, aName);
  Poco::Int64 milliseconds = 0;
  if (aName.empty() || value == nullptr ||
      !Poco::NumberParser::tryParse64(Poco::trim(*value), milliseconds) ||
      milliseconds < 0) {
    return std::nullopt;
  }
  return std::min<Micros>(milliseconds, kLongestWarmUp / kMillisecond) *
         kMillisecond;
}

namespace {

// Seconds, with or without a fraction.
std::optional<double> ParseSeconds(const std::string& aText)
{
  const char* end = aText.data() + aText.size();
  double seconds = 0;
  const auto read = std::from_chars(aText.data(), end, seconds);
  const bool valid =
    read.ec == std::errc() && read.ptr == end && std::isfinite(seconds);
  return valid ? std::optional<double>(seconds) : std::nullopt;
}

// The parser takes text without a date, so that the date has to be written the
// same again.
std::optional<double> SecondsUntil(const std::string& aDate,
                                   const Poco::Timestamp& aNow)
{
  const std::string& format = Poco::DateTimeFormat::HTTP_FORMAT;
  Poco::DateTime date;
  int zone = 0;
  if (!Poco::DateTimeParser::tryParse(format, aDate, date, zone) ||
      Poco::DateTimeFormatter::format(date, format) != aDate) {
    return std::nullopt;
  }
  const auto until = static_cast<double>(date.timestamp() - aNow);
  return std::max(0.0, until / kSecond);
}

} // namespace

dispatch::StatedRest ParseRest(const HttpResponse& aResponse,
                               const Poco::Timestamp& aNow)
{
  using Kind = dispatch::StatedRest::Kind;
  const std::string* value = FindField(aResponse.mFields, kRetryAfter);
  const bool refuses = aResponse.mStatus == kStatusUnavailable ||
                       aResponse.mStatus == kStatusTooManyRequests;
  if (value == nullptr || !refuses) {
    return {};
  }
  const std::string text = Poco::trim(*value);
  std::optional<double> seconds = ParseSeconds(text);
  if (!seconds) {
    seconds = SecondsUntil(text, aNow);
  }
  if (!seconds || *seconds < 0 ||
      CountFields(aResponse.mFields, kRetryAfter) != 1) {
    return { Kind::Invalid, 0 };
  }
  const double longest = static_cast<double>(kLongestRest) / kSecond;
  return { Kind::Valid,
           static_cast<Micros>(std::min(*seconds, longest) * kSecond) };
}

} // namespace geraniumpond::frontend
