#pragma once

#include "timing.h"

#include <geraniumpond/fleet.h>

/// \brief Steps that the fleet's sources share.
namespace geraniumpond::fleet {

/// \brief A host not heard for six reports is taken for gone.
constexpr Micros kHostLease = 6 * kHostReportInterval;
/// \brief Time in which a host whose control host fell silent has found another
/// one and the others know: its patience, a report, and a report on it.
constexpr Micros kFailoverTime = kUpstreamTimeout + 2 * kHostReportInterval;

// --- group.cpp: the control group

/// \brief Performs what consensus asked for, and applies what it committed.
void Perform(State& aState, Micros aNow, consensus::Output aRaft, Output& aOut);
void TickGroup(State& aState, Micros aNow, std::uint64_t aRandom, Output& aOut);
void HandleConsensus(State& aState,
                     Micros aNow,
                     std::uint64_t aRandom,
                     const wire::ConsensusMessage& aMessage,
                     Output& aOut);
[[nodiscard]] std::string LeaderAddress(const State& aState);
void ApplyCommand(State& aState, const std::string& aCommand, Output& aOut);

// --- members.cpp: who belongs to the control group

/// \brief At the leader: takes in who has caught up and out who has left; at
/// others: asks to be taken in.
void MaintainMembers(State& aState, Micros aNow, Output& aOut);
void HandleJoin(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Member& aJoiner,
                Output& aOut);
/// \brief At a leader that stops: hands the lead to a voter that stays.
void TransferLeadership(State& aState, Micros aNow, Output& aOut);

// --- group_health.cpp: what of the control group is there

/// \brief Logs what this member's disk held at its start.
void LogOpened(const State& aState, Output& aOut);
/// \brief Logs that the group tolerates less than the settings say, or has no
/// leader, and for how long.
void LogGroupHealth(State& aState, Micros aNow, Output& aOut);

// --- submit.cpp: commands to the leader and back
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

// --- reads.cpp: reads of the policy, at the leader
void HandleRead(State& aState,
                Micros aNow,
                const std::string& aFrom,
                const wire::Submit& aMessage,
                Output& aOut);
/// \brief Answers the reads that a quorum has confirmed; refuses all where this
/// host leads no more.
void AnswerReads(State& aState, Micros aNow, Output& aOut);

// --- places.cpp: which host would be best to follow

/// \brief Notes that an upstream fell silent; it is not tried for a while.
void MarkSuspect(State& aState, const std::string& aAddress, Micros aNow);
[[nodiscard]] bool IsSuspect(const State& aState,
                             const std::string& aAddress,
                             Micros aNow);
/// \brief A word for each host's own order of others.
[[nodiscard]] std::uint64_t Weight(const State& aState,
                                   const std::string& aAddress);
/// \brief The candidate that comes first in this host's order; empty for none.
[[nodiscard]] std::string Heaviest(const State& aState,
                                   const std::vector<std::string>& aCandidates);
[[nodiscard]] std::string PreferredControl(const State& aState, Micros aNow);
[[nodiscard]] std::string PreferredUpstream(const State& aState, Micros aNow);

// --- upstream.cpp: whom a host without a vote follows
/// \brief Reports to the upstream, looks for another one where that is silent
/// or where another would be better, and asks for one where there is none.
void MaintainUpstream(State& aState, Micros aNow, Output& aOut);
void HandleReportReply(State& aState,
                       Micros aNow,
                       const std::string& aFrom,
                       const wire::FollowReply& aMessage,
                       Output& aOut);
/// \brief Takes a host that offered itself, where the one that would be better
/// has not answered in time.
void AcceptWaitingOffer(State& aState, Micros aNow, Output& aOut);
/// \brief Out of touch: asks the next host who is in touch, when it is time.
void DiscoverUpstream(State& aState, Micros aNow, Output& aOut);
[[nodiscard]] Micros NextUpstreamTime(const State& aState) noexcept;
void SetUpstream(State& aState, const std::string& aAddress, Micros aNow);
void SetInTouch(State& aState, bool aInTouch, Output& aOut);
/// \brief What this host says of itself in each report.
[[nodiscard]] wire::Follow OwnReport(const State& aState, Micros aNow);

// --- word.cpp: how old the group's word is that a host acts by
/// \brief Says in a reply up to where the sender's catalog goes and how old the
/// group's word on it is.
void WriteConfirmation(const State& aState,
                       Micros aNow,
                       wire::FollowReply& aReply);
/// \brief Takes the word of a reply whose commands were taken; true where it is
/// newer than what was known.
[[nodiscard]] bool UpdateConfirmation(State& aState,
                                      Micros aNow,
                                      const std::string& aFrom,
                                      const wire::FollowReply& aMessage);
/// \brief When the word of a reply was given.
[[nodiscard]] Micros ConfirmedAtOf(const wire::FollowReply& aMessage,
                                   Micros aNow);
/// \brief Asks the next control host for the word, when the own one is old.
void QueryConfirmation(State& aState, Micros aNow, Output& aOut);
/// \brief Notes that a control host answered such a question.
void HandleQueryAnswer(State& aState, Micros aNow);
[[nodiscard]] Micros NextQueryTime(const State& aState) noexcept;

// --- following.cpp: who follows this host
void SendReports(State& aState, Micros aNow, Output& aOut);
void HandleReport(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Follow& aMessage,
                  Output& aOut);
/// \brief At a relay: adds the hosts behind it to its report.
void AddDownstreamHosts(State& aState, Micros aNow, wire::Follow& aFollow);

// --- taking.cpp: what a host takes of the catalog from others
/// \brief Takes the snapshot, the policy and the commands of a reply.
void ApplyReplyCommands(State& aState,
                        const std::string& aFrom,
                        const wire::FollowReply& aMessage,
                        Output& aOut);

// --- replies.cpp: what a host tells those that follow it
/// \brief Index of the last command that followers are told of.
[[nodiscard]] std::uint64_t LastCommandIndex(const State& aState);
/// \brief True where a follower has not been told all that it must know at
/// once.
[[nodiscard]] bool NeedsPush(const State& aState, const Follower& aFollower);
/// \brief Version of the policy that the sender of a report holds.
[[nodiscard]] std::uint64_t PolicyVersionOf(const wire::Follow& aMessage);
/// \brief Puts the commands into a reply that a follower lacks, or in their
/// place a snapshot or the policy.
void FillCommands(State& aState,
                  Micros aNow,
                  Follower& aFollower,
                  wire::FollowReply& aReply);
/// \brief The same for whoever is followed or asked by chance: never a
/// snapshot.
void FillWithoutSnapshot(State& aState,
                         Micros aNow,
                         const wire::Follow& aMessage,
                         wire::FollowReply& aReply);
/// \brief Tells a follower what it lacks.
void SendReply(State& aState,
               Micros aNow,
               const std::string& aTo,
               Follower& aFollower,
               Output& aOut);
/// \brief Answers a host that asks for the group's word and stays where it is.
void AnswerQuery(State& aState,
                 Micros aNow,
                 const std::string& aFrom,
                 const wire::Follow& aMessage,
                 Output& aOut);
/// \brief At a relay: tells followers a newer word of the group, once in a
/// report's time.
void ForwardConfirmation(State& aState, Micros aNow, Output& aOut);
/// \brief Sends followers what they lack of commands and of urgent changes of
/// hosts.
void PushToFollowers(State& aState, Micros aNow, Output& aOut);
/// \brief The same, where any of them lacks something.
void PushIfNeeded(State& aState, Micros aNow, Output& aOut);
/// \brief Remembers a committed command for followers.
void RecordCommand(State& aState,
                   std::uint64_t aIndex,
                   const std::string& aCommand);

// --- whereabouts.cpp: who tells whom where the control group is

/// \brief True for the address of a known member of the control group.
[[nodiscard]] bool IsControlAddress(const State& aState,
                                    const std::string& aAddress);
/// \brief Addresses at which the group may be found.
[[nodiscard]] std::set<std::string> ControlAndSeeds(const State& aState);
/// \brief True for a member of the group that holds the catalog by itself.
[[nodiscard]] bool HasVote(const State& aState) noexcept;
/// \brief Puts the group's addresses and their date into a reply.
void WriteControlAddresses(const State& aState,
                           Micros aNow,
                           wire::FollowReply& aReply);
/// \brief Takes the group's addresses unless newer ones are known; true when
/// they changed.
[[nodiscard]] bool MergeControlAddresses(State& aState,
                                         const wire::FollowReply& aReply);
/// \brief Tells a host whether this one is in touch and where the group is.
void ReplyBriefly(State& aState,
                  Micros aNow,
                  const std::string& aTo,
                  Output& aOut);
/// \brief At a host that cannot be followed: names the group to an asker.
void ReferToControl(State& aState,
                    Micros aNow,
                    const std::string& aFrom,
                    Output& aOut);
/// \brief At a voter in touch: makes the group known at seeds and at hosts that
/// fell silent, a bounded number at a time.
void AnnounceGroup(State& aState, Micros aNow, Output& aOut);
/// \brief Answers hosts again that asked while this one was out of touch, once
/// it is back: their next report may be an interval away.
void AnswerDeferredAskers(State& aState, Micros aNow, Output& aOut);

// --- hosts.cpp: the list of hosts
/// \brief True when two words of a host say the same but for their time.
[[nodiscard]] bool SameState(const Host& aLeft, const Host& aRight);
[[nodiscard]] wire::FleetHost ToWire(const Host& aHost, Micros aNow);
[[nodiscard]] Host FromWire(const wire::FleetHost& aHost, Micros aNow);
void MergeHost(State& aState, Host aHost);
/// \brief What this host knows of the others, in short.
[[nodiscard]] HostDigests Digests(const State& aState,
                                  const std::string& aExcept);
/// \brief The same in one word.
[[nodiscard]] std::uint64_t DigestOfAll(State& aState,
                                        const std::string& aExcept);
/// \brief At a control host: adds to its report for the others the hosts that
/// follow it, directly or not: what changed, and all at a slower pace.
void AddFollowersToReport(State& aState, Micros aNow, wire::Follow& aFollow);
/// \brief Puts the changes that a follower has not heard of into a reply.
void FillHosts(const State& aState,
               Micros aNow,
               Follower& aFollower,
               wire::FollowReply& aReply);
/// \brief Takes the changes that the upstream tells.
void ApplyHostChanges(State& aState,
                      Micros aNow,
                      const wire::FollowReply& aMessage,
                      Output& aOut);
/// \brief Silence after which a control host takes a host for gone.
[[nodiscard]] Micros LeaseOf(const State& aState,
                             const Host& aHost,
                             Micros aNow);
/// \brief Drops hosts that have been gone for long.
void ForgetGoneHosts(State& aState, Micros aNow);
/// \brief At a control host: notes who is gone. Looks at all hosts, so that it
/// is for the pace of reports, not for each of them.
void ExpireHosts(State& aState, Micros aNow, Output& aOut);
/// \brief At a control host: tells followers at once of hosts that stop or are
/// gone.
void PublishHostChanges(State& aState, Micros aNow, Output& aOut);

// --- neighbours.cpp: with whom a host exchanges facts
void HandleGossip(State& aState,
                  Micros aNow,
                  const std::string& aFrom,
                  const wire::Gossip& aMessage,
                  Output& aOut);
/// \brief Looks who the neighbours are.
void UpdateNeighbours(State& aState);
/// \brief Tells neighbours the facts that they lack.
void GossipToNeighbours(State& aState, Micros aNow, Output& aOut);

// --- fleet.cpp
void SendTo(State& aState,
            const std::string& aAddress,
            wire::FleetMessage aMessage,
            Output& aOut);
[[nodiscard]] bool IsControlMember(const State& aState) noexcept;

} // namespace geraniumpond::fleet
