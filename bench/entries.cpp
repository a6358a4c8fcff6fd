#include "entries.h"

#include <geraniumpond/hash.h>

namespace geraniumpond::bench {

namespace {

// Event times start late enough for every entry to be ready at time zero.
constexpr Micros kEpoch = 100 * kSecond;
constexpr Micros kDrainTime = 10 * kSecond;

std::string DeploymentText(const Scenario& aScenario)
{
  const std::string deadline =
    std::to_string(aScenario.mDeadline / kMillisecond);
  return "[deployment]\nname = bench\n[service s]\nslots = " +
         std::to_string(aScenario.mSlots) +
         "\nentries = " + std::to_string(aScenario.mEntries) +
         "\nslow_start_ms = 0\nlease_ms = 600000\nqueue_limit = 100000\n"
         "bulk_percent = 25\nretry_percent = 4\nhedge = " +
         (aScenario.mHedge ? "yes" : "no") +
         "\ntarget_token_sha256 = " + Sha256Hex("t") +
         "\n[kind urgent]\nservice = s\nmethods = GET\npath = /s/urgent\n"
         "idempotent = yes\npriority = urgent\nobjective_ms = 100\n"
         "deadline_ms = " +
         deadline +
         "\n[kind bulk]\nservice = s\nmethods = GET\npath = /s/bulk\n"
         "idempotent = yes\npriority = bulk\nobjective_ms = 10000\n"
         "deadline_ms = 30000\n[caller c]\nservices = s\ntoken_sha256 = " +
         Sha256Hex("c") + "\n";
}

std::string HostName(std::size_t aEntry)
{
  return "e" + std::to_string(aEntry);
}

std::string DataCentre(int aPlace)
{
  return "dc" + std::to_string(aPlace % kDataCentres);
}

} // namespace

Entries::Entries(Emulation& aWorld)
  : mWorld(aWorld)
  , mStates(static_cast<std::size_t>(aWorld.mScenario.mEntries))
  , mTimers(mStates.size())
{
  for (std::size_t entry = 0; entry < mStates.size(); ++entry) {
    Start(entry);
  }
}

void Entries::Start(std::size_t aEntry)
{
  wire::Event event;
  event.set_now_us(kEpoch - 10 * kSecond);
  wire::Started& started = *event.mutable_started();
  started.mutable_settings()->set_id(HostName(aEntry));
  started.mutable_settings()->set_data_centre(
    DataCentre(static_cast<int>(aEntry)));
  started.mutable_settings()->set_entry(true);
  started.set_incarnation(1);
  started.mutable_cached()->set_version(1);
  started.mutable_cached()->set_text(DeploymentText(mWorld.mScenario));
  (void)node::Step(mStates[aEntry], event);
  for (std::size_t i = 0; i < mWorld.mTargets.size(); ++i) {
    wire::Event announce;
    announce.set_now_us(kEpoch - 5 * kSecond);
    wire::TargetAnnounced& target = *announce.mutable_announced();
    target.set_token_sha256(Sha256Hex("t"));
    target.set_service("s");
    target.set_id("t" + std::to_string(i));
    target.set_address(std::to_string(i));
    target.set_data_centre(DataCentre(static_cast<int>(i)));
    target.set_slots(static_cast<std::uint32_t>(mWorld.mScenario.mSlots));
    target.set_incarnation(1);
    (void)node::Step(mStates[aEntry], announce);
  }
  IntroduceOthers(aEntry);
  wire::Event tick;
  tick.mutable_tick();
  Take(aEntry, std::move(tick));
}

// The other entries are known and heard; nothing else crosses between them.
void Entries::IntroduceOthers(std::size_t aEntry)
{
  for (std::size_t other = 0; other < mStates.size(); ++other) {
    if (other == aEntry) {
      continue;
    }
    wire::Event event;
    event.mutable_peer()->set_from(HostName(other));
    wire::Fact& fact = *event.mutable_peer()->mutable_fact_push()->add_facts();
    fact.set_kind(wire::FACT_HOST);
    fact.set_id(HostName(other));
    fact.set_incarnation(1);
    fact.set_sequence(1);
    fact.set_entry_role(true);
    fact.set_data_centre(DataCentre(static_cast<int>(other)));
    event.set_now_us(kEpoch);
    (void)node::Step(mStates[aEntry], event);
  }
  Hear(aEntry);
}

void Entries::Hear(std::size_t aEntry)
{
  for (std::size_t other = 0; other < mStates.size(); ++other) {
    wire::Event event;
    event.mutable_peer()->set_from(HostName(other));
    event.mutable_peer()->set_from_incarnation(1);
    event.mutable_peer()->mutable_heartbeat()->set_version(1);
    Take(aEntry, std::move(event));
  }
  if (mWorld.mNow < mWorld.mScenario.mLength + kDrainTime) {
    mWorld.At(mWorld.mNow + kSecond, [this, aEntry] { Hear(aEntry); });
  }
}

void Entries::Take(std::size_t aEntry, wire::Event aEvent)
{
  aEvent.set_now_us(kEpoch + mWorld.mNow);
  aEvent.set_random(mWorld.mRandom());
  const wire::Effects effects = node::Step(mStates[aEntry], aEvent);
  for (const wire::Effect& effect : effects.effects()) {
    Perform(aEntry, effect);
  }
}

void Entries::SetTimer(std::size_t aEntry, Micros aAt)
{
  const Micros at = std::max(aAt - kEpoch, mWorld.mNow + 1);
  mTimers[aEntry] = at;
  mWorld.At(at, [this, aEntry, at] {
    if (mTimers[aEntry] == at) {
      wire::Event tick;
      tick.mutable_tick();
      Take(aEntry, std::move(tick));
    }
  });
}

void Entries::Perform(std::size_t aEntry, const wire::Effect& aEffect)
{
  switch (aEffect.body_case()) {
    case wire::Effect::kTimer:
      SetTimer(aEntry, aEffect.timer().at_us());
      break;
    case wire::Effect::kDispatch:
      Dispatch(aEntry, aEffect.dispatch());
      break;
    case wire::Effect::kAccept:
      mAccepted.insert(aEffect.accept().attempt());
      mWorld.End(aEffect.accept().request(), true);
      break;
    case wire::Effect::kAnswer:
      if (aEffect.answer().outcome() == "not-run") {
        mWorld.Refuse(aEffect.answer().request());
      } else {
        mWorld.End(aEffect.answer().request(), false);
      }
      break;
    default:
      break;
  }
}

void Entries::Arrive(std::uint64_t aCall)
{
  const CallState& call = mWorld.mCalls[aCall];
  wire::Event event;
  wire::RequestArrived& arrived = *event.mutable_request();
  arrived.set_request(aCall);
  static const std::string token = Sha256Hex("c");
  arrived.set_token_sha256(token);
  arrived.set_method("GET");
  arrived.set_path(call.mBulk ? "/s/bulk" : "/s/urgent");
  Take(static_cast<std::size_t>(call.mEntry), std::move(event));
}

void Entries::Dispatch(std::size_t aEntry, const wire::Dispatch& aDispatch)
{
  const Work work{ aDispatch.request(),
                   aDispatch.attempt(),
                   static_cast<int>(aEntry) };
  mWorld.Send(work,
              std::stoi(aDispatch.address()),
              [this, aEntry](const Work& aWork, bool aOk, int aInFlight) {
                Return(aEntry, aWork, aOk, aInFlight);
              });
}

// A cancelled attempt still held its slot: targets of this emulation do not
// notice a cancel, which is the worse case.
void Entries::Return(std::size_t aEntry,
                     const Work& aWork,
                     bool aOk,
                     int aInFlight)
{
  wire::Event event;
  wire::AttemptHead& head = *event.mutable_head();
  head.set_request(aWork.mCall);
  head.set_attempt(aWork.mAttempt);
  head.set_status(aOk ? 200 : 500);
  mAccepted.erase(aWork.mAttempt);
  Take(aEntry, std::move(event));
  const bool accepted = mAccepted.erase(aWork.mAttempt) != 0;
  EndAttempt(aEntry,
             aWork,
             accepted ? wire::END_COMPLETE : wire::END_CANCELLED,
             aOk,
             aInFlight);
}

void Entries::EndAttempt(std::size_t aEntry,
                         const Work& aWork,
                         wire::AttemptEnd aEnd,
                         bool aOk,
                         int aInFlight)
{
  wire::Event event;
  wire::AttemptEnded& ended = *event.mutable_ended();
  ended.set_request(aWork.mCall);
  ended.set_attempt(aWork.mAttempt);
  ended.set_end(aEnd);
  ended.set_status(aOk ? 200 : 500);
  ended.mutable_load()->set_present(true);
  ended.mutable_load()->set_in_flight(static_cast<std::uint32_t>(aInFlight));
  Take(aEntry, std::move(event));
}

} // namespace geraniumpond::bench
