#include "runtime.h"

#include "logging.h"

#include <geraniumpond/hash.h>

#include <google/protobuf/util/delimited_message_util.h>

#include <chrono>
#include <random>

namespace geraniumpond::edge {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr std::chrono::seconds kOperationTimeout{ 20 };
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint64_t kDefaultMaxBody = 1024 * 1024;

Micros SteadyNow()
{
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
    .count();
}

Micros WallNow()
{
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
    .count();
}

std::string NewStorageName()
{
  std::random_device device;
  return "disk-" + std::to_string(device()) + std::to_string(device());
}

// Spins before blocking: a step of the reducer takes about a microsecond, much
// less than putting a thread to sleep and waking it up.
std::unique_lock<std::mutex> LockWithSpinning(std::mutex& aMutex)
{
  constexpr int kTries = 200;
  for (int i = 0; i < kTries; ++i) {
    std::unique_lock<std::mutex> lock(aMutex, std::try_to_lock);
    if (lock.owns_lock()) {
      return lock;
    }
    std::this_thread::yield();
  }
  return std::unique_lock<std::mutex>(aMutex);
}

// SplitMix64: one random number per event, seeded once from the system.
std::uint64_t NextRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t word = aState;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

} // namespace

Runtime::Runtime(const Settings& aSettings, const std::string& aRecordFile)
  : mSettings(aSettings)
{
  mClockOffset = WallNow() - SteadyNow();
  std::random_device device;
  mRandomState = (static_cast<std::uint64_t>(device()) << 32) | device();
  if (!aRecordFile.empty()) {
    mRecordFile =
      std::make_unique<std::ofstream>(aRecordFile, std::ios::binary);
  }
}

Runtime::~Runtime()
{
  Stop();
}

Micros Runtime::Now() const
{
  return SteadyNow() + mClockOffset;
}

Result<bool> Runtime::FillStarted(wire::Started& aStarted)
{
  *aStarted.mutable_settings() = node::ToWire(mSettings);
  const Result<std::uint64_t> incarnation = NextIncarnation(
    mSettings.mDataFolder, static_cast<std::uint64_t>(WallNow()));
  if (!incarnation) {
    return incarnation.error();
  }
  aStarted.set_incarnation(incarnation.value());
  Result<wire::DeploymentVersion> cached =
    ReadCachedDeployment(mSettings.mDataFolder);
  if (cached) {
    *aStarted.mutable_cached() = cached.value();
  }
  if (!mSettings.mControl) {
    return true;
  }
  const Result<bool> initialized =
    InitJoiningHost(mSettings.mDataFolder, NewStorageName());
  if (!initialized) {
    return initialized.error();
  }
  Result<StoredState> stored = Recover(mSettings.mDataFolder);
  if (!stored) {
    return stored.error();
  }
  if (stored.value().mTruncatedBytes > 0) {
    WriteLog(2,
             "log: removed an incomplete record of " +
               std::to_string(stored.value().mTruncatedBytes) + " bytes");
  }
  *aStarted.mutable_hard_state() = stored.value().mHardState;
  *aStarted.mutable_snapshot() = stored.value().mSnapshot;
  for (wire::Entry& entry : stored.value().mEntries) {
    *aStarted.add_entries() = std::move(entry);
  }
  Result<std::unique_ptr<LogWriter>> log =
    LogWriter::Open(mSettings.mDataFolder);
  if (!log) {
    return log.error();
  }
  mLog = std::move(log.value());
  return true;
}

Result<bool> Runtime::Start()
{
  wire::Event event;
  const Result<bool> filled = FillStarted(*event.mutable_started());
  if (!filled) {
    return filled.error();
  }
  try {
    mPeers = std::make_unique<Peers>(
      mSettings.mPeerAddress, [this](std::string_view aBytes) {
        wire::Event received;
        if (received.mutable_peer()->ParseFromArray(
              aBytes.data(), static_cast<int>(aBytes.size()))) {
          Post(std::move(received));
        }
      });
  } catch (const std::exception& error) {
    return Fail(ErrorCode::Io,
                "cannot listen for other hosts on " + mSettings.mPeerAddress +
                  ": " + error.what());
  }
  mThreads.emplace_back([this] { RunTimer(); });
  mThreads.emplace_back([this] { RunLogWriter(); });
  mThreads.emplace_back([this] { RunCacheWriter(); });
  Post(std::move(event));
  return true;
}

void Runtime::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mThreadMutex);
    mStopped = true;
    mTimerChanged.notify_all();
    mWriteQueued.notify_all();
    mCacheQueued.notify_all();
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  mPeers.reset();
}

void Runtime::Post(wire::Event aEvent)
{
  const std::unique_lock<std::mutex> lock = LockWithSpinning(mMutex);
  aEvent.set_now_us(Now());
  aEvent.set_random(NextRandom(mRandomState));
  const wire::Effects effects = node::Step(mState, aEvent);
  if (mRecordFile) {
    Record(aEvent, effects);
  }
  PerformEffects(effects);
}

