#include "logging.h"

#include <Poco/JSON/Object.h>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sstream>
#include <unistd.h>

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

bool IsEvent(const std::string& aMessage)
{
  return aMessage.compare(0, 6, "event=") == 0;
}

void WriteText(const logging::record_view& aRecord,
               logging::formatting_ostream& aOut,
               const std::string& aHost)
{
  const Line line = LineOf(aRecord);
  aOut << "time=" << line.mTime << "Z level=" << line.mLevel
       << " host=" << aHost;
  if (IsEvent(line.mMessage)) {
    aOut << ' ' << line.mMessage;
  } else {
    aOut << " message=\"" << line.mMessage << "\"";
  }
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

/// \brief Writes complete lines to standard output, rate-limited and
/// non-blocking.
class BoundedOutput
  : public logging::sinks::
      basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding>
{
public:
  void consume(const logging::record_view&, const string_type& aLine)
  {
    if (!TakeToken()) {
      ++mDroppedLines;
      return;
    }
    if (mDroppedLines > 0 && Write("event=log_lines_left_out count=" +
                                   std::to_string(mDroppedLines))) {
      mDroppedLines = 0;
    }
    if (!Write(aLine)) {
      ++mDroppedLines;
    }
  }

private:
  // Enough for one line per request of a small host, with bursts of a few
  // seconds.
  static constexpr double kLinesPerSecond = 150;
  static constexpr double kBurst = 600;

  bool TakeToken()
  {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - mRefilled;
    mRefilled = now;
    mTokens = std::min(kBurst, mTokens + elapsed.count() * kLinesPerSecond);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

  // A writable pipe accepts a whole line: lines are shorter than PIPE_BUF, and
  // this is the only writer.
  static bool Write(const std::string& aLine)
  {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    constexpr std::size_t kMaxLine = 4000;
    std::string line = aLine.substr(0, kMaxLine);
    line += '\n';
    return ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
  }

  std::chrono::steady_clock::time_point mRefilled{};
  double mTokens = kBurst;
  std::uint64_t mDroppedLines = 0;
};

} // namespace

void StartLogging(const std::string& aHost,
                  const std::string& aFormat,
                  const std::string& aLevel)
{
  auto sink =
    boost::make_shared<logging::sinks::synchronous_sink<BoundedOutput>>();
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
