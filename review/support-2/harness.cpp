#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
/// Requests that a server runs at the same time.
constexpr int kSlots = 4;
/// Requests that wait beside these; more are turned away.
constexpr int kQueue = 16;
std::mutex gRecordMutex;
std::ofstream gRecord;

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    throw CannotRun{ "cannot read " + aPath };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Value of a key with a quoted text in the deploy file.
std::string DeployValue(const std::string& aText, const std::string& aKey)
{
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, aKey.size() + 1, aKey + " ") != 0 &&
        line.compare(0, aKey.size() + 1, aKey + "=") != 0) {
      continue;
    }
    const std::size_t open = line.find('"');
    const std::size_t close = line.rfind('"');
    if (open != std::string::npos && close > open) {
      return line.substr(open + 1, close - open - 1);
    }
  }
  throw CannotRun{ "no '" + aKey + "' in the deploy file" };
}

// --- the template, filled in as the platform does

struct Value
{
  std::string mText;
  std::vector<std::pair<std::string, Value>> mItems;
  bool mIsList = false;
};

using Table = std::map<std::string, Value>;

const Value* Look(const Table& aTable, const std::string& aPath)
{
  const auto whole = aTable.find(aPath);
  if (whole != aTable.end()) {
    return &whole->second;
  }
  const std::size_t dot = aPath.rfind('.');
  if (dot == std::string::npos) {
    return nullptr;
  }
  const Value* parent = Look(aTable, aPath.substr(0, dot));
  if (parent == nullptr) {
    return nullptr;
  }
  for (const auto& [key, value] : parent->mItems) {
    if (key == aPath.substr(dot + 1)) {
      return &value;
    }
  }
  return nullptr;
}

std::string TextOf(const Value& aValue)
{
  std::string text = aValue.mText;
  for (const auto& [key, value] : aValue.mItems) {
    text += (text.empty() ? "" : ",") + value.mText;
  }
  return text;
}

bool IsTrue(const Value* aValue)
{
  return aValue != nullptr && aValue->mText != "false" &&
         (!aValue->mText.empty() || !aValue->mItems.empty());
}

std::string Fill(const std::string& aTemplate, const Table& aTable)
{
  std::string out;
  std::size_t at = 0;
  while (at < aTemplate.size()) {
    const std::size_t open = aTemplate.find("{{", at);
    if (open == std::string::npos) {
      return out + aTemplate.substr(at);
    }
    out += aTemplate.substr(at, open - at);
    const std::size_t close = aTemplate.find("}}", open);
    const std::string name = aTemplate.substr(open + 2, close - open - 2);
    at = close + 2;
    if (name.empty() || (name[0] != '#' && name[0] != '^')) {
      const Value* value = Look(aTable, name);
      out += value == nullptr ? "" : TextOf(*value);
      continue;
    }
    const std::string subject = name.substr(1);
    const std::string end = "{{/" + subject + "}}";
    const std::size_t last = aTemplate.find(end, at);
    const std::string inner = aTemplate.substr(at, last - at);
    at = last + end.size();
    const Value* value = Look(aTable, subject);
    if (name[0] == '^') {
      out += IsTrue(value) ? "" : Fill(inner, aTable);
    } else if (IsTrue(value) && value->mItems.empty()) {
      out += Fill(inner, aTable);
    } else if (IsTrue(value)) {
      for (std::size_t i = 0; i < value->mItems.size(); ++i) {
        Table entry = aTable;
        entry["."] = value->mItems[i].second;
        entry["@"].mText = value->mItems[i].first;
        entry[","].mText = i + 1 < value->mItems.size() ? "," : "";
        out += Fill(inner, entry);
      }
    }
  }
  return out;
}

Value Text(const std::string& aText)
{
  Value value;
  value.mText = aText;
  return value;
}

bool Chance(double aShare)
{
  thread_local std::mt19937 random(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(random) < aShare;
}

int Listen(const Address& aAddress)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  ::inet_pton(AF_INET, aAddress.mIp.c_str(), &to.sin_addr);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    throw CannotRun{ "cannot listen at " + aAddress.Text() + ": " +
                     std::strerror(errno) };
  }
  return descriptor;
}

