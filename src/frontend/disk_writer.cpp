#include "disk_writer.h"

#include "edge/storage.h"

#include <chrono>

namespace geraniumpond::frontend {

namespace {

/// Delay before a failed write is retried.
constexpr std::chrono::milliseconds kRetryDelay{ 100 };

wire::Persist ToPersist(const consensus::Write& aWrite)
{
  wire::Persist persist;
  persist.set_sequence(aWrite.mSequence);
  for (const wire::LogRecord& record : aWrite.mRecords) {
    *persist.add_records() = record;
  }
  if (aWrite.mSnapshot) {
    *persist.mutable_snapshot() = *aWrite.mSnapshot;
    for (const wire::LogRecord& record : aWrite.mRetainedRecords) {
      *persist.add_retained() = record;
    }
  }
  return persist;
}

// Combines the records of consecutive writes into one frame. A write with a
// snapshot has a frame of its own.
std::vector<wire::Persist> Merge(const std::vector<consensus::Write>& aBatch)
{
  std::vector<wire::Persist> merged;
  for (const consensus::Write& write : aBatch) {
    wire::Persist persist = ToPersist(write);
    if (merged.empty() || merged.back().has_snapshot() ||
        persist.has_snapshot()) {
      merged.push_back(std::move(persist));
      continue;
    }
    merged.back().set_sequence(persist.sequence());
    for (wire::LogRecord& record : *persist.mutable_records()) {
      *merged.back().add_records() = std::move(record);
    }
  }
  return merged;
}

} // namespace

Result<RecoveredDisk> OpenDisk(const std::string& aFolder,
                               bool aIsFounder,
                               const wire::Membership& aFounders,
                               const std::string& aStorage)
{
  if (aIsFounder) {
    const Result<bool> initialized = edge::InitFoundingHost(aFolder, aFounders);
    if (!initialized && initialized.error().mCode != ErrorCode::Conflict) {
      return initialized.error();
    }
  }
  const Result<bool> initialized = edge::InitJoiningHost(aFolder, aStorage);
  if (!initialized) {
    return initialized.error();
  }
  Result<edge::StoredState> stored = edge::Recover(aFolder);
  if (!stored) {
    return stored.error();
  }
  RecoveredDisk disk;
  disk.mTruncatedBytes = stored.value().mTruncatedBytes;
  disk.mRecovered.mHard = stored.value().mHardState;
  disk.mRecovered.mSnapshot = stored.value().mSnapshot;
  disk.mRecovered.mEntries = std::move(stored.value().mEntries);
  return disk;
}

Result<std::unique_ptr<DiskWriter>> DiskWriter::Open(const std::string& aFolder,
                                                     SyncedCallback aOnSynced,
                                                     ErrorCallback aOnError)
{
  Result<std::unique_ptr<edge::LogWriter>> log = edge::LogWriter::Open(aFolder);
  if (!log) {
    return log.error();
  }
  return std::unique_ptr<DiskWriter>(new DiskWriter(
    std::move(log.value()), std::move(aOnSynced), std::move(aOnError)));
}

DiskWriter::DiskWriter(std::unique_ptr<edge::LogWriter> aLog,
                       SyncedCallback aOnSynced,
                       ErrorCallback aOnError)
  : mLog(std::move(aLog))
  , mOnSynced(std::move(aOnSynced))
  , mOnError(std::move(aOnError))
  , mThread([this] { Run(); })
{
}

DiskWriter::~DiskWriter()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    mQueued.notify_all();
  }
  mThread.join();
}

void DiskWriter::Write(consensus::Write aWrite)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mQueue.push_back(std::move(aWrite));
  mQueued.notify_one();
}

Result<bool> DiskWriter::WriteAll(const std::vector<consensus::Write>& aBatch)
{
  for (const wire::Persist& persist : Merge(aBatch)) {
    Result<bool> written = mLog->Write(persist);
    if (!written) {
      return written;
    }
  }
  return mLog->Sync();
}

void DiskWriter::Run()
{
  bool failing = false;
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    mQueued.wait(lock, [this] { return !mQueue.empty() || mStopping; });
    if (mQueue.empty() || (mStopping && failing)) {
      return;
    }
    std::vector<consensus::Write> batch;
    batch.swap(mQueue);
    lock.unlock();
    const Result<bool> written = WriteAll(batch);
    if (written) {
      if (failing) {
        mOnError("");
      }
      failing = false;
      mOnSynced(batch.back().mSequence);
      lock.lock();
      continue;
    }
    if (!failing) {
      mOnError(written.error().mMessage);
    }
    failing = true;
    // The batch may have been written in part, so it is rewritten completely.
    const Result<bool> rewound = mLog->DiscardUnsynced();
    if (!rewound) {
      mOnError(rewound.error().mMessage);
    }
    lock.lock();
    batch.insert(batch.end(),
                 std::make_move_iterator(mQueue.begin()),
                 std::make_move_iterator(mQueue.end()));
    mQueue = std::move(batch);
    mQueued.wait_for(lock, kRetryDelay, [this] { return mStopping; });
  }
}

} // namespace geraniumpond::frontend
