#include "event_loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace geraniumpond::frontend {

namespace {

constexpr std::size_t kEventsPerWait = 64;
constexpr Micros kLongestWait = 10 * kSecond;
constexpr std::uint32_t kReadEvents = EPOLLIN | EPOLLRDHUP;

std::uint32_t EventsOf(Reading aReading)
{
  switch (aReading) {
    case Reading::Bytes:
      return kReadEvents;
    case Reading::End:
      return EPOLLRDHUP;
    case Reading::Paused:
      break;
  }
  return 0;
}

} // namespace

EventLoop::EventLoop()
  : mEpollDescriptor(::epoll_create1(EPOLL_CLOEXEC))
  , mWakeDescriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = nullptr;
  if (mEpollDescriptor < 0 || mWakeDescriptor < 0 ||
      ::epoll_ctl(mEpollDescriptor, EPOLL_CTL_ADD, mWakeDescriptor, &event) !=
        0) {
    throw std::runtime_error(
      "event loop: cannot create the epoll or eventfd descriptor");
  }
}

EventLoop::~EventLoop()
{
  ::close(mWakeDescriptor);
  ::close(mEpollDescriptor);
}

void EventLoop::Add(int aDescriptor, Handler& aHandler)
{
  epoll_event event{};
  event.events = kReadEvents;
  event.data.ptr = &aHandler;
  if (::epoll_ctl(mEpollDescriptor, EPOLL_CTL_ADD, aDescriptor, &event) != 0) {
    throw std::runtime_error(
      "event loop: cannot register a descriptor with epoll");
  }
  mRegistrations[&aHandler] = { aDescriptor, kReadEvents };
}

void EventLoop::SetEvents(int aDescriptor,
                          Handler& aHandler,
                          std::uint32_t aEvents)
{
  const auto found = mRegistrations.find(&aHandler);
  if (found == mRegistrations.end() || found->second.mEvents == aEvents) {
    return;
  }
  found->second.mEvents = aEvents;
  epoll_event event{};
  event.events = aEvents;
  event.data.ptr = &aHandler;
  (void)::epoll_ctl(mEpollDescriptor, EPOLL_CTL_MOD, aDescriptor, &event);
}

void EventLoop::WatchWritable(int aDescriptor, Handler& aHandler, bool aWatch)
{
  const auto found = mRegistrations.find(&aHandler);
  if (found != mRegistrations.end()) {
    const std::uint32_t events = found->second.mEvents;
    SetEvents(
      aDescriptor, aHandler, aWatch ? events | EPOLLOUT : events & ~EPOLLOUT);
  }
}

void EventLoop::WatchReading(int aDescriptor,
                             Handler& aHandler,
                             Reading aReading)
{
  const auto found = mRegistrations.find(&aHandler);
  if (found != mRegistrations.end()) {
    const std::uint32_t others = found->second.mEvents & ~kReadEvents;
    SetEvents(aDescriptor, aHandler, others | EventsOf(aReading));
  }
}

void EventLoop::Remove(int aDescriptor, Handler& aHandler)
{
  if (mRegistrations.erase(&aHandler) != 0) {
    (void)::epoll_ctl(mEpollDescriptor, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

void EventLoop::Wake()
{
  if (!mWakePending.exchange(true)) {
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, which wakes the loop as
    // well.
    (void)!::write(mWakeDescriptor, &one, sizeof(one));
  }
}

void EventLoop::NotifyHandler(Handler& aHandler, std::uint32_t aEvents)
{
  const auto isRegistered = [&] {
    return mRegistrations.count(&aHandler) != 0;
  };
  if (isRegistered() && (aEvents & EPOLLOUT) != 0) {
    aHandler.OnWritable();
  }
  if (isRegistered() && (aEvents & EPOLLRDHUP) != 0) {
    aHandler.OnPeerClosed();
  }
  if (isRegistered() && (aEvents & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
    aHandler.OnReadable();
  }
}

std::size_t EventLoop::RunOnce(Micros aNow, Micros aUntil)
{
  const Micros wait = std::clamp<Micros>(aUntil - aNow, 0, kLongestWait);
  const auto milliseconds =
    static_cast<int>((wait + kMillisecond - 1) / kMillisecond);
  std::array<epoll_event, kEventsPerWait> events{};
  const int count = ::epoll_wait(mEpollDescriptor,
                                 events.data(),
                                 static_cast<int>(events.size()),
                                 milliseconds);
  if (count < 0 && errno != EINTR) {
    throw std::runtime_error("event loop: epoll_wait failed");
  }
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    if (event.data.ptr == nullptr) {
      std::uint64_t counter = 0;
      (void)!::read(mWakeDescriptor, &counter, sizeof(counter));
      mWakePending = false;
      continue;
    }
    NotifyHandler(*static_cast<Handler*>(event.data.ptr), event.events);
  }
  return static_cast<std::size_t>(std::max(0, count));
}

} // namespace geraniumpond::frontend
