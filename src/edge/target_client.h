#pragma once

#include <geraniumpond/time.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace geraniumpond::edge {

/// \brief How reading a body went.
enum class BodyRead
{
  More,
  Done,
  Broken
};

/// \brief A connection to a target.
///
/// It never reconnects by itself, and it reads bodies itself: POCO takes a
/// malformed or cut-off chunked body for a complete one.
class TargetSession : public Poco::Net::HTTPClientSession
{
public:
  TargetSession(const std::string& aHost, std::uint16_t aPort);

  /// \brief Connects now; throws what POCO throws.
  void Connect(Micros aTimeout);

  /// \brief Starts reading the body that the response head announces; false
  /// when its framing is not one of length, chunked or none.
  [[nodiscard]] bool StartBody(const Poco::Net::HTTPResponse& aResponse,
                               bool aHeadOnly);

  /// \brief Reads some of the body; `aSize` is in and out.
  [[nodiscard]] BodyRead ReadBody(char* aBuffer, std::size_t& aSize);

  /// \brief True when the connection can carry another request.
  [[nodiscard]] bool Reusable() const noexcept { return mReusable; }

  Micros mLastUsed = 0;

protected:
  int write(const char* aBuffer, std::streamsize aLength) override;
  bool mustReconnect() const override;

private:
  enum class Framing
  {
    None,
    Length,
    Chunked
  };

  [[nodiscard]] bool ReadLine(std::string& aLine);
  [[nodiscard]] bool NextChunk();
  [[nodiscard]] bool SkipTrailers();

  Framing mFraming = Framing::None;
  std::uint64_t mRemaining = 0;
  bool mInChunk = false;
  bool mReusable = false;
};

/// \brief Idle connections by target address.
class SessionPool
{
public:
  /// \brief A connection proved alive within `aMaxIdle`, or null.
  [[nodiscard]] std::unique_ptr<TargetSession> Take(const std::string& aAddress,
                                                    Micros aMaxIdle,
                                                    Micros aNow);
  void Give(const std::string& aAddress,
            std::unique_ptr<TargetSession> aSession,
            Micros aNow);

  /// \brief Drops all idle connections to an address: one of them was silent.
  void Suspect(const std::string& aAddress);

private:
  std::mutex mMutex;
  std::map<std::string, std::vector<std::unique_ptr<TargetSession>>> mIdle;
};

} // namespace geraniumpond::edge
