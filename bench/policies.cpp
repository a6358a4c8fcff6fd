#include "policies.h"

#include "entries.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace geraniumpond::bench {

namespace {

constexpr std::array<const char*, 7> kNames = {
  "random",       "round-robin",  "least-reported", "least-in-flight",
  "power-of-two", "geraniumpond", "ideal",
};

/// The naive baselines: each entry sends at once, from what it knows.
class Baseline
{
public:
  Baseline(Emulation& aWorld, Policy aPolicy)
    : mWorld(aWorld)
    , mPolicy(aPolicy)
    , mInFlight(static_cast<std::size_t>(aWorld.mScenario.mEntries),
                std::vector<int>(aWorld.mTargets.size()))
    , mNext(static_cast<std::size_t>(aWorld.mScenario.mEntries))
  {
    Report();
  }

  void Arrive(std::uint64_t aCall)
  {
    const int entry = mWorld.mCalls[aCall].mEntry;
    const int target = Choose(static_cast<std::size_t>(entry));
    auto& inFlight = mInFlight[static_cast<std::size_t>(entry)];
    ++inFlight[static_cast<std::size_t>(target)];
    mWorld.Send({ aCall, ++mWorld.mLastAttempt, entry },
                target,
                [this, target](const Work& aWork, bool aOk, int) {
                  --mInFlight[static_cast<std::size_t>(aWork.mEntry)]
                             [static_cast<std::size_t>(target)];
                  mWorld.End(aWork.mCall, aOk);
                });
  }

private:
  void Report()
  {
    for (TargetModel& target : mWorld.mTargets) {
      target.mReported = target.mRunning;
    }
    if (mWorld.mNow < mWorld.mScenario.mLength) {
      mWorld.At(mWorld.mNow + kReportInterval, [this] { Report(); });
    }
  }

  int Any()
  {
    return static_cast<int>(mWorld.mRandom() % mWorld.mTargets.size());
  }

  int Choose(std::size_t aEntry)
  {
    switch (mPolicy) {
      case Policy::RoundRobin:
        return static_cast<int>(mNext[aEntry]++ % mWorld.mTargets.size());
      case Policy::LeastReported:
        return Least([&](std::size_t aTarget) {
          return mWorld.mTargets[aTarget].mReported;
        });
      case Policy::LeastInFlight:
        return Least(
          [&](std::size_t aTarget) { return mInFlight[aEntry][aTarget]; });
      case Policy::PowerOfTwo: {
        const int left = Any();
        const int right = Any();
        const auto& own = mInFlight[aEntry];
        return own[static_cast<std::size_t>(left)] <=
                   own[static_cast<std::size_t>(right)]
                 ? left
                 : right;
      }
      default:
        return Any();
    }
  }

  template<class Weight>
  int Least(Weight aWeight)
  {
    const std::size_t first = mWorld.mRandom() % mWorld.mTargets.size();
    std::size_t best = first;
    for (std::size_t i = 0; i < mWorld.mTargets.size(); ++i) {
      const std::size_t at = (first + i) % mWorld.mTargets.size();
      if (aWeight(at) < aWeight(best)) {
        best = at;
      }
    }
    return static_cast<int>(best);
  }

  Emulation& mWorld;
  Policy mPolicy;
  std::vector<std::vector<int>> mInFlight;
  std::vector<std::size_t> mNext;
};

/// One queue, perfect knowledge, a freed slot refilled at once; a call pays
/// its own trips and nothing else.
class Ideal
{
public:
  explicit Ideal(Emulation& aWorld)
    : mWorld(aWorld)
  {
  }

  void Arrive(std::uint64_t aCall)
  {
    mQueue.push_back(aCall);
    Fill();
  }

private:
  int FreeTarget(int aEntry)
  {
    int best = -1;
    for (std::size_t i = 0; i < mWorld.mTargets.size(); ++i) {
      const int target = static_cast<int>(i);
      if (mWorld.mTargets[i].mRunning >= mWorld.mScenario.mSlots ||
          mWorld.Faulty(target)) {
        continue;
      }
      if (best < 0 || mWorld.Trip(aEntry, target) < mWorld.Trip(aEntry, best)) {
        best = target;
      }
    }
    return best;
  }

  void Fill()
  {
    while (!mQueue.empty()) {
      const std::uint64_t id = mQueue.front();
      CallState& call = mWorld.mCalls[id];
      const int target = FreeTarget(call.mEntry);
      if (target < 0) {
        return;
      }
      mQueue.pop_front();
      ++call.mAttempts;
      ++mWorld.mTargets[static_cast<std::size_t>(target)].mRunning;
      const Micros trips = 2 * mWorld.Trip(call.mEntry, target);
      const Micros end = mWorld.mNow + static_cast<Micros>(call.mService);
      mWorld.At(end, [this, target] {
        --mWorld.mTargets[static_cast<std::size_t>(target)].mRunning;
        Fill();
      });
      mWorld.At(end + trips, [this, id] { mWorld.End(id, true); });
    }
  }

  Emulation& mWorld;
  std::deque<std::uint64_t> mQueue;
};

} // namespace

const char* ToString(Policy aPolicy) noexcept
{
  return kNames[static_cast<std::size_t>(aPolicy)];
}

Emulation RunPolicy(const Scenario& aScenario, Policy aPolicy)
{
  Emulation world(aScenario);
  if (aPolicy == Policy::Reducer) {
    Entries entries(world);
    world.Run([&](std::uint64_t aCall) { entries.Arrive(aCall); });
    return world;
  }
  if (aPolicy == Policy::Ideal) {
    Ideal ideal(world);
    world.Run([&](std::uint64_t aCall) { ideal.Arrive(aCall); });
    return world;
  }
  Baseline baseline(world, aPolicy);
  world.Run([&](std::uint64_t aCall) { baseline.Arrive(aCall); });
  return world;
}

} // namespace geraniumpond::bench
