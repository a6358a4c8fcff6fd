#include <geraniumpond/views.h>

#include <sstream>

namespace geraniumpond::views {

namespace {

void Line(std::ostringstream& aOut,
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
std::map<std::pair<std::string, std::string>, burn::Series> Sums(
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
  for (const auto& [key, series] : Sums(aState)) {
    const std::string label = Label(key.first, key.second);
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(series.mLatency)) {
      const auto count = static_cast<double>(*bin);
      seen += count;
      if (count > 0) {
        Line(aOut,
             "latency_ms_bucket",
             label + ",le=\"" + std::to_string(bin.bin(0).upper()) + "\"",
             seen);
      }
    }
    Line(aOut, "latency_ms_bucket", label + ",le=\"+Inf\"", seen);
    Line(aOut, "latency_ms_count", label, seen);
    for (const auto& [name, count] : series.mOutcomes) {
      Line(aOut,
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
    Line(aOut,
         "waiting",
         label,
         static_cast<double>(service.mQueue.mWaiters.size()));
    Line(aOut,
         "targets",
         label,
         static_cast<double>(service.mTargets.mTargets.size()));
    Line(aOut,
         "targets_ejected_share",
         label,
         routing::EjectedShare(service.mTargets, aNow));
    Line(aOut,
         "first_attempts_total",
         label,
         static_cast<double>(service.mFirstAttempts));
    Line(aOut,
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
    Line(out, name + "_total", "", static_cast<double>(count));
  }
  Line(out,
       "requests_in_flight",
       "",
       static_cast<double>(aState.mRequests.size()));
  Line(out,
       "deployment_version",
       "",
       static_cast<double>(aState.mVersion.version()));
  Line(out, "control_bytes_taken_total", "", aState.mHostBudget.mTaken);
  Line(out, "control_bytes_allowed", "", aState.mHostBudget.mPerSecond);
  return out.str();
}

} // namespace geraniumpond::views
