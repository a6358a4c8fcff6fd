#include "fakes/policy_readers.h"

#include <algorithm>

namespace geraniumpond::fakes {

namespace {

constexpr Micros kReadInterval = 100 * kMillisecond;

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
  mPendingReads.push_back({ aHost, incarnation, id, aAcknowledged });
}

bool PolicyReaders::CheckAnswer(const PendingRead& aRead,
                                std::string& aViolation)
{
  const FleetNode& node = mSimulation.Node(aRead.mHost);
  if (!node.mAlive || node.mSettings.mIncarnation != aRead.mIncarnation) {
    return true;
  }
  const auto done = node.mOutcomes.find(aRead.mId);
  if (done == node.mOutcomes.end()) {
    return false;
  }
  if (done->second.mEnd != fleet::SubmitResult::Committed) {
    return true;
  }
  ++mAnswered;
  const std::uint64_t version = done->second.mOutcome.version();
  if (version < aRead.mMinVersion) {
    aViolation = aRead.mHost + " answered a read with version " +
                 std::to_string(version) + ", " +
                 std::to_string(aRead.mMinVersion) +
                 " was acknowledged before the read";
  }
  return true;
}

std::string PolicyReaders::Poll(const std::vector<std::string>& aHosts,
                                std::uint64_t aAcknowledged)
{
  std::string violation;
  mPendingReads.erase(std::remove_if(mPendingReads.begin(),
                                     mPendingReads.end(),
                                     [&](const PendingRead& aRead) {
                                       return CheckAnswer(aRead, violation);
                                     }),
                      mPendingReads.end());
  if (mSimulation.mNow >= mNextAt && !aHosts.empty()) {
    mNextAt = mSimulation.mNow + kReadInterval;
    const std::string& host = aHosts[mRandom() % aHosts.size()];
    if (mSimulation.mSuspended.count(host) == 0) {
      Send(host, aAcknowledged);
    }
  }
  return violation;
}

} // namespace geraniumpond::fakes
