#pragma once

#include "header_fields.h"

#include <geraniumpond/hash.h>
#include <geraniumpond/policy.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace geraniumpond::frontend {

/// \brief A complete request.
struct HttpRequest
{
  std::string mMethod;
  /// Path and query as received.
  std::string mTarget;
  HeaderFields mFields;
  std::string mBody;
  /// Hash64 of the body; 0 if it is empty.
  std::uint64_t mBodyDigest = 0;
  bool mKeepAlive = true;
  /// Address that the connection comes from, without the port; set by the
  /// server.
  std::string mSender;
  /// Time of day shortly before its connection was opened.
  Micros mOpenedAt = 0;
  /// Step of this host after which it was sent: the last one known before its
  /// connection was opened, or that of the last answer on it.
  std::uint64_t mSentAfterStep = 0;
};

/// \brief A complete response.
struct HttpResponse
{
  int mStatus = 0;
  std::string mReason;
  HeaderFields mFields;
  std::string mBody;
  /// The connection can carry another request.
  bool mKeepAlive = true;
  /// Seconds for which the peer keeps an idle connection open; 0 if not stated.
  int mKeepAliveSeconds = 0;
};

/// \brief Outcome of reading a message.
enum class ReadStatus
{
  /// More bytes are needed.
  Partial,
  Complete,
  Malformed,
  /// The body of a response is larger than it may be.
  TooLarge
};

/// \brief Reads a body delimited by length, chunks or the connection's end.
class BodyReader
{
public:
  enum class Framing
  {
    None,
    Length,
    Chunked,
    UntilClose
  };

  /// \brief Starts a body of `aLength` bytes if that is known, and of `aMost`
  /// at most.
  void Start(Framing aFraming, std::uint64_t aLength, std::uint64_t aMost);

  /// \brief Moves body bytes from the front of the buffer to the body.
  [[nodiscard]] ReadStatus Feed(std::string& aBuffer, std::string& aBody);

  [[nodiscard]] Framing Kind() const noexcept { return mFraming; }

private:
  enum class ChunkPart
  {
    Size,
    Data,
    DataEnd,
    Trailer
  };

  /// \brief Reads chunks, and moves `aBytes` behind what was read.
  [[nodiscard]] ReadStatus FeedChunked(std::string_view& aBytes,
                                       std::string& aBody);
  void Append(std::string_view aBytes, std::string& aBody) const;
  [[nodiscard]] ReadStatus ReadChunkSize(std::string_view& aBytes);
  [[nodiscard]] ReadStatus ReadChunkEnd(std::string_view& aBytes);
  [[nodiscard]] ReadStatus SkipTrailer(std::string_view& aBytes);

  Framing mFraming = Framing::None;
  std::uint64_t mRemaining = 0;
  std::uint64_t mMost = 0;
  std::size_t mTrailerBytes = 0;
  ChunkPart mPart = ChunkPart::Size;
};

/// \brief Reads successive requests from the bytes of one connection.
class RequestReader
{
public:
  /// \brief Consumes a request from the front of the buffer.
  [[nodiscard]] ReadStatus Read(std::string& aBuffer,
                                const policy::RequestLimits& aLimits);

  /// \brief Forgets what was read, and gives its memory back.
  void Reset();

  /// \brief Returns the request after Read() returned Complete.
  [[nodiscard]] HttpRequest Take();

  /// \brief Status code and reason with which to reject a malformed request.
  [[nodiscard]] int ErrorStatus() const noexcept { return mErrorStatus; }
  [[nodiscard]] const std::string& ErrorReason() const noexcept
  {
    return mErrorReason;
  }
  [[nodiscard]] bool InBody() const noexcept { return mHaveHead; }
  /// \brief Bytes of the request that is being read.
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept
  {
    return mHaveHead ? mHeadBytes + mRequest.mBody.size() : 0;
  }
  /// \brief The request as far as it has been read, while InBody().
  [[nodiscard]] const HttpRequest& Request() const noexcept { return mRequest; }
  /// \brief True if the client waits for 100 Continue; true once per request.
  [[nodiscard]] bool TakeExpectContinue() noexcept;

private:
  ReadStatus Reject(int aStatus, std::string aReason);
  [[nodiscard]] ReadStatus ReadHead(std::string& aBuffer,
                                    const policy::RequestLimits& aLimits);
  [[nodiscard]] ReadStatus StartBody(const policy::RequestLimits& aLimits);
  void HashNewBytes();

  HttpRequest mRequest;
  BodyReader mBody;
  /// Hashes the body as it arrives; empty if there is no body.
  std::optional<Hasher> mHasher;
  std::size_t mHashedBytes = 0;
  std::size_t mHeadBytes = 0;
  bool mHaveHead = false;
  bool mExpectsContinue = false;
  int mErrorStatus = 400;
  std::string mErrorReason;
};

/// \brief Reads successive responses from the bytes of one connection.
class ResponseReader
{
public:
  /// \brief Bounds the bodies of the responses that follow.
  void SetMaxBody(std::uint64_t aBytes) noexcept { mMaxBody = aBytes; }

  [[nodiscard]] ReadStatus Read(std::string& aBuffer, bool aHeadOnly);

  /// \brief Handles an orderly end of the connection; Complete if the end
  /// delimits the body.
  [[nodiscard]] ReadStatus OnConnectionEnd();

  [[nodiscard]] HttpResponse Take();
  [[nodiscard]] bool Started() const noexcept { return mHaveHead; }
  /// \brief Bytes of the body that have been read.
  [[nodiscard]] std::size_t BodyBytes() const noexcept
  {
    return mResponse.mBody.size();
  }

private:
  [[nodiscard]] ReadStatus ReadHead(std::string& aBuffer, bool aHeadOnly);

  HttpResponse mResponse;
  BodyReader mBody;
  std::uint64_t mMaxBody = std::numeric_limits<std::uint64_t>::max();
  int mInterimResponses = 0;
  bool mHaveHead = false;
};

/// \brief Serializes a response with its Content-Length.
[[nodiscard]] std::string Serialize(const HttpResponse& aResponse,
                                    bool aClose,
                                    bool aHeadOnly);

/// \brief Builds a response of the host itself.
[[nodiscard]] HttpResponse MakeResponse(int aStatus,
                                        std::string aType,
                                        std::string aBody);

} // namespace geraniumpond::frontend
