#pragma once

#include <geraniumpond/consensus.h>
#include <geraniumpond/result.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace geraniumpond::edge {
class LogWriter;
}

namespace geraniumpond::frontend {

/// \brief State recovered from a host's disk.
struct RecoveredDisk
{
  consensus::Recovered mRecovered;
  /// Bytes of an incomplete record that were removed from the log's tail.
  std::uint64_t mTruncatedBytes = 0;
};

/// \brief Recovers the state in a data folder; initializes the folder for a
/// founding or a joining member if it is empty.
[[nodiscard]] Result<RecoveredDisk> OpenDisk(const std::string& aFolder,
                                             bool aIsFounder,
                                             const wire::Membership& aFounders,
                                             const std::string& aStorage);

/// \brief Writes to disk in order, on a thread of its own.
///
/// Failed writes stay queued and are retried. A write is reported as synced
/// only once it is on disk.
class DiskWriter
{
public:
  /// \brief Called on the writer's thread with the last sequence on disk.
  using SyncedCallback = std::function<void(std::uint64_t)>;
  /// \brief Called on the writer's thread with the reason when the disk fails,
  /// and with an empty text when it recovers.
  using ErrorCallback = std::function<void(const std::string&)>;

  [[nodiscard]] static Result<std::unique_ptr<DiskWriter>> Open(
    const std::string& aFolder,
    SyncedCallback aOnSynced,
    ErrorCallback aOnError);
  ~DiskWriter();
  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  void Write(consensus::Write aWrite);

private:
  DiskWriter(std::unique_ptr<edge::LogWriter> aLog,
             SyncedCallback aOnSynced,
             ErrorCallback aOnError);
  void Run();
  [[nodiscard]] Result<bool> WriteAll(
    const std::vector<consensus::Write>& aBatch);

  std::unique_ptr<edge::LogWriter> mLog;
  SyncedCallback mOnSynced;
  ErrorCallback mOnError;
  std::mutex mMutex;
  std::condition_variable mQueued;
  std::vector<consensus::Write> mQueue;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace geraniumpond::frontend
