#include "child_process.h"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumpond::crowds {

namespace {

constexpr int kNotStarted = 127;

// Only calls that are safe between fork and exec.
[[noreturn]] void Execute(const std::vector<char*>& aArguments,
                          const char* aLogFile,
                          std::size_t aMaxDescriptors)
{
  const int out = ::open(aLogFile, O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::close(out);
  if (aMaxDescriptors > 0) {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(aMaxDescriptors, limit.rlim_max);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ::execv(aArguments.front(), aArguments.data());
  ::_exit(kNotStarted);
}

pid_t Start(const std::vector<std::string>& aCommand,
            const std::string& aLogFile,
            std::size_t aMaxDescriptors)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  if (pid == 0) {
    Execute(arguments, aLogFile.c_str(), aMaxDescriptors);
  }
  return pid;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand,
                           const std::string& aLogFile,
                           std::size_t aMaxDescriptors)
  : mPid(Start(aCommand, aLogFile, aMaxDescriptors))
{
}

ChildProcess::~ChildProcess()
{
  Kill();
}

bool ChildProcess::IsAlive()
{
  if (mPid > 0 && ::waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = 0;
  }
  return mPid > 0;
}

void ChildProcess::Kill()
{
  if (IsAlive()) {
    ::kill(mPid, SIGKILL);
    (void)::waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
}

std::size_t ChildProcess::StatusBytes(const std::string& aField) const
{
  std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, aField.size() + 1, aField + ":") == 0) {
      return std::strtoull(line.c_str() + aField.size() + 1, nullptr, 10) *
             1024;
    }
  }
  return 0;
}

std::size_t ChildProcess::PeakMemoryBytes() const
{
  return StatusBytes("VmHWM");
}

std::size_t ChildProcess::MemoryBytes() const
{
  return StatusBytes("VmRSS");
}

std::size_t ChildProcess::Descriptors() const
{
  std::size_t count = 0;
  const std::string folder = "/proc/" + std::to_string(mPid) + "/fd";
  if (DIR* entries = ::opendir(folder.c_str())) {
    while (const dirent* entry = ::readdir(entries)) {
      count += entry->d_name[0] == '.' ? 0 : 1;
    }
    ::closedir(entries);
  }
  return count;
}

int RunToEnd(const std::vector<std::string>& aCommand,
             const std::string& aLogFile)
{
  int status = 0;
  (void)::waitpid(Start(aCommand, aLogFile, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string NewFolder()
{
  std::string folder = Poco::TemporaryFile::tempName();
  Poco::File(folder).createDirectories();
  return folder;
}

} // namespace geraniumpond::crowds
