// Slopes of state, messages and time with the size of the system, from the
// reducers themselves. docs/CAPACITY.md is worked out from its output.
#include "fakes/options.h"
#include "fakes/world.h"

#include <geraniumpond/accounts.h>
#include <geraniumpond/hash.h>

#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace {

using namespace geraniumpond;
using fakes::World;

constexpr int kServices = 37;

std::string Deployment(int aServices, int aEdition)
{
  std::string text = "[deployment]\nname = size\nkey_retention_s = " +
                     std::to_string(3600 + aEdition) + "\n";
  for (int i = 0; i < aServices; ++i) {
    const std::string name = "s" + std::to_string(i);
    text += "[service " + name + "]\nslots = 4\nslow_start_ms = 0\n" +
            "lease_ms = 600000\ntarget_token_sha256 = " + Sha256Hex("target") +
            "\n[kind k" + std::to_string(i) + "]\nservice = " + name +
            "\nmethods = GET\npath = /" + name +
            "\nidempotent = yes\ndeadline_ms = 1000\nobjective_ms = 100\n" +
            "[caller c" + std::to_string(i) + "]\nservices = " + name +
            "\ntoken_sha256 = " + Sha256Hex(name) + "\n";
  }
  return text;
}

double Bytes(World& aWorld, const std::string& aHost)
{
  return static_cast<double>(aWorld.mBytesFrom[aHost] + aWorld.mBytesTo[aHost]);
}

// Bytes a second that hosts send and receive, over some time.
struct Rates
{
  double mControl = 0;
  double mEntryMean = 0;
  double mEntryMost = 0;
};

Rates Measure(World& aWorld, double aSeconds)
{
  aWorld.mBytesFrom.clear();
  aWorld.mBytesTo.clear();
  aWorld.RunFor(static_cast<Micros>(aSeconds * kSecond));
  Rates rates;
  int entries = 0;
  for (const auto& [id, host] : aWorld.mHosts) {
    const double rate = Bytes(aWorld, id) / aSeconds;
    if (host.mSettings.control()) {
      rates.mControl = std::max(rates.mControl, rate);
    } else {
      rates.mEntryMean += rate;
      rates.mEntryMost = std::max(rates.mEntryMost, rate);
      ++entries;
    }
  }
  rates.mEntryMean /= entries;
  return rates;
}

std::unique_ptr<World> Build(int aEntries, int aServices, int aInstances)
{
  auto world = std::make_unique<World>(1);
  world->AddHosts(3, aEntries);
  world->StartAll();
  world->RunFor(4 * kSecond);
  world->Apply("c0", "first", 0, Deployment(aServices, 0));
  world->RunFor(3 * kSecond);
  for (int i = 0; i < aInstances; ++i) {
    world->Announce("e" + std::to_string(i % aEntries),
                    "s" + std::to_string(i % aServices),
                    "t" + std::to_string(i));
  }
  world->RunFor(5 * kSecond);
  return world;
}

double MillisecondsSince(std::chrono::steady_clock::time_point aStart)
{
  const std::chrono::duration<double, std::milli> passed =
    std::chrono::steady_clock::now() - aStart;
  return passed.count();
}

void ByHosts()
{
  std::printf("# entries: idle bytes/s sent and received (control most, entry "
              "mean, entry most), most bytes at one host for one deployment "
              "change, slowest host in force after ms\n");
  for (const int entries : { 8, 16, 32, 64, 128 }) {
    const auto world = Build(entries, kServices, 2 * entries);
    const Rates idle = Measure(*world, 20);
    world->mBytesFrom.clear();
    world->mBytesTo.clear();
    const Micros start = world->mNow;
    world->Apply("c0", "second", 1, Deployment(kServices, 1));
    const bool done = world->RunUntil(
      [&] {
        for (const auto& [id, host] : world->mHosts) {
          if (host.mState.mVersion.version() < 2) {
            return false;
          }
        }
        return true;
      },
      10 * kSecond);
    const double took = static_cast<double>(world->mNow - start) / kMillisecond;
    world->RunFor(kSecond);
    double most = 0;
    for (const auto& [id, host] : world->mHosts) {
      most = std::max(most, Bytes(*world, id));
    }
    std::printf("%d: %.0f %.0f %.0f, %.0f, %s%.0f\n",
                entries,
                idle.mControl,
                idle.mEntryMean,
                idle.mEntryMost,
                most,
                done ? "" : "NOT ",
                took);
  }
}

void ByInstances()
{
  std::printf("# instances (16 entries): idle bytes/s of an entry, bytes "
              "sent in all per restarted instance, heap bytes per host\n");
  for (const int instances : { 312, 625, 1250, 2500 }) {
    // As at the size of the target: under 7 instances a service.
    const int services = instances * 370 / 2500;
    const std::size_t before = mallinfo2().uordblks;
    const auto world = Build(16, services, instances);
    const Rates idle = Measure(*world, 10);
    const double heap =
      static_cast<double>(mallinfo2().uordblks - before) / 19.0;
    const std::uint64_t sent = world->mBytes;
    constexpr int kRestarts = 20;
    for (int i = 0; i < kRestarts; ++i) {
      world->Announce("e" + std::to_string(i % 16),
                      "s" + std::to_string(i % services),
                      "t" + std::to_string(i),
                      true);
    }
    world->RunFor(2 * kSecond);
    const double extra = static_cast<double>(world->mBytes - sent) -
                         2 * (16 * idle.mEntryMean + 3 * idle.mControl);
    std::printf("%d: %.0f, %.0f, %.0f\n",
                instances,
                idle.mEntryMean,
                std::max(extra, 0.0) / kRestarts,
                heap);
  }
}

