#include "fakes/gateway_world.h"

#include "fakes/disk.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace geraniumpond::fakes {

namespace {

/// One-way delay between any two hosts or targets.
constexpr Micros kOneWayDelay = 1500;
constexpr Micros kSyncTime = kMillisecond;
constexpr Micros kStep = kMillisecond;
constexpr Micros kDrainTime = 2 * kSecond;
/// Timeouts of a probe and of a connection attempt.
constexpr Micros kProbeTimeout = 400 * kMillisecond;
constexpr Micros kConnectTimeout = 300 * kMillisecond;
/// A probe on an open connection that hangs is tried again on a new one.
constexpr Micros kHangingProbeTime = kProbeTimeout + kConnectTimeout;
constexpr Micros kRenewInterval = 1500 * kMillisecond;
constexpr Micros kRetryDelay = 100 * kMillisecond;
constexpr double kServiceTimeSpread = 0.3;
constexpr const char* kService = "service";

std::string KeyOf(std::uint64_t aAccount)
{
  return "key-" + std::to_string(aAccount);
}

void AddAccounts(int aCount, int aWithoutKeys, policy::TrafficPolicy& aOut)
{
  if (aCount == 0) {
    return;
  }
  aOut.mAccounts.emplace();
  for (int i = 0; i < aCount; ++i) {
    accounts::Account account;
    account.mName = "a" + std::to_string(i);
    std::vector<std::string> keys;
    if (i >= aWithoutKeys) {
      keys.push_back(KeyOf(static_cast<std::uint64_t>(i)));
    }
    (void)accounts::Add(*aOut.mAccounts, std::move(account), keys);
  }
}

std::string PolicyDocument(const GatewayLoad& aLoad,
                           std::uint64_t aVersion,
                           int aKeysTakenAway = 0)
{
  std::ostringstream text;
  text << aVersion << " " << aLoad.mIdempotent << " " << aLoad.mAttempts << " "
       << aLoad.mTimeout << " " << aLoad.mObjective << " " << aLoad.mWarmUp
       << " " << aLoad.mWarmUpPerSecond << " " << aLoad.mAccounts << " "
       << aKeysTakenAway;
  return text.str();
}

Result<policy::TrafficPolicy> DecodePolicy(std::string_view aDocument)
{
  std::istringstream text{ std::string(aDocument) };
  bool idempotent = true;
  policy::TrafficPolicy made;
  policy::Route route;
  route.mName = "route";
  route.mHostName = "host";
  route.mPathPrefix = "/";
  text >> made.mVersion >> idempotent >> route.mAttempts >> route.mTimeout >>
    route.mObjective;
  policy::ServiceSettings service{ kService, "/health", 1000 };
  int count = 0;
  int withoutKeys = 0;
  text >> service.mWarmUp >> service.mWarmUpPerSecond >> count >> withoutKeys;
  AddAccounts(count, withoutKeys, made);
  made.mBaseVersion = made.mVersion - 1;
  route.mKind =
    idempotent ? policy::RouteKind::Safe : policy::RouteKind::Unsafe;
  route.mPriority = 1;
  route.mBackends = { { kService, 1 } };
  made.mRoutes = { route };
  made.mServices[kService] = service;
  return made;
}

std::string DataCentre(int aIndex, const GatewayLoad& aLoad)
{
  return "dc" + std::to_string(aIndex % aLoad.mDataCentres);
}

} // namespace

GatewayWorld::GatewayWorld(const GatewayLoad& aLoad, std::uint64_t aSeed)
  : mLoad(aLoad)
  , mRandom(aSeed)
{
  AddHosts();
  for (int i = 0; i < mLoad.mTargets; ++i) {
    const std::string address = "10.9.0." + std::to_string(i) + ":80";
    mTargets[address].mDataCentre = DataCentre(i, mLoad);
  }
}

void GatewayWorld::AddHosts()
{
  const int count = mLoad.mControlHosts + mLoad.mOtherHosts;
  std::vector<std::string> seeds;
  for (int i = 0; i < count; ++i) {
    const std::string ip =
      "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1);
    Host host;
    fleet::Settings& fleet = host.mSettings.mFleet;
    fleet.mPeerAddress = ip + ":7";
    fleet.mCallerAddress = ip + ":80";
    fleet.mDataCentre = DataCentre(i, mLoad);
    fleet.mControl = i < mLoad.mControlHosts;
    fleet.mToleratedLosses = (mLoad.mControlHosts - 1) / 2;
    if (fleet.mControl && seeds.size() < 3) {
      seeds.push_back(fleet.mPeerAddress);
    }
    host.mSettings.mBounds = { 0.2, 60, 10 * kSecond, 60 };
    host.mSettings.mBounds.mWarmUpRatio = kWarmUpRatio;
    host.mSettings.mBounds.mWarmUpFloor = kWarmUpFloor;
    host.mSettings.mDecodePolicy = DecodePolicy;
    host.mSettings.mStrictRevocation = mLoad.mStrictRevocation;
    host.mSettings.mRevokeWithin = mLoad.mRevokeWithin;
    mHostByAddress[fleet.mPeerAddress] = mHosts.size();
    mHosts.push_back(std::move(host));
  }
  for (Host& host : mHosts) {
    host.mSettings.mFleet.mSeeds = seeds;
    if (host.mSettings.mFleet.mControl) {
      const bool seed = std::count(seeds.begin(),
                                   seeds.end(),
                                   host.mSettings.mFleet.mPeerAddress) != 0;
      host.mDisk = FreshDisk(seeds, seed, mRandom());
    }
  }
}

