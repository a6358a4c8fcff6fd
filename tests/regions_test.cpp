#include "dispatch/internal.h"
#include "fakes/dispatch_host.h"
#include "fakes/gateway_world.h"

#include <geraniumpond/regions.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace geraniumpond::dispatch {

namespace {

using fakes::DispatchHost;
using fakes::GatewayLoad;
using fakes::GatewayWorld;

using Names = std::vector<std::string>;

const regions::Map kMap = { { "dc", "near" },
                            { "dc2", "near" },
                            { "far1", "far" },
                            { "far2", "far" } };
constexpr const char* kNearHost = "10.0.0.1:80";
constexpr const char* kFarHost = "10.0.0.2:80";

std::shared_ptr<const policy::TrafficPolicy> PolicyWith(
  const Names& aRouteRegions,
  const Names& aAccountRegions = {})
{
  auto made = std::make_shared<policy::TrafficPolicy>(*fakes::TwoRoutePolicy());
  made->mVersion = 2;
  for (policy::Route& route : made->mRoutes) {
    route.mRegions = aRouteRegions;
  }
  if (!aAccountRegions.empty()) {
    accounts::Account account;
    account.mName = "a";
    account.mRegions = aAccountRegions;
    made->mAccounts.emplace();
    made->mAccounts->mAccounts.push_back(account);
    made->mAccounts->mByName["a"] = 0;
  }
  policy::BuildIndex(*made);
  return made;
}

} // namespace

/// \brief A host in the region `near` with targets there and in `far`; and a
/// directory that knows both.
class RegionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RegionsTest);
  CPPUNIT_TEST(RouteAndAccountBindTogether);
  CPPUNIT_TEST(UnknownDataCentreIsInNoRegion);
  CPPUNIT_TEST(RequestReachesOnlyTargetsOfItsRegions);
  CPPUNIT_TEST(RequestWithoutRegionsReachesAllTargets);
  CPPUNIT_TEST(RetriesStayInTheRegions);
  CPPUNIT_TEST(HedgesStayInTheRegions);
  CPPUNIT_TEST(WaitingRequestObeysANewPolicy);
  CPPUNIT_TEST(AccountOfAWaitingRequestBindsIt);
  CPPUNIT_TEST(RequestWithoutATargetLeftIsRefusedAtOnce);
  CPPUNIT_TEST(BodyIsPassedOnOnlyToAHome);
  CPPUNIT_TEST(BodyIsNotPassedOnToAHostThatIsNotKnown);
  CPPUNIT_TEST(LargeAnswerTakesNoFastLinkOutsideTheHomes);
  CPPUNIT_TEST(DirectoryNamesHomesAndTheClientsRegionFirst);
  CPPUNIT_TEST(DirectoryNamesOthersIfThereIsNoHome);
  CPPUNIT_TEST(DirectoryTakesWhatAllRoutesOfAHostNameShare);
  CPPUNIT_TEST_SUITE_END();

