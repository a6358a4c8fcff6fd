#include "internal.h"

#include <algorithm>
#include <limits>

// Announcements of targets at the host that was asked. Targets repeat them, so
// what waits here must not make work elsewhere: a host that is out of touch
// keeps them until it knows what the group has committed, and a host has one
// unanswered message with announcements, which holds all of them.
namespace geraniumpond::fleet {

namespace {

/// A message without an answer counts as lost after this time: a round trip
/// between regions and a commit on a slow disk. It doubles once, so that a busy
/// leader is asked less often, but each announcement is sent in its time.
constexpr Micros kRetryPause = 250 * kMillisecond;
constexpr Micros kMaxRetryPause = 500 * kMillisecond;
/// Replaced leaders may name each other for a moment.
constexpr int kMaxRedirects = 3;

using Entry = std::map<std::uint64_t, PendingAnnouncement>::iterator;

Entry Complete(State& aState,
               Micros aNow,
               Entry aEntry,
               const wire::CatalogOutcome& aOutcome,
               Output& aOut)
{
  Completion done;
  done.mId = aEntry->first;
  done.mEnd = SubmitResult::Committed;
  done.mOutcome = aOutcome;
  done.mRead.mElapsed = aNow - aEntry->second.mStartedAt;
  aOut.mDone.push_back(std::move(done));
  return aState.mAnnouncements.erase(aEntry);
}

Entry GiveUp(State& aState, Micros aNow, Entry aEntry, Output& aOut)
{
  Completion done;
  done.mId = aEntry->first;
  done.mReason = std::string("no commit in time, ") +
                 (HasConfirmedCatalog(aState, aNow) ? "" : "out of touch, ") +
                 "leader=" + aState.mLeaderAddress;
  done.mRead.mElapsed = aNow - aEntry->second.mStartedAt;
  aOut.mDone.push_back(std::move(done));
  return aState.mAnnouncements.erase(aEntry);
}

// What the catalog holds by now needs no message.
void EndKnownAndLate(State& aState, Micros aNow, Output& aOut)
{
  const bool isCurrent = HasConfirmedCatalog(aState, aNow);
  auto& waiting = aState.mAnnouncements;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (isCurrent &&
        !catalog::ChangesState(aState.mCatalog, it->second.mRecord)) {
      it = Complete(aState, aNow, it, KnownOutcome(aState), aOut);
    } else if (aNow >= it->second.mGiveUpAt) {
      it = GiveUp(aState, aNow, it, aOut);
    } else {
      ++it;
    }
  }
}

void SendAllTo(State& aState, Micros aNow, const std::string& aTo, Output& aOut)
{
  aState.mAnnouncementsMessage.mSentTo = aTo;
  wire::FleetMessage message;
  wire::Submit& submit = *message.mutable_submit();
  submit.set_whole(true);
  for (const auto& [id, announcement] : aState.mAnnouncements) {
    wire::Submit& one = submit.id() == 0 ? submit : *submit.add_more();
    one.set_id(id);
    one.set_command(announcement.mCommand);
  }
  aState.mAnnouncementsMessage.mId = submit.id();
  if (aTo == aState.mSettings.mPeerAddress) {
    HandleSubmit(aState, aNow, aTo, submit, aOut);
  } else if (!aTo.empty()) {
    SendTo(aState, aTo, std::move(message), aOut);
  }
}

// A leader that is busy is not relieved by questions to others, so these are
// asked only if none is known.
std::string Destination(State& aState)
{
  const auto& control = aState.mControlAddresses;
  return aState.mLeaderAddress.empty() && !control.empty()
           ? control[++aState.mControlCursor % control.size()]
           : aState.mLeaderAddress;
}

void SendAll(State& aState, Micros aNow, Output& aOut)
{
  AnnouncementsMessage& message = aState.mAnnouncementsMessage;
  message.mRetryPause = message.mId == 0
                          ? kRetryPause
                          : std::min(2 * message.mRetryPause, kMaxRetryPause);
  message.mRetryAt = aNow + message.mRetryPause;
  message.mRedirects = 0;
  SendAllTo(aState, aNow, Destination(aState), aOut);
}

// A message that went to another host than the leader known by now.
bool IsMisdirected(const State& aState)
{
  const AnnouncementsMessage& message = aState.mAnnouncementsMessage;
  return message.mId != 0 && !aState.mLeaderAddress.empty() &&
         aState.mLeaderAddress != message.mSentTo &&
         message.mRedirects < kMaxRedirects;
}

void FollowRedirect(State& aState,
                    Micros aNow,
                    const std::string& aLeader,
                    Output& aOut)
{
  AnnouncementsMessage& message = aState.mAnnouncementsMessage;
  if (aLeader.empty() || aLeader == message.mSentTo ||
      IsControlMember(aState) || aState.mAnnouncements.empty()) {
    return;
  }
  aState.mLeaderAddress = aLeader;
  if (++message.mRedirects <= kMaxRedirects) {
    SendAllTo(aState, aNow, aLeader, aOut);
  }
}

} // namespace

