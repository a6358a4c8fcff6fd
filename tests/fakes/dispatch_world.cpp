#include "dispatch_world.h"

#include <geraniumpond/hash.h>

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

/// One-way latency between a host and a target.
constexpr Micros kOneWayLatency = 500;
/// Time that a target takes to answer a probe.
constexpr Micros kHealthTime = kMillisecond;
constexpr Micros kTimeStep = kMillisecond;
/// A client retries once, after at most a third of its remaining time.
constexpr int kRetryShare = 3;
constexpr double kWorkSpread = 0.3;
constexpr Micros kQuotaWindow = 5 * kSecond;
constexpr double kNoLimit = 1e9;

// A load without kinds is of one kind.
std::vector<DispatchKind> KindsOf(const DispatchLoad& aLoad)
{
  if (!aLoad.mKinds.empty()) {
    return aLoad.mKinds;
  }
  return {
    { "route", 1, 1, 1, aLoad.mWork, aLoad.mObjective, aLoad.mTimeout }
  };
}

policy::Route RouteOf(const DispatchKind& aKind, bool aIdempotent)
{
  policy::Route route;
  route.mName = aKind.mName;
  route.mHostName = aKind.mName;
  route.mPathPrefix = "/";
  route.mKind =
    aIdempotent ? policy::RouteKind::Safe : policy::RouteKind::Unsafe;
  route.mTimeout = aKind.mTimeout;
  route.mObjective = aKind.mObjective;
  route.mAttempts = 2;
  route.mPriority = aKind.mPriority;
  route.mBackends = { { "service", 1 } };
  return route;
}

// An account's rate follows its usual share of the load.
accounts::Book BookOf(const DispatchLoad& aLoad)
{
  accounts::Book book;
  for (const DispatchAccount& account : aLoad.mAccounts) {
    book.mByName[account.mName] = book.mAccounts.size();
    accounts::Account& added = book.mAccounts.emplace_back();
    added.mName = account.mName;
    added.mPerSecond = account.mShare * aLoad.mPerSecond;
    book.mByKey[accounts::DigestOf(account.mName)] = book.mAccounts.size() - 1;
  }
  return book;
}

std::shared_ptr<const policy::TrafficPolicy> PolicyFor(
  const DispatchLoad& aLoad)
{
  auto trafficPolicy = std::make_shared<policy::TrafficPolicy>();
  trafficPolicy->mVersion = 1;
  for (const DispatchKind& kind : KindsOf(aLoad)) {
    trafficPolicy->mRoutes.push_back(RouteOf(kind, aLoad.mIdempotent));
  }
  trafficPolicy->mServices["service"] = { "service", "/health", 1000 };
  if (!aLoad.mAccounts.empty()) {
    trafficPolicy->mAccounts = BookOf(aLoad);
  }
  policy::BuildIndex(*trafficPolicy);
  return trafficPolicy;
}

// Index of one of the parts by chance, in proportion to what they ask.
template<class Part>
std::size_t Pick(const std::vector<Part>& aParts, std::mt19937_64& aRandom)
{
  std::vector<double> weights;
  weights.reserve(aParts.size());
  for (const Part& part : aParts) {
    weights.push_back(part.mShare * part.mSurge);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return pick(aRandom);
}

// Surges come on top of the usual load.
template<class Part>
double SurgeOf(const std::vector<Part>& aParts)
{
  double sum = aParts.empty() ? 1 : 0;
  for (const Part& part : aParts) {
    sum += part.mShare * part.mSurge;
  }
  return sum;
}

std::string DataCentre(int aIndex, const DispatchLoad& aLoad)
{
  return "dc" + std::to_string(aIndex % aLoad.mDataCentres);
}

} // namespace

DispatchWorld::DispatchWorld(const DispatchLoad& aLoad, std::uint64_t aSeed)
  : mLoad(aLoad)
  , mRandom(aSeed)
{
  mLoad.mKinds = KindsOf(mLoad);
  for (int host = 0; host < mLoad.mHosts; ++host) {
    dispatch::State state;
    state.mHostId = "10.0.0." + std::to_string(host) + ":1";
    state.mDataCentre = DataCentre(host, mLoad);
    state.mBounds = { 0.2, 220, 10 * kSecond, 42 };
    state.mRandom = mRandom() | 1;
    dispatch::SetHosts(state, mNow, mLoad.mHosts);
    dispatch::SetPolicy(state, mNow, PolicyFor(mLoad));
    dispatch::SetFairAcrossHosts(state, mLoad.mFairAcrossHosts);
    // Accounts have rates for their weights; no limit binds them.
    state.mQuota =
      quota::MakeState({ kQuotaWindow, 0, kNoLimit }, mNow - 2 * kQuotaWindow);
    quota::SetHosts(
      state.mQuota, mNow, rate_share::MakeMembers({ "host" }, "host"));
    mHosts.push_back(std::move(state));
  }
}

