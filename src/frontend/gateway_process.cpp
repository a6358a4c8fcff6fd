#include "gateway_process.h"

#include "request_digest.h"

#include "edge/logging.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>

namespace geraniumpond::frontend {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

/// Upper bound of a wait, so that connection timeouts are checked in time.
constexpr Micros kLongestWait = 50 * kMillisecond;
/// Peer messages other than consensus messages that are handled in one
/// iteration before clients and consensus are served again.
constexpr std::size_t kMaxPeerMessagesPerIteration = 16;
/// A loop that is this late has no spare processor time.
constexpr Micros kLateThreshold = 20 * kMillisecond;
/// How often a late loop yields to the message thread, and for how long at
/// most. The two are equal, so that the loop keeps half of the time.
constexpr Micros kYieldInterval = 40 * kMillisecond;
constexpr Micros kMaxYield = 40 * kMillisecond;
constexpr double kBytesPerMegabit = 125000;
constexpr Micros kNanosecondsPerMicro = 1000;

Micros SteadyNow()
{
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch())
    .count();
}

// Advances also while the machine is suspended.
Micros BootNow()
{
  timespec time{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &time);
  return time.tv_sec * kSecond + time.tv_nsec / kNanosecondsPerMicro;
}

Micros WallNow()
{
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
    .count();
}

WorkKind WorkKindOf(const wire::FleetMessage& aMessage)
{
  if (aMessage.has_consensus()) {
    return WorkKind::Consensus;
  }
  if (aMessage.has_follow()) {
    return WorkKind::Reports;
  }
  if (aMessage.has_gossip()) {
    return WorkKind::Facts;
  }
  if (aMessage.has_counts() || aMessage.has_totals()) {
    return WorkKind::Counts;
  }
  return aMessage.has_follow_reply() ? WorkKind::Replies : WorkKind::Commands;
}

std::uint64_t RandomUint64()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

/// \brief Turns client requests into arrival events.
class GatewayProcess::ClientSink : public RequestSink
{
public:
  explicit ClientSink(GatewayProcess& aProcess)
    : mProcess(aProcess)
  {
  }

  void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) override
  {
    const FieldNames& names = mProcess.mDialect.mFieldNames;
    dispatch::Arrival arrival;
    arrival.mId = aExchange;
    const std::string* id = FindField(aRequest.mFields, names.mRequestId);
    arrival.mClientRequestId = id == nullptr ? "" : *id;
    arrival.mHostName = *FindField(aRequest.mFields, "Host");
    arrival.mPath = aRequest.mTarget;
    arrival.mContentDigest =
      ContentDigest(aRequest, mProcess.mSettings.mCallerFields);
    const std::string* timeout = FindField(aRequest.mFields, names.mTimeout);
    Poco::Int64 milliseconds = 0;
    if (timeout != nullptr &&
        Poco::NumberParser::tryParse64(*timeout, milliseconds)) {
      arrival.mPatience = std::max<Micros>(1, milliseconds * kMillisecond);
    }
    RelayFields relay = ParseRelayFields(aRequest.mFields, names);
    arrival.mHasRelayFields = relay.mAny;
    arrival.mRelayFieldsUnsound = relay.mUnsound;
    arrival.mRelayedAfter = relay.mAfter;
    arrival.mRelayedIdentity = relay.mIdentity;
    arrival.mAccount = std::move(relay.mAccount);
    arrival.mIsForFastLink = relay.mBytesPerSecond > 0;
    arrival.mSender = aRequest.mSender;
    arrival.mKey = ParseKey(aRequest.mFields, names);
    Exchange& exchange = mProcess.mExchanges[aExchange];
    exchange.mBytesPerSecond = relay.mBytesPerSecond;
    exchange.mRequest = std::move(aRequest);
    exchange.mArrivedAt = mProcess.mNow;
    mProcess.Post(std::move(arrival));
  }

  void OnClientDisconnected(std::uint64_t aExchange) override
  {
    mProcess.mExchanges.erase(aExchange);
    mProcess.Post(gateway::ClientGone{ aExchange });
  }

  void OnMalformed(int aStatus, const std::string& aReason) override
  {
    edge::WriteLog(2,
                   "event=malformed_request status=" + std::to_string(aStatus) +
                     " reason=\"" + aReason + "\"");
    ++mProcess.mState.mDispatch.mCounters["malformed_requests"];
  }

