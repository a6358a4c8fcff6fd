#include <geraniumpond/views.h>

#include <sstream>

namespace geraniumpond::views {

namespace {

void WriteMetric(std::ostringstream& aOut,
                 const std::string& aName,
                 const std::string& aLabels,
                 double aValue)
{
  aOut << "geraniumpond_" << aName;
  if (!aLabels.empty()) {
    aOut << "{" << aLabels << "}";
  }
  aOut << " " << aValue << "\n";
}

std::string Label(const std::string& aService, const std::string& aKind)
{
  return "service=\"" + aService + "\",kind=\"" + aKind + "\"";
}

// Aggregates over client accounts: competitors share the system, and anyone who
// can reach the port can read the metrics.
std::map<std::pair<std::string, std::string>, burn::Series> AggregateSeries(
  const node::State& aState)
{
  std::map<std::pair<std::string, std::string>, burn::Series> sums;
  for (const auto& [key, series] : aState.mBook) {
    burn::Series& sum = sums[{ std::get<0>(key), std::get<1>(key) }];
    sum.mLatency += series.mLatency;
    for (const auto& [name, count] : series.mOutcomes) {
      sum.mOutcomes[name] += count;
    }
  }
  return sums;
}

void WriteSeries(std::ostringstream& aOut, const node::State& aState)
{
  for (const auto& [key, series] : AggregateSeries(aState)) {
    const std::string label = Label(key.first, key.second);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(series.mLatency)) {
      const auto count = static_cast<double>(*bin);
      seen += count;
      if (count > 0) {
        WriteMetric(aOut,
                    "latency_ms_bucket",
                    label + ",le=\"" + std::to_string(bin.bin(0).upper()) +
                      "\"",
                    seen);
      }
    }
    WriteMetric(aOut, "latency_ms_bucket", label + ",le=\"+Inf\"", seen);
    WriteMetric(aOut, "latency_ms_count", label, seen);
    for (const auto& [name, count] : series.mOutcomes) {
      WriteMetric(aOut,
                  "answers_total",
                  label + ",outcome=\"" + name + "\"",
                  static_cast<double>(count));
    }
  }
}

void WriteServices(std::ostringstream& aOut,
                   const node::State& aState,
                   Micros aNow)
{
  for (const auto& [name, service] : aState.mServices) {
    const std::string label = "service=\"" + name + "\"";
    WriteMetric(aOut,
                "waiting",
                label,
                static_cast<double>(service.mQueue.mWaiters.size()));
    WriteMetric(aOut,
                "targets",
                label,
                static_cast<double>(service.mTargets.mTargets.size()));
    WriteMetric(aOut,
                "targets_ejected_share",
                label,
                routing::EjectedShare(service.mTargets, aNow));
    WriteMetric(aOut,
                "first_attempts_total",
                label,
                static_cast<double>(service.mFirstAttempts));
    WriteMetric(aOut,
                "extra_attempts_total",
                label,
                static_cast<double>(service.mExtraAttempts));
  }
}

} // namespace

std::string Metrics(const node::State& aState, Micros aNow)
{
  std::ostringstream out;
  WriteSeries(out, aState);
  WriteServices(out, aState, aNow);
  for (const auto& [name, count] : aState.mCounters) {
    WriteMetric(out, name + "_total", "", static_cast<double>(count));
  }
  WriteMetric(out,
              "requests_in_flight",
              "",
              static_cast<double>(aState.mRequests.size()));
  WriteMetric(out,
              "deployment_version",
              "",
              static_cast<double>(aState.mVersion.version()));
  WriteMetric(out, "control_bytes_taken_total", "", aState.mHostBudget.mTaken);
  WriteMetric(out, "control_bytes_allowed", "", aState.mHostBudget.mPerSecond);
  return out.str();
}

} // namespace geraniumpond::views