public:
  void RouteAndAccountBindTogether()
  {
    using regions::HomesOf;
    CPPUNIT_ASSERT(!HomesOf({}, {}).mBound);
    CPPUNIT_ASSERT(HomesOf({ "a" }, {}).mRegions == Names{ "a" });
    CPPUNIT_ASSERT(HomesOf({}, { "b" }).mRegions == Names{ "b" });
    CPPUNIT_ASSERT(HomesOf({ "a", "b" }, { "b", "c" }).mRegions ==
                   Names{ "b" });
    const regions::Homes none = HomesOf({ "a" }, { "b" });
    CPPUNIT_ASSERT(none.mBound && none.mRegions.empty());
  }

  void UnknownDataCentreIsInNoRegion()
  {
    const regions::Homes far{ true, { "far" } };
    CPPUNIT_ASSERT(regions::Allows(kMap, far, "far1"));
    CPPUNIT_ASSERT(!regions::Allows(kMap, far, "dc"));
    CPPUNIT_ASSERT(!regions::Allows(kMap, far, "elsewhere"));
    CPPUNIT_ASSERT(!regions::Allows(kMap, { true, {} }, "far1"));
    CPPUNIT_ASSERT(regions::Allows(kMap, {}, "elsewhere"));
    CPPUNIT_ASSERT(regions::Allows({}, far, "dc"));
  }

  void setUp() override
  {
    mHost = std::make_unique<DispatchHost>(0);
    mHost->mState.mRegions = kMap;
    int number = 0;
    for (const auto& [dataCentre, region] : kMap) {
      for (int i = 0; i < 2; ++i) {
        const std::string id = region + std::to_string(++number);
        wire::TargetRecord& target = mHost->mCatalog[id];
        target.set_id(id);
        target.set_service("service");
        target.set_address("10.9.0." + std::to_string(number) + ":80");
        target.set_data_centre(dataCentre);
        target.set_slots(2);
        target.set_sequence(1);
      }
    }
    mHost->RefreshCatalog();
    mHost->mEffects.clear();
  }

  void RequestReachesOnlyTargetsOfItsRegions()
  {
    Name({ "far" });
    Arrive("/safe/", 8);
    CPPUNIT_ASSERT(mHost->All<SendRequest>().size() >= 4);
    ExpectSentOnlyTo("far");
  }

  void RequestWithoutRegionsReachesAllTargets()
  {
    Arrive("/safe/", 16);
    CPPUNIT_ASSERT(SentTo("near") > 0);
    CPPUNIT_ASSERT(SentTo("far") > 0);
  }

  void RetriesStayInTheRegions()
  {
    Name({ "far" });
    Arrive("/safe/", 1);
    mHost->EndLastSent(AttemptEnd());
    mHost->AnswerProbes();
    mHost->Advance(20 * kMillisecond);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mHost->All<SendRequest>().size());
    ExpectSentOnlyTo("far");
  }

  void HedgesStayInTheRegions()
  {
    Name({ "far" });
    Arrive("/safe/", 1);
    for (int i = 0; i < 50; ++i) {
      mHost->Advance(10 * kMillisecond);
      AnswerProbesSlowly();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mHost->All<SendRequest>().size());
    ExpectSentOnlyTo("far");
  }

  void WaitingRequestObeysANewPolicy()
  {
    mHost->Arrive("/safe/x");
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
    Name({ "far" });
    mHost->AnswerProbes();
    mHost->Advance(20 * kMillisecond);
    mHost->AnswerProbes();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<SendRequest>().size());
    ExpectSentOnlyTo("far");
  }

  void AccountOfAWaitingRequestBindsIt()
  {
    mHost->Arrive("/safe/x");
    mHost->mState.mRequests.at(mHost->mLastId).mAccount = "a";
    SetPolicy(mHost->mState, mHost->mNow, PolicyWith({}, { "far" }));
    const regions::Homes& homes =
      mHost->mState.mRequests.at(mHost->mLastId).mHomes;
    CPPUNIT_ASSERT(homes.mBound && homes.mRegions == Names{ "far" });
    SetPolicy(mHost->mState, mHost->mNow, fakes::TwoRoutePolicy());
    CPPUNIT_ASSERT(!homes.mBound);
  }

  void RequestWithoutATargetLeftIsRefusedAtOnce()
  {
    mHost->mState.mRelayHosts = { kNearHost, kFarHost };
    Name({ "nowhere" });
    mHost->Arrive("/unsafe/x");
    CPPUNIT_ASSERT_EQUAL(503, mHost->OnlyReply().mStatus);
    CPPUNIT_ASSERT(mHost->All<ProbeTarget>().empty());
    CPPUNIT_ASSERT(mHost->All<SendRequest>().empty());
    CPPUNIT_ASSERT(mHost->All<RelayRequest>().empty());
  }

  void BodyIsPassedOnOnlyToAHome()
  {
    mHost->mState.mRelayHosts = { kNearHost, kFarHost };
    mHost->mState.mHostDataCentres = { { kNearHost, "dc2" },
                                       { kFarHost, "far2" } };
    Name({ "far" });
    for (int i = 0; i < 10; ++i) {
      mHost->Arrive("/unsafe/x");
    }
    mHost->Advance(200 * kMillisecond);
    const auto passedOn = mHost->All<RelayRequest>();
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), passedOn.size());
    for (const RelayRequest& relay : passedOn) {
      CPPUNIT_ASSERT_EQUAL(std::string(kFarHost), relay.mAddress);
    }
  }

  void BodyIsNotPassedOnToAHostThatIsNotKnown()
  {
    mHost->mState.mRelayHosts = { kNearHost, kFarHost };
    Name({ "far" });
    mHost->Arrive("/unsafe/x");
    mHost->Advance(200 * kMillisecond);
    CPPUNIT_ASSERT(mHost->All<RelayRequest>().empty());
  }

  void LargeAnswerTakesNoFastLinkOutsideTheHomes()
  {
    mHost->mState.mBounds.mLinkBytesPerSecond = 262500;
    mHost->mState.mFastHosts = { kNearHost };
    mHost->mState.mHostDataCentres = { { kNearHost, "dc" } };
    RouteStatistics& statistics = mHost->mState.mStatistics["safe"];
    statistics.mWork = 100 * kMillisecond;
    statistics.mAnswerBytes = 90000;
    Name({ "far" });
    mHost->Arrive("/safe/x");
    CPPUNIT_ASSERT(mHost->All<RelayRequest>().empty());
    Name({ "near" });
    mHost->Arrive("/safe/y");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mHost->All<RelayRequest>().size());
  }

  void DirectoryNamesHomesAndTheClientsRegionFirst()
  {
    Directory host = DirectoryWith({ { "a.example", { "r2" } } });
    const std::set<std::string> named =
      NamedBy(host, { "dc1", "r1", "A.Example:80" });
    CPPUNIT_ASSERT(named == (std::set<std::string>{ "dc1", "dc2" }));
    CPPUNIT_ASSERT(NamedBy(host, { "dc1", "", "a.example" }) == named);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         NamedBy(host, { "dc1", "r1", "b.example" }).size());
  }

  void DirectoryNamesOthersIfThereIsNoHome()
  {
    Directory host = DirectoryWith({ { "a.example", { "r9" } } });
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         NamedBy(host, { "x", "r8", "a.example" }).size());
  }

  void DirectoryTakesWhatAllRoutesOfAHostNameShare()
  {
    Directory host = DirectoryWith(
      { { "a.example", { "r0", "r2" } }, { "a.example", { "r2", "r3" } } });
    const auto named = NamedBy(host, { "dc1", "r1", "a.example" });
    CPPUNIT_ASSERT(named == (std::set<std::string>{ "dc1", "dc2" }));
  }

