#pragma once

#include <geraniumpond/node.h>

#include <functional>

/// \brief What the reducer's parts share while one event is taken.
namespace geraniumpond::node {

/// \brief One step: the state, the event's time and random word, the effects.
struct Context
{
  State& mState;
  Micros mNow;
  std::uint64_t mRandom;
  wire::Effects& mOut;

  /// Next word of a sequence that the event's random word starts.
  std::uint64_t NextRandom() noexcept
  {
    mRandom = mRandom * 6364136223846793005ULL + 1442695040888963407ULL;
    return mRandom ^ (mRandom >> 31);
  }
  [[nodiscard]] wire::Effect& Add() const { return *mOut.add_effects(); }
  void Count(const std::string& aName) const { ++mState.mCounters[aName]; }
  void Log(int aLevel, const std::string& aMessage) const;
  [[nodiscard]] const std::string& Self() const noexcept
  {
    return mState.mSettings.id();
  }
};

/// \brief Levels of Log effects.
constexpr int kDebug = 0;
constexpr int kInfo = 1;
constexpr int kWarning = 2;
constexpr int kError = 3;

/// \brief Outcomes told to callers, in the header of every answer.
constexpr const char* kRan = "ran";
constexpr const char* kNotRun = "not-run";
constexpr const char* kUnknown = "unknown";

// --- admission.cpp: who may ask for what
/// \brief The request, or nothing once it has been refused.
[[nodiscard]] std::optional<Request> Admit(Context& aContext,
                                           const wire::RequestArrived& aEvent);

// --- entry.cpp: from arrival to the queue
void Arrive(Context& aContext, const wire::RequestArrived& aEvent);
void ClientLeft(Context& aContext, std::uint64_t aRequest);
void Enqueue(Context& aContext, Request& aRequest);
void Pump(Context& aContext, const std::string& aService);
void FireTimer(Context& aContext, TimerKind aKind, std::uint64_t aRequest);

/// \brief An answer that the system itself writes.
struct Reply
{
  std::uint32_t mStatus;
  const char* mOutcome;
  std::string mReason;
  Micros mRetryAfter = 0;
};

void AnswerAndForget(Context& aContext,
                     const Request& aRequest,
                     const Reply& aReply);
void AnswerAndDetach(Context& aContext, Request& aRequest, const Reply& aReply);
void Forget(Context& aContext, std::uint64_t aRequest);
[[nodiscard]] Micros ExpectedWait(const ServiceState& aService,
                                  const Request& aRequest) noexcept;
[[nodiscard]] routing::AttemptSpec AskOf(const Request& aRequest) noexcept;
[[nodiscard]] bool IsOverloaded(const ServiceState& aService) noexcept;

// --- attempts.cpp: from dispatch to the last byte
void StartAttempt(Context& aContext,
                  Request& aRequest,
                  std::size_t aTarget,
                  bool aHedge);
void TakeHead(Context& aContext, const wire::AttemptHead& aEvent);
void TakeEnd(Context& aContext, const wire::AttemptEnded& aEvent);
void CancelAttempts(Context& aContext,
                    Request& aRequest,
                    std::uint64_t aExcept);
void TryHedge(Context& aContext, Request& aRequest);

[[nodiscard]] Attempt* FindAttempt(Request& aRequest, std::uint64_t aNumber);
[[nodiscard]] retries::RetryState SituationOf(const ServiceState& aService,
                                              const Request& aRequest,
                                              retries::Effect aEffect);
[[nodiscard]] std::optional<std::size_t> PickUntried(Context& aContext,
                                                     const Request& aRequest);

// --- attempt_ends.cpp: what an attempt's end means for its request
void Break(Context& aContext, const Request& aRequest);

// --- keys.cpp: idempotency keys
void ClaimKey(Context& aContext, Request& aRequest);
void TakeRecord(Context& aContext,
                std::uint64_t aRequest,
                const wire::Command& aCommand,
                const wire::KeyRecord& aRecord);
void CompleteKey(Context& aContext,
                 const Request& aRequest,
                 const wire::StoredAnswer* aAnswer);
void ReleaseKey(Context& aContext, const Request& aRequest);

// --- proposals.cpp: commands to the control group and back
std::uint64_t Submit(Context& aContext, Proposal aProposal);
void RetryProposals(Context& aContext);
void TakeProposal(Context& aContext,
                  const std::string& aFrom,
                  const wire::Proposal& aMessage);
void TakeProposalReply(Context& aContext, const wire::ProposalReply& aMessage);
[[nodiscard]] Micros NextProposalTime(const State& aState) noexcept;

// --- group.cpp: the control group's consensus
void StartGroup(Context& aContext, const wire::Started& aEvent);
void TickGroup(Context& aContext);
void TakeConsensus(Context& aContext, const wire::ConsensusMessage& aMessage);
void TakeSync(Context& aContext, std::uint64_t aSequence);
void TakeSyncFailure(Context& aContext, const std::string& aReason);
void TakeJoin(Context& aContext, const wire::JoinRequest& aMessage);
void Drain(Context& aContext, consensus::Output aOutput);

// --- facts.cpp: the directory and how it spreads
void Publish(Context& aContext, const wire::Fact& aFact);
/// \brief Calls `aSend` for each host that a change is pushed to, and whether
/// it relays to its data centre; other data centres only if `aAcross`.
void ForEachSpread(Context& aContext,
                   bool aAcross,
                   const std::function<void(const std::string&, bool)>& aSend);
void TakeFacts(Context& aContext, const wire::FactPush& aMessage);
void Gossip(Context& aContext);
void TakeDigests(Context& aContext,
                 const std::string& aFrom,
                 const wire::DigestOffer& aMessage);
void TakeFactRequest(Context& aContext,
                     const std::string& aFrom,
                     const wire::FactRequest& aMessage);
void AnnounceSelf(Context& aContext);
void SyncTargets(Context& aContext, const std::string& aService);

// --- liveness.cpp: heartbeats, suspicion, leases
void Heartbeat(Context& aContext);
void SendHeartbeat(Context& aContext, const std::string& aHost);
void TakeHeartbeat(Context& aContext,
                   const std::string& aFrom,
                   std::uint64_t aIncarnation,
                   const wire::Heartbeat& aMessage);
void ExpireLeases(Context& aContext);

// --- targets.cpp: targets that announce themselves
void TakeAnnounce(Context& aContext, const wire::TargetAnnounced& aEvent);

// --- deployments.cpp: the configuration in force here
void TakeDeployment(Context& aContext, const wire::DeploymentVersion& aVersion);
void SpreadDeployment(Context& aContext, bool aAcross);
void TakeDeploymentPush(Context& aContext,
                        const std::string& aFrom,
                        const wire::DeploymentPush& aMessage);
void AskDeployment(Context& aContext);
void SendDeployment(Context& aContext, const std::string& aTo, bool aRelay);
void CheckReady(Context& aContext);

// --- operators.cpp
void TakeApply(Context& aContext, const wire::OperatorApply& aEvent);
void TakeDrain(Context& aContext, const wire::OperatorDrain& aEvent);
void AnswerOperation(Context& aContext,
                     std::uint64_t aOperation,
                     std::uint32_t aStatus,
                     const std::string& aBody);
void AnswerChange(Context& aContext,
                  std::uint64_t aOperation,
                  const wire::ChangeOutcome& aOutcome);
[[nodiscard]] std::string ErrorJson(const std::string& aCode,
                                    const std::string& aMessage);

// --- stop.cpp
void BeginStop(Context& aContext);
void ContinueStop(Context& aContext);

// --- step.cpp
void SendTo(Context& aContext,
            const std::string& aHost,
            wire::PeerMessage aMessage);
[[nodiscard]] std::string AddressOf(const State& aState,
                                    const std::string& aHost);
[[nodiscard]] bool IsControlHost(const State& aState, const std::string& aHost);

} // namespace geraniumpond::node
