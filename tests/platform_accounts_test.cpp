#include "dialect.h"

#include <geraniumpond/gateway_settings.h>
#include <geraniumpond/policy_file.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace geraniumpond::platform {

namespace {

constexpr const char* kDocument =
  R"({"version":7,"base_version":5,"resources":[
{"type":"routes","metadata":{"name":"r-1"},"spec":{"hostname":"a.example",
"path_prefix":"/p/","route_type":"safe","timeout":"1200ms","priority":2,
"service":"s1","attempts":2,"public":false}},
{"type":"routes","metadata":{"name":"r-2"},"spec":{"hostname":"a.example",
"path_prefix":"/q/","route_type":"safe","timeout":"1200ms",
"service":"s1","attempts":1,"public":true,"allowed_regions":["r1","r2"]}},
{"type":"services","metadata":{"name":"s1"},"spec":{}},
{"type":"tenants","metadata":{"name":"t1"},"spec":{"api_keys":["key-1",
"key-2"],"rate_per_s":337,"burst":12.5,"priority":1,
"allowed_regions":["r1"]}},
{"type":"tenants","metadata":{"name":"t2"},"spec":{"api_keys":["key-3"]}},
{"type":"tenants","metadata":{"name":"t3"},"spec":{"api_keys":[]}}]})";

constexpr const char* kFile =
  "[policy]\nversion = 7\nbase = 5\n[service s1]\nhealth_path = /health\n"
  "[route r-1]\nhost = a.example\nprefix = /p/\ntimeout = 1200ms\n"
  "objective = 1200ms\npriority = 2\nattempts = 2\nbackends = s1\n"
  "[route r-2]\nhost = a.example\nprefix = /q/\ntimeout = 1200ms\n"
  "objective = 1200ms\nbackends = s1\npublic = yes\nregions = r1, r2\n"
  "[account t1]\nkeys = key-1 key-2\nper_second = 337\nburst = 12.5\n"
  "priority = 1\nregions = r1\n"
  "[account t2]\nkeys = key-3\n"
  "[account t3]\nper_second = 0\n";

