#include "peers.h"

#include "logging.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <zmq.hpp>

namespace geraniumpond::edge {

namespace {

using Clock = std::chrono::steady_clock;

// A dead connection is replaced within a second.
constexpr int kHeartbeatMs = 300;
constexpr int kHeartbeatTimeoutMs = 900;
// A restarted host is reached again well within an election timeout.
constexpr int kReconnectMs = 30;
constexpr int kReconnectMaxMs = 200;
// A host that is powered off does not refuse connections: the connect hangs,
// and until it times out, messages wait even if the host is back. A round trip
// between regions takes 70 ms.
constexpr int kConnectTimeoutMs = 100;
constexpr int kLingerMs = 100;
// Heartbeats detect a dead connection within this time.
constexpr std::chrono::milliseconds kHeardTimeout{ kHeartbeatTimeoutMs };
// Limit of messages queued per peer. A peer that was unreachable requests what
// it missed.
constexpr int kSendHighWaterMark = 1000;
// With a receive high-water mark, ZeroMQ stops reading a connection, including
// its heartbeats, while the receiver is behind. It then drops the connection,
// attaches the full queue to a new one and aborts the process when the receiver
// continues. No limit is needed here: the receiver only passes messages on to
// an inbox that is bounded.
constexpr int kNoReceiveLimit = 0;
constexpr std::size_t kQueueLimit = 100000;
constexpr std::int64_t kMaxMessageBytes = 256LL * 1024 * 1024;
// Checks for unused connections per unused-connection timeout.
constexpr int kChecksPerTimeout = 4;
constexpr const char* kWakeAddress = "inproc://wake";

// Retries a call that a signal interrupted, which also happens when a stopped
// process continues; this is no failure.
template<class Call>
auto RetryInterrupted(const Call& aCall)
{
  while (true) {
    try {
      return aCall();
    } catch (const zmq::error_t& error) {
      if (error.num() != EINTR) {
        throw;
      }
    }
  }
}

template<class Message>
auto ReceiveNow(zmq::socket_t& aSocket, Message& aMessage)
{
  return RetryInterrupted(
    [&] { return aSocket.recv(aMessage, zmq::recv_flags::dontwait); });
}

template<class Buffer>
auto SendNow(zmq::socket_t& aSocket,
             const Buffer& aBuffer,
             zmq::send_flags aFlags = zmq::send_flags::none)
{
  return RetryInterrupted(
    [&] { return aSocket.send(aBuffer, aFlags | zmq::send_flags::dontwait); });
}

void SetOptions(zmq::socket_t& aSocket)
{
  aSocket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  aSocket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  aSocket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  aSocket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  aSocket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  aSocket.set(zmq::sockopt::linger, kLingerMs);
  aSocket.set(zmq::sockopt::sndhwm, kSendHighWaterMark);
  aSocket.set(zmq::sockopt::rcvhwm, kNoReceiveLimit);
  aSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
}

} // namespace

struct Peers::Sockets
{
  explicit Sockets(std::string aOwnAddress)
    : mOwnAddress(std::move(aOwnAddress))
  {
  }

  std::string mOwnAddress;
  zmq::context_t mContext{ 1 };
  zmq::socket_t mListener{ mContext, zmq::socket_type::router };
  zmq::socket_t mWakeOut{ mContext, zmq::socket_type::pair };
  zmq::socket_t mWakeIn{ mContext, zmq::socket_type::pair };
  struct Connection
  {
    zmq::socket_t mSocket;
    Clock::time_point mSentAt;
  };
  std::map<std::string, Connection> mOutgoing;
  /// When a message last arrived on the connection that a peer opened.
  std::map<std::string, Clock::time_point> mHeardAt;

  zmq::socket_t& OutgoingSocket(const std::string& aAddress)
  {
    const auto found = mOutgoing.find(aAddress);
    if (found != mOutgoing.end()) {
      found->second.mSentAt = Clock::now();
      return found->second.mSocket;
    }
    zmq::socket_t socket(mContext, zmq::socket_type::dealer);
    SetOptions(socket);
    socket.set(zmq::sockopt::routing_id, mOwnAddress);
    socket.connect("tcp://" + aAddress);
    Connection connection{ std::move(socket), Clock::now() };
    return mOutgoing.emplace(aAddress, std::move(connection))
      .first->second.mSocket;
  }

  // Unused connections have a cost: every loop iteration polls them, and they
  // keep sending heartbeats.
  void CloseUnused(std::chrono::milliseconds aUnusedTimeout)
  {
    const Clock::time_point now = Clock::now();
    for (auto it = mOutgoing.begin(); it != mOutgoing.end();) {
      it = now - it->second.mSentAt > aUnusedTimeout ? mOutgoing.erase(it)
                                                     : std::next(it);
    }
    for (auto it = mHeardAt.begin(); it != mHeardAt.end();) {
      it =
        now - it->second > kHeardTimeout ? mHeardAt.erase(it) : std::next(it);
    }
  }

  // Sends on the connection that the peer opened; false if there is none. This
  // reaches a peer that has just started at once, while an outgoing connect
  // that began before the start hangs until it times out.
  bool SendOnIncoming(const std::string& aAddress, const std::string& aBytes)
  {
    const auto heard = mHeardAt.find(aAddress);
    if (heard == mHeardAt.end() ||
        Clock::now() - heard->second > kHeardTimeout) {
      return false;
    }
    try {
      const auto head =
        SendNow(mListener, zmq::buffer(aAddress), zmq::send_flags::sndmore);
      return head && SendNow(mListener, zmq::buffer(aBytes));
    } catch (const zmq::error_t&) {
      // The peer has closed that connection.
      mHeardAt.erase(heard);
      return false;
    }
  }

