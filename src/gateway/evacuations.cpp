#include "internal.h"

#include <algorithm>

// Operators' orders to withdraw a data centre's targets from service, or to
// return them to it. An order has no number and no time of its own, and may be
// late: its bytes were held up, or the host read them long after they came. Its
// operator has turned to another host meanwhile, and may have ordered the
// opposite. So an order builds on the revision that this host knew before the
// order can have been sent, and the group refuses it if any came after that.
namespace geraniumpond::gateway {

namespace {

bool IsKnownDataCentre(const State& aState, const std::string& aDataCentre)
{
  const std::vector<std::string>& known = aState.mSettings.mDataCentres;
  return !aDataCentre.empty() &&
         (known.empty() ||
          std::find(known.begin(), known.end(), aDataCentre) != known.end());
}

KnownRevision RevisionOf(const State& aState, const std::string& aDataCentre)
{
  const auto found = aState.mEvacuationRevisions.find(aDataCentre);
  return found == aState.mEvacuationRevisions.end() ? KnownRevision()
                                                    : found->second;
}

std::string Describe(const SetEvacuation& aCall, const KnownRevision& aKnown)
{
  return "data_centre=" + aCall.mDataCentre +
         (aCall.mEvacuated ? " evacuated" : " in_service") +
         " revision=" + std::to_string(aKnown.mRevision) +
         " known_since_step=" + std::to_string(aKnown.mSinceStep) +
         " sent_after_step=" + std::to_string(aCall.mSentAfterStep);
}

} // namespace

void LearnEvacuationRevision(State& aState,
                             const std::string& aDataCentre,
                             std::uint64_t aRevision)
{
  KnownRevision& known = aState.mEvacuationRevisions[aDataCentre];
  if (aRevision > known.mRevision) {
    known = { aRevision, aState.mSteps };
  }
}

void LearnEvacuationRevisions(State& aState)
{
  for (const auto& [dataCentre, evacuation] :
       aState.mFleet.mCatalog.mEvacuations) {
    LearnEvacuationRevision(aState, dataCentre, evacuation.mRevision);
  }
}

// Callers repeat an unavailable call. What they send after its answer is newer
// than what this host knows, so that an order that is wanted is taken then.
void HandleSetEvacuation(Context& aContext, const SetEvacuation& aCall)
{
  const State& state = aContext.mState;
  if (!IsKnownDataCentre(state, aCall.mDataCentre)) {
    Refuse(aContext,
           aCall.mOperation,
           OperationKind::SetEvacuation,
           "unknown data centre '" + aCall.mDataCentre + "'");
    return;
  }
  const KnownRevision known = RevisionOf(state, aCall.mDataCentre);
  const std::string subject = Describe(aCall, known);
  if (aCall.mSentAfterStep < known.mSinceStep) {
    AnswerOperation answer;
    answer.mOperation = aCall.mOperation;
    answer.mReason = "it may have been sent before a later order";
    Answer(aContext, std::move(answer), OperationKind::SetEvacuation, subject);
    return;
  }
  Operation operation{ aCall.mOperation,
                       OperationKind::SetEvacuation,
                       subject };
  operation.mEvacuation.set_data_centre(aCall.mDataCentre);
  operation.mEvacuation.set_evacuated(aCall.mEvacuated);
  operation.mEvacuation.set_always_raises(true);
  operation.mEvacuation.set_base_revision(known.mRevision);
  wire::CatalogCommand command;
  *command.mutable_set_evacuation() = operation.mEvacuation;
  SubmitCommand(aContext, operation, command);
}

} // namespace geraniumpond::gateway