template<class Body>
void GatewayWorld::Post(std::size_t aHost, Body aBody)
{
  if (!mHosts[aHost].mAlive) {
    return;
  }
  if (mFrozen.count(aHost) != 0) {
    mDeferred[aHost].push_back([this, aHost, aBody] { Post(aHost, aBody); });
    return;
  }
  gateway::Event event;
  event.mNow = mNow;
  event.mRandom = mRandom();
  event.mBody = std::move(aBody);
  Perform(aHost, gateway::Step(mHosts[aHost].mState, event));
}

void GatewayWorld::StartHost(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  host.mSettings.mFleet.mIncarnation = ++mLastId;
  host.mAlive = true;
  ++host.mStartCount;
  gateway::Effects effects;
  host.mState =
    gateway::Open(host.mSettings, host.mDisk, mNow, mRandom(), effects);
  Perform(aHost, std::move(effects));
}

void GatewayWorld::StopHost(std::size_t aHost)
{
  Post(aHost, gateway::StopRequested{});
}

void GatewayWorld::ThawHost(std::size_t aHost)
{
  mFrozen.erase(aHost);
  for (const auto& event : std::exchange(mDeferred[aHost], {})) {
    event();
  }
}

void GatewayWorld::ReleaseRequest(std::size_t aHost, const std::string& aPath)
{
  dispatch::Arrival arrival;
  arrival.mHostName = "host";
  arrival.mPath = aPath;
  Post(aHost,
       gateway::ReleaseRequest{ ++mLastId, dispatch::IdentityOf(arrival) });
}

// Clients of a killed host get no answer.
void GatewayWorld::KillHost(std::size_t aHost)
{
  mHosts[aHost].mAlive = false;
  mFrozen.erase(aHost);
  mDeferred.erase(aHost);
  BreakRelays(aHost);
  for (auto it = mClients.begin(); it != mClients.end();) {
    if (it->first.first != aHost) {
      ++it;
      continue;
    }
    mTally.mFailed += it->second.mCounted ? 1 : 0;
    it = mClients.erase(it);
  }
}

void GatewayWorld::WipeHost(std::size_t aHost)
{
  KillHost(aHost);
  Host& host = mHosts[aHost];
  host.mDisk = FreshDisk(host.mSettings.mFleet.mSeeds, false, mRandom());
}

std::size_t GatewayWorld::ReplaceHost(std::size_t aHost)
{
  KillHost(aHost);
  const std::size_t added = mHosts.size();
  Host host;
  host.mSettings = mHosts[aHost].mSettings;
  const std::string ip = "10.1.0." + std::to_string(added);
  fleet::Settings& fleet = host.mSettings.mFleet;
  fleet.mPeerAddress = ip + ":7";
  fleet.mCallerAddress = ip + ":80";
  host.mDisk = FreshDisk(fleet.mSeeds, false, mRandom());
  mHostByAddress[fleet.mPeerAddress] = added;
  mHosts.push_back(std::move(host));
  StartHost(added);
  return added;
}

void GatewayWorld::BreakJobs(const std::string& aAddress,
                             dispatch::EndKind aKind)
{
  std::vector<std::uint64_t> broken;
  for (const auto& [id, job] : mJobs) {
    if (job.mTarget == aAddress) {
      broken.push_back(id);
    }
  }
  for (const std::uint64_t id : broken) {
    dispatch::AttemptEnd end;
    end.mKind = aKind;
    end.mReason = "reset";
    EndJob(id, end);
  }
}

std::size_t GatewayWorld::LeaderHost() const
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    const fleet::State& fleet = mHosts[i].mState.mFleet;
    if (mHosts[i].mAlive && fleet.mSettings.mControl &&
        consensus::IsLeader(fleet.mGroup)) {
      return i;
    }
  }
  return mHosts.size();
}

std::vector<std::string> GatewayWorld::TargetAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [address, target] : mTargets) {
    addresses.push_back(address);
  }
  return addresses;
}

void GatewayWorld::Settle()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    StartHost(i);
  }
  Advance(2 * kSecond);
  PutNextPolicy(0);
  for (auto& [address, target] : mTargets) {
    StartTarget(address);
  }
  Advance(6 * kSecond);
  mIsSettled = true;
}

void GatewayWorld::OrderEvacuation(const std::string& aDataCentre,
                                   bool aEvacuated,
                                   Micros aPatience)
{
  mEvacuationOrders.push_back({ aDataCentre, aEvacuated, mNow });
  SendOrder(mEvacuationOrders.size() - 1, mNow + aPatience);
}

// As operators do: after a second without an answer, or soon after an
// unavailable one, another host is asked.
void GatewayWorld::SendOrder(std::size_t aOrder, Micros aGiveUpAt)
{
  const EvacuationOrder& order = mEvacuationOrders[aOrder];
  if (order.mAcknowledgedAt != 0 || mNow >= aGiveUpAt) {
    return;
  }
  mOrderCalls[++mLastId] = aOrder;
  if (const std::optional<std::size_t> host = AnyHost()) {
    Post(*host,
         gateway::SetEvacuation{
           mLastId, order.mDataCentre, order.mEvacuated, At(*host).mSteps });
  }
  Later(kSecond, [this, aOrder, aGiveUpAt] { SendOrder(aOrder, aGiveUpAt); });
}