  std::vector<zmq::pollitem_t> PollItems()
  {
    std::vector<zmq::pollitem_t> items = {
      { mListener.handle(), 0, ZMQ_POLLIN, 0 },
      { mWakeIn.handle(), 0, ZMQ_POLLIN, 0 }
    };
    for (auto& [address, connection] : mOutgoing) {
      items.push_back({ connection.mSocket.handle(), 0, ZMQ_POLLIN, 0 });
    }
    return items;
  }

  template<class OnMessage>
  void Receive(const OnMessage& aOnMessage)
  {
    zmq::message_t message;
    std::string from;
    while (ReceiveNow(mListener, message)) {
      if (message.more()) {
        from = message.to_string();
        continue;
      }
      mHeardAt[from] = Clock::now();
      aOnMessage(message);
    }
    for (auto& [address, connection] : mOutgoing) {
      while (ReceiveNow(connection.mSocket, message)) {
        aOnMessage(message);
      }
    }
  }
};

Peers::Peers(const PeerAddresses& aOwn,
             Handler aHandler,
             std::chrono::milliseconds aUnusedTimeout)
  : mHandler(std::move(aHandler))
  , mUnusedTimeout(aUnusedTimeout)
  , mSockets(std::make_unique<Sockets>(aOwn.mAdvertised))
{
  SetOptions(mSockets->mListener);
  // Report unreachable peers as errors, and let a peer that reconnects take
  // over its routing id.
  mSockets->mListener.set(zmq::sockopt::router_mandatory, true);
  mSockets->mListener.set(zmq::sockopt::router_handover, true);
  mSockets->mListener.bind(
    "tcp://" + (aOwn.mBind.empty() ? aOwn.mAdvertised : aOwn.mBind));
  mSockets->mWakeIn.bind(kWakeAddress);
  mSockets->mWakeOut.connect(kWakeAddress);
  mThread = std::thread([this] { Run(); });
}

Peers::~Peers()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
    Wake();
  }
  mThread.join();
}

// Called with the lock held: a ZeroMQ socket may only be used by one thread at
// a time.
void Peers::Wake()
{
  (void)SendNow(mSockets->mWakeOut, zmq::str_buffer(""));
}

void Peers::Send(const std::string& aAddress, std::string aMessage)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mStopping || mQueue.size() >= kQueueLimit) {
    return;
  }
  mQueue.push_back({ aAddress, std::move(aMessage), Clock::now() });
  if (mQueue.size() == 1) {
    Wake();
  }
}

// Waits for two iterations: the current one may have begun before the call.
bool Peers::WaitForIteration(std::chrono::microseconds aTimeout)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const std::uint64_t target = mIterations + 2;
  Wake();
  return mIterationDone.wait_for(lock, aTimeout, [&] {
    if (mIterations + 1 == target) {
      Wake();
    }
    return mIterations >= target || mStopping;
  });
}

std::chrono::microseconds Peers::TakeLongestQueueTime()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  RecordQueueTime(mQueue);
  return std::exchange(mLongestQueueTime, std::chrono::microseconds(0));
}

void Peers::RecordQueueTime(const std::deque<Queued>& aQueue)
{
  if (!aQueue.empty()) {
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - aQueue.front().mQueuedAt);
    mLongestQueueTime = std::max(mLongestQueueTime, wait);
  }
}

// Messages are lost if a peer is unreachable for long enough to fill its queue,
// or no descriptor is free for it; all protocols on top recover from that.
void Peers::SendOnOutgoing(const std::string& aAddress,
                           const std::string& aBytes)
{
  try {
    (void)SendNow(mSockets->OutgoingSocket(aAddress), zmq::buffer(aBytes));
  } catch (const zmq::error_t& error) {
    if (error.num() != EMFILE && error.num() != ENFILE) {
      throw;
    }
    WriteLog(2,
             "event=message_dropped reason=no_free_descriptor to=" + aAddress);
  }
}

void Peers::SendQueued()
{
  std::deque<Queued> queue;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    queue.swap(mQueue);
    RecordQueueTime(queue);
  }
  for (const auto& [address, bytes, queuedAt] : queue) {
    if (mSockets->SendOnIncoming(address, bytes)) {
      continue;
    }
    SendOnOutgoing(address, bytes);
  }
}

void Peers::Run()
{
  Clock::time_point closeAt = Clock::now() + mUnusedTimeout / kChecksPerTimeout;
  while (true) {
    std::vector<zmq::pollitem_t> items = mSockets->PollItems();
    RetryInterrupted(
      [&] { return zmq::poll(items, mUnusedTimeout / kChecksPerTimeout); });
    if (Clock::now() >= closeAt) {
      mSockets->CloseUnused(mUnusedTimeout);
      closeAt = Clock::now() + mUnusedTimeout / kChecksPerTimeout;
    }
    zmq::message_t wakeup;
    while (ReceiveNow(mSockets->mWakeIn, wakeup)) {
    }
    SendQueued();
    mSockets->Receive([this](const zmq::message_t& aMessage) {
      mHandler({ static_cast<const char*>(aMessage.data()), aMessage.size() });
    });
    mOutgoingCount = mSockets->mOutgoing.size();
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mIterations;
    mIterationDone.notify_all();
    if (mStopping && mQueue.empty()) {
      return;
    }
  }
}

} // namespace geraniumpond::edge
