#include <geraniumpond/accounts.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

namespace geraniumpond::accounts {

namespace {

constexpr const char* kSecret = "s3cret-key";

Account Named(const std::string& aName)
{
  Account account;
  account.mName = aName;
  return account;
}

Book TwoAccounts()
{
  Book book;
  CPPUNIT_ASSERT(Add(book, Named("a"), { kSecret, "a-2" }).empty());
  CPPUNIT_ASSERT(Add(book, Named("b"), {}).empty());
  return book;
}

Claim WithKey(const std::string& aKey)
{
  Claim claim;
  claim.mKey = DigestOf(aKey);
  return claim;
}

Claim Relayed(const std::string& aAccount)
{
  Claim claim;
  claim.mIsRelayed = true;
  claim.mAccount = aAccount;
  return claim;
}

Claim Public(Claim aClaim)
{
  aClaim.mIsPublic = true;
  return aClaim;
}

std::string NameOf(const Judgement& aJudgement)
{
  return aJudgement.mAccount == nullptr ? "" : aJudgement.mAccount->mName;
}

} // namespace

/// \brief The accounts of a policy, and what they say of a request.
class AccountsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AccountsTest);
  CPPUNIT_TEST(AccountIsFoundByEachOfItsKeys);
  CPPUNIT_TEST(AccountWithoutKeysIsKnownByItsName);
  CPPUNIT_TEST(KeyRepeatedInOneAccountIsNoFault);
  CPPUNIT_TEST(FaultyAccountsAreRefused);
  CPPUNIT_TEST(NoFaultNamesAKey);
  CPPUNIT_TEST(KeysAreJudgedByTheBook);
  CPPUNIT_TEST(NamesFromHostsAreJudgedByTheBook);
  CPPUNIT_TEST(WithoutAccountsNoKeyIsNeeded);
  CPPUNIT_TEST(TrustEndsBeforeTheBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountIsFoundByEachOfItsKeys()
  {
    const Book book = TwoAccounts();
    for (const char* key : { kSecret, "a-2" }) {
      const Account* found = FindByKey(book, DigestOf(key));
      CPPUNIT_ASSERT(found != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string("a"), found->mName);
    }
    CPPUNIT_ASSERT(FindByKey(book, DigestOf("a-3")) == nullptr);
  }

  void AccountWithoutKeysIsKnownByItsName()
  {
    const Book book = TwoAccounts();
    CPPUNIT_ASSERT(FindByName(book, "b") != nullptr);
    CPPUNIT_ASSERT(FindByName(book, "c") == nullptr);
  }

  void KeyRepeatedInOneAccountIsNoFault()
  {
    Book book;
    CPPUNIT_ASSERT(Add(book, Named("a"), { "k", "k" }).empty());
  }

  void FaultyAccountsAreRefused()
  {
    Account negativeRate = Named("c");
    negativeRate.mPerSecond = -1;
    Account negativeBurst = Named("c");
    negativeBurst.mBurst = -0.5;
    Account endless = Named("c");
    endless.mPerSecond = std::numeric_limits<double>::infinity();
    Account noNumber = Named("c");
    noNumber.mBurst = std::nan("");
    const std::pair<Account, std::vector<std::string>> faulty[] = {
      { negativeRate, {} },      { negativeBurst, {} },   { endless, {} },
      { noNumber, {} },          { Named(""), {} },       { Named("a"), {} },
      { Named("c"), { "" } },    { Named("c\r\nx"), {} }, { Named(" c"), {} },
      { Named("c"), { "a-2" } },
    };
    for (const auto& [account, keys] : faulty) {
      Book book = TwoAccounts();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        account.mName, std::size_t(1), Add(book, account, keys).size());
    }
  }

  void NoFaultNamesAKey()
  {
    Book book = TwoAccounts();
    const std::vector<std::string> faults =
      Add(book, Named("c"), { kSecret, "" });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), faults.size());
    for (const std::string& fault : faults) {
      CPPUNIT_ASSERT(fault.find(kSecret) == std::string::npos);
    }
  }

  void KeysAreJudgedByTheBook()
  {
    const std::optional<Book> book = TwoAccounts();
    CPPUNIT_ASSERT(Judge(book, Claim()).mVerdict == Verdict::NoKey);
    CPPUNIT_ASSERT(Judge(book, WithKey("x")).mVerdict == Verdict::UnknownKey);
    CPPUNIT_ASSERT(Judge(book, Public(Claim())).mVerdict == Verdict::Allowed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         NameOf(Judge(book, WithKey(kSecret))));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         NameOf(Judge(book, Public(WithKey(kSecret)))));
    const Judgement unknown = Judge(book, Public(WithKey("x")));
    CPPUNIT_ASSERT(unknown.mVerdict == Verdict::Allowed);
    CPPUNIT_ASSERT_EQUAL(std::string(), NameOf(unknown));
  }

  void NamesFromHostsAreJudgedByTheBook()
  {
    const std::optional<Book> book = TwoAccounts();
    CPPUNIT_ASSERT_EQUAL(std::string("b"), NameOf(Judge(book, Relayed("b"))));
    for (const Claim& claim :
         { Relayed("c"), Relayed(""), Public(Relayed("c")) }) {
      CPPUNIT_ASSERT(Judge(book, claim).mVerdict == Verdict::UnknownAccount);
    }
    CPPUNIT_ASSERT(Judge(book, Public(Relayed(""))).mVerdict ==
                   Verdict::Allowed);
  }

  void WithoutAccountsNoKeyIsNeeded()
  {
    const std::optional<Book> none;
    for (const Claim& claim : { Claim(), WithKey(kSecret), Relayed("") }) {
      CPPUNIT_ASSERT(Judge(none, claim).mVerdict == Verdict::Allowed);
    }
    // The other host has a policy with accounts.
    CPPUNIT_ASSERT(Judge(none, Relayed("a")).mVerdict ==
                   Verdict::UnknownAccount);
  }

  void TrustEndsBeforeTheBound()
  {
    CPPUNIT_ASSERT_EQUAL(Micros(104750 * kMillisecond),
                         TrustedUntil(100 * kSecond, 5 * kSecond));
    CPPUNIT_ASSERT_EQUAL(Micros(100300 * kMillisecond),
                         TrustedUntil(100 * kSecond, 400 * kMillisecond));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsTest);

} // namespace geraniumpond::accounts