void DispatchWorld::Announce(int aCount)
{
  while (static_cast<int>(mRecords.size()) < aCount) {
    const int index = static_cast<int>(mRecords.size());
    wire::TargetRecord record;
    record.set_id("t" + std::to_string(index));
    record.set_service("service");
    record.set_address("10.1.0.1:80");
    record.set_data_centre(DataCentre(index, mLoad));
    record.set_slots(static_cast<unsigned>(mLoad.mSlots));
    record.set_sequence(1);
    mRecords[record.id()] = record;
    FakeTarget target;
    target.mDataCentre = record.data_centre();
    target.mPhase = static_cast<Micros>(
      mRandom() % static_cast<std::uint64_t>(mLoad.mSpeedDuration));
    mTargets[record.id()] = target;
  }
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    dispatch::Effects effects;
    dispatch::SetTargets(mHosts[host], mNow, mRecords, effects);
    Perform(host, effects);
  }
}

void DispatchWorld::AddTargets()
{
  Announce(mLoad.mTargets);
}

void DispatchWorld::Evacuate(const std::string& aDataCentre)
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    dispatch::Effects effects;
    dispatch::SetEvacuated(mHosts[host], mNow, { aDataCentre }, effects);
    dispatch::SetTargets(mHosts[host], mNow, mRecords, effects);
    Perform(host, effects);
  }
}

void DispatchWorld::AddTargetsOneByOne(Micros aGap)
{
  for (int count = 1; count <= mLoad.mTargets; ++count) {
    Announce(count);
    Run(mNow + aGap);
  }
}

DispatchOutcomes DispatchWorld::RunLoad(Micros aTime)
{
  const double surge = SurgeOf(mLoad.mKinds) * SurgeOf(mLoad.mAccounts);
  std::exponential_distribution<double> gaps(mLoad.mPerSecond * surge);
  if (mLoad.mFairAcrossHosts) {
    HandRoundCounts();
  }
  if (!mLoad.mAccounts.empty()) {
    HandRoundUse();
  }
  const Micros end = mNow + aTime;
  Micros next = mNow;
  while (next < end) {
    Schedule(next - mNow, [this] { StartClient(); });
    next += static_cast<Micros>(gaps(mRandom) * kSecond);
  }
  Run(end + 2 * mLoad.mTimeout);
  mOutcomes.mContacts = mContactCounts.size();
  return mOutcomes;
}

void DispatchWorld::Run(Micros aUntil)
{
  while (mNow < aUntil) {
    mNow += kTimeStep;
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      const std::function<void()> task = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      task();
    }
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      if (dispatch::NextTick(mHosts[host]) <= mNow) {
        dispatch::Effects effects;
        dispatch::Tick(mHosts[host], mNow, effects);
        Perform(host, effects);
      }
    }
  }
}

void DispatchWorld::Schedule(Micros aDelay, std::function<void()> aTask)
{
  mQueue.emplace(mNow + aDelay, std::move(aTask));
}

void DispatchWorld::Perform(std::size_t aHost,
                            const dispatch::Effects& aEffects)
{
  for (const dispatch::Effect& effect : aEffects) {
    if (const auto* probe = std::get_if<dispatch::ProbeTarget>(&effect)) {
      ++mOutcomes.mProbes;
      ++mContactCounts[{ aHost, probe->mTarget }];
      const std::string target = probe->mTarget;
      Schedule(2 * kOneWayLatency + kHealthTime, [this, aHost, target] {
        dispatch::ProbeEnd end;
        end.mTarget = target;
        end.mAnswered = true;
        end.mHealthy = true;
        end.mAnsweredBy = target;
        end.mReport = ReportOf(mTargets.at(target));
        dispatch::Effects effects;
        dispatch::HandleProbeEnd(mHosts[aHost], mNow, end, effects);
        Perform(aHost, effects);
      });
    } else if (const auto* send = std::get_if<dispatch::SendRequest>(&effect)) {
      ++mOutcomes.mSends;
      ++mContactCounts[{ aHost, send->mTarget }];
      const std::uint64_t id = ++mLastId;
      mJobs[id] = { aHost, *send, mClients[mClientOf[send->mRequest]].mWork };
      Schedule(kOneWayLatency, [this, id] { ArriveAtTarget(id); });
    } else if (const auto* cancel =
                 std::get_if<dispatch::CancelAttempt>(&effect)) {
      CancelJob(cancel->mAttempt, aHost);
    } else if (const auto* deliver =
                 std::get_if<dispatch::DeliverAnswer>(&effect)) {
      EndClient(deliver->mRequest, 200, 0);
    } else if (const auto* reply =
                 std::get_if<dispatch::ReplyToClient>(&effect)) {
      EndClient(reply->mRequest, reply->mStatus, reply->mRetryAfter);
    }
  }
}

