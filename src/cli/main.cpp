#include "commands.h"

#include <cstdlib>
#include <iostream>

namespace geraniumpond::cli {

namespace {

constexpr const char* kHostHelp = "admin address ip:port, or several with ','";
constexpr const char* kTokenHelp =
  "file with the token; else the variable GERANIUMPOND_TOKEN";

void PrintHelp()
{
  std::cout << "geraniumpond " << GERANIUMPOND_VERSION
            << "\nusage: geraniumpond COMMAND [options]\n\n";
  for (const Command& command : Commands()) {
    std::cout << "  " << command.mName << "\t" << command.mSummary << "\n";
  }
  std::cout << "\n'geraniumpond COMMAND --help' tells more. Exit codes: 0 ok, "
               "1 failed, 2 usage, 3 refused, 4 outcome unknown\n";
}

void PrintHelp(const Command& aCommand)
{
  std::cout << "usage: geraniumpond " << aCommand.mName << " "
            << aCommand.mUsage << "\n"
            << aCommand.mSummary << "\n\n";
  for (const OptionRule& rule : aCommand.mOptions) {
    std::cout << "  --" << rule.mName << "\t" << rule.mHelp << "\n";
  }
  std::cout << "  --help\tthis text\n  --version\tthe version\n";
}

bool TakesValue(const std::string& aName)
{
  return !aName.empty() && aName.back() == '=';
}

std::vector<std::string> OptionNames(const Command& aCommand)
{
  std::vector<std::string> names;
  for (const OptionRule& rule : aCommand.mOptions) {
    names.emplace_back(rule.mName);
  }
  names.emplace_back("help");
  names.emplace_back("version");
  return names;
}

bool Parse(const Command& aCommand, int aCount, char** aWords, Arguments& aOut)
{
  std::vector<std::string> names = OptionNames(aCommand);
  std::vector<option> options;
  for (std::string& name : names) {
    const bool value = TakesValue(name);
    if (value) {
      name.pop_back();
    }
    options.push_back(
      { name.c_str(), value ? required_argument : no_argument, nullptr, 0 });
  }
  options.push_back({ nullptr, 0, nullptr, 0 });
  int index = 0;
  int found = 0;
  while ((found = getopt_long(aCount, aWords, "", options.data(), &index)) !=
         -1) {
    if (found != 0) {
      return false;
    }
    aOut.mOptions[options[static_cast<std::size_t>(index)].name] =
      optarg == nullptr ? "yes" : optarg;
  }
  for (int i = optind; i < aCount; ++i) {
    aOut.mOperands.emplace_back(aWords[i]);
  }
  return true;
}

ExitCode Run(const Command& aCommand, int aCount, char** aWords)
{
  Arguments arguments;
  if (!Parse(aCommand, aCount, aWords, arguments)) {
    PrintHelp(aCommand);
    return ExitCode::Usage;
  }
  if (arguments.Has("help")) {
    PrintHelp(aCommand);
    return ExitCode::Ok;
  }
  if (arguments.Has("version")) {
    std::cout << "geraniumpond " << GERANIUMPOND_VERSION << "\n";
    return ExitCode::Ok;
  }
  return aCommand.mRun(arguments);
}

ExitCode Main(int aCount, char** aWords)
{
  const std::string name = aCount > 1 ? aWords[1] : "--help";
  if (name == "--help" || name == "help") {
    PrintHelp();
    return aCount > 1 ? ExitCode::Ok : ExitCode::Usage;
  }
  if (name == "--version") {
    std::cout << "geraniumpond " << GERANIUMPOND_VERSION << "\n";
    return ExitCode::Ok;
  }
  for (const Command& command : Commands()) {
    if (name == command.mName) {
      return Run(command, aCount - 1, aWords + 1);
    }
  }
  std::cerr << "geraniumpond: no command '" << name << "'\n";
  PrintHelp();
  return ExitCode::Usage;
}

} // namespace

bool Arguments::Has(const std::string& aName) const
{
  return mOptions.count(aName) != 0;
}

std::string Arguments::Text(const std::string& aName,
                            const std::string& aDefault) const
{
  const auto found = mOptions.find(aName);
  return found == mOptions.end() ? aDefault : found->second;
}

const std::vector<Command>& Commands()
{
  static const std::vector<Command> commands = {
    { "serve",
      "--settings FILE [--record FILE]",
      "run one host; its roles come from its settings",
      { { "settings=", "the host's settings file" },
        { "record=", "write every event to this file, for 'replay'" } },
      RunServe },
    { "gateway",
      "--settings FILE",
      "run one gateway host, which routes by host name and path",
      { { "settings=", "the gateway's settings file" } },
      RunGatewayHost },
    { "platform",
      "",
      "run one gateway host as the users' platform starts it",
      {},
      RunPlatformHost },
    { "init",
      "--settings FILE",
      "make the disk of a founding control host, once",
      { { "settings=", "the host's settings file" } },
      RunInit },
    { "check",
      "FILE",
      "report every fault of a settings or deployment file",
      {},
      RunCheck },
    { "apply",
      "FILE --expect-version N --host ADDR [--change-id ID] [--wait SECONDS]",
      "replace the deployment as a whole",
      { { "expect-version=", "version that this change replaces" },
        { "change-id=", "makes resends safe; one is made up without it" },
        { "operator=", "name told to operators who lose a race" },
        { "wait=", "wait until it is in force on every live host" },
        { "host=", kHostHelp },
        { "token-file=", kTokenHelp } },
      RunApply },
    { "show",
      "config|hosts|targets|calls|budget|health --host ADDR [--json]",
      "what is in force and known at a host",
      { { "json", "as the host tells it, instead of a table" },
        { "version=", "with config: an earlier version" },
        { "host=", kHostHelp },
        { "token-file=", kTokenHelp } },
      RunShow },
    { "diff",
      "--version N --with M --host ADDR",
      "lines that differ between two versions of the deployment",
      { { "version=", "the earlier version" },
        { "with=", "the later version; 0 is the one in force" },
        { "host=", kHostHelp },
        { "token-file=", kTokenHelp } },
      RunDiff },
    { "drain",
      "host ID | target SERVICE ID --host ADDR",
      "give a host or a target no new work",
      { { "host=", kHostHelp }, { "token-file=", kTokenHelp } },
      RunDrain },
    { "undrain",
      "host ID | target SERVICE ID --host ADDR",
      "end a drain",
      { { "host=", kHostHelp }, { "token-file=", kTokenHelp } },
      RunUndrain },
    { "quarantine",
      "list | release IDENTITY --host ADDR [--json]",
      "requests that a gateway refuses since targets ended under them",
      { { "json", "as the host tells it, instead of a table" },
        { "host=", "an address of the gateway's 'calls'" },
        { "token-file=", kTokenHelp } },
      RunQuarantine },
    { "report",
      "burn --host ADDR[,ADDR...] [--json | --html FILE]",
      "service-level burn, merged over hosts",
      { { "json", "as JSON" },
        { "html=", "as a page with plots" },
        { "host=", kHostHelp },
        { "token-file=", kTokenHelp } },
      RunReport },
    { "replay",
      "FILE [--print]",
      "take the events of 'serve --record' again and compare the effects",
      { { "print", "print every event and its effects" } },
      RunReplay },
  };
  return commands;
}

} // namespace geraniumpond::cli

int main(int aCount, char** aWords)
{
  try {
    return static_cast<int>(geraniumpond::cli::Main(aCount, aWords));
  } catch (const std::exception& error) {
    std::cerr << "geraniumpond: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
