#pragma once

#include "http_message.h"
#include "socket.h"
#include "target_pool.h"

#include <memory>
#include <string>

namespace geraniumpond::frontend {

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
             const Poco::Net::StreamSocket& aSocket);

  void StartProbe(const std::string& aPath);
  void StartAttempt(OutboundRequest aRequest);
  void OnWritable() override;
  void OnReadable() override;

  /// \brief Ends a connect, probe or idle time that has timed out.
  void CheckTimeouts(Micros aNow);

  /// \brief Closes the connection without reporting a result.
  void Close();

  /// \brief Closes the connection and reports the failure of its job, if any.
  void Fail(const char* aReason, bool aRefused = false);

  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }
  [[nodiscard]] std::uint64_t Attempt() const noexcept { return mAttempt; }
  [[nodiscard]] const std::string& Target() const noexcept { return mTarget; }
  [[nodiscard]] Micros LastUsedAt() const noexcept { return mLastUsedAt; }
  /// \brief Bytes of the answer that is being read.
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept { return mHeldBytes; }
  [[nodiscard]] Micros IdleTimeout() const noexcept { return mIdleTimeout; }
  /// \brief True after a refusal that named no request: a late copy of it would
  /// pass for the refusal of the next request.
  [[nodiscard]] bool MayRepeatRefusal() const noexcept
  {
    return mMayRepeatRefusal;
  }

private:
  /// \brief Sends a request, once the connection is open; its answer may have
  /// a body of `aMaxBody` bytes.
  void Start(std::string aBytes,
             std::shared_ptr<const std::string> aBody,
             std::uint64_t aMaxBody);
  void SendRequestBytes(std::string aBytes,
                        std::shared_ptr<const std::string> aBody);

  /// \brief Number of bytes that may be read now.
  [[nodiscard]] std::size_t BytesToRead();
  void RecordRead(std::size_t aAllowed, std::size_t aRead);

  /// \brief Reads the answers that have arrived; true when the exchange has
  /// ended.
  bool ReadAnswers();
  /// \brief Ends the exchange if too much has been received for it, or is held
  /// of all answers; true if it has ended.
  bool EnforceBounds();
  void SetHeldBytes(std::uint64_t aBytes);

  [[nodiscard]] bool IsOfAnotherExchange(const HttpResponse& aResponse) const;

  /// \brief Ends the exchange with the answer that was read; false if that
  /// belongs to another request.
  bool Finish();

  void Report(Job aJob, HttpResponse aResponse);

  TargetPool& mPool;
  std::uint64_t mId = 0;
  std::string mTarget;
  std::string mAddress;
  BufferedSocket mSocket;
  ResponseReader mReader;
  Job mJob = Job::None;
  std::string mPendingBytes;
  std::shared_ptr<const std::string> mPendingBody;
  std::string mProbePath;
  std::string mRequestId;
  std::uint64_t mRequest = 0;
  std::uint64_t mAttempt = 0;
  Micros mStartedAt = 0;
  Micros mLastUsedAt = 0;
  /// Idle time after which it is not reused; the default until the target
  /// states its own.
  Micros mIdleTimeout = 3 * kSecond;
  std::size_t mReceivedBytes = 0;
  std::uint64_t mMaxReceivedBytes = 0;
  std::uint64_t mHeldBytes = 0;
  int mStrayAnswers = 0;
  bool mIsReadPaced = false;
  bool mIsReadingPaused = false;
  bool mConnecting = true;
  bool mHasSentBytes = false;
  bool mIsReused = false;
  bool mHeadOnly = false;
  bool mMayRepeatRefusal = false;
};

} // namespace geraniumpond::frontend