private:
  GatewayProcess& mProcess;
};

/// \brief Receives calls from targets, operators and directory clients.
class GatewayProcess::CallSink : public RequestSink
{
public:
  explicit CallSink(GatewayProcess& aProcess)
    : mProcess(aProcess)
  {
  }

  void OnRequest(std::uint64_t aExchange, HttpRequest aRequest) override
  {
    mProcess.HandleCall(aExchange, aRequest);
  }
  // An operation completes even if its caller disconnects.
  void OnClientDisconnected(std::uint64_t) override {}
  void OnMalformed(int aStatus, const std::string& aReason) override
  {
    edge::WriteLog(2,
                   "event=malformed_call status=" + std::to_string(aStatus) +
                     " reason=\"" + aReason + "\"");
    ++mProcess.mState.mDispatch.mCounters["malformed_calls"];
  }

private:
  GatewayProcess& mProcess;
};

GatewayProcess::GatewayProcess(const GatewaySettings& aSettings,
                               const Dialect& aDialect)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mClockOffset(WallNow() - SteadyNow())
  , mTimeOfDayOffset(WallNow() - BootNow())
  , mRandom(RandomUint64())
  , mOutgoingPacer(aSettings.mLinkMbps * kBytesPerMegabit)
  , mIncomingPacer(aSettings.mLinkMbps * kBytesPerMegabit)
  , mTargets(mLoop, aDialect.mFieldNames, *this, mIncomingPacer)
  , mClientSink(std::make_unique<ClientSink>(*this))
  , mCallSink(std::make_unique<CallSink>(*this))
{
  mNow = Now();
}

// The threads are joined first because their callbacks use other members.
GatewayProcess::~GatewayProcess()
{
  mPeers.reset();
  mDisk.reset();
}

Micros GatewayProcess::Now() const
{
  return SteadyNow() + mClockOffset;
}

std::uint64_t GatewayProcess::NextRandom()
{
  mRandom = mRandom * 6364136223846793005ULL + 1442695040888963407ULL;
  std::uint64_t word = mRandom;
  word = (word ^ (word >> 33)) * 0xff51afd7ed558ccdULL;
  return word ^ (word >> 33);
}

gateway::Settings GatewayProcess::ReducerSettings() const
{
  gateway::Settings settings;
  settings.mFleet.mPeerAddress = mSettings.mPeerAddress;
  settings.mFleet.mCallerAddress = mSettings.mCallerAddress;
  settings.mFleet.mDataCentre = mSettings.mDataCentre;
  settings.mFleet.mIncarnation = static_cast<std::uint64_t>(WallNow());
  settings.mFleet.mControl = !mSettings.mDataFolder.empty();
  settings.mFleet.mSeeds = SeedPeerAddresses(mSettings);
  settings.mFleet.mToleratedLosses = mSettings.mToleratedLosses;
  settings.mFleet.mLinkMbps = mSettings.mLinkMbps;
  settings.mDataCentres = mSettings.mDataCentres;
  settings.mRegions = mSettings.mRegions;
  settings.mBounds.mExtraRatio = mSettings.mExtraRatio;
  settings.mBounds.mExtraFloor = mSettings.mExtraFloor;
  settings.mBounds.mExtraWindow = mSettings.mExtraWindow;
  settings.mBounds.mProbesPerTarget = mSettings.mProbesPerTarget;
  settings.mBounds.mWarmUpRatio = mSettings.mWarmUpRatio;
  settings.mBounds.mWarmUpFloor = mSettings.mWarmUpFloor;
  settings.mFairAcrossHosts = mSettings.mFairAcrossHosts;
  settings.mQuota.mWindow = mSettings.mQuotaWindow;
  settings.mQuota.mOverage = mSettings.mQuotaOverage;
  settings.mQuota.mSlack = mSettings.mQuotaSlack;
  settings.mDecodePolicy = mDialect.mDecodePolicy;
  settings.mLinkBytesPerSecond = mSettings.mLinkMbps * kBytesPerMegabit;
  settings.mStrictRevocation = mSettings.mStrictRevocation;
  settings.mRevokeWithin = mSettings.mRevokeWithin;
  settings.mAnswerKeep = mSettings.mAnswerKeep;
  settings.mStopGrace = mSettings.mStopGrace;
  return settings;
}

