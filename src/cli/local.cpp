#include "commands.h"

#include "edge/host.h"
#include "edge/storage.h"

#include <geraniumpond/deployment.h>
#include <geraniumpond/hash.h>
#include <geraniumpond/node.h>

#include <Poco/File.h>

#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <google/protobuf/util/delimited_message_util.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace geraniumpond::cli {

namespace {

void PrintFaults(const std::vector<Fault>& aFaults)
{
  for (const Fault& fault : aFaults) {
    std::cerr << ToString(fault) << "\n";
  }
}

ExitCode LoadSettings(const Arguments& aArguments, Settings& aOut)
{
  const std::string path = aArguments.Text("settings");
  std::string text;
  if (path.empty() || !ReadText(path, text)) {
    std::cerr << "geraniumpond: --settings FILE is required\n";
    return ExitCode::Usage;
  }
  Checked<Settings> checked = ParseSettings(text, path);
  PrintFaults(checked.mFaults);
  aOut = std::move(checked.mValue);
  return checked.Ok() ? ExitCode::Ok : ExitCode::Failed;
}

// A deployment names itself in a section of that name; settings do not.
bool LooksLikeDeployment(const std::string& aText)
{
  return aText.find("[deployment]") != std::string::npos ||
         aText.find("[service ") != std::string::npos;
}

void PrintStep(std::uint64_t aNumber,
               const wire::Event& aEvent,
               const wire::Effects& aEffects)
{
  std::cout << "# " << aNumber << "\n" << aEvent.ShortDebugString() << "\n";
  for (const wire::Effect& effect : aEffects.effects()) {
    std::cout << "  -> " << effect.ShortDebugString() << "\n";
  }
}

} // namespace

bool ReadText(const std::string& aPath, std::string& aOut)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    std::cerr << "geraniumpond: cannot read " << aPath << "\n";
    return false;
  }
  std::ostringstream text;
  text << file.rdbuf();
  aOut = text.str();
  return true;
}

ExitCode RunServe(const Arguments& aArguments)
{
  Settings settings;
  const ExitCode loaded = LoadSettings(aArguments, settings);
  if (loaded != ExitCode::Ok) {
    return loaded;
  }
  return edge::RunHost(settings, aArguments.Text("record")) == 0
           ? ExitCode::Ok
           : ExitCode::Failed;
}

ExitCode RunInit(const Arguments& aArguments)
{
  Settings settings;
  const ExitCode loaded = LoadSettings(aArguments, settings);
  if (loaded != ExitCode::Ok) {
    return loaded;
  }
  Poco::File(settings.mDataFolder).createDirectories();
  const Result<bool> made =
    edge::InitFoundingHost(settings.mDataFolder, node::ToWire(settings));
  if (!made) {
    std::cerr << "geraniumpond: " << made.error().mMessage << "\n";
    return made.error().mCode == ErrorCode::Conflict ? ExitCode::Refused
                                                     : ExitCode::Failed;
  }
  std::cout << "founding disk made in " << settings.mDataFolder << "\n";
  return ExitCode::Ok;
}

ExitCode RunCheck(const Arguments& aArguments)
{
  if (aArguments.mOperands.empty()) {
    std::cerr << "geraniumpond: check needs a file\n";
    return ExitCode::Usage;
  }
  bool sound = true;
  for (const std::string& path : aArguments.mOperands) {
    std::string text;
    if (!ReadText(path, text)) {
      return ExitCode::Failed;
    }
    const std::vector<Fault> faults = LooksLikeDeployment(text)
                                        ? ParseDeployment(text, path).mFaults
                                        : ParseSettings(text, path).mFaults;
    PrintFaults(faults);
    std::cout << path << ": " << faults.size() << " faults\n";
    sound = sound && faults.empty();
  }
  return sound ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode RunReplay(const Arguments& aArguments)
{
  if (aArguments.mOperands.size() != 1) {
    std::cerr << "geraniumpond: replay needs one file\n";
    return ExitCode::Usage;
  }
  std::ifstream file(aArguments.mOperands[0], std::ios::binary);
  if (!file) {
    std::cerr << "geraniumpond: cannot read " << aArguments.mOperands[0]
              << "\n";
    return ExitCode::Failed;
  }
  google::protobuf::io::IstreamInputStream input(&file);
  node::State state;
  wire::RecordedStep step;
  std::uint64_t count = 0;
  bool end = false;
  while (google::protobuf::util::ParseDelimitedFromZeroCopyStream(
    &step, &input, &end)) {
    const wire::Effects effects = node::Step(state, step.event());
    if (aArguments.Has("print")) {
      PrintStep(count, step.event(), effects);
    }
    if (Hash64(effects.SerializeAsString()) != step.effects_digest()) {
      std::cerr << "step " << count << " gives other effects\n";
      PrintStep(count, step.event(), effects);
      return ExitCode::Failed;
    }
    ++count;
    step.Clear();
  }
  std::cout << count << " events, the same effects"
            << (end ? "" : "; the last record is torn") << "\n";
  return ExitCode::Ok;
}

} // namespace geraniumpond::cli
