#include "gateway_process.h"

#include "edge/logging.h"

#include <algorithm>
#include <chrono>

// What other threads hand to the loop: messages of other hosts and results of
// the disk.
namespace geraniumpond::frontend {

namespace {

/// Peer messages other than consensus messages that are handled in one
/// iteration before clients and consensus are served again.
constexpr std::size_t kMaxPeerMessagesPerIteration = 16;
/// A loop that is this late has no spare processor time.
constexpr Micros kLateThreshold = 20 * kMillisecond;
/// How often a late loop yields to the message thread, and for how long at
/// most. The two are equal, so that the loop keeps half of the time.
constexpr Micros kYieldInterval = 40 * kMillisecond;
constexpr Micros kMaxYield = 40 * kMillisecond;

WorkKind WorkKindOf(const wire::FleetMessage& aMessage)
{
  if (aMessage.has_consensus()) {
    return WorkKind::Consensus;
  }
  if (aMessage.has_follow()) {
    return WorkKind::Reports;
  }
  if (aMessage.has_gossip()) {
    return WorkKind::Facts;
  }
  if (aMessage.has_counts() || aMessage.has_totals() ||
      aMessage.has_part_totals()) {
    return WorkKind::Counts;
  }
  return aMessage.has_follow_reply() ? WorkKind::Replies : WorkKind::Commands;
}

} // namespace

void GatewayProcess::ProcessInbox()
{
  Inbox inbox;
  {
    const std::lock_guard<std::mutex> lock(mInboxMutex);
    std::swap(inbox, mInbox);
  }
  for (const std::string& error : inbox.mDiskErrors) {
    edge::WriteLog(error.empty() ? 1 : 3,
                   error.empty() ? "event=disk_regained"
                                 : "event=disk_lost reason=\"" + error + "\"");
  }
  if (inbox.mSynced > 0) {
    HandleSynced(inbox.mSynced);
  }
  if (inbox.mUnreadable > 0) {
    edge::WriteLog(
      2, "event=message_unreadable count=" + std::to_string(inbox.mUnreadable));
  }
  ProcessPeerMessages();
}

void GatewayProcess::ProcessPeerMessages()
{
  std::vector<wire::FleetMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(mInboxMutex);
    mMessageDelay = mPeerInbox.LongestWait(mNow);
    mLoadMonitor.RecordWait(WaitKind::Inbox, mMessageDelay);
    messages = mPeerInbox.Take(kMaxPeerMessagesPerIteration);
    if (!mPeerInbox.IsEmpty()) {
      mLoop.Wake();
    }
  }
  for (wire::FleetMessage& message : messages) {
    const WorkKind work = WorkKindOf(message);
    Post(gateway::PeerMessage{ std::move(message) });
    mLoadMonitor.RecordWork(work, 1);
  }
}

// On a small host, a loop that is always busy starves the thread that carries
// peer messages; a heartbeat delayed there costs the group its leader. A late
// loop therefore yields to that thread for a bounded share of the time.
void GatewayProcess::YieldToMessageThread(Micros aDueAt)
{
  const Micros lateness = std::max<Micros>(0, mNow - aDueAt);
  const Micros sendDelay = mPeers->TakeLongestQueueTime().count();
  mLoadMonitor.RecordWait(WaitKind::Loop, lateness);
  mLoadMonitor.RecordWait(WaitKind::Outbox, sendDelay);
  const bool busy = std::max(lateness, sendDelay) > kLateThreshold;
  if (busy && mNow >= mYieldedAt + kYieldInterval) {
    (void)mPeers->WaitForIteration(std::chrono::microseconds(kMaxYield));
    mNow = Now();
    mYieldedAt = mNow;
  }
}

} // namespace geraniumpond::frontend