void GatewayWorld::PutNextPolicy(std::size_t aHost)
{
  const std::uint64_t version = mAcknowledgedPolicy + 1;
  mPolicyCalls[++mLastId] = version;
  Post(aHost,
       gateway::PutPolicy{ mLastId,
                           PolicyDocument(mLoad, version, mKeysTakenAway) });
}

void GatewayWorld::PerformOne(std::size_t aHost,
                              gateway::AnswerOperation& aEffect)
{
  const auto order = mOrderCalls.find(aEffect.mOperation);
  if (order != mOrderCalls.end()) {
    const bool lost =
      std::uniform_real_distribution<>()(mRandom) < mLostAcknowledgements;
    Micros& at = mEvacuationOrders[order->second].mAcknowledgedAt;
    if (aEffect.mEnd == gateway::OperationOutcome::Done && !lost && at == 0) {
      at = mNow;
      if (mOnAcknowledgement) {
        Later(kStep, [this, aHost] { mOnAcknowledgement(aHost); });
      }
    }
    mOrderCalls.erase(order);
    return;
  }
  const auto call = mPolicyCalls.find(aEffect.mOperation);
  if (call == mPolicyCalls.end()) {
    return;
  }
  if (aEffect.mEnd == gateway::OperationOutcome::Done) {
    mAcknowledgedPolicy = std::max(mAcknowledgedPolicy, call->second);
  }
  mPolicyCalls.erase(call);
}

std::uint64_t GatewayWorld::AppliedPolicy(std::size_t aHost) const
{
  const Host& host = mHosts.at(aHost);
  const auto& policy = host.mState.mDispatch.mPolicy;
  return host.mAlive && policy ? policy->mVersion : 0;
}

void GatewayWorld::Later(Micros aDelay, std::function<void()> aWhat)
{
  mQueue.emplace(mNow + aDelay, std::move(aWhat));
}

void GatewayWorld::Advance(Micros aTime)
{
  const Micros end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      const std::function<void()> what = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      what();
    }
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      if (mHosts[host].mAlive && mFrozen.count(host) == 0 &&
          gateway::NextTick(mHosts[host].mState) <= mNow) {
        Post(host, gateway::TimePassed{});
      }
    }
  }
}

std::optional<std::size_t> GatewayWorld::AnyHost()
{
  std::vector<std::size_t> alive;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (mHosts[i].mAlive) {
      alive.push_back(i);
    }
  }
  if (alive.empty()) {
    return std::nullopt;
  }
  return alive.at(mRandom() % alive.size());
}

void GatewayWorld::Perform(std::size_t aHost, gateway::Effects aEffects)
{
  for (gateway::Effect& effect : aEffects) {
    std::visit([&](auto& aOne) { PerformOne(aHost, aOne); }, effect);
  }
}

// ------------------------------------------------------------------- targets

void GatewayWorld::StartTarget(const std::string& aAddress)
{
  FakeTarget& target = mTargets[aAddress];
  target.mAlive = true;
  target.mLimit = 0;
  target.mId = aAddress + "#" + std::to_string(++target.mStarts);
  if (mIsSettled) {
    TurnCold(aAddress);
  }
  Announce(aAddress);
}

void GatewayWorld::TurnCold(const std::string& aAddress)
{
  FakeTarget& target = mTargets[aAddress];
  target.mColdSince = mNow;
  target.mColdUntil = mNow + mLoad.mWarmUp;
}

Micros GatewayWorld::WarmUpLeft(const FakeTarget& aTarget) const
{
  return std::max<Micros>(0, aTarget.mColdUntil - mNow);
}

void GatewayWorld::Announce(const std::string& aAddress)
{
  const FakeTarget& target = mTargets[aAddress];
  if (!target.mAlive) {
    return;
  }
  gateway::Announce call;
  call.mOperation = ++mLastId;
  call.mRecord.set_id(target.mId);
  call.mRecord.set_service(kService);
  call.mRecord.set_address(aAddress);
  call.mRecord.set_data_centre(target.mDataCentre);
  call.mRecord.set_slots(static_cast<unsigned>(mLoad.mSlots));
  call.mRecord.set_sequence(++mLastId);
  call.mRecord.set_draining(target.mDraining);
  call.mRecord.set_release(target.mRelease);
  call.mRecord.set_warm_up_ms(
    static_cast<std::uint32_t>(WarmUpLeft(target) / kMillisecond));
  if (const std::optional<std::size_t> host = AnyHost()) {
    Post(*host, std::move(call));
  }
  const int start = target.mStarts;
  Later(kRenewInterval, [this, aAddress, start] {
    if (mTargets[aAddress].mStarts == start && !mTargets[aAddress].mDraining) {
      Announce(aAddress);
    }
  });
}

