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
class RunningAttempts
{
public:
  void Add();
  void Done();
  void WaitForAll();

private:
  std::mutex mMutex;
  std::condition_variable mAllDone;
  int mCount = 0;
};

/// \brief Dependencies of an attempt: the reducer, the connection pool and the
/// count of worker threads.
struct AttemptContext
{
  Runtime& mRuntime;
  SessionPool& mPool;
  RunningAttempts& mRunning;
};

/// \brief Sends a request to its target, posts its progress as events, and
/// forwards the response to the caller if the reducer accepts it.
///
/// `aCall` is the caller's connection; it must outlive the attempt unless the
/// attempt buffers its response.
void RunAttempt(AttemptContext& aContext,
                const std::shared_ptr<Exchange>& aExchange,
                Call* aCall,
                const wire::Dispatch& aDispatch);

/// \brief Sends a stored or buffered response with its outcome header.
void SendStored(Call& aCall,
                const wire::StoredAnswer& aAnswer,
                const std::string& aOutcome);

} // namespace geraniumpond::edge
