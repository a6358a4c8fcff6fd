#pragma once

#include <geraniumpond/impl/wire.h>
#include <geraniumpond/result.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// \brief Files of one host below its data folder.
namespace geraniumpond::edge {

/// \brief What a host's disk held at its start.
struct StoredState
{
  wire::HardState mHard;
  wire::Snapshot mSnapshot;
  std::vector<wire::Entry> mEntries;
  /// Bytes of a torn last record that were cut off.
  std::uint64_t mCutBytes = 0;
};

/// \brief Reads snapshot and log; cuts a torn tail, refuses a corrupt middle.
[[nodiscard]] Result<StoredState> Recover(const std::string& aFolder);

/// \brief Appends to the log file and replaces it together with a snapshot.
class LogWriter
{
public:
  [[nodiscard]] static Result<std::unique_ptr<LogWriter>> Open(
    const std::string& aFolder);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  ~LogWriter();

  /// \brief Writes without waiting for the disk.
  [[nodiscard]] Result<bool> Write(const wire::Persist& aPersist);

  /// \brief Drops what was written since the last sync, after a failure.
  [[nodiscard]] Result<bool> Rewind();

  /// \brief Returns when everything written is on disk.
  [[nodiscard]] Result<bool> Sync();

private:
  explicit LogWriter(std::string aFolder);
  [[nodiscard]] Result<bool> OpenLog();
  [[nodiscard]] Result<bool> Replace(const wire::Persist& aPersist);

  std::string mFolder;
  int mFile = -1;
  /// Length of the log at its last sync.
  std::int64_t mSyncedBytes = 0;
};

/// \brief Replaces a file as a whole and syncs it and its folder.
[[nodiscard]] Result<bool> ReplaceFile(const std::string& aFolder,
                                       const std::string& aName,
                                       const std::string& aContent);

/// \brief Reads a whole file; NotFound when there is none.
[[nodiscard]] Result<std::string> ReadFile(const std::string& aPath);

/// \brief One record with its length and checksums, as the files hold it.
[[nodiscard]] std::string Frame(const std::string& aPayload);

/// \brief Makes the disk of a founding control host; Conflict when it has one.
[[nodiscard]] Result<bool> InitFounder(const std::string& aFolder,
                                       const wire::HostSettings& aSettings);

/// \brief The same for a group whose founding members are given.
[[nodiscard]] Result<bool> InitFounder(const std::string& aFolder,
                                       const wire::Membership& aMembers);

/// \brief Makes the disk of a control host that joins; keeps an existing one.
[[nodiscard]] Result<bool> InitJoiner(const std::string& aFolder,
                                      const std::string& aStorage);

/// \brief Next incarnation: later than the clock's and any earlier one.
[[nodiscard]] Result<std::uint64_t> NextIncarnation(const std::string& aFolder,
                                                    std::uint64_t aClock);

/// \brief The deployment that was last in force here, if it can be read.
[[nodiscard]] Result<wire::DeploymentVersion> ReadCachedDeployment(
  const std::string& aFolder);
[[nodiscard]] Result<bool> WriteCachedDeployment(
  const std::string& aFolder,
  const wire::DeploymentVersion& aVersion);

} // namespace geraniumpond::edge
