// A stand-in for callers: asks which entries to use, keeps the answer for its
// time, connects there, sends a mix of requests and checks every answer.
#include "options.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace {

using geraniumpond::fakes::Options;
using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kArchiveBytes = 400000;
constexpr int kMaxTries = 8;

struct Totals
{
  std::mutex mMutex;
  std::vector<double> mLatencies;
  std::map<std::string, long> mCounts;
  std::map<std::string, std::vector<double>> mByKind;
  std::vector<std::string> mSigned;

  void Count(const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mCounts[aName];
  }
};

struct Shape
{
  std::string mName;
  std::string mMethod;
  std::string mPath;
  bool mKeyed = false;
  std::size_t mSize = 0;
};

Shape ShapeOf(const std::string& aName)
{
  if (aName == "sign") {
    return { aName, "POST", "/consent/permissions", true, 0 };
  }
  if (aName == "roster") {
    return { aName, "GET", "/records/roster", false, 0 };
  }
  return { "archive", "GET", "/records/archive", false, kArchiveBytes };
}

std::string ServiceOf(const Shape& aShape)
{
  return aShape.mPath.substr(1, aShape.mPath.find('/', 1) - 1);
}

struct Reply
{
  int mStatus = 0;
  std::string mOutcome;
  std::string mBody;
  int mRetryAfterMs = 0;
  bool mClose = false;
};

class Caller
{
public:
  Caller(const Options& aOptions, Totals& aTotals, int aNumber)
    : mOptions(aOptions)
    , mTotals(aTotals)
    , mNumber(aNumber)
    , mRandom(static_cast<unsigned>(aNumber) + 1)
  {
    for (const std::string& name :
         aOptions.List(aOptions.Text("mix").empty() ? "none" : "mix")) {
      mShapes.push_back(ShapeOf(name));
    }
    if (mShapes.empty()) {
      mShapes = { ShapeOf("roster") };
    }
  }

  void Run(Clock::time_point aEnd, double aInterval)
  {
    const auto start = Clock::now();
    long sent = 0;
    while (Clock::now() < aEnd) {
      if (aInterval > 0) {
        std::this_thread::sleep_until(
          start + std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double>(
                      aInterval * (static_cast<double>(sent) +
                                   static_cast<double>(mNumber % 17) / 17))));
      }
      Call(mShapes[static_cast<std::size_t>(sent) % mShapes.size()], sent);
      ++sent;
    }
  }

