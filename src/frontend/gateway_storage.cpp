#include "gateway_process.h"
#include "system_clock.h"

#include "edge/logging.h"

#include <algorithm>
#include <cstdio>

// The disk of a control host.
namespace geraniumpond::frontend {

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

void GatewayProcess::HandleSynced(std::uint64_t aSequence)
{
  while (!mUnsynced.empty() && mUnsynced.front().first <= aSequence) {
    mLoadMonitor.RecordWait(WaitKind::Disk, mNow - mUnsynced.front().second);
    mUnsynced.pop_front();
  }
  Post(gateway::DiskSynced{ aSequence });
  mLoadMonitor.RecordWork(WorkKind::Disk, 1);
}

} // namespace geraniumpond::frontend
