#include "fakes/fleet_simulation.h"
#include "gateway/internal.h"
#include "quota_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>

namespace geraniumpond::quota {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

constexpr int kDataCentres = 4;
constexpr int kOthers = 137;
constexpr Micros kStep = 10 * kMillisecond;
constexpr Micros kTickInterval = 100 * kMillisecond;
constexpr Micros kHostsInterval = 500 * kMillisecond;
constexpr Micros kSettle = 8 * kSecond;
/// Clients that are told to wait longer give up.
constexpr Micros kPatience = 800 * kMillisecond;
constexpr double kSurge = 8;
/// Refusals below the limit that are acceptable; while a fault lasts and after
/// it, at hosts that hear totals, which may be late or new.
constexpr double kMaxRefused = 0.005;
constexpr double kMaxRefusedInFault = 0.01;
/// Refusals of the requests from one second on after all hosts were lost, when
/// the clients of that time have come back together.
constexpr double kMaxRefusedAfterLoss = 0.1;
constexpr Micros kDownTime = 1 * kSecond;
constexpr double kReturningTogether = 2;
constexpr std::uint64_t kSeeds = 2;
/// The largest account, and middle ones.
constexpr std::size_t kHot[] = { 0, 3, 10 };
/// What a surging account gets of its rate at least.
constexpr double kLeastServed = 0.9;

/// \brief The limits as one simulated host keeps them.
struct LimitingHost
{
  State mState;
  rollup::Stamp mTotalsUsed;
  Micros mTickedAt = 0;
  Micros mHostsAt = 0;
};

/// \brief A simulated fleet whose hosts sum their counts as they do in a real
/// one and decide by them on requests of accounts.
class LimitingFleet
{
public:
  explicit LimitingFleet(std::uint64_t aSeed)
    : mFleet(aSeed)
    , mRandom(aSeed)
    , mCustomers(MakeCustomers(WorldSettings()))
  {
    mFleet.StartSpreadFleet(kDataCentres, kOthers, 1);
    CPPUNIT_ASSERT(mFleet.RunUntil(10 * kSecond, [&] {
      return mFleet.Voters() == kDataCentres &&
             mFleet.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one"));
    }));
    mFleet.Advance(8 * kSecond);
    mAddresses = mFleet.Addresses();
    for (const std::string& address : mAddresses) {
      Begin(address);
    }
    Advance(kSettle);
    ForgetCounts();
  }

  FleetSimulation& Fleet() { return mFleet; }
  std::vector<Customer>& Customers() { return mCustomers; }
  std::mt19937_64& Random() { return mRandom; }
  [[nodiscard]] const std::vector<std::string>& Addresses() const
  {
    return mAddresses;
  }

  /// \brief Requests are counted, and windows looked at, from here on.
  void ForgetCounts()
  {
    mCountFrom = mFleet.mNow;
    mRefusedInTouch.clear();
    for (Customer& customer : mCustomers) {
      customer.mAsked = 0;
      customer.mRefused = 0;
    }
  }

  void Advance(Micros aTime)
  {
    for (const Micros end = mFleet.mNow + aTime; mFleet.mNow < end;) {
      for (const std::string& address : mAddresses) {
        if (mFleet.At(address).mAlive) {
          RunHost(address);
        }
      }
      ReturnRefused();
      for (std::size_t i = 0; i < mCustomers.size(); ++i) {
        AskNew(i);
      }
      mFleet.Advance(kStep);
    }
  }

  /// \brief The host begins without a memory of requests.
  void Begin(const std::string& aAddress)
  {
    mHosts[aAddress] = {};
    mHosts[aAddress].mState = MakeState({}, mFleet.mNow);
    gateway::SetUpCounting(mFleet.Node(aAddress).mState, mFleet.mNow, true);
  }

  [[nodiscard]] double Worst(const Customer& aCustomer) const
  {
    return WorstWindow(aCustomer, mCountFrom);
  }