Result<consensus::Recovered> GatewayProcess::OpenStorage(
  const fleet::Settings& aFleet)
{
  if (!aFleet.mControl) {
    return consensus::Recovered();
  }
  const bool isSeed = std::count(aFleet.mSeeds.begin(),
                                 aFleet.mSeeds.end(),
                                 aFleet.mPeerAddress) != 0;
  char storage[32];
  std::snprintf(storage,
                sizeof(storage),
                "disk-%016llx",
                static_cast<unsigned long long>(RandomUint64()));
  Result<RecoveredDisk> disk = OpenDisk(mSettings.mDataFolder,
                                        mSettings.mFounding && isSeed,
                                        fleet::FoundingMembers(aFleet.mSeeds),
                                        storage);
  if (!disk) {
    return disk.error();
  }
  if (disk.value().mTruncatedBytes > 0) {
    edge::WriteLog(2,
                   "event=log_tail_cut bytes=" +
                     std::to_string(disk.value().mTruncatedBytes));
  }
  Result<std::unique_ptr<DiskWriter>> writer = DiskWriter::Open(
    mSettings.mDataFolder,
    [this](std::uint64_t aSequence) {
      const std::lock_guard<std::mutex> lock(mInboxMutex);
      mInbox.mSynced = aSequence;
      mLoop.Wake();
    },
    [this](const std::string& aReason) {
      const std::lock_guard<std::mutex> lock(mInboxMutex);
      mInbox.mDiskErrors.push_back(aReason);
      mLoop.Wake();
    });
  if (!writer) {
    return writer.error();
  }
  mDisk = std::move(writer.value());
  return std::move(disk.value().mRecovered);
}

Result<bool> GatewayProcess::Start()
{
  const gateway::Settings settings = ReducerSettings();
  Result<consensus::Recovered> recovered = OpenStorage(settings.mFleet);
  if (!recovered) {
    return recovered.error();
  }
  mPeers = std::make_unique<edge::Peers>(
    edge::PeerAddresses(mSettings.mPeerAddress, mSettings.mPeerBindAddress),
    [this](std::string_view aBytes) {
      const std::lock_guard<std::mutex> lock(mInboxMutex);
      mInbox.mUnreadable += mPeerInbox.Put(aBytes, Now()) ? 0 : 1;
      mLoop.Wake();
    });
  mClientServer = std::make_unique<HttpServer>(
    mLoop, mSettings.mCallerAddress, *mClientSink, &mOutgoingPacer);
  std::vector<std::string> addresses = mSettings.mCallAddresses;
  addresses.push_back(mSettings.mMetricsAddress);
  for (const std::string& address : addresses) {
    mCallServers.push_back(
      std::make_unique<HttpServer>(mLoop, address, *mCallSink));
  }
  mNow = Now();
  TickConnections();
  gateway::Effects effects;
  mState =
    gateway::Open(settings, recovered.value(), mNow, NextRandom(), effects);
  mOpened = true;
  Perform(std::move(effects));
  return true;
}

void GatewayProcess::RequestStop()
{
  Post(gateway::StopRequested{});
  mClientServer->BeginStop();
}

void GatewayProcess::Perform(gateway::Effects aEffects)
{
  for (gateway::Effect& effect : aEffects) {
    std::visit([this](auto& aOne) { PerformOne(aOne); }, effect);
  }
  UpdateLimits();
}

void GatewayProcess::UpdateLimits()
{
  const auto& policy = mState.mDispatch.mPolicy;
  if (policy && policy->mVersion != mPolicyVersion && mClientServer) {
    mPolicyVersion = policy->mVersion;
    mClientServer->SetLimits(policy->mLimits);
  }
}

void GatewayProcess::OnProbeResult(const dispatch::ProbeEnd& aEnd)
{
  Post(aEnd);
}

void GatewayProcess::OnAttemptResult(dispatch::AttemptEnd aEnd,
                                     HttpResponse aResponse)
{
  const auto found = mExchanges.find(aEnd.mRequest);
  if (found != mExchanges.end() && aEnd.mKind == dispatch::EndKind::Answered) {
    found->second.mAnswer = std::move(aResponse);
    found->second.mAnsweredBy = aEnd.mAttempt;
  }
  Post(std::move(aEnd));
}

