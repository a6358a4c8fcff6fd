#include "storage.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace geraniumpond::edge {

namespace {

constexpr const char* kIncarnationFile = "incarnation";
constexpr const char* kCacheFile = "deployment";
constexpr mode_t kFileMode = 0600;

Error SystemError(const std::string& aContext)
{
  return Fail(ErrorCode::Io, aContext + ": " + std::strerror(errno));
}

bool WriteAll(int aFile, const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t count =
      ::write(aFile, aBytes.data() + done, aBytes.size() - done);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

Result<bool> SyncFolder(const std::string& aFolder)
{
  const int folder = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY);
  if (folder < 0) {
    return SystemError(aFolder);
  }
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  if (!synced) {
    return SystemError(aFolder);
  }
  return true;
}

Result<bool> ReplaceFile(const std::string& aFolder,
                         const std::string& aName,
                         const std::string& aContent)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".new";
  const int file = ::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return SystemError(temporary);
  }
  const bool written = WriteAll(file, aContent) && ::fsync(file) == 0;
  ::close(file);
  if (!written) {
    return SystemError(temporary);
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return SystemError(path);
  }
  return SyncFolder(aFolder);
}

Result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(errno == ENOENT ? ErrorCode::NotFound : ErrorCode::Io,
                aPath + ": " + std::strerror(errno));
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

Result<std::uint64_t> NextIncarnation(const std::string& aFolder,
                                      std::uint64_t aClock)
{
  std::uint64_t next = aClock;
  const Result<std::string> previous =
    ReadFile(aFolder + "/" + kIncarnationFile);
  if (previous) {
    next = std::max<std::uint64_t>(
      next, std::strtoull(previous.value().c_str(), nullptr, 10) + 1);
  }
  const Result<bool> written =
    ReplaceFile(aFolder, kIncarnationFile, std::to_string(next));
  if (!written) {
    return written.error();
  }
  return next;
}

Result<wire::DeploymentVersion> ReadCachedDeployment(const std::string& aFolder)
{
  const Result<std::string> bytes = ReadFile(aFolder + "/" + kCacheFile);
  if (!bytes) {
    return bytes.error();
  }
  wire::DeploymentVersion version;
  if (!version.ParseFromString(bytes.value())) {
    return Fail(ErrorCode::Corrupt, "the cached deployment cannot be parsed");
  }
  return version;
}

Result<bool> WriteCachedDeployment(const std::string& aFolder,
                                   const wire::DeploymentVersion& aVersion)
{
  return ReplaceFile(aFolder, kCacheFile, aVersion.SerializeAsString());
}

} // namespace geraniumpond::edge
