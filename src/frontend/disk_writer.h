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

/// \brief What a host's disk held, ready for the reducer.
struct OpenedDisk
{
  consensus::Recovered mRecovered;
  std::uint64_t mCutBytes = 0;
};

/// \brief Reads a data folder; makes the disk of a founder or a joiner where
/// there is none yet.
[[nodiscard]] Result<OpenedDisk> OpenDisk(const std::string& aFolder,
                                          bool aIsFounder,
                                          const wire::Membership& aFounders,
                                          const std::string& aStorage);

/// \brief Writes in a thread of its own, in order.
///
/// A disk that refuses writes is tried again: what it did not take stays
/// queued, and nothing is said to be on disk before it is.
class DiskWriter
{
public:
  /// \brief Called by the writer's thread with the sequence that is on disk.
  using SyncedCallback = std::function<void(std::uint64_t)>;
  /// \brief Called by the writer's thread when the disk fails or recovers.
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
