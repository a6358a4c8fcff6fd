// Of three machines of the core one is killed and comes back whole, an empty
// machine is added meanwhile, and another loses its disk right after it has
// acknowledged a change. One disk is lost, as is tolerated. The configuration
// must be read back once all are there again.

#include "harness.h"

#include <cstdlib>

using namespace review;

namespace {

constexpr int kMachines = 5;
constexpr int kDisks = 4;
constexpr std::size_t kAdded = 3;
/// From the loss of the first machine: when the empty one is added, when the
/// change is sent, when the disk is lost and when the machines are back.
constexpr double kAddedAt = 0.3;
constexpr double kChangeAt = 2.2;
constexpr double kDiskLostAt = 2.43;
constexpr double kFirstBackAt = 3.5;
constexpr double kSecondBackAfter = 3;
/// The bound of the settings, and the time for which the operator asks.
constexpr double kRecover = 15;
constexpr double kContact = 3;
/// The second loss has to come within a sixth of a second: each try plays
/// machines of its own.
constexpr int kTries = 3;

// The version that a read gives; 0 if none came in time.
int ReadBack(Platform& aPlatform, double aSeconds)
{
  const double until = Now() + aSeconds;
  const std::string key = "\"version\":";
  for (std::size_t turn = 0; Now() < until; ++turn) {
    const Machine& machine =
      aPlatform.Machines()[turn % aPlatform.Machines().size()];
    Message answer;
    if (OrderOnce(machine, "config.get", "", "", 1, &answer) == 200) {
      const std::size_t at = answer.mBody.find(key);
      if (at != std::string::npos) {
        return std::atoi(answer.mBody.c_str() + at + key.size());
      }
    }
    Sleep(0.1);
  }
  return 0;
}

std::string Document(int aVersion, int aBase)
{
  return Configuration(aVersion,
                       aBase,
                       { { "/look/", "safe", "1500ms", "desk" } },
                       { "desk" },
                       std::to_string(15000 + aVersion) + "ms");
}

bool Try(bool aTrouble)
{
  Platform platform(kMachines, kDisks);
  std::vector<Machine>& machines = platform.Machines();
  machines[kAdded].mIsSpare = true;
  SetUp(platform, Document(1, 0), {});
  const std::size_t leader = FindLeader(platform);
  if (leader > 2) {
    throw CannotRun{ "the leader has no disk" };
  }
  Machine& first = machines[(leader + 1) % 3];
  Machine& second = machines[(leader + 2) % 3];
  const double start = Now();
  Record("the leader is " + machines[leader].mName);
  if (aTrouble) {
    platform.Kill(first);
    Record(first.mName + " is killed");
  }
  Sleep(start + kAddedAt - Now());
  platform.Start(machines[kAdded], false);
  Record(machines[kAdded].mName + " is added, with an empty disk");
  Sleep(start + kChangeAt - Now());
  int newest = 1;
  if (OrderOnce(second, "config.put", "", Document(3, 1)) == 200) {
    newest = 3;
    Record("version 3 is acknowledged by " + second.mName);
  }
  Sleep(start + kDiskLostAt - Now());
  if (aTrouble) {
    platform.LoseDisk(second);
    Record(second.mName + " is killed and loses its disk");
    Sleep(start + kFirstBackAt - Now());
    platform.Start(first, false);
    Record(first.mName + " is back, with its disk");
    Sleep(start + kDiskLostAt + kSecondBackAfter - Now());
    platform.Start(second, false);
    Record(second.mName + " is back, with an empty disk");
  }
  const double backAt = Now();
  const int version = ReadBack(platform, kRecover + kContact);
  Record(version == 0 ? "the configuration does not come, " +
                          std::to_string(Now() - backAt) + " s after all are back"
                      : "read back: version " + std::to_string(version) + ", " +
                          std::to_string(Now() - backAt) +
                          " s after all are back; acknowledged: version " +
                          std::to_string(newest));
  if (version == 0) {
    const int status =
      Order(platform, "config.put", "", Document(5, newest), AllOf(platform), 6);
    Record("a further change: " +
           (status == 0 ? std::string("no clear answer in 6 s")
                        : "answered " + std::to_string(status)));
  }
  return version >= newest;
}

bool Play(bool aTrouble)
{
  for (int number = 1; number <= (aTrouble ? kTries : 1); ++number) {
    Record("try " + std::to_string(number));
    if (!Try(aTrouble)) {
      return false;
    }
  }
  return true;
}

} // namespace

int main()
{
  return RunCase(Play);
}
