#pragma once

#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace geraniumpond::crowds {

/// \brief What a client sends: a start, a part that is repeated, and an end.
struct Script
{
  std::string mStart;
  std::string mRepeated;
  std::size_t mTimes = 0;
  std::string mEnd;
  /// Sent again and again once the rest is sent, a piece at a time; empty for a
  /// client that then sends nothing.
  std::string mDrip;
  bool mReadsAnswers = true;
};

/// \brief Clients that all do the same, on a connection each, and stay.
///
/// Played by the thread that calls Play(); every wait is bounded.
class Crowd
{
public:
  Crowd(const Poco::Net::SocketAddress& aTo,
        std::size_t aCount,
        const Script& aScript);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// \brief Plays until all clients have sent what they send, were answered or
  /// closed, or nothing has moved for a while. `aWatch` is called all along.
  void Play(const std::function<void()>& aWatch);
  /// \brief Goes on until a condition holds; false if it does not in the
  /// longest time that a test waits.
  [[nodiscard]] bool PlayUntil(const std::function<bool()>& aCondition);

  /// \brief Clients whose connection the host has not closed.
  [[nodiscard]] std::size_t Open() const;
  /// \brief Clients whose first answer has this status.
  [[nodiscard]] std::size_t Answered(int aStatus) const;

private:
  struct Client
  {
    int mSocket = -1;
    std::size_t mSent = 0;
    std::string mAnswer;
    std::chrono::steady_clock::time_point mDrippedAt;
  };

  /// \brief One round over all clients; true if any of them sent or received.
  bool PlayRound();
  bool Send(Client& aClient);
  bool Drip(Client& aClient);
  bool Receive(Client& aClient);
  void Close(Client& aClient);
  [[nodiscard]] std::string_view Next(std::size_t aSent) const;
  [[nodiscard]] bool IsSettled() const;

  Script mScript;
  std::size_t mSize = 0;
  std::vector<Client> mClients;
};

/// \brief Status of an ordinary request, tried until it is 200 or the longest
/// time that a test waits is over; 0 for no answer.
[[nodiscard]] int OrdinaryRequest(const Poco::Net::SocketAddress& aTo,
                                  const std::string& aRequest);

} // namespace geraniumpond::crowds
