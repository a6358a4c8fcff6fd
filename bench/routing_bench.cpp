// Compares routing policies by scenario with a central queue that has perfect
// knowledge, in virtual time and with fixed seeds. Prints a table; see
// docs/MEASUREMENTS.md.
//
//   routing_bench [--only PART-OF-A-NAME] [--seed N] [--all yes]
#include "fakes/options.h"
#include "policies.h"

#include <cstdio>
#include <future>
#include <map>

namespace {

using namespace geraniumpond;
using namespace geraniumpond::bench;

Scenario Haddad(const std::string& aName)
{
  Scenario scenario;
  scenario.mName = "haddad " + aName;
  return scenario;
}

Scenario Consortium(const std::string& aName)
{
  Scenario scenario;
  scenario.mName = "consortium " + aName;
  scenario.mTargets = 10;
  scenario.mSlots = 2;
  scenario.mEntries = 2;
  return scenario;
}

void AddShapes(std::vector<Scenario>& aOut, const Scenario& aShape)
{
  for (const double load : { 0.7, 0.85 }) {
    for (const double sigma : { 0.3, 1.0 }) {
      for (const double straggler : { 1.0, 10.0 }) {
        for (const double skew : { 0.0, 0.4 }) {
          Scenario scenario = aShape;
          scenario.mLoad = load;
          scenario.mSigma = sigma;
          scenario.mStraggler = straggler;
          scenario.mSkew = skew;
          char text[80];
          std::snprintf(text,
                        sizeof text,
                        "%.0f%% sigma %.1f%s%s",
                        100 * load,
                        sigma,
                        straggler > 1 ? " straggler" : "",
                        skew > 0 ? " skew" : "");
          scenario.mName += text;
          aOut.push_back(scenario);
        }
      }
    }
  }
}

std::vector<Scenario> Scenarios()
{
  std::vector<Scenario> all;
  AddShapes(all, Haddad(""));
  AddShapes(all, Consortium(""));
  for (const int entries : { 1, 2, 4, 8, 16 }) {
    Scenario scenario = Consortium("70% entries " + std::to_string(entries));
    scenario.mEntries = entries;
    all.push_back(scenario);
  }
  for (const int entries : { 4, 16 }) {
    Scenario scenario = Haddad("85% entries " + std::to_string(entries));
    scenario.mEntries = entries;
    scenario.mLoad = 0.85;
    all.push_back(scenario);
  }
  for (Scenario shape : { Haddad(""), Consortium("") }) {
    shape.mSigma = 1.0;
    shape.mHedge = true;
    shape.mName += "70% sigma 1.0 hedge";
    all.push_back(shape);
  }
  for (Scenario shape : { Haddad(""), Consortium("") }) {
    shape.mName += "70% fault 10 s to 20 s";
    shape.mFaultAt = 10 * kSecond;
    shape.mFaultEnd = 20 * kSecond;
    Scenario slow = shape;
    slow.mName += ", straggler";
    slow.mStraggler = 10;
    all.push_back(slow);
    shape.mName += ", fail fast";
    shape.mFailFast = true;
    all.push_back(shape);
  }
  for (Scenario shape : { Haddad(""), Consortium("") }) {
    shape.mName += "130%";
    shape.mLoad = 1.3;
    shape.mDeadline = 500 * kMillisecond;
    all.push_back(shape);
    shape.mName += " of it 80% bulk";
    shape.mBulkLoad = 0.8;
    all.push_back(shape);
  }
  for (Scenario shape : { Haddad(""), Consortium("") }) {
    shape.mName += "urgent 40% alone";
    shape.mLoad = 0.4;
    all.push_back(shape);
    shape.mName = shape.mName.substr(0, shape.mName.find("urgent")) +
                  "urgent 40% with bulk 20%";
    shape.mLoad = 0.6;
    shape.mBulkLoad = 0.2;
    all.push_back(shape);
    shape.mName = shape.mName.substr(0, shape.mName.find("urgent")) +
                  "urgent 40% with bulk 80%";
    shape.mLoad = 1.2;
    shape.mBulkLoad = 0.8;
    all.push_back(shape);
  }
  return all;
}

struct Row
{
  Policy mPolicy;
  Summary mSummary;
  std::string mNote;
};

// Reaction to a faulty target: calls harmed in the first second, its share of
// the load for the rest of the fault, and the time until the share recovers.
std::string FaultNote(const Emulation& aRun)
{
  const Scenario& scenario = aRun.mScenario;
  if (scenario.mFaultAt == 0) {
    return "";
  }
  double before = 0;
  double soon = 0;
  double during = 0;
  std::map<Micros, int> after;
  for (const Micros at : aRun.mFaultySent) {
    if (at >= kWarmUp && at < scenario.mFaultAt) {
      ++before;
    } else if (at >= scenario.mFaultAt && at < scenario.mFaultAt + kSecond) {
      ++soon;
    } else if (at >= scenario.mFaultAt && at < scenario.mFaultEnd) {
      ++during;
    } else if (at >= scenario.mFaultEnd) {
      ++after[(at - scenario.mFaultEnd) / kSecond];
    }
  }
  const double fair = before / static_cast<double>(scenario.mFaultAt - kWarmUp);
  const auto length =
    static_cast<double>(scenario.mFaultEnd - scenario.mFaultAt - kSecond);
  int back = -1;
  for (const auto& [second, count] : after) {
    if (back < 0 && count >= 0.9 * fair * kSecond) {
      back = static_cast<int>(second);
    }
  }
  char text[120];
  std::snprintf(text,
                sizeof text,
                " harmed/entry %.1f, share then %.2f%%, back in %d s",
                soon / scenario.mEntries,
                100 * during / (fair * length),
                back + 1);
  return text;
}

Row RunOne(const Scenario& aScenario, Policy aPolicy)
{
  const Emulation run = RunPolicy(aScenario, aPolicy);
  return { aPolicy, Summarise(run), FaultNote(run) };
}

void Print(const Scenario& aScenario, const std::vector<Row>& aRows)
{
  const double ideal = aRows.back().mSummary.mP99;
  std::printf("%s (seed %llu)\n",
              aScenario.mName.c_str(),
              static_cast<unsigned long long>(aScenario.mSeed));
  for (const Row& row : aRows) {
    const Summary& s = row.mSummary;
    std::printf("  %-16s p50 %7.2f p99 %8.2f (%5.2fx) p99.9 %8.2f urgent p99 "
                "%8.2f missed %5.2f%% refused %5.2f%% by %4.2f urgent met "
                "%6.2f%% goodput %4.2f extra %5.2f%% herd %4.2f%s\n",
                ToString(row.mPolicy),
                s.mP50,
                s.mP99,
                s.mP99 / ideal,
                s.mP999,
                s.mUrgentP99,
                100 * s.mMissed,
                100 * s.mRefusedShare,
                s.mWorstRefusal,
                100 * s.mUrgentMet,
                s.mGoodput,
                100 * s.mExtra,
                s.mHerd,
                row.mNote.c_str());
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto options = fakes::ParseOptions(aCount, aArguments);
  std::vector<Policy> policies = { Policy::Reducer, Policy::Ideal };
  if (!options.Text("all").empty()) {
    policies = { Policy::Random,        Policy::RoundRobin,
                 Policy::LeastReported, Policy::LeastInFlight,
                 Policy::PowerOfTwo,    Policy::Reducer,
                 Policy::Ideal };
  }
  std::vector<Scenario> scenarios;
  for (Scenario& scenario : Scenarios()) {
    if (scenario.mName.find(options.Text("only")) != std::string::npos) {
      scenario.mSeed = static_cast<std::uint64_t>(options.Number("seed", 1));
      scenarios.push_back(scenario);
    }
  }
  std::vector<std::vector<std::future<Row>>> rows;
  for (const Scenario& scenario : scenarios) {
    rows.emplace_back();
    for (const Policy policy : policies) {
      rows.back().push_back(
        std::async(std::launch::deferred, RunOne, scenario, policy));
    }
  }
  // Bounds the concurrent emulations, each of which is large.
  constexpr std::size_t kParallel = 8;
  std::vector<std::future<std::vector<Row>>> batches;
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    batches.push_back(std::async(i % kParallel == kParallel - 1
                                   ? std::launch::deferred
                                   : std::launch::async,
                                 [&rows, i] {
                                   std::vector<Row> done;
                                   for (auto& row : rows[i]) {
                                     done.push_back(row.get());
                                   }
                                   return done;
                                 }));
    if (i % kParallel == kParallel - 1) {
      for (auto& batch : batches) {
        batch.wait();
      }
    }
  }
  for (std::size_t i = 0; i < scenarios.size(); ++i) {
    Print(scenarios[i], batches[i].get());
  }
  return 0;
}
