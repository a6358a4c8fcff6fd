#include "storage.h"

#include <geraniumpond/consensus.h>
#include <geraniumpond/hash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>

namespace geraniumpond::edge {

namespace {

constexpr const char* kLogFile = "log";
constexpr const char* kSnapshotFile = "snapshot";
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kUint32Bytes = 4;
constexpr mode_t kFileMode = 0600;

void AppendUint32(std::string& aOut, std::uint32_t aWord)
{
  for (std::size_t i = 0; i < kUint32Bytes; ++i) {
    aOut.push_back(static_cast<char>((aWord >> (8 * i)) & 0xff));
  }
}

std::uint32_t ReadUint32(std::string_view aBytes, std::size_t aAt)
{
  std::uint32_t word = 0;
  for (std::size_t i = 0; i < kUint32Bytes; ++i) {
    word |=
      static_cast<std::uint32_t>(static_cast<unsigned char>(aBytes[aAt + i]))
      << (8 * i);
  }
  return word;
}

// Returns the payload of the record at an offset if its checksums are valid.
std::optional<std::string_view> DecodeRecord(std::string_view aBytes,
                                             std::size_t aAt)
{
  if (aBytes.size() - aAt < kHeaderBytes) {
    return std::nullopt;
  }
  const std::uint32_t length = ReadUint32(aBytes, aAt);
  if (ReadUint32(aBytes, aAt + kUint32Bytes) !=
      Checksum(aBytes.substr(aAt, kUint32Bytes))) {
    return std::nullopt;
  }
  if (length > aBytes.size() - aAt - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(aAt + kHeaderBytes, length);
  if (ReadUint32(aBytes, aAt + 2 * kUint32Bytes) != Checksum(payload)) {
    return std::nullopt;
  }
  return payload;
}

// An invalid record is an incomplete last write only if no valid record follows
// it: appends reach the disk in order, so an invalid record before a valid one
// was damaged after it had been acknowledged.
bool HasValidRecordAfter(std::string_view aBytes, std::size_t aAt)
{
  for (std::size_t at = aAt + 1; at + kHeaderBytes < aBytes.size(); ++at) {
    const std::optional<std::string_view> payload = DecodeRecord(aBytes, at);
    if (payload && !payload->empty()) {
      return true;
    }
  }
  return false;
}

Result<bool> ApplyRecord(const wire::LogRecord& aRecord, StoredState& aOut)
{
  if (aRecord.has_hard_state()) {
    aOut.mHardState = aRecord.hard_state();
    return true;
  }
  if (aRecord.has_batch()) {
    for (const wire::LogRecord& record : aRecord.batch().records()) {
      Result<bool> applied = ApplyRecord(record, aOut);
      if (!applied) {
        return applied;
      }
    }
    return true;
  }
  if (aRecord.has_entry()) {
    const std::uint64_t last =
      aOut.mEntries.empty() ? 0 : aOut.mEntries.back().index();
    if (last != 0 && aRecord.entry().index() != last + 1) {
      return Fail(ErrorCode::Corrupt,
                  "log: entry " + std::to_string(aRecord.entry().index()) +
                    " follows entry " + std::to_string(last));
    }
    aOut.mEntries.push_back(aRecord.entry());
    return true;
  }
  while (!aOut.mEntries.empty() &&
         aOut.mEntries.back().index() >= aRecord.truncate_from()) {
    aOut.mEntries.pop_back();
  }
  return true;
}

Result<bool> TruncateFile(const std::string& aPath, std::size_t aLength)
{
  if (::truncate(aPath.c_str(), static_cast<off_t>(aLength)) != 0) {
    return Fail(ErrorCode::Io, aPath + ": " + std::strerror(errno));
  }
  return true;
}

Result<bool> ReadLog(const std::string& aFolder, StoredState& aOut)
{
  const std::string path = aFolder + "/" + kLogFile;
  const Result<std::string> content = ReadFile(path);
  if (!content) {
    return content.error().mCode == ErrorCode::NotFound
             ? Result<bool>(true)
             : Result<bool>(content.error());
  }
  const std::string_view bytes = content.value();
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::optional<std::string_view> payload = DecodeRecord(bytes, at);
    if (!payload) {
      if (HasValidRecordAfter(bytes, at)) {
        return Fail(ErrorCode::Corrupt,
                    path + ": corrupt record at byte " + std::to_string(at) +
                      " with valid records after it; this host must not "
                      "vote, give it an empty data folder to let it rejoin");
      }
      aOut.mTruncatedBytes = bytes.size() - at;
      return TruncateFile(path, at);
    }
    wire::LogRecord record;
    if (!record.ParseFromArray(payload->data(),
                               static_cast<int>(payload->size()))) {
      return Fail(ErrorCode::Corrupt, path + ": a record cannot be parsed");
    }
    const Result<bool> applied = ApplyRecord(record, aOut);
    if (!applied) {
      return applied.error();
    }
    at += kHeaderBytes + payload->size();
  }
  return true;
}

Result<bool> ReadSnapshot(const std::string& aFolder, StoredState& aOut)
{
  const std::string path = aFolder + "/" + kSnapshotFile;
  const Result<std::string> content = ReadFile(path);
  if (!content) {
    return content.error();
  }
  const std::optional<std::string_view> payload =
    DecodeRecord(content.value(), 0);
  if (!payload || !aOut.mSnapshot.ParseFromArray(
                    payload->data(), static_cast<int>(payload->size()))) {
    return Fail(ErrorCode::Corrupt, path + ": the snapshot is corrupt");
  }
  return true;
}

// A crash between replacing the snapshot and replacing the log leaves the old
// log. One that the snapshot covers or contradicts is of no use.
bool IsReplacedBySnapshot(const StoredState& aState)
{
  const std::vector<wire::Entry>& entries = aState.mEntries;
  const std::uint64_t snapshotIndex = aState.mSnapshot.index();
  if (entries.empty()) {
    return false;
  }
  return entries.back().index() < snapshotIndex ||
         std::any_of(
           entries.begin(), entries.end(), [&](const wire::Entry& aEntry) {
             return aEntry.index() == snapshotIndex &&
                    aEntry.term() != aState.mSnapshot.term();
           });
}

// New entries would be appended behind those of the discarded log. The snapshot
// that replaces them must be durable before they go.
Result<bool> DiscardLog(const std::string& aFolder, StoredState& aState)
{
  aState.mEntries.clear();
  Result<bool> synced = SyncFolder(aFolder);
  if (!synced) {
    return synced;
  }
  wire::LogRecord record;
  *record.mutable_hard_state() = aState.mHardState;
  return ReplaceFile(aFolder, kLogFile, Frame(record.SerializeAsString()));
}

Result<bool> ReconcileWithSnapshot(const std::string& aFolder,
                                   StoredState& aState)
{
  const std::vector<wire::Entry>& entries = aState.mEntries;
  if (!entries.empty() &&
      entries.front().index() > aState.mSnapshot.index() + 1) {
    return Fail(ErrorCode::Corrupt,
                "entries between snapshot and log are missing");
  }
  return IsReplacedBySnapshot(aState) ? DiscardLog(aFolder, aState)
                                      : Result<bool>(true);
}

Result<bool> InitFolder(const std::string& aFolder,
                        const wire::Snapshot& aSnapshot,
                        const std::string& aStorage)
{
  wire::LogRecord record;
  record.mutable_hard_state()->set_storage(aStorage);
  const Result<bool> log =
    ReplaceFile(aFolder, kLogFile, Frame(record.SerializeAsString()));
  if (!log) {
    return log.error();
  }
  // The snapshot is written last: a folder without one is not initialized.
  return ReplaceFile(
    aFolder, kSnapshotFile, Frame(aSnapshot.SerializeAsString()));
}

bool IsInitialized(const std::string& aFolder)
{
  return ::access((aFolder + "/" + kSnapshotFile).c_str(), F_OK) == 0;
}

} // namespace

std::string Frame(const std::string& aPayload)
{
  std::string frame;
  frame.reserve(kHeaderBytes + aPayload.size());
  AppendUint32(frame, static_cast<std::uint32_t>(aPayload.size()));
  AppendUint32(frame,
               Checksum(std::string_view(frame).substr(0, kUint32Bytes)));
  AppendUint32(frame, Checksum(aPayload));
  return frame + aPayload;
}

Result<StoredState> Recover(const std::string& aFolder)
{
  StoredState state;
  const Result<bool> snapshot = ReadSnapshot(aFolder, state);
  if (!snapshot) {
    return snapshot.error();
  }
  const Result<bool> log = ReadLog(aFolder, state);
  if (!log) {
    return log.error();
  }
  const Result<bool> reconciled = ReconcileWithSnapshot(aFolder, state);
  if (!reconciled) {
    return reconciled.error();
  }
  return state;
}

Result<bool> InitFoundingHost(const std::string& aFolder,
                              const wire::HostSettings& aSettings)
{
  return InitFoundingHost(
    aFolder,
    consensus::InitialMembership(
      { aSettings.voters().begin(), aSettings.voters().end() }));
}

Result<bool> InitFoundingHost(const std::string& aFolder,
                              const wire::Membership& aMembers)
{
  if (IsInitialized(aFolder)) {
    return Fail(ErrorCode::Conflict, aFolder + " is already initialized");
  }
  wire::Snapshot snapshot;
  *snapshot.mutable_membership() = aMembers;
  return InitFolder(aFolder, snapshot, consensus::kFoundingStorage);
}

Result<bool> InitJoiningHost(const std::string& aFolder,
                             const std::string& aStorage)
{
  if (IsInitialized(aFolder)) {
    return true;
  }
  return InitFolder(aFolder, wire::Snapshot(), aStorage);
}

LogWriter::LogWriter(std::string aFolder)
  : mFolder(std::move(aFolder))
{
}

LogWriter::~LogWriter()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

Result<std::unique_ptr<LogWriter>> LogWriter::Open(const std::string& aFolder)
{
  std::unique_ptr<LogWriter> writer(new LogWriter(aFolder));
  const Result<bool> opened = writer->OpenLog();
  if (!opened) {
    return opened.error();
  }
  return writer;
}

Result<bool> LogWriter::OpenLog()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
  const std::string path = mFolder + "/" + kLogFile;
  mFile =
    ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (mFile < 0) {
    return Fail(ErrorCode::Io, path + ": " + std::strerror(errno));
  }
  mSyncedBytes = ::lseek(mFile, 0, SEEK_END);
  return true;
}

