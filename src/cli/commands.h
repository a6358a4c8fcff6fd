#pragma once

#include <getopt.h>

#include <map>
#include <string>
#include <vector>

/// \brief The commands of the geraniumpond binary.
namespace geraniumpond::cli {

/// \brief Exit codes, the same for every command.
enum class ExitCode : int
{
  Ok = 0,
  Failed = 1,
  Usage = 2,
  Refused = 3,
  Unknown = 4,
};

/// \brief Options and operands of one command line.
struct Arguments
{
  std::map<std::string, std::string> mOptions;
  std::vector<std::string> mOperands;

  [[nodiscard]] bool Has(const std::string& aName) const;
  [[nodiscard]] std::string Text(const std::string& aName,
                                 const std::string& aDefault = "") const;
};

/// \brief One option: "name" or "name=" when it takes a value.
struct OptionRule
{
  const char* mName;
  const char* mHelp;
};

/// \brief One command and what its help says.
struct Command
{
  const char* mName;
  const char* mUsage;
  const char* mSummary;
  std::vector<OptionRule> mOptions;
  ExitCode (*mRun)(const Arguments&);
};

[[nodiscard]] const std::vector<Command>& Commands();

ExitCode RunServe(const Arguments& aArguments);
ExitCode RunGatewayHost(const Arguments& aArguments);
ExitCode RunPlatformHost(const Arguments& aArguments);
ExitCode RunInit(const Arguments& aArguments);
ExitCode RunCheck(const Arguments& aArguments);
ExitCode RunApply(const Arguments& aArguments);
ExitCode RunShow(const Arguments& aArguments);
ExitCode RunDiff(const Arguments& aArguments);
ExitCode RunDrain(const Arguments& aArguments);
ExitCode RunUndrain(const Arguments& aArguments);
ExitCode RunQuarantine(const Arguments& aArguments);
ExitCode RunReport(const Arguments& aArguments);
ExitCode RunReplay(const Arguments& aArguments);

/// \brief An answer of a host's admin address.
struct AdminReply
{
  /// 0 when no answer came.
  int mStatus = 0;
  std::string mBody;
};

/// \brief Calls a host's admin address with the token of the arguments.
[[nodiscard]] AdminReply CallAdmin(
  const Arguments& aArguments,
  const std::string& aHost,
  const std::string& aMethod,
  const std::string& aPath,
  const std::string& aBody = "",
  const std::map<std::string, std::string>& aHeaders = {});

/// \brief Prints a reply; its exit code.
ExitCode Finish(const AdminReply& aReply);

/// \brief The hosts of --host, separated by commas.
[[nodiscard]] std::vector<std::string> HostsOf(const Arguments& aArguments);

/// \brief Reads a file or explains why not on standard error.
[[nodiscard]] bool ReadText(const std::string& aPath, std::string& aOut);

} // namespace geraniumpond::cli
