#include "fakes/dispatch_host.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;

constexpr const char* kKey = "key-a";
constexpr const char* kOtherKey = "key-b";
constexpr const char* kOtherHost = "10.0.0.1:80";
constexpr Micros kUntilSilent = 150 * kMillisecond;

struct Given
{
  std::string mAccount;
  std::string mKey;
  std::optional<int> mPriority;
};

// The two routes beside a public one.
std::shared_ptr<policy::TrafficPolicy> PolicyWith(
  std::uint64_t aVersion,
  const std::vector<Given>& aAccounts)
{
  auto made = std::make_shared<policy::TrafficPolicy>(*fakes::TwoRoutePolicy());
  made->mVersion = aVersion;
  policy::Route open = made->mRoutes.front();
  open.mName = "open";
  open.mPathPrefix = "/open/";
  open.mPublic = true;
  made->mRoutes.push_back(open);
  for (policy::Route& route : made->mRoutes) {
    route.mPriority = 5;
  }
  made->mAccounts.emplace();
  for (const Given& given : aAccounts) {
    accounts::Account account;
    account.mName = given.mAccount;
    account.mPriority = given.mPriority;
    const std::vector<std::string> faults =
      accounts::Add(*made->mAccounts, account, { given.mKey });
    CPPUNIT_ASSERT(faults.empty());
  }
  policy::BuildIndex(*made);
  return made;
}

AttemptEnd Answer(int aStatus)
{
  AttemptEnd end;
  end.mKind = EndKind::Answered;
  end.mStatus = aStatus;
  return end;
}

AttemptEnd NotRun(int aStatus)
{
  AttemptEnd end = Answer(aStatus);
  end.mNotRun = true;
  end.mMisdirected = aStatus == 421;
  return end;
}

} // namespace