void GatewayWorld::EndTarget(const std::string& aAddress)
{
  FakeTarget& target = mTargets[aAddress];
  target.mAlive = false;
  target.mRunning = 0;
  target.mWaiting.clear();
  target.mDraining = false;
  BreakJobs(aAddress, dispatch::EndKind::Broken);
  Later(mLoad.mRestartDelay, [this, aAddress] {
    if (!mTargets[aAddress].mAlive) {
      StartTarget(aAddress);
    }
  });
}

void GatewayWorld::SilenceTarget(const std::string& aAddress, Micros aFor)
{
  FakeTarget& target = mTargets[aAddress];
  target.mSilent = true;
  target.mRunning = 0;
  target.mWaiting.clear();
  for (auto it = mJobs.begin(); it != mJobs.end();) {
    it = it->second.mTarget == aAddress ? mJobs.erase(it) : std::next(it);
  }
  Later(aFor, [this, aAddress] { mTargets[aAddress].mSilent = false; });
}

void GatewayWorld::ResetConnections(const std::string& aAddress)
{
  FakeTarget& target = mTargets[aAddress];
  target.mRunning = 0;
  target.mWaiting.clear();
  BreakJobs(aAddress, dispatch::EndKind::Broken);
}

void GatewayWorld::ReplaceTarget(const std::string& aAddress)
{
  mTargets[aAddress].mDraining = true;
  mTargets[aAddress].mRelease = "v2";
  Announce(aAddress);
  Later(kDrainTime, [this, aAddress] { EndTarget(aAddress); });
}

void GatewayWorld::TurnAway(const std::string& aAddress,
                            Micros aFor,
                            Micros aRest)
{
  FakeTarget& target = mTargets.at(aAddress);
  target.mTurnsAwayUntil = mNow + aFor;
  target.mRest = aRest;
}

void GatewayWorld::SetLimit(const std::string& aAddress, double aPerSecond)
{
  mTargets.at(aAddress).mLimit = aPerSecond;
}

dispatch::StatedLimit GatewayWorld::LimitOf(const FakeTarget& aTarget)
{
  using Kind = dispatch::StatedLimit::Kind;
  return { aTarget.mLimit > 0 ? Kind::Valid : Kind::Absent, aTarget.mLimit };
}

dispatch::Report GatewayWorld::ReportOf(const FakeTarget& aTarget) const
{
  dispatch::Report report;
  report.mRunning = aTarget.mRunning;
  report.mWaiting = static_cast<int>(aTarget.mWaiting.size());
  report.mSlots = mLoad.mSlots;
  return report;
}

TargetLinks GatewayWorld::LinksOf(std::size_t aHost) const
{
  const auto found = mTargetLinks.find(aHost);
  return found == mTargetLinks.end() ? TargetLinks::Intact : found->second;
}

// Requests in flight get no answer, or are reset.
void GatewayWorld::SetTargetLinks(std::size_t aHost, TargetLinks aLinks)
{
  mTargetLinks[aHost] = aLinks;
  const bool carries =
    aLinks == TargetLinks::Intact || aLinks == TargetLinks::OnlyOpenConnections;
  if (carries) {
    return;
  }
  std::vector<std::uint64_t> cut;
  for (const auto& [id, job] : mJobs) {
    if (job.mHost == aHost) {
      cut.push_back(id);
    }
  }
  for (const std::uint64_t id : cut) {
    FakeTarget& target = mTargets.at(mJobs.at(id).mTarget);
    if (mJobs.at(id).mRunning) {
      --target.mRunning;
    }
    if (aLinks == TargetLinks::Reset) {
      dispatch::AttemptEnd end;
      end.mKind = dispatch::EndKind::Broken;
      end.mReason = "reset";
      EndJob(id, end);
    } else {
      mJobs.erase(id);
    }
    StartNext(target);
  }
}

bool GatewayWorld::HasOtherJob(const Job& aJob) const
{
  return std::any_of(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
    return &aEntry.second != &aJob && aEntry.second.mHost == aJob.mHost &&
           aEntry.second.mTarget == aJob.mTarget;
  });
}

bool GatewayWorld::IsLostOnLink(std::uint64_t aJob)
{
  const Job& job = mJobs.at(aJob);
  const TargetLinks links = LinksOf(job.mHost);
  if (links == TargetLinks::Intact ||
      (links == TargetLinks::OnlyOpenConnections && !HasOtherJob(job))) {
    return false;
  }
  dispatch::AttemptEnd end;
  end.mKind = dispatch::EndKind::NotSent;
  if (links == TargetLinks::Hanging) {
    end.mReason = "connect_timeout";
    Later(kConnectTimeout, [this, aJob, end] {
      if (mJobs.count(aJob) != 0) {
        EndJob(aJob, end);
      }
    });
    return true;
  }
  end.mRefused = true;
  end.mReason = "connect_failed";
  EndJob(aJob, end);
  return true;
}

