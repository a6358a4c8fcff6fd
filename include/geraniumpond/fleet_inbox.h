#pragma once

#include <geraniumpond/fleet.h>
#include <geraniumpond/time.h>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumpond::fleet {

/// \brief Bounded queue of received messages, ordered by priority.
///
/// Consensus messages come first, in the order of arrival, then urgent commands
/// and submit replies; brief reports, which only look for a host in touch, come
/// after others, announcements and counts last, a few of them in each turn. A
/// host's next counts replace the queued ones. Of the remaining ones, a host's
/// next report and a command that is sent again replace the queued message.
class Inbox
{
public:
  /// \brief Maximum bytes of queued messages: room for a few snapshots.
  static constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;

  explicit Inbox(std::size_t aMaxBytes = kMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// \brief Queues a message; returns false if it cannot be parsed.
  [[nodiscard]] bool Put(std::string_view aBytes, Micros aNow = 0);

  /// \brief Takes all consensus messages, up to `aOthers` urgent ones and as
  /// many others; of announcements and counts at least one each.
  [[nodiscard]] std::vector<wire::FleetMessage> Take(std::size_t aOthers);

  /// \brief Longest time that a queued message has waited, brief reports and
  /// counts excluded.
  [[nodiscard]] Micros LongestWait(Micros aNow) const noexcept;

  [[nodiscard]] bool IsEmpty() const noexcept { return Waiting() == 0; }
  [[nodiscard]] std::size_t Waiting() const noexcept
  {
    return mConsensus.size() + mUrgent.size() + mOthers.size() +
           mBriefReports.size() + mAnnouncements.size() + mCounts.size();
  }
  /// \brief Messages dropped since the start because the inbox was full.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return mDropped; }
  /// \brief Queued messages replaced by a later one of the same host.
  [[nodiscard]] std::uint64_t Replaced() const noexcept { return mReplaced; }

private:
  struct Queued
  {
    wire::FleetMessage mMessage;
    std::size_t mBytes = 0;
    Micros mArrivedAt = 0;
  };

  [[nodiscard]] std::deque<Queued>& QueueOf(const wire::FleetMessage& aMessage);
  [[nodiscard]] bool Replace(Queued& aNext);

  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mReplaced = 0;
  std::deque<Queued> mConsensus;
  std::deque<Queued> mUrgent;
  std::deque<Queued> mOthers;
  std::deque<Queued> mBriefReports;
  std::deque<Queued> mAnnouncements;
  std::deque<Queued> mCounts;
};

} // namespace geraniumpond::fleet
