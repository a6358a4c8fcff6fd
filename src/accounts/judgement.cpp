#include <geraniumpond/accounts.h>

#include <algorithm>
#include <array>

namespace geraniumpond::accounts {

namespace {

/// What is sent last must arrive in time, and clocks differ in speed.
constexpr Micros kTrustMargin = 250 * kMillisecond;
constexpr Micros kMarginDivisor = 4;

constexpr std::array<const char*, 4> kVerdictNames = {
  "allowed",
  "no_key",
  "unknown_key",
  "unknown_account",
};

// The host that took the request from its client has judged the key, and sends
// only the name.
Judgement JudgeRelayed(const Book& aBook, const Claim& aClaim) noexcept
{
  const Account* account = FindByName(aBook, aClaim.mAccount);
  const bool isAllowed =
    account != nullptr || (aClaim.mIsPublic && aClaim.mAccount.empty());
  return { isAllowed ? Verdict::Allowed : Verdict::UnknownAccount, account };
}

} // namespace

const char* ToString(Verdict aVerdict) noexcept
{
  return kVerdictNames[static_cast<std::size_t>(aVerdict)];
}

// A known key counts on a public route too: the target is told whose it is.
Judgement Judge(const std::optional<Book>& aBook, const Claim& aClaim) noexcept
{
  if (!aBook) {
    const bool isNamed = aClaim.mIsRelayed && !aClaim.mAccount.empty();
    return { isNamed ? Verdict::UnknownAccount : Verdict::Allowed, nullptr };
  }
  if (aClaim.mIsRelayed) {
    return JudgeRelayed(*aBook, aClaim);
  }
  const Account* account =
    aClaim.mKey ? FindByKey(*aBook, *aClaim.mKey) : nullptr;
  if (account != nullptr || aClaim.mIsPublic) {
    return { Verdict::Allowed, account };
  }
  return { aClaim.mKey ? Verdict::UnknownKey : Verdict::NoKey, nullptr };
}

Micros TrustedUntil(Micros aConfirmedAt, Micros aBound) noexcept
{
  return aConfirmedAt + aBound -
         std::min(kTrustMargin, aBound / kMarginDivisor);
}

} // namespace geraniumpond::accounts
