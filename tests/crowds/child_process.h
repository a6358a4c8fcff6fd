#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumpond::crowds {

constexpr std::size_t kMegabyte = 1024 * 1024;

/// \brief A process of the system, started by a test and ended with it.
class ChildProcess
{
public:
  /// \brief Starts a program; its output goes to a file. A limit of
  /// descriptors is set if it is not 0.
  ChildProcess(const std::vector<std::string>& aCommand,
               const std::string& aLogFile,
               std::size_t aMaxDescriptors = 0);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// \brief True until the process has ended, by itself or by a signal.
  [[nodiscard]] bool IsAlive();
  /// \brief The most memory that it ever had resident; 0 once it has ended.
  [[nodiscard]] std::size_t PeakMemoryBytes() const;
  [[nodiscard]] std::size_t MemoryBytes() const;
  /// \brief Descriptors that are open now; 0 once it has ended.
  [[nodiscard]] std::size_t Descriptors() const;
  void Kill();

private:
  [[nodiscard]] std::size_t StatusBytes(const std::string& aField) const;

  pid_t mPid = 0;
};

/// \brief Runs a program to its end; its exit code.
[[nodiscard]] int RunToEnd(const std::vector<std::string>& aCommand,
                           const std::string& aLogFile);

/// \brief A new folder for the files of one test.
[[nodiscard]] std::string NewFolder();

} // namespace geraniumpond::crowds
