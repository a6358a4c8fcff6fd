#include "internal.h"

#include <cstdio>
#include <string>
#include <unordered_map>
#include <vector>

// Limits of client accounts. A request counts once, at the host that got it
// from its client; a hedge or a second attempt counts at the host that makes
// it.
namespace geraniumpond::dispatch {

namespace {

constexpr int kTooManyRequests = 429;

quota::Limit LimitOf(const State& aState, const std::string& aAccount)
{
  if (aAccount.empty() || !aState.mPolicy || !aState.mPolicy->mAccounts) {
    return {};
  }
  const accounts::Account* account =
    accounts::FindByName(*aState.mPolicy->mAccounts, aAccount);
  return account == nullptr
           ? quota::Limit()
           : quota::Limit{ account->mPerSecond, account->mBurst };
}

using Names = std::unordered_map<std::uint64_t, std::string>;

// Names of accounts that have changed; digests of unknown ones stand for
// themselves.
Names NamesOf(const State& aState, const std::vector<quota::Change>& aChanges)
{
  Names names;
  for (const quota::Change& change : aChanges) {
    names.emplace(change.mAccount, Hexadecimal(change.mAccount));
  }
  if (names.empty() || !aState.mPolicy || !aState.mPolicy->mAccounts) {
    return names;
  }
  for (const accounts::Account& account :
       aState.mPolicy->mAccounts->mAccounts) {
    const auto found = names.find(quota::DigestOf(account.mName));
    if (found != names.end()) {
      found->second = account.mName;
    }
  }
  return names;
}

void LogChange(const quota::Change& aChange,
               const std::string& aName,
               Effects& aOut)
{
  char text[192];
  std::snprintf(text,
                sizeof(text),
                " used=%.0f per_second=%.3f burst=%.0f by_reserve=%s",
                aChange.mUsed,
                aChange.mLimit.mPerSecond,
                aChange.mLimit.mBurst,
                aChange.mByReserve ? "yes" : "no");
  Log(aOut,
      1,
      (aChange.mIsLimited ? "event=account_limited account="
                          : "event=account_unlimited account=") +
        aName + text + " totals_age_ms=" +
        (aChange.mAge < 0 ? "none" : Milliseconds(aChange.mAge)));
}

// Nothing is published where no account has a limit.
void Publish(State& aState)
{
  const quota::Counters& counters = aState.mQuota.mCounters;
  if (counters.mAdmitted + counters.mRefused == 0) {
    return;
  }
  aState.mCounters["quota_admitted"] = counters.mAdmitted;
  aState.mCounters["quota_refused"] = counters.mRefused;
  aState.mCounters["quota_by_reserve"] = counters.mByReserve;
  aState.mCounters["quota_extra_denied"] = counters.mExtraDenied;
  aState.mCounters["quota_given_back"] = counters.mGivenBack;
  aState.mCounters["quota_totals_doubted"] = counters.mTotalsDoubted;
}

} // namespace

bool AdmitWithinQuota(State& aState,
                      Micros aNow,
                      const Arrival& aArrival,
                      Request& aRequest,
                      Effects& aOut)
{
  const quota::Limit limit = LimitOf(aState, aRequest.mAccount);
  if (aRequest.mIsRelayed || !limit.Exists()) {
    return true;
  }
  const quota::Verdict verdict =
    quota::Admit(aState.mQuota,
                 aNow,
                 quota::DigestOf(aRequest.mAccount),
                 limit,
                 IsReturn(aRequest));
  aRequest.mHoldsQuota = verdict.mAdmitted;
  if (!verdict.mAdmitted) {
    RefuseArrival(aState,
                  aArrival,
                  kTooManyRequests,
                  verdict.mRetryAfter,
                  "over_quota",
                  aOut);
  }
  return verdict.mAdmitted;
}

void CountQuotaSent(State& aState, Micros aNow, Request& aRequest)
{
  if (aRequest.mHoldsQuota) {
    aRequest.mHoldsQuota = false;
    quota::CountSent(aState.mQuota, aNow, quota::DigestOf(aRequest.mAccount));
  }
}

bool HasQuotaForExtra(State& aState, Micros aNow, const Request& aRequest)
{
  return quota::HasRoomForExtra(aState.mQuota,
                                aNow,
                                quota::DigestOf(aRequest.mAccount),
                                LimitOf(aState, aRequest.mAccount));
}

void CountExtraQuota(State& aState, Micros aNow, const Request& aRequest)
{
  if (LimitOf(aState, aRequest.mAccount).Exists()) {
    quota::CountExtra(aState.mQuota, aNow, quota::DigestOf(aRequest.mAccount));
  }
}

void ReleaseQuota(State& aState, Request& aRequest)
{
  if (aRequest.mHoldsQuota) {
    aRequest.mHoldsQuota = false;
    quota::GiveBack(aState.mQuota, quota::DigestOf(aRequest.mAccount));
  }
}

void AdoptQuota(State& aState, Micros aNow, Request& aRequest)
{
  const bool isCounted =
    aRequest.mHoldsQuota || aRequest.mSent > 0 || !aRequest.mHostsTried.empty();
  if (!aRequest.mIsRelayed && !isCounted) {
    aRequest.mHoldsQuota = quota::Adopt(aState.mQuota,
                                        aNow,
                                        quota::DigestOf(aRequest.mAccount),
                                        LimitOf(aState, aRequest.mAccount));
  }
}

bool AwaitsTotals(const State& aState, Micros aNow, const Request& aRequest)
{
  return aNow < aState.mPolicyExpectedUntil &&
         aState.mQuota.mTotals.mToldAt == 0 && !aRequest.mIsRelayed &&
         LimitOf(aState, aRequest.mAccount).Exists();
}

void TickQuota(State& aState, Micros aNow, Effects& aOut)
{
  quota::Tick(aState.mQuota, aNow);
  const std::vector<quota::Change> changes = quota::TakeChanges(aState.mQuota);
  const Names names = NamesOf(aState, changes);
  for (const quota::Change& change : changes) {
    LogChange(change, names.at(change.mAccount), aOut);
  }
  Publish(aState);
}

} // namespace geraniumpond::dispatch
