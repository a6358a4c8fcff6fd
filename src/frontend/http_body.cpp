#include "http_message.h"

#include <algorithm>
#include <charconv>
#include <optional>

// Reads bodies delimited by length, chunks or the connection's end.
namespace geraniumpond::frontend {

namespace {

constexpr std::size_t kMaxChunkLine = 4096;
constexpr std::size_t kMaxChunkDigits = 15;
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxTrailerBytes = 64 * 1024;
/// Body whose buffer is made as large as it may get.
constexpr std::size_t kLargeBody = 64 * 1024;
/// Beyond this a buffer grows by a quarter at a time.
constexpr std::uint64_t kMaxReserved = 256ULL * 1024 * 1024;

// Hexadecimal digits, which spaces and an extension may follow.
std::optional<std::uint64_t> ParseChunkSize(std::string_view aLine)
{
  const std::size_t end = std::min(aLine.find_first_of("; \t"), aLine.size());
  const std::string_view rest = aLine.substr(end);
  const std::size_t next = rest.find_first_not_of(" \t");
  std::uint64_t size = 0;
  const auto read =
    std::from_chars(aLine.data(), aLine.data() + end, size, kHexadecimal);
  const bool isValid = end > 0 && end <= kMaxChunkDigits &&
                       read.ec == std::errc() &&
                       read.ptr == aLine.data() + end &&
                       (next == std::string_view::npos || rest[next] == ';');
  return isValid ? std::optional<std::uint64_t>(size) : std::nullopt;
}

// What is left of a line that is not whole yet is bounded.
ReadStatus PartialLine(std::string_view aBytes)
{
  return aBytes.size() > kMaxChunkLine ? ReadStatus::Malformed
                                       : ReadStatus::Partial;
}

} // namespace

void BodyReader::Start(Framing aFraming,
                       std::uint64_t aLength,
                       std::uint64_t aMost)
{
  mFraming = aFraming;
  mRemaining = aLength;
  mMost = aFraming == Framing::Length ? aLength : aMost;
  mTrailerBytes = 0;
  mPart = ChunkPart::Size;
}

// A buffer that grows holds the body twice while it is moved. Room that is made
// at once takes memory only as far as it is written to.
void BodyReader::Append(std::string_view aBytes, std::string& aBody) const
{
  const std::size_t size = aBody.size() + aBytes.size();
  if (size > aBody.capacity() && size > kLargeBody) {
    const std::uint64_t most = mMost <= kMaxReserved ? mMost : size + size / 4;
    aBody.reserve(std::max<std::uint64_t>(size, most));
  }
  aBody += aBytes;
}

ReadStatus BodyReader::Feed(std::string& aBuffer, std::string& aBody)
{
  switch (mFraming) {
    case Framing::None:
      return ReadStatus::Complete;
    case Framing::UntilClose:
      Append(aBuffer, aBody);
      aBuffer.clear();
      return ReadStatus::Partial;
    case Framing::Chunked: {
      // What was read leaves the buffer once: there may be many small chunks.
      std::string_view bytes = aBuffer;
      const ReadStatus status = FeedChunked(bytes, aBody);
      aBuffer.erase(0, aBuffer.size() - bytes.size());
      return status;
    }
    case Framing::Length:
      break;
  }
  const auto take = static_cast<std::size_t>(
    std::min<std::uint64_t>(mRemaining, aBuffer.size()));
  Append(std::string_view(aBuffer).substr(0, take), aBody);
  aBuffer.erase(0, take);
  mRemaining -= take;
  return mRemaining == 0 ? ReadStatus::Complete : ReadStatus::Partial;
}

ReadStatus BodyReader::ReadChunkSize(std::string_view& aBytes)
{
  const std::size_t end = aBytes.find("\r\n");
  if (end == std::string_view::npos) {
    return PartialLine(aBytes);
  }
  const std::string_view line = aBytes.substr(0, end);
  const std::optional<std::uint64_t> size = ParseChunkSize(line);
  if (!size) {
    return ReadStatus::Malformed;
  }
  aBytes.remove_prefix(end + 2);
  mRemaining = *size;
  mPart = *size == 0 ? ChunkPart::Trailer : ChunkPart::Data;
  return ReadStatus::Complete;
}

ReadStatus BodyReader::ReadChunkEnd(std::string_view& aBytes)
{
  if (aBytes.size() < 2) {
    return ReadStatus::Partial;
  }
  if (aBytes.compare(0, 2, "\r\n") != 0) {
    return ReadStatus::Malformed;
  }
  aBytes.remove_prefix(2);
  mPart = ChunkPart::Size;
  return ReadStatus::Complete;
}

// Complete after the empty line that ends the trailer.
ReadStatus BodyReader::SkipTrailer(std::string_view& aBytes)
{
  while (mTrailerBytes <= kMaxTrailerBytes) {
    const std::size_t end = aBytes.find("\r\n");
    if (end == std::string_view::npos) {
      return PartialLine(aBytes);
    }
    aBytes.remove_prefix(end + 2);
    mTrailerBytes += end + 2;
    if (end == 0) {
      return ReadStatus::Complete;
    }
  }
  return ReadStatus::Malformed;
}

ReadStatus BodyReader::FeedChunked(std::string_view& aBytes, std::string& aBody)
{
  while (mPart != ChunkPart::Trailer) {
    if (mPart == ChunkPart::Data) {
      const auto take = static_cast<std::size_t>(
        std::min<std::uint64_t>(mRemaining, aBytes.size()));
      Append(aBytes.substr(0, take), aBody);
      aBytes.remove_prefix(take);
      mRemaining -= take;
      if (mRemaining > 0) {
        return ReadStatus::Partial;
      }
      mPart = ChunkPart::DataEnd;
    }
    const ReadStatus status = mPart == ChunkPart::DataEnd
                                ? ReadChunkEnd(aBytes)
                                : ReadChunkSize(aBytes);
    if (status != ReadStatus::Complete) {
      return status;
    }
  }
  return SkipTrailer(aBytes);
}

} // namespace geraniumpond::frontend
