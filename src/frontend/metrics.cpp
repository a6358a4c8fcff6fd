#include "metrics.h"

#include <sstream>

namespace geraniumpond::frontend {

namespace {

/// Buckets from 0.1 ms to 30 s, ten per decade.
constexpr unsigned kBuckets = 55;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 30;
constexpr const char* kPrefix = "geraniumpond_";

} // namespace

Metrics::Series& Metrics::FindOrCreate(const std::string& aName,
                                       const std::string& aLabel)
{
  const auto key = std::make_pair(aName, aLabel);
  auto found = mSeries.find(key);
  if (found == mSeries.end()) {
    Series series{ boost::histogram::make_histogram(
                     Axis(kBuckets, kMinSeconds, kMaxSeconds)),
                   0,
                   0 };
    found = mSeries.emplace(key, std::move(series)).first;
  }
  return found->second;
}

void Metrics::Observe(Series& aSeries, Micros aDuration)
{
  const double seconds = static_cast<double>(aDuration) / kSecond;
  aSeries.mHistogram(seconds);
  aSeries.mSum += seconds;
  ++aSeries.mCount;
}

void Metrics::Observe(const std::string& aName,
                      const std::string& aLabel,
                      Micros aDuration)
{
  Observe(FindOrCreate(aName, aLabel), aDuration);
}

std::string Metrics::Text(const dispatch::Counters& aCounters,
                          const std::map<std::string, double>& aGauges) const
{
  std::ostringstream out;
  for (const auto& [name, value] : aCounters) {
    out << kPrefix << name << "_total " << value << "\n";
  }
  for (const auto& [name, value] : aGauges) {
    out << kPrefix << name << " " << value << "\n";
  }
  for (const auto& [key, series] : mSeries) {
    const std::string name = kPrefix + key.first + "_seconds";
    const std::string label = "kind=\"" + key.second + "\"";
    double cumulative = series.mHistogram.at(-1);
    for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
      cumulative += series.mHistogram.at(i);
      out << name << "_bucket{" << label << ",le=\""
          << series.mHistogram.axis().bin(i).upper() << "\"} " << cumulative
          << "\n";
    }
    out << name << "_bucket{" << label << ",le=\"+Inf\"} " << series.mCount
        << "\n"
        << name << "_sum{" << label << "} " << series.mSum << "\n"
        << name << "_count{" << label << "} " << series.mCount << "\n";
  }
  return out.str();
}

} // namespace geraniumpond::frontend
