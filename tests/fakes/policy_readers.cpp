#include "fakes/policy_readers.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr Micros kReadPause = 100 * kMillisecond;

} // namespace

PolicyReaders::PolicyReaders(FleetSimulation& aSimulation, std::uint64_t aSeed)
  : mSimulation(aSimulation)
  , mRandom(aSeed)
{
}

void PolicyReaders::Send(const std::string& aHost, std::uint64_t aAcknowledged)
{
  wire::CatalogCommand read;
  read.mutable_read_barrier();
  const std::uint64_t id = mSimulation.Submit(aHost, read);
  const std::uint64_t incarnation =
    mSimulation.Node(aHost).mSettings.mIncarnation;
  mSent.push_back({ aHost, incarnation, id, aAcknowledged });
}

bool PolicyReaders::TakeEnd(const SentRead& aRead, std::string& aFault)
{
  const FleetNode& node = mSimulation.Node(aRead.mHost);
  if (!node.mAlive || node.mSettings.mIncarnation != aRead.mIncarnation) {
    return true;
  }
  const auto done = node.mDone.find(aRead.mId);
  if (done == node.mDone.end()) {
    return false;
  }
  if (done->second.mEnd != fleet::SubmitEnd::Committed) {
    return true;
  }
  ++mAnswered;
  const std::uint64_t version = done->second.mOutcome.version();
  if (version < aRead.mLeast) {
    aFault = aRead.mHost + " answers a read with version " +
             std::to_string(version) + ", " + std::to_string(aRead.mLeast) +
             " was acknowledged before";
  }
  return true;
}

std::string PolicyReaders::Look(const std::vector<std::string>& aHosts,
                                std::uint64_t aAcknowledged)
{
  std::string fault;
  mSent.erase(std::remove_if(
                mSent.begin(),
                mSent.end(),
                [&](const SentRead& aRead) { return TakeEnd(aRead, fault); }),
              mSent.end());
  if (mSimulation.mNow >= mNextAt && !aHosts.empty()) {
    mNextAt = mSimulation.mNow + kReadPause;
    const std::string& host = aHosts[mRandom() % aHosts.size()];
    if (mSimulation.mFrozen.count(host) == 0) {
      Send(host, aAcknowledged);
    }
  }
  return fault;
}

} // namespace geraniumpond::fakes