void GatewayProcess::ProcessInbox()
{
  Inbox inbox;
  {
    const std::lock_guard<std::mutex> lock(mInboxMutex);
    std::swap(inbox, mInbox);
  }
  for (const std::string& error : inbox.mDiskErrors) {
    edge::WriteLog(error.empty() ? 1 : 3,
                   error.empty() ? "event=disk_regained"
                                 : "event=disk_lost reason=\"" + error + "\"");
  }
  if (inbox.mSynced > 0) {
    HandleSynced(inbox.mSynced);
  }
  if (inbox.mUnreadable > 0) {
    edge::WriteLog(
      2, "event=message_unreadable count=" + std::to_string(inbox.mUnreadable));
  }
  ProcessPeerMessages();
}

void GatewayProcess::HandleSynced(std::uint64_t aSequence)
{
  while (!mUnsynced.empty() && mUnsynced.front().first <= aSequence) {
    mLoadMonitor.RecordWait(WaitKind::Disk, mNow - mUnsynced.front().second);
    mUnsynced.pop_front();
  }
  Post(gateway::DiskSynced{ aSequence });
  mLoadMonitor.RecordWork(WorkKind::Disk, 1);
}

void GatewayProcess::ProcessPeerMessages()
{
  std::vector<wire::FleetMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(mInboxMutex);
    mMessageDelay = mPeerInbox.LongestWait(mNow);
    mLoadMonitor.RecordWait(WaitKind::Inbox, mMessageDelay);
    messages = mPeerInbox.Take(kMaxPeerMessagesPerIteration);
    if (!mPeerInbox.IsEmpty()) {
      mLoop.Wake();
    }
  }
  for (wire::FleetMessage& message : messages) {
    const WorkKind work = WorkKindOf(message);
    Post(gateway::PeerMessage{ std::move(message) });
    mLoadMonitor.RecordWork(work, 1);
  }
}

// On a small host, a loop that is always busy starves the thread that carries
// peer messages; a heartbeat delayed there costs the group its leader. A late
// loop therefore yields to that thread for a bounded share of the time.
void GatewayProcess::YieldToMessageThread(Micros aDueAt)
{
  const Micros lateness = std::max<Micros>(0, mNow - aDueAt);
  const Micros sendDelay = mPeers->TakeLongestQueueTime().count();
  mLoadMonitor.RecordWait(WaitKind::Loop, lateness);
  mLoadMonitor.RecordWait(WaitKind::Outbox, sendDelay);
  const bool busy = std::max(lateness, sendDelay) > kLateThreshold;
  if (busy && mNow >= mYieldedAt + kYieldInterval) {
    (void)mPeers->WaitForIteration(std::chrono::microseconds(kMaxYield));
    mNow = Now();
    mYieldedAt = mNow;
  }
}

bool GatewayProcess::RunOnce()
{
  const Micros next = std::min({ gateway::NextTick(mState),
                                 mOutgoingPacer.NextTick(),
                                 mIncomingPacer.NextTick(),
                                 mClientServer->NextTick(),
                                 mNow + kLongestWait });
  const std::size_t handled = mLoop.RunOnce(Now(), next);
  mLoadMonitor.RecordWork(WorkKind::Connections, handled);
  mNow = Now();
  YieldToMessageThread(next);
  ProcessInbox();
  if (mNow >= gateway::NextTick(mState) || mState.mStopping) {
    const bool sending = mState.mStopping && mClientServer->HasUnsentAnswers();
    Post(gateway::TimePassed{ sending });
  }
  TickConnections();
  mLoadMonitor.RecordWork(WorkKind::Time, 1);
  mLoadMonitor.EndIteration();
  if (const std::optional<std::string> line = mLoadMonitor.TakeLogLine(mNow)) {
    edge::WriteLog(2, *line);
  }
  return !mExited;
}

// Connections measure timeouts from the time of the last tick.
void GatewayProcess::TickConnections()
{
  mTargets.Tick(mNow);
  mIncomingPacer.Tick(mNow);
  mOutgoingPacer.Tick(mNow);
  mClientServer->Tick(mNow);
  for (const std::unique_ptr<HttpServer>& server : mCallServers) {
    server->Tick(mNow, BootNow() + mTimeOfDayOffset);
  }
}

} // namespace geraniumpond::frontend
