#include "quota_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace geraniumpond::quota {

namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr Micros kSettle = 8 * kSecond;
constexpr double kSurge = 8;
/// Refusals below the limit that are acceptable.
constexpr double kMaxRefused = 0.005;

// Accounts that ask this share of their limit.
WorldSettings Asking(double aShare)
{
  WorldSettings settings;
  settings.mHeadroom = 1 / aShare;
  return settings;
}

std::vector<std::size_t> DataCentre(const World& aWorld, std::size_t aIndex)
{
  std::vector<std::size_t> hosts;
  for (std::size_t i = aIndex; i < aWorld.HostCount(); i += 4) {
    hosts.push_back(i);
  }
  return hosts;
}

std::vector<std::size_t> AnyHosts(World& aWorld, std::size_t aCount)
{
  std::vector<std::size_t> hosts(aWorld.HostCount());
  std::iota(hosts.begin(), hosts.end(), std::size_t(0));
  std::shuffle(hosts.begin(), hosts.end(), aWorld.Random());
  hosts.resize(aCount);
  return hosts;
}

double RefusedShare(const World& aWorld)
{
  double asked = 0;
  double refused = 0;
  for (const Customer& customer : aWorld.Customers()) {
    asked += static_cast<double>(customer.mAsked);
    refused += static_cast<double>(customer.mRefused);
  }
  return refused / asked;
}

// In every sliding window of every account.
void ExpectWithinBound(const World& aWorld, const std::string& aWhat)
{
  for (const Customer& customer : aWorld.Customers()) {
    CPPUNIT_ASSERT_MESSAGE(aWhat + " " + customer.mName + " at " +
                             std::to_string(aWorld.WorstWindow(customer)) +
                             " of its bound",
                           aWorld.WorstWindow(customer) <= 1);
  }
}

void ExpectFewRefused(const World& aWorld, const std::string& aWhat)
{
  CPPUNIT_ASSERT_MESSAGE(aWhat + " refused " +
                           std::to_string(RefusedShare(aWorld)),
                         RefusedShare(aWorld) < kMaxRefused);
}

void Surge(World& aWorld, std::size_t aCustomer, Micros aFor)
{
  Customer& customer = aWorld.Customers()[aCustomer];
  customer.mPerSecond *= kSurge;
  aWorld.Later(aFor, [&customer] { customer.mPerSecond /= kSurge; });
}

std::string Seed(std::uint64_t aSeed)
{
  return "seed " + std::to_string(aSeed);
}

// Which account surges: of different sizes in turn.
std::size_t Hot(std::uint64_t aSeed)
{
  constexpr std::size_t kHot[] = { 0, 1, 3, 6, 10, 20, 40, 80 };
  return kHot[aSeed % std::size(kHot)];
}

using Fault = void (*)(World&);

void KillHosts(World& aWorld)
{
  for (std::size_t host : AnyHosts(aWorld, aWorld.HostCount() / 6)) {
    aWorld.Kill(host, 3500 * kMillisecond);
  }
}

void FreezeHosts(World& aWorld)
{
  for (std::size_t host : AnyHosts(aWorld, aWorld.HostCount() / 10)) {
    const auto more = static_cast<Micros>(aWorld.Random()() % 3000);
    aWorld.Freeze(host, 4 * kSecond + more * kMillisecond);
  }
}

void CutHosts(World& aWorld)
{
  for (std::size_t host : AnyHosts(aWorld, aWorld.HostCount() * 17 / 100)) {
    aWorld.Cut(host, 5500 * kMillisecond);
  }
}

// The leader of the other half tells for a while, too.
void CutInHalves(World& aWorld)
{
  for (std::size_t host : AnyHosts(aWorld, aWorld.HostCount() / 2)) {
    aWorld.Move(host, 2, 5 * kSecond);
  }
}

void LoseLeader(World& aWorld)
{
  aWorld.LoseLeader(2 * kSecond);
}

void KillHalf(World& aWorld)
{
  for (std::size_t host : AnyHosts(aWorld, aWorld.HostCount() / 2)) {
    aWorld.Kill(host, 2 * kSecond);
  }
}

constexpr Fault kFaults[] = { KillHosts,   FreezeHosts, CutHosts,
                              CutInHalves, LoseLeader,  KillHalf };

} // namespace

/// \brief Both sides of the bound: no account gets more than its limit allows,
/// and those below it are not refused.
class QuotaLoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaLoadTest);
  CPPUNIT_TEST(AccountsNearTheirLimitsAreServed);
  CPPUNIT_TEST(CallersOfThreeHostsAreServed);
  CPPUNIT_TEST(CallersThatMoveToAnotherDataCentreAreServed);
  CPPUNIT_TEST(SurgingAccountStaysWithinItsBoundAndOthersAreServed);
  CPPUNIT_TEST(SurgingAccountGetsItsLimit);
  CPPUNIT_TEST(RefusedClientsThatReturnInTimeAreServedFirst);
  CPPUNIT_TEST(BoundHoldsUnderEachFault);
  CPPUNIT_TEST(BoundHoldsUnderOverlappingFaults);
  CPPUNIT_TEST(LoweredLimitHoldsAfterAWindow);
  CPPUNIT_TEST(MessagesAreSmall);
  CPPUNIT_TEST_SUITE_END();

