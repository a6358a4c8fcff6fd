#pragma once

#include <geraniumpond/dispatch.h>
#include <geraniumpond/time.h>

#include <boost/histogram.hpp>

#include <map>
#include <string>
#include <utility>

namespace geraniumpond::frontend {

/// \brief Latency histograms of one process, exported in Prometheus text
/// format.
class Metrics
{
private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

public:
  /// \brief One histogram. References to it stay valid.
  struct Series
  {
    Histogram mHistogram;
    double mSum = 0;
    std::uint64_t mCount = 0;
  };

  /// \brief Finds or creates the histogram `aName{kind="aLabel"}`.
  [[nodiscard]] Series& FindOrCreate(const std::string& aName,
                                     const std::string& aLabel);
  static void Observe(Series& aSeries, Micros aDuration);

  /// \brief Adds a duration to the histogram `aName{kind="aLabel"}`.
  void Observe(const std::string& aName,
               const std::string& aLabel,
               Micros aDuration);

  /// \brief Formats counters, gauges and histograms.
  [[nodiscard]] std::string Text(
    const dispatch::Counters& aCounters,
    const std::map<std::string, double>& aGauges) const;

private:
  std::map<std::pair<std::string, std::string>, Series> mSeries;
};

} // namespace geraniumpond::frontend