bool Wait(int aDescriptor, short aEvents, double aUntil)
{
  while (true) {
    const double left = aUntil - Now();
    if (left <= 0) {
      return false;
    }
    pollfd one{ aDescriptor, aEvents, 0 };
    const int count = ::poll(&one, 1, static_cast<int>(left * 1000) + 1);
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

} // namespace

double Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

void Record(const std::string& aLine)
{
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  const std::lock_guard<std::mutex> lock(gRecordMutex);
  gRecord << time << aLine << std::endl;
}

int RunCase(const std::function<bool(bool aTrouble)>& aCase)
{
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
  constexpr int kCannotRun = 2;
  std::signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("CASE_FOLDER");
  const char* trouble = std::getenv("TROUBLE");
  const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
  gRecord.open(std::string(folder == nullptr ? "." : folder) + "/record.txt");
  Record(isTroubled ? "with the disruption" : "TROUBLE=0: without it");
  try {
    const bool held = aCase(isTroubled);
    Record(held ? "the rule held" : "THE RULE WAS BROKEN");
    return held ? kHeld : kBroken;
  } catch (const CannotRun& error) {
    Record("could not run: " + error.mWhy);
    return kCannotRun;
  } catch (const std::exception& error) {
    Record(std::string("could not run: ") + error.what());
    return kCannotRun;
  }
}

std::string Field(const Fields& aFields, const std::string& aName)
{
  for (const auto& [name, value] : aFields) {
    if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

bool HasField(const Fields& aFields, const std::string& aName)
{
  for (const auto& [name, value] : aFields) {
    if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return true;
    }
  }
  return false;
}

// ---------------------------------------------------------------- Connection

bool Connection::Open(const Address& aTo, double aSeconds)
{
  Close();
  mIn.clear();
  mDescriptor =
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (mDescriptor < 0) {
    return false;
  }
  const int one = 1;
  ::setsockopt(mDescriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(aTo.mPort));
  ::inet_pton(AF_INET, aTo.mIp.c_str(), &to.sin_addr);
  if (::connect(mDescriptor, reinterpret_cast<sockaddr*>(&to), sizeof(to)) !=
        0 &&
      errno != EINPROGRESS) {
    Close();
    return false;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  if (!Wait(mDescriptor, POLLOUT, Now() + aSeconds) ||
      ::getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    Close();
    return false;
  }
  return true;
}

bool Connection::Send(const std::string& aBytes, double aSeconds)
{
  const double until = Now() + aSeconds;
  std::size_t done = 0;
  while (mDescriptor >= 0 && done < aBytes.size()) {
    const ssize_t count = ::send(
      mDescriptor, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
    if (count > 0) {
      done += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN && errno != EINTR) {
      return false;
    } else if (!Wait(mDescriptor, POLLOUT, until)) {
      return false;
    }
  }
  return done == aBytes.size();
}

void Connection::Close()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
    mDescriptor = -1;
  }
}

bool Connection::Fill(double aUntil)
{
  char bytes[65536];
  while (mDescriptor >= 0) {
    const ssize_t count = ::recv(mDescriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count > 0) {
      mIn.append(bytes, static_cast<std::size_t>(count));
      return true;
    }
    if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
    if (!Wait(mDescriptor, POLLIN, aUntil)) {
      return false;
    }
  }
  return false;
}

bool Connection::ReadHead(std::string& aHead, double aUntil)
{
  std::size_t end = mIn.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return false;
    }
    end = mIn.find("\r\n\r\n");
  }
  aHead = mIn.substr(0, end + 2);
  mIn.erase(0, end + 4);
  return true;
}

