#pragma once

#include <geraniumpond/impl/wire.h>
#include <geraniumpond/result.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// \brief Files in a host's data folder.
namespace geraniumpond::edge {

/// \brief State read from a host's data folder at startup.
struct StoredState
{
  wire::HardState mHardState;
  wire::Snapshot mSnapshot;
  std::vector<wire::Entry> mEntries;
  /// Size of an incomplete last record that was removed from the log.
  std::uint64_t mTruncatedBytes = 0;
};

/// \brief Reads snapshot and log; truncates an incomplete record at the end of
/// the log, fails on a corrupt record before it.
[[nodiscard]] Result<StoredState> Recover(const std::string& aFolder);

/// \brief Appends to the log file; replaces it when a snapshot is written.
class LogWriter
{
public:
  [[nodiscard]] static Result<std::unique_ptr<LogWriter>> Open(
    const std::string& aFolder);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  ~LogWriter();

  /// \brief Writes records without waiting for them to reach the disk. The
  /// first write waits until what an earlier process left is on disk.
  [[nodiscard]] Result<bool> Write(const wire::Persist& aPersist);

  /// \brief Discards what was written since the last sync, after a failure.
  [[nodiscard]] Result<bool> DiscardUnsynced();

  /// \brief Syncs all written records to disk.
  [[nodiscard]] Result<bool> Sync();

private:
  explicit LogWriter(std::string aFolder);
  [[nodiscard]] Result<bool> OpenLog();
  [[nodiscard]] Result<bool> SyncInherited();
  [[nodiscard]] Result<bool> ReplaceSnapshotAndLog(
    const wire::Persist& aPersist);

  std::string mFolder;
  int mFile = -1;
  /// Length of the log at its last sync.
  std::int64_t mSyncedBytes = 0;
  /// True once what an earlier process left is on disk.
  bool mIsInheritedSynced = false;
};

/// \brief Makes the names of a folder's files durable.
[[nodiscard]] Result<bool> SyncFolder(const std::string& aFolder);

/// \brief Replaces a file atomically and syncs it and its folder.
[[nodiscard]] Result<bool> ReplaceFile(const std::string& aFolder,
                                       const std::string& aName,
                                       const std::string& aContent);

/// \brief Reads a whole file; NotFound if it does not exist.
[[nodiscard]] Result<std::string> ReadFile(const std::string& aPath);

/// \brief Encodes a record with its length and checksums, as stored in files.
[[nodiscard]] std::string Frame(const std::string& aPayload);

/// \brief Initializes the data folder of a founding control host; Conflict if
/// it is initialized already.
[[nodiscard]] Result<bool> InitFoundingHost(
  const std::string& aFolder,
  const wire::HostSettings& aSettings);

/// \brief Same as above, with the founding members given.
[[nodiscard]] Result<bool> InitFoundingHost(const std::string& aFolder,
                                            const wire::Membership& aMembers);

/// \brief Initializes the data folder of a control host that joins a group;
/// does nothing if it is initialized already.
[[nodiscard]] Result<bool> InitJoiningHost(const std::string& aFolder,
                                           const std::string& aStorage);

/// \brief Next incarnation number: at least `aClock`, and greater than any
/// earlier one.
[[nodiscard]] Result<std::uint64_t> NextIncarnation(const std::string& aFolder,
                                                    std::uint64_t aClock);

/// \brief Reads the deployment that was last in force on this host.
[[nodiscard]] Result<wire::DeploymentVersion> ReadCachedDeployment(
  const std::string& aFolder);
[[nodiscard]] Result<bool> WriteCachedDeployment(
  const std::string& aFolder,
  const wire::DeploymentVersion& aVersion);

} // namespace geraniumpond::edge
