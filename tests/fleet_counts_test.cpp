#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace geraniumpond::fleet {

using fakes::FleetSimulation;
using fakes::PutPolicyCommand;

namespace {

constexpr int kDataCentres = 4;
constexpr int kOthers = 137;
constexpr std::uint32_t kHosts = kDataCentres + kOthers;
constexpr std::uint64_t kSeeds = 3;
constexpr Micros kStep = 10 * kMillisecond;
/// Counts of a usual host, and of one in a surge.
constexpr std::uint32_t kUsual = 10;
constexpr std::uint32_t kSurge = 80;
/// A host that moves may be counted twice until the old upstream has not heard
/// it for 1.2 s and the sums have passed three hops and the leader.
constexpr Micros kDoubleCounting = 1200 * kMillisecond + 4 * 250 * kMillisecond;
/// Time in which a tree stops changing after losses.
constexpr Micros kMovingTime = 30 * kSecond;
/// The age at which hosts hold totals for old.
constexpr Micros kFresh = 1 * kSecond;

const rollup::Key kKey = rollup::MakeKey(rollup::Subject::Account, ~0ULL);

// A word of a leader as it was when it was told.
struct Word
{
  Micros mToldAt = 0;
  std::uint32_t mCount = 0;
};

} // namespace

/// \brief Totals of counts in a fleet of 141 hosts in four data centres.
class FleetCountsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetCountsTest);
  CPPUNIT_TEST(NothingIsSentWhereNothingIsCounted);
  CPPUNIT_TEST(AllHostsHoldFreshTotalsOfAllHosts);
  CPPUNIT_TEST(SurgeOfADataCentreIsKnownEverywhereSoon);
  CPPUNIT_TEST(TotalsAreBackAfterTheLeaderIsKilled);
  CPPUNIT_TEST(FrozenLeaderIsNotBelievedWhenItWakes);
  CPPUNIT_TEST(GroupCutInHalvesTellsOneWord);
  CPPUNIT_TEST(PartsOfAGroupCutInHalvesHoldEachHostOnce);
  CPPUNIT_TEST(HalfOfTheHostsKilledAndBackAreCounted);
  CPPUNIT_TEST(HostsBehindKilledRelaysAreCountedAgain);
  CPPUNIT_TEST(WordsThatWaitedForAFrozenHostAreAsOldAsTheyAre);
  CPPUNIT_TEST(TotalsOfManyAccountsAreShort);
  CPPUNIT_TEST_SUITE_END();

