// A seeded search for broken promises: random schedules of faults around the
// reducers of five hosts, checked after every step.
//
//   safety_search --seeds N [--first S]     a fixed range of seeds
//   safety_search --seconds N               as many as fit
//   safety_search --plant vote|sync|version a planted fault that must be found
#include "fakes/options.h"
#include "fakes/world.h"

#include <chrono>
#include <iostream>

namespace {

using namespace geraniumpond;
using fakes::SmallDeployment;
using fakes::World;

enum class Plant
{
  None,
  Vote,
  Sync,
  Version
};

/// One thing that a schedule does, at a time.
enum class Action
{
  Crash,
  Restart,
  ReplaceDisk,
  Partition,
  Heal,
  Request,
  Resend,
  Apply,
  ResendApply,
  Drain,
};

struct Planned
{
  Micros mAt = 0;
  Action mAction = Action::Heal;
  std::uint64_t mWord = 0;
};

struct Schedule
{
  std::uint64_t mSeed = 0;
  fakes::FaultRates mRates;
  std::vector<Planned> mActions;
};

constexpr Micros kLength = 12 * kSecond;
constexpr Micros kSettle = 20 * kSecond;
constexpr const char* kActionNames[] = { "crash",     "restart", "replace-disk",
                                         "partition", "heal",    "request",
                                         "resend",    "apply",   "resend-apply",
                                         "drain" };

Action ActionOf(std::uint64_t aWord)
{
  static const Action actions[] = {
    Action::Crash,     Action::Restart,     Action::Restart,
    Action::Partition, Action::Heal,        Action::Request,
    Action::Request,   Action::Request,     Action::Request,
    Action::Resend,    Action::Resend,      Action::Resend,
    Action::Apply,     Action::Apply,       Action::ResendApply,
    Action::Drain,     Action::ReplaceDisk,
  };
  return actions[aWord % std::size(actions)];
}

Schedule MakeSchedule(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto share = [&](double aMost) {
    return aMost * static_cast<double>(random() % 1000) / 1000;
  };
  Schedule schedule;
  schedule.mSeed = aSeed;
  schedule.mRates.mLoss = share(0.15);
  schedule.mRates.mDuplicate = share(0.15);
  schedule.mRates.mDelayMax = 1500 + static_cast<Micros>(random() % 60000);
  schedule.mRates.mTargetNotSent = share(0.1);
  schedule.mRates.mTargetRefuses = share(0.2);
  schedule.mRates.mTargetBreaksAfterRun = share(0.15);
  schedule.mRates.mTargetBreaksBeforeRun = share(0.15);
  schedule.mRates.mTargetHangs = share(0.1);
  const std::size_t count = 20 + random() % 40;
  for (std::size_t i = 0; i < count; ++i) {
    Planned planned;
    planned.mAt = static_cast<Micros>(random() % kLength);
    planned.mAction = ActionOf(random());
    planned.mWord = random();
    schedule.mActions.push_back(planned);
    // Faults come together or twice.
    if (random() % 4 == 0) {
      planned.mAt += static_cast<Micros>(random() % (20 * kMillisecond));
      planned.mWord = random();
      schedule.mActions.push_back(planned);
    }
  }
  std::sort(schedule.mActions.begin(),
            schedule.mActions.end(),
            [](const Planned& aLeft, const Planned& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  return schedule;
}

class Run
{
public:
  Run(const Schedule& aSchedule, Plant aPlant)
    : mSchedule(aSchedule)
    , mPlant(aPlant)
    , mWorld(aSchedule.mSeed)
  {
  }

  std::vector<std::string> Violations()
  {
    Prepare();
    const Micros start = mWorld.mNow;
    for (const Planned& planned : mSchedule.mActions) {
      mWorld.RunFor(start + planned.mAt - mWorld.mNow);
      Perform(planned);
      if (!mWorld.mViolations.empty()) {
        return mWorld.mViolations;
      }
    }
    Settle();
    return mWorld.mViolations;
  }

private:
  void Prepare()
  {
    mWorld.AddHosts(3, 2);
    mWorld.StartAll();
    mWorld.RunUntil([&] { return !mWorld.Leader().empty(); }, 5 * kSecond);
    mWorld.Apply("c0", "first", 0, SmallDeployment());
    mWorld.RunFor(2 * kSecond);
    mWorld.Announce("e0", "consent", "t0");
    mWorld.Announce("e1", "consent", "t1");
    mWorld.Announce("e1", "consent", "t2");
    mWorld.RunFor(kSecond);
    mWorld.mRates = mSchedule.mRates;
    mWorld.mAfterStep = [this] { CheckCommitted(); };
  }

  std::string HostOf(std::uint64_t aWord)
  {
    auto host = mWorld.mHosts.begin();
    std::advance(host, static_cast<long>(aWord % mWorld.mHosts.size()));
    return host->first;
  }

  std::string UpHostOf(std::uint64_t aWord, const char* aPrefix)
  {
    std::vector<std::string> up;
    for (const auto& [id, host] : mWorld.mHosts) {
      if (host.mUp && id.rfind(aPrefix, 0) == 0) {
        up.push_back(id);
      }
    }
    return up.empty() ? "" : up[aWord % up.size()];
  }

  void Perform(const Planned& aPlanned)
  {
    const std::uint64_t word = aPlanned.mWord;
    switch (aPlanned.mAction) {
      case Action::Crash:
        Crash(HostOf(word));
        break;
      case Action::Restart:
        Restart(HostOf(word));
        break;
      case Action::ReplaceDisk:
        ReplaceDisk(word);
        break;
      case Action::Partition:
        mWorld.Partition({ HostOf(word), HostOf(word / 7) });
        break;
      case Action::Heal:
        mWorld.Heal();
        break;
      case Action::Request:
        Request(word, "k" + std::to_string(++mKeys));
        break;
      case Action::Resend:
        Request(word, "k" + std::to_string(1 + word % std::max(mKeys, 1)));
        break;
      case Action::Apply:
        Apply(word, ++mChanges);
        break;
      case Action::ResendApply:
        Apply(word, 1 + static_cast<int>(word % std::max(mChanges, 1)));
        break;
      case Action::Drain:
        Drain(word);
        break;
    }
  }

  void Crash(const std::string& aHost)
  {
    if (!mWorld.mHosts[aHost].mUp) {
      return;
    }
    if (mPlant == Plant::Vote) {
      mWorld.mHosts[aHost].mDisk.mHard.set_voted_for("");
      mWorld.mHosts[aHost].mDisk.mHard.set_term(0);
    }
    mWorld.Crash(aHost);
  }

  void Restart(const std::string& aHost)
  {
    if (!mWorld.mHosts[aHost].mUp) {
      if (mPlant == Plant::Version) {
        mWorld.mHosts[aHost].mDisk.mCache.Clear();
      }
      mWorld.Start(aHost);
    }
  }

  // One disk at a time: the next goes only when the group is whole again.
  void ReplaceDisk(std::uint64_t aWord)
  {
    const std::string host = "c" + std::to_string(aWord % 3);
    std::size_t voters = 0;
    for (const auto& [id, other] : mWorld.mHosts) {
      const auto role = other.mState.mGroup.mRole;
      voters += other.mUp && other.mSettings.control() &&
                    role != consensus::Role::Learner
                  ? 1
                  : 0;
    }
    if (voters < 3 || mReplaced.count(host) != 0 || !AllHoldMembers()) {
      return;
    }
    Crash(host);
    mWorld.ReplaceDisk(host);
    mReplaced.insert(host);
    mWorld.Start(host);
  }

  bool AllHoldMembers()
  {
    for (const auto& [id, host] : mWorld.mHosts) {
      const auto& group = host.mState.mGroup;
      if (host.mSettings.control() && (group.mCommit < group.mMembershipIndex ||
                                       group.mMembership.members_size() != 3)) {
        return false;
      }
    }
    return true;
  }

  void Request(std::uint64_t aWord, const std::string& aKey)
  {
    const std::string host = UpHostOf(aWord, "e");
    if (!host.empty()) {
      mWorld.Request(host, aKey);
    }
  }

  void Apply(std::uint64_t aWord, int aChange)
  {
    const std::string host = UpHostOf(aWord, "");
    if (host.empty()) {
      return;
    }
    const std::string id = "change-" + std::to_string(aChange);
    const auto known = mApplied.find(id);
    const std::uint64_t expected = known != mApplied.end()
                                     ? known->second
                                     : mWorld.StateOf(host).mVersion.version();
    mApplied[id] = expected;
    mWorld.Apply(host, id, expected, SmallDeployment(aChange));
  }

  void Drain(std::uint64_t aWord)
  {
    const std::string host = UpHostOf(aWord, "");
    if (!host.empty()) {
      mWorld.Drain(host, "consent", "t2");
    }
  }

  // Entries that replicas have committed must be the same ones. A planted
  // fault of the disk shows here too.
  void CheckCommitted()
  {
    for (auto& [id, host] : mWorld.mHosts) {
      if (!host.mUp || !host.mSettings.control()) {
        continue;
      }
      if (mPlant == Plant::Sync) {
        host.mDisk.mUnsynced.clear();
      }
      const consensus::State& group = host.mState.mGroup;
      std::uint64_t& checked = mChecked[id];
      checked = std::min(checked, group.mCommit);
      for (const wire::Entry& entry : group.mLog) {
        if (entry.index() <= checked || entry.index() > group.mCommit) {
          continue;
        }
        const auto [known, fresh] = mCommitted.emplace(
          entry.index(), std::pair(entry.term(), entry.command()));
        if (!fresh && (known->second.first != entry.term() ||
                       known->second.second != entry.command())) {
          mWorld.AddViolation("two committed entries at " +
                              std::to_string(entry.index()));
        }
        checked = entry.index();
      }
    }
  }

  void Settle()
  {
    mWorld.Heal();
    mWorld.mRates = fakes::FaultRates();
    for (const auto& [id, host] : mWorld.mHosts) {
      Restart(id);
    }
    mWorld.RunFor(kSettle);
    CheckSettled();
  }

  // Once the faults are over everything must be in force and answered.
  void CheckSettled()
  {
    std::set<std::uint64_t> versions;
    for (const auto& [id, host] : mWorld.mHosts) {
      versions.insert(host.mState.mVersion.version());
    }
    if (versions.size() != 1) {
      mWorld.AddViolation("hosts differ in version after the faults");
    }
    if (mWorld.Leader().empty()) {
      mWorld.AddViolation("no leader after the faults");
    }
    for (const auto& [id, request] : mWorld.mRequests) {
      const auto& host = mWorld.mHosts.at(request.mHost);
      if (!request.mAnswer && host.mIncarnation == request.mIncarnation) {
        mWorld.AddViolation("request " + std::to_string(id) +
                            " was never answered");
      }
      CheckAnswer(id, request);
    }
    CheckAccepted();
  }

  void CheckAnswer(std::uint64_t aId, const fakes::SentRequest& aRequest)
  {
    if (!aRequest.mAnswer || aRequest.mAnswer->mOutcome != "ran") {
      return;
    }
    const std::string prefix = "run of ";
    const std::string& body = aRequest.mAnswer->mBody;
    const auto ran =
      mWorld.mRequests.find(std::stoull("0" + body.substr(prefix.size())));
    if (ran == mWorld.mRequests.end() || ran->second.mKey != aRequest.mKey) {
      mWorld.AddViolation("request " + std::to_string(aId) +
                          " was given another one's answer");
    }
  }

  // An accepted change stays in the history, under its version.
  void CheckAccepted()
  {
    for (const auto& [id, host] : mWorld.mHosts) {
      if (!host.mSettings.control()) {
        continue;
      }
      for (const auto& [operation, answer] : mWorld.mOperations) {
        CheckOne(host.mState.mControl, answer);
      }
    }
  }

  void CheckOne(const control::State& aState,
                const fakes::OperatorAnswer& aAnswer)
  {
    if (aAnswer.mStatus != 200 ||
        aAnswer.mBody.find("\"accepted\":true") == std::string::npos) {
      return;
    }
    for (const auto& [change, outcome] : aState.mChanges) {
      if (aAnswer.mBody.find("\"" + change + "\"") != std::string::npos &&
          outcome.accepted()) {
        return;
      }
    }
    mWorld.AddViolation("an accepted change is gone: " + aAnswer.mBody);
  }

  const Schedule& mSchedule;
  Plant mPlant;
  World mWorld;
  int mKeys = 0;
  int mChanges = 0;
  std::map<std::string, std::uint64_t> mApplied;
  std::set<std::string> mReplaced;
  std::map<std::string, std::uint64_t> mChecked;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> mCommitted;
};

std::vector<std::string> Try(const Schedule& aSchedule, Plant aPlant)
{
  return Run(aSchedule, aPlant).Violations();
}

// Drops actions as long as the schedule still fails.
Schedule Shrink(Schedule aSchedule, Plant aPlant)
{
  bool smaller = true;
  while (smaller) {
    smaller = false;
    for (std::size_t i = 0; i < aSchedule.mActions.size(); ++i) {
      Schedule shorter = aSchedule;
      shorter.mActions.erase(shorter.mActions.begin() +
                             static_cast<std::ptrdiff_t>(i));
      if (!Try(shorter, aPlant).empty()) {
        aSchedule = shorter;
        smaller = true;
        break;
      }
    }
  }
  return aSchedule;
}

void Print(const Schedule& aSchedule, const std::string& aViolation)
{
  std::cout << "seed " << aSchedule.mSeed << ": " << aViolation << "\n";
  for (const Planned& planned : aSchedule.mActions) {
    std::cout << "  at " << planned.mAt << " us "
              << kActionNames[static_cast<std::size_t>(planned.mAction)] << " "
              << planned.mWord << "\n";
  }
}

Plant PlantOf(const std::string& aName)
{
  if (aName == "vote") {
    return Plant::Vote;
  }
  if (aName == "sync") {
    return Plant::Sync;
  }
  return aName == "version" ? Plant::Version : Plant::None;
}

} // namespace

int main(int aCount, char** aWords)
{
  const auto options = fakes::ParseOptions(aCount, aWords);
  const Plant plant = PlantOf(options.Text("plant"));
  const auto first = static_cast<std::uint64_t>(options.Number("first", 1));
  const auto seeds = static_cast<std::uint64_t>(options.Number("seeds", 1e12));
  const double seconds = options.Number("seconds", 1e9);
  const auto start = std::chrono::steady_clock::now();
  std::uint64_t done = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - start;
    if (passed.count() > seconds) {
      break;
    }
    const Schedule schedule = MakeSchedule(seed);
    const std::vector<std::string> violations = Try(schedule, plant);
    ++done;
    if (violations.empty()) {
      continue;
    }
    const Schedule shorter = Shrink(schedule, plant);
    Print(shorter, Try(shorter, plant).front());
    std::cout << done << " schedules, found\n";
    return plant == Plant::None ? 1 : 0;
  }
  std::cout << done << " schedules, no promise broken\n";
  return plant == Plant::None ? 0 : 1;
}
