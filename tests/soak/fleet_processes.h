#pragma once

#include <csignal>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

/// \brief Real gateway processes on loopback, started and ended by id.
namespace geraniumpond::soak {

/// \brief One gateway host of the soak.
struct HostProcess
{
  int mIndex = 0;
  bool mDisk = false;
  std::string mFolder;
  std::string mCallers;
  std::string mCalls;
  /// What other hosts are told, and where it listens.
  std::string mPeers;
  std::string mBound;
  pid_t mPid = 0;
  bool mPaused = false;
};

/// \brief The processes of one run, below one folder of its own.
class FleetProcesses
{
public:
  FleetProcesses(std::string aBinary,
                 std::string aFolder,
                 int aBasePort,
                 int aDataCentres);
  FleetProcesses(const FleetProcesses&) = delete;
  FleetProcesses& operator=(const FleetProcesses&) = delete;
  /// \brief Kills what it started and still runs.
  ~FleetProcesses();

  void Add(bool aDisk);
  void Start(std::size_t aHost, bool aFounding);
  /// \brief Sends a signal to a host that runs.
  void Signal(std::size_t aHost, int aSignal);
  /// \brief True when a host has ended by itself or by a signal since it was
  /// started; it is reaped then.
  [[nodiscard]] bool Reap(std::size_t aHost);
  void WipeDisk(std::size_t aHost);

  [[nodiscard]] std::vector<HostProcess>& Hosts() noexcept { return mHosts; }

private:
  void WriteSettings(const HostProcess& aHost, bool aFounding) const;

  std::string mBinary;
  std::string mFolder;
  int mBasePort = 0;
  int mDataCentres = 3;
  std::vector<HostProcess> mHosts;
};

} // namespace geraniumpond::soak
