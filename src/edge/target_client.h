#pragma once

#include <geraniumpond/time.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace geraniumpond::edge {

/// \brief Result of reading a part of a body.
enum class BodyRead
{
  More,
  Done,
  Broken
};

/// \brief A connection to a target.
///
/// It never reconnects automatically, and it reads answers itself: POCO takes
/// heads and chunked bodies that are cut off or malformed for complete ones.
class TargetSession : public Poco::Net::HTTPClientSession
{
public:
  TargetSession(const std::string& aHost, std::uint16_t aPort);

  /// \brief Connects to the target; throws POCO's exceptions.
  void Connect(Micros aTimeout);

  /// \brief Reads the head of the answer; throws POCO's exceptions unless it is
  /// whole. Bodies are read by ReadBody(): the stream is empty.
  std::istream& receiveResponse(Poco::Net::HTTPResponse& aResponse) override;

  /// \brief Prepares to read the body described by the response head; false
  /// unless its framing is Content-Length, chunked or no body.
  [[nodiscard]] bool StartBody(const Poco::Net::HTTPResponse& aResponse,
                               bool aHeadOnly);

  /// \brief Reads part of the body; `aSize` is the buffer size on entry and the
  /// number of bytes read on return.
  [[nodiscard]] BodyRead ReadBody(char* aBuffer, std::size_t& aSize);

  /// \brief True if the connection can be used for another request.
  [[nodiscard]] bool Reusable() const;

  /// \brief True after a refusal. Targets' answers name no request, so that a
  /// late copy of it would pass for the refusal of the next one.
  [[nodiscard]] bool MayRepeatRefusal() const noexcept
  {
    return mMayRepeatRefusal;
  }

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

  /// \brief Reads up to the empty line that ends a head.
  [[nodiscard]] std::string ReadHead();
  /// \brief The next byte; none at the end of the connection.
  [[nodiscard]] std::optional<char> NextByte();
  [[nodiscard]] bool ReadLine(std::string& aLine);
  [[nodiscard]] bool NextChunk();
  [[nodiscard]] bool SkipTrailers();

  std::istringstream mNoBody;
  Framing mFraming = Framing::None;
  std::uint64_t mRemaining = 0;
  bool mInChunk = false;
  bool mReusable = false;
  bool mMayRepeatRefusal = false;
};

/// \brief True for an answer by which a target says that it has not run the
/// request.
[[nodiscard]] bool IsRefusal(const Poco::Net::HTTPResponse& aResponse);

/// \brief What a request asks of an idle connection.
struct SessionNeeds
{
  Micros mMaxIdle = 0;
  bool mNoRepeatedRefusal = false;
};

/// \brief Pool of idle connections by target address.
class SessionPool
{
public:
  /// \brief Returns the open connection used last of those that meet the needs,
  /// or null.
  [[nodiscard]] std::unique_ptr<TargetSession>
  Acquire(const std::string& aAddress, const SessionNeeds& aNeeds, Micros aNow);
  void Release(const std::string& aAddress,
               std::unique_ptr<TargetSession> aSession,
               Micros aNow);

  /// \brief Closes all idle connections to an address, after a timeout on one.
  void CloseIdle(const std::string& aAddress);

private:
  std::mutex mMutex;
  std::map<std::string, std::vector<std::unique_ptr<TargetSession>>> mIdle;
};

} // namespace geraniumpond::edge
