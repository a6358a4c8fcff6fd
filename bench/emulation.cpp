#include "emulation.h"

#include <algorithm>
#include <cmath>

namespace geraniumpond::bench {

namespace {

constexpr Micros kHerdSample = 10 * kMillisecond;

double QuantileOf(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto at = static_cast<std::ptrdiff_t>(
    aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[static_cast<std::size_t>(at)];
}

} // namespace

Emulation::Emulation(const Scenario& aScenario)
  : mScenario(aScenario)
  , mRandom(aScenario.mSeed)
  , mTargets(static_cast<std::size_t>(aScenario.mTargets))
  , mHarmed(static_cast<std::size_t>(aScenario.mEntries))
  , mWaiting(static_cast<std::size_t>(aScenario.mTargets))
{
}

void Emulation::At(Micros aTime, std::function<void()> aWhat)
{
  mQueue.push({ aTime, ++mOrder, std::move(aWhat) });
}

Micros Emulation::Trip(int aEntry, int aTarget) const
{
  return aEntry % kDataCentres == aTarget % kDataCentres ? kTripNear : kTripFar;
}

bool Emulation::Faulty(int aTarget) const
{
  const bool fault = mScenario.mStraggler > 1 || mScenario.mFailFast;
  return fault && aTarget == 0 && mNow >= mScenario.mFaultAt &&
         mNow < mScenario.mFaultEnd;
}

double Emulation::ServiceTime(bool aBulk)
{
  const double sigma = mScenario.mSigma;
  std::lognormal_distribution<double> times(
    std::log(kMeanService) - sigma * sigma / 2, sigma);
  return times(mRandom) * (aBulk ? kBulkFactor : 1);
}

double Emulation::ArrivalsPerSecond() const
{
  const double slots = mScenario.mTargets * mScenario.mSlots;
  return mScenario.mLoad * slots * kSecond / kMeanService;
}

void Emulation::Send(const Work& aWork, int aTarget, OnEnd aOnEnd)
{
  ++mAttempts;
  ++mCalls[aWork.mCall].mAttempts;
  if (Faulty(aTarget)) {
    ++mHarmed[static_cast<std::size_t>(aWork.mEntry)];
  }
  if (aTarget == 0) {
    mFaultySent.push_back(mNow);
  }
  At(mNow + Trip(aWork.mEntry, aTarget),
     [this, aTarget, sent = Sent{ aWork, std::move(aOnEnd) }] {
       Reach(aTarget, sent);
     });
}

void Emulation::Reach(int aTarget, const Sent& aSent)
{
  TargetModel& target = mTargets[static_cast<std::size_t>(aTarget)];
  if (mScenario.mFailFast && Faulty(aTarget)) {
    ++target.mRunning;
    At(mNow + kFailTime,
       [this, aTarget, aSent] { Done(aTarget, aSent, false); });
    return;
  }
  if (target.mRunning >= mScenario.mSlots) {
    mWaiting[static_cast<std::size_t>(aTarget)].push_back(aSent);
    return;
  }
  Begin(aTarget, aSent);
}

void Emulation::Begin(int aTarget, const Sent& aSent)
{
  TargetModel& target = mTargets[static_cast<std::size_t>(aTarget)];
  ++target.mRunning;
  ++target.mStarted;
  // The call's own time on the first attempt, a fresh one on any other.
  CallState& call = mCalls[aSent.mWork.mCall];
  double time = call.mAttempts <= 1 ? call.mService : ServiceTime(call.mBulk);
  if (Faulty(aTarget)) {
    time *= mScenario.mStraggler;
  }
  At(mNow + static_cast<Micros>(time),
     [this, aTarget, aSent] { Done(aTarget, aSent, true); });
}

void Emulation::Done(int aTarget, const Sent& aSent, bool aOk)
{
  TargetModel& target = mTargets[static_cast<std::size_t>(aTarget)];
  auto& waiting = mWaiting[static_cast<std::size_t>(aTarget)];
  --target.mRunning;
  if (!waiting.empty() && target.mRunning < mScenario.mSlots) {
    const Sent next = waiting.front();
    waiting.pop_front();
    Begin(aTarget, next);
  }
  const int inFlight = target.mRunning + static_cast<int>(waiting.size());
  At(mNow + Trip(aSent.mWork.mEntry, aTarget),
     [aSent, aOk, inFlight] { aSent.mOnEnd(aSent.mWork, aOk, inFlight); });
}

void Emulation::End(std::uint64_t aCall, bool aOk)
{
  CallState& call = mCalls[aCall];
  call.mEndedAt = mNow;
  call.mOk = aOk;
}

void Emulation::Refuse(std::uint64_t aCall)
{
  CallState& call = mCalls[aCall];
  call.mRefused = true;
  call.mRefusedAfter = mNow - call.mArrivedAt;
}

void Emulation::Arrive(const OnArrival& aOnArrival)
{
  CallState call;
  call.mArrivedAt = mNow;
  std::uniform_real_distribution<double> dice(0, 1);
  const double skew =
    mScenario.mSkew > 0 ? mScenario.mSkew : 1.0 / mScenario.mEntries;
  if (dice(mRandom) >= skew && mScenario.mEntries > 1) {
    call.mEntry = 1 + static_cast<int>(mRandom() % static_cast<std::uint64_t>(
                                                     mScenario.mEntries - 1));
  }
  const double bulkCalls = mScenario.mBulkLoad / kBulkFactor;
  const double share =
    bulkCalls / (bulkCalls + mScenario.mLoad - mScenario.mBulkLoad);
  call.mBulk = mScenario.mBulkLoad > 0 && dice(mRandom) < share;
  call.mService = ServiceTime(call.mBulk);
  mCalls.push_back(call);
  aOnArrival(mCalls.size() - 1);
  const double perSecond = ArrivalsPerSecond() *
                           (bulkCalls + mScenario.mLoad - mScenario.mBulkLoad) /
                           mScenario.mLoad;
  std::exponential_distribution<double> gap(perSecond / kSecond);
  const Micros next = mNow + 1 + static_cast<Micros>(gap(mRandom));
  if (next < mScenario.mLength) {
    At(next, [this, &aOnArrival] { Arrive(aOnArrival); });
  }
}

void Emulation::SampleHerd()
{
  double peak = 0;
  double sum = 0;
  for (std::size_t i = 0; i < mTargets.size(); ++i) {
    const double work =
      mTargets[i].mRunning + static_cast<double>(mWaiting[i].size());
    peak = std::max(peak, work);
    sum += work;
  }
  if (mNow > kWarmUp) {
    mPeakSum += peak;
    mMeanSum += sum / static_cast<double>(mTargets.size());
  }
  if (mNow < mScenario.mLength) {
    At(mNow + kHerdSample, [this] { SampleHerd(); });
  }
}

void Emulation::Run(const OnArrival& aOnArrival)
{
  At(0, [this, &aOnArrival] { Arrive(aOnArrival); });
  At(0, [this] { SampleHerd(); });
  const Micros end = mScenario.mLength + 10 * kSecond;
  while (!mQueue.empty() && mQueue.top().mAt <= end) {
    const Event event = mQueue.top();
    mQueue.pop();
    mNow = event.mAt;
    event.mWhat();
  }
}

Summary Summarise(const Emulation& aEmulation)
{
  Summary summary;
  std::vector<double> all;
  std::vector<double> urgent;
  double counted = 0;
  double urgentCounted = 0;
  double urgentMet = 0;
  double missed = 0;
  double refused = 0;
  double done = 0;
  double attempts = 0;
  for (const CallState& call : aEmulation.mCalls) {
    if (call.mArrivedAt < kWarmUp) {
      continue;
    }
    ++counted;
    attempts += call.mAttempts;
    const Micros deadline =
      call.mBulk ? kBulkDeadline : aEmulation.mScenario.mDeadline;
    const bool inTime = call.mOk && call.mEndedAt - call.mArrivedAt <= deadline;
    if (!call.mBulk) {
      ++urgentCounted;
      urgentMet += inTime ? 1 : 0;
    }
    if (call.mRefused) {
      ++refused;
      const double after =
        static_cast<double>(call.mRefusedAfter) / static_cast<double>(deadline);
      summary.mWorstRefusal = std::max(summary.mWorstRefusal, after);
      continue;
    }
    missed += inTime ? 0 : 1;
    if (!call.mOk) {
      continue;
    }
    done += inTime ? call.mService : 0;
    const double ms =
      static_cast<double>(call.mEndedAt - call.mArrivedAt) / kMillisecond;
    all.push_back(ms);
    if (!call.mBulk) {
      urgent.push_back(ms);
    }
  }
  const Scenario& scenario = aEmulation.mScenario;
  const double capacity = static_cast<double>(scenario.mLength - kWarmUp) *
                          scenario.mTargets * scenario.mSlots;
  summary.mP50 = QuantileOf(all, 0.5);
  summary.mP99 = QuantileOf(all, 0.99);
  summary.mP999 = QuantileOf(all, 0.999);
  summary.mUrgentP99 = QuantileOf(urgent, 0.99);
  summary.mMissed = missed / counted;
  summary.mRefusedShare = refused / counted;
  summary.mGoodput = done / capacity;
  summary.mUrgentMet = urgentMet / std::max(urgentCounted, 1.0);
  summary.mExtra = attempts / (counted - refused) - 1;
  summary.mHerd = aEmulation.mPeakSum / aEmulation.mMeanSum;
  return summary;
}

} // namespace geraniumpond::bench
