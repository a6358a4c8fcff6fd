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

// --- gateway.cpp

/// \brief Appends the effects of a dispatch call; facts go to other hosts.
void AppendEffects(Context& aContext, dispatch::Effects aEffects);

/// \brief Applies the output of a fleet call and appends its effects.
void ApplyFleetOutput(Context& aContext, fleet::Output aFleet);

/// \brief Applies what a known target announces of its warm-up.
void RecordWarmUp(Context& aContext, const wire::TargetRecord& aRecord);

// --- accounts.cpp: what keys and names of accounts are worth at this host

/// \brief Updates how far this host's policy may be relied on, by the age of
/// the group's confirmation.
void UpdateTrust(Context& aContext);
/// \brief A request that arrives, and whether it comes from a host of the
/// fleet.
[[nodiscard]] dispatch::Arrival WithSender(const State& aState,
                                           dispatch::Arrival aArrival);

// --- rollup.cpp: counts summed over all hosts

/// \brief Tells the fleet whether anything is counted, and which counts matter
/// to others at once or at all.
void SetUpCounting(fleet::State& aFleet, Micros aNow, bool aWanted);
/// \brief Hosts among which limits are divided; silent ones keep their part
/// until they are forgotten.
[[nodiscard]] rate_share::Members CountingHosts(const fleet::State& aFleet);
/// \brief Notes whether the policy has anything to count over all hosts.
void UpdateCounting(Context& aContext);
/// \brief Tells those who divide limits among hosts which hosts there are.
void UpdateCountHosts(Context& aContext);
/// \brief Sets this host's own counts if they are due.
void UpdateCounts(Context& aContext);
/// \brief Hands totals that have arrived to those who use them.
void UseNewTotals(Context& aContext);

// --- operations.cpp: calls from targets and operators

void HandleAnnounce(Context& aContext, const Announce& aCall);
void HandleWithdraw(Context& aContext, const Withdraw& aCall);
/// \brief Updates what dispatch knows of the hosts' data centres.
void UpdateHostDataCentres(Context& aContext);
void HandlePutPolicy(Context& aContext, const PutPolicy& aCall);
void HandleReadPolicy(Context& aContext, const ReadPolicy& aCall);
void HandleSetEvacuation(Context& aContext, const SetEvacuation& aCall);
/// \brief Answers the call whose command has completed.
void CompleteOperation(Context& aContext, const fleet::Completion& aDone);
/// \brief Answers waiting reads whose version has arrived or that timed out.
void AnswerReads(Context& aContext);

} // namespace geraniumpond::gateway
