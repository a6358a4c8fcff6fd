#include "host.h"

#include "admin.h"
#include "callers.h"
#include "logging.h"
#include "runtime.h"

#include "frontend/allocation.h"

#include <Poco/File.h>

#include <csignal>
#include <ctime>
#include <memory>
#include <pthread.h>
#include <utility>

namespace geraniumpond::edge {

namespace {

constexpr int kExitFailure = 1;
constexpr int kAdminConnections = 300;
constexpr std::uint64_t kMaxAdminBody = 4 * 1024 * 1024;

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// All threads inherit the mask, so that only WaitForStop() receives the
// signals.
void BlockSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

// A second signal does not abort a graceful shutdown.
void WaitForStop(Runtime& aRuntime)
{
  const sigset_t signals = StopSignals();
  const timespec wait{ 0, 50 * 1000 * 1000 };
  while (!aRuntime.Exited()) {
    if (sigtimedwait(&signals, nullptr, &wait) > 0) {
      wire::Event event;
      event.mutable_stop();
      aRuntime.Post(std::move(event));
    }
  }
}

void ReportMalformed(Runtime& aRuntime, const RequestError& aError)
{
  WriteLog(0, "malformed request: " + aError.mReason);
  wire::Event event;
  event.mutable_malformed()->set_status(
    static_cast<std::uint32_t>(aError.mStatus));
  aRuntime.Post(std::move(event));
}

HttpListener::Options CallerOptions(const Settings& aSettings,
                                    AttemptContext& aContext,
                                    std::shared_ptr<BodyMemory> aMemory)
{
  HttpListener::Options options;
  options.mMemory = std::move(aMemory);
  options.mAddress = aSettings.mCallerAddress;
  options.mMaxConnections = aSettings.mMaxConnections;
  options.mMaxBody = [&aContext] { return aContext.mRuntime.MaxBodyBytes(); };
  options.mHandler = [&aContext](Call& aCall) {
    return ServeCaller(aContext, aCall);
  };
  options.mOnMalformed = [&aContext](const RequestError& aError) {
    ReportMalformed(aContext.mRuntime, aError);
  };
  return options;
}

HttpListener::Options AdminOptions(const Settings& aSettings,
                                   Runtime& aRuntime,
                                   std::shared_ptr<BodyMemory> aMemory)
{
  HttpListener::Options options;
  options.mMemory = std::move(aMemory);
  options.mAddress = aSettings.mAdminAddress;
  options.mMaxConnections = kAdminConnections;
  options.mMaxBody = [] { return kMaxAdminBody; };
  options.mHandler = [&aRuntime](Call& aCall) {
    return ServeAdmin(aRuntime, aCall);
  };
  options.mOnMalformed = [&aRuntime](const RequestError& aError) {
    ReportMalformed(aRuntime, aError);
  };
  return options;
}

int Serve(const Settings& aSettings, const std::string& aRecordFile)
{
  Poco::File(aSettings.mDataFolder).createDirectories();
  Runtime runtime(aSettings, aRecordFile);
  const Result<bool> started = runtime.Start();
  if (!started) {
    WriteLog(3, "start failed: " + started.error().mMessage);
    return kExitFailure;
  }
  SessionPool pool;
  RunningAttempts running;
  AttemptContext context{ runtime, pool, running };
  const auto memory = std::make_shared<BodyMemory>(aSettings.mMemoryBytes);
  const HttpListener admin(AdminOptions(aSettings, runtime, memory));
  std::unique_ptr<HttpListener> callers;
  if (aSettings.mEntry) {
    callers =
      std::make_unique<HttpListener>(CallerOptions(aSettings, context, memory));
  }
  WriteLog(1, "serving");
  WaitForStop(runtime);
  callers.reset();
  running.WaitForAll();
  runtime.Stop();
  return 0;
}

} // namespace

int RunHost(const Settings& aSettings, const std::string& aRecordFile)
{
  StartLogging(aSettings.mId, aSettings.mLogFormat, aSettings.mLogLevel);
  BlockSignals();
  frontend::ReturnLargeBuffers();
  try {
    return Serve(aSettings, aRecordFile);
  } catch (const Poco::Exception& error) {
    WriteLog(3, error.displayText());
  } catch (const std::exception& error) {
    WriteLog(3, error.what());
  }
  return kExitFailure;
}

} // namespace geraniumpond::edge