  /// \brief What was refused of other accounts, by hosts that hear totals or
  /// by all.
  [[nodiscard]] double RefusedOfOthers(std::size_t aHot, bool aInTouch) const
  {
    double asked = 0;
    double refused = 0;
    for (std::size_t i = 0; i < mCustomers.size(); ++i) {
      if (i == aHot) {
        continue;
      }
      const auto inTouch = mRefusedInTouch.find(i);
      const std::uint64_t heard =
        inTouch == mRefusedInTouch.end() ? 0 : inTouch->second;
      asked += static_cast<double>(mCustomers[i].mAsked);
      refused += static_cast<double>(aInTouch ? heard : mCustomers[i].mRefused);
    }
    return refused / asked;
  }

  /// \brief What was sent of an account, as a share of its rate.
  [[nodiscard]] double Served(const Customer& aCustomer) const
  {
    const auto sent =
      std::count_if(aCustomer.mSentAt.begin(),
                    aCustomer.mSentAt.end(),
                    [&](Micros aAt) { return aAt >= mCountFrom; });
    const double time = static_cast<double>(mFleet.mNow - mCountFrom) / kSecond;
    return static_cast<double>(sent) / time / aCustomer.mLimit.mPerSecond;
  }

private:
  // In the order of a real host: counts are set before the fleet's turn.
  void RunHost(const std::string& aAddress)
  {
    const Micros now = mFleet.mNow;
    LimitingHost& host = mHosts.at(aAddress);
    fleet::State& fleet = mFleet.Node(aAddress).mState;
    if (now >= host.mHostsAt + kHostsInterval || host.mHostsAt == 0) {
      host.mHostsAt = now;
      SetHosts(host.mState, now, gateway::CountingHosts(fleet));
    }
    if (now >= host.mTickedAt + kTickInterval) {
      host.mTickedAt = now;
      Tick(host.mState, now);
      (void)TakeChanges(host.mState);
    }
    if (fleet::AreCountsDue(fleet, now + kStep)) {
      rollup::Table table;
      AddOwn(host.mState, now, table);
      fleet::SetCounts(fleet, now, std::move(table));
    }
    const rollup::Totals* totals = fleet::NewestTotals(fleet);
    if (totals != nullptr && host.mTotalsUsed < totals->mStamp) {
      host.mTotalsUsed = totals->mStamp;
      SetTotals(host.mState, now, *totals);
    }
    const rollup::Totals* part = fleet::NewestPartTotals(fleet);
    if (part != nullptr && part->mToldAt > host.mState.mTotals.mToldAt) {
      SetTotals(host.mState, now, *part);
    }
  }

  void AskNew(std::size_t aCustomer)
  {
    const double expected = mCustomers[aCustomer].mPerSecond * kStep / kSecond;
    const int count = std::poisson_distribution<int>(expected)(mRandom);
    for (int i = 0; i < count; ++i) {
      ++mCustomers[aCustomer].mAsked;
      Ask(aCustomer, false);
    }
  }

  void ReturnRefused()
  {
    while (!mReturns.empty() && mReturns.begin()->first <= mFleet.mNow) {
      const std::size_t customer = mReturns.begin()->second;
      mReturns.erase(mReturns.begin());
      Ask(customer, true);
    }
  }

  void Ask(std::size_t aCustomer, bool aIsReturn)
  {
    std::string address;
    do {
      address = mAddresses[mRandom() % mAddresses.size()];
    } while (!mFleet.At(address).mAlive);
    Customer& customer = mCustomers[aCustomer];
    State& state = mHosts.at(address).mState;
    const Verdict verdict =
      Admit(state, mFleet.mNow, customer.mKey, customer.mLimit, aIsReturn);
    if (verdict.mAdmitted) {
      CountSent(state, mFleet.mNow, customer.mKey);
      customer.mSentAt.push_back(mFleet.mNow);
      return;
    }
    customer.mRefused += aIsReturn ? 0 : 1;
    mRefusedInTouch[aCustomer] +=
      !aIsReturn && IsInTouch(state, mFleet.mNow) ? 1 : 0;
    if (!aIsReturn && verdict.mRetryAfter <= kPatience) {
      mReturns.emplace(mFleet.mNow + verdict.mRetryAfter, aCustomer);
    }
  }

