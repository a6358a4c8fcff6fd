#include <geraniumpond/accounts.h>

#include <geraniumpond/field_text.h>

#include <Poco/SHA1Engine.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace geraniumpond::accounts {

namespace {

/// Largest rate and burst: what counts of requests hold.
constexpr double kMaxAmount = 1e9;

bool IsAmount(double aValue) noexcept
{
  return aValue >= 0 && aValue <= kMaxAmount;
}

// Targets are told the name in a header field.
bool IsName(const std::string& aName)
{
  return !aName.empty() && aName.front() != ' ' && aName.back() != ' ' &&
         aName.find('\t') == std::string::npos && IsFieldText(aName);
}

std::vector<std::string> FaultsOf(const Account& aAccount)
{
  std::vector<std::string> faults;
  if (!IsName(aAccount.mName)) {
    faults.emplace_back("an account without a name that a field can hold");
  }
  if (!IsAmount(aAccount.mPerSecond)) {
    faults.push_back("account " + aAccount.mName +
                     ": the rate is not from 0 to 1e9");
  }
  if (!IsAmount(aAccount.mBurst)) {
    faults.push_back("account " + aAccount.mName +
                     ": the burst is not from 0 to 1e9");
  }
  return faults;
}

} // namespace

std::vector<std::string> Add(Book& aBook,
                             Account aAccount,
                             const std::vector<std::string>& aKeys)
{
  std::vector<std::string> faults = FaultsOf(aAccount);
  const std::size_t index = aBook.mAccounts.size();
  const std::string& name = aAccount.mName;
  if (!aBook.mByName.emplace(name, index).second) {
    faults.push_back("account " + name + ": another account has its name");
  }
  for (const std::string& key : aKeys) {
    if (key.empty()) {
      faults.push_back("account " + name + ": an empty key");
      continue;
    }
    const auto [held, isNew] = aBook.mByKey.emplace(DigestOf(key), index);
    if (!isNew && held->second != index) {
      faults.push_back("account " + name + ": a key that account " +
                       aBook.mAccounts[held->second].mName + " holds");
    }
  }
  aBook.mAccounts.push_back(std::move(aAccount));
  return faults;
}

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