private:
  void Call(const Shape& aShape, long aSent)
  {
    const std::string key = mOptions.Text("run", "run") + "-" +
                            std::to_string(mNumber) + "-" +
                            std::to_string(aSent);
    const auto begin = Clock::now();
    for (int attempt = 0; attempt < kMaxTries; ++attempt) {
      Reply reply;
      if (!Send(aShape, key, reply)) {
        mTotals.Count("resent_after_break");
        mSessions.clear();
        mEntries.clear();
        continue;
      }
      if (reply.mStatus == 503 && reply.mOutcome == "not-run") {
        mTotals.Count("told_not_run");
        std::this_thread::sleep_for(
          std::chrono::milliseconds(std::max(reply.mRetryAfterMs, 5)));
        continue;
      }
      Note(aShape, key, reply, begin);
      return;
    }
    mTotals.Count("lost");
  }

  void Note(const Shape& aShape,
            const std::string& aKey,
            const Reply& aReply,
            Clock::time_point aBegin)
  {
    const std::chrono::duration<double, std::milli> took =
      Clock::now() - aBegin;
    const std::lock_guard<std::mutex> lock(mTotals.mMutex);
    mTotals.mLatencies.push_back(took.count());
    mTotals.mByKind[aShape.mName].push_back(took.count());
    ++mTotals.mCounts["status_" + std::to_string(aReply.mStatus)];
    ++mTotals.mCounts["outcome_" + aReply.mOutcome];
    if (aReply.mStatus == 200) {
      ++mTotals.mCounts["served"];
      if (aShape.mKeyed) {
        mTotals.mSigned.push_back(aKey);
      }
    }
    const bool whole = aShape.mSize == 0
                         ? aReply.mBody.find("\"path\"") != std::string::npos
                         : aReply.mBody.size() == aShape.mSize;
    if (aReply.mStatus == 200 && !whole) {
      ++mTotals.mCounts["short_but_complete"];
    }
  }

  std::string EntryOf(const std::string& aService)
  {
    if (!mOptions.Text("direct").empty()) {
      const std::vector<std::string> targets = mOptions.List("direct");
      return targets[static_cast<std::size_t>(mNumber) % targets.size()];
    }
    auto& known = mEntries[aService];
    if (known.mAddresses.empty() || Clock::now() > known.mKeepUntil) {
      Ask(aService);
    }
    if (known.mAddresses.empty()) {
      return "";
    }
    return known
      .mAddresses[static_cast<std::size_t>(mNumber) % known.mAddresses.size()];
  }

  void Ask(const std::string& aService)
  {
    const std::vector<std::string> hosts = mOptions.List("entries");
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      try {
        const Poco::Net::SocketAddress address(
          hosts[(mRandom() + i) % hosts.size()]);
        HTTPClientSession session(address);
        session.setTimeout(Poco::Timespan(1, 0));
        HTTPRequest request(
          "GET", "/geraniumpond/v1/entries?service=" + aService, "HTTP/1.1");
        session.sendRequest(request);
        HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                         text);
        Take(aService, text);
        return;
      } catch (const Poco::Exception&) {
        mTotals.Count("asked_in_vain");
      }
    }
  }

  void Take(const std::string& aService, const std::string& aText)
  {
    const auto object =
      Poco::JSON::Parser().parse(aText).extract<Poco::JSON::Object::Ptr>();
    auto& known = mEntries[aService];
    known.mAddresses.clear();
    for (const auto& entry : *object->getArray("entries")) {
      known.mAddresses.push_back(
        entry.extract<Poco::JSON::Object::Ptr>()->getValue<std::string>(
          "address"));
    }
    known.mKeepUntil = Clock::now() + std::chrono::milliseconds(
                                        object->getValue<int>("keep_ms"));
  }

  HTTPClientSession* SessionTo(const std::string& aAddress)
  {
    auto& session = mSessions[aAddress];
    if (session == nullptr) {
      session =
        std::make_unique<HTTPClientSession>(Poco::Net::SocketAddress(aAddress));
      session->setKeepAlive(true);
      session->setKeepAliveTimeout(Poco::Timespan(600, 0));
      session->setTimeout(Poco::Timespan(20, 0));
    }
    return session.get();
  }

  bool Send(const Shape& aShape, const std::string& aKey, Reply& aReply)
  {
    const std::string address = EntryOf(ServiceOf(aShape));
    if (address.empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return false;
    }
    try {
      HTTPClientSession* session = SessionTo(address);
      HTTPRequest request(aShape.mMethod, aShape.mPath, "HTTP/1.1");
      request.setKeepAlive(true);
      request.set("Authorization", "Bearer " + mOptions.Text("token"));
      std::string body;
      if (aShape.mKeyed) {
        request.set("Idempotency-Key", aKey);
        body = "{\"child\":\"" + aKey + "\"}";
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
      }
      session->sendRequest(request) << body;
      HTTPResponse response;
      std::istream& stream = session->receiveResponse(response);
      Poco::StreamCopier::copyToString(stream, aReply.mBody);
      if (response.hasContentLength() &&
          response.getContentLength64() !=
            static_cast<Poco::Int64>(aReply.mBody.size())) {
        mTotals.Count("broken_visibly");
        return false;
      }
      aReply.mStatus = response.getStatus();
      aReply.mOutcome = response.get("Geraniumpond-Outcome", "none");
      aReply.mRetryAfterMs =
        std::atoi(response.get("Geraniumpond-Retry-After-Ms", "0").c_str());
      if (!response.getKeepAlive()) {
        mSessions.erase(address);
        mEntries.clear();
      }
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  struct Known
  {
    std::vector<std::string> mAddresses;
    Clock::time_point mKeepUntil;
  };

  const Options& mOptions;
  Totals& mTotals;
  int mNumber;
  std::mt19937 mRandom;
  std::vector<Shape> mShapes;
  std::map<std::string, Known> mEntries;
  std::map<std::string, std::unique_ptr<HTTPClientSession>> mSessions;
};

double Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto at =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[at];
}

void Print(Totals& aTotals, double aSeconds)
{
  Poco::JSON::Object object;
  object.set("calls", static_cast<long>(aTotals.mLatencies.size()));
  object.set("per_second",
             static_cast<double>(aTotals.mLatencies.size()) / aSeconds);
  object.set("p50_ms", Quantile(aTotals.mLatencies, 0.5));
  object.set("p99_ms", Quantile(aTotals.mLatencies, 0.99));
  for (auto& [kind, values] : aTotals.mByKind) {
    object.set(kind + "_p50_ms", Quantile(values, 0.5));
    object.set(kind + "_p99_ms", Quantile(values, 0.99));
  }
  for (const auto& [name, count] : aTotals.mCounts) {
    object.set(name, count);
  }
  object.stringify(std::cout);
  std::cout << std::endl;
}

} // namespace

int main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  const Options options = geraniumpond::fakes::ParseOptions(aCount, aWords);
  Totals totals;
  const int connections = static_cast<int>(options.Number("connections", 16));
  const double seconds = options.Number("seconds", 5);
  const double rate = options.Number("rate", 0);
  const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(seconds));
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(connections));
  for (int i = 0; i < connections; ++i) {
    threads.emplace_back([&, i] {
      Caller(options, totals, i).Run(end, rate > 0 ? connections / rate : 0);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (!options.Text("signed").empty()) {
    std::ofstream out(options.Text("signed"));
    for (const std::string& key : totals.mSigned) {
      out << key << "\n";
    }
  }
  Print(totals, seconds);
  return 0;
}