namespace {

Fields ParseFields(std::istringstream& aLines)
{
  Fields fields;
  std::string line;
  while (std::getline(aLines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    value.erase(0, value.find_first_not_of(' '));
    fields.emplace_back(line.substr(0, colon), value);
  }
  return fields;
}

} // namespace

bool Connection::ReadBody(Message& aOut, double aUntil)
{
  const std::string text = Field(aOut.mFields, "Content-Length");
  const std::size_t length =
    text.empty() ? 0 : static_cast<std::size_t>(std::strtoull(text.c_str(), nullptr, 10));
  while (mIn.size() < length) {
    if (!Fill(aUntil)) {
      return false;
    }
  }
  aOut.mBody = mIn.substr(0, length);
  mIn.erase(0, length);
  return true;
}

bool Connection::ReadAnswer(Message& aOut, double aSeconds)
{
  const double until = Now() + aSeconds;
  aOut = Message();
  std::string head;
  if (!ReadHead(head, until)) {
    return false;
  }
  std::istringstream lines(head);
  std::string version;
  int status = 0;
  lines >> version >> status;
  std::string rest;
  std::getline(lines, rest);
  aOut.mFields = ParseFields(lines);
  if (!ReadBody(aOut, until)) {
    return false;
  }
  aOut.mStatus = status;
  return true;
}

bool Connection::ReadRequest(Message& aOut, double aSeconds)
{
  const double until = Now() + aSeconds;
  aOut = Message();
  std::string head;
  if (!ReadHead(head, until)) {
    return false;
  }
  std::istringstream lines(head);
  std::string rest;
  lines >> aOut.mMethod >> aOut.mTarget;
  std::getline(lines, rest);
  aOut.mFields = ParseFields(lines);
  return ReadBody(aOut, until);
}

std::string RequestBytes(const std::string& aMethod,
                         const std::string& aTarget,
                         const Fields& aFields,
                         const std::string& aBody)
{
  std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    bytes += name + ": " + value + "\r\n";
  }
  if (aMethod != "GET") {
    bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return bytes + "\r\n" + aBody;
}

// -------------------------------------------------------------------- Server

Server::Server(std::string aId,
               std::string aService,
               std::string aZone,
               Address aAddress,
               Work aWork)
  : mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mAddress(std::move(aAddress))
  , mWork(std::move(aWork))
  , mListener(Listen(mAddress))
{
  mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  mAcceptor = std::thread([this] { Accept(); });
}

Server::~Server()
{
  mStopping = true;
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  ::close(mListener);
  std::unique_lock<std::mutex> lock(mMutex);
  for (const int descriptor : mDescriptors) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
  mEnded.wait(lock, [this] { return mDescriptors.empty(); });
}

std::string Server::Beat(const std::string& aState)
{
  return "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress.Text() +
         "\",\"zone\":\"" + mZone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(kSlots) +
         ",\"state\":\"" + aState +
         "\",\"warmup_left\":\"0ms\",\"sequence\":" +
         std::to_string(++mSequence) + ",\"born\":" + std::to_string(mBorn) +
         "}";
}

std::vector<Server::Run> Server::Runs()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRuns;
}

void Server::Accept()
{
  while (!mStopping) {
    const int descriptor = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const std::lock_guard<std::mutex> lock(mMutex);
    mDescriptors.insert(descriptor);
    std::thread([this, descriptor] { Serve(descriptor); }).detach();
  }
}

// The destructor waits until no descriptor is listed any more; a shutdown ends
// the connection.
void Server::Serve(int aDescriptor)
{
  constexpr double kIdle = 60;
  Connection connection(aDescriptor);
  Message request;
  std::string extra;
  while (!mStopping && connection.ReadRequest(request, kIdle)) {
    if (!extra.empty()) {
      ++mRepeated;
      connection.Send(extra);
      extra.clear();
    }
    bool isTurnedAway = false;
    const std::string answer = Answer(request, isTurnedAway);
    if (!connection.Send(answer)) {
      break;
    }
    if (isTurnedAway && Chance(mRepeats)) {
      extra = answer;
    }
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mDescriptors.erase(aDescriptor);
  connection.Close();
  mEnded.notify_all();
}

bool Server::Enter()
{
  std::unique_lock<std::mutex> lock(mMutex);
  if ((mRunning >= kSlots && mWaiting >= kQueue) || Chance(mTurnsAway)) {
    return false;
  }
  ++mWaiting;
  mLeft.wait(lock, [this] { return mRunning < kSlots; });
  --mWaiting;
  ++mRunning;
  return true;
}

void Server::Leave()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  --mRunning;
  mLeft.notify_one();
}

