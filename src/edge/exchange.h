#pragma once

#include "held_bytes.h"

#include <geraniumpond/impl/wire.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace geraniumpond::edge {

/// \brief A caller's request as it is forwarded to targets.
struct CallerRequest
{
  std::string mMethod;
  std::string mUri;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  HeldBytes mHeld;
  int mClientSocket = -1;
};

/// \brief One request in progress: receives the reducer's effects for it and
/// can abort its attempts.
class Exchange
{
public:
  explicit Exchange(std::uint64_t aId)
    : mId(aId)
  {
  }

  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }

  /// \brief Runs attempts that start while the request's own thread is busy,
  /// and all attempts that may outlive the caller's connection.
  using Worker = std::function<void(const wire::Dispatch&)>;
  void SetWorker(Worker aWorker) { mWorker = std::move(aWorker); }

  /// \brief Delivers an effect to the thread that waits for it; called by the
  /// runtime.
  void Deliver(const wire::Effect& aEffect);

  /// \brief Waits for the next effect for the request itself; it is empty once
  /// the request is finished.
  [[nodiscard]] wire::Effect WaitForEffect();

  /// \brief Waits for the reducer's decision; true if the attempt's response is
  /// to be forwarded, false if the attempt was cancelled.
  [[nodiscard]] bool AwaitDecision(std::uint64_t aAttempt);

  /// \brief True if the connection closes after the accepted response.
  [[nodiscard]] bool CloseAfterResponse() const noexcept
  {
    return mCloseAfterResponse;
  }

  /// \brief Registers an attempt's socket, so that cancelling shuts it down;
  /// false if the attempt has been cancelled already.
  [[nodiscard]] bool AttachSocket(std::uint64_t aAttempt,
                                  const Poco::Net::StreamSocket& aSocket);
  void DetachSocket(std::uint64_t aAttempt);

  /// \brief Finishes the request; a waiting WaitForEffect() returns an empty
  /// effect.
  void Finish(bool aCallerGone);
  [[nodiscard]] bool CallerGone() const noexcept { return mCallerGone; }

  /// \brief Called when the caller's thread is done; attempts that still wait
  /// for a decision are dropped.
  void DropWaitingAttempts();

  /// \brief Stores the response of a request with an idempotency key until it
  /// is accepted.
  void StoreAnswer(std::uint64_t aAttempt, wire::StoredAnswer aAnswer);
  [[nodiscard]] wire::StoredAnswer TakeAnswer(std::uint64_t aAttempt);

  CallerRequest mRequest;
  /// Body bytes sent to the caller; used by one accepted attempt at a time.
  std::uint64_t mDeliveredBytes = 0;
  bool mHeadSent = false;
  /// Stream of the response body to the caller; set once the head is sent.
  std::ostream* mClientStream = nullptr;

private:
  enum class Decision
  {
    Accept,
    Cancel
  };

  const std::uint64_t mId;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<wire::Effect> mInbox;
  std::map<std::uint64_t, Decision> mDecisions;
  std::map<std::uint64_t, Poco::Net::StreamSocket> mSockets;
  std::map<std::uint64_t, wire::StoredAnswer> mAnswers;
  bool mFinished = false;
  bool mAttemptsDropped = false;
  bool mCallerGone = false;
  /// Set while the request's own thread runs an attempt.
  bool mThreadBusy = false;
  Worker mWorker;
  bool mCloseAfterResponse = false;
};

} // namespace geraniumpond::edge
