#pragma once

#include <geraniumpond/time.h>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/// \brief Latency histograms and error budget burn rates of service-level
/// objectives.
namespace geraniumpond::burn {

using LatencyAxis =
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>;
using Histogram =
  decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

/// \brief An empty histogram of latencies in milliseconds, 0.05 ms to 100 s.
[[nodiscard]] Histogram NewHistogram();

/// \brief Upper bound in milliseconds of the bin that contains a quantile; 0
/// for an empty histogram.
[[nodiscard]] double Quantile(const Histogram& aHistogram, double aShare);

/// \brief Counts of answers in one interval, and of those that met the
/// objective.
struct Bucket
{
  std::uint64_t mGood = 0;
  std::uint64_t mTotal = 0;
};

/// \brief Length of a bucket, at most that of the shortest window.
constexpr Micros kBucketLength = 5 * kMinute;

/// \brief Number of buckets kept: three days.
constexpr std::size_t kBuckets = 3 * 24 * 12;

/// \brief Statistics of one (service, kind, caller).
struct Series
{
  Histogram mLatency = NewHistogram();
  std::map<std::int64_t, Bucket> mBuckets;
  std::map<std::string, std::uint64_t> mOutcomes;
  double mObjectiveShare = 0.99;
  Micros mObjectiveTime = 0;
};

using SeriesKey = std::tuple<std::string, std::string, std::string>;

/// \brief All series of one host.
using SeriesMap = std::map<SeriesKey, Series>;

/// \brief Records an answer.
void AddAnswer(Series& aSeries,
               Micros aNow,
               Micros aLatency,
               const std::string& aOutcome,
               bool aGood);

/// \brief Sums the buckets of the last `aWindow`.
[[nodiscard]] Bucket SumBuckets(const Series& aSeries,
                                Micros aNow,
                                Micros aWindow);

/// \brief Burn rate of the error budget; 1 spends exactly the whole budget over
/// the objective's period. 0 without answers.
[[nodiscard]] double BurnRate(const Bucket& aCounts, double aObjectiveShare);

/// \brief A time window of the report.
struct Window
{
  const char* mName;
  Micros mLength;
};

[[nodiscard]] const std::vector<Window>& Windows();

} // namespace geraniumpond::burn
