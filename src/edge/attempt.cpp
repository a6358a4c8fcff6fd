#include "attempt.h"

#include "forwarding.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>

namespace geraniumpond::edge {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr Micros kConnectTimeout = kSecond;
// Margin after the deadline that the reducer enforces; it only makes sure that
// the thread is released.
constexpr Micros kDeadlineMargin = 100 * kMillisecond;
// An attempt with an idempotency key may run past its caller's deadline, so
// that its outcome is known.
constexpr Micros kKeyedGrace = 2 * kSecond;
// A response body that makes no progress for this long counts as broken off.
constexpr Micros kBodyReadTimeout = 5 * kSecond;
// Responses up to this size are read completely before any byte is forwarded.
constexpr std::size_t kMaxBufferedResponse = 64 * 1024;
constexpr std::size_t kMaxRecordedResponse = 256 * 1024;
constexpr std::size_t kBufferBytes = 64 * 1024;
constexpr std::uint32_t kBadGateway = 502;

// One buffer per thread: clearing a new one for each response would cost more
// than copying most responses.
std::string& ThreadBuffer()
{
  thread_local std::string buffer(kBufferBytes, '\0');
  return buffer;
}

/// Runs one attempt, from connecting to the last byte of the response.
class AttemptRun
{
public:
  AttemptRun(AttemptContext& aContext,
             const std::shared_ptr<Exchange>& aExchange,
             Call* aCall,
             const wire::Dispatch& aDispatch)
    : mContext(aContext)
    , mExchange(aExchange)
    , mCall(aCall)
    , mDispatch(aDispatch)
  {
    mEnd.set_request(aDispatch.request());
    mEnd.set_attempt(aDispatch.attempt());
    mEnd.set_end(wire::END_NOT_SENT);
  }

  void Run()
  {
    try {
      if (Connect()) {
        PerformRequest();
      }
    } catch (const Poco::TimeoutException&) {
      mEnd.set_end(mSent ? wire::END_TIMED_OUT : wire::END_NOT_SENT);
      mContext.mPool.CloseIdle(mDispatch.address());
    } catch (const std::exception&) {
      RecordFailure();
    }
    mExchange->DetachSocket(mDispatch.attempt());
    ReturnConnection();
    PostEnd();
  }

private:
  [[nodiscard]] Micros Remaining() const
  {
    const Micros grace =
      kDeadlineMargin + (mDispatch.buffer_answer() ? kKeyedGrace : 0);
    return mDispatch.deadline_us() + grace - mContext.mRuntime.Now();
  }

  bool Connect()
  {
    const Micros now = mContext.mRuntime.Now();
    const SessionNeeds needs{ mDispatch.max_idle_us(),
                              mDispatch.no_repeated_refusal() };
    mSession = mContext.mPool.Acquire(mDispatch.address(), needs, now);
    if (mSession == nullptr) {
      const Poco::Net::SocketAddress address(mDispatch.address());
      mSession = std::make_unique<TargetSession>(address.host().toString(),
                                                 address.port());
      mSession->Connect(
        std::max<Micros>(std::min(kConnectTimeout, Remaining()), 1));
      mEnd.set_new_connection(true);
    }
    if (!mExchange->AttachSocket(mDispatch.attempt(), mSession->socket())) {
      mEnd.set_end(wire::END_NOT_SENT);
      return false;
    }
    return true;
  }

  void SendRequest()
  {
    const CallerRequest& from = mExchange->mRequest;
    HTTPRequest request(from.mMethod, from.mUri, HTTPMessage::HTTP_1_1);
    FillTargetRequest(from, mDispatch, mContext.mRuntime.Now(), request);
    mSession->setTimeout(
      Poco::Timespan(std::max<Micros>(Remaining(), kMillisecond)));
    // From here on, part of the request may have been transmitted.
    mSent = true;
    mEnd.set_end(wire::END_BROKEN_BEFORE_HEAD);
    std::ostream& body = mSession->sendRequest(request);
    body.write(from.mBody.data(),
               static_cast<std::streamsize>(from.mBody.size()));
    body.flush();
    mSession->flushRequest();
  }

