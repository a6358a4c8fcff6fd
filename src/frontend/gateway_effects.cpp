#include "gateway_process.h"

#include "edge/logging.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

// Carries out the reducer's effects on sockets, disk and log.
namespace geraniumpond::frontend {

namespace {

/// Targets get a deadline this much before the client's, which leaves time to
/// return the answer.
constexpr Micros kReturnMargin = 2 * kMillisecond;
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

// `aExtraFields` name the target, or say that the request is passed on.
std::string RequestBytes(const HttpRequest& aRequest,
                         const FieldNames& aNames,
                         const std::string& aExtraFields,
                         Micros aTimeout)
{
  std::string out;
  out.reserve(512 + aRequest.mBody.size());
  out += aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  bool framed = false;
  for (const auto& [name, value] : aRequest.mFields) {
    if (EqualIgnoringCase(name, "Content-Length") ||
        EqualIgnoringCase(name, "Transfer-Encoding")) {
      framed = true;
      continue;
    }
    if (IsHopByHopField(aRequest.mFields, name) ||
        EqualIgnoringCase(name, aNames.mTimeout) ||
        EqualIgnoringCase(name, aNames.mRelayedAfter) ||
        EqualIgnoringCase(name, aNames.mAnswerPace) ||
        EqualIgnoringCase(name, aNames.mExpectedTarget)) {
      continue;
    }
    out += name + ": " + value + "\r\n";
  }
  const Micros left = std::max<Micros>(1, aTimeout / kMillisecond);
  out += aNames.mTimeout + ": " + std::to_string(left) + "\r\n";
  out += aExtraFields + "\r\n";
  if (framed) {
    out += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  out += "\r\n";
  out += aRequest.mBody;
  return out;
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
  Send(std::move(outbound),
       mDialect.mFieldNames.mExpectedTarget + ": " + aEffect.mTargetName,
       aEffect.mDeadline);
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
  std::string fields = names.mRelayedAfter + ": " +
                       std::to_string(aEffect.mElapsed / kMillisecond);
  if (aEffect.mBytesPerSecond > 0) {
    fields += "\r\n" + names.mAnswerPace + ": " +
              std::to_string(std::llround(aEffect.mBytesPerSecond));
  }
  Send(std::move(outbound), fields, aEffect.mDeadline);
}

void GatewayProcess::Send(OutboundRequest aOutbound,
                          const std::string& aExtraFields,
                          Micros aDeadline)
{
  const auto found = mExchanges.find(aOutbound.mRequest);
  if (found == mExchanges.end()) {
    return;
  }
  const HttpRequest& request = found->second.mRequest;
  const std::string* id =
    FindField(request.mFields, mDialect.mFieldNames.mRequestId);
  aOutbound.mBytes = RequestBytes(request,
                                  mDialect.mFieldNames,
                                  aExtraFields,
                                  aDeadline - mNow - kReturnMargin);
  aOutbound.mRequestId = id == nullptr ? "" : *id;
  aOutbound.mHeadOnly = request.mMethod == "HEAD";
  mTargets.Send(std::move(aOutbound));
}

// The host that passed a request on tells this host's own answers from those of
// targets by the same fields as a target's.
void GatewayProcess::MarkForRelay(std::uint64_t aExchange,
                                  HttpResponse& aResponse) const
{
  const auto found = mExchanges.find(aExchange);
  const FieldNames& names = mDialect.mFieldNames;
  if (found == mExchanges.end() || FindField(found->second.mRequest.mFields,
                                             names.mRelayedAfter) == nullptr) {
    return;
  }
  const std::string* id =
    FindField(found->second.mRequest.mFields, names.mRequestId);
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
  MarkForRelay(aEffect.mRequest, response);
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