/// \brief A host whose policy has the accounts a and b.
class AuthorisationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AuthorisationTest);
  CPPUNIT_TEST(RequestWithoutAKnownKeyIsUnauthorised);
  CPPUNIT_TEST(UnknownKeyAtAnOldPolicyIsUnavailable);
  CPPUNIT_TEST(TargetIsToldTheAccount);
  CPPUNIT_TEST(PublicRouteNeedsNoKey);
  CPPUNIT_TEST(WithoutAccountsKeysAreLeftAlone);
  CPPUNIT_TEST(WithoutAccountsWaitingRequestsStayAsTheyAre);
  CPPUNIT_TEST(RequestsBeforeTheFirstPolicyAreJudgedByIt);
  CPPUNIT_TEST(WaitingRequestWhoseKeyIsTakenAwayIsUnauthorised);
  CPPUNIT_TEST(RouteThatIsPublicNoMoreNeedsAKeyOfThoseThatWait);
  CPPUNIT_TEST(HedgeIsNotSentAfterTheKeyWasTakenAway);
  CPPUNIT_TEST(SecondAttemptIsNotSentAfterTheKeyWasTakenAway);
  CPPUNIT_TEST(KeyGivenBackAllowsTheSecondAttempt);
  CPPUNIT_TEST(AnotherHostIsNotTriedAfterTheKeyWasTakenAway);
  CPPUNIT_TEST(AccountsPriorityGoesBeforeTheRoutes);
  CPPUNIT_TEST(ChangedPriorityHoldsInTheQueue);
  CPPUNIT_TEST(RequestPassedOnNamesItsAccount);
  CPPUNIT_TEST(NameFromAnotherHostIsLookedUp);
  CPPUNIT_TEST(RelayFieldsFromElsewhereAreRefused);
  CPPUNIT_TEST(WithoutTheGroupsWordKeysAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mHost = std::make_unique<DispatchHost>(3);
    Apply(Both());
  }

  void RequestWithoutAKnownKeyIsUnauthorised()
  {
    for (const char* key : { "", "key-c" }) {
      mHost->mEffects.clear();
      Arrive("/safe/x", key);
      CPPUNIT_ASSERT_EQUAL(401, mHost->OnlyReply().mStatus);
      CPPUNIT_ASSERT(mHost->All<ProbeTarget>().empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count("replies_401_no_key"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count("replies_401_unknown_key"));
  }

  void UnknownKeyAtAnOldPolicyIsUnavailable()
  {
    mHost->mState.mPolicyMayBeOutdated = true;
    Arrive("/unsafe/x", "key-c");
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->OnlyReply().mRetryAfter > 0);
  }

  void TargetIsToldTheAccount()
  {
    Arrive("/unsafe/x", kOtherKey);
    mHost->AnswerProbes();
    const SendRequest sent = mHost->All<SendRequest>().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sent.mAccount);
    CPPUNIT_ASSERT(sent.mHidesKey);
    CPPUNIT_ASSERT(Logged("account=b"));
    CPPUNIT_ASSERT(!Logged(kOtherKey));
  }

  void PublicRouteNeedsNoKey()
  {
    const std::pair<const char*, const char*> expected[] = { { "", "" },
                                                             { "key-c", "" },
                                                             { kKey, "a" } };
    for (const auto& [key, account] : expected) {
      mHost->mEffects.clear();
      Arrive("/open/x", key);
      mHost->AnswerProbes();
      const SendRequest sent = mHost->All<SendRequest>().at(0);
      CPPUNIT_ASSERT_EQUAL(std::string(account), sent.mAccount);
      CPPUNIT_ASSERT(sent.mHidesKey);
    }
  }

  void WithoutAccountsKeysAreLeftAlone()
  {
    auto without = Both();
    without->mAccounts.reset();
    Apply(without);
    Arrive("/safe/x", "key-c");
    mHost->AnswerProbes();
    const SendRequest sent = mHost->All<SendRequest>().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string(), sent.mAccount);
    CPPUNIT_ASSERT(!sent.mHidesKey);
  }

  void WithoutAccountsWaitingRequestsStayAsTheyAre()
  {
    auto policy = Both();
    policy->mAccounts.reset();
    Apply(policy);
    const std::uint64_t waiting = Arrive("/unsafe/x", "");
    auto next = std::make_shared<policy::TrafficPolicy>(*policy);
    for (policy::Route& route : next->mRoutes) {
      route.mPriority = 1;
    }
    Apply(next);
    CPPUNIT_ASSERT_EQUAL(5, mHost->mState.mRequests.at(waiting).mPriority);
  }

  void RequestsBeforeTheFirstPolicyAreJudgedByIt()
  {
    mHost->mState.mPolicy.reset();
    mHost->mState.mPolicyExpectedUntil = mHost->mNow + kSecond;
    Arrive("/safe/x", kKey);
    Arrive("/safe/x", "key-c");
    CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
    Apply(Both());
    AdmitUnrouted(mHost->mState, mHost->mNow, mHost->mEffects);
    CPPUNIT_ASSERT_EQUAL(401, mHost->OnlyReply().mStatus);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         mHost->All<SendRequest>().at(0).mAccount);
  }

  void WaitingRequestWhoseKeyIsTakenAwayIsUnauthorised()
  {
    Arrive("/unsafe/x", kKey);
    Arrive("/unsafe/x", kOtherKey);
    Apply(OnlyB());
    CPPUNIT_ASSERT_EQUAL(401, mHost->OnlyReply().mStatus);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
  }

  void RouteThatIsPublicNoMoreNeedsAKeyOfThoseThatWait()
  {
    Arrive("/open/x", "");
    auto closed = Both(2);
    closed->mRoutes.back().mPublic = false;
    Apply(closed);
    CPPUNIT_ASSERT_EQUAL(401, mHost->OnlyReply().mStatus);
  }

  void HedgeIsNotSentAfterTheKeyWasTakenAway()
  {
    for (const bool isTakenAway : { false, true }) {
      setUp();
      Arrive("/safe/x", kKey);
      mHost->AnswerProbes();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
      if (isTakenAway) {
        Apply(OnlyB());
      }
      for (int i = 0; i < 30; ++i) {
        mHost->Advance(20 * kMillisecond);
        mHost->AnswerProbes();
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(isTakenAway ? 1 : 2),
                           mHost->All<SendRequest>().size());
      mHost->EndLastSent(Answer(200));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<DeliverAnswer>().size());
    }
  }

  void SecondAttemptIsNotSentAfterTheKeyWasTakenAway()
  {
    const std::pair<AttemptEnd, int> expected[] = { { NotRun(503), 401 },
                                                    { AttemptEnd(), 502 } };
    for (const auto& [end, status] : expected) {
      setUp();
      Arrive("/safe/x", kKey);
      mHost->AnswerProbes();
      Apply(OnlyB());
      CPPUNIT_ASSERT(mHost->All<ReplyToClient>().empty());
      mHost->EndLastSent(end);
      mHost->AnswerProbes();
      CPPUNIT_ASSERT_EQUAL(status, mHost->OnlyReply().mStatus);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    }
  }

  void KeyGivenBackAllowsTheSecondAttempt()
  {
    Arrive("/safe/x", kKey);
    mHost->AnswerProbes();
    Apply(OnlyB());
    Apply(Both(3));
    mHost->EndLastSent(NotRun(503));
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mHost->All<SendRequest>().size());
  }

  void AnotherHostIsNotTriedAfterTheKeyWasTakenAway()
  {
    mHost->mState.mRelayHosts = { kOtherHost, "10.0.0.2:80" };
    Arrive("/unsafe/x", kKey);
    mHost->Advance(kUntilSilent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<RelayRequest>().size());
    Apply(OnlyB());
    mHost->EndLastRelay(NotRun(421));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<RelayRequest>().size());
    CPPUNIT_ASSERT_EQUAL(401, mHost->OnlyReply().mStatus);
  }

  void AccountsPriorityGoesBeforeTheRoutes()
  {
    Apply(PolicyWith(2, { { "a", kKey, 2 }, { "b", kOtherKey, {} } }));
    const std::uint64_t first = Arrive("/unsafe/x", kKey);
    const std::uint64_t second = Arrive("/unsafe/x", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(2, mHost->mState.mRequests.at(first).mPriority);
    CPPUNIT_ASSERT_EQUAL(5, mHost->mState.mRequests.at(second).mPriority);
  }

  void ChangedPriorityHoldsInTheQueue()
  {
    const std::uint64_t first = Arrive("/unsafe/x", kKey);
    const std::uint64_t second = Arrive("/unsafe/x", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(first, FirstInQueue());
    Apply(PolicyWith(2, { { "a", kKey, {} }, { "b", kOtherKey, 1 } }));
    CPPUNIT_ASSERT_EQUAL(second, FirstInQueue());
    Apply(Both(3));
    CPPUNIT_ASSERT_EQUAL(first, FirstInQueue());
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mHost->All<SendRequest>().size());
    CPPUNIT_ASSERT(
      mHost->mState.mServices.at("service").mWaiting.mWaiters.empty());
  }

  void RequestPassedOnNamesItsAccount()
  {
    mHost->mState.mRelayHosts = { kOtherHost };
    const std::uint64_t id = Arrive("/unsafe/x", kKey);
    mHost->Advance(kUntilSilent);
    const RelayRequest sent = mHost->All<RelayRequest>().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sent.mAccount);
    CPPUNIT_ASSERT(sent.mHidesKey);
    CPPUNIT_ASSERT_EQUAL(mHost->mState.mRequests.at(id).mIdentity,
                         sent.mIdentity);
  }

  void NameFromAnotherHostIsLookedUp()
  {
    Arrive(FromHost("b"));
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         mHost->All<SendRequest>().at(0).mAccount);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(17),
                         mHost->mState.mRequests.begin()->second.mIdentity);
    for (const char* name : { "c", "" }) {
      mHost->mEffects.clear();
      Arrive(FromHost(name));
      CPPUNIT_ASSERT_EQUAL(421, mHost->OnlyReply().mStatus);
    }
  }

  void RelayFieldsFromElsewhereAreRefused()
  {
    Arrival client = FromHost("a");
    client.mIsFromHost = false;
    Arrival nameOnly = client;
    nameOnly.mRelayedAfter.reset();
    nameOnly.mKey = accounts::DigestOf(kKey);
    Arrival twice = FromHost("a");
    twice.mRelayFieldsUnsound = true;
    for (const Arrival& arrival : { client, nameOnly, twice }) {
      mHost->mEffects.clear();
      Arrive(arrival);
      CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
      CPPUNIT_ASSERT(mHost->All<ProbeTarget>().empty());
    }
  }

  void WithoutTheGroupsWordKeysAreRefused()
  {
    mHost->mState.mKeysTrustedUntil = mHost->mNow + 10 * kMillisecond;
    Arrive("/unsafe/waits", kKey);
    mHost->Advance(20 * kMillisecond);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
    mHost->mEffects.clear();
    Arrive("/unsafe/x", kKey);
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    Arrive("/open/x", kKey);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
  }

