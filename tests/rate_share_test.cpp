#include <geraniumpond/rate_share.h>

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::rate_share {

namespace {

constexpr Micros kStart = 1000 * kSecond;

std::vector<std::string> Hosts(int aCount)
{
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i) + ":7");
  }
  return hosts;
}

std::vector<Share> MakeShares(const std::vector<std::string>& aHosts,
                              double aPerSecond)
{
  std::vector<Share> shares(aHosts.size());
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    UpdateShare(
      shares[i], MakeMembers(aHosts, aHosts[i]), "t", aPerSecond, kStart);
  }
  return shares;
}

// Number of requests sent by a host that always has work, in steps of 1 ms.
int SentIn(Share& aShare, Micros aFrom, Micros aTime)
{
  int sent = 0;
  for (Micros now = aFrom; now < aFrom + aTime; now += kMillisecond) {
    if (CanSend(aShare, now)) {
      CountSent(aShare, now);
      ++sent;
    }
  }
  return sent;
}

} // namespace

class RateShareTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RateShareTest);
  CPPUNIT_TEST(SharesAddUpToTheRate);
  CPPUNIT_TEST(HostsTogetherSendAtTheRate);
  CPPUNIT_TEST(BurstAfterAnIdlePeriodIsSmall);
  CPPUNIT_TEST(NonMemberHasNoShare);
  CPPUNIT_TEST(FormerHolderStopsAtOnceAndNewHolderWaits);
  CPPUNIT_TEST(HoldersAreStableWhenOtherHostsChange);
  CPPUNIT_TEST(ZeroRateIsStillProbed);
  CPPUNIT_TEST(UnusedShareIsIdle);
  CPPUNIT_TEST_SUITE_END();

public:
  void SharesAddUpToTheRate()
  {
    for (const int count : { 1, 2, 19, 476 }) {
      for (const double rate : { 0.5, 1.0, 3.4, 50.0, 5000.0 }) {
        double sum = 0;
        for (const Share& share : MakeShares(Hosts(count), rate)) {
          sum += share.mRate;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(rate, sum, 1e-6 * rate);
      }
    }
  }

  void HostsTogetherSendAtTheRate()
  {
    for (const int count : { 1, 19, 476 }) {
      for (const double rate : { 0.5, 3.4, 50.0 }) {
        double sent = 0;
        for (Share& share : MakeShares(Hosts(count), rate)) {
          sent += SentIn(share, kStart, 20 * kSecond);
        }
        CPPUNIT_ASSERT_LESSEQUAL(20 * rate + 1, sent);
        CPPUNIT_ASSERT_GREATER(0.8 * 20 * rate - 1, sent);
      }
    }
  }

  void BurstAfterAnIdlePeriodIsSmall()
  {
    for (const double rate : { 0.5, 3.4, 50.0 }) {
      double sent = 0;
      for (Share& share : MakeShares(Hosts(476), rate)) {
        sent += SentIn(share, kStart + 600 * kSecond, 4 * kSecond);
      }
      CPPUNIT_ASSERT_LESSEQUAL(1.5 * 4 * rate + 5, sent);
    }
  }

  void NonMemberHasNoShare()
  {
    Share share;
    UpdateShare(share, MakeMembers(Hosts(3), "other"), "t", 100, kStart);
    CPPUNIT_ASSERT(!CanSend(share, kStart + kSecond));
    UpdateShare(share, Members(), "t", 100, kStart);
    CPPUNIT_ASSERT(!CanSend(share, kStart + kSecond));
  }

  void FormerHolderStopsAtOnceAndNewHolderWaits()
  {
    const std::vector<std::string> all = Hosts(19);
    std::vector<Share> shares = MakeShares(all, 1.0);
    std::size_t holder = 0;
    while (shares[holder].mRate == 0) {
      ++holder;
    }
    std::vector<std::string> left = all;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(holder));
    const Micros later = kStart + 10 * kSecond;
    Micros first = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      UpdateShare(shares[i], MakeMembers(left, all[i]), "t", 1.0, later);
      for (Micros now = later; shares[i].mRate > 0 && first == 0;
           now += kMillisecond) {
        first = CanSend(shares[i], now) ? now : 0;
      }
    }
    CPPUNIT_ASSERT(!CanSend(shares[holder], later));
    CPPUNIT_ASSERT(first >= later + 2 * kSecond);
  }

  void HoldersAreStableWhenOtherHostsChange()
  {
    const std::vector<std::string> all = Hosts(100);
    const std::vector<std::string> fewer(all.begin(), all.begin() + 95);
    int moved = 0;
    for (int name = 0; name < 100; ++name) {
      for (const std::string& host : fewer) {
        Share share;
        const std::string text = std::to_string(name);
        UpdateShare(share, MakeMembers(all, host), text, 1.0, kStart);
        const bool before = share.mRate > 0;
        UpdateShare(share, MakeMembers(fewer, host), text, 1.0, kStart);
        moved += before != (share.mRate > 0) ? 1 : 0;
      }
    }
    // For one name in twenty, the holder is among the removed hosts.
    CPPUNIT_ASSERT_LESSEQUAL(15, moved);
  }

  void ZeroRateIsStillProbed()
  {
    std::vector<Share> shares = MakeShares(Hosts(19), 0);
    int sent = 0;
    for (Share& share : shares) {
      sent += SentIn(share, kStart, 60 * kSecond);
    }
    CPPUNIT_ASSERT(sent > 0 && sent <= 7);
  }

  void UnusedShareIsIdle()
  {
    Share share;
    UpdateShare(share, MakeMembers(Hosts(1), Hosts(1)[0]), "t", 1.0, kStart);
    CPPUNIT_ASSERT(!IsIdle(share, kStart + kSecond));
    CPPUNIT_ASSERT(IsIdle(share, kStart + 2 * kSecond));
    CountSent(share, kStart + 2 * kSecond);
    CPPUNIT_ASSERT(!IsIdle(share, kStart + 3 * kSecond));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateShareTest);

} // namespace geraniumpond::rate_share