  // Waits for the response head; posts an event if the caller disconnects
  // first.
  void AwaitHead()
  {
    pollfd items[2] = {
      { mSession->socket().impl()->sockfd(), POLLIN, 0 },
      { mDispatch.buffer_answer() ? -1 : mExchange->mRequest.mClientSocket,
        POLLIN | POLLRDHUP,
        0 },
    };
    while (true) {
      const Micros left = Remaining();
      if (left <= 0) {
        throw Poco::TimeoutException("deadline");
      }
      const int ready =
        ::poll(items, 2, static_cast<int>(left / kMillisecond) + 1);
      if (ready > 0 && items[0].revents != 0) {
        return;
      }
      if (ready > 0 && items[1].revents != 0) {
        CheckCallerSocket(items[1]);
      }
    }
  }

  void CheckCallerSocket(pollfd& aItem)
  {
    const bool disconnected =
      (aItem.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    // Pipelined data is no reason to stop; the socket is not polled again.
    aItem.fd = -1;
    if (disconnected) {
      wire::Event event;
      event.mutable_client_gone()->set_request(mDispatch.request());
      mContext.mRuntime.Post(std::move(event));
    }
  }

  void PerformRequest()
  {
    SendRequest();
    AwaitHead();
    mSession->receiveResponse(mResponse);
    if (!HasFieldTexts(mResponse)) {
      return;
    }
    mEnd.set_status(static_cast<std::uint32_t>(mResponse.getStatus()));
    *mEnd.mutable_load() = ParseLoad(mResponse);
    const bool headOnly = mExchange->mRequest.mMethod == "HEAD";
    if (!mSession->StartBody(mResponse, headOnly)) {
      return;
    }
    mSession->setTimeout(Poco::Timespan(kBodyReadTimeout));
    if (IsRefusal(mResponse)) {
      ReadUpTo(kMaxBufferedResponse);
      mEnd.set_end(wire::END_REFUSED);
      return;
    }
    if (mDispatch.buffer_answer()) {
      BufferAnswer();
      return;
    }
    ForwardResponse();
  }

  /// Reads up to a limit; returns true if the body ended within it.
  bool ReadUpTo(std::size_t aLimit)
  {
    std::string& buffer = ThreadBuffer();
    while (mBody.size() < aLimit) {
      std::size_t size = std::min(buffer.size(), aLimit - mBody.size());
      const BodyRead read = mSession->ReadBody(buffer.data(), size);
      mBody.append(buffer, 0, size);
      if (read == BodyRead::Done) {
        mBodyDone = true;
        return true;
      }
      if (read == BodyRead::Broken) {
        throw Poco::Net::NetException("body broken");
      }
    }
    return false;
  }

  void BufferAnswer()
  {
    wire::StoredAnswer answer;
    answer.set_status(static_cast<std::uint32_t>(mResponse.getStatus()));
    answer.set_content_type(mResponse.getContentType());
    if (!ReadUpTo(kMaxRecordedResponse)) {
      // The request ran, but its response is too large to be recorded.
      answer.set_status(kBadGateway);
      answer.set_content_type("text/plain");
      mBody = "answer too large to record\n";
    }
    answer.set_body(mBody);
    mExchange->StoreAnswer(mDispatch.attempt(), answer);
    *mEnd.mutable_answer() = std::move(answer);
    mEnd.set_end(wire::END_COMPLETE);
  }

  void PostHead()
  {
    wire::Event event;
    wire::AttemptHead& head = *event.mutable_head();
    head.set_request(mDispatch.request());
    head.set_attempt(mDispatch.attempt());
    head.set_status(mEnd.status());
    *head.mutable_load() = mEnd.load();
    const std::string etag = mResponse.get("ETag", "");
    // A weak validator does not guarantee identical bytes.
    if (etag.rfind("W/", 0) != 0 &&
        mResponse.get("Accept-Ranges", "") == "bytes") {
      head.set_strong_etag(etag);
    }
    head.set_range_matches(RangeMatches(mResponse, mDispatch));
    mContext.mRuntime.Post(std::move(event));
  }

  void ForwardResponse()
  {
    // If a small response breaks off, none of it has reached the caller, so the
    // request can be retried.
    const bool small =
      mResponse.hasContentLength() &&
      mResponse.getContentLength64() <= static_cast<int>(kMaxBufferedResponse);
    if (small) {
      ReadUpTo(kMaxBufferedResponse + 1);
    }
    PostHead();
    if (!mExchange->AwaitDecision(mDispatch.attempt())) {
      mEnd.set_end(wire::END_CANCELLED);
      return;
    }
    mEnd.set_end(wire::END_BROKEN_IN_BODY);
    if (!mExchange->mHeadSent) {
      SendHead();
    }
    if (mBodyDone) {
      mEnd.set_end(wire::END_COMPLETE);
      return;
    }
    Stream();
  }

  void SendHead()
  {
    Poco::Net::HTTPServerResponseImpl& response = mCall->mResponse;
    FillCallerResponse(mResponse, mBodyDone, response);
    if (mExchange->CloseAfterResponse()) {
      response.setKeepAlive(false);
    }
    mExchange->mHeadSent = true;
    try {
      if (mBodyDone && mExchange->mRequest.mMethod != "HEAD") {
        response.sendBuffer(mBody.data(), mBody.size());
        mExchange->mDeliveredBytes = mBody.size();
      } else {
        mExchange->mClientStream = &response.send();
        mExchange->mClientStream->flush();
      }
    } catch (const Poco::Exception&) {
      mSendToCallerFailed = true;
      throw;
    }
  }

  void Stream()
  {
    std::ostream& out = *mExchange->mClientStream;
    std::string& buffer = ThreadBuffer();
    while (true) {
      std::size_t size = buffer.size();
      const BodyRead read = mSession->ReadBody(buffer.data(), size);
      if (read == BodyRead::Broken) {
        return;
      }
      out.write(buffer.data(), static_cast<std::streamsize>(size));
      if (!out) {
        mEnd.set_end(wire::END_CLIENT_GONE);
        return;
      }
      mExchange->mDeliveredBytes += size;
      if (read == BodyRead::Done) {
        out.flush();
        mBodyDone = true;
        mEnd.set_end(wire::END_COMPLETE);
        return;
      }
    }
  }

  void RecordFailure()
  {
    if (mSendToCallerFailed) {
      mEnd.set_end(wire::END_CLIENT_GONE);
    }
  }

  void ReturnConnection()
  {
    if (mSession != nullptr && mBodyDone &&
        (mEnd.end() == wire::END_COMPLETE || mEnd.end() == wire::END_REFUSED)) {
      mContext.mPool.Release(
        mDispatch.address(), std::move(mSession), mContext.mRuntime.Now());
    }
  }

  void PostEnd()
  {
    mEnd.set_delivered_bytes(mExchange->mDeliveredBytes);
    const bool finished =
      !mDispatch.buffer_answer() &&
      (mEnd.end() == wire::END_COMPLETE || mEnd.end() == wire::END_CLIENT_GONE);
    wire::Event event;
    *event.mutable_ended() = mEnd;
    mContext.mRuntime.Post(std::move(event));
    if (finished) {
      mExchange->Finish(mEnd.end() == wire::END_CLIENT_GONE);
    }
  }

  AttemptContext& mContext;
  std::shared_ptr<Exchange> mExchange;
  Call* mCall;
  wire::Dispatch mDispatch;
  wire::AttemptEnded mEnd;
  std::unique_ptr<TargetSession> mSession;
  HTTPResponse mResponse;
  std::string mBody;
  bool mBodyDone = false;
  bool mSent = false;
  bool mSendToCallerFailed = false;
};

} // namespace

void RunningAttempts::Add()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  ++mCount;
}

void RunningAttempts::Done()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  --mCount;
  mAllDone.notify_all();
}

void RunningAttempts::WaitForAll()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mAllDone.wait(lock, [this] { return mCount == 0; });
}

void RunAttempt(AttemptContext& aContext,
                const std::shared_ptr<Exchange>& aExchange,
                Call* aCall,
                const wire::Dispatch& aDispatch)
{
  AttemptRun(aContext, aExchange, aCall, aDispatch).Run();
}

void SendStored(Call& aCall,
                const wire::StoredAnswer& aAnswer,
                const std::string& aOutcome)
{
  aCall.mResponse.set("Geraniumpond-Outcome", aOutcome);
  SendText(aCall,
           static_cast<int>(aAnswer.status()),
           aAnswer.content_type().empty() ? "application/octet-stream"
                                          : aAnswer.content_type(),
           aAnswer.body());
}

} // namespace geraniumpond::edge
