#include "gateway_process.h"

#include "edge/logging.h"

#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

// Carries out the reducer's effects on sockets, disk and log.
namespace geraniumpond::frontend {

namespace {

/// Targets get a deadline this much before the client's, which leaves time to
/// return the answer.
constexpr Micros kReturnMargin = 2 * kMillisecond;
/// Larger bodies are sent from where they stand; others in one packet with
/// their head.
constexpr std::size_t kCopiedBodyBytes = 16 * 1024;
constexpr int kUnauthorised = 401;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

// Seconds with a fractional part, which the clients accept.
std::string RetryAfterText(Micros aTime)
{
  char text[32];
  std::snprintf(
    text, sizeof(text), "%.3f", static_cast<double>(aTime) / kSecond);
  return text;
}

std::string AccountLine(const std::string& aName, const std::string& aAccount)
{
  return aAccount.empty() ? "" : FieldLine(aName, aAccount);
}

} // namespace

void GatewayProcess::PerformOne(dispatch::ProbeTarget& aEffect)
{
  mTargets.Probe(aEffect);
}

void GatewayProcess::PerformOne(dispatch::SendRequest& aEffect)
{
  OutboundRequest outbound;
  outbound.mRequest = aEffect.mRequest;
  outbound.mAttempt = aEffect.mAttempt;
  outbound.mTarget = aEffect.mTarget;
  outbound.mAddress = aEffect.mAddress;
  outbound.mProvenConnection = aEffect.mProvenConnection;
  const FieldNames& names = mDialect.mFieldNames;
  Forwarding forwarding;
  forwarding.mExtraFields =
    FieldLine(names.mExpectedTarget, aEffect.mTargetName) +
    AccountLine(names.mAccount, aEffect.mAccount);
  forwarding.mHidesKey = aEffect.mHidesKey;
  Send(std::move(outbound), std::move(forwarding), aEffect.mDeadline);
}

void GatewayProcess::PerformOne(dispatch::RelayRequest& aEffect)
{
  OutboundRequest outbound;
  outbound.mRequest = aEffect.mRequest;
  outbound.mAttempt = aEffect.mAttempt;
  outbound.mTarget = aEffect.mAddress;
  outbound.mAddress = aEffect.mAddress;
  outbound.mProvenConnection = true;
  const FieldNames& names = mDialect.mFieldNames;
  Forwarding forwarding;
  forwarding.mHidesKey = aEffect.mHidesKey;
  std::string& fields = forwarding.mExtraFields;
  fields = FieldLine(names.mRelayedAfter,
                     std::to_string(aEffect.mElapsed / kMillisecond));
  if (aEffect.mBytesPerSecond > 0) {
    fields += FieldLine(names.mAnswerPace,
                        std::to_string(std::llround(aEffect.mBytesPerSecond)));
  }
  if (aEffect.mHidesKey) {
    fields += FieldLine(names.mRelayedIdentity,
                        Poco::NumberFormatter::formatHex(
                          static_cast<Poco::UInt64>(aEffect.mIdentity)));
    fields += AccountLine(names.mRelayedAccount, aEffect.mAccount);
  }
  Send(std::move(outbound), std::move(forwarding), aEffect.mDeadline);
}

void GatewayProcess::Send(OutboundRequest aOutbound,
                          Forwarding aForwarding,
                          Micros aDeadline)
{
  const auto found = mExchanges.find(aOutbound.mRequest);
  if (found == mExchanges.end()) {
    return;
  }
  const std::shared_ptr<const HttpRequest>& shared = found->second.mRequest;
  const HttpRequest& request = *shared;
  const std::string* id =
    FindField(request.mFields, mDialect.mFieldNames.mRequestId);
  aForwarding.mTimeout = aDeadline - mNow - kReturnMargin;
  const FieldNames& names = mDialect.mFieldNames;
  if (request.mBody.size() > kCopiedBodyBytes) {
    aOutbound.mBytes = ForwardedHead(request, names, aForwarding);
    aOutbound.mBody = { shared, &shared->mBody };
  } else {
    aOutbound.mBytes = ForwardedBytes(request, names, aForwarding);
  }
  aOutbound.mRequestId = id == nullptr ? "" : *id;
  aOutbound.mHeadOnly = request.mMethod == "HEAD";
  mTargets.Send(std::move(aOutbound));
}

// The host that passed a request on tells this host's own answers from those of
// targets by the same fields as a target's.
void GatewayProcess::MarkForRelay(const HttpRequest& aRequest,
                                  HttpResponse& aResponse) const
{
  const FieldNames& names = mDialect.mFieldNames;
  if (FindField(aRequest.mFields, names.mRelayedAfter) == nullptr) {
    return;
  }
  const std::string* id = FindField(aRequest.mFields, names.mRequestId);
  if (id != nullptr) {
    aResponse.mFields.emplace_back(names.mRequestId, *id);
  }
  if (aResponse.mStatus == kUnavailable || aResponse.mStatus == kMisdirected) {
    aResponse.mFields.emplace_back(names.mNotRun, "1");
  }
}

void GatewayProcess::PerformOne(dispatch::CancelAttempt& aEffect)
{
  mTargets.Cancel(aEffect.mAttempt);
}

void GatewayProcess::PerformOne(dispatch::DeliverAnswer& aEffect)
{
  const auto found = mExchanges.find(aEffect.mRequest);
  if (found != mExchanges.end() &&
      found->second.mAnsweredBy == aEffect.mAttempt) {
    RespondToClient(aEffect.mRequest, found->second.mAnswer);
  }
}

void GatewayProcess::PerformOne(dispatch::ReplyToClient& aEffect)
{
  HttpResponse response =
    MakeResponse(aEffect.mStatus, "text/plain", aEffect.mReason + "\n");
  if (aEffect.mRetryAfter > 0) {
    response.mFields.emplace_back("Retry-After",
                                  RetryAfterText(aEffect.mRetryAfter));
  }
  if (aEffect.mStatus == kUnauthorised) {
    response.mFields.emplace_back("WWW-Authenticate",
                                  mDialect.mFieldNames.mKeyScheme);
  }
  const auto found = mExchanges.find(aEffect.mRequest);
  if (found != mExchanges.end()) {
    MarkForRelay(*found->second.mRequest, response);
  }
  RespondToClient(aEffect.mRequest, response);
}

void GatewayProcess::PerformOne(dispatch::LogLine& aEffect)
{
  edge::WriteLog(aEffect.mLevel, aEffect.mText);
}

void GatewayProcess::PerformOne(gateway::AnswerOperation& aEffect)
{
  const auto url = mPolicyReadUrls.find(aEffect.mOperation);
  const bool elsewhere = aEffect.mEnd == gateway::OperationOutcome::Elsewhere;
  RespondToCall(aEffect.mOperation,
                elsewhere && url != mPolicyReadUrls.end()
                  ? RedirectTo(aEffect.mElsewhere, url->second)
                  : mDialect.mMakeOperationResponse(aEffect));
  if (url != mPolicyReadUrls.end()) {
    mPolicyReadUrls.erase(url);
  }
}

void GatewayProcess::PerformOne(gateway::SendPeer& aEffect)
{
  std::string bytes = aEffect.mMessage.SerializeAsString();
  const bool near = fleet::IsInOwnDataCentre(mState.mFleet, aEffect.mAddress);
  const std::string name = std::string("peer_") +
                           fleet::KindOf(aEffect.mMessage) +
                           (near ? "_near" : "_away");
  dispatch::Counters& counters = mState.mDispatch.mCounters;
  ++counters[name + "_messages"];
  counters[name + "_bytes"] += bytes.size();
  mPeers->Send(aEffect.mAddress, std::move(bytes));
}

void GatewayProcess::PerformOne(gateway::Persist& aEffect)
{
  mUnsynced.emplace_back(aEffect.mWrite.mSequence, mNow);
  mDisk->Write(std::move(aEffect.mWrite));
}

void GatewayProcess::PerformOne(gateway::ExitProcess&)
{
  mExited = true;
}

void GatewayProcess::RespondToClient(std::uint64_t aExchange,
                                     const HttpResponse& aResponse)
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  mMetrics.Observe("request",
                   std::to_string(aResponse.mStatus),
                   mNow - found->second.mArrivedAt);
  mClientServer->Respond(aExchange, aResponse, found->second.mBytesPerSecond);
  mExchanges.erase(aExchange);
}

void GatewayProcess::RespondToCall(std::uint64_t aExchange,
                                   const HttpResponse& aResponse)
{
  for (const std::unique_ptr<HttpServer>& server : mCallServers) {
    server->Respond(aExchange, aResponse);
  }
}

} // namespace geraniumpond::frontend
