#pragma once

#include <geraniumpond/impl/wire.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace geraniumpond::edge {

/// \brief Messages between hosts over ZeroMQ: one socket in, one per peer out.
///
/// Each direction has a connection of its own, with heartbeats that replace a
/// connection that has gone silent.
class Peers
{
public:
  using Handler = std::function<void(wire::PeerMessage)>;

  Peers(const std::string& aListen, Handler aHandler);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  ~Peers();

  /// \brief Queues a message; never blocks.
  void Send(const std::string& aAddress, const wire::PeerMessage& aMessage);

private:
  struct Sockets;

  void Run();
  void Wake();
  void SendQueued();

  Handler mHandler;
  std::unique_ptr<Sockets> mSockets;
  std::mutex mMutex;
  std::deque<std::pair<std::string, std::string>> mQueue;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace geraniumpond::edge
