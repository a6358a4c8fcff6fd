#pragma once

#include <geraniumpond/time.h>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

/// \brief Order of the requests that wait for a target of one service: by
/// priority, then by the turn of their accounts, then by deadline.
///
/// Accounts take turns by start-time fair queueing (Goyal, Vin and Cheng,
/// 1996): the more service an account has had for its weight, the later its
/// next turn. Requests that take no turn are in the order of priority and
/// deadline alone. Every operation takes a time that grows with the logarithm
/// of the number of requests.
///
/// A plain struct and free functions, without a clock.
namespace geraniumpond::fair_queue {

/// \brief A request that is to wait.
struct Entry
{
  std::uint64_t mRequest = 0;
  /// 0 is the highest priority.
  int mPriority = 0;
  Micros mDeadline = 0;
  std::string mAccount;
  /// Service that the account may have, relative to other accounts; 0 if the
  /// request takes no turn.
  double mWeight = 0;
};

/// \brief Place of a request in the queue.
struct Place
{
  int mPriority = 0;
  /// Virtual time at which its turn starts.
  double mTurn = 0;
  Micros mDeadline = 0;
  std::uint64_t mRequest = 0;

  bool operator<(const Place& aOther) const noexcept
  {
    return std::tie(mPriority, mTurn, mDeadline, mRequest) <
           std::tie(
             aOther.mPriority, aOther.mTurn, aOther.mDeadline, aOther.mRequest);
  }
};

/// \brief A request that waits.
struct Waiter
{
  Entry mEntry;
  double mTurn = 0;

  [[nodiscard]] std::uint64_t Request() const noexcept
  {
    return mEntry.mRequest;
  }
  [[nodiscard]] Place At() const noexcept
  {
    return { mEntry.mPriority, mTurn, mEntry.mDeadline, mEntry.mRequest };
  }
};

/// \brief Turns that the accounts have taken among requests of one priority.
struct Turns
{
  /// Latest turn that was served.
  double mNow = 0;
  /// Earliest next turn of the accounts that have taken theirs already.
  std::unordered_map<std::string, double> mNext;
  std::set<std::pair<double, std::string>> mByTurn;
};

namespace detail {
namespace mi = boost::multi_index;
using Waiters = boost::multi_index_container<
  Waiter,
  mi::indexed_by<
    mi::ranked_unique<mi::const_mem_fun<Waiter, Place, &Waiter::At>>,
    mi::hashed_unique<
      mi::const_mem_fun<Waiter, std::uint64_t, &Waiter::Request>>>>;
} // namespace detail

struct Queue
{
  /// In the order in which they are to be served.
  detail::Waiters mWaiters;
  std::map<int, Turns> mTurns;
};

/// \brief Queues a request; does nothing if it is queued already.
void Add(Queue& aQueue, Entry aEntry);

/// \brief Removes a request that has been served, which ends its turn; does
/// nothing if it is not in the queue.
void Serve(Queue& aQueue, std::uint64_t aRequest);

/// \brief Removes a request that has not been served and gives its turn back;
/// does nothing if it is not in the queue.
void Remove(Queue& aQueue, std::uint64_t aRequest);

/// \brief Number of requests that would be served before a new one.
[[nodiscard]] std::size_t CountAhead(const Queue& aQueue, const Entry& aEntry);

} // namespace geraniumpond::fair_queue
