#include "target_pool.h"

#include "target_fields.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <limits>
#include <netinet/tcp.h>
#include <utility>

namespace geraniumpond::frontend {

namespace {

/// A connect takes one or two round trips. A lost SYN is resent after a second
/// only, so another target is tried before that.
constexpr Micros kConnectTimeout = 300 * kMillisecond;
/// A target that does not answer a probe in this time counts as unresponsive:
/// well above any round trip, well below the shortest deadline.
constexpr Micros kProbeTimeout = 400 * kMillisecond;
/// A connection that received an answer this recently counts as alive.
constexpr Micros kProvenMaxAge = 100 * kMillisecond;
/// Idle connections are reused for this fraction of the keep-alive timeout that
/// their target states, or for the default timeout if it states none.
constexpr double kIdleTimeoutFraction = 0.8;
constexpr Micros kDefaultIdleTimeout = 3 * kSecond;
constexpr std::size_t kMaxIdlePerTarget = 4;
constexpr Micros kTimeoutCheckInterval = 50 * kMillisecond;
/// TCP_USER_TIMEOUT: a connection ends when sent bytes stay unacknowledged for
/// this long.
constexpr int kUserTimeoutMs = 2000;
constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;
constexpr int kFirstNonSuccessStatus = 300;

} // namespace

/// \brief A connection to one target; carries one exchange at a time.
class TargetPool::Connection : public Handler
{
public:
  enum class Job
  {
    None,
    Probe,
    Attempt
  };

