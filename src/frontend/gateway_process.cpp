#include "gateway_process.h"

#include "connection_bounds.h"
#include "gateway_sinks.h"
#include "reducer_settings.h"
#include "system_clock.h"

#include "edge/logging.h"

#include <algorithm>

namespace geraniumpond::frontend {

namespace {

/// Upper bound of a wait, so that connection timeouts are checked in time.
constexpr Micros kLongestWait = 50 * kMillisecond;
/// Largest call of an operator or a target. A document takes up to sixteen
/// times its size while it is decoded.
constexpr std::uint64_t kMaxCallBytes = 4 * 1024 * 1024;

} // namespace

GatewayProcess::GatewayProcess(const GatewaySettings& aSettings,
                               const Dialect& aDialect)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mClockOffset(WallNow() - SteadyNow())
  , mTimeOfDayOffset(WallNow() - BootNow())
  , mRandom(RandomUint64())
  , mOutgoingPacer(LinkBytesPerSecond(aSettings))
  , mIncomingPacer(LinkBytesPerSecond(aSettings))
  , mClientMemory(MaxClientBytes(aSettings.mMemoryBytes))
  , mTargets(mLoop,
             aDialect.mFieldNames,
             *this,
             mIncomingPacer,
             AnswerBoundsFor(aSettings.mMaxAnswerBytes, aSettings.mMemoryBytes),
             &mClientMemory)
  , mClientSink(std::make_unique<ClientSink>(*this))
  , mCallSink(std::make_unique<CallSink>(*this))
{
  mNow = Now();
}

// Clients are let go first: a disk may hold its thread up, and they would wait
// for a host that serves them no more. The threads are joined before the other
// members go because their callbacks use them.
GatewayProcess::~GatewayProcess()
{
  mClientServer.reset();
  mCallServers.clear();
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

Result<bool> GatewayProcess::Start()
{
  const gateway::Settings settings = ReducerSettings(
    mSettings, mDialect.mDecodePolicy, static_cast<std::uint64_t>(WallNow()));
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
  mClientServer = std::make_unique<HttpServer>(mLoop,
                                               mSettings.mCallerAddress,
                                               *mClientSink,
                                               &mOutgoingPacer,
                                               &mClientMemory);
  const ConnectionBounds bounds = ConnectionBoundsFor(
    mSettings.mMaxDescriptors > 0 ? mSettings.mMaxDescriptors
                                  : DescriptorLimit());
  mClientServer->SetMaxConnections(bounds.mClients);
  std::vector<std::string> addresses = mSettings.mCallAddresses;
  addresses.push_back(mSettings.mMetricsAddress);
  for (const std::string& address : addresses) {
    mCallServers.push_back(std::make_unique<HttpServer>(
      mLoop, address, *mCallSink, nullptr, &mClientMemory));
    policy::RequestLimits limits;
    limits.mMaxBodyBytes = kMaxCallBytes;
    mCallServers.back()->SetLimits(limits);
    mCallServers.back()->SetMaxConnections(
      std::max<std::size_t>(1, bounds.mCallers / addresses.size()));
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

void GatewayProcess::RequestStop(Micros aAskedAt)
{
  Post(gateway::StopRequested{ aAskedAt + mClockOffset });
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
    Post(gateway::TimePassed{ mState.mStopping && HasUnsentAnswers() });
  }
  TickConnections();
  mLoadMonitor.RecordWork(WorkKind::Time, 1);
  mLoadMonitor.EndIteration();
  if (const std::optional<std::string> line = mLoadMonitor.TakeLogLine(mNow)) {
    edge::WriteLog(2, *line);
  }
  return !mExited;
}

bool GatewayProcess::HasUnsentAnswers() const
{
  return mClientServer->HasUnsentAnswers() ||
         std::any_of(
           mCallServers.begin(), mCallServers.end(), [](const auto& aServer) {
             return aServer->HasQueuedBytes();
           });
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
