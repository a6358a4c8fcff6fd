#pragma once

#include <geraniumpond/quota.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// \brief Many hosts that decide on requests of accounts, with a simple
/// stand-in for the messages between them.
namespace geraniumpond::quota {

/// \brief One client account of the world.
struct Customer
{
  std::string mName;
  std::uint64_t mKey = 0;
  Limit mLimit;
  double mPerSecond = 0;
  /// Hosts that its callers use; empty for all.
  std::vector<std::size_t> mHosts;
  /// When requests arrived at targets.
  std::vector<Micros> mSentAt;
  std::uint64_t mAsked = 0;
  std::uint64_t mRefused = 0;
  /// Refused clients that came back, and those refused again.
  std::uint64_t mReturned = 0;
  std::uint64_t mReturnsRefused = 0;
};

struct WorldHost
{
  State mState;
  bool mAlive = true;
  bool mFrozen = false;
  /// Hosts with the same number reach each other; 0 without a leader.
  int mSide = 1;
  Micros mUpDelay = 0;
  Micros mDownDelay = 0;
  Micros mSilentSince = 0;
  std::vector<std::function<void()>> mHeld;
  std::map<std::uint64_t, Limit> mLimits;
  /// What it reported last.
  rollup::Table mReported;
};

struct WorldSettings
{
  std::size_t mHosts = 141;
  std::size_t mCustomers = 85;
  double mPerSecond = 1000;
  double mSkew = 1.2;
  double mHeadroom = 1.6;
  /// Burst in seconds of the rate.
  double mBurstSeconds = 1;
  Micros mHop = 150 * kMillisecond;
  double mLost = 0.02;
};

/// \brief Accounts whose requests are skewed by size.
inline std::vector<Customer> MakeCustomers(const WorldSettings& aSettings)
{
  double sum = 0;
  for (std::size_t i = 0; i < aSettings.mCustomers; ++i) {
    sum += std::pow(i + 1.0, -aSettings.mSkew);
  }
  std::vector<Customer> customers;
  for (std::size_t i = 0; i < aSettings.mCustomers; ++i) {
    Customer customer;
    customer.mName = "a" + std::to_string(i);
    customer.mKey = DigestOf(customer.mName);
    customer.mPerSecond =
      aSettings.mPerSecond * std::pow(i + 1.0, -aSettings.mSkew) / sum;
    customer.mLimit.mPerSecond = aSettings.mHeadroom * customer.mPerSecond;
    customer.mLimit.mBurst =
      aSettings.mBurstSeconds * customer.mLimit.mPerSecond;
    customers.push_back(customer);
  }
  return customers;
}

/// \brief Most requests that arrived in a window which begins at `aFrom` or
/// later, as a share of the bound.
inline double WorstWindow(const Customer& aCustomer, Micros aFrom)
{
  const Settings settings;
  auto times = aCustomer.mSentAt;
  std::sort(times.begin(), times.end());
  std::size_t first = 0;
  std::size_t most = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= settings.mWindow ||
           times[first] < aFrom) {
      if (first == i) {
        break;
      }
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return static_cast<double>(most) / Bound(settings, aCustomer.mLimit);
}

class World
{
  /// Bytes of one account in a message, and how long clients wait.
  static constexpr std::size_t kEntryBytes = 20;
  static constexpr Micros kPatience = 800 * kMillisecond;
  /// Hosts whose counts are older are not in the sums.
  static constexpr Micros kSilentHost = 1200 * kMillisecond;

public:
  World(const WorldSettings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mRandom(aSeed)
    , mCustomers(MakeCustomers(aSettings))
  {
    mHosts.resize(aSettings.mHosts);
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      mNames.push_back("h" + std::to_string(i));
      const auto hops = static_cast<Micros>(i % 7 == 0 ? 1 : 2);
      mHosts[i].mUpDelay = hops * mSettings.mHop;
      mHosts[i].mDownDelay = hops * mSettings.mHop / 3;
      for (const Customer& customer : mCustomers) {
        mHosts[i].mLimits[customer.mKey] = customer.mLimit;
      }
      mHosts[i].mState = MakeState({}, 0);
    }
    TellHosts();
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      Later(Whole(mSettings.mHop), [this, i] { SendReport(i); });
    }
    Later(kSecond / 10, [this] { Lead(); });
    for (std::size_t i = 0; i < mCustomers.size(); ++i) {
      ScheduleRequest(i);
    }
  }

  Micros Now() const { return mNow; }
  std::mt19937_64& Random() { return mRandom; }
  std::vector<Customer>& Customers() { return mCustomers; }
  const std::vector<Customer>& Customers() const { return mCustomers; }
  std::vector<WorldHost>& Hosts() { return mHosts; }
  std::size_t HostCount() const { return mHosts.size(); }
  std::uint64_t BytesSent() const { return mBytesSent; }

