#pragma once

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

/// \brief A caller's request as it is passed on to targets.
struct CallerRequest
{
  std::string mMethod;
  std::string mUri;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  int mClientSocket = -1;
};

/// \brief One request at the edge: where the reducer's effects for it arrive
/// and where its attempts can be cut off.
class Exchange
{
public:
  explicit Exchange(std::uint64_t aId)
    : mId(aId)
  {
  }

  [[nodiscard]] std::uint64_t Id() const noexcept { return mId; }

  /// \brief What runs an attempt while the request's own thread is busy, and
  /// every attempt that must outlive the caller.
  using Worker = std::function<void(const wire::Dispatch&)>;
  void SetWorker(Worker aWorker) { mWorker = std::move(aWorker); }

  /// \brief Hands an effect to whoever waits for it; called by the runtime.
  void Deliver(const wire::Effect& aEffect);

  /// \brief Next effect for the request itself.
  [[nodiscard]] wire::Effect Next();

  /// \brief True to pass an attempt's answer on, false when it was dropped.
  [[nodiscard]] bool AwaitDecision(std::uint64_t aAttempt);

  /// \brief True when the accepted answer also ends the connection.
  [[nodiscard]] bool CloseAfter() const noexcept { return mCloseAfter; }

  /// \brief Makes an attempt's socket known, so that a cancel cuts it off;
  /// false when the attempt is cancelled already.
  [[nodiscard]] bool Attach(std::uint64_t aAttempt,
                            const Poco::Net::StreamSocket& aSocket);
  void Detach(std::uint64_t aAttempt);

  /// \brief Ends the request: whoever waits for Next() gets an empty effect.
  void Finish(bool aCallerGone);
  [[nodiscard]] bool CallerGone() const noexcept { return mCallerGone; }

  /// \brief The caller's side is over: attempts that still wait are dropped.
  void End();

  /// \brief Answer of a keyed request, kept until it is accepted.
  void KeepAnswer(std::uint64_t aAttempt, wire::StoredAnswer aAnswer);
  [[nodiscard]] wire::StoredAnswer TakeAnswer(std::uint64_t aAttempt);

  CallerRequest mRequest;
  /// Body bytes that the caller has; used by one accepted attempt at a time.
  std::uint64_t mDelivered = 0;
  bool mHeadSent = false;
  /// Body of the answer to the caller, once its head was sent.
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
  bool mEnded = false;
  bool mCallerGone = false;
  /// Set while the request's own thread runs an attempt.
  bool mBusy = false;
  Worker mWorker;
  bool mCloseAfter = false;
};

} // namespace geraniumpond::edge
