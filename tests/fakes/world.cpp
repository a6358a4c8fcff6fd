#include "world.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr Micros kSyncMin = 200;
constexpr Micros kSyncMax = 3000;
constexpr Micros kServiceTime = 5 * kMillisecond;

void ApplyRecord(FakeDisk& aDisk, const wire::LogRecord& aRecord)
{
  if (aRecord.has_hard_state()) {
    aDisk.mHard = aRecord.hard_state();
  } else if (aRecord.has_entry()) {
    aDisk.mEntries.push_back(aRecord.entry());
  } else {
    while (!aDisk.mEntries.empty() &&
           aDisk.mEntries.back().index() >= aRecord.truncate_from()) {
      aDisk.mEntries.pop_back();
    }
  }
}

} // namespace

std::string SmallDeployment(int aEdition)
{
  return "[deployment]\nname = small\nkey_retention_s = 3600\n"
         "[service consent]\nslots = 2\nslow_start_ms = 0\nlease_ms = 600000\n"
         "retry_percent = 100\nqueue_limit = " +
         std::to_string(100 + aEdition) +
         "\ntarget_token_sha256 = " + Sha256Hex("target") +
         "\n[kind sign]\nservice = consent\nmethods = POST\n"
         "path = /consent/permissions\nidempotent = no\nkey_required = yes\n"
         "deadline_ms = 2000\nobjective_ms = 500\n"
         "[kind check]\nservice = consent\nmethods = GET\n"
         "path = /consent/roster\nidempotent = yes\npriority = urgent\n"
         "deadline_ms = 1000\nobjective_ms = 100\n"
         "[caller school]\nservices = consent\ntoken_sha256 = " +
         Sha256Hex("school") +
         "\n[caller rival]\nservices = consent\ntoken_sha256 = " +
         Sha256Hex("rival") + "\n";
}

