#include "internal.h"

#include <algorithm>
#include <utility>

// How hosts learn where the control group is. A host asks its seeds and the
// control hosts that it knows. A control host answers; any other host refers
// the asker to the control hosts that it knows, at once or as soon as it has
// found them. If all seeds of a host know as little as it does, nothing could
// refer it, so control hosts announce themselves to their own seeds and to
// silent hosts. The addresses are versioned by the group's log position.
namespace geraniumpond::fleet {

namespace {

/// Fraction of its lease after which a silent host may have restarted without
/// state; relays and control hosts report it at least twice within a lease.
constexpr double kRestartedLeaseFraction = 0.75;
/// Silent hosts that a control host contacts with each of its reports, in turn;
/// all control hosts together reach those of a data centre within seconds.
constexpr std::size_t kSilentHostsPerReport = 4;
/// A host that has been silent for longer finds the group through its seeds
/// alone.
constexpr Micros kSilentContactTime = 30 * kSecond;

// The host may be alive without knowing where the group is. This includes
// voters: one that restarted without its disk knows only its seeds.
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

// Asking hosts prefer a control host of their own data centre, so silent ones
// are not offered.
std::string DataCentreIfAlive(const State& aState,
                              const std::string& aAddress,
                              Micros aNow)
{
  const auto found = aState.mHosts.find(aAddress);
  const bool heard = found != aState.mHosts.end() && !found->second.mGone &&
                     aNow - found->second.mHeardAt < 2 * kHostReportInterval;
  return heard ? found->second.mDataCentre : "";
}

// Includes stopped hosts: most are started again, and their seeds may be gone
// meanwhile.
std::vector<std::string> SilentHosts(const State& aState, Micros aNow)
{
  std::vector<std::string> silent;
  for (const auto& [address, host] : aState.mHosts) {
    const bool isRecent = aNow - host.mHeardAt < kSilentContactTime;
    if (isRecent && MayLackAddresses(aState, address, aNow)) {
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
  std::vector<std::string> addresses(aReply.control_addresses().begin(),
                                     aReply.control_addresses().end());
  const bool changed = addresses != aState.mControlAddresses;
  aState.mControlAddresses = std::move(addresses);
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
  // A learner cannot be followed; it names the voters.
  const bool isLearner = IsControlMember(aState) && !HasVote(aState);
  const auto& route = aState.mRoute;
  const bool isUpstream = std::count(route.begin(), route.end(), aTo) != 0;
  reply.set_in_touch(!isLearner && !isUpstream && IsInTouch(aState, aNow));
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
