#pragma once

#include <geraniumpond/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \brief Client accounts: who may send requests, with which keys, how many and
/// how urgent.
///
/// Keys are kept as digests only, so that a look-up costs the same however many
/// there are and no key can get into a log.
namespace geraniumpond::accounts {

using KeyDigest = std::array<std::uint8_t, 16>;

[[nodiscard]] KeyDigest DigestOf(std::string_view aKey);

/// \brief One client account.
struct Account
{
  std::string mName;
  /// Requests per second over all hosts, and how many more may come at once; 0
  /// requests per second for no limit.
  double mPerSecond = 0;
  double mBurst = 0;
  /// Overrides the priority of the route.
  std::optional<int> mPriority;
  /// Regions whose targets may get its requests; empty for all.
  std::vector<std::string> mRegions;
};

/// \brief Hash of a digest, which is uniform already.
struct KeyDigestHash
{
  std::size_t operator()(const KeyDigest& aDigest) const noexcept;
};

/// \brief The accounts of a policy.
struct Book
{
  std::vector<Account> mAccounts;
  /// Index of the account by the digest of a key, and by its name.
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> mByKey;
  std::unordered_map<std::string, std::size_t> mByName;
};

/// \brief Adds an account and its keys. Returns what is wrong with them, in
/// which case the book must not be used; empty if nothing is. No text contains
/// a key.
[[nodiscard]] std::vector<std::string>
Add(Book& aBook, Account aAccount, const std::vector<std::string>& aKeys);

/// \brief The account that holds a key, or null.
[[nodiscard]] const Account* FindByKey(const Book& aBook,
                                       const KeyDigest& aKey) noexcept;

/// \brief The account with this name, or null.
[[nodiscard]] const Account* FindByName(const Book& aBook,
                                        const std::string& aName) noexcept;

/// \brief What a request states about its account.
struct Claim
{
  /// Digest of the key that the client sent; none without a readable key.
  std::optional<KeyDigest> mKey;
  /// Another host of the fleet passed the request on, for this account.
  bool mIsRelayed = false;
  std::string mAccount;
  /// Its route needs no key.
  bool mIsPublic = false;
};

/// \brief Whether a request may be sent to targets.
enum class Verdict
{
  Allowed,
  NoKey,
  UnknownKey,
  /// The host that passed it on names no account that this policy knows.
  UnknownAccount,
};

/// \brief Lower-case name of a verdict, as used in logs and metrics.
[[nodiscard]] const char* ToString(Verdict aVerdict) noexcept;

struct Judgement
{
  Verdict mVerdict = Verdict::Allowed;
  /// The account that the request counts for; null for none.
  const Account* mAccount = nullptr;
};

/// \brief Decides whether a request may be sent, and for which account. Without
/// accounts in the policy, requests need no key.
[[nodiscard]] Judgement Judge(const std::optional<Book>& aBook,
                              const Claim& aClaim) noexcept;

/// \brief Until when a host may accept keys that it knew at the control group's
/// last confirmation, of `aConfirmedAt`, if a key that is taken away must be
/// refused everywhere within `aBound`.
[[nodiscard]] Micros TrustedUntil(Micros aConfirmedAt, Micros aBound) noexcept;

} // namespace geraniumpond::accounts
