#include "frontend/target_fields.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::frontend {

namespace {

using Kind = dispatch::StatedRest::Kind;

/// Sun, 06 Nov 1994 08:49:37 GMT.
constexpr std::time_t kNow = 784111777;

dispatch::StatedRest Parse(const std::string& aValue, int aStatus = 503)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mFields.emplace_back("retry-after", aValue);
  return ParseRest(response, Poco::Timestamp::fromEpochTime(kNow));
}

} // namespace

class RestParsingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RestParsingTest);
  CPPUNIT_TEST(SecondsAndFractionsAreRead);
  CPPUNIT_TEST(DateIsReadAsTheTimeUntilIt);
  CPPUNIT_TEST(LongRestIsBounded);
  CPPUNIT_TEST(WhatIsNoTimeIsUnreadable);
  CPPUNIT_TEST(OnlyRefusalsAskForRest);
  CPPUNIT_TEST_SUITE_END();

public:
  void SecondsAndFractionsAreRead()
  {
    CPPUNIT_ASSERT_EQUAL(3 * kSecond, Parse("3").mFor);
    CPPUNIT_ASSERT_EQUAL(1500 * kMillisecond, Parse(" 1.5 ").mFor);
    CPPUNIT_ASSERT_EQUAL(Micros(0), Parse("0").mFor);
    CPPUNIT_ASSERT(Parse("0").mKind == Kind::Valid);
  }

  void DateIsReadAsTheTimeUntilIt()
  {
    CPPUNIT_ASSERT_EQUAL(3 * kSecond,
                         Parse("Sun, 06 Nov 1994 08:49:40 GMT").mFor);
    const dispatch::StatedRest past = Parse("Sun, 06 Nov 1994 08:49:30 GMT");
    CPPUNIT_ASSERT(past.mKind == Kind::Valid);
    CPPUNIT_ASSERT_EQUAL(Micros(0), past.mFor);
  }

  void LongRestIsBounded()
  {
    CPPUNIT_ASSERT_EQUAL(60 * kSecond, Parse("1e12").mFor);
    CPPUNIT_ASSERT_EQUAL(60 * kSecond,
                         Parse("Sat, 06 Nov 2094 08:49:40 GMT").mFor);
  }

  void WhatIsNoTimeIsUnreadable()
  {
    for (const char* value : { "", "soon", "-1", "3s", "inf", "nan", "3 4" }) {
      CPPUNIT_ASSERT_MESSAGE(value, Parse(value).mKind == Kind::Invalid);
    }
    HttpResponse repeated;
    repeated.mStatus = 503;
    repeated.mFields = { { "Retry-After", "3" }, { "Retry-After", "3" } };
    CPPUNIT_ASSERT(ParseRest(repeated, Poco::Timestamp()).mKind ==
                   Kind::Invalid);
  }

  void OnlyRefusalsAskForRest()
  {
    CPPUNIT_ASSERT(Parse("3", 429).mKind == Kind::Valid);
    CPPUNIT_ASSERT(Parse("3", 200).mKind == Kind::Absent);
    CPPUNIT_ASSERT(Parse("3", 500).mKind == Kind::Absent);
    HttpResponse without;
    without.mStatus = 503;
    CPPUNIT_ASSERT(ParseRest(without, Poco::Timestamp()).mKind == Kind::Absent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestParsingTest);

} // namespace geraniumpond::frontend
