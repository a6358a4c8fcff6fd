#include <geraniumpond/accounts.h>

#include <Poco/SHA1Engine.h>

#include <algorithm>
#include <cstring>

namespace geraniumpond::accounts {

KeyDigest DigestOf(std::string_view aKey)
{
  Poco::SHA1Engine engine;
  engine.update(aKey.data(), aKey.size());
  const Poco::DigestEngine::Digest& whole = engine.digest();
  KeyDigest digest{};
  std::copy_n(whole.begin(), digest.size(), digest.begin());
  return digest;
}

std::size_t KeyDigestHash::operator()(const KeyDigest& aDigest) const noexcept
{
  std::size_t word = 0;
  std::memcpy(&word, aDigest.data(), sizeof(word));
  return word;
}

const Account* FindByKey(const Book& aBook, const KeyDigest& aKey) noexcept
{
  const auto found = aBook.mByKey.find(aKey);
  return found == aBook.mByKey.end() ? nullptr
                                     : &aBook.mAccounts[found->second];
}

const Account* FindByName(const Book& aBook, const std::string& aName) noexcept
{
  const auto found = aBook.mByName.find(aName);
  return found == aBook.mByName.end() ? nullptr
                                      : &aBook.mAccounts[found->second];
}

} // namespace geraniumpond::accounts