void GatewayWorld::ArriveAtTarget(std::uint64_t aJob)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return;
  }
  Job& job = found->second;
  FakeTarget& target = mTargets.at(job.mTarget);
  dispatch::AttemptEnd end;
  if (IsLostOnLink(aJob)) {
    return;
  }
  if (target.mSilent) {
    Later(kConnectTimeout, [this, aJob] {
      if (mJobs.count(aJob) != 0) {
        dispatch::AttemptEnd late;
        late.mKind = dispatch::EndKind::NotSent;
        late.mReason = "connect_timeout";
        EndJob(aJob, late);
      }
    });
    return;
  }
  if (!target.mAlive) {
    end.mKind = dispatch::EndKind::NotSent;
    end.mRefused = true;
    end.mReason = "connect_failed";
    EndJob(aJob, end);
    return;
  }
  mVisits.push_back({ mNow, job.mHost, job.mTarget });
  mArrivals.push_back(
    { mNow,
      mHosts[job.mHost].mSettings.mFleet.mPeerAddress,
      target.mId,
      job.mPath,
      job.mExtra,
      target.mLimit > 0,
      job.mHost,
      target.mDataCentre,
      WarmUpLeft(target) > 0 ? std::optional(target.mColdSince) : std::nullopt,
      job.mSend.mAccount });
  end.mKind = dispatch::EndKind::Answered;
  end.mNotRun = true;
  if (job.mSend.mTargetName != target.mId) {
    end.mMisdirected = true;
    end.mStatus = 421;
    EndJob(aJob, end);
  } else if (mNow < target.mTurnsAwayUntil) {
    mRestAnswers.push_back({ mNow, job.mHost, job.mTarget });
    end.mStatus = 503;
    end.mReport = ReportOf(target);
    end.mRest = { dispatch::StatedRest::Kind::Valid, target.mRest };
    EndJob(aJob, end);
  } else if (target.mRunning < mLoad.mSlots) {
    StartJob(aJob);
  } else if (static_cast<int>(target.mWaiting.size()) < mLoad.mQueue) {
    target.mWaiting.push_back(aJob);
  } else {
    end.mStatus = 503;
    end.mReport = ReportOf(target);
    EndJob(aJob, end);
  }
}

void GatewayWorld::RecordRun(const Job& aJob)
{
  if (mLoad.mIdempotent) {
    return;
  }
  const std::uint64_t key = aJob.mOrigin;
  if (++mRuns[key] > 1) {
    mViolations.push_back("ran twice: " + aJob.mPath);
  }
  if (mRefused.count(key) != 0) {
    mViolations.push_back("ran after it was refused: " + aJob.mPath);
  }
}

void GatewayWorld::StartJob(std::uint64_t aJob)
{
  Job& job = mJobs.at(aJob);
  RecordRun(job);
  job.mRunning = true;
  ++mTargets.at(job.mTarget).mRunning;
  if (mHarmful.count(job.mPath) != 0) {
    Later(mLoad.mCrashDelay, [this, aJob] {
      const auto still = mJobs.find(aJob);
      if (still != mJobs.end()) {
        const std::string address = still->second.mTarget;
        mCrashTimes[still->second.mPath].push_back(mNow);
        EndTarget(address);
      }
    });
    return;
  }
  std::lognormal_distribution<double> spread(
    -kServiceTimeSpread * kServiceTimeSpread / 2, kServiceTimeSpread);
  const double work = static_cast<double>(mLoad.mServiceTime) * spread(mRandom);
  Later(static_cast<Micros>(work), [this, aJob] { FinishJob(aJob); });
}

void GatewayWorld::FinishJob(std::uint64_t aJob)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return;
  }
  FakeTarget& target = mTargets.at(found->second.mTarget);
  --target.mRunning;
  StartNext(target);
  dispatch::AttemptEnd end;
  end.mKind = dispatch::EndKind::Answered;
  end.mStatus = std::bernoulli_distribution(mErrorShare)(mRandom) ? 500 : 200;
  end.mReport = ReportOf(target);
  EndJob(aJob, end);
}

void GatewayWorld::StartNext(FakeTarget& aTarget)
{
  while (!aTarget.mWaiting.empty() && aTarget.mRunning < mLoad.mSlots) {
    const std::uint64_t next = aTarget.mWaiting.front();
    aTarget.mWaiting.pop_front();
    if (mJobs.count(next) != 0) {
      StartJob(next);
    }
  }
}

void GatewayWorld::EndJob(std::uint64_t aJob, dispatch::AttemptEnd aEnd)
{
  const Job job = mJobs.at(aJob);
  mJobs.erase(aJob);
  if (aEnd.mKind == dispatch::EndKind::Answered) {
    aEnd.mLimit = LimitOf(mTargets.at(job.mTarget));
  }
  aEnd.mRequest = job.mSend.mRequest;
  aEnd.mAttempt = job.mSend.mAttempt;
  Later(kOneWayDelay,
        [this, host = job.mHost, aEnd] { ReportEnd(host, aEnd); });
}

void GatewayWorld::ReportEnd(std::size_t aHost, dispatch::AttemptEnd aEnd)
{
  mStatuses[{ aHost, aEnd.mAttempt }] = aEnd.mStatus;
  Post(aHost, std::move(aEnd));
}

// ------------------------------------------------------------------- clients

// Three in ten clients keep an answer three times as long as it says.
void GatewayWorld::UseDirectory(int aClients)
{
  for (int i = 0; i < aClients; ++i) {
    DirectoryClient client;
    client.mDataCentre = DataCentre(i, mLoad);
    client.mKeepFactor = i % 10 < 3 ? 3 : 1;
    mDirectoryClients.push_back(std::move(client));
  }
}

