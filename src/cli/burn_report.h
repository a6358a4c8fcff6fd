#pragma once

#include <geraniumpond/burn.h>

#include <Poco/JSON/Object.h>

#include <map>
#include <string>
#include <tuple>
#include <vector>

/// \brief Service-level burn merged over hosts.
namespace geraniumpond::cli {

/// \brief One (service, kind, caller) over all hosts that answered.
struct MergedSeries
{
  double mObjectiveMs = 0;
  double mObjectiveShare = 0.99;
  /// Upper bound of each latency bin in milliseconds, and its count.
  std::map<double, std::uint64_t> mBins;
  std::map<std::string, burn::Bucket> mWindows;
  std::map<std::string, std::uint64_t> mOutcomes;
};

/// \brief The whole report.
struct BurnReport
{
  std::map<std::tuple<std::string, std::string, std::string>, MergedSeries>
    mSeries;
  std::vector<std::string> mHosts;
  /// Hosts that gave no answer: their calls are missing, not good.
  std::vector<std::string> mMissing;
};

/// \brief Adds one host's answer to the report.
void Merge(BurnReport& aReport, const Poco::JSON::Object& aHost);

[[nodiscard]] double QuantileMs(const MergedSeries& aSeries, double aShare);

[[nodiscard]] std::string BurnText(const BurnReport& aReport);
[[nodiscard]] std::string BurnJson(const BurnReport& aReport);
[[nodiscard]] std::string BurnHtml(const BurnReport& aReport);

} // namespace geraniumpond::cli
