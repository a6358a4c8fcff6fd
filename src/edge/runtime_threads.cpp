#include "runtime.h"

#include "logging.h"

#include <chrono>

namespace geraniumpond::edge {

void Runtime::RunTimer()
{
  std::unique_lock<std::mutex> lock(mThreadMutex);
  while (!mStopped) {
    const Micros wait = mTimerAt - Now();
    if (wait > 0) {
      mTimerChanged.wait_for(lock, std::chrono::microseconds(wait));
      continue;
    }
    // The reducer sets the next timer; avoid spinning until it does.
    mTimerAt = Now() + kMillisecond;
    lock.unlock();
    wire::Event event;
    event.mutable_tick();
    Post(std::move(event));
    lock.lock();
  }
}

void Runtime::ReportDiskFailure(const std::string& aReason)
{
  wire::Event event;
  event.mutable_sync_failed()->set_reason(aReason);
  Post(std::move(event));
}

void Runtime::WriteBatch(const std::vector<wire::Persist>& aBatch)
{
  for (const wire::Persist& persist : aBatch) {
    const Result<bool> written = mLog->Write(persist);
    if (!written) {
      ReportDiskFailure(written.error().mMessage);
      return;
    }
  }
  const Result<bool> synced = mLog->Sync();
  if (!synced) {
    ReportDiskFailure(synced.error().mMessage);
    return;
  }
  wire::Event event;
  event.mutable_sync_done()->set_sequence(aBatch.back().sequence());
  Post(std::move(event));
}

void Runtime::RunLogWriter()
{
  std::unique_lock<std::mutex> lock(mThreadMutex);
  while (true) {
    mWriteQueued.wait(lock,
                      [this] { return !mPendingWrites.empty() || mStopped; });
    if (mPendingWrites.empty()) {
      return;
    }
    std::vector<wire::Persist> batch;
    batch.swap(mPendingWrites);
    lock.unlock();
    WriteBatch(batch);
    lock.lock();
  }
}

void Runtime::RunCacheWriter()
{
  std::unique_lock<std::mutex> lock(mThreadMutex);
  while (true) {
    mCacheQueued.wait(
      lock, [this] { return mPendingDeployment != nullptr || mStopped; });
    if (mPendingDeployment == nullptr) {
      return;
    }
    const std::unique_ptr<wire::DeploymentVersion> version =
      std::move(mPendingDeployment);
    lock.unlock();
    const Result<bool> written =
      WriteCachedDeployment(mSettings.mDataFolder, *version);
    if (!written) {
      WriteLog(
        2, "cannot write the deployment cache: " + written.error().mMessage);
    }
    lock.lock();
  }
}

} // namespace geraniumpond::edge