void GatewayWorld::AskDirectory(DirectoryClient& aClient)
{
  std::vector<std::size_t> near;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (mHosts[i].mAlive &&
        mHosts[i].mSettings.mFleet.mDataCentre == aClient.mDataCentre) {
      near.push_back(i);
    }
  }
  const std::optional<std::size_t> asked =
    near.empty() ? AnyHost() : near[mRandom() % near.size()];
  if (!asked) {
    return;
  }
  Host& host = mHosts[*asked];
  std::vector<std::string> addresses =
    gateway::AddressesFor(host.mState, { aClient.mDataCentre }, mNow);
  if (!addresses.empty()) {
    aClient.mAddresses = std::move(addresses);
    aClient.mKeepUntil =
      mNow + aClient.mKeepFactor * host.mSettings.mAnswerKeep;
  }
}

std::optional<std::size_t> GatewayWorld::HostFor(const Client& aClient)
{
  if (mDirectoryClients.empty()) {
    return AnyHost();
  }
  DirectoryClient& client = mDirectoryClients[aClient.mDirectoryClient];
  if (client.mKeepUntil <= mNow || client.mAddresses.empty()) {
    AskDirectory(client);
  }
  if (client.mAddresses.empty()) {
    return std::nullopt;
  }
  return IndexOf(client.mAddresses[mRandom() % client.mAddresses.size()]);
}

std::size_t GatewayWorld::IndexOf(const std::string& aCallerAddress) const
{
  const auto found =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const Host& aHost) {
      return aHost.mSettings.mFleet.mCallerAddress == aCallerAddress;
    });
  return static_cast<std::size_t>(found - mHosts.begin());
}

std::vector<std::size_t> GatewayWorld::NamedBy(std::size_t aHost)
{
  Host& host = mHosts[aHost];
  std::vector<std::size_t> named;
  for (const std::string& address : gateway::AddressesFor(
         host.mState, { host.mSettings.mFleet.mDataCentre }, mNow)) {
    named.push_back(IndexOf(address));
  }
  return named;
}

void GatewayWorld::RecordFirstTry(std::size_t aHost,
                                  const Client& aClient,
                                  int aStatus)
{
  if (aClient.mIsWatched) {
    mFirstAnswers.emplace_back(aStatus, mNow - aClient.mSentAt);
    ++mFirstTries[aHost].mSent;
    mFirstTries[aHost].mServed += aStatus == 200 ? 1 : 0;
  }
  if (aStatus == 200 || mDirectoryClients.empty()) {
    return;
  }
  std::vector<std::string>& addresses =
    mDirectoryClients[aClient.mDirectoryClient].mAddresses;
  addresses.erase(std::remove(addresses.begin(),
                              addresses.end(),
                              mHosts[aHost].mSettings.mFleet.mCallerAddress),
                  addresses.end());
}

void GatewayWorld::StartClients(Micros aFor)
{
  std::exponential_distribution<double> gaps(mLoad.mPerSecond);
  Micros at = 0;
  while (at < aFor) {
    Later(at, [this] {
      SendRequest({ "/" + std::to_string(++mLastId), true, mLoad.mRetries });
    });
    at += static_cast<Micros>(gaps(mRandom) * kSecond);
  }
}

void GatewayWorld::SendRepeatedly(const std::string& aPath,
                                  Micros aGap,
                                  Micros aFor,
                                  bool aCounted)
{
  for (Micros at = 0; at < aFor; at += aGap) {
    Later(at, [this, aPath, aCounted] {
      SendRequest({ aPath, aCounted, aCounted ? mLoad.mRetries : 0 });
    });
  }
}

void GatewayWorld::SendRequest(Client aClient)
{
  const bool first = aClient.mRetries == mLoad.mRetries;
  mTally.mOffered += aClient.mCounted && first ? 1 : 0;
  if (first && !mDirectoryClients.empty()) {
    aClient.mDirectoryClient = mRandom() % mDirectoryClients.size();
  }
  aClient.mIsWatched = first && aClient.mCounted && mCountsFirstTries;
  const std::optional<std::size_t> alive = HostFor(aClient);
  if (!alive) {
    mTally.mFailed += aClient.mCounted ? 1 : 0;
    return;
  }
  const std::size_t host = *alive;
  dispatch::Arrival arrival;
  arrival.mId = ++mLastId;
  arrival.mClientRequestId = std::to_string(arrival.mId);
  arrival.mHostName = "host";
  arrival.mPath = aClient.mPath;
  arrival.mPatience = mLoad.mTimeout;
  if (mLoad.mAccounts > 0) {
    const std::uint64_t number = std::stoull(aClient.mPath.substr(1));
    arrival.mKey = accounts::DigestOf(
      KeyOf(number % static_cast<std::uint64_t>(mLoad.mAccounts)));
  }
  aClient.mSentAt = mNow;
  mClients[{ host, arrival.mId }] = std::move(aClient);
  Post(host, std::move(arrival));
}

