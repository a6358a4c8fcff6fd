#include "gateway_host.h"

#include "gateway_process.h"

#include "edge/logging.h"

#include <Poco/Exception.h>

#include <atomic>
#include <csignal>

namespace geraniumpond::frontend {

namespace {

constexpr int kExitFailure = 1;

std::atomic<bool> gStopRequested{ false };
std::atomic<bool> gReloadRequested{ false };

void TakeSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    gReloadRequested = true;
  } else {
    gStopRequested = true;
  }
}

// Signals end a wait of the loop; they are acted on outside of the handler.
void CatchSignals()
{
  struct sigaction action = {};
  action.sa_handler = TakeSignal;
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
    if (gStopRequested && !stopping) {
      stopping = true;
      process.RequestStop();
    }
    if (gReloadRequested.exchange(false)) {
      // All that may change in a settings file counts at a start only.
      edge::WriteLog(1, "event=reload changed=nothing");
    }
  } while (process.RunOnce());
  return 0;
}

} // namespace

int RunGateway(const GatewaySettings& aSettings, const Dialect& aDialect)
{
  edge::StartLogging(aSettings.mId, aSettings.mLogFormat, aSettings.mLogLevel);
  CatchSignals();
  try {
    return Serve(aSettings, aDialect);
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
