#include "burn_report.h"
#include "commands.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <fstream>
#include <iostream>

namespace geraniumpond::cli {

namespace {

constexpr int kOk = 200;

void Collect(const Arguments& aArguments,
             const std::string& aHost,
             BurnReport& aReport)
{
  const AdminReply reply = CallAdmin(aArguments, aHost, "GET", "/v1/burn");
  if (reply.mStatus != kOk) {
    aReport.mMissing.push_back(aHost);
    return;
  }
  try {
    Merge(aReport,
          *Poco::JSON::Parser()
             .parse(reply.mBody)
             .extract<Poco::JSON::Object::Ptr>());
  } catch (const Poco::Exception&) {
    aReport.mMissing.push_back(aHost);
  }
}

} // namespace

ExitCode RunReport(const Arguments& aArguments)
{
  const std::vector<std::string> hosts = HostsOf(aArguments);
  if (hosts.empty() ||
      aArguments.mOperands != std::vector<std::string>{ "burn" }) {
    std::cerr << "geraniumpond: report burn --host ADDR[,ADDR...]\n";
    return ExitCode::Usage;
  }
  BurnReport report;
  for (const std::string& host : hosts) {
    Collect(aArguments, host, report);
  }
  if (aArguments.Has("html")) {
    std::ofstream(aArguments.Text("html")) << BurnHtml(report);
    std::cout << "written to " << aArguments.Text("html") << "\n";
  } else if (aArguments.Has("json")) {
    std::cout << BurnJson(report) << "\n";
  } else {
    std::cout << BurnText(report);
  }
  return report.mMissing.empty() ? ExitCode::Ok : ExitCode::Unknown;
}

} // namespace geraniumpond::cli
