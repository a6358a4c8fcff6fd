#include "logging.h"

#include <Poco/JSON/Object.h>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <array>
#include <iostream>
#include <sstream>

namespace geraniumpond::edge {

namespace {

namespace logging = boost::log;

constexpr std::array<const char*, 4> kLevels = {
  "debug",
  "info",
  "warning",
  "error",
};

int LevelOf(const std::string& aName)
{
  for (std::size_t i = 0; i < kLevels.size(); ++i) {
    if (aName == kLevels[i]) {
      return static_cast<int>(i);
    }
  }
  return 1;
}

struct Line
{
  std::string mTime;
  const char* mLevel;
  std::string mMessage;
};

Line LineOf(const logging::record_view& aRecord)
{
  const auto time =
    logging::extract<boost::posix_time::ptime>("TimeStamp", aRecord);
  const auto level = logging::extract<int>("Severity", aRecord);
  const auto message = logging::extract<std::string>("Message", aRecord);
  return { time ? boost::posix_time::to_iso_extended_string(time.get()) : "",
           kLevels[static_cast<std::size_t>(level ? level.get() : 1)],
           message ? message.get() : "" };
}

void WriteText(const logging::record_view& aRecord,
               logging::formatting_ostream& aOut,
               const std::string& aHost)
{
  const Line line = LineOf(aRecord);
  aOut << "time=" << line.mTime << "Z level=" << line.mLevel
       << " host=" << aHost << " message=\"" << line.mMessage << "\"";
}

void WriteJson(const logging::record_view& aRecord,
               logging::formatting_ostream& aOut,
               const std::string& aHost)
{
  const Line line = LineOf(aRecord);
  Poco::JSON::Object object;
  object.set("time", line.mTime + "Z");
  object.set("level", line.mLevel);
  object.set("host", aHost);
  object.set("message", line.mMessage);
  std::ostringstream text;
  object.stringify(text);
  aOut << text.str();
}

} // namespace

void StartLogging(const std::string& aHost,
                  const std::string& aFormat,
                  const std::string& aLevel)
{
  using Backend = logging::sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink =
    boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
  const bool json = aFormat == "json";
  sink->set_formatter([json, aHost](const logging::record_view& aRecord,
                                    logging::formatting_ostream& aOut) {
    if (json) {
      WriteJson(aRecord, aOut, aHost);
    } else {
      WriteText(aRecord, aOut, aHost);
    }
  });
  const int level = LevelOf(aLevel);
  sink->set_filter(logging::expressions::attr<int>("Severity") >= level);
  logging::core::get()->add_sink(sink);
  logging::core::get()->add_global_attribute("TimeStamp",
                                             logging::attributes::utc_clock());
}

void WriteLog(int aLevel, const std::string& aMessage)
{
  static logging::sources::severity_logger_mt<int> logger;
  BOOST_LOG_SEV(logger, aLevel) << aMessage;
}

} // namespace geraniumpond::edge
