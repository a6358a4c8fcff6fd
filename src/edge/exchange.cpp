#include "exchange.h"

#include <Poco/Exception.h>

namespace geraniumpond::edge {

namespace {

void ShutDownSocket(Poco::Net::StreamSocket& aSocket)
{
  try {
    aSocket.shutdown();
  } catch (const Poco::Exception&) {
    // The peer has closed the connection already.
  }
}

} // namespace

void Exchange::Deliver(const wire::Effect& aEffect)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aEffect.has_cancel()) {
    const std::uint64_t attempt = aEffect.cancel().attempt();
    mDecisions[attempt] = Decision::Cancel;
    const auto socket = mSockets.find(attempt);
    if (socket != mSockets.end()) {
      ShutDownSocket(socket->second);
    }
  } else if (aEffect.has_accept()) {
    mDecisions[aEffect.accept().attempt()] = Decision::Accept;
    mCloseAfterResponse = aEffect.accept().close_connection();
    if (mAnswers.count(aEffect.accept().attempt()) != 0) {
      mInbox.push_back(aEffect);
    }
  } else if (aEffect.has_dispatch() &&
             (mThreadBusy || aEffect.dispatch().buffer_answer())) {
    mWorker(aEffect.dispatch());
  } else {
    mThreadBusy = mThreadBusy || aEffect.has_dispatch();
    mInbox.push_back(aEffect);
  }
  mChanged.notify_all();
}

wire::Effect Exchange::WaitForEffect()
{
  std::unique_lock<std::mutex> lock(mMutex);
  mThreadBusy = !mInbox.empty() && mInbox.front().has_dispatch();
  mChanged.wait(lock, [this] { return !mInbox.empty() || mFinished; });
  if (mInbox.empty()) {
    return wire::Effect();
  }
  wire::Effect effect = std::move(mInbox.front());
  mInbox.pop_front();
  return effect;
}

bool Exchange::AwaitDecision(std::uint64_t aAttempt)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mChanged.wait(
    lock, [&] { return mAttemptsDropped || mDecisions.count(aAttempt) != 0; });
  const auto decision = mDecisions.find(aAttempt);
  return decision != mDecisions.end() && decision->second == Decision::Accept;
}

void Exchange::DropWaitingAttempts()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAttemptsDropped = true;
  mChanged.notify_all();
}

bool Exchange::AttachSocket(std::uint64_t aAttempt,
                            const Poco::Net::StreamSocket& aSocket)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto decision = mDecisions.find(aAttempt);
  if (decision != mDecisions.end() && decision->second == Decision::Cancel) {
    return false;
  }
  mSockets.emplace(aAttempt, aSocket);
  return true;
}

void Exchange::DetachSocket(std::uint64_t aAttempt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSockets.erase(aAttempt);
}

void Exchange::Finish(bool aCallerGone)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mCallerGone = aCallerGone;
  mFinished = true;
  mChanged.notify_all();
}

void Exchange::StoreAnswer(std::uint64_t aAttempt, wire::StoredAnswer aAnswer)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAnswers[aAttempt] = std::move(aAnswer);
}

wire::StoredAnswer Exchange::TakeAnswer(std::uint64_t aAttempt)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  wire::StoredAnswer answer = std::move(mAnswers[aAttempt]);
  mAnswers.erase(aAttempt);
  return answer;
}

} // namespace geraniumpond::edge
