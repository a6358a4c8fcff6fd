// A stand-in for a target: slots, service times, an announce loop, and faults
// that are switched on over HTTP. See docs/INTERFACES.md for the protocol.
#include "options.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace {

using geraniumpond::fakes::Options;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::atomic<bool> gStopping{ false };

struct Target
{
  Options mOptions;
  int mSlots = 4;
  double mMedianMs = 5;
  double mSigma = 0.3;

  std::mutex mMutex;
  std::condition_variable mFree;
  int mRunning = 0;
  int mWaiting = 0;
  std::map<std::string, int> mRuns;
  std::mt19937_64 mRandom{ std::random_device{}() };

  std::atomic<double> mSlowdown{ 1 };
  std::atomic<int> mFailEvery{ 0 };
  std::atomic<int> mBreakEvery{ 0 };
  std::atomic<int> mRefuseEvery{ 0 };
  std::atomic<long> mCalls{ 0 };
  std::atomic<bool> mDraining{ false };
};

bool EveryNth(long aCall, int aEvery)
{
  return aEvery > 0 && aCall % aEvery == 0;
}

class Slot
{
public:
  explicit Slot(Target& aTarget)
    : mTarget(aTarget)
  {
    std::unique_lock<std::mutex> lock(mTarget.mMutex);
    ++mTarget.mWaiting;
    mTarget.mFree.wait(lock, [&] { return mTarget.mRunning < mTarget.mSlots; });
    --mTarget.mWaiting;
    ++mTarget.mRunning;
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot()
  {
    const std::lock_guard<std::mutex> lock(mTarget.mMutex);
    --mTarget.mRunning;
    mTarget.mFree.notify_one();
  }

private:
  Target& mTarget;
};

void Work(Target& aTarget, double aFactor)
{
  double ms = 0;
  {
    const std::lock_guard<std::mutex> lock(aTarget.mMutex);
    std::lognormal_distribution<double> times(
      std::log(std::max(aTarget.mMedianMs, 0.001)), aTarget.mSigma);
    ms = aTarget.mMedianMs <= 0 ? 0 : times(aTarget.mRandom);
  }
  ms *= aFactor * aTarget.mSlowdown;
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

std::string BodyOf(const std::string& aPath, std::size_t aSize)
{
  std::string body;
  body.reserve(aSize);
  std::minstd_rand random(
    static_cast<unsigned>(std::hash<std::string>()(aPath)));
  while (body.size() < aSize) {
    body.push_back(static_cast<char>('a' + random() % 26));
  }
  return body;
}

class Handler : public Poco::Net::HTTPRequestHandler
{
public:
  explicit Handler(Target& aTarget)
    : mTarget(aTarget)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest,
                     HTTPServerResponse& aResponse) override
  {
    const Poco::URI uri(aRequest.getURI());
    if (uri.getPath() == "/control") {
      Control(uri, aResponse);
      return;
    }
    const long call = ++mTarget.mCalls;
    std::string body;
    Poco::StreamCopier::copyToString(aRequest.stream(), body);
    if (EveryNth(call, mTarget.mRefuseEvery)) {
      aResponse.set("Geraniumpond-Not-Run", "yes");
      Answer(aResponse, 503, "busy");
      return;
    }
    if (EveryNth(call, mTarget.mFailEvery)) {
      Answer(aResponse, 500, "failed");
      return;
    }
    Serve(aRequest, aResponse, uri.getPath(), call);
  }

private:
  void Serve(HTTPServerRequest& aRequest,
             HTTPServerResponse& aResponse,
             const std::string& aPath,
             long aCall)
  {
    const bool bulk = aPath.find("/archive") != std::string::npos ||
                      aPath.find("/scans") != std::string::npos;
    const Slot slot(mTarget);
    Work(mTarget, bulk ? 3 : 1);
    if (aRequest.has("Idempotency-Key")) {
      const std::lock_guard<std::mutex> lock(mTarget.mMutex);
      ++mTarget.mRuns[aRequest.get("Geraniumpond-Caller", "") + "/" +
                      aRequest.get("Idempotency-Key")];
    }
    if (bulk) {
      ServeBulk(aRequest, aResponse, aPath, aCall);
      return;
    }
    Answer(aResponse,
           200,
           "{\"path\":\"" + aPath + "\",\"caller\":\"" +
             aRequest.get("Geraniumpond-Caller", "") + "\"}");
  }

  void ServeBulk(HTTPServerRequest& aRequest,
                 HTTPServerResponse& aResponse,
                 const std::string& aPath,
                 long aCall)
  {
    const std::string body = BodyOf(aPath, 400000);
    const std::string etag = "\"" + std::to_string(body.size()) + "-" +
                             std::to_string(std::hash<std::string>()(body)) +
                             "\"";
    aResponse.set("ETag", etag);
    aResponse.set("Accept-Ranges", "bytes");
    std::size_t from = 0;
    const std::string range = aRequest.get("Range", "");
    if (range.rfind("bytes=", 0) == 0 &&
        aRequest.get("If-Range", etag) == etag) {
      from = std::stoul(range.substr(6));
      aResponse.setStatus(HTTPResponse::HTTP_PARTIAL_CONTENT);
      aResponse.set("Content-Range",
                    "bytes " + std::to_string(from) + "-" +
                      std::to_string(body.size() - 1) + "/" +
                      std::to_string(body.size()));
    }
    aResponse.setContentLength64(static_cast<Poco::Int64>(body.size() - from));
    SetLoad(aResponse);
    std::ostream& out = aResponse.send();
    const bool breaks = from == 0 && EveryNth(aCall, mTarget.mBreakEvery);
    const std::size_t end = breaks ? body.size() / 2 : body.size();
    out.write(body.data() + from, static_cast<std::streamsize>(end - from));
    out.flush();
    if (breaks) {
      aResponse.setKeepAlive(false);
    }
  }

  void SetLoad(HTTPServerResponse& aResponse)
  {
    const std::lock_guard<std::mutex> lock(mTarget.mMutex);
    aResponse.set("Geraniumpond-Load",
                  std::to_string(mTarget.mRunning + mTarget.mWaiting) + "/" +
                    std::to_string(mTarget.mSlots));
  }

  void Answer(HTTPServerResponse& aResponse,
              int aStatus,
              const std::string& aBody)
  {
    aResponse.setStatus(static_cast<HTTPResponse::HTTPStatus>(aStatus));
    aResponse.setContentType("application/json");
    SetLoad(aResponse);
    aResponse.sendBuffer(aBody.data(), aBody.size());
  }

  void Control(const Poco::URI& aUri, HTTPServerResponse& aResponse)
  {
    for (const auto& [name, value] : aUri.getQueryParameters()) {
      if (name == "slowdown") {
        mTarget.mSlowdown = std::stod(value);
      } else if (name == "fail_every") {
        mTarget.mFailEvery = std::stoi(value);
      } else if (name == "break_every") {
        mTarget.mBreakEvery = std::stoi(value);
      } else if (name == "refuse_every") {
        mTarget.mRefuseEvery = std::stoi(value);
      } else if (name == "drain") {
        mTarget.mDraining = true;
      }
    }
    Poco::JSON::Object runs;
    const std::lock_guard<std::mutex> lock(mTarget.mMutex);
    for (const auto& [key, count] : mTarget.mRuns) {
      runs.set(key, count);
    }
    Poco::JSON::Object object;
    object.set("runs", runs);
    object.set("calls", mTarget.mCalls.load());
    std::ostringstream text;
    object.stringify(text);
    const std::string body = text.str();
    aResponse.sendBuffer(body.data(), body.size());
  }

  Target& mTarget;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit Factory(Target& aTarget)
    : mTarget(aTarget)
  {
  }
  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new Handler(mTarget);
  }

private:
  Target& mTarget;
};

