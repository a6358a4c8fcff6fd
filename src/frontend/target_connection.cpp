#include "target_connection.h"

#include "target_answers.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace geraniumpond::frontend {

namespace {

/// A connect takes one or two round trips. A lost SYN is resent after a second
/// only, so another target is tried before that.
constexpr Micros kConnectTimeout = 300 * kMillisecond;
/// A target that does not answer a probe in this time counts as unresponsive:
/// well above any round trip, well below the shortest deadline.
constexpr Micros kProbeTimeout = 400 * kMillisecond;
/// Idle connections are reused for this fraction of the keep-alive timeout that
/// their target states.
constexpr double kIdleTimeoutFraction = 0.8;
/// Bytes of one connection that are read before others are served; its buffer
/// keeps this size.
constexpr std::size_t kMaxReadAtOnce = 256 * 1024;

} // namespace

TargetPool::Connection::Connection(TargetPool& aPool,
                                   std::uint64_t aId,
                                   std::string aTarget,
                                   std::string aAddress,
                                   const Poco::Net::StreamSocket& aSocket)
  : mPool(aPool)
  , mId(aId)
  , mTarget(std::move(aTarget))
  , mAddress(std::move(aAddress))
  , mSocket(aPool.mLoop, aSocket)
  , mStartedAt(aPool.mNow)
{
  mSocket.Watch(*this, true);
}

void TargetPool::Connection::StartProbe(const std::string& aPath)
{
  mJob = Job::Probe;
  mProbePath = aPath;
  mHeadOnly = false;
  Start("GET " + aPath + " HTTP/1.1\r\nHost: " + mAddress + "\r\n\r\n",
        nullptr,
        kMaxProbeBytes);
}

void TargetPool::Connection::StartAttempt(OutboundRequest aRequest)
{
  mJob = Job::Attempt;
  mRequest = aRequest.mRequest;
  mAttempt = aRequest.mAttempt;
  mRequestId = std::move(aRequest.mRequestId);
  mHeadOnly = aRequest.mHeadOnly;
  mPool.mAttempts[mAttempt] = this;
  Start(std::move(aRequest.mBytes),
        std::move(aRequest.mBody),
        mPool.mBounds.mMaxBytes);
}

void TargetPool::Connection::OnWritable()
{
  if (mConnecting) {
    const int error = mSocket.ConnectError();
    if (error != 0) {
      Fail("connect_failed", error == ECONNREFUSED);
      return;
    }
    mConnecting = false;
    SendRequestBytes(std::move(mPendingBytes), std::move(mPendingBody));
    return;
  }
  // The socket takes bytes, or the pacer allows to read. Either may come while
  // the other is waited for.
  if (mSocket.Unsent() > 0 && !mSocket.Flush()) {
    Fail("send_failed");
    return;
  }
  if (mIsReadingPaused) {
    mIsReadingPaused = false;
    mSocket.WatchReading(Reading::Bytes);
    OnReadable();
  }
}

void TargetPool::Connection::OnReadable()
{
  if (mConnecting) {
    OnWritable();
    if (mSocket.Closed() || mConnecting) {
      return;
    }
  }
  const std::size_t most = BytesToRead();
  if (most == 0) {
    mIsReadingPaused = true;
    mSocket.WatchReading(Reading::Paused);
    return;
  }
  const std::size_t before = mSocket.Input().size();
  const ReceiveResult received = mSocket.Receive(most);
  RecordRead(most, mSocket.Input().size() - before);
  if (mJob == Job::None) {
    // Either unsolicited bytes, or the target closed an idle connection.
    if (received != ReceiveResult::WouldBlock) {
      Close();
    }
    return;
  }
  if (ReadAnswers() || EnforceBounds()) {
    return;
  }
  if (received == ReceiveResult::End) {
    if (mReader.OnConnectionEnd() == ReadStatus::Complete) {
      Finish();
    } else {
      Fail("closed_early");
    }
  } else if (received == ReceiveResult::Reset) {
    Fail("reset");
  }
}

void TargetPool::Connection::CheckTimeouts(Micros aNow)
{
  if (mConnecting && aNow - mStartedAt > kConnectTimeout) {
    Fail("connect_timeout");
    return;
  }
  if (mJob == Job::Probe && aNow - mStartedAt > kProbeTimeout) {
    Fail("probe_timeout");
    return;
  }
  if (mJob == Job::None && aNow - mLastUsedAt > mIdleTimeout) {
    Close();
  }
}

void TargetPool::Connection::Close()
{
  if (mSocket.Closed()) {
    return;
  }
  mSocket.Close();
  SetHeldBytes(0);
  mPool.mPacer.Remove(*this);
  mPool.Retire(*this);
}

void TargetPool::Connection::Start(std::string aBytes,
                                   std::shared_ptr<const std::string> aBody,
                                   std::uint64_t aMaxBody)
{
  mStartedAt = mPool.mNow;
  mReceivedBytes = 0;
  mMaxReceivedBytes = MaxReceivedBytes(aMaxBody);
  mReader.SetMaxBody(aMaxBody);
  if (mConnecting) {
    mPendingBytes = std::move(aBytes);
    mPendingBody = std::move(aBody);
    return;
  }
  mIsReused = true;
  SendRequestBytes(std::move(aBytes), std::move(aBody));
}

void TargetPool::Connection::SendRequestBytes(
  std::string aBytes,
  std::shared_ptr<const std::string> aBody)
{
  const std::size_t size = aBytes.size() + (aBody ? aBody->size() : 0);
  const bool isOpen = mSocket.Send(std::move(aBytes), std::move(aBody));
  mHasSentBytes = mSocket.Unsent() < size;
  if (!isOpen) {
    Fail("send_failed");
  }
}

