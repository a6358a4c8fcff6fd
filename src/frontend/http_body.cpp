#include "http_message.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

// Reads bodies delimited by length, chunks or the connection's end.
namespace geraniumpond::frontend {

namespace {

constexpr std::size_t kMaxChunkLine = 4096;

} // namespace

void BodyReader::Start(Framing aFraming, std::uint64_t aLength)
{
  mFraming = aFraming;
  mRemaining = aLength;
  mPart = ChunkPart::Size;
}

ReadStatus BodyReader::Feed(std::string& aBuffer, std::string& aBody)
{
  switch (mFraming) {
    case Framing::None:
      return ReadStatus::Complete;
    case Framing::UntilClose:
      aBody += aBuffer;
      aBuffer.clear();
      return ReadStatus::Partial;
    case Framing::Chunked:
      return FeedChunked(aBuffer, aBody);
    case Framing::Length:
      break;
  }
  const auto take = static_cast<std::size_t>(
    std::min<std::uint64_t>(mRemaining, aBuffer.size()));
  aBody.append(aBuffer, 0, take);
  aBuffer.erase(0, take);
  mRemaining -= take;
  return mRemaining == 0 ? ReadStatus::Complete : ReadStatus::Partial;
}

ReadStatus BodyReader::ReadChunkSize(std::string& aBuffer)
{
  const std::size_t end = aBuffer.find("\r\n");
  if (end == std::string::npos) {
    return aBuffer.size() > kMaxChunkLine ? ReadStatus::Malformed
                                          : ReadStatus::Partial;
  }
  const std::string digits =
    Poco::trim(aBuffer.substr(0, std::min(end, aBuffer.find(';'))));
  Poco::UInt64 size = 0;
  const bool valid = !digits.empty() && digits.size() <= 15 &&
                     std::isxdigit(static_cast<unsigned char>(digits[0])) != 0;
  if (!valid || !Poco::NumberParser::tryParseHex64(digits, size)) {
    return ReadStatus::Malformed;
  }
  aBuffer.erase(0, end + 2);
  mRemaining = size;
  mPart = size == 0 ? ChunkPart::Trailer : ChunkPart::Data;
  return ReadStatus::Complete;
}

ReadStatus BodyReader::SkipTrailerLine(std::string& aBuffer)
{
  const std::size_t end = aBuffer.find("\r\n");
  if (end == std::string::npos) {
    return aBuffer.size() > kMaxChunkLine ? ReadStatus::Malformed
                                          : ReadStatus::Partial;
  }
  aBuffer.erase(0, end + 2);
  return end == 0 ? ReadStatus::Complete : ReadStatus::Partial;
}

ReadStatus BodyReader::FeedChunked(std::string& aBuffer, std::string& aBody)
{
  while (true) {
    if (mPart == ChunkPart::Size) {
      const ReadStatus status = ReadChunkSize(aBuffer);
      if (status != ReadStatus::Complete) {
        return status;
      }
    }
    if (mPart == ChunkPart::Data) {
      const auto take = static_cast<std::size_t>(
        std::min<std::uint64_t>(mRemaining, aBuffer.size()));
      aBody.append(aBuffer, 0, take);
      aBuffer.erase(0, take);
      mRemaining -= take;
      if (mRemaining > 0) {
        return ReadStatus::Partial;
      }
      mPart = ChunkPart::DataEnd;
    }
    if (mPart == ChunkPart::DataEnd) {
      if (aBuffer.size() < 2) {
        return ReadStatus::Partial;
      }
      if (aBuffer.compare(0, 2, "\r\n") != 0) {
        return ReadStatus::Malformed;
      }
      aBuffer.erase(0, 2);
      mPart = ChunkPart::Size;
    }
    if (mPart == ChunkPart::Trailer) {
      const std::size_t before = aBuffer.size();
      const ReadStatus status = SkipTrailerLine(aBuffer);
      if (status != ReadStatus::Partial || aBuffer.size() == before) {
        return status;
      }
    }
  }
}

} // namespace geraniumpond::frontend
