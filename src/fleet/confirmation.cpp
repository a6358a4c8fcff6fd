#include "internal.h"

#include <algorithm>
#include <limits>

// The group's confirmation: the position up to which the log was committed when
// a leader with a quorum stated so. It travels from the leader to the voters,
// to their followers and down the tree, together with its age. If a host knew
// only that its upstream answers, the timeouts of all levels would add up. A
// host with an old confirmation queries a control host directly and keeps its
// place in the tree.
namespace geraniumpond::fleet {

namespace {

// Hosts of the own data centre first; the order of the others differs from host
// to host.
std::vector<std::string> ControlHostsInOrder(const State& aState, Micros aNow)
{
  std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> ordered;
  for (const std::string& address : aState.mControlAddresses) {
    if (address == aState.mSettings.mPeerAddress) {
      continue;
    }
    const int place = (IsSuspect(aState, address, aNow) ? 2 : 0) +
                      (IsInOwnDataCentre(aState, address) ? 0 : 1);
    ordered.push_back({ { place, Weight(aState, address) }, address });
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::string> addresses;
  addresses.reserve(ordered.size());
  for (auto& [order, address] : ordered) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

// A learner's catalog comes from the log.
bool CanQuery(const State& aState) noexcept
{
  return aState.mInTouch && !IsControlMember(aState);
}

Micros QueryAge(const State& aState) noexcept
{
  return kQueryAfter +
         static_cast<Micros>(aState.mRoute.size()) * kQueryStagger;
}

void LogQuery(const State& aState, Micros aNow, Output& aOut)
{
  const Micros age =
    aNow - std::max(aState.mConfirmedAt, aState.mUpstreamSince);
  aOut.mLogLines.push_back(
    { 1,
      "event=word_late age_ms=" + std::to_string(age / kMillisecond) +
        " upstream=" + aState.mUpstream + " upstream_silent_ms=" +
        std::to_string((aNow - aState.mUpstreamHeardAt) / kMillisecond) +
        " relays=" + std::to_string(aState.mRoute.size()) });
}

} // namespace

void WriteConfirmation(const State& aState,
                       Micros aNow,
                       wire::FollowReply& aReply)
{
  aReply.set_in_touch(IsInTouch(aState, aNow));
  aReply.set_news_index(LastCommandIndex(aState));
  if (const std::optional<Micros> age = ConfirmationAge(aState, aNow)) {
    aReply.set_word_age_ms(static_cast<std::uint32_t>(*age / kMillisecond));
  }
}

Micros ConfirmedAtOf(const wire::FollowReply& aMessage, Micros aNow)
{
  return aNow - static_cast<Micros>(aMessage.word_age_ms()) * kMillisecond;
}

bool UpdateConfirmation(State& aState,
                        Micros aNow,
                        const std::string& aFrom,
                        const wire::FollowReply& aMessage)
{
  const bool isOutdated =
    aMessage.control_term() < aState.mMembershipVersion.mTerm;
  const bool lacksCommands =
    !IsControlMember(aState) && aMessage.news_index() > aState.mApplied;
  const Micros confirmedAt = ConfirmedAtOf(aMessage, aNow);
  if (!aMessage.in_touch() || isOutdated || lacksCommands ||
      confirmedAt <= aState.mConfirmedAt) {
    return false;
  }
  aState.mConfirmedAt = confirmedAt;
  aState.mConfirmedBy = aFrom;
  if (aNow - confirmedAt < kQueryAfter) {
    aState.mConfirmationAttempts = 0;
    aState.mQueryAt = 0;
  }
  return true;
}

// Control hosts without a newer confirmation are queried only once per report
// interval: the group may have no leader, and then every host queries.
void HandleQueryAnswer(State& aState, Micros aNow)
{
  if (aState.mConfirmationAttempts > 0) {
    aState.mQueryAt = std::max(aState.mQueryAt, aNow + kHostReportInterval);
  }
}

Micros NextQueryTime(const State& aState) noexcept
{
  if (!CanQuery(aState)) {
    return std::numeric_limits<Micros>::max();
  }
  const Micros since =
    aState.mConfirmedAt != 0 ? aState.mConfirmedAt : aState.mUpstreamSince;
  return std::max(since + QueryAge(aState), aState.mQueryAt);
}

void QueryConfirmation(State& aState, Micros aNow, Output& aOut)
{
  if (!CanQuery(aState) || aNow < NextQueryTime(aState)) {
    return;
  }
  const std::vector<std::string> control = ControlHostsInOrder(aState, aNow);
  if (aState.mConfirmationAttempts == 0) {
    LogQuery(aState, aNow, aOut);
  }
  const std::size_t turn = aState.mConfirmationAttempts++;
  aState.mQueryAt =
    aNow +
    std::min(kMaxQueryPause,
             kQueryPause << static_cast<int>(std::min<std::size_t>(turn, 8)));
  if (control.empty()) {
    return;
  }
  ++aState.mCounters.mConfirmationQueries;
  wire::FleetMessage message;
  *message.mutable_follow() = OwnReport(aState, aNow);
  message.mutable_follow()->set_once(true);
  SendTo(aState, control.at(turn % control.size()), std::move(message), aOut);
}

} // namespace geraniumpond::fleet
