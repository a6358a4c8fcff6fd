#include <cppunit/extensions/HelperMacros.h>

#include <geraniumpond/policy_file.h>

#include <string>

namespace geraniumpond::policy {

/// \brief Tests what a host answers to documents with many faults.
class PolicyFaultsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PolicyFaultsTest);
  CPPUNIT_TEST(DocumentWithManyFaultsGetsAShortAnswer);
  CPPUNIT_TEST(DocumentWithFewFaultsIsToldAllOfThem);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against answers that are several times as large as what was sent.
  void DocumentWithManyFaultsGetsAShortAnswer()
  {
    const std::string document = WithFaults(20000);
    const Result<TrafficPolicy> decoded = DecodePolicyFile(document);
    CPPUNIT_ASSERT(!decoded);
    CPPUNIT_ASSERT(decoded.error().mMessage.size() < document.size());
    CPPUNIT_ASSERT(decoded.error().mMessage.find("more faults") !=
                   std::string::npos);
  }

  void DocumentWithFewFaultsIsToldAllOfThem()
  {
    const Result<TrafficPolicy> decoded = DecodePolicyFile(WithFaults(3));
    CPPUNIT_ASSERT(!decoded);
    for (const char* name : { "none-0", "none-1", "none-2" }) {
      CPPUNIT_ASSERT_MESSAGE(
        name, decoded.error().mMessage.find(name) != std::string::npos);
    }
  }

private:
  static std::string WithFaults(int aCount)
  {
    std::string text = "[policy]\nversion = 1\nbase = 0\n";
    for (int i = 0; i < aCount; ++i) {
      text += "[none-" + std::to_string(i) + "]\nkey = 1\n";
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyFaultsTest);

} // namespace geraniumpond::policy
