#pragma once

#include "event_loop.h"

#include <geraniumpond/budget.h>

#include <cstddef>
#include <deque>

namespace geraniumpond::frontend {

/// \brief Divides one direction of a host's link between large answers and
/// everything else.
///
/// What a socket has accepted cannot be overtaken any more, and a target sends
/// as much as its connection's buffers hold. Large answers are therefore sent
/// and read in small pieces, at less than the link's speed and in turn, so that
/// small answers, requests to targets and probes find the link almost free.
class LinkPacer
{
public:
  explicit LinkPacer(double aBytesPerSecond);

  /// \brief True for an answer that would occupy the link for long.
  [[nodiscard]] bool IsLarge(std::size_t aBytes) const noexcept;
  /// \brief Bytes of an answer after which it is taken for a large one.
  [[nodiscard]] std::size_t SmallBytes() const noexcept;
  /// \brief Size of the receive buffer of a connection whose peer may send
  /// large answers; 0 to leave it as it is.
  [[nodiscard]] int ReceiveBufferBytes() const noexcept;

  /// \brief Bytes of a large answer that may be transferred now, at most
  /// `aWanted`. If there are none, the handler's OnWritable() is called when
  /// there are.
  [[nodiscard]] std::size_t Take(Handler& aHandler, std::size_t aWanted);
  /// \brief Returns bytes that were not transferred.
  void Return(std::size_t aBytes) noexcept;
  /// \brief Forgets a handler that waits.
  void Remove(Handler& aHandler);

  /// \brief Calls handlers that wait and may go on. Cheap enough for every
  /// iteration of the loop.
  void Tick(Micros aNow);
  /// \brief Earliest time at which Tick() has something to do.
  [[nodiscard]] Micros NextTick() const noexcept;

private:
  double mBytesPerSecond = 0;
  budget::TokenBucket mBucket;
  Micros mNow = 0;
  std::deque<Handler*> mWaiting;
};

} // namespace geraniumpond::frontend
