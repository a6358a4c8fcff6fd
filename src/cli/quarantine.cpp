#include "commands.h"

#include "table.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <iostream>

namespace geraniumpond::cli {

namespace {

constexpr int kOk = 200;

ExitCode List(const Arguments& aArguments, const std::string& aHost)
{
  const AdminReply reply = CallAdmin(aArguments, aHost, "GET", "/quarantine");
  if (reply.mStatus != kOk || aArguments.Has("json")) {
    return Finish(reply);
  }
  try {
    PrintTable(std::cout,
               *Poco::JSON::Parser()
                  .parse(reply.mBody)
                  .extract<Poco::JSON::Object::Ptr>());
  } catch (const Poco::Exception& error) {
    std::cerr << "geraniumpond: " << error.displayText() << "\n";
    return ExitCode::Failed;
  }
  return ExitCode::Ok;
}

} // namespace

ExitCode RunQuarantine(const Arguments& aArguments)
{
  const std::vector<std::string>& operands = aArguments.mOperands;
  const bool list = operands.size() == 1 && operands[0] == "list";
  const bool release = operands.size() == 2 && operands[0] == "release";
  if (!list && !release) {
    std::cerr << "geraniumpond: usage: quarantine list, or quarantine release "
                 "IDENTITY\n";
    return ExitCode::Usage;
  }
  const std::vector<std::string> hosts = HostsOf(aArguments);
  if (hosts.empty()) {
    return ExitCode::Usage;
  }
  return list
           ? List(aArguments, hosts[0])
           : Finish(CallAdmin(
               aArguments, hosts[0], "DELETE", "/quarantine/" + operands[1]));
}

} // namespace geraniumpond::cli