std::string Replaced(std::string aText,
                     const std::string& aFrom,
                     const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  CPPUNIT_ASSERT_MESSAGE(aFrom, at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

void ExpectSame(const accounts::Account* aLeft, const accounts::Account* aRight)
{
  CPPUNIT_ASSERT(aLeft != nullptr && aRight != nullptr);
  CPPUNIT_ASSERT_EQUAL(aLeft->mName, aRight->mName);
  CPPUNIT_ASSERT(aLeft->mPriority == aRight->mPriority);
  CPPUNIT_ASSERT(aLeft->mRegions == aRight->mRegions);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(aLeft->mPerSecond, aRight->mPerSecond, 1e-9);
  CPPUNIT_ASSERT_DOUBLES_EQUAL(aLeft->mBurst, aRight->mBurst, 1e-9);
}

} // namespace

/// \brief Client accounts in the platform's policies and the project's own.
class PlatformAccountsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformAccountsTest);
  CPPUNIT_TEST(AccountsAreDecoded);
  CPPUNIT_TEST(PolicyWithoutAccountsNeedsNoKeys);
  CPPUNIT_TEST(PolicyFileMatchesPolicyDocument);
  CPPUNIT_TEST(InvalidAccountsAreRejected);
  CPPUNIT_TEST(NoErrorTextHoldsAKey);
  CPPUNIT_TEST(SettingsBindRevocationsWhereTheBoundsAreGiven);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountsAreDecoded()
  {
    const auto decoded = DecodePolicy(kDocument);
    CPPUNIT_ASSERT(decoded);
    const policy::TrafficPolicy& read = decoded.value();
    CPPUNIT_ASSERT(policy::Validate(read).empty());
    CPPUNIT_ASSERT(!read.mRoutes[0].mPublic && read.mRoutes[1].mPublic);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.mRoutes[1].mRegions.size());
    CPPUNIT_ASSERT(read.mAccounts.has_value());
    const accounts::Account* first =
      accounts::FindByKey(*read.mAccounts, accounts::DigestOf("key-2"));
    CPPUNIT_ASSERT(first != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), first->mName);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(337, first->mPerSecond, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.5, first->mBurst, 1e-9);
    CPPUNIT_ASSERT_EQUAL(1, first->mPriority.value());
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), first->mRegions.at(0));
    const accounts::Account* second =
      accounts::FindByName(*read.mAccounts, "t2");
    CPPUNIT_ASSERT(second != nullptr && !second->mPriority);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, second->mPerSecond, 1e-9);
  }

  void PolicyWithoutAccountsNeedsNoKeys()
  {
    const auto read =
      DecodePolicy(R"({"version":1,"base_version":0,"resources":[]})");
    CPPUNIT_ASSERT(read && !read.value().mAccounts);
  }

  void PolicyFileMatchesPolicyDocument()
  {
    const auto left = DecodePolicy(kDocument);
    const auto right = policy::DecodePolicyFile(kFile);
    CPPUNIT_ASSERT(left && right);
    for (std::size_t i = 0; i < 2; ++i) {
      const policy::Route& one = left.value().mRoutes[i];
      const policy::Route& other = right.value().mRoutes[i];
      CPPUNIT_ASSERT(one.mPublic == other.mPublic);
      CPPUNIT_ASSERT(one.mRegions == other.mRegions);
    }
    const accounts::Book& one = *left.value().mAccounts;
    const accounts::Book& other = *right.value().mAccounts;
    CPPUNIT_ASSERT(one.mByKey == other.mByKey);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), other.mAccounts.size());
    for (const char* name : { "t1", "t2", "t3" }) {
      ExpectSame(accounts::FindByName(one, name),
                 accounts::FindByName(other, name));
    }
  }

  void InvalidAccountsAreRejected()
  {
    const std::pair<const char*, const char*> changes[] = {
      { R"("key-3")", R"("key-1")" },
      { R"("key-3")", R"("")" },
      { R"("key-3")", "3" },
      { R"(["key-3"])", R"("key-3")" },
      { R"("name":"t2")", R"("name":"t1")" },
      { R"("name":"t2")", R"("name":"")" },
      { R"("rate_per_s":337)", R"("rate_per_s":-1)" },
      { R"("rate_per_s":337)", R"("rate_per_s":1e999)" },
      { R"("rate_per_s":337)", R"("rate_per_s":1e10)" },
      { R"("burst":12.5)", R"("burst":-0.1)" },
      { R"("burst":12.5)", R"("burst":1e10)" },
      { R"("burst":12.5)", R"("burst":"12")" },
      { R"("public":true)", R"("public":1)" },
    };
    for (const auto& [from, to] : changes) {
      const auto decoded = DecodePolicy(Replaced(kDocument, from, to));
      CPPUNIT_ASSERT_MESSAGE(
        to, !decoded || !policy::Validate(decoded.value()).empty());
    }
    for (const char* to : { "per_second = -1",
                            "per_second = inf",
                            "per_second = nan",
                            "per_second = many",
                            "per_second = 1e10" }) {
      CPPUNIT_ASSERT(
        !policy::DecodePolicyFile(Replaced(kFile, "per_second = 337", to)));
    }
    CPPUNIT_ASSERT(!policy::DecodePolicyFile(
      Replaced(kFile, "keys = key-3", "keys = key-1")));
  }

  // A key that is misplaced must not come back to whoever sent the policy.
  void NoErrorTextHoldsAKey()
  {
    for (const char* text :
         { "[policy]\nversion = 1\n[account a]\nkeys = k\nsecret\n",
           "[policy]\nversion = 1\n[account a]\nsecret==\n",
           "[policy]\nversion = 1\n[account a]\nkeys = secret\n"
           "[account b]\nkeys = secret\n" }) {
      const auto read = policy::DecodePolicyFile(text);
      CPPUNIT_ASSERT(!read);
      const std::string& fault = read.error().mMessage;
      CPPUNIT_ASSERT_MESSAGE(fault, fault.find("secret") == std::string::npos);
    }
    const auto twice =
      DecodePolicy(Replaced(kDocument, R"("key-3")", R"("key-1")"));
    CPPUNIT_ASSERT(!twice);
    CPPUNIT_ASSERT(twice.error().mMessage.find("key-1") == std::string::npos);
  }

  void SettingsBindRevocationsWhereTheBoundsAreGiven()
  {
    const std::string host =
      "[host]\nid = h\ndata_centre = z\n[listen]\ncallers = 1.2.3.4:1\n"
      "calls = 1.2.3.4:2\nhosts = 1.2.3.4:3\nmetrics = 1.2.3.4:4\n"
      "[fleet]\nseeds = 1.2.3.4:3\n";
    const auto without = ParseGatewaySettings(host, "host.ini");
    CPPUNIT_ASSERT(without.Ok());
    CPPUNIT_ASSERT(!without.mValue.mStrictRevocation);
    const auto with = ParseGatewaySettings(
      host + "[accounts]\nstrict_revocation = yes\nrevoke_within = 3s\n",
      "host.ini");
    CPPUNIT_ASSERT(with.Ok());
    CPPUNIT_ASSERT(with.mValue.mStrictRevocation);
    CPPUNIT_ASSERT_EQUAL(3 * kSecond, with.mValue.mRevokeWithin);
    std::ifstream file(std::string(GERANIUMPOND_SOURCE) + "/platform/host.ini");
    std::ostringstream text;
    text << file.rdbuf();
    for (const char* bound : { "bounds.strict_revocation", "bounds.revoke" }) {
      CPPUNIT_ASSERT(text.str().find(std::string("{{#") + bound + "}}") !=
                     std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAccountsTest);

} // namespace geraniumpond::platform