// A request that may have run is retried only if it is idempotent.
void GatewayWorld::EndClient(std::size_t aHost,
                             std::uint64_t aRequest,
                             int aStatus)
{
  const auto found = mClients.find({ aHost, aRequest });
  if (found == mClients.end()) {
    return;
  }
  Client client = std::move(found->second);
  mClients.erase(found);
  if (!client.mCounted) {
    return;
  }
  RecordFirstTry(aHost, client, aStatus);
  const bool again = aStatus == 503 || (aStatus >= 500 && mLoad.mIdempotent);
  if (again && client.mRetries > 0) {
    --client.mRetries;
    client.mSent = false;
    Later(kRetryDelay, [this, client] { SendRequest(client); });
  } else if (aStatus == 200) {
    ++mTally.mServed;
  } else {
    ++(aStatus == 503 ? mTally.mRefused : mTally.mFailed);
  }
}

// ------------------------------------------------------------------- effects

void GatewayWorld::PerformOne(std::size_t aHost, dispatch::ProbeTarget& aEffect)
{
  const TargetLinks links = LinksOf(aHost);
  const bool hangs = links == TargetLinks::Hanging;
  const bool reset = links == TargetLinks::Reset;
  const bool silent = mTargets.at(aEffect.mAddress).mSilent;
  const Micros patience = hangs    ? kHangingProbeTime
                          : silent ? kProbeTimeout
                                   : 2 * kOneWayDelay;
  const Micros sentAt = mNow;
  Later(patience, [this, aHost, silent, hangs, reset, sentAt, probe = aEffect] {
    const FakeTarget& target = mTargets.at(probe.mAddress);
    mVisits.push_back({ sentAt + kOneWayDelay, aHost, probe.mAddress });
    dispatch::ProbeEnd end;
    end.mTarget = probe.mTarget;
    if (target.mAlive && !silent && !hangs && !reset) {
      end.mAnswered = true;
      end.mHealthy = true;
      end.mAnsweredBy = target.mId;
      if (mLoad.mReportsLoad) {
        end.mReport = ReportOf(target);
        end.mWarmUpLeft = WarmUpLeft(target);
      }
      end.mLimit =
        mProbesReportLimits ? LimitOf(target) : dispatch::StatedLimit();
    }
    end.mRefused = reset || (!target.mAlive && !silent && !hangs);
    Post(aHost, std::move(end));
  });
}

void GatewayWorld::PerformOne(std::size_t aHost, dispatch::SendRequest& aEffect)
{
  const auto client = mClients.find({ aHost, aEffect.mRequest });
  const auto relay = mRelays.find({ aHost, aEffect.mRequest });
  Job job;
  job.mHost = aHost;
  job.mSend = aEffect;
  job.mOrigin = aEffect.mRequest;
  if (client != mClients.end()) {
    job.mPath = client->second.mPath;
    job.mExtra = std::exchange(client->second.mSent, true);
  } else if (relay != mRelays.end()) {
    job.mPath = relay->second.mPath;
    job.mOrigin = relay->second.mOrigin;
    job.mExtra = std::exchange(relay->second.mSent, true);
  }
  job.mTarget = aEffect.mAddress;
  const std::uint64_t id = ++mLastId;
  mJobs[id] = std::move(job);
  Later(kOneWayDelay, [this, id] { ArriveAtTarget(id); });
}

void GatewayWorld::PerformOne(std::size_t aHost,
                              dispatch::RelayRequest& aEffect)
{
  const auto client = mClients.find({ aHost, aEffect.mRequest });
  Relay relay;
  relay.mFromHost = aHost;
  relay.mAttempt = aEffect.mAttempt;
  relay.mOrigin = aEffect.mRequest;
  relay.mPath = client == mClients.end() ? "" : client->second.mPath;
  const auto to =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const Host& aOther) {
      return aOther.mSettings.mFleet.mCallerAddress == aEffect.mAddress;
    });
  const auto index = static_cast<std::size_t>(to - mHosts.begin());
  if (!to->mAlive || mCutOff.count(index) != 0 || mCutOff.count(aHost) != 0) {
    dispatch::AttemptEnd end;
    end.mRequest = aEffect.mRequest;
    end.mAttempt = aEffect.mAttempt;
    end.mKind = dispatch::EndKind::NotSent;
    end.mReason = "connect_timeout";
    Later(kConnectTimeout, [this, aHost, end] { ReportEnd(aHost, end); });
    return;
  }
  const dispatch::RelayRequest effect = aEffect;
  Later(kOneWayDelay,
        [this, index, effect, relay] { ArriveAtHost(index, effect, relay); });
}

void GatewayWorld::ArriveAtHost(std::size_t aHost,
                                const dispatch::RelayRequest& aEffect,
                                const Relay& aRelay)
{
  dispatch::Arrival arrival;
  arrival.mId = ++mLastId;
  arrival.mClientRequestId = std::to_string(arrival.mId);
  arrival.mHostName = "host";
  arrival.mPath = aRelay.mPath;
  arrival.mPatience = std::max<Micros>(1, aEffect.mDeadline - mNow);
  arrival.mRelayedAfter = aEffect.mElapsed;
  arrival.mHasRelayFields = true;
  const std::string& from =
    mHosts[aRelay.mFromHost].mSettings.mFleet.mPeerAddress;
  arrival.mSender = from.substr(0, from.rfind(':'));
  arrival.mAccount = aEffect.mAccount;
  mRelays[{ aHost, arrival.mId }] = aRelay;
  Post(aHost, std::move(arrival));
}