std::string Server::Answer(const Message& aRequest, bool& aIsTurnedAway)
{
  const auto head = [this](int aStatus) {
    const std::lock_guard<std::mutex> lock(mMutex);
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Status\r\nInstance-Load: " + std::to_string(mRunning) + "," +
           std::to_string(mWaiting) + "," + std::to_string(kSlots) +
           ",100\r\n";
  };
  if (aRequest.mTarget == "/health") {
    return head(200) + "Instance-Id: " + mId +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  const std::string expected = Field(aRequest.mFields, "Expected-Instance");
  if (!expected.empty() && expected != mId) {
    return head(421) + "Instance-Id: " + mId +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  if (!Enter()) {
    ++mTurnedAway;
    aIsTurnedAway = true;
    return head(503) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  const std::string id = Field(aRequest.mFields, "Request-Id");
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRuns.push_back({ Now(), id, aRequest.mTarget });
  }
  const auto [status, body] = mWork(aRequest);
  Leave();
  return head(status) + "Request-Id: " + id + "\r\nUpstream-Signature: " + mId +
         "." + std::to_string(body.size()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ------------------------------------------------------------------ Platform

namespace {

constexpr int kIngress = 0;
constexpr int kReadiness = 1;
constexpr int kAdmin = 2;
constexpr int kDirectory = 3;
constexpr int kInternal = 5;
constexpr int kPortsUsed = 21;

bool IsFree(const Address& aAddress)
{
  try {
    ::close(Listen(aAddress));
    return true;
  } catch (const CannotRun&) {
    return false;
  }
}

} // namespace

Platform::Platform(int aMachines, int aDisks)
{
  const std::string deploy = ReadFile("deploy/system.toml");
  std::istringstream words(DeployValue(deploy, "run"));
  std::string word;
  while (words >> word) {
    mCommand.push_back(word);
  }
  mTemplate = ReadFile(DeployValue(deploy, "template"));
  if (::access(mCommand.front().c_str(), X_OK) != 0) {
    throw CannotRun{ mCommand.front() + " is not built" };
  }
  const char* base = std::getenv("TMPDIR");
  std::string folder =
    std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) {
    throw CannotRun{ "no temporary folder" };
  }
  mFolder = folder;
  std::random_device random;
  for (int tries = 0; tries < 50 && mPort == 0; ++tries) {
    mNet = 10 + static_cast<int>(random() % 240);
    const int port = 21000 + static_cast<int>(random() % 9000);
    bool free = true;
    for (int i = 0; i < aMachines && free; ++i) {
      const std::string ip =
        "127." + std::to_string(mNet) + ".1." + std::to_string(i + 1);
      for (int offset = 0; offset < kPortsUsed && free; ++offset) {
        free = IsFree({ ip, port + offset });
      }
      free = free && IsFree({ ip, 9464 });
    }
    mPort = free ? port : 0;
  }
  if (mPort == 0) {
    throw CannotRun{ "no free ports" };
  }
  for (int i = 0; i < aMachines; ++i) {
    Machine machine;
    machine.mName = "edge-" + std::to_string(i + 1);
    machine.mIp = "127." + std::to_string(mNet) + ".1." + std::to_string(i + 1);
    machine.mZone = "zone-" + std::string(1, static_cast<char>('a' + i % 3));
    machine.mHasDisk = i < aDisks;
    machine.mIngress = { machine.mIp, mPort + kIngress };
    machine.mReadiness = { machine.mIp, mPort + kReadiness };
    machine.mAdmin = { machine.mIp, mPort + kAdmin };
    machine.mDirectory = { machine.mIp, mPort + kDirectory };
    ::mkdir((mFolder + "/" + machine.mName).c_str(), 0700);
    mMachines.push_back(machine);
  }
}

Platform::~Platform()
{
  for (Machine& machine : mMachines) {
    if (machine.mPid > 0) {
      Kill(machine);
    }
  }
  // Only this case's own folder.
  const std::string command = "rm -rf '" + mFolder + "'";
  if (std::getenv("KEEP_LOGS") == nullptr) {
    (void)!std::system(command.c_str());
  } else {
    Record("logs are in " + mFolder);
  }
}

std::string Platform::StandInIp(int aIndex) const
{
  return "127." + std::to_string(mNet) + ".2." + std::to_string(aIndex + 1);
}

std::string Platform::LogOf(const Machine& aMachine) const
{
  return mFolder + "/" + aMachine.mName + "/log";
}

void Platform::Start(Machine& aMachine, bool aBootstrap)
{
  const std::string folder = mFolder + "/" + aMachine.mName;
  const std::string data = folder + "/disk";
  Table table;
  table["node"] = Text(aMachine.mName);
  table["role"] = Text("gateway");
  table["machine_class"] = Text("edge");
  table["ip"] = Text(aMachine.mIp);
  table["zone"] = Text(aMachine.mZone);
  table["region"] = Text("region-a");
  table["in_tolerance"] = Text(aMachine.mHasDisk ? "true" : "false");
  table["bootstrap"] = Text(aBootstrap ? "true" : "false");
  if (aMachine.mHasDisk) {
    ::mkdir(data.c_str(), 0700);
    table["data_dir"] = Text(data);
  }
  table["limits"].mItems = { { "cpu_share", Text("0.35") },
                             { "cpu_cores", Text("1") },
                             { "memory_mb", Text(std::to_string(mMemoryMb)) },
                             { "max_fds", Text(std::to_string(mDescriptors)) },
                             { "link_mbps", Text("1000.0") },
                             { "disk_mb", Text("64") } };
  table["internal_ports"].mItems = {
    { "0", Text(std::to_string(mPort + kInternal)) },
    { "1", Text(std::to_string(mPort + kInternal + 15)) }
  };
  std::vector<std::pair<std::string, Value>>& seeds = table["seeds"].mItems;
  for (const Machine& machine : mMachines) {
    if (machine.mHasDisk && seeds.size() < 3) {
      seeds.emplace_back(std::to_string(seeds.size()),
                         Text(machine.mAdmin.Text()));
    }
  }
  table["listen"].mItems = {
    { "ingress", Text(aMachine.mIngress.Text()) },
    { "readiness", Text(aMachine.mReadiness.Text()) },
    { "admin", Text(aMachine.mAdmin.Text()) },
    { "directory", Text(aMachine.mDirectory.Text()) }
  };
  table["zones"].mItems = { { "zone-a", Text("region-a") },
                            { "zone-b", Text("region-a") },
                            { "zone-c", Text("region-a") } };
  table["fault_tolerance"].mItems = {
    { "machines", Text(std::to_string(mToleratedLosses)) },
    { "zones", Text("0") },
    { "regions", Text("0") }
  };
  table["bounds"].mItems = {
    { "seed_lag", Text("3s") },          { "reuse_after", Text("2s") },
    { "contact", Text("3000ms") },       { "ack", Text("4000ms") },
    { "catch_up", Text("4s") },          { "drain", Text("2000ms") },
    { "grace", Text("6s") },             { "lost_time", Text("200ms") },
    { "config_apply", Text("2000ms") },  { "rollback_slack", Text("250ms") },
    { "outer", Text("5000ms") },         { "evacuate", Text("5000ms") },
    { "retry_budget_ratio", Text("0.2") }, { "budget_window", Text("10s") },
    { "budget_min_retries", Text("62") }, { "recover", Text("15s") },
    { "ttl_max", Text("5s") },           { "probes_per_s", Text("60") }
  };
  const std::string settings = folder + "/boot";
  std::ofstream(settings) << review::Fill(mTemplate, table);
  const std::string log = LogOf(aMachine);
  const std::string variable = "GERANIUMPOND_NODE_FILE=" + settings;
  std::vector<char*> arguments;
  for (std::string& word : mCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid < 0) {
    throw CannotRun{ "fork failed" };
  }
  if (pid == 0) {
    // The process ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    rlimit limit{};
    (void)::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_max =
      std::min(limit.rlim_max, static_cast<rlim_t>(mDescriptors));
    limit.rlim_cur = limit.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) {
      ::_exit(126);
    }
    std::string copy = variable;
    char* environment[] = { copy.data(), nullptr };
    ::execve(arguments[0], arguments.data(), environment);
    ::_exit(127);
  }
  aMachine.mPid = pid;
}

void Platform::StartAll()
{
  for (Machine& machine : mMachines) {
    if (!machine.mIsSpare) {
      Start(machine, true);
    }
  }
}

void Platform::Signal(const Machine& aMachine, int aSignal)
{
  if (aMachine.mPid > 0) {
    ::kill(aMachine.mPid, aSignal);
  }
}

void Platform::Kill(Machine& aMachine)
{
  if (aMachine.mPid > 0) {
    ::kill(aMachine.mPid, SIGKILL);
    (void)::waitpid(aMachine.mPid, nullptr, 0);
    aMachine.mPid = 0;
  }
}

void Platform::LoseDisk(Machine& aMachine)
{
  Kill(aMachine);
  const std::string data = mFolder + "/" + aMachine.mName + "/disk";
  const std::string command = "rm -rf '" + data + "'";
  (void)!std::system(command.c_str());
}

bool Platform::HasEnded(Machine& aMachine, std::string* aHow)
{
  int status = 0;
  if (aMachine.mPid <= 0 ||
      ::waitpid(aMachine.mPid, &status, WNOHANG) != aMachine.mPid) {
    return false;
  }
  if (aHow != nullptr) {
    *aHow = WIFSIGNALED(status)
              ? "by signal " + std::to_string(WTERMSIG(status))
              : "with status " + std::to_string(WEXITSTATUS(status));
  }
  aMachine.mPid = 0;
  return true;
}

// -------------------------------------------------------------------- orders

int OrderOnce(const Machine& aMachine,
              const std::string& aCall,
              const std::string& aOf,
              const std::string& aBody,
              double aSeconds,
              Message* aAnswer)
{
  const std::string target =
    "/v1/rpc?call=" + aCall + (aOf.empty() ? "" : "&of=" + aOf);
  Fields fields = { { "Host", aMachine.mAdmin.Text() } };
  if (!aBody.empty()) {
    fields.emplace_back("Content-Type", "application/json");
  }
  Connection connection;
  Message answer;
  if (!connection.Open(aMachine.mAdmin, aSeconds) ||
      !connection.Send(RequestBytes("POST", target, fields, aBody)) ||
      !connection.ReadAnswer(answer, aSeconds)) {
    return 0;
  }
  if (aAnswer != nullptr) {
    *aAnswer = answer;
  }
  return answer.mStatus;
}

int Order(Platform& aPlatform,
          const std::string& aCall,
          const std::string& aOf,
          const std::string& aBody,
          const std::vector<int>& aMachines,
          double aSeconds,
          int* aBy)
{
  const double until = Now() + aSeconds;
  double pause = 0.1;
  for (std::size_t turn = 0; Now() < until; ++turn) {
    const int index = aMachines[turn % aMachines.size()];
    const Machine& machine =
      aPlatform.Machines()[static_cast<std::size_t>(index)];
    const int status = OrderOnce(machine, aCall, aOf, aBody);
    if (status == 200 || status == 400 || status == 412) {
      if (aBy != nullptr) {
        *aBy = index;
      }
      return status;
    }
    Sleep(pause);
    pause = std::min(1.0, pause * 1.5);
  }
  return 0;
}

std::string Configuration(int aVersion,
                          int aBase,
                          const std::vector<Route>& aRoutes,
                          const std::vector<std::string>& aServices,
                          const std::string& aIdleTimeout)
{
  std::string text = "{\"version\":" + std::to_string(aVersion) +
                     ",\"base_version\":" + std::to_string(aBase) +
                     ",\"resources\":[";
  int number = 0;
  for (const Route& route : aRoutes) {
    text +=
      "{\"type\":\"routes\",\"metadata\":{\"name\":\"r-" +
      std::to_string(++number) +
      "\"},\"spec\":{\"hostname\":\"review.example\",\"path_prefix\":\"" +
      route.mPrefix + "\",\"route_type\":\"" + route.mType +
      "\",\"timeout\":\"" + route.mTimeout +
      "\",\"target_latency\":\"600ms\",\"priority\":1,\"service\":\"" +
      route.mService + "\",\"attempts\":2}},";
  }
  for (const std::string& service : aServices) {
    text += "{\"type\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_check_path\":\"/health\","
            "\"max_connections\":260,\"protocol\":\"h1\",\"tls\":false}},";
  }
  return text + "{\"type\":\"limits\",\"metadata\":{},\"spec\":{"
                "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"" +
         aIdleTimeout + "\"}}]}";
}

std::vector<int> AllOf(Platform& aPlatform)
{
  std::vector<int> all;
  for (std::size_t i = 0; i < aPlatform.Machines().size(); ++i) {
    if (!aPlatform.Machines()[i].mIsSpare) {
      all.push_back(static_cast<int>(i));
    }
  }
  return all;
}

std::size_t FindLeader(Platform& aPlatform)
{
  const std::string key = "event=leader_known leader=";
  std::string newest;
  std::string leader;
  for (const Machine& machine : aPlatform.Machines()) {
    std::ifstream log(aPlatform.LogOf(machine));
    std::string line;
    while (std::getline(log, line)) {
      const std::size_t at = line.find(key);
      if (at != std::string::npos && line > newest) {
        const std::size_t from = at + key.size();
        newest = line;
        leader = line.substr(from, line.find(':', from) - from);
      }
    }
  }
  for (std::size_t i = 0; i < aPlatform.Machines().size(); ++i) {
    if (aPlatform.Machines()[i].mIp == leader) {
      return i;
    }
  }
  throw CannotRun{ "no machine names the leader" };
}

void SetUp(Platform& aPlatform,
           const std::string& aConfiguration,
           const std::vector<std::unique_ptr<Server>>& aServers)
{
  aPlatform.StartAll();
  const std::vector<int> all = AllOf(aPlatform);
  if (Order(aPlatform, "config.put", "", aConfiguration, all) != 200) {
    throw CannotRun{ "the first configuration was not acknowledged" };
  }
  Record("the first configuration is acknowledged");
  for (const std::unique_ptr<Server>& server : aServers) {
    if (Order(aPlatform,
              "instances.heartbeat",
              server->Id(),
              server->Beat("ready"),
              all) != 200) {
      throw CannotRun{ "a server was not acknowledged" };
    }
  }
  const double until = Now() + 10;
  for (const Machine& machine : aPlatform.Machines()) {
    while (!machine.mIsSpare) {
      Connection connection;
      Message answer;
      if (connection.Open(machine.mReadiness) &&
          connection.Send(RequestBytes(
            "GET", "/v1/ready", { { "Host", machine.mReadiness.Text() } })) &&
          connection.ReadAnswer(answer, 1) && answer.mStatus == 200) {
        break;
      }
      if (Now() > until) {
        throw CannotRun{ machine.mName + " is not ready" };
      }
      Sleep(0.1);
    }
  }
  // All machines are in touch, and know all servers.
  constexpr double kContact = 3;
  Sleep(kContact);
  Record("all machines are ready");
}

Fields ClientFields(const std::string& aId, int aDeadlineMs)
{
  return { { "Host", "review.example" },
           { "Request-Id", aId },
           { "Deadline-Ms", std::to_string(aDeadlineMs) } };
}

} // namespace review
