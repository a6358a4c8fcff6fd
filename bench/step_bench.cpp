// Processor time of single decisions, by the size of what they look at.
#include <geraniumpond/hash.h>
#include <geraniumpond/node.h>

#include <benchmark/benchmark.h>

namespace {

using namespace geraniumpond;

routing::TargetSet MakeSet(int aTargets)
{
  routing::TargetSet set;
  set.mDataCentre = "dc0";
  set.mRules.mSlowStart = 0;
  for (int i = 0; i < aTargets; ++i) {
    routing::Target target;
    target.mId = "target-" + std::to_string(i);
    target.mDataCentre = "dc" + std::to_string(i % 4);
    target.mSlots = 4;
    target.mPreferred = i % 4 == 0;
    target.mOthersInFlight = i % 3;
    set.mTargets.push_back(target);
  }
  return set;
}

// One choice, its begin and its end.
void RoutingStep(benchmark::State& aState)
{
  routing::TargetSet set = MakeSet(static_cast<int>(aState.range(0)));
  Micros now = 1;
  std::uint64_t attempt = 0;
  for (auto step : aState) {
    (void)step;
    now += 100;
    ++attempt;
    const auto target = routing::Pick(set, now, attempt, {}, {});
    routing::Begin(set, *target, attempt, {}, now);
    const std::string id = set.mTargets[*target].mId;
    routing::Finish(
      set, id, attempt, routing::Verdict::Good, now + 5 * kMillisecond);
  }
}
BENCHMARK(RoutingStep)->Arg(4)->Arg(7)->Arg(16)->Arg(64);

std::string DeploymentText(int aServices)
{
  std::string text = "[deployment]\nname = bench\n";
  for (int i = 0; i < aServices; ++i) {
    const std::string name = "s" + std::to_string(i);
    text += "[service " + name + "]\nslots = 4\nslow_start_ms = 0\n" +
            "lease_ms = 600000\ntarget_token_sha256 = " + Sha256Hex("t") +
            "\n[kind k" + std::to_string(i) + "]\nservice = " + name +
            "\nmethods = GET\npath = /" + name +
            "\nidempotent = yes\ndeadline_ms = 1000\nobjective_ms = 100\n";
  }
  return text + "[caller c]\nservices = s0\ntoken_sha256 = " + Sha256Hex("c") +
         "\n";
}

node::State MakeNode(int aServices, int aInstances)
{
  node::State state;
  wire::Event event;
  event.set_now_us(kSecond);
  wire::Started& started = *event.mutable_started();
  started.mutable_settings()->set_id("e0");
  started.mutable_settings()->set_data_centre("dc0");
  started.mutable_settings()->set_entry(true);
  started.set_incarnation(1);
  started.mutable_cached()->set_version(1);
  started.mutable_cached()->set_text(DeploymentText(aServices));
  (void)node::Step(state, event);
  for (int i = 0; i < aInstances; ++i) {
    wire::Event announce;
    announce.set_now_us(kSecond);
    wire::TargetAnnounced& target = *announce.mutable_announced();
    target.set_token_sha256(Sha256Hex("t"));
    target.set_service("s" + std::to_string(i % aServices));
    target.set_id("t" + std::to_string(i));
    target.set_address("10.0.0.1:80");
    target.set_data_centre("dc" + std::to_string(i % 13));
    target.set_slots(4);
    target.set_incarnation(1);
    (void)node::Step(state, announce);
  }
  wire::Event tick;
  tick.set_now_us(10 * kSecond);
  tick.mutable_tick();
  (void)node::Step(state, tick);
  return state;
}

// A call through the whole reducer: arrival, head, end. Arguments: services
// and instances that the host knows.
void CallThroughReducer(benchmark::State& aState)
{
  node::State state = MakeNode(static_cast<int>(aState.range(0)),
                               static_cast<int>(aState.range(1)));
  const std::string token = Sha256Hex("c");
  Micros now = 11 * kSecond;
  std::uint64_t request = 0;
  for (auto step : aState) {
    (void)step;
    now += 100;
    wire::Event event;
    event.set_now_us(now);
    wire::RequestArrived& arrived = *event.mutable_request();
    arrived.set_request(++request);
    arrived.set_token_sha256(token);
    arrived.set_method("GET");
    arrived.set_path("/s0/x");
    benchmark::DoNotOptimize(node::Step(state, event));
    wire::Event head;
    head.set_now_us(now + 50);
    head.mutable_head()->set_request(request);
    head.mutable_head()->set_attempt(state.mLastAttempt);
    head.mutable_head()->set_status(200);
    benchmark::DoNotOptimize(node::Step(state, head));
    wire::Event end;
    end.set_now_us(now + 60);
    end.mutable_ended()->set_request(request);
    end.mutable_ended()->set_attempt(state.mLastAttempt);
    end.mutable_ended()->set_end(wire::END_COMPLETE);
    end.mutable_ended()->set_status(200);
    benchmark::DoNotOptimize(node::Step(state, end));
  }
}
BENCHMARK(CallThroughReducer)
  ->Args({ 1, 7 })
  ->Args({ 1, 16 })
  ->Args({ 92, 625 })
  ->Args({ 185, 1250 })
  ->Args({ 370, 2500 });

// The periodic work of a host that knows so many services and instances.
void HeartbeatTick(benchmark::State& aState)
{
  node::State state = MakeNode(static_cast<int>(aState.range(0)),
                               static_cast<int>(aState.range(1)));
  Micros now = 11 * kSecond;
  for (auto step : aState) {
    (void)step;
    now += 500 * kMillisecond;
    wire::Event tick;
    tick.set_now_us(now);
    tick.mutable_tick();
    benchmark::DoNotOptimize(node::Step(state, tick));
  }
}
// Bounded: leases of the announced targets last for 1200 ticks.
BENCHMARK(HeartbeatTick)
  ->Iterations(500)
  ->Args({ 46, 312 })
  ->Args({ 92, 625 })
  ->Args({ 185, 1250 })
  ->Args({ 370, 2500 });

void TakeDeployment(benchmark::State& aState)
{
  node::State state = MakeNode(1, 1);
  const std::string text = DeploymentText(static_cast<int>(aState.range(0)));
  std::uint64_t version = 1;
  for (auto step : aState) {
    (void)step;
    wire::Event event;
    event.set_now_us(11 * kSecond);
    event.mutable_peer()->set_from("c0");
    wire::DeploymentVersion& next =
      *event.mutable_peer()->mutable_deployment_push()->mutable_deployment();
    next.set_version(++version);
    next.set_text(text);
    benchmark::DoNotOptimize(node::Step(state, event));
  }
  aState.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(TakeDeployment)->Arg(46)->Arg(92)->Arg(185)->Arg(370);

} // namespace

BENCHMARK_MAIN();
