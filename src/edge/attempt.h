#pragma once

#include "exchange.h"
#include "http_server.h"
#include "runtime.h"
#include "target_client.h"

#include <condition_variable>
#include <mutex>

namespace geraniumpond::edge {

/// \brief Counts attempts that run on worker threads, so that shutdown can wait
/// for them.
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

/// \brief Dependencies of an attempt: the reducer, the connection pool and the
/// count of worker threads.
struct AttemptTools
{
  Runtime& mRuntime;
  SessionPool& mPool;
  RunningCount& mRunning;
};

/// \brief Sends a request to its target, posts its progress as events, and
/// forwards the response to the caller if the reducer accepts it.
///
/// `aCall` is the caller's connection; it must outlive the attempt unless the
/// attempt buffers its response.
void RunAttempt(AttemptTools& aTools,
                const std::shared_ptr<Exchange>& aExchange,
                Call* aCall,
                const wire::Dispatch& aDispatch);

/// \brief Sends a stored or buffered response with its outcome header.
void SendStored(Call& aCall,
                const wire::StoredAnswer& aAnswer,
                const std::string& aOutcome);

} // namespace geraniumpond::edge
