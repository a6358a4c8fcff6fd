#include "gateway_host.h"

#include "allocation.h"
#include "gateway_process.h"
#include "system_clock.h"

#include "edge/logging.h"

#include <Poco/Exception.h>

#include <atomic>
#include <csignal>

namespace geraniumpond::frontend {

namespace {

constexpr int kExitFailure = 1;

/// Time of the signal by the steady clock; 0 before it.
std::atomic<Micros> gStopRequestedAt{ 0 };
std::atomic<bool> gReloadRequested{ false };

void HandleSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    gReloadRequested = true;
  } else {
    Micros none = 0;
    gStopRequestedAt.compare_exchange_strong(none, SteadyNow());
  }
}

// A signal interrupts the loop's wait; the loop then acts on the flag that the
// handler has set.
void InstallSignalHandlers()
{
  struct sigaction action = {};
  action.sa_handler = HandleSignal;
  sigemptyset(&action.sa_mask);
  for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
    sigaction(number, &action, nullptr);
  }
  std::signal(SIGPIPE, SIG_IGN);
}

int Serve(const GatewaySettings& aSettings, const Dialect& aDialect)
{
  GatewayProcess process(aSettings, aDialect);
  const Result<bool> started = process.Start();
  if (!started) {
    edge::WriteLog(
      3, "event=start_failed reason=\"" + started.error().mMessage + "\"");
    return kExitFailure;
  }
  edge::WriteLog(1,
                 "event=started data_centre=" + aSettings.mDataCentre +
                   " callers=" + aSettings.mCallerAddress +
                   " votes=" + (aSettings.mDataFolder.empty() ? "no" : "yes"));
  bool stopping = false;
  do {
    const Micros stopAt = gStopRequestedAt;
    if (stopAt != 0 && !stopping) {
      stopping = true;
      process.RequestStop(stopAt);
    }
    if (gReloadRequested.exchange(false)) {
      // Settings are read at startup only, so a reload changes nothing.
      edge::WriteLog(1, "event=reload changed=nothing");
    }
  } while (process.RunOnce());
  return 0;
}

} // namespace

int RunGateway(const GatewaySettings& aSettings, const Dialect& aDialect)
{
  edge::StartLogging(aSettings.mId, aSettings.mLogFormat, aSettings.mLogLevel);
  InstallSignalHandlers();
  ReturnLargeBuffers();
  try {
    const int result = Serve(aSettings, aDialect);
    edge::WriteLog(1, "event=exited");
    return result;
  } catch (const Poco::Exception& error) {
    edge::WriteLog(
      3, "event=ended_by_error reason=\"" + error.displayText() + "\"");
  } catch (const std::exception& error) {
    edge::WriteLog(
      3, std::string("event=ended_by_error reason=\"") + error.what() + "\"");
  }
  return kExitFailure;
}

} // namespace geraniumpond::frontend
