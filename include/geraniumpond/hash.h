#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace geraniumpond {

/// \brief 64-bit XXH3 hash of a text; the same on every host.
[[nodiscard]] std::uint64_t Hash64(std::string_view aText,
                                   std::uint64_t aSeed = 0) noexcept;

/// \brief Computes Hash64() incrementally.
class Hasher
{
public:
  Hasher();
  ~Hasher();
  Hasher(Hasher&& aOther) noexcept;
  Hasher& operator=(Hasher&& aOther) noexcept;

  void Add(std::string_view aPiece) noexcept;
  [[nodiscard]] std::uint64_t Digest() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// \brief Lower-case hexadecimal SHA-256 of a text.
[[nodiscard]] std::string Sha256Hex(std::string_view aText);

/// \brief CRC-32 of a block of bytes, as stored beside each log record.
[[nodiscard]] std::uint32_t Checksum(std::string_view aBytes) noexcept;

} // namespace geraniumpond
