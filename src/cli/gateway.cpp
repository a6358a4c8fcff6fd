#include "commands.h"

#include "command.h"
#include "frontend/gateway_host.h"
#include "frontend/native_dialect.h"

#include <geraniumpond/gateway_settings.h>

#include <iostream>

namespace geraniumpond::cli {

ExitCode RunGatewayHost(const Arguments& aArguments)
{
  const std::string path = aArguments.Text("settings");
  std::string text;
  if (path.empty() || !ReadText(path, text)) {
    std::cerr << "geraniumpond: --settings FILE is required\n";
    return ExitCode::Usage;
  }
  const Checked<GatewaySettings> settings = ParseGatewaySettings(text, path);
  for (const Fault& fault : settings.mFaults) {
    std::cerr << ToString(fault) << "\n";
  }
  if (!settings.Ok()) {
    return ExitCode::Failed;
  }
  return static_cast<ExitCode>(
    frontend::RunGateway(settings.mValue, frontend::NativeDialect()));
}

ExitCode RunPlatformHost(const Arguments&)
{
  return static_cast<ExitCode>(platform::RunHost());
}

} // namespace geraniumpond::cli
