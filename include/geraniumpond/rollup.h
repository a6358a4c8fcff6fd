#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstdint>
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
/// matter back down. Counts are states, not changes, so that a message may be
/// lost, repeated or late. What is counted is the business of the modules that
/// use it.
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
  /// The targets of one service in one data centre.
  Room,
};
constexpr std::size_t kSubjectCount = 3;

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

/// \brief What the leader has told of all hosts.
struct Totals
{
  Sum mSum;
  /// When the leader told it, by this host's clock.
  Micros mToldAt = 0;
};

} // namespace geraniumpond::rollup
