#pragma once

#include <geraniumpond/dispatch.h>

/// \brief Steps that the dispatch sources share.
namespace geraniumpond::dispatch {

/// \brief Fewest and most targets asked for their load before a request is
/// sent; between them as many as find an idle one nearly always.
constexpr std::size_t kAskMin = 4;
constexpr std::size_t kAskMax = 8;
/// \brief Rounds of asking before a request waits or takes what there is.
constexpr int kAskRounds = 2;
/// \brief A report this young still tells the load; a few trips between data
/// centres old.
constexpr Micros kFreshReport = 40 * kMillisecond;
/// \brief Bounds on how long an asked target is waited for.
constexpr Micros kAskPatienceMin = 10 * kMillisecond;
constexpr Micros kAskPatienceMax = 100 * kMillisecond;
/// \brief Pause before a request that found no free target looks again: a
/// small part of the shortest work.
constexpr Micros kLookAgain = 15 * kMillisecond;

/// \brief Reports of up to this slowness tell of a target that works as usual.
constexpr double kUsualSlowness = 1.5;

// --- cost.cpp: what a choice of target comes to

/// \brief What a request needs of its target.
struct Need
{
  Micros mWork = 0;
  double mAnswerBytes = 0;
  std::string_view mDataCentre;
  /// What is learnt of its service; never null.
  const Service* mService = nullptr;
};

[[nodiscard]] bool IsFresh(const Target& aTarget, Micros aNow) noexcept;
[[nodiscard]] int Slots(const Target& aTarget) noexcept;
/// \brief Requests at a target, own ones sent since its report included.
[[nodiscard]] int Occupancy(const Target& aTarget, Micros aNow) noexcept;
[[nodiscard]] bool HasFreeSlot(const Target& aTarget, Micros aNow) noexcept;
/// \brief Time until an answer, waiting at the target included.
[[nodiscard]] Micros ExpectedTime(const Target& aTarget,
                                  const Need& aNeed,
                                  Micros aNow) noexcept;
/// \brief True when one more request leaves a target where it does most work.
[[nodiscard]] bool IsUncrowded(const Target& aTarget,
                               const LoadCurve& aCurve,
                               Micros aNow) noexcept;
/// \brief True when a report tells of a target that works as usual and would
/// not be crowded by one more request.
[[nodiscard]] bool TellsOfRoom(const Report& aReport,
                               const LoadCurve& aCurve) noexcept;
/// \brief What a choice is ranked by: the expected time, made dearer for
/// targets that fail, and for answers that cross between data centres.
[[nodiscard]] double CostOf(const Target& aTarget,
                            const Need& aNeed,
                            Micros aNow) noexcept;
[[nodiscard]] double FailureShare(const Target& aTarget, Micros aNow) noexcept;
void NoteResult(Target& aTarget, bool aFailed, Micros aNow) noexcept;

/// \brief Bytes of an answer that take a noticeable time on the own link; 0 for
/// a small answer.
[[nodiscard]] double LargeBytes(const State& aState,
                                const Need& aNeed) noexcept;
/// \brief False while other large answers on their way fill the own link.
[[nodiscard]] bool FitsLink(const State& aState, const Need& aNeed) noexcept;

// --- extra.cpp: the budget of arrivals beyond the first
void CountRequest(ExtraWindow& aWindow, const Bounds& aBounds, Micros aNow);
/// \brief Takes one extra arrival out of this host's share, if there is one.
[[nodiscard]] bool TakeExtra(const State& aState,
                             ExtraWindow& aWindow,
                             Micros aNow);

// --- asking.cpp: reports of load at the moment of choice
/// \brief Asks targets for a request; true when any answer is waited for.
bool Ask(State& aState, Micros aNow, Request& aRequest, Effects& aOut);
void Probe(State& aState, Micros aNow, Target& aTarget, Effects& aOut);
/// \brief Asks the targets that work on a request how they are.
void AskRunning(State& aState, Micros aNow, Request& aRequest, Effects& aOut);
void Suspect(State& aState,
             Micros aNow,
             Target& aTarget,
             const char* aWhy,
             Effects& aOut);
/// \brief Takes what a target says of its load.
void TakeReport(Service& aService,
                Target& aTarget,
                const Report& aReport,
                Micros aNow);
[[nodiscard]] std::uint64_t NextRandom(State& aState) noexcept;
[[nodiscard]] double NextPoint(State& aState) noexcept;

// --- choosing.cpp: which target a request goes to; more in choice.h
[[nodiscard]] Need NeedOf(const State& aState, const Request& aRequest);

// --- waiting.cpp: requests that wait for a target
void Pump(State& aState,
          Micros aNow,
          const std::string& aService,
          Effects& aOut);
void StartWaiting(State& aState, Micros aNow, Request& aRequest, Effects& aOut);
void StopWaiting(State& aState, Request& aRequest);
/// \brief Time until a newcomer of this rank would be sent.
[[nodiscard]] Micros ExpectedWait(const Service& aService,
                                  const Request& aRequest);
/// \brief When a refused client should come back.
[[nodiscard]] Micros RetryAfter(State& aState, Micros aExpectedWait);

// --- crashes.cpp: targets that end, and the requests that they had
void NoteBroken(State& aState,
                Micros aNow,
                const Request& aRequest,
                const Attempt& aAttempt,
                const AttemptEnd& aEnd,
                Effects& aOut);
/// \brief The target's address refuses, or is another one's now.
void NoteTargetEnded(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     Effects& aOut);
/// \brief The target has answered a probe.
void NoteTargetLives(State& aState,
                     Micros aNow,
                     Target& aTarget,
                     Effects& aOut);
/// \brief Asks again where answers broke after the last probe was sent; true
/// when it does.
bool AskAboutOpenEnds(State& aState,
                      Micros aNow,
                      Target& aTarget,
                      Effects& aOut);
/// \brief A target has answered a request.
void NoteAnswered(State& aState,
                  Micros aNow,
                  std::uint64_t aIdentity,
                  Effects& aOut);
/// \brief A quarantined request was refused.
void NoteTried(State& aState,
               Micros aNow,
               std::uint64_t aIdentity,
               Effects& aOut);
/// \brief Another host tells of a target that ended under a request.
void TakeCrashFact(State& aState,
                   Micros aNow,
                   const gossip::Item& aItem,
                   Effects& aOut);
/// \brief Another host tells that a request was answered, or let go.
void TakeAnswerFact(State& aState, const gossip::Item& aItem);
[[nodiscard]] quarantine::Verdict JudgeRequest(const State& aState,
                                               std::uint64_t aIdentity,
                                               const std::string& aService,
                                               Micros aNow);

// --- limits.cpp: rates that targets name for all hosts together
/// \brief An answer names a limit, or what is none.
void TakeLimit(State& aState,
               Micros aNow,
               Target& aTarget,
               const LimitWord& aWord,
               Effects& aOut);
/// \brief A request that was sent at `aSentAt` succeeded, and its answer names
/// no limit.
void TakeNoLimit(State& aState,
                 Micros aNow,
                 Target& aTarget,
                 Micros aSentAt,
                 Effects& aOut);
/// \brief Another host tells of a limit, or of its end.
void TakeLimitFact(State& aState,
                   Micros aNow,
                   const gossip::Item& aItem,
                   Effects& aOut);
/// \brief Takes what was told of a target before it was known.
void TakeEarlyLimit(State& aState, Micros aNow, Target& aTarget, Effects& aOut);
/// \brief True unless its limit leaves no room for a request of this host now.
[[nodiscard]] bool HasRoomInLimit(const Target& aTarget, Micros aNow) noexcept;
/// \brief True unless this host holds no part of its limit.
[[nodiscard]] bool MayEverTake(const Target& aTarget) noexcept;

// --- learning.cpp: what answers and reports tell of a service
/// \brief How many times as long work takes that starts beside so many others.
[[nodiscard]] double StretchAt(const LoadCurve& aCurve,
                               int aOccupancy,
                               int aSlots) noexcept;
/// \brief Requests at a target with which it does most work in a time.
[[nodiscard]] int EfficientLimit(const LoadCurve& aCurve, int aSlots) noexcept;
/// \brief Takes the time of one answer over the usual time of its work.
void LearnStretch(LoadCurve& aCurve,
                  int aOccupancy,
                  int aSlots,
                  double aRatio) noexcept;
/// \brief Takes two reports of one target, `aGap` apart.
void LearnSpeed(SpeedStatistics& aLearnt,
                const Report& aBefore,
                Micros aGap,
                const Report& aNow) noexcept;
/// \brief Mean time for which a target keeps its speed.
[[nodiscard]] double SpeedTime(const SpeedStatistics& aLearnt) noexcept;

// --- unrouted.cpp: requests that come before the first policy
/// \brief Lets a request wait for the first policy, or refuses it.
void HoldUnrouted(State& aState,
                  Micros aNow,
                  const Arrival& aArrival,
                  Effects& aOut);
/// \brief Refuses a request for which the policy has no route.
void RefuseUnknownRoute(State& aState, const Arrival& aArrival, Effects& aOut);
void ExpireUnrouted(State& aState, Micros aNow, Effects& aOut);
[[nodiscard]] Micros NextUnroutedTime(const State& aState) noexcept;

// --- returning.cpp: later tries of clients
/// \brief True when a client has waited longer than its route's objective.
[[nodiscard]] bool IsReturn(const PatienceStatistics& aLearnt,
                            Micros aPatience,
                            Micros aObjective) noexcept;
void LearnPatience(PatienceStatistics& aLearnt,
                   Micros aPatience,
                   Micros aObjective) noexcept;

// --- requests.cpp: one request's steps
/// \brief Finds a request's route and lets it wait for a target.
void Admit(State& aState,
           Micros aNow,
           Micros aArrivedAt,
           const Arrival& aArrival,
           Effects& aOut);
/// \brief Answers a request here that has not been admitted.
void RefuseArrival(State& aState,
                   const Arrival& aArrival,
                   int aStatus,
                   Micros aRetryAfter,
                   const std::string& aReason,
                   Effects& aOut);
void SendTo(State& aState,
            Micros aNow,
            Request& aRequest,
            Target& aTarget,
            Effects& aOut);
/// \brief Answers a request here and forgets it.
void Refuse(State& aState,
            Micros aNow,
            std::uint64_t aRequest,
            int aStatus,
            Micros aRetryAfter,
            const std::string& aReason,
            Effects& aOut);
void CancelAttempts(State& aState, Request& aRequest, Effects& aOut);
void Forget(State& aState, std::uint64_t aRequest);
void SetTimer(State& aState, Request& aRequest);
void Fire(State& aState, Micros aNow, std::uint64_t aRequest, Effects& aOut);
/// \brief An attempt of the request is over; what comes next follows.
void TryElsewhere(State& aState,
                  Micros aNow,
                  Request& aRequest,
                  const std::string& aWhy,
                  Effects& aOut);
/// \brief A request as log lines have it.
[[nodiscard]] std::string Describe(const State& aState,
                                   const Request& aRequest,
                                   Micros aNow);
void Log(Effects& aOut, int aLevel, std::string aText);
[[nodiscard]] std::string Milliseconds(Micros aTime);
[[nodiscard]] std::string Hexadecimal(std::uint64_t aWord);

} // namespace geraniumpond::dispatch