// A process that was killed may have replaced files, or appended to the log,
// without a sync. Its records must not be lost behind later ones that are kept.
Result<bool> LogWriter::SyncInherited()
{
  if (mIsInheritedSynced) {
    return true;
  }
  Result<bool> synced = SyncFolder(mFolder);
  synced = synced ? Sync() : synced;
  mIsInheritedSynced = static_cast<bool>(synced);
  return synced;
}

// All records of one write share a frame: after a power failure any part of the
// unsynced data may be missing, and valid records after a missing one would
// look like a corrupt log.
Result<bool> LogWriter::Write(const wire::Persist& aPersist)
{
  Result<bool> inherited = SyncInherited();
  if (!inherited) {
    return inherited;
  }
  std::string bytes;
  if (aPersist.records_size() == 1) {
    bytes = Frame(aPersist.records(0).SerializeAsString());
  } else if (aPersist.records_size() > 1) {
    wire::LogRecord batch;
    *batch.mutable_batch()->mutable_records() = aPersist.records();
    bytes = Frame(batch.SerializeAsString());
  }
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count =
      ::write(mFile, bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return Fail(ErrorCode::Io,
                  std::string("cannot write the log: ") + std::strerror(errno));
    }
    done += static_cast<std::size_t>(count);
  }
  return aPersist.has_snapshot() ? ReplaceSnapshotAndLog(aPersist)
                                 : Result<bool>(true);
}

Result<bool> LogWriter::ReplaceSnapshotAndLog(const wire::Persist& aPersist)
{
  const Result<bool> snapshot = ReplaceFile(
    mFolder, kSnapshotFile, Frame(aPersist.snapshot().SerializeAsString()));
  if (!snapshot) {
    return snapshot.error();
  }
  std::string bytes;
  for (const wire::LogRecord& record : aPersist.retained()) {
    bytes += Frame(record.SerializeAsString());
  }
  const Result<bool> log = ReplaceFile(mFolder, kLogFile, bytes);
  if (!log) {
    return log.error();
  }
  return OpenLog();
}

Result<bool> LogWriter::Sync()
{
  if (::fdatasync(mFile) != 0) {
    return Fail(ErrorCode::Io,
                std::string("cannot sync the log: ") + std::strerror(errno));
  }
  mSyncedBytes = ::lseek(mFile, 0, SEEK_END);
  return true;
}

Result<bool> LogWriter::DiscardUnsynced()
{
  if (::ftruncate(mFile, mSyncedBytes) != 0) {
    return Fail(ErrorCode::Io,
                std::string("cannot discard unsynced records: ") +
                  std::strerror(errno));
  }
  return true;
}

} // namespace geraniumpond::edge
