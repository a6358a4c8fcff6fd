#pragma once

#include <geraniumpond/dispatch.h>

/// \brief Functions shared by the dispatch sources.
namespace geraniumpond::dispatch {

/// \brief Minimum and maximum number of targets probed for their load before a
/// request is sent; four to eight nearly always include an idle one.
constexpr std::size_t kMinProbes = 4;
constexpr std::size_t kMaxProbes = 8;
/// \brief Rounds of probes before a request waits or takes the best known
/// target.
constexpr int kProbeRounds = 2;
/// \brief Maximum age of a report that still reflects the current load: a few
/// round trips between data centres.
constexpr Micros kMaxReportAge = 40 * kMillisecond;
/// \brief Bounds on the time to wait for a probe's answer.
constexpr Micros kMinProbeWait = 10 * kMillisecond;
constexpr Micros kMaxProbeWait = 100 * kMillisecond;
/// \brief Delay before a request that found no free target is checked again: a
/// small part of the shortest service times.
constexpr Micros kRecheckDelay = 15 * kMillisecond;

/// \brief A target with up to this slowness counts as working at its usual
/// speed.
constexpr double kUsualSlowness = 1.5;

// --- cost.cpp: estimated cost of a target

/// \brief What a request requires of its target.
struct Need
{
  Micros mWork = 0;
  double mAnswerBytes = 0;
  std::string_view mDataCentre;
  /// Learnt statistics of its service; never null.
  const Service* mService = nullptr;
};

[[nodiscard]] bool IsFresh(const Target& aTarget, Micros aNow) noexcept;
[[nodiscard]] int Slots(const Target& aTarget) noexcept;
/// \brief Requests at a target, including this host's own sent since its
/// report.
[[nodiscard]] int Occupancy(const Target& aTarget, Micros aNow) noexcept;
[[nodiscard]] bool HasFreeSlot(const Target& aTarget, Micros aNow) noexcept;
/// \brief Expected time until an answer, including queueing at the target.
[[nodiscard]] Micros ExpectedTime(const Target& aTarget,
                                  const Need& aNeed,
                                  Micros aNow) noexcept;
/// \brief True when the target can take one more request without exceeding its
/// most efficient concurrency.
[[nodiscard]] bool IsUncrowded(const Target& aTarget,
                               const LoadCurve& aCurve,
                               Micros aNow) noexcept;
/// \brief True when a report shows usual speed and spare capacity for one more
/// request.
[[nodiscard]] bool ShowsSpareCapacity(const Report& aReport,
                                      const LoadCurve& aCurve) noexcept;
/// \brief Cost by which targets are ranked: the expected time, increased for
/// targets that fail and for answers that cross between data centres.
[[nodiscard]] double CostOf(const Target& aTarget,
                            const Need& aNeed,
                            Micros aNow) noexcept;
[[nodiscard]] double FailureShare(const Target& aTarget, Micros aNow) noexcept;
void RecordResult(Target& aTarget, bool aFailed, Micros aNow) noexcept;

/// \brief Bytes of an answer that take a noticeable time on the host's link; 0
/// for a small answer.
[[nodiscard]] double LargeBytes(const State& aState,
                                const Need& aNeed) noexcept;
/// \brief False while other large answers in transfer fill the host's link.
[[nodiscard]] bool FitsLink(const State& aState, const Need& aNeed) noexcept;

// --- extra.cpp: the budget of extra attempts
void CountRequest(ExtraWindow& aWindow, const Bounds& aBounds, Micros aNow);
/// \brief Takes the latest counted request back, which another host sends.
void UncountRequest(ExtraWindow& aWindow) noexcept;
/// \brief Takes one extra attempt from this host's share of the budget; false
/// when it is spent.
[[nodiscard]] bool TakeExtra(const State& aState,
                             ExtraWindow& aWindow,
                             Micros aNow);

// --- probing.cpp: load probes before a choice
/// \brief Probes candidate targets for a request; true when any answer is
/// awaited.
bool ProbeCandidates(State& aState,
                     Micros aNow,
                     Request& aRequest,
                     Effects& aOut);
void Probe(State& aState, Micros aNow, Target& aTarget, Effects& aOut);
/// \brief Probes the targets that are running attempts of a request.
void ProbeRunningTargets(State& aState,
                         Micros aNow,
                         Request& aRequest,
                         Effects& aOut);
void MarkUnavailable(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     const char* aWhy,
                     Effects& aOut);
/// \brief Records a target's load report.
void RecordReport(Service& aService,
                  Target& aTarget,
                  const Report& aReport,
                  Micros aNow);
[[nodiscard]] std::uint64_t NextRandom(State& aState) noexcept;
[[nodiscard]] double NextUniform(State& aState) noexcept;

// --- choice.cpp: which target a request goes to; more in choice.h
[[nodiscard]] Need NeedOf(const State& aState, const Request& aRequest);

// --- waiting.cpp: the queue of requests that wait for a target
void ServeQueue(State& aState,
                Micros aNow,
                const std::string& aService,
                Effects& aOut);
void StartWaiting(State& aState, Micros aNow, Request& aRequest, Effects& aOut);
void StopWaiting(State& aState, Request& aRequest);
/// \brief Changes a request's priority, also while it waits.
void SetPriority(State& aState, Request& aRequest, int aPriority);
/// \brief Expected queueing time of a new request of this priority and
/// deadline.
[[nodiscard]] Micros ExpectedWait(const State& aState, const Request& aRequest);
/// \brief Delay after which a refused client should retry.
[[nodiscard]] Micros RetryAfter(State& aState, Micros aExpectedWait);
/// \brief Delay after which the client of a request that cannot be on time any
/// more should retry, when the load may have dropped.
[[nodiscard]] Micros RetryDelay(State& aState,
                                const Request& aRequest,
                                Micros aNow);

// --- ends.cpp
/// \brief Records the size of an answer to a request of this route.
void LearnAnswerBytes(State& aState,
                      const Request& aRequest,
                      std::uint64_t aBytes);
/// \brief Forwards an attempt's answer to the client and removes the request.
void Deliver(State& aState,
             Micros aNow,
             Request& aRequest,
             const Attempt& aAttempt,
             const AttemptEnd& aEnd,
             Effects& aOut);

// --- crashes.cpp: targets that end, and the requests they were running
void HandleBrokenAnswer(State& aState,
                        Micros aNow,
                        const Request& aRequest,
                        const Attempt& aAttempt,
                        const AttemptEnd& aEnd,
                        Effects& aOut);
/// \brief The target's address refuses connections, or another target uses it
/// now.
void HandleTargetEnd(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     Effects& aOut);
/// \brief The target has answered a probe.
void HandleTargetAlive(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       Effects& aOut);
/// \brief Probes again when answers broke after the last probe was sent; true
/// when it did.
bool ProbeAfterBrokenAnswers(State& aState,
                             Micros aNow,
                             Target& aTarget,
                             Effects& aOut);
/// \brief Records that a target answered this request.
void RecordAnswer(State& aState,
                  Micros aNow,
                  std::uint64_t aIdentity,
                  Effects& aOut);
/// \brief Renews the quarantine of a request that was submitted again and
/// refused.
void RenewQuarantine(State& aState,
                     Micros aNow,
                     std::uint64_t aIdentity,
                     Effects& aOut);
/// \brief Handles another host's report of a target that ended under a request.
void HandleCrashFact(State& aState,
                     Micros aNow,
                     const gossip::Item& aItem,
                     Effects& aOut);
/// \brief Handles another host's report that a request was answered or released
/// by an operator.
void HandleAnswerFact(State& aState, const gossip::Item& aItem);
[[nodiscard]] quarantine::Verdict JudgeQuarantine(const State& aState,
                                                  std::uint64_t aIdentity,
                                                  const std::string& aService,
                                                  Micros aNow);

// --- warm_up.cpp: targets that are cold
[[nodiscard]] bool IsCold(const Target& aTarget, Micros aNow) noexcept;
/// \brief Handles what a target's health answer says of its warm-up.
void HandleStatedWarmUp(State& aState,
                        Micros aNow,
                        Target& aTarget,
                        Micros aLeft,
                        Effects& aOut);
/// \brief Handles another host's report that a target has turned cold.
void HandleWarmUpFact(State& aState,
                      Micros aNow,
                      const gossip::Item& aItem,
                      Effects& aOut);
/// \brief End of the warm-up of a target that is added now.
[[nodiscard]] Micros FirstWarmUpEnd(const State& aState,
                                    const wire::TargetRecord& aRecord,
                                    Micros aNow);
/// \brief Requests per second that all hosts together may send to a cold
/// target of a service; 0 for no bound.
[[nodiscard]] double WarmUpRate(const State& aState,
                                const std::string& aService) noexcept;

// --- limits.cpp: request rates that targets state for all hosts together, and
// those of cold targets
/// \brief Requests per second that the target takes from all hosts together;
/// none if there is no bound.
[[nodiscard]] std::optional<double> BoundedRate(const Target& aTarget,
                                                Micros aNow) noexcept;
/// \brief Recomputes this host's share of a target's bounded rate.
void DivideRate(State& aState, Micros aNow, Target& aTarget);
/// \brief Handles a stated limit in an answer, readable or not.
void HandleStatedLimit(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       const StatedLimit& aLimit,
                       Effects& aOut);
/// \brief Handles a successful answer without a limit to a request sent at
/// `aSentAt`.
void HandleAbsentLimit(State& aState,
                       Micros aNow,
                       Target& aTarget,
                       Micros aSentAt,
                       Effects& aOut);
/// \brief Handles another host's report of a limit, or of its end.
void HandleLimitFact(State& aState,
                     Micros aNow,
                     const gossip::Item& aItem,
                     Effects& aOut);
/// \brief Applies a limit that was reported before the target was known.
void ApplyEarlyLimit(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     Effects& aOut);
/// \brief True unless this host's share of the limit is used up now.
[[nodiscard]] bool IsWithinLimit(const Target& aTarget, Micros aNow) noexcept;
/// \brief True unless the target's rate is bounded and this host has no share
/// of it.
[[nodiscard]] bool HasLimitShare(const Target& aTarget, Micros aNow) noexcept;

// --- rest.cpp: targets that ask this host to send nothing, for a while or for
// good
/// \brief The target has said that it leaves.
void HandleLeaving(State& aState, Target& aTarget, Effects& aOut);
/// \brief Handles a stated rest in an answer, readable or not.
void HandleStatedRest(State& aState,
                      Micros aNow,
                      Target& aTarget,
                      const StatedRest& aRest,
                      Effects& aOut);
[[nodiscard]] bool IsResting(const Target& aTarget, Micros aNow) noexcept;
/// \brief When the first target of a service whose usable targets all rest may
/// be asked again; none while one of them does not rest.
[[nodiscard]] std::optional<Micros> EarliestRestEnd(const State& aState,
                                                    const Service& aService,
                                                    Micros aNow);
/// \brief Delay after which a client should retry that came before that time;
/// spread, so that clients do not return together.
[[nodiscard]] Micros DelayUntilRestEnd(State& aState,
                                       Micros aRestEnd,
                                       Micros aNow);
/// \brief True unless the target rests or leaves, or this host's share of its
/// limit is used up.
[[nodiscard]] bool AcceptsRequests(const Target& aTarget, Micros aNow) noexcept;

// --- learning.cpp: statistics from answers and reports
/// \brief Factor by which work takes longer when it starts beside `aOccupancy`
/// other requests.
[[nodiscard]] double LatencyFactorAt(const LoadCurve& aCurve,
                                     int aOccupancy,
                                     int aSlots) noexcept;
/// \brief Number of concurrent requests that gives the highest throughput.
[[nodiscard]] int EfficientLimit(const LoadCurve& aCurve, int aSlots) noexcept;
/// \brief Records the time of one answer relative to the usual service time.
void LearnLatencyFactor(LoadCurve& aCurve,
                        int aOccupancy,
                        int aSlots,
                        double aRatio) noexcept;
/// \brief Learns from two reports of one target, `aGap` apart.
void LearnSpeed(SpeedStatistics& aStatistics,
                const Report& aBefore,
                Micros aGap,
                const Report& aNow) noexcept;
/// \brief Mean time for which a target keeps its speed.
[[nodiscard]] double MeanSpeedDuration(
  const SpeedStatistics& aStatistics) noexcept;

// --- unrouted.cpp: requests that wait while a host starts
/// \brief Queues a request until the first policy or the first totals arrive,
/// or refuses it.
void QueueUnrouted(State& aState,
                   Micros aNow,
                   Micros aArrivedAt,
                   const Arrival& aArrival,
                   Effects& aOut);
/// \brief Refuses a request that matches no route of the policy.
void RefuseUnknownRoute(State& aState, const Arrival& aArrival, Effects& aOut);
void ExpireUnrouted(State& aState, Micros aNow, Effects& aOut);
[[nodiscard]] Micros NextUnroutedTime(const State& aState) noexcept;

// --- client_retries.cpp: retries by clients
/// \brief True for a request whose latency objective had passed before it
/// arrived.
[[nodiscard]] bool IsReturn(const Request& aRequest) noexcept;
/// \brief True when a request's remaining client timeout shows that it is a
/// retry: its client has already waited longer than the route's latency
/// objective.
[[nodiscard]] bool IsClientRetry(const PatienceStatistics& aStatistics,
                                 Micros aPatience,
                                 Micros aObjective) noexcept;
void LearnPatience(PatienceStatistics& aStatistics,
                   Micros aPatience,
                   Micros aObjective) noexcept;

// --- admission.cpp: what becomes of a request when it arrives
/// \brief Routes a request and queues it for a target.
void Admit(State& aState,
           Micros aNow,
           Micros aArrivedAt,
           const Arrival& aArrival,
           Effects& aOut);
/// \brief Refuses a request that has not been admitted.
void RefuseArrival(State& aState,
                   const Arrival& aArrival,
                   int aStatus,
                   Micros aRetryAfter,
                   const std::string& aReason,
                   Effects& aOut);

// --- shutdown.cpp: requests that a host cannot see through before it exits
/// \brief Refuses a request that has just arrived, if it is one of them.
[[nodiscard]] bool RefuseArrivalAtShutdown(State& aState,
                                           Micros aNow,
                                           const Arrival& aArrival,
                                           const Request& aRequest,
                                           Effects& aOut);
/// \brief False if a request that starts now may outlast the host.
[[nodiscard]] bool CanStartBeforeExit(const State& aState,
                                      const Request& aRequest,
                                      Micros aNow);
/// \brief Refuses all requests of them that wait for a target.
void RefuseAllWaitingAtShutdown(State& aState, Micros aNow, Effects& aOut);
/// \brief Refuses a request that waits for a target, if it is one of them.
[[nodiscard]] bool RefuseWaitingAtShutdown(State& aState,
                                           Micros aNow,
                                           Request& aRequest,
                                           Effects& aOut);

// --- homes.cpp: requests that the policy binds to regions
/// \brief Binds a request to the regions of its route and its account.
void BindToHomes(const State& aState,
                 const policy::Route& aRoute,
                 Request& aRequest);
/// \brief The same for all requests, by a policy that has just come into force;
/// `aNamedBefore` if the one before named regions.
void RebindToHomes(State& aState, bool aNamedBefore);
/// \brief True unless the target is in another region than the request may
/// reach.
[[nodiscard]] bool MayReach(const State& aState,
                            const Request& aRequest,
                            const Target& aTarget);
/// \brief The same for a host, by its caller address.
[[nodiscard]] bool MayPassTo(const State& aState,
                             const Request& aRequest,
                             const std::string& aHost);

// --- fairness.cpp: room for more urgent requests that wait at other hosts
/// \brief Counts an arrival; true if it has to make room.
[[nodiscard]] bool IsHeldBack(State& aState,
                              Micros aNow,
                              const Request& aRequest);
/// \brief Delay after which the client of such a request should retry: within
/// its objective if that can still be met.
[[nodiscard]] Micros HeldBackDelay(State& aState,
                                   Micros aNow,
                                   const Request& aRequest);
/// \brief Counts a request that is refused, or sent, without or with too little
/// time left for its objective.
void CountRefusal(State& aState, Micros aNow, const Request& aRequest);
void CountSend(State& aState, Micros aNow, const Request& aRequest);

// --- account_limits.cpp: limits of client accounts
/// \brief Refuses a request beyond its account's limit and returns false;
/// counts it otherwise. One that was passed on is counted at the first host.
[[nodiscard]] bool AdmitWithinQuota(State& aState,
                                    Micros aNow,
                                    const Arrival& aArrival,
                                    Request& aRequest,
                                    Effects& aOut);
/// \brief A request is sent, to a target or to another host.
void CountQuotaSent(State& aState, Micros aNow, Request& aRequest);
/// \brief False for a hedge or a second attempt if the account is at its limit.
[[nodiscard]] bool HasQuotaForExtra(State& aState,
                                    Micros aNow,
                                    const Request& aRequest);
/// \brief Counts a hedge or a second attempt.
void CountExtraQuota(State& aState, Micros aNow, const Request& aRequest);
/// \brief Gives a request back that ends without having been sent, or that
/// goes over to another account.
void ReleaseQuota(State& aState, Request& aRequest);
/// \brief Counts a request that waits while a new policy comes, unless it is
/// counted already.
void AdoptQuota(State& aState, Micros aNow, Request& aRequest);
/// \brief True while a host that has just started is to hear what the
/// request's account has used of its limit.
[[nodiscard]] bool AwaitsTotals(const State& aState,
                                Micros aNow,
                                const Request& aRequest);
/// \brief Logs which accounts start and end being limited at this host.
void TickQuota(State& aState, Micros aNow, Effects& aOut);

// --- requests.cpp: the steps of one request
void SendTo(State& aState,
            Micros aNow,
            Request& aRequest,
            Target& aTarget,
            Effects& aOut);
/// \brief Refuses an admitted request and removes it.
void Refuse(State& aState,
            Micros aNow,
            std::uint64_t aRequest,
            int aStatus,
            Micros aRetryAfter,
            const std::string& aReason,
            Effects& aOut);
void CancelAttempts(State& aState, Request& aRequest, Effects& aOut);
void RemoveRequest(State& aState, std::uint64_t aRequest);
void SetTimer(State& aState, Request& aRequest);
void HandleTimer(State& aState,
                 Micros aNow,
                 std::uint64_t aRequest,
                 Effects& aOut);
/// \brief Retries a request on another target after its attempt ended, or
/// refuses it.
void RetryElsewhere(State& aState,
                    Micros aNow,
                    Request& aRequest,
                    const std::string& aWhy,
                    Effects& aOut);
/// \brief Fields that describe a request in log lines.
[[nodiscard]] std::string Describe(const State& aState,
                                   const Request& aRequest,
                                   Micros aNow);
void Log(Effects& aOut, int aLevel, std::string aText);
[[nodiscard]] std::string Milliseconds(Micros aTime);
[[nodiscard]] std::string Hexadecimal(std::uint64_t aWord);

} // namespace geraniumpond::dispatch
