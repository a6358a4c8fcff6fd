#include <geraniumpond/hash.h>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <xxhash.h>
#include <zlib.h>

namespace geraniumpond {

std::uint64_t Hash64(std::string_view aText, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string Sha256Hex(std::string_view aText)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aText.data(), aText.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::uint32_t Checksum(std::string_view aBytes) noexcept
{
  const auto* bytes = reinterpret_cast<const Bytef*>(aBytes.data());
  return static_cast<std::uint32_t>(
    crc32_z(crc32_z(0, nullptr, 0), bytes, aBytes.size()));
}

} // namespace geraniumpond
