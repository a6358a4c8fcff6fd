#include "internal.h"

#include <algorithm>
#include <utility>

// Who tells whom where the control group is. A host asks its seeds and the
// control hosts that it knows of. A control host answers; any other host refers
// the asker to the control hosts that it knows of, at once or as soon as it has
// found them. Where all seeds of a host know as little as it does, nobody could
// refer it: control hosts make themselves known at their own seeds and at hosts
// that fell silent. What is passed on is dated by the group's log.
namespace geraniumpond::fleet {

namespace {

/// Part of its lease after which a silent host may have restarted with nothing:
/// relays and control hosts tell of it at least twice within a lease.
constexpr double kRestartedLeaseFraction = 0.75;
/// Silent hosts that one control host tries with each of its reports, in turn;
/// all control hosts together try those of a data centre within seconds.
constexpr std::size_t kSilentHostsPerReport = 4;
/// A host that has been silent for longer comes back by its seeds alone.
constexpr Micros kSilentContactTime = 30 * kSecond;

// The host may be there and not know where the group is. That goes for voters
// as well: one that is back without its disk knows its seeds alone.
bool MayLackAddresses(const State& aState,
                      const std::string& aAddress,
                      Micros aNow)
{
  if (aAddress == aState.mSettings.mPeerAddress) {
    return false;
  }
  const auto found = aState.mHosts.find(aAddress);
  if (found == aState.mHosts.end() || found->second.mGone) {
    return true;
  }
  const auto lease = static_cast<double>(LeaseOf(aState, found->second, aNow));
  return static_cast<double>(aNow - found->second.mHeardAt) >
         kRestartedLeaseFraction * lease;
}

// Askers prefer a control host of their own data centre: one that is silent is
// not worth their waiting.
std::string DataCentreIfAlive(const State& aState,
                              const std::string& aAddress,
                              Micros aNow)
{
  const auto found = aState.mHosts.find(aAddress);
  const bool heard = found != aState.mHosts.end() && !found->second.mGone &&
                     aNow - found->second.mHeardAt < 2 * kHostReportInterval;
  return heard ? found->second.mDataCentre : "";
}

// Those that stopped are among them: most are started again, and their seeds
// may have gone meanwhile.
std::vector<std::string> SilentHosts(const State& aState, Micros aNow)
{
  std::vector<std::string> silent;
  for (const auto& [address, host] : aState.mHosts) {
    const bool lately = aNow - host.mHeardAt < kSilentContactTime;
    if (lately && MayLackAddresses(aState, address, aNow)) {
      silent.push_back(address);
    }
  }
  return silent;
}

} // namespace

bool IsControlAddress(const State& aState, const std::string& aAddress)
{
  const auto& control = aState.mControlAddresses;
  return std::count(control.begin(), control.end(), aAddress) != 0;
}

std::set<std::string> ControlAndSeeds(const State& aState)
{
  std::set<std::string> addresses(aState.mControlAddresses.begin(),
                                  aState.mControlAddresses.end());
  addresses.insert(aState.mSettings.mSeeds.begin(),
                   aState.mSettings.mSeeds.end());
  return addresses;
}

bool HasVote(const State& aState) noexcept
{
  return IsControlMember(aState) &&
         aState.mGroup.mRole != consensus::Role::Learner;
}

void WriteControlAddresses(const State& aState,
                           Micros aNow,
                           wire::FollowReply& aReply)
{
  aReply.set_leader_address(aState.mLeaderAddress);
  aReply.set_control_term(aState.mMembershipVersion.mTerm);
  aReply.set_control_index(aState.mMembershipVersion.mIndex);
  for (const std::string& address : aState.mControlAddresses) {
    aReply.add_control_addresses(address);
    aReply.add_control_data_centres(DataCentreIfAlive(aState, address, aNow));
  }
}

bool MergeControlAddresses(State& aState, const wire::FollowReply& aReply)
{
  const MembershipVersion date{ aReply.control_term(), aReply.control_index() };
  if (!(aState.mMembershipVersion < date) ||
      aReply.control_addresses_size() == 0) {
    return false;
  }
  aState.mMembershipVersion = date;
  std::vector<std::string> told(aReply.control_addresses().begin(),
                                aReply.control_addresses().end());
  const bool changed = told != aState.mControlAddresses;
  aState.mControlAddresses = std::move(told);
  return changed;
}

void ReplyBriefly(State& aState,
                  Micros aNow,
                  const std::string& aTo,
                  Output& aOut)
{
  wire::FleetMessage message;
  wire::FollowReply& reply = *message.mutable_follow_reply();
  reply.set_brief(true);
  reply.set_data_centre(aState.mSettings.mDataCentre);
  // A host that waits for its vote cannot be followed; it names the voters.
  const bool learns = IsControlMember(aState) && !HasVote(aState);
  const auto& route = aState.mRoute;
  const bool above = std::count(route.begin(), route.end(), aTo) != 0;
  reply.set_in_touch(!learns && !above && IsInTouch(aState, aNow));
  WriteControlAddresses(aState, aNow, reply);
  SendTo(aState, aTo, std::move(message), aOut);
}

void ReferToControl(State& aState,
                    Micros aNow,
                    const std::string& aFrom,
                    Output& aOut)
{
  if (!IsInTouch(aState, aNow)) {
    aState.mDeferredAskers.insert(aFrom);
  }
  if (aState.mMembershipVersion.mTerm > 0) {
    ReplyBriefly(aState, aNow, aFrom, aOut);
  }
}

void AnnounceGroup(State& aState, Micros aNow, Output& aOut)
{
  if (!HasVote(aState) || !IsInTouch(aState, aNow)) {
    return;
  }
  for (const std::string& seed : aState.mSettings.mSeeds) {
    if (MayLackAddresses(aState, seed, aNow)) {
      ReplyBriefly(aState, aNow, seed, aOut);
    }
  }
  const std::vector<std::string> silent = SilentHosts(aState, aNow);
  for (std::size_t i = 0; i < std::min(kSilentHostsPerReport, silent.size());
       ++i) {
    ReplyBriefly(
      aState, aNow, silent[++aState.mSilentHostCursor % silent.size()], aOut);
  }
}

void AnswerDeferredAskers(State& aState, Micros aNow, Output& aOut)
{
  const bool inTouch = IsInTouch(aState, aNow);
  const bool regained = inTouch && !aState.mWasInTouch;
  aState.mWasInTouch = inTouch;
  if (!inTouch) {
    return;
  }
  const std::set<std::string> asked = std::exchange(aState.mDeferredAskers, {});
  for (const std::string& address : asked) {
    ReplyBriefly(aState, aNow, address, aOut);
  }
  if (regained) {
    AnnounceGroup(aState, aNow, aOut);
  }
}

} // namespace geraniumpond::fleet