  /// \brief Starts to count requests from here on.
  void ForgetCounts()
  {
    for (Customer& customer : mCustomers) {
      customer.mAsked = 0;
      customer.mRefused = 0;
      customer.mReturned = 0;
      customer.mReturnsRefused = 0;
    }
  }

  /// \brief Windows that begin before are not looked at.
  void ForgetWindows() { mCountFrom = mNow; }

  void Later(Micros aDelay, std::function<void()> aWhat)
  {
    mQueue.emplace(mNow + aDelay, std::move(aWhat));
  }

  void Advance(Micros aTime)
  {
    const Micros end = mNow + aTime;
    while (!mQueue.empty() && mQueue.begin()->first <= end) {
      const auto what = std::move(mQueue.begin()->second);
      mNow = mQueue.begin()->first;
      mQueue.erase(mQueue.begin());
      what();
    }
    mNow = end;
  }

  void Kill(std::size_t aHost, Micros aFor)
  {
    mHosts[aHost].mAlive = false;
    Later(aFor, [this, aHost] {
      WorldHost& host = mHosts[aHost];
      host.mAlive = true;
      host.mState = MakeState({}, mNow);
      SetHosts(
        host.mState, mNow, rate_share::MakeMembers(mNames, mNames[aHost]));
    });
  }

  /// \brief Requests that arrive meanwhile are handled at once afterwards.
  void Freeze(std::size_t aHost, Micros aFor)
  {
    mHosts[aHost].mFrozen = true;
    Later(aFor, [this, aHost] {
      mHosts[aHost].mFrozen = false;
      const auto held = std::move(mHosts[aHost].mHeld);
      mHosts[aHost].mHeld.clear();
      for (const auto& what : held) {
        what();
      }
    });
  }

  void Cut(std::size_t aHost, Micros aFor) { Move(aHost, 0, aFor); }

  /// \brief The host hears another leader for a while.
  void Move(std::size_t aHost, int aSide, Micros aFor)
  {
    mHosts[aHost].mSide = aSide;
    Later(aFor, [this, aHost] { mHosts[aHost].mSide = 1; });
  }

  /// \brief No leader; the next one has heard nothing.
  void LoseLeader(Micros aFor)
  {
    mHasLeader = false;
    mReports.clear();
    Later(aFor, [this] { mHasLeader = true; });
  }

  /// \brief Hosts learn of the limit at some time within a second.
  void ChangeLimit(std::size_t aCustomer, const Limit& aLimit)
  {
    Customer& customer = mCustomers[aCustomer];
    customer.mLimit = aLimit;
    for (WorldHost& host : mHosts) {
      Later(Whole(kSecond), [&host, key = customer.mKey, aLimit] {
        host.mLimits[key] = aLimit;
      });
    }
  }

  /// \brief Most requests that arrived in a window, as a share of the bound.
  double WorstWindow(const Customer& aCustomer) const
  {
    return quota::WorstWindow(aCustomer, mCountFrom);
  }

private:
  struct Report
  {
    rollup::Table mTable;
    Micros mMadeAt = 0;
    int mSide = 0;
  };

  Micros Whole(Micros aMost)
  {
    return static_cast<Micros>(mRandom() % static_cast<std::uint64_t>(aMost));
  }

  double Uniform()
  {
    return static_cast<double>(mRandom() >> 11) / 9007199254740992.0;
  }