private:
  static std::shared_ptr<policy::TrafficPolicy> Both(std::uint64_t aVersion = 1)
  {
    return PolicyWith(aVersion, { { "a", kKey, {} }, { "b", kOtherKey, {} } });
  }

  static std::shared_ptr<policy::TrafficPolicy> OnlyB()
  {
    return PolicyWith(2, { { "b", kOtherKey, {} } });
  }

  void Apply(std::shared_ptr<const policy::TrafficPolicy> aPolicy)
  {
    SetPolicy(mHost->mState, mHost->mNow, std::move(aPolicy));
    ApplyAccounts(mHost->mState, mHost->mNow, mHost->mEffects);
  }

  std::uint64_t Arrive(Arrival aArrival)
  {
    aArrival.mId = ++mHost->mLastId;
    aArrival.mHostName = "host";
    aArrival.mPatience = 5 * kSecond;
    HandleArrival(mHost->mState, mHost->mNow, aArrival, mHost->mEffects);
    return aArrival.mId;
  }

  std::uint64_t Arrive(const std::string& aPath, const std::string& aKey)
  {
    Arrival arrival;
    arrival.mPath = aPath;
    if (!aKey.empty()) {
      arrival.mKey = accounts::DigestOf(aKey);
    }
    return Arrive(arrival);
  }

  static Arrival FromHost(const std::string& aAccount)
  {
    Arrival arrival;
    arrival.mPath = "/unsafe/x";
    arrival.mHasRelayFields = true;
    arrival.mIsFromHost = true;
    arrival.mRelayedAfter = 10 * kMillisecond;
    arrival.mAccount = aAccount;
    arrival.mRelayedIdentity = 17;
    return arrival;
  }

  [[nodiscard]] std::uint64_t FirstInQueue() const
  {
    return mHost->mState.mServices.at("service")
      .mWaiting.mWaiters.begin()
      ->Request();
  }

  [[nodiscard]] std::uint64_t Count(const std::string& aName) const
  {
    return mHost->mState.mCounters[aName];
  }

  [[nodiscard]] bool Logged(const std::string& aText) const
  {
    for (const LogLine& line : mHost->All<LogLine>()) {
      if (line.mText.find(aText) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  std::unique_ptr<DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthorisationTest);

} // namespace geraniumpond::dispatch