private:
  void Name(const Names& aRegions)
  {
    SetPolicy(mHost->mState, mHost->mNow, PolicyWith(aRegions));
  }

  void Arrive(const std::string& aPrefix, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mHost->Arrive(aPrefix + std::to_string(i));
      for (int round = 0; round < 3; ++round) {
        mHost->AnswerProbes();
        mHost->Advance(2 * kMillisecond);
      }
    }
  }

  // All targets have become slow since they were chosen, and have room.
  void AnswerProbesSlowly()
  {
    mHost->AnswerProbes();
    for (auto& [id, target] : mHost->mState.mTargets) {
      if (target.mReport && target.mRunning > 0) {
        target.mReport->mSlowness = 7;
      }
    }
  }

  [[nodiscard]] std::size_t SentTo(const std::string& aRegion) const
  {
    const auto sent = mHost->All<SendRequest>();
    return static_cast<std::size_t>(
      std::count_if(sent.begin(), sent.end(), [&](const SendRequest& aOne) {
        return aOne.mTarget.compare(0, aRegion.size(), aRegion) == 0;
      }));
  }

  void ExpectSentOnlyTo(const std::string& aRegion) const
  {
    CPPUNIT_ASSERT_EQUAL(mHost->All<SendRequest>().size(), SentTo(aRegion));
  }

  struct Directory
  {
    gateway::State mState;
    Micros mNow = 0;
  };

  static Directory DirectoryWith(
    const std::vector<std::pair<std::string, Names>>& aRoutes)
  {
    GatewayWorld world(GatewayLoad(), 5);
    world.Settle();
    Directory directory{ world.At(0), world.Now() };
    gateway::State& host = directory.mState;
    for (int i = 0; i < 4; ++i) {
      const std::string number = std::to_string(i);
      host.mSettings.mRegions["dc" + number] = "r" + number;
    }
    policy::TrafficPolicy policy;
    for (const auto& [name, regions] : aRoutes) {
      policy::Route route;
      route.mHostName = name;
      route.mPathPrefix = "/" + std::to_string(policy.mRoutes.size()) + "/";
      route.mRegions = regions;
      policy.mRoutes.push_back(route);
    }
    policy::BuildIndex(policy);
    host.mDispatch.mPolicy =
      std::make_shared<const policy::TrafficPolicy>(std::move(policy));
    return directory;
  }

  // Data centres of the hosts in a number of answers.
  static std::set<std::string> NamedBy(Directory& aHost,
                                       const gateway::Lookup& aLookup)
  {
    std::map<std::string, std::string> dataCentres;
    for (const fleet::Host* host :
         fleet::HostsForClients(aHost.mState.mFleet, aHost.mNow)) {
      dataCentres[host->mCallerAddress] = host->mDataCentre;
    }
    std::set<std::string> named;
    for (int i = 0; i < 20; ++i) {
      for (const std::string& address :
           gateway::AddressesFor(aHost.mState, aLookup, aHost.mNow)) {
        named.insert(dataCentres.at(address));
      }
    }
    return named;
  }

  std::unique_ptr<DispatchHost> mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionsTest);

} // namespace geraniumpond::dispatch
