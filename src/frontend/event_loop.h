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

/// \brief Receives the events of a descriptor.
class Handler
{
public:
  Handler() = default;
  Handler(const Handler&) = delete;
  Handler& operator=(const Handler&) = delete;
  virtual ~Handler() = default;
  virtual void OnReadable() = 0;
  /// \brief The peer has closed its sending direction; called before
  /// OnReadable().
  virtual void OnPeerClosed() {}
  virtual void OnWritable() = 0;
};

/// \brief What a descriptor is watched for in the direction of its peer's
/// bytes.
enum class Reading
{
  /// Bytes and their end: OnReadable() and OnPeerClosed().
  Bytes,
  /// OnPeerClosed() only.
  End,
  Paused
};

/// \brief Waits for descriptor events, a timeout, or a wake-up by another
/// thread.
///
/// POCO's PollSet cannot be woken by another thread in the packaged version,
/// and builds a map of sockets on every wait.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Add(int aDescriptor, Handler& aHandler);
  /// \brief Enables or disables OnWritable().
  void WatchWritable(int aDescriptor, Handler& aHandler, bool aWatch);
  void WatchReading(int aDescriptor, Handler& aHandler, Reading aReading);
  void Remove(int aDescriptor, Handler& aHandler);

  /// \brief Ends a wait of RunOnce(); may be called from any thread.
  void Wake();

  /// \brief Waits once, until `aUntil` at most, and calls the handlers. Returns
  /// the number of descriptors that were ready.
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