  void TellHosts()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      SetHosts(
        mHosts[i].mState, mNow, rate_share::MakeMembers(mNames, mNames[i]));
    }
  }

  void ScheduleRequest(std::size_t aCustomer)
  {
    const double gap =
      -std::log(1 - Uniform()) / mCustomers[aCustomer].mPerSecond;
    Later(static_cast<Micros>(gap * kSecond), [this, aCustomer] {
      ++mCustomers[aCustomer].mAsked;
      Ask(aCustomer, false);
      ScheduleRequest(aCustomer);
    });
  }

  std::size_t PickHost(const Customer& aCustomer)
  {
    for (int i = 0; i < 20; ++i) {
      const std::size_t host =
        aCustomer.mHosts.empty() || i > 10
          ? mRandom() % mHosts.size()
          : aCustomer.mHosts[mRandom() % aCustomer.mHosts.size()];
      if (mHosts[host].mAlive) {
        return host;
      }
    }
    return 0;
  }

  void Ask(std::size_t aCustomer, bool aIsReturn)
  {
    const std::size_t host = PickHost(mCustomers[aCustomer]);
    if (mHosts[host].mFrozen) {
      mHosts[host].mHeld.push_back([this, aCustomer, host, aIsReturn] {
        AskAt(aCustomer, host, aIsReturn);
      });
      return;
    }
    AskAt(aCustomer, host, aIsReturn);
  }

  void AskAt(std::size_t aCustomer, std::size_t aHost, bool aIsReturn)
  {
    Customer& customer = mCustomers[aCustomer];
    WorldHost& host = mHosts[aHost];
    const Verdict verdict = quota::Admit(
      host.mState, mNow, customer.mKey, host.mLimits[customer.mKey], aIsReturn);
    if (verdict.mAdmitted) {
      CountSent(host.mState, mNow, customer.mKey);
      customer.mSentAt.push_back(mNow);
      return;
    }
    if (aIsReturn) {
      ++customer.mReturnsRefused;
      return;
    }
    ++customer.mRefused;
    if (verdict.mRetryAfter <= kPatience) {
      Later(verdict.mRetryAfter, [this, aCustomer] {
        ++mCustomers[aCustomer].mReturned;
        Ask(aCustomer, true);
      });
    }
  }

  void SendReport(std::size_t aHost)
  {
    Later(mSettings.mHop, [this, aHost] { SendReport(aHost); });
    Later(mSettings.mHop / 2, [this, aHost] { SendUrgently(aHost); });
    WorldHost& host = mHosts[aHost];
    Tick(host.mState, mNow);
    rollup::Table table;
    AddOwn(host.mState, mNow, table);
    Send(aHost, table, host.mUpDelay - mSettings.mHop / 2);
  }

  // Demand that rises by half and by a few requests is told at once.
  void SendUrgently(std::size_t aHost)
  {
    WorldHost& host = mHosts[aHost];
    rollup::Table table;
    AddOwn(host.mState, mNow, table);
    for (const auto& [key, counts] : table) {
      const auto last = host.mReported.find(key);
      const std::uint32_t before =
        last == host.mReported.end() ? 0 : last->second[kOffered];
      if (counts[kOffered] >= std::max(before + 3, before * 3 / 2)) {
        Send(aHost, table, host.mUpDelay / 4);
        return;
      }
    }
  }

  void Send(std::size_t aHost, const rollup::Table& aTable, Micros aDelay)
  {
    WorldHost& host = mHosts[aHost];
    if (!host.mAlive || host.mFrozen || host.mSide == 0) {
      return;
    }
    host.mReported = aTable;
    mBytesSent += kEntryBytes * aTable.size();
    if (Uniform() < mSettings.mLost) {
      return;
    }
    Later(aDelay, [this, aHost, report = Report{ aTable, mNow, host.mSide }] {
      if (mHasLeader && report.mMadeAt > mReports[aHost].mMadeAt) {
        mReports[aHost] = report;
      }
    });
  }

  // Adds up what is new enough; between two periods only if demand rises.
  void Lead()
  {
    Later(mSettings.mHop / 2, [this] { Lead(); });
    mIsBetween = !mIsBetween;
    if (!mHasLeader) {
      return;
    }
    for (int side = 1; side <= 2; ++side) {
      LeadSide(side);
    }
  }

  bool Rises(const rollup::Table& aSums) const
  {
    return std::any_of(aSums.begin(), aSums.end(), [&](const auto& aEntry) {
      const auto told = mTold.find(aEntry.first);
      const std::uint32_t before =
        told == mTold.end() ? 0 : told->second[kOffered];
      return aEntry.second[kOffered] >= std::max(before + 8, before * 3 / 2);
    });
  }

  void LeadSide(int aSide)
  {
    rollup::Totals totals;
    totals.mToldAt = mNow;
    for (const auto& [host, report] : mReports) {
      if (report.mSide != aSide || mNow - report.mMadeAt > kSilentHost) {
        continue;
      }
      ++totals.mSum.mHosts;
      for (const auto& [key, counts] : report.mTable) {
        rollup::Counts& sum = totals.mSum.mTable[key];
        for (std::size_t i = 0; i < counts.size(); ++i) {
          sum[i] += counts[i];
        }
      }
    }
    auto& table = totals.mSum.mTable;
    for (auto it = table.begin(); it != table.end();) {
      it = Matters(it->second) ? std::next(it) : table.erase(it);
    }
    if (totals.mSum.mHosts == 0 || (mIsBetween && !Rises(table))) {
      return;
    }
    mTold = table;
    for (WorldHost& host : mHosts) {
      if (host.mSide != aSide) {
        continue;
      }
      mBytesSent += kEntryBytes * totals.mSum.mTable.size();
      if (Uniform() < mSettings.mLost) {
        continue;
      }
      Later(host.mDownDelay, [this, &host, totals] {
        if (host.mAlive && !host.mFrozen && host.mSide != 0) {
          SetTotals(host.mState, mNow, totals);
        }
      });
    }
  }

  WorldSettings mSettings;
  std::mt19937_64 mRandom;
  Micros mNow = 0;
  std::multimap<Micros, std::function<void()>> mQueue;
  std::vector<Customer> mCustomers;
  std::vector<WorldHost> mHosts;
  std::vector<std::string> mNames;
  std::map<std::size_t, Report> mReports;
  std::uint64_t mBytesSent = 0;
  Micros mCountFrom = 0;
  rollup::Table mTold;
  bool mIsBetween = false;
  bool mHasLeader = true;
};

} // namespace geraniumpond::quota
