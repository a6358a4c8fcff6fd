#pragma once

#include "timing.h"

#include <geraniumpond/fleet.h>

/// \brief Functions shared by the fleet's source files.
namespace geraniumpond::fleet {

/// \brief A host that was not heard for six reports is considered gone.
constexpr Micros kHostLease = 6 * kHostReportInterval;
/// \brief Time in which a host whose control host fell silent finds another one
/// and is reported by it: a timeout, a report, and a report about that host.
constexpr Micros kFailoverTime = kUpstreamTimeout + 2 * kHostReportInterval;

// --- group.cpp: the control group

/// \brief Carries out what consensus requested, and applies committed entries.
void Perform(State& aState, Micros aNow, consensus::Output aRaft, Output& aOut);
void TickGroup(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);
void HandleConsensus(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);
[[nodiscard]] std::string LeaderAddress(const State& aState);
void ApplyCommand(State& aState, const std::string& aCommand, Output& aOut);

// --- members.cpp: membership of the control group

/// \brief At the leader: promotes learners that have caught up and demotes
/// voters that have left. At other members: asks to join.
void MaintainMembers(State& aState, Micros aNow, Output& aOut);
void HandleJoin(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Member& aJoiner,
                Output& aOut);
/// \brief At a leader that stops: transfers leadership to a voter that stays.
void TransferLeadership(State& aState, Micros aNow, Output& aOut);

// --- group_health.cpp: health of the control group

/// \brief Logs the state that this member recovered from its disk.
void LogOpened(const State& aState, Output& aOut);
/// \brief Logs that the group tolerates fewer losses than configured or has no
/// leader, and for how long.
void LogGroupHealth(State& aState, Micros aNow, Output& aOut);

// --- submit.cpp: commands to the leader and their replies
void HandleSubmit(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Submit& aMessage,
                  Output& aOut);
void HandleSubmitReply(State& aState,
                       Micros aNow,
                       const wire::SubmitReply& aMessage,
                       Output& aOut);
void ReplySubmit(State& aState,
                 Micros aNow,
                 const std::string& aTo,
                 const wire::SubmitReply& aReply,
                 Output& aOut);
void RetryPending(State& aState, Micros aNow, Output& aOut);
[[nodiscard]] Micros NextPendingTime(const State& aState) noexcept;
/// \brief Outcome of an announcement that changes nothing.
[[nodiscard]] wire::CatalogOutcome KnownOutcome(const State& aState);

// --- announcements.cpp: announcements of targets at the host that was asked
[[nodiscard]] std::uint64_t Announce(State& aState,
                                     Micros aNow,
                                     const wire::CatalogCommand& aCommand,
                                     Micros aTimeout,
                                     Output& aOut);
/// \brief Ends announcements that are known or late, and sends the others if
/// this host is in touch and no message with announcements is unanswered.
void SendAnnouncements(State& aState, Micros aNow, Output& aOut);
/// \brief Ends the announcements that the leader has committed.
void HandleAnnouncementsReply(State& aState,
                              Micros aNow,
                              const wire::SubmitReply& aReply,
                              Output& aOut);
[[nodiscard]] Micros NextAnnouncementTime(const State& aState) noexcept;

// --- reads.cpp: policy reads, at the leader
void HandleRead(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Submit& aMessage,
                Output& aOut);
/// \brief Answers the reads that a quorum has confirmed; refuses all of them if
/// this host no longer leads.
void AnswerReads(State& aState, Micros aNow, Output& aOut);

// --- preferred_upstream.cpp: which host to follow

/// \brief Marks an upstream that fell silent; it is avoided for a while.
void MarkSuspect(State& aState, const std::string& aAddress, Micros aNow);
[[nodiscard]] bool IsSuspect(const State& aState,
                             const std::string& aAddress,
                             Micros aNow);
/// \brief Weight of an address in this host's rendezvous hashing.
[[nodiscard]] std::uint64_t Weight(const State& aState,
                                   const std::string& aAddress);
/// \brief The candidate with the highest weight; empty if there are none.
[[nodiscard]] std::string Heaviest(const State& aState,
                                   const std::vector<std::string>& aCandidates);
[[nodiscard]] std::string PreferredControl(const State& aState, Micros aNow);
[[nodiscard]] std::string PreferredUpstream(const State& aState, Micros aNow);

// --- upstream.cpp: the upstream of a host that does not vote
/// \brief Reports to the upstream. Looks for another one if it is silent or a
/// better one exists, and searches for one if there is none.
void MaintainUpstream(State& aState, Micros aNow, Output& aOut);
void HandleReportReply(State& aState,
                       Micros aNow,
                       const std::string& aFrom,
                       const wire::FollowReply& aMessage,
                       Output& aOut);
/// \brief Accepts a pending offer if the preferred host has not answered in
/// time.
void AcceptWaitingOffer(State& aState, Micros aNow, Output& aOut);
/// \brief While out of touch: asks the next host whether it is in touch, when
/// that is due.
void DiscoverUpstream(State& aState, Micros aNow, Output& aOut);
[[nodiscard]] Micros NextUpstreamTime(const State& aState) noexcept;
void SetUpstream(State& aState, const std::string& aAddress, Micros aNow);
void SetInTouch(State& aState, bool aInTouch, Output& aOut);
/// \brief What this host reports about itself.
[[nodiscard]] wire::Follow OwnReport(const State& aState, Micros aNow);

// --- confirmation.cpp: age of the group's last confirmation
/// \brief Writes the last command index and the age of the confirmation into a
/// reply.
void WriteConfirmation(const State& aState,
                       Micros aNow,
                       wire::FollowReply& aReply);
/// \brief Adopts the confirmation of a reply whose commands were applied;
/// returns true if it is newer than the known one.
[[nodiscard]] bool UpdateConfirmation(State& aState,
                                      Micros aNow,
                                      const std::string& aFrom,
                                      const wire::FollowReply& aMessage);
/// \brief Time of the confirmation in a reply.
[[nodiscard]] Micros ConfirmedAtOf(const wire::FollowReply& aMessage,
                                   Micros aNow);
/// \brief Asks the next control host for a confirmation if the own one is old.
void QueryConfirmation(State& aState, Micros aNow, Output& aOut);
/// \brief Records that a control host answered such a query.
void HandleQueryAnswer(State& aState, Micros aNow);
[[nodiscard]] Micros NextQueryTime(const State& aState) noexcept;

// --- followers.cpp: hosts that follow this one
void SendReports(State& aState, Micros aNow, Output& aOut);
void HandleReport(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Follow& aMessage,
                  Output& aOut);
/// \brief At a relay: adds its downstream hosts to its report.
void AddDownstreamHosts(State& aState, Micros aNow, wire::Follow& aFollow);

// --- reply_commands.cpp: catalog updates received in replies
/// \brief Applies the snapshot, the policy and the commands of a reply.
void ApplyReplyCommands(State& aState,
                        const std::string& aFrom,
                        const wire::FollowReply& aMessage,
                        Output& aOut);

// --- replies.cpp: what followers are sent
/// \brief Index of the last command that followers need.
[[nodiscard]] std::uint64_t LastCommandIndex(const State& aState);
/// \brief True if a follower lacks something that is not left to its next
/// report.
[[nodiscard]] bool NeedsPush(const State& aState, const Follower& aFollower);
/// \brief Policy version held by the sender of a report.
[[nodiscard]] std::uint64_t PolicyVersionOf(const wire::Follow& aMessage);
/// \brief Adds the commands that a follower lacks to a reply, or a snapshot or
/// the policy instead.
void FillCommands(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply);
/// \brief The same for a host that is not a follower; never adds a snapshot.
void FillWithoutSnapshot(State& aState,
                         Micros aNow,
                         const wire::Follow& aMessage,
                         wire::FollowReply& aReply);
/// \brief Sends a follower what it lacks.
void SendReply(State& aState,
               Micros aNow,
               const std::string& aTo,
               Follower& aFollower,
               Output& aOut);
/// \brief Answers a confirmation query of a host that does not follow this one.
void AnswerQuery(State& aState,
                 Micros aNow,
                 const std::string& aFrom,
                 const wire::Follow& aMessage,
                 Output& aOut);
/// \brief At a relay: forwards a newer confirmation to followers, about once
/// per report interval.
void ForwardConfirmation(State& aState, Micros aNow, Output& aOut);
/// \brief Sends followers the commands and urgent changes of hosts that they
/// lack.
void PushToFollowers(State& aState, Micros aNow, Output& aOut);
/// \brief The same, if any follower lacks something.
void PushIfNeeded(State& aState, Micros aNow, Output& aOut);
/// \brief Keeps a committed command for followers.
void RecordCommand(State& aState,
                   std::uint64_t aIndex,
                   const std::string& aCommand);

// --- control_addresses.cpp: how hosts learn where the control group is

/// \brief True for the address of a known voter of the control group.
[[nodiscard]] bool IsControlAddress(const State& aState,
                                    const std::string& aAddress);
/// \brief Addresses at which the group may be found.
[[nodiscard]] std::set<std::string> ControlAndSeeds(const State& aState);
/// \brief True for a member of the group that is not a learner.
[[nodiscard]] bool HasVote(const State& aState) noexcept;
/// \brief Adds the group's addresses and their version to a reply.
void WriteControlAddresses(const State& aState,
                           Micros aNow,
                           wire::FollowReply& aReply);
/// \brief Adopts the group's addresses unless newer ones are known; returns
/// true if they changed.
[[nodiscard]] bool MergeControlAddresses(State& aState,
                                         const wire::FollowReply& aReply);
/// \brief Tells a host whether this one is in touch, and the group's addresses.
void ReplyBriefly(State& aState,
                  Micros aNow,
                  const std::string& aTo,
                  Output& aOut);
/// \brief At a host that cannot be followed: tells an asking host the group's
/// addresses.
void ReferToControl(State& aState,
                    Micros aNow,
                    const std::string& aFrom,
                    Output& aOut);
/// \brief At a voter in touch: announces the group to seeds and to silent
/// hosts, a bounded number at a time.
void AnnounceGroup(State& aState, Micros aNow, Output& aOut);
/// \brief Answers hosts that asked while this one was out of touch, once it is
/// in touch again: their next report may be an interval away.
void AnswerDeferredAskers(State& aState, Micros aNow, Output& aOut);

// --- hosts.cpp: the list of hosts
/// \brief True if two descriptions of a host differ in nothing but their time.
[[nodiscard]] bool SameState(const Host& aLeft, const Host& aRight);
[[nodiscard]] wire::FleetHost ToWire(const Host& aHost, Micros aNow);
[[nodiscard]] Host FromWire(const wire::FleetHost& aHost, Micros aNow);
void MergeHost(State& aState, Host aHost);
/// \brief Digests of the hosts known to this one, by data centre.
[[nodiscard]] HostDigests Digests(const State& aState,
                                  const std::string& aExcept);
/// \brief Digest of all hosts known to this one.
[[nodiscard]] std::uint64_t DigestOfAll(State& aState,
                                        const std::string& aExcept);
/// \brief At a control host: adds its direct and indirect followers to its
/// report to other control hosts; changes at once, and all of them less often.
void AddFollowersToReport(State& aState, Micros aNow, wire::Follow& aFollow);
/// \brief Adds the changes that a follower has not received to a reply.
void FillHosts(const State& aState,
               Micros aNow,
               Follower& aFollower,
               wire::FollowReply& aReply);
/// \brief Applies the changes that the upstream sent.
void ApplyHostChanges(State& aState,
                      Micros aNow,
                      const wire::FollowReply& aMessage,
                      Output& aOut);
/// \brief Silence after which a control host considers a host gone.
[[nodiscard]] Micros LeaseOf(const State& aState,
                             const Host& aHost,
                             Micros aNow);
/// \brief Drops hosts that have been gone for long.
void ForgetGoneHosts(State& aState, Micros aNow);
/// \brief At a control host: marks expired hosts as gone. Scans all hosts, so
/// it runs once per report interval and not for each report.
void ExpireHosts(State& aState, Micros aNow, Output& aOut);
/// \brief At a control host: publishes changes of hosts, and pushes urgent ones
/// to followers.
void PublishHostChanges(State& aState, Micros aNow, Output& aOut);

// --- neighbours.cpp: hosts with which facts are exchanged
void HandleGossip(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Gossip& aMessage,
                  Output& aOut);
/// \brief Recomputes the neighbours.
void UpdateNeighbours(State& aState);
/// \brief Sends neighbours the facts that they lack.
void GossipToNeighbours(State& aState, Micros aNow, Output& aOut);

// --- counts.cpp: counts summed over all hosts
/// \brief Reports counts to the upstream or the leader, or tells totals, when
/// that is due.
void TellCounts(State& aState, Micros aNow, Output& aOut);
void HandleCounts(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::CountsReport& aMessage);
void HandleTotals(State& aState,
                  Micros aNow,
                  const wire::CountsTotals& aMessage,
                  Output& aOut);
void HandlePartTotals(State& aState,
                      Micros aNow,
                      const std::string& aFrom,
                      const wire::CountsTotals& aMessage,
                      Output& aOut);

// --- counts_messages.cpp: counts as messages
[[nodiscard]] wire::CountsReport ToWire(const rollup::Report& aReport);
[[nodiscard]] std::optional<rollup::Report> FromWire(
  const wire::CountsReport& aMessage);
/// \brief Without the age and the time of writing.
[[nodiscard]] wire::CountsTotals ToWire(const rollup::Totals& aTotals);
[[nodiscard]] std::optional<rollup::Totals> FromWire(
  const wire::CountsTotals& aMessage);

// --- fleet.cpp
void SendTo(State& aState,
            const std::string& aAddress,
            wire::FleetMessage aMessage,
            Output& aOut);
[[nodiscard]] bool IsControlMember(const State& aState) noexcept;

} // namespace geraniumpond::fleet
