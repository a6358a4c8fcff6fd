#include "burn_report.h"

#include <Poco/JSON/Array.h>

#include <iomanip>
#include <sstream>

namespace geraniumpond::cli {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

void MergeSeries(MergedSeries& aOut, const Object& aSeries)
{
  aOut.mObjectiveMs =
    std::max(aOut.mObjectiveMs, aSeries.getValue<double>("objective_ms"));
  aOut.mObjectiveShare = aSeries.getValue<double>("objective_share");
  for (const auto& bin : *aSeries.getArray("bins_ms")) {
    const auto& pair = bin.extract<Array::Ptr>();
    aOut.mBins[pair->getElement<double>(0)] +=
      pair->getElement<Poco::UInt64>(1);
  }
  for (const auto& entry : *aSeries.getArray("windows")) {
    const auto& window = entry.extract<Object::Ptr>();
    burn::Bucket& counts =
      aOut.mWindows[window->getValue<std::string>("window")];
    counts.mGood += window->getValue<Poco::UInt64>("good");
    counts.mTotal += window->getValue<Poco::UInt64>("total");
  }
  const auto outcomes = aSeries.getObject("outcomes");
  for (const std::string& name : outcomes->getNames()) {
    aOut.mOutcomes[name] += outcomes->getValue<Poco::UInt64>(name);
  }
}

std::uint64_t TotalOf(const MergedSeries& aSeries)
{
  std::uint64_t total = 0;
  for (const auto& [name, count] : aSeries.mOutcomes) {
    total += count;
  }
  return total;
}

} // namespace

void Merge(BurnReport& aReport, const Object& aHost)
{
  aReport.mHosts.push_back(aHost.getValue<std::string>("host"));
  for (const auto& entry : *aHost.getArray("series")) {
    const auto& series = entry.extract<Object::Ptr>();
    MergeSeries(aReport.mSeries[{ series->getValue<std::string>("service"),
                                  series->getValue<std::string>("kind"),
                                  series->getValue<std::string>("caller") }],
                *series);
  }
}

double QuantileMs(const MergedSeries& aSeries, double aShare)
{
  std::uint64_t total = 0;
  for (const auto& [upper, count] : aSeries.mBins) {
    total += count;
  }
  std::uint64_t seen = 0;
  for (const auto& [upper, count] : aSeries.mBins) {
    seen += count;
    if (static_cast<double>(seen) >= aShare * static_cast<double>(total)) {
      return upper;
    }
  }
  return 0;
}

std::string BurnText(const BurnReport& aReport)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << "service-level burn over " << aReport.mHosts.size() << " hosts\n";
  for (const std::string& host : aReport.mMissing) {
    out << "MISSING " << host << ": no answer; its calls are not in here\n";
  }
  for (const auto& [key, series] : aReport.mSeries) {
    out << "\n"
        << std::get<0>(key) << "/" << std::get<1>(key) << " of "
        << std::get<2>(key) << ": " << TotalOf(series) << " answers, p50 "
        << QuantileMs(series, 0.5) << " ms, p99 " << QuantileMs(series, 0.99)
        << " ms; objective " << 100 * series.mObjectiveShare << " % within "
        << series.mObjectiveMs << " ms\n ";
    for (const auto& [name, count] : series.mOutcomes) {
      out << " " << name << "=" << count;
    }
    out << "\n  burn:";
    for (const auto& [name, counts] : series.mWindows) {
      out << " " << name << "="
          << burn::BurnRate(counts, series.mObjectiveShare);
    }
    out << "\n";
  }
  return out.str();
}

std::string BurnJson(const BurnReport& aReport)
{
  Array all;
  for (const auto& [key, series] : aReport.mSeries) {
    Object object;
    object.set("service", std::get<0>(key));
    object.set("kind", std::get<1>(key));
    object.set("caller", std::get<2>(key));
    object.set("answers", static_cast<Poco::UInt64>(TotalOf(series)));
    object.set("p50_ms", QuantileMs(series, 0.5));
    object.set("p99_ms", QuantileMs(series, 0.99));
    object.set("objective_ms", series.mObjectiveMs);
    object.set("objective_share", series.mObjectiveShare);
    Object windows;
    for (const auto& [name, counts] : series.mWindows) {
      windows.set(name, burn::BurnRate(counts, series.mObjectiveShare));
    }
    object.set("burn", windows);
    Object outcomes;
    for (const auto& [name, count] : series.mOutcomes) {
      outcomes.set(name, static_cast<Poco::UInt64>(count));
    }
    object.set("outcomes", outcomes);
    all.add(object);
  }
  Array hosts;
  for (const std::string& host : aReport.mHosts) {
    hosts.add(host);
  }
  Array missing;
  for (const std::string& host : aReport.mMissing) {
    missing.add(host);
  }
  Object report;
  report.set("hosts", hosts);
  report.set("missing", missing);
  report.set("series", all);
  std::ostringstream text;
  report.stringify(text, 2);
  return text.str();
}

} // namespace geraniumpond::cli
