#include "internal.h"

#include <geraniumpond/field_text.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

// Calls from targets and operators: each is submitted to the control group as a
// command and answered when the command completes.
namespace geraniumpond::gateway {

namespace {

/// Callers try another host after one second without an answer, so this host
/// answers before that.
constexpr Micros kOperationTimeout = 850 * kMillisecond;
/// A target may open a connection as soon as it is born, and this host's clock
/// may be behind the target's. Too long, it binds a target that starts again
/// within this time of its earlier incarnation's last connection.
constexpr Micros kClockMargin = 500 * kMillisecond;

constexpr std::array<const char*, 5> kOutcomeNames = {
  "done", "invalid", "conflict", "unavailable", "elsewhere",
};

const char* NameOf(OperationKind aKind)
{
  constexpr std::array<const char*, 5> names = {
    "target_announce", "target_withdraw", "policy_put",
    "policy_read",     "evacuation_set",
  };
  return names[static_cast<std::size_t>(aKind)];
}

} // namespace

void Answer(Context& aContext,
            AnswerOperation aAnswer,
            OperationKind aKind,
            const std::string& aSubject)
{
  const bool good = aAnswer.mEnd == OperationOutcome::Done ||
                    aAnswer.mEnd == OperationOutcome::Elsewhere;
  aContext.Log(good ? 1 : 2,
               std::string("event=") + NameOf(aKind) +
                 " outcome=" + ToString(aAnswer.mEnd) + " policy=" +
                 std::to_string(aContext.mState.mFleet.mCatalog.mVersion) +
                 " leader=" + aContext.mState.mFleet.mLeaderAddress +
                 (aSubject.empty() ? "" : " " + aSubject) + " reason=\"" +
                 aAnswer.mReason + "\"");
  aContext.mOut.emplace_back(std::move(aAnswer));
}

void SubmitCommand(Context& aContext,
                   const Operation& aOperation,
                   const wire::CatalogCommand& aCommand)
{
  State& state = aContext.mState;
  fleet::Output output;
  const std::uint64_t id = fleet::Submit(
    state.mFleet, aContext.mNow, aCommand, kOperationTimeout, output);
  state.mOperations[id] = aOperation;
  ApplyFleetOutput(aContext, std::move(output));
}

namespace {

// A call that states no birth can only come from an incarnation that was born
// before the call's connection was opened; a delayed copy of an earlier
// incarnation's call comes over an older connection than the later birth.
wire::RemoveTarget BindToIncarnation(const Withdraw& aCall)
{
  wire::RemoveTarget removal = aCall.mRemoval;
  if (removal.born_ms() == 0) {
    removal.set_unstated(true);
    removal.set_born_ms(static_cast<std::uint64_t>(
      std::max<Micros>(0, aCall.mOpenedAt + kClockMargin) / kMillisecond));
  }
  return removal;
}

// Callers do not repeat a call that ends in a conflict. An order refused only
// for an outdated revision may still be wanted, so it ends as unavailable,
// which callers repeat.
OperationOutcome EndOfCommitted(const Operation& aOperation,
                                const wire::CatalogOutcome& aOutcome)
{
  const bool hasOutdatedRevision =
    aOperation.mKind == OperationKind::SetEvacuation &&
    aOutcome.evacuation_revision() != aOperation.mEvacuation.base_revision();
  if (aOutcome.accepted()) {
    return OperationOutcome::Done;
  }
  return hasOutdatedRevision ? OperationOutcome::Unavailable
                             : OperationOutcome::Conflict;
}

std::string Describe(const fleet::ReadTrace& aRead,
                     const State& aState,
                     Micros aNow)
{
  const std::optional<Micros> age = fleet::ConfirmationAge(aState.mFleet, aNow);
  return "answered_by=" + aRead.mLeader +
         " tries=" + std::to_string(aRead.mTries) +
         " took_ms=" + std::to_string(aRead.mElapsed / kMillisecond) +
         " at_leader_ms=" + std::to_string(aRead.mLeaderWait / kMillisecond) +
         " word_age_ms=" +
         (age ? std::to_string(*age / kMillisecond) : std::string("none"));
}

// The outcome carries the leader's policy version. The read completes now if
// this host has that version or the leader sent the policy along.
void CompleteRead(Context& aContext,
                  const Operation& aOperation,
                  const fleet::Completion& aDone)
{
  State& state = aContext.mState;
  const catalog::State& catalog = state.mFleet.mCatalog;
  AnswerOperation answer{
    aOperation.mId, OperationOutcome::Unavailable, "", "", ""
  };
  answer.mReason = Describe(aDone.mRead, state, aContext.mNow);
  const std::uint64_t version = aDone.mOutcome.version();
  if (aDone.mEnd != fleet::SubmitResult::Committed) {
    answer.mReason += ", " + aDone.mReason;
  } else if (version == 0) {
    answer.mReason += ", no policy yet";
  } else if (aOperation.mElsewhere && !aDone.mRead.mLeader.empty()) {
    answer.mEnd = OperationOutcome::Elsewhere;
    answer.mElsewhere = aDone.mRead.mLeader;
  } else if (catalog.mVersion >= version) {
    answer.mEnd = OperationOutcome::Done;
    answer.mDocument = catalog.mDocument;
  } else if (!aDone.mPolicy) {
    // A leader that runs an earlier release neither gives its address nor sends
    // the policy.
    state.mReads.push_back({ aOperation.mId, version, aDone.mRead.mGiveUpAt });
    return;
  } else if (Result<std::string> document =
               catalog::UnpackDocument(*aDone.mPolicy)) {
    answer.mEnd = OperationOutcome::Done;
    answer.mDocument = std::move(document.value());
  } else {
    answer.mReason += ", " + document.error().mMessage;
  }
  Answer(aContext, std::move(answer), OperationKind::ReadPolicy);
}

} // namespace

const char* ToString(OperationOutcome aEnd) noexcept
{
  return kOutcomeNames[static_cast<std::size_t>(aEnd)];
}

void CompleteOperation(Context& aContext, const fleet::Completion& aDone)
{
  State& state = aContext.mState;
  const auto found = state.mOperations.find(aDone.mId);
  if (found == state.mOperations.end()) {
    return;
  }
  const Operation operation = found->second;
  state.mOperations.erase(found);
  const bool committed = aDone.mEnd == fleet::SubmitResult::Committed;
  if (operation.mKind == OperationKind::ReadPolicy) {
    CompleteRead(aContext, operation, aDone);
    return;
  }
  if (committed && operation.mKind == OperationKind::SetEvacuation) {
    LearnEvacuationRevision(state,
                            operation.mEvacuation.data_centre(),
                            aDone.mOutcome.evacuation_revision());
  }
  AnswerOperation answer{ operation.mId, OperationOutcome::Done, "", "", "" };
  // A withdrawal has fields of its own for what it names.
  const bool isWithdrawal = operation.mKind == OperationKind::Withdraw;
  answer.mReason = isWithdrawal ? "" : operation.mSubject + " ";
  if (!committed) {
    answer.mEnd = OperationOutcome::Unavailable;
    answer.mReason += aDone.mReason;
  } else {
    answer.mEnd = EndOfCommitted(operation, aDone.mOutcome);
    answer.mReason += aDone.mOutcome.reason();
  }
  Answer(aContext,
         std::move(answer),
         operation.mKind,
         isWithdrawal ? operation.mSubject : "");
}

void AnswerReads(Context& aContext)
{
  State& state = aContext.mState;
  const catalog::State& catalog = state.mFleet.mCatalog;
  for (auto it = state.mReads.begin(); it != state.mReads.end();) {
    const bool current = catalog.mVersion >= it->mVersion;
    if (!current && aContext.mNow < it->mGiveUpAt) {
      ++it;
      continue;
    }
    AnswerOperation answer{
      it->mOperation, OperationOutcome::Done, "", "", ""
    };
    if (!current || catalog.mVersion == 0) {
      answer.mEnd = OperationOutcome::Unavailable;
      answer.mReason = current ? "no policy yet" : "behind the group";
    } else {
      answer.mDocument = catalog.mDocument;
    }
    Answer(aContext, std::move(answer), OperationKind::ReadPolicy);
    it = state.mReads.erase(it);
  }
}

void Refuse(Context& aContext,
            std::uint64_t aOperation,
            OperationKind aKind,
            const std::string& aReason)
{
  Answer(aContext,
         { aOperation, OperationOutcome::Invalid, aReason, "", "" },
         aKind);
}

namespace {

// A known target may announce nothing but its warm-up.
void RecordWarmUp(Context& aContext, const wire::TargetRecord& aRecord)
{
  dispatch::Effects effects;
  dispatch::HandleAnnouncedWarmUp(
    aContext.mState.mDispatch, aContext.mNow, aRecord, effects);
  AppendEffects(aContext, std::move(effects));
}

} // namespace

void HandleAnnounce(Context& aContext, const Announce& aCall)
{
  // The id is sent in a header field of each request.
  if (!IsFieldText(aCall.mRecord.id())) {
    Refuse(aContext,
           aCall.mOperation,
           OperationKind::Announce,
           "an id that a header field cannot hold");
    return;
  }
  const catalog::State& catalog = aContext.mState.mFleet.mCatalog;
  if (!catalog::ChangesState(catalog, aCall.mRecord)) {
    // Renewals that change nothing are not logged.
    RecordWarmUp(aContext, aCall.mRecord);
    aContext.mOut.emplace_back(
      AnswerOperation{ aCall.mOperation, OperationOutcome::Done, "", "", "" });
    return;
  }
  wire::CatalogCommand command;
  *command.mutable_put_target() = aCall.mRecord;
  const std::string subject =
    "target=" + aCall.mRecord.id() +
    " sequence=" + std::to_string(aCall.mRecord.sequence()) +
    (aCall.mRecord.draining() ? " draining" : " ready");
  SubmitCommand(
    aContext, { aCall.mOperation, OperationKind::Announce, subject }, command);
}

void HandleWithdraw(Context& aContext, const Withdraw& aCall)
{
  const catalog::State& catalog = aContext.mState.mFleet.mCatalog;
  const wire::RemoveTarget removal = BindToIncarnation(aCall);
  const std::string subject =
    "target=" + removal.id() +
    (removal.unstated() ? " born_until_ms=" : " born_ms=") +
    std::to_string(removal.born_ms());
  if (catalog::IsRemoved(catalog, removal.id(), removal.born_ms())) {
    Answer(aContext,
           { aCall.mOperation, OperationOutcome::Done, "known", "", "" },
           OperationKind::Withdraw,
           subject);
    return;
  }
  wire::CatalogCommand command;
  *command.mutable_remove_target() = removal;
  SubmitCommand(
    aContext, { aCall.mOperation, OperationKind::Withdraw, subject }, command);
}

void HandlePutPolicy(Context& aContext, const PutPolicy& aCall)
{
  State& state = aContext.mState;
  const Result<policy::TrafficPolicy> decoded =
    state.mSettings.mDecodePolicy(aCall.mDocument);
  std::string fault;
  if (!decoded) {
    fault = decoded.error().mMessage;
  } else {
    const std::vector<std::string> faults = policy::Validate(decoded.value());
    fault = faults.empty() ? "" : faults.front();
  }
  if (!fault.empty()) {
    Refuse(aContext, aCall.mOperation, OperationKind::PutPolicy, fault);
    return;
  }
  wire::CatalogCommand command;
  const wire::PutPolicy change = catalog::MakePolicyChange(
    decoded.value().mVersion, decoded.value().mBaseVersion, aCall.mDocument);
  *command.mutable_put_policy() = change;
  SubmitCommand(aContext,
                { aCall.mOperation,
                  OperationKind::PutPolicy,
                  "version=" + std::to_string(change.version()) +
                    " base=" + std::to_string(change.base_version()) },
                command);
}

void HandleReadPolicy(Context& aContext, const ReadPolicy& aCall)
{
  State& state = aContext.mState;
  Operation operation{ aCall.mOperation, OperationKind::ReadPolicy, "" };
  operation.mElsewhere =
    aCall.mFollowsRedirect && !PolicyRedirect(state, aContext.mNow).empty();
  const std::uint64_t known = operation.mElsewhere
                                ? std::numeric_limits<std::uint64_t>::max()
                                : state.mFleet.mCatalog.mVersion;
  fleet::Output output;
  const std::uint64_t id =
    fleet::Read(state.mFleet, aContext.mNow, known, output);
  state.mOperations[id] = operation;
  ApplyFleetOutput(aContext, std::move(output));
}

} // namespace geraniumpond::gateway
