#include "burn_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace geraniumpond::cli {

namespace {

constexpr double kWidth = 460;
constexpr double kHeight = 180;
constexpr double kLeft = 46;
constexpr double kTop = 12;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 100000;
// Burn rates are drawn up to here; a rate of 1 spends the budget exactly.
constexpr double kMostBurn = 20;

std::string Escape(const std::string& aText)
{
  std::string out;
  for (const char next : aText) {
    switch (next) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += next;
    }
  }
  return out;
}

double XOf(double aMs)
{
  const double share = std::log(std::max(aMs, kLowestMs) / kLowestMs) /
                       std::log(kHighestMs / kLowestMs);
  return kLeft + share * kWidth;
}

double YOf(double aShare)
{
  return kTop + (1.0 - aShare) * kHeight;
}

void Line(std::ostringstream& aOut,
          double aX1,
          double aY1,
          double aX2,
          double aY2,
          const char* aClass)
{
  aOut << "<line x1='" << aX1 << "' y1='" << aY1 << "' x2='" << aX2 << "' y2='"
       << aY2 << "' class='" << aClass << "'/>";
}

void Label(std::ostringstream& aOut,
           double aX,
           double aY,
           const std::string& aText)
{
  aOut << "<text x='" << aX << "' y='" << aY << "'>" << aText << "</text>";
}

void LatencyPlot(std::ostringstream& aOut, const MergedSeries& aSeries)
{
  aOut << "<svg viewBox='0 0 560 230' role='img' "
          "aria-label='share of answers by latency'>";
  for (const double ms : { 0.1, 1.0, 10.0, 100.0, 1000.0, 10000.0 }) {
    Line(aOut, XOf(ms), kTop, XOf(ms), kTop + kHeight, "grid");
    std::ostringstream text;
    text << ms << " ms";
    Label(aOut, XOf(ms) - 14, kTop + kHeight + 16, text.str());
  }
  for (const double share : { 0.0, 0.5, 0.9, 1.0 }) {
    Line(aOut, kLeft, YOf(share), kLeft + kWidth, YOf(share), "grid");
    std::ostringstream text;
    text << 100 * share << " %";
    Label(aOut, 4, YOf(share) + 4, text.str());
  }
  std::uint64_t total = 0;
  for (const auto& [upper, count] : aSeries.mBins) {
    total += count;
  }
  std::uint64_t seen = 0;
  aOut << "<polyline class='curve' points='" << XOf(kLowestMs) << "," << YOf(0);
  for (const auto& [upper, count] : aSeries.mBins) {
    seen += count;
    const double share = static_cast<double>(seen) / static_cast<double>(total);
    aOut << " " << XOf(upper) << "," << YOf(share);
  }
  aOut << "'/>";
  if (aSeries.mObjectiveMs > 0) {
    const double x = XOf(aSeries.mObjectiveMs);
    Line(aOut, x, kTop, x, kTop + kHeight, "goal");
    Label(aOut, x + 4, kTop + 12, "objective");
  }
  aOut << "</svg>";
}

void BurnBars(std::ostringstream& aOut, const MergedSeries& aSeries)
{
  aOut << "<table><tr><th>window</th><th>good</th><th>all</th><th>burn</th>"
          "<th></th></tr>";
  for (const auto& [name, counts] : aSeries.mWindows) {
    const double burn = burn::BurnRate(counts, aSeries.mObjectiveShare);
    const double width = 220 * std::min(burn, kMostBurn) / kMostBurn;
    const char* kind = burn > 1 ? "bad" : "good";
    aOut << "<tr><td>" << Escape(name) << "</td><td>" << counts.mGood
         << "</td><td>" << counts.mTotal << "</td><td>" << burn
         << "</td><td><svg viewBox='0 0 220 12' class='bar'><rect class='"
         << kind << "' width='" << width << "' height='12'/>";
    Line(aOut, 11, 0, 11, 12, "goal");
    aOut << "</svg></td></tr>";
  }
  aOut << "</table>";
}

constexpr const char* kStyle =
  "body{font:15px sans-serif;margin:2em auto;max-width:900px;color:#222}"
  "section{border-top:1px solid #ccc;padding:1em 0;display:grid;"
  "grid-template-columns:1fr 1fr;gap:1em}h2{grid-column:1/3;margin:0}"
  "p{grid-column:1/3;margin:0}svg text{font-size:11px;fill:#555}"
  ".grid{stroke:#ddd}.goal{stroke:#c60;stroke-dasharray:4 3}"
  ".curve{fill:none;stroke:#06c;stroke-width:2}.bar{width:220px}"
  ".good{fill:#393}.bad{fill:#c33}td,th{text-align:right;padding:2px 8px}"
  ".missing{color:#c33;font-weight:bold}";

} // namespace

std::string BurnHtml(const BurnReport& aReport)
{
  std::ostringstream out;
  out << std::setprecision(4);
  out << "<!doctype html><html lang='en'><meta charset='utf-8'>"
         "<title>Service-level burn</title><style>"
      << kStyle << "</style><h1>Service-level burn</h1><p>Hosts: ";
  for (const std::string& host : aReport.mHosts) {
    out << Escape(host) << " ";
  }
  out << "</p>";
  for (const std::string& host : aReport.mMissing) {
    out << "<p class='missing'>Missing: " << Escape(host)
        << " gave no answer; its calls are not in here.</p>";
  }
  out << "<p>A burn of 1 spends the error budget exactly (dashed line); bars "
         "end at "
      << kMostBurn << ".</p>";
  for (const auto& [key, series] : aReport.mSeries) {
    out << "<section><h2>" << Escape(std::get<0>(key)) << " / "
        << Escape(std::get<1>(key)) << " — " << Escape(std::get<2>(key))
        << "</h2><p>" << 100 * series.mObjectiveShare << " % within "
        << series.mObjectiveMs << " ms; p50 " << QuantileMs(series, 0.5)
        << " ms, p99 " << QuantileMs(series, 0.99) << " ms;";
    for (const auto& [name, count] : series.mOutcomes) {
      out << " " << Escape(name) << " " << count << ";";
    }
    out << "</p><div>";
    LatencyPlot(out, series);
    out << "</div><div>";
    BurnBars(out, series);
    out << "</div></section>";
  }
  out << "</html>\n";
  return out.str();
}

} // namespace geraniumpond::cli
