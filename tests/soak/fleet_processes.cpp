#include "fleet_processes.h"

#include <Poco/File.h>

#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace geraniumpond::soak {

namespace {

// Hosts listen for each other at one port, so that each has an address of the
// loopback network to itself.
std::string AddressOf(int aIndex)
{
  return "127.0.1." + std::to_string(aIndex + 1);
}

} // namespace

FleetProcesses::FleetProcesses(std::string aBinary,
                               std::string aFolder,
                               int aBasePort,
                               int aDataCentres)
  : mBinary(std::move(aBinary))
  , mFolder(std::move(aFolder))
  , mBasePort(aBasePort)
  , mDataCentres(aDataCentres)
{
  Poco::File(mFolder).createDirectories();
}

FleetProcesses::~FleetProcesses()
{
  for (HostProcess& host : mHosts) {
    if (host.mPid > 0) {
      ::kill(host.mPid, SIGKILL);
      (void)::waitpid(host.mPid, nullptr, 0);
    }
  }
}

void FleetProcesses::Add(bool aDisk)
{
  HostProcess host;
  host.mIndex = static_cast<int>(mHosts.size());
  host.mDisk = aDisk;
  const std::string ip = AddressOf(host.mIndex);
  host.mFolder = mFolder + "/host-" + std::to_string(host.mIndex);
  host.mCallers = ip + ":" + std::to_string(mBasePort);
  host.mCalls = ip + ":" + std::to_string(mBasePort + 1);
  host.mPeers = ip + ":" + std::to_string(mBasePort + 2);
  host.mBound = ip + ":" + std::to_string(mBasePort + 4);
  Poco::File(host.mFolder).createDirectories();
  mHosts.push_back(host);
}

void FleetProcesses::WriteSettings(const HostProcess& aHost,
                                   bool aFounding) const
{
  const std::string ip = AddressOf(aHost.mIndex);
  std::string seeds;
  for (const HostProcess& host : mHosts) {
    if (host.mDisk && host.mIndex < 3) {
      seeds += (seeds.empty() ? "" : ",") + host.mCalls;
    }
  }
  std::ofstream file(aHost.mFolder + "/host.ini");
  file << "[host]\nid = host-" << aHost.mIndex << "\ndata_centre = dc-"
       << aHost.mIndex % mDataCentres
       << "\ndata_folder = " << (aHost.mDisk ? aHost.mFolder + "/disk" : "")
       << "\n[listen]\ncallers = " << aHost.mCallers
       << "\ncalls = " << aHost.mCalls << "\nhosts = " << aHost.mPeers
       << "\nhosts_bind = " << aHost.mBound << "\nmetrics = " << ip << ":"
       << mBasePort + 3 << "\n[fleet]\nseeds = " << seeds
       << "\nfounding = " << (aFounding ? "yes" : "no")
       << "\ntolerated_losses = 1\n[bounds]\nstop_grace = 4s\n"
          "answer_keep = 500ms\nextra_ratio = 0.2\nextra_floor = 60\n"
          "probes_per_target = 60\n";
}

void FleetProcesses::Start(std::size_t aHost, bool aFounding)
{
  HostProcess& host = mHosts.at(aHost);
  if (host.mDisk) {
    Poco::File(host.mFolder + "/disk").createDirectories();
  }
  WriteSettings(host, aFounding);
  const std::string settings = host.mFolder + "/host.ini";
  const std::string log = host.mFolder + "/log";
  const pid_t pid = ::fork();
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  if (pid == 0) {
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(mBinary.c_str(),
            mBinary.c_str(),
            "gateway",
            "--settings",
            settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  host.mPid = pid;
  host.mPaused = false;
}

void FleetProcesses::Signal(std::size_t aHost, int aSignal)
{
  HostProcess& host = mHosts.at(aHost);
  if (host.mPid > 0) {
    ::kill(host.mPid, aSignal);
  }
}

bool FleetProcesses::Reap(std::size_t aHost)
{
  HostProcess& host = mHosts.at(aHost);
  if (host.mPid <= 0 || ::waitpid(host.mPid, nullptr, WNOHANG) != host.mPid) {
    return false;
  }
  host.mPid = 0;
  return true;
}

void FleetProcesses::WipeDisk(std::size_t aHost)
{
  Poco::File disk(mHosts.at(aHost).mFolder + "/disk");
  if (disk.exists()) {
    disk.remove(true);
  }
}

} // namespace geraniumpond::soak