std::string AnnounceBody(Target& aTarget,
                         std::uint64_t aIncarnation,
                         bool aLeaving)
{
  Poco::JSON::Object object;
  object.set("address", aTarget.mOptions.Text("listen"));
  object.set("data_centre", aTarget.mOptions.Text("data-centre", "abdali"));
  object.set("slots", aTarget.mSlots);
  object.set("incarnation", static_cast<Poco::UInt64>(aIncarnation));
  object.set("draining", aTarget.mDraining.load());
  object.set("leaving", aLeaving);
  {
    const std::lock_guard<std::mutex> lock(aTarget.mMutex);
    object.set("in_flight", aTarget.mRunning + aTarget.mWaiting);
  }
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

bool Announce(Target& aTarget,
              const std::string& aHost,
              std::uint64_t aIncarnation,
              bool aLeaving)
{
  try {
    const Poco::Net::SocketAddress address(aHost);
    Poco::Net::HTTPClientSession session(address);
    session.setTimeout(Poco::Timespan(1, 0));
    HTTPRequest request("PUT",
                        "/v1/targets/" + aTarget.mOptions.Text("service") +
                          "/" + aTarget.mOptions.Text("id"),
                        "HTTP/1.1");
    request.set("Authorization", "Bearer " + aTarget.mOptions.Text("token"));
    const std::string body = AnnounceBody(aTarget, aIncarnation, aLeaving);
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    return response.getStatus() == HTTPResponse::HTTP_OK;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void AnnounceLoop(Target& aTarget)
{
  const std::vector<std::string> hosts = aTarget.mOptions.List("announce");
  const auto incarnation = static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count());
  std::size_t at = std::hash<std::string>()(aTarget.mOptions.Text("id")) %
                   std::max<std::size_t>(hosts.size(), 1);
  while (!gStopping && !hosts.empty()) {
    if (!Announce(aTarget, hosts[at % hosts.size()], incarnation, false)) {
      ++at;
    }
    for (int i = 0; i < 10 && !gStopping; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  if (!hosts.empty()) {
    Announce(aTarget, hosts[at % hosts.size()], incarnation, true);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { gStopping = true; });
  Target target;
  target.mOptions = geraniumpond::fakes::ParseOptions(aCount, aWords);
  target.mSlots = static_cast<int>(target.mOptions.Number("slots", 4));
  target.mMedianMs = target.mOptions.Number("median-ms", 5);
  target.mSigma = target.mOptions.Number("sigma", 0.3);
  Poco::ThreadPool threads(2, 2000);
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(1900);
  params->setKeepAliveTimeout(Poco::Timespan(600, 0));
  Poco::Net::ServerSocket socket;
  socket.bind(
    Poco::Net::SocketAddress(target.mOptions.Text("listen")), true, false);
  socket.listen(512);
  Poco::Net::HTTPServer server(new Factory(target), threads, socket, params);
  server.start();
  AnnounceLoop(target);
  while (!gStopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  // What still runs may finish; the entries were told before.
  for (int i = 0; i < 100 && target.mRunning + target.mWaiting > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  std::_Exit(0);
}