bool GatewayWorld::EndRelay(std::size_t aHost,
                            std::uint64_t aRequest,
                            int aStatus,
                            bool aOwnReply)
{
  const auto found = mRelays.find({ aHost, aRequest });
  if (found == mRelays.end()) {
    return false;
  }
  const Relay relay = found->second;
  mRelays.erase(found);
  dispatch::AttemptEnd end;
  end.mAttempt = relay.mAttempt;
  end.mRequest = relay.mOrigin;
  end.mKind = dispatch::EndKind::Answered;
  end.mStatus = aStatus;
  end.mMisdirected = aStatus == 421;
  end.mNotRun = end.mMisdirected || (aOwnReply && aStatus == 503);
  Later(kOneWayDelay,
        [this, to = relay.mFromHost, end] { ReportEnd(to, end); });
  return true;
}

// Connections between this host and others break.
void GatewayWorld::BreakRelays(std::size_t aHost)
{
  for (auto it = mRelays.begin(); it != mRelays.end();) {
    const auto [at, request] = it->first;
    const Relay relay = it->second;
    if (at != aHost && relay.mFromHost != aHost) {
      ++it;
      continue;
    }
    it = mRelays.erase(it);
    if (at != aHost) {
      Later(kOneWayDelay, [this, at = at, request = request] {
        Post(at, gateway::ClientGone{ request });
      });
      continue;
    }
    dispatch::AttemptEnd end;
    end.mAttempt = relay.mAttempt;
    end.mRequest = relay.mOrigin;
    end.mReason = "reset";
    Later(kOneWayDelay,
          [this, to = relay.mFromHost, end] { ReportEnd(to, end); });
  }
}

void GatewayWorld::PerformOne(std::size_t aHost,
                              dispatch::CancelAttempt& aEffect)
{
  const auto relay =
    std::find_if(mRelays.begin(), mRelays.end(), [&](const auto& aEntry) {
      return aEntry.second.mFromHost == aHost &&
             aEntry.second.mAttempt == aEffect.mAttempt;
    });
  if (relay != mRelays.end()) {
    const auto [at, request] = relay->first;
    mRelays.erase(relay);
    Later(kOneWayDelay, [this, at = at, request = request] {
      Post(at, gateway::ClientGone{ request });
    });
    return;
  }
  const auto found =
    std::find_if(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
      return aEntry.second.mHost == aHost &&
             aEntry.second.mSend.mAttempt == aEffect.mAttempt;
    });
  if (found == mJobs.end()) {
    return;
  }
  FakeTarget& target = mTargets.at(found->second.mTarget);
  const bool running = found->second.mRunning;
  mJobs.erase(found);
  if (running) {
    --target.mRunning;
    StartNext(target);
  }
}

void GatewayWorld::PerformOne(std::size_t aHost,
                              dispatch::DeliverAnswer& aEffect)
{
  const int status = mStatuses.at({ aHost, aEffect.mAttempt });
  if (!EndRelay(aHost, aEffect.mRequest, status, false)) {
    EndClient(aHost, aEffect.mRequest, status);
  }
}

void GatewayWorld::PerformOne(std::size_t aHost,
                              dispatch::ReplyToClient& aEffect)
{
  if (EndRelay(aHost, aEffect.mRequest, aEffect.mStatus, true)) {
    return;
  }
  const auto key = std::make_pair(aHost, aEffect.mRequest);
  if (aEffect.mStatus == 503 && !mLoad.mIdempotent) {
    mRefused.insert(aEffect.mRequest);
    if (mRuns.count(aEffect.mRequest) != 0) {
      mViolations.push_back("refused although it ran: " + aEffect.mReason);
    }
  }
  const auto client = mClients.find(key);
  const bool counted = client != mClients.end() && client->second.mCounted;
  mTally.mQuarantined += counted && aEffect.mReason == "quarantined" ? 1 : 0;
  EndClient(aHost, aEffect.mRequest, aEffect.mStatus);
}

void GatewayWorld::PerformOne(std::size_t aHost, gateway::SendPeer& aEffect)
{
  if (aEffect.mMessage.has_gossip()) {
    if (mDropsGossip) {
      return;
    }
    ++mGossipMessages;
    mGossipBytes += aEffect.mMessage.ByteSizeLong();
  }
  const auto found = mHostByAddress.find(aEffect.mAddress);
  if (found == mHostByAddress.end() || mCutOff.count(aHost) != 0 ||
      mCutOff.count(found->second) != 0 ||
      (mLose && mLose(aHost, found->second, aEffect.mMessage))) {
    return;
  }
  Later(kOneWayDelay, [this, to = found->second, message = aEffect.mMessage] {
    Post(to, gateway::PeerMessage{ message });
  });
}

void GatewayWorld::PerformOne(std::size_t aHost, gateway::Persist& aEffect)
{
  Host& host = mHosts[aHost];
  ApplyWrite(host.mDisk, aEffect.mWrite);
  const std::uint64_t life = host.mStartCount;
  const std::uint64_t sequence = aEffect.mWrite.mSequence;
  Later(kSyncTime, [this, aHost, life, sequence] {
    if (mHosts[aHost].mStartCount == life) {
      Post(aHost, gateway::DiskSynced{ sequence });
    }
  });
}

} // namespace geraniumpond::fakes