public:
  void NothingIsSentWhereNothingIsCounted()
  {
    mSimulation = FleetSimulation(1);
    mSimulation.StartSpreadFleet(kDataCentres, kOthers, 1);
    int sent = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      sent += aSent.mMessage.has_counts() || aSent.mMessage.has_totals() ||
              aSent.mMessage.has_part_totals();
      return false;
    };
    mSimulation.Advance(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, sent);
  }

  void AllHostsHoldFreshTotalsOfAllHosts()
  {
    ForEachSeed([&] {
      std::vector<Micros> ages;
      RunWith(5 * kSecond, [&] {
        for (const std::string& address : mSimulation.Addresses()) {
          ages.push_back(AgeAt(address));
        }
      });
      for (const std::string& address : mSimulation.Addresses()) {
        const rollup::Totals& totals = *TotalsAt(address);
        CPPUNIT_ASSERT_EQUAL(kHosts, totals.mSum.mHosts);
        CPPUNIT_ASSERT_EQUAL(0U, totals.mSilent);
        CPPUNIT_ASSERT_EQUAL(kHosts * kUsual, CountOf(totals));
      }
      const auto nearLast =
        ages.begin() + static_cast<int>(ages.size() * 99 / 100);
      std::nth_element(ages.begin(), nearLast, ages.end());
      Note("age of totals at the 99th of 100, ms", *nearLast / kMillisecond);
      CPPUNIT_ASSERT(*nearLast < 400 * kMillisecond);
    });
  }

  void SurgeOfADataCentreIsKnownEverywhereSoon()
  {
    ForEachSeed([&] {
      std::uint32_t expected = 0;
      for (const std::string& address : mSimulation.Addresses()) {
        const bool surges =
          mSimulation.At(address).mSettings.mDataCentre == "dc2";
        mCounts[address] = surges ? kSurge : kUsual;
        expected += mCounts[address];
      }
      const Micros time = TimeUntil(3 * kSecond, [&] {
        return All([&](const std::string& aAddress) {
          return CountOf(*TotalsAt(aAddress)) == expected;
        });
      });
      Note("surge known everywhere after, ms", time / kMillisecond);
      CPPUNIT_ASSERT(time < 800 * kMillisecond);
    });
  }

  void TotalsAreBackAfterTheLeaderIsKilled()
  {
    ForEachSeed([&] {
      const std::string killed = mSimulation.Leader();
      mSimulation.Kill(killed);
      CPPUNIT_ASSERT(RunUntil(10 * kSecond, [&] {
        return !mSimulation.Leader().empty() && mSimulation.Leader() != killed;
      }));
      ExpectFreshAgain(2500 * kMillisecond);
      ExpectCount(kHosts - 1);
    });
  }

  void FrozenLeaderIsNotBelievedWhenItWakes()
  {
    ForEachSeed([&] {
      const std::string frozen = mSimulation.Leader();
      mSimulation.mSuspended.insert(frozen);
      CPPUNIT_ASSERT(
        RunUntil(10 * kSecond, [&] { return HasNewLeader(frozen); }));
      RunWith(4 * kSecond, [] {});
      mSimulation.mSuspended.clear();
      const std::uint64_t term = NewestTerm();
      RunWith(3 * kSecond, [&] {
        for (const std::string& address : mSimulation.Addresses()) {
          const rollup::Totals* totals = TotalsAt(address);
          const bool isNew = totals != nullptr && AgeAt(address) < kSecond;
          CPPUNIT_ASSERT(!isNew || totals->mStamp.mTerm >= term);
        }
      });
      ExpectCount(kHosts);
    });
  }

  // No half holds a majority; only the side of the leader's last quorum may
  // tell anything, and no longer than its round is young.
  void GroupCutInHalvesTellsOneWord()
  {
    ForEachSeed([&] {
      mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
        Record(aSent);
        return mSimulation.IsControl(aSent.mFrom) &&
               mSimulation.IsControl(aSent.mTo) &&
               (aSent.mFrom < "10.0.2") != (aSent.mTo < "10.0.2");
      };
      RunWith(700 * kMillisecond, [] {});
      const std::size_t told = mWords.size();
      RunWith(6 * kSecond, [] {});
      CPPUNIT_ASSERT_EQUAL(told, mWords.size());
      RecordWords();
      ExpectFreshAgainAfterLeader();
      ExpectCount(kHosts);
    });
  }

  void PartsOfAGroupCutInHalvesHoldEachHostOnce()
  {
    // Of two data centres each; the third number of an address is its own.
    const auto isFirst = [](const std::string& aAddress) {
      return aAddress.at(5) == '0' || aAddress.at(5) == '1';
    };
    ForEachSeed([&] {
      mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
        Record(aSent);
        return isFirst(aSent.mFrom) != isFirst(aSent.mTo);
      };
      RunWith(2 * kSecond, [] {});
      Micros onceAt = mSimulation.mNow;
      RunWith(4 * kSecond, [&] {
        ExpectParts();
        onceAt = HostsInParts() <= kHosts ? mSimulation.mNow : onceAt;
        CPPUNIT_ASSERT_MESSAGE(Label("parts"),
                               mSimulation.mNow - onceAt < kDoubleCounting);
      });
      RecordWords();
      ExpectFreshAgainAfterLeader();
      ExpectCount(kHosts);
    });
  }

  void HalfOfTheHostsKilledAndBackAreCounted()
  {
    ForEachSeed([&] {
      std::set<std::string> killed;
      for (const std::string& address : mSimulation.Addresses()) {
        if (!mSimulation.IsControl(address) && killed.size() < kOthers / 2) {
          killed.insert(address);
          mSimulation.Kill(address);
        }
      }
      const auto left = static_cast<std::uint32_t>(kHosts - killed.size());
      ExpectCount(left);
      CPPUNIT_ASSERT_EQUAL(kHosts - left,
                           TotalsAt(mSimulation.Leader())->mSilent);
      for (const std::string& address : killed) {
        mSimulation.Start(address, false);
        CPPUNIT_ASSERT(TotalsAt(address) == nullptr);
        Count(address);
      }
      ExpectFreshAgain(3 * kSecond);
      ExpectCount(kHosts);
    });
  }

  void HostsBehindKilledRelaysAreCountedAgain()
  {
    ForEachSeed([&] {
      std::uint32_t left = kHosts;
      for (const std::string& address : mSimulation.Addresses()) {
        const fakes::FleetNode& node = mSimulation.At(address);
        if (!node.mSettings.mControl && !node.mState.mFollowers.empty()) {
          mSimulation.Kill(address);
          --left;
        }
      }
      CPPUNIT_ASSERT(left < kHosts);
      ExpectCount(left);
    });
  }

  void WordsThatWaitedForAFrozenHostAreAsOldAsTheyAre()
  {
    ForEachSeed([&] {
      std::string relay;
      for (const std::string& address : mSimulation.Addresses()) {
        const fakes::FleetNode& node = mSimulation.At(address);
        if (!node.mSettings.mControl && !node.mState.mFollowers.empty()) {
          relay = address;
        }
      }
      CPPUNIT_ASSERT(!relay.empty());
      mSimulation.mSuspended.insert(relay);
      RunWith(6 * kSecond, [] {});
      mSimulation.mSuspended.clear();
      RunWith(2 * kStep, [] {});
      for (const auto& [address, part] :
           mSimulation.At(relay).mState.mCounts.mRollup.mParts) {
        CPPUNIT_ASSERT_MESSAGE(Label(address),
                               !rollup::IsHeard(part, mSimulation.mNow) ||
                                 mSimulation.At(address).mState.mUpstream ==
                                   relay);
      }
      ExpectCount(kHosts);
    });
  }

  void TotalsOfManyAccountsAreShort()
  {
    Begin(1);
    std::mt19937_64 random(1);
    mTable.clear();
    for (int i = 0; i < 85; ++i) {
      mTable[rollup::MakeKey(rollup::Subject::Account, random())] = {
        static_cast<std::uint32_t>(random() % 300), 40
      };
    }
    std::size_t longest = 0;
    std::size_t bytes = 0;
    std::size_t sent = 0;
    mSimulation.mShouldDrop = [&](const fakes::SentMessage& aSent) {
      Record(aSent);
      if (aSent.mMessage.has_counts() || aSent.mMessage.has_totals() ||
          aSent.mMessage.has_part_totals()) {
        longest = std::max(longest, aSent.mMessage.ByteSizeLong());
        bytes += aSent.mMessage.ByteSizeLong();
        ++sent;
      }
      return false;
    };
    RunWith(5 * kSecond, [] {});
    Note("longest message of 85 accounts, bytes", static_cast<Micros>(longest));
    Note("messages a host and second", static_cast<Micros>(sent / 5 / kHosts));
    Note("bytes a host and second", static_cast<Micros>(bytes / 5 / kHosts));
    CPPUNIT_ASSERT(longest < 1200);
  }

