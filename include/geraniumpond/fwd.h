#pragma once

/// \brief Forward declarations of the library's public types.

namespace geraniumpond {

struct Error;
struct Fault;

struct Deployment;
struct Service;
struct Kind;
struct Caller;
struct Settings;

namespace routing {
struct Target;
struct TargetSet;
} // namespace routing
namespace limits {
struct WaitQueue;
}
namespace retries {
struct RetryBudget;
}
namespace budget {
struct TokenBucket;
}
namespace membership {
struct Directory;
}
namespace consensus {
struct State;
struct Output;
} // namespace consensus
namespace control {
struct State;
}
namespace node {
struct State;
}

} // namespace geraniumpond