  Connection(TargetPool& aPool,
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

  void StartProbe(const std::string& aPath)
  {
    mJob = Job::Probe;
    mProbePath = aPath;
    mHeadOnly = false;
    Start("GET " + aPath + " HTTP/1.1\r\nHost: " + mAddress + "\r\n\r\n");
  }

  void StartAttempt(OutboundRequest aRequest)
  {
    mJob = Job::Attempt;
    mRequest = aRequest.mRequest;
    mAttempt = aRequest.mAttempt;
    mRequestId = std::move(aRequest.mRequestId);
    mHeadOnly = aRequest.mHeadOnly;
    mPool.mAttempts[mAttempt] = this;
    Start(std::move(aRequest.mBytes));
  }

  void OnWritable() override
  {
    if (mConnecting) {
      const int error = mSocket.ConnectError();
      if (error != 0) {
        Fail("connect_failed", error == ECONNREFUSED);
        return;
      }
      mConnecting = false;
      SendRequestBytes(std::move(mPendingBytes));
      return;
    }
    if (mIsReadingPaused) {
      mIsReadingPaused = false;
      mSocket.PauseReading(false);
      OnReadable();
      return;
    }
    if (!mSocket.Flush()) {
      Fail("send_failed");
    }
  }

  void OnReadable() override
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
      mSocket.PauseReading(true);
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
    if (ReadAnswers()) {
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

  /// \brief Ends a connect, probe or idle time that has timed out.
  void CheckTimeouts(Micros aNow)
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

  /// \brief Closes the connection without reporting a result.
  void Close()
  {
    if (mSocket.Closed()) {
      return;
    }
    mSocket.Close();
    mPool.mPacer.Remove(*this);
    mPool.Retire(*this);
  }

  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }
  [[nodiscard]] std::uint64_t Attempt() const noexcept { return mAttempt; }
  [[nodiscard]] const std::string& Target() const noexcept { return mTarget; }
  [[nodiscard]] Micros LastUsedAt() const noexcept { return mLastUsedAt; }
  [[nodiscard]] Micros IdleTimeout() const noexcept { return mIdleTimeout; }

private:
  void Start(std::string aBytes)
  {
    mStartedAt = mPool.mNow;
    mReceivedBytes = 0;
    if (mConnecting) {
      mPendingBytes = std::move(aBytes);
      return;
    }
    mIsReused = true;
    SendRequestBytes(std::move(aBytes));
  }

  void SendRequestBytes(std::string aBytes)
  {
    const std::size_t size = aBytes.size();
    const bool isOpen = mSocket.Send(std::move(aBytes));
    mHasSentBytes = mSocket.Unsent() < size;
    if (!isOpen) {
      Fail("send_failed");
    }
  }

  // The first bytes of an answer do not show yet whether it is a large one.
  std::size_t BytesToRead()
  {
    LinkPacer& pacer = mPool.mPacer;
    const std::size_t small = pacer.SmallBytes();
    mIsReadPaced = mJob == Job::Attempt && mReceivedBytes >= small;
    return mIsReadPaced ? pacer.Take(*this, small) : small;
  }

  void RecordRead(std::size_t aAllowed, std::size_t aRead)
  {
    mReceivedBytes += aRead;
    if (mIsReadPaced) {
      mPool.mPacer.Return(aAllowed - aRead);
    }
  }

  // Returns true when the exchange has ended.
  bool ReadAnswers()
  {
    while (true) {
      const ReadStatus status = mReader.Read(mSocket.Input(), mHeadOnly);
      if (status == ReadStatus::Partial) {
        return false;
      }
      if (status == ReadStatus::Malformed) {
        Fail("not_an_answer");
        return true;
      }
      if (Finish()) {
        return true;
      }
    }
  }

  // An answer with the id of another request arrived late, for an exchange that
  // has ended. A connection that carried one is not reused.
  bool AnswersAnotherRequest(const HttpResponse& aResponse) const
  {
    const std::string* id =
      FindField(aResponse.mFields, mPool.mNames.mRequestId);
    if (mJob == Job::Probe) {
      return id != nullptr;
    }
    return id != nullptr && *id != mRequestId;
  }

  // A truncated header section may look like a short answer. An answer to this
  // request therefore has to carry its id, and a success has to be signed. A
  // rejection may lack the id, as the target may not have read the request's
  // fields.
  bool IsCompleteAnswer(const HttpResponse& aResponse) const
  {
    if (mJob == Job::Probe) {
      return true;
    }
    const FieldNames& names = mPool.mNames;
    const HeaderFields& fields = aResponse.mFields;
    const bool named = mRequestId.empty() ||
                       FindField(fields, names.mRequestId) != nullptr ||
                       FindField(fields, names.mNotRun) != nullptr ||
                       aResponse.mStatus == kStatusMisdirected;
    const bool isSigned = aResponse.mStatus >= kFirstNonSuccessStatus ||
                          names.mSignature.empty() ||
                          FindField(fields, names.mSignature) != nullptr;
    return named && isSigned;
  }

  // Returns false if the answer belongs to another request.
  bool Finish()
  {
    HttpResponse response = mReader.Take();
    if (AnswersAnotherRequest(response)) {
      mReceivedStray = true;
      return false;
    }
    if (!IsCompleteAnswer(response)) {
      Fail("not_an_answer");
      return true;
    }
    const bool reusable = response.mKeepAlive && !mReceivedStray &&
                          mSocket.Input().empty() && mSocket.Unsent() == 0;
    if (response.mKeepAliveSeconds > 0) {
      mIdleTimeout = static_cast<Micros>(
        kIdleTimeoutFraction * static_cast<double>(response.mKeepAliveSeconds) *
        kSecond);
    }
    mLastUsedAt = mPool.mNow;
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

  bool SaysLeaving(const HttpResponse& aResponse) const
  {
    const std::string* value =
      FindField(aResponse.mFields, mPool.mNames.mLeaving);
    return value != nullptr && *value == "1";
  }

  void Report(Job aJob, HttpResponse aResponse)
  {
    const FieldNames& names = mPool.mNames;
    const std::string* load = FindField(aResponse.mFields, names.mLoad);
    const std::string* answeredBy =
      FindField(aResponse.mFields, names.mTargetId);
    std::optional<dispatch::Report> report;
    if (load != nullptr) {
      report = ParseLoad(*load);
    }
    if (aJob == Job::Probe) {
      dispatch::ProbeEnd end;
      end.mTarget = mTarget;
      end.mAnswered = true;
      end.mHealthy = aResponse.mStatus == kStatusOk;
      end.mAnsweredBy = answeredBy == nullptr ? "" : *answeredBy;
      end.mReport = report;
      end.mLimit = ParseLimit(aResponse.mFields, names.mLimit);
      end.mRest = ParseRest(aResponse, Poco::Timestamp());
      end.mWarmUpLeft = ParseWarmUp(aResponse.mFields, names.mWarmUpLeft);
      end.mLeaving = SaysLeaving(aResponse);
      mPool.mSink.OnProbeResult(end);
      return;
    }
    dispatch::AttemptEnd end;
    end.mRequest = mRequest;
    end.mAttempt = mAttempt;
    end.mKind = dispatch::EndKind::Answered;
    end.mStatus = aResponse.mStatus;
    end.mMisdirected = aResponse.mStatus == kStatusMisdirected;
    end.mNotRun = end.mMisdirected ||
                  FindField(aResponse.mFields, names.mNotRun) != nullptr;
    end.mBytes = aResponse.mBody.size();
    end.mReport = report;
    end.mLimit = ParseLimit(aResponse.mFields, names.mLimit);
    end.mRest = ParseRest(aResponse, Poco::Timestamp());
    end.mLeaving = SaysLeaving(aResponse);
    if (end.mNotRun) {
      end.mReason = end.mMisdirected ? "address_taken" : "target_refused";
    }
    mPool.mSink.OnAttemptResult(std::move(end), std::move(aResponse));
  }

  void Fail(const char* aReason, bool aRefused = false)
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

  TargetPool& mPool;
  std::uint64_t mId = 0;
  std::string mTarget;
  std::string mAddress;
  BufferedSocket mSocket;
  ResponseReader mReader;
  Job mJob = Job::None;
  std::string mPendingBytes;
  std::string mProbePath;
  std::string mRequestId;
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  Micros mStartedAt = 0;
  Micros mLastUsedAt = 0;
  Micros mIdleTimeout = kDefaultIdleTimeout;
  std::size_t mReceivedBytes = 0;
  bool mIsReadPaced = false;
  bool mIsReadingPaused = false;
  bool mConnecting = true;
  bool mHasSentBytes = false;
  bool mIsReused = false;
  bool mHeadOnly = false;
  bool mReceivedStray = false;
};

TargetPool::TargetPool(EventLoop& aLoop,
                       const FieldNames& aNames,
                       TargetSink& aSink,
                       LinkPacer& aPacer)
  : mLoop(aLoop)
  , mNames(aNames)
  , mSink(aSink)
  , mPacer(aPacer)
{
}

TargetPool::~TargetPool() = default;

TargetPool::Connection* TargetPool::Open(const std::string& aTarget,
                                         const std::string& aAddress)
{
  Poco::Net::StreamSocket socket;
  try {
    const Poco::Net::SocketAddress address(aAddress);
    socket = Poco::Net::StreamSocket(address.family());
    if (const int bytes = mPacer.ReceiveBufferBytes(); bytes > 0) {
      socket.setReceiveBufferSize(bytes);
    }
    socket.connectNB(address);
    socket.setNoDelay(true);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  } catch (const Poco::Exception&) {
    // The connection created below reports the failed connect.
  }
  const std::uint64_t id = ++mLastConnectionId;
  auto connection =
    std::make_unique<Connection>(*this, id, aTarget, aAddress, socket);
  Connection* raw = connection.get();
  mConnections[id] = std::move(connection);
  return raw;
}

TargetPool::Connection* TargetPool::TakeIdle(const std::string& aTarget,
                                             Micros aMaxAge)
{
  const auto found = mIdle.find(aTarget);
  if (found == mIdle.end() || found->second.empty()) {
    return nullptr;
  }
  // The most recently used connection is the most likely to be alive.
  Connection* connection = found->second.back();
  const Micros age = mNow - connection->LastUsedAt();
  if (age > std::min(aMaxAge, connection->IdleTimeout())) {
    return nullptr;
  }
  found->second.pop_back();
  return connection;
}

void TargetPool::Probe(const dispatch::ProbeTarget& aProbe)
{
  Connection* connection =
    TakeIdle(aProbe.mTarget, std::numeric_limits<Micros>::max());
  if (connection == nullptr) {
    connection = Open(aProbe.mTarget, aProbe.mAddress);
  }
  connection->StartProbe(aProbe.mPath);
}

void TargetPool::Send(OutboundRequest aRequest)
{
  const Micros age = aRequest.mProvenConnection
                       ? kProvenMaxAge
                       : std::numeric_limits<Micros>::max();
  Connection* connection = TakeIdle(aRequest.mTarget, age);
  if (connection == nullptr) {
    connection = Open(aRequest.mTarget, aRequest.mAddress);
  }
  connection->StartAttempt(std::move(aRequest));
}

void TargetPool::Cancel(std::uint64_t aAttempt)
{
  const auto found = mAttempts.find(aAttempt);
  if (found != mAttempts.end()) {
    Connection* connection = found->second;
    mAttempts.erase(found);
    connection->Close();
  }
}

void TargetPool::ReturnToIdle(Connection& aConnection)
{
  std::vector<Connection*>& idle = mIdle[aConnection.Target()];
  if (idle.size() >= kMaxIdlePerTarget) {
    idle.front()->Close();
  }
  mIdle[aConnection.Target()].push_back(&aConnection);
}

void TargetPool::Retire(Connection& aConnection)
{
  const auto idle = mIdle.find(aConnection.Target());
  if (idle != mIdle.end()) {
    std::vector<Connection*>& list = idle->second;
    list.erase(std::remove(list.begin(), list.end(), &aConnection), list.end());
    if (list.empty()) {
      mIdle.erase(idle);
    }
  }
  const auto found = mConnections.find(aConnection.Id());
  if (found != mConnections.end()) {
    mClosedConnections.push_back(std::move(found->second));
    mConnections.erase(found);
  }
}

void TargetPool::Tick(Micros aNow)
{
  mNow = aNow;
  mClosedConnections.clear();
  if (aNow < mTimeoutsCheckedAt + kTimeoutCheckInterval) {
    return;
  }
  mTimeoutsCheckedAt = aNow;
  std::vector<Connection*> all;
  all.reserve(mConnections.size());
  for (const auto& [id, connection] : mConnections) {
    all.push_back(connection.get());
  }
  for (Connection* connection : all) {
    if (mConnections.count(connection->Id()) != 0) {
      connection->CheckTimeouts(aNow);
    }
  }
}

} // namespace geraniumpond::frontend
