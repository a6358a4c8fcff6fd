#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// \brief Sums counts over all hosts, along the tree in which they follow the
/// control group, and tells every host the totals.
///
/// Each host tells its upstream the counts of itself and of all that follow it;
/// the leader of the control group adds them up and sends the totals that
/// hosts need back down. Counts are states, not changes, so that a message may
/// be lost, repeated or late. What is counted is the business of the modules
/// that use it.
///
/// A plain struct and free functions: no clock, thread, socket or file.
namespace geraniumpond::rollup {

/// \brief What a count is about.
enum class Subject
{
  /// A client account.
  Account,
  /// Requests of one priority at one service.
  Priority,
};
constexpr std::size_t kSubjectCount = 2;

/// \brief One thing that is counted, by the digest of its name.
struct Key
{
  Subject mSubject = Subject::Account;
  std::uint64_t mDigest = 0;

  bool operator<(const Key& aOther) const noexcept
  {
    return std::tie(mSubject, mDigest) <
           std::tie(aOther.mSubject, aOther.mDigest);
  }
};

/// \brief Counts of one key; what each of them means depends on the subject.
constexpr std::size_t kCountsPerKey = 4;
using Counts = std::array<std::uint32_t, kCountsPerKey>;
using Table = std::map<Key, Counts>;

/// \brief Counts of a number of hosts.
struct Sum
{
  Table mTable;
  std::uint32_t mHosts = 0;
};

/// \brief Order of totals: by the leader's term, then by sequence number.
struct Stamp
{
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;

  bool operator<(const Stamp& aOther) const noexcept
  {
    return std::tie(mTerm, mSequence) <
           std::tie(aOther.mTerm, aOther.mSequence);
  }
};

/// \brief Counts summed over all hosts, as the leader sent them.
struct Totals
{
  /// Holds the keys of the leader's Selection; counts of others are small or
  /// zero.
  Sum mSum;
  /// When the leader sent them, by this host's clock: exact or too early.
  Micros mToldAt = 0;
  /// Hosts that the leader knows of and that are not in the sum.
  std::uint32_t mSilent = 0;
  Stamp mStamp;
  /// True for part totals: counts of the hosts that follow one control host,
  /// sent by it while it hears no leader. They hold all keys and have no stamp.
  bool mIsPart = false;
};

/// \brief Which totals all hosts need. It must own what it reads.
using Selection = std::function<bool(const Key&, const Counts&)>;

/// \brief What a host reports: its own counts and those of all that follow it.
struct Report
{
  Sum mSum;
  /// Longest path to a host below the sender in the tree; grows without end
  /// where hosts follow each other in a cycle.
  std::uint32_t mHeight = 0;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// By the sender's clock.
  Micros mSentAt = 0;
  /// A count has grown much: the report is passed on ahead of the regular
  /// interval.
  bool mUrgent = false;
};

/// \brief Latest report of a host, at the one that it reports to.
struct Part
{
  Report mReport;
  /// When it was sent by this host's clock, at the latest.
  Micros mSentAt = 0;
  /// Least difference between this host's clock at a receipt and the sender's.
  Micros mClockGap = 0;
  Micros mGapUpdatedAt = 0;
};

/// \brief Number of reports that may be sent ahead of the regular interval.
struct Allowance
{
  int mLeft = 0;
  Micros mFilledAt = 0;
};

/// \brief Least growth of a count that is reported ahead of the regular
/// interval, if it is at least half of the count, too; 0 for never.
struct LeastGrowth
{
  std::array<Counts, kSubjectCount> mBySubject{};
};

/// \brief The counts of one host.
struct State
{
  /// Whether the embedder counts anything, at this host and at others.
  bool mWanted = false;
  Table mOwn;
  /// By the address of the reporting host. Silent ones are kept for a while,
  /// for what is known of their clocks.
  std::map<std::string, Part> mParts;
  bool mHasReporters = false;
  Selection mSelection;
  LeastGrowth mLeastGrowth;

  /// The own table as it was last reported.
  Table mOwnSent;
  Micros mSentAt = 0;
  std::uint64_t mSequence = 0;
  /// Nothing but zero was reported by this host and to it.
  bool mIsIdle = true;
  bool mUrgent = false;
  Allowance mAllowance;
  /// When this host next checks whether a report is due.
  Micros mLookAt = 0;

  std::optional<Totals> mTotals;
  /// The newest part totals; taken only while totals of all hosts are lacking.
  std::optional<Totals> mPartTotals;
};

/// \brief Makes a key; digests are shortened for the messages between hosts.
[[nodiscard]] Key MakeKey(Subject aSubject, std::uint64_t aDigest) noexcept;

/// \brief Counts of a key; nullptr if the sum does not hold it.
[[nodiscard]] const Counts* Find(const Sum& aSum, const Key& aKey);

/// \brief Adds the counts of other hosts; what does not fit stays at the
/// highest number.
void Add(Sum& aSum, const Sum& aOther);

/// \brief True if there is anything to report.
[[nodiscard]] bool IsActive(const State& aState) noexcept;

/// \brief Sets what this host counts.
void SetOwn(State& aState, Micros aNow, Table aOwn);

/// \brief Takes a report unless it is late or part of a cycle.
void TakeReport(State& aState,
                Micros aNow,
                const std::string& aFrom,
                Report aReport);

/// \brief False for a host that has been silent for a while.
[[nodiscard]] bool IsHeard(const Part& aPart, Micros aNow) noexcept;

/// \brief Notes whether any host still reports, and forgets those that have
/// been silent for long.
void UpdateReporters(State& aState, Micros aNow);

/// \brief Whether the counts of a reporting host are part of the sum.
using Reporters = std::function<bool(const std::string&)>;

/// \brief Own counts and those of the hosts that report to this one.
[[nodiscard]] Report MakeReport(const State& aState,
                                Micros aNow,
                                const Reporters& aReporters);

/// \brief True if this host should report now.
[[nodiscard]] bool IsDue(State& aState, Micros aNow);

/// \brief Notes that a report or totals were sent, and when to look next.
void MarkSent(State& aState, Micros aNow, bool aEmpty);

/// \brief At the leader: totals from a sum, with the keys that are needed.
[[nodiscard]] Totals MakeTotals(const State& aState,
                                Micros aNow,
                                Sum aSum,
                                std::uint32_t aKnownHosts,
                                const Stamp& aStamp);

/// \brief Takes totals unless newer ones are known; returns whether it did.
[[nodiscard]] bool TakeTotals(State& aState, Totals aTotals);

/// \brief True if totals of all hosts came before, but none within the last
/// half second.
[[nodiscard]] bool LacksTotals(const State& aState, Micros aNow) noexcept;

/// \brief At a control host: totals of the hosts that follow it.
[[nodiscard]] Totals MakePartTotals(Micros aNow,
                                    Sum aSum,
                                    std::uint32_t aKnownHosts);

/// \brief Takes totals of a control host alone, unless those of all hosts are
/// there or a newer part is known; returns whether it did.
[[nodiscard]] bool TakePartTotals(State& aState, Micros aNow, Totals aTotals);

/// \brief Earliest time at which this host has something to look at.
[[nodiscard]] Micros NextLook(const State& aState) noexcept;

} // namespace geraniumpond::rollup
