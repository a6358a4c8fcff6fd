#pragma once

#include "exchange.h"
#include "http_server.h"
#include "runtime.h"
#include "target_client.h"

#include <condition_variable>
#include <mutex>

namespace geraniumpond::edge {

/// \brief Counts attempts on threads of their own, so that a stop can wait.
class RunningCount
{
public:
  void Add();
  void Done();
  void WaitNone();

private:
  std::mutex mMutex;
  std::condition_variable mNone;
  int mCount = 0;
};

/// \brief What attempts need: the reducer, connections, a count of threads.
struct AttemptTools
{
  Runtime& mRuntime;
  SessionPool& mPool;
  RunningCount& mRunning;
};

/// \brief Sends a request to its target, reports what happens as events, and
/// passes the answer on if the reducer accepts it.
///
/// `aCall` is the caller's side; it must outlive the attempt unless the
/// attempt buffers its answer.
void RunAttempt(AttemptTools& aTools,
                const std::shared_ptr<Exchange>& aExchange,
                Call* aCall,
                const wire::Dispatch& aDispatch);

/// \brief Writes the outcome header and a stored or kept answer.
void SendStored(Call& aCall,
                const wire::StoredAnswer& aAnswer,
                const std::string& aOutcome);

} // namespace geraniumpond::edge