World::World(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

double World::Chance()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

void World::AddViolation(const std::string& aWhat)
{
  mViolations.push_back(std::to_string(mNow) + ": " + aWhat);
}

void World::AddHosts(int aControls, int aEntries)
{
  std::vector<wire::Peer> voters;
  for (int i = 0; i < aControls; ++i) {
    wire::Peer peer;
    peer.set_id("c" + std::to_string(i));
    peer.set_address(peer.id());
    voters.push_back(peer);
  }
  for (int i = 0; i < aControls + aEntries; ++i) {
    const bool control = i < aControls;
    const std::string id = control ? voters[static_cast<std::size_t>(i)].id()
                                   : "e" + std::to_string(i - aControls);
    FakeHost& host = mHosts[id];
    host.mSettings.set_id(id);
    host.mSettings.set_data_centre("dc" + std::to_string(i % 3));
    host.mSettings.set_caller_address(id);
    host.mSettings.set_peer_address(id);
    host.mSettings.set_entry(!control);
    host.mSettings.set_control(control);
    host.mSettings.set_operator_token_sha256(Sha256Hex("operator"));
    host.mSettings.set_answer_keep_ms(1000);
    for (const wire::Peer& voter : voters) {
      *host.mSettings.add_voters() = voter;
    }
    host.mDisk.mHard.set_storage(consensus::kFoundingStorage);
    *host.mDisk.mSnapshot.mutable_membership() =
      consensus::InitialMembership(voters);
  }
}

void World::Start(const std::string& aHost)
{
  FakeHost& host = mHosts.at(aHost);
  host.mUp = true;
  host.mTimerAt = 0;
  host.mIncarnation =
    std::max(host.mIncarnation + 1, static_cast<std::uint64_t>(mNow));
  wire::Event event;
  wire::Started& started = *event.mutable_started();
  *started.mutable_settings() = host.mSettings;
  started.set_incarnation(host.mIncarnation);
  *started.mutable_hard_state() = host.mDisk.mHard;
  *started.mutable_snapshot() = host.mDisk.mSnapshot;
  for (const wire::Entry& entry : host.mDisk.mEntries) {
    *started.add_entries() = entry;
  }
  if (host.mDisk.mCache.version() > 0) {
    *started.mutable_cached() = host.mDisk.mCache;
  }
  ProcessEvent(host, std::move(event));
}

void World::StartAll()
{
  for (auto& [id, host] : mHosts) {
    Start(id);
  }
}

void World::Crash(const std::string& aHost)
{
  FakeHost& host = mHosts.at(aHost);
  host.mUp = false;
  host.mDisk.mUnsynced.clear();
  host.mState = node::State();
}

void World::ReplaceDisk(const std::string& aHost)
{
  FakeHost& host = mHosts.at(aHost);
  const int replacements = host.mDisk.mReplacements + 1;
  host.mDisk = FakeDisk();
  host.mDisk.mReplacements = replacements;
  host.mDisk.mHard.set_storage("disk-" + std::to_string(replacements));
  host.mHighestVersion = 0;
}

void World::FailDisk(const std::string& aHost)
{
  wire::Event event;
  event.mutable_sync_failed()->set_reason("no space left");
  Schedule(aHost, mNow, std::move(event));
}

void World::Partition(const std::set<std::string>& aPartition)
{
  mPartition = aPartition;
}

bool World::IsPartitioned(const std::string& aFrom,
                          const std::string& aTo) const
{
  return mPartition.count(aFrom) != mPartition.count(aTo);
}

void World::Schedule(const std::string& aHost, Micros aAt, wire::Event aEvent)
{
  mQueue.push(
    { aAt, ++mOrder, aHost, mHosts.at(aHost).mIncarnation, std::move(aEvent) });
}

void World::Announce(const std::string& aHost,
                     const std::string& aService,
                     const std::string& aId,
                     bool aDraining)
{
  wire::Event event;
  wire::TargetAnnounced& announced = *event.mutable_announced();
  announced.set_operation(++mLastOperation);
  announced.set_token_sha256(Sha256Hex("target"));
  announced.set_service(aService);
  announced.set_id(aId);
  announced.set_address(aId);
  announced.set_data_centre("dc0");
  announced.set_slots(2);
  announced.set_incarnation(1);
  announced.set_draining(aDraining);
  Schedule(aHost, mNow, std::move(event));
}

std::uint64_t World::Request(const std::string& aHost,
                             const std::string& aKey,
                             const std::string& aBody,
                             const std::string& aPath,
                             const std::string& aToken)
{
  const std::uint64_t id = ++mLastRequest;
  mRequests[id] = { aHost, mHosts.at(aHost).mIncarnation, aKey, {}, 0 };
  wire::Event event;
  wire::RequestArrived& arrived = *event.mutable_request();
  arrived.set_request(id);
  arrived.set_token_sha256(Sha256Hex(aToken));
  arrived.set_method(aKey.empty() ? "GET" : "POST");
  arrived.set_path(aPath);
  arrived.set_idempotency_key(aKey);
  arrived.set_body_digest(Sha256Hex(aBody));
  Schedule(aHost, mNow, std::move(event));
  return id;
}

std::uint64_t World::Apply(const std::string& aHost,
                           const std::string& aChangeId,
                           std::uint64_t aExpected,
                           const std::string& aText)
{
  wire::Event event;
  wire::OperatorApply& apply = *event.mutable_apply();
  apply.set_operation(++mLastOperation);
  apply.set_token_sha256(Sha256Hex("operator"));
  apply.mutable_apply()->set_change_id(aChangeId);
  apply.mutable_apply()->set_operator_name("op-" + aHost);
  apply.mutable_apply()->set_expected_version(aExpected);
  apply.mutable_apply()->set_text(aText);
  Schedule(aHost, mNow, std::move(event));
  return mLastOperation;
}

std::uint64_t World::Drain(const std::string& aHost,
                           const std::string& aService,
                           const std::string& aTarget)
{
  wire::Event event;
  wire::OperatorDrain& drain = *event.mutable_drain();
  drain.set_operation(++mLastOperation);
  drain.set_token_sha256(Sha256Hex("operator"));
  drain.set_what("target");
  drain.set_service(aService);
  drain.set_id(aTarget);
  Schedule(aHost, mNow, std::move(event));
  return mLastOperation;
}

void World::Stop(const std::string& aHost)
{
  wire::Event event;
  event.mutable_stop();
  Schedule(aHost, mNow, std::move(event));
}

void World::RunFor(Micros aTime)
{
  RunUntil([] { return false; }, aTime);
}

bool World::RunUntil(const std::function<bool()>& aCondition, Micros aLimit)
{
  const Micros end = mNow + aLimit;
  while (!aCondition()) {
    if (mQueue.empty() || mQueue.top().mAt > end) {
      mNow = end;
      return aCondition();
    }
    Pending next = mQueue.top();
    mQueue.pop();
    mNow = std::max(mNow, next.mAt);
    FakeHost& host = mHosts.at(next.mHost);
    if (!host.mUp || host.mIncarnation != next.mIncarnation) {
      continue;
    }
    if (next.mEvent.has_tick() && next.mAt != host.mTimerAt) {
      continue;
    }
    ProcessEvent(host, std::move(next.mEvent));
    if (mAfterStep) {
      mAfterStep();
    }
  }
  return true;
}

std::string World::Leader() const
{
  for (const auto& [id, host] : mHosts) {
    if (host.mUp && host.mSettings.control() &&
        consensus::IsLeader(host.mState.mGroup)) {
      return id;
    }
  }
  return "";
}

void World::ProcessEvent(FakeHost& aHost, wire::Event aEvent)
{
  aEvent.set_now_us(mNow);
  aEvent.set_random(mRandom());
  if (aEvent.has_sync_done()) {
    Sync(aHost, aEvent.sync_done().sequence());
  }
  const wire::Effects effects = node::Step(aHost.mState, aEvent);
  for (const wire::Effect& effect : effects.effects()) {
    Perform(aHost, effect);
  }
  CheckVersions(aHost);
}

void World::CheckVersions(FakeHost& aHost)
{
  const wire::DeploymentVersion& version = aHost.mState.mVersion;
  if (version.version() < aHost.mHighestVersion) {
    AddViolation(aHost.mSettings.id() + " reverted to version " +
                 std::to_string(version.version()));
  }
  if (version.version() > aHost.mHighestVersion) {
    aHost.mHighestVersion = version.version();
    const auto [known, fresh] =
      mTextOfVersion.emplace(version.version(), version.text());
    if (!fresh && known->second != version.text()) {
      AddViolation("two texts of version " + std::to_string(version.version()));
    }
  }
  const consensus::State& group = aHost.mState.mGroup;
  if (aHost.mSettings.control() && consensus::IsLeader(group)) {
    const auto [leader, fresh] =
      mLeaderOfTerm.emplace(group.mTerm, aHost.mSettings.id());
    if (!fresh && leader->second != aHost.mSettings.id()) {
      AddViolation("two leaders in term " + std::to_string(group.mTerm));
    }
  }
}

void World::Perform(FakeHost& aHost, const wire::Effect& aEffect)
{
  switch (aEffect.body_case()) {
    case wire::Effect::kSend:
      Send(aHost, aEffect.send());
      break;
    case wire::Effect::kPersist:
      Persist(aHost, aEffect.persist());
      break;
    case wire::Effect::kTimer: {
      aHost.mTimerAt = std::max(aEffect.timer().at_us(), mNow);
      wire::Event event;
      event.mutable_tick();
      Schedule(aHost.mSettings.id(), aHost.mTimerAt, std::move(event));
      break;
    }
    case wire::Effect::kDispatch:
      RunAttempt(aHost, aEffect.dispatch());
      break;
    case wire::Effect::kAnswer: {
      const wire::Answer& answer = aEffect.answer();
      RecordAnswer(
        answer.request(),
        { answer.status(),
          answer.outcome(),
          answer.has_stored() ? answer.stored().body() : answer.reason(),
          answer.retry_after_ms(),
          mNow });
      break;
    }
    case wire::Effect::kAccept:
      RecordAnswer(aEffect.accept().request(),
                   { 200,
                     "ran",
                     mStoredAnswers[aEffect.accept().request()].body(),
                     0,
                     mNow });
      break;
    case wire::Effect::kOperation:
      mOperations[aEffect.operation().operation()] = {
        aEffect.operation().status(), aEffect.operation().body()
      };
      break;
    case wire::Effect::kCache:
      aHost.mDisk.mCache = aEffect.cache().deployment();
      break;
    case wire::Effect::kExit:
      aHost.mUp = false;
      break;
    default:
      break;
  }
}

void World::Send(const FakeHost& aHost, const wire::SendPeer& aSend)
{
  const std::string& from = aHost.mSettings.id();
  const std::size_t size = aSend.message().ByteSizeLong();
  ++mMessages;
  mBytes += size;
  mBytesFrom[from] += size;
  mBytesTo[aSend.to()] += size;
  if (mHosts.count(aSend.address()) == 0 ||
      IsPartitioned(from, aSend.address()) || Chance() < mRates.mLoss ||
      (mDrop && mDrop(aSend))) {
    return;
  }
  const int copies = Chance() < mRates.mDuplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Micros width = mRates.mDelayMax - mRates.mDelayMin;
    const Micros delay =
      mRates.mDelayMin +
      static_cast<Micros>(mRandom() % static_cast<std::uint64_t>(width + 1));
    wire::Event event;
    *event.mutable_peer() = aSend.message();
    Schedule(aSend.address(), mNow + delay, std::move(event));
  }
}

