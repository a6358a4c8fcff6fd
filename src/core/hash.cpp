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

struct Hasher::Impl
{
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> mState{
    XXH3_createState(),
    XXH3_freeState
  };
};

Hasher::Hasher()
  : mImpl(std::make_unique<Impl>())
{
  XXH3_64bits_reset(mImpl->mState.get());
}

Hasher::~Hasher() = default;
Hasher::Hasher(Hasher&& aOther) noexcept = default;
Hasher& Hasher::operator=(Hasher&& aOther) noexcept = default;

void Hasher::Add(std::string_view aPiece) noexcept
{
  XXH3_64bits_update(mImpl->mState.get(), aPiece.data(), aPiece.size());
}

std::uint64_t Hasher::Digest() const noexcept
{
  return XXH3_64bits_digest(mImpl->mState.get());
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
