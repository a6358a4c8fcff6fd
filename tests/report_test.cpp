#include "cli/burn_report.h"
#include "cli/line_diff.h"

#include <Poco/JSON/Parser.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::cli {

class ReportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(HostsAreMergedAndSilentOnesShownAsMissing);
  CPPUNIT_TEST(DiffShowsExactlyTheLinesThatDiffer);
  CPPUNIT_TEST_SUITE_END();

public:
  void HostsAreMergedAndSilentOnesShownAsMissing()
  {
    BurnReport report;
    for (const char* host : { "a", "b" }) {
      const std::string text =
        std::string("{\"host\":\"") + host +
        "\",\"series\":[{\"service\":\"s\",\"kind\":\"k\","
        "\"caller\":\"<c>\",\"objective_ms\":100,"
        "\"objective_share\":0.99,\"bins_ms\":[[10,50],[20,50]],"
        "\"windows\":[{\"window\":\"5m\",\"good\":98,\"total\":100}],"
        "\"outcomes\":{\"ran\":100}}]}";
      Merge(
        report,
        *Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>());
    }
    report.mMissing.push_back("127.0.0.1:9");
    const MergedSeries& series = report.mSeries.begin()->second;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), series.mBins.at(10));
    CPPUNIT_ASSERT_EQUAL(10.0, QuantileMs(series, 0.5));
    CPPUNIT_ASSERT_EQUAL(20.0, QuantileMs(series, 0.99));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      2.0, burn::BurnRate(series.mWindows.at("5m"), 0.99), 1e-9);
    for (const std::string& text :
         { BurnText(report), BurnJson(report), BurnHtml(report) }) {
      CPPUNIT_ASSERT(text.find("127.0.0.1:9") != std::string::npos);
    }
    CPPUNIT_ASSERT(BurnHtml(report).find("<c>") == std::string::npos);
  }

  void DiffShowsExactlyTheLinesThatDiffer()
  {
    const struct
    {
      const char* mOld;
      const char* mNew;
      const char* mDiff;
    } cases[] = {
      { "a\nb\n", "a\nb\n", "" },
      { "a\nb\nc\n", "a\nc\n", "- 2: b\n" },
      { "a\nc\n", "a\nb\nc\n", "+ 2: b\n" },
      { "a\nb\n", "a\nx\n", "- 2: b\n+ 2: x\n" },
      { "", "a\n", "+ 1: a\n" },
    };
    for (const auto& entry : cases) {
      CPPUNIT_ASSERT_EQUAL(std::string(entry.mDiff),
                           LineDiff(entry.mOld, entry.mNew));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

} // namespace geraniumpond::cli