void World::Persist(FakeHost& aHost, const wire::Persist& aPersist)
{
  aHost.mDisk.mUnsynced.push_back(aPersist);
  wire::Event event;
  event.mutable_sync_done()->set_sequence(aPersist.sequence());
  const Micros delay =
    kSyncMin + static_cast<Micros>(mRandom() % (kSyncMax - kSyncMin));
  Schedule(aHost.mSettings.id(), mNow + delay, std::move(event));
}

void World::Sync(FakeHost& aHost, std::uint64_t aSequence)
{
  FakeDisk& disk = aHost.mDisk;
  std::size_t done = 0;
  while (done < disk.mUnsynced.size() &&
         disk.mUnsynced[done].sequence() <= aSequence) {
    const wire::Persist& persist = disk.mUnsynced[done];
    for (const wire::LogRecord& record : persist.records()) {
      ApplyRecord(disk, record);
    }
    if (persist.has_snapshot()) {
      disk.mSnapshot = persist.snapshot();
      disk.mEntries.clear();
      for (const wire::LogRecord& record : persist.retained()) {
        ApplyRecord(disk, record);
      }
    }
    ++done;
  }
  disk.mUnsynced.erase(disk.mUnsynced.begin(),
                       disk.mUnsynced.begin() +
                         static_cast<std::ptrdiff_t>(done));
}

