#include <geraniumpond/burn.h>

namespace geraniumpond::burn {

namespace {

constexpr unsigned kBins = 120;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 100000.0;

} // namespace

Histogram NewHistogram()
{
  return boost::histogram::make_histogram(
    LatencyAxis(kBins, kLowestMs, kHighestMs));
}

double Quantile(const Histogram& aHistogram, double aShare)
{
  double total = 0;
  for (auto&& bin :
       boost::histogram::indexed(aHistogram, boost::histogram::coverage::all)) {
    total += static_cast<double>(*bin);
  }
  if (total <= 0) {
    return 0;
  }
  double seen = 0;
  for (auto&& bin :
       boost::histogram::indexed(aHistogram, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= aShare * total) {
      return bin.bin(0).upper();
    }
  }
  return kHighestMs;
}

void AddAnswer(Series& aSeries,
               Micros aNow,
               Micros aLatency,
               const std::string& aOutcome,
               bool aGood)
{
  aSeries.mLatency(static_cast<double>(aLatency) / kMillisecond);
  ++aSeries.mOutcomes[aOutcome];
  Bucket& bucket = aSeries.mBuckets[aNow / kBucketLength];
  ++bucket.mTotal;
  bucket.mGood += aGood ? 1 : 0;
  if (aSeries.mBuckets.size() > kBuckets) {
    aSeries.mBuckets.erase(aSeries.mBuckets.begin());
  }
}

Bucket SumBuckets(const Series& aSeries, Micros aNow, Micros aWindow)
{
  Bucket sum;
  const auto first =
    aSeries.mBuckets.lower_bound((aNow - aWindow) / kBucketLength);
  for (auto it = first; it != aSeries.mBuckets.end(); ++it) {
    sum.mGood += it->second.mGood;
    sum.mTotal += it->second.mTotal;
  }
  return sum;
}

double BurnRate(const Bucket& aCounts, double aObjectiveShare)
{
  if (aCounts.mTotal == 0) {
    return 0;
  }
  const double bad = 1.0 - static_cast<double>(aCounts.mGood) /
                             static_cast<double>(aCounts.mTotal);
  return bad / (1.0 - aObjectiveShare);
}

const std::vector<Window>& Windows()
{
  static const std::vector<Window> windows = {
    { "5m", 5 * kMinute },
    { "1h", 60 * kMinute },
    { "6h", 360 * kMinute },
    { "3d", 3 * 24 * 60 * kMinute },
  };
  return windows;
}

} // namespace geraniumpond::burn