const DispatchKind& DispatchWorld::KindOf(const Client& aClient) const
{
  return mLoad.mKinds[aClient.mKind];
}

// All hosts hear the sums of what all have counted a while before.
void DispatchWorld::HandRoundCounts()
{
  constexpr Micros kPeriod = 200 * kMillisecond;
  rollup::Totals totals;
  totals.mToldAt = mNow;
  for (const dispatch::State& host : mHosts) {
    rollup::Table own;
    dispatch::AddOwnDemand(host, mNow, own);
    for (const auto& [key, counts] : own) {
      rollup::Counts& sum = totals.mSum.mTable[key];
      for (std::size_t i = 0; i < counts.size(); ++i) {
        sum[i] += counts[i];
      }
    }
  }
  Schedule(mLoad.mCountDelay, [this, totals] {
    for (dispatch::State& host : mHosts) {
      dispatch::Effects effects;
      dispatch::HandleDemandTotals(host, mNow, totals, effects);
    }
  });
  Schedule(kPeriod, [this] { HandRoundCounts(); });
}

// No account has used much of its limit.
void DispatchWorld::HandRoundUse()
{
  constexpr Micros kPeriod = 200 * kMillisecond;
  rollup::Totals totals;
  totals.mToldAt = mNow;
  totals.mSum.mHosts = 1;
  for (dispatch::State& host : mHosts) {
    quota::SetTotals(host.mQuota, mNow, totals);
  }
  Schedule(kPeriod, [this] { HandRoundUse(); });
}

void DispatchWorld::StartClient()
{
  std::lognormal_distribution<double> spread(-kWorkSpread * kWorkSpread / 2,
                                             kWorkSpread);
  const std::uint64_t id = ++mLastId;
  Client& client = mClients[id];
  client.mStartedAt = mNow;
  client.mKind = mLoad.mKinds.size() > 1 ? Pick(mLoad.mKinds, mRandom) : 0;
  if (!mLoad.mAccounts.empty()) {
    client.mAccount = mLoad.mAccounts[Pick(mLoad.mAccounts, mRandom)].mName;
  }
  client.mWork = static_cast<Micros>(static_cast<double>(KindOf(client).mWork) *
                                     spread(mRandom));
  ++mOutcomes.mOffered;
  ++mOutcomes.mKinds[KindOf(client).mName].mOffered;
  ++mOutcomes.mAccounts[client.mAccount].mOffered;
  SendClient(id);
}

void DispatchWorld::SendClient(std::uint64_t aClient)
{
  Client& client = mClients.at(aClient);
  client.mSentAt = mNow;
  const std::size_t host = mRandom() % mHosts.size();
  dispatch::Arrival arrival;
  arrival.mId = ++mLastId;
  arrival.mClientRequestId = std::to_string(arrival.mId);
  arrival.mHostName = KindOf(client).mName;
  arrival.mPath = "/x";
  if (!client.mAccount.empty()) {
    arrival.mKey = accounts::DigestOf(client.mAccount);
    arrival.mAccount = client.mAccount;
  }
  arrival.mPatience = 2 * KindOf(client).mTimeout - (mNow - client.mStartedAt);
  mClientOf[arrival.mId] = aClient;
  dispatch::Effects effects;
  dispatch::HandleArrival(mHosts[host], mNow, arrival, effects);
  Perform(host, effects);
}

void DispatchWorld::EndClient(std::uint64_t aRequest,
                              int aStatus,
                              Micros aRetryAfter)
{
  const std::uint64_t id = mClientOf.at(aRequest);
  Client& client = mClients.at(id);
  const DispatchKind& kind = KindOf(client);
  if (aStatus == 503) {
    mOutcomes.mKinds[kind.mName].mRefusedAfter.push_back(mNow - client.mSentAt);
  }
  if (aStatus == 503 && !client.mRetried) {
    client.mRetried = true;
    const Micros left = client.mStartedAt + 2 * kind.mTimeout - mNow;
    Schedule(std::min(aRetryAfter, left / kRetryShare),
             [this, id] { SendClient(id); });
    return;
  }
  if (aStatus != 200) {
    ++(aStatus == 503 ? mOutcomes.mRefused : mOutcomes.mFailed);
    return;
  }
  const bool inTime = mNow - client.mStartedAt <= kind.mObjective;
  ++(inTime ? mOutcomes.mInTime : mOutcomes.mLate);
  for (DispatchPart* part : { &mOutcomes.mKinds[kind.mName],
                              &mOutcomes.mAccounts[client.mAccount] }) {
    ++(inTime ? part->mInTime : part->mLate);
  }
}

