#include <geraniumpond/deployment.h>
#include <geraniumpond/settings.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace geraniumpond {

namespace {

std::string ReadDeploy(const std::string& aName)
{
  std::ifstream file(std::string(GERANIUMPOND_SOURCE) + "/deploy/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Replaced(std::string aText,
                     const std::string& aFrom,
                     const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  CPPUNIT_ASSERT_MESSAGE(aFrom, at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

int LineOf(const std::string& aText, const std::string& aPart)
{
  const std::size_t at = aText.rfind(aPart);
  CPPUNIT_ASSERT_MESSAGE(aPart, at != std::string::npos);
  return 1 + static_cast<int>(
               std::count(aText.begin(),
                          aText.begin() + static_cast<std::ptrdiff_t>(at),
                          '\n'));
}

struct BadEdit
{
  const char* mFrom;
  const char* mTo;
  /// Text of the line that must be named, and part of the fault.
  const char* mLine;
  const char* mFault;
};

} // namespace

class ConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigTest);
  CPPUNIT_TEST(DeploymentExamplesAreSound);
  CPPUNIT_TEST(DeploymentBadEditIsReportedWithItsLine);
  CPPUNIT_TEST(DeploymentManyFaultsAreAllReported);
  CPPUNIT_TEST(SettingsBadEditIsReportedWithItsLine);
  CPPUNIT_TEST(KindLookupTakesLongestPrefixAtASegmentEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void DeploymentExamplesAreSound()
  {
    for (const char* name : { "haddad.ini", "consortium.ini" }) {
      const auto checked = ParseDeployment(ReadDeploy(name), name);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), checked.mFaults.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), checked.mValue.mServices.size());
    }
    CPPUNIT_ASSERT(ParseSettings(ReadDeploy("host.ini"), "host.ini").Ok());
  }

  void DeploymentBadEditIsReportedWithItsLine()
  {
    const std::string good = ReadDeploy("haddad.ini");
    const BadEdit edits[] = {
      { "slots = 4", "slots = 0", "slots = 0", "from 1 to 1024" },
      { "slots = 4", "slots = many", "slots = many", "given many" },
      { "slots = 4", "slots = 4\nslots = 5", "slots = 5", "each key once" },
      { "slots = 4", "slot = 4", "slot = 4", "an unknown key" },
      { "hedge = yes", "hedge = maybe", "hedge = maybe", "yes or no" },
      { "priority = bulk", "priority = low", "priority = low", "urgent" },
      { "service = consent", "service = no", "service = no", "a service" },
      { "path = /consent/permissions", "path = /x", "path = /x", "below" },
      { "[caller abdali-school]",
        "[caller bus-coordinators]",
        "[caller bus-coordinators]",
        "each section once" },
      { "[budget]", "[budgets]", "[budgets]", "an unknown section" },
      { "[kind roster-check]", "[kind]", "[kind]", "[kind NAME]" },
      { "retry_percent = 5", "retry_percent 5", "retry_percent 5", "key =" },
      { "services = records", "services = recs", "services = recs", "recs" },
      { "key_retention_s = 86400",
        "key_retention_s = 1",
        "key_retention_s = 1",
        "from 60" },
    };
    for (const BadEdit& edit : edits) {
      const std::string text = Replaced(good, edit.mFrom, edit.mTo);
      const auto checked = ParseDeployment(text, "d.ini");
      bool found = false;
      std::string all;
      for (const Fault& fault : checked.mFaults) {
        all += ToString(fault) + "\n";
        found =
          found || (ToString(fault).find(edit.mFault) != std::string::npos &&
                    fault.mLine == LineOf(text, edit.mLine));
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(edit.mTo) + "\n" + all, found);
    }
  }

  void DeploymentManyFaultsAreAllReported()
  {
    std::string text = ReadDeploy("haddad.ini");
    text = Replaced(text, "slots = 4", "slots = x");
    text = Replaced(text, "hedge = yes", "hedge = x");
    text = Replaced(text, "deadline_ms = 1500", "deadline_ms = x");
    text = Replaced(text, "objective_ms = 500", "objective = 500");
    const auto checked = ParseDeployment(text, "d.ini");
    // The misspelt key is unknown, and the right one is missing.
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), checked.mFaults.size());
  }

  void SettingsBadEditIsReportedWithItsLine()
  {
    const std::string good = ReadDeploy("host.ini");
    const BadEdit edits[] = {
      { "roles = entry", "roles = boss", "roles = boss", "entry, control" },
      { "127.0.0.1:7101", "localhost:7101", "localhost:7101", "ip:port" },
      { ", tla-1@127.0.0.1:7022", "", "voters =", "odd number" },
      { "format = text", "format = xml", "format = xml", "text json" },
    };
    for (const BadEdit& edit : edits) {
      const std::string text = Replaced(good, edit.mFrom, edit.mTo);
      const auto checked = ParseSettings(text, "h.ini");
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), checked.mFaults.size());
      const Fault& fault = checked.mFaults[0];
      CPPUNIT_ASSERT_EQUAL(LineOf(text, edit.mLine), fault.mLine);
      CPPUNIT_ASSERT(ToString(fault).find(edit.mFault) != std::string::npos);
    }
  }

  void KindLookupTakesLongestPrefixAtASegmentEnd()
  {
    Service service;
    for (const char* path : { "/s", "/s/a", "/s/a/b" }) {
      Kind kind;
      kind.mName = path;
      kind.mPathPrefix = path;
      kind.mMethods = { "GET" };
      service.mKinds.push_back(kind);
    }
    const std::pair<const char*, const char*> cases[] = {
      { "/s/a/b", "/s/a/b" }, { "/s/a/b/c", "/s/a/b" }, { "/s/ab", "/s" },
      { "/s/a?x=1", "/s/a" }, { "/s", "/s" },           { "/sx", "" },
    };
    for (const auto& [path, expected] : cases) {
      const Kind* kind = FindKind(service, "GET", path);
      CPPUNIT_ASSERT_EQUAL(std::string(expected),
                           kind == nullptr ? std::string() : kind->mName);
    }
    CPPUNIT_ASSERT(FindKind(service, "POST", "/s/a") == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);

} // namespace geraniumpond