  FleetSimulation mFleet;
  std::mt19937_64 mRandom;
  std::vector<Customer> mCustomers;
  std::vector<std::string> mAddresses;
  std::map<std::string, LimitingHost> mHosts;
  std::multimap<Micros, std::size_t> mReturns;
  std::map<std::size_t, std::uint64_t> mRefusedInTouch;
  Micros mCountFrom = 0;
};

using Fault = void (*)(LimitingFleet&);

void NoFault(LimitingFleet& aFleet)
{
  aFleet.Advance(9 * kSecond);
}

void KillLeader(LimitingFleet& aFleet)
{
  aFleet.Advance(300 * kMillisecond);
  const std::string killed = aFleet.Fleet().Leader();
  aFleet.Fleet().Kill(killed);
  aFleet.Advance(3500 * kMillisecond);
  aFleet.Fleet().Start(killed, false);
  aFleet.Begin(killed);
  aFleet.Advance(6 * kSecond);
}

// Only hosts of the same half reach each other.
void CutInHalves(LimitingFleet& aFleet)
{
  const auto side = [](const std::string& aAddress) {
    const char place = aAddress.at(5);
    return place == '0' || place == '1';
  };
  aFleet.Advance(300 * kMillisecond);
  aFleet.Fleet().mShouldDrop = [side](const fakes::SentMessage& aSent) {
    return side(aSent.mFrom) != side(aSent.mTo);
  };
  aFleet.Advance(4 * kSecond);
  aFleet.Fleet().mShouldDrop = nullptr;
  aFleet.Advance(6 * kSecond);
}

void CutOffHosts(LimitingFleet& aFleet)
{
  aFleet.Advance(300 * kMillisecond);
  std::vector<std::string> hosts = aFleet.Addresses();
  std::shuffle(hosts.begin(), hosts.end(), aFleet.Random());
  hosts.resize(hosts.size() * 17 / 100);
  aFleet.Fleet().mIsolated = { hosts.begin(), hosts.end() };
  aFleet.Advance(5500 * kMillisecond);
  aFleet.Fleet().mIsolated.clear();
  aFleet.Advance(6 * kSecond);
}

// All hosts forget what they sent.
void LoseAllHosts(LimitingFleet& aFleet)
{
  for (const std::string& address : aFleet.Addresses()) {
    aFleet.Fleet().LosePower(address);
  }
  aFleet.Fleet().Advance(kDownTime);
  for (const std::string& address : aFleet.Addresses()) {
    aFleet.Fleet().Start(address, false);
    aFleet.Begin(address);
  }
}

void LoseAllAndGoOn(LimitingFleet& aFleet)
{
  aFleet.Advance(3 * kSecond);
  LoseAllHosts(aFleet);
  aFleet.Advance(9 * kSecond);
}

} // namespace

