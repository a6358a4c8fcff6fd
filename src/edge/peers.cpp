#include "peers.h"

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
// and messages would still wait for it when the host is back. A round trip
// between regions takes 70 ms.
constexpr int kConnectTimeoutMs = 100;
constexpr int kLingerMs = 100;
// Heartbeats detect a dead connection within this time.
constexpr std::chrono::milliseconds kHeardLately{ kHeartbeatTimeoutMs };
// Limit of messages queued per peer. A peer that was unreachable requests what
// it missed.
constexpr int kHighWater = 1000;
// With a receive high-water mark, ZeroMQ stops reading a connection, including
// its heartbeats, while the receiver is behind. It then drops the connection,
// attaches the full queue to a new one and aborts the process when the receiver
// continues. No limit is needed here: the receiver only passes messages on to
// an inbox that is bounded.
constexpr int kNoReceiveMark = 0;
constexpr std::size_t kQueueLimit = 100000;
constexpr std::int64_t kMaxMessageBytes = 256LL * 1024 * 1024;
// Checks for unused connections per unused-connection timeout.
constexpr int kLooksPerUnused = 4;
constexpr const char* kWakeAddress = "inproc://wake";

// Retries a call that a signal interrupted, which also happens when a stopped
// process continues; this is no failure.
template<class Call>
auto Uninterrupted(const Call& aCall)
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
  return Uninterrupted(
    [&] { return aSocket.recv(aMessage, zmq::recv_flags::dontwait); });
}