// The first bytes of an answer do not show yet whether it is a large one.
std::size_t TargetPool::Connection::BytesToRead()
{
  LinkPacer& pacer = mPool.mPacer;
  const std::size_t small = pacer.SmallBytes();
  const std::size_t most = std::min(small, kMaxReadAtOnce);
  mIsReadPaced = mJob == Job::Attempt && mReceivedBytes >= small;
  return mIsReadPaced ? pacer.Take(*this, most) : most;
}

void TargetPool::Connection::RecordRead(std::size_t aAllowed, std::size_t aRead)
{
  mReceivedBytes += aRead;
  if (mIsReadPaced) {
    mPool.mPacer.Return(aAllowed - aRead);
  }
}

bool TargetPool::Connection::ReadAnswers()
{
  while (true) {
    const ReadStatus status = mReader.Read(mSocket.Input(), mHeadOnly);
    if (status == ReadStatus::Partial) {
      return false;
    }
    if (status != ReadStatus::Complete) {
      Fail(status == ReadStatus::TooLarge ? "answer_too_large"
                                          : "not_an_answer");
      return true;
    }
    if (Finish()) {
      return true;
    }
  }
}

bool TargetPool::Connection::EnforceBounds()
{
  if (mReceivedBytes > mMaxReceivedBytes) {
    Fail("too_many_bytes");
    return true;
  }
  SetHeldBytes(mReader.BodyBytes());
  mPool.EnforceBounds();
  return mSocket.Closed();
}

void TargetPool::Connection::SetHeldBytes(std::uint64_t aBytes)
{
  if (mPool.mMemory != nullptr) {
    mPool.mMemory->Change(mHeldBytes, aBytes);
  }
  mPool.mHeldBytes += aBytes;
  mPool.mHeldBytes -= mHeldBytes;
  mHeldBytes = aBytes;
}

bool TargetPool::Connection::IsOfAnotherExchange(
  const HttpResponse& aResponse) const
{
  return mJob == Job::Probe
           ? AnswersARequest(aResponse, mPool.mNames)
           : AnswersAnotherRequest(aResponse, mPool.mNames, mRequestId);
}

// A connection that carried a late answer is not reused.
bool TargetPool::Connection::Finish()
{
  HttpResponse response = mReader.Take();
  if (IsOfAnotherExchange(response)) {
    if (++mStrayAnswers > kMaxSkippedAnswers) {
      Fail("not_an_answer");
      return true;
    }
    return false;
  }
  if (mJob == Job::Attempt &&
      !IsCompleteAnswer(response, mPool.mNames, mRequestId)) {
    Fail("not_an_answer");
    return true;
  }
  SetHeldBytes(0);
  const bool reusable = response.mKeepAlive && mStrayAnswers == 0 &&
                        mSocket.Input().empty() && mSocket.Unsent() == 0;
  if (response.mKeepAliveSeconds > 0) {
    mIdleTimeout = static_cast<Micros>(
      kIdleTimeoutFraction * static_cast<double>(response.mKeepAliveSeconds) *
      kSecond);
  }
  mLastUsedAt = mPool.mNow;
  mMayRepeatRefusal =
    mMayRepeatRefusal || IsUnnamedRefusal(response, mPool.mNames);
  const Job job = std::exchange(mJob, Job::None);
  if (job == Job::Attempt) {
    mPool.mAttempts.erase(mAttempt);
  }
  if (reusable) {
    mPool.ReturnToIdle(*this);
  } else {
    Close();
  }
  Report(job, std::move(response));
  return true;
}

void TargetPool::Connection::Report(Job aJob, HttpResponse aResponse)
{
  if (aJob == Job::Probe) {
    dispatch::ProbeEnd end = ProbeEndOf(aResponse, mPool.mNames);
    end.mTarget = mTarget;
    mPool.mSink.OnProbeResult(end);
    return;
  }
  dispatch::AttemptEnd end = AttemptEndOf(aResponse, mPool.mNames);
  end.mRequest = mRequest;
  end.mAttempt = mAttempt;
  mPool.mSink.OnAttemptResult(std::move(end), std::move(aResponse));
}

void TargetPool::Connection::Fail(const char* aReason, bool aRefused)
{
  const Job job = std::exchange(mJob, Job::None);
  if (job == Job::Attempt) {
    mPool.mAttempts.erase(mAttempt);
  }
  const bool hasSentBytes = mHasSentBytes;
  Close();
  if (job == Job::Probe) {
    // A failure on a reused connection does not mean that the target is
    // down: the target may have closed it while it was idle.
    if (mIsReused) {
      mPool.Open(mTarget, mAddress)->StartProbe(mProbePath);
      return;
    }
    dispatch::ProbeEnd end;
    end.mTarget = mTarget;
    end.mRefused = aRefused;
    mPool.mSink.OnProbeResult(end);
  } else if (job == Job::Attempt) {
    dispatch::AttemptEnd end;
    end.mRequest = mRequest;
    end.mAttempt = mAttempt;
    end.mKind =
      hasSentBytes ? dispatch::EndKind::Broken : dispatch::EndKind::NotSent;
    end.mRefused = aRefused;
    end.mReason = aReason;
    mPool.mSink.OnAttemptResult(std::move(end), HttpResponse());
  }
}

} // namespace geraniumpond::frontend