void DispatchWorld::ArriveAtTarget(std::uint64_t aJob)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return;
  }
  FakeTarget& target = mTargets.at(found->second.mSend.mTarget);
  if (IsShedding(target)) {
    RejectJob(aJob);
  } else if (target.mRunning < mLoad.mSlots) {
    StartJob(aJob);
  } else if (static_cast<int>(target.mWaiting.size()) < mLoad.mQueue) {
    target.mWaiting.push_back(aJob);
  }
}

void DispatchWorld::StartJob(std::uint64_t aJob)
{
  Job& job = mJobs.at(aJob);
  FakeTarget& target = mTargets.at(job.mSend.mTarget);
  job.mRunning = true;
  ++target.mRunning;
  double time = static_cast<double>(job.mWork) * SlownessOf(target);
  if (target.mRunning > mLoad.mCrowdedShare * mLoad.mSlots) {
    time *= mLoad.mCrowdedFactor;
  }
  Schedule(static_cast<Micros>(time), [this, aJob] { EndJob(aJob); });
}

void DispatchWorld::EndJob(std::uint64_t aJob)
{
  const auto found = mJobs.find(aJob);
  if (found == mJobs.end()) {
    return;
  }
  const Job job = found->second;
  mJobs.erase(found);
  --mTargets.at(job.mSend.mTarget).mRunning;
  StartNext(job.mSend.mTarget);
  const dispatch::Report report = ReportOf(mTargets.at(job.mSend.mTarget));
  Schedule(kOneWayLatency, [this, job, report] {
    dispatch::AttemptEnd end;
    end.mRequest = job.mSend.mRequest;
    end.mAttempt = job.mSend.mAttempt;
    end.mKind = dispatch::EndKind::Answered;
    end.mStatus = 200;
    end.mReport = report;
    dispatch::Effects effects;
    dispatch::HandleAttemptEnd(mHosts[job.mHost], mNow, end, effects);
    Perform(job.mHost, effects);
  });
}

void DispatchWorld::RejectJob(std::uint64_t aJob)
{
  const Job job = mJobs.at(aJob);
  mJobs.erase(aJob);
  Schedule(kOneWayLatency, [this, job] {
    dispatch::AttemptEnd end;
    end.mRequest = job.mSend.mRequest;
    end.mAttempt = job.mSend.mAttempt;
    end.mKind = dispatch::EndKind::Answered;
    end.mStatus = 503;
    end.mNotRun = true;
    end.mReport = ReportOf(mTargets.at(job.mSend.mTarget));
    dispatch::Effects effects;
    dispatch::HandleAttemptEnd(mHosts[job.mHost], mNow, end, effects);
    Perform(job.mHost, effects);
  });
}

void DispatchWorld::StartNext(const std::string& aTarget)
{
  FakeTarget& target = mTargets.at(aTarget);
  while (!target.mWaiting.empty() && target.mRunning < mLoad.mSlots) {
    const std::uint64_t next = target.mWaiting.front();
    target.mWaiting.pop_front();
    if (mJobs.count(next) != 0) {
      StartJob(next);
    }
  }
}

void DispatchWorld::CancelJob(std::uint64_t aAttempt, std::size_t aHost)
{
  const auto found =
    std::find_if(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
      return aEntry.second.mHost == aHost &&
             aEntry.second.mSend.mAttempt == aAttempt;
    });
  if (found == mJobs.end()) {
    return;
  }
  const Job job = found->second;
  mJobs.erase(found);
  if (job.mRunning) {
    --mTargets.at(job.mSend.mTarget).mRunning;
    StartNext(job.mSend.mTarget);
  }
}

// Derived from a hash of the time span, so that no state is needed.
double DispatchWorld::ChanceOf(const FakeTarget& aTarget,
                               const std::string& aWhat) const
{
  const Micros span = (mNow + aTarget.mPhase) / mLoad.mSpeedDuration;
  const std::uint64_t hash =
    Hash64(std::to_string(aTarget.mPhase) + aWhat + std::to_string(span));
  return static_cast<double>(hash >> 11) / 9007199254740992.0;
}

double DispatchWorld::SlownessOf(const FakeTarget& aTarget) const
{
  return ChanceOf(aTarget, "/") < mLoad.mSlowShare ? mLoad.mSlowFactor : 1;
}

bool DispatchWorld::IsShedding(const FakeTarget& aTarget) const
{
  return ChanceOf(aTarget, "/shedding/") < mLoad.mSheddingShare;
}

dispatch::Report DispatchWorld::ReportOf(const FakeTarget& aTarget) const
{
  return { aTarget.mRunning,
           static_cast<int>(aTarget.mWaiting.size()),
           mLoad.mSlots,
           SlownessOf(aTarget) };
}

} // namespace geraniumpond::fakes
