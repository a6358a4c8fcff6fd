#pragma once

#include <geraniumpond/time.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Takes what happens on a descriptor.
class Handler
{
public:
  Handler() = default;
  Handler(const Handler&) = delete;
  Handler& operator=(const Handler&) = delete;
  virtual ~Handler() = default;
  virtual void OnReadable() = 0;
  /// \brief The other side has closed its direction; comes before OnReadable().
  virtual void OnPeerClosed() {}
  virtual void OnWritable() = 0;
};

/// \brief Waits for descriptors, a time, and calls from other threads.
///
/// POCO's PollSet cannot be woken from another thread in the packaged version,
/// and returns a map of sockets from every wait.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Add(int aDescriptor, Handler& aHandler);
  /// \brief Also waits until the descriptor takes bytes.
  void WatchWritable(int aDescriptor, Handler& aHandler, bool aWatch);
  /// \brief A paused descriptor is not read.
  void PauseReading(int aDescriptor, Handler& aHandler, bool aPaused);
  void Remove(int aDescriptor, Handler& aHandler);

  /// \brief Ends a wait of Run(); may be called by any thread.
  void Wake();

  /// \brief Waits once, until `aUntil` at most, and calls handlers; how many
  /// descriptors were ready.
  std::size_t RunOnce(Micros aNow, Micros aUntil);

private:
  struct Registration
  {
    int mDescriptor = -1;
    std::uint32_t mEvents = 0;
  };
  void SetEvents(int aDescriptor, Handler& aHandler, std::uint32_t aEvents);
  void NotifyHandler(Handler& aHandler, std::uint32_t aEvents);

  int mEpollDescriptor = -1;
  int mWakeDescriptor = -1;
  std::atomic<bool> mWakePending{ false };
  std::unordered_map<Handler*, Registration> mRegistrations;
};

} // namespace geraniumpond::frontend
