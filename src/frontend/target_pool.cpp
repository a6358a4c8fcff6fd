#include "target_pool.h"

#include "target_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <netinet/tcp.h>

namespace geraniumpond::frontend {

namespace {

/// A connection that received an answer this recently counts as alive.
constexpr Micros kProvenMaxAge = 100 * kMillisecond;
constexpr std::size_t kMaxIdlePerTarget = 4;
constexpr Micros kTimeoutCheckInterval = 50 * kMillisecond;
/// TCP_USER_TIMEOUT: a connection ends when sent bytes stay unacknowledged for
/// this long.
constexpr int kUserTimeoutMs = 2000;

} // namespace

TargetPool::TargetPool(EventLoop& aLoop,
                       const FieldNames& aNames,
                       TargetSink& aSink,
                       LinkPacer& aPacer,
                       const AnswerBounds& aBounds,
                       ClientMemory* aMemory)
  : mLoop(aLoop)
  , mNames(aNames)
  , mSink(aSink)
  , mPacer(aPacer)
  , mBounds(aBounds)
  , mMemory(aMemory)
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

// The most recently used connection is the most likely to be alive.
TargetPool::Connection* TargetPool::TakeIdle(const std::string& aTarget,
                                             const IdleNeeds& aNeeds)
{
  const auto found = mIdle.find(aTarget);
  if (found == mIdle.end()) {
    return nullptr;
  }
  std::vector<Connection*>& idle = found->second;
  const auto last =
    std::find_if(idle.rbegin(), idle.rend(), [&](const Connection* aIdle) {
      return !aNeeds.mNoRepeatedRefusal || !aIdle->MayRepeatRefusal();
    });
  if (last == idle.rend()) {
    return nullptr;
  }
  Connection* connection = *last;
  const Micros age = mNow - connection->LastUsedAt();
  if (age > std::min(aNeeds.mMaxAge, connection->IdleTimeout())) {
    return nullptr;
  }
  idle.erase(std::next(last).base());
  return connection;
}

// A connection that any request may use is alive after its probe.
void TargetPool::Probe(const dispatch::ProbeTarget& aProbe)
{
  IdleNeeds needs;
  needs.mNoRepeatedRefusal = true;
  Connection* connection = TakeIdle(aProbe.mTarget, needs);
  if (connection == nullptr) {
    connection = TakeIdle(aProbe.mTarget, IdleNeeds());
  }
  if (connection == nullptr) {
    connection = Open(aProbe.mTarget, aProbe.mAddress);
  }
  connection->StartProbe(aProbe.mPath);
}

void TargetPool::Send(OutboundRequest aRequest)
{
  IdleNeeds needs;
  if (aRequest.mProvenConnection) {
    needs = { kProvenMaxAge, true };
  }
  Connection* connection = TakeIdle(aRequest.mTarget, needs);
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
    const auto limited = std::find_if(
      idle.begin(), idle.end(), std::mem_fn(&Connection::MayRepeatRefusal));
    (limited == idle.end() ? idle.front() : *limited)->Close();
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

void TargetPool::EnforceBounds()
{
  if (mMemory != nullptr) {
    mMemory->GiveUpAnswers();
  }
  if (mHeldBytes <= mBounds.mMaxTotalBytes) {
    return;
  }
  std::vector<HeldAnswer> answers;
  for (const auto& [id, connection] : mConnections) {
    answers.push_back({ id, connection->HeldBytes() });
  }
  if (const auto id = AnswerToGiveUp(answers, mBounds)) {
    mConnections.at(*id)->Fail("answers_too_large");
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