public:
  void AccountsNearTheirLimitsAreServed()
  {
    World world(Asking(0.9), 1);
    world.Advance(kSettle);
    world.ForgetCounts();
    world.Advance(30 * kSecond);
    ExpectFewRefused(world, "near the limit");
    ExpectWithinBound(world, "near the limit");
  }

  void CallersOfThreeHostsAreServed()
  {
    World world(Asking(0.9), 2);
    for (Customer& customer : world.Customers()) {
      customer.mHosts = AnyHosts(world, 3);
    }
    world.Advance(kSettle);
    world.ForgetCounts();
    world.Advance(30 * kSecond);
    ExpectFewRefused(world, "three hosts");
  }

  void CallersThatMoveToAnotherDataCentreAreServed()
  {
    World world(Asking(0.9), 3);
    for (Customer& customer : world.Customers()) {
      customer.mHosts = DataCentre(world, 0);
    }
    world.Advance(kSettle);
    world.ForgetCounts();
    for (Customer& customer : world.Customers()) {
      customer.mHosts = DataCentre(world, 2);
    }
    world.Advance(20 * kSecond);
    ExpectFewRefused(world, "another data centre");
  }

  void SurgingAccountStaysWithinItsBoundAndOthersAreServed()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World world(WorldSettings(), seed);
      world.Advance(kSettle);
      world.ForgetCounts();
      Surge(world, Hot(seed), 6 * kSecond);
      world.Advance(8 * kSecond);
      ExpectWithinBound(world, Seed(seed));
      world.Customers().erase(world.Customers().begin() +
                              static_cast<std::ptrdiff_t>(Hot(seed)));
      ExpectFewRefused(world, Seed(seed));
    }
  }

  void SurgingAccountGetsItsLimit()
  {
    for (const std::size_t hot : { 0, 3, 10 }) {
      World world(WorldSettings(), 4);
      world.Advance(kSettle);
      const std::size_t before = world.Customers()[hot].mSentAt.size();
      Surge(world, hot, 20 * kSecond);
      world.Advance(20 * kSecond);
      const Customer& customer = world.Customers()[hot];
      CPPUNIT_ASSERT_MESSAGE(
        customer.mName,
        static_cast<double>(customer.mSentAt.size() - before) >=
          0.95 * 20 * customer.mLimit.mPerSecond);
    }
  }

  void RefusedClientsThatReturnInTimeAreServedFirst()
  {
    World world(WorldSettings(), 5);
    world.Advance(kSettle);
    Surge(world, 0, 20 * kSecond);
    world.Advance(5 * kSecond);
    world.ForgetCounts();
    world.Advance(10 * kSecond);
    const Customer& customer = world.Customers()[0];
    const double returned = static_cast<double>(customer.mReturned);
    const double refused = static_cast<double>(customer.mReturnsRefused);
    const double fresh = static_cast<double>(customer.mRefused) /
                         static_cast<double>(customer.mAsked);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " +
                             std::to_string(returned) + " returns, " +
                             std::to_string(fresh) + " of new requests",
                           returned > 0 && refused / returned < fresh / 2);
  }

  void BoundHoldsUnderEachFault()
  {
    for (std::size_t i = 0; i < std::size(kFaults); ++i) {
      World world(WorldSettings(), 30 + i);
      world.Advance(kSettle);
      Surge(world, Hot(i), 10 * kSecond);
      world.Later(static_cast<Micros>(i % 3) * 700 * kMillisecond,
                  [&world, i] { kFaults[i](world); });
      world.Advance(12 * kSecond);
      ExpectWithinBound(world, "fault " + std::to_string(i));
    }
  }

  void BoundHoldsUnderOverlappingFaults()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World world(WorldSettings(), seed);
      world.Advance(kSettle);
      Surge(world, Hot(seed), 12 * kSecond);
      for (int i = 0; i < 5; ++i) {
        const auto delay = static_cast<Micros>(world.Random()() % 9000);
        const std::size_t fault = world.Random()() % std::size(kFaults);
        world.Later(delay * kMillisecond,
                    [&world, fault] { kFaults[fault](world); });
      }
      world.Advance(16 * kSecond);
      ExpectWithinBound(world, Seed(seed));
    }
  }

  void LoweredLimitHoldsAfterAWindow()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      World world(WorldSettings(), seed);
      world.Advance(kSettle);
      const std::size_t lowered = Hot(seed);
      const Limit limit = world.Customers()[lowered].mLimit;
      world.ChangeLimit(lowered, { limit.mPerSecond / 4, limit.mBurst / 4 });
      if (seed % 2 == 0) {
        Surge(world, lowered, 5 * kSecond);
      }
      if (seed % 4 == 0) {
        CutHosts(world);
      }
      world.Advance(kSecond + Settings().mWindow);
      world.ForgetWindows();
      world.Advance(8 * kSecond);
      ExpectWithinBound(world, Seed(seed));
    }
  }

  void MessagesAreSmall()
  {
    World world(WorldSettings(), 6);
    world.Advance(10 * kSecond);
    const double perHost = static_cast<double>(world.BytesSent()) /
                           static_cast<double>(world.HostCount()) / 10;
    // A twenty-fifth of a link of 2.5 Mbit/s.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(perHost), perHost < 2.5e6 / 8 / 25);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLoadTest);

} // namespace geraniumpond::quota
