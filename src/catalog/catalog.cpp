#include <geraniumpond/catalog.h>

#include <geraniumpond/hash.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <sstream>

namespace geraniumpond::catalog {

namespace {

/// Policy documents and snapshots are so repetitive that the fastest level is
/// sufficient.
constexpr int kFastestLevel = 1;

// Two operators may use the same version number for different documents, so a
// change is identified by its version and the digest of its document.
wire::AcceptedChange IdentityOf(const wire::PutPolicy& aChange)
{
  wire::AcceptedChange identity;
  identity.set_version(aChange.version());
  identity.set_digest(aChange.digest());
  return identity;
}

bool WasAccepted(const State& aState, const wire::AcceptedChange& aIdentity)
{
  return std::any_of(aState.mAccepted.begin(),
                     aState.mAccepted.end(),
                     [&](const wire::AcceptedChange& aKnown) {
                       return aKnown.version() == aIdentity.version() &&
                              aKnown.digest() == aIdentity.digest();
                     });
}

wire::CatalogOutcome OutcomeOf(const State& aState,
                               bool aAccepted,
                               const std::string& aReason)
{
  wire::CatalogOutcome outcome;
  outcome.set_accepted(aAccepted);
  outcome.set_reason(aReason);
  outcome.set_version(aState.mVersion);
  return outcome;
}

wire::CatalogOutcome ApplyPolicy(State& aState, const wire::PutPolicy& aChange)
{
  const wire::AcceptedChange identity = IdentityOf(aChange);
  if (WasAccepted(aState, identity)) {
    return OutcomeOf(aState, true, "accepted before");
  }
  if (aChange.base_version() != aState.mVersion) {
    return OutcomeOf(aState,
                     false,
                     "it builds on version " +
                       std::to_string(aChange.base_version()) + ", version " +
                       std::to_string(aState.mVersion) + " is in force");
  }
  if (aChange.version() <= aState.mVersion) {
    return OutcomeOf(aState, false, "its version is not above the current one");
  }
  Result<std::string> document = UnpackDocument(aChange);
  if (!document) {
    return OutcomeOf(aState, false, document.error().mMessage);
  }
  aState.mVersion = aChange.version();
  aState.mChange = aChange;
  aState.mDocument = std::move(document.value());
  aState.mAccepted.push_back(identity);
  if (aState.mAccepted.size() > kMaxAcceptedChanges) {
    aState.mAccepted.pop_front();
  }
  return OutcomeOf(aState, true, "accepted");
}

void RecordRemoval(State& aState, const std::string& aId, std::uint64_t aBornMs)
{
  const auto [entry, added] = aState.mRemoved.emplace(aId, aBornMs);
  entry->second = std::max(entry->second, aBornMs);
  if (added) {
    aState.mRemovedOrder.push_back(aId);
  }
  if (aState.mRemovedOrder.size() > kMaxRemovedTargets) {
    aState.mRemoved.erase(aState.mRemovedOrder.front());
    aState.mRemovedOrder.pop_front();
  }
}

// Births say which of two targets at one address came later.
bool IsLaterAtSameAddress(const wire::TargetRecord& aLater,
                          const wire::TargetRecord& aEarlier)
{
  return aLater.address() == aEarlier.address() &&
         aLater.id() != aEarlier.id() && aEarlier.born_ms() != 0 &&
         aLater.born_ms() > aEarlier.born_ms();
}

const wire::TargetRecord* FindAt(const State& aState,
                                 const std::string& aAddress)
{
  const auto at = aState.mTargetAt.find(aAddress);
  return at == aState.mTargetAt.end() ? nullptr
                                      : &aState.mTargets.at(at->second);
}

// Equal births are told apart by id, so that all replicas choose the same.
void IndexAddress(State& aState, const wire::TargetRecord& aRecord)
{
  if (aRecord.born_ms() == 0) {
    return;
  }
  const wire::TargetRecord* known = FindAt(aState, aRecord.address());
  if (known == nullptr || known->born_ms() < aRecord.born_ms() ||
      (known->born_ms() == aRecord.born_ms() && aRecord.id() < known->id())) {
    aState.mTargetAt[aRecord.address()] = aRecord.id();
  }
}

void EraseTarget(State& aState, const std::string& aId)
{
  const auto found = aState.mTargets.find(aId);
  const std::string address = found->second.address();
  const auto at = aState.mTargetAt.find(address);
  const bool isIndexed = at != aState.mTargetAt.end() && at->second == aId;
  if (isIndexed) {
    aState.mTargetAt.erase(at);
  }
  aState.mTargets.erase(found);
  if (!isIndexed) {
    return;
  }
  for (const auto& [id, record] : aState.mTargets) {
    if (record.address() == address) {
      IndexAddress(aState, record);
    }
  }
}

// An address belongs to one target at a time: whoever had it before is gone,
// whether it said so or not.
void RemoveEarlierAtSameAddress(State& aState,
                                const wire::TargetRecord& aRecord)
{
  const wire::TargetRecord* known = FindAt(aState, aRecord.address());
  while (known != nullptr && IsLaterAtSameAddress(aRecord, *known)) {
    const std::string id = known->id();
    RecordRemoval(aState, id, known->born_ms());
    EraseTarget(aState, id);
    known = FindAt(aState, aRecord.address());
  }
}

wire::CatalogOutcome ApplyTarget(State& aState,
                                 const wire::TargetRecord& aRecord)
{
  if (!ChangesState(aState, aRecord)) {
    return OutcomeOf(aState, true, "known");
  }
  RemoveEarlierAtSameAddress(aState, aRecord);
  // Draining is final for an incarnation; a later incarnation of the same
  // target does not inherit it.
  const auto found = aState.mTargets.find(aRecord.id());
  const bool isKnown = found != aState.mTargets.end();
  const bool draining =
    aRecord.draining() || (isKnown && found->second.draining() &&
                           found->second.born_ms() == aRecord.born_ms());
  if (isKnown) {
    EraseTarget(aState, aRecord.id());
  }
  wire::TargetRecord& known = aState.mTargets[aRecord.id()];
  known = aRecord;
  known.set_draining(draining);
  IndexAddress(aState, known);
  return OutcomeOf(aState, true, "noted");
}

// What is recorded is the birth of the incarnation that was removed, not the
// bound of the call: by a host whose clock is ahead, the bound would keep out
// the next incarnation. Of an id that is not registered, only announcements
// without a birth are kept out.
wire::CatalogOutcome ApplyUnstatedRemoval(State& aState,
                                          const wire::RemoveTarget& aRemoval)
{
  const auto found = aState.mTargets.find(aRemoval.id());
  if (found == aState.mTargets.end()) {
    RecordRemoval(aState, aRemoval.id(), 0);
    return OutcomeOf(aState, true, "not registered");
  }
  const std::uint64_t born = found->second.born_ms();
  if (born > aRemoval.born_ms()) {
    return OutcomeOf(
      aState, true, "a later one stays, born_ms=" + std::to_string(born));
  }
  EraseTarget(aState, aRemoval.id());
  RecordRemoval(aState, aRemoval.id(), born);
  return OutcomeOf(aState, true, "removed, born_ms=" + std::to_string(born));
}

wire::CatalogOutcome ApplyRemoval(State& aState,
                                  const wire::RemoveTarget& aRemoval)
{
  if (aRemoval.unstated()) {
    return ApplyUnstatedRemoval(aState, aRemoval);
  }
  const auto found = aState.mTargets.find(aRemoval.id());
  const bool later = found != aState.mTargets.end() &&
                     found->second.born_ms() > aRemoval.born_ms();
  if (found != aState.mTargets.end() && !later) {
    EraseTarget(aState, aRemoval.id());
  }
  RecordRemoval(aState, aRemoval.id(), aRemoval.born_ms());
  return OutcomeOf(aState, true, later ? "a later one stays" : "removed");
}

// Replicas may have counted differently while releases were mixed, so one that
// is lower follows the sender.
bool IsOutdated(const Evacuation& aKnown, const wire::SetEvacuation& aChange)
{
  return aChange.always_raises() ? aKnown.mRevision > aChange.base_revision()
                                 : aKnown.mRevision != aChange.base_revision();
}

std::uint64_t NextRevision(const Evacuation& aKnown,
                           const wire::SetEvacuation& aChange)
{
  return 1 +
         (aChange.always_raises() ? aChange.base_revision() : aKnown.mRevision);
}

// Orders have no number of their own. A copy that arrives after a later order
// is recognised by its base revision. An order for the state in force raises
// the revision too: otherwise a delayed order for the opposite state, sent
// before it, would still match and undo it. Logs of earlier releases hold
// orders for which it did not; they keep the result that was acknowledged.
wire::CatalogOutcome ApplyEvacuation(State& aState,
                                     const wire::SetEvacuation& aChange)
{
  const auto found = aState.mEvacuations.find(aChange.data_centre());
  const bool isKnown = found != aState.mEvacuations.end();
  const Evacuation known = isKnown ? found->second : Evacuation();
  wire::CatalogOutcome outcome;
  if (!aChange.always_raises() && known.mActive == aChange.evacuated()) {
    outcome = OutcomeOf(aState, true, "known");
  } else if (IsOutdated(known, aChange)) {
    outcome = OutcomeOf(aState, false, "a later order is in force");
  } else if (!isKnown && aState.mEvacuations.size() >= kMaxEvacuations) {
    // An unlisted data centre cannot be evacuated any more, so no delayed order
    // can undo this one, and it needs no revision.
    outcome = aChange.evacuated()
                ? OutcomeOf(aState, false, "too many data centres")
                : OutcomeOf(aState, true, "known");
  } else {
    aState.mEvacuations[aChange.data_centre()] = {
      aChange.evacuated(), NextRevision(known, aChange)
    };
    outcome = OutcomeOf(aState, true, "accepted");
  }
  outcome.set_evacuation_revision(
    EvacuationRevision(aState, aChange.data_centre()));
  return outcome;
}

} // namespace

std::uint64_t EvacuationRevision(const State& aState,
                                 const std::string& aDataCentre)
{
  const auto found = aState.mEvacuations.find(aDataCentre);
  return found == aState.mEvacuations.end() ? 0 : found->second.mRevision;
}

std::set<std::string> EvacuatedDataCentres(const State& aState)
{
  std::set<std::string> evacuated;
  for (const auto& [dataCentre, evacuation] : aState.mEvacuations) {
    if (evacuation.mActive) {
      evacuated.insert(dataCentre);
    }
  }
  return evacuated;
}

bool ChangesTargets(const wire::CatalogCommand& aCommand)
{
  return aCommand.has_put_target() || aCommand.has_remove_target() ||
         aCommand.has_set_evacuation();
}

bool IsRemoved(const State& aState,
               const std::string& aId,
               std::uint64_t aBornMs)
{
  const auto found = aState.mRemoved.find(aId);
  return found != aState.mRemoved.end() && aBornMs <= found->second;
}

bool ChangesState(const State& aState, const wire::TargetRecord& aRecord)
{
  if (IsRemoved(aState, aRecord.id(), aRecord.born_ms())) {
    return false;
  }
  const auto found = aState.mTargets.find(aRecord.id());
  if (found == aState.mTargets.end()) {
    const wire::TargetRecord* holder = FindAt(aState, aRecord.address());
    return holder == nullptr || !IsLaterAtSameAddress(*holder, aRecord);
  }
  return ChangesRecord(found->second, aRecord);
}

bool ChangesRecord(const wire::TargetRecord& aKnown,
                   const wire::TargetRecord& aRecord)
{
  // Each incarnation numbers its announcements from the start.
  if (aRecord.born_ms() != aKnown.born_ms()) {
    return aRecord.born_ms() > aKnown.born_ms();
  }
  if (aRecord.sequence() <= aKnown.sequence()) {
    return false;
  }
  // The address and service of an incarnation never change; an announcement
  // with others comes from another process.
  const bool same = aRecord.address() == aKnown.address() &&
                    aRecord.service() == aKnown.service();
  return same && ((aRecord.draining() && !aKnown.draining()) ||
                  aRecord.slots() != aKnown.slots() ||
                  aRecord.data_centre() != aKnown.data_centre());
}

wire::PutPolicy MakePolicyChange(std::uint64_t aVersion,
                                 std::uint64_t aBaseVersion,
                                 const std::string& aDocument)
{
  wire::PutPolicy change;
  change.set_version(aVersion);
  change.set_base_version(aBaseVersion);
  change.set_digest(Hash64(aDocument));
  change.set_packed_document(Compress(aDocument));
  return change;
}

Result<std::string> UnpackDocument(const wire::PutPolicy& aChange)
{
  Result<std::string> document = Decompress(aChange.packed_document());
  if (!document) {
    return Fail(ErrorCode::Corrupt, "policy: " + document.error().mMessage);
  }
  if (Hash64(document.value()) != aChange.digest()) {
    return Fail(ErrorCode::Corrupt, "policy: the text is not whole");
  }
  return document;
}

std::string Compress(const std::string& aBytes)
{
  std::ostringstream packed;
  Poco::DeflatingOutputStream deflater(
    packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, kFastestLevel);
  deflater << aBytes;
  deflater.close();
  return packed.str();
}

Result<std::string> Decompress(const std::string& aPacked)
{
  std::string bytes;
  try {
    std::istringstream packed(aPacked);
    Poco::InflatingInputStream inflater(packed);
    Poco::StreamCopier::copyToString(inflater, bytes);
  } catch (const Poco::Exception& error) {
    return Fail(ErrorCode::Corrupt, error.displayText());
  }
  return bytes;
}

wire::CatalogOutcome Apply(State& aState, const wire::CatalogCommand& aCommand)
{
  switch (aCommand.body_case()) {
    case wire::CatalogCommand::kPutPolicy:
      return ApplyPolicy(aState, aCommand.put_policy());
    case wire::CatalogCommand::kPutTarget:
      return ApplyTarget(aState, aCommand.put_target());
    case wire::CatalogCommand::kRemoveTarget:
      return ApplyRemoval(aState, aCommand.remove_target());
    case wire::CatalogCommand::kReadBarrier:
      return OutcomeOf(aState, true, "read");
    case wire::CatalogCommand::kSetEvacuation:
      return ApplyEvacuation(aState, aCommand.set_evacuation());
    case wire::CatalogCommand::BODY_NOT_SET:
      break;
  }
  return OutcomeOf(aState, false, "an unknown command");
}

bool ReplacePolicy(State& aState, const wire::PutPolicy& aChange)
{
  if (aChange.version() <= aState.mVersion) {
    return false;
  }
  Result<std::string> document = UnpackDocument(aChange);
  if (!document) {
    return false;
  }
  aState.mVersion = aChange.version();
  aState.mChange = aChange;
  aState.mDocument = std::move(document.value());
  return true;
}

std::string Save(const State& aState)
{
  wire::CatalogSnapshot snapshot;
  if (aState.mVersion > 0) {
    *snapshot.mutable_policy() = aState.mChange;
  }
  for (const wire::AcceptedChange& change : aState.mAccepted) {
    *snapshot.add_accepted() = change;
  }
  for (const auto& [id, record] : aState.mTargets) {
    *snapshot.add_targets() = record;
  }
  for (const std::string& id : aState.mRemovedOrder) {
    wire::RemoveTarget& removed = *snapshot.add_removed();
    removed.set_id(id);
    removed.set_born_ms(aState.mRemoved.at(id));
  }
  for (const auto& [dataCentre, evacuation] : aState.mEvacuations) {
    wire::Evacuation& saved = *snapshot.add_evacuations();
    saved.set_data_centre(dataCentre);
    saved.set_evacuated(evacuation.mActive);
    saved.set_revision(evacuation.mRevision);
  }
  return snapshot.SerializeAsString();
}

Result<State> Load(const std::string& aBytes)
{
  wire::CatalogSnapshot snapshot;
  if (!snapshot.ParseFromString(aBytes)) {
    return Fail(ErrorCode::Corrupt, "catalog snapshot does not parse");
  }
  State state;
  if (snapshot.has_policy()) {
    Result<std::string> document = UnpackDocument(snapshot.policy());
    if (!document) {
      return document.error();
    }
    state.mVersion = snapshot.policy().version();
    state.mChange = snapshot.policy();
    state.mDocument = std::move(document.value());
  }
  state.mAccepted.assign(snapshot.accepted().begin(),
                         snapshot.accepted().end());
  for (const wire::TargetRecord& record : snapshot.targets()) {
    state.mTargets[record.id()] = record;
    IndexAddress(state, record);
  }
  for (const std::string& id : snapshot.removed_targets()) {
    RecordRemoval(state, id, 0);
  }
  for (const wire::RemoveTarget& removed : snapshot.removed()) {
    RecordRemoval(state, removed.id(), removed.born_ms());
  }
  for (const wire::Evacuation& saved : snapshot.evacuations()) {
    state.mEvacuations[saved.data_centre()] = { saved.evacuated(),
                                                saved.revision() };
  }
  return state;
}

} // namespace geraniumpond::catalog