void Runtime::Record(const wire::Event& aEvent, const wire::Effects& aEffects)
{
  wire::RecordedStep step;
  *step.mutable_event() = aEvent;
  step.set_effects_digest(Hash64(aEffects.SerializeAsString()));
  google::protobuf::util::SerializeDelimitedToOstream(step, mRecordFile.get());
  if (aEvent.has_tick()) {
    mRecordFile->flush();
  }
}

void Runtime::PerformEffects(const wire::Effects& aEffects)
{
  for (const wire::Effect& effect : aEffects.effects()) {
    PerformEffect(effect);
  }
}

void Runtime::PerformEffect(const wire::Effect& aEffect)
{
  const auto toExchange = [&](std::uint64_t aRequest) {
    const std::shared_ptr<Exchange> exchange = FindExchange(aRequest);
    if (exchange != nullptr) {
      exchange->Deliver(aEffect);
    }
  };
  switch (aEffect.body_case()) {
    case wire::Effect::kSend:
      if (mPeers) {
        mPeers->Send(aEffect.send().address(),
                     aEffect.send().message().SerializeAsString());
      }
      break;
    case wire::Effect::kDispatch:
      toExchange(aEffect.dispatch().request());
      break;
    case wire::Effect::kAccept:
      toExchange(aEffect.accept().request());
      break;
    case wire::Effect::kCancel:
      toExchange(aEffect.cancel().request());
      break;
    case wire::Effect::kAnswer:
      toExchange(aEffect.answer().request());
      break;
    case wire::Effect::kBreakConnection:
      toExchange(aEffect.break_connection().request());
      break;
    case wire::Effect::kPersist: {
      const std::lock_guard<std::mutex> lock(mThreadMutex);
      mPendingWrites.push_back(aEffect.persist());
      mWriteQueued.notify_one();
      break;
    }
    case wire::Effect::kTimer: {
      const std::lock_guard<std::mutex> lock(mThreadMutex);
      mTimerAt = aEffect.timer().at_us();
      mTimerChanged.notify_one();
      break;
    }
    case wire::Effect::kOperation: {
      const std::lock_guard<std::mutex> lock(mOperationMutex);
      mOperationAnswers[aEffect.operation().operation()] = aEffect.operation();
      mOperationDone.notify_all();
      break;
    }
    case wire::Effect::kCache: {
      UpdateMaxBody();
      const std::lock_guard<std::mutex> lock(mThreadMutex);
      mPendingDeployment =
        std::make_unique<wire::DeploymentVersion>(aEffect.cache().deployment());
      mCacheQueued.notify_one();
      break;
    }
    case wire::Effect::kLog:
      WriteLog(static_cast<int>(aEffect.log().level()),
               aEffect.log().message());
      break;
    case wire::Effect::kExit: {
      const std::lock_guard<std::mutex> lock(mThreadMutex);
      mExited = true;
      mExitChanged.notify_all();
      break;
    }
    case wire::Effect::BODY_NOT_SET:
      break;
  }
}

wire::OperationAnswer Runtime::RunOperation(
  const std::function<void(wire::Event&, std::uint64_t)>& aFill)
{
  const std::uint64_t id = ++mLastOperation;
  wire::Event event;
  aFill(event, id);
  Post(std::move(event));
  std::unique_lock<std::mutex> lock(mOperationMutex);
  const bool done = mOperationDone.wait_for(
    lock, kOperationTimeout, [&] { return mOperationAnswers.count(id) != 0; });
  wire::OperationAnswer answer;
  answer.set_status(kUnavailable);
  answer.set_body("{\"error\":\"unknown\",\"message\":\"no answer in time\"}");
  if (done) {
    answer = mOperationAnswers[id];
    mOperationAnswers.erase(id);
  }
  return answer;
}

std::shared_ptr<Exchange> Runtime::NewExchange()
{
  auto exchange = std::make_shared<Exchange>(++mLastRequest);
  const std::lock_guard<std::mutex> lock(mExchangeMutex);
  mExchanges[exchange->Id()] = exchange;
  return exchange;
}

std::shared_ptr<Exchange> Runtime::FindExchange(std::uint64_t aRequest)
{
  const std::lock_guard<std::mutex> lock(mExchangeMutex);
  const auto found = mExchanges.find(aRequest);
  return found == mExchanges.end() ? nullptr : found->second;
}

void Runtime::EndExchange(const std::shared_ptr<Exchange>& aExchange)
{
  aExchange->DropWaitingAttempts();
  const std::lock_guard<std::mutex> lock(mExchangeMutex);
  mExchanges.erase(aExchange->Id());
}

void Runtime::UpdateMaxBody()
{
  std::uint64_t largest = kDefaultMaxBody;
  for (const auto& [name, service] : mState.mDeployment.mServices) {
    for (const Kind& kind : service.mKinds) {
      largest = std::max(largest, kind.mMaxBodyBytes);
    }
  }
  mMaxBody = largest;
}

bool Runtime::WaitExit(std::chrono::milliseconds aTimeout)
{
  std::unique_lock<std::mutex> lock(mThreadMutex);
  mExitChanged.wait_for(lock, aTimeout, [this] { return mExited.load(); });
  return mExited;
}

} // namespace geraniumpond::edge
