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

/// \brief Messages of other hosts that wait for the reducer, in order of
/// precedence and bounded.
///
/// Messages of consensus come first, in the order in which they came; then
/// urgent commands and the ends of commands; hosts that only ask who is in
/// touch come last. Of the others a host's next report, and a command that was
/// sent again, take the place of the one that still waits.
class Inbox
{
public:
  /// \brief Most bytes of messages that wait: a few snapshots.
  static constexpr std::size_t kMaxBytes = 16 * 1024 * 1024;

  explicit Inbox(std::size_t aMaxBytes = kMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  /// \brief Queues a message; false when it cannot be read.
  [[nodiscard]] bool Put(std::string_view aBytes, Micros aNow = 0);

  /// \brief Takes all messages of consensus, up to `aOthers` urgent ones and as
  /// many others.
  [[nodiscard]] std::vector<wire::FleetMessage> Take(std::size_t aOthers);

  /// \brief How long the messages of consensus, and the others but questions,
  /// have waited at most.
  [[nodiscard]] Micros LongestWait(Micros aNow) const noexcept;

  [[nodiscard]] bool IsEmpty() const noexcept { return Waiting() == 0; }
  [[nodiscard]] std::size_t Waiting() const noexcept
  {
    return mConsensus.size() + mUrgent.size() + mOthers.size() +
           mBriefReports.size();
  }
  /// \brief Messages that found no room since the start.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return mDropped; }
  /// \brief Messages whose place a later one of the same host took.
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
};

} // namespace geraniumpond::fleet