void ByServices()
{
  std::printf("# services: deployment bytes, heap bytes per host, ms to take "
              "a change at one host\n");
  for (const int services : { 46, 92, 185, 370 }) {
    const std::size_t before = mallinfo2().uordblks;
    const auto world = Build(4, services, services);
    const double heap =
      static_cast<double>(mallinfo2().uordblks - before) / 7.0;
    node::State state = world->StateOf("e0");
    wire::Event event;
    event.set_now_us(world->mNow);
    event.mutable_peer()->set_from("c0");
    wire::DeploymentVersion& next =
      *event.mutable_peer()->mutable_deployment_push()->mutable_deployment();
    next.set_version(9);
    next.set_text(Deployment(services, 1));
    const auto start = std::chrono::steady_clock::now();
    (void)node::Step(state, event);
    std::printf("%d: %zu, %.0f, %.2f\n",
                services,
                next.text().size(),
                heap,
                MillisecondsSince(start));
  }
}

void ByKeys()
{
  std::printf("# keyed records: snapshot bytes, heap bytes per record, ms to "
              "save, ms to load\n");
  for (const int records : { 10000, 20000, 40000, 80000 }) {
    const std::size_t before = mallinfo2().uordblks;
    control::State state;
    for (int i = 0; i < records; ++i) {
      wire::Command command;
      command.set_proposed_at_us(1);
      wire::ClaimKey& claim = *command.mutable_claim();
      claim.set_key("abdali-school/consent/" + std::to_string(1000000 + i) +
                    "-0123456789abcdef");
      claim.set_body_digest(Sha256Hex(std::to_string(i)));
      claim.set_owner("sweifieh-1");
      claim.set_owner_incarnation(1);
      claim.set_attempt(static_cast<std::uint64_t>(i));
      claim.set_expires_at_us(kSecond);
      (void)control::Apply(state, command);
      wire::Command done;
      done.set_proposed_at_us(1);
      wire::CompleteKey& complete = *done.mutable_complete();
      complete.set_key(claim.key());
      complete.set_owner("sweifieh-1");
      complete.set_owner_incarnation(1);
      complete.set_attempt(static_cast<std::uint64_t>(i));
      complete.mutable_answer()->set_status(200);
      complete.mutable_answer()->set_body(std::string(100, 'x'));
      (void)control::Apply(state, done);
    }
    const double heap = static_cast<double>(mallinfo2().uordblks - before);
    auto start = std::chrono::steady_clock::now();
    const std::string saved = control::Save(state);
    const double saving = MillisecondsSince(start);
    start = std::chrono::steady_clock::now();
    const auto loaded = control::Load(saved);
    std::printf("%d: %zu, %.0f, %.1f, %.1f\n",
                records,
                saved.size(),
                heap / records,
                saving,
                loaded ? MillisecondsSince(start) : -1.0);
  }
}

void ByAccounts()
{
  std::printf("# client accounts of two keys each: heap bytes per account, ms "
              "to read them all, ns per look-up\n");
  for (const int count : { 85, 10000 }) {
    const std::size_t before = mallinfo2().uordblks;
    auto start = std::chrono::steady_clock::now();
    accounts::Book book;
    const auto keyOf = [](int aAccount, int aKey) {
      return "kq3x9vh2m7pd" + std::to_string(100000 + aAccount) + "-" +
             std::to_string(aKey);
    };
    for (int i = 0; i < count; ++i) {
      accounts::Account account;
      account.mName = "client" + std::to_string(i);
      (void)accounts::Add(
        book, std::move(account), { keyOf(i, 1), keyOf(i, 2) });
    }
    const double reading = MillisecondsSince(start);
    const double heap = static_cast<double>(mallinfo2().uordblks - before);
    constexpr int kLookUps = 1000000;
    const auto key = accounts::DigestOf(keyOf(count / 2, 1));
    std::size_t found = 0;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < kLookUps; ++i) {
      accounts::KeyDigest one = key;
      one[0] = static_cast<std::uint8_t>(i);
      found += accounts::FindByKey(book, one) != nullptr ? 1 : 0;
    }
    const double lookUp = MillisecondsSince(start) * 1e6 / kLookUps;
    std::printf("%d: %.0f, %.1f, %.0f (%zu found)\n",
                count,
                heap / count,
                reading,
                lookUp,
                found);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  const auto options = fakes::ParseOptions(aCount, aWords);
  const std::string only = options.Text("only");
  if (only.empty() || only == "hosts") {
    ByHosts();
  }
  if (only.empty() || only == "instances") {
    ByInstances();
  }
  if (only.empty() || only == "services") {
    ByServices();
  }
  if (only.empty() || only == "keys") {
    ByKeys();
  }
  if (only.empty() || only == "accounts") {
    ByAccounts();
  }
  return 0;
}