/// \brief The limits of accounts by the sums of a simulated fleet: 141 hosts in
/// four data centres, 85 accounts, one at eight times its usual.
class QuotaFleetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaFleetTest);
  CPPUNIT_TEST(AccountsBelowTheirLimitsAreServedInCalm);
  CPPUNIT_TEST(SurgingAccountStaysWithinItsBound);
  CPPUNIT_TEST(BoundHoldsWhileTheLeaderIsKilled);
  CPPUNIT_TEST(BoundHoldsWhileTheGroupIsCutInHalves);
  CPPUNIT_TEST(BoundHoldsWhileHostsAreCutOff);
  CPPUNIT_TEST(BoundHoldsWhileAllHostsAreLost);
  CPPUNIT_TEST(ClientsThatReturnTogetherAreAdmittedAfterAllHostsWereLost);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountsBelowTheirLimitsAreServedInCalm()
  {
    LimitingFleet fleet(1);
    fleet.Advance(10 * kSecond);
    const std::string failure =
      Check(fleet, fleet.Customers().size(), kMaxRefused, "\ncalm, seed 1");
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }

  void SurgingAccountStaysWithinItsBound()
  {
    Play(NoFault, kMaxRefused, "surge");
  }
  void BoundHoldsWhileTheLeaderIsKilled()
  {
    Play(KillLeader, kMaxRefusedInFault, "leader");
  }
  void BoundHoldsWhileTheGroupIsCutInHalves()
  {
    Play(CutInHalves, kMaxRefusedInFault, "halves");
  }
  void BoundHoldsWhileHostsAreCutOff()
  {
    Play(CutOffHosts, kMaxRefused, "cut off");
  }

  // What hosts refuse while they hear no totals is not looked at here.
  void BoundHoldsWhileAllHostsAreLost()
  {
    std::string failures;
    for (const std::size_t hot : kHot) {
      LimitingFleet fleet(1);
      fleet.Customers()[hot].mPerSecond *= kSurge;
      LoseAllAndGoOn(fleet);
      for (const Customer& customer : fleet.Customers()) {
        const double worst = fleet.Worst(customer);
        failures += worst <= 1 ? ""
                               : "\n" + customer.mName + " at " +
                                   std::to_string(worst) + " of its bound";
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  // Twice as much is asked in the two seconds after the start as usual, which
  // is more than the limits' rates and less than their bursts.
  void ClientsThatReturnTogetherAreAdmittedAfterAllHostsWereLost()
  {
    LimitingFleet fleet(1);
    fleet.Advance(5 * kSecond);
    LoseAllHosts(fleet);
    for (Customer& customer : fleet.Customers()) {
      customer.mPerSecond *= kReturningTogether;
    }
    fleet.Advance(kSecond);
    fleet.ForgetCounts();
    fleet.Advance(kSecond);
    const double refused =
      fleet.RefusedOfOthers(fleet.Customers().size(), false);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused),
                           refused < kMaxRefusedAfterLoss);
  }

private:
  void Play(Fault aFault, double aMaxRefused, const std::string& aWhat)
  {
    std::string failures;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (const std::size_t hot : kHot) {
        LimitingFleet fleet(seed);
        fleet.Customers()[hot].mPerSecond *= kSurge;
        aFault(fleet);
        failures += Check(fleet,
                          hot,
                          aMaxRefused,
                          "\n" + aWhat + ", account " + std::to_string(hot) +
                            ", seed " + std::to_string(seed));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

  // What is wrong, if anything.
  static std::string Check(LimitingFleet& aFleet,
                           std::size_t aHot,
                           double aMaxRefused,
                           const std::string& aWhat)
  {
    const std::vector<Customer>& customers = aFleet.Customers();
    const auto worst =
      std::max_element(customers.begin(),
                       customers.end(),
                       [&](const Customer& aLeft, const Customer& aRight) {
                         return aFleet.Worst(aLeft) < aFleet.Worst(aRight);
                       });
    const double bound = aFleet.Worst(*worst);
    const double refused = aFleet.RefusedOfOthers(aHot, true);
    const double served =
      aHot < customers.size() ? aFleet.Served(customers[aHot]) : 1;
    const std::string text =
      aWhat + ": " + worst->mName + " at " + std::to_string(bound) +
      " of its bound, served " + std::to_string(served) +
      " of its rate, others refused in touch " + std::to_string(refused) +
      ", in all " + std::to_string(aFleet.RefusedOfOthers(aHot, false));
    if (std::getenv("GERANIUMPOND_FIGURES") != nullptr) {
      std::fprintf(stderr, "%s", text.c_str());
    }
    const bool holds =
      bound <= 1 && refused < aMaxRefused && served >= kLeastServed;
    return holds ? "" : text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetTest);

} // namespace geraniumpond::quota
