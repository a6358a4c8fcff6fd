#pragma once

#include "exchange.h"
#include "peers.h"
#include "storage.h"

#include <geraniumpond/node.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace geraniumpond::edge {

/// \brief Runs one host's reducer and performs its effects.
///
/// Events are processed one at a time; effects are performed in order, and none
/// of them blocks.
class Runtime
{
public:
  Runtime(const Settings& aSettings, const std::string& aRecordFile);
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;
  ~Runtime();

  /// \brief Reads the stored state, starts the threads and processes the first
  /// event.
  [[nodiscard]] Result<bool> Start();

  /// \brief Stops all threads; no event is processed afterwards.
  void Stop();

  /// \brief Processes one event; sets its time and random number.
  void Post(wire::Event aEvent);

  /// \brief Posts an operator's or target's request and waits for its result.
  [[nodiscard]] wire::OperationAnswer RunOperation(
    const std::function<void(wire::Event&, std::uint64_t)>& aFill);

  /// \brief Registers a new exchange, so that effects are delivered to it.
  [[nodiscard]] std::shared_ptr<Exchange> NewExchange();
  void EndExchange(const std::shared_ptr<Exchange>& aExchange);

  /// \brief Calls `aReader` with the state and the time while holding the lock.
  template<class Reader>
  auto Read(Reader aReader)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return aReader(static_cast<const node::State&>(mState), Now());
  }

  /// \brief Time in microseconds: since 1970 by the system clock at the start,
  /// and monotonic from there on, so that later clock changes have no effect.
  [[nodiscard]] Micros Now() const;
  [[nodiscard]] bool Exited() const noexcept { return mExited; }
  [[nodiscard]] bool WaitExit(std::chrono::milliseconds aTimeout);

  /// \brief Largest body size that any request kind of the current deployment
  /// allows.
  [[nodiscard]] std::uint64_t MaxBodyBytes() const noexcept { return mMaxBody; }

private:
  [[nodiscard]] std::shared_ptr<Exchange> FindExchange(std::uint64_t aRequest);
  void UpdateMaxBody();
  void PerformEffects(const wire::Effects& aEffects);
  void PerformEffect(const wire::Effect& aEffect);
  void Record(const wire::Event& aEvent, const wire::Effects& aEffects);
  void RunTimer();
  void RunLogWriter();
  void RunCacheWriter();
  void WriteBatch(const std::vector<wire::Persist>& aBatch);
  void ReportDiskFailure(const std::string& aReason);
  [[nodiscard]] Result<bool> FillStarted(wire::Started& aStarted);

  Settings mSettings;
  std::unique_ptr<std::ofstream> mRecordFile;
  Micros mClockOffset = 0;

  std::mutex mMutex;
  node::State mState;
  std::uint64_t mRandomState = 0;
  std::atomic<std::uint64_t> mMaxBody{ 1024 * 1024 };
  std::mutex mExchangeMutex;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> mExchanges;
  std::atomic<std::uint64_t> mLastRequest{ 0 };

  std::mutex mOperationMutex;
  std::condition_variable mOperationDone;
  std::map<std::uint64_t, wire::OperationAnswer> mOperationAnswers;
  std::atomic<std::uint64_t> mLastOperation{ 0 };

  std::unique_ptr<Peers> mPeers;
  std::unique_ptr<LogWriter> mLog;

  std::mutex mThreadMutex;
  std::condition_variable mTimerChanged;
  std::condition_variable mWriteQueued;
  std::condition_variable mCacheQueued;
  std::condition_variable mExitChanged;
  Micros mTimerAt = 0;
  std::vector<wire::Persist> mPendingWrites;
  std::unique_ptr<wire::DeploymentVersion> mPendingDeployment;
  bool mStopped = false;
  std::atomic<bool> mExited{ false };
  std::vector<std::thread> mThreads;
};

} // namespace geraniumpond::edge
