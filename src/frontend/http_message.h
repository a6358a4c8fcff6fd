#pragma once

#include <geraniumpond/hash.h>
#include <geraniumpond/policy.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumpond::frontend {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// \brief True for names that differ in case only.
[[nodiscard]] bool EqualIgnoringCase(std::string_view aLeft,
                                     std::string_view aRight);

/// \brief First value of a field, names compared without case; null if absent.
[[nodiscard]] const std::string* FindField(const HeaderFields& aFields,
                                           std::string_view aName);

/// \brief True when a comma-separated field names `aToken`.
[[nodiscard]] bool HasToken(const HeaderFields& aFields,
                            std::string_view aName,
                            std::string_view aToken);

/// \brief A whole request.
struct HttpRequest
{
  std::string mMethod;
  /// Path and query as they were sent.
  std::string mTarget;
  HeaderFields mFields;
  std::string mBody;
  /// Of the body.
  std::uint64_t mBodyDigest = 0;
  bool mKeepAlive = true;
};

/// \brief A whole answer.
struct HttpResponse
{
  int mStatus = 0;
  std::string mReason;
  HeaderFields mFields;
  std::string mBody;
  /// The connection can carry another request.
  bool mKeepAlive = true;
  /// Seconds that the other side keeps the connection open; 0 if unsaid.
  int mKeepAliveSeconds = 0;
};

/// \brief How reading a message went.
enum class ReadStatus
{
  /// More bytes are needed.
  Partial,
  Complete,
  Malformed
};

/// \brief Reads bodies: by length, in chunks, or to the connection's end.
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

  void Start(Framing aFraming, std::uint64_t aLength);

  /// \brief Takes what it can from the front of the buffer.
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

  [[nodiscard]] ReadStatus FeedChunked(std::string& aBuffer,
                                       std::string& aBody);
  [[nodiscard]] ReadStatus ReadChunkSize(std::string& aBuffer);
  [[nodiscard]] ReadStatus SkipTrailerLine(std::string& aBuffer);

  Framing mFraming = Framing::None;
  std::uint64_t mRemaining = 0;
  ChunkPart mPart = ChunkPart::Size;
};

/// \brief Reads requests one after the other from one connection's bytes.
class RequestReader
{
public:
  /// \brief Takes a request from the front of the buffer.
  [[nodiscard]] ReadStatus Read(std::string& aBuffer,
                                const policy::RequestLimits& aLimits);

  /// \brief The request after Complete.
  [[nodiscard]] HttpRequest Take();

  /// \brief Status to refuse a malformed request with, and why.
  [[nodiscard]] int ErrorStatus() const noexcept { return mErrorStatus; }
  [[nodiscard]] const std::string& ErrorReason() const noexcept
  {
    return mErrorReason;
  }
  [[nodiscard]] bool InBody() const noexcept { return mHaveHead; }
  /// \brief True once when the client waits for an interim answer.
  [[nodiscard]] bool TakeExpectContinue() noexcept;

private:
  ReadStatus Refuse(int aStatus, std::string aReason);
  [[nodiscard]] ReadStatus ReadHead(std::string& aBuffer,
                                    const policy::RequestLimits& aLimits);
  [[nodiscard]] ReadStatus StartBody(const policy::RequestLimits& aLimits);
  void HashNewBytes();

  HttpRequest mRequest;
  BodyReader mBody;
  /// Of the part of a body that is here; none without one.
  std::optional<Hasher> mHasher;
  std::size_t mHashedBytes = 0;
  bool mHaveHead = false;
  bool mExpectsContinue = false;
  int mErrorStatus = 400;
  std::string mErrorReason;
};

/// \brief Reads one answer after the other from one connection's bytes.
class ResponseReader
{
public:
  [[nodiscard]] ReadStatus Read(std::string& aBuffer, bool aHeadOnly);

  /// \brief The connection has ended in order; Complete if that ends a body.
  [[nodiscard]] ReadStatus End();

  [[nodiscard]] HttpResponse Take();
  [[nodiscard]] bool Started() const noexcept { return mHaveHead; }

private:
  [[nodiscard]] ReadStatus ReadHead(std::string& aBuffer, bool aHeadOnly);

  HttpResponse mResponse;
  BodyReader mBody;
  bool mHaveHead = false;
};

/// \brief True for fields that concern one connection only.
[[nodiscard]] bool IsHopByHopField(const HeaderFields& aFields,
                                   const std::string& aName);

/// \brief An answer as bytes, with its length.
[[nodiscard]] std::string Serialize(const HttpResponse& aResponse,
                                    bool aClose,
                                    bool aHeadOnly);

/// \brief An answer of this host's own.
[[nodiscard]] HttpResponse MakeResponse(int aStatus,
                                        std::string aType,
                                        std::string aBody);

} // namespace geraniumpond::frontend