private:
  // All hosts hear of their part, which says how many there are in all.
  void ExpectParts() const
  {
    for (const std::string& address : mSimulation.Addresses()) {
      const rollup::Totals* part =
        NewestPartTotals(mSimulation.At(address).mState);
      CPPUNIT_ASSERT_MESSAGE(Label(address), part != nullptr);
      CPPUNIT_ASSERT_MESSAGE(Label(address),
                             mSimulation.mNow - part->mToldAt < kFresh);
      CPPUNIT_ASSERT_EQUAL(kHosts, part->mSum.mHosts + part->mSilent);
    }
  }

  std::uint32_t HostsInParts() const
  {
    std::uint32_t hosts = 0;
    for (const std::string& address : mSimulation.Addresses()) {
      hosts += mSimulation.IsControl(address)
                 ? NewestPartTotals(mSimulation.At(address).mState)->mSum.mHosts
                 : 0;
    }
    return hosts;
  }

  void Begin(std::uint64_t aSeed)
  {
    mSimulation = FleetSimulation(aSeed);
    mSeed = aSeed;
    mWords.clear();
    mCounts.clear();
    mTable.clear();
    mSimulation.StartSpreadFleet(kDataCentres, kOthers, 1);
    CPPUNIT_ASSERT(mSimulation.RunUntil(10 * kSecond, [&] {
      return mSimulation.Voters() == kDataCentres &&
             mSimulation.Commit("10.0.0.1:1", PutPolicyCommand(1, 0, "one"));
    }));
    mSimulation.Advance(8 * kSecond);
    for (const std::string& address : mSimulation.Addresses()) {
      Count(address);
    }
    RecordWords();
    RunWith(3 * kSecond, [] {});
  }

  void Count(const std::string& aAddress)
  {
    State& state = mSimulation.Node(aAddress).mState;
    SetCounting(state, mSimulation.mNow, true);
    SetLeastGrowth(state, rollup::Subject::Account, { 8 });
  }

  template<class Body>
  void ForEachSeed(Body aBody)
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Begin(seed);
      aBody();
    }
  }

  // Sets the hosts' counts while time passes, and checks that no host takes
  // totals for newer than they are.
  template<class Check>
  void RunWith(Micros aTime, Check aCheck)
  {
    for (Micros passed = 0; passed < aTime; passed += kStep) {
      for (const std::string& address : mSimulation.Addresses()) {
        fakes::FleetNode& node = mSimulation.Node(address);
        if (node.mAlive && mSimulation.mSuspended.count(address) == 0) {
          SetCounts(node.mState, mSimulation.mNow, TableOf(address));
        }
      }
      mSimulation.Advance(kStep);
      CheckAges();
      aCheck();
    }
  }

  template<class Condition>
  bool RunUntil(Micros aTimeout, Condition aCondition)
  {
    return TimeUntil(aTimeout, aCondition) < aTimeout;
  }

  template<class Condition>
  Micros TimeUntil(Micros aTimeout, Condition aCondition)
  {
    const Micros start = mSimulation.mNow;
    while (mSimulation.mNow - start < aTimeout && !aCondition()) {
      RunWith(kStep, [] {});
    }
    return mSimulation.mNow - start;
  }

  rollup::Table TableOf(const std::string& aAddress) const
  {
    if (!mTable.empty()) {
      return mTable;
    }
    const auto found = mCounts.find(aAddress);
    return { { kKey, { found == mCounts.end() ? kUsual : found->second } } };
  }

  void RecordWords()
  {
    mSimulation.mShouldDrop = [this](const fakes::SentMessage& aSent) {
      Record(aSent);
      return false;
    };
  }

  // The first message with a stamp is the leader's own.
  void Record(const fakes::SentMessage& aSent)
  {
    if (aSent.mMessage.has_totals()) {
      const wire::CountsTotals& word = aSent.mMessage.totals();
      mWords.emplace(std::make_pair(word.term(), word.sequence()),
                     mSimulation.mNow);
    }
  }

  void CheckAges() const
  {
    for (const std::string& address : mSimulation.Addresses()) {
      const rollup::Totals* totals = TotalsAt(address);
      if (totals == nullptr || !mSimulation.At(address).mAlive) {
        continue;
      }
      const auto told =
        mWords.find({ totals->mStamp.mTerm, totals->mStamp.mSequence });
      CPPUNIT_ASSERT_MESSAGE(Label(address), told != mWords.end());
      CPPUNIT_ASSERT_MESSAGE(Label(address), totals->mToldAt <= told->second);
    }
  }

  const rollup::Totals* TotalsAt(const std::string& aAddress) const
  {
    return NewestTotals(mSimulation.At(aAddress).mState);
  }

  Micros AgeAt(const std::string& aAddress) const
  {
    const rollup::Totals* totals = TotalsAt(aAddress);
    return totals == nullptr ? 3600 * kSecond
                             : mSimulation.mNow - totals->mToldAt;
  }

  static std::uint32_t CountOf(const rollup::Totals& aTotals)
  {
    const rollup::Counts* counts = rollup::Find(aTotals.mSum, kKey);
    return counts == nullptr ? 0 : counts->front();
  }

  // Holds for all hosts that run.
  template<class Condition>
  bool All(Condition aCondition) const
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return std::all_of(
      hosts.begin(), hosts.end(), [&](const std::string& aAddress) {
        return !mSimulation.At(aAddress).mAlive || aCondition(aAddress);
      });
  }

  bool HasNewLeader(const std::string& aOld) const
  {
    const std::vector<std::string> hosts = mSimulation.Addresses();
    return std::any_of(
      hosts.begin(), hosts.end(), [&](const std::string& aAddress) {
        return aAddress != aOld &&
               consensus::IsLeader(mSimulation.At(aAddress).mState.mGroup);
      });
  }

  std::uint64_t NewestTerm() const
  {
    return mWords.empty() ? 0 : mWords.rbegin()->first.first;
  }

  void ExpectFreshAgain(Micros aWithin)
  {
    const Micros time = TimeUntil(aWithin + kSecond, [&] {
      return All([&](const std::string& aAddress) {
        return AgeAt(aAddress) < kFresh / 2;
      });
    });
    Note("fresh totals everywhere after, ms", time / kMillisecond);
    CPPUNIT_ASSERT_MESSAGE(Label(""), time <= aWithin);
  }

  void ExpectFreshAgainAfterLeader()
  {
    CPPUNIT_ASSERT(
      RunUntil(10 * kSecond, [&] { return !mSimulation.Leader().empty(); }));
    ExpectFreshAgain(3 * kSecond);
  }

  // Hosts move for seconds after a loss; all are counted once soon after the
  // last of them has moved.
  void ExpectCount(std::uint32_t aHosts)
  {
    std::map<std::string, std::string> upstreams;
    Micros movedAt = mSimulation.mNow;
    const Micros start = movedAt;
    while (mSimulation.mNow - movedAt < kDoubleCounting &&
           mSimulation.mNow - start < kMovingTime) {
      RunWith(kStep, [] {});
      for (const std::string& address : mSimulation.Addresses()) {
        const std::string& upstream = mSimulation.At(address).mState.mUpstream;
        if (upstreams[address] != upstream) {
          upstreams[address] = upstream;
          movedAt = mSimulation.mNow;
        }
      }
    }
    Note("last host moved after, ms", (movedAt - start) / kMillisecond);
    for (const std::string& address : mSimulation.Addresses()) {
      if (mSimulation.At(address).mAlive) {
        const rollup::Totals& totals = *TotalsAt(address);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Label(address), aHosts, totals.mSum.mHosts);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Label(address), aHosts * kUsual, CountOf(totals));
      }
    }
  }

  std::string Label(const std::string& aAddress) const
  {
    return "seed " + std::to_string(mSeed) + " " + aAddress;
  }

  // Figures for the design note.
  void Note(const char* aWhat, Micros aValue) const
  {
    if (std::getenv("GERANIUMPOND_FIGURES") != nullptr) {
      std::fprintf(stderr,
                   "\nseed %d: %s: %lld",
                   static_cast<int>(mSeed),
                   aWhat,
                   static_cast<long long>(aValue));
    }
  }

  FleetSimulation mSimulation;
  std::uint64_t mSeed = 0;
  std::map<std::string, std::uint32_t> mCounts;
  rollup::Table mTable;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Micros> mWords;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCountsTest);

} // namespace geraniumpond::fleet