void World::RecordRun(std::uint64_t aRequest, const wire::Dispatch& aDispatch)
{
  SentRequest& request = mRequests.at(aRequest);
  ++request.mRuns;
  ++mRunsByTarget[aDispatch.target()];
  if (request.mKey.empty()) {
    return;
  }
  const std::string key = aDispatch.caller() + "/" + request.mKey;
  if (++mRunsByKey[key] > 1) {
    AddViolation("key " + key + " ran twice");
  }
  if (request.mAnswer && request.mAnswer->mOutcome == "not-run") {
    AddViolation("request " + std::to_string(aRequest) +
                 " ran after 'not run'");
  }
}

void World::RunAttempt(const FakeHost& aHost, const wire::Dispatch& aDispatch)
{
  const std::uint64_t id = aDispatch.request();
  wire::Event event;
  wire::AttemptEnded& ended = *event.mutable_ended();
  ended.set_request(id);
  ended.set_attempt(aDispatch.attempt());
  Micros at = mNow + kServiceTime;
  double dice = Chance();
  const auto falls = [&](double aRate) {
    const bool yes = dice >= 0 && dice < aRate;
    dice -= aRate;
    return yes;
  };
  if (falls(mRates.mTargetNotSent)) {
    ended.set_end(wire::END_NOT_SENT);
  } else if (falls(mRates.mTargetRefuses)) {
    ended.set_end(wire::END_REFUSED);
  } else if (falls(mRates.mTargetBreaksBeforeRun)) {
    ended.set_end(wire::END_BROKEN_BEFORE_HEAD);
  } else if (falls(mRates.mTargetBreaksAfterRun)) {
    RecordRun(id, aDispatch);
    ended.set_end(wire::END_BROKEN_BEFORE_HEAD);
  } else if (falls(mRates.mTargetHangs)) {
    RecordRun(id, aDispatch);
    ended.set_end(wire::END_TIMED_OUT);
    at = aDispatch.deadline_us() + 2 * kSecond;
  } else {
    RecordRun(id, aDispatch);
    ended.set_end(wire::END_COMPLETE);
    ended.set_status(200);
    wire::StoredAnswer& answer = *ended.mutable_answer();
    answer.set_status(200);
    answer.set_body("run of " + std::to_string(id));
    mStoredAnswers[id] = answer;
    if (!aDispatch.buffer_answer()) {
      wire::Event head;
      head.mutable_head()->set_request(id);
      head.mutable_head()->set_attempt(aDispatch.attempt());
      head.mutable_head()->set_status(200);
      Schedule(aHost.mSettings.id(), at, std::move(head));
    }
  }
  Schedule(aHost.mSettings.id(), at, std::move(event));
}

void World::RecordAnswer(std::uint64_t aRequest, ClientAnswer aAnswer)
{
  SentRequest& request = mRequests.at(aRequest);
  if (request.mAnswer) {
    AddViolation("request " + std::to_string(aRequest) + " answered twice");
    return;
  }
  if (aAnswer.mOutcome == "not-run" && request.mRuns > 0) {
    AddViolation("request " + std::to_string(aRequest) +
                 " told 'not run' but ran");
  }
  request.mAnswer = std::move(aAnswer);
}

} // namespace geraniumpond::fakes
