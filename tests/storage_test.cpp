#include "edge/storage.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace geraniumpond::edge {

namespace {

wire::LogRecord EntryRecord(std::uint64_t aIndex, std::uint64_t aTerm = 1)
{
  wire::LogRecord record;
  record.mutable_entry()->set_index(aIndex);
  record.mutable_entry()->set_term(aTerm);
  record.mutable_entry()->set_command("command " + std::to_string(aIndex));
  return record;
}

wire::LogRecord Truncate(std::uint64_t aFrom)
{
  wire::LogRecord record;
  record.set_truncate_from(aFrom);
  return record;
}

} // namespace

class StorageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StorageTest);
  CPPUNIT_TEST(ReopenedLogHoldsTheWrittenEntries);
  CPPUNIT_TEST(LogTruncatedAtAnyByteKeepsCompleteRecords);
  CPPUNIT_TEST(DamagedLastBatchIsDroppedCompletely);
  CPPUNIT_TEST(WriteAfterDiscardReplacesUnsyncedRecords);
  CPPUNIT_TEST(LogWithAnyCorruptByteInTheMiddleIsRefused);
  CPPUNIT_TEST(SnapshotWithAnyCorruptByteIsRefused);
  CPPUNIT_TEST(CrashBetweenSnapshotAndLogIsRepaired);
  CPPUNIT_TEST(LogThatASnapshotReplacesTakesNewEntries);
  CPPUNIT_TEST(WriteToAFullDiskIsAnError);
  CPPUNIT_TEST(RecordThatTheDiskRefusesIsAnError);
  CPPUNIT_TEST(InitOfAnInitializedFolderIsRefused);
  CPPUNIT_TEST(IncarnationGrowsWhenTheClockGoesBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mFolder = Poco::TemporaryFile::tempName();
    Poco::File(mFolder).createDirectories();
    CPPUNIT_ASSERT(InitFoundingHost(mFolder, wire::HostSettings()));
  }
  void tearDown() override { Poco::File(mFolder).remove(true); }

  void ReopenedLogHoldsTheWrittenEntries()
  {
    Write({ EntryRecord(1), EntryRecord(2), EntryRecord(3) });
    Write({ Truncate(2), EntryRecord(2, 2) });
    const auto state = Recover(mFolder);
    CPPUNIT_ASSERT(state);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), state.value().mEntries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.value().mEntries[1].term());
    CPPUNIT_ASSERT_EQUAL(std::string("founding"),
                         state.value().mHardState.storage());
  }

  void LogTruncatedAtAnyByteKeepsCompleteRecords()
  {
    Write({ EntryRecord(1) });
    Write({ EntryRecord(2) });
    const std::string whole = ReadLog();
    const std::string last = Frame(EntryRecord(2).SerializeAsString());
    for (std::size_t cut = 1; cut <= last.size(); ++cut) {
      ReplaceLog(whole.substr(0, whole.size() - cut));
      const auto state = Recover(mFolder);
      CPPUNIT_ASSERT(state);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.value().mEntries.size());
      CPPUNIT_ASSERT_EQUAL(whole.size() - last.size(), ReadLog().size());
    }
  }

  // After a power failure any part of an unsynced write may be missing, even
  // its beginning while its end is present.
  void DamagedLastBatchIsDroppedCompletely()
  {
    Write({ EntryRecord(1) });
    const std::size_t before = ReadLog().size();
    Write({ EntryRecord(2), EntryRecord(3), EntryRecord(4) });
    const std::string whole = ReadLog();
    for (std::size_t at = before; at < whole.size(); ++at) {
      std::string damaged = whole;
      damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
      ReplaceLog(damaged);
      const auto state = Recover(mFolder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(at), state);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.value().mEntries.size());
      CPPUNIT_ASSERT_EQUAL(before, ReadLog().size());
    }
  }

  void WriteAfterDiscardReplacesUnsyncedRecords()
  {
    auto writer = LogWriter::Open(mFolder);
    CPPUNIT_ASSERT(writer);
    wire::Persist first;
    *first.add_records() = EntryRecord(1);
    CPPUNIT_ASSERT(writer.value()->Write(first));
    CPPUNIT_ASSERT(writer.value()->Sync());
    wire::Persist second;
    *second.add_records() = EntryRecord(2);
    CPPUNIT_ASSERT(writer.value()->Write(second));
    CPPUNIT_ASSERT(writer.value()->DiscardUnsynced());
    CPPUNIT_ASSERT(writer.value()->Write(second));
    CPPUNIT_ASSERT(writer.value()->Sync());
    const auto state = Recover(mFolder);
    CPPUNIT_ASSERT(state);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), state.value().mEntries.size());
  }

  void LogWithAnyCorruptByteInTheMiddleIsRefused()
  {
    Write({ EntryRecord(1) });
    Write({ EntryRecord(2) });
    Write({ EntryRecord(3) });
    const std::string whole = ReadLog();
    const std::size_t last = Frame(EntryRecord(3).SerializeAsString()).size();
    for (std::size_t at = 0; at < whole.size() - last; ++at) {
      std::string bad = whole;
      bad[at] = static_cast<char>(bad[at] ^ 0x40);
      ReplaceLog(bad);
      const auto state = Recover(mFolder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(at), !state);
      CPPUNIT_ASSERT(state.error().mCode == ErrorCode::Corrupt);
    }
  }

  void SnapshotWithAnyCorruptByteIsRefused()
  {
    wire::Persist persist;
    persist.mutable_snapshot()->set_index(5);
    persist.mutable_snapshot()->set_state("state");
    Persist(persist);
    const std::string whole = ReadFile(mFolder + "/snapshot").value();
    for (std::size_t at = 0; at < whole.size(); ++at) {
      std::string bad = whole;
      bad[at] = static_cast<char>(bad[at] ^ 0x01);
      CPPUNIT_ASSERT(ReplaceFile(mFolder, "snapshot", bad));
      const auto state = Recover(mFolder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(at), !state);
    }
  }

  void CrashBetweenSnapshotAndLogIsRepaired()
  {
    struct Case
    {
      std::uint64_t mSnapshotIndex;
      std::uint64_t mTerm;
      std::size_t mExpectedEntries;
    };
    const Case cases[] = {
      { 2, 1, 3 }, // the log contains the snapshot's entry
      { 3, 1, 3 }, // the log ends with the snapshot's entry
      { 5, 1, 0 }, // the log ends before the snapshot's entry
      { 2, 7, 0 }, // the terms of log and snapshot differ
    };
    for (const Case& entry : cases) {
      tearDown();
      setUp();
      Write({ EntryRecord(1), EntryRecord(2), EntryRecord(3) });
      wire::Snapshot snapshot;
      snapshot.set_index(entry.mSnapshotIndex);
      snapshot.set_term(entry.mTerm);
      CPPUNIT_ASSERT(
        ReplaceFile(mFolder, "snapshot", Frame(snapshot.SerializeAsString())));
      const auto state = Recover(mFolder);
      CPPUNIT_ASSERT(state);
      CPPUNIT_ASSERT_EQUAL(entry.mExpectedEntries,
                           state.value().mEntries.size());
    }
  }

  // Guards against a voter that cannot start again after a crash between a
  // snapshot and its log.
  void LogThatASnapshotReplacesTakesNewEntries()
  {
    constexpr std::uint64_t kSnapshotIndex = 5;
    Write({ EntryRecord(1), EntryRecord(2), EntryRecord(3) });
    wire::Snapshot snapshot;
    snapshot.set_index(kSnapshotIndex);
    snapshot.set_term(1);
    CPPUNIT_ASSERT(
      ReplaceFile(mFolder, "snapshot", Frame(snapshot.SerializeAsString())));
    CPPUNIT_ASSERT(Recover(mFolder));
    Write({ EntryRecord(kSnapshotIndex + 1) });
    const auto state = Recover(mFolder);
    CPPUNIT_ASSERT_MESSAGE(state ? "" : state.error().mMessage,
                           static_cast<bool>(state));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.value().mEntries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("founding"),
                         state.value().mHardState.storage());
  }

  void WriteToAFullDiskIsAnError()
  {
    CPPUNIT_ASSERT_EQUAL(0, ::unlink((mFolder + "/log").c_str()));
    CPPUNIT_ASSERT_EQUAL(0, ::symlink("/dev/full", (mFolder + "/log").c_str()));
    auto writer = LogWriter::Open(mFolder);
    CPPUNIT_ASSERT(writer);
    wire::Persist persist;
    *persist.add_records() = EntryRecord(1);
    const auto written = writer.value()->Write(persist);
    CPPUNIT_ASSERT(!written);
    CPPUNIT_ASSERT(written.error().mCode == ErrorCode::Io);
  }

  // The first write succeeds, so that what the folder holds is synced.
  void RecordThatTheDiskRefusesIsAnError()
  {
    auto writer = LogWriter::Open(mFolder);
    CPPUNIT_ASSERT(writer);
    wire::Persist persist;
    *persist.add_records() = EntryRecord(1);
    CPPUNIT_ASSERT(writer.value()->Write(persist));
    rlimit old{};
    ::getrlimit(RLIMIT_FSIZE, &old);
    const rlimit full{ 1, old.rlim_max };
    const auto handler = std::signal(SIGXFSZ, SIG_IGN);
    ::setrlimit(RLIMIT_FSIZE, &full);
    const auto written = writer.value()->Write(persist);
    ::setrlimit(RLIMIT_FSIZE, &old);
    std::signal(SIGXFSZ, handler);
    CPPUNIT_ASSERT(!written);
    CPPUNIT_ASSERT(written.error().mCode == ErrorCode::Io);
    CPPUNIT_ASSERT(written.error().mMessage.find("cannot write the log") !=
                   std::string::npos);
  }

  void InitOfAnInitializedFolderIsRefused()
  {
    const auto again = InitFoundingHost(mFolder, wire::HostSettings());
    CPPUNIT_ASSERT(!again);
    CPPUNIT_ASSERT(again.error().mCode == ErrorCode::Conflict);
    CPPUNIT_ASSERT(InitJoiningHost(mFolder, "other"));
    CPPUNIT_ASSERT_EQUAL(std::string("founding"),
                         Recover(mFolder).value().mHardState.storage());
  }

  void IncarnationGrowsWhenTheClockGoesBack()
  {
    const std::uint64_t first = NextIncarnation(mFolder, 1000).value();
    CPPUNIT_ASSERT(NextIncarnation(mFolder, 500).value() > first);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2000),
                         NextIncarnation(mFolder, 2000).value());
  }

private:
  void Write(const std::vector<wire::LogRecord>& aRecords)
  {
    wire::Persist persist;
    for (const wire::LogRecord& record : aRecords) {
      *persist.add_records() = record;
    }
    Persist(persist);
  }
  void Persist(const wire::Persist& aPersist)
  {
    auto writer = LogWriter::Open(mFolder);
    CPPUNIT_ASSERT(writer);
    CPPUNIT_ASSERT(writer.value()->Write(aPersist));
    CPPUNIT_ASSERT(writer.value()->Sync());
  }
  std::string ReadLog() { return ReadFile(mFolder + "/log").value(); }
  void ReplaceLog(const std::string& aBytes)
  {
    CPPUNIT_ASSERT(ReplaceFile(mFolder, "log", aBytes));
  }

  std::string mFolder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorageTest);

} // namespace geraniumpond::edge