template<class Buffer>
auto SendNow(zmq::socket_t& aSocket,
             const Buffer& aBuffer,
             zmq::send_flags aFlags = zmq::send_flags::none)
{
  return Uninterrupted(
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
  aSocket.set(zmq::sockopt::sndhwm, kHighWater);
  aSocket.set(zmq::sockopt::rcvhwm, kNoReceiveMark);
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
  zmq::socket_t mIn{ mContext, zmq::socket_type::router };
  zmq::socket_t mWakeOut{ mContext, zmq::socket_type::pair };
  zmq::socket_t mWakeIn{ mContext, zmq::socket_type::pair };
  struct Connection
  {
    zmq::socket_t mSocket;
    Clock::time_point mSentAt;
  };
  std::map<std::string, Connection> mOut;
  /// When a message last arrived on the connection that a peer opened.
  std::map<std::string, Clock::time_point> mHeardAt;

  zmq::socket_t& To(const std::string& aAddress)
  {
    const auto found = mOut.find(aAddress);
    if (found != mOut.end()) {
      found->second.mSentAt = Clock::now();
      return found->second.mSocket;
    }
    zmq::socket_t socket(mContext, zmq::socket_type::dealer);
    SetOptions(socket);
    socket.set(zmq::sockopt::routing_id, mOwnAddress);
    socket.connect("tcp://" + aAddress);
    Connection connection{ std::move(socket), Clock::now() };
    return mOut.emplace(aAddress, std::move(connection)).first->second.mSocket;
  }

  // Every loop iteration polls all connections, and each one sends heartbeats.
  void CloseUnused(std::chrono::milliseconds aUnused)
  {
    const Clock::time_point now = Clock::now();
    for (auto it = mOut.begin(); it != mOut.end();) {
      it = now - it->second.mSentAt > aUnused ? mOut.erase(it) : std::next(it);
    }
    for (auto it = mHeardAt.begin(); it != mHeardAt.end();) {
      it = now - it->second > kHeardLately ? mHeardAt.erase(it) : std::next(it);
    }
  }

  // Sends on the connection that the peer opened; false if there is none. This
  // reaches a peer that has just started at once, while an outgoing connect
  // that began before the start hangs until it times out.
  bool Return(const std::string& aAddress, const std::string& aBytes)
  {
    const auto heard = mHeardAt.find(aAddress);
    if (heard == mHeardAt.end() ||
        Clock::now() - heard->second > kHeardLately) {
      return false;
    }
    try {
      const auto head =
        SendNow(mIn, zmq::buffer(aAddress), zmq::send_flags::sndmore);
      return head && SendNow(mIn, zmq::buffer(aBytes));
    } catch (const zmq::error_t&) {
      // The peer has closed that connection.
      mHeardAt.erase(heard);
      return false;
    }
  }

  std::vector<zmq::pollitem_t> PollItems()
  {
    std::vector<zmq::pollitem_t> items = {
      { mIn.handle(), 0, ZMQ_POLLIN, 0 }, { mWakeIn.handle(), 0, ZMQ_POLLIN, 0 }
    };
    for (auto& [address, connection] : mOut) {
      items.push_back({ connection.mSocket.handle(), 0, ZMQ_POLLIN, 0 });
    }
    return items;
  }

  template<class Take>
  void Receive(const Take& aTake)
  {
    zmq::message_t message;
    std::string from;
    while (ReceiveNow(mIn, message)) {
      if (message.more()) {
        from = message.to_string();
        continue;
      }
      mHeardAt[from] = Clock::now();
      aTake(message);
    }
    for (auto& [address, connection] : mOut) {
      while (ReceiveNow(connection.mSocket, message)) {
        aTake(message);
      }
    }
  }
};

Peers::Peers(const PeerAddresses& aOwn,
             Handler aHandler,
             std::chrono::milliseconds aUnused)
  : mHandler(std::move(aHandler))
  , mUnused(aUnused)
  , mSockets(std::make_unique<Sockets>(aOwn.mTold))
{
  SetOptions(mSockets->mIn);
  // Report unreachable peers as errors, and let a peer that reconnects take
  // over its routing id.
  mSockets->mIn.set(zmq::sockopt::router_mandatory, true);
  mSockets->mIn.set(zmq::sockopt::router_handover, true);
  mSockets->mIn.bind("tcp://" +
                     (aOwn.mBound.empty() ? aOwn.mTold : aOwn.mBound));
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
bool Peers::WaitForTurn(std::chrono::microseconds aMost)
{
  std::unique_lock<std::mutex> lock(mMutex);
  const std::uint64_t wanted = mTurns + 2;
  Wake();
  return mTurned.wait_for(lock, aMost, [&] {
    if (mTurns + 1 == wanted) {
      Wake();
    }
    return mTurns >= wanted || mStopping;
  });
}

std::chrono::microseconds Peers::TakeLongestWait()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  NoteWait(mQueue);
  return std::exchange(mLongestWait, std::chrono::microseconds(0));
}

void Peers::NoteWait(const std::deque<Queued>& aQueue)
{
  if (!aQueue.empty()) {
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - aQueue.front().mAt);
    mLongestWait = std::max(mLongestWait, wait);
  }
}

void Peers::SendQueued()
{
  std::deque<Queued> queue;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    queue.swap(mQueue);
    NoteWait(queue);
  }
  for (const auto& [address, bytes, at] : queue) {
    if (mSockets->Return(address, bytes)) {
      continue;
    }
    // Messages are lost if a peer is unreachable for long enough to fill its
    // queue; all protocols on top recover from that.
    (void)SendNow(mSockets->To(address), zmq::buffer(bytes));
  }
}

void Peers::Run()
{
  Clock::time_point closeAt = Clock::now() + mUnused / kLooksPerUnused;
  while (true) {
    std::vector<zmq::pollitem_t> items = mSockets->PollItems();
    Uninterrupted([&] { return zmq::poll(items, mUnused / kLooksPerUnused); });
    if (Clock::now() >= closeAt) {
      mSockets->CloseUnused(mUnused);
      closeAt = Clock::now() + mUnused / kLooksPerUnused;
    }
    zmq::message_t woken;
    while (ReceiveNow(mSockets->mWakeIn, woken)) {
    }
    SendQueued();
    mSockets->Receive([this](const zmq::message_t& aMessage) {
      mHandler({ static_cast<const char*>(aMessage.data()), aMessage.size() });
    });
    mOpened = mSockets->mOut.size();
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mTurns;
    mTurned.notify_all();
    if (mStopping && mQueue.empty()) {
      return;
    }
  }
}

} // namespace geraniumpond::edge
