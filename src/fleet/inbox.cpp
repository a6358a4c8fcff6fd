#include <geraniumpond/fleet_inbox.h>

#include <algorithm>

namespace geraniumpond::fleet {

namespace {

/// Announcements taken in each turn, so that other messages do not keep them
/// out.
constexpr std::size_t kLeastAnnouncements = 1;
/// The same for counts, by which limits are kept.
constexpr std::size_t kLeastCounts = 1;

bool HoldsCounts(const wire::FleetMessage& aMessage)
{
  return aMessage.has_counts() || aMessage.has_totals() ||
         aMessage.has_part_totals();
}

// A report contains everything that the host's previous one did, except for
// reports that concern a change of upstream.
bool IsLaterReport(const wire::Follow& aNext, const wire::Follow& aWaiting)
{
  return aNext.brief() == aWaiting.brief() &&
         aNext.leaves() == aWaiting.leaves() && aNext.known_hosts_size() == 0 &&
         aWaiting.known_hosts_size() == 0 && !aNext.votes() &&
         aNext.followers_size() >= aWaiting.followers_size();
}

// A sender repeats a command that was not answered within its retry time.
bool Supersedes(const wire::FleetMessage& aNext,
                const wire::FleetMessage& aWaiting)
{
  if (aNext.body_case() != aWaiting.body_case() ||
      aNext.from_address() != aWaiting.from_address()) {
    return false;
  }
  if (HoldsCounts(aNext)) {
    return true;
  }
  if (aNext.has_submit()) {
    return aNext.submit().id() == aWaiting.submit().id() ||
           (aNext.submit().whole() && aWaiting.submit().whole());
  }
  return IsLaterReport(aNext.follow(), aWaiting.follow());
}

} // namespace

// Hosts that this one serves already come before those that still look for an
// upstream.
std::deque<Inbox::Queued>& Inbox::QueueOf(const wire::FleetMessage& aMessage)
{
  if (aMessage.has_consensus()) {
    return mConsensus;
  }
  if (aMessage.submit().urgent() || aMessage.has_submit_reply()) {
    return mUrgent;
  }
  if (aMessage.has_submit()) {
    return mAnnouncements;
  }
  if (HoldsCounts(aMessage)) {
    return mCounts;
  }
  return aMessage.follow().brief() ? mBriefReports : mOthers;
}

bool Inbox::Replace(Queued& aNext)
{
  if (!aNext.mMessage.has_follow() && !aNext.mMessage.has_submit() &&
      !HoldsCounts(aNext.mMessage)) {
    return false;
  }
  std::deque<Queued>& queue = QueueOf(aNext.mMessage);
  const auto found =
    std::find_if(queue.begin(), queue.end(), [&](const Queued& aWaiting) {
      return Supersedes(aNext.mMessage, aWaiting.mMessage);
    });
  if (found == queue.end()) {
    return false;
  }
  mBytes += aNext.mBytes;
  mBytes -= found->mBytes;
  ++mReplaced;
  aNext.mArrivedAt = found->mArrivedAt;
  *found = std::move(aNext);
  return true;
}

bool Inbox::Put(std::string_view aBytes, Micros aNow)
{
  Queued next;
  next.mArrivedAt = aNow;
  next.mBytes = aBytes.size();
  if (!next.mMessage.ParseFromArray(aBytes.data(),
                                    static_cast<int>(aBytes.size()))) {
    return false;
  }
  if (Replace(next)) {
    return true;
  }
  // Every protocol between hosts repeats lost messages.
  if (mBytes + next.mBytes > mMaxBytes) {
    ++mDropped;
    return true;
  }
  mBytes += next.mBytes;
  QueueOf(next.mMessage).push_back(std::move(next));
  return true;
}

Micros Inbox::LongestWait(Micros aNow) const noexcept
{
  Micros longest = 0;
  for (const std::deque<Queued>* queue :
       { &mConsensus, &mUrgent, &mOthers, &mBriefReports, &mAnnouncements }) {
    if (!queue->empty()) {
      longest = std::max(longest, aNow - queue->front().mArrivedAt);
    }
  }
  return longest;
}

std::vector<wire::FleetMessage> Inbox::Take(std::size_t aOthers)
{
  std::vector<wire::FleetMessage> taken;
  const auto takeFrom = [&](std::deque<Queued>& aQueue, std::size_t aMax) {
    const std::size_t count = std::min(aMax, aQueue.size());
    for (std::size_t i = 0; i < count; ++i) {
      mBytes -= aQueue.front().mBytes;
      taken.push_back(std::move(aQueue.front().mMessage));
      aQueue.pop_front();
    }
    return aMax - count;
  };
  (void)takeFrom(mConsensus, mConsensus.size());
  (void)takeFrom(mUrgent, aOthers);
  const std::size_t left = takeFrom(mBriefReports, takeFrom(mOthers, aOthers));
  const std::size_t unused =
    takeFrom(mAnnouncements, std::max(left, kLeastAnnouncements));
  (void)takeFrom(mCounts, std::max(std::min(left, unused), kLeastCounts));
  return taken;
}

} // namespace geraniumpond::fleet
