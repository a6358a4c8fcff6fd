#pragma once

#include <geraniumpond/gateway.h>

/// \brief Functions shared by the gateway sources.
namespace geraniumpond::gateway {

/// \brief State, time and effects of one step.
struct Context
{
  State& mState;
  Micros mNow;
  Effects& mOut;

  void Log(int aLevel, std::string aText) const
  {
    mOut.emplace_back(dispatch::LogLine{ aLevel, std::move(aText) });
  }
};

// --- output.cpp: what dispatch and the fleet put out

/// \brief Appends the effects of a dispatch call; facts go to other hosts.
void AppendEffects(Context& aContext, dispatch::Effects aEffects);

/// \brief Applies the output of a fleet call and appends its effects.
void ApplyFleetOutput(Context& aContext, fleet::Output aFleet);

// --- policy.cpp: how a policy comes into force

/// \brief Puts the catalog's policy into force unless it is so already or
/// withheld; tells `aFleet` that this host is ready for clients.
void ApplyNewPolicy(Context& aContext, fleet::Output& aFleet);
/// \brief Puts the withheld policy into force once the control group has
/// confirmed it.
void ApplyWithheldPolicy(Context& aContext);

// --- hosts.cpp: what dispatch is told of the other hosts

/// \brief Updates the number of hosts and what depends on which there are, if
/// that is due.
void UpdateHosts(Context& aContext);
/// \brief Updates the hosts that requests may be passed on to while this host
/// does not hear from targets.
void UpdateRelayHosts(Context& aContext);

// --- stop.cpp: the graceful stop of the host

void HandleStop(Context& aContext, const StopRequested& aRequested);
/// \brief Ends the process once its work is done or time has run out; called
/// when nothing that was read is left to be handled.
void ContinueStop(Context& aContext);
/// \brief Latest time at which a host that is stopping ends the process.
[[nodiscard]] Micros ExitDeadline(const State& aState);

// --- accounts.cpp: how long keys may be relied on, and who may state accounts

/// \brief Updates whether this host's policy may be outdated and until when
/// its keys are accepted, by the age of the group's confirmation.
void UpdateTrust(Context& aContext);
/// \brief The request with the mark whether it comes from a host of the fleet.
[[nodiscard]] dispatch::Arrival WithSender(const State& aState,
                                           dispatch::Arrival aArrival);

// --- rollup.cpp: counts summed over all hosts

/// \brief Tells the fleet whether anything is counted, which totals all hosts
/// need, and which growth is reported at once.
void SetUpCounting(fleet::State& aFleet, Micros aNow, bool aWanted);
/// \brief Hosts among which limits are divided; silent ones keep their part
/// until they are forgotten.
[[nodiscard]] rate_share::Members CountingHosts(const fleet::State& aFleet);
/// \brief Turns counting over all hosts on or off as the policy needs it.
void UpdateCounting(Context& aContext);
/// \brief Tells the limits of accounts which hosts there are.
void UpdateCountHosts(Context& aContext);
/// \brief Sets this host's own counts if they are due.
void UpdateCounts(Context& aContext);
/// \brief Passes totals that have arrived to the modules that use them.
void UseNewTotals(Context& aContext);

// --- evacuations.cpp: operators' orders on data centres

void HandleSetEvacuation(Context& aContext, const SetEvacuation& aCall);
/// \brief Notes in which step this host learnt of revisions of the catalog.
void LearnEvacuationRevisions(State& aState);
/// \brief The same for one that the group has told.
void LearnEvacuationRevision(State& aState,
                             const std::string& aDataCentre,
                             std::uint64_t aRevision);

// --- operations.cpp: calls from targets and operators

/// \brief Submits a command to the group; its caller is answered when it
/// completes.
void SubmitCommand(Context& aContext,
                   const Operation& aOperation,
                   const wire::CatalogCommand& aCommand);
/// \brief Answers a call and logs how it ended.
void Answer(Context& aContext,
            AnswerOperation aAnswer,
            OperationKind aKind,
            const std::string& aSubject = "");
void Refuse(Context& aContext,
            std::uint64_t aOperation,
            OperationKind aKind,
            const std::string& aReason);
void HandleAnnounce(Context& aContext, const Announce& aCall);
void HandleWithdraw(Context& aContext, const Withdraw& aCall);
void HandlePutPolicy(Context& aContext, const PutPolicy& aCall);
void HandleReadPolicy(Context& aContext, const ReadPolicy& aCall);
/// \brief Answers the call whose command has completed.
void CompleteOperation(Context& aContext, const fleet::Completion& aDone);
/// \brief Answers waiting reads whose version has arrived or that timed out.
void AnswerReads(Context& aContext);

} // namespace geraniumpond::gateway
