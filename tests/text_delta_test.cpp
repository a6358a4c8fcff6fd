#include <geraniumpond/text_delta.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace geraniumpond {

class TextDeltaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TextDeltaTest);
  CPPUNIT_TEST(DeltaYieldsTheSecondText);
  CPPUNIT_TEST(DeltaForAnotherBaseIsRejected);
  CPPUNIT_TEST(DeltaOfASmallEditIsSmall);
  CPPUNIT_TEST_SUITE_END();

public:
  void DeltaYieldsTheSecondText()
  {
    std::mt19937 random(5);
    for (int round = 0; round < 2000; ++round) {
      const std::string base = Text(random);
      const std::string next = Text(random);
      CPPUNIT_ASSERT_EQUAL(
        next,
        text_delta::Apply(base, text_delta::MakeDelta(base, next)).value());
    }
  }

  void DeltaForAnotherBaseIsRejected()
  {
    const wire::TextDelta delta = text_delta::MakeDelta("a = 1", "a = 2");
    CPPUNIT_ASSERT(!text_delta::Apply("b = 1", delta));
    CPPUNIT_ASSERT(!text_delta::Apply("", delta));
  }

  void DeltaOfASmallEditIsSmall()
  {
    std::string base(100000, 'x');
    std::string next = base;
    next.insert(5000, "slots = 5\n");
    CPPUNIT_ASSERT(text_delta::MakeDelta(base, next).ByteSizeLong() < 64);
  }

private:
  static std::string Text(std::mt19937& aRandom)
  {
    std::string text;
    for (std::size_t i = aRandom() % 8; i > 0; --i) {
      text.push_back(static_cast<char>('a' + aRandom() % 2));
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextDeltaTest);

} // namespace geraniumpond
