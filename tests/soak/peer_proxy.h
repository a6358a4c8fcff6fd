#pragma once

#include "frontend/event_loop.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// \brief What lies between hosts: forwards their connections, and cuts some.
namespace geraniumpond::soak {

/// \brief Two hosts, by the addresses that they tell each other.
using HostPair = std::pair<std::string, std::string>;

/// \brief Forwards the connections between hosts in one thread.
///
/// Nothing passes between two hosts that are cut off from each other, and
/// nothing says so: connections stay open and silent until the cut ends, and
/// break then.
class PeerProxy
{
public:
  PeerProxy();
  ~PeerProxy();
  PeerProxy(const PeerProxy&) = delete;
  PeerProxy& operator=(const PeerProxy&) = delete;

  /// \brief From now on connections to `aTold` go to `aListens`.
  void Forward(const std::string& aTold, const std::string& aListens);

  /// \brief Cuts these pairs, in both directions, and no others.
  void Cut(const std::set<HostPair>& aPairs);

private:
  class Door;
  class Link;

  void Run();
  void Take(const std::function<void()>& aCall);
  [[nodiscard]] bool IsCut(const std::string& aLeft,
                           const std::string& aRight) const;
  /// \brief The host that a connection's first bytes name; empty for none yet.
  [[nodiscard]] std::string HostNamedIn(const std::string& aBytes) const;

  frontend::EventLoop mLoop;
  std::map<std::string, std::unique_ptr<Door>> mDoors;
  std::map<std::uint64_t, std::unique_ptr<Link>> mLinks;
  std::vector<std::uint64_t> mEnded;
  std::set<HostPair> mCut;
  std::uint64_t mLastLink = 0;

  std::mutex mMutex;
  std::vector<std::function<void()>> mCalls;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace geraniumpond::soak
