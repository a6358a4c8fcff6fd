#include "commands.h"

#include "line_diff.h"
#include "table.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>
#include <Poco/UUIDGenerator.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

namespace geraniumpond::cli {

namespace {

constexpr int kTimeoutSeconds = 25;
constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;
constexpr std::chrono::milliseconds kPoll{ 100 };

std::string TokenOf(const Arguments& aArguments)
{
  const std::string file = aArguments.Text("token-file");
  if (file.empty()) {
    const char* token = std::getenv("GERANIUMPOND_TOKEN");
    return token == nullptr ? "" : token;
  }
  std::string token;
  return ReadText(file, token) ? Poco::trim(token) : "";
}

Poco::JSON::Object::Ptr ParseObject(const std::string& aText)
{
  try {
    return Poco::JSON::Parser().parse(aText).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

// The control hosts are told by every host what it has in force.
std::string ControlHost(const Arguments& aArguments, const std::string& aHost)
{
  const Poco::JSON::Object::Ptr object =
    ParseObject(CallAdmin(aArguments, aHost, "GET", "/v1/hosts").mBody);
  if (object.isNull() || !object->has("hosts")) {
    return aHost;
  }
  for (const auto& entry : *object->getArray("hosts")) {
    const auto& host = entry.extract<Poco::JSON::Object::Ptr>();
    if (host->getValue<bool>("control") && !host->getValue<bool>("gone")) {
      return host->optValue<std::string>("admin", aHost);
    }
  }
  return aHost;
}

// Hosts that are live but do not have a version in force yet.
std::vector<std::string> Lagging(const Arguments& aArguments,
                                 const std::string& aHost,
                                 std::uint64_t aVersion)
{
  std::vector<std::string> lagging;
  const std::string control = ControlHost(aArguments, aHost);
  const AdminReply reply = CallAdmin(aArguments, control, "GET", "/v1/hosts");
  const Poco::JSON::Object::Ptr object = ParseObject(reply.mBody);
  if (object.isNull() || !object->has("hosts")) {
    return { "(no answer from " + control + ")" };
  }
  for (const auto& entry : *object->getArray("hosts")) {
    const auto& host = entry.extract<Poco::JSON::Object::Ptr>();
    if (!host->getValue<bool>("gone") &&
        host->optValue<Poco::UInt64>("version", 0) < aVersion) {
      lagging.push_back(host->getValue<std::string>("id"));
    }
  }
  return lagging;
}

ExitCode WaitInForce(const Arguments& aArguments,
                     const std::string& aHost,
                     std::uint64_t aVersion)
{
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  const auto limit =
    start + std::chrono::seconds(std::atoi(aArguments.Text("wait").c_str()));
  std::vector<std::string> lagging;
  do {
    lagging = Lagging(aArguments, aHost, aVersion);
    if (lagging.empty()) {
      const std::chrono::duration<double> took = Clock::now() - start;
      std::cout << "in force on every live host after " << took.count()
                << " s\n";
      return ExitCode::Ok;
    }
    std::this_thread::sleep_for(kPoll);
  } while (Clock::now() < limit);
  std::cerr << "accepted, but not yet in force on:";
  for (const std::string& host : lagging) {
    std::cerr << " " << host;
  }
  std::cerr << "\n";
  return ExitCode::Unknown;
}

// A host that cannot be reached has not taken the change, so that the next
// one may be asked; the change id makes this safe in any case.
AdminReply ApplyAtAny(const Arguments& aArguments,
                      const std::vector<std::string>& aHosts,
                      const std::string& aText,
                      const std::map<std::string, std::string>& aHeaders,
                      std::string& aUsed)
{
  AdminReply reply;
  for (const std::string& host : aHosts) {
    aUsed = host;
    reply =
      CallAdmin(aArguments, host, "PUT", "/v1/deployment", aText, aHeaders);
    if (reply.mStatus != 0 && reply.mStatus < kFirstServerError) {
      return reply;
    }
  }
  return reply;
}

ExitCode FinishMissing(const std::string& aVersion)
{
  std::cerr << "geraniumpond: this host does not keep version " << aVersion
            << "; ask a control host\n";
  return ExitCode::Refused;
}

ExitCode Drain(const Arguments& aArguments, bool aUndrain)
{
  const std::vector<std::string>& words = aArguments.mOperands;
  std::string query = aUndrain ? "undrain=yes&" : "";
  if (words.size() == 2 && words[0] == "host") {
    query += "what=host&id=" + words[1];
  } else if (words.size() == 3 && words[0] == "target") {
    query += "what=target&service=" + words[1] + "&id=" + words[2];
  } else {
    std::cerr << "geraniumpond: host ID, or target SERVICE ID\n";
    return ExitCode::Usage;
  }
  const std::vector<std::string> hosts = HostsOf(aArguments);
  if (hosts.empty()) {
    return ExitCode::Usage;
  }
  return Finish(CallAdmin(aArguments, hosts[0], "POST", "/v1/drain?" + query));
}

} // namespace

std::vector<std::string> HostsOf(const Arguments& aArguments)
{
  std::vector<std::string> hosts;
  std::istringstream list(aArguments.Text("host"));
  std::string host;
  while (std::getline(list, host, ',')) {
    hosts.push_back(host);
  }
  if (hosts.empty()) {
    std::cerr << "geraniumpond: --host ip:port is required\n";
  }
  return hosts;
}

AdminReply CallAdmin(const Arguments& aArguments,
                     const std::string& aHost,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody,
                     const std::map<std::string, std::string>& aHeaders)
{
  AdminReply reply;
  try {
    const Poco::Net::SocketAddress address(aHost);
    Poco::Net::HTTPClientSession session(address);
    session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(
      aMethod, aPath, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + TokenOf(aArguments));
    for (const auto& [name, value] : aHeaders) {
      request.set(name, value);
    }
    request.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
    session.sendRequest(request) << aBody;
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                     reply.mBody);
    reply.mStatus = response.getStatus();
  } catch (const Poco::Exception& error) {
    reply.mStatus = 0;
    reply.mBody = aHost + ": " + error.displayText();
  }
  return reply;
}

ExitCode Finish(const AdminReply& aReply)
{
  if (aReply.mStatus == 0) {
    std::cerr << "geraniumpond: " << aReply.mBody << "\n";
    return ExitCode::Unknown;
  }
  if (aReply.mStatus >= kFirstServerError) {
    std::cerr << aReply.mBody << "\n";
    return ExitCode::Unknown;
  }
  if (aReply.mStatus >= kFirstError) {
    std::cerr << aReply.mBody << "\n";
    return ExitCode::Refused;
  }
  std::cout << aReply.mBody << "\n";
  return ExitCode::Ok;
}

ExitCode RunApply(const Arguments& aArguments)
{
  const std::vector<std::string> hosts = HostsOf(aArguments);
  std::string text;
  if (hosts.empty() || aArguments.mOperands.size() != 1 ||
      !aArguments.Has("expect-version") ||
      !ReadText(aArguments.mOperands[0], text)) {
    std::cerr << "geraniumpond: apply FILE --expect-version N --host ADDR\n";
    return ExitCode::Usage;
  }
  const std::string changeId = aArguments.Text(
    "change-id",
    Poco::UUIDGenerator::defaultGenerator().createRandom().toString());
  std::string used;
  const AdminReply reply = ApplyAtAny(
    aArguments,
    hosts,
    text,
    { { "Geraniumpond-Change-Id", changeId },
      { "Geraniumpond-Expect-Version", aArguments.Text("expect-version") },
      { "Geraniumpond-Operator", aArguments.Text("operator", "operator") } },
    used);
  const ExitCode code = Finish(reply);
  if (code == ExitCode::Unknown) {
    std::cerr << "whether it was applied is unknown; the same command with "
                 "--change-id "
              << changeId << " is safe and tells\n";
  }
  if (code != ExitCode::Ok || !aArguments.Has("wait")) {
    return code;
  }
  const Poco::JSON::Object::Ptr object = ParseObject(reply.mBody);
  return WaitInForce(
    aArguments, used, object->optValue<Poco::UInt64>("version", 0));
}

ExitCode RunShow(const Arguments& aArguments)
{
  const std::vector<std::string> hosts = HostsOf(aArguments);
  static const std::map<std::string, std::string> paths = {
    { "config", "/v1/config" },   { "hosts", "/v1/hosts" },
    { "targets", "/v1/targets" }, { "calls", "/v1/calls" },
    { "budget", "/v1/budget" },   { "health", "/healthz" },
  };
  const auto path = aArguments.mOperands.size() == 1
                      ? paths.find(aArguments.mOperands[0])
                      : paths.end();
  if (hosts.empty() || path == paths.end()) {
    std::cerr
      << "geraniumpond: show config|hosts|targets|calls|budget|health\n";
    return ExitCode::Usage;
  }
  std::string target = path->second;
  if (aArguments.Has("version")) {
    target += "?version=" + aArguments.Text("version");
  }
  const AdminReply reply = CallAdmin(aArguments, hosts[0], "GET", target);
  const Poco::JSON::Object::Ptr object = ParseObject(reply.mBody);
  if (reply.mStatus == 0 || reply.mStatus >= kFirstError ||
      aArguments.Has("json") || object.isNull()) {
    return Finish(reply);
  }
  PrintTable(std::cout, *object);
  return ExitCode::Ok;
}

ExitCode RunDiff(const Arguments& aArguments)
{
  const std::vector<std::string> hosts = HostsOf(aArguments);
  if (hosts.empty() || !aArguments.Has("version")) {
    return ExitCode::Usage;
  }
  std::vector<std::string> texts;
  for (const std::string& version :
       { aArguments.Text("version"), aArguments.Text("with", "0") }) {
    const AdminReply reply =
      CallAdmin(aArguments, hosts[0], "GET", "/v1/config?version=" + version);
    const Poco::JSON::Object::Ptr object = ParseObject(reply.mBody);
    if (object.isNull() || !object->has("text")) {
      return reply.mStatus == 0 ? Finish(reply) : FinishMissing(version);
    }
    texts.push_back(object->getValue<std::string>("text"));
  }
  std::cout << LineDiff(texts[0], texts[1]);
  return ExitCode::Ok;
}

ExitCode RunDrain(const Arguments& aArguments)
{
  return Drain(aArguments, false);
}

ExitCode RunUndrain(const Arguments& aArguments)
{
  return Drain(aArguments, true);
}

} // namespace geraniumpond::cli