std::uint64_t Announce(State& aState,
                       Micros aNow,
                       const wire::CatalogCommand& aCommand,
                       Micros aTimeout,
                       Output& aOut)
{
  const std::uint64_t id = ++aState.mLastSubmitId;
  PendingAnnouncement& announcement = aState.mAnnouncements[id];
  announcement.mCommand = aCommand.SerializeAsString();
  announcement.mRecord = aCommand.put_target();
  announcement.mStartedAt = aNow;
  announcement.mGiveUpAt = aNow + aTimeout;
  SendAnnouncements(aState, aNow, aOut);
  return id;
}

void SendAnnouncements(State& aState, Micros aNow, Output& aOut)
{
  if (aState.mAnnouncements.empty()) {
    return;
  }
  EndKnownAndLate(aState, aNow, aOut);
  AnnouncementsMessage& message = aState.mAnnouncementsMessage;
  // Nothing is sent again before this host is in touch, and then at once.
  if (aState.mAnnouncements.empty() || !HasConfirmedCatalog(aState, aNow)) {
    message.mId = 0;
  } else if (message.mId == 0 || aNow >= message.mRetryAt) {
    SendAll(aState, aNow, aOut);
  } else if (IsMisdirected(aState)) {
    ++message.mRedirects;
    SendAllTo(aState, aNow, aState.mLeaderAddress, aOut);
  }
}

// A leader of an earlier version commits the first announcement alone; the
// others go with the next message.
void HandleAnnouncementsReply(State& aState,
                              Micros aNow,
                              const wire::SubmitReply& aReply,
                              Output& aOut)
{
  const bool isLast = aReply.id() == aState.mAnnouncementsMessage.mId;
  if (aReply.status() != wire::SUBMIT_COMMITTED) {
    if (isLast) {
      FollowRedirect(aState, aNow, aReply.leader_address(), aOut);
    }
    return;
  }
  const auto complete = [&](std::uint64_t aId) {
    const Entry found = aState.mAnnouncements.find(aId);
    if (found != aState.mAnnouncements.end()) {
      (void)Complete(aState, aNow, found, aReply.outcome(), aOut);
    }
  };
  complete(aReply.id());
  for (const std::uint64_t id : aReply.more_ids()) {
    complete(id);
  }
  if (isLast) {
    aState.mAnnouncementsMessage.mId = 0;
    SendAnnouncements(aState, aNow, aOut);
  }
}

Micros NextAnnouncementTime(const State& aState) noexcept
{
  Micros next = std::numeric_limits<Micros>::max();
  for (const auto& [id, announcement] : aState.mAnnouncements) {
    next = std::min(next, announcement.mGiveUpAt);
  }
  if (!aState.mAnnouncements.empty() && aState.mAnnouncementsMessage.mId != 0) {
    next = std::min(next, aState.mAnnouncementsMessage.mRetryAt);
  }
  return next;
}

} // namespace geraniumpond::fleet
