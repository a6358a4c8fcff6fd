#include "fakes/gateway_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace geraniumpond::gateway {

namespace {

using fakes::GatewayLoad;
using fakes::GatewayWorld;

constexpr std::uint64_t kSeeds = 6;
constexpr Micros kRunTime = 45 * kSecond;
/// Hosts that nothing has disturbed for this long are in touch.
constexpr Micros kContact = 3 * kSecond;
/// Time after which no host in touch names a host that is gone.
constexpr Micros kForgotten = kContact + 3 * kSecond;
constexpr Micros kAskInterval = 100 * kMillisecond;

/// \brief Hosts that end, return, lose their way to the others or their
/// leader, and what the others name to clients meanwhile.
class Disturbances
{
public:
  explicit Disturbances(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mWorld(GatewayLoad(), aSeed)
  {
    mWorld.Settle();
  }

  void Run()
  {
    const Micros end = mWorld.Now() + kRunTime;
    Micros next = mWorld.Now();
    while (mWorld.Now() < end) {
      if (mWorld.Now() >= next) {
        Disturb();
        next = mWorld.Now() + Draw(1500, 6000);
      }
      mWorld.Advance(kAskInterval);
      AskAll();
    }
  }

  /// Answers of hosts in touch; those of them that named a host that was gone;
  /// and the longest time for which such a host was gone.
  int mAnswers = 0;
  int mNamedGone = 0;
  Micros mLongestGone = 0;

private:
  Micros Draw(Micros aFromMs, Micros aUntilMs)
  {
    return std::uniform_int_distribution<Micros>(aFromMs, aUntilMs)(mRandom) *
           kMillisecond;
  }

  // At most one control host is away at any time.
  void Disturb()
  {
    std::size_t host = mRandom() % mWorld.Hosts();
    const std::size_t kind = mRandom() % 4;
    host = kind == 0 ? mWorld.LeaderHost() : host;
    const bool isControl = host < kControlHosts;
    if (host >= mWorld.Hosts() || mAway.count(host) != 0 ||
        (isControl && mWorld.Now() < mGroupWholeAt)) {
      return;
    }
    const Micros away = Draw(800, isControl ? 4000 : 12000);
    if (isControl) {
      mGroupWholeAt = mWorld.Now() + away + 2 * kSecond;
    }
    if (kind == 3) {
      Cut(host, away);
    } else {
      Kill(host, away);
    }
  }

  void Kill(std::size_t aHost, Micros aAway)
  {
    mWorld.KillHost(aHost);
    mAway[aHost] = mWorld.Now();
    mGoneSince[aHost] = mWorld.Now();
    Note(aHost);
    mWorld.Later(aAway, [this, aHost] {
      mWorld.StartHost(aHost);
      mAway.erase(aHost);
      mGoneSince.erase(aHost);
      Note(aHost);
    });
  }

  void Cut(std::size_t aHost, Micros aAway)
  {
    mWorld.mCutOff.insert(aHost);
    mAway[aHost] = mWorld.Now();
    Note(aHost);
    mWorld.Later(aAway, [this, aHost] {
      mWorld.mCutOff.erase(aHost);
      mAway.erase(aHost);
      Note(aHost);
    });
  }

  void Note(std::size_t aHost)
  {
    mDisturbedAt[aHost] = mWorld.Now();
    if (aHost < kControlHosts) {
      mGroupDisturbedAt = mWorld.Now();
    }
  }

  [[nodiscard]] bool IsInTouch(std::size_t aHost) const
  {
    const auto found = mDisturbedAt.find(aHost);
    const Micros last = std::max(
      mGroupDisturbedAt, found == mDisturbedAt.end() ? 0 : found->second);
    return mAway.count(aHost) == 0 && mWorld.Now() - last > kContact;
  }

  void AskAll()
  {
    for (std::size_t host = 0; host < mWorld.Hosts(); ++host) {
      if (!IsInTouch(host)) {
        continue;
      }
      ++mAnswers;
      Micros longest = 0;
      for (const std::size_t named : mWorld.NamedBy(host)) {
        const auto gone = mGoneSince.find(named);
        if (gone != mGoneSince.end()) {
          longest = std::max(longest, mWorld.Now() - gone->second);
        }
      }
      mNamedGone += longest > 0 ? 1 : 0;
      mLongestGone = std::max(mLongestGone, longest);
    }
  }

  static constexpr std::size_t kControlHosts = 4;

  std::mt19937_64 mRandom;
  GatewayWorld mWorld;
  std::map<std::size_t, Micros> mAway;
  std::map<std::size_t, Micros> mGoneSince;
  std::map<std::size_t, Micros> mDisturbedAt;
  Micros mGroupDisturbedAt = 0;
  Micros mGroupWholeAt = 0;
};

} // namespace

/// \brief What hosts name to clients while other hosts are lost.
class DirectoryAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DirectoryAnswersTest);
  CPPUNIT_TEST(NoHostInTouchNamesOneThatHasBeenGoneForLong);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoHostInTouchNamesOneThatHasBeenGoneForLong()
  {
    int namedGone = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Disturbances disturbances(seed);
      disturbances.Run();
      const std::string which =
        "seed " + std::to_string(seed) + ": named after ms " +
        std::to_string(disturbances.mLongestGone / kMillisecond);
      CPPUNIT_ASSERT_MESSAGE(which, disturbances.mLongestGone <= kForgotten);
      CPPUNIT_ASSERT_MESSAGE(which, disturbances.mAnswers > 500);
      namedGone += disturbances.mNamedGone;
    }
    // The lease of a host that is gone is noticed at all.
    CPPUNIT_ASSERT(namedGone > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryAnswersTest);

} // namespace geraniumpond::gateway
